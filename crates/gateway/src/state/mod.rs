//! The state of a node, merged from the store and from other nodes.
//!
//! [`State`] does no I/O. It keeps the newest record of each key by log offset (the table
//! by version), never replaces a record by an older one, and derives a [`View`] for the
//! request path.
//!
//! When the store has been restored from a copy, what it lists at first may be older than what is
//! known, though its era is later. Until the operators and the upstreams have written again, zones
//! that were out of service and upstreams that had left or were draining stay so, and upstreams
//! that are missing are kept.

mod knowledge;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;

use crate::admit::cold::Members;
use crate::admit::{Candidate, UpstreamPool};
use crate::node;
use crate::store::{Batch, Change, Feed, Offset, Update};
use crate::suspect;
use crate::table::{Content, Table};
use crate::upstream::{self, DISTRUST_AFTER_RESTORE, Outcome, RETENTION_AFTER_OUTAGE};

pub use knowledge::Knowledge;

/// An immutable snapshot of the state for the request path.
#[derive(Debug, Default)]
pub struct View {
    /// The operators' table; `None` until the first version is read.
    pub table: Option<Arc<Table>>,
    /// Upstreams that may receive calls, by service.
    pub pools: HashMap<Arc<str>, UpstreamPool>,
    /// All upstreams, by service. Includes those that receive no calls, since they may be
    /// ranks of a group whose other ranks do.
    pub ranks: HashMap<Arc<str>, Vec<Arc<upstream::Record>>>,
    /// Zones out of service.
    pub zones_out_of_service: HashSet<Arc<str>>,
    /// Whether the list of upstreams has been read in full at least once.
    pub complete: bool,
    /// Number of gateways that may share the upstreams, including this one; 0 while it is
    /// unknown.
    pub gateways: usize,
    /// Whether this gateway claims leadership of the expert maps.
    pub claims_leadership: bool,
}

/// Offsets up to which a node has read the logs, to compare the state of two nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Next offset to read from the operators' orders.
    pub orders: Offset,
    /// Next offset to read from the upstreams.
    pub upstreams: Offset,
}

/// The table, zones and upstreams known to one node, for a node whose reads of the store
/// lag behind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// Offsets up to which the state is complete.
    pub position: Position,
    /// The operators' table and its offset.
    pub table: Option<(Content, Offset)>,
    /// Zones, whether each is out of service, and the offset of that record.
    pub zones: Vec<(Arc<str>, bool, Offset)>,
    /// Upstreams with their offsets. [`upstream::Record::cold`] holds the remaining cold
    /// start, counted from the moment of the snapshot.
    pub upstreams: Vec<(upstream::Record, Offset)>,
    /// Those of them that the store no longer lists, which are retained for this time.
    pub retained: Vec<(Arc<str>, Offset, Duration)>,
}

/// A change of the state, reported for logging and publication.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A version of the table took effect.
    Table(u64),
    /// A zone was taken out of service (`true`) or returned to service (`false`).
    Zone(Arc<str>, bool),
    /// An upstream was added or changed.
    Upstream(Arc<upstream::Record>),
    /// An upstream was removed; holds its id.
    UpstreamRemoved(Arc<str>),
    /// The store holds a conviction.
    Conviction(suspect::Record),
    /// A record could not be decoded; holds its key and the reason.
    Unreadable(String, String),
}

/// State merged from log records and snapshots of other nodes, without I/O.
#[derive(Debug, Default)]
pub struct State {
    table: Option<Arc<Table>>,
    table_offset: Offset,
    zones: BTreeMap<Arc<str>, Zone>,
    upstreams: upstream::UpstreamSet,
    nodes: HashMap<String, node::Record>,
    /// Next offset to read from the records of the nodes.
    nodes_next: Offset,
    position: Position,
    complete: bool,
    /// Until when absent records are kept after the store was unreachable.
    retain_until: Option<Moment>,
    /// Next offset to read from the orders when the store was last restored.
    former_orders: Offset,
    /// Until when absent orders are kept after the store was restored.
    keep_orders_until: Option<Moment>,
    /// Until when listed upstreams may be older than what is known, after the store was restored.
    distrust_until: Option<Moment>,
}

/// The newest order about a zone.
#[derive(Clone, Copy, Debug)]
struct Zone {
    out: bool,
    offset: Offset,
    /// When the zone returns to service, if a restored store has lost the order.
    returns_at: Option<Moment>,
}

impl State {
    /// Returns the offsets up to which this node has read the logs.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the nodes that have announced themselves in the store.
    pub fn nodes(&self) -> impl Iterator<Item = &node::Record> {
        self.nodes.values()
    }

    /// Adds a node that has made itself known by a heartbeat before its record was read.
    /// Returns whether its record is new.
    pub fn learn_node(&mut self, record: &node::Record) -> bool {
        let known = self.nodes.get(&record.name);
        let is_new = known.is_none_or(|known| known.incarnation < record.incarnation);
        if is_new {
            self.nodes.insert(record.name.clone(), record.clone());
        }
        is_new
    }

    /// Returns the version of the table in effect.
    pub fn version(&self) -> Option<u64> {
        self.table.as_ref().map(|table| table.version())
    }

    /// Records that the store does not answer, which starts or extends the retention of
    /// absent records.
    pub fn set_store_unreachable(&mut self, now: Moment) {
        self.retain_until = Some(now + RETENTION_AFTER_OUTAGE);
        self.upstreams
            .extend_retention(now + RETENTION_AFTER_OUTAGE);
    }

    /// Returns how long absent records are still retained after the store was unreachable.
    pub fn retention_left(&self, now: Moment) -> Duration {
        let until = self.retention_deadline(now);
        until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Retains absent records at least for a time, as the gateway does that has read for this one.
    pub fn retain_for(&mut self, time: Duration, now: Moment) {
        let until = Some(now + time);
        if !time.is_zero() && until > self.retain_until {
            self.retain_until = until;
            self.upstreams.extend_retention(now + time);
        }
    }

    fn retention_deadline(&self, now: Moment) -> Option<Moment> {
        self.retain_until.filter(|until| *until > now)
    }

    /// Applies the result of a read and returns what changed. `full_listing` means that
    /// the batch holds the newest record of every key, so that keys absent from it are
    /// removed.
    pub fn apply(
        &mut self,
        feed: Feed,
        batch: Batch,
        full_listing: bool,
        now: Moment,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        self.enter_era(feed, batch.next, now);
        let may_be_outdated = full_listing && batch.next.era() > 0;
        let listed: HashSet<Arc<str>> = batch
            .changes
            .iter()
            .filter_map(|change| match &change.update {
                Update::Upstream(record) => Some(Arc::clone(&record.id)),
                Update::Zone { zone, out: true } => Some(Arc::clone(zone)),
                _ => None,
            })
            .collect();
        for change in batch.changes {
            match change.update {
                // A restored store lists records of nodes that have been replaced since.
                Update::Node(record) if may_be_outdated => {
                    self.learn_node(&record);
                }
                _ => self.apply_change(feed, change, full_listing, now, &mut events),
            }
        }
        match feed {
            Feed::Orders => {
                if full_listing && batch.next >= self.position.orders {
                    let until = self.keep_orders_until.filter(|until| *until > now);
                    self.zones.retain(|zone, known| {
                        if !known.out || listed.contains(zone) {
                            return true;
                        }
                        if until.is_some() {
                            known.returns_at = until;
                            return true;
                        }
                        events.push(Event::Zone(Arc::clone(zone), false));
                        false
                    });
                }
                self.position.orders = self.position.orders.max(batch.next);
            }
            Feed::Upstreams => {
                if full_listing && batch.next >= self.position.upstreams {
                    let until = self.retention_deadline(now);
                    let removed =
                        self.upstreams
                            .retain(batch.next, |id| listed.contains(id), until);
                    events.extend(removed.into_iter().map(Event::UpstreamRemoved));
                    self.upstreams.retain_doubts(|id| listed.contains(id));
                    self.complete = true;
                }
                self.position.upstreams = self.position.upstreams.max(batch.next);
            }
            Feed::Nodes => self.nodes_next = self.nodes_next.max(batch.next),
        }
        events
    }

    /// Prepares for records of a later era than before, which a restored store lists.
    fn enter_era(&mut self, feed: Feed, next: Offset, now: Moment) {
        let position = match feed {
            Feed::Orders => self.position.orders,
            Feed::Upstreams => self.position.upstreams,
            Feed::Nodes => self.nodes_next,
        };
        // Nothing is known before the first listing.
        if position == Offset::default() || next.era() <= position.era() {
            return;
        }
        let until = Some(now + DISTRUST_AFTER_RESTORE);
        match feed {
            Feed::Orders => {
                self.former_orders = position;
                self.keep_orders_until = until;
            }
            Feed::Upstreams => {
                self.distrust_until = until;
                self.retain_for(RETENTION_AFTER_OUTAGE, now);
            }
            Feed::Nodes => {}
        }
    }

    /// Applies a change; `is_listed` states that it comes from a full listing.
    fn apply_change(
        &mut self,
        feed: Feed,
        change: Change,
        is_listed: bool,
        now: Moment,
        events: &mut Vec<Event>,
    ) {
        let offset = change.offset;
        match change.update {
            Update::Table(content) => self.set_table(&content, offset, events),
            Update::Zone { zone, out } => self.set_zone(zone, out, offset, events),
            Update::Upstream(record) => {
                let shared = Arc::new(record.clone());
                let is_doubtful = is_listed && self.distrust_until.is_some_and(|until| until > now);
                let outcome = if is_doubtful {
                    self.upstreams.put_restored(record, offset, now)
                } else if is_listed {
                    self.upstreams.put_listed(record, offset, now)
                } else {
                    self.upstreams.put(record, offset, now)
                };
                if outcome == Outcome::Changed {
                    events.push(Event::Upstream(shared));
                }
            }
            Update::UpstreamRemoved(id) => {
                let until = self.retention_deadline(now);
                if self.upstreams.remove(&id, offset, until) == Outcome::Changed {
                    events.push(Event::UpstreamRemoved(id));
                }
            }
            Update::Node(record) => {
                self.nodes.insert(record.name.clone(), record);
            }
            Update::NodeRemoved(name) => {
                self.nodes.remove(&name);
            }
            Update::Conviction(record) => events.push(Event::Conviction(record)),
            Update::Unreadable { key, reason } if feed == Feed::Upstreams => {
                // The newest record of the key names no upstream, as in a full listing.
                if self.upstreams.remove(&key, offset, None) == Outcome::Changed {
                    events.push(Event::UpstreamRemoved(Arc::from(key.as_str())));
                }
                events.push(Event::Unreadable(key, reason));
            }
            Update::Unreadable { key, reason } => events.push(Event::Unreadable(key, reason)),
        }
    }

    /// Returns the content of the table and its offset, for a node that knows an older one.
    pub fn table(&self) -> Option<(Content, Offset)> {
        let table = self.table.as_ref()?;
        Some((table.content().clone(), self.table_offset))
    }

    /// Uses the table of another node if it is newer, and returns what changed.
    pub fn merge_table(&mut self, content: &Content, offset: Offset) -> Vec<Event> {
        let mut events = Vec::new();
        self.set_table(content, offset, &mut events);
        events
    }

    fn set_table(&mut self, content: &Content, offset: Offset, events: &mut Vec<Event>) {
        let newer = self
            .table
            .as_ref()
            .is_none_or(|table| content.version > table.version());
        if newer {
            self.table = Some(Arc::new(Table::new(content.clone())));
            self.table_offset = offset;
            events.push(Event::Table(content.version));
        }
    }

    fn set_zone(&mut self, zone: Arc<str>, out: bool, offset: Offset, events: &mut Vec<Event>) {
        let known = self.zones.get(&zone);
        if known.is_some_and(|known| known.offset > offset) {
            return;
        }
        if known.is_none_or(|known| known.out != out) {
            events.push(Event::Zone(Arc::clone(&zone), out));
        }
        let order = Zone {
            out,
            offset,
            returns_at: None,
        };
        self.zones.insert(zone, order);
    }

    /// Removes records whose retention after an outage or a restore of the store has ended, and
    /// uses restored ones that nothing has contradicted since.
    pub fn settle(&mut self, now: Moment) -> Vec<Event> {
        let (removed, believed) = self.upstreams.settle(now);
        let removed = removed.into_iter().map(Event::UpstreamRemoved);
        let mut events: Vec<Event> = removed.collect();
        events.extend(believed.into_iter().map(Event::Upstream));
        for (name, zone) in &mut self.zones {
            if zone.returns_at.is_some_and(|at| now >= at) {
                *zone = Zone {
                    out: false,
                    offset: self.position.orders,
                    returns_at: None,
                };
                events.push(Event::Zone(Arc::clone(name), false));
            }
        }
        events
    }

    /// Returns the full state of this node.
    pub fn snapshot(&self, now: Moment) -> Snapshot {
        let upstreams = self.upstreams.iter();
        let retained = self.upstreams.iter().filter_map(|known| {
            let left = known.expires_at?.since(now);
            Some((Arc::clone(&known.record.id), known.offset, left))
        });
        Snapshot {
            retained: retained.collect(),
            position: self.position,
            table: self.table(),
            zones: self
                .zones
                .iter()
                // Others judge by themselves what a restored store has lost.
                .filter(|(_, known)| known.returns_at.is_none())
                .map(|(zone, known)| (Arc::clone(zone), known.out, known.offset))
                .collect(),
            upstreams: upstreams
                .map(|known| {
                    let mut record = upstream::Record::clone(&known.record);
                    record.cold = known.cold_until.since(now);
                    (record, known.offset)
                })
                .collect(),
        }
    }

    /// Merges the state of another node where it is newer, and returns what changed.
    pub fn merge_snapshot(&mut self, snapshot: Snapshot, now: Moment) -> Vec<Event> {
        let mut events = Vec::new();
        let position = snapshot.position;
        self.enter_era(Feed::Orders, position.orders, now);
        self.enter_era(Feed::Upstreams, position.upstreams, now);
        if let Some((content, offset)) = &snapshot.table {
            self.set_table(content, *offset, &mut events);
        }
        if position.orders >= self.position.orders {
            for (zone, out, offset) in snapshot.zones {
                self.set_zone(zone, out, offset, &mut events);
            }
            // Of former eras, only what the other node knows as well is sure to be in force.
            let until = self.keep_orders_until.filter(|until| *until > now);
            for known in self.zones.values_mut() {
                if known.out && known.offset.era() < position.orders.era() {
                    known.returns_at = known.returns_at.or(until).or(Some(now));
                }
            }
            self.position.orders = position.orders;
        }
        if position.upstreams >= self.position.upstreams {
            let ids: HashSet<Arc<str>> = snapshot
                .upstreams
                .iter()
                .map(|(record, _)| Arc::clone(&record.id))
                .collect();
            for (record, offset) in snapshot.upstreams {
                // The record that this node retains itself is no sign that the upstream is back.
                if self.upstreams.is_retained(&record.id, offset) {
                    continue;
                }
                let update = Update::Upstream(record);
                let change = Change { offset, update };
                self.apply_change(Feed::Upstreams, change, true, now, &mut events);
            }
            for (id, offset, left) in snapshot.retained {
                self.upstreams.retain_until(&id, offset, now + left);
            }
            // The other node retains what may be missing after an outage, but it may not have known
            // what a restored store has lost.
            let is_restored = self.distrust_until.is_some_and(|until| until > now);
            let until = self.retention_deadline(now).filter(|_| is_restored);
            let removed = self
                .upstreams
                .retain(position.upstreams, |id| ids.contains(id), until);
            events.extend(removed.into_iter().map(Event::UpstreamRemoved));
            self.position.upstreams = position.upstreams;
            self.complete = true;
        }
        events
    }

    /// Returns a view for the request path. `members` are the gateways that may share the
    /// upstreams; `None` while they are unknown.
    pub fn view(&self, members: Option<&Arc<Members>>) -> View {
        let out: HashSet<Arc<str>> = self
            .zones
            .iter()
            .filter(|(_, known)| known.out)
            .map(|(zone, _)| Arc::clone(zone))
            .collect();
        let mut pools: HashMap<Arc<str>, UpstreamPool> = HashMap::new();
        let mut ranks: HashMap<Arc<str>, Vec<Arc<upstream::Record>>> = HashMap::new();
        for known in self.upstreams.iter() {
            let record = &known.record;
            let all = ranks.entry(Arc::clone(&record.service)).or_default();
            all.push(Arc::clone(record));
            if record.draining || out.contains(&record.zone) {
                continue;
            }
            let pool = pools.entry(Arc::clone(&record.service)).or_default();
            pool.candidates.push(Candidate {
                record: Arc::clone(record),
                cold_until: known.cold_until,
                cold_limit: OnceLock::new(),
            });
        }
        for (service, pool) in &mut pools {
            let table = self.table.as_ref();
            pool.has_priorities = table.is_some_and(|table| table.has_priorities(Some(service)));
            let service = table.and_then(|table| table.service(service));
            pool.cold_rate = service.map_or(0.0, |service| service.cold_rate);
            pool.engine = service.and_then(|service| service.engine.clone());
            pool.members = members.cloned().unwrap_or_default();
            let members = Arc::clone(&pool.members);
            pool.candidates
                .sort_by_cached_key(|candidate| members.preference(&candidate.record.id));
        }
        View {
            table: self.table.clone(),
            complete: self.complete,
            ranks,
            pools,
            zones_out_of_service: out,
            gateways: members.map_or(0, |members| members.count()),
            claims_leadership: false,
        }
    }
}

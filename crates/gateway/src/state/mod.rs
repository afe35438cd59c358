//! The state of a node, merged from the store and from other nodes.
//!
//! [`State`] does no I/O. It keeps the newest record of each key by log offset (the table
//! by version), never replaces a record by an older one, and derives a [`View`] for the
//! request path.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;

use crate::admit::cold::Members;
use crate::admit::{Candidate, UpstreamPool};
use crate::node;
use crate::store::{Batch, Change, Feed, Update};
use crate::suspect;
use crate::table::{Content, Table};
use crate::upstream::{self, Outcome, RETENTION_AFTER_OUTAGE};

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
    pub orders: u64,
    /// Next offset to read from the upstreams.
    pub upstreams: u64,
}

/// The table, zones and upstreams known to one node, for a node whose reads of the store
/// lag behind.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// Offsets up to which the state is complete.
    pub position: Position,
    /// The operators' table and its offset.
    pub table: Option<(Content, u64)>,
    /// Zones, whether each is out of service, and the offset of that record.
    pub zones: Vec<(Arc<str>, bool, u64)>,
    /// Upstreams with their offsets. [`upstream::Record::cold`] holds the remaining cold
    /// start, counted from the moment of the snapshot.
    pub upstreams: Vec<(upstream::Record, u64)>,
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
    table_offset: u64,
    zones: BTreeMap<Arc<str>, (bool, u64)>,
    upstreams: upstream::UpstreamSet,
    nodes: HashMap<String, node::Record>,
    position: Position,
    complete: bool,
    /// Until when absent records are kept after the store was unreachable.
    retain_until: Option<Moment>,
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
            self.apply_change(feed, change, now, &mut events);
        }
        match feed {
            Feed::Orders => {
                if full_listing && batch.next >= self.position.orders {
                    self.zones.retain(|zone, (out, _)| {
                        let keep = !*out || listed.contains(zone);
                        if !keep {
                            events.push(Event::Zone(Arc::clone(zone), false));
                        }
                        keep
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
                    self.complete = true;
                }
                self.position.upstreams = self.position.upstreams.max(batch.next);
            }
            Feed::Nodes => {}
        }
        events
    }

    fn apply_change(&mut self, feed: Feed, change: Change, now: Moment, events: &mut Vec<Event>) {
        let offset = change.offset;
        match change.update {
            Update::Table(content) => self.set_table(&content, offset, events),
            Update::Zone { zone, out } => self.set_zone(zone, out, offset, events),
            Update::Upstream(record) => {
                let shared = Arc::new(record.clone());
                if self.upstreams.put(record, offset, now) == Outcome::Changed {
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

    fn set_table(&mut self, content: &Content, offset: u64, events: &mut Vec<Event>) {
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

    fn set_zone(&mut self, zone: Arc<str>, out: bool, offset: u64, events: &mut Vec<Event>) {
        let known = self.zones.get(&zone);
        if known.is_some_and(|(_, at)| *at > offset) {
            return;
        }
        if known.is_none_or(|(was, _)| *was != out) {
            events.push(Event::Zone(Arc::clone(&zone), out));
        }
        self.zones.insert(zone, (out, offset));
    }

    /// Removes records whose retention after an outage of the store has ended.
    pub fn drop_expired(&mut self, now: Moment) -> Vec<Event> {
        let removed = self.upstreams.drop_expired(now);
        removed.into_iter().map(Event::UpstreamRemoved).collect()
    }

    /// Returns the full state of this node.
    pub fn snapshot(&self, now: Moment) -> Snapshot {
        let upstreams = self.upstreams.iter();
        Snapshot {
            position: self.position,
            table: self
                .table
                .as_ref()
                .map(|table| (table.content().clone(), self.table_offset)),
            zones: self
                .zones
                .iter()
                .map(|(zone, (out, offset))| (Arc::clone(zone), *out, *offset))
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
        if let Some((content, offset)) = &snapshot.table {
            self.set_table(content, *offset, &mut events);
        }
        if position.orders >= self.position.orders {
            for (zone, out, offset) in snapshot.zones {
                self.set_zone(zone, out, offset, &mut events);
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
                let update = Update::Upstream(record);
                let change = Change { offset, update };
                self.apply_change(Feed::Upstreams, change, now, &mut events);
            }
            let removed = self
                .upstreams
                .retain(position.upstreams, |id| ids.contains(id), None);
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
            .filter(|(_, (out, _))| *out)
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

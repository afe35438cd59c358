//! What a node believes, from the store and from other nodes.
//!
//! [`State`] is a fold without I/O. It keeps the newest of everything by its place
//! in the log, never goes back, and yields a [`View`] for the request path.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;

use crate::admit::{Candidate, UpstreamPool};
use crate::node;
use crate::store::{Batch, Change, Feed, What};
use crate::table::{Content, Table};
use crate::upstream::{self, LAPSE, Outcome};

/// What the request path works with.
#[derive(Debug, Default)]
pub struct View {
    /// The operators' table; `None` until the first one is known.
    pub table: Option<Arc<Table>>,
    /// Where calls may go, by service.
    pub pools: HashMap<Arc<str>, UpstreamPool>,
    /// All upstreams, by service: also those that get no calls, since they may be ranks
    /// of a group that others belong to.
    pub ranks: HashMap<Arc<str>, Vec<Arc<upstream::Record>>>,
    /// Zones out of service.
    pub out: HashSet<Arc<str>>,
    /// Whether the upstreams have been read once.
    pub complete: bool,
    /// Entries that may share the upstreams, this one included; 0 while that is not
    /// known.
    pub entries: usize,
    /// Whether this entry claims the lead of the expert maps.
    pub claims: bool,
}

/// A place in the logs, to compare what two nodes know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Next offset of the orders.
    pub orders: u64,
    /// Next offset of the upstreams.
    pub upstreams: u64,
}

/// All that one node knows, for another one that cannot reach the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Snapshot {
    /// How far it reaches.
    pub position: Position,
    /// The operators' table and its offset.
    pub table: Option<(Content, u64)>,
    /// Orders on zones with their offsets.
    pub zones: Vec<(Arc<str>, bool, u64)>,
    /// Upstreams with their offsets and the rest of their cold time.
    pub upstreams: Vec<(upstream::Record, u64)>,
}

/// What changed, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// A version of the table is in force.
    Table(u64),
    /// A zone is out of service or back.
    Zone(Arc<str>, bool),
    /// An upstream is new, or changed.
    Upstream(Arc<upstream::Record>),
    /// An upstream is gone.
    UpstreamGone(Arc<str>),
    /// A record could not be read.
    Unreadable(String, String),
}

/// The fold.
#[derive(Debug, Default)]
pub struct State {
    table: Option<Arc<Table>>,
    table_offset: u64,
    zones: BTreeMap<Arc<str>, (bool, u64)>,
    upstreams: upstream::Set,
    nodes: HashMap<String, node::Record>,
    position: Position,
    complete: bool,
    /// Until when vanished records are kept, as the store was away.
    lenient_until: Option<Moment>,
}

impl State {
    /// Returns how far this node has read.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the nodes that have announced themselves.
    pub fn nodes(&self) -> impl Iterator<Item = &node::Record> {
        self.nodes.values()
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<u64> {
        self.table.as_ref().map(|table| table.version())
    }

    /// Takes in that the store does not answer.
    pub fn store_away(&mut self, now: Moment) {
        self.lenient_until = Some(now + LAPSE);
        self.upstreams.extend(now + LAPSE);
    }

    fn lenience(&self, now: Moment) -> Option<Moment> {
        self.lenient_until.filter(|until| *until > now)
    }

    /// Takes in what a read yielded. `whole` says that the batch lists the newest
    /// record of every key.
    pub fn apply(&mut self, feed: Feed, batch: Batch, whole: bool, now: Moment) -> Vec<News> {
        let mut news = Vec::new();
        let listed: HashSet<Arc<str>> = batch
            .changes
            .iter()
            .filter_map(|change| match &change.what {
                What::Upstream(record) => Some(Arc::clone(&record.id)),
                What::Zone { zone, out: true } => Some(Arc::clone(zone)),
                _ => None,
            })
            .collect();
        for change in batch.changes {
            self.change(change, now, &mut news);
        }
        match feed {
            Feed::Orders => {
                if whole && batch.next >= self.position.orders {
                    self.zones.retain(|zone, (out, _)| {
                        let keep = !*out || listed.contains(zone);
                        if !keep {
                            news.push(News::Zone(Arc::clone(zone), false));
                        }
                        keep
                    });
                }
                self.position.orders = self.position.orders.max(batch.next);
            }
            Feed::Upstreams => {
                if whole && batch.next >= self.position.upstreams {
                    let until = self.lenience(now);
                    let gone = self
                        .upstreams
                        .retain(batch.next, |id| listed.contains(id), until);
                    news.extend(gone.into_iter().map(News::UpstreamGone));
                    self.complete = true;
                }
                self.position.upstreams = self.position.upstreams.max(batch.next);
            }
            Feed::Nodes => {}
        }
        news
    }

    fn change(&mut self, change: Change, now: Moment, news: &mut Vec<News>) {
        let offset = change.offset;
        match change.what {
            What::Table(content) => self.set_table(&content, offset, news),
            What::Zone { zone, out } => self.set_zone(zone, out, offset, news),
            What::Upstream(record) => {
                let shared = Arc::new(record.clone());
                if self.upstreams.put(record, offset, now) == Outcome::Changed {
                    news.push(News::Upstream(shared));
                }
            }
            What::UpstreamGone(id) => {
                let until = self.lenience(now);
                if self.upstreams.remove(&id, offset, until) == Outcome::Changed {
                    news.push(News::UpstreamGone(id));
                }
            }
            What::Node(record) => {
                self.nodes.insert(record.name.clone(), record);
            }
            What::NodeGone(name) => {
                self.nodes.remove(&name);
            }
            What::Unreadable { key, reason } => news.push(News::Unreadable(key, reason)),
        }
    }

    fn set_table(&mut self, content: &Content, offset: u64, news: &mut Vec<News>) {
        let newer = self
            .table
            .as_ref()
            .is_none_or(|table| content.version > table.version());
        if newer {
            self.table = Some(Arc::new(Table::new(content.clone())));
            self.table_offset = offset;
            news.push(News::Table(content.version));
        }
    }

    fn set_zone(&mut self, zone: Arc<str>, out: bool, offset: u64, news: &mut Vec<News>) {
        let known = self.zones.get(&zone);
        if known.is_some_and(|(_, at)| *at > offset) {
            return;
        }
        if known.is_none_or(|(was, _)| *was != out) {
            news.push(News::Zone(Arc::clone(&zone), out));
        }
        self.zones.insert(zone, (out, offset));
    }

    /// Drops records whose grace after an outage is over.
    pub fn settle(&mut self, now: Moment) -> Vec<News> {
        let gone = self.upstreams.settle(now);
        gone.into_iter().map(News::UpstreamGone).collect()
    }

    /// Returns all that this node knows.
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

    /// Takes in what another node knows, where it is newer.
    pub fn restore(&mut self, snapshot: Snapshot, now: Moment) -> Vec<News> {
        let mut news = Vec::new();
        let position = snapshot.position;
        if let Some((content, offset)) = &snapshot.table {
            self.set_table(content, *offset, &mut news);
        }
        if position.orders >= self.position.orders {
            for (zone, out, offset) in snapshot.zones {
                self.set_zone(zone, out, offset, &mut news);
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
                let what = What::Upstream(record);
                self.change(Change { offset, what }, now, &mut news);
            }
            let gone = self
                .upstreams
                .retain(position.upstreams, |id| ids.contains(id), None);
            news.extend(gone.into_iter().map(News::UpstreamGone));
            self.position.upstreams = position.upstreams;
            self.complete = true;
        }
        news
    }

    /// Returns what the request path works with. `entries` is the number of
    /// entries that may share the upstreams; 0 while that is not known.
    pub fn view(&self, entries: usize) -> View {
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
            });
        }
        for (service, pool) in &mut pools {
            let table = self.table.as_ref();
            let service = table.and_then(|table| table.service(service));
            pool.cold_rate = service.map_or(0.0, |service| service.cold_rate);
            pool.engine = service.and_then(|service| service.engine.clone());
            pool.gateways = entries.max(1);
            pool.candidates
                .sort_by(|a, b| a.record.id.cmp(&b.record.id));
        }
        View {
            table: self.table.clone(),
            complete: self.complete,
            ranks,
            pools,
            out,
            entries,
            claims: false,
        }
    }
}

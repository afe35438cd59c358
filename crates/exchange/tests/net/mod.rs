//! Nodes joined by a message queue with delay, loss, duplication and cuts.
//!
//! Every delivery is checked on the way: in order, no gap, no repetition,
//! never going back, and every message within its size limit.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use bincode::Options;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;
use sesamerock_exchange::blob::Blob;
use sesamerock_exchange::message::{Message, Record, Ticket};
use sesamerock_exchange::node::{Delivery, Node, Settings};
use sesamerock_exchange::peer::{Peer, Place};
use sesamerock_exchange::transfer::Snapshot;

pub const MESSAGE_LIMIT: u64 = 64 << 10;

/// Content of a part that was damaged; no snapshot of the tests begins so.
pub const DAMAGED: u8 = 0xff;

/// Time after which the driver gives up on a call.
const TIMEOUT: Duration = Duration::from_secs(1);

pub enum Event {
    Tick(usize),
    Request(usize, Ticket, Message),
    Reply(usize, usize, Ticket, Message),
    Failed(usize, Ticket),
}

pub struct Net {
    pub now: Moment,
    pub nodes: Vec<Option<Node>>,
    pub peers: Vec<Peer>,
    /// What each node's owner has applied.
    pub applied: Vec<Version>,
    /// Orders each node's owner got ahead of its turn.
    pub expedited: Vec<Vec<Version>>,
    pub loss: f64,
    pub duplication: f64,
    /// Longest one-way delay; the shortest is a millisecond.
    pub delay: Duration,
    /// Nodes of different numbers cannot reach each other.
    pub side: Vec<u8>,
    pub largest: u64,
    /// Bytes of snapshot parts sent.
    pub fetched: usize,
    /// The node that sent the last part of a snapshot.
    pub source: Option<usize>,
    /// Nodes whose parts arrive damaged.
    pub damaging: Vec<usize>,
    /// Damaged snapshots that owners refused.
    pub refused: usize,
    pub messages: u64,
    pub rng: ChaCha8Rng,
    pub settings: Settings,
    queue: BinaryHeap<Reverse<(Moment, u64, usize)>>,
    events: Vec<Option<Event>>,
}

pub fn address(index: usize) -> SocketAddr {
    let [_, high, mid, low] = (index as u32).to_be_bytes();
    SocketAddr::from(([10, high, mid, low], 7000))
}

/// Names the zone by region and zone number.
pub fn place(region: usize, zone: usize) -> Place {
    Place::named(&format!("r{region}"), &format!("z{zone}"))
}

pub fn record(version: u64, bytes: usize) -> Record {
    let mut content = vec![0; bytes.max(8)];
    content[..8].copy_from_slice(&version.to_le_bytes());
    Record {
        version: Version(version),
        bytes: Blob::from(content),
    }
}

pub fn snapshot(version: u64, bytes: usize) -> Snapshot {
    let record = record(version, bytes);
    Snapshot {
        version: record.version,
        bytes: record.bytes,
    }
}

impl Net {
    /// Makes nodes in the given places, each knowing three others as seeds.
    pub fn new(seed: u64, places: &[Place], settings: &Settings) -> Self {
        let peers: Vec<_> = places
            .iter()
            .enumerate()
            .map(|(i, place)| Peer::new(address(i), *place))
            .collect();
        let mut net = Self {
            now: Moment::from_millis(1_000),
            nodes: Vec::new(),
            applied: vec![Version(0); peers.len()],
            expedited: vec![Vec::new(); peers.len()],
            side: vec![0; peers.len()],
            peers,
            loss: 0.0,
            duplication: 0.0,
            delay: Duration::from_millis(20),
            largest: 0,
            fetched: 0,
            source: None,
            damaging: Vec::new(),
            refused: 0,
            messages: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            settings: *settings,
            queue: BinaryHeap::new(),
            events: Vec::new(),
        };
        net.nodes.resize_with(places.len(), || None);
        for index in 0..places.len() {
            net.start(index);
        }
        net
    }

    /// Starts or restarts a node with an empty state.
    pub fn start(&mut self, index: usize) {
        let count = self.peers.len();
        let seeds: Vec<_> = (1..=3.min(count - 1))
            .map(|step| self.peers[(index + step * (count / 3).max(1)) % count])
            .collect();
        let mut node = Node::new(self.now, self.peers[index], self.settings, seeds);
        let list = self.peers.clone();
        node.set_vms(list, &mut self.rng);
        self.nodes[index] = Some(node);
        self.applied[index] = Version(0);
        self.at(Duration::ZERO, Event::Tick(index));
    }

    pub fn stop(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    pub fn node(&mut self, index: usize) -> &mut Node {
        self.nodes[index].as_mut().expect("the node runs")
    }

    pub fn add_record(&mut self, index: usize, record: Record) {
        let now = self.now;
        self.node(index).add_record(now, record);
        self.flush(index);
    }

    /// Announces a record ahead of its turn.
    pub fn expedite(&mut self, index: usize, record: Record) {
        let now = self.now;
        self.node(index).expedite(now, record.version, record.bytes);
        self.flush(index);
    }

    /// Counts a read of the log, which is up to date by construction.
    pub fn record_log_read(&mut self, index: usize) {
        let now = self.now;
        let head = self.node(index).version();
        self.node(index).record_log_read(now, head);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, _, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events[id].take() {
                self.handle(event);
            }
        }
        self.now = end;
    }

    pub fn converged(&self) -> bool {
        let versions: Vec<_> = self.nodes.iter().flatten().map(Node::version).collect();
        versions.windows(2).all(|pair| pair[0] == pair[1])
    }

    pub fn in_contact(&self, index: usize) -> bool {
        let node = self.nodes[index].as_ref();
        node.is_some_and(|node| node.in_contact(self.now))
    }

    /// Takes what a node wants done after a call.
    pub fn flush(&mut self, index: usize) {
        let now = self.now;
        let node = self.nodes[index].as_mut().expect("the node runs");
        for delivery in node.take_deliveries() {
            self.apply(index, &delivery);
        }
        let node = self.nodes[index].as_mut().expect("the node runs");
        let requests = node.take_requests();
        let version = node.version();
        let next = node.next_tick(now).max(now + Duration::from_millis(1));
        assert_eq!(self.applied[index], version, "a record was not delivered");
        for request in requests {
            self.request(index, request.ticket, request.message);
        }
        self.at(next.since(now), Event::Tick(index));
    }

    fn apply(&mut self, index: usize, delivery: &Delivery) {
        let (version, bytes) = match delivery {
            Delivery::Expedited(order) => {
                let known = &mut self.expedited[index];
                assert!(!known.contains(&order.version), "an order came twice");
                known.push(order.version);
                return;
            }
            Delivery::Record(record) => {
                let expected = self.applied[index].next();
                assert_eq!(record.version, expected, "gap or repetition");
                (record.version, &record.bytes)
            }
            Delivery::Snapshot(snapshot) => {
                assert!(snapshot.version > self.applied[index], "went back");
                let held = self.applied[index];
                let now = self.now;
                if snapshot.bytes[0] == DAMAGED {
                    self.refused += 1;
                    self.node(index).reject_snapshot(now, snapshot, held);
                    return;
                }
                self.node(index).accept_snapshot();
                (snapshot.version, &snapshot.bytes)
            }
        };
        assert_eq!(bytes[..8], version.0.to_le_bytes(), "mixed up content");
        self.applied[index] = version;
    }

    fn request(&mut self, from: usize, ticket: Ticket, message: Message) {
        self.size(&message);
        let to = self.index(ticket.to);
        let reachable = self.side[from] == self.side[to];
        if !reachable || self.rng.random_bool(self.loss) {
            self.at(TIMEOUT, Event::Failed(from, ticket));
            return;
        }
        while self.rng.random_bool(self.duplication) {
            let delay = self.random_delay();
            self.at(delay, Event::Request(from, ticket, message.clone()));
        }
        let delay = self.random_delay();
        self.at(delay, Event::Request(from, ticket, message));
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick(index) => {
                let due = self.nodes[index]
                    .as_ref()
                    .is_some_and(|n| n.next_tick(now) <= now);
                if due {
                    self.nodes[index]
                        .as_mut()
                        .expect("the node runs")
                        .tick(now, &mut self.rng);
                    self.flush(index);
                }
            }
            Event::Request(from, ticket, message) => {
                let to = self.index(ticket.to);
                let Some(node) = self.nodes[to].as_mut() else {
                    self.at(TIMEOUT, Event::Failed(from, ticket));
                    return;
                };
                let mut reply = node.receive_request(now, &message, &mut self.rng);
                self.size(&reply);
                if let Some(chunk) = &mut reply.chunk {
                    self.source = Some(to);
                    if self.damaging.contains(&to) {
                        chunk.bytes = Blob::from(vec![DAMAGED; chunk.bytes.len()]);
                    }
                }
                self.flush(to);
                let delay = self.random_delay();
                if self.rng.random_bool(self.loss) {
                    self.at(TIMEOUT, Event::Failed(from, ticket));
                } else {
                    self.at(delay, Event::Reply(to, from, ticket, reply));
                }
            }
            Event::Reply(from, to, ticket, message) => {
                if self.side[from] != self.side[to] {
                    self.at(TIMEOUT, Event::Failed(to, ticket));
                } else if let Some(node) = self.nodes[to].as_mut() {
                    node.receive_reply(now, &ticket, &message, &mut self.rng);
                    self.flush(to);
                }
            }
            Event::Failed(index, ticket) => {
                if let Some(node) = self.nodes[index].as_mut() {
                    node.request_failed(now, &ticket);
                    self.flush(index);
                }
            }
        }
    }

    fn index(&self, address: SocketAddr) -> usize {
        let found = self.peers.iter().position(|p| p.address == address);
        found.expect("requests go to known addresses")
    }

    fn size(&mut self, message: &Message) {
        let size = bincode::DefaultOptions::new().serialized_size(message);
        let size = size.expect("messages are encodable");
        assert!(size <= MESSAGE_LIMIT, "a message of {size} bytes");
        self.largest = self.largest.max(size);
        let part = message.chunk.as_ref();
        self.fetched += part.map_or(0, |chunk| chunk.bytes.len());
        self.messages += 1;
    }

    fn random_delay(&mut self) -> Duration {
        let longest = self.delay.as_micros() as u64;
        Duration::from_micros(self.rng.random_range(1_000..=longest.max(1_001)))
    }

    fn at(&mut self, delay: Duration, event: Event) {
        let id = self.events.len();
        self.events.push(Some(event));
        self.queue.push(Reverse((self.now + delay, id as u64, id)));
    }
}

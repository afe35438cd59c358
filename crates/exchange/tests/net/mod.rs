//! Simulated network of nodes with delay, loss, duplication and partitions.
//!
//! The simulation asserts that each node's deliveries are in order, without gap or
//! repetition, that versions never decrease, and that every message is within its
//! size limit.
#![allow(dead_code, reason = "each test file uses only some of these items")]

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

pub const MAX_MESSAGE_BYTES: u64 = 64 << 10;

/// Content of damaged snapshot parts. No valid snapshot of these tests begins with
/// this byte.
pub const DAMAGED_BYTE: u8 = 0xff;

/// Time after which a call without a reply fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

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
    /// Version that each node's owner has applied.
    pub applied: Vec<Version>,
    /// Versions of the expedited records delivered to each node's owner.
    pub expedited: Vec<Vec<Version>>,
    pub loss: f64,
    pub duplication: f64,
    /// Longest one-way delay; the shortest is 1 ms.
    pub max_delay: Duration,
    /// Partition of each node; nodes of different partitions can't reach each
    /// other.
    pub partition: Vec<u8>,
    pub largest_message_bytes: u64,
    /// Bytes of snapshot parts sent.
    pub fetched_bytes: usize,
    /// The node that sent the last part of a snapshot.
    pub last_source: Option<usize>,
    /// Nodes whose snapshot parts arrive damaged.
    pub damaging_nodes: Vec<usize>,
    /// Number of damaged snapshots that owners rejected.
    pub rejected_snapshots: usize,
    pub message_count: u64,
    pub rng: ChaCha8Rng,
    pub settings: Settings,
    queue: BinaryHeap<Reverse<(Moment, u64, usize)>>,
    events: Vec<Option<Event>>,
}

pub fn address(index: usize) -> SocketAddr {
    let [_, high, mid, low] = (index as u32).to_be_bytes();
    SocketAddr::from(([10, high, mid, low], 7000))
}

/// Returns the place of a zone by the numbers of its region and zone.
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
    /// Starts one node in each of the places, each with up to three others as
    /// seeds.
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
            partition: vec![0; peers.len()],
            peers,
            loss: 0.0,
            duplication: 0.0,
            max_delay: Duration::from_millis(20),
            largest_message_bytes: 0,
            fetched_bytes: 0,
            last_source: None,
            damaging_nodes: Vec::new(),
            rejected_snapshots: 0,
            message_count: 0,
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

    /// Starts or restarts a node without any state.
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
        self.schedule(Duration::ZERO, Event::Tick(index));
    }

    pub fn stop(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    pub fn node(&mut self, index: usize) -> &mut Node {
        self.nodes[index].as_mut().expect("the node is running")
    }

    pub fn add_record(&mut self, index: usize, record: Record) {
        let now = self.now;
        self.node(index).add_record(now, record);
        self.process_outputs(index);
    }

    /// Publishes an expedited fact for a record at a node.
    pub fn expedite(&mut self, index: usize, record: Record) {
        let now = self.now;
        self.node(index).expedite(now, record.version, record.bytes);
        self.process_outputs(index);
    }

    /// Reports a read of the log that found no record beyond the node's version.
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

    /// Applies a node's deliveries, sends its requests and schedules its next tick.
    /// Call it after each call of the node that changes its state.
    pub fn process_outputs(&mut self, index: usize) {
        let now = self.now;
        let node = self.nodes[index].as_mut().expect("the node is running");
        for delivery in node.take_deliveries() {
            self.apply(index, &delivery);
        }
        let node = self.nodes[index].as_mut().expect("the node is running");
        let requests = node.take_requests();
        let version = node.version();
        let next = node.next_tick(now).max(now + Duration::from_millis(1));
        assert_eq!(
            self.applied[index], version,
            "the node's version was not delivered"
        );
        for request in requests {
            self.request(index, request.ticket, request.message);
        }
        self.schedule(next.since(now), Event::Tick(index));
    }

    fn apply(&mut self, index: usize, delivery: &Delivery) {
        let (version, bytes) = match delivery {
            Delivery::Expedited(record) => {
                let known = &mut self.expedited[index];
                assert!(
                    !known.contains(&record.version),
                    "an expedited record was delivered twice"
                );
                known.push(record.version);
                return;
            }
            Delivery::Record(record) => {
                let expected = self.applied[index].next();
                assert_eq!(
                    record.version, expected,
                    "records have a gap or a repetition"
                );
                (record.version, &record.bytes)
            }
            Delivery::Snapshot(snapshot) => {
                assert!(
                    snapshot.version > self.applied[index],
                    "a snapshot is not newer than the applied version"
                );
                let held = self.applied[index];
                let now = self.now;
                if snapshot.bytes[0] == DAMAGED_BYTE {
                    self.rejected_snapshots += 1;
                    self.node(index).reject_snapshot(now, snapshot, held);
                    return;
                }
                self.node(index).accept_snapshot();
                (snapshot.version, &snapshot.bytes)
            }
        };
        assert_eq!(
            bytes[..8],
            version.0.to_le_bytes(),
            "the content belongs to another version"
        );
        self.applied[index] = version;
    }

    fn request(&mut self, from: usize, ticket: Ticket, message: Message) {
        self.check_size(&message);
        let to = self.index_of(ticket.to);
        let reachable = self.partition[from] == self.partition[to];
        if !reachable || self.rng.random_bool(self.loss) {
            self.schedule(CALL_TIMEOUT, Event::Failed(from, ticket));
            return;
        }
        while self.rng.random_bool(self.duplication) {
            let delay = self.random_delay();
            self.schedule(delay, Event::Request(from, ticket, message.clone()));
        }
        let delay = self.random_delay();
        self.schedule(delay, Event::Request(from, ticket, message));
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
                        .expect("the node is running")
                        .tick(now, &mut self.rng);
                    self.process_outputs(index);
                }
            }
            Event::Request(from, ticket, message) => {
                let to = self.index_of(ticket.to);
                let Some(node) = self.nodes[to].as_mut() else {
                    self.schedule(CALL_TIMEOUT, Event::Failed(from, ticket));
                    return;
                };
                let mut reply = node.receive_request(now, &message, &mut self.rng);
                self.check_size(&reply);
                if let Some(chunk) = &mut reply.chunk {
                    self.last_source = Some(to);
                    if self.damaging_nodes.contains(&to) {
                        chunk.bytes = Blob::from(vec![DAMAGED_BYTE; chunk.bytes.len()]);
                    }
                }
                self.process_outputs(to);
                let delay = self.random_delay();
                if self.rng.random_bool(self.loss) {
                    self.schedule(CALL_TIMEOUT, Event::Failed(from, ticket));
                } else {
                    self.schedule(delay, Event::Reply(to, from, ticket, reply));
                }
            }
            Event::Reply(from, to, ticket, message) => {
                if self.partition[from] != self.partition[to] {
                    self.schedule(CALL_TIMEOUT, Event::Failed(to, ticket));
                } else if let Some(node) = self.nodes[to].as_mut() {
                    node.receive_reply(now, &ticket, &message, &mut self.rng);
                    self.process_outputs(to);
                }
            }
            Event::Failed(index, ticket) => {
                if let Some(node) = self.nodes[index].as_mut() {
                    node.request_failed(now, &ticket);
                    self.process_outputs(index);
                }
            }
        }
    }

    fn index_of(&self, address: SocketAddr) -> usize {
        let found = self.peers.iter().position(|p| p.address == address);
        found.expect("requests go to addresses of the network")
    }

    fn check_size(&mut self, message: &Message) {
        let size = bincode::DefaultOptions::new().serialized_size(message);
        let size = size.expect("a message can be encoded");
        assert!(size <= MAX_MESSAGE_BYTES, "a message has {size} bytes");
        self.largest_message_bytes = self.largest_message_bytes.max(size);
        let part = message.chunk.as_ref();
        self.fetched_bytes += part.map_or(0, |chunk| chunk.bytes.len());
        self.message_count += 1;
    }

    fn random_delay(&mut self) -> Duration {
        let max_micros = self.max_delay.as_micros() as u64;
        Duration::from_micros(self.rng.random_range(1_000..=max_micros.max(1_001)))
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        let id = self.events.len();
        self.events.push(Some(event));
        self.queue.push(Reverse((self.now + delay, id as u64, id)));
    }
}

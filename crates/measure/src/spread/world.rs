//! The nodes of one scenario, driven over the queue.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;
use sesamerock_exchange::blob::Blob;
use sesamerock_exchange::message::{ContactStatus, Message, Record, Request, Ticket};
use sesamerock_exchange::node::{Delivery, Node};
use sesamerock_exchange::peer::Peer;
use sesamerock_exchange::transfer::Snapshot;

use super::queue::{Event, Queue};
use super::scenario::{Origin, Scenario};
use super::tally::Tally;
use super::topology::{ZONES, index_of, latency, peer, region_of};
use super::wire::{coded, size};

/// Time after which a call fails.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Time a VM takes to come back after it stopped.
const RESTART: Duration = Duration::from_secs(30);

/// Entries of the VM list a node is given, a random part of the whole.
const LISTED: usize = 150;

/// Version of the state that all nodes start from.
const START: u64 = 10_000;

/// Content of one record in bytes.
const RECORD: usize = 300;

/// Content of an order in bytes: the record that takes a zone out, with an id
/// and a name of ordinary length.
const ORDER: usize = 150;

/// One VM.
#[derive(Debug)]
struct Slot {
    node: Option<Node>,
    tick: Moment,
}

/// All VMs and what is on its way between them.
#[derive(Debug)]
pub struct World<'a> {
    scenario: &'a Scenario,
    peers: Vec<Peer>,
    slots: Vec<Slot>,
    queue: Queue,
    now: Moment,
    rng: ChaCha8Rng,
    state: Blob,
    content: Blob,
    appended: u64,
    tally: Tally,
}

/// Runs a scenario and returns what was counted.
pub fn run(scenario: &Scenario, seed: u64) -> Tally {
    let mut world = World::new(scenario, seed);
    world.plan();
    while let Some((at, event)) = world.queue.pop(scenario.end) {
        world.now = at;
        world.handle(event);
    }
    world.finish()
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let peers: Vec<_> = (0..scenario.nodes).map(peer).collect();
        let slots = peers.iter().map(|_| Slot {
            node: None,
            tick: Moment(u64::MAX),
        });
        Self {
            slots: slots.collect(),
            queue: Queue::default(),
            now: Moment::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            state: Blob::from(vec![7; scenario.state]),
            content: Blob::from(vec![9; RECORD]),
            appended: START,
            tally: Tally::new(scenario.nodes, START, scenario.counted, scenario.busy),
            scenario,
            peers,
        }
    }

    /// Schedules starts, changes, churn and the failure of a rack.
    fn plan(&mut self) {
        for index in 0..self.peers.len() {
            let at = Moment(self.rng.random_range(0..1_000_000));
            self.now = at;
            self.start(index, true);
        }
        for at in &self.scenario.changes {
            self.queue.push(*at, Event::Append);
        }
        let seconds = self.scenario.end.since(Moment::default()).as_secs_f64();
        let per_second = 1_180.0 / 86_400.0 * self.peers.len() as f64 / 11_000.0;
        let mut at = 0.0;
        loop {
            at -= (1.0 - self.rng.random::<f64>()).ln() / per_second;
            if at >= seconds {
                break;
            }
            let index = self.rng.random_range(0..self.peers.len());
            self.stop_at(Moment((at * 1e6) as u64), index);
        }
        if let Some(at) = self.scenario.rack {
            // At small sizes a zone has fewer nodes than a rack; half of it.
            let size = 40.min(self.peers.len() / ZONES / 2);
            for index in 0..size {
                self.stop_at(at, ZONES * index + 5);
            }
        }
    }

    fn stop_at(&mut self, at: Moment, index: usize) {
        self.queue.push(at, Event::Stop(index as u32));
        self.queue.push(at + RESTART, Event::Start(index as u32));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(index) => self.tick(index as usize),
            Event::Request(from, to, ticket, message) => {
                self.request(from as usize, to as usize, ticket, &message);
            }
            Event::Reply(from, to, ticket, message) => {
                self.reply(from as usize, to as usize, ticket, &message);
            }
            Event::Failed(index, ticket) => {
                self.with(index as usize, |node, now, _| {
                    node.request_failed(now, &ticket);
                });
            }
            Event::Log(index, version) => self.read_log(index as usize, version),
            Event::Append => self.append(),
            Event::Stop(index) => self.slots[index as usize].node = None,
            Event::Start(index) => self.start(index as usize, false),
        }
    }

    /// Calls a node, if it runs, and takes out what it wants done.
    fn with<T>(
        &mut self,
        index: usize,
        call: impl FnOnce(&mut Node, Moment, &mut ChaCha8Rng) -> T,
    ) -> Option<T> {
        let now = self.now;
        let node = self.slots[index].node.as_mut()?;
        let result = call(node, now, &mut self.rng);
        let deliveries = node.take_deliveries();
        let requests = node.take_requests();
        let next = node.next_tick(now).max(now + Duration::from_millis(1));
        for delivery in deliveries {
            let version = match delivery {
                Delivery::Record(record) => record.version,
                Delivery::Snapshot(snapshot) => snapshot.version,
                Delivery::Expedited(order) => {
                    self.tally.order_known(now, index, order.version.0);
                    continue;
                }
            };
            self.tally.applied(now, index, version.0);
        }
        for request in requests {
            self.send(index, request);
        }
        let slot = &mut self.slots[index];
        if next < slot.tick {
            slot.tick = next;
            self.queue.push(next, Event::Tick(index as u32));
        }
        Some(result)
    }

    fn start(&mut self, index: usize, first: bool) {
        let me = self.peers[index];
        let listed: Vec<_> = (0..LISTED)
            .map(|_| self.peers[self.rng.random_range(0..self.peers.len())])
            .collect();
        let mut node = Node::new(self.now, me, self.scenario.settings, []);
        node.set_vms(listed.iter().copied(), &mut self.rng);
        if first {
            // The state and a full sample, as after some time of running.
            let mut hello = Message::new(listed[0], Version(0), ContactStatus::default());
            hello.peers = listed;
            node.receive_request(self.now, &hello, &mut self.rng);
            let state = Snapshot {
                version: Version(START),
                bytes: self.state.clone(),
            };
            node.restore(self.now, state);
        }
        let slot = &mut self.slots[index];
        slot.node = Some(node);
        slot.tick = Moment(u64::MAX);
        self.tally.started(self.now, index);
        self.with(index, |node, now, rng| {
            if !first {
                node.tick(now, rng);
            }
        });
    }

    fn tick(&mut self, index: usize) {
        if self.slots[index].tick != self.now {
            return;
        }
        self.slots[index].tick = Moment(u64::MAX);
        let held = self.with(index, |node, now, rng| {
            node.tick(now, rng);
            node.in_contact(now)
        });
        if let Some(held) = held {
            self.tally.contact(self.now, index, held);
        }
    }

    fn send(&mut self, from: usize, request: Request) {
        let Request { ticket, message } = request;
        let to = index_of(ticket.to);
        let joining = self.joining(from, to);
        self.tally.sent(self.now, from, coded(&message, joining));
        match self.transit(from, to) {
            Some(delay) => self.queue.push(
                self.now + delay,
                Event::Request(from as u32, to as u32, ticket, Box::new(message)),
            ),
            None => self.fail(from, ticket),
        }
    }

    fn request(&mut self, from: usize, to: usize, ticket: Ticket, message: &Message) {
        let reply = self.with(to, |node, now, rng| node.receive_request(now, message, rng));
        let Some(reply) = reply else {
            self.fail(from, ticket);
            return;
        };
        let joining = self.joining(from, to);
        self.tally.received(self.now, to, size(message, joining));
        self.tally.sent(self.now, to, coded(&reply, joining));
        match self.transit(to, from) {
            Some(delay) => self.queue.push(
                self.now + delay,
                Event::Reply(to as u32, from as u32, ticket, Box::new(reply)),
            ),
            None => self.fail(from, ticket),
        }
    }

    fn reply(&mut self, from: usize, to: usize, ticket: Ticket, message: &Message) {
        debug_assert_eq!(index_of(ticket.to), from, "a reply of another node");
        let joining = self.joining(from, to);
        self.tally.received(self.now, to, size(message, joining));
        self.with(to, |node, now, rng| {
            node.receive_reply(now, &ticket, message, rng);
        });
    }

    fn fail(&mut self, index: usize, ticket: Ticket) {
        let at = (ticket.sent + TIMEOUT).max(self.now);
        self.queue.push(at, Event::Failed(index as u32, ticket));
    }

    fn append(&mut self) {
        self.appended += 1;
        let version = self.appended;
        self.tally.appended(self.now);
        if self.is_order(version) {
            self.tally.ordered(self.now, version);
        }
        if self.scenario.origin == Origin::One {
            let index = self.rng.random_range(0..self.peers.len());
            self.queue.push(self.now, Event::Log(index as u32, version));
            return;
        }
        for index in 0..self.slots.len() {
            let reads = self.slots[index].node.as_ref();
            let cut = self.is_cut(0, index);
            if cut || !reads.is_some_and(Node::reads_log) {
                continue;
            }
            let poll = Duration::from_micros(self.rng.random_range(0..50_000));
            let at = self.now + latency(self.peers[0].place, self.peers[index].place) + poll;
            self.queue.push(at, Event::Log(index as u32, version));
        }
    }

    /// Gives a node the records of the log that it lacks.
    fn read_log(&mut self, index: usize, version: u64) {
        let content = self.content.clone();
        let orders: Vec<_> = (START..=version).filter(|v| self.is_order(*v)).collect();
        let ahead = self.scenario.ahead;
        self.with(index, |node, now, _| {
            let from = node.version().next().0;
            if from <= START {
                return;
            }
            for version in from..=version {
                if ahead && orders.contains(&version) {
                    node.expedite(now, Version(version), Blob::from(vec![5; ORDER]));
                }
                let record = Record {
                    version: Version(version),
                    bytes: content.clone(),
                };
                node.add_record(now, record);
            }
        });
    }

    fn is_order(&self, version: u64) -> bool {
        self.scenario.orders.contains(&(version - START))
    }

    /// Returns whether one of two nodes was started within the last 10 s, so
    /// that it fetches state and recent records.
    fn joining(&self, one: usize, other: usize) -> bool {
        let since = self.tally.since(one).max(self.tally.since(other));
        since > Moment::from_millis(1_000) && self.now.since(since) < Duration::from_secs(10)
    }

    /// Returns the delay of a message, or none if it is lost.
    fn transit(&mut self, from: usize, to: usize) -> Option<Duration> {
        if self.rng.random_bool(0.01) || self.is_cut(from, to) {
            return None;
        }
        let base = latency(self.peers[from].place, self.peers[to].place);
        Some(base.mul_f64(self.rng.random_range(0.9..1.5)))
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let Some(cut) = self.scenario.cut else {
            return false;
        };
        let inside = |index: usize| region_of(index) == cut.region;
        (cut.from..cut.to).contains(&self.now) && inside(from) != inside(to)
    }

    fn finish(mut self) -> Tally {
        let versions = self.slots.iter().map(|slot| {
            let node = slot.node.as_ref();
            node.map(|node| node.version().0)
        });
        let readers = self.slots.iter().filter_map(|slot| slot.node.as_ref());
        self.tally.readers = readers.filter(|node| node.reads_log()).count();
        self.tally.finish(versions);
        self.tally
    }
}

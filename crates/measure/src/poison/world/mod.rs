//! Twelve upstreams, four entries and their callers.

mod setup;
mod sharing;

pub use setup::{Policy, Result, Setup};

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use sesamerock_base::time::Moment;
use sesamerock_retry::crash::{Crash, Fingerprint, Stamp, Update};
use sesamerock_retry::in_flight::{InFlight, Start};
use sesamerock_retry::suspect::{Findings, Verdict};

use crate::clock::Clock;
use sharing::Node;

const UPSTREAMS: usize = 12;
const ENTRIES: usize = 4;
const POISON: Fingerprint = Fingerprint(u64::MAX);
const SERVICE_MS: (u64, u64) = (500, 1_500);
/// Time from the start of the poison request to the crash.
const FUSE_MS: (u64, u64) = (20, 300);
const RESTART_MS: u64 = 20_000;
const DEADLINE_MS: u64 = 30_000;
/// Pause before a call that found no place is tried again.
const PAUSE_MS: u64 = 10;
/// When a rack fails, how often again, and within which time its upstreams do.
const RACK_MS: u64 = 30_000;
const RACK_AGAIN_MS: u64 = 25_000;
const RACK_SPREAD_MS: u64 = 300;
/// When the poison request is sent first, and when the run ends.
const FIRST_MS: u64 = 5_000;
const END_MS: u64 = 120_000;
const FREQUENT_BODIES: u64 = 5;

#[derive(Clone, Copy, Debug)]
struct Call {
    fingerprint: Fingerprint,
    entry: usize,
    arrived: Moment,
    started: Stamp,
    attempts: u32,
}

#[derive(Debug)]
enum Event {
    Arrive,
    Poison,
    Try(u64),
    Finish(usize, u64, u64),
    Crash(usize, u64),
    Rack,
    Restart(usize),
    GiveUp(u64),
    Merge(usize, Update),
}

#[derive(Debug, Default)]
struct Upstream {
    up: bool,
    incarnation: u64,
    running: BTreeMap<u64, Call>,
    flight: InFlight,
}

impl Upstream {
    fn flight_has(&self, fingerprint: Fingerprint) -> bool {
        self.running
            .values()
            .any(|call| call.fingerprint == fingerprint)
    }
}

struct World {
    policy: Policy,
    setup: Setup,
    rng: ChaCha8Rng,
    clock: Clock<Event>,
    upstreams: Vec<Upstream>,
    nodes: Vec<Node>,
    waiting: BTreeMap<u64, Call>,
    next: u64,
    result: Result,
}

/// Runs the model to its end.
pub fn run(seed: u64, policy: Policy, setup: &Setup) -> Result {
    let mut world = World {
        policy,
        setup: *setup,
        rng: ChaCha8Rng::seed_from_u64(seed),
        clock: Clock::default(),
        upstreams: (0..UPSTREAMS)
            .map(|_| Upstream {
                up: true,
                ..Upstream::default()
            })
            .collect(),
        nodes: (0..ENTRIES + UPSTREAMS).map(|_| Node::default()).collect(),
        waiting: BTreeMap::new(),
        next: 0,
        result: Result::default(),
    };
    world.clock.at(Moment::default(), Event::Arrive);
    world.clock.at(Moment::from_millis(FIRST_MS), Event::Poison);
    if setup.rack > 0 {
        world.clock.at(Moment::from_millis(RACK_MS), Event::Rack);
    }
    while let Some(event) = world.clock.next(Moment::from_millis(END_MS)) {
        world.step(event);
    }
    world.result.unfinished = world.unfinished();
    world.result
}

impl World {
    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Poison => self.poison(),
            Event::Try(id) => self.attempt(id),
            Event::Finish(upstream, incarnation, id) => self.finish(upstream, incarnation, id),
            Event::Crash(upstream, incarnation) => self.crash(upstream, incarnation),
            Event::Rack => self.rack(),
            Event::Restart(upstream) => self.upstreams[upstream].up = true,
            Event::GiveUp(id) => self.give_up(id),
            Event::Merge(node, update) => self.nodes[node].merge(&update),
        }
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.setup.rate;
        self.after(Duration::from_secs_f64(gap), Event::Arrive);
        let fingerprint = if self.rng.random_bool(self.setup.frequent) {
            Fingerprint(self.rng.random_range(0..FREQUENT_BODIES))
        } else {
            Fingerprint(self.rng.random_range(1_000..u64::MAX))
        };
        self.result.innocents += 1;
        self.admit(fingerprint);
    }

    fn poison(&mut self) {
        self.result.poison_sends += 1;
        let id = self.admit(POISON);
        self.after(
            Duration::from_millis(self.setup.patience),
            Event::GiveUp(id),
        );
    }

    fn admit(&mut self, fingerprint: Fingerprint) -> u64 {
        self.next += 1;
        let call = Call {
            fingerprint,
            entry: self.rng.random_range(0..ENTRIES),
            arrived: self.clock.now(),
            started: Stamp::default(),
            attempts: 0,
        };
        self.waiting.insert(self.next, call);
        self.after(Duration::ZERO, Event::Try(self.next));
        self.next
    }

    /// The poison's caller gives up on a sending that still waits or runs. What
    /// runs goes on, as an upstream may crash before it notices.
    fn give_up(&mut self, id: u64) {
        let waits = self.waiting.remove(&id).is_some();
        let runs = self
            .upstreams
            .iter()
            .any(|upstream| upstream.running.contains_key(&id));
        if waits || runs {
            self.resend();
        }
    }

    fn resend(&mut self) {
        self.after(Duration::from_millis(self.setup.resend), Event::Poison);
    }

    /// Sends a waiting call to an upstream, or lets it wait on.
    fn attempt(&mut self, id: u64) {
        let Some(call) = self.waiting.get(&id).copied() else {
            return;
        };
        let verdict = self.verdict(call.entry, call.fingerprint);
        let late = self.clock.now().since(call.arrived) > Duration::from_millis(DEADLINE_MS);
        let spent = self.policy == Policy::Retries && call.attempts > 3;
        if verdict == Verdict::Confirmed || late || spent {
            return self.refuse(id);
        }
        let isolated = verdict == Verdict::Suspect && self.policy == Policy::Isolating;
        if isolated {
            let stamp = self.stamp();
            let hold = self.findings(call.entry).hold(call.fingerprint, stamp);
            if hold > Duration::ZERO {
                return self.after(hold, Event::Try(id));
            }
        }
        for upstream in self.candidates() {
            match self.begin(upstream, &call, isolated) {
                Start::Begun => return self.begun(upstream, id),
                Start::Confirmed => return self.refuse(id),
                Start::Occupied | Start::Held(_) => (),
            }
        }
        self.after(Duration::from_millis(PAUSE_MS), Event::Try(id));
    }

    /// Returns the upstreams with room, the less loaded of two first.
    fn candidates(&mut self) -> Vec<usize> {
        let room = |index: &usize| {
            self.upstreams[*index].up && self.upstreams[*index].running.len() < self.setup.capacity
        };
        let mut free: Vec<usize> = (0..UPSTREAMS).filter(room).collect();
        for index in 0..free.len() {
            let other = self.rng.random_range(index..free.len());
            free.swap(index, other);
        }
        if let [first, second, ..] = free[..]
            && self.upstreams[second].running.len() < self.upstreams[first].running.len()
        {
            free.swap(0, 1);
        }
        free
    }

    /// The agent's admission.
    fn begin(&mut self, upstream: usize, call: &Call, isolated: bool) -> Start {
        let stamp = self.stamp();
        let findings = if self.policy == Policy::Isolating {
            self.findings(ENTRIES + upstream).clone()
        } else {
            Findings::default()
        };
        self.upstreams[upstream]
            .flight
            .start(call.fingerprint, isolated, &findings, stamp)
    }

    fn begun(&mut self, index: usize, id: u64) {
        let Some(mut call) = self.waiting.remove(&id) else {
            return;
        };
        call.attempts += 1;
        call.started = self.stamp();
        let upstream = &mut self.upstreams[index];
        upstream.running.insert(id, call);
        let incarnation = upstream.incarnation;
        if call.fingerprint == POISON {
            let fuse = self.rng.random_range(FUSE_MS.0..FUSE_MS.1);
            self.after(
                Duration::from_millis(fuse),
                Event::Crash(index, incarnation),
            );
        } else {
            let service = self.rng.random_range(SERVICE_MS.0..SERVICE_MS.1);
            self.after(
                Duration::from_millis(service),
                Event::Finish(index, incarnation, id),
            );
        }
    }

    fn finish(&mut self, index: usize, incarnation: u64, id: u64) {
        let upstream = &mut self.upstreams[index];
        if upstream.incarnation != incarnation {
            return;
        }
        let Some(call) = upstream.running.remove(&id) else {
            return;
        };
        upstream.flight.finish(call.fingerprint);
        for node in [call.entry, ENTRIES + index] {
            self.nodes[node].list.record_completion(call.fingerprint);
            self.share(node);
        }
        let latency = self.clock.now().since(call.arrived);
        let millis = latency.as_secs_f64() * 1e3;
        self.result.latencies.push(millis);
        if call.attempts > 1 {
            self.result.hit.push(millis);
        }
    }

    fn crash(&mut self, index: usize, incarnation: u64) {
        if self.upstreams[index].incarnation != incarnation {
            return;
        }
        self.result.crashes += u64::from(self.upstreams[index].flight_has(POISON));
        let stamp = self.stamp();
        let upstream = &mut self.upstreams[index];
        upstream.up = false;
        upstream.incarnation += 1;
        let aboard = upstream.flight.end_all();
        let lost = std::mem::take(&mut upstream.running);
        let crash = Crash {
            incarnation,
            upstream: index as u64,
        };
        if !self.setup.agents_die {
            self.nodes[ENTRIES + index]
                .list
                .record_crash(crash, aboard, true, stamp);
        }
        self.share(ENTRIES + index);
        for entry in 0..ENTRIES {
            let own = lost
                .values()
                .filter(|call| call.entry == entry)
                .map(|call| (call.fingerprint, call.started));
            self.nodes[entry]
                .list
                .record_crash(crash, own, false, stamp);
            self.share(entry);
        }
        for (id, call) in lost {
            self.waiting.insert(id, call);
            self.after(Duration::from_millis(PAUSE_MS), Event::Try(id));
        }
        self.after(Duration::from_millis(RESTART_MS), Event::Restart(index));
    }

    /// Fails the first upstreams of the pool shortly after each other.
    fn rack(&mut self) {
        for index in 0..self.setup.rack {
            let delay = self.rng.random_range(0..RACK_SPREAD_MS);
            let incarnation = self.upstreams[index].incarnation;
            self.after(
                Duration::from_millis(delay),
                Event::Crash(index, incarnation),
            );
        }
        self.after(Duration::from_millis(RACK_AGAIN_MS), Event::Rack);
    }

    fn refuse(&mut self, id: u64) {
        let Some(call) = self.waiting.remove(&id) else {
            return;
        };
        if call.fingerprint == POISON {
            self.result.poison_refused += 1;
            self.resend();
        } else {
            self.result.refused += 1;
        }
    }

    fn stamp(&self) -> Stamp {
        Stamp(self.clock.now().0 / 1_000)
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.clock.at(self.clock.now() + delay, event);
    }

    /// Returns the innocent calls whose deadline passed without an end.
    fn unfinished(&self) -> u64 {
        let running = self
            .upstreams
            .iter()
            .flat_map(|upstream| upstream.running.values());
        let old = |call: &&Call| {
            let age = self.clock.now().since(call.arrived);
            call.fingerprint != POISON && age > Duration::from_millis(DEADLINE_MS)
        };
        self.waiting.values().chain(running).filter(old).count() as u64
    }
}

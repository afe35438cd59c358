//! Callers, entries, engines and the late ways between them.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use sesamerock_base::key::Upstream;
use sesamerock_base::time::Moment;
use sesamerock_route::choice::{Choice, Request};
use sesamerock_route::hash;
use sesamerock_route::prefix::{Action, Event as CacheEvent};

use super::engine::{Engine, Work};
use super::policy::{self, Entry, Kind};
use crate::clock::Clock;

pub const ZONES: u32 = 3;
pub const RANKS: usize = 8;
pub const PREFIX_TOKENS: u64 = 1_024;
pub const PREFIX_BLOCKS: u64 = 4;
/// Prompt prefixes in use, and the number of workspaces they belong to.
const PREFIXES: f64 = 200.0;
const WORKSPACES: u64 = 10;
const UNIQUE_TOKENS: (u64, u64) = (50, 400);
const DECODE_TOKENS: (u64, u64) = (20, 200);
/// One-way time within a zone and between zones.
const NEAR: Duration = Duration::from_micros(100);
const FAR: Duration = Duration::from_micros(600);
/// Interval at which engines publish the load of their ranks.
const PUBLISH: Duration = Duration::from_millis(100);
/// Lateness of cache events, and the share that is lost.
const EVENT_MS: (u64, u64) = (50, 400);
const EVENT_LOSS: f64 = 0.01;
/// Share of engines with one rank that needs half as much time again.
const STRAGGLERS: f64 = 0.25;
const STRAGGLER_SPEED: f64 = 1.5;
/// Interval of the load samples, and the windows over which they are averaged.
const SAMPLE: Duration = Duration::from_millis(100);
const WINDOW: usize = 10;
/// Figures are taken after the start, when caches and reports have filled.
const WARM: Moment = Moment::from_millis(10_000);
const END: Moment = Moment::from_millis(28_000);

/// What varies between runs.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Number of entries.
    pub entries: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Requests per second for each upstream.
    pub rate: f64,
    /// Least and greatest time that an engine needs, relative to the normal.
    pub speeds: (f64, f64),
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            entries: 4,
            upstreams: 12,
            rate: 15.0,
            speeds: (0.9, 1.1),
        }
    }
}

/// Figures of one run.
#[derive(Debug, Default)]
pub struct Figures {
    /// Times to first token in milliseconds.
    pub first: Vec<f64>,
    /// Slowest over mean rank time of each step.
    pub skew: Vec<f64>,
    /// Greatest load of an upstream in a window of a second over the mean load.
    pub peak: f64,
    /// Share of calls that found their prefix in the cache.
    pub hits: f64,
    /// Times that no upstream could be chosen.
    pub refusals: u64,
    /// Refusals of agents above the ceiling of an entry.
    pub bounces: u64,
    /// Mean calls of straggling ranks over those of the other ranks in their
    /// engines.
    pub straggler: f64,
}

#[derive(Debug)]
enum Event {
    Arrive,
    Try(u64),
    Admit(u64),
    Bounced(u64),
    Step(usize),
    Publish,
    Sample,
    First(u64),
    Ended(u64),
    Cached(Upstream, CacheEvent),
}

#[derive(Debug)]
struct Call {
    entry: usize,
    arrived: Moment,
    sent: Moment,
    prefix: u64,
    unique: u64,
    decode: u64,
    choice: Option<Choice>,
    excluded: Vec<Upstream>,
    report: Option<sesamerock_route::load::Report>,
}

struct World {
    setup: Setup,
    rng: ChaCha8Rng,
    /// Arrivals have their own generator, so that all policies see the same.
    arrivals: ChaCha8Rng,
    clock: Clock<Event>,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    calls: BTreeMap<u64, Call>,
    next: u64,
    loads: Vec<Vec<f64>>,
    hits: (u64, u64),
    straggling: (u64, u64),
    figures: Figures,
}

/// Runs the model to its end.
pub fn run(seed: u64, kind: Kind, setup: &Setup) -> Figures {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let engines = (0..setup.upstreams)
        .map(|_| engine(setup, &mut rng))
        .collect();
    let entries = (0..setup.entries)
        .map(|index| Entry::new(index, kind, setup, &mut rng))
        .collect();
    let mut world = World {
        setup: *setup,
        rng,
        arrivals: ChaCha8Rng::seed_from_u64(seed + 1),
        clock: Clock::default(),
        engines,
        entries,
        calls: BTreeMap::new(),
        next: 0,
        loads: vec![Vec::new(); setup.upstreams],
        hits: (0, 0),
        straggling: (0, 0),
        figures: Figures::default(),
    };
    for event in [Event::Arrive, Event::Publish, Event::Sample] {
        world.clock.at(Moment::default(), event);
    }
    while let Some(event) = world.clock.next(END) {
        world.step(event);
    }
    world.finish()
}

/// Makes an engine. The first rank of some is a straggler.
fn engine(setup: &Setup, rng: &mut ChaCha8Rng) -> Engine {
    let speed = rng.random_range(setup.speeds.0..setup.speeds.1);
    let straggles = rng.random_bool(STRAGGLERS);
    Engine::new((0..RANKS).map(|rank| {
        if straggles && rank == 0 {
            speed * STRAGGLER_SPEED
        } else {
            speed
        }
    }))
}

impl World {
    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Try(id) => self.attempt(id),
            Event::Admit(id) => self.admit(id),
            Event::Bounced(id) => self.bounced(id),
            Event::Step(index) => self.advance(index),
            Event::Publish => {
                let now = self.clock.now();
                self.engines
                    .iter_mut()
                    .for_each(|engine| engine.publish(now));
                self.after(PUBLISH, Event::Publish);
            }
            Event::Sample => self.sample(),
            Event::First(id) => self.first(id),
            Event::Ended(id) => self.ended(id),
            Event::Cached(upstream, event) => self.cached(upstream, &event),
        }
    }

    fn arrive(&mut self) {
        let rate = self.setup.rate * self.setup.upstreams as f64;
        let gap = -(1.0 - self.arrivals.random::<f64>()).ln() / rate;
        self.after(Duration::from_secs_f64(gap), Event::Arrive);
        // Low numbers are frequent: the density falls with the square root.
        let prefix = (self.arrivals.random::<f64>().powi(2) * PREFIXES) as u64;
        let call = Call {
            entry: self.arrivals.random_range(0..self.setup.entries),
            arrived: self.clock.now(),
            sent: self.clock.now(),
            prefix,
            unique: self.arrivals.random_range(UNIQUE_TOKENS.0..UNIQUE_TOKENS.1),
            decode: self.arrivals.random_range(DECODE_TOKENS.0..DECODE_TOKENS.1),
            choice: None,
            excluded: Vec::new(),
            report: None,
        };
        self.next += 1;
        self.calls.insert(self.next, call);
        self.after(Duration::ZERO, Event::Try(self.next));
    }

    fn attempt(&mut self, id: u64) {
        let now = self.clock.now();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let prompt = PREFIX_TOKENS + call.unique;
        let prefix = policy::blocks(call.prefix);
        let request = Request {
            need: policy::need(),
            workspace: hash::mix(call.prefix % WORKSPACES, 0),
            tokens: prompt + call.decode,
            prompt,
            prefix: &prefix,
            urgency: 3,
            excluded: &call.excluded,
            unreachable: &[],
            isolated: false,
            may_queue: false,
            send_once: false,
        };
        match self.entries[call.entry].choose(&request, now, &mut self.rng) {
            Ok(choice) => {
                call.sent = now;
                let way = way(call.entry, choice.upstream);
                call.choice = Some(choice);
                self.after(way, Event::Admit(id));
            }
            Err(wait) => {
                self.figures.refusals += u64::from(call.arrived >= WARM);
                self.after(wait, Event::Try(id));
            }
        }
    }

    fn admit(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let Some(choice) = &call.choice else {
            return;
        };
        let upstream = choice.upstream;
        let index = upstream.0 as usize;
        let engine = &mut self.engines[index];
        if choice
            .ceiling
            .is_some_and(|ceiling| engine.used() > ceiling)
        {
            let way = way(call.entry, upstream);
            return self.after(way, Event::Bounced(id));
        }
        let change = engine.cache(call.prefix);
        let held = if change.hit { 0 } else { PREFIX_TOKENS };
        let work = Work {
            id,
            prefill: held + call.unique,
            decode: call.decode,
            tokens: PREFIX_TOKENS + call.unique + call.decode,
            fresh: choice.uncached,
        };
        engine.add(choice.rank, work, self.clock.now(), &mut self.rng);
        let idle = !engine.stepping;
        let stored = (!change.hit).then_some(call.prefix);
        if call.arrived >= WARM {
            self.hits.0 += u64::from(change.hit);
            self.hits.1 += 1;
        }
        self.publish_cache(upstream, stored, change.evicted);
        if idle {
            self.begin(index);
        }
    }

    /// Sends a call that an agent refused above the ceiling to another upstream.
    fn bounced(&mut self, id: u64) {
        let now = self.clock.now();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(choice) = call.choice.take() else {
            return;
        };
        self.figures.bounces += u64::from(call.arrived >= WARM);
        let report = self.engines[choice.upstream.0 as usize].report(self.setup.entries as u32);
        let entry = &mut self.entries[call.entry];
        entry.bounced(&choice, now);
        entry.report(choice.upstream, report, now);
        call.excluded.push(choice.upstream);
        self.attempt(id);
    }

    /// Sends the cache events of one call to the entries, late.
    fn publish_cache(&mut self, upstream: Upstream, stored: Option<u64>, evicted: Option<u64>) {
        let stored = stored.map(|prefix| Action::Stored(policy::blocks(prefix)));
        let evicted = evicted.map(|prefix| Action::Evicted(policy::blocks(prefix)));
        let delay = self.rng.random_range(EVENT_MS.0..EVENT_MS.1);
        for action in evicted.into_iter().chain(stored) {
            let engine = &mut self.engines[upstream.0 as usize];
            engine.sequence += 1;
            let event = CacheEvent {
                incarnation: 1,
                sequence: engine.sequence,
                action,
            };
            self.after(Duration::from_millis(delay), Event::Cached(upstream, event));
        }
    }

    fn cached(&mut self, upstream: Upstream, event: &CacheEvent) {
        for entry in self
            .entries
            .iter_mut()
            .filter(|entry| entry.follows(upstream))
        {
            if !self.rng.random_bool(EVENT_LOSS) {
                entry.cached(upstream, event.clone());
            }
        }
    }

    fn begin(&mut self, index: usize) {
        let Some(time) = self.engines[index].begin() else {
            return;
        };
        if self.clock.now() >= WARM {
            self.figures.skew.push(self.engines[index].skew());
        }
        self.after(time, Event::Step(index));
    }

    fn advance(&mut self, index: usize) {
        let progress = self.engines[index].end(self.clock.now());
        let report = self.engines[index].report(self.setup.entries as u32);
        let upstream = Upstream(index as u32);
        for id in &progress.first {
            if let Some(call) = self.calls.get_mut(id) {
                call.report = Some(report.clone());
                let way = way(call.entry, upstream);
                self.after(way, Event::First(*id));
            }
        }
        for id in &progress.ended {
            if let Some(call) = self.calls.get_mut(id) {
                call.report = Some(report.clone());
                let way = way(call.entry, upstream);
                self.after(way, Event::Ended(*id));
            }
        }
        self.begin(index);
    }

    fn first(&mut self, id: u64) {
        let now = self.clock.now();
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(choice) = &call.choice else {
            return;
        };
        let entry = &mut self.entries[call.entry];
        entry.first(choice, now.since(call.sent), now);
        if let Some(report) = call.report.take() {
            entry.report(choice.upstream, report, now);
        }
        if call.arrived >= WARM {
            self.figures
                .first
                .push(now.since(call.arrived).as_secs_f64() * 1e3);
        }
    }

    fn ended(&mut self, id: u64) {
        let now = self.clock.now();
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let Some(choice) = call.choice else {
            return;
        };
        let entry = &mut self.entries[call.entry];
        entry.finished(&choice, now);
        if let Some(report) = call.report {
            entry.report(choice.upstream, report, now);
        }
    }

    fn sample(&mut self) {
        self.after(SAMPLE, Event::Sample);
        if self.clock.now() < WARM {
            return;
        }
        for (engine, loads) in self.engines.iter().zip(&mut self.loads) {
            loads.push(engine.calls() as f64);
            if engine.straggles() {
                self.straggling.0 += engine.rank_calls(0) as u64;
                self.straggling.1 += (engine.calls() - engine.rank_calls(0)) as u64;
            }
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.clock.at(self.clock.now() + delay, event);
    }

    fn finish(mut self) -> Figures {
        let all: Vec<f64> = self.loads.iter().flatten().copied().collect();
        let mean = all.iter().sum::<f64>() / all.len().max(1) as f64;
        let windows = self
            .loads
            .iter()
            .flat_map(|loads| loads.chunks_exact(WINDOW));
        let peak = windows
            .map(|window| window.iter().sum::<f64>() / WINDOW as f64)
            .fold(0.0, f64::max);
        self.figures.peak = peak / mean;
        self.figures.hits = self.hits.0 as f64 / self.hits.1.max(1) as f64;
        let others = self.straggling.1 as f64 / (RANKS - 1) as f64;
        self.figures.straggler = self.straggling.0 as f64 / others.max(1.0);
        self.figures
    }
}

/// Returns the one-way time between an entry and an upstream.
fn way(entry: usize, upstream: Upstream) -> Duration {
    if entry as u32 % ZONES == upstream.0 % ZONES {
        NEAR
    } else {
        FAR
    }
}

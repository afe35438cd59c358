//! A group of members, leaders and engines in virtual time, with faults.
//!
//! The state machines are the real ones; network and engines are simulated.
//! What breaks lock-step is kept as a [`Violation`] for who runs the group.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;
use sesamerock_base::time::Moment;
use sesamerock_group::leader::{Leader, Role, Settings};
use sesamerock_group::member::{Command, Engine, Member};
use sesamerock_group::message::{Map, Message, Step, Window};
use sesamerock_group::plan::Conflict;

/// Time of one step when nothing waits.
const STEP: Duration = Duration::from_millis(5);
/// Shortest and longest delay of a message, in microseconds.
const DELAY: std::ops::Range<u64> = 200..3_000;
/// Time of staging a map.
pub const STAGING: Duration = Duration::from_millis(60);
/// Shortest time between two changes of the map that is wanted.
const SWITCH: Duration = Duration::from_secs(3);
/// Time between two faults of one process.
const FAULT: Duration = Duration::from_millis(1_200);
/// Time after which a paused process is looked at again.
const LOOK: Duration = Duration::from_millis(5);
/// Longest pause of a process; above the silence that starts an election.
const PAUSE_MS: u64 = 1_800;

/// Faults, each as a chance in a hundred.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// A message is lost.
    pub loss: u32,
    /// A message arrives twice.
    pub duplication: u32,
    /// One of pause, agent restart and engine crash hits a random rank.
    pub process: u32,
}

impl Faults {
    /// No fault.
    pub const NONE: Self = Self {
        loss: 0,
        duplication: 0,
        process: 0,
    };
    /// Faults of the network only.
    pub const LOSS: Self = Self {
        loss: 5,
        duplication: 5,
        process: 0,
    };
    /// Every fault.
    pub const ALL: Self = Self {
        loss: 10,
        duplication: 10,
        process: 100,
    };
}

#[derive(Debug)]
enum Event {
    Tick(usize),
    Request(usize, usize, Message),
    Reply(usize, usize, Message),
    Staged(usize, u64, Map),
    Step,
    Switch,
    Fault,
}

#[derive(Debug)]
struct Rank {
    member: Member,
    leader: Leader,
    engine: Engine,
    crashes: u64,
    fetching: BTreeSet<Map>,
    paused_until: Moment,
}

/// What must never happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two engines may run a step with different maps.
    Mixed(Window, Window),
    /// An engine may run a map that it has not staged.
    Unstaged(Window),
    /// A leader learned of such a step.
    Learned(Conflict),
}

/// The simulated group.
#[derive(Debug)]
pub struct Group {
    now: Moment,
    rng: ChaCha8Rng,
    faults: Faults,
    ranks: Vec<Rank>,
    events: BTreeMap<(Moment, u64), Event>,
    events_added: u64,
    incarnations: u64,
    step: Step,
    stepping: bool,
    idle_since: Option<Moment>,
    stalled: Duration,
    wanted: Map,
    wanted_at: Moment,
    in_use: Map,
    switch_delays: Vec<Duration>,
    sent: Vec<u64>,
    violation: Option<Violation>,
}

impl Group {
    /// Makes a group in which the schedule depends on the seed only.
    pub fn new(ranks: u32, seed: u64, faults: Faults) -> Self {
        Self::with(Settings::of(0, ranks), seed, faults)
    }

    /// Makes a group with other settings than the default.
    pub fn with(base: Settings, seed: u64, faults: Faults) -> Self {
        let ranks = base.ranks;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let now = Moment(1);
        let engine = Engine::default();
        let size = ranks as usize;
        let mut make = |rank: u32| {
            let settings = Settings { rank, ..base };
            Rank {
                member: Member::new(1, &engine),
                leader: Leader::new(settings, 1, now, &mut rng),
                engine: engine.clone(),
                crashes: 0,
                fetching: BTreeSet::new(),
                paused_until: now,
            }
        };
        let ranks: Vec<_> = (0..ranks).map(&mut make).collect();
        let mut group = Self {
            now,
            rng,
            faults,
            ranks,
            events: BTreeMap::new(),
            events_added: 0,
            incarnations: 1,
            step: 0,
            stepping: false,
            idle_since: Some(now),
            stalled: Duration::ZERO,
            wanted: 0,
            wanted_at: now,
            in_use: 0,
            switch_delays: Vec::new(),
            sent: vec![0; size],
            violation: None,
        };
        for rank in 0..group.ranks.len() {
            group.add(Duration::ZERO, Event::Tick(rank));
        }
        group.add(Duration::ZERO, Event::Switch);
        group.add(FAULT, Event::Fault);
        group
    }

    /// Returns the settings of the first rank.
    pub fn settings(&self) -> Settings {
        *self.ranks[0].leader.settings()
    }

    /// Returns what broke lock-step last, if anything did.
    pub fn violation(&self) -> Option<Violation> {
        self.violation
    }

    /// Returns the number of steps run.
    pub fn steps(&self) -> Step {
        self.step
    }

    /// Returns the time in which the engines waited for a grant.
    pub fn stalled(&self) -> Duration {
        let idle = self
            .idle_since
            .map_or(Duration::ZERO, |at| self.now.since(at));
        self.stalled + idle
    }

    /// Returns the bytes of messages that each rank has sent.
    pub fn sent(&self) -> &[u64] {
        &self.sent
    }

    /// Returns the times from wanting a map to its first step.
    pub fn switch_delays(&self) -> &[Duration] {
        &self.switch_delays
    }

    /// Ends the process of every rank that leads, and crashes a random engine,
    /// so that the group cannot run on with what it was granted.
    pub fn strike(&mut self) {
        for index in 0..self.ranks.len() {
            if self.ranks[index].leader.role() != Role::Following {
                self.restart(index);
            }
        }
        let index = self.rng.random_range(0..self.ranks.len());
        self.crash(index);
    }

    /// Ends all faults; what is under way stays so.
    pub fn heal(&mut self) {
        self.faults = Faults::NONE;
        for rank in &mut self.ranks {
            rank.paused_until = self.now;
        }
    }

    /// Runs for a time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.advance(end) {}
    }

    /// Runs until the group has run another step; returns how long it took.
    pub fn run_until_step(&mut self, limit: Duration) -> Option<Duration> {
        let start = self.now;
        let before = self.step;
        while self.step == before {
            if !self.advance(start + limit) {
                return None;
            }
        }
        Some(self.now.since(start))
    }

    fn add(&mut self, delay: Duration, event: Event) {
        self.events_added += 1;
        self.events
            .insert((self.now + delay, self.events_added), event);
    }

    fn advance(&mut self, end: Moment) -> bool {
        let next = self.events.first_key_value().map(|(key, _)| *key);
        let Some(key) = next.filter(|(at, _)| *at <= end) else {
            self.now = end;
            return false;
        };
        self.now = key.0;
        if let Some(event) = self.events.remove(&key) {
            self.handle(event);
        }
        true
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(rank) => self.tick(rank),
            Event::Request(from, to, message) => self.request(from, to, &message),
            Event::Reply(from, to, message) => self.reply(from, to, &message),
            Event::Staged(rank, crashes, map) => self.staged(rank, crashes, map),
            Event::Step => self.run_step(),
            Event::Switch => {
                self.wanted += 1;
                self.wanted_at = self.now;
                let time = self.settings().pace.switch * 3;
                self.add(time.max(SWITCH), Event::Switch);
            }
            Event::Fault => {
                if self.chance(self.faults.process) {
                    self.fault();
                }
                self.add(FAULT, Event::Fault);
            }
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn fault(&mut self) {
        let index = self.rng.random_range(0..self.ranks.len());
        match self.rng.random_range(0..3) {
            0 => {
                let pause = self.rng.random_range(0..PAUSE_MS);
                self.ranks[index].paused_until = self.now + Duration::from_millis(pause);
            }
            1 => self.restart(index),
            _ => self.crash(index),
        }
    }

    fn crash(&mut self, index: usize) {
        self.ranks[index].engine = Engine::default();
        self.ranks[index].crashes += 1;
        self.ranks[index].fetching.clear();
        self.restart(index);
    }

    fn restart(&mut self, index: usize) {
        self.incarnations += 1;
        let settings = *self.ranks[index].leader.settings();
        let leader = Leader::new(settings, self.incarnations, self.now, &mut self.rng);
        let rank = &mut self.ranks[index];
        rank.member = Member::new(self.incarnations, &rank.engine);
        rank.leader = leader;
        rank.paused_until = self.now;
    }

    /// Returns whether a process was paused, after putting the event off.
    fn pause(&mut self, rank: usize, event: impl FnOnce() -> Event) -> bool {
        let until = self.ranks[rank].paused_until;
        if until <= self.now {
            return false;
        }
        // Looked at again soon, since the end of all faults ends a pause.
        self.add(until.since(self.now).min(LOOK), event());
        true
    }

    fn tick(&mut self, rank: usize) {
        if self.pause(rank, || Event::Tick(rank)) {
            return;
        }
        self.requests(rank);
        self.add(Duration::from_millis(2), Event::Tick(rank));
    }

    fn requests(&mut self, rank: usize) {
        let leader = &mut self.ranks[rank].leader;
        if leader.role() == Role::Leading {
            leader.switch(self.now, self.wanted);
        }
        for request in leader.tick(self.now, &mut self.rng) {
            let to = request.to as usize;
            self.post(|| Event::Request(rank, to, request.message.clone()));
        }
    }

    fn post(&mut self, event: impl Fn() -> Event) {
        if let Event::Request(from, _, message) | Event::Reply(from, _, message) = event() {
            self.sent[from] += bincode::serialized_size(&message).unwrap_or_default();
        }
        let copies = 1 + u32::from(self.chance(self.faults.duplication));
        for _ in 0..copies {
            if !self.chance(self.faults.loss) {
                let delay = Duration::from_micros(self.rng.random_range(DELAY));
                self.add(delay, event());
            }
        }
    }

    fn request(&mut self, from: usize, to: usize, message: &Message) {
        if self.pause(to, || Event::Request(from, to, message.clone())) {
            return;
        }
        let rank = &mut self.ranks[to];
        rank.member.observe(&rank.engine);
        rank.leader.heard(self.now, message.fence(), &mut self.rng);
        let answer = rank.member.receive(message);
        let crashes = rank.crashes;
        for command in answer.commands {
            match command {
                Command::Stage(map) => {
                    if self.ranks[to].fetching.insert(map) {
                        self.add(STAGING, Event::Staged(to, crashes, map));
                    }
                }
                Command::Drop(map) => self.ranks[to].engine.staged.retain(|other| *other != map),
                Command::Run(window) => self.allow(to, window),
            }
        }
        self.post(|| Event::Reply(to, from, answer.reply.clone()));
        self.start_step();
    }

    fn allow(&mut self, index: usize, window: Window) {
        if !self.ranks[index].engine.staged.contains(&window.map) {
            self.violation = Some(Violation::Unstaged(window));
        }
        self.ranks[index].engine.windows.push(window);
        let windows = || self.ranks.iter().flat_map(|rank| &rank.engine.windows);
        let other = windows().find(|other| {
            other.from < window.to && window.from < other.to && other.map != window.map
        });
        if let Some(other) = other {
            self.violation = Some(Violation::Mixed(*other, window));
        }
    }

    fn reply(&mut self, from: usize, to: usize, message: &Message) {
        if self.pause(to, || Event::Reply(from, to, message.clone())) {
            return;
        }
        let leader = &mut self.ranks[to].leader;
        let outcome = leader.receive(self.now, from as u32, message, &mut self.rng);
        if let Err(conflict) = outcome {
            self.violation = Some(Violation::Learned(conflict));
        }
        self.requests(to);
    }

    fn staged(&mut self, index: usize, crashes: u64, map: Map) {
        let rank = &mut self.ranks[index];
        if rank.crashes == crashes {
            rank.fetching.remove(&map);
            rank.engine.staged.push(map);
        }
    }

    fn map_of(&self, rank: &Rank) -> Option<Map> {
        let covers = |window: &&Window| window.from <= self.step && self.step < window.to;
        rank.engine
            .windows
            .iter()
            .find(covers)
            .map(|window| window.map)
    }

    fn start_step(&mut self) {
        let ready = self.ranks.iter().all(|rank| self.map_of(rank).is_some());
        if self.stepping || !ready {
            return;
        }
        if let Some(since) = self.idle_since.take() {
            self.stalled += self.now.since(since);
        }
        self.stepping = true;
        self.add(STEP, Event::Step);
    }

    fn run_step(&mut self) {
        self.stepping = false;
        self.idle_since = Some(self.now);
        let maps: BTreeSet<_> = self.ranks.iter().map(|rank| self.map_of(rank)).collect();
        if maps.contains(&None) {
            // An engine crashed during the step, which all run again.
            return;
        }
        let map = maps.into_iter().flatten().next().unwrap_or(self.in_use);
        if map != self.in_use {
            self.in_use = map;
            if map == self.wanted {
                self.switch_delays.push(self.now.since(self.wanted_at));
            }
        }
        self.step += 1;
        let step = self.step;
        for rank in &mut self.ranks {
            rank.engine.step = step;
            rank.engine.step_us = STEP.as_micros() as u32;
            rank.engine.windows.retain(|window| window.to >= step);
        }
        self.start_step();
    }
}

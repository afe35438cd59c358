//! A group of members, leaders and engines in virtual time, with faults.
//!
//! The state machines are the real ones; network and engines are simulated.
//! A breach of lockstep is kept as a [`Violation`], which the test reads.

mod fault;
mod step;

pub use fault::Faults;

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

/// Shortest and longest delay of a message, in microseconds.
const MESSAGE_DELAY_US: std::ops::Range<u64> = 200..3_000;
/// Time that an engine takes to stage a map.
pub const STAGING: Duration = Duration::from_millis(60);
/// Shortest time between two changes of the desired map.
const MIN_SWITCH_INTERVAL: Duration = Duration::from_secs(3);
/// Interval at which a process fault may be injected.
const FAULT: Duration = Duration::from_millis(1_200);

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
    staging: BTreeSet<Map>,
    paused_until: Moment,
}

/// A breach of the lockstep guarantees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two engines may run a step with different maps.
    Mixed(Window, Window),
    /// An engine may run a map that it has not staged.
    Unstaged(Window),
    /// A leader received reports with inconsistent windows.
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
    desired_map: Map,
    desired_since: Moment,
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

    /// Makes a group with the given settings; `base.rank` is replaced for each rank.
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
                staging: BTreeSet::new(),
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
            desired_map: 0,
            desired_since: now,
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

    /// Returns the latest violation, if any.
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

    /// Returns the delays from the request of a map to the first step with it.
    pub fn switch_delays(&self) -> &[Duration] {
        &self.switch_delays
    }

    /// Advances virtual time by `time` and handles all events due in it.
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
                self.desired_map += 1;
                self.desired_since = self.now;
                let time = self.settings().sizing.switch_time * 3;
                self.add(time.max(MIN_SWITCH_INTERVAL), Event::Switch);
            }
            Event::Fault => {
                if self.chance(self.faults.process) {
                    self.inject_process_fault();
                }
                self.add(FAULT, Event::Fault);
            }
        }
    }

    fn tick(&mut self, rank: usize) {
        if self.postpone_if_paused(rank, || Event::Tick(rank)) {
            return;
        }
        self.requests(rank);
        self.add(Duration::from_millis(2), Event::Tick(rank));
    }

    fn requests(&mut self, rank: usize) {
        let leader = &mut self.ranks[rank].leader;
        if leader.role() == Role::Leading {
            leader.switch(self.now, self.desired_map);
        }
        for request in leader.tick(self.now, &mut self.rng) {
            let to = request.to as usize;
            self.send(|| Event::Request(rank, to, request.message.clone()));
        }
    }

    fn send(&mut self, event: impl Fn() -> Event) {
        if let Event::Request(from, _, message) | Event::Reply(from, _, message) = event() {
            self.sent[from] += bincode::serialized_size(&message).unwrap_or_default();
        }
        let copies = 1 + u32::from(self.chance(self.faults.duplication));
        for _ in 0..copies {
            if !self.chance(self.faults.loss) {
                let delay = Duration::from_micros(self.rng.random_range(MESSAGE_DELAY_US));
                self.add(delay, event());
            }
        }
    }

    fn request(&mut self, from: usize, to: usize, message: &Message) {
        if self.postpone_if_paused(to, || Event::Request(from, to, message.clone())) {
            return;
        }
        let rank = &mut self.ranks[to];
        rank.member.observe(&rank.engine);
        rank.leader
            .observe_fence(self.now, message.fence(), &mut self.rng);
        let answer = rank.member.receive(message);
        let crashes = rank.crashes;
        for command in answer.commands {
            match command {
                Command::Stage(map) => {
                    if self.ranks[to].staging.insert(map) {
                        self.add(STAGING, Event::Staged(to, crashes, map));
                    }
                }
                Command::Drop(map) => self.ranks[to].engine.staged.retain(|other| *other != map),
                Command::Run(window) => self.grant(to, window),
            }
        }
        self.send(|| Event::Reply(to, from, answer.reply.clone()));
        self.start_step();
    }

    fn reply(&mut self, from: usize, to: usize, message: &Message) {
        if self.postpone_if_paused(to, || Event::Reply(from, to, message.clone())) {
            return;
        }
        let leader = &mut self.ranks[to].leader;
        let outcome = leader.receive(self.now, from as u32, message, &mut self.rng);
        if let Err(conflict) = outcome {
            self.violation = Some(Violation::Learned(conflict));
        }
        self.requests(to);
    }
}

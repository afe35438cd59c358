//! Entries, gates and engines driven by one event queue in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamerock_base::key::Vm;
use sesamerock_base::time::Moment;
use sesamerock_limit::gate::{Decision, Gate, Offer, Sample, Verdict};
use sesamerock_limit::learn::{Load, Outcome, Report};

use super::engine::{Engine, Hidden, Job, RESTART_US, Token};
use super::outcome::Outcomes;
use super::policy::{Policy, View, pinned};
use super::rival::Rival;
use super::traffic::{CallState, ENTRIES, MEAN_OUTPUT, MEAN_PROMPT, SECOND, Traffic};

const ENGINES: usize = 12;
/// Length of the run, and the moment at which one engine turns cold.
const RUN_US: u64 = 600 * SECOND;
const COLD_US: u64 = 300 * SECOND;
const COLD_ENGINE: usize = 4;
/// One way between entry and agent.
const HOP_US: u64 = 500;
const REPORT_EVERY_US: u64 = 100_000;
const REPORT_LAG_US: u64 = 250_000;
/// Upstreams an entry tries for one call.
const ATTEMPTS: u32 = 3;
/// Time per token that entries expect when they state the service time.
const EXPECTED_TOKEN_US: u64 = 50_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Offer { call: u64, engine: usize },
    Step { engine: usize, incarnation: u64 },
    Measure { engine: usize },
    Observe { engine: usize, seen: Seen },
    Restart { engine: usize },
    Wake { engine: usize },
    Deadline { call: u64 },
    TurnCold,
}

/// A report on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Seen {
    incarnation: u64,
    running: u32,
    waiting: u32,
    step_us: u64,
}

pub struct World {
    policy: Policy,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    engines: Vec<Engine>,
    gates: Vec<Gate>,
    rivals: Vec<Rival>,
    views: Vec<Vec<View>>,
    /// Next wake of each gate that is in the event queue.
    wakes: [u64; ENGINES],
    turns: [usize; ENTRIES],
    calls: Vec<CallState>,
    traffic: Traffic,
    choices: ChaCha8Rng,
    tokens: Vec<Token>,
    out: Outcomes,
}

impl World {
    /// Makes the world of a seed; engines and arrivals depend on nothing else.
    pub fn new(seed: u64, policy: Policy) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let hidden: Vec<_> = (0..ENGINES).map(|i| Hidden::draw(i, &mut rng)).collect();
        let tokens = MEAN_PROMPT + MEAN_OUTPUT;
        let rate = hidden.iter().map(|h| h.rate(tokens, MEAN_OUTPUT)).sum();
        let mean = Load {
            calls: (hidden.iter().map(|h| h.calls).sum::<f64>() / ENGINES as f64) as u32,
            tokens: (hidden.iter().map(|h| h.tokens).sum::<f64>() / ENGINES as f64) as u64,
        };
        let engine = |(i, h): (usize, &Hidden)| {
            Engine::new(*h, ChaCha8Rng::seed_from_u64(seed * 1000 + i as u64))
        };
        let mut world = Self {
            policy,
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            engines: hidden.iter().enumerate().map(engine).collect(),
            gates: (0..ENGINES).map(|_| policy.gate(mean)).collect(),
            rivals: policy
                .rule()
                .map_or_else(Vec::new, |rule| vec![Rival::new(rule); ENGINES]),
            views: vec![vec![View::default(); ENGINES]; ENTRIES],
            wakes: [0; ENGINES],
            turns: [0; ENTRIES],
            calls: Vec::new(),
            traffic: Traffic::new(seed + 1, rate),
            choices: ChaCha8Rng::seed_from_u64(seed + 2),
            tokens: Vec::new(),
            out: Outcomes::default(),
        };
        world.at(0, Event::Arrive);
        world.at(COLD_US, Event::TurnCold);
        for engine in 0..ENGINES {
            let jitter = engine as u64 * REPORT_EVERY_US / ENGINES as u64;
            world.at(jitter, Event::Measure { engine });
        }
        world
    }

    /// Runs to the end.
    pub fn run(mut self) -> Outcomes {
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            self.handle(event);
        }
        self.out.resets = self.gates.iter().map(|g| g.snapshot().resets).sum();
        self.out.engines = self.engines;
        self.out
    }

    fn at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Offer { call, engine } => self.offer(call, engine),
            Event::Step {
                engine,
                incarnation,
            } => self.step(engine, incarnation),
            Event::Measure { engine } => self.measure(engine),
            Event::Observe { engine, seen } => self.observe(engine, seen),
            Event::Restart { engine } => self.engines[engine].restart(),
            Event::Wake { engine } => self.poll(engine),
            Event::Deadline { call } => self.expire(call),
            Event::TurnCold => self.engines[COLD_ENGINE].turn_cold(),
        }
    }

    fn moment(&self) -> Moment {
        Moment(self.now)
    }

    fn arrive(&mut self) {
        let call = self.calls.len() as u64;
        let state = self.traffic.call(self.now);
        self.calls.push(state);
        self.out.offered += 1;
        self.at(state.deadline, Event::Deadline { call });
        self.route(call);
        let next = self.now + self.traffic.gap(self.now);
        if next < RUN_US {
            self.at(next, Event::Arrive);
        }
    }

    /// Sends a call to the upstream its entry chooses.
    fn route(&mut self, call: u64) {
        let state = self.calls[call as usize];
        if state.attempts == ATTEMPTS {
            self.out.refused += 1;
            self.calls[call as usize].over = true;
            return;
        }
        let engine = self.choose(&state);
        let tokens = state.prompt + u64::from(state.output);
        let view = &mut self.views[state.entry][engine];
        view.sent(tokens);
        view.outstanding += 1;
        let state = &mut self.calls[call as usize];
        state.attempts += 1;
        state.tried |= 1 << engine;
        self.at(self.now + HOP_US, Event::Offer { call, engine });
    }

    fn choose(&mut self, state: &CallState) -> usize {
        let now = self.moment();
        let tokens = state.prompt + u64::from(state.output);
        if self.policy == Policy::RoundRobin {
            let turn = &mut self.turns[state.entry];
            *turn = (*turn + 1) % ENGINES;
            return *turn;
        }
        let first = self.choices.random_range(0..ENGINES);
        let untried = |e: &usize| state.tried & (1 << e) == 0;
        let engines = (0..ENGINES).map(|i| (first + i) % ENGINES).filter(untried);
        let score = |engine: usize| match self.policy {
            Policy::Oracle => self.fullness(engine, tokens),
            Policy::LeastOutstanding => f64::from(self.views[state.entry][engine].outstanding),
            _ => self.views[state.entry][engine].score(now, tokens),
        };
        let scored = engines.map(|e| (score(e), e));
        scored
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map_or(first, |(_, e)| e)
    }

    /// Returns how full an engine is, with the calls before its gate.
    fn fullness(&self, engine: usize, tokens: u64) -> f64 {
        if !self.engines[engine].up {
            return f64::INFINITY;
        }
        let capacity = self.engines[engine].capacity(self.now);
        let report = self.gates[engine].snapshot();
        let calls = report.in_flight.calls + report.queued.calls + 1;
        let tokens = report.in_flight.tokens + report.queued.tokens + tokens;
        (f64::from(calls) / f64::from(capacity.calls))
            .max(tokens as f64 / capacity.tokens.max(1) as f64)
    }

    fn offer(&mut self, call: u64, engine: usize) {
        let state = self.calls[call as usize];
        if state.over {
            return;
        }
        if !self.policy.gated() {
            self.calls[call as usize].engine = Some(engine);
            self.submit(engine, call);
            return;
        }
        self.inform(engine);
        let offer = Offer {
            call,
            workspace: state.workspace,
            tokens: state.prompt + u64::from(state.output),
            urgency: 3,
            deadline: Moment(state.deadline),
            service_time: Duration::from_micros(EXPECTED_TOKEN_US * u64::from(state.output)),
            entry: Vm(state.entry as u32),
        };
        self.calls[call as usize].engine = Some(engine);
        let now = self.moment();
        match self.gates[engine].offer(now, offer) {
            Verdict::Admitted => self.submit(engine, call),
            Verdict::Queued => {}
            Verdict::Refused { .. } => self.refused(call, engine),
            Verdict::Duplicate => unreachable!("calls are offered once at a time"),
        }
        self.poll(engine);
    }

    /// Sets the limit of a gate that does not learn it.
    fn inform(&mut self, engine: usize) {
        if self.policy.informed() {
            let bounds = pinned(self.engines[engine].capacity(self.now));
            self.gates[engine].set_bounds(bounds);
        } else if let Some(rival) = self.rivals.get(engine) {
            let calls = rival.limit();
            self.gates[engine].set_bounds(pinned(Load {
                calls,
                tokens: u64::MAX / 2,
            }));
        }
    }

    /// Gives a rival the time to first token of a call.
    fn sample(&mut self, engine: usize, call: u64) {
        let Some(rival) = self.rivals.get_mut(engine) else {
            return;
        };
        let state = &self.calls[call as usize];
        let seconds = (self.now - state.sent) as f64 / 1e6;
        let in_flight = self.gates[engine].snapshot().in_flight.calls;
        rival.sample(self.now, seconds, in_flight);
    }

    fn refused(&mut self, call: u64, engine: usize) {
        self.out.refusals += 1;
        self.answered(call, engine);
        self.calls[call as usize].engine = None;
        self.views[self.calls[call as usize].entry][engine].outstanding -= 1;
        self.route(call);
    }

    /// Updates the entry's view with the report that comes with an answer.
    fn answered(&mut self, call: u64, engine: usize) {
        let entry = self.calls[call as usize].entry;
        let now = self.moment();
        self.views[entry][engine].update(now, &mut self.gates[engine], Vm(entry as u32));
    }

    fn poll(&mut self, engine: usize) {
        self.inform(engine);
        let now = self.moment();
        let decisions: Vec<_> = self.gates[engine].poll(now).collect();
        for decision in &decisions {
            match *decision {
                Decision::Admitted { call } => self.submit(engine, call),
                Decision::Shed { call, .. } => self.refused(call, engine),
            }
        }
        let due = self.wakes[engine];
        if let Some(wake) = self.gates[engine].next_wake()
            && (due <= self.now || wake.0 < due)
        {
            self.wakes[engine] = wake.0;
            self.at(wake.0, Event::Wake { engine });
        }
    }

    fn submit(&mut self, engine: usize, call: u64) {
        if !self.engines[engine].up {
            self.end(engine, call, Outcome::Crashed);
            return;
        }
        let state = &mut self.calls[call as usize];
        state.sent = self.now;
        let job = Job {
            call,
            tokens: state.prompt + u64::from(state.output),
            prompt: state.prompt,
            left: state.output,
            begun: false,
        };
        if self.engines[engine].submit(self.now, job) {
            let lost = self.engines[engine].fall();
            self.engines[engine].stepping = false;
            self.at(self.now + RESTART_US, Event::Restart { engine });
            for call in lost {
                self.end(engine, call, Outcome::Crashed);
            }
            return;
        }
        if !self.engines[engine].stepping {
            self.begin(engine);
        }
    }

    fn begin(&mut self, engine: usize) {
        let next = self.engines[engine].begin_step(self.now);
        self.engines[engine].stepping = next.is_some();
        if let Some(duration) = next {
            let incarnation = self.engines[engine].incarnation;
            self.at(
                self.now + duration,
                Event::Step {
                    engine,
                    incarnation,
                },
            );
        }
    }

    fn step(&mut self, engine: usize, incarnation: u64) {
        let e = &mut self.engines[engine];
        if e.incarnation != incarnation || !e.up {
            return;
        }
        let mut tokens = std::mem::take(&mut self.tokens);
        e.end_step(&mut tokens);
        for token in &tokens {
            self.token(engine, *token);
        }
        self.tokens = tokens;
        self.begin(engine);
        if self.policy.gated() {
            self.poll(engine);
        }
    }

    fn token(&mut self, engine: usize, token: Token) {
        let now = self.moment();
        let gate = &mut self.gates[engine];
        if token.first {
            gate.first_token(now, token.call);
            self.sample(engine, token.call);
            if self.policy.gated() {
                self.answered(token.call, engine);
            }
        } else if self.policy == Policy::Learned {
            gate.progress(now, token.call, 1);
        }
        if token.last {
            self.end(engine, token.call, Outcome::Done);
        }
    }

    /// Ends a call that was sent to an engine.
    fn end(&mut self, engine: usize, call: u64, outcome: Outcome) {
        let now = self.moment();
        if self.policy.gated() {
            self.gates[engine].finish(now, call, Sample { outcome });
            self.answered(call, engine);
        }
        if outcome == Outcome::Crashed
            && let Some(rival) = self.rivals.get_mut(engine)
        {
            rival.crashed();
        }
        let state = &mut self.calls[call as usize];
        state.over = true;
        self.views[state.entry][engine].outstanding -= 1;
        match outcome {
            Outcome::Done => {
                self.out.in_time += 1;
                let latency = (self.now - state.arrived).max(1);
                self.out.latency.saturating_record(latency);
            }
            Outcome::Cancelled => self.out.expired += 1,
            Outcome::Crashed | Outcome::Failed => self.out.crashed += 1,
        }
    }

    /// Ends a call whose caller stopped waiting.
    fn expire(&mut self, call: u64) {
        let state = self.calls[call as usize];
        if state.over {
            return;
        }
        self.calls[call as usize].over = true;
        let Some(engine) = state.engine else {
            self.out.expired += 1;
            return;
        };
        self.engines[engine].cancel(call);
        if self.policy.gated() {
            let now = self.moment();
            self.gates[engine].cancel(now, call);
            self.poll(engine);
        }
        self.views[state.entry][engine].outstanding -= 1;
        self.out.expired += 1;
    }

    fn measure(&mut self, engine: usize) {
        let e = &self.engines[engine];
        if e.up {
            let seen = Seen {
                incarnation: e.incarnation,
                running: e.running(),
                waiting: e.waiting(),
                step_us: (e.last_step() * 1e6) as u64,
            };
            self.at(self.now + REPORT_LAG_US, Event::Observe { engine, seen });
        }
        if self.now < RUN_US {
            self.at(self.now + REPORT_EVERY_US, Event::Measure { engine });
        }
    }

    fn observe(&mut self, engine: usize, seen: Seen) {
        if !self.policy.gated() {
            return;
        }
        let report = Report {
            incarnation: seen.incarnation,
            running: seen.running,
            waiting: seen.waiting,
            step: Duration::from_micros(seen.step_us),
            own_step: Duration::ZERO,
        };
        let now = self.moment();
        self.gates[engine].observe(now, &report);
        self.poll(engine);
    }
}

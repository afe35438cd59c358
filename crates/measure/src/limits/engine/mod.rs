//! A model engine with continuous batching, in virtual time.
//!
//! A step takes `a + b * batch` and gives each running call one token. Beyond
//! its capacity the engine queues, and far beyond it falls over. Capacity
//! drifts; how much of that shows before capacity is exceeded depends on the
//! [`Kind`]. A cold engine is slow and small and warms with the tokens it
//! generates.

use std::collections::VecDeque;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sesamerock_limit::learn::Load;

/// Capacity of a cold engine over that of a warm one.
const COLD_CAPACITY: f64 = 0.1;
/// Step time of a cold engine over that of a warm one, minus one.
const COLD_SLOWNESS: f64 = 2.0;
/// Tokens generated per call of capacity until the engine is warm; about 30 s
/// at full load.
const WARM_TOKENS: f64 = 200.0;
/// Use from which the steps of a pressed engine grow, and by how much at full
/// capacity.
const PRESSURE_FROM: f64 = 0.85;
const PRESSURE: f64 = 0.5;
/// Waiting calls, as a part of capacity, at which the engine falls over.
const FALL_PART: f64 = 0.5;
const FALL_MIN: f64 = 4.0;
/// Step time per prompt token of the calls that join a step, in seconds.
const PREFILL: f64 = 5e-6;
/// Random part of a step's time, either way.
const NOISE: f64 = 0.03;
/// Time from a fall to the next start, in microseconds.
pub const RESTART_US: u64 = 5_000_000;

/// What an engine shows of its capacity before it is exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Capacity falls because the engine slows, so step time shows it.
    Slowing,
    /// Steps grow faster than the batch close to capacity.
    Pressed,
    /// Nothing; calls simply wait.
    Silent,
}

impl Kind {
    pub const ALL: [Self; 3] = [Self::Slowing, Self::Pressed, Self::Silent];
}

/// Hidden properties of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Hidden {
    pub kind: Kind,
    pub calls: f64,
    pub tokens: f64,
    /// Step time in seconds: fixed part and part per call.
    pub fixed: f64,
    pub per_call: f64,
    /// Drift of capacity: amplitude, period in seconds, phase.
    pub swing: f64,
    pub period: f64,
    pub phase: f64,
}

impl Hidden {
    /// Draws engine `index`; kinds and the binding limit alternate.
    pub fn draw(index: usize, rng: &mut ChaCha8Rng) -> Self {
        let calls = f64::from(rng.random_range(24..=96_u32));
        let per = if (index / 3).is_multiple_of(2) {
            1300.0
        } else {
            750.0
        };
        Self {
            kind: Kind::ALL[index % 3],
            calls,
            tokens: calls * per,
            fixed: rng.random_range(0.015..0.022),
            per_call: rng.random_range(0.000_15..0.000_3),
            swing: rng.random_range(0.1..0.2),
            period: rng.random_range(300.0..900.0),
            phase: rng.random_range(0.0..std::f64::consts::TAU),
        }
    }

    /// Returns the calls per second of a warm engine without drift.
    pub fn rate(&self, tokens: f64, steps: f64) -> f64 {
        let calls = self.calls.min(self.tokens / tokens);
        calls / (steps * (self.fixed + self.per_call * calls))
    }

    fn drift(&self, now: u64) -> f64 {
        let turns = now as f64 / 1e6 / self.period;
        1.0 + self.swing * (std::f64::consts::TAU * turns + self.phase).sin()
    }
}

/// A call inside the engine.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    pub call: u64,
    pub tokens: u64,
    pub prompt: u64,
    pub left: u32,
    pub begun: bool,
}

/// What a step did to a call.
#[derive(Clone, Copy, Debug)]
pub struct Token {
    pub call: u64,
    pub first: bool,
    pub last: bool,
}

/// Counts of admissions beyond capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Excess {
    /// All of them.
    pub all: u32,
    /// All but the first of each start or turn to cold.
    pub beyond_first: u32,
    /// Those while the engine was over capacity already.
    pub repeated: u32,
}

#[derive(Clone, Debug)]
pub struct Engine {
    pub hidden: Hidden,
    pub incarnation: u64,
    pub up: bool,
    pub stepping: bool,
    pub excess: Excess,
    pub falls: u32,
    probed: bool,
    warm: f64,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    tokens: u64,
    last_step: f64,
    rng: ChaCha8Rng,
}

impl Engine {
    pub fn new(hidden: Hidden, rng: ChaCha8Rng) -> Self {
        Self {
            hidden,
            incarnation: 1,
            up: true,
            stepping: false,
            excess: Excess::default(),
            falls: 0,
            probed: false,
            warm: 0.0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            tokens: 0,
            last_step: 0.0,
            rng,
        }
    }

    /// Returns the true capacity at this moment.
    pub fn capacity(&self, now: u64) -> Load {
        let part = self.part(now);
        Load {
            calls: ((self.hidden.calls * part) as u32).max(1),
            tokens: (self.hidden.tokens * part) as u64,
        }
    }

    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Returns the duration of the last step in seconds.
    pub fn last_step(&self) -> f64 {
        self.last_step
    }

    /// Takes a call and counts it if it exceeds capacity; returns whether the
    /// engine fell over, in which case all its calls are lost.
    pub fn submit(&mut self, now: u64, job: Job) -> bool {
        let capacity = self.capacity(now);
        let calls = self.running() + self.waiting() + 1;
        let tokens = self.tokens + self.waiting.iter().map(|j| j.tokens).sum::<u64>();
        let over = calls > capacity.calls || tokens + job.tokens > capacity.tokens;
        if over && calls > 1 {
            let already = calls - 1 > capacity.calls || tokens > capacity.tokens;
            self.excess.all += 1;
            self.excess.repeated += u32::from(already);
            self.excess.beyond_first += u32::from(self.probed);
            self.probed = true;
        }
        self.waiting.push_back(job);
        let allowed = (FALL_PART * f64::from(capacity.calls)).max(FALL_MIN);
        let held = self.running() < capacity.calls && self.tokens < capacity.tokens;
        !held && f64::from(self.waiting()) > allowed
    }

    /// Removes a call whose caller has gone.
    pub fn cancel(&mut self, call: u64) {
        self.waiting.retain(|j| j.call != call);
        if let Some(at) = self.running.iter().position(|j| j.call == call) {
            self.tokens -= self.running.swap_remove(at).tokens;
        }
    }

    /// Falls over and returns the calls that are lost.
    pub fn fall(&mut self) -> Vec<u64> {
        self.falls += 1;
        self.up = false;
        self.tokens = 0;
        let lost = self.running.drain(..).chain(self.waiting.drain(..));
        lost.map(|j| j.call).collect()
    }

    /// Starts again, cold.
    pub fn restart(&mut self) {
        self.up = true;
        self.incarnation += 1;
        self.turn_cold();
    }

    /// Turns cold without a word.
    pub fn turn_cold(&mut self) {
        self.warm = 0.0;
        self.probed = false;
    }

    /// Ends a step: one token for each running call.
    pub fn end_step(&mut self, tokens: &mut Vec<Token>) {
        tokens.clear();
        for job in &mut self.running {
            job.left -= 1;
            tokens.push(Token {
                call: job.call,
                first: !job.begun,
                last: job.left == 0,
            });
            job.begun = true;
        }
        let freed = self.running.extract_if(.., |j| j.left == 0);
        self.tokens -= freed.map(|j| j.tokens).sum::<u64>();
        let work = tokens.len() as f64 / (WARM_TOKENS * self.hidden.calls);
        self.warm = (self.warm + work).min(1.0);
    }

    /// Begins a step with the calls that fit, in order of arrival; returns its
    /// duration in microseconds, or `None` if there is nothing to do.
    pub fn begin_step(&mut self, now: u64) -> Option<u64> {
        let capacity = self.capacity(now);
        let mut prompts = 0;
        while let Some(job) = self.waiting.front() {
            let fits =
                self.running() < capacity.calls && self.tokens + job.tokens <= capacity.tokens;
            if !fits && !self.running.is_empty() {
                break;
            }
            let job = self.waiting.pop_front()?;
            prompts += job.prompt;
            self.tokens += job.tokens;
            self.running.push(job);
        }
        if self.running.is_empty() {
            return None;
        }
        let seconds = self.step_time(now, capacity) + PREFILL * prompts as f64;
        self.last_step = seconds;
        Some((seconds * 1e6) as u64)
    }

    fn step_time(&mut self, now: u64, capacity: Load) -> f64 {
        let Hidden {
            kind,
            fixed,
            per_call,
            ..
        } = self.hidden;
        let plain = fixed + per_call * f64::from(self.running());
        let cold = 1.0 + COLD_SLOWNESS * (1.0 - self.warm);
        let calls = f64::from(self.running()) / f64::from(capacity.calls);
        let tokens = self.tokens as f64 / capacity.tokens as f64;
        let pressed = (calls.max(tokens) - PRESSURE_FROM).max(0.0) / (1.0 - PRESSURE_FROM);
        let shown = match kind {
            Kind::Slowing => 1.0 / self.hidden.drift(now),
            Kind::Pressed => 1.0 + PRESSURE * pressed,
            Kind::Silent => 1.0,
        };
        let noise = self.rng.random_range(1.0 - NOISE..1.0 + NOISE);
        plain * cold * shown * noise
    }

    fn part(&self, now: u64) -> f64 {
        self.hidden.drift(now) * (COLD_CAPACITY + (1.0 - COLD_CAPACITY) * self.warm)
    }
}

//! Learns how many calls and tokens one upstream can hold.
//!
//! The limit starts at a small first value and grows by evidence: the upstream
//! ran at the limit for some steps, callers wanted more, and no signal of
//! nearing capacity was seen. Work beyond the largest load that was recently
//! proven to run concurrently is admitted one call at a time, so that a capacity
//! which gives no early signal is exceeded by a single call. Where trouble was
//! seen, a ceiling is remembered; the limit stays below it, follows it when step
//! time drifts, and exceeds it rarely and by the smallest step. The
//! alternatives are weighed in `docs/notes/limits.md`.

mod axis;
mod input;
mod latency;
mod start;

pub use input::{Bounds, Cause, End, First, Fit, Flight, Load, Oldest, Outcome, Report, Settings};

use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::curve::Curve;
use axis::Axis;
use latency::{Latency, Sign};
use start::Start;

/// Step time over that at the last trouble below which ceilings are forgotten,
/// since the engine is no longer the one that showed them.
const FASTER: f64 = 0.85;
/// Drift of step time that a ceiling follows at most.
const DRIFT_MAX: f64 = 2.0;
/// Drift that is not followed: noise of its mean.
const DRIFT_NOISE: f64 = 0.02;
/// Part of a ceiling from which one call in [`PENDING_PART`], or a single one,
/// may wait for its first token, so that a capacity that falls unseen is
/// exceeded by few calls.
const NEAR: f64 = 0.75;
const PENDING_PART: u32 = 128;
/// Step time over the usual one that counts as a turn to cold.
const SLOW: f64 = 1.8;
/// Silence, in expected steps plus a fixed slack, after which admission pauses.
const SILENT_STEPS: f64 = 2.0;
const SILENT_SLACK: Duration = Duration::from_millis(20);
/// Steps after which the proof of a load expires unless it ran again.
const PROOF_STEPS: f64 = 256.0;
/// Age at which a report of waiting calls no longer counts.
const REPORT_AGE: Duration = Duration::from_secs(2);
/// Steps after which a call without a first token no longer holds others back
/// where there is room for many.
const HUNG_STEPS: f64 = 32.0;
/// Time with the same meaning; five times the target for the first token.
const HUNG_TIME: Duration = Duration::from_secs(2);
/// Reports in a row with waiting calls that count as trouble.
const REPORTS: u32 = 2;
/// Failed calls in a row that count as trouble.
const FAILURES: u32 = 3;

/// The learned limits of one upstream.
#[derive(Clone, Debug)]
pub struct Learner {
    settings: Settings,
    calls: Axis,
    tokens: Axis,
    curve: Curve,
    /// Steps so far, and the steps of the last trouble and proof window.
    steps: f64,
    trouble: f64,
    window: f64,
    /// What the last blocked call was blocked by, and its tokens.
    blocked: Option<(Fit, u64)>,
    last_token: Moment,
    start: Start,
    latency: Latency,
    failures: u32,
    /// Reports in a row with calls waiting in the engine, and the last report.
    waiting: u32,
    reported: Moment,
    incarnation: Option<u64>,
    /// Whether the upstream crashed and has shown no life since.
    down: bool,
    resets: u64,
}

impl Learner {
    /// Makes a learner at its first value.
    pub fn new(settings: Settings) -> Self {
        let (calls, tokens) = axes(&settings);
        Self {
            settings,
            calls,
            tokens,
            curve: Curve::default(),
            steps: 0.0,
            trouble: 0.0,
            window: 0.0,
            blocked: None,
            last_token: Moment::default(),
            start: Start::default(),
            latency: Latency::default(),
            failures: 0,
            waiting: 0,
            reported: Moment::default(),
            incarnation: None,
            down: false,
            resets: 0,
        }
    }

    /// Returns the limit to its first value and forgets what was learned.
    pub fn reset(&mut self, cause: Cause) {
        *self = Self {
            steps: self.steps,
            trouble: self.steps,
            window: self.steps,
            last_token: self.last_token,
            incarnation: self.incarnation,
            down: cause == Cause::Crash,
            resets: self.resets + 1,
            ..Self::new(self.settings)
        };
    }

    /// Returns the current limit.
    pub fn limit(&self) -> Load {
        Load {
            calls: self.calls.limit as u32,
            tokens: self.tokens.limit as u64,
        }
    }

    /// Returns the load at which trouble was last seen, at the present step
    /// time; a quantity without trouble is at its largest value.
    pub fn ceiling(&self) -> Option<Load> {
        let known = self.calls.ceiling.or(self.tokens.ceiling).is_some();
        let drift = self.drift();
        known.then(|| Load {
            calls: self.calls.current(drift) as u32,
            tokens: self.tokens.current(drift) as u64,
        })
    }

    /// Returns whether the limit still grows from its first value.
    pub fn cold(&self) -> bool {
        let small = self.limit().calls < self.settings.first.calls.saturating_mul(4);
        self.down || (small && self.calls.ceiling.is_none())
    }

    /// Returns whether the upstream crashed and has shown no life since.
    pub fn down(&self) -> bool {
        self.down
    }

    /// Returns the steps seen so far.
    pub fn steps(&self) -> f64 {
        self.steps
    }

    /// Returns the number of resets so far.
    pub fn resets(&self) -> u64 {
        self.resets
    }

    /// Returns the recent step time.
    pub fn step(&self) -> Duration {
        Duration::from_secs_f64(self.curve.recent().max(0.0))
    }

    /// Replaces the safety bounds and applies them at once.
    pub fn rebound(&mut self, bounds: Bounds) {
        self.settings.bounds = bounds;
        let (calls, tokens) = axes(&self.settings);
        (self.calls.min, self.calls.max) = (calls.min, calls.max);
        (self.tokens.min, self.tokens.max) = (tokens.min, tokens.max);
        self.calls.set(self.calls.limit);
        self.tokens.set(self.tokens.limit);
    }

    /// Returns whether a call of so many tokens may be admitted now.
    pub fn fit(&self, now: Moment, flight: &Flight, tokens: u64) -> Fit {
        let after = flight.admitted.with(tokens);
        let limit = self.limit();
        if after.calls > limit.calls {
            return Fit::Calls;
        }
        // A call larger than the token limit runs alone, or it would never run.
        if after.tokens > limit.tokens && flight.admitted.calls > 0 {
            return Fit::Tokens;
        }
        if self.settings.bounds.min.covers(after) || !self.holds(now, flight, after) {
            return Fit::Yes;
        }
        Fit::Hold
    }

    /// Records that a call of so many tokens was held back for this reason;
    /// limits grow only while something is.
    pub fn block(&mut self, reason: Fit, tokens: u64) {
        self.blocked = Some((reason, tokens));
    }

    /// Records the first token of a call.
    pub fn first(&mut self, now: Moment, flight: &Flight, first: &First) {
        self.last_token = now;
        let queued = self.start.queued(first.waited, first.tokens);
        let alone = flight.started.calls <= 1;
        self.start.record(first.waited, first.tokens, alone);
        self.prove(flight.started);
        let unproven = !self.proven().covers(first.load) && first.load.calls > 1;
        // The call began only once another had ended.
        if unproven && queued && self.steps - first.waited >= self.trouble {
            self.back_off(first.load, flight.started);
        }
    }

    /// Records tokens of one call, `gap` after its previous ones.
    pub fn token(&mut self, now: Moment, flight: &Flight, gap: Duration, tokens: u64) {
        let batch = flight.started.calls.max(1);
        let share = 1.0 / f64::from(batch);
        let steps = tokens as f64 * share;
        self.last_token = now;
        self.steps += steps;
        self.record(batch, gap.as_secs_f64() / tokens.max(1) as f64, share);
        if flight.started.calls == flight.admitted.calls {
            self.grow(flight, steps);
        }
    }

    /// Checks whether the oldest call without a first token is late.
    pub fn check(&mut self, flight: &Flight) {
        let late = |waiting: Option<Oldest>| waiting.is_some_and(|o| self.late(&o));
        // A single call may hang by itself where there is room for many.
        if late(flight.oldest) && (late(flight.second) || self.near(flight.admitted)) {
            self.back_off(flight.admitted, flight.started);
        }
    }

    /// Records the end of a call, which is still part of the flight.
    pub fn done(&mut self, flight: &Flight, end: &End) {
        match end.outcome {
            Outcome::Crashed => return self.reset(Cause::Crash),
            Outcome::Failed => return self.failed(flight),
            Outcome::Cancelled => return,
            Outcome::Done => self.failures = 0,
        }
        if end.streamed {
            return;
        }
        match self.latency.record(end.duration.as_secs_f64()) {
            Sign::Slow => return self.reset(Cause::Slow),
            Sign::Queueing => return self.back_off(flight.admitted, flight.admitted),
            Sign::Healthy => {}
        }
        self.prove(end.load);
        self.grow(flight, 1.0 / self.calls.limit.max(1.0));
    }

    /// Records a lagged report of the engine.
    pub fn observe(&mut self, now: Moment, flight: &Flight, report: &Report) {
        let restarted = self.incarnation.is_some_and(|i| i != report.incarnation);
        self.incarnation = Some(report.incarnation);
        if restarted {
            self.reset(Cause::Incarnation);
        }
        self.down = false;
        self.reported = now;
        let streams = self.steps > 0.0;
        if !streams && report.running > 0 && !report.step.is_zero() {
            self.record(report.running, report.step.as_secs_f64(), 1.0);
        }
        // An engine also counts calls that only wait for the next step; where
        // the first tokens are seen, they tell which it is.
        let unusual = |o: Oldest| {
            o.admitted >= self.trouble && self.start.queued(self.steps - o.admitted, o.tokens)
        };
        let queues = report.waiting > 0 && (!streams || flight.oldest.is_some_and(unusual));
        self.waiting = if queues {
            self.waiting.saturating_add(1)
        } else {
            0
        };
        if self.waiting == REPORTS {
            let runs = f64::from(report.running) / f64::from(report.running + report.waiting);
            let held = Load {
                calls: report.running.min(flight.admitted.calls),
                tokens: (flight.admitted.tokens as f64 * runs) as u64,
            };
            self.back_off(flight.admitted, held);
        }
    }

    fn proven(&self) -> Load {
        Load {
            calls: self.calls.proven as u32,
            tokens: self.tokens.proven as u64,
        }
    }

    /// Returns whether a call that the limit allows should wait for evidence.
    fn holds(&self, now: Moment, flight: &Flight, after: Load) -> bool {
        let near = self.near(after);
        let hangs = |o: Oldest| {
            // Without running calls there are no steps to count.
            let long = flight.started.calls == 0 && now.since(o.at) > HUNG_TIME;
            long || self.steps - o.admitted > HUNG_STEPS
        };
        let hung = !near && flight.oldest.is_some_and(hangs);
        let pending = flight.admitted.calls - flight.started.calls - u32::from(hung);
        let reported = self.waiting > 0 && now.since(self.reported) < REPORT_AGE;
        let unproven = !self.proven().covers(after);
        // Without first tokens, a load is proven when calls at it have ended.
        let waits = if self.latency.known() {
            !self.proven().covers(flight.admitted)
        } else {
            pending > 0
        };
        if self.down || (unproven && (waits || reported)) {
            return true;
        }
        if self.steps == 0.0 {
            return false;
        }
        let many = pending > after.calls / PENDING_PART;
        let late = flight.oldest.is_some_and(|oldest| self.late(&oldest));
        ((unproven || near) && late && !hung)
            || (near && (many || reported))
            || self.silent(now, flight)
    }

    /// Returns whether a load is close to what the upstream can hold, as far as
    /// that is known.
    fn near(&self, load: Load) -> bool {
        let drift = self.drift();
        let calls = self.calls.current(drift).min(self.calls.limit);
        let tokens = self.tokens.current(drift).min(self.tokens.limit);
        f64::from(load.calls) >= NEAR * calls || load.tokens as f64 >= NEAR * tokens
    }

    /// Returns whether tokens are overdue.
    fn silent(&self, now: Moment, flight: &Flight) -> bool {
        let batch = flight.started.calls;
        let Some(step) = self.curve.expected(batch) else {
            return false;
        };
        let allowed = Duration::from_secs_f64(step * SILENT_STEPS) + SILENT_SLACK;
        batch > 0 && now.since(self.last_token) > allowed
    }

    /// Returns whether a call has waited too long for its first token. One that
    /// has caused trouble already does not cause more.
    fn late(&self, oldest: &Oldest) -> bool {
        oldest.admitted >= self.trouble
            && self.start.late(self.steps - oldest.admitted, oldest.tokens)
    }

    /// Returns step time over that at the last trouble, without its noise.
    fn drift(&self) -> f64 {
        let drift = self.curve.drift().clamp(1.0 / DRIFT_MAX, DRIFT_MAX);
        let beyond = ((drift - 1.0).abs() - DRIFT_NOISE).max(0.0);
        1.0 + beyond.copysign(drift - 1.0)
    }

    fn record(&mut self, batch: u32, step: f64, share: f64) {
        self.curve.record(batch, step, share);
        if self.curve.sudden() > SLOW {
            self.reset(Cause::Slow);
        } else if self.curve.drift() < FASTER {
            self.calls.forget();
            self.tokens.forget();
            self.curve.rebase();
        } else {
            let drift = self.drift();
            self.calls.follow(drift);
            self.tokens.follow(drift);
        }
    }

    /// Records that a load ran at the same time.
    fn prove(&mut self, load: Load) {
        if self.steps - self.window > PROOF_STEPS {
            self.window = self.steps;
            self.calls.roll();
            self.tokens.roll();
        }
        let drift = self.drift();
        self.calls.prove(f64::from(load.calls), drift);
        self.tokens.prove(load.tokens as f64, drift);
    }

    /// Adds evidence and grows the limit that holds callers back.
    fn grow(&mut self, flight: &Flight, steps: f64) {
        let Some((reason, tokens)) = self.blocked else {
            return;
        };
        let limit = self.limit();
        let drift = self.drift();
        let after = flight.admitted.with(tokens);
        let (axis, unit, at_limit) = match reason {
            Fit::Calls => (&mut self.calls, 1.0, after.calls > limit.calls),
            _ => (&mut self.tokens, tokens as f64, after.tokens > limit.tokens),
        };
        if !at_limit || self.waiting > 0 {
            return;
        }
        let Some(next) = axis.grown(steps, unit, drift) else {
            return;
        };
        self.blocked = None;
        if !self.curve.saturated(flight.started.calls) {
            axis.set(next);
            if reason == Fit::Calls {
                self.tokens.grow_along(flight.admitted.tokens as f64);
            } else {
                self.calls.grow_along(f64::from(flight.admitted.calls));
            }
            return;
        }
        let held = if reason == Fit::Calls {
            f64::from(flight.started.calls)
        } else {
            flight.started.tokens as f64
        };
        axis.back_off(held * drift);
        self.rebase();
    }

    /// Backs off after `tried` turned out too much and only `held` ran. Proof
    /// that a quantity was larger clears it; without any, both are blamed.
    fn back_off(&mut self, tried: Load, held: Load) {
        let proven = self.proven();
        let calls = tried.calls > proven.calls;
        let tokens = tried.tokens > proven.tokens;
        self.rebase();
        if calls || !tokens {
            self.calls.back_off(f64::from(held.calls));
        }
        if tokens || !calls {
            self.tokens.back_off(held.tokens as f64);
        }
    }

    /// Measures drift from here on.
    fn rebase(&mut self) {
        let drift = self.drift();
        self.calls.rebase(drift);
        self.tokens.rebase(drift);
        self.trouble = self.steps;
        self.curve.rebase();
    }

    fn failed(&mut self, flight: &Flight) {
        self.failures += 1;
        if self.failures >= FAILURES {
            self.failures = 0;
            self.back_off(flight.admitted, flight.admitted);
        }
    }
}

/// Makes both axes at their first values.
fn axes(settings: &Settings) -> (Axis, Axis) {
    let Bounds { min, max } = settings.bounds;
    let calls = Axis::new(
        f64::from(settings.first.calls),
        f64::from(min.calls.max(1)),
        f64::from(max.calls.max(1)),
    );
    let tokens = Axis::new(
        settings.first.tokens as f64,
        min.tokens as f64,
        max.tokens as f64,
    );
    (calls, tokens)
}

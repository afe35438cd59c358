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

mod dimension;
mod grow;
mod hold;
mod input;
mod latency;
mod start_delay;

pub use input::{
    Bounds, CallEnd, Cause, FirstToken, Fit, InFlight, Load, Outcome, PendingCall, Report, Settings,
};

use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::curve::Curve;
use dimension::{COLD_PROBE_STEPS, Dimension};
use latency::{Latency, LatencySignal};
use start_delay::StartDelay;

/// Step time over that at the last trouble below which ceilings are forgotten,
/// since the engine is no longer the one that showed them.
const FASTER_RATIO: f64 = 0.9;
/// Calls over the first value up to which an engine may still be cold.
const COLD_FACTOR: u32 = 2;
/// Drift of step time that a ceiling follows at most.
const DRIFT_MAX: f64 = 2.0;
/// Drift that is not followed: noise of its mean.
const DRIFT_NOISE: f64 = 0.02;
/// Step time over the usual one that counts as a turn to cold.
const SLOWDOWN_RATIO: f64 = 1.8;
/// Least part of a step that counts as the engine's own, so that a wrong report
/// cannot hide all slowness.
const MIN_OWN_FRACTION: f64 = 0.1;
/// Steps after which the proof of a load expires unless it ran again.
const SUSTAINED_WINDOW_STEPS: f64 = 256.0;
/// Reports in a row with waiting calls that count as trouble.
const CONGESTED_REPORTS: u32 = 2;

/// The learned limits of one upstream.
#[derive(Clone, Debug)]
pub struct Learner {
    settings: Settings,
    calls: Dimension,
    tokens: Dimension,
    curve: Curve,
    /// Steps so far, and the steps of the last trouble and proof window.
    steps: f64,
    congestion_step: f64,
    window: f64,
    /// Steps until which no load beyond the proof is tried again.
    resume_step: f64,
    /// What the last blocked call was blocked by, and its tokens.
    blocked: Option<(Fit, u64)>,
    last_token: Moment,
    start_delay: StartDelay,
    latency: Latency,
    failures: u32,
    /// Reports in a row with calls waiting in the engine, and the last report.
    waiting_reports: u32,
    last_report: Moment,
    /// Part of a step that the engine itself needs; the rest it waits for the
    /// other ranks of its group, which tells nothing about its own capacity.
    own_fraction: f64,
    incarnation: Option<u64>,
    /// Whether the upstream crashed and has shown no life since.
    down: bool,
    resets: u64,
}

impl Learner {
    /// Makes a learner at its first value.
    pub fn new(settings: Settings) -> Self {
        let (calls, tokens) = dimensions(&settings);
        Self {
            settings,
            calls,
            tokens,
            curve: Curve::default(),
            steps: 0.0,
            congestion_step: 0.0,
            window: 0.0,
            resume_step: 0.0,
            blocked: None,
            last_token: Moment::default(),
            start_delay: StartDelay::default(),
            latency: Latency::default(),
            failures: 0,
            waiting_reports: 0,
            last_report: Moment::default(),
            own_fraction: 1.0,
            incarnation: None,
            down: false,
            resets: 0,
        }
    }

    /// Returns the limit to its first value and forgets what was learned.
    pub fn reset(&mut self, cause: Cause) {
        *self = Self {
            steps: self.steps,
            congestion_step: self.steps,
            window: self.steps,
            last_token: self.last_token,
            incarnation: self.incarnation,
            own_fraction: self.own_fraction,
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
        let small = self.limit().calls < self.settings.initial.calls.saturating_mul(4);
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
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.settings.bounds = bounds;
        let (calls, tokens) = dimensions(&self.settings);
        (self.calls.min, self.calls.max) = (calls.min, calls.max);
        (self.tokens.min, self.tokens.max) = (tokens.min, tokens.max);
        self.calls.set(self.calls.limit);
        self.tokens.set(self.tokens.limit);
    }

    /// Returns whether a call of so many tokens may be admitted now.
    pub fn fit(&self, now: Moment, in_flight: &InFlight, tokens: u64) -> Fit {
        let after = in_flight.admitted.with(tokens);
        let limit = self.limit();
        if after.calls > limit.calls {
            return Fit::Calls;
        }
        // A call larger than the token limit runs alone, or it would never run.
        if after.tokens > limit.tokens && in_flight.admitted.calls > 0 {
            return Fit::Tokens;
        }
        if self.settings.bounds.min.covers(after) || !self.must_hold(now, in_flight, after) {
            return Fit::Yes;
        }
        Fit::Hold
    }

    /// Records that a call of so many tokens was held back for this reason;
    /// limits grow only while something is.
    pub fn record_blocked(&mut self, reason: Fit, tokens: u64) {
        self.blocked = Some((reason, tokens));
    }

    /// Records the first token of a call.
    pub fn first_token(&mut self, now: Moment, in_flight: &InFlight, first: &FirstToken) {
        self.last_token = now;
        let queued = self.start_delay.queued(first.waited, first.tokens);
        let alone = in_flight.started.calls <= 1;
        self.start_delay.record(first.waited, first.tokens, alone);
        // Calls whose last token came in the same step ran at the same time.
        self.record_sustained(in_flight.started.plus(first.ended));
        let beyond_sustained = !self.sustained().covers(first.load) && first.load.calls > 1;
        // The call began only once another had ended.
        if beyond_sustained && queued && self.steps - first.waited >= self.congestion_step {
            self.back_off(first.load, in_flight.started);
        } else if beyond_sustained && first.load.calls <= COLD_FACTOR * self.settings.initial.calls
        {
            // Another call ended in the meantime, so the load may have been too
            // much without a sign of it.
            self.resume_step = self.steps + COLD_PROBE_STEPS;
        }
    }

    /// Records tokens of one call, `gap` after its previous ones.
    pub fn tokens(&mut self, now: Moment, in_flight: &InFlight, gap: Duration, tokens: u64) {
        let batch = in_flight.started.calls.max(1);
        let share = 1.0 / f64::from(batch);
        let steps = tokens as f64 * share;
        self.last_token = now;
        self.steps += steps;
        let step = gap.as_secs_f64() / tokens.max(1) as f64;
        self.record(batch, step * self.own_fraction, share);
        if self.starts_on_time(in_flight) {
            self.grow(in_flight, steps);
        }
    }

    /// Checks whether the oldest call without a first token is late.
    pub fn check_pending(&mut self, in_flight: &InFlight) {
        let late = |waiting: Option<PendingCall>| waiting.is_some_and(|o| self.late(&o));
        // A single call may hang by itself where there is room for many.
        if late(in_flight.oldest_pending)
            && (late(in_flight.second_pending) || self.near_capacity(in_flight.admitted))
        {
            // Other calls may have ended since the late one was admitted.
            let tried = in_flight
                .oldest_pending
                .map_or(in_flight.admitted, |o| o.load);
            self.back_off(tried, in_flight.started);
        }
    }

    /// Records the end of a call, which is still part of the flight.
    pub fn call_ended(&mut self, in_flight: &InFlight, end: &CallEnd) {
        match end.outcome {
            Outcome::Crashed => return self.reset(Cause::Crash),
            Outcome::Failed => return self.failed(in_flight),
            Outcome::Cancelled => return,
            Outcome::Done => self.failures = 0,
        }
        if end.streamed {
            return;
        }
        match self.latency.record(end.duration.as_secs_f64()) {
            LatencySignal::Slow => return self.reset(Cause::Slow),
            LatencySignal::Queueing => {
                return self.back_off(in_flight.admitted, in_flight.admitted);
            }
            LatencySignal::Healthy => {}
        }
        self.record_sustained(end.load);
        self.grow(in_flight, 1.0 / self.calls.limit.max(1.0));
    }

    /// Records a lagged report of the engine.
    pub fn observe(&mut self, now: Moment, in_flight: &InFlight, report: &Report) {
        let restarted = self.incarnation.is_some_and(|i| i != report.incarnation);
        self.incarnation = Some(report.incarnation);
        if restarted {
            self.reset(Cause::Incarnation);
        }
        self.down = false;
        self.last_report = now;
        if !report.step.is_zero() && !report.own_step.is_zero() {
            let part = report.own_step.as_secs_f64() / report.step.as_secs_f64();
            self.own_fraction = part.clamp(MIN_OWN_FRACTION, 1.0);
        }
        let streams = self.steps > 0.0;
        if !streams && report.running > 0 && !report.step.is_zero() {
            self.record(
                report.running,
                report.step.as_secs_f64() * self.own_fraction,
                1.0,
            );
        }
        // An engine also counts calls that only wait for the next step; where
        // the first tokens are seen, they tell which it is.
        let unusual = |o: PendingCall| {
            o.steps_at_admission >= self.congestion_step
                && self
                    .start_delay
                    .queued(self.steps - o.steps_at_admission, o.tokens)
        };
        let queues =
            report.waiting > 0 && (!streams || in_flight.oldest_pending.is_some_and(unusual));
        self.waiting_reports = if queues {
            self.waiting_reports.saturating_add(1)
        } else {
            0
        };
        if self.waiting_reports == CONGESTED_REPORTS {
            let runs = f64::from(report.running) / f64::from(report.running + report.waiting);
            let held = Load {
                calls: report.running.min(in_flight.admitted.calls),
                tokens: (in_flight.admitted.tokens as f64 * runs) as u64,
            };
            self.back_off(in_flight.admitted, held);
        }
    }

    fn sustained(&self) -> Load {
        Load {
            calls: self.calls.sustained as u32,
            tokens: self.tokens.sustained as u64,
        }
    }

    /// Returns step time over that at the last trouble, without its noise.
    fn drift(&self) -> f64 {
        let drift = self.curve.drift().clamp(1.0 / DRIFT_MAX, DRIFT_MAX);
        let beyond = ((drift - 1.0).abs() - DRIFT_NOISE).max(0.0);
        1.0 + beyond.copysign(drift - 1.0)
    }

    fn record(&mut self, batch: u32, step: f64, share: f64) {
        self.curve.record(batch, step, share);
        if self.curve.slowdown() > SLOWDOWN_RATIO {
            self.reset(Cause::Slow);
        } else if self.curve.drift() < FASTER_RATIO {
            self.calls.forget();
            self.tokens.forget();
            self.curve.rebase();
        } else {
            let drift = self.drift();
            self.calls.apply_ceiling(drift);
            self.tokens.apply_ceiling(drift);
        }
    }

    /// Records that a load ran at the same time.
    fn record_sustained(&mut self, load: Load) {
        if self.steps - self.window > SUSTAINED_WINDOW_STEPS {
            self.window = self.steps;
            self.calls.roll();
            self.tokens.roll();
        }
        let drift = self.drift();
        self.calls.record_sustained(f64::from(load.calls), drift);
        self.tokens.record_sustained(load.tokens as f64, drift);
    }
}

/// Makes both axes at their first values.
fn dimensions(settings: &Settings) -> (Dimension, Dimension) {
    let Bounds { min, max } = settings.bounds;
    let calls = Dimension::new(
        f64::from(settings.initial.calls),
        f64::from(min.calls.max(1)),
        f64::from(max.calls.max(1)),
    );
    let tokens = Dimension::new(
        settings.initial.tokens as f64,
        min.tokens as f64,
        max.tokens as f64,
    );
    (calls, tokens)
}

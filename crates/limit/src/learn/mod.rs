//! Learns how many calls and tokens one upstream can run concurrently.
//!
//! The limit starts at a small initial value and grows when three conditions
//! hold: the upstream ran at the limit for some steps, calls were blocked by
//! the limit, and no sign of nearing capacity was observed. Work beyond the
//! largest load that recently ran concurrently (the sustained load) is admitted
//! one call at a time, so that a capacity which gives no early sign is exceeded
//! by a single call. When congestion is detected, its load is kept as a
//! ceiling; the limit stays below the ceiling, follows it when step time
//! drifts, and exceeds it rarely and by the smallest step.
//! `docs/notes/limits.md` compares the alternatives.

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

use crate::curve::StepTimeCurve;
use dimension::{COLD_PROBE_STEPS, Dimension};
use latency::{Latency, Signal};
use start_delay::StartDelay;

/// Ratio of step time to that at the last congestion below which ceilings are
/// dropped, since the engine has become faster than when they were detected.
const FASTER_RATIO: f64 = 0.9;
/// Multiple of the initial limit of calls up to which an engine may still be in
/// its cold start.
const COLD_FACTOR: u32 = 2;
/// Maximum drift of step time by which a ceiling is adjusted.
const DRIFT_MAX: f64 = 2.0;
/// Drift that is ignored as noise of its mean.
const DRIFT_NOISE: f64 = 0.02;
/// Ratio of step time to the usual one from which the engine is considered to
/// be in a cold start.
const SLOWDOWN_RATIO: f64 = 1.8;
/// Lower bound of the engine's own fraction of a step, so that a wrong report
/// cannot hide all slowness.
const MIN_OWN_FRACTION: f64 = 0.1;
/// Steps after which a sustained load expires unless it recurs.
const SUSTAINED_WINDOW_STEPS: f64 = 256.0;
/// Consecutive reports with waiting calls that count as congestion.
const CONGESTED_REPORTS: u32 = 2;

/// The learned limits of one upstream.
#[derive(Clone, Debug)]
pub struct Learner {
    settings: Settings,
    calls: Dimension,
    tokens: Dimension,
    curve: StepTimeCurve,
    /// Steps so far, and their number at the last congestion and at the start
    /// of the current window of sustained load.
    steps: f64,
    congestion_step: f64,
    window_start_step: f64,
    /// Step count until which no load beyond the sustained one is probed.
    no_probe_until_step: f64,
    /// Limit that held back the last blocked call, and the tokens of that call.
    blocked: Option<(Fit, u64)>,
    last_token: Moment,
    start_delay: StartDelay,
    latency: Latency,
    failures: u32,
    /// Consecutive reports with calls waiting in the engine, and the time of
    /// the last report.
    waiting_reports: u32,
    last_report: Moment,
    /// Fraction of a step that the engine itself needs. The rest is spent
    /// waiting for the other ranks of its group and is unrelated to this
    /// engine's capacity.
    own_fraction: f64,
    incarnation: Option<u64>,
    /// Whether the upstream crashed and has sent no report since.
    down: bool,
    resets: u64,
}

impl Learner {
    /// Creates a learner at the initial limit.
    pub fn new(settings: Settings) -> Self {
        let (calls, tokens) = dimensions(&settings);
        Self {
            settings,
            calls,
            tokens,
            curve: StepTimeCurve::default(),
            steps: 0.0,
            congestion_step: 0.0,
            window_start_step: 0.0,
            no_probe_until_step: 0.0,
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

    /// Resets the limit to its initial value and discards what was learned.
    pub fn reset(&mut self, cause: Cause) {
        *self = Self {
            steps: self.steps,
            congestion_step: self.steps,
            window_start_step: self.steps,
            last_token: self.last_token,
            incarnation: self.incarnation,
            own_fraction: self.own_fraction,
            down: cause == Cause::Crash,
            resets: self.resets + 1,
            ..Self::new(self.settings)
        };
    }

    /// Returns the current limit of work in flight.
    pub fn limit(&self) -> Load {
        Load {
            calls: self.calls.limit as u32,
            tokens: self.tokens.limit as u64,
        }
    }

    /// Returns the load at which congestion was last detected, adjusted to the
    /// present step time. A dimension without a ceiling has the largest value
    /// of its type; `None` if neither has one.
    pub fn ceiling(&self) -> Option<Load> {
        let known = self.calls.ceiling.or(self.tokens.ceiling).is_some();
        let drift = self.drift();
        known.then(|| Load {
            calls: self.calls.current_ceiling(drift) as u32,
            tokens: self.tokens.current_ceiling(drift) as u64,
        })
    }

    /// Returns whether the limit is still below four times its initial value
    /// without a known ceiling of calls, or the upstream is down.
    pub fn cold(&self) -> bool {
        let small = self.limit().calls < self.settings.initial.calls.saturating_mul(4);
        self.down || (small && self.calls.ceiling.is_none())
    }

    /// Returns whether the upstream crashed and has sent no report since.
    pub fn down(&self) -> bool {
        self.down
    }

    /// Returns the number of engine steps so far, derived from the token counts
    /// of running calls.
    pub fn steps(&self) -> f64 {
        self.steps
    }

    /// Returns the number of resets so far.
    pub fn resets(&self) -> u64 {
        self.resets
    }

    /// Returns the recent step time; zero before the first one was observed.
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

    /// Returns whether a call of `tokens` tokens may be admitted now.
    pub fn fit(&self, now: Moment, in_flight: &InFlight, tokens: u64) -> Fit {
        let after = in_flight.admitted.with_call(tokens);
        let limit = self.limit();
        if after.calls > limit.calls {
            return Fit::Calls;
        }
        // A call larger than the token limit is admitted only when nothing else
        // is in flight; otherwise such a call would never run.
        if after.tokens > limit.tokens && in_flight.admitted.calls > 0 {
            return Fit::Tokens;
        }
        if self.settings.bounds.min.covers(after) || !self.must_hold(now, in_flight, after) {
            return Fit::Yes;
        }
        Fit::Hold
    }

    /// Records that a call of `tokens` tokens was held back for `reason`;
    /// limits grow only while calls are blocked.
    pub fn record_blocked(&mut self, reason: Fit, tokens: u64) {
        self.blocked = Some((reason, tokens));
    }

    /// Records the first token of a call; backs off if the call was queued in
    /// the engine beyond the sustained load.
    pub fn record_first_token(&mut self, now: Moment, in_flight: &InFlight, first: &FirstToken) {
        self.last_token = now;
        let queued = self.start_delay.queued(first.waited, first.tokens);
        let alone = in_flight.started.calls <= 1;
        self.start_delay.record(first.waited, first.tokens, alone);
        // Calls whose last token came in the same step ran concurrently.
        self.record_sustained(in_flight.started.plus(first.ended));
        let beyond_sustained = !self.sustained().covers(first.load) && first.load.calls > 1;
        // `queued`: the call started only after another had ended. Calls admitted
        // before the last detected congestion do not count again.
        if beyond_sustained && queued && self.steps - first.waited >= self.congestion_step {
            self.back_off(first.load, in_flight.started);
        } else if beyond_sustained && first.load.calls <= COLD_FACTOR * self.settings.initial.calls
        {
            // Another call ended in the meantime, so the load may have exceeded
            // the capacity without a sign.
            self.no_probe_until_step = self.steps + COLD_PROBE_STEPS;
        }
    }

    /// Records `tokens` tokens of one call, `gap` after its previous ones.
    pub fn record_tokens(&mut self, now: Moment, in_flight: &InFlight, gap: Duration, tokens: u64) {
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

    /// Backs off if the oldest call without a first token is late.
    pub fn check_pending(&mut self, in_flight: &InFlight) {
        let late = |pending: Option<PendingCall>| pending.is_some_and(|o| self.late(&o));
        // A single late call may be hung for a reason of its own unless the
        // load is near capacity.
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

    /// Records the end of a call, which is still included in `in_flight`.
    pub fn record_call_end(&mut self, in_flight: &InFlight, end: &CallEnd) {
        match end.outcome {
            Outcome::Crashed => return self.reset(Cause::Crash),
            Outcome::Failed => return self.record_failure(in_flight),
            Outcome::Cancelled => return,
            Outcome::Done => self.failures = 0,
        }
        if end.streamed {
            return;
        }
        match self.latency.record(end.duration.as_secs_f64()) {
            Signal::Slow => return self.reset(Cause::Slow),
            Signal::Queueing => return self.back_off(in_flight.admitted, in_flight.admitted),
            Signal::Healthy => {}
        }
        self.record_sustained(end.load);
        self.grow(in_flight, 1.0 / self.calls.limit.max(1.0));
    }

    /// Processes a report of the engine, which lags behind the calls.
    pub fn observe(&mut self, now: Moment, in_flight: &InFlight, report: &Report) {
        let restarted = self.incarnation.is_some_and(|i| i != report.incarnation);
        self.incarnation = Some(report.incarnation);
        if restarted {
            self.reset(Cause::Incarnation);
        }
        self.down = false;
        self.last_report = now;
        if !report.step.is_zero() && !report.own_step.is_zero() {
            let fraction = report.own_step.as_secs_f64() / report.step.as_secs_f64();
            self.own_fraction = fraction.clamp(MIN_OWN_FRACTION, 1.0);
        }
        let has_token_steps = self.steps > 0.0;
        if !has_token_steps && report.running > 0 && !report.step.is_zero() {
            self.record(
                report.running,
                report.step.as_secs_f64() * self.own_fraction,
                1.0,
            );
        }
        // The engine's count of waiting calls includes those that only wait for
        // the next step; the delay of first tokens, where known, distinguishes
        // the two.
        let queued = |o: PendingCall| {
            o.steps_at_admission >= self.congestion_step
                && self
                    .start_delay
                    .queued(self.steps - o.steps_at_admission, o.tokens)
        };
        let congested = report.waiting > 0
            && (!has_token_steps || in_flight.oldest_pending.is_some_and(queued));
        self.waiting_reports = if congested {
            self.waiting_reports.saturating_add(1)
        } else {
            0
        };
        if self.waiting_reports == CONGESTED_REPORTS {
            let running_fraction =
                f64::from(report.running) / f64::from(report.running + report.waiting);
            let held = Load {
                calls: report.running.min(in_flight.admitted.calls),
                tokens: (in_flight.admitted.tokens as f64 * running_fraction) as u64,
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

    /// Returns the ratio of step time to that at the last congestion, with
    /// noise removed.
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
            self.calls.drop_ceiling();
            self.tokens.drop_ceiling();
            self.curve.rebase();
        } else {
            let drift = self.drift();
            self.calls.apply_ceiling(drift);
            self.tokens.apply_ceiling(drift);
        }
    }

    /// Records that a load ran concurrently.
    fn record_sustained(&mut self, load: Load) {
        if self.steps - self.window_start_step > SUSTAINED_WINDOW_STEPS {
            self.window_start_step = self.steps;
            self.calls.roll_window();
            self.tokens.roll_window();
        }
        let drift = self.drift();
        self.calls.record_sustained(f64::from(load.calls), drift);
        self.tokens.record_sustained(load.tokens as f64, drift);
    }
}

/// Creates both dimensions at their initial limits.
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

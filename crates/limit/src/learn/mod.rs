//! Learns how many calls and tokens one upstream can hold.
//!
//! The limit starts at a small first value and grows by evidence: the upstream
//! ran at the limit for some steps, callers wanted more, and no signal of
//! nearing capacity was seen. Work beyond the largest load that is proven to
//! run concurrently is admitted one call at a time, so that a capacity which
//! gives no early signal is exceeded by a single call. Where trouble was seen,
//! a ceiling is remembered; the limit backs off below it, follows it when step
//! time drifts, and exceeds it rarely and by the smallest step. The
//! alternatives are weighed in `docs/notes/limits.md`.

mod input;

pub use input::{Bounds, Cause, End, First, Fit, Flight, Load, Oldest, Outcome, Report, Settings};

use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::curve::Curve;

/// Steps at the limit that justify growth while no ceiling is known.
const GROW_STEPS: f64 = 3.0;
/// Steps at the limit that justify growth after a ceiling was exceeded safely.
const CAUTIOUS_STEPS: f64 = 16.0;
/// Growth before a ceiling is known, as a part of the limit.
const GROW_PART: u32 = 16;
/// Steps at the limit before the first probe above a ceiling, and the most
/// between two; each failed probe doubles the interval.
const PROBE_STEPS: f64 = 64.0;
const PROBE_STEPS_MAX: f64 = 16_384.0;
/// Part of a ceiling the limit backs off to.
const MARGIN: f64 = 0.93;
/// Part of a drifting ceiling at which the limit backs off to the margin.
const TRIGGER: f64 = 0.98;
/// Part of a limit from which the limit is blamed for trouble.
const BLAME: f64 = 0.85;
/// Part of a ceiling from which at most [`PENDING_PART`] of the calls may wait
/// for their first token, so that a capacity that falls unseen is exceeded by
/// few calls.
const NEAR: f64 = 0.75;
const PENDING_PART: u32 = 32;
/// Step time over the usual one that counts as a turn to cold.
const SLOW: f64 = 1.8;
/// Silence, in expected steps plus a fixed slack, after which admission pauses.
const SILENT_STEPS: f64 = 2.0;
const SILENT_SLACK: Duration = Duration::from_millis(20);
/// Steps to first token that are never late.
const LATE_STEPS: f64 = 3.0;
/// Weight of a new observation in slowly changing means.
const SLOW_WEIGHT: f64 = 1.0 / 64.0;
/// Weight of a new observation in quickly changing means.
const FAST_WEIGHT: f64 = 1.0 / 4.0;
/// Latency over the usual one that counts as queueing, for upstreams that do
/// not stream; twice this counts as a turn to cold.
const QUEUEING: f64 = 2.0;
/// Age at which a report of waiting calls no longer counts.
const REPORT_AGE: Duration = Duration::from_secs(2);
/// Failed calls in a row that count as trouble.
const FAILURES: u32 = 3;
/// Drift of step time followed by a ceiling at most.
const DRIFT_MAX: f64 = 2.0;

/// The learned limits of one upstream.
#[derive(Clone, Debug)]
pub struct Learner {
    settings: Settings,
    limit: Load,
    /// The largest load seen to run at the same time.
    proven: Load,
    /// Loads at which trouble was seen; `None` while unknown.
    ceiling_calls: Option<f64>,
    ceiling_tokens: Option<f64>,
    curve: Curve,
    /// Steps since the reset, and the step of the last trouble.
    steps: f64,
    trouble: f64,
    /// Steps at the limit since the last growth.
    evidence: f64,
    /// Evidence required by the next probe above a ceiling.
    interval: f64,
    cautious: bool,
    /// How far the limit may exceed the trigger because probes raised it.
    probe: Load,
    /// What the last blocked call was blocked by, and its tokens.
    blocked: Option<(Fit, u64)>,
    last_token: Moment,
    /// Usual steps to first token, and usual tokens of a call.
    typical: f64,
    mean_tokens: f64,
    /// Usual latency of an upstream that does not stream, in seconds, and the
    /// recent ratio to it.
    latency: f64,
    latency_ratio: f64,
    failures: u32,
    /// Reports in a row with calls waiting in the engine.
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
        let mut learner = Self {
            settings,
            limit: Load::default(),
            proven: Load::default(),
            ceiling_calls: None,
            ceiling_tokens: None,
            curve: Curve::default(),
            steps: 0.0,
            trouble: 0.0,
            evidence: 0.0,
            interval: PROBE_STEPS,
            cautious: false,
            probe: Load::default(),
            blocked: None,
            last_token: Moment::default(),
            typical: 1.0,
            mean_tokens: 0.0,
            latency: 0.0,
            latency_ratio: 1.0,
            failures: 0,
            waiting: 0,
            reported: Moment::default(),
            incarnation: None,
            down: false,
            resets: 0,
        };
        learner.reset(Cause::Start);
        learner
    }

    /// Returns the current limit.
    pub fn limit(&self) -> Load {
        self.limit
    }

    /// Returns the load at which trouble was last seen, at today's step time.
    pub fn ceiling(&self) -> Option<Load> {
        let calls = self.current(self.ceiling_calls);
        let tokens = self.current(self.ceiling_tokens);
        (self.ceiling_calls.is_some() || self.ceiling_tokens.is_some()).then_some(Load {
            calls: calls.min(f64::from(u32::MAX)) as u32,
            tokens: tokens as u64,
        })
    }

    /// Returns whether the limit still grows from its first value.
    pub fn cold(&self) -> bool {
        let first = self.settings.first.calls;
        self.down || (self.ceiling().is_none() && self.limit.calls < first.saturating_mul(4))
    }

    /// Returns whether the upstream crashed and has shown no life since.
    pub fn down(&self) -> bool {
        self.down
    }

    /// Returns the steps seen so far.
    pub fn steps(&self) -> f64 {
        self.steps
    }

    /// Returns the resets so far, the initial one included.
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
        self.set_limit(self.limit);
    }

    /// Returns whether a call of so many tokens may be admitted now.
    pub fn fit(&self, now: Moment, flight: &Flight, tokens: u64) -> Fit {
        let after = Load {
            calls: flight.admitted.calls + 1,
            tokens: flight.admitted.tokens.saturating_add(tokens),
        };
        if after.calls > self.limit.calls {
            return Fit::Calls;
        }
        // A call larger than the token limit runs alone, or it would never run.
        if after.tokens > self.limit.tokens && flight.admitted.calls > 0 {
            return Fit::Tokens;
        }
        if self.settings.bounds.min.covers(after) {
            return Fit::Yes;
        }
        if self.holds(now, flight, after) {
            return Fit::Hold;
        }
        Fit::Yes
    }

    /// Records that a call of so many tokens was held back for this reason;
    /// limits grow only while something is.
    pub fn block(&mut self, reason: Fit, tokens: u64) {
        self.blocked = Some((reason, tokens));
    }

    /// Records tokens of one call, `gap` after its previous ones.
    pub fn token(&mut self, now: Moment, flight: &Flight, gap: Duration, tokens: u64) {
        let batch = flight.started.calls.max(1);
        let share = 1.0 / f64::from(batch);
        let steps = tokens as f64 * share;
        self.last_token = now;
        self.steps += steps;
        let step = gap.as_secs_f64() / tokens.max(1) as f64;
        self.record(batch, step, share);
        self.grow(flight, steps);
    }

    /// Records the first token of a call.
    pub fn first(&mut self, now: Moment, flight: &Flight, first: &First) {
        self.last_token = now;
        self.prove(flight.started);
        let size = self.size(first.tokens);
        let weight = if self.mean_tokens == 0.0 {
            1.0
        } else {
            SLOW_WEIGHT
        };
        self.mean_tokens += (first.tokens as f64 - self.mean_tokens) * weight;
        let unproven = !self.proven.covers(first.load) && first.load.calls > 1;
        let queued = first.waited > (self.typical + 1.0) * size;
        if flight.started.calls > 1 && first.waited <= self.late_steps() {
            self.typical += (first.waited - self.typical) * SLOW_WEIGHT;
        }
        // The call began only once another had ended.
        if unproven && queued && self.waited_since_trouble(first.waited) {
            self.back_off(flight, flight.started);
        }
    }

    /// Checks whether the oldest call without a first token is late.
    pub fn check(&mut self, flight: &Flight) {
        if let Some(oldest) = flight.oldest
            && oldest.admitted >= self.trouble
            && self.late(&oldest)
        {
            self.back_off(flight, flight.started);
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
        self.latency(flight, end.duration.as_secs_f64());
        self.prove(end.load);
        self.grow(flight, 1.0 / f64::from(self.limit.calls.max(1)));
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
        if self.steps == 0.0 && report.running > 0 {
            self.record(report.running, report.step.as_secs_f64(), 1.0);
        }
        self.waiting = if report.waiting == 0 {
            0
        } else {
            self.waiting.saturating_add(1)
        };
        // One report may show a call that only waits for the next step.
        if self.waiting == 2 {
            let runs = f64::from(report.running) / f64::from(report.running + report.waiting);
            let tokens = (flight.admitted.tokens as f64 * runs) as u64;
            let calls = report.running.min(flight.admitted.calls);
            self.back_off(flight, Load { calls, tokens });
        }
    }

    /// Returns the limit to its first value and forgets what was learned.
    pub fn reset(&mut self, cause: Cause) {
        self.resets += 1;
        self.down = cause == Cause::Crash;
        self.set_limit(self.settings.first);
        self.proven = Load::default();
        self.ceiling_calls = None;
        self.ceiling_tokens = None;
        self.curve = Curve::default();
        self.trouble = self.steps;
        self.evidence = 0.0;
        self.interval = PROBE_STEPS;
        self.cautious = false;
        self.probe = Load::default();
        self.blocked = None;
        self.typical = 1.0;
        self.latency = 0.0;
        self.latency_ratio = 1.0;
        self.failures = 0;
        self.waiting = 0;
    }

    fn set_limit(&mut self, limit: Load) {
        let Bounds { min, max } = self.settings.bounds;
        self.limit.calls = limit.calls.min(max.calls).max(min.calls).max(1);
        self.limit.tokens = limit.tokens.min(max.tokens).max(min.tokens);
    }

    /// Returns whether a call that the limit allows should wait for evidence.
    fn holds(&self, now: Moment, flight: &Flight, after: Load) -> bool {
        let pending = flight.admitted.calls - flight.started.calls;
        if self.down {
            return true;
        }
        let reported = self.waiting > 0 && now.since(self.reported) < REPORT_AGE;
        let unproven = !self.proven.covers(after);
        if unproven && (pending > 0 || reported) {
            return true;
        }
        if self.steps == 0.0 {
            return false;
        }
        let near = f64::from(after.calls) >= NEAR * self.current(self.ceiling_calls)
            || after.tokens as f64 >= NEAR * self.current(self.ceiling_tokens);
        let many = pending > (after.calls / PENDING_PART);
        let late = flight.oldest.is_some_and(|oldest| self.late(&oldest));
        late || (near && (many || reported)) || self.silent(now, flight)
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

    /// Returns whether a call has waited too long for its first token.
    fn late(&self, oldest: &Oldest) -> bool {
        self.steps - oldest.admitted > self.late_steps() * self.size(oldest.tokens)
    }

    fn waited_since_trouble(&self, waited: f64) -> bool {
        self.steps - waited >= self.trouble
    }

    /// Returns the size of a call over the usual one, at least 1; a long prompt
    /// takes more steps to its first token.
    fn size(&self, tokens: u64) -> f64 {
        (tokens as f64 / self.mean_tokens.max(1.0)).max(1.0)
    }

    fn late_steps(&self) -> f64 {
        (2.0 * self.typical + 1.0).max(LATE_STEPS)
    }

    /// Returns a ceiling at today's step time, infinite if none is known.
    fn current(&self, ceiling: Option<f64>) -> f64 {
        let drift = self.curve.drift().clamp(1.0 / DRIFT_MAX, DRIFT_MAX);
        ceiling.map_or(f64::INFINITY, |c| c / drift)
    }

    fn record(&mut self, batch: u32, step: f64, share: f64) {
        self.curve.record(batch, step, share);
        if self.curve.sudden() > SLOW {
            self.reset(Cause::Slow);
            return;
        }
        self.follow_drift();
    }

    /// Lowers limits that a falling ceiling has come close to.
    fn follow_drift(&mut self) {
        let calls = self.current(self.ceiling_calls);
        let tokens = self.current(self.ceiling_tokens);
        let mut limit = self.limit;
        if f64::from(limit.calls) > TRIGGER * calls + f64::from(self.probe.calls) {
            limit.calls = (MARGIN * calls) as u32;
            self.probe.calls = 0;
        }
        if limit.tokens as f64 > TRIGGER * tokens + self.probe.tokens as f64 {
            limit.tokens = (MARGIN * tokens) as u64;
            self.probe.tokens = 0;
        }
        if limit != self.limit {
            self.lower(limit);
        }
    }

    /// Sets a lower limit, above which nothing is proven any more.
    fn lower(&mut self, limit: Load) {
        self.set_limit(limit);
        self.proven.calls = self.proven.calls.min(self.limit.calls);
        self.proven.tokens = self.proven.tokens.min(self.limit.tokens);
        self.evidence = 0.0;
    }

    /// Records that a load ran at the same time.
    fn prove(&mut self, load: Load) {
        self.proven.calls = self.proven.calls.max(load.calls.min(self.limit.calls));
        self.proven.tokens = self.proven.tokens.max(load.tokens.min(self.limit.tokens));
        self.passed_ceiling();
    }

    /// Adds evidence and grows the limit that holds callers back.
    fn grow(&mut self, flight: &Flight, steps: f64) {
        let Some((reason, tokens)) = self.blocked else {
            return;
        };
        let after = flight.admitted.tokens.saturating_add(tokens);
        let at_limit = match reason {
            Fit::Calls => flight.admitted.calls >= self.limit.calls,
            Fit::Tokens => after > self.limit.tokens,
            Fit::Hold | Fit::Yes => false,
        };
        let streams = self.latency == 0.0;
        let queueing = streams && flight.started.calls < flight.admitted.calls;
        if !at_limit || queueing || self.waiting > 0 {
            return;
        }
        self.evidence += steps;
        let next = self.raised(reason, tokens);
        let above = self.above_ceiling(next);
        let needed = if above {
            self.interval
        } else if self.cautious {
            CAUTIOUS_STEPS
        } else {
            GROW_STEPS
        };
        if self.evidence < needed {
            return;
        }
        self.evidence = 0.0;
        self.blocked = None;
        if self.curve.saturated(flight.started.calls) {
            self.back_off(flight, flight.started);
            return;
        }
        let before = self.limit;
        self.set_limit(next);
        if above {
            self.probe.calls += self.limit.calls - before.calls;
            self.probe.tokens += self.limit.tokens - before.tokens;
        }
    }

    /// Returns the limit one step of growth larger.
    fn raised(&self, reason: Fit, tokens: u64) -> Load {
        let small = self.cautious || self.ceiling().is_some();
        let mut limit = self.limit;
        if reason == Fit::Calls {
            let part = if small { 0 } else { limit.calls / GROW_PART };
            limit.calls = limit.calls.saturating_add(part.max(1));
        } else {
            let part = if small {
                0
            } else {
                limit.tokens / u64::from(GROW_PART)
            };
            limit.tokens = limit.tokens.saturating_add(part.max(tokens));
        }
        limit
    }

    fn above_ceiling(&self, limit: Load) -> bool {
        f64::from(limit.calls) > TRIGGER * self.current(self.ceiling_calls)
            || limit.tokens as f64 > TRIGGER * self.current(self.ceiling_tokens)
    }

    /// Drops a ceiling that the proven load has passed.
    fn passed_ceiling(&mut self) {
        let probed = self.probe != Load::default();
        let calls = probed && f64::from(self.proven.calls) > self.current(self.ceiling_calls);
        let tokens = probed && self.proven.tokens as f64 > self.current(self.ceiling_tokens);
        if calls {
            self.ceiling_calls = None;
        }
        if tokens {
            self.ceiling_tokens = None;
        }
        if calls || tokens {
            self.cautious = true;
            self.probe = Load::default();
            self.interval = (self.interval / 2.0).max(PROBE_STEPS);
        }
    }

    /// Remembers `held`, the load the upstream could hold, as the ceiling and
    /// backs off below it.
    fn back_off(&mut self, flight: &Flight, held: Load) {
        let near = |used: f64, limit: f64| used >= BLAME * limit;
        let calls = near(
            f64::from(flight.admitted.calls),
            f64::from(self.limit.calls),
        );
        let tokens = near(flight.admitted.tokens as f64, self.limit.tokens as f64);
        let neither = !calls && !tokens;
        let mut limit = self.limit;
        if calls || neither {
            self.ceiling_calls = Some(f64::from(held.calls.max(1)));
            limit.calls = limit.calls.min((MARGIN * f64::from(held.calls)) as u32);
        }
        if tokens || neither {
            self.ceiling_tokens = Some(held.tokens.max(1) as f64);
            limit.tokens = limit.tokens.min((MARGIN * held.tokens as f64) as u64);
        }
        self.lower(limit);
        self.probe = Load::default();
        self.interval = (self.interval * 2.0).min(PROBE_STEPS_MAX);
        self.trouble = self.steps;
        self.curve.rebase();
    }

    fn failed(&mut self, flight: &Flight) {
        self.failures += 1;
        if self.failures >= FAILURES {
            self.failures = 0;
            self.back_off(flight, flight.admitted);
        }
    }

    /// Records the latency of a call that did not stream.
    fn latency(&mut self, flight: &Flight, seconds: f64) {
        if self.latency == 0.0 {
            self.latency = seconds;
        }
        let ratio = seconds / self.latency.max(1e-6);
        self.latency_ratio += (ratio - self.latency_ratio) * FAST_WEIGHT;
        self.latency += (seconds - self.latency) * SLOW_WEIGHT;
        if self.latency_ratio > 2.0 * QUEUEING {
            self.reset(Cause::Slow);
        } else if self.latency_ratio > QUEUEING {
            self.latency_ratio = 1.0;
            self.back_off(flight, flight.admitted);
        }
    }
}

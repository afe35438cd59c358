//! What holds a call back although the limit allows it.
//!
//! The limit is an estimate. Signs that an engine is about to be full, or has
//! shrunk unseen, show in the calls that still wait for their first token; see
//! `docs/notes/limits.md`.

use std::time::Duration;

use sesamerock_base::time::Moment;

use super::{Flight, Learner, Load, Oldest};

/// Part of a ceiling from which one call in [`PENDING_PART`], or a single one,
/// may wait for its first token, so that a capacity that falls unseen is
/// exceeded by few calls.
const NEAR: f64 = 0.75;
const PENDING_PART: u32 = 128;
/// Silence, in expected steps plus a fixed slack, after which admission pauses.
const SILENT_STEPS: f64 = 2.0;
const SILENT_SLACK: Duration = Duration::from_millis(20);
/// Age at which a report of waiting calls no longer counts.
const REPORT_AGE: Duration = Duration::from_secs(2);
/// Steps after which a call without a first token no longer holds others back
/// where there is room for many.
const HUNG_STEPS: f64 = 32.0;
/// Time with the same meaning; five times the target for the first token.
const HUNG_TIME: Duration = Duration::from_secs(2);

impl Learner {
    /// Returns whether the engine has taken in all calls as fast as usual. Calls
    /// that wait for its next step do not count: where calls are short, there is
    /// always one.
    pub(super) fn on_time(&self, flight: &Flight) -> bool {
        flight
            .oldest
            .is_none_or(|o| !self.start.queued(self.steps - o.admitted, o.tokens))
    }

    /// Returns whether a call that the limit allows should wait for evidence.
    pub(super) fn holds(&self, now: Moment, flight: &Flight, after: Load) -> bool {
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
        // Beyond the proof, calls go one at a time. Without first tokens, a load
        // is proven when calls at it have ended.
        let probe = |o: Oldest| !self.proven().covers(o.load);
        let probes = flight.oldest.is_some_and(probe) || flight.second.is_some_and(probe);
        let beyond = !self.proven().covers(flight.admitted);
        let waits = probes || (beyond && (pending > 0 || self.latency.known()));
        // Steps are counted by the tokens of running calls, so that without any
        // a pause would never end.
        let paused = flight.admitted.calls > 0 && self.steps < self.resume;
        if self.down || (unproven && (waits || reported || paused)) {
            return true;
        }
        if self.steps == 0.0 {
            return false;
        }
        // Calls that take the place of ended ones are no additional load.
        let many = pending > flight.ended.max(after.calls / PENDING_PART);
        let late = flight.oldest.is_some_and(|oldest| self.late(&oldest));
        ((unproven || near) && late && !hung)
            || (near && (many || reported))
            || self.silent(now, flight)
    }

    /// Returns whether a load is close to what the upstream can hold, as far as
    /// that is known.
    pub(super) fn near(&self, load: Load) -> bool {
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
    pub(super) fn late(&self, oldest: &Oldest) -> bool {
        oldest.admitted >= self.trouble
            && self.start.late(self.steps - oldest.admitted, oldest.tokens)
    }
}

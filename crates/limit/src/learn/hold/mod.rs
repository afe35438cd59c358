//! Reasons to hold a call back although the limit permits it.
//!
//! The limit is an estimate. Signs that an engine is about to be full, or that
//! its capacity has silently fallen, show in the calls that still wait for
//! their first token; see `docs/notes/limits.md`.

use std::time::Duration;

use sesamerock_base::time::Moment;

use super::{InFlight, Learner, Load, PendingCall};

/// Fraction of a ceiling from which at most one call in [`CALLS_PER_PENDING`],
/// or a single call, may wait for its first token, so that a capacity that
/// falls without a sign is exceeded by few calls.
const NEAR_CEILING: f64 = 0.75;
/// Calls for each one that may wait for its first token close to a ceiling.
const CALLS_PER_PENDING: u32 = 128;
/// Expected steps without tokens after which, with [`OVERDUE_SLACK`] added,
/// admission pauses.
const OVERDUE_STEPS: f64 = 2.0;
/// Fixed part of the time without tokens after which admission pauses.
const OVERDUE_SLACK: Duration = Duration::from_millis(20);
/// Age at which a report of waiting calls no longer counts.
const REPORT_AGE: Duration = Duration::from_secs(2);
/// Steps after which a call without a first token is considered hung and no
/// longer holds others back, unless the load is near capacity.
const HUNG_STEPS: f64 = 32.0;
/// Time after which a call is considered hung if no steps can be counted; five
/// times the target for the first token.
const HUNG_AFTER: Duration = Duration::from_secs(2);

impl Learner {
    /// Returns whether the engine has started all calls within the usual delay.
    /// Calls that only wait for its next step do not count: where calls are
    /// short, there is always such a call.
    pub(super) fn starts_on_time(&self, in_flight: &InFlight) -> bool {
        in_flight.oldest_pending.is_none_or(|o| {
            !self
                .start_delay
                .queued(self.steps - o.steps_at_admission, o.tokens)
        })
    }

    /// Returns whether a call that the limit permits must wait for the next
    /// event.
    pub(super) fn must_hold(&self, now: Moment, in_flight: &InFlight, after: Load) -> bool {
        let near = self.near_capacity(after);
        let is_hung = |o: PendingCall| {
            // Without running calls there are no steps to count.
            let long = in_flight.started.calls == 0 && now.since(o.admitted_at) > HUNG_AFTER;
            long || self.steps - o.steps_at_admission > HUNG_STEPS
        };
        let hung = !near && in_flight.oldest_pending.is_some_and(is_hung);
        let pending = in_flight.admitted.calls - in_flight.started.calls - u32::from(hung);
        let waiting_reported = self.waiting_reports > 0 && now.since(self.last_report) < REPORT_AGE;
        let beyond_sustained = !self.sustained().covers(after);
        // Beyond the sustained load, calls are admitted one at a time. Without
        // first tokens, a load counts as sustained when calls at it have ended.
        let is_probe = |o: PendingCall| !self.sustained().covers(o.load);
        let probe_pending = in_flight.oldest_pending.is_some_and(is_probe)
            || in_flight.second_pending.is_some_and(is_probe);
        let already_beyond = !self.sustained().covers(in_flight.admitted);
        let probing =
            probe_pending || (already_beyond && (pending > 0 || self.latency.has_samples()));
        // Steps are counted by the tokens of running calls, so without running
        // calls a pause would never end.
        let paused = in_flight.admitted.calls > 0 && self.steps < self.no_probe_until_step;
        if self.down || (beyond_sustained && (probing || waiting_reported || paused)) {
            return true;
        }
        if self.steps == 0.0 {
            return false;
        }
        // Calls that replace ended ones are no additional load.
        let too_many_pending = pending > in_flight.ended.max(after.calls / CALLS_PER_PENDING);
        let late = in_flight
            .oldest_pending
            .is_some_and(|oldest| self.late(&oldest));
        ((beyond_sustained || near) && late && !hung)
            || (near && (too_many_pending || waiting_reported))
            || self.tokens_overdue(now, in_flight)
    }

    /// Returns whether a load is close to the known ceiling or limit.
    pub(super) fn near_capacity(&self, load: Load) -> bool {
        let drift = self.drift();
        let calls = self.calls.current_ceiling(drift).min(self.calls.limit);
        let tokens = self.tokens.current_ceiling(drift).min(self.tokens.limit);
        f64::from(load.calls) >= NEAR_CEILING * calls || load.tokens as f64 >= NEAR_CEILING * tokens
    }

    /// Returns whether the running calls have delivered no tokens for too long.
    fn tokens_overdue(&self, now: Moment, in_flight: &InFlight) -> bool {
        let batch = in_flight.started.calls;
        let Some(step) = self.curve.expected(batch) else {
            return false;
        };
        let allowed = Duration::from_secs_f64(step * OVERDUE_STEPS) + OVERDUE_SLACK;
        batch > 0 && now.since(self.last_token) > allowed
    }

    /// Returns whether a call has waited too long for its first token. A call
    /// admitted before the last detected congestion does not count again.
    pub(super) fn late(&self, pending: &PendingCall) -> bool {
        pending.steps_at_admission >= self.congestion_step
            && self
                .start_delay
                .late(self.steps - pending.steps_at_admission, pending.tokens)
    }
}

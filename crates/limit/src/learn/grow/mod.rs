//! How limits grow with use and back off from congestion.

use super::dimension::Attribution;
use super::{Fit, InFlight, Learner, Load};

/// Consecutive failed calls that count as congestion.
const CONGESTED_FAILURES: u32 = 3;

impl Learner {
    /// Counts steps at the limit that blocked the last call, and raises this
    /// limit or, if throughput no longer rises, backs off.
    pub(super) fn grow(&mut self, in_flight: &InFlight, steps: f64) {
        let Some((reason, tokens)) = self.blocked else {
            return;
        };
        let limit = self.limit();
        let drift = self.drift();
        let after = in_flight.admitted.with_call(tokens);
        let (dimension, unit, at_limit) = match reason {
            Fit::Calls => (&mut self.calls, 1.0, after.calls > limit.calls),
            _ => (&mut self.tokens, tokens as f64, after.tokens > limit.tokens),
        };
        if !at_limit || self.waiting_reports > 0 {
            return;
        }
        let Some(next) = dimension.next_limit(steps, unit, drift) else {
            return;
        };
        self.blocked = None;
        if !self.curve.saturated(in_flight.started.calls) {
            dimension.set(next);
            if reason == Fit::Calls {
                self.tokens.grow_along(in_flight.admitted.tokens as f64);
            } else {
                self.calls.grow_along(f64::from(in_flight.admitted.calls));
            }
            return;
        }
        let held = if reason == Fit::Calls {
            f64::from(in_flight.started.calls)
        } else {
            in_flight.started.tokens as f64
        };
        dimension.back_off(held * drift, Attribution::Sole);
        self.rebase_drift();
    }

    /// Backs off after the load `tried` exceeded the capacity and only `held`
    /// ran. The congestion is attributed to the dimension in which `tried`
    /// exceeds the sustained load, and to both if both do. If neither does,
    /// capacity has fallen below the sustained load, and the congestion is
    /// attributed to the dimension that is closer to its sustained value.
    ///
    /// Congestion beyond the sustained load does not invalidate that load.
    /// `held` counts only calls with a first token, and of short calls several
    /// wait for theirs at any time: without this rule, an engine that holds 16
    /// calls got a ceiling of 11.
    pub(super) fn back_off(&mut self, tried: Load, held: Load) {
        let calls = f64::from(tried.calls) / self.calls.sustained.max(1.0);
        let tokens = tried.tokens as f64 / self.tokens.sustained.max(1.0);
        self.rebase_drift();
        let attribution = if calls > 1.0 && tokens > 1.0 {
            Attribution::Shared
        } else {
            Attribution::Sole
        };
        if attribution == Attribution::Shared || calls >= tokens {
            let sustained = if calls > 1.0 {
                self.calls.sustained
            } else {
                0.0
            };
            self.calls
                .back_off(f64::from(held.calls).max(sustained), attribution);
        }
        if attribution == Attribution::Shared || tokens > calls {
            let sustained = if tokens > 1.0 {
                self.tokens.sustained
            } else {
                0.0
            };
            self.tokens
                .back_off((held.tokens as f64).max(sustained), attribution);
        }
    }

    /// Measures drift relative to the present step time from now on.
    fn rebase_drift(&mut self) {
        let drift = self.drift();
        self.calls.rebase_ceiling(drift);
        self.tokens.rebase_ceiling(drift);
        self.congestion_step = self.steps;
        self.curve.rebase();
    }

    pub(super) fn record_failure(&mut self, in_flight: &InFlight) {
        self.failures += 1;
        if self.failures >= CONGESTED_FAILURES {
            self.failures = 0;
            self.back_off(in_flight.admitted, in_flight.admitted);
        }
    }
}

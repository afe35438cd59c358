//! How limits grow on evidence and back off from trouble.

use super::dimension::Attribution;
use super::{Fit, InFlight, Learner, Load};

/// Failed calls in a row that count as trouble.
const FAILURES: u32 = 3;

impl Learner {
    /// Adds evidence and grows the limit that holds callers back.
    pub(super) fn grow(&mut self, in_flight: &InFlight, steps: f64) {
        let Some((reason, tokens)) = self.blocked else {
            return;
        };
        let limit = self.limit();
        let drift = self.drift();
        let after = in_flight.admitted.with(tokens);
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
        self.rebase();
    }

    /// Backs off after `tried` turned out too much and only `held` ran. The
    /// quantity beyond its proof is blamed, and both if both are. If neither is,
    /// capacity has shrunk below the proof, and the one closer to it is blamed.
    ///
    /// Trouble beyond the proof does not refute the proof. `held` counts calls
    /// with a first token only, and of short calls several wait for theirs at any
    /// time: an engine that holds 16 calls got a ceiling of 11.
    pub(super) fn back_off(&mut self, tried: Load, held: Load) {
        let calls = f64::from(tried.calls) / self.calls.sustained.max(1.0);
        let tokens = tried.tokens as f64 / self.tokens.sustained.max(1.0);
        self.rebase();
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

    /// Measures drift from here on.
    fn rebase(&mut self) {
        let drift = self.drift();
        self.calls.rebase(drift);
        self.tokens.rebase(drift);
        self.congestion_step = self.steps;
        self.curve.rebase();
    }

    pub(super) fn failed(&mut self, in_flight: &InFlight) {
        self.failures += 1;
        if self.failures >= FAILURES {
            self.failures = 0;
            self.back_off(in_flight.admitted, in_flight.admitted);
        }
    }
}

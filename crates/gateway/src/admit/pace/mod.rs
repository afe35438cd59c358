//! How many requests the engines of a service may run, so that no stream pauses
//! longer than it may.
//!
//! Engines that step together give each stream one event a pass, so the time between
//! events is the time of a pass. It grows with the requests that run, and, beyond what
//! the engine's figures say, when few ranks hold the experts in demand. That factor
//! is learnt from the events that pass through this entry.

use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::table::Engine;

/// Weight of one event in the factor. An entry sees some ten events a pass, so that
/// one pass decides.
const EWMA_WEIGHT: f64 = 0.1;
/// Part of the longest pause that is aimed at. The rest is for prompts that are read
/// between the steps.
const TARGET_SHARE: f64 = 0.8;
/// Time after which the factor is that of an idle engine again.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Least requests of an engine, so that something is always learnt.
const MIN_REQUESTS: f64 = 2.0;

/// What the events of a service have shown.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Time of a pass over what the figures say.
    slowdown: f64,
    updated: Moment,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            updated: Moment::default(),
        }
    }
}

impl Pace {
    /// Takes in the time between two events, while the engines ran `load` requests
    /// each.
    pub fn observe(&mut self, engine: &Engine, gap: Duration, load: f64, now: Moment) {
        let expected_ms = pass_ms(engine, load.max(1.0));
        if expected_ms <= 0.0 {
            return;
        }
        let slowdown = gap.as_secs_f64() * 1e3 / expected_ms;
        if now.since(self.updated) > MAX_AGE {
            self.slowdown = slowdown;
        }
        self.slowdown += EWMA_WEIGHT * (slowdown - self.slowdown);
        self.updated = now;
    }

    /// Returns how many requests an engine may run on average, so that streams pause no
    /// longer than `pause`.
    pub fn limit(&self, engine: &Engine, pause: Duration, now: Moment) -> f64 {
        let slots = f64::from(engine.slots);
        if engine.request_ms <= 0.0 || now.since(self.updated) > MAX_AGE {
            return slots;
        }
        let target_ms = pause.as_secs_f64() * 1e3 * TARGET_SHARE;
        let step_ms = target_ms / (f64::from(engine.stride) * self.slowdown.max(f64::MIN_POSITIVE));
        ((step_ms - engine.step_ms) / engine.request_ms).clamp(MIN_REQUESTS, slots)
    }

    /// Returns the factor.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }
}

/// Returns the time of a pass that the figures state.
fn pass_ms(engine: &Engine, load: f64) -> f64 {
    f64::from(engine.stride) * (engine.step_ms + engine.request_ms * load)
}

//! Limits the requests that the engines of a service run, so that no stream exceeds
//! its longest pause between events.
//!
//! Engines in lockstep send each stream one event per forward pass, so the time between
//! events is the duration of a pass. It grows with the number of running requests. It
//! also exceeds the duration computed from the configured step times when the experts
//! in demand are on few ranks; this slowdown is estimated from the events that this
//! gateway forwards.

use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::table::EngineSpec;

/// Weight of one event in the slowdown. A gateway forwards about ten events per pass,
/// so the average covers about one pass.
const EWMA_WEIGHT: f64 = 0.1;
/// Share of the longest pause that is used. The rest is left for prompts that are
/// processed between the steps.
const TARGET_SHARE: f64 = 0.8;
/// Time without events after which the slowdown is no longer used: the engines are idle.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Weight of a slowdown that another gateway observed.
const PEER_WEIGHT: f64 = 0.3;
/// Time without own events after which the observations of other gateways are used.
const OWN_EVENTS_EXPIRY: Duration = Duration::from_millis(400);

/// Estimated slowdown of the forward passes of a group.
#[derive(Clone, Copy, Debug)]
pub struct PassSlowdown {
    /// Measured duration of a pass, divided by the duration computed from the
    /// configured step and request times.
    slowdown: f64,
    /// When it was last changed, by an event or by another gateway.
    updated: Moment,
    /// When this gateway last forwarded an event.
    observed: Moment,
}

impl Default for PassSlowdown {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            updated: Moment::default(),
            observed: Moment::default(),
        }
    }
}

impl PassSlowdown {
    /// Records the time between two events of a stream, while each engine ran `load`
    /// requests on average.
    pub fn observe(&mut self, engine: &EngineSpec, gap: Duration, load: f64, now: Moment) {
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
        self.observed = now;
    }

    /// Uses the slowdown that another gateway observed, unless this one has events itself.
    pub fn learn(&mut self, slowdown: f64, now: Moment) {
        if now.since(self.observed) <= OWN_EVENTS_EXPIRY {
            return;
        }
        if now.since(self.updated) > MAX_AGE {
            self.slowdown = slowdown;
        }
        self.slowdown += PEER_WEIGHT * (slowdown - self.slowdown);
        self.updated = now;
    }

    /// Returns the slowdown if this gateway has forwarded an event within the last `age`.
    pub fn observed_within(&self, age: Duration, now: Moment) -> Option<f64> {
        (now.since(self.observed) <= age).then_some(self.slowdown)
    }

    /// Returns how many requests each engine may run on average with streams that pause
    /// no longer than `pause`; at least `lowest`, so that there are events to measure.
    pub fn limit(&self, engine: &EngineSpec, pause: Duration, lowest: f64, now: Moment) -> f64 {
        let slots = f64::from(engine.slots);
        if engine.request_ms <= 0.0 || now.since(self.updated) > MAX_AGE {
            return slots;
        }
        let target_ms = pause.as_secs_f64() * 1e3 * TARGET_SHARE;
        let step_ms = target_ms / (f64::from(engine.stride) * self.slowdown.max(f64::MIN_POSITIVE));
        ((step_ms - engine.step_ms) / engine.request_ms).clamp(lowest.min(slots), slots)
    }

    /// Returns the measured duration of a pass divided by the expected one; 1 before the
    /// first event.
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }
}

/// Returns the duration of a pass with `load` requests in ms, computed from the
/// configured step and request times.
fn pass_ms(engine: &EngineSpec, load: f64) -> f64 {
    f64::from(engine.stride) * (engine.step_ms + engine.request_ms * load)
}

//! Tracks the recent slowness of an upstream: its observed time to first token
//! relative to the expected one.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// Weight of a new observation in the moving average.
const OBSERVATION_WEIGHT: f64 = 0.2;

/// Bounds of one observation, so that a single outlier cannot exclude an upstream
/// and a single cached answer cannot attract all requests.
const RATIO_BOUNDS: (f64, f64) = (0.25, 16.0);

/// Moving average of the ratio of observed to expected time. Without observations
/// it decays to 1, so that an upstream that was slow is tried again.
#[derive(Clone, Copy, Debug)]
pub struct Slowness {
    ratio: f64,
    at: Moment,
}

impl Default for Slowness {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            at: Moment::default(),
        }
    }
}

impl Slowness {
    /// Returns the ratio at a moment; `half_life` is the time in which half of its
    /// distance from 1 decays.
    pub fn ratio(&self, now: Moment, half_life: Duration) -> f64 {
        let age = now.since(self.at).as_secs_f64() / half_life.as_secs_f64().max(f64::EPSILON);
        1.0 + (self.ratio - 1.0) * (-age).exp2()
    }

    /// Adds an observed time to first token and the expected one.
    pub fn add(&mut self, seen: Duration, expected: Duration, now: Moment, half_life: Duration) {
        let ratio = seen.as_secs_f64() / expected.as_secs_f64().max(1e-6);
        self.add_ratio(ratio, now, half_life);
    }

    /// Adds a call that failed in the upstream or on the way to it, as the slowest
    /// possible observation.
    pub fn failed(&mut self, now: Moment, half_life: Duration) {
        self.add_ratio(RATIO_BOUNDS.1, now, half_life);
    }

    fn add_ratio(&mut self, ratio: f64, now: Moment, half_life: Duration) {
        let bounded = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        self.ratio =
            self.ratio(now, half_life) * (1.0 - OBSERVATION_WEIGHT) + bounded * OBSERVATION_WEIGHT;
        self.at = now;
    }
}

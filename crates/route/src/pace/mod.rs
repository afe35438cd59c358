//! Recent slowness of an upstream: the time to first token it showed, relative
//! to what was expected of it.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// Weight of one new observation.
const WEIGHT: f64 = 0.2;

/// Bounds of one observation, so that a single outlier cannot exclude an
/// upstream and a single cached answer cannot draw all requests.
const BOUNDS: (f64, f64) = (0.25, 16.0);

/// Moving ratio of observed to expected time, which returns to 1 without
/// observations, so that an upstream that was slow once is tried again.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    ratio: f64,
    at: Moment,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            at: Moment::default(),
        }
    }
}

impl Pace {
    /// Returns the ratio at a moment.
    pub fn ratio(&self, now: Moment, half_life: Duration) -> f64 {
        let age = now.since(self.at).as_secs_f64() / half_life.as_secs_f64().max(f64::EPSILON);
        1.0 + (self.ratio - 1.0) * (-age).exp2()
    }

    /// Takes in a time to first token.
    pub fn observe(
        &mut self,
        seen: Duration,
        expected: Duration,
        now: Moment,
        half_life: Duration,
    ) {
        let ratio = seen.as_secs_f64() / expected.as_secs_f64().max(1e-6);
        self.add(ratio, now, half_life);
    }

    /// Takes in a call that failed in the upstream or on the way to it.
    pub fn failed(&mut self, now: Moment, half_life: Duration) {
        self.add(BOUNDS.1, now, half_life);
    }

    fn add(&mut self, ratio: f64, now: Moment, half_life: Duration) {
        let bounded = ratio.clamp(BOUNDS.0, BOUNDS.1);
        self.ratio = self.ratio(now, half_life) * (1.0 - WEIGHT) + bounded * WEIGHT;
        self.at = now;
    }
}

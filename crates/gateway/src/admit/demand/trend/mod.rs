//! Demand without the noise of small counts.

use std::collections::BTreeMap;

use super::Key;

/// Part of a new count in the average: that of a step in three seconds.
const PART: f64 = 1.0 / 30.0;
/// Standard deviations, and calls beyond them, by which a count differs from the average if the
/// demand has changed. Smaller differences are noise: a small workspace sends two calls in one
/// second and none in the next, and would lend and reclaim capacity all the time.
const DEVIATIONS: f64 = 2.0;
const EXTRA_CALLS: f64 = 2.0;
/// Demand, in calls a second, that counts as none.
const LEAST: f64 = 0.02;

/// Average of the calls within the last second, which follows a change at once.
#[derive(Debug, Default)]
pub struct Trend {
    means: BTreeMap<Key, f64>,
}

impl Trend {
    /// Adds the counts of a step, and returns the demand by workspace and priority.
    pub fn update(&mut self, counts: &BTreeMap<Key, f64>) -> &BTreeMap<Key, f64> {
        for key in counts.keys() {
            self.means.entry(*key).or_default();
        }
        for (key, mean) in &mut self.means {
            let count = counts.get(key).copied().unwrap_or_default();
            let noise = DEVIATIONS * mean.sqrt() + EXTRA_CALLS;
            if (count - *mean).abs() > noise {
                *mean = count;
            } else {
                *mean += PART * (count - *mean);
            }
        }
        self.means.retain(|_, mean| *mean >= LEAST);
        &self.means
    }
}

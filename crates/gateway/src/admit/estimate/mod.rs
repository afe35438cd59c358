//! A moving average with its mean deviation, as TCP computes its retransmission timeout
//! (RFC 6298).

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;

/// Weight of one sample in the average.
const MEAN_WEIGHT: f64 = 0.1;
/// Weight of one sample in the deviation. Smaller, as the deviation covers rare peaks.
const DEVIATION_WEIGHT: f64 = 0.03;
/// Time without samples after which an estimate is no longer used.
const MAX_AGE: Duration = Duration::from_secs(2);

/// Average of a quantity and mean deviation from it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Value {
    /// Moving average.
    pub mean: f64,
    /// Moving average of the distance of samples from [`Value::mean`].
    pub deviation: f64,
}

impl Value {
    /// Returns a value that few samples exceed: the mean and some deviations.
    pub fn upper(self, deviations: f64) -> f64 {
        self.mean + deviations * self.deviation
    }

    fn approach(&mut self, other: Self, mean_weight: f64, deviation_weight: f64) {
        self.mean += mean_weight * (other.mean - self.mean);
        self.deviation += deviation_weight * (other.deviation - self.deviation);
    }
}

/// A [`Value`] that expires without samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    value: Value,
    updated: Option<Moment>,
    /// When the last own sample was added.
    sampled: Option<Moment>,
}

impl Estimate {
    /// Adds a sample.
    pub fn sample(&mut self, sample: f64, now: Moment) {
        if self.current(now).is_none() {
            self.value = Value {
                mean: sample,
                deviation: 0.0,
            };
        }
        let deviation = (sample - self.value.mean).abs();
        let sample = Value {
            mean: sample,
            deviation,
        };
        self.value.approach(sample, MEAN_WEIGHT, DEVIATION_WEIGHT);
        self.updated = Some(now);
        self.sampled = Some(now);
    }

    /// Moves towards the estimate of another observer.
    pub fn learn(&mut self, other: Value, weight: f64, now: Moment) {
        if self.current(now).is_none() {
            self.value = other;
        }
        self.value.approach(other, weight, weight);
        self.updated = Some(now);
    }

    /// Returns the estimate; `None` without recent samples.
    pub fn current(&self, now: Moment) -> Option<Value> {
        let updated = self.updated?;
        (now.since(updated) <= MAX_AGE).then_some(self.value)
    }

    /// Returns the estimate if an own sample was added within the last `age`.
    pub fn sampled_within(&self, age: Duration, now: Moment) -> Option<Value> {
        let sampled = self.sampled?;
        (now.since(sampled) <= age).then_some(self.value)
    }
}

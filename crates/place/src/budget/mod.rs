//! Rate limit for the bytes that one group requests from a source of weights.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// Time over which unused bytes may accumulate.
const BURST: Duration = Duration::from_secs(10);
/// Lower limit of the fraction to which refusals reduce the rate.
const MIN_FACTOR: f64 = 1.0 / 64.0;
/// Fraction of the fair share that the rate regains per second.
const REGAIN_PER_S: f64 = 0.02;

/// A token bucket that halves its rate when the store answers 429.
///
/// Each group reduces and regains its rate independently, so the limit of the
/// store needs no coordinator.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: f64,
    reserve: f64,
    factor: f64,
    bytes: f64,
    at: Moment,
}

impl Budget {
    /// Makes an empty budget from the group's fair share, in bytes per second.
    ///
    /// Up to `reserve` bytes may always accumulate, so that a small share still
    /// allows the largest indivisible request after some time.
    pub fn new(rate: u64, reserve: u64, now: Moment) -> Self {
        Self {
            rate: rate as f64,
            reserve: reserve as f64,
            factor: 1.0,
            bytes: 0.0,
            at: now,
        }
    }

    /// Returns the bytes that may be requested now.
    pub fn available(&mut self, now: Moment) -> u64 {
        let span = now.since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let cap = self.rate * self.factor * BURST.as_secs_f64();
        let cap = cap.max(self.reserve);
        self.bytes = (self.bytes + span * self.rate * self.factor).min(cap);
        self.factor = (self.factor + span * REGAIN_PER_S).min(1.0);
        self.bytes as u64
    }

    /// Changes the fair share, in bytes per second; accumulated bytes are kept.
    pub fn set_rate(&mut self, now: Moment, rate: u64) {
        self.available(now);
        self.rate = rate as f64;
    }

    /// Spends requested bytes; the balance may become negative.
    pub fn take(&mut self, bytes: u64) {
        self.bytes -= bytes as f64;
    }

    /// Halves the rate after a 429 and discards the accumulated bytes.
    pub fn refused(&mut self, now: Moment) {
        self.available(now);
        self.factor = (self.factor / 2.0).max(MIN_FACTOR);
        self.bytes = self.bytes.min(0.0);
    }
}

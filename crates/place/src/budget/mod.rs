//! The share of the weight store's rate that one group may use.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// Span over which unused bytes may be saved up.
const BURST: Duration = Duration::from_secs(10);
/// Smallest part of the share that refusals reduce it to.
const MIN_FACTOR: f64 = 1.0 / 64.0;
/// Part of the share that is regained per second without a refusal.
const REGAIN_PER_S: f64 = 0.02;

/// A token bucket that halves its rate when the store answers 429.
///
/// Every group halves and regains by itself, so that the store's limit needs
/// no coordinator.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: f64,
    reserve: f64,
    factor: f64,
    bytes: f64,
    at: Moment,
}

impl Budget {
    /// Makes a budget from the group's fair share in bytes per second.
    ///
    /// `reserve` bytes may be saved up in any case, so that a small share
    /// still allows the largest indivisible request after some time.
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

    /// Changes the fair share; what was saved up stays.
    pub fn set_rate(&mut self, now: Moment, rate: u64) {
        self.available(now);
        self.rate = rate as f64;
    }

    /// Takes bytes that are requested.
    pub fn take(&mut self, bytes: u64) {
        self.bytes -= bytes as f64;
    }

    /// Halves the rate after a 429 and gives up what was saved.
    pub fn refused(&mut self, now: Moment) {
        self.available(now);
        self.factor = (self.factor / 2.0).max(MIN_FACTOR);
        self.bytes = self.bytes.min(0.0);
    }
}

//! Latency of an upstream that does not stream, such as a plain service.

/// Weight of a new observation in the typical latency.
const TYPICAL_WEIGHT: f64 = 1.0 / 64.0;
/// Weight of a new observation in the recent ratio.
const RATIO_WEIGHT: f64 = 1.0 / 4.0;
/// Ratio of recent to typical latency that counts as queueing.
const QUEUEING_RATIO: f64 = 2.0;
/// Ratio of recent to typical latency that counts as a cold start.
const SLOWDOWN_RATIO: f64 = 4.0;
/// Latency, in seconds, below which a multiple is not significant: lookups take
/// less time than the scheduling delays of a busy host.
const SLACK_S: f64 = 0.02;

/// What a latency indicates about the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Signal {
    Healthy,
    Queueing,
    Slow,
}

/// The typical latency in seconds and the ratio of recent latency to it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Latency {
    typical_s: f64,
    recent_ratio: f64,
}

impl Default for Latency {
    fn default() -> Self {
        Self {
            typical_s: 0.0,
            recent_ratio: 1.0,
        }
    }
}

impl Latency {
    /// Returns whether any call that did not stream has ended.
    pub fn has_samples(&self) -> bool {
        self.typical_s > 0.0
    }

    /// Records the latency of a call, in seconds, and returns what the recent
    /// ones indicate.
    pub fn record(&mut self, seconds: f64) -> Signal {
        let seconds = seconds.max(1e-6);
        if !self.has_samples() {
            self.typical_s = seconds;
        }
        self.recent_ratio +=
            ((seconds + SLACK_S) / (self.typical_s + SLACK_S) - self.recent_ratio) * RATIO_WEIGHT;
        self.typical_s += (seconds - self.typical_s) * TYPICAL_WEIGHT;
        if self.recent_ratio > SLOWDOWN_RATIO {
            return Signal::Slow;
        }
        if self.recent_ratio > QUEUEING_RATIO {
            // Each queueing episode is reported once; the next signal needs new
            // samples.
            self.recent_ratio = 1.0;
            return Signal::Queueing;
        }
        Signal::Healthy
    }
}

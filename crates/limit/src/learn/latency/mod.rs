//! Latency of an upstream that does not stream, such as a plain service.

/// Weights of a new observation in the usual latency and the recent ratio.
const USUAL_WEIGHT: f64 = 1.0 / 64.0;
const RATIO_WEIGHT: f64 = 1.0 / 4.0;
/// Recent latency over the usual one that counts as queueing, and as a turn to
/// cold.
const QUEUEING_RATIO: f64 = 2.0;
const SLOWDOWN_RATIO: f64 = 4.0;
/// Latency in seconds of which a multiple says nothing: look-ups take less
/// than the delays of a busy host.
const SLACK_S: f64 = 0.02;

/// What a latency says about the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LatencySignal {
    Healthy,
    Queueing,
    Slow,
}

/// The usual latency in seconds and the recent ratio to it.
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
    /// Returns whether any call ended that did not stream.
    pub fn has_samples(&self) -> bool {
        self.typical_s > 0.0
    }

    /// Records the latency of a call.
    pub fn record(&mut self, seconds: f64) -> LatencySignal {
        let seconds = seconds.max(1e-6);
        if !self.has_samples() {
            self.typical_s = seconds;
        }
        self.recent_ratio +=
            ((seconds + SLACK_S) / (self.typical_s + SLACK_S) - self.recent_ratio) * RATIO_WEIGHT;
        self.typical_s += (seconds - self.typical_s) * USUAL_WEIGHT;
        if self.recent_ratio > SLOWDOWN_RATIO {
            return LatencySignal::Slow;
        }
        if self.recent_ratio > QUEUEING_RATIO {
            // One queue is one trouble; the next needs new evidence.
            self.recent_ratio = 1.0;
            return LatencySignal::Queueing;
        }
        LatencySignal::Healthy
    }
}

//! Latency of an upstream that does not stream, such as a plain service.

/// Weights of a new observation in the usual latency and the recent ratio.
const USUAL_WEIGHT: f64 = 1.0 / 64.0;
const RATIO_WEIGHT: f64 = 1.0 / 4.0;
/// Recent latency over the usual one that counts as queueing, and as a turn to
/// cold.
const QUEUEING: f64 = 2.0;
const SLOW: f64 = 4.0;
/// Latency in seconds of which a multiple says nothing: look-ups take less
/// than the delays of a busy host.
const SLACK: f64 = 0.02;

/// What a latency says about the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sign {
    Healthy,
    Queueing,
    Slow,
}

/// The usual latency in seconds and the recent ratio to it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Latency {
    usual: f64,
    ratio: f64,
}

impl Default for Latency {
    fn default() -> Self {
        Self {
            usual: 0.0,
            ratio: 1.0,
        }
    }
}

impl Latency {
    /// Returns whether any call ended that did not stream.
    pub fn known(&self) -> bool {
        self.usual > 0.0
    }

    /// Records the latency of a call.
    pub fn record(&mut self, seconds: f64) -> Sign {
        let seconds = seconds.max(1e-6);
        if !self.known() {
            self.usual = seconds;
        }
        self.ratio += ((seconds + SLACK) / (self.usual + SLACK) - self.ratio) * RATIO_WEIGHT;
        self.usual += (seconds - self.usual) * USUAL_WEIGHT;
        if self.ratio > SLOW {
            return Sign::Slow;
        }
        if self.ratio > QUEUEING {
            // One queue is one trouble; the next needs new evidence.
            self.ratio = 1.0;
            return Sign::Queueing;
        }
        Sign::Healthy
    }
}

//! Delay of the first token of a call, in steps. The delay shows whether the
//! engine took the call into its batch at once or queued it.

/// Steps beyond the typical ones after which a call is considered queued.
const QUEUED_STEPS: f64 = 0.6;
/// Multiple of the typical deviation after which a call is considered queued.
const QUEUED_DEVIATIONS: f64 = 2.0;
/// Steps beyond the typical ones after which a call is considered late.
const LATE_STEPS: f64 = 1.5;
/// Multiple of the typical deviation after which a call is considered late.
const LATE_DEVIATIONS: f64 = 4.0;
/// Typical steps before any are known: the rest of the running step and the
/// call's own first step.
const TYPICAL_STEPS: f64 = 2.0;
/// Weight of a larger observation in the typical steps; larger than
/// [`TYPICAL_DOWN`], which keeps the typical steps near their maximum.
const TYPICAL_UP: f64 = 1.0 / 8.0;
/// Weight of a smaller observation in the typical steps.
const TYPICAL_DOWN: f64 = 1.0 / 128.0;
/// Weight of a new observation in the other means.
const WEIGHT: f64 = 1.0 / 64.0;

/// Typical delay of a first token, for calls of typical size.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartDelay {
    typical_steps: f64,
    /// Mean excess over `typical_steps`.
    deviation_steps: f64,
    /// Mean tokens of a call.
    typical_tokens: f64,
}

impl Default for StartDelay {
    fn default() -> Self {
        Self {
            typical_steps: TYPICAL_STEPS,
            deviation_steps: 0.0,
            typical_tokens: 0.0,
        }
    }
}

impl StartDelay {
    /// Records that a call got its first token after `waited` steps. `alone`
    /// says that no other call was running, so that steps could not be counted.
    pub fn record(&mut self, waited: f64, tokens: u64, alone: bool) {
        let weight = if self.typical_tokens == 0.0 {
            1.0
        } else {
            WEIGHT
        };
        self.typical_tokens += (tokens as f64 - self.typical_tokens) * weight;
        if alone || self.late(waited, tokens) {
            return;
        }
        let excess = waited / self.relative_size(tokens) - self.typical_steps;
        let weight = if excess > 0.0 {
            TYPICAL_UP
        } else {
            TYPICAL_DOWN
        };
        self.typical_steps += excess * weight;
        self.deviation_steps += (excess.max(0.0) - self.deviation_steps) * WEIGHT;
    }

    /// Returns whether a call that waited `waited` steps was queued by the
    /// engine.
    pub fn queued(&self, waited: f64, tokens: u64) -> bool {
        let threshold =
            self.typical_steps + QUEUED_STEPS + QUEUED_DEVIATIONS * self.deviation_steps;
        waited > threshold * self.relative_size(tokens)
    }

    /// Returns whether a call that is still without a first token is late.
    pub fn late(&self, waited: f64, tokens: u64) -> bool {
        let threshold = self.typical_steps + LATE_STEPS + LATE_DEVIATIONS * self.deviation_steps;
        waited > threshold * self.relative_size(tokens)
    }

    /// Returns the ratio of the call's tokens to the typical number, at least
    /// 1; a long prompt takes more steps to its first token.
    fn relative_size(&self, tokens: u64) -> f64 {
        (tokens as f64 / self.typical_tokens.max(1.0)).max(1.0)
    }
}

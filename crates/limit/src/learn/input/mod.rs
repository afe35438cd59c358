//! Settings and inputs of the learner.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// Work in flight: calls, and the tokens they will hold together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of calls.
    pub calls: u32,
    /// Tokens of these calls, as estimated at their offer.
    pub tokens: u64,
}

impl Load {
    /// Returns whether this load is at least the other in both quantities.
    pub fn covers(self, other: Self) -> bool {
        self.calls >= other.calls && self.tokens >= other.tokens
    }

    /// Returns this load and one call more.
    pub(crate) fn with(self, tokens: u64) -> Self {
        Self {
            calls: self.calls + 1,
            tokens: self.tokens.saturating_add(tokens),
        }
    }

    /// Returns the sum of two loads.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            calls: self.calls + other.calls,
            tokens: self.tokens.saturating_add(other.tokens),
        }
    }

    pub(crate) fn add(&mut self, tokens: u64) {
        self.calls += 1;
        self.tokens += tokens;
    }

    pub(crate) fn take(&mut self, tokens: u64) {
        self.calls -= 1;
        self.tokens -= tokens;
    }
}

/// Safety bounds, the only part of the limit that is configured by hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Load that the operator vouches for; the limit never falls below it.
    pub min: Load,
    /// Load that the limit never exceeds.
    pub max: Load,
}

/// Settings of a learner.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Limit after any start or reset; small enough for a cold engine.
    pub initial: Load,
    /// Safety bounds.
    pub bounds: Bounds,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            initial: Load {
                calls: 2,
                tokens: 4096,
            },
            bounds: Bounds {
                min: Load {
                    calls: 1,
                    tokens: 0,
                },
                max: Load {
                    calls: 4096,
                    tokens: 1 << 26,
                },
            },
        }
    }
}

/// Why a limit returns to its first value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The upstream or the agent started, or the upstream showed life again.
    Start,
    /// A call saw the upstream crash; no work until a report or [`Cause::Start`].
    Crash,
    /// A report came from another incarnation.
    Incarnation,
    /// Step time or latency multiplied without a change of load.
    Slow,
}

/// Whether a call fits now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// The call may be admitted.
    Yes,
    /// The limit of calls is reached.
    Calls,
    /// The limit of tokens is reached.
    Tokens,
    /// The limit allows it, but a signal asks to wait for the next event.
    Hold,
}

/// A call without a first token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingCall {
    /// Its admission.
    pub admitted_at: Moment,
    /// [`super::Learner::steps`] at its admission.
    pub steps_at_admission: f64,
    /// Its tokens.
    pub tokens: u64,
    /// Load at its admission, including itself.
    pub load: Load,
}

/// What the gate has sent to the upstream and not seen the end of.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InFlight {
    /// All calls admitted.
    pub admitted: Load,
    /// Those that have delivered a first token.
    pub started: Load,
    /// The oldest that has not.
    pub oldest_pending: Option<PendingCall>,
    /// The second oldest that has not.
    pub second_pending: Option<PendingCall>,
    /// Calls that ended within the last half of a step.
    pub ended: u32,
}

/// What came of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream completed the call, whatever the answer says.
    Done,
    /// The upstream failed the call by a fault of its own.
    Failed,
    /// The upstream died under the call or refused the connection.
    Crashed,
    /// The caller ended the call.
    Cancelled,
}

/// The first token of a call.
#[derive(Clone, Copy, Debug)]
pub struct FirstToken {
    /// Steps since its admission.
    pub waited: f64,
    /// Tokens of the call.
    pub tokens: u64,
    /// Load at its admission, including itself.
    pub load: Load,
    /// Calls whose last token came in the same step as this first one.
    pub ended: Load,
}

/// The end of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallEnd {
    /// What came of it.
    pub outcome: Outcome,
    /// Load at its admission, including itself.
    pub load: Load,
    /// Time since its admission.
    pub duration: Duration,
    /// Whether a first token was recorded.
    pub streamed: bool,
}

/// A report of the engine, late by an unknown lag.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Changes whenever the engine starts.
    pub incarnation: u64,
    /// Calls in the batch.
    pub running: u32,
    /// Calls the engine holds but cannot run yet.
    pub waiting: u32,
    /// Time of a step; zero if unknown.
    pub step: Duration,
    /// Time that the engine itself needed of a step, before it waited for the
    /// other ranks of its group; zero if unknown or not in a group.
    pub own_step: Duration,
}

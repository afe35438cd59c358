//! Settings and inputs of the learner.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// An amount of work: calls, and the tokens they will hold together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of calls.
    pub calls: u32,
    /// Tokens of these calls, as estimated when they were offered.
    pub tokens: u64,
}

impl Load {
    /// Returns whether this load is at least as large as the other in both
    /// dimensions.
    pub fn covers(self, other: Self) -> bool {
        self.calls >= other.calls && self.tokens >= other.tokens
    }

    /// Returns this load plus one call of `tokens` tokens.
    pub(crate) fn with_call(self, tokens: u64) -> Self {
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

    pub(crate) fn add_call(&mut self, tokens: u64) {
        self.calls += 1;
        self.tokens += tokens;
    }

    pub(crate) fn remove_call(&mut self, tokens: u64) {
        self.calls -= 1;
        self.tokens -= tokens;
    }
}

/// Safety bounds, the only manually configured part of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Load that the operator guarantees the upstream can run; the limit never
    /// falls below it.
    pub min: Load,
    /// Load that the limit never exceeds.
    pub max: Load,
}

/// Settings of a learner.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Limit after a start or reset; small enough for an engine in its cold
    /// start.
    pub initial: Load,
    /// Safety bounds of the limit.
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

/// Why a limit is reset to its initial value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The upstream or the agent started, or the upstream recovered.
    Start,
    /// A call observed a crash of the upstream; nothing is admitted until a
    /// report or [`Cause::Start`].
    Crash,
    /// A report came from another incarnation of the engine.
    Incarnation,
    /// Step time or latency rose by a multiple without a change of load.
    Slow,
}

/// Whether a call fits within the limit now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// The call may be admitted.
    Yes,
    /// The limit of calls is reached.
    Calls,
    /// The limit of tokens is reached.
    Tokens,
    /// The limit permits the call, but congestion signals require waiting for
    /// the next event.
    Hold,
}

/// An admitted call that has not delivered a first token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingCall {
    /// When the call was admitted.
    pub admitted_at: Moment,
    /// [`super::Learner::steps`] when the call was admitted.
    pub steps_at_admission: f64,
    /// Tokens the call will hold, prompt and completion together.
    pub tokens: u64,
    /// Load at admission, including this call.
    pub load: Load,
}

/// Calls that the gate has admitted and that have not ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InFlight {
    /// Load of all admitted calls.
    pub admitted: Load,
    /// Load of the calls that have delivered a first token.
    pub started: Load,
    /// The oldest call without a first token.
    pub oldest_pending: Option<PendingCall>,
    /// The second oldest call without a first token.
    pub second_pending: Option<PendingCall>,
    /// Number of calls that ended within the last half of a step.
    pub ended: u32,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream completed the call, whatever the status of the response.
    Done,
    /// The upstream failed the call through a fault of its own.
    Failed,
    /// The upstream crashed during the call or refused the connection.
    Crashed,
    /// The caller cancelled the call.
    Cancelled,
}

/// The first token of a call.
#[derive(Clone, Copy, Debug)]
pub struct FirstToken {
    /// Steps from admission to the first token.
    pub waited: f64,
    /// Tokens the call will hold, prompt and completion together.
    pub tokens: u64,
    /// Load at admission, including this call.
    pub load: Load,
    /// Load of the calls whose last token came in the same step as this first
    /// one.
    pub ended: Load,
}

/// The end of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallEnd {
    /// How the call ended.
    pub outcome: Outcome,
    /// Load at admission, including this call.
    pub load: Load,
    /// Time from admission to the end.
    pub duration: Duration,
    /// Whether a first token was recorded.
    pub streamed: bool,
}

/// A report of the engine, delayed by an unknown lag.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Identifies the run of the engine; changes with every start.
    pub incarnation: u64,
    /// Number of calls in the batch.
    pub running: u32,
    /// Number of calls that the engine has queued.
    pub waiting: u32,
    /// Duration of a step; zero if unknown.
    pub step: Duration,
    /// Time that the engine itself needed in a step, before it waited for the
    /// other ranks of its group; zero if unknown or not in a group.
    pub own_step: Duration,
}

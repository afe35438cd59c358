//! Inputs and results of the gate.

use std::time::Duration;

use sesamerock_base::key::{Vm, Workspace};
use sesamerock_base::time::Moment;

use crate::learn::{Load, Outcome};
use crate::queue::{CallId, Item};
use crate::{credit, learn, queue};

/// Settings of a gate; the defaults suit an upstream of unknown capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Settings {
    /// Initial limit and safety bounds.
    pub learn: learn::Settings,
    /// Length and fairness of the queue.
    pub queue: queue::Settings,
    /// Lifetime of credits and number of entries that hold them.
    pub credit: credit::Settings,
}

/// A call for which admission is requested.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Identifies this attempt; a value is never reused.
    pub call: CallId,
    /// Workspace on whose behalf the call is made; the unit of fairness.
    pub workspace: Workspace,
    /// Tokens the call will hold in the upstream, prompt and completion
    /// together.
    pub tokens: u64,
    /// Priority level, 0 (highest) to 7.
    pub urgency: u8,
    /// When the caller stops waiting for the complete response.
    pub deadline: Moment,
    /// Expected time from admission to the complete response; zero if unknown.
    /// A call is shed once it could no longer complete before its deadline.
    pub service_time: Duration,
    /// Entry that sent the call; one of its credits is spent.
    pub entry: Vm,
}

impl Offer {
    pub(super) fn item(&self) -> Item {
        Item {
            call: self.call,
            workspace: self.workspace,
            // A call with a cost of zero would bypass fairness.
            tokens: self.tokens.max(1),
            urgency: self.urgency,
            latest_start: self.deadline - self.service_time,
        }
    }
}

/// Why a call was refused or shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The queue is full of calls that take precedence.
    Overloaded,
    /// The upstream crashed, or its limit was reset for a cold start.
    Cold,
    /// The upstream is draining and takes no new work.
    Leaving,
    /// The call cannot start early enough to meet its deadline.
    Deadline,
    /// The call alone exceeds the upper safety bound of tokens.
    TooLarge,
}

/// The gate's answer to an [`Offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send the call to the engine now.
    Admitted,
    /// The call waits; a [`Decision`] follows.
    Queued,
    /// The call was not executed and will not be.
    Refused {
        /// Cause of the refusal.
        reason: Reason,
        /// Time after which to try this upstream again.
        retry_after: Duration,
    },
    /// The gate already holds this call; its state is unchanged.
    Duplicate,
}

/// What the gate decided about a queued call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the call to the engine now.
    Admitted {
        /// Identifies the queued call.
        call: CallId,
    },
    /// The call was refused while it was queued: it was not executed and will
    /// not be.
    Shed {
        /// Identifies the queued call.
        call: CallId,
        /// Cause of the refusal.
        reason: Reason,
        /// Time after which to try this upstream again.
        retry_after: Duration,
    },
}

impl Decision {
    /// Returns the call that the decision is about.
    pub fn call(&self) -> CallId {
        match self {
            Self::Admitted { call } | Self::Shed { call, .. } => *call,
        }
    }
}

/// The end of a running call as observed by the agent.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// How the call ended.
    pub outcome: Outcome,
}

/// State of a gate, for reports and log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Calls admitted and not finished, with their tokens.
    pub in_flight: Load,
    /// Learned limit of work in flight.
    pub limit: Load,
    /// Load at which congestion was last detected, if any.
    pub ceiling: Option<Load>,
    /// Calls that wait in the gate's queue, with their tokens.
    pub queued: Load,
    /// Calls granted as credits that are neither spent nor expired.
    pub credits: u32,
    /// Whether the limit is still below four times its initial value and no
    /// ceiling of calls is known, or the upstream is down after a crash.
    pub cold: bool,
    /// Whether the gate is draining and takes no new work.
    pub leaving: bool,
    /// Recent time of one engine step; zero if unknown.
    pub step: Duration,
    /// Number of resets so far.
    pub resets: u64,
}

//! Inputs and outcomes of the gate.

use std::time::Duration;

use sesamerock_base::key::{Vm, Workspace};
use sesamerock_base::time::Moment;

use crate::learn::{Load, Outcome};
use crate::queue::{Call, Item};
use crate::{credit, learn, queue};

/// Settings of a gate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Settings {
    /// First value and safety bounds of the limit.
    pub learn: learn::Settings,
    /// Bound and fairness of the queue.
    pub queue: queue::Settings,
    /// Lifetime of credits.
    pub credit: credit::Settings,
}

/// A call that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct Offer {
    /// Identifies this attempt; never used twice.
    pub call: Call,
    /// Workspace that is served.
    pub workspace: Workspace,
    /// Tokens the call will hold in the upstream, prompt and completion.
    pub tokens: u64,
    /// Priority level, 0 (highest) to 7.
    pub urgency: u8,
    /// When the caller stops waiting for the complete response.
    pub deadline: Moment,
    /// Expected time from admission to the complete response; zero if unknown.
    /// A call is shed once it could no longer complete in time.
    pub service_time: Duration,
    /// Entry that sent it.
    pub entry: Vm,
}

impl Offer {
    pub(super) fn item(&self) -> Item {
        Item {
            call: self.call,
            workspace: self.workspace,
            // A call of no cost would escape fairness.
            tokens: self.tokens.max(1),
            urgency: self.urgency,
            latest_start: self.deadline - self.service_time,
        }
    }
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The queue is full of calls that go first.
    Overloaded,
    /// The upstream crashed or turned cold.
    Cold,
    /// The upstream takes no new work.
    Leaving,
    /// The call cannot begin early enough for its deadline.
    Deadline,
    /// The call exceeds the safety bound of tokens.
    TooLarge,
}

/// What becomes of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Send the call to the engine now.
    Admitted,
    /// A later decision follows.
    Queued,
    /// The call was not executed and never will be.
    Refused {
        /// Why.
        reason: Reason,
        /// When another attempt here makes sense.
        retry_after: Duration,
    },
    /// The gate already holds this call; nothing changed.
    Duplicate,
}

/// What becomes of a queued call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the call to the engine now.
    Admitted {
        /// The call.
        call: Call,
    },
    /// The call was not executed and never will be.
    Shed {
        /// The call.
        call: Call,
        /// Why.
        reason: Reason,
        /// When another attempt here makes sense.
        retry_after: Duration,
    },
}

impl Decision {
    /// Returns the call this is about.
    pub fn call(&self) -> Call {
        match self {
            Self::Admitted { call } | Self::Shed { call, .. } => *call,
        }
    }
}

/// The end of a running call as the agent saw it.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// What came of the call.
    pub outcome: Outcome,
}

/// State of a gate for reports and log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Work in flight.
    pub in_flight: Load,
    /// Learned limit.
    pub limit: Load,
    /// Load at which trouble was last seen, if any.
    pub ceiling: Option<Load>,
    /// Work queued.
    pub queued: Load,
    /// Calls of credits that are neither spent nor expired.
    pub credits: u32,
    /// Whether the limit still grows from its first value.
    pub cold: bool,
    /// Whether no new work is taken.
    pub leaving: bool,
    /// Recent step time.
    pub step: Duration,
    /// Resets so far, the initial one included.
    pub resets: u64,
}

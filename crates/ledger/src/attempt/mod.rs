//! The life of one keyed call in an agent, and the permission to run it.
//!
//! [`Permit`] and [`Receipt`] cannot be copied, and only this crate makes them:
//! a permit is turned into one receipt just before the request is sent, and a
//! receipt into one outcome. The type system thus excludes a second run by the
//! same agent; the order of the log excludes one by another.

use std::sync::Arc;

use sesamerock_base::time::Moment;

use crate::fold::NotReady;
use crate::id::{Attempt, Key, Request};
use crate::record::Outcome;

/// Number of a call within its agent, for as long as the process lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A keyed call as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Hash of the caller's key.
    pub key: Key,
    /// Hash of the request.
    pub request: Request,
    /// When the caller stops waiting.
    pub deadline: Moment,
}

/// Permission to run one call, once.
///
/// Dropping it without [`crate::shard::Shard::begin`] or
/// [`crate::shard::Shard::decline`] leaves the key unknown for good.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a dropped permit leaves its key unknown for good"]
pub struct Permit {
    pub(crate) ticket: Ticket,
    pub(crate) attempt: Attempt,
    pub(crate) deadline: Moment,
}

impl Permit {
    /// Returns the call that the permit is for.
    pub const fn ticket(&self) -> Ticket {
        self.ticket
    }

    /// Returns the attempt, as recorded in the log.
    pub const fn attempt(&self) -> Attempt {
        self.attempt
    }

    pub(crate) const fn into_ticket(self) -> Ticket {
        self.ticket
    }
}

/// Proof that a call may have been sent; it is to be turned into an outcome.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a dropped receipt leaves its key unknown for good"]
pub struct Receipt {
    pub(crate) ticket: Ticket,
}

impl Receipt {
    /// Returns the call that was sent.
    pub const fn ticket(&self) -> Ticket {
        self.ticket
    }

    pub(crate) const fn into_ticket(self) -> Ticket {
        self.ticket
    }
}

/// What became of a call that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The service responded.
    Done(Outcome),
    /// The connection broke after a byte may have been sent.
    Broken,
}

/// Whether this call was executed, as stated to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Executed {
    /// This call did not run and never will.
    No,
    /// The call of this key ran.
    Yes,
    /// It may have run, or may be running.
    Unknown,
}

/// The end of a call that this agent does not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The call ran before; this is its response.
    Replay(Arc<Outcome>),
    /// Another attempt holds the key, and no outcome came before the deadline.
    InProgress,
    /// Another attempt holds the key, and its outcome will not be known.
    Unknown,
    /// The key was used with another request.
    Conflict,
    /// The call was not executed and never will be.
    Refused(Refusal),
    /// The deadline passed while the intent may or may not be in the log.
    Unresolved,
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The log is not folded up to its head.
    NotReady(NotReady),
    /// The log was not read for a while.
    LogDown,
    /// The deadline passed before anything was sent.
    Deadline,
    /// The executor declined, having sent nothing.
    Declined,
    /// Too many keyed calls are in flight.
    Full,
}

impl Answer {
    /// Returns the value of the response's `executed` field.
    pub const fn executed(&self) -> Executed {
        match self {
            Self::Replay(_) => Executed::Yes,
            Self::Conflict | Self::Refused(_) => Executed::No,
            Self::InProgress | Self::Unknown | Self::Unresolved => Executed::Unknown,
        }
    }
}

/// Where a call stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Nothing was sent; its intent is on the way or another attempt holds the
    /// key.
    Open,
    /// A permit or a receipt is out.
    Running,
    /// It won, sent nothing, and its void is on the way.
    Voiding(Refusal),
}

/// A call in this agent.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    pub call: Call,
    pub stage: Stage,
    /// Whether the caller has an answer; the call is then only cleaned up.
    pub answered: bool,
    /// Set when the call must not run any more.
    pub given_up: bool,
}

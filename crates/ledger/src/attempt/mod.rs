//! Types for one keyed call in an agent, from arrival to answer.
//!
//! [`Permit`] and [`Receipt`] cannot be copied and are created only in this
//! crate. A permit is exchanged for one receipt just before the request is
//! sent, and the receipt for one outcome. The type system thus rules out a
//! second run by the same agent, and the order of the log rules out a run by
//! another.

use std::sync::Arc;

use sesamerock_base::time::Moment;

use crate::fold::NotReady;
use crate::id::{Attempt, Key, Request};
use crate::record::Outcome;

/// Identifies a call within one shard of one agent process.
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
/// A permit must be passed to [`crate::shard::Shard::begin`] or
/// [`crate::shard::Shard::decline`]. If it is dropped, the key never gets an
/// outcome or a void and stays blocked.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a dropped permit blocks its key for good"]
pub struct Permit {
    pub(crate) ticket: Ticket,
    pub(crate) attempt: Attempt,
    pub(crate) deadline: Moment,
}

impl Permit {
    /// Returns the ticket that [`crate::shard::Shard::submit`] gave for the
    /// call.
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

/// Handle of a call that may have been sent.
///
/// It must be passed to [`crate::shard::Shard::finish`] to record how the call
/// ended. If it is dropped, the key never gets an outcome and stays blocked.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a dropped receipt blocks its key for good"]
pub struct Receipt {
    pub(crate) ticket: Ticket,
}

impl Receipt {
    /// Returns the ticket of the call that was sent.
    pub const fn ticket(&self) -> Ticket {
        self.ticket
    }

    pub(crate) const fn into_ticket(self) -> Ticket {
        self.ticket
    }
}

/// How a call ended that was sent to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The service responded.
    Done(Outcome),
    /// The connection broke after a byte may have been sent.
    Broken,
}

/// Whether this call was executed, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Executed {
    /// This call did not run and never will.
    No,
    /// The call of this key ran.
    Yes,
    /// The call of this key may have run, or may be running.
    Unknown,
}

/// The answer to a call that this agent does not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The call ran before; this is its response.
    Replay(Arc<Outcome>),
    /// Another attempt holds the key, and the deadline passed before its
    /// outcome was recorded.
    InProgress,
    /// Another attempt holds the key, and its outcome may never be recorded:
    /// its process has ended or lost the response.
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
    /// The log is not folded up to its head, for the reason given.
    NotReady(NotReady),
    /// No read of the log succeeded within
    /// [`crate::shard::Config::max_read_age`].
    LogDown,
    /// The deadline passed before anything was sent.
    Deadline,
    /// The executor gave the permit back, having sent nothing.
    Declined,
    /// [`crate::shard::Config::max_calls`] keyed calls are in flight.
    Full,
}

impl Answer {
    /// Returns what the response states about the execution in its `executed`
    /// field.
    pub const fn executed(&self) -> Executed {
        match self {
            Self::Replay(_) => Executed::Yes,
            Self::Conflict | Self::Refused(_) => Executed::No,
            Self::InProgress | Self::Unknown | Self::Unresolved => Executed::Unknown,
        }
    }
}

/// State of a call in this agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No permit was given: the call's intent is pending, or another attempt
    /// holds the key.
    Open,
    /// The executor has the permit or the receipt.
    Running,
    /// The call won its key but nothing was sent, and its void is pending.
    Voiding(Refusal),
}

/// A call that this agent has accepted and not yet removed.
#[derive(Clone, Debug)]
pub(crate) struct PendingCall {
    pub call: Call,
    pub stage: Stage,
    /// Whether the caller has an answer. The call is then kept only until its
    /// intent is voided.
    pub answered: bool,
    /// Whether the call must not run any more.
    pub given_up: bool,
}

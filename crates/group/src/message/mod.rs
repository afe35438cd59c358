//! Messages between a leader and the members of its group.
//!
//! The leader sends requests, and a member answers each with one reply. Every
//! message may be lost, delayed, duplicated or reordered.

use serde::{Deserialize, Serialize};

/// Number of an expert map.
pub type Map = u64;
/// Number of a step of the group.
pub type Step = u64;
/// Number that is never used twice for one rank; it has no order.
pub type Incarnation = u64;

/// Fencing token of a leader.
///
/// The rank and the incarnation make it unique to one leader, so that two
/// leaders never share one even if they choose the same counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Fence {
    /// Higher than any counter the leader had seen.
    pub counter: u64,
    /// Rank of the leader.
    pub rank: u32,
    /// Incarnation of the leader.
    pub incarnation: Incarnation,
}

impl Fence {
    /// Returns the token as the number that is sent to an engine.
    ///
    /// The counter takes the upper 48 bits, the rank the lower 16.
    pub const fn number(self) -> u64 {
        (self.counter << 16) | (self.rank as u64 & 0xffff)
    }
}

/// Steps `from..to` with the one map for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Window {
    /// First step.
    pub from: Step,
    /// Step after the last.
    pub to: Step,
    /// Map for all of them.
    pub map: Map,
}

/// A window that a member holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    /// The window.
    pub window: Window,
    /// Token under which the member accepted it, or `None` if the engine may
    /// run it already; such a window is never changed.
    pub accepted: Option<Fence>,
}

/// What a member says of itself in every reply.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Highest token it promised.
    pub promised: Fence,
    /// Next step of its engine, in so far as the member knows.
    pub step: Step,
    /// Duration of its engine's steps, in microseconds, without waiting for
    /// grants; 0 if it has run none.
    pub step_us: u32,
    /// Maps staged in its engine, ascending.
    pub staged: Vec<Map>,
    /// Windows not yet run, ascending and without gaps.
    pub held: Vec<Held>,
}

impl Report {
    /// Returns the step after the last one that the engine may run.
    pub fn running_to(&self) -> Step {
        let running = self.held.iter().filter(|held| held.accepted.is_none());
        running
            .map(|held| held.window.to)
            .fold(self.step, Step::max)
    }

    /// Returns the step after the last one accepted under `fence`, or after
    /// the last one that the engine may run.
    pub fn accepted_to(&self, fence: Fence) -> Step {
        let accepted = self
            .held
            .iter()
            .filter(|held| held.accepted.is_none_or(|other| other == fence));
        accepted
            .map(|held| held.window.to)
            .fold(self.step, Step::max)
    }
}

/// Why a member refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// It promised another token.
    Token,
    /// The request was made for an incarnation before it.
    Incarnation,
    /// A granted map is not staged.
    Staging,
    /// The grant contradicts what the engine may run already, or leaves a gap.
    Conflict,
    /// The message is no request, or malformed.
    Malformed,
}

/// A request of a leader or a reply of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks for the promise to obey no lower token.
    Prepare {
        /// Token of the leader.
        fence: Fence,
    },
    /// The promise, with what the member holds.
    Promise {
        /// Token promised.
        fence: Fence,
        /// State of the member.
        report: Report,
    },
    /// Asks a member to stage a map.
    Stage {
        /// Token of the leader.
        fence: Fence,
        /// The map.
        map: Map,
    },
    /// The state of staging; the map asked for may still be on its way.
    Staged {
        /// Token of the leader.
        fence: Fence,
        /// State of the member.
        report: Report,
    },
    /// Asks a member to accept windows and lets it run some of them.
    Grant {
        /// Token of the leader.
        fence: Fence,
        /// Incarnation of the member that promised. A member has no use for
        /// those of the others, which would be most of the message at 64 ranks.
        incarnation: Incarnation,
        /// Windows to accept, ascending and without gaps.
        windows: Vec<Window>,
        /// Step up to which all ranks have accepted, so that all may run.
        confirmed: Step,
    },
    /// The windows are accepted.
    Granted {
        /// Token of the leader.
        fence: Fence,
        /// State of the member.
        report: Report,
    },
    /// The request changed nothing.
    Refused {
        /// Token of the request.
        fence: Fence,
        /// Why.
        reason: Reason,
        /// State of the member.
        report: Report,
    },
}

impl Message {
    /// Returns the token of the leader that the message belongs to.
    pub const fn fence(&self) -> Fence {
        match self {
            Self::Prepare { fence }
            | Self::Promise { fence, .. }
            | Self::Stage { fence, .. }
            | Self::Staged { fence, .. }
            | Self::Grant { fence, .. }
            | Self::Granted { fence, .. }
            | Self::Refused { fence, .. } => *fence,
        }
    }

    /// Returns the state of the member that sent the reply.
    pub const fn report(&self) -> Option<&Report> {
        match self {
            Self::Promise { report, .. }
            | Self::Staged { report, .. }
            | Self::Granted { report, .. }
            | Self::Refused { report, .. } => Some(report),
            Self::Prepare { .. } | Self::Stage { .. } | Self::Grant { .. } => None,
        }
    }
}

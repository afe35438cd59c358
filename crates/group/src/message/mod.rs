//! Messages between a leader and the members of its group.
//!
//! The leader sends requests, and a member answers each with one reply. Every
//! message may be lost, delayed, duplicated or reordered.

use serde::{Deserialize, Serialize};

/// Number that identifies an expert map.
pub type Map = u64;
/// Number of a step of the group.
pub type Step = u64;
/// Number that identifies one run of a rank's agent; never reused for a rank and
/// not ordered.
pub type Incarnation = u64;

/// Fencing token of a leader.
///
/// The rank and the incarnation make it unique to one leader, so that two
/// leaders never share one even if they choose the same counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Fence {
    /// Higher than any counter that the leader had seen when it proposed itself.
    pub counter: u64,
    /// Rank that proposed itself as leader.
    pub rank: u32,
    /// Incarnation of that rank.
    pub incarnation: Incarnation,
}

impl Fence {
    /// Returns the token as the number that is sent to an engine: the counter in
    /// the upper 48 bits and the rank in the lower 16.
    pub const fn number(self) -> u64 {
        (self.counter << 16) | (self.rank as u64 & 0xffff)
    }
}

/// The steps `from..to` and the map to use in them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Window {
    /// First step of the window.
    pub from: Step,
    /// Step after the last one of the window.
    pub to: Step,
    /// Map for all steps of the window.
    pub map: Map,
}

/// A window that a member holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    /// Steps and their map.
    pub window: Window,
    /// Token under which the member accepted the window, or `None` if the engine
    /// may already run it; such a window is never changed.
    pub accepted: Option<Fence>,
}

/// State of a member, included in every reply.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Highest token that the member has promised.
    pub promised: Fence,
    /// Next step of the engine, as far as the member knows.
    pub step: Step,
    /// Duration of the engine's steps in microseconds, without the time spent
    /// waiting for grants; 0 if the engine has run no step.
    pub step_us: u32,
    /// Maps staged in the engine, ascending.
    pub staged: Vec<Map>,
    /// Windows that have not yet been run completely, ascending and without gaps.
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

/// Why a member refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The member's latest promise is for another token.
    Token,
    /// The request was made for another incarnation of the member.
    Incarnation,
    /// A granted map is not staged.
    Staging,
    /// The grant contradicts a window that the engine may already run, or leaves a
    /// gap after it.
    Conflict,
    /// The message is not a request, or its windows are not contiguous.
    Malformed,
}

/// A request of a leader or a reply of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Requests a promise to accept no requests with a lower token.
    Prepare {
        /// Token of the leader.
        fence: Fence,
    },
    /// The promise, with the windows that the member holds.
    Promise {
        /// Token that the member promised.
        fence: Fence,
        /// State of the member.
        report: Report,
    },
    /// Requests that a member stage a map.
    Stage {
        /// Token of the leader.
        fence: Fence,
        /// Map to stage.
        map: Map,
    },
    /// Reply to `Stage`; the requested map may still be loading.
    Staged {
        /// Token of the leader.
        fence: Fence,
        /// State of the member.
        report: Report,
    },
    /// Requests that a member accept windows and allows it to run the confirmed
    /// ones.
    Grant {
        /// Token of the leader.
        fence: Fence,
        /// Incarnation in which the receiving member promised. The incarnations of
        /// the other members are not sent: the member does not use them, and they
        /// would be most of the message at 64 ranks.
        incarnation: Incarnation,
        /// Windows to accept, ascending and without gaps.
        windows: Vec<Window>,
        /// Step up to which every rank has accepted, so that all ranks may run the
        /// steps below it.
        confirmed: Step,
    },
    /// The member accepted the windows.
    Granted {
        /// Token of the leader.
        fence: Fence,
        /// State of the member.
        report: Report,
    },
    /// The member refused the request; its state is unchanged.
    Refused {
        /// Token of the request.
        fence: Fence,
        /// Why the member refused.
        reason: Reason,
        /// State of the member.
        report: Report,
    },
}

impl Message {
    /// Returns the fencing token under which the request was made.
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

    /// Returns the state of the member that sent the reply, or `None` for a
    /// request.
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

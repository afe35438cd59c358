//! The interface to model engines that are ranks of an expert-parallel group.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::store::Fault;
use crate::upstream::Record;

/// The group of a rank, as the rank reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Name of the group, equal for all its ranks.
    pub name: Arc<str>,
    /// Number of times that the group has formed.
    pub epoch: u64,
    /// Index of the rank in the group, from 0.
    pub rank: u16,
    /// Number of ranks in the group.
    pub size: u16,
    /// Whether the group is executing steps.
    pub open: bool,
}

/// The state that an engine reports. It lags by some hundred milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Start of the engine in milliseconds since the Unix epoch; `None` if not reported.
    pub born: Option<u64>,
    /// Whether the engine has stated with the report that it is leaving.
    pub leaving: bool,
    /// Number of commands to load or to change role that the engine has accepted;
    /// commands on expert maps do not count.
    pub orders: u64,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
    /// Tokens in memory that cannot be evicted.
    pub memory_used: u64,
    /// Memory capacity, in tokens.
    pub memory_total: u64,
    /// Slowdown factor that the engine itself reports; above 1 the engine is slower than usual.
    pub pace: f64,
    /// The group of the engine; `None` if it belongs to none.
    pub group: Option<Group>,
    /// The latest step that has started.
    pub step: u64,
    /// Version of the expert map in use.
    pub map: u64,
    /// Version of the expert map that is prepared for a switch.
    pub prepared: Option<u64>,
    /// Armed map version and the step at which the rank switches to it.
    pub armed: Option<(u64, u64)>,
    /// The step that the rank keeps the group from starting.
    pub held: Option<u64>,
}

/// Placement of the experts of a group: expert ids, indexed by set and rank.
pub type ExpertPlacement = Vec<Vec<Vec<u16>>>;

/// A command of the leader to a rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Copy the experts that the rank needs for a map.
    Prepare {
        /// Version of the map.
        version: u64,
        /// Experts of every set and rank.
        map: ExpertPlacement,
    },
    /// Switch to a prepared map at the start of a step.
    Arm {
        /// Version of the map.
        version: u64,
        /// The step at which to switch.
        step: u64,
    },
    /// Cancel a [`Command::Arm`] of this version.
    Disarm {
        /// Version of the map.
        version: u64,
    },
    /// Keep the group from starting a step.
    Hold {
        /// The first step not to start.
        step: u64,
    },
    /// End a [`Command::Hold`].
    Go {
        /// The step of the hold to end.
        step: u64,
    },
}

impl Command {
    /// Returns the name used in logs and on the wire.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Prepare { .. } => "prepare",
            Self::Arm { .. } => "arm",
            Self::Disarm { .. } => "disarm",
            Self::Hold { .. } => "hold",
            Self::Go { .. } => "go",
        }
    }
}

/// Conditions under which a rank carries out a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Preconditions {
    /// Fencing token of the sender; a rank rejects tokens below the highest it has seen.
    pub fence: u64,
    /// Number of commands to load or to change role that the rank has accepted before. If
    /// it differs, the rank rejects the command.
    pub expected: u64,
    /// Epoch of the group for which the command is meant.
    pub epoch: u64,
}

/// How a rank has handled a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The rank has begun to carry it out.
    Begun,
    /// The command is complete, now or from an earlier attempt.
    Done,
    /// The command conflicts with the state of the rank.
    Conflict,
    /// The fencing token is lower than one used by another sender.
    Fenced,
    /// Another engine has this address, or the command is invalid.
    Refused,
}

/// How often the router of the model chose each expert, by set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The last step included in the counts.
    pub step: u64,
    /// Epoch of the group in which the counts were read.
    pub epoch: u64,
    /// Choices since the rank started, by set and expert.
    pub counts: Vec<Vec<u64>>,
}

/// Calls to engines. A call fails with a [`Fault`] if the engine gives no usable answer.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Returns whether requests and commands to an engine are sent through a sidecar on
    /// its VM, so that answers are fresh and requests are not billed by the platform.
    fn has_sidecar(&self, at: &Record) -> bool;
    /// Requests the state of an engine.
    fn report(&self, at: &Record) -> impl Future<Output = Result<Report, Fault>> + Send;
    /// Requests how often each expert was chosen. `sets` is the number of sets; with 0, only step
    /// and epoch of the answer are used.
    fn counts(&self, at: &Record, sets: u16) -> impl Future<Output = Result<Counts, Fault>> + Send;
    /// Requests the version of the expert map in use and the experts that the rank holds,
    /// by set.
    fn held_experts(
        &self,
        at: &Record,
    ) -> impl Future<Output = Result<(u64, Vec<Vec<u16>>), Fault>> + Send;
    /// Sends a command, which the rank carries out if the preconditions hold.
    fn send_command(
        &self,
        at: &Record,
        command: &Command,
        preconditions: Preconditions,
    ) -> impl Future<Output = Result<CommandOutcome, Fault>> + Send;
}

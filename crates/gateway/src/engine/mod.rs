//! What the gateway needs of engines that are ranks of a group.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::store::Fault;
use crate::upstream::Record;

/// What a rank says of its group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Name of the group.
    pub name: Arc<str>,
    /// Number of times that the group has formed.
    pub epoch: u64,
    /// Place of the rank in the group.
    pub rank: u16,
    /// Ranks of the group.
    pub size: u16,
    /// Whether the group makes steps.
    pub open: bool,
}

/// What an engine says of its state, as of some hundred milliseconds ago.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Start of the engine, where it states it.
    pub born: Option<u64>,
    /// Orders that it has accepted.
    pub orders: u64,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Tokens in memory that cannot be dropped.
    pub memory_used: u64,
    /// Tokens that memory holds.
    pub memory_total: u64,
    /// Slowness; more than 1 is slower than usual.
    pub pace: f64,
    /// The group.
    pub group: Option<Group>,
    /// The last step that has begun.
    pub step: u64,
    /// Version of the map in use.
    pub map: u64,
    /// Version of the map that is ready for use.
    pub prepared: Option<u64>,
    /// Version that is armed, with its step.
    pub armed: Option<(u64, u64)>,
    /// The step before which the rank holds the group.
    pub held: Option<u64>,
}

/// Placement of the experts of a group: by set and rank, the experts.
pub type ExpertPlacement = Vec<Vec<Vec<u16>>>;

/// An order to a rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Copy what is needed for a map.
    Prepare {
        /// Version of the map.
        version: u64,
        /// The map.
        map: ExpertPlacement,
    },
    /// Switch to a prepared map when a step begins.
    Arm {
        /// Version of the map.
        version: u64,
        /// The step.
        step: u64,
    },
    /// Take back an arm.
    Disarm {
        /// Version of the map.
        version: u64,
    },
    /// Do not let the group begin a step.
    Hold {
        /// The step.
        step: u64,
    },
    /// End a hold.
    Go {
        /// The step of the hold.
        step: u64,
    },
}

impl Command {
    /// Returns the word used in logs.
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

/// What must hold for an order to be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Preconditions {
    /// Fencing token of the sender.
    pub fence: u64,
    /// Orders to load or to change role that the rank has accepted before; another
    /// number voids the order.
    pub expected: u64,
    /// Epoch of the group.
    pub epoch: u64,
}

/// What a rank says of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// It has begun.
    Begun,
    /// It is done, or was before.
    Done,
    /// It does not fit the rank's state.
    Conflict,
    /// Another sender has used a higher fencing token.
    Fenced,
    /// Another engine has the address, or the rank refuses the order as such.
    Refused,
}

/// How often each expert was chosen, by set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The last step.
    pub step: u64,
    /// Epoch of the group.
    pub epoch: u64,
    /// Choices since the rank started, by set and expert.
    pub counts: Vec<Vec<u64>>,
}

/// Calls to engines.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Returns whether questions and orders to an engine come from its own VM, where
    /// they are fresh and cost nothing.
    fn is_local(&self, at: &Record) -> bool;
    /// Asks for the state.
    fn report(&self, at: &Record) -> impl Future<Output = Result<Report, Fault>> + Send;
    /// Asks how often the experts of a number of sets were chosen.
    fn counts(&self, at: &Record, sets: u16) -> impl Future<Output = Result<Counts, Fault>> + Send;
    /// Asks which experts the rank holds, by set.
    fn held(&self, at: &Record)
    -> impl Future<Output = Result<(u64, Vec<Vec<u16>>), Fault>> + Send;
    /// Gives an order.
    fn send_command(
        &self,
        at: &Record,
        order: &Command,
        terms: Preconditions,
    ) -> impl Future<Output = Result<CommandOutcome, Fault>> + Send;
}

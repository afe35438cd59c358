//! Rollout of notes: which engine loads and unloads what, and when.
//!
//! The plan has no memory and no coordinator: every agent computes it from the
//! control state and the latest reports and carries out its own steps. New
//! versions are ready before old ones are unloaded, a bounded share of a
//! model's units loads at once, and a unit unloads a model only if another unit
//! holds it warm and has confirmed that it will keep it.
//! `docs/notes/control-state.md` weighs this against a coordinator.

pub mod cohort;
mod load_order;
mod planner;
mod report;
mod unit;

use std::fmt;

use sesamerock_base::key;
use sesamerock_base::time::Moment;

use crate::fold::State;
use crate::key::Adapter;
use crate::note::Role;
use load_order::{LoadOrder, Wait};
use planner::Planner;

pub use report::{Loaded, Phase, Report, Reports};

/// Bounds of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Maximum share of a model's units that load or change at once while they
    /// serve something; at least one unit always may.
    pub share: f64,
    /// Units that may load from the weight store at once, over all models.
    pub store_loads: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            share: 0.25,
            store_loads: 8,
        }
    }
}

/// What a plan is computed from.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// Current control state.
    pub state: &'a State,
    /// Latest report of each upstream's agent.
    pub reports: &'a Reports,
    /// Limits on concurrent loads and changes.
    pub settings: Settings,
    /// Current time, compared with `store_refused_until`.
    pub now: Moment,
    /// Time until which the weight store refuses further loads, if it does.
    pub store_refused_until: Option<Moment>,
}

/// A command to an engine. Each is idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Load a version of a model and warm it up.
    Load {
        /// Model to load.
        model: key::Model,
        /// Version of the model.
        version: u32,
    },
    /// Unload a version of a model once its calls have completed.
    Unload {
        /// Model to unload.
        model: key::Model,
        /// Version of the model.
        version: u32,
    },
    /// Load an adapter of a loaded model, replacing an older version of it.
    LoadAdapter {
        /// Model that the adapter belongs to.
        model: key::Model,
        /// Adapter to load.
        adapter: Adapter,
        /// Version of the adapter.
        version: u32,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// Model that the adapter belongs to.
        model: key::Model,
        /// Adapter to unload.
        adapter: Adapter,
    },
    /// Change the role.
    Turn {
        /// Role to change to.
        role: Role,
    },
}

/// A command that an upstream's agent should carry out now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Upstream whose agent carries out the command.
    pub upstream: key::Upstream,
    /// Command to send to the engine.
    pub command: Command,
}

/// Why an upstream cannot proceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A member of the unit does not report.
    Unreachable,
    /// Other units of the model are before this one.
    Turn {
        /// Number of those units.
        ahead: usize,
    },
    /// Other loads are before this one at the weight store.
    Store {
        /// Number of those loads.
        ahead: usize,
    },
    /// The weight store refused further loads for now.
    StoreRefused,
    /// The engine's memory is full; another model must be unloaded first.
    Room,
    /// Another unit must be ready first, since this one may hold the last warm
    /// copy. If this persists, the model needs another upstream.
    LastWarm,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => write!(f, "unreachable"),
            Self::Turn { ahead } => write!(f, "turn ahead={ahead}"),
            Self::Store { ahead } => write!(f, "store ahead={ahead}"),
            Self::StoreRefused => write!(f, "store_refused"),
            Self::Room => write!(f, "room"),
            Self::LastWarm => write!(f, "last_warm"),
        }
    }
}

impl From<Wait> for Reason {
    fn from(wait: Wait) -> Self {
        match wait {
            Wait::Turn(ahead) => Self::Turn { ahead },
            Wait::Store(ahead) => Self::Store { ahead },
            Wait::LastWarm => Self::LastWarm,
        }
    }
}

/// An upstream that waits, with the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    /// Upstream that waits.
    pub upstream: key::Upstream,
    /// The model whose step waits.
    pub model: key::Model,
    /// Condition that the step waits for.
    pub reason: Reason,
}

/// A model that an upstream holds although it should no longer serve it.
/// Routing keeps using the upstream, because no other unit is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The upstream, possibly a withdrawn one.
    pub upstream: key::Upstream,
    /// Model that is held.
    pub model: key::Model,
    /// The version that it holds.
    pub version: u32,
}

/// Progress of a rollout.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Pairs of unit and model that should be ready.
    pub desired: usize,
    /// Pairs that are ready.
    pub ready: usize,
    /// Pairs that are loading.
    pub loading: usize,
    /// Models in memory that the engine should no longer serve.
    pub leftover: usize,
}

impl Progress {
    /// Returns whether nothing is left to do.
    pub fn done(&self) -> bool {
        self.ready == self.desired && self.leftover == 0
    }
}

/// The steps that may be carried out now, for all upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Commands, at most a few per upstream.
    pub steps: Vec<Step>,
    /// Upstreams that wait.
    pub stalls: Vec<Stall>,
    /// Models kept by upstreams that should no longer serve them.
    pub holds: Vec<Hold>,
    /// Progress over all planned units.
    pub progress: Progress,
}

impl Plan {
    /// Computes the steps for a state and reports.
    pub fn new(input: &Input<'_>) -> Self {
        Self::for_units(input, &unit::units(input))
    }

    /// Computes the steps for some upstreams as if there were no others, such
    /// as those of one [`cohort`]. Shares and the load order are then computed
    /// among them.
    pub fn among(input: &Input<'_>, members: &[key::Upstream]) -> Self {
        Self::for_units(input, &unit::units_among(input, members))
    }

    fn for_units(input: &Input<'_>, units: &[unit::Unit]) -> Self {
        let targets = unit::targets(input, units);
        let load_order = LoadOrder::new(input, units, &targets);
        Planner::plan(input, units, &targets, &load_order)
    }

    /// Yields the commands of one upstream.
    pub fn commands(&self, upstream: key::Upstream) -> impl Iterator<Item = Command> {
        let steps = self.steps.iter();
        steps
            .filter(move |step| step.upstream == upstream)
            .map(|step| step.command)
    }
}

//! Rollout of notes: which engine loads and unloads what, and when.
//!
//! The plan has no memory and no coordinator: every agent computes it from the
//! control state and the latest reports and carries out its own steps. What is
//! new is ready before what is old is given up, a bounded share of a model's
//! units loads at once, and a unit gives up a model only if another one holds
//! it warm and has confirmed that it will keep it. `docs/notes/control-state.md`
//! weighs this against a coordinator.

mod report;
mod turn;
mod unit;

use std::collections::BTreeMap;
use std::fmt;

use sesamerock_base::key;
use sesamerock_base::time::Moment;

use crate::fold::State;
use crate::fold::entry::Upstream;
use crate::key::Adapter;
use crate::note::Role;
use turn::{Turns, Wait};
use unit::{Target, Unit};

pub use report::{Loaded, Phase, Report, Reports};

/// Bounds of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Largest share of a model's units that load or change at once while they
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
    /// Latest reports.
    pub reports: &'a Reports,
    /// Bounds.
    pub settings: Settings,
    /// Current time.
    pub now: Moment,
    /// Until when the weight store refused further loads, if it did.
    pub store_refused_until: Option<Moment>,
}

/// A command to an engine. Each is idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Load a version of a model and warm it up.
    Load {
        /// The model.
        model: key::Model,
        /// The version.
        version: u32,
    },
    /// Unload a version of a model once its calls have completed.
    Unload {
        /// The model.
        model: key::Model,
        /// The version.
        version: u32,
    },
    /// Load an adapter of a loaded model, replacing an older version of it.
    LoadAdapter {
        /// The model.
        model: key::Model,
        /// The adapter.
        adapter: Adapter,
        /// Version of the adapter.
        version: u32,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// The model.
        model: key::Model,
        /// The adapter.
        adapter: Adapter,
    },
    /// Change the role.
    Turn {
        /// The new role.
        role: Role,
    },
}

/// A command that an upstream's agent should carry out now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// The upstream.
    pub upstream: key::Upstream,
    /// The command.
    pub command: Command,
}

/// Why an upstream does not get on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A member of the unit does not report.
    Unreachable,
    /// Other units of the model are before it.
    Turn {
        /// How many.
        ahead: usize,
    },
    /// Other loads are before it at the weight store.
    Store {
        /// How many.
        ahead: usize,
    },
    /// The weight store refused further loads for now.
    StoreRefused,
    /// Its memory is full; another model must leave it first.
    Room,
    /// Another unit must be ready first, since this one may hold the last warm
    /// copy. If it stays so, the model needs another upstream.
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
    /// The upstream.
    pub upstream: key::Upstream,
    /// The model that it waits with.
    pub model: key::Model,
    /// Why it waits.
    pub reason: Reason,
}

/// A model that an upstream holds although it is no longer to serve it. Routing
/// keeps using it, because no other unit is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The upstream, possibly a withdrawn one.
    pub upstream: key::Upstream,
    /// The model.
    pub model: key::Model,
    /// The version that it holds.
    pub version: u32,
}

/// How far the rollout is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Pairs of unit and model that are to be ready.
    pub wanted: usize,
    /// Pairs that are.
    pub ready: usize,
    /// Pairs that load.
    pub loading: usize,
    /// Models in memory that are no longer to be served there.
    pub leftover: usize,
}

impl Progress {
    /// Returns whether nothing is left to do.
    pub fn done(&self) -> bool {
        self.ready == self.wanted && self.leftover == 0
    }
}

/// The steps that may be carried out now, for all upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Commands, at most a few per upstream.
    pub steps: Vec<Step>,
    /// Upstreams that wait.
    pub stalls: Vec<Stall>,
    /// Models that are still needed where they no longer belong.
    pub holds: Vec<Hold>,
    /// How far the rollout is.
    pub progress: Progress,
}

impl Plan {
    /// Computes the steps for a state and reports.
    pub fn new(input: &Input<'_>) -> Self {
        let units = unit::units(input);
        let targets = unit::targets(input, &units);
        let turns = Turns::new(input, &units, &targets);
        let mut planner = Planner {
            input,
            units: &units,
            targets: &targets,
            turns: &turns,
            started: BTreeMap::new(),
            plan: Self::default(),
        };
        planner.run();
        planner.plan
    }

    /// Yields the commands of one upstream.
    pub fn commands(&self, upstream: key::Upstream) -> impl Iterator<Item = Command> {
        let steps = self.steps.iter();
        steps
            .filter(move |step| step.upstream == upstream)
            .map(|step| step.command)
    }
}

struct Planner<'a> {
    input: &'a Input<'a>,
    units: &'a [Unit],
    targets: &'a [Target],
    turns: &'a Turns,
    /// Loads that this plan starts, by upstream.
    started: BTreeMap<key::Upstream, usize>,
    plan: Plan,
}

impl Planner<'_> {
    fn run(&mut self) {
        for target in self.targets {
            self.plan.progress.wanted += 1;
            self.plan.progress.ready += usize::from(target.ready);
            self.plan.progress.loading += usize::from(target.loading);
            for member in &self.units[target.unit].members {
                self.member(target, *member);
            }
        }
        for (index, unit) in self.units.iter().enumerate() {
            for member in &unit.members {
                self.leftovers(index, *member);
            }
        }
    }

    /// Plans one model of one upstream.
    fn member(&mut self, target: &Target, key: key::Upstream) {
        if !target.live {
            return self.stall(key, target.model, Reason::Unreachable);
        }
        let state = self.input.state;
        let reports = self.input.reports;
        let (Some(upstream), Some(report)) = (state.upstreams().get(key), reports.get(key)) else {
            return;
        };
        let loaded = report.find(target.model, target.version);
        match loaded.map(|loaded| loaded.phase) {
            None => self.load(target, key, report),
            Some(Phase::Loading | Phase::Cold) => {}
            Some(Phase::Warm) => self.finish(target, key, upstream, report),
        }
    }

    /// Fetches the wanted version, making room first if there is none.
    fn load(&mut self, target: &Target, key: key::Upstream, report: &Report) {
        let refused = self.input.store_refused_until;
        if refused.is_some_and(|until| self.input.now < until) {
            return self.stall(key, target.model, Reason::StoreRefused);
        }
        if let Err(wait) = self.turns.may_load(target, &self.input.settings) {
            return self.stall(key, target.model, wait.into());
        }
        let Target { model, version, .. } = *target;
        let started = self.started.entry(key).or_default();
        if *started < report.room {
            *started += 1;
            return self.step(key, Command::Load { model, version });
        }
        let older = report
            .loaded
            .iter()
            .find(|loaded| loaded.model == model && loaded.version != version);
        let Some(older) = older else {
            return self.stall(key, model, Reason::Room);
        };
        match self.turns.may_interrupt(target, &self.input.settings) {
            Ok(()) => self.step(
                key,
                Command::Unload {
                    model,
                    version: older.version,
                },
            ),
            Err(wait) => self.stall(key, model, wait.into()),
        }
    }

    /// Brings adapters and role to a warm version and drops other versions of
    /// the model once the whole unit is ready.
    fn finish(
        &mut self,
        target: &Target,
        key: key::Upstream,
        upstream: &Upstream,
        report: &Report,
    ) {
        let Target { model, version, .. } = *target;
        for (adapter, version) in unit::lacking(self.input, upstream, report, model, version) {
            let command = Command::LoadAdapter {
                model,
                adapter,
                version,
            };
            self.step(key, command);
        }
        if report.role != upstream.role {
            match self.turns.may_interrupt(target, &self.input.settings) {
                Ok(()) => self.turn(target.unit, key, upstream.role),
                Err(wait) => self.stall(key, model, wait.into()),
            }
        }
        if !target.ready {
            return;
        }
        let older = report
            .loaded
            .iter()
            .filter(|loaded| loaded.model == model && loaded.version != version);
        for loaded in older {
            let version = loaded.version;
            self.plan.progress.leftover += 1;
            self.step(key, Command::Unload { model, version });
        }
        self.drop_adapters(target, key, upstream, report);
    }

    /// The role serves all models, so one refusal among them keeps it.
    fn turn(&mut self, unit: usize, key: key::Upstream, role: Role) {
        let command = Command::Turn { role };
        let settings = &self.input.settings;
        // The targets are in the order of units.
        let first = self.targets.partition_point(|target| target.unit < unit);
        let mine = self.targets[first..].iter();
        let mine = mine.take_while(|target| target.unit == unit);
        let mut waits = mine.map(|target| self.turns.may_interrupt(target, settings));
        let step = Step {
            upstream: key,
            command,
        };
        if waits.all(|wait| wait.is_ok()) && !self.plan.steps.contains(&step) {
            self.plan.steps.push(step);
        }
    }

    /// Drops adapters that are no longer to be served here once a unit that is
    /// to serve them is ready, or none is.
    fn drop_adapters(
        &mut self,
        target: &Target,
        key: key::Upstream,
        upstream: &Upstream,
        report: &Report,
    ) {
        let Target { model, version, .. } = *target;
        let loaded = report.find(model, version);
        let wanted = upstream
            .serves(model)
            .map_or(&[][..], |served| &served.adapters);
        let present = loaded.map_or(&[][..], |loaded| &loaded.adapters);
        for (adapter, _) in present.iter().filter(|(key, _)| !wanted.contains(key)) {
            self.plan.progress.leftover += 1;
            if self.adapter_kept(model, *adapter) {
                let adapter = *adapter;
                self.step(key, Command::UnloadAdapter { model, adapter });
            } else {
                self.stall(key, model, Reason::LastWarm);
            }
        }
    }

    fn adapter_kept(&self, model: key::Model, adapter: Adapter) -> bool {
        let serves = |unit: &usize| {
            let members = self.units[*unit].members.iter();
            let mut members = members.filter_map(|key| self.input.state.upstreams().get(*key));
            members.any(|upstream| {
                let served = upstream.serves(model);
                served.is_some_and(|served| served.adapters.contains(&adapter))
            })
        };
        let wanted = self.targets.iter().filter(|target| target.model == model);
        let wanted = wanted.map(|target| target.unit).any(|unit| serves(&unit));
        !wanted || self.turns.ready(model).any(|unit| serves(&unit))
    }

    /// Drops models that an upstream is no longer to serve, unless they are in
    /// use and no other unit is ready.
    fn leftovers(&mut self, index: usize, key: key::Upstream) {
        let Some(report) = self.input.reports.get(key) else {
            return;
        };
        let leaving = self.units[index].leaving;
        let upstream = self.input.state.upstreams().get(key).filter(|_| !leaving);
        for loaded in &report.loaded {
            let (model, version) = (loaded.model, loaded.version);
            if upstream.is_some_and(|upstream| upstream.serves(model).is_some()) {
                continue;
            }
            self.plan.progress.leftover += 1;
            let in_use = self.input.state.models().get(model).is_some();
            let needed = in_use && loaded.phase == Phase::Warm;
            if needed && !self.turns.kept_elsewhere(model, index) {
                let upstream = key;
                self.plan.holds.push(Hold {
                    upstream,
                    model,
                    version,
                });
                self.stall(key, model, Reason::LastWarm);
            } else {
                self.step(key, Command::Unload { model, version });
            }
        }
    }

    fn step(&mut self, upstream: key::Upstream, command: Command) {
        self.plan.steps.push(Step { upstream, command });
    }

    fn stall(&mut self, upstream: key::Upstream, model: key::Model, reason: Reason) {
        self.plan.stalls.push(Stall {
            upstream,
            model,
            reason,
        });
    }
}

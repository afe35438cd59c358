//! Chooses this agent's next rollout step from the plans of its models.

use std::collections::BTreeSet;

use sesamerock_base::key;
use sesamerock_base::time::Moment;
use sesamerock_client::engine::Load;
use sesamerock_note::fold::State;
use sesamerock_note::rollout::{self, Command, Input, Plan, Reason, cohort};
use sesamerock_wire::relay::Stall;

use super::handle::Release;

/// A rollout step of this agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Fetch a model version and warm it up.
    Load(Release),
    /// Unload a model version. `closes` is whether new calls for the model are
    /// refused, since the engine holds no other version of it.
    Unload { release: Release, closes: bool },
    /// Load a version of an adapter.
    LoadAdapter(Release),
    /// Unload a version of an adapter.
    DropAdapter(Release),
}

/// The next step, and the models that wait with their reasons.
#[derive(Debug, Default)]
pub(super) struct Decision {
    pub(super) step: Option<Step>,
    pub(super) stalls: Vec<Stall>,
}

/// Returns the models that an upstream is to serve, or that its engine holds or
/// is loading.
pub(super) fn desired_or_held_models(
    state: &State,
    own: key::Upstream,
    load: &Load,
) -> BTreeSet<key::Model> {
    let entry = state.upstreams().get(own);
    let desired = entry.map_or(&[][..], |entry| &entry.models);
    let desired = desired.iter().map(|served| served.model);
    let held = load.models.iter().chain(&load.loading).filter_map(|name| {
        let release = Release::parse(name)?;
        state.models().key(&release.model)
    });
    desired.chain(held).collect()
}

/// Returns the members of the cohort of each model.
pub(super) fn cohort_members(
    state: &State,
    own: key::Upstream,
    models: &BTreeSet<key::Model>,
) -> Vec<(key::Model, Vec<key::Upstream>)> {
    let models = models.iter();
    models
        .map(|model| {
            (
                *model,
                cohort::members(state, *model, own, cohort::MAX_UNITS),
            )
        })
        .collect()
}

/// Returns whether the engine holds the models and adapters of the desired state
/// and no others.
pub(super) fn is_converged(state: &State, own: key::Upstream, load: &Load) -> bool {
    let Some(entry) = state.upstreams().get(own) else {
        return load.models.is_empty() && load.loading.is_empty();
    };
    let desired = entry.models.iter().filter_map(|served| {
        let version = state.serving(own, served.model)?;
        Some(Release {
            model: state.models().name(served.model).to_owned(),
            version,
        })
    });
    let desired: BTreeSet<_> = desired.map(|release| release.to_string()).collect();
    let held: BTreeSet<_> = load.models.iter().chain(&load.loading).cloned().collect();
    let adapters = entry.models.iter().flat_map(|served| &served.adapters);
    let adapters = adapters.filter_map(|key| {
        let adapter = state.adapters().get(*key)?;
        Some(format!(
            "{}@{}",
            state.adapters().name(*key),
            adapter.version
        ))
    });
    let adapters: BTreeSet<_> = adapters.collect();
    // Adapters that are not in the control state are ignored.
    let known = |name: &&String| {
        Release::parse(name).is_some_and(|held| state.adapters().key(&held.model).is_some())
    };
    let loaded: BTreeSet<_> = load.adapters.iter().filter(known).cloned().collect();
    load.loading.is_empty() && desired == held && adapters == loaded
}

/// Input of a decision.
pub(super) struct DecisionInput<'a> {
    pub(super) state: &'a State,
    pub(super) own: key::Upstream,
    pub(super) load: &'a Load,
    pub(super) cohorts: &'a [(key::Model, Vec<key::Upstream>)],
    pub(super) reports: &'a rollout::Reports,
    pub(super) settings: rollout::Settings,
    pub(super) now: Moment,
    pub(super) store_refused_until: Option<Moment>,
    pub(super) store_reason: &'static str,
}

/// Chooses the next step of this agent.
pub(super) fn decide(input: &DecisionInput<'_>) -> Decision {
    let plan_input = Input {
        state: input.state,
        reports: input.reports,
        settings: input.settings,
        now: input.now,
        store_refused_until: input.store_refused_until,
    };
    let mut decision = Decision::default();
    let mut steps = Vec::new();
    for (model, members) in input.cohorts {
        let plan = Plan::among(&plan_input, members);
        let own_commands = plan.commands(input.own);
        steps.extend(own_commands.filter_map(|command| input.step(*model, command)));
        let stalls = plan.stalls.iter();
        let stalls = stalls.filter(|stall| stall.upstream == input.own && stall.model == *model);
        decision.stalls.extend(stalls.map(|stall| Stall {
            model: input.desired_release(*model),
            reason: input.stall_reason(stall.reason, members),
        }));
    }
    steps.sort_by_key(|step| input.priority(step));
    decision.step = steps.into_iter().next();
    decision
}

impl DecisionInput<'_> {
    /// Converts a command to a step of this agent; `None` if it is about a model
    /// other than `expected`, or about an adapter that is not loaded.
    fn step(&self, expected: key::Model, command: Command) -> Option<Step> {
        match command {
            Command::Load { model, version } if model == expected => {
                Some(Step::Load(self.release(model, version)))
            }
            Command::Unload { model, version } if model == expected => {
                let release = self.release(model, version);
                let other_version_held = self.load.models.iter().any(|name| {
                    Release::parse(name).is_some_and(|held| {
                        held.model == release.model && held.version != release.version
                    })
                });
                Some(Step::Unload {
                    release,
                    closes: !other_version_held,
                })
            }
            Command::LoadAdapter {
                model,
                adapter,
                version,
            } if model == expected => Some(Step::LoadAdapter(Release {
                model: self.state.adapters().name(adapter).to_owned(),
                version,
            })),
            Command::UnloadAdapter { model, adapter } if model == expected => {
                let name = self.state.adapters().name(adapter);
                let held = self
                    .load
                    .adapters
                    .iter()
                    .filter_map(|held| Release::parse(held));
                held.filter(|held| held.model == name)
                    .map(Step::DropAdapter)
                    .next()
            }
            _ => None,
        }
    }

    /// Returns the order of a step, lowest first: loads, then unloads that free
    /// memory while another version serves, then unloads that interrupt service.
    fn priority(&self, step: &Step) -> u8 {
        match step {
            Step::Load(_) | Step::LoadAdapter(_) => 0,
            Step::DropAdapter(_) | Step::Unload { closes: false, .. } => 1,
            Step::Unload { release, .. } => {
                let served = self.state.models().key(&release.model);
                let served = served.and_then(|model| self.state.serving(self.own, model));
                2 + u8::from(served.is_some())
            }
        }
    }

    fn release(&self, model: key::Model, version: u32) -> Release {
        Release {
            model: self.state.models().name(model).to_owned(),
            version,
        }
    }

    /// Returns the version of a model that is to be served, or just the model's
    /// name if none is.
    fn desired_release(&self, model: key::Model) -> String {
        match self.state.serving(self.own, model) {
            Some(version) => self.release(model, version).to_string(),
            None => self.state.models().name(model).to_owned(),
        }
    }

    /// Describes the reason of a stall. Names the members that do not answer,
    /// unless the reason cannot depend on them.
    fn stall_reason(&self, reason: Reason, members: &[key::Upstream]) -> String {
        let mut text = match reason {
            Reason::StoreRefused => self.store_reason.to_owned(),
            other => other.to_string(),
        };
        let unreachable = members.iter().filter(|key| {
            let report = self.reports.get(**key);
            report.is_none_or(|report| !report.live) && self.state.upstreams().get(**key).is_some()
        });
        let unreachable: Vec<_> = unreachable
            .map(|key| self.state.upstreams().name(*key))
            .collect();
        if !unreachable.is_empty() && !matches!(reason, Reason::StoreRefused | Reason::Room) {
            text = format!("{text} unreachable={}", unreachable.join(","));
        }
        text
    }
}

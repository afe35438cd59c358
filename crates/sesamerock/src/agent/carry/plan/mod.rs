//! Chooses this agent's next step from the plans of its models.

use std::collections::BTreeSet;

use sesamerock_base::key;
use sesamerock_base::time::Moment;
use sesamerock_client::engine::Load;
use sesamerock_note::fold::State;
use sesamerock_note::rollout::{self, Command, Input, Plan, Reason, cohort};
use sesamerock_wire::relay::Stall;

use super::handle::Release;

/// What this agent does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Fetch a version and warm it up.
    Load(Release),
    /// Give a version up, and refuse calls for the model if nothing else
    /// serves it here.
    Unload { release: Release, closes: bool },
    /// Load an adapter.
    LoadAdapter(Release),
    /// Drop an adapter.
    DropAdapter(Release),
}

/// The next step, and what waits.
#[derive(Debug, Default)]
pub(super) struct Decision {
    pub(super) step: Option<Step>,
    pub(super) stalls: Vec<Stall>,
}

/// Returns the models that an upstream is to serve or holds.
pub(super) fn models(state: &State, me: key::Upstream, load: &Load) -> BTreeSet<key::Model> {
    let entry = state.upstreams().get(me);
    let wanted = entry.map_or(&[][..], |entry| &entry.models);
    let wanted = wanted.iter().map(|served| served.model);
    let held = load.models.iter().chain(&load.loading).filter_map(|name| {
        let release = Release::parse(name)?;
        state.models().key(&release.model)
    });
    wanted.chain(held).collect()
}

/// Returns the members of the cohorts of some models.
pub(super) fn members(
    state: &State,
    me: key::Upstream,
    models: &BTreeSet<key::Model>,
) -> Vec<(key::Model, Vec<key::Upstream>)> {
    let models = models.iter();
    models
        .map(|model| {
            (
                *model,
                cohort::members(state, *model, me, cohort::MAX_UNITS),
            )
        })
        .collect()
}

/// Returns whether the engine holds what the state wants and nothing else.
pub(super) fn settled(state: &State, me: key::Upstream, load: &Load) -> bool {
    let Some(entry) = state.upstreams().get(me) else {
        return load.models.is_empty() && load.loading.is_empty();
    };
    let wanted = entry.models.iter().filter_map(|served| {
        let version = state.serving(me, served.model)?;
        Some(Release {
            model: state.models().name(served.model).to_owned(),
            version,
        })
    });
    let wanted: BTreeSet<_> = wanted.map(|release| release.to_string()).collect();
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
    // Adapters of which the state has never heard are left alone.
    let known = |name: &&String| {
        Release::parse(name).is_some_and(|held| state.adapters().key(&held.model).is_some())
    };
    let loaded: BTreeSet<_> = load.adapters.iter().filter(known).cloned().collect();
    load.loading.is_empty() && wanted == held && adapters == loaded
}

/// What a decision is made from.
pub(super) struct Facts<'a> {
    pub(super) state: &'a State,
    pub(super) me: key::Upstream,
    pub(super) load: &'a Load,
    pub(super) cohorts: &'a [(key::Model, Vec<key::Upstream>)],
    pub(super) reports: &'a rollout::Reports,
    pub(super) settings: rollout::Settings,
    pub(super) now: Moment,
    pub(super) store_refused_until: Option<Moment>,
    pub(super) store_reason: &'static str,
}

/// Decides what to do next.
pub(super) fn decide(facts: &Facts<'_>) -> Decision {
    let input = Input {
        state: facts.state,
        reports: facts.reports,
        settings: facts.settings,
        now: facts.now,
        store_refused_until: facts.store_refused_until,
    };
    let mut decision = Decision::default();
    let mut steps = Vec::new();
    for (model, members) in facts.cohorts {
        let plan = Plan::among(&input, members);
        let mine = plan.commands(facts.me);
        steps.extend(mine.filter_map(|command| facts.step(*model, command)));
        let stalls = plan.stalls.iter();
        let stalls = stalls.filter(|stall| stall.upstream == facts.me && stall.model == *model);
        decision.stalls.extend(stalls.map(|stall| Stall {
            model: facts.wanted(*model),
            reason: facts.reason(stall.reason, members),
        }));
    }
    steps.sort_by_key(|step| facts.rank(step));
    decision.step = steps.into_iter().next();
    decision
}

impl Facts<'_> {
    /// Returns a command about a model as a step of this agent.
    fn step(&self, of: key::Model, command: Command) -> Option<Step> {
        match command {
            Command::Load { model, version } if model == of => {
                Some(Step::Load(self.release(model, version)))
            }
            Command::Unload { model, version } if model == of => {
                let release = self.release(model, version);
                let other = self.load.models.iter().any(|name| {
                    Release::parse(name).is_some_and(|held| {
                        held.model == release.model && held.version != release.version
                    })
                });
                Some(Step::Unload {
                    release,
                    closes: !other,
                })
            }
            Command::LoadAdapter {
                model,
                adapter,
                version,
            } if model == of => Some(Step::LoadAdapter(Release {
                model: self.state.adapters().name(adapter).to_owned(),
                version,
            })),
            Command::UnloadAdapter { model, adapter } if model == of => {
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

    /// Orders steps: what brings something first, then what frees room without
    /// loss, then what interrupts service.
    fn rank(&self, step: &Step) -> u8 {
        match step {
            Step::Load(_) | Step::LoadAdapter(_) => 0,
            Step::DropAdapter(_) | Step::Unload { closes: false, .. } => 1,
            Step::Unload { release, .. } => {
                let served = self.state.models().key(&release.model);
                let served = served.and_then(|model| self.state.serving(self.me, model));
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

    /// Returns the version that is to be served, or the model where none is.
    fn wanted(&self, model: key::Model) -> String {
        match self.state.serving(self.me, model) {
            Some(version) => self.release(model, version).to_string(),
            None => self.state.models().name(model).to_owned(),
        }
    }

    /// States a reason, with the members that do not answer where they may be
    /// what it waits for.
    fn reason(&self, reason: Reason, members: &[key::Upstream]) -> String {
        let mut text = match reason {
            Reason::StoreRefused => self.store_reason.to_owned(),
            other => other.to_string(),
        };
        let silent = members.iter().filter(|key| {
            let report = self.reports.get(**key);
            report.is_none_or(|report| !report.live) && self.state.upstreams().get(**key).is_some()
        });
        let silent: Vec<_> = silent
            .map(|key| self.state.upstreams().name(*key))
            .collect();
        if !silent.is_empty() && !matches!(reason, Reason::StoreRefused | Reason::Room) {
            text = format!("{text} unreachable={}", silent.join(","));
        }
        text
    }
}

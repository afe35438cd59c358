//! Applies the release notes to this agent's engine: loads and unloads model
//! versions and adapters.
//!
//! The agent computes [`sesamerock_note::rollout::Plan`] for the cohort of each
//! of its models from what the other agents of the cohort hold, and sends its
//! engine one command at a time. A new version is loaded and warm before an old
//! one is unloaded, a bounded share of a cohort changes at once, and the weight
//! store limits the rate of loads. An agent with nothing to do polls no other
//! agent. See `docs/notes/rollout.md`.

mod cohort_agents;
mod handle;
mod pacer;
mod plan;

use std::time::Duration;

use sesamerock_base::key;
use sesamerock_base::time::Moment;
use sesamerock_client::engine::{Command, Engine, FencedCommand, Load};
use sesamerock_client::http::client::{Client, ServiceClient};
use sesamerock_client::weights::{Remote, Store};
use sesamerock_note::fold::State;
use sesamerock_wire::relay::Stall;

use super::Context;
use super::probe::Observation;
use crate::clock;
use crate::control::view::View;
use crate::settings::Kind;
use cohort_agents::CohortAgents;
use handle::Release;
use pacer::TransferPacer;
use plan::{Decision, DecisionInput, Step};

pub(super) use handle::Handle;

/// Pause after a command that failed or that the engine refused.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);
/// Shortest time between two decisions while the engine differs from the desired
/// state.
const MIN_DECISION_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the rollout until the task is dropped. Returns at once for a plain
/// service, which loads nothing.
pub(super) async fn run<E: Engine>(context: &Context<E>) {
    if context.settings.upstream.kind == Kind::Service {
        return;
    }
    let platform = format!("http://{}", context.settings.node.platform);
    let store = Remote(ServiceClient::new(Client::default(), platform));
    let mut task = RolloutTask {
        context,
        cohort_agents: CohortAgents::default(),
        pacer: TransferPacer::new(store),
        decided_at: Moment::default(),
        last_logged: String::new(),
        command_stall: None,
    };
    let mut observations = context.probe.subscribe();
    while observations.changed().await.is_ok() {
        let observation = observations.borrow_and_update().1.clone();
        let Observation::Alive(load) = observation else {
            continue;
        };
        let view = context.control.view().clone();
        if view.ready() {
            task.advance(&view, &load).await;
        }
    }
}

/// Computes and executes the plan of one upstream.
struct RolloutTask<'a, E, S> {
    context: &'a Context<E>,
    cohort_agents: CohortAgents,
    pacer: TransferPacer<S>,
    /// When the last decision was made.
    decided_at: Moment,
    /// The last decision as logged, so that each is logged once.
    last_logged: String,
    /// The last command about a model that failed, until a command succeeds.
    command_stall: Option<Stall>,
}

impl<E: Engine, S: Store> RolloutTask<'_, E, S> {
    /// Takes the next step, which is at most one command.
    async fn advance(&mut self, view: &View, load: &Load) {
        let name = &self.context.settings.upstream.name;
        let state = &view.state;
        let own = state.upstreams().key(name);
        let Some(own) = own.filter(|own| !plan::is_converged(state, *own, load)) else {
            return self.reset(view);
        };
        let now = clock::now();
        if now.since(self.decided_at) < MIN_DECISION_INTERVAL {
            return;
        }
        self.decided_at = now;
        let models = plan::desired_or_held_models(state, own, load);
        let cohorts = plan::cohort_members(state, own, &models);
        let mut members: Vec<_> = cohorts
            .iter()
            .flat_map(|(_, members)| members)
            .copied()
            .collect();
        members.sort_unstable();
        members.dedup();
        members.retain(|member| *member != own);
        self.cohort_agents.poll(state, &members).await;
        let decision = self.decide(state, own, load, &members, &cohorts);
        self.log(&decision);
        self.execute(view, load, decision).await;
    }

    /// Clears the state of a rollout, when the engine holds the desired state or
    /// the upstream is not in the control state.
    fn reset(&mut self, view: &View) {
        self.cohort_agents.clear();
        self.pacer.clear_grant();
        self.last_logged.clear();
        self.command_stall = None;
        self.context
            .rollout
            .publish(view.version(), Vec::new(), false);
    }

    fn decide(
        &self,
        state: &State,
        own: key::Upstream,
        load: &Load,
        members: &[key::Upstream],
        cohorts: &[(key::Model, Vec<key::Upstream>)],
    ) -> Decision {
        let mut reports = self.cohort_agents.reports(state, members);
        // A version that is being unloaded counts as held here, so that each
        // decision either continues the unload or cancels it.
        let held = Handle::default().held_reply("", &Observation::Alive(load.clone()));
        let mut own_report = cohort_agents::report(state, own, &held, true);
        own_report.version = state.version();
        reports.set(own, own_report);
        let mut decision = plan::decide(&DecisionInput {
            state,
            own,
            load,
            cohorts,
            reports: &reports,
            settings: self.context.settings.rollout,
            now: clock::now(),
            store_refused_until: self.pacer.refused_until(),
            store_reason: self.pacer.reason(),
        });
        if decision.step.is_none() && decision.stalls.is_empty() && load.loading.is_empty() {
            decision.step = unload_unknown_model(state, load);
        }
        decision
    }

    /// Logs a decision that differs from the last one.
    fn log(&mut self, decision: &Decision) {
        let held_back: Vec<_> = decision
            .stalls
            .iter()
            .map(|stall| format!("{}:{}", stall.model, stall.reason))
            .collect();
        let text = format!("step={:?} held_back={held_back:?}", decision.step);
        if text != self.last_logged {
            log::info!(
                "event=rollout_decision upstream={} {text}",
                self.context.settings.upstream.name
            );
            self.last_logged = text;
        }
    }

    async fn execute(&mut self, view: &View, load: &Load, decision: Decision) {
        let rollout = &self.context.rollout;
        let unloads = matches!(decision.step, Some(Step::Unload { .. }));
        let calls_ended = match &decision.step {
            Some(Step::Unload { release, closes }) => rollout.drain_for_unload(release, *closes),
            _ => true,
        };
        let mut stalls = decision.stalls;
        stalls.extend(self.command_stall.clone());
        rollout.publish(view.version(), stalls, unloads);
        let name = &self.context.settings.upstream.name;
        let command = match decision.step {
            Some(Step::Load(release)) if self.pacer.reserve(name, &release).await => {
                self.context.gate.reset_for_model_load();
                Command::LoadModel {
                    model: release.model,
                    version: u64::from(release.version),
                }
            }
            Some(Step::Unload { release, .. }) if calls_ended => Command::DropModel {
                model: release.model,
                version: u64::from(release.version),
            },
            Some(Step::LoadAdapter(release)) => Command::LoadAdapter {
                adapter: release.to_string(),
            },
            Some(Step::DropAdapter(release)) => Command::DropAdapter {
                adapter: release.to_string(),
            },
            _ => return,
        };
        self.send_command(view, load, command).await;
    }

    async fn send_command(&mut self, view: &View, load: &Load, command: Command) {
        let context = self.context;
        let name = &context.settings.upstream.name;
        let order = FencedCommand {
            // The engine may have seen a higher fencing token, that of its group.
            fence: view.version().0.max(load.fence),
            sender: context.settings.node.name.clone(),
            command,
        };
        match context.engine.command(&order).await {
            Ok(()) => {
                log::info!(
                    "event=command_given upstream={name} fence={} command={:?}",
                    order.fence,
                    order.command
                );
                self.command_stall = None;
                // A later load of the same version needs another transfer.
                self.pacer.clear_grant();
            }
            Err(error) => {
                log::warn!(
                    "event=command_failed upstream={name} fence={} command={:?} error={error}",
                    order.fence,
                    order.command
                );
                self.command_stall = command_stall(&order.command);
                tokio::time::sleep(REFUSAL_PAUSE).await;
            }
        }
        context.probe.request_read();
    }
}

/// Returns the stall to report after a failed command, if the command loads or
/// unloads a model.
fn command_stall(command: &Command) -> Option<Stall> {
    let (Command::LoadModel { model, version } | Command::DropModel { model, version }) = command
    else {
        return None;
    };
    Some(Stall {
        model: format!("{model}@{version}"),
        reason: "command_failed".to_owned(),
    })
}

/// Returns the step that unloads a model that is not in the control state, and
/// that no plan covers for this reason.
fn unload_unknown_model(state: &State, load: &Load) -> Option<Step> {
    let held = load.models.iter().filter_map(|name| Release::parse(name));
    let mut unknown = held.filter(|held| state.models().key(&held.model).is_none());
    unknown.next().map(|release| Step::Unload {
        release,
        closes: true,
    })
}

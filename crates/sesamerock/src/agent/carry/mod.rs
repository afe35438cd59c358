//! Carries the release notes out on this agent's engine.
//!
//! The agent computes [`sesamerock_note::rollout::Plan`] for the cohort of each
//! of its models from what the other agents of the cohort hold, and gives one
//! command at a time. What is new is loaded and warm before what is old is given
//! up, a bounded share of a cohort changes at once, and loads are paced by the
//! weight store. An agent with nothing to do asks nobody. See
//! `docs/notes/rollout.md`.

mod handle;
mod neighbours;
mod plan;
mod store;

use std::time::Duration;

use sesamerock_base::key;
use sesamerock_base::time::Moment;
use sesamerock_client::engine::{Command, Engine, FencedCommand, Load};
use sesamerock_client::http::client::{Client, ServiceClient};
use sesamerock_client::weights::{Remote, Store};
use sesamerock_note::fold::State;
use sesamerock_wire::relay::Stall;

use super::Context;
use super::probe::Sight;
use crate::clock;
use crate::control::view::View;
use crate::settings::Kind;
use handle::Release;
use neighbours::Neighbours;
use plan::{Decision, Facts, Step};
use store::Pacer;

pub(super) use handle::Handle;

/// Pause after a command that the engine refused.
const PAUSE: Duration = Duration::from_secs(1);
/// Shortest time between two decisions while something is open.
const INTERVAL: Duration = Duration::from_millis(200);

/// Gives commands until the task is dropped.
pub(super) async fn run<E: Engine>(context: &Context<E>) {
    if context.settings.upstream.kind == Kind::Service {
        return;
    }
    let platform = format!("http://{}", context.settings.node.platform);
    let store = Remote(ServiceClient::new(Client::default(), platform));
    let mut carrier = Carrier {
        context,
        neighbours: Neighbours::default(),
        pacer: Pacer::new(store),
        decided: Moment::default(),
        last: String::new(),
        refusal: None,
    };
    let mut sight = context.probe.subscribe();
    while sight.changed().await.is_ok() {
        let seen = sight.borrow_and_update().1.clone();
        let Sight::Alive(load) = seen else { continue };
        let view = context.control.view().clone();
        if view.ready() {
            carrier.turn(&view, &load).await;
        }
    }
}

/// Carries out the plan of one upstream.
struct Carrier<'a, E, S> {
    context: &'a Context<E>,
    neighbours: Neighbours,
    pacer: Pacer<S>,
    /// When the last decision was made.
    decided: Moment,
    /// The last decision as logged, so that each is logged once.
    last: String,
    /// Why the engine last refused a command.
    refusal: Option<Stall>,
}

impl<E: Engine, S: Store> Carrier<'_, E, S> {
    /// Does what is to be done now, at most one command.
    async fn turn(&mut self, view: &View, load: &Load) {
        let name = &self.context.settings.upstream.name;
        let state = &view.state;
        let known = state.upstreams().key(name);
        let Some(me) = known.filter(|me| !plan::settled(state, *me, load)) else {
            return self.rest(view);
        };
        let now = clock::now();
        if now.since(self.decided) < INTERVAL {
            return;
        }
        self.decided = now;
        let models = plan::models(state, me, load);
        let cohorts = plan::members(state, me, &models);
        let mut members: Vec<_> = cohorts
            .iter()
            .flat_map(|(_, members)| members)
            .copied()
            .collect();
        members.sort_unstable();
        members.dedup();
        members.retain(|member| *member != me);
        self.neighbours.ask(state, &members).await;
        let decision = self.decide(state, me, load, &members, &cohorts);
        self.log(&decision);
        self.carry_out(view, load, decision).await;
    }

    /// Has nothing to do, and asks nobody.
    fn rest(&mut self, view: &View) {
        self.neighbours.clear();
        self.pacer.done();
        self.last.clear();
        self.refusal = None;
        self.context
            .carry
            .acts_on(view.version(), Vec::new(), false);
    }

    fn decide(
        &self,
        state: &State,
        me: key::Upstream,
        load: &Load,
        members: &[key::Upstream],
        cohorts: &[(key::Model, Vec<key::Upstream>)],
    ) -> Decision {
        let mut reports = self.neighbours.reports(state, members);
        // What is being given up counts as held here, so that each decision
        // either goes on with it or takes it back.
        let held = Handle::default().held("", &Sight::Alive(load.clone()));
        let mut mine = neighbours::report(state, me, &held, true);
        mine.version = state.version();
        reports.set(me, mine);
        let mut decision = plan::decide(&Facts {
            state,
            me,
            load,
            cohorts,
            reports: &reports,
            settings: self.context.settings.rollout,
            now: clock::now(),
            store_refused_until: self.pacer.refused_until(),
            store_reason: self.pacer.reason(),
        });
        if decision.step.is_none() && decision.stalls.is_empty() && load.loading.is_empty() {
            decision.step = unknown(state, load);
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
        if text != self.last {
            log::info!(
                "event=rollout_decision upstream={} {text}",
                self.context.settings.upstream.name
            );
            self.last = text;
        }
    }

    async fn carry_out(&mut self, view: &View, load: &Load, decision: Decision) {
        let carry = &self.context.carry;
        let gives_up = matches!(decision.step, Some(Step::Unload { .. }));
        let drained = match &decision.step {
            Some(Step::Unload { release, closes }) => carry.give_up(release, *closes),
            _ => true,
        };
        let mut stalls = decision.stalls;
        stalls.extend(self.refusal.clone());
        carry.acts_on(view.version(), stalls, gives_up);
        let name = &self.context.settings.upstream.name;
        let command = match decision.step {
            Some(Step::Load(release)) if self.pacer.reserve(name, &release).await => {
                self.context.gate.loads();
                Command::LoadModel {
                    model: release.model,
                    version: u64::from(release.version),
                }
            }
            Some(Step::Unload { release, .. }) if drained => Command::DropModel {
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
        self.give(view, load, command).await;
    }

    async fn give(&mut self, view: &View, load: &Load, command: Command) {
        let context = self.context;
        let name = &context.settings.upstream.name;
        let order = FencedCommand {
            // The engine may hold a token of its group, which is higher.
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
                self.refusal = None;
                // A later load of the same version is another transfer.
                self.pacer.done();
            }
            Err(error) => {
                log::warn!(
                    "event=command_failed upstream={name} fence={} command={:?} error={error}",
                    order.fence,
                    order.command
                );
                self.refusal = refused(&order.command);
                tokio::time::sleep(PAUSE).await;
            }
        }
        context.probe.wake();
    }
}

/// Returns what waits since the engine refused a command about a model.
fn refused(command: &Command) -> Option<Stall> {
    let (Command::LoadModel { model, version } | Command::DropModel { model, version }) = command
    else {
        return None;
    };
    Some(Stall {
        model: format!("{model}@{version}"),
        reason: "command_failed".to_owned(),
    })
}

/// Returns the step that gives up a model of which the state has never heard;
/// no plan covers it.
fn unknown(state: &State, load: &Load) -> Option<Step> {
    let held = load.models.iter().filter_map(|name| Release::parse(name));
    let mut unknown = held.filter(|held| state.models().key(&held.model).is_none());
    unknown.next().map(|release| Step::Unload {
        release,
        closes: true,
    })
}

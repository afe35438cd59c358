//! Polls the other agents of a cohort for the models that their engines hold.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream;
use sesamerock_base::key;
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;
use sesamerock_note::fold::State;
use sesamerock_note::rollout::{Loaded, Phase, Report, Reports};
use sesamerock_wire::relay::HeldReply;

use super::handle::Release;
use crate::clock;
use crate::entry::relay::ConnectionPool;

/// Time between two rounds of polling. A load takes at least seconds, so this
/// adds little delay before the next agent of the cohort can start.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Agents polled in one round, which bounds the traffic of a node: in a cohort of
/// eight agents that all poll, the traffic of a node is 3.1 KB/s.
const MAX_POLLED: usize = 8;
/// Time for one request and its answer.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Rounds without an answer after which an agent counts as unreachable.
const UNREACHABLE_ROUNDS: u32 = 3;

/// The last answer of one agent.
#[derive(Clone, Debug, Default)]
struct AgentState {
    polled_at: Moment,
    answered_at: Option<Moment>,
    held: HeldReply,
}

/// The other agents of this agent's cohorts, polled during a rollout.
#[derive(Debug, Default)]
pub(super) struct CohortAgents {
    pool: ConnectionPool,
    known: HashMap<String, AgentState>,
    last_poll: Moment,
}

impl CohortAgents {
    /// Discards all answers, so that answers from before a pause are not used
    /// after it.
    pub(super) fn clear(&mut self) {
        self.known.clear();
        self.last_poll = Moment::default();
    }

    /// Polls the agents polled longest ago, if a round is due, and returns whether
    /// it was.
    pub(super) async fn poll(&mut self, state: &State, members: &[key::Upstream]) -> bool {
        let now = clock::now();
        if self.last_poll != Moment::default() && now.since(self.last_poll) < POLL_INTERVAL {
            return false;
        }
        self.last_poll = now;
        let mut targets: Vec<_> = members
            .iter()
            .filter_map(|key| {
                let agent = state.upstreams().get(*key)?.agent;
                let name = state.upstreams().name(*key).to_owned();
                let polled_at = self.known.get(&name).map(|known| known.polled_at);
                Some((polled_at.unwrap_or_default(), name, agent))
            })
            .collect();
        targets.sort();
        targets.truncate(MAX_POLLED);
        let replies = self.request_held(targets).await;
        let now = clock::now();
        for (name, reply) in replies {
            let known = self.known.entry(name.clone()).or_default();
            known.polled_at = now;
            if let Some(held) = reply.filter(|held| held.upstream == name) {
                known.answered_at = Some(now);
                known.held = held;
            }
        }
        true
    }

    async fn request_held(
        &self,
        targets: Vec<(Moment, String, SocketAddr)>,
    ) -> Vec<(String, Option<HeldReply>)> {
        let requests = targets.into_iter().map(|(_, name, agent)| async move {
            let reply =
                tokio::time::timeout(REPLY_TIMEOUT, self.pool.held_models(agent, &name)).await;
            (name, reply.ok().and_then(Result::ok))
        });
        stream::iter(requests)
            .buffer_unordered(MAX_POLLED)
            .collect()
            .await
    }

    /// Returns reports of the `members` that have answered since the last
    /// [`CohortAgents::clear`].
    pub(super) fn reports(&self, state: &State, members: &[key::Upstream]) -> Reports {
        let rounds = members.len().div_ceil(MAX_POLLED) as u32;
        let max_age = POLL_INTERVAL * rounds * UNREACHABLE_ROUNDS;
        let now = clock::now();
        let mut reports = Reports::default();
        for key in members {
            let Some(known) = self.known.get(state.upstreams().name(*key)) else {
                continue;
            };
            let live = known
                .answered_at
                .is_some_and(|answered| now.since(answered) < max_age);
            if known.answered_at.is_some() {
                reports.set(*key, report(state, *key, &known.held, live));
            }
        }
        reports
    }
}

/// Converts an agent's answer to a report with the keys of this node's state.
/// Models and adapters that this node does not know are left out.
pub(super) fn report(state: &State, key: key::Upstream, held: &HeldReply, live: bool) -> Report {
    let warm = held.warm.iter().map(|name| (name, Phase::Warm));
    let loading = held.loading.iter().map(|name| (name, Phase::Loading));
    let loaded = warm.chain(loading).filter_map(|(name, phase)| {
        let release = Release::parse(name)?;
        let model = state.models().key(&release.model)?;
        Some(Loaded {
            model,
            version: release.version,
            phase,
            adapters: adapters(state, model, held),
        })
    });
    Report {
        version: Version(held.version),
        loaded: loaded.collect(),
        // Engines have no command to change the role while they run, so the role
        // of the control state applies.
        role: state
            .upstreams()
            .get(key)
            .map_or_else(Default::default, |upstream| upstream.role),
        room: held.room as usize,
        live,
    }
}

fn adapters(
    state: &State,
    model: key::Model,
    held: &HeldReply,
) -> Vec<(sesamerock_note::key::Adapter, u32)> {
    let names = held.adapters.iter();
    names
        .filter_map(|name| {
            let release = Release::parse(name)?;
            let (key, entry) = state.adapters().find(&release.model)?;
            (entry.model == model).then_some((key, release.version))
        })
        .collect()
}

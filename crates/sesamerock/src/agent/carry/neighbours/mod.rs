//! What the other agents of a cohort hold, asked of them directly.

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

/// Time between two rounds of questions. A load takes seconds at least, so that
/// a turn is passed on soon enough.
const ROUND: Duration = Duration::from_secs(1);
/// Questions in one round, which bounds the bytes of a node: a cohort of
/// eight that all ask takes 3.1 KB/s a node, measured by `M rollout`.
const ASKED: usize = 8;
/// Time for an answer.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Rounds without an answer after which an agent counts as unreachable.
const SILENT_ROUNDS: u32 = 3;

#[derive(Clone, Debug, Default)]
struct Neighbour {
    asked: Moment,
    heard: Option<Moment>,
    held: HeldReply,
}

/// The agents that this one asks while it has something to roll out.
#[derive(Debug, Default)]
pub(super) struct Neighbours {
    pool: ConnectionPool,
    known: HashMap<String, Neighbour>,
    round: Moment,
}

impl Neighbours {
    /// Forgets all; what was heard before a pause is not used after it.
    pub(super) fn clear(&mut self) {
        self.known.clear();
        self.round = Moment::default();
    }

    /// Asks some of the agents if a round is due, and returns whether it was.
    pub(super) async fn ask(&mut self, state: &State, members: &[key::Upstream]) -> bool {
        let now = clock::now();
        if self.round != Moment::default() && now.since(self.round) < ROUND {
            return false;
        }
        self.round = now;
        let mut due: Vec<_> = members
            .iter()
            .filter_map(|key| {
                let agent = state.upstreams().get(*key)?.agent;
                let name = state.upstreams().name(*key).to_owned();
                let asked = self.known.get(&name).map(|known| known.asked);
                Some((asked.unwrap_or_default(), name, agent))
            })
            .collect();
        due.sort();
        due.truncate(ASKED);
        let replies = self.replies(due).await;
        let now = clock::now();
        for (name, reply) in replies {
            let known = self.known.entry(name.clone()).or_default();
            known.asked = now;
            if let Some(held) = reply.filter(|held| held.upstream == name) {
                known.heard = Some(now);
                known.held = held;
            }
        }
        true
    }

    async fn replies(
        &self,
        due: Vec<(Moment, String, SocketAddr)>,
    ) -> Vec<(String, Option<HeldReply>)> {
        let asked = due.into_iter().map(|(_, name, agent)| async move {
            let reply = tokio::time::timeout(TIMEOUT, self.pool.held_models(agent, &name)).await;
            (name, reply.ok().and_then(Result::ok))
        });
        stream::iter(asked).buffer_unordered(ASKED).collect().await
    }

    /// Returns what is known of some agents.
    pub(super) fn reports(&self, state: &State, members: &[key::Upstream]) -> Reports {
        let rounds = members.len().div_ceil(ASKED) as u32;
        let silent = ROUND * rounds * SILENT_ROUNDS;
        let now = clock::now();
        let mut reports = Reports::default();
        for key in members {
            let Some(known) = self.known.get(state.upstreams().name(*key)) else {
                continue;
            };
            let live = known.heard.is_some_and(|heard| now.since(heard) < silent);
            if known.heard.is_some() {
                reports.set(*key, report(state, *key, &known.held, live));
            }
        }
        reports
    }
}

/// Turns what an agent said into a report on the keys of this node.
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
        // Engines have no command to change the role while they run.
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

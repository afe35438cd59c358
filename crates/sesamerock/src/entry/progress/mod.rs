//! Progress of rollouts, queried from the agents at an operator's request.
//!
//! Agents do not report progress otherwise, so it causes no traffic between
//! requests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream;
use sesamerock_note::fold::State;
use sesamerock_note::note::Kind;
use sesamerock_wire::relay::HeldReply;

use super::relay::ConnectionPool;

/// Maximum number of agents queried concurrently.
const CONCURRENT_QUERIES: usize = 64;
/// Time within which an agent must answer.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of upstreams listed by name for each model and reason; the
/// others are only counted.
const MAX_NAMES: usize = 4;

/// An upstream and what its agent reports that the engine holds.
struct UpstreamHoldings {
    name: String,
    /// Models that the upstream should hold, as `name@version`.
    desired: BTreeSet<String>,
    /// `None` if the agent did not answer in time.
    held: Option<HeldReply>,
}

/// Rollout progress of one version of a model, as numbers of upstreams.
#[derive(Debug, Default)]
struct VersionProgress {
    desired: usize,
    ready: usize,
    loading: usize,
    /// Names of the upstreams whose load is stalled, by reason.
    stalls: BTreeMap<String, Vec<String>>,
}

/// Returns a line for each version that is not ready on all its upstreams, and
/// one for each version that still has to be unloaded somewhere.
pub(super) async fn lines(state: &State, pool: &ConnectionPool) -> Vec<String> {
    let queried = query_agents(state, pool).await;
    let mut by_version: BTreeMap<&str, VersionProgress> = BTreeMap::new();
    let mut to_unload: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for upstream in &queried {
        for release in &upstream.desired {
            by_version
                .entry(release)
                .or_default()
                .add(release, upstream);
        }
        let held = upstream.held.iter();
        let held = held.flat_map(|held| held.warm.iter().chain(&held.leaving));
        for release in held.filter(|release| !upstream.desired.contains(*release)) {
            to_unload.entry(release).or_default().push(&upstream.name);
        }
    }
    let incomplete = by_version
        .iter()
        .filter(|(_, progress)| progress.ready < progress.desired);
    let incomplete = incomplete.map(|(release, progress)| progress.line(release));
    let unload_lines = to_unload
        .iter()
        .map(|(release, names)| format!("{release} to_unload={}", join_names(names)));
    incomplete.chain(unload_lines).collect()
}

async fn query_agents(state: &State, pool: &ConnectionPool) -> Vec<UpstreamHoldings> {
    let engines = state.upstreams().iter();
    let engines = engines.filter(|(_, entry)| entry.kind == Kind::Engine);
    let engines: Vec<_> = engines
        .map(|(key, entry)| {
            let desired = entry.models.iter().filter_map(|served| {
                let version = state.serving(key, served.model)?;
                Some(format!("{}@{version}", state.models().name(served.model)))
            });
            let name = state.upstreams().name(key).to_owned();
            (name, entry.agent, desired.collect())
        })
        .collect();
    let queried = engines
        .into_iter()
        .map(|(name, agent, desired)| async move {
            let held = query_agent(pool, agent, &name).await;
            UpstreamHoldings {
                name,
                desired,
                held,
            }
        });
    let queried = stream::iter(queried).buffer_unordered(CONCURRENT_QUERIES);
    let mut queried: Vec<_> = queried.collect().await;
    queried.sort_by(|one, other| one.name.cmp(&other.name));
    queried
}

async fn query_agent(pool: &ConnectionPool, agent: SocketAddr, name: &str) -> Option<HeldReply> {
    let reply = tokio::time::timeout(QUERY_TIMEOUT, pool.held_models(agent, name)).await;
    let held = reply.ok()?.ok()?;
    // An agent whose engine does not answer leaves the upstream's name empty.
    (held.upstream == name).then_some(held)
}

impl VersionProgress {
    fn add(&mut self, release: &str, upstream: &UpstreamHoldings) {
        self.desired += 1;
        let Some(held) = &upstream.held else {
            return self.add_stall("unreachable", &upstream.name);
        };
        if held.warm.iter().any(|other| other == release) {
            self.ready += 1;
        } else if held.loading.iter().any(|other| other == release) {
            self.loading += 1;
        }
        for stall in held.stalls.iter().filter(|stall| stall.model == release) {
            self.add_stall(&stall.reason, &upstream.name);
        }
    }

    fn add_stall(&mut self, reason: &str, upstream: &str) {
        let names = self.stalls.entry(reason.to_owned()).or_default();
        names.push(upstream.to_owned());
    }

    fn line(&self, release: &str) -> String {
        let mut parts = vec![format!(
            "{release} ready={}/{} loading={}",
            self.ready, self.desired, self.loading
        )];
        for (reason, names) in &self.stalls {
            let names: Vec<_> = names.iter().map(String::as_str).collect();
            parts.push(format!("wait=\"{reason}\" at={}", join_names(&names)));
        }
        parts.join(" ")
    }
}

/// Joins the first [`MAX_NAMES`] names with commas and appends `+N` for the
/// rest.
fn join_names(names: &[&str]) -> String {
    let first = names[..names.len().min(MAX_NAMES)].join(",");
    match names.len().saturating_sub(MAX_NAMES) {
        0 => first,
        more => format!("{first},+{more}"),
    }
}

//! Progress of rollouts, asked of the agents when an operator wants it.
//!
//! Nothing is sent for it otherwise, so that it costs no node anything while
//! nobody looks.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream;
use sesamerock_note::fold::State;
use sesamerock_note::note::Kind;
use sesamerock_wire::relay::HeldReply;

use super::relay::Pool;

/// Agents asked at once.
const ASKED_AT_ONCE: usize = 64;
/// Time for an agent to answer.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Upstreams named in the line of one model for each reason.
const NAMED: usize = 4;

/// An upstream and what its agent says, if it answered.
struct Asked {
    name: String,
    /// What it is to hold, as `name@version`.
    wanted: BTreeSet<String>,
    held: Option<HeldReply>,
}

/// How far one version of a model is.
#[derive(Debug, Default)]
struct Tally {
    wanted: usize,
    ready: usize,
    loading: usize,
    /// Upstreams that wait, by reason.
    waits: BTreeMap<String, Vec<String>>,
}

/// Returns a line for each version that is not carried out yet, and one for
/// each that is still held where it is not to be.
pub(super) async fn lines(state: &State, pool: &Pool) -> Vec<String> {
    let asked = ask(state, pool).await;
    let mut tallies: BTreeMap<&str, Tally> = BTreeMap::new();
    let mut leftovers: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for upstream in &asked {
        for release in &upstream.wanted {
            tallies.entry(release).or_default().count(release, upstream);
        }
        let held = upstream.held.iter();
        let held = held.flat_map(|held| held.warm.iter().chain(&held.leaving));
        for release in held.filter(|release| !upstream.wanted.contains(*release)) {
            leftovers.entry(release).or_default().push(&upstream.name);
        }
    }
    let open = tallies
        .iter()
        .filter(|(_, tally)| tally.ready < tally.wanted);
    let open = open.map(|(release, tally)| tally.line(release));
    let left = leftovers
        .iter()
        .map(|(release, names)| format!("{release} to_unload={}", cut(names)));
    open.chain(left).collect()
}

async fn ask(state: &State, pool: &Pool) -> Vec<Asked> {
    let engines = state.upstreams().iter();
    let engines = engines.filter(|(_, entry)| entry.kind == Kind::Engine);
    let engines: Vec<_> = engines
        .map(|(key, entry)| {
            let wanted = entry.models.iter().filter_map(|served| {
                let version = state.serving(key, served.model)?;
                Some(format!("{}@{version}", state.models().name(served.model)))
            });
            let name = state.upstreams().name(key).to_owned();
            (name, entry.agent, wanted.collect())
        })
        .collect();
    let asked = engines.into_iter().map(|(name, agent, wanted)| async move {
        let held = held(pool, agent, &name).await;
        Asked { name, wanted, held }
    });
    let asked = stream::iter(asked).buffer_unordered(ASKED_AT_ONCE);
    let mut asked: Vec<_> = asked.collect().await;
    asked.sort_by(|one, other| one.name.cmp(&other.name));
    asked
}

async fn held(pool: &Pool, agent: SocketAddr, name: &str) -> Option<HeldReply> {
    let reply = tokio::time::timeout(TIMEOUT, pool.held(agent, name)).await;
    let held = reply.ok()?.ok()?;
    // An agent whose engine does not answer names no upstream.
    (held.upstream == name).then_some(held)
}

impl Tally {
    fn count(&mut self, release: &str, upstream: &Asked) {
        self.wanted += 1;
        let Some(held) = &upstream.held else {
            return self.wait("unreachable", &upstream.name);
        };
        if held.warm.iter().any(|other| other == release) {
            self.ready += 1;
        } else if held.loading.iter().any(|other| other == release) {
            self.loading += 1;
        }
        for stall in held.stalls.iter().filter(|stall| stall.model == release) {
            self.wait(&stall.reason, &upstream.name);
        }
    }

    fn wait(&mut self, reason: &str, upstream: &str) {
        let names = self.waits.entry(reason.to_owned()).or_default();
        names.push(upstream.to_owned());
    }

    fn line(&self, release: &str) -> String {
        let mut parts = vec![format!(
            "{release} ready={}/{} loading={}",
            self.ready, self.wanted, self.loading
        )];
        for (reason, names) in &self.waits {
            let names: Vec<_> = names.iter().map(String::as_str).collect();
            parts.push(format!("wait=\"{reason}\" at={}", cut(&names)));
        }
        parts.join(" ")
    }
}

/// Joins names, and counts those beyond the first few.
fn cut(names: &[&str]) -> String {
    let first = names[..names.len().min(NAMED)].join(",");
    match names.len().saturating_sub(NAMED) {
        0 => first,
        more => format!("{first},+{more}"),
    }
}

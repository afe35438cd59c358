//! The ranks of this agent's group, as the control state names them.

use std::net::SocketAddr;

use sesamerock_note::fold::State;

/// A group with the addresses of its ranks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Ranks {
    /// Name of the group.
    pub(super) group: String,
    /// Rank of this agent.
    pub(super) own: u32,
    /// Relay of each rank's agent.
    pub(super) agents: Vec<SocketAddr>,
    /// Whether this agent's engine refuses low fencing tokens.
    pub(super) checks_fencing: bool,
}

impl Ranks {
    /// Returns the group of an upstream, or `None` if it is in none or if the
    /// group lacks a rank, so that it cannot step.
    pub(super) fn of(state: &State, upstream: &str) -> Option<Self> {
        let (_, entry) = state.upstreams().find(upstream)?;
        let rank = entry.rank?;
        let ranks = &state.groups().get(rank.group)?.ranks;
        let complete = (0..).zip(ranks).all(|(index, (rank, _))| index == *rank);
        let agents = ranks.iter().map(|(_, key)| {
            let upstream = state.upstreams().get(*key)?;
            Some(upstream.agent)
        });
        let agents: Vec<_> = agents.collect::<Option<_>>()?;
        complete.then(|| Self {
            group: state.groups().name(rank.group).to_owned(),
            own: rank.index,
            agents,
            checks_fencing: entry.checks_fencing,
        })
    }
}

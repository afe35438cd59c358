//! The ranks of this agent's group according to the control state.

use std::net::SocketAddr;

use sesamerock_note::fold::State;

/// A complete group with the addresses of its ranks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Ranks {
    /// Name of the group.
    pub(super) group: String,
    /// Rank of this agent.
    pub(super) own: u32,
    /// Relay address of each rank's agent, in rank order.
    pub(super) agents: Vec<SocketAddr>,
    /// Whether this agent's engine refuses commands with a fencing token lower
    /// than the highest it has seen.
    pub(super) checks_fencing: bool,
}

impl Ranks {
    /// Returns the group of an upstream, or `None` if the upstream is in no group
    /// or its group lacks a rank and so cannot step.
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

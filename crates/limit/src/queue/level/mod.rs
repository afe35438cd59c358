//! Per-workspace flows of one priority level.

use std::collections::{BTreeSet, HashMap, VecDeque};

use sesamerock_base::key::Workspace;

use super::CallId;

/// Queued calls of one workspace in one level.
#[derive(Clone, Debug, Default)]
pub(super) struct Flow {
    /// Calls with their sequence stamps. An element is stale if its call is no
    /// longer queued with the same stamp.
    pub calls: VecDeque<(CallId, u64)>,
    pub queued_calls: usize,
    pub tokens: u64,
    pub deficit: u64,
    /// Stamp of this flow's element in the round.
    pub stamp: u64,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Level {
    pub flows: HashMap<Workspace, Flow>,
    /// Backlogged workspaces in the order of service. An element is stale if
    /// its stamp differs from that of its workspace's flow.
    pub round: VecDeque<(Workspace, u64)>,
    /// Backlogged workspaces by queued tokens.
    pub backlog: BTreeSet<(u64, Workspace)>,
    pub tokens: u64,
}

impl Level {
    /// Returns the workspace to be served next, dropping stale elements.
    pub fn front(&mut self) -> Option<Workspace> {
        while let Some((workspace, stamp)) = self.round.front() {
            match self.flows.get(workspace) {
                Some(flow) if flow.stamp == *stamp => return Some(*workspace),
                _ => self.round.pop_front(),
            };
        }
        None
    }

    /// Drops stale elements of the round once they outnumber the others.
    pub fn compact(&mut self) {
        if self.round.len() > 2 * self.flows.len() + 8 {
            let flows = &self.flows;
            self.round
                .retain(|(w, stamp)| flows.get(w).is_some_and(|f| f.stamp == *stamp));
        }
    }
}

//! The lists of the nodes, their findings, and how they spread.

use std::time::Duration;

use rand::RngExt;
use sesamerock_retry::crash::{Fingerprint, Stamp, Update};
use sesamerock_retry::suspect::{CrashList, Findings, Verdict};

use super::{Event, Policy, World};

/// A node with a list: the entries, then the agents.
#[derive(Debug, Default)]
pub(super) struct Node {
    pub(super) list: CrashList,
    findings: Findings,
    found_at: Stamp,
    revision: u64,
    shared: u64,
}

impl Node {
    pub(super) fn merge(&mut self, update: &Update) {
        self.list.merge(update);
        // What came from others is spread by them.
        self.shared = self.list.revision();
    }
}

impl World {
    /// Sends what changed at a node to all others, each after its own time.
    pub(super) fn share(&mut self, from: usize) {
        let node = &mut self.nodes[from];
        let (revision, update) = node.list.changes(node.shared);
        node.shared = revision;
        if update.records.is_empty() || self.policy == Policy::Retries {
            return;
        }
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            let delay = self
                .rng
                .random_range(self.setup.share.0..self.setup.share.1);
            self.clock.at(
                self.clock.now() + Duration::from_millis(delay),
                Event::Merge(to, update.clone()),
            );
        }
    }

    pub(super) fn verdict(&mut self, node: usize, fingerprint: Fingerprint) -> Verdict {
        match self.policy {
            Policy::Retries => Verdict::Clean,
            Policy::Isolating => self.findings(node).verdict(fingerprint),
            Policy::Counting => {
                let (_, all) = self.nodes[node].list.changes(0);
                let aboard = all
                    .records
                    .iter()
                    .filter(|(_, record)| record.in_flight.contains_key(&fingerprint));
                if aboard.count() > 1 {
                    Verdict::Confirmed
                } else {
                    Verdict::Clean
                }
            }
        }
    }

    /// Returns a node's findings, which it computes when its facts change and
    /// once a second.
    pub(super) fn findings(&mut self, node: usize) -> &Findings {
        let now = self.stamp();
        let node = &mut self.nodes[node];
        if node.revision != node.list.revision() || now.since(node.found_at) >= 1_000 {
            node.revision = node.list.revision();
            node.found_at = now;
            node.findings = node.list.findings(now);
        }
        &node.findings
    }
}

//! What a leader has to tell each rank, and how often.

use std::time::Duration;

use super::{Leader, Role};
use crate::message::{Map, Message, Report, Window};

/// Maps that a rank is asked to stage at once; members keep a few more.
const STAGED_AT_ONCE: usize = 3;
/// Part of a heartbeat after which a rank that holds the group up by staging is
/// asked again. A whole one delayed the first step of a group of 8 by up to two
/// heartbeats.
const STALLED_PART: u32 = 4;
/// Shortest time between messages to a rank that has all it needs.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(1);

impl Leader {
    /// Returns what a rank is to be told at present, due or not.
    pub fn messages(&self, to: u32) -> Vec<Message> {
        let fence = self.fence;
        let report = &self.peers[to as usize].report;
        match (self.role, report) {
            (Role::Following, _) | (Role::Preparing, Some(_)) => Vec::new(),
            (Role::Preparing | Role::Leading, None) => vec![Message::Prepare { fence }],
            (Role::Leading, Some(report)) => {
                let grant = Message::Grant {
                    fence,
                    incarnation: report.incarnation,
                    windows: self.grantable(report).to_vec(),
                    confirmed: self.confirmed,
                };
                let missing = self.missing(report);
                let stage = missing.into_iter().map(|map| Message::Stage { fence, map });
                stage.chain([grant]).collect()
            }
        }
    }

    /// Returns the windows up to the first whose map a rank has not staged.
    fn grantable(&self, report: &Report) -> &[Window] {
        let end = report.running_to();
        // Maps of windows that ended may be dropped.
        let usable = |window: &&Window| {
            !self.guard.staging || window.to <= end || report.staged.contains(&window.map)
        };
        let count = self.plan.iter().take_while(usable).count();
        &self.plan[..count]
    }

    /// Returns the maps that a rank needs first and has not staged. An engine
    /// that joins may not have room for all maps of the plan at once.
    fn missing(&self, report: &Report) -> Vec<Map> {
        let planned = self.plan.iter().skip(self.grantable(report).len());
        let wanted = self.target.unwrap_or(self.kept());
        let maps = planned.map(|window| window.map).chain([wanted]);
        let mut missing: Vec<_> = maps.filter(|map| !report.staged.contains(map)).collect();
        missing.dedup();
        missing.truncate(STAGED_AT_ONCE);
        missing
    }

    /// Returns whether the group cannot go on before a rank has staged a map.
    fn stalls(&self, rank: u32) -> bool {
        let peer = &self.peers[rank as usize];
        peer.report.as_ref().is_some_and(|report| {
            let blocked = self.grantable(report).len() < self.plan.len();
            blocked || !report.staged.contains(&self.kept())
        })
    }

    /// Returns the time until the next message to a rank.
    pub(super) fn pause(&self, rank: u32) -> Duration {
        if self.behind(rank) {
            self.settings.retry
        } else if self.role == Role::Leading && self.stalls(rank) {
            // Steps go on only after the reply that tells of the staged map.
            let pause = self.settings.heartbeat / STALLED_PART;
            self.interval().min(pause.max(self.settings.retry))
        } else {
            self.interval()
        }
    }

    pub(super) fn behind(&self, rank: u32) -> bool {
        let peer = &self.peers[rank as usize];
        let Some(report) = &peer.report else {
            return true;
        };
        // Staging may take minutes and is asked for at the slower pace.
        let end = self.grantable(report).last().map_or(0, |last| last.to);
        peer.accepted_to < end || peer.running_to < self.confirmed.min(end)
    }

    /// Returns the time between messages to a rank that has all it needs: short
    /// enough that the next window is added in time.
    pub(super) fn interval(&self) -> Duration {
        let window = self.pace.window_time();
        let heartbeat = self.settings.heartbeat;
        if window.is_zero() {
            return heartbeat;
        }
        window.clamp(SHORTEST_INTERVAL.min(heartbeat), heartbeat)
    }
}

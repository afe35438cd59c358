//! Builds the messages of a leader to each rank and schedules them.

use std::time::Duration;

use super::{Leader, Role};
use crate::message::{Map, Message, Report, Window};

/// Most maps that a rank is requested to stage at the same time. Members keep a
/// few more staged.
const MAX_STAGE_REQUESTS: usize = 3;
/// A rank whose staging stalls the group is contacted again after a heartbeat
/// divided by this number. With a whole heartbeat, the first step of a group
/// of 8 would come up to two heartbeats late.
const STALLED_HEARTBEAT_DIVISOR: u32 = 4;
/// Shortest time between messages to a rank that is up to date.
const MIN_INTERVAL: Duration = Duration::from_millis(1);

impl Leader {
    /// Returns the messages for a rank in the current state, whether due or not.
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
                let missing = self.unstaged_maps(report);
                let stage = missing.into_iter().map(|map| Message::Stage { fence, map });
                stage.chain([grant]).collect()
            }
        }
    }

    /// Returns the planned windows before the first one whose map a rank has not
    /// staged.
    fn grantable(&self, report: &Report) -> &[Window] {
        let end = report.running_to();
        // Maps of windows that the engine may already run may have been dropped.
        let usable = |window: &&Window| {
            !self.guard.staging || window.to <= end || report.staged.contains(&window.map)
        };
        let count = self.plan.iter().take_while(usable).count();
        &self.plan[..count]
    }

    /// Returns the maps that a rank needs first and has not staged. The number is
    /// bounded, since an engine that joins may not have enough memory for all maps
    /// of the plan.
    fn unstaged_maps(&self, report: &Report) -> Vec<Map> {
        let planned = self.plan.iter().skip(self.grantable(report).len());
        let next_map = self.target.unwrap_or(self.current_map());
        let maps = planned.map(|window| window.map).chain([next_map]);
        let mut missing: Vec<_> = maps.filter(|map| !report.staged.contains(map)).collect();
        missing.dedup();
        missing.truncate(MAX_STAGE_REQUESTS);
        missing
    }

    /// Returns whether the group cannot continue before a rank has staged a map.
    fn is_stalled_by(&self, rank: u32) -> bool {
        let peer = &self.peers[rank as usize];
        peer.report.as_ref().is_some_and(|report| {
            let blocked = self.grantable(report).len() < self.plan.len();
            blocked || !report.staged.contains(&self.current_map())
        })
    }

    /// Returns the time until the next message to a rank.
    pub(super) fn message_interval(&self, rank: u32) -> Duration {
        if self.is_behind(rank) {
            self.settings.retry
        } else if self.role == Role::Leading && self.is_stalled_by(rank) {
            // Steps continue only after the reply that reports the staged map.
            let interval = self.settings.heartbeat / STALLED_HEARTBEAT_DIVISOR;
            self.interval().min(interval.max(self.settings.retry))
        } else {
            self.interval()
        }
    }

    pub(super) fn is_behind(&self, rank: u32) -> bool {
        let peer = &self.peers[rank as usize];
        let Some(report) = &peer.report else {
            return true;
        };
        // Staging may take minutes, so `Stage` is not sent again at the retry
        // interval.
        let end = self.grantable(report).last().map_or(0, |last| last.to);
        peer.accepted_to < end || peer.running_to < self.confirmed.min(end)
    }

    /// Returns the time between messages to a rank that is up to date: at most one
    /// window, so that the next window is added in time.
    pub(super) fn interval(&self) -> Duration {
        let window = self.sizer.window_time();
        let heartbeat = self.settings.heartbeat;
        if window.is_zero() {
            return heartbeat;
        }
        window.clamp(MIN_INTERVAL.min(heartbeat), heartbeat)
    }
}

//! The windows that the leader plans ahead of need, and their maps.

use std::time::Duration;

use sesamerock_base::time::Moment;

use super::{Leader, Role};
use crate::message::{Map, Report, Step, Window};
use crate::plan;

impl Leader {
    /// Adds windows ahead of need. A switch begins with a new window.
    pub(super) fn extend(&mut self, now: Moment) {
        if self.role != Role::Leading {
            return;
        }
        let step = self.expected_step(now);
        while self.end < step + self.pace.ahead() {
            let Some(map) = self.next_map() else { return };
            let from = self.end;
            let to = from + self.pace.window();
            match self.plan.last_mut() {
                // Sent windows may grow, since members take what is beyond
                // their end as a window of its own.
                Some(last) if last.map == map => last.to = to,
                _ => self.plan.push(Window { from, to, map }),
            }
            self.end = to;
            self.current = Some(map);
            self.added.get_or_insert((to, now));
            self.hurry(now);
        }
    }

    /// Returns the step that the group has reached by now, as far as can be
    /// told from reports that lag.
    pub(super) fn expected_step(&mut self, now: Moment) -> Step {
        let step = self.step();
        let slowest = self.reports().map(|report| report.step_us).max();
        if let Some(slowest) = slowest {
            self.pace.stepped(Duration::from_micros(u64::from(slowest)));
        }
        if step > self.sample.0 {
            self.sample = (step, now);
        }
        let since = now.since(self.sample.1);
        // The engines wait at the end of what they may run.
        let limit = self.confirmed.max(step);
        (step + self.pace.steps_in(since)).min(limit)
    }

    pub(super) fn next_map(&self) -> Option<Map> {
        let usable = |map: &Map| !self.guard.staging || self.staged_by_all(*map);
        self.target
            .filter(usable)
            .or(Some(self.kept()).filter(usable))
    }

    /// Returns the map to go on with if there is none to switch to.
    pub(super) fn kept(&self) -> Map {
        self.current.unwrap_or(self.settings.first)
    }

    fn staged_by_all(&self, map: Map) -> bool {
        self.peers.iter().all(|peer| {
            let report = peer.report.as_ref();
            report.is_some_and(|report| report.staged.contains(&map))
        })
    }

    /// Forgets what every rank has run.
    pub(super) fn trim(&mut self) {
        let reports: Vec<_> = self.reports().collect();
        let start = plan::start(&reports);
        self.plan.retain(|window| window.to > start);
        if let Some(first) = self.plan.first_mut() {
            first.from = first.from.max(start);
        }
    }

    /// Returns the highest next step of any rank.
    pub(super) fn step(&self) -> Step {
        self.reports().map(|report| report.step).max().unwrap_or(0)
    }

    pub(super) fn reports(&self) -> impl Iterator<Item = &Report> {
        self.peers.iter().filter_map(|peer| peer.report.as_ref())
    }
}

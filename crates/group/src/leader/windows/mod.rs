//! Plans windows in advance and selects their maps.

use std::time::Duration;

use sesamerock_base::time::Moment;

use super::{Leader, Role};
use crate::message::{Map, Report, Step, Window};
use crate::plan;

impl Leader {
    /// Adds windows in advance. A switch begins with a new window.
    pub(super) fn extend(&mut self, now: Moment) {
        if self.role != Role::Leading {
            return;
        }
        let step = self.expected_step(now);
        while self.end < step + self.sizer.steps_ahead() {
            let Some(map) = self.next_map() else { return };
            let from = self.end;
            let to = from + self.sizer.window();
            match self.plan.last_mut() {
                // A window may grow after it was sent, since members accept the
                // part beyond its former end as a separate window.
                Some(last) if last.map == map => last.to = to,
                _ => self.plan.push(Window { from, to, map }),
            }
            self.end = to;
            self.current = Some(map);
            self.unconfirmed.get_or_insert((to, now));
            self.send_now(now);
        }
    }

    /// Returns the step that the group has probably reached, extrapolated from the
    /// last reports.
    pub(super) fn expected_step(&mut self, now: Moment) -> Step {
        let step = self.step();
        let slowest = self.reports().map(|report| report.step_us).max();
        if let Some(slowest) = slowest {
            self.sizer
                .record_step_time(Duration::from_micros(u64::from(slowest)));
        }
        if step > self.highest_step.0 {
            self.highest_step = (step, now);
        }
        let since = now.since(self.highest_step.1);
        // Engines wait at the end of the windows that they may run.
        let limit = self.confirmed.max(step);
        (step + self.sizer.steps_in(since)).min(limit)
    }

    pub(super) fn next_map(&self) -> Option<Map> {
        let usable = |map: &Map| !self.guard.staging || self.staged_by_all(*map);
        self.target
            .filter(usable)
            .or(Some(self.current_map()).filter(usable))
    }

    /// Returns the map of the last planned step, or the initial map if there is
    /// none.
    pub(super) fn current_map(&self) -> Map {
        self.current.unwrap_or(self.settings.initial_map)
    }

    fn staged_by_all(&self, map: Map) -> bool {
        self.peers.iter().all(|peer| {
            let report = peer.report.as_ref();
            report.is_some_and(|report| report.staged.contains(&map))
        })
    }

    /// Removes the steps that every rank has run from the plan.
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

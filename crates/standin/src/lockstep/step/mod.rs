//! Simulated engines: granted windows, staged maps and steps.

use std::collections::BTreeSet;
use std::time::Duration;

use sesamerock_group::message::{Map, Window};

use super::{Event, Group, Rank, Violation};

/// Duration of a step.
const STEP_DURATION: Duration = Duration::from_millis(5);

impl Group {
    pub(super) fn grant(&mut self, index: usize, window: Window) {
        if !self.ranks[index].engine.staged.contains(&window.map) {
            self.violation = Some(Violation::Unstaged(window));
        }
        self.ranks[index].engine.windows.push(window);
        let windows = || self.ranks.iter().flat_map(|rank| &rank.engine.windows);
        let other = windows().find(|other| {
            other.from < window.to && window.from < other.to && other.map != window.map
        });
        if let Some(other) = other {
            self.violation = Some(Violation::Mixed(*other, window));
        }
    }

    pub(super) fn staged(&mut self, index: usize, crashes: u64, map: Map) {
        let rank = &mut self.ranks[index];
        if rank.crashes == crashes {
            rank.staging.remove(&map);
            rank.engine.staged.push(map);
        }
    }

    fn map_of(&self, rank: &Rank) -> Option<Map> {
        let covers = |window: &&Window| window.from <= self.step && self.step < window.to;
        rank.engine
            .windows
            .iter()
            .find(covers)
            .map(|window| window.map)
    }

    pub(super) fn start_step(&mut self) {
        let ready = self.ranks.iter().all(|rank| self.map_of(rank).is_some());
        if self.stepping || !ready {
            return;
        }
        if let Some(since) = self.idle_since.take() {
            self.stalled += self.now.since(since);
        }
        self.stepping = true;
        self.add(STEP_DURATION, Event::Step);
    }

    pub(super) fn run_step(&mut self) {
        self.stepping = false;
        self.idle_since = Some(self.now);
        let maps: BTreeSet<_> = self.ranks.iter().map(|rank| self.map_of(rank)).collect();
        if maps.contains(&None) {
            // An engine crashed during the step, so all ranks run the step again.
            return;
        }
        let map = maps.into_iter().flatten().next().unwrap_or(self.in_use);
        if map != self.in_use {
            self.in_use = map;
            if map == self.desired_map {
                self.switch_delays.push(self.now.since(self.desired_since));
            }
        }
        self.step += 1;
        let step = self.step;
        for rank in &mut self.ranks {
            rank.engine.step = step;
            rank.engine.step_us = STEP_DURATION.as_micros() as u32;
            rank.engine.windows.retain(|window| window.to >= step);
        }
        self.start_step();
    }
}

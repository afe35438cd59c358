//! Injection of network and process faults.

use std::time::Duration;

use rand::RngExt as _;
use sesamerock_group::leader::{Leader, Role};
use sesamerock_group::member::{Engine, Member};

use super::{Event, Group};

/// Interval at which an event for a paused process is retried.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest pause of a process, in milliseconds; longer than the election timeout.
const MAX_PAUSE_MS: u64 = 1_800;

/// Probabilities of the faults, in percent.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// A message is lost.
    pub loss: u32,
    /// A message arrives twice.
    pub duplication: u32,
    /// One of pause, agent restart and engine crash hits a random rank.
    pub process: u32,
}

impl Faults {
    /// No injected faults.
    pub const NONE: Self = Self {
        loss: 0,
        duplication: 0,
        process: 0,
    };
    /// Loss and duplication at 5 % each; no process faults.
    pub const LOSS: Self = Self {
        loss: 5,
        duplication: 5,
        process: 0,
    };
    /// Faults of the network at 10 % each, and a process fault at every interval.
    pub const ALL: Self = Self {
        loss: 10,
        duplication: 10,
        process: 100,
    };
}

impl Group {
    /// Restarts the process of every rank that is not a follower, and crashes a random
    /// engine, so that the group cannot continue on windows granted before.
    pub fn restart_leaders_and_crash_engine(&mut self) {
        for index in 0..self.ranks.len() {
            if self.ranks[index].leader.role() != Role::Following {
                self.restart(index);
            }
        }
        let index = self.rng.random_range(0..self.ranks.len());
        self.crash(index);
    }

    /// Stops injecting faults and ends all pauses; messages in flight and restarts
    /// are not undone.
    pub fn clear_faults(&mut self) {
        self.faults = Faults::NONE;
        for rank in &mut self.ranks {
            rank.paused_until = self.now;
        }
    }

    pub(super) fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    pub(super) fn inject_process_fault(&mut self) {
        let index = self.rng.random_range(0..self.ranks.len());
        match self.rng.random_range(0..3) {
            0 => {
                let pause = self.rng.random_range(0..MAX_PAUSE_MS);
                self.ranks[index].paused_until = self.now + Duration::from_millis(pause);
            }
            1 => self.restart(index),
            _ => self.crash(index),
        }
    }

    fn crash(&mut self, index: usize) {
        self.ranks[index].engine = Engine::default();
        self.ranks[index].crashes += 1;
        self.ranks[index].staging.clear();
        self.restart(index);
    }

    fn restart(&mut self, index: usize) {
        self.incarnations += 1;
        let settings = *self.ranks[index].leader.settings();
        let leader = Leader::new(settings, self.incarnations, self.now, &mut self.rng);
        let rank = &mut self.ranks[index];
        rank.member = Member::new(self.incarnations, &rank.engine);
        rank.leader = leader;
        rank.paused_until = self.now;
    }

    /// Returns whether a process is paused, in which case the event is postponed.
    pub(super) fn postpone_if_paused(
        &mut self,
        rank: usize,
        event: impl FnOnce() -> Event,
    ) -> bool {
        let until = self.ranks[rank].paused_until;
        if until <= self.now {
            return false;
        }
        // The event is retried soon, since `clear_faults` may end the pause early.
        self.add(until.since(self.now).min(PAUSE_POLL_INTERVAL), event());
        true
    }
}

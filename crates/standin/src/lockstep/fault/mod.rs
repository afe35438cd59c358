//! Faults of the network and of processes.

use std::time::Duration;

use rand::RngExt as _;
use sesamerock_group::leader::{Leader, Role};
use sesamerock_group::member::{Engine, Member};

use super::{Event, Group};

/// Time after which a paused process is looked at again.
const LOOK: Duration = Duration::from_millis(5);
/// Longest pause of a process; above the silence that starts an election.
const PAUSE_MS: u64 = 1_800;

/// Faults, each as a chance in a hundred.
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
    /// No fault.
    pub const NONE: Self = Self {
        loss: 0,
        duplication: 0,
        process: 0,
    };
    /// Faults of the network only.
    pub const LOSS: Self = Self {
        loss: 5,
        duplication: 5,
        process: 0,
    };
    /// Every fault.
    pub const ALL: Self = Self {
        loss: 10,
        duplication: 10,
        process: 100,
    };
}

impl Group {
    /// Ends the process of every rank that leads, and crashes a random engine,
    /// so that the group cannot run on with what it was granted.
    pub fn strike(&mut self) {
        for index in 0..self.ranks.len() {
            if self.ranks[index].leader.role() != Role::Following {
                self.restart(index);
            }
        }
        let index = self.rng.random_range(0..self.ranks.len());
        self.crash(index);
    }

    /// Ends all faults; what is under way stays so.
    pub fn heal(&mut self) {
        self.faults = Faults::NONE;
        for rank in &mut self.ranks {
            rank.paused_until = self.now;
        }
    }

    pub(super) fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    pub(super) fn fault(&mut self) {
        let index = self.rng.random_range(0..self.ranks.len());
        match self.rng.random_range(0..3) {
            0 => {
                let pause = self.rng.random_range(0..PAUSE_MS);
                self.ranks[index].paused_until = self.now + Duration::from_millis(pause);
            }
            1 => self.restart(index),
            _ => self.crash(index),
        }
    }

    fn crash(&mut self, index: usize) {
        self.ranks[index].engine = Engine::default();
        self.ranks[index].crashes += 1;
        self.ranks[index].fetching.clear();
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

    /// Returns whether a process was paused, after putting the event off.
    pub(super) fn pause(&mut self, rank: usize, event: impl FnOnce() -> Event) -> bool {
        let until = self.ranks[rank].paused_until;
        if until <= self.now {
            return false;
        }
        // Looked at again soon, since the end of all faults ends a pause.
        self.add(until.since(self.now).min(LOOK), event());
        true
    }
}

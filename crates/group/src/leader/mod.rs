//! The leader's side: promises, staging, windows granted ahead of need.
//!
//! Every rank's agent holds a [`Leader`]; it follows until the group has been
//! silent for a while. Two leaders at once are safe, and the one with the lower
//! token steps back when it meets the higher one.

mod outgoing;
mod replies;
mod settings;
mod windows;

use rand::{Rng, RngExt as _};
use sesamerock_base::time::Moment;

use crate::guard::Guard;
use crate::message::{Fence, Incarnation, Map, Message, Report, Step, Window};
use crate::pace::Pace;
pub use settings::Settings;

/// What a leader does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Another rank leads, or nobody does yet.
    Following,
    /// Promises are being collected.
    Preparing,
    /// Every rank promised.
    Leading,
}

/// A message for one rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The rank.
    pub to: u32,
    /// The message.
    pub message: Message,
}

/// What the leader knows of a rank under its present token.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Peer {
    report: Option<Report>,
    accepted_to: Step,
    running_to: Step,
    due: Moment,
    heard: Moment,
}

/// The leader of a group, or a rank that may become it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    settings: Settings,
    incarnation: Incarnation,
    role: Role,
    fence: Fence,
    /// Highest counter seen in any token.
    highest: u64,
    peers: Vec<Peer>,
    plan: Vec<Window>,
    /// Step after the last one planned.
    end: Step,
    /// Map of the last step planned.
    current: Option<Map>,
    /// Step up to which every rank has accepted.
    confirmed: Step,
    /// Map to switch to.
    target: Option<Map>,
    /// When a message of a live leader last arrived.
    heard: Moment,
    /// When this rank proposes itself unless it hears of a leader.
    deadline: Moment,
    /// End and moment of a window that is being confirmed.
    added: Option<(Step, Moment)>,
    /// Highest step reported, and when.
    sample: (Step, Moment),
    pace: Pace,
    guard: Guard,
}

impl Leader {
    /// Makes a rank that follows.
    pub fn new(
        settings: Settings,
        incarnation: Incarnation,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Self {
        let mut leader = Self {
            settings,
            incarnation,
            role: Role::Following,
            fence: Fence::default(),
            highest: 0,
            peers: vec![Peer::default(); settings.ranks as usize],
            plan: Vec::new(),
            end: 0,
            current: None,
            confirmed: 0,
            target: None,
            heard: now,
            deadline: now,
            added: None,
            sample: (0, now),
            pace: Pace::new(settings.pace),
            guard: Guard::default(),
        };
        leader.wait(now, rng);
        // A live leader would be heard within a heartbeat, so a rank that just
        // started need not wait out a silence.
        let wait = settings.silence.saturating_sub(settings.heartbeat * 2);
        leader.deadline = leader.deadline - wait;
        leader
    }

    /// Turns safety rules off, for mutation checks.
    #[doc(hidden)]
    #[must_use]
    pub fn with_guard(mut self, guard: Guard) -> Self {
        self.guard = guard;
        self
    }

    /// Returns what it does at present.
    pub const fn role(&self) -> Role {
        self.role
    }

    /// Returns its settings.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns its token.
    pub const fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns the windows that it knows of and has not seen run by all.
    pub fn plan(&self) -> &[Window] {
        &self.plan
    }

    /// Returns the step up to which every rank has accepted.
    pub const fn confirmed(&self) -> Step {
        self.confirmed
    }

    /// Returns the length of the next window and the steps granted in advance.
    pub const fn pace(&self) -> &Pace {
        &self.pace
    }

    /// Returns the ranks that have not answered under the present token.
    pub fn silent(&self) -> impl Iterator<Item = u32> {
        let silent = (0..)
            .zip(&self.peers)
            .filter(|(_, peer)| peer.report.is_none());
        silent.map(|(rank, _)| rank)
    }

    /// Sets the map that the group is to use as soon as every rank staged it.
    pub fn switch(&mut self, now: Moment, map: Map) {
        if self.target != Some(map) {
            self.target = Some(map);
            self.hurry(now);
            self.extend(now);
        }
    }

    /// Gives up a switch that has not begun; the group keeps its map.
    pub fn stay(&mut self) {
        self.target = None;
    }

    /// Returns the map of the last step planned.
    pub fn map(&self) -> Map {
        self.kept()
    }

    /// Takes note of a token in a message to this rank's member. A live leader
    /// keeps this rank from proposing itself; a higher token makes it step
    /// back.
    pub fn heard(&mut self, now: Moment, fence: Fence, rng: &mut impl Rng) {
        self.highest = self.highest.max(fence.counter);
        let newest = fence.counter == self.highest;
        if fence > self.fence && newest {
            self.heard = now;
            self.step_back(now, rng);
        }
    }

    /// Proposes this rank with a token above any it has seen.
    pub fn propose(&mut self, now: Moment) {
        self.highest += 1;
        self.fence = Fence {
            counter: self.highest,
            rank: self.settings.rank,
            incarnation: self.incarnation,
        };
        self.role = Role::Preparing;
        let peer = Peer {
            heard: now,
            ..Peer::default()
        };
        self.peers = vec![peer; self.settings.ranks as usize];
        self.plan.clear();
        self.end = 0;
        self.current = None;
        self.confirmed = 0;
        self.added = None;
        self.hurry(now);
    }

    /// Returns the messages that are due, in rank order.
    ///
    /// To be called after every input and at [`Leader::next`].
    pub fn tick(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<Request> {
        if self.role != Role::Following && now >= self.patience() {
            // Another rank may reach the silent one, so it goes first.
            self.heard = now + self.settings.silence;
            self.step_back(now, rng);
        }
        if self.role == Role::Following && now >= self.deadline {
            self.propose(now);
        }
        self.extend(now);
        let mut requests = Vec::new();
        for to in 0..self.settings.ranks {
            if now < self.peers[to as usize].due {
                continue;
            }
            let messages = self.messages(to);
            self.peers[to as usize].due = now + self.pause(to);
            requests.extend(messages.into_iter().map(|message| Request { to, message }));
        }
        requests
    }

    /// Returns when [`Leader::tick`] is to be called next.
    pub fn next(&self) -> Moment {
        if self.role == Role::Following {
            return self.deadline;
        }
        let due = self.peers.iter().map(|peer| peer.due);
        due.min()
            .map_or(self.deadline, |due| due.min(self.patience()))
    }

    /// Returns when a rank that leads gives up, since some rank is silent.
    fn patience(&self) -> Moment {
        let heard = self.peers.iter().map(|peer| peer.heard).min();
        heard.unwrap_or(self.deadline) + self.settings.patience
    }

    fn hurry(&mut self, now: Moment) {
        for peer in &mut self.peers {
            peer.due = now;
        }
    }

    fn step_back(&mut self, now: Moment, rng: &mut impl Rng) {
        self.role = Role::Following;
        self.wait(now, rng);
    }

    /// Waits longer the higher the rank, so that the lowest live one proposes.
    ///
    /// A refusal alone does not show that a leader lives: a restarted rank
    /// knows no token and proposes one below that of a leader that is gone.
    fn wait(&mut self, now: Moment, rng: &mut impl Rng) {
        let turn = self.settings.stagger * self.settings.rank;
        let jitter = self.settings.stagger.mul_f64(rng.random::<f64>() / 2.0);
        let silence = self.heard + self.settings.silence;
        self.deadline = silence.max(now + self.settings.stagger) + turn + jitter;
    }
}

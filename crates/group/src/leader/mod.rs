//! The leader of a group: collects promises, stages maps and grants windows in
//! advance.
//!
//! The agent of every rank has a [`Leader`], which follows until no leader has
//! sent a message for some time. Two leaders at once are safe, and the one with
//! the lower token steps down when it learns of the higher token.

mod outgoing;
mod replies;
mod settings;
mod windows;

use rand::{Rng, RngExt as _};
use sesamerock_base::time::Moment;

use crate::guard::Guard;
use crate::message::{Fence, Incarnation, Map, Message, Report, Step, Window};
use crate::sizing::WindowSizer;
pub use settings::Settings;

/// Current role of a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    /// Another rank leads, or there is no leader yet.
    Following,
    /// This rank has proposed itself and collects promises.
    Preparing,
    /// Every rank has promised to follow this one.
    Leading,
}

/// A message to be sent to one rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Rank that receives the message.
    pub to: u32,
    /// Request to send.
    pub message: Message,
}

/// State of a rank under the leader's current token.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Peer {
    report: Option<Report>,
    accepted_to: Step,
    running_to: Step,
    due: Moment,
    last_reply_at: Moment,
}

/// The leader of a group, or a rank that may become it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    settings: Settings,
    incarnation: Incarnation,
    role: Role,
    fence: Fence,
    /// Highest counter seen in any token.
    highest_counter: u64,
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
    /// When a message with the highest known token last arrived.
    last_message_at: Moment,
    /// When this rank proposes itself unless a leader sends a message before.
    deadline: Moment,
    /// End of the window whose acceptance is being timed, and when it was added.
    unconfirmed: Option<(Step, Moment)>,
    /// Highest step reported, and when it was first reported.
    highest_step: (Step, Moment),
    sizer: WindowSizer,
    guard: Guard,
}

impl Leader {
    /// Makes the leader state of a rank, in the role [`Role::Following`].
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
            highest_counter: 0,
            peers: vec![Peer::default(); settings.ranks as usize],
            plan: Vec::new(),
            end: 0,
            current: None,
            confirmed: 0,
            target: None,
            last_message_at: now,
            deadline: now,
            unconfirmed: None,
            highest_step: (0, now),
            sizer: WindowSizer::new(settings.sizing),
            guard: Guard::default(),
        };
        leader.reset_deadline(now, rng);
        // A leader that is alive sends a message within a heartbeat, so a rank
        // that has just started need not wait for the whole timeout.
        let wait = settings
            .leader_timeout
            .saturating_sub(settings.heartbeat * 2);
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

    /// Returns the current role of this rank.
    pub const fn role(&self) -> Role {
        self.role
    }

    /// Returns the settings given to [`Leader::new`].
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the token of this rank's last proposal.
    pub const fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns the planned windows that not every rank has reported as run.
    pub fn plan(&self) -> &[Window] {
        &self.plan
    }

    /// Returns the step up to which every rank has accepted.
    pub const fn confirmed(&self) -> Step {
        self.confirmed
    }

    /// Returns the sizer, which gives the length of the next window and the number
    /// of steps granted in advance.
    pub const fn sizer(&self) -> &WindowSizer {
        &self.sizer
    }

    /// Returns the ranks that have not replied under the current token.
    pub fn unanswered(&self) -> impl Iterator<Item = u32> {
        let unanswered = (0..)
            .zip(&self.peers)
            .filter(|(_, peer)| peer.report.is_none());
        unanswered.map(|(rank, _)| rank)
    }

    /// Sets the map that the group is to use once every rank has staged it.
    pub fn switch(&mut self, now: Moment, map: Map) {
        if self.target != Some(map) {
            self.target = Some(map);
            self.send_now(now);
            self.extend(now);
        }
    }

    /// Cancels a switch that has not begun; the group keeps its map.
    pub fn cancel_switch(&mut self) {
        self.target = None;
    }

    /// Returns the map of the last planned step, or the initial map if there is none.
    pub fn map(&self) -> Map {
        self.current_map()
    }

    /// Processes the token of a message that arrived for this rank's member. A
    /// message from the newest leader postpones this rank's own proposal, and a
    /// token above its own makes this rank step down.
    pub fn observe_fence(&mut self, now: Moment, fence: Fence, rng: &mut impl Rng) {
        self.highest_counter = self.highest_counter.max(fence.counter);
        let newest = fence.counter == self.highest_counter;
        if fence > self.fence && newest {
            self.last_message_at = now;
            self.step_down(now, rng);
        }
    }

    /// Proposes this rank as leader with a token above any that it has seen.
    pub fn propose(&mut self, now: Moment) {
        self.highest_counter += 1;
        self.fence = Fence {
            counter: self.highest_counter,
            rank: self.settings.rank,
            incarnation: self.incarnation,
        };
        self.role = Role::Preparing;
        let peer = Peer {
            last_reply_at: now,
            ..Peer::default()
        };
        self.peers = vec![peer; self.settings.ranks as usize];
        self.plan.clear();
        self.end = 0;
        self.current = None;
        self.confirmed = 0;
        self.unconfirmed = None;
        self.send_now(now);
    }

    /// Returns the messages that are due, in rank order.
    ///
    /// Must be called after every input and at the time given by [`Leader::next`].
    pub fn tick(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<Request> {
        if self.role != Role::Following && now >= self.reply_deadline() {
            // Another rank may be able to reach the one that does not reply, so
            // this rank waits for longer before it proposes itself again.
            self.last_message_at = now + self.settings.leader_timeout;
            self.step_down(now, rng);
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
            self.peers[to as usize].due = now + self.message_interval(to);
            requests.extend(messages.into_iter().map(|message| Request { to, message }));
        }
        requests
    }

    /// Returns when [`Leader::tick`] must be called next.
    pub fn next(&self) -> Moment {
        if self.role == Role::Following {
            return self.deadline;
        }
        let due = self.peers.iter().map(|peer| peer.due);
        due.min()
            .map_or(self.deadline, |due| due.min(self.reply_deadline()))
    }

    /// Returns when a leader steps down because some rank has not replied.
    fn reply_deadline(&self) -> Moment {
        let oldest_reply = self.peers.iter().map(|peer| peer.last_reply_at).min();
        oldest_reply.unwrap_or(self.deadline) + self.settings.reply_timeout
    }

    fn send_now(&mut self, now: Moment) {
        for peer in &mut self.peers {
            peer.due = now;
        }
    }

    fn step_down(&mut self, now: Moment, rng: &mut impl Rng) {
        self.role = Role::Following;
        self.reset_deadline(now, rng);
    }

    /// Sets the time of the next proposal, later for higher ranks, so that the
    /// lowest rank that is alive proposes itself.
    ///
    /// A refusal does not count as a sign that a leader is alive: a restarted rank
    /// knows no token and may propose one below that of a leader that has failed.
    fn reset_deadline(&mut self, now: Moment, rng: &mut impl Rng) {
        let stagger_time = self.settings.stagger * self.settings.rank;
        let jitter = self.settings.stagger.mul_f64(rng.random::<f64>() / 2.0);
        let timeout = self.last_message_at + self.settings.leader_timeout;
        self.deadline = timeout.max(now + self.settings.stagger) + stagger_time + jitter;
    }
}

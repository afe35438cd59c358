//! Model of a group, with every failure that the design covers, as a finite state
//! space.
//!
//! The network keeps every message that was sent and may deliver any of them at
//! any time and any number of times. This one rule covers loss, delay,
//! duplication and reordering. A paused leader is one that is not scheduled.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hash, Hasher};
use std::rc::Rc;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;
use sesamerock_base::time::Moment;
use sesamerock_group::guard::Guard;
use sesamerock_group::leader::{Leader, Role, Settings};
use sesamerock_group::member::{Command, Engine, Member};
use sesamerock_group::message::{Map, Message, Step, Window};
use sesamerock_group::sizing;

/// Bounds of an exploration: which events may occur and how often.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Number of ranks in the group; the first ones may become leaders.
    pub ranks: u32,
    /// Proposals that each leader may make; leader N starts with map N + 1.
    pub proposals: &'static [u8],
    /// Restarts of agents in total; the engine keeps the windows that it may run.
    pub restarts: u8,
    /// Crashes of an engine with its agent in total; both lose their state.
    pub crashes: u8,
    /// Switches to another map in total, over all leaders.
    pub switches: u8,
    /// Steps that the group may run.
    pub steps: Step,
    /// Longest window that leaders plan, in steps.
    pub max_window: u64,
    /// Whether each map must be staged first.
    pub staging: bool,
    /// Whether replies may be delayed too. Otherwise a reply arrives at once or
    /// never. That omits only late replies: a leader that receives a reply early
    /// sends its next requests early, and those may be delayed instead.
    pub late_replies: bool,
    /// How commands reach the engine.
    pub commands: Commands,
    /// Safety rules in effect.
    pub guard: Guard,
}

/// How commands reach the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Commands {
    /// Commands arrive at once.
    Immediate,
    /// Commands may arrive late, even after the agent that sent them has crashed.
    /// The engine ignores tokens.
    Late,
    /// Commands may arrive late, but a new agent's first command is a fence, after
    /// which the engine refuses commands of the previous agent.
    Fenced,
}

/// A transition to the next state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A leader proposes itself.
    Propose(usize),
    /// A message arrives, possibly again; a reply to it may be lost.
    Deliver {
        /// Number of the message.
        envelope: u32,
        /// Whether the reply is lost.
        lost: bool,
    },
    /// A leader gets the next map as its target.
    Switch(usize),
    /// The oldest delayed command arrives at an engine.
    Arrive(usize),
    /// An engine has finished fetching a map.
    Staged(usize, Map),
    /// An agent restarts.
    Restart(usize),
    /// An engine and its agent restart.
    Crash(usize),
    /// All ranks run one step together.
    Step,
}

/// A message between a leader and a rank, in either direction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Envelope {
    leader: usize,
    rank: usize,
    message: Message,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Rank {
    member: Member,
    engine: Engine,
    fetching: Vec<Map>,
    /// Windows whose commands have not reached the engine yet.
    delayed: Vec<Window>,
    /// Whether the current member has fenced the engine.
    fenced: bool,
}

impl Rank {
    /// Fences the engine for a new member, which then reads the windows that the
    /// engine may run.
    fn fence(&mut self, guard: Guard) {
        self.fenced = true;
        self.delayed.clear();
        let incarnation = self.member.incarnation();
        self.member = Member::new(incarnation, &self.engine).with_guard(guard);
    }

    /// Passes a window to the engine, which adds the part beyond its last window.
    fn arrive(&mut self, window: Window) {
        let last = self.engine.windows.last();
        let end = last.map_or(self.engine.step, |last| last.to);
        let from = window.from.max(end);
        if from < window.to {
            self.engine.windows.push(Window { from, ..window });
        }
    }
}

/// Assigns a number to each distinct value, so that a state of the world
/// consists of a few numbers.
#[derive(Debug)]
struct Table<T> {
    numbers: HashMap<T, u32>,
    values: Vec<T>,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Self {
            numbers: HashMap::new(),
            values: Vec::new(),
        }
    }
}

impl<T: Clone + Eq + Hash> Table<T> {
    fn number(&mut self, value: T) -> u32 {
        let next = self.values.len() as u32;
        let number = *self.numbers.entry(value.clone()).or_insert(next);
        if number == next {
            self.values.push(value);
        }
        number
    }

    fn get(&self, number: u32) -> &T {
        &self.values[number as usize]
    }
}

/// Effect of a request on a rank.
#[derive(Clone, Copy, Debug)]
struct Handled {
    rank: u32,
    reply: u32,
    unstaged: bool,
}

/// Effect of a reply on a leader.
#[derive(Clone, Debug)]
struct LeaderUpdate {
    leader: u32,
    sent: Rc<[u32]>,
    proposed: bool,
    conflict: bool,
}

/// Tables of values and cached transitions, shared by all states of one
/// exploration.
#[derive(Debug, Default)]
pub struct Shared {
    envelopes: Table<Envelope>,
    ranks: Table<Rank>,
    leaders: Table<Leader>,
    handled: FastMap<(u32, u32), Handled>,
    leader_updates: FastMap<(u32, u32), LeaderUpdate>,
}

impl Shared {
    /// Formats an action for a trace.
    pub fn show(&self, action: Action) -> String {
        match action {
            Action::Deliver { envelope, lost } => {
                format!("{:?} lost={lost}", self.envelopes.get(envelope))
            }
            other => format!("{other:?}"),
        }
    }

    /// Returns the numbers of messages, ranks and leaders seen.
    pub fn sizes(&self) -> [usize; 3] {
        [
            self.envelopes.values.len(),
            self.ranks.values.len(),
            self.leaders.values.len(),
        ]
    }

    fn handle(&mut self, rank: u32, envelope: u32, plan: &Plan) -> Handled {
        if let Some(known) = self.handled.get(&(rank, envelope)) {
            return *known;
        }
        let request = self.envelopes.get(envelope).clone();
        let mut after = self.ranks.get(rank).clone();
        if !after.fenced && plan.commands == Commands::Fenced {
            after.fence(plan.guard);
        }
        if after.member.is_outdated(&after.engine) {
            let incarnation = after.member.incarnation() + 10;
            after.member = Member::new(incarnation, &after.engine).with_guard(plan.guard);
        }
        let answer = after.member.receive(&request.message);
        let mut unstaged = false;
        for command in answer.commands {
            match command {
                Command::Stage(map) if !after.fetching.contains(&map) => {
                    after.fetching.push(map);
                    after.fetching.sort_unstable();
                }
                Command::Stage(_) => {}
                Command::Drop(map) => after.engine.staged.retain(|other| *other != map),
                Command::Run(window) => {
                    unstaged |= !after.engine.staged.contains(&window.map);
                    match plan.commands {
                        Commands::Immediate => after.engine.windows.push(window),
                        Commands::Late | Commands::Fenced => after.delayed.push(window),
                    }
                }
            }
        }
        let reply = Envelope {
            message: answer.reply,
            ..request
        };
        let handled = Handled {
            rank: self.ranks.number(after),
            reply: self.envelopes.number(reply),
            unstaged,
        };
        self.handled.insert((rank, envelope), handled);
        handled
    }

    fn deliver_reply(&mut self, leader: u32, envelope: u32) -> LeaderUpdate {
        if let Some(known) = self.leader_updates.get(&(leader, envelope)) {
            return known.clone();
        }
        let reply = self.envelopes.get(envelope).clone();
        let mut after = self.leaders.get(leader).clone();
        let before = after.fence();
        let from = reply.rank as u32;
        let conflict = after
            .receive(NOW, from, &reply.message, &mut rng())
            .is_err();
        let update = LeaderUpdate {
            sent: self.requests(&after, reply.leader),
            proposed: after.fence() != before,
            leader: self.leaders.number(after),
            conflict,
        };
        self.leader_updates
            .insert((leader, envelope), update.clone());
        update
    }

    /// Returns all messages that a leader may send in its current state.
    fn requests(&mut self, leader: &Leader, index: usize) -> Rc<[u32]> {
        let mut sent = Vec::new();
        for rank in 0..leader.settings().ranks {
            for message in leader.messages(rank) {
                sent.push(self.envelopes.number(Envelope {
                    leader: index,
                    rank: rank as usize,
                    message,
                }));
            }
        }
        sent.into()
    }
}

/// Set of the numbers of sent messages that may still have an effect, as bits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Sent(Vec<u64>);

impl Sent {
    fn insert(&mut self, number: u32) {
        let word = number as usize / 64;
        if self.0.len() <= word {
            self.0.resize(word + 1, 0);
        }
        self.0[word] |= 1 << (number % 64);
    }

    fn remove(&mut self, number: u32) {
        self.0[number as usize / 64] &= !(1 << (number % 64));
        while self.0.last() == Some(&0) {
            self.0.pop();
        }
    }

    fn numbers(&self) -> Vec<u32> {
        let mut numbers = Vec::with_capacity(64);
        for (word, bits) in (0_u32..).zip(&self.0) {
            let mut bits = *bits;
            while bits != 0 {
                numbers.push(word * 64 + bits.trailing_zeros());
                bits &= bits - 1;
            }
        }
        numbers
    }
}

/// Hashes words by multiplication. In a debug build this is several times
/// faster than the default hasher.
#[derive(Clone, Copy, Debug, Default)]
pub struct FastHasher(u64);

impl FastHasher {
    fn word(&mut self, word: u64) {
        let product = u128::from(self.0 ^ word ^ 0x9e37_79b9_7f4a_7c15) * 0xd6e8_feb8_6659_fd93;
        self.0 = (product as u64).rotate_left(23) ^ (product >> 64) as u64;
    }
}

impl Hasher for FastHasher {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.word(u64::from(*byte));
        }
    }

    fn write_u32(&mut self, i: u32) {
        self.word(u64::from(i));
    }

    fn write_u64(&mut self, i: u64) {
        self.word(i);
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

/// A map whose keys are hashed by [`FastHasher`].
pub type FastMap<K, V> = HashMap<K, V, BuildHasherDefault<FastHasher>>;

/// One state of the group and its network.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    ranks: Vec<u32>,
    leaders: Vec<u32>,
    sent: Sent,
    proposals: Vec<u8>,
    restarts: u8,
    crashes: u8,
    switches: u8,
    targets: Vec<Map>,
    step: Step,
    violation: Option<&'static str>,
}

/// Number of maps that leaders switch between.
const MAPS: Map = 2;
const NOW: Moment = Moment(1);

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(1)
}

fn staged(plan: &Plan) -> Vec<Map> {
    let maps = 1..=MAPS;
    maps.filter(|_| !plan.staging).collect()
}

impl World {
    /// Makes the first state.
    pub fn new(plan: &Plan, shared: &mut Shared) -> Self {
        let engine = Engine {
            staged: staged(plan),
            ..Engine::default()
        };
        let ranks = (0..plan.ranks).map(|_| {
            shared.ranks.number(Rank {
                member: Member::new(1, &engine).with_guard(plan.guard),
                engine: engine.clone(),
                fetching: Vec::new(),
                delayed: Vec::new(),
                fenced: true,
            })
        });
        let ranks = ranks.collect();
        let leaders = (0..plan.proposals.len() as u32).map(|rank| {
            let settings = Settings {
                rank,
                ranks: plan.ranks,
                sizing: sizing::Settings {
                    max_window: plan.max_window,
                    ..sizing::Settings::default()
                },
                ..Settings::default()
            };
            let mut leader = Leader::new(settings, 1, NOW, &mut rng()).with_guard(plan.guard);
            leader.switch(NOW, Map::from(rank) + 1);
            shared.leaders.number(leader)
        });
        Self {
            ranks,
            leaders: leaders.collect(),
            sent: Sent::default(),
            proposals: plan.proposals.to_vec(),
            restarts: plan.restarts,
            crashes: plan.crashes,
            switches: plan.switches,
            targets: (1..=plan.proposals.len() as Map).collect(),
            step: 0,
            violation: None,
        }
    }

    /// Returns the violated invariant, if any.
    pub fn violation(&self) -> Option<&'static str> {
        self.violation
    }

    /// Returns whether every engine may run the next step.
    pub fn may_step(&self, shared: &Shared) -> bool {
        let covers = |window: &Window| window.from <= self.step && self.step < window.to;
        self.ranks
            .iter()
            .all(|rank| shared.ranks.get(*rank).engine.windows.iter().any(covers))
    }

    /// Returns a hash of the state.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = FastHasher::default();
        for number in self.ranks.iter().chain(&self.leaders) {
            hasher.word(u64::from(*number));
        }
        for word in &self.sent.0 {
            hasher.word(*word);
        }
        let left = self.proposals.iter().map(|left| u64::from(*left));
        let counts = [self.restarts, self.crashes, self.switches].map(u64::from);
        for word in left.chain(counts).chain(self.targets.iter().copied()) {
            hasher.word(word);
        }
        hasher.word(self.step);
        hasher.word(u64::from(self.violation.is_some()));
        hasher.finish()
    }

    /// Returns all actions that are possible in this state.
    pub fn actions(&self, plan: &Plan, shared: &Shared) -> Vec<Action> {
        let mut actions = Vec::new();
        for (leader, left) in self.proposals.iter().enumerate() {
            if *left > 0 {
                actions.push(Action::Propose(leader));
            }
            if self.switches > 0 {
                actions.push(Action::Switch(leader));
            }
        }
        for (index, rank) in self.ranks.iter().enumerate() {
            let fetching = &shared.ranks.get(*rank).fetching;
            actions.extend(fetching.iter().map(|map| Action::Staged(index, *map)));
            if !shared.ranks.get(*rank).delayed.is_empty() {
                actions.push(Action::Arrive(index));
            }
            if self.restarts > 0 {
                actions.push(Action::Restart(index));
            }
            if self.crashes > 0 {
                actions.push(Action::Crash(index));
            }
        }
        if self.step < plan.steps && self.may_step(shared) {
            actions.push(Action::Step);
        }
        for envelope in self.sent.numbers() {
            actions.push(Action::Deliver {
                envelope,
                lost: false,
            });
            if !plan.late_replies {
                actions.push(Action::Deliver {
                    envelope,
                    lost: true,
                });
            }
        }
        actions
    }

    /// Performs one action.
    pub fn perform(&mut self, action: Action, plan: &Plan, shared: &mut Shared) {
        match action {
            Action::Propose(index) => {
                self.proposals[index] -= 1;
                let mut leader = shared.leaders.get(self.leaders[index]).clone();
                leader.propose(NOW);
                let sent = shared.requests(&leader, index);
                self.leaders[index] = shared.leaders.number(leader);
                self.send(&sent);
                if plan.late_replies {
                    self.drop_ignored_replies(shared);
                }
            }
            Action::Switch(index) => {
                self.switches -= 1;
                self.targets[index] = self.targets[index] % MAPS + 1;
                let mut leader = shared.leaders.get(self.leaders[index]).clone();
                leader.switch(NOW, self.targets[index]);
                let sent = shared.requests(&leader, index);
                self.leaders[index] = shared.leaders.number(leader);
                self.send(&sent);
            }
            Action::Deliver { envelope, lost } => {
                let Envelope {
                    rank, ref message, ..
                } = *shared.envelopes.get(envelope);
                if message.report().is_some() {
                    self.reply(envelope, plan, shared);
                } else {
                    self.request(rank, envelope, lost, plan, shared);
                }
            }
            Action::Arrive(index) => {
                let mut rank = shared.ranks.get(self.ranks[index]).clone();
                let window = rank.delayed.remove(0);
                rank.arrive(window);
                self.ranks[index] = shared.ranks.number(rank);
                self.check(shared);
            }
            Action::Staged(index, map) => {
                let mut rank = shared.ranks.get(self.ranks[index]).clone();
                rank.fetching.retain(|other| *other != map);
                rank.engine.staged.push(map);
                rank.engine.staged.sort_unstable();
                rank.member.observe(&rank.engine);
                self.ranks[index] = shared.ranks.number(rank);
            }
            Action::Restart(index) => {
                self.restarts -= 1;
                let rank = shared.ranks.get(self.ranks[index]).clone();
                self.restart(index, rank, plan, shared);
            }
            Action::Crash(index) => {
                self.crashes -= 1;
                let mut rank = shared.ranks.get(self.ranks[index]).clone();
                rank.engine = Engine {
                    staged: staged(plan),
                    ..Engine::default()
                };
                rank.fetching.clear();
                rank.delayed.clear();
                self.restart(index, rank, plan, shared);
            }
            Action::Step => self.run_step(shared),
        }
    }

    fn restart(&mut self, index: usize, mut rank: Rank, plan: &Plan, shared: &mut Shared) {
        rank.fenced = false;
        let incarnation = rank.member.incarnation() + 1;
        let member = Member::new(incarnation, &rank.engine);
        rank.member = member.with_guard(plan.guard);
        self.ranks[index] = shared.ranks.number(rank);
    }

    fn run_step(&mut self, shared: &mut Shared) {
        self.step += 1;
        for index in 0..self.ranks.len() {
            let mut rank = shared.ranks.get(self.ranks[index]).clone();
            rank.engine.step = self.step;
            let step = self.step;
            rank.engine.windows.retain(|window| window.to >= step);
            rank.member.observe(&rank.engine);
            self.ranks[index] = shared.ranks.number(rank);
        }
    }

    fn request(
        &mut self,
        index: usize,
        envelope: u32,
        lost: bool,
        plan: &Plan,
        shared: &mut Shared,
    ) {
        let handled = shared.handle(self.ranks[index], envelope, plan);
        if self.ranks[index] != handled.rank {
            self.ranks[index] = handled.rank;
            self.check(shared);
        }
        if handled.unstaged {
            self.violation = Some("a rank may run a map that is not staged");
        }
        if plan.late_replies {
            self.send(&[handled.reply]);
            self.drop_ignored_replies(shared);
        } else if !lost {
            self.reply(handled.reply, plan, shared);
        }
    }

    fn reply(&mut self, envelope: u32, plan: &Plan, shared: &mut Shared) {
        let index = shared.envelopes.get(envelope).leader;
        let update = shared.deliver_reply(self.leaders[index], envelope);
        if update.conflict {
            self.violation = Some("a leader learned of two maps for one step");
        }
        if update.proposed {
            // If no proposal is left, the reply is treated as lost.
            let Some(left) = self.proposals[index].checked_sub(1) else {
                return;
            };
            self.proposals[index] = left;
        }
        self.leaders[index] = update.leader;
        self.send(&update.sent);
        if plan.late_replies {
            self.drop_ignored_replies(shared);
        }
    }

    fn send(&mut self, envelopes: &[u32]) {
        for envelope in envelopes {
            self.sent.insert(*envelope);
        }
    }

    /// Drops replies that their leader would always ignore.
    fn drop_ignored_replies(&mut self, shared: &Shared) {
        for number in self.sent.numbers() {
            let envelope = shared.envelopes.get(number);
            let leader = shared.leaders.get(self.leaders[envelope.leader]);
            let ignored =
                leader.role() == Role::Following || envelope.message.fence() != leader.fence();
            if envelope.message.report().is_some() && ignored {
                self.sent.remove(number);
            }
        }
    }

    /// Checks that all engines that may run a step have the same map for it.
    fn check(&mut self, shared: &Shared) {
        let windows = || {
            self.ranks
                .iter()
                .flat_map(|rank| &shared.ranks.get(*rank).engine.windows)
        };
        let conflicting = windows().any(|one| {
            windows().any(|two| one.from < two.to && two.from < one.to && one.map != two.map)
        });
        if conflicting {
            self.violation = Some("two maps for one step");
        }
    }
}

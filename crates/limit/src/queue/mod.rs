//! A bounded queue that is fair between workspaces by token cost.
//!
//! Inside each of eight priority levels, workspaces are served by deficit round
//! robin: each backlogged workspace gets a quantum of tokens per round, so a
//! workspace with large calls or many calls gets no more tokens than others.
//! Higher levels go first, but a fixed share of the tokens is owed to lower
//! levels, so that low priority is slow rather than starved. Calls leave by
//! service, by cancel, when their latest start passes, or when the queue is
//! full and they belong to the lowest level's most backlogged workspace. State
//! exists only for workspaces with queued calls.

mod level;

use std::collections::{BTreeSet, HashMap};

use sesamerock_base::key::Workspace;
use sesamerock_base::time::Moment;

use level::Level;

/// Number of priority levels, those of RFC 9218.
pub const LEVELS: usize = 8;

/// Identifies one attempt of a call; the caller never uses a value twice.
pub type Call = u64;

/// Settings of a queue.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Most calls queued at a time.
    pub calls: usize,
    /// Tokens a workspace may be served per round.
    pub quantum: u64,
    /// One token in this many served while lower levels wait is theirs.
    pub lower_share: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            calls: 4096,
            quantum: 1024,
            lower_share: 16,
        }
    }
}

/// A call that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Item {
    /// The call.
    pub call: Call,
    /// The workspace that is served.
    pub workspace: Workspace,
    /// Token cost.
    pub tokens: u64,
    /// Priority level, 0 (highest) to 7; larger values count as 7.
    pub urgency: u8,
    /// The moment after which starting the call is useless.
    pub latest_start: Moment,
}

/// What became of a pushed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushOutcome {
    /// The call waits.
    Queued,
    /// The call waits and another one left the full queue for it.
    Evicted(Item),
    /// The queue is full of calls that go before this one.
    Full,
    /// The call already waits; nothing changed.
    Duplicate,
}

/// The queue of one upstream.
#[derive(Clone, Debug)]
pub struct Queue {
    settings: Settings,
    levels: [Level; LEVELS],
    items: HashMap<Call, (Item, u64)>,
    deadlines: BTreeSet<(Moment, Call)>,
    stamp: u64,
    /// Tokens owed to lower levels, scaled by their share.
    lower_credit: u64,
    /// The lower level that is served next with owed tokens.
    last_lower_level: usize,
}

impl Queue {
    /// Makes an empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            levels: Default::default(),
            items: HashMap::new(),
            deadlines: BTreeSet::new(),
            stamp: 0,
            lower_credit: 0,
            last_lower_level: 0,
        }
    }

    /// Returns the number of calls queued.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns whether a call waits here.
    pub fn contains(&self, call: Call) -> bool {
        self.items.contains_key(&call)
    }

    /// Returns the tokens queued in all levels.
    pub fn tokens(&self) -> u64 {
        self.levels.iter().map(|l| l.tokens).sum()
    }

    /// Returns the number of workspace records held, a bound on memory.
    pub fn flows(&self) -> usize {
        self.levels.iter().map(|l| l.flows.len()).sum()
    }

    /// Returns the elements held in flows and rounds, including those of calls
    /// and flows that are gone.
    pub fn elements(&self) -> usize {
        let flows = self.levels.iter().flat_map(|l| l.flows.values());
        let calls: usize = flows.map(|f| f.calls.len()).sum();
        calls + self.levels.iter().map(|l| l.round.len()).sum::<usize>()
    }

    /// Adds a call; a full queue makes room at the expense of lower levels
    /// first, then of the workspace with most tokens queued.
    pub fn push(&mut self, item: Item) -> PushOutcome {
        if self.items.contains_key(&item.call) {
            return PushOutcome::Duplicate;
        }
        if self.items.len() < self.settings.calls {
            self.insert(item);
            return PushOutcome::Queued;
        }
        let Some(eviction_candidate) = self.eviction_candidate(&item) else {
            return PushOutcome::Full;
        };
        let evicted = self.remove(eviction_candidate);
        self.insert(item);
        evicted.map_or(PushOutcome::Queued, PushOutcome::Evicted)
    }

    /// Removes a call; returns it if it was queued.
    pub fn remove(&mut self, call: Call) -> Option<Item> {
        let (item, _) = self.items.remove(&call)?;
        self.deadlines.remove(&(item.latest_start, call));
        let level = &mut self.levels[index(item.urgency)];
        level.tokens -= item.tokens;
        if let Some(flow) = level.flows.get_mut(&item.workspace) {
            level.backlog.remove(&(flow.tokens, item.workspace));
            flow.tokens -= item.tokens;
            flow.queued_calls -= 1;
            if flow.queued_calls > 0 {
                level.backlog.insert((flow.tokens, item.workspace));
                self.compact(index(item.urgency), item.workspace);
            } else {
                level.flows.remove(&item.workspace);
                level.compact();
            }
        }
        Some(item)
    }

    /// Removes and returns a call whose latest start has passed.
    pub fn expired(&mut self, now: Moment) -> Option<Item> {
        let (latest, call) = *self.deadlines.first()?;
        if latest >= now {
            return None;
        }
        self.remove(call)
    }

    /// Returns the earliest of all latest starts.
    pub fn next_deadline(&self) -> Option<Moment> {
        self.deadlines.first().map(|(latest, _)| *latest)
    }

    /// Returns the call that is served next. Rounds advance here, and
    /// [`Queue::pop`] then takes exactly this call.
    pub fn peek(&mut self) -> Option<Item> {
        let level = self.next_level()?;
        let quantum = self.settings.quantum.max(1);
        // Each turn adds a quantum, so a call costs its tokens over the quantum
        // in turns, however many workspaces wait.
        loop {
            let workspace = self.levels[level].front()?;
            let item = self.head(level, workspace)?;
            let level = &mut self.levels[level];
            let only_flow = level.flows.len() == 1;
            let flow = level.flows.get_mut(&workspace)?;
            if flow.deficit >= item.tokens {
                return Some(item);
            }
            flow.deficit += if only_flow { item.tokens } else { quantum };
            if flow.deficit >= item.tokens {
                return Some(item);
            }
            level.round.rotate_left(1);
        }
    }

    /// Removes and returns the call that [`Queue::peek`] shows.
    pub fn pop(&mut self) -> Option<Item> {
        let item = self.peek()?;
        let index = index(item.urgency);
        let first = self.first_level()?;
        self.account_service(index, first, item.tokens);
        let level = &mut self.levels[index];
        let flow = level.flows.get_mut(&item.workspace)?;
        flow.deficit -= item.tokens;
        let left = flow.deficit;
        self.remove(item.call);
        // A workspace keeps its turn while its deficit covers the next call.
        if let Some(next) = self.head(index, item.workspace)
            && next.tokens > left
        {
            self.levels[index].round.rotate_left(1);
        }
        Some(item)
    }

    /// Returns the tokens served before a call of this workspace, cost and
    /// level, if it were pushed now and nothing else came.
    pub fn tokens_ahead(&self, workspace: Workspace, tokens: u64, urgency: u8) -> u64 {
        let index = index(urgency);
        let higher: u64 = self.levels[..index].iter().map(|l| l.tokens).sum();
        let level = &self.levels[index];
        let own = level.flows.get(&workspace).map_or(0, |f| f.tokens);
        let others = level.tokens - own;
        let flows = level.flows.len() as u64;
        let rounds = (own + tokens).saturating_add(self.settings.quantum);
        let before = own + others.min(rounds.saturating_mul(flows));
        // The share of lower levels bounds the wait behind higher ones.
        let shared = before
            .saturating_mul(self.settings.lower_share)
            .max(tokens.saturating_mul(self.settings.lower_share));
        before + higher.min(shared)
    }

    /// Removes all calls and returns them in the order of arrival.
    pub fn clear(&mut self) -> Vec<Item> {
        let mut items: Vec<_> = self.items.drain().map(|(_, item)| item).collect();
        items.sort_unstable_by_key(|(_, stamp)| *stamp);
        let items = items.into_iter().map(|(item, _)| item).collect();
        self.levels = Default::default();
        self.deadlines.clear();
        items
    }

    fn insert(&mut self, item: Item) {
        self.stamp += 1;
        self.items.insert(item.call, (item, self.stamp));
        self.deadlines.insert((item.latest_start, item.call));
        let level = &mut self.levels[index(item.urgency)];
        level.tokens += item.tokens;
        let flow = level.flows.entry(item.workspace).or_default();
        if flow.queued_calls == 0 {
            flow.stamp = self.stamp;
            level.round.push_back((item.workspace, self.stamp));
        } else {
            level.backlog.remove(&(flow.tokens, item.workspace));
        }
        flow.calls.push_back((item.call, self.stamp));
        flow.queued_calls += 1;
        flow.tokens += item.tokens;
        level.backlog.insert((flow.tokens, item.workspace));
    }

    /// Returns the first live call of a workspace, dropping removed ones.
    fn head(&mut self, level: usize, workspace: Workspace) -> Option<Item> {
        let flow = self.levels[level].flows.get_mut(&workspace)?;
        while let Some((call, stamp)) = flow.calls.front() {
            match self.items.get(call) {
                Some((item, s)) if s == stamp => return Some(*item),
                _ => flow.calls.pop_front(),
            };
        }
        None
    }

    /// Returns the newest live call of a workspace.
    fn tail(&mut self, level: usize, workspace: Workspace) -> Option<Item> {
        let flow = self.levels[level].flows.get_mut(&workspace)?;
        while let Some((call, stamp)) = flow.calls.back() {
            match self.items.get(call) {
                Some((item, s)) if s == stamp => return Some(*item),
                _ => flow.calls.pop_back(),
            };
        }
        None
    }

    /// Drops removed calls once they outnumber the live ones, which keeps the
    /// cost of a removal constant on average.
    fn compact(&mut self, level: usize, workspace: Workspace) {
        if let Some(flow) = self.levels[level].flows.get_mut(&workspace)
            && flow.calls.len() > 2 * flow.queued_calls + 8
        {
            let items = &self.items;
            let is_queued =
                |(call, stamp): &(Call, u64)| items.get(call).is_some_and(|i| i.1 == *stamp);
            flow.calls.retain(is_queued);
        }
    }

    /// Picks the call that leaves a full queue for `item`, if any does.
    fn eviction_candidate(&mut self, item: &Item) -> Option<Call> {
        let own = index(item.urgency);
        let lowest = (0..LEVELS)
            .rev()
            .find(|l| !self.levels[*l].flows.is_empty())?;
        if lowest < own {
            return None;
        }
        let (tokens, largest) = *self.levels[lowest].backlog.last()?;
        if lowest == own {
            let flow = self.levels[own].flows.get(&item.workspace);
            let after = flow.map_or(0, |f| f.tokens) + item.tokens;
            if largest == item.workspace || after >= tokens {
                return None;
            }
        }
        self.tail(lowest, largest).map(|i| i.call)
    }

    fn first_level(&self) -> Option<usize> {
        self.levels.iter().position(|l| !l.flows.is_empty())
    }

    /// Returns the level that is served next: the highest, unless enough
    /// tokens are owed for the next call of a lower one.
    fn next_level(&mut self) -> Option<usize> {
        let first = self.first_level()?;
        let mut lower = (1..=LEVELS).map(|d| (self.last_lower_level + d) % LEVELS);
        let waiting = |l: &usize| *l > first && !self.levels[*l].flows.is_empty();
        let Some(next) = lower.find(waiting) else {
            return Some(first);
        };
        let workspace = self.levels[next].front()?;
        let head = self.head(next, workspace)?;
        let cost = head.tokens.saturating_mul(self.settings.lower_share);
        Some(if self.lower_credit >= cost {
            next
        } else {
            first
        })
    }

    /// Accounts the service of a level while `first` is the highest waiting.
    fn account_service(&mut self, level: usize, first: usize, tokens: u64) {
        if level > first {
            let spent = tokens.saturating_mul(self.settings.lower_share);
            self.lower_credit = self.lower_credit.saturating_sub(spent);
            self.last_lower_level = level;
            return;
        }
        let mut lower = self.levels[first + 1..].iter();
        if lower.any(|l| !l.flows.is_empty()) {
            self.lower_credit = self.lower_credit.saturating_add(tokens);
        } else {
            self.lower_credit = 0;
        }
    }
}

fn index(urgency: u8) -> usize {
    usize::from(urgency).min(LEVELS - 1)
}

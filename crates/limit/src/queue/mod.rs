//! A bounded queue that is fair between workspaces by token cost.
//!
//! Inside each of eight priority levels, workspaces are served by deficit round
//! robin: each backlogged workspace gets a quantum of tokens per round, so a
//! workspace with large calls or many calls gets no more tokens than others.
//! Higher levels go first, but a fixed share of the tokens is reserved for
//! lower levels, so that low priority is slow rather than starved. Calls leave
//! by service, by cancellation, when their latest start passes, or when the
//! queue is full and they belong to the lowest level's most backlogged
//! workspace. State exists only for workspaces with queued calls.

mod level;

use std::collections::{BTreeSet, HashMap};

use sesamerock_base::key::Workspace;
use sesamerock_base::time::Moment;

use level::Level;

/// Number of priority levels, as defined by RFC 9218.
pub const LEVELS: usize = 8;

/// Highest cost of a call; a higher one counts as this. It is far beyond what any upstream can
/// run, and the costs of all queued calls can be added up.
pub const MAX_TOKENS: u64 = 1 << 40;

/// Identifies one attempt of a call; the caller never reuses a value.
pub type CallId = u64;

/// Capacity and fairness of a queue.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Maximum number of queued calls.
    pub calls: usize,
    /// Tokens added to the deficit of a workspace per round.
    pub quantum: u64,
    /// While lower levels wait, they get one token for each `lower_share`
    /// tokens served to the highest waiting level.
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

/// A queued call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Item {
    /// Identifies the call.
    pub call: CallId,
    /// Workspace on whose behalf the call is made; the unit of fairness.
    pub workspace: Workspace,
    /// Cost in tokens, [`MAX_TOKENS`] at most.
    pub tokens: u64,
    /// Priority level, 0 (highest) to 7; larger values count as 7.
    pub urgency: u8,
    /// The latest time at which starting the call is still useful.
    pub latest_start: Moment,
}

/// Result of [`Queue::push`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushOutcome {
    /// The call was queued.
    Queued,
    /// The call was queued; the contained call was evicted from the full queue.
    Evicted(Item),
    /// The call was not queued: the queue is full, and no call can be evicted in
    /// its favour.
    Full,
    /// The call was already queued; the queue is unchanged.
    Duplicate,
}

/// The queue of one upstream.
#[derive(Clone, Debug)]
pub struct Queue {
    settings: Settings,
    levels: [Level; LEVELS],
    items: HashMap<CallId, (Item, u64)>,
    deadlines: BTreeSet<(Moment, CallId)>,
    stamp: u64,
    /// Tokens served to the highest waiting level while lower levels wait, less
    /// `lower_share` times those served to lower levels.
    lower_balance: u64,
    /// The lower level that was last served from `lower_balance`.
    last_lower_level: usize,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            levels: Default::default(),
            items: HashMap::new(),
            deadlines: BTreeSet::new(),
            stamp: 0,
            lower_balance: 0,
            last_lower_level: 0,
        }
    }

    /// Returns the number of queued calls.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns the number of queued calls of a priority level and of those above it.
    pub fn len_up_to(&self, urgency: u8) -> usize {
        let levels = self.levels[..=index(urgency)].iter();
        let flows = levels.flat_map(|level| level.flows.values());
        flows.map(|flow| flow.queued_calls).sum()
    }

    /// Returns whether no call is queued.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns whether the call is queued.
    pub fn contains(&self, call: CallId) -> bool {
        self.items.contains_key(&call)
    }

    /// Returns the queued tokens of all levels.
    pub fn tokens(&self) -> u64 {
        self.levels.iter().map(|l| l.tokens).sum()
    }

    /// Returns the number of workspace records held, to check that memory is
    /// bounded.
    pub fn flows(&self) -> usize {
        self.levels.iter().map(|l| l.flows.len()).sum()
    }

    /// Returns the number of elements held in flows and rounds, including stale
    /// ones, to check that memory is bounded.
    pub fn elements(&self) -> usize {
        let flows = self.levels.iter().flat_map(|l| l.flows.values());
        let calls: usize = flows.map(|f| f.calls.len()).sum();
        calls + self.levels.iter().map(|l| l.round.len()).sum::<usize>()
    }

    /// Adds a call. A full queue evicts calls of lower levels first, then of
    /// the workspace with the most queued tokens.
    pub fn push(&mut self, item: Item) -> PushOutcome {
        self.push_at(item, false)
    }

    /// Adds a call as [`Queue::push`] does, before the other calls of its workspace and level: its
    /// caller was told to come back now.
    pub fn push_first(&mut self, item: Item) -> PushOutcome {
        self.push_at(item, true)
    }

    fn push_at(&mut self, item: Item, is_first: bool) -> PushOutcome {
        let item = Item {
            tokens: item.tokens.min(MAX_TOKENS),
            ..item
        };
        if self.items.contains_key(&item.call) {
            return PushOutcome::Duplicate;
        }
        if self.items.len() < self.settings.calls {
            self.insert(item, is_first);
            return PushOutcome::Queued;
        }
        let Some(eviction_candidate) = self.eviction_candidate(&item) else {
            return PushOutcome::Full;
        };
        let evicted = self.remove(eviction_candidate);
        self.insert(item, is_first);
        evicted.map_or(PushOutcome::Queued, PushOutcome::Evicted)
    }

    /// Removes and returns a call; `None` if the call was not queued.
    pub fn remove(&mut self, call: CallId) -> Option<Item> {
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

    /// Removes and returns one call whose latest start has passed.
    pub fn pop_expired(&mut self, now: Moment) -> Option<Item> {
        let (latest, call) = *self.deadlines.first()?;
        if latest >= now {
            return None;
        }
        self.remove(call)
    }

    /// Returns the earliest latest start of all queued calls.
    pub fn next_deadline(&self) -> Option<Moment> {
        self.deadlines.first().map(|(latest, _)| *latest)
    }

    /// Returns the call to be served next. Rounds advance here, and
    /// [`Queue::pop`] then takes exactly this call.
    pub fn peek(&mut self) -> Option<Item> {
        let level = self.next_level()?;
        let quantum = self.settings.quantum.max(1);
        let mut turns = 0;
        loop {
            if turns > self.levels[level].flows.len() {
                self.skip_rounds(level, quantum);
                turns = 0;
            }
            turns += 1;
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

    /// Adds the quanta of all rounds in which no call could be served, so that the time to find the
    /// next call does not depend on its cost.
    fn skip_rounds(&mut self, level: usize, quantum: u64) {
        let flows = self.levels[level].flows.iter();
        let deficits: Vec<_> = flows.map(|(it, flow)| (*it, flow.deficit)).collect();
        let rounds = deficits.into_iter().filter_map(|(workspace, deficit)| {
            let head = self.head(level, workspace)?;
            Some(head.tokens.saturating_sub(deficit).div_ceil(quantum))
        });
        // The last round is served in turns.
        let skipped = rounds.min().unwrap_or_default().saturating_sub(1);
        for flow in self.levels[level].flows.values_mut() {
            flow.deficit += skipped * quantum;
        }
    }

    /// Removes and returns the call that [`Queue::peek`] returns.
    pub fn pop(&mut self) -> Option<Item> {
        let item = self.peek()?;
        let index = index(item.urgency);
        let first = self.first_level()?;
        self.account_service(index, first, item.tokens);
        let level = &mut self.levels[index];
        let flow = level.flows.get_mut(&item.workspace)?;
        flow.deficit -= item.tokens;
        let remaining = flow.deficit;
        self.remove(item.call);
        // A workspace keeps its turn while its deficit covers the next call.
        if let Some(next) = self.head(index, item.workspace)
            && next.tokens > remaining
        {
            self.levels[index].round.rotate_left(1);
        }
        Some(item)
    }

    /// Returns how many tokens would be served before a call of this workspace,
    /// cost and level if the call were pushed now and no others followed.
    pub fn tokens_ahead(&self, workspace: Workspace, tokens: u64, urgency: u8) -> u64 {
        let index = index(urgency);
        let tokens = tokens.min(MAX_TOKENS);
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
    pub fn drain(&mut self) -> Vec<Item> {
        let mut items: Vec<_> = self.items.drain().map(|(_, item)| item).collect();
        items.sort_unstable_by_key(|(_, stamp)| *stamp);
        let items = items.into_iter().map(|(item, _)| item).collect();
        self.levels = Default::default();
        self.deadlines.clear();
        items
    }

    fn insert(&mut self, item: Item, is_first: bool) {
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
        let element = (item.call, self.stamp);
        if is_first {
            flow.calls.push_front(element);
        } else {
            flow.calls.push_back(element);
        }
        flow.queued_calls += 1;
        flow.tokens += item.tokens;
        level.backlog.insert((flow.tokens, item.workspace));
    }

    /// Returns the oldest queued call of a workspace, dropping stale elements.
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

    /// Returns the newest queued call of a workspace, dropping stale elements.
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

    /// Drops stale elements once they outnumber the queued calls, which keeps
    /// the amortized cost of a removal constant.
    fn compact(&mut self, level: usize, workspace: Workspace) {
        if let Some(flow) = self.levels[level].flows.get_mut(&workspace)
            && flow.calls.len() > 2 * flow.queued_calls + 8
        {
            let items = &self.items;
            let is_queued =
                |(call, stamp): &(CallId, u64)| items.get(call).is_some_and(|i| i.1 == *stamp);
            flow.calls.retain(is_queued);
        }
    }

    /// Returns the call to evict from a full queue in favour of `item`, if any.
    fn eviction_candidate(&mut self, item: &Item) -> Option<CallId> {
        let own_level = index(item.urgency);
        let lowest = (0..LEVELS)
            .rev()
            .find(|l| !self.levels[*l].flows.is_empty())?;
        if lowest < own_level {
            return None;
        }
        let (tokens, largest) = *self.levels[lowest].backlog.last()?;
        if lowest == own_level {
            let flow = self.levels[own_level].flows.get(&item.workspace);
            let tokens_after = flow.map_or(0, |f| f.tokens) + item.tokens;
            if largest == item.workspace || tokens_after >= tokens {
                return None;
            }
        }
        self.tail(lowest, largest).map(|i| i.call)
    }

    fn first_level(&self) -> Option<usize> {
        self.levels.iter().position(|l| !l.flows.is_empty())
    }

    /// Returns the level to be served next: the highest, unless the credit of
    /// lower levels covers the next call of one of them.
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
        Some(if self.lower_balance >= cost {
            next
        } else {
            first
        })
    }

    /// Updates the credit of lower levels after a call of `level` was served;
    /// `first` is the highest level that was waiting.
    fn account_service(&mut self, level: usize, first: usize, tokens: u64) {
        if level > first {
            let spent = tokens.saturating_mul(self.settings.lower_share);
            self.lower_balance = self.lower_balance.saturating_sub(spent);
            self.last_lower_level = level;
            return;
        }
        let mut lower = self.levels[first + 1..].iter();
        if lower.any(|l| !l.flows.is_empty()) {
            self.lower_balance = self.lower_balance.saturating_add(tokens);
        } else {
            self.lower_balance = 0;
        }
    }
}

fn index(urgency: u8) -> usize {
    usize::from(urgency).min(LEVELS - 1)
}

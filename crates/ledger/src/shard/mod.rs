//! One shard of keys in one agent: fold, batch and calls joined together.
//!
//! Events go in through [`Shard::submit`], [`Shard::apply_page`], [`Shard::append_failed`],
//! [`Shard::tick`], [`Shard::begin`], [`Shard::decline`] and [`Shard::finish`];
//! actions come out of [`Shard::next_action`]. An agent calls `next` until it returns
//! `None` after each event, and `tick` at [`Shard::wake_at`] or each second.
//!
//! Times must come from a monotonic clock: how long an outcome is kept is
//! measured by it, and a clock that jumps ahead would let a key run again.

mod decide;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::attempt::{Answer, Call, Finish, PendingCall, Permit, Receipt, Refusal, Stage, Ticket};
use crate::batch::{self, AgentId, Batch, Urgency};
use crate::fold::{self, KeyStatus, Ledger, NotReady, Page, Progress, Snapshot};
use crate::id::{Attempt, Incarnation, Key};
use crate::record::{Entry, Intent, OwnAttempt, Record, RecordedOutcome};
use crate::safety::SafetyRules;

/// Settings of a shard.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Settings of the fold.
    pub fold: fold::Config,
    /// Settings of the group commit.
    pub batch: batch::Config,
    /// Time without an answer of the log after which new calls are refused.
    pub max_read_age: Duration,
    /// Time after its deadline that a call waits for its fate to be certain.
    pub grace_period: Duration,
    /// Largest number of calls in flight.
    pub max_calls: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            fold: fold::Config::default(),
            batch: batch::Config::default(),
            max_read_age: Duration::from_secs(2),
            grace_period: Duration::from_secs(1),
            max_calls: 10_000,
        }
    }
}

/// What the agent has to do.
#[derive(Debug)]
pub enum Action {
    /// Append the entry to the shard's stream.
    Append(Arc<Entry>),
    /// Run the call.
    Run(Permit),
    /// Respond to the call.
    Answer(Ticket, Answer),
}

/// The permit came too late: nothing may be sent, and a void is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeadlinePassed;

/// One shard of keys in one agent.
#[derive(Debug)]
pub struct Shard {
    config: Config,
    rules: SafetyRules,
    ledger: Ledger,
    batch: Batch,
    calls: BTreeMap<u64, PendingCall>,
    by_key: BTreeMap<Key, Vec<u64>>,
    timers: BTreeSet<(Moment, u64)>,
    actions: VecDeque<Action>,
    snapshot: Option<Snapshot>,
    last_snapshot_number: u64,
    last_page_at: Option<Moment>,
    /// Whether keys changed while the fold was not ready.
    evaluation_deferred: bool,
    last_sequence: u64,
}

impl Shard {
    /// Makes the shard of an agent process that has just started.
    pub fn new(config: Config, agent_id: AgentId) -> Self {
        Self::with_rules(config, agent_id, SafetyRules::default())
    }

    /// Makes a shard with safety rules turned off, for mutation checks.
    #[doc(hidden)]
    pub fn with_rules(config: Config, agent_id: AgentId, rules: SafetyRules) -> Self {
        Self {
            config,
            rules,
            ledger: Ledger::with_rules(config.fold, rules),
            batch: Batch::new(config.batch, agent_id),
            calls: BTreeMap::new(),
            by_key: BTreeMap::new(),
            timers: BTreeSet::new(),
            actions: VecDeque::new(),
            snapshot: None,
            last_snapshot_number: 0,
            last_page_at: None,
            evaluation_deferred: false,
            last_sequence: 0,
        }
    }

    /// Takes a call; its end is a [`Action::Run`] or a [`Action::Answer`] with
    /// the returned ticket.
    pub fn submit(&mut self, call: Call, now: Moment) -> Ticket {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let status = self.ledger.status(&call.key);
        if let Some(refusal) = self.refusal(&status, now) {
            self.respond(sequence, Answer::Refused(refusal));
            return Ticket(sequence);
        }
        let pending = PendingCall {
            call,
            stage: Stage::Open,
            answered: false,
            given_up: false,
        };
        self.calls.insert(sequence, pending);
        self.by_key.entry(call.key).or_default().push(sequence);
        self.timers.insert((call.deadline, sequence));
        self.evaluate(sequence, now);
        Ticket(sequence)
    }

    /// Takes an answer of the log to a read from [`Self::read_offset`].
    ///
    /// There must be one read at a time; the answer to a read that was given up
    /// must be dropped, since a lower head means that the log restarted.
    pub fn apply_page(&mut self, page: &Page, now: Moment) {
        self.last_page_at = Some(now);
        let entries = page.entries.iter().filter_map(|(_, entry)| entry.as_ref());
        for entry in entries {
            self.batch.observe(entry, now);
        }
        self.ledger.apply_page(page, now);
        self.evaluate_changed(now);
        self.run_maintenance(now);
    }

    /// Takes note that the append of an entry failed or is unanswered. An append
    /// that was answered needs no note: it counts once it is read.
    pub fn append_failed(&mut self, entry: &Entry, retry_after: Option<Duration>, now: Moment) {
        self.batch.append_failed(entry.number, retry_after, now);
    }

    /// Handles deadlines and periodic work.
    pub fn tick(&mut self, now: Moment) {
        while let Some(&(at, sequence)) = self.timers.first()
            && at <= now
        {
            self.timers.pop_first();
            self.expire(sequence, now);
        }
        self.batch.tick(now);
        self.run_maintenance(now);
    }

    /// Returns the next thing to do.
    pub fn next_action(&mut self, now: Moment) -> Option<Action> {
        if let Some(action) = self.actions.pop_front() {
            return Some(action);
        }
        let entry = self.batch.poll(now)?;
        if !self.rules.own_intent_first {
            self.grant_before_read(&entry);
        }
        Some(Action::Append(entry))
    }

    /// Returns when [`Self::tick`] and [`Self::next_action`] have something to do.
    pub fn wake_at(&self) -> Option<Moment> {
        let timer = self.timers.first().map(|(at, _)| *at);
        [timer, self.batch.wake_at()].into_iter().flatten().min()
    }

    /// Turns the permit into a receipt, just before the request is sent.
    ///
    /// # Errors
    ///
    /// [`DeadlinePassed`] if the deadline has passed; the answer follows as an action.
    pub fn begin(&mut self, permit: Permit, now: Moment) -> Result<Receipt, DeadlinePassed> {
        let late = now >= permit.deadline;
        let ticket = permit.into_ticket();
        if late {
            self.withdraw(ticket.0, Refusal::Deadline, now);
            return Err(DeadlinePassed);
        }
        Ok(Receipt { ticket })
    }

    /// Gives back a permit with which nothing was sent and nothing will be; the
    /// answer follows as an action once the key is free for others.
    pub fn decline(&mut self, permit: Permit, now: Moment) {
        self.withdraw(permit.into_ticket().0, Refusal::Declined, now);
    }

    /// Takes the end of a call that was sent. The agent itself passes the
    /// response on to its caller.
    pub fn finish(&mut self, receipt: Receipt, finish: Finish, now: Moment) {
        let sequence = receipt.into_ticket().0;
        let Some(pending) = self.calls.get(&sequence) else {
            return;
        };
        let key = pending.call.key;
        let record = match finish {
            Finish::Done(outcome) => Record::Outcome(RecordedOutcome {
                key,
                sequence,
                outcome: Arc::new(outcome),
            }),
            Finish::Broken => Record::Broken(OwnAttempt { key, sequence }),
        };
        self.batch.push(record, Urgency::Lazy, now);
        self.remove(sequence);
    }

    /// Returns the offset from which to read next.
    pub fn read_offset(&self) -> u64 {
        self.ledger.read_offset()
    }

    /// Says that the log answers again; see [`Ledger::reconnected`].
    pub fn reconnected(&mut self) {
        self.ledger.reconnected();
    }

    /// Returns how far this agent has read, to be told to peers.
    pub fn progress(&self) -> Progress {
        self.ledger.progress()
    }

    /// Says how far a peer has read; see [`Ledger::require`].
    pub fn require(&mut self, progress: Progress) {
        self.ledger.require(progress);
    }

    /// Says how many agents, including this one, serve the shard.
    pub const fn set_agents(&mut self, agents: usize) {
        self.batch.set_known_writers(agents);
    }

    /// Says that an agent process is known to be gone.
    pub fn mark_dead(&mut self, incarnation: Incarnation, now: Moment) {
        self.ledger.mark_dead(incarnation);
        self.evaluate_changed(now);
    }

    /// Returns whether calls may run, or why not.
    ///
    /// # Errors
    ///
    /// The reason, if calls may not run.
    pub fn ready(&self) -> Result<(), NotReady> {
        self.ledger.ready()
    }

    /// Returns the fold.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the group commit.
    pub const fn batch(&self) -> &Batch {
        &self.batch
    }

    /// Returns the number of calls in flight.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether a graceful shutdown may end the process: no call is in
    /// flight and every record was read back.
    pub fn is_drained(&self) -> bool {
        self.calls.is_empty() && self.batch.is_empty()
    }

    fn respond(&mut self, sequence: u64, answer: Answer) {
        self.actions
            .push_back(Action::Answer(Ticket(sequence), answer));
    }

    fn push_intent(&mut self, sequence: u64, call: &Call, now: Moment) {
        let intent = Intent {
            key: call.key,
            request: call.request,
            sequence,
        };
        self.batch.push(Record::Intent(intent), Urgency::Now, now);
    }

    fn push_void(&mut self, sequence: u64, key: Key, now: Moment) {
        let void = Record::Void(OwnAttempt { key, sequence });
        self.batch.push(void, Urgency::Now, now);
    }

    fn own_attempt(&self, sequence: u64) -> Attempt {
        Attempt {
            incarnation: self.batch.agent_id().incarnation,
            sequence,
        }
    }

    fn remove(&mut self, sequence: u64) {
        let Some(pending) = self.calls.remove(&sequence) else {
            return;
        };
        if let Some(list) = self.by_key.get_mut(&pending.call.key) {
            list.retain(|other| *other != sequence);
            if list.is_empty() {
                self.by_key.remove(&pending.call.key);
            }
        }
        self.timers.remove(&(pending.call.deadline, sequence));
    }
}

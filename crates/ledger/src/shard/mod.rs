//! State machine for one shard of keys in one agent. It combines the fold of
//! the stream, the group commit and the calls of this agent.
//!
//! The agent passes events to [`Shard::submit`], [`Shard::apply_page`],
//! [`Shard::append_failed`], [`Shard::tick`], [`Shard::begin`],
//! [`Shard::decline`] and [`Shard::finish`]. After each event it must call
//! [`Shard::next_action`] until that returns `None`. It must call `tick` at
//! [`Shard::wake_at`], and at least once a second.
//!
//! All times must come from a monotonic clock. It measures how long outcomes
//! are kept, and a clock that jumps ahead would let a key run again.

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
    /// Maximum time since the log last answered a read. After it, new calls are
    /// refused.
    pub max_read_age: Duration,
    /// Time after its deadline for which a call waits until it is certain
    /// whether its intent or void is in the log.
    pub grace_period: Duration,
    /// Maximum number of calls in flight.
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

/// What the agent has to do next.
#[derive(Debug)]
pub enum Action {
    /// Append the entry to the shard's stream.
    Append(Arc<Entry>),
    /// Run the call that the permit is for.
    Run(Permit),
    /// Respond to the call with the answer.
    Answer(Ticket, Answer),
}

/// The permit was used after the call's deadline. The call must not be sent;
/// its void was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeadlinePassed;

/// The state machine of one shard in one agent.
#[derive(Debug)]
pub struct Shard {
    config: Config,
    rules: SafetyRules,
    ledger: Ledger,
    batch: Batch,
    /// Calls by the sequence of their attempt, which their ticket holds.
    calls: BTreeMap<u64, PendingCall>,
    /// Sequences of the calls by key.
    by_key: BTreeMap<Key, Vec<u64>>,
    /// Deadlines and ends of grace periods, with the sequence of the call.
    timers: BTreeSet<(Moment, u64)>,
    actions: VecDeque<Action>,
    /// The snapshot that is being written.
    snapshot: Option<Snapshot>,
    last_snapshot_number: u64,
    /// When the log last answered a read.
    last_page_at: Option<Moment>,
    /// Whether keys changed while the fold was not ready, so that all calls
    /// must be evaluated once it is.
    evaluation_deferred: bool,
    last_sequence: u64,
}

impl Shard {
    /// Creates the shard of an agent process that has just started.
    pub fn new(config: Config, agent_id: AgentId) -> Self {
        Self::with_rules(config, agent_id, SafetyRules::default())
    }

    /// Creates a shard with some safety rules turned off, for mutation tests.
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

    /// Accepts or refuses a call. It results in an [`Action::Run`] or an
    /// [`Action::Answer`] with the returned ticket.
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

    /// Applies the response of the log to a read from [`Self::read_offset`].
    ///
    /// There must be one read at a time. The response to a read that was
    /// abandoned must be dropped, since a head lower than before means that the
    /// log restarted.
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

    /// Must be called when the append of an entry failed or was not answered. A
    /// successful append needs no call, since it takes effect when it is read.
    pub fn append_failed(&mut self, entry: &Entry, retry_after: Option<Duration>, now: Moment) {
        self.batch.append_failed(entry.number, retry_after, now);
    }

    /// Handles calls whose deadline or grace period has passed, and runs
    /// periodic work.
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

    /// Returns the next action, if any.
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

    /// Returns when [`Self::tick`] and [`Self::next_action`] must be called
    /// next; `None` if only an event can cause work.
    pub fn wake_at(&self) -> Option<Moment> {
        let timer = self.timers.first().map(|(at, _)| *at);
        [timer, self.batch.wake_at()].into_iter().flatten().min()
    }

    /// Exchanges the permit for a receipt. Must be called just before the
    /// request is sent.
    ///
    /// # Errors
    ///
    /// [`DeadlinePassed`] if the call's deadline has passed. The answer follows
    /// as an action.
    pub fn begin(&mut self, permit: Permit, now: Moment) -> Result<Receipt, DeadlinePassed> {
        let late = now >= permit.deadline;
        let ticket = permit.into_ticket();
        if late {
            self.withdraw(ticket.0, Refusal::Deadline, now);
            return Err(DeadlinePassed);
        }
        Ok(Receipt { ticket })
    }

    /// Returns a permit that was not used to send a call. The answer follows as
    /// an action once the void was read back, or after the grace period.
    pub fn decline(&mut self, permit: Permit, now: Moment) {
        self.withdraw(permit.into_ticket().0, Refusal::Declined, now);
    }

    /// Records the outcome of a call that was sent. The agent itself passes the
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

    /// Returns the offset from which to read the stream next.
    pub fn read_offset(&self) -> u64 {
        self.ledger.read_offset()
    }

    /// Must be called when the log answers again after errors or a pause; see
    /// [`Ledger::reconnected`].
    pub fn reconnected(&mut self) {
        self.ledger.reconnected();
    }

    /// Returns how far this agent has read, to be sent to peers that start or
    /// reconnect.
    pub fn progress(&self) -> Progress {
        self.ledger.progress()
    }

    /// Requires this agent to reach the progress of a peer before it runs
    /// calls; see [`Ledger::require`].
    pub fn require(&mut self, progress: Progress) {
        self.ledger.require(progress);
    }

    /// Sets how many agents, including this one, serve the shard. They share
    /// the append rate.
    pub const fn set_agents(&mut self, agents: usize) {
        self.batch.set_known_writers(agents);
    }

    /// Records that an agent process has ended; see [`Ledger::mark_dead`].
    pub fn mark_dead(&mut self, incarnation: Incarnation, now: Moment) {
        self.ledger.mark_dead(incarnation);
        self.evaluate_changed(now);
    }

    /// Returns `Ok` if calls may run.
    ///
    /// # Errors
    ///
    /// Why no call may run now.
    pub fn ready(&self) -> Result<(), NotReady> {
        self.ledger.ready()
    }

    /// Returns the folded state of the stream.
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the records that are not yet known to be in the log.
    pub const fn batch(&self) -> &Batch {
        &self.batch
    }

    /// Returns the number of calls that have not ended, including those kept
    /// only until their intent is voided.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether the process can be stopped gracefully: no call is in
    /// flight, and every record was read back.
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

    fn attempt(&self, sequence: u64) -> Attempt {
        Attempt {
            incarnation: self.batch.agent_id().incarnation,
            sequence,
        }
    }

    fn remove(&mut self, sequence: u64) {
        let Some(pending) = self.calls.remove(&sequence) else {
            return;
        };
        if let Some(sequences) = self.by_key.get_mut(&pending.call.key) {
            sequences.retain(|other| *other != sequence);
            if sequences.is_empty() {
                self.by_key.remove(&pending.call.key);
            }
        }
        self.timers.remove(&(pending.call.deadline, sequence));
    }
}

//! Decides about calls after changes of the log, deadlines, and events from
//! executors.

use super::{
    Action, Answer, Entry, KeyStatus, Moment, Permit, Record, Refusal, Shard, Stage, Ticket,
    Urgency,
};
use crate::attempt::Call;
use crate::fold::Holder;

impl Shard {
    /// Returns why a new call cannot be accepted, if so. A recorded response
    /// can always be replayed; any other call needs a log that answers reads.
    pub(super) fn refusal(&self, status: &KeyStatus, now: Moment) -> Option<Refusal> {
        if matches!(status, KeyStatus::Done(..)) {
            return None;
        }
        if let Err(reason) = self.ledger.ready() {
            return Some(Refusal::NotReady(reason));
        }
        let log_down = self
            .last_page_at
            .is_none_or(|at| now.since(at) > self.config.max_read_age);
        if log_down {
            return Some(Refusal::LogDown);
        }
        (self.calls.len() >= self.config.max_calls).then_some(Refusal::Full)
    }

    /// Evaluates the calls whose keys changed, once the fold is ready.
    pub(super) fn evaluate_changed(&mut self, now: Moment) {
        let (changed, all_changed) = self.ledger.take_changed();
        if self.ledger.ready().is_err() {
            self.evaluation_deferred = true;
            return;
        }
        let all_changed = std::mem::take(&mut self.evaluation_deferred) || all_changed;
        let sequences: Vec<u64> = if all_changed {
            self.calls.keys().copied().collect()
        } else {
            changed
                .iter()
                .filter_map(|key| self.by_key.get(key))
                .flatten()
                .copied()
                .collect()
        };
        for sequence in sequences {
            self.evaluate(sequence, now);
        }
    }

    /// Decides about one call by the status of its key. While the fold is not
    /// ready, only recorded responses are replayed.
    pub(super) fn evaluate(&mut self, sequence: u64, now: Moment) {
        let Some(pending) = self.calls.get(&sequence) else {
            return;
        };
        let (call, stage) = (pending.call, pending.stage);
        let status = self.ledger.status(&call.key);
        let has_outcome = matches!(status, KeyStatus::Done(..));
        if self.ledger.ready().is_err() && !has_outcome {
            return;
        }
        match stage {
            Stage::Running => {}
            Stage::Voiding(refusal) => self.check_voiding(sequence, &call, &status, refusal, now),
            Stage::Open => self.check_open(sequence, &call, status, now),
        }
    }

    fn check_voiding(
        &mut self,
        sequence: u64,
        call: &Call,
        status: &KeyStatus,
        refusal: Refusal,
        now: Moment,
    ) {
        if holder(status).is_none_or(|holder| holder.attempt != self.attempt(sequence)) {
            self.conclude(sequence, Answer::Refused(refusal));
        } else if !self.batch.is_pending(sequence) {
            // The log lost the void when it restarted with a lower head.
            self.push_void(sequence, call.key, now);
        }
    }

    fn check_open(&mut self, sequence: u64, call: &Call, status: KeyStatus, now: Moment) {
        match holder(&status) {
            None => self.key_free(sequence, call, now),
            Some(holder) if holder.attempt == self.attempt(sequence) => self.key_won(sequence, now),
            Some(holder) => self.key_lost(sequence, call, holder, status),
        }
    }

    /// Handles a key that is free as far as the stream was read: the call's intent is
    /// pending, or must be sent now because an earlier winner voided its
    /// attempt.
    fn key_free(&mut self, sequence: u64, call: &Call, now: Moment) {
        if self.batch.is_pending(sequence) {
            return;
        }
        if self.is_given_up(sequence) {
            self.conclude(sequence, Answer::Refused(Refusal::Deadline));
        } else {
            self.push_intent(sequence, call, now);
        }
    }

    /// Handles a call whose intent was read as the first of its key: permits it to
    /// run, or withdraws it if it is late.
    fn key_won(&mut self, sequence: u64, now: Moment) {
        let Some(pending) = self.calls.get_mut(&sequence) else {
            return;
        };
        let late = pending.given_up || now >= pending.call.deadline;
        if late && self.rules.decline_final {
            self.withdraw(sequence, Refusal::Deadline, now);
            return;
        }
        pending.stage = Stage::Running;
        let deadline = pending.call.deadline;
        self.timers.remove(&(deadline, sequence));
        let permit = Permit {
            ticket: Ticket(sequence),
            attempt: self.attempt(sequence),
            deadline,
        };
        self.actions.push_back(Action::Run(permit));
    }

    /// Handles a call whose key another attempt holds: cancels its intent and answers
    /// it, unless the other attempt may still release the key.
    fn key_lost(&mut self, sequence: u64, call: &Call, holder: Holder, status: KeyStatus) {
        self.batch.cancel(sequence);
        let is_conflict = holder.request != call.request;
        let answer = match status {
            _ if is_conflict => Answer::Conflict,
            KeyStatus::Done(_, outcome) => Answer::Replay(outcome),
            KeyStatus::Unknown(_) => Answer::Unknown,
            _ if self.is_given_up(sequence) => Answer::InProgress,
            KeyStatus::Running(_) | KeyStatus::Free => return,
        };
        self.conclude(sequence, answer);
    }

    /// Answers a call that will not run. The call is kept while its intent is
    /// pending: the intent may still win, and must then be voided, or the key
    /// would stay blocked.
    fn conclude(&mut self, sequence: u64, answer: Answer) {
        let Some(pending) = self.calls.get_mut(&sequence) else {
            return;
        };
        let answered = std::mem::replace(&mut pending.answered, true);
        pending.given_up = true;
        if !answered {
            self.respond(sequence, answer);
        }
        if !self.batch.is_pending(sequence) {
            self.remove(sequence);
        }
    }

    /// Voids the attempt of a call that won its key but was not sent.
    pub(super) fn withdraw(&mut self, sequence: u64, refusal: Refusal, now: Moment) {
        let Some(pending) = self.calls.get_mut(&sequence) else {
            return;
        };
        pending.stage = Stage::Voiding(refusal);
        pending.given_up = true;
        let (key, deadline) = (pending.call.key, pending.call.deadline);
        self.timers.remove(&(deadline, sequence));
        self.timers
            .insert((now + self.config.grace_period, sequence));
        self.push_void(sequence, key, now);
    }

    /// Handles a call whose deadline, or the grace period after it, has passed.
    pub(super) fn expire(&mut self, sequence: u64, now: Moment) {
        let Some(pending) = self.calls.get_mut(&sequence) else {
            return;
        };
        let newly_given_up = !std::mem::replace(&mut pending.given_up, true);
        let (key, stage) = (pending.call.key, pending.stage);
        if stage == Stage::Running {
            return;
        }
        if newly_given_up && stage == Stage::Open {
            let never_sent = self.batch.cancel(sequence) || !self.batch.is_pending(sequence);
            if never_sent {
                let answer = self.deadline_answer(sequence, holder(&self.ledger.status(&key)));
                self.conclude(sequence, answer);
                return;
            }
            self.timers
                .insert((now + self.config.grace_period, sequence));
            return;
        }
        self.answer_unresolved(sequence);
    }

    /// Returns the answer at its deadline to a call whose intent is not
    /// pending, and which therefore never runs.
    fn deadline_answer(&self, sequence: u64, holder: Option<Holder>) -> Answer {
        match holder {
            Some(holder) if holder.attempt != self.attempt(sequence) => Answer::InProgress,
            _ => Answer::Refused(Refusal::Deadline),
        }
    }

    fn answer_unresolved(&mut self, sequence: u64) {
        if let Some(pending) = self.calls.get_mut(&sequence)
            && !std::mem::replace(&mut pending.answered, true)
        {
            self.respond(sequence, Answer::Unresolved);
        }
    }

    fn is_given_up(&self, sequence: u64) -> bool {
        self.calls
            .get(&sequence)
            .is_none_or(|pending| pending.given_up)
    }

    /// Appends age records and snapshot parts when they are due.
    pub(super) fn run_maintenance(&mut self, now: Moment) {
        let writer = self.batch.agent_id().incarnation;
        if !self.batch.has_pending_age()
            && let Some(age) = self.ledger.age_due(writer, now)
        {
            self.batch.push(Record::Age(age), Urgency::Lazy, now);
        }
        if self.batch.has_pending_part() {
            return;
        }
        if !self.ledger.snapshot_due(writer, now) {
            self.snapshot = None;
            return;
        }
        let snapshot = self.snapshot.get_or_insert_with(|| {
            self.last_snapshot_number += 1;
            self.ledger.snapshot(self.last_snapshot_number)
        });
        match self.ledger.next_part(snapshot) {
            Some(part) => self
                .batch
                .push(Record::Part(part.into()), Urgency::Lazy, now),
            None => self.snapshot = None,
        }
    }

    /// Runs the calls of an entry as soon as it is sent. Used only if
    /// [`SafetyRules::own_intent_first`](crate::safety::SafetyRules::own_intent_first)
    /// is off.
    pub(super) fn grant_before_read(&mut self, entry: &Entry) {
        for record in &entry.records {
            if let Record::Intent(intent) = record
                && let Some(pending) = self.calls.get_mut(&intent.sequence)
                && pending.stage == Stage::Open
            {
                pending.stage = Stage::Running;
                let permit = Permit {
                    ticket: Ticket(intent.sequence),
                    attempt: self.attempt(intent.sequence),
                    deadline: self.calls[&intent.sequence].call.deadline,
                };
                self.actions.push_back(Action::Run(permit));
            }
        }
    }
}

const fn holder(status: &KeyStatus) -> Option<Holder> {
    match status {
        KeyStatus::Free => None,
        KeyStatus::Running(holder) | KeyStatus::Done(holder, _) | KeyStatus::Unknown(holder) => {
            Some(*holder)
        }
    }
}

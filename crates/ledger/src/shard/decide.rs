//! What a change of the log, a deadline or an executor means for a call.

use super::{
    Action, Answer, Entry, KeyStatus, Moment, Permit, Record, Refusal, Shard, Stage, Ticket,
    Urgency,
};
use crate::attempt::Call;
use crate::fold::Holder;

impl Shard {
    /// Returns why a new call cannot be taken. A recorded response can always
    /// be replayed; everything else needs a log that is being read.
    pub(super) fn refusal(&self, standing: &KeyStatus, now: Moment) -> Option<Refusal> {
        if matches!(standing, KeyStatus::Done(..)) {
            return None;
        }
        if let Err(reason) = self.ledger.ready() {
            return Some(Refusal::NotReady(reason));
        }
        let silent = self
            .last_read
            .is_none_or(|read| now.since(read) > self.config.max_read_age);
        if silent {
            return Some(Refusal::LogDown);
        }
        (self.calls.len() >= self.config.max_calls).then_some(Refusal::Full)
    }

    /// Looks again at the calls whose keys changed.
    pub(super) fn review(&mut self, now: Moment) {
        let (touched, reloaded) = self.ledger.take_touched();
        if self.ledger.ready().is_err() {
            self.unreviewed = true;
            return;
        }
        let reloaded = std::mem::take(&mut self.unreviewed) || reloaded;
        let sequences: Vec<u64> = if reloaded {
            self.calls.keys().copied().collect()
        } else {
            touched
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

    /// Decides about one call from the standing of its key.
    pub(super) fn evaluate(&mut self, sequence: u64, now: Moment) {
        let Some(pending) = self.calls.get(&sequence) else {
            return;
        };
        let (call, stage) = (pending.call, pending.stage);
        let standing = self.ledger.status(&call.key);
        let replay = matches!(standing, KeyStatus::Done(..));
        if self.ledger.ready().is_err() && !replay {
            return;
        }
        match stage {
            Stage::Running => {}
            Stage::Voiding(refusal) => self.voiding(sequence, &call, &standing, refusal, now),
            Stage::Open => self.open(sequence, &call, standing, now),
        }
    }

    fn voiding(
        &mut self,
        sequence: u64,
        call: &Call,
        standing: &KeyStatus,
        refusal: Refusal,
        now: Moment,
    ) {
        if holder(standing).is_none_or(|holder| holder.attempt != self.own(sequence)) {
            self.end(sequence, Answer::Refused(refusal));
        } else if !self.batch.holds(sequence) {
            // The log lost the void when it restarted with a lower head.
            self.push_void(sequence, call.key, now);
        }
    }

    fn open(&mut self, sequence: u64, call: &Call, standing: KeyStatus, now: Moment) {
        match holder(&standing) {
            None => self.unclaimed(sequence, call, now),
            Some(holder) if holder.attempt == self.own(sequence) => self.won(sequence, now),
            Some(holder) => self.lost(sequence, call, holder, standing),
        }
    }

    /// The key is free as far as was read: the intent is on its way, or must
    /// be sent because the earlier winner voided.
    fn unclaimed(&mut self, sequence: u64, call: &Call, now: Moment) {
        if self.batch.holds(sequence) {
            return;
        }
        if self.is_given_up(sequence) {
            self.end(sequence, Answer::Refused(Refusal::Deadline));
        } else {
            self.push_intent(sequence, call, now);
        }
    }

    /// The own intent is the first of its key.
    fn won(&mut self, sequence: u64, now: Moment) {
        let Some(pending) = self.calls.get_mut(&sequence) else {
            return;
        };
        let late = pending.given_up || now >= pending.call.deadline;
        if late && self.guard.decline_final {
            self.withdraw(sequence, Refusal::Deadline, now);
            return;
        }
        pending.stage = Stage::Running;
        let deadline = pending.call.deadline;
        self.timers.remove(&(deadline, sequence));
        let permit = Permit {
            ticket: Ticket(sequence),
            attempt: self.own(sequence),
            deadline,
        };
        self.actions.push_back(Action::Run(permit));
    }

    /// Another attempt holds the key.
    fn lost(&mut self, sequence: u64, call: &Call, holder: Holder, standing: KeyStatus) {
        self.batch.cancel(sequence);
        let conflict = holder.request != call.request;
        let answer = match standing {
            _ if conflict => Answer::Conflict,
            KeyStatus::Done(_, outcome) => Answer::Replay(outcome),
            KeyStatus::Unknown(_) => Answer::Unknown,
            _ if self.is_given_up(sequence) => Answer::InProgress,
            KeyStatus::Running(_) | KeyStatus::Free => return,
        };
        self.end(sequence, answer);
    }

    /// Answers a call, and keeps it only while its intent may still win: the
    /// intent must then be voided, or the key would stay blocked.
    fn end(&mut self, sequence: u64, answer: Answer) {
        let Some(pending) = self.calls.get_mut(&sequence) else {
            return;
        };
        let answered = std::mem::replace(&mut pending.answered, true);
        pending.given_up = true;
        if !answered {
            self.respond(sequence, answer);
        }
        if !self.batch.holds(sequence) {
            self.remove(sequence);
        }
    }

    /// The winner states that it sent nothing and never will.
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

    /// A deadline, or the grace after it, has passed.
    pub(super) fn expire(&mut self, sequence: u64, now: Moment) {
        let Some(pending) = self.calls.get_mut(&sequence) else {
            return;
        };
        let first = !std::mem::replace(&mut pending.given_up, true);
        let (key, stage) = (pending.call.key, pending.stage);
        if stage == Stage::Running {
            return;
        }
        if first && stage == Stage::Open {
            let never_sent = self.batch.cancel(sequence) || !self.batch.holds(sequence);
            if never_sent {
                let answer = self.at_deadline(sequence, holder(&self.ledger.status(&key)));
                self.end(sequence, answer);
                return;
            }
            self.timers
                .insert((now + self.config.grace_period, sequence));
            return;
        }
        self.unresolved(sequence);
    }

    /// The answer of a call whose intent is not on its way: it never runs.
    fn at_deadline(&self, sequence: u64, holder: Option<Holder>) -> Answer {
        match holder {
            Some(holder) if holder.attempt != self.own(sequence) => Answer::InProgress,
            _ => Answer::Refused(Refusal::Deadline),
        }
    }

    fn unresolved(&mut self, sequence: u64) {
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

    /// States ages and writes snapshots when they are due.
    pub(super) fn upkeep(&mut self, now: Moment) {
        let me = self.batch.author().incarnation;
        if !self.batch.holds_age()
            && let Some(age) = self.ledger.age_due(me, now)
        {
            self.batch.push(Record::Age(age), Urgency::Lazy, now);
        }
        if self.batch.holds_part() {
            return;
        }
        if !self.ledger.snapshot_due(me, now) {
            self.snapshot = None;
            return;
        }
        let snapshot = self.snapshot.get_or_insert_with(|| {
            self.snapshots += 1;
            self.ledger.snapshot(self.snapshots)
        });
        match self.ledger.next_part(snapshot) {
            Some(part) => self
                .batch
                .push(Record::Part(part.into()), Urgency::Lazy, now),
            None => self.snapshot = None,
        }
    }

    /// Mutation: runs a call as soon as its intent is sent.
    pub(super) fn grant_unseen(&mut self, entry: &Entry) {
        for record in &entry.records {
            if let Record::Intent(intent) = record
                && let Some(pending) = self.calls.get_mut(&intent.sequence)
                && pending.stage == Stage::Open
            {
                pending.stage = Stage::Running;
                let permit = Permit {
                    ticket: Ticket(intent.sequence),
                    attempt: self.own(intent.sequence),
                    deadline: self.calls[&intent.sequence].call.deadline,
                };
                self.actions.push_back(Action::Run(permit));
            }
        }
    }
}

const fn holder(standing: &KeyStatus) -> Option<Holder> {
    match standing {
        KeyStatus::Free => None,
        KeyStatus::Running(holder) | KeyStatus::Done(holder, _) | KeyStatus::Unknown(holder) => {
            Some(*holder)
        }
    }
}

//! One entry at a time: who wins a key, what became of it.

use std::sync::Arc;

use sesamerock_base::time::Moment;

use super::{Holder, Ledger, Page, Progress, Slot};
use crate::id::{Attempt, Key};
use crate::record::{
    Age, Entry, ExecutionState, Intent, OwnAttempt, Part, Record, SnapshotId, WriterState,
};

impl Ledger {
    /// Folds the entry at an offset; returns false if the rest of the page must
    /// be dropped because the fold has to start over.
    pub(super) fn step(
        &mut self,
        offset: u64,
        entry: Option<&Entry>,
        page: &Page,
        now: Moment,
    ) -> bool {
        self.recheck = Some(offset + 1).filter(|after| *after < self.next);
        if offset < self.next {
            return self.trail.matches(self.next - offset, entry) || self.restarted(page, now);
        }
        if offset > self.next && !self.skip_to(offset, page) {
            return false;
        }
        self.next = offset + 1;
        self.trail.push(entry);
        self.verify();
        if self.resume() {
            return false;
        }
        if let Some(entry) = entry {
            return self.apply(offset, entry, now);
        }
        self.skipped += 1;
        true
    }

    /// Compares with a peer's mark once the fold has come as far.
    fn verify(&mut self) {
        let own = self.own();
        if let Some(mark) = self.required.take_if(|mark| *mark == own)
            && !mark.agrees(&self.trail)
        {
            self.await_repair(mark);
        }
    }

    /// Ends the wait for a repair if the entries that seemed lost are in the log,
    /// because an answer came from a replica that lagged. Returns true if the
    /// reader has to start over.
    fn resume(&mut self) -> bool {
        let own = self.own();
        let proved = |mark: &mut Progress| *mark == own && mark.is_proved_by(&self.trail);
        let Some(mark) = self.awaiting.take_if(proved) else {
            return false;
        };
        self.reloaded = true;
        if self.survived.take() == Some(mark) {
            return false;
        }
        // This reader folded nothing while it waited. What is required of it by
        // another mark stays required.
        let dead = std::mem::take(&mut self.dead);
        let required = self.required.take();
        *self = Self {
            dead,
            required,
            reloaded: true,
            ..Self::with_rules(self.config, self.guard)
        };
        true
    }

    /// Returns false if a repair took the place of the state.
    fn apply(&mut self, offset: u64, entry: &Entry, now: Moment) -> bool {
        for record in &entry.records {
            if let Record::Part(part) = record
                && part.base <= offset
                && (part.repair || self.awaiting.is_some())
                && self.repaired(entry, part, now)
            {
                return false;
            }
        }
        if self.awaiting.is_some() {
            return true;
        }
        if !self.admit(offset, entry) {
            self.touched
                .extend(entry.records.iter().filter_map(intended));
            return true;
        }
        for record in &entry.records {
            match record {
                Record::Intent(intent) => self.intent(offset, entry, intent),
                Record::Outcome(done) => {
                    let state = ExecutionState::Done(Arc::clone(&done.outcome), offset);
                    self.settle(offset, entry, done.key, done.sequence, state);
                }
                Record::Broken(own) => {
                    self.settle(offset, entry, own.key, own.sequence, ExecutionState::Broken);
                }
                Record::Void(own) => self.void(offset, entry, own),
                Record::Age(age) => self.age(offset, *age, now),
                Record::Part(part) if part.base > offset => {}
                Record::Part(part) => self.part(offset, entry, part, now),
            }
        }
        true
    }

    fn age(&mut self, offset: u64, age: Age, now: Moment) {
        let current = age.generation == self.generation;
        if current && self.aging.apply(age, offset, self.config.horizon, now) {
            self.evict();
        }
    }

    /// Notes the writer; returns false for an entry that was folded before. A
    /// late duplicate would otherwise revive the intent of a voided attempt,
    /// and the key would stay blocked.
    fn admit(&mut self, offset: u64, entry: &Entry) -> bool {
        if let Some(writer) = self.writers.get_mut(&entry.writer) {
            let fresh = entry.number > writer.number;
            if fresh {
                writer.number = entry.number;
                writer.last = offset;
            }
            return fresh;
        }
        for writer in self.writers.values_mut() {
            if writer.upstream == entry.upstream && !writer.superseded {
                writer.superseded = true;
                self.reloaded = true;
            }
        }
        let writer = WriterState {
            incarnation: entry.writer,
            upstream: Arc::clone(&entry.upstream),
            number: entry.number,
            last: offset,
            superseded: false,
        };
        self.writers.insert(entry.writer, writer);
        true
    }

    fn intent(&mut self, offset: u64, entry: &Entry, intent: &Intent) {
        if self.coverage.includes(&intent.key, offset) || self.live(&intent.key).is_some() {
            self.touched.push(intent.key);
            return;
        }
        let holder = Holder {
            attempt: attempt(entry, intent.sequence),
            request: intent.request,
        };
        let state = ExecutionState::Running;
        self.slots.insert(intent.key, Slot { holder, state });
        self.touched.push(intent.key);
    }

    fn settle(
        &mut self,
        offset: u64,
        entry: &Entry,
        key: Key,
        sequence: u64,
        state: ExecutionState,
    ) {
        if self.coverage.includes(&key, offset) {
            return;
        }
        let writer = attempt(entry, sequence);
        if let Some(slot) = self.slots.get_mut(&key)
            && slot.holder.attempt == writer
            && !matches!(slot.state, ExecutionState::Done(..))
        {
            slot.state = state;
            self.touched.push(key);
        }
    }

    fn void(&mut self, offset: u64, entry: &Entry, own: &OwnAttempt) {
        if self.coverage.includes(&own.key, offset) {
            return;
        }
        let writer = attempt(entry, own.sequence);
        let valid = self.slots.get(&own.key).is_some_and(|slot| {
            let by_winner = slot.holder.attempt == writer || !self.guard.void_by_winner;
            by_winner && matches!(slot.state, ExecutionState::Running)
        });
        if valid {
            self.slots.remove(&own.key);
        }
        self.touched.push(own.key);
    }

    fn part(&mut self, offset: u64, entry: &Entry, part: &Part, now: Moment) {
        let id = SnapshotId {
            writer: entry.writer,
            number: part.number,
        };
        self.tally.note(id, part, offset, now);
    }

    /// Collects a part of a repair, or of any snapshot written after a repair;
    /// returns true if it is complete and took the place of the state.
    ///
    /// Of the repairs of one generation the one that covers most counts, and of
    /// equal ones the first: its followers may have run calls already.
    fn repaired(&mut self, entry: &Entry, part: &Arc<Part>, now: Moment) -> bool {
        let id = SnapshotId {
            writer: entry.writer,
            number: part.number,
        };
        let Some(parts) = self.repairs.collect(id, part) else {
            return false;
        };
        let Some(stream) = &parts[0].stream else {
            return false;
        };
        let newer = (stream.generation, stream.through) > (self.generation, self.through);
        // A repair that covers less than what is awaited or required must not take
        // the place of what this reader, or a later repair, knows better.
        let mut marks = self.awaiting.iter().chain(&self.required);
        let enough =
            marks.all(|mark| mark.is_covered(stream) || mark.generation >= stream.generation);
        if newer && enough {
            self.load(&parts, now);
        }
        newer && enough
    }

    /// Forgets expired outcomes and the writers that were silent as long.
    fn evict(&mut self) {
        let expired = self.aging.expired();
        let keep_running = self.guard.keep_running;
        self.slots.retain(|_, slot| match slot.state {
            ExecutionState::Done(_, offset) => offset >= expired,
            ExecutionState::Running | ExecutionState::Broken => keep_running,
        });
        self.writers.retain(|_, writer| writer.last >= expired);
    }
}

const fn attempt(entry: &Entry, sequence: u64) -> Attempt {
    Attempt {
        incarnation: entry.writer,
        sequence,
    }
}

const fn intended(record: &Record) -> Option<Key> {
    match record {
        Record::Intent(intent) => Some(intent.key),
        _ => None,
    }
}

//! Folds single entries: which attempt wins a key, and what is recorded of its
//! execution.

use std::sync::Arc;

use sesamerock_base::time::Moment;

use super::{HeldKey, Holder, Ledger, Page, Progress};
use crate::id::{Attempt, Key};
use crate::record::{
    Age, Entry, ExecutionState, Intent, OwnAttempt, Part, Record, SnapshotId, WriterState,
};

impl Ledger {
    /// Folds the entry at an offset. Returns false if the rest of the page must
    /// be dropped because the fold has to start again.
    pub(super) fn fold_entry(
        &mut self,
        offset: u64,
        entry: Option<&Entry>,
        page: &Page,
        now: Moment,
    ) -> bool {
        self.recheck = Some(offset + 1).filter(|after| *after < self.next);
        if offset < self.next {
            return self.recent_entries.matches(self.next - offset, entry)
                || self.handle_log_restart(page, now);
        }
        if offset > self.next && !self.skip_to(offset, page) {
            return false;
        }
        self.next = offset + 1;
        self.recent_entries.push(entry);
        self.check_required();
        if self.cancel_repair_wait() {
            return false;
        }
        if let Some(entry) = entry {
            return self.apply(offset, entry, now);
        }
        self.skipped += 1;
        true
    }

    /// Compares the last entries with those of the required progress once the
    /// fold has reached its position.
    fn check_required(&mut self) {
        let own = self.own_progress();
        if let Some(progress) = self.required.take_if(|progress| *progress == own)
            && !progress.agrees(&self.recent_entries)
        {
            self.await_repair(progress);
        }
    }

    /// Stops waiting for a repair if the entries that seemed lost are in the
    /// log after all, because a lagging replica had answered. Returns true if
    /// the reader has to start again.
    fn cancel_repair_wait(&mut self) -> bool {
        let own = self.own_progress();
        let confirmed = |progress: &mut Progress| {
            *progress == own && progress.is_confirmed_by(&self.recent_entries)
        };
        let Some(progress) = self.awaited_repair.take_if(confirmed) else {
            return false;
        };
        self.all_changed = true;
        if self.read_before_loss.take() == Some(progress) {
            return false;
        }
        // This reader folded nothing while it waited, so it starts again.
        // Progress that another peer reported stays required.
        let dead = std::mem::take(&mut self.dead);
        let required = self.required.take();
        *self = Self {
            dead,
            required,
            all_changed: true,
            ..Self::with_rules(self.config, self.rules)
        };
        true
    }

    /// Applies the records of an entry. Returns false if a repair replaced the
    /// state.
    fn apply(&mut self, offset: u64, entry: &Entry, now: Moment) -> bool {
        for record in &entry.records {
            if let Record::Part(part) = record
                && part.base <= offset
                && (part.repair || self.awaited_repair.is_some())
                && self.apply_repair(entry, part, now)
            {
                return false;
            }
        }
        if self.awaited_repair.is_some() {
            return true;
        }
        if !self.record_writer(offset, entry) {
            self.changed_keys
                .extend(entry.records.iter().filter_map(intent_key));
            return true;
        }
        for record in &entry.records {
            match record {
                Record::Intent(intent) => self.apply_intent(offset, entry, intent),
                Record::Outcome(recorded) => {
                    let state = ExecutionState::Done(Arc::clone(&recorded.outcome), offset);
                    self.record_execution(offset, entry, recorded.key, recorded.sequence, state);
                }
                Record::Broken(attempt) => {
                    self.record_execution(
                        offset,
                        entry,
                        attempt.key,
                        attempt.sequence,
                        ExecutionState::Broken,
                    );
                }
                Record::Void(attempt) => self.apply_void(offset, entry, attempt),
                Record::Age(age) => self.apply_age(offset, *age, now),
                Record::Part(part) if part.base > offset => {}
                Record::Part(part) => self.apply_part(offset, entry, part, now),
            }
        }
        true
    }

    fn apply_age(&mut self, offset: u64, age: Age, now: Moment) {
        let current = age.generation == self.generation;
        if current && self.aging.apply(age, offset, self.config.horizon, now) {
            self.evict();
        }
    }

    /// Records the writer of an entry. Returns false for an entry that was
    /// folded before: a late duplicate would otherwise repeat the intent of a
    /// voided attempt, and the key would stay blocked.
    fn record_writer(&mut self, offset: u64, entry: &Entry) -> bool {
        if let Some(writer) = self.writers.get_mut(&entry.writer) {
            let is_new = entry.number > writer.number;
            if is_new {
                writer.number = entry.number;
                writer.last = offset;
            }
            return is_new;
        }
        for writer in self.writers.values_mut() {
            if writer.upstream == entry.upstream && !writer.superseded {
                writer.superseded = true;
                self.all_changed = true;
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

    fn apply_intent(&mut self, offset: u64, entry: &Entry, intent: &Intent) {
        if self.coverage.includes(&intent.key, offset) || self.unexpired(&intent.key).is_some() {
            self.changed_keys.push(intent.key);
            return;
        }
        let holder = Holder {
            attempt: attempt(entry, intent.sequence),
            request: intent.request,
        };
        let state = ExecutionState::Running;
        self.held_keys.insert(intent.key, HeldKey { holder, state });
        self.changed_keys.push(intent.key);
    }

    fn record_execution(
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
        let named = attempt(entry, sequence);
        if let Some(held) = self.held_keys.get_mut(&key)
            && held.holder.attempt == named
            && !matches!(held.state, ExecutionState::Done(..))
        {
            held.state = state;
            self.changed_keys.push(key);
        }
    }

    fn apply_void(&mut self, offset: u64, entry: &Entry, voided: &OwnAttempt) {
        if self.coverage.includes(&voided.key, offset) {
            return;
        }
        let named = attempt(entry, voided.sequence);
        let valid = self.held_keys.get(&voided.key).is_some_and(|held| {
            let by_winner = held.holder.attempt == named || !self.rules.void_by_winner;
            by_winner && matches!(held.state, ExecutionState::Running)
        });
        if valid {
            self.held_keys.remove(&voided.key);
        }
        self.changed_keys.push(voided.key);
    }

    fn apply_part(&mut self, offset: u64, entry: &Entry, part: &Part, now: Moment) {
        let id = SnapshotId {
            writer: entry.writer,
            number: part.number,
        };
        self.snapshots.add_part(id, part, offset, now);
    }

    /// Collects a part of a repair, or of any snapshot while a repair is
    /// awaited, since such a snapshot may have been written after the repair.
    /// Returns true if it is complete and replaced the state.
    ///
    /// Of the repairs of one generation, the one that covers the most entries
    /// takes effect, and of equal ones the first, since agents that loaded it
    /// may have run calls already.
    fn apply_repair(&mut self, entry: &Entry, part: &Arc<Part>, now: Moment) -> bool {
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
        // A repair that covers less than the awaited or required progress must
        // not replace this reader's state, nor the state of a later repair that
        // covers more.
        let mut expected = self.awaited_repair.iter().chain(&self.required);
        let covers_expected = expected.all(|progress| {
            progress.is_covered(stream) || progress.generation >= stream.generation
        });
        if newer && covers_expected {
            self.load(&parts, now);
        }
        newer && covers_expected
    }

    /// Drops expired outcomes, and writers whose last entry is as old.
    fn evict(&mut self) {
        let expired = self.aging.expired();
        let keep_running = self.rules.keep_running;
        self.held_keys.retain(|_, held| match held.state {
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

const fn intent_key(record: &Record) -> Option<Key> {
    match record {
        Record::Intent(intent) => Some(intent.key),
        _ => None,
    }
}

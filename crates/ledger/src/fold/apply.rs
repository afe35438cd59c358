//! One entry at a time: who wins a key, what became of it.

use std::sync::Arc;

use sesamerock_base::time::Moment;

use super::{Holder, Ledger, Page, Slot};
use crate::id::{Attempt, Key};
use crate::record::{Entry, Intent, Own, Part, Record, SnapshotId, State, Writer};

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
        if offset < self.next {
            return self.is_same(offset, entry) || self.restarted(page);
        }
        if offset > self.next && self.guard.gap_check {
            self.scan(page);
            return false;
        }
        self.next = offset + 1;
        self.last = entry.map(|entry| (entry.writer, entry.number));
        self.verify();
        match entry {
            Some(entry) => self.apply(offset, entry, now),
            None => self.skipped += 1,
        }
        true
    }

    /// Returns whether an entry read again is the one that was folded.
    fn is_same(&self, offset: u64, entry: Option<&Entry>) -> bool {
        let identity = entry.map(|entry| (entry.writer, entry.number));
        offset + 1 < self.next || self.last.is_none() || identity == self.last
    }

    /// Compares with a peer's mark once the fold has come as far.
    fn verify(&mut self) {
        if let Some(mark) = self.required
            && mark.position == self.next
        {
            if mark.last == self.last {
                self.required = None;
            } else {
                self.await_repair(mark.position);
            }
        }
    }

    fn apply(&mut self, offset: u64, entry: &Entry, now: Moment) {
        if !self.admit(offset, entry) {
            self.touched
                .extend(entry.records.iter().filter_map(intended));
            return;
        }
        for record in &entry.records {
            match record {
                Record::Intent(intent) => self.intent(offset, entry, intent),
                Record::Outcome(done) => {
                    let state = State::Done(Arc::clone(&done.outcome), offset);
                    self.settle(offset, entry, done.key, done.sequence, state);
                }
                Record::Broken(own) => {
                    self.settle(offset, entry, own.key, own.sequence, State::Broken);
                }
                Record::Void(own) => self.void(offset, entry, own),
                Record::Age(age) => {
                    if self.aging.apply(*age, offset, self.config.horizon, now) {
                        self.evict();
                    }
                }
                Record::Part(part) => self.part(offset, entry, part, now),
            }
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
        let writer = Writer {
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
        let state = State::Running;
        self.slots.insert(intent.key, Slot { holder, state });
        self.touched.push(intent.key);
    }

    fn settle(&mut self, offset: u64, entry: &Entry, key: Key, sequence: u64, state: State) {
        if self.coverage.includes(&key, offset) {
            return;
        }
        let writer = attempt(entry, sequence);
        if let Some(slot) = self.slots.get_mut(&key)
            && slot.holder.attempt == writer
            && !matches!(slot.state, State::Done(..))
        {
            slot.state = state;
            self.touched.push(key);
        }
    }

    fn void(&mut self, offset: u64, entry: &Entry, own: &Own) {
        if self.coverage.includes(&own.key, offset) {
            return;
        }
        let writer = attempt(entry, own.sequence);
        let valid = self.slots.get(&own.key).is_some_and(|slot| {
            let by_winner = slot.holder.attempt == writer || !self.guard.void_by_winner;
            by_winner && matches!(slot.state, State::Running)
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
        if part.repair.is_some() {
            self.merge(offset, part);
        }
        let complete = self.tally.note(id, part, offset, now);
        let covers = self.repair <= part.repair;
        if complete && covers {
            self.repair = None;
            self.survived = None;
            self.required = None;
        }
    }

    /// Forgets expired outcomes and the writers that were silent as long.
    fn evict(&mut self) {
        let expired = self.aging.expired();
        self.slots
            .retain(|_, slot| !matches!(slot.state, State::Done(_, offset) if offset < expired));
        self.writers.retain(|_, writer| writer.last >= expired);
    }

    /// Adds what a survivor knew before the log restarted with a lower head.
    fn merge(&mut self, offset: u64, part: &Part) {
        if part.index == 0 {
            self.aging.restart(offset);
            for slot in self.slots.values_mut() {
                if let State::Done(_, at) = &mut slot.state {
                    *at = offset;
                }
            }
        }
        for writer in part.stream.iter().flat_map(|stream| &stream.writers) {
            self.writers
                .entry(writer.incarnation)
                .and_modify(|known| known.number = known.number.max(writer.number))
                .or_insert_with(|| Writer {
                    last: offset,
                    ..writer.clone()
                });
        }
        for saved in &part.keys {
            let mut slot = Slot::from(saved);
            if let State::Done(_, at) = &mut slot.state {
                *at = offset;
            }
            self.adopt(saved.key, slot);
        }
        self.reloaded = true;
    }

    /// Keeps the known winner of a key, but prefers a known response.
    pub(super) fn adopt(&mut self, key: Key, slot: Slot) {
        match self.slots.get_mut(&key) {
            None => {
                self.slots.insert(key, slot);
            }
            Some(known) => {
                let settled = !matches!(slot.state, State::Running);
                if matches!(known.state, State::Running) && settled {
                    *known = slot;
                }
            }
        }
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

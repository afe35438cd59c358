//! Starting over: from the beginning, from a snapshot, or after a restart of
//! the log with a lower head.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;

use super::{Aging, Holder, Ledger, Mark, Page, Phase, Slot, Trail};
use crate::id::Key;
use crate::record::{Entry, Part, Record, Saved, SnapshotId, Stream};

/// Snapshots that are followed at the same time; the oldest is dropped first.
const FOLLOWED: usize = 8;

/// Parts of the latest snapshots.
#[derive(Clone, Debug, Default)]
pub(super) struct Collector {
    parts: BTreeMap<SnapshotId, Vec<Option<Arc<Part>>>>,
    order: Vec<SnapshotId>,
}

impl Collector {
    pub(super) fn collect(&mut self, id: SnapshotId, part: &Arc<Part>) {
        if !self.parts.contains_key(&id) {
            self.order.push(id);
            self.parts.insert(id, vec![None; part.count as usize]);
        }
        if self.order.len() > FOLLOWED {
            let oldest = self.order.remove(0);
            self.parts.remove(&oldest);
        }
        if let Some(parts) = self.parts.get_mut(&id)
            && parts.len() == part.count as usize
        {
            parts[part.index as usize] = Some(Arc::clone(part));
        }
    }

    /// Returns the parts of a snapshot if all are present.
    pub(super) fn complete(&self, id: SnapshotId) -> Option<Vec<Arc<Part>>> {
        let parts: Option<Vec<_>> = self.parts.get(&id)?.iter().cloned().collect();
        parts.filter(|parts| parts[0].stream.is_some())
    }

    /// Returns the latest complete snapshot whose bases are still in the log, of
    /// the newest generation.
    fn latest(&self, first: u64) -> Option<Vec<Arc<Part>>> {
        let held = |parts: &Vec<Arc<Part>>| parts.iter().all(|part| part.base >= first);
        let generation = |parts: &Vec<Arc<Part>>| parts[0].stream.as_ref().map(|s| s.generation);
        let complete = |id: &SnapshotId| self.complete(*id).filter(held);
        self.order
            .iter()
            .filter_map(complete)
            .max_by_key(generation)
    }
}

/// Scans the retained log for snapshots.
#[derive(Clone, Debug)]
pub(super) struct Loader {
    next: u64,
    found: Collector,
}

impl Loader {
    fn new(next: u64) -> Self {
        Self {
            next,
            found: Collector::default(),
        }
    }

    pub(super) const fn next(&self) -> u64 {
        self.next
    }

    pub(super) fn take(&mut self, offset: u64, entry: Option<&Entry>) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        let Some(entry) = entry else { return };
        for record in &entry.records {
            if let Record::Part(part) = record
                && part.base <= offset
            {
                let id = SnapshotId {
                    writer: entry.writer,
                    number: part.number,
                };
                self.found.collect(id, part);
            }
        }
    }
}

/// The bases of the snapshot that the fold started from.
///
/// Parts have different bases; a record below its part's base is included in
/// the part and must not be folded again.
#[derive(Clone, Debug, Default)]
pub(super) struct Coverage {
    bases: Vec<u64>,
}

impl Coverage {
    pub(super) fn includes(&self, key: &Key, offset: u64) -> bool {
        let index = (usize::from(key.prefix()) * self.bases.len()) >> 16;
        self.bases.get(index).is_some_and(|base| offset < *base)
    }
}

/// Which snapshots the stream holds, to know when the next one is due.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    seen: BTreeMap<SnapshotId, (u64, Vec<bool>)>,
    order: Vec<SnapshotId>,
    latest: Option<(SnapshotId, u64, Moment)>,
}

impl Tally {
    pub(super) const fn latest(&self) -> Option<SnapshotId> {
        match self.latest {
            Some((id, _, _)) => Some(id),
            None => None,
        }
    }

    /// Notes a part; returns whether the snapshot is complete with it.
    pub(super) fn note(&mut self, id: SnapshotId, part: &Part, offset: u64, now: Moment) -> bool {
        if !self.seen.contains_key(&id) {
            self.order.push(id);
        }
        if self.order.len() > FOLLOWED {
            let oldest = self.order.remove(0);
            self.seen.remove(&oldest);
        }
        let fresh = || (offset, vec![false; part.count as usize]);
        let (base, seen) = self.seen.entry(id).or_insert_with(fresh);
        *base = (*base).min(part.base);
        if seen.len() != part.count as usize {
            return false;
        }
        seen[part.index as usize] = true;
        let complete = seen.iter().all(|seen| *seen);
        if complete {
            self.latest = Some((id, *base, now));
        }
        complete
    }

    /// Returns the base of the latest complete snapshot and the time since it
    /// was read.
    pub(super) fn covered(&self, now: Moment) -> (u64, Option<Duration>) {
        self.latest
            .map_or((0, None), |(_, base, at)| (base, Some(now.since(at))))
    }
}

impl Ledger {
    /// Decides, from the bounds of a page, how to go on; returns false if its
    /// entries are of no use because the fold starts over.
    pub(super) fn enter(&mut self, page: &Page, now: Moment) -> bool {
        self.first = page.first;
        if let Some(mark) = &self.required
            && mark.generation == self.generation
            && page.head < mark.position
        {
            self.await_repair(mark.clone());
        }
        match &mut self.phase {
            Phase::Start => self.begin(page, now),
            Phase::Scan(loader) if page.head < loader.next => self.scan(page),
            Phase::Scan(loader) => loader.next = loader.next.max(page.first),
            Phase::Fold if page.head < self.next => return self.restarted(page, now),
            Phase::Fold if page.first > self.next => {
                self.skip_to(page.first, page);
            }
            Phase::Fold => {}
        }
        true
    }

    fn begin(&mut self, page: &Page, now: Moment) {
        self.aging = Aging::new(now);
        self.target = self.target.max(page.head);
        if page.first == 0 {
            self.phase = Phase::Fold;
        } else {
            self.scan(page);
        }
    }

    /// Handles a jump in the offsets; returns whether reading can go on there.
    ///
    /// While a repair is awaited nothing is folded, so nothing is missed, and a
    /// snapshot must not take the place of what a survivor knows.
    pub(super) fn skip_to(&mut self, offset: u64, page: &Page) -> bool {
        let harmless = self.awaiting.is_some() || !self.guard.gap_check;
        if harmless {
            self.next = offset;
        } else {
            self.scan(page);
        }
        harmless
    }

    /// Starts over from a snapshot, because entries were lost to this reader.
    pub(super) fn scan(&mut self, page: &Page) {
        self.target = page.head;
        self.phase = Phase::Scan(Loader::new(page.first));
    }

    /// Installs a snapshot once the scan has reached the head; a later page may
    /// complete one that is still being written.
    pub(super) fn install(&mut self, page: &Page, now: Moment) {
        let Phase::Scan(loader) = &self.phase else {
            return;
        };
        if loader.next < self.target {
            return;
        }
        let Some(parts) = loader.found.latest(page.first) else {
            return;
        };
        self.load(&parts, now);
        self.target = self.target.max(page.head);
    }

    /// Takes the state of a snapshot and goes on from its base.
    pub(super) fn load(&mut self, parts: &[Arc<Part>], now: Moment) {
        let stream = parts[0].stream.clone().unwrap_or_default();
        self.aging = Aging::load(&stream, now);
        self.generation = stream.generation;
        self.through = stream.through;
        self.writers = stream
            .writers
            .iter()
            .map(|writer| (writer.incarnation, writer.clone()))
            .collect();
        self.slots = parts
            .iter()
            .flat_map(|part| &part.keys)
            .map(|saved| (saved.key, Slot::from(saved)))
            .collect();
        self.coverage.bases = parts.iter().map(|part| part.base).collect();
        self.next = parts.iter().map(|part| part.base).min().unwrap_or(0);
        self.trail = Trail::default();
        self.recheck = None;
        self.phase = Phase::Fold;
        self.reloaded = true;
        self.settle_marks(&stream);
    }

    /// Drops the marks that the loaded state covers.
    fn settle_marks(&mut self, stream: &Stream) {
        self.awaiting.take_if(|mark| mark.is_covered(stream));
        self.required.take_if(|mark| mark.is_covered(stream));
        let required = self.required.take();
        self.required = required.filter(|mark| self.is_beyond(mark));
        if self.awaiting.is_none() {
            self.survived = None;
        }
    }

    /// Folds and runs nothing until a repair that covers the mark was read.
    pub(super) fn await_repair(&mut self, mark: Mark) {
        self.awaiting = self.awaiting.take().max(Some(mark));
    }

    /// Keeps what is known and reads the whole log again: it lost its end, or
    /// another log took its place. Always returns false, to end the page.
    pub(super) fn restarted(&mut self, page: &Page, now: Moment) -> bool {
        self.restarted_at = now;
        // What is read while a repair is awaited adds nothing to the knowledge
        // of the entries that were lost first.
        if self.awaiting.is_none() {
            self.survived = Some(self.own());
        }
        self.await_repair(self.own());
        self.coverage = Coverage::default();
        self.tally = Tally::default();
        self.repairs = Collector::default();
        self.next = page.first;
        self.trail = Trail::default();
        self.recheck = None;
        self.target = page.head;
        self.phase = Phase::Fold;
        self.reloaded = true;
        false
    }
}

impl From<&Saved> for Slot {
    fn from(saved: &Saved) -> Self {
        Self {
            holder: Holder {
                attempt: saved.winner,
                request: saved.request,
            },
            state: saved.state.clone(),
        }
    }
}

//! Starting over: from the beginning, from a snapshot, or after a restart of
//! the log with a lower head.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;

use super::{Aging, Holder, Ledger, Page, Phase, Progress, Slot, Trail};
use crate::id::Key;
use crate::record::{Entry, Part, Record, SavedKey, SnapshotId, StreamState};

/// Snapshots that are followed at the same time; the oldest is dropped first.
const FOLLOWED: usize = 8;

/// Parts of the snapshots that are being read.
#[derive(Clone, Debug, Default)]
pub(super) struct Collector {
    found: BTreeMap<SnapshotId, Gathered>,
    order: Vec<SnapshotId>,
}

#[derive(Clone, Debug)]
struct Gathered {
    parts: Vec<Option<Arc<Part>>>,
    missing: u32,
}

impl Collector {
    /// Takes a part; returns all parts of its snapshot if it was the last one.
    pub(super) fn collect(&mut self, id: SnapshotId, part: &Arc<Part>) -> Option<Vec<Arc<Part>>> {
        if !self.found.contains_key(&id) {
            self.order.push(id);
        }
        if self.order.len() > FOLLOWED {
            let oldest = self.order.remove(0);
            self.found.remove(&oldest);
        }
        let gathered = self.found.entry(id).or_insert_with(|| Gathered {
            parts: vec![None; part.count as usize],
            missing: part.count,
        });
        let slot = gathered.parts.get_mut(part.index as usize)?;
        if slot.replace(Arc::clone(part)).is_none() {
            gathered.missing -= 1;
        }
        if gathered.missing > 0 {
            return None;
        }
        self.order.retain(|other| *other != id);
        let gathered = self.found.remove(&id)?;
        let parts: Vec<_> = gathered.parts.into_iter().flatten().collect();
        parts[0].stream.is_some().then_some(parts)
    }
}

/// Scans the retained log for snapshots.
#[derive(Clone, Debug)]
pub(super) struct Loader {
    next: u64,
    found: Collector,
    /// The latest complete snapshot of the newest generation.
    latest: Option<Vec<Arc<Part>>>,
}

impl Loader {
    fn new(next: u64) -> Self {
        Self {
            next,
            found: Collector::default(),
            latest: None,
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
                if let Some(parts) = self.found.collect(id, part)
                    && generation(&parts) >= self.latest.as_deref().map_or(0, generation)
                {
                    self.latest = Some(parts);
                }
            }
        }
    }
}

fn generation(parts: &[Arc<Part>]) -> u64 {
    let stream = parts.first().and_then(|part| part.stream.as_ref());
    stream.map_or(0, |stream| stream.generation)
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
    /// Base of the latest complete snapshot.
    base: u64,
    /// When it was read, or when this reader began.
    at: Moment,
}

impl Tally {
    pub(super) fn new(base: u64, at: Moment) -> Self {
        Self {
            base,
            at,
            ..Self::default()
        }
    }

    /// Notes a part.
    pub(super) fn note(&mut self, id: SnapshotId, part: &Part, offset: u64, now: Moment) {
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
        if let Some(seen) = seen.get_mut(part.index as usize) {
            *seen = true;
        }
        if seen.iter().all(|seen| *seen) {
            self.base = *base;
            self.at = now;
        }
    }

    /// Returns the base of the latest complete snapshot and the time since it
    /// was read.
    pub(super) const fn covered(&self, now: Moment) -> (u64, Duration) {
        (self.base, now.since(self.at))
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
        // The log has moved on beyond what was awaited: either a lagging replica
        // had answered, or a repair was written and trimmed since.
        if self
            .awaiting
            .take_if(|mark| page.first > mark.position)
            .is_some()
        {
            self.survived = None;
            self.scan(page);
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
        self.tally = Tally::new(0, now);
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
            self.trail = Trail::default();
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
        let Some(parts) = loader.latest.clone() else {
            return;
        };
        if parts.iter().any(|part| part.base < page.first) {
            return;
        }
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
        self.tally = Tally::new(self.next, now);
        self.phase = Phase::Fold;
        self.reloaded = true;
        self.settle_marks(&stream);
    }

    /// Drops the marks that the loaded state covers.
    fn settle_marks(&mut self, stream: &StreamState) {
        self.awaiting.take_if(|mark| mark.is_covered(stream));
        self.required.take_if(|mark| mark.is_covered(stream));
        let required = self.required.take();
        self.required = required.filter(|mark| self.is_beyond(mark));
        if self.awaiting.is_none() {
            self.survived = None;
        }
    }

    /// Folds and runs nothing until a repair that covers the mark was read.
    pub(super) fn await_repair(&mut self, mark: Progress) {
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
            self.await_repair(self.own());
        }
        self.tally = Tally::new(page.first, now);
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

impl From<&SavedKey> for Slot {
    fn from(saved: &SavedKey) -> Self {
        Self {
            holder: Holder {
                attempt: saved.winner,
                request: saved.request,
            },
            state: saved.state.clone(),
        }
    }
}

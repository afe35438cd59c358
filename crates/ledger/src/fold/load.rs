//! Starts the fold: from the first offset, from a snapshot, or again after the
//! log restarted with a lower head.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;

use super::{Aging, HeldKey, Holder, Ledger, Page, Phase, Progress, RecentEntries};
use crate::id::Key;
use crate::record::{Entry, Part, Record, SavedKey, SnapshotId, StreamState};

/// Maximum number of snapshots whose parts are tracked at the same time; the
/// oldest is dropped first.
const MAX_TRACKED_SNAPSHOTS: usize = 8;

/// Collects the parts of snapshots until one is complete.
#[derive(Clone, Debug, Default)]
pub(super) struct PartCollector {
    incomplete: BTreeMap<SnapshotId, PartialSnapshot>,
    /// Keys of the map in order of their first part.
    arrival_order: Vec<SnapshotId>,
}

#[derive(Clone, Debug)]
struct PartialSnapshot {
    parts: Vec<Option<Arc<Part>>>,
    missing: u32,
}

impl PartCollector {
    /// Adds a part. Returns all parts of its snapshot, by index, if this was the
    /// last missing one.
    pub(super) fn collect(&mut self, id: SnapshotId, part: &Arc<Part>) -> Option<Vec<Arc<Part>>> {
        if !self.incomplete.contains_key(&id) {
            self.arrival_order.push(id);
        }
        if self.arrival_order.len() > MAX_TRACKED_SNAPSHOTS {
            let oldest = self.arrival_order.remove(0);
            self.incomplete.remove(&oldest);
        }
        let partial = self
            .incomplete
            .entry(id)
            .or_insert_with(|| PartialSnapshot {
                parts: vec![None; part.count as usize],
                missing: part.count,
            });
        let slot = partial.parts.get_mut(part.index as usize)?;
        if slot.replace(Arc::clone(part)).is_none() {
            partial.missing -= 1;
        }
        if partial.missing > 0 {
            return None;
        }
        self.arrival_order.retain(|other| *other != id);
        let partial = self.incomplete.remove(&id)?;
        let parts: Vec<_> = partial.parts.into_iter().flatten().collect();
        parts[0].stream.is_some().then_some(parts)
    }
}

/// A scan of the retained log for the snapshot to start from.
#[derive(Clone, Debug)]
pub(super) struct SnapshotScan {
    next: u64,
    parts: PartCollector,
    /// The latest complete snapshot of the newest generation.
    latest: Option<Vec<Arc<Part>>>,
}

impl SnapshotScan {
    fn new(next: u64) -> Self {
        Self {
            next,
            parts: PartCollector::default(),
            latest: None,
        }
    }

    pub(super) const fn next(&self) -> u64 {
        self.next
    }

    pub(super) fn add_entry(&mut self, offset: u64, entry: Option<&Entry>) {
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
                if let Some(parts) = self.parts.collect(id, part)
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

/// The bases of the parts of the snapshot that the fold started from, by part
/// index.
///
/// The parts have different bases. A record below the base of its key's part is
/// included in the part and must not be folded again.
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

/// Tracks the snapshots in the stream, to decide when the next one is due.
#[derive(Clone, Debug, Default)]
pub(super) struct SnapshotTracker {
    /// Lowest base of each recent snapshot, and which of its parts were read.
    seen: BTreeMap<SnapshotId, (u64, Vec<bool>)>,
    /// Keys of the map in order of their first part.
    arrival_order: Vec<SnapshotId>,
    /// Base of the latest complete snapshot.
    base: u64,
    /// When the last part of that snapshot was read, or when this reader
    /// started.
    read_at: Moment,
}

impl SnapshotTracker {
    pub(super) fn new(base: u64, read_at: Moment) -> Self {
        Self {
            base,
            read_at,
            ..Self::default()
        }
    }

    /// Adds a part that was read at `offset`.
    pub(super) fn add_part(&mut self, id: SnapshotId, part: &Part, offset: u64, now: Moment) {
        if !self.seen.contains_key(&id) {
            self.arrival_order.push(id);
        }
        if self.arrival_order.len() > MAX_TRACKED_SNAPSHOTS {
            let oldest = self.arrival_order.remove(0);
            self.seen.remove(&oldest);
        }
        let empty = || (offset, vec![false; part.count as usize]);
        let (base, seen) = self.seen.entry(id).or_insert_with(empty);
        *base = (*base).min(part.base);
        if let Some(seen) = seen.get_mut(part.index as usize) {
            *seen = true;
        }
        if seen.iter().all(|seen| *seen) {
            self.base = *base;
            self.read_at = now;
        }
    }

    /// Returns the base of the latest complete snapshot, and the time since its
    /// last part was read.
    pub(super) const fn latest(&self, now: Moment) -> (u64, Duration) {
        (self.base, now.since(self.read_at))
    }
}

impl Ledger {
    /// Updates the phase from the first offset and the head of a page. Returns
    /// false if the entries of the page must be skipped because the fold starts
    /// again.
    pub(super) fn prepare(&mut self, page: &Page, now: Moment) -> bool {
        self.first = page.first;
        if let Some(progress) = &self.required
            && progress.generation == self.generation
            && page.head < progress.position
        {
            self.await_repair(progress.clone());
        }
        // The log has advanced past the awaited position: either the lower head
        // came from a lagging replica, or a repair was written and trimmed
        // since then.
        if self
            .awaited_repair
            .take_if(|progress| page.first > progress.position)
            .is_some()
        {
            self.read_before_loss = None;
            self.scan(page);
        }
        match &mut self.phase {
            Phase::Start => self.start(page, now),
            Phase::Scan(scan) if page.head < scan.next => self.scan(page),
            Phase::Scan(scan) => scan.next = scan.next.max(page.first),
            Phase::Fold if page.head < self.next => return self.handle_log_restart(page, now),
            Phase::Fold if page.first > self.next => {
                self.skip_to(page.first, page);
            }
            Phase::Fold => {}
        }
        true
    }

    fn start(&mut self, page: &Page, now: Moment) {
        self.aging = Aging::new(now);
        self.snapshots = SnapshotTracker::new(0, now);
        self.target = self.target.max(page.head);
        if page.first == 0 {
            self.phase = Phase::Fold;
        } else {
            self.scan(page);
        }
    }

    /// Handles a gap in the offsets; returns whether the fold can continue at
    /// `offset`.
    ///
    /// While a repair is awaited nothing is folded, so nothing is missed. A
    /// snapshot must not replace the state then, since the state may hold what
    /// the log lost and is needed to write the repair.
    pub(super) fn skip_to(&mut self, offset: u64, page: &Page) -> bool {
        let can_skip = self.awaited_repair.is_some() || !self.rules.gap_check;
        if can_skip {
            self.next = offset;
            self.recent_entries = RecentEntries::default();
        } else {
            self.scan(page);
        }
        can_skip
    }

    /// Starts again from a snapshot, because this reader missed entries.
    pub(super) fn scan(&mut self, page: &Page) {
        self.target = page.head;
        self.phase = Phase::Scan(SnapshotScan::new(page.first));
    }

    /// Loads the latest snapshot once the scan has reached the head. If there
    /// is none, a later page may complete one that is still being written.
    pub(super) fn install(&mut self, page: &Page, now: Moment) {
        let Phase::Scan(scan) = &self.phase else {
            return;
        };
        if scan.next < self.target {
            return;
        }
        let Some(parts) = scan.latest.clone() else {
            return;
        };
        if parts.iter().any(|part| part.base < page.first) {
            return;
        }
        self.load(&parts, now);
        self.target = self.target.max(page.head);
    }

    /// Replaces the state with a snapshot and continues from its lowest base.
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
        self.held_keys = parts
            .iter()
            .flat_map(|part| &part.keys)
            .map(|saved| (saved.key, HeldKey::from(saved)))
            .collect();
        self.coverage.bases = parts.iter().map(|part| part.base).collect();
        self.next = parts.iter().map(|part| part.base).min().unwrap_or(0);
        self.recent_entries = RecentEntries::default();
        self.recheck = None;
        self.snapshots = SnapshotTracker::new(self.next, now);
        self.phase = Phase::Fold;
        self.all_changed = true;
        self.drop_covered_progress(&stream);
    }

    /// Drops the awaited and required progress that the loaded state covers.
    fn drop_covered_progress(&mut self, stream: &StreamState) {
        self.awaited_repair
            .take_if(|progress| progress.is_covered(stream));
        self.required
            .take_if(|progress| progress.is_covered(stream));
        let required = self.required.take();
        self.required = required.filter(|progress| self.is_beyond(progress));
        if self.awaited_repair.is_none() {
            self.read_before_loss = None;
        }
    }

    /// Stops folding, and thereby all calls, until a repair was read that
    /// covers the progress.
    pub(super) fn await_repair(&mut self, progress: Progress) {
        self.awaited_repair = self.awaited_repair.take().max(Some(progress));
    }

    /// Keeps the state and reads the whole log again, since the log lost its
    /// last entries or was replaced. Always returns false, to end the page.
    pub(super) fn handle_log_restart(&mut self, page: &Page, now: Moment) -> bool {
        self.restarted_at = now;
        // Entries that are read while a repair is awaited are not folded, so
        // the progress before the first loss still describes the state.
        if self.awaited_repair.is_none() {
            self.read_before_loss = Some(self.own_progress());
            self.await_repair(self.own_progress());
        }
        self.snapshots = SnapshotTracker::new(page.first, now);
        self.repairs = PartCollector::default();
        self.next = page.first;
        self.recent_entries = RecentEntries::default();
        self.recheck = None;
        self.target = page.head;
        self.phase = Phase::Fold;
        self.all_changed = true;
        false
    }
}

impl From<&SavedKey> for HeldKey {
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

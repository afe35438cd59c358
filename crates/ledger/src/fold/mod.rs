//! The deterministic fold over one shard's stream.
//!
//! Every reader that has folded the same offsets gives the same answer for each
//! key. A reader that cannot be sure of having folded everything up to the head
//! it read at start says [`NotReady`] and must not run a call.

mod aging;
mod apply;
mod load;
mod progress;
mod snapshot;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::id::{Attempt, Incarnation, Key, Request};
use crate::record::{Age, Entry, ExecutionState, Outcome, WriterState};
use crate::safety::SafetyRules;
use aging::Aging;
use load::{Coverage, PartCollector, SnapshotScan, SnapshotTracker};
use progress::RecentEntries;

pub use progress::Progress;
pub use snapshot::Snapshot;

/// Settings of a fold; all agents of a shard use the same ones.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Time for which an outcome is kept at least.
    pub horizon: Duration,
    /// Time after which a new snapshot is due; a third of the log's retention
    /// or less, so that one lost snapshot does no harm.
    pub snapshot_every: Duration,
    /// Entries after which a new snapshot is due.
    pub snapshot_entries: u64,
    /// Size of a snapshot part in bytes.
    pub part_bytes: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            horizon: Duration::from_hours(72),
            snapshot_every: Duration::from_hours(4),
            snapshot_entries: 200_000,
            part_bytes: 64 * 1024,
        }
    }
}

/// One answer of the log to a read.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// First offset that the log still holds.
    pub first: u64,
    /// Offset that the next append will get.
    pub head: u64,
    /// Offsets and entries in ascending order; `None` for one that could not
    /// be decoded.
    pub entries: Vec<(u64, Option<Arc<Entry>>)>,
}

/// Why no call may run now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotReady {
    /// Nothing was read yet, or the fold has not reached the head.
    Behind,
    /// The log was truncated past the reader and holds no complete snapshot yet.
    NoSnapshot,
    /// The log restarted with a lower head, and no repair is complete yet.
    Repair,
}

/// What the fold knows of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyStatus {
    /// No attempt holds the key.
    Free,
    /// An attempt holds the key and has recorded no outcome.
    Running(Holder),
    /// The call ran; this is its response.
    Done(Holder, Arc<Outcome>),
    /// The call may have run; its response will not be known.
    Unknown(Holder),
}

/// The winner of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The only attempt that may run.
    pub attempt: Attempt,
    /// Hash of its request.
    pub request: Request,
}

/// ExecutionState of one key.
#[derive(Clone, Debug)]
struct HeldKey {
    holder: Holder,
    state: ExecutionState,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Nothing was read.
    Start,
    /// Reading the retained log for a snapshot.
    Scan(SnapshotScan),
    /// Folding from `next` on.
    Fold,
}

/// The fold of one shard's stream.
#[derive(Clone, Debug)]
pub struct Ledger {
    config: Config,
    rules: SafetyRules,
    phase: Phase,
    held_keys: BTreeMap<Key, HeldKey>,
    writers: BTreeMap<Incarnation, WriterState>,
    aging: Aging,
    coverage: Coverage,
    snapshots: SnapshotTracker,
    /// First offset that the log still held at the last read.
    first: u64,
    /// Next offset to fold.
    next: u64,
    /// Head that must be reached before anything runs.
    target: u64,
    /// The entries before `next`.
    recent_entries: RecentEntries,
    /// Offset from which entries are read again and compared.
    recheck: Option<u64>,
    /// Number of repairs folded, and the position that the last one covers.
    generation: u64,
    through: u64,
    /// Parts of the repairs in the stream.
    repairs: PartCollector,
    /// How far somebody had read before the log lost its end. Until a repair
    /// covers it, nothing is folded and nothing runs.
    awaited_repair: Option<Progress>,
    /// How far this reader had read before the log lost its end.
    read_before_loss: Option<Progress>,
    /// When this reader noticed that the log lost its end.
    restarted_at: Moment,
    /// How far a peer has come, until this reader has verified it.
    required: Option<Progress>,
    /// Incarnations reported dead from outside the log.
    dead: BTreeSet<Incarnation>,
    /// Keys whose standing changed since they were last taken.
    changed_keys: Vec<Key>,
    /// Whether any key may have changed, after a load or a repair.
    all_changed: bool,
    skipped: u64,
}

impl Ledger {
    /// Makes an empty fold that is not ready.
    pub fn new(config: Config) -> Self {
        Self::with_rules(config, SafetyRules::default())
    }

    /// Makes a fold with safety rules turned off, for mutation checks.
    #[doc(hidden)]
    pub fn with_rules(config: Config, rules: SafetyRules) -> Self {
        Self {
            config,
            rules,
            phase: Phase::Start,
            held_keys: BTreeMap::new(),
            writers: BTreeMap::new(),
            aging: Aging::default(),
            coverage: Coverage::default(),
            snapshots: SnapshotTracker::default(),
            first: 0,
            next: 0,
            target: 0,
            recent_entries: RecentEntries::default(),
            recheck: None,
            generation: 0,
            through: 0,
            repairs: PartCollector::default(),
            awaited_repair: None,
            read_before_loss: None,
            restarted_at: Moment(0),
            required: None,
            dead: BTreeSet::new(),
            changed_keys: Vec::new(),
            all_changed: false,
            skipped: 0,
        }
    }

    /// Returns the offset from which the next page is to be read.
    pub fn read_offset(&self) -> u64 {
        match &self.phase {
            Phase::Scan(scan) => scan.next(),
            Phase::Start | Phase::Fold => self.recheck.unwrap_or(self.next),
        }
    }

    /// Says that the log answers again after errors or a pause.
    ///
    /// The next read then overlaps with what was folded, which shows whether
    /// another history has grown past this reader.
    pub fn reconnected(&mut self) {
        self.recheck = Some(self.next - self.recent_entries.len().min(self.next));
    }

    /// Returns how far this reader has come, for peers that start or reconnect.
    ///
    /// While a repair is awaited, this is the progress that it must cover, so that
    /// nobody who starts now takes the shortened log for the whole.
    pub fn progress(&self) -> Progress {
        // What was read since belongs to the shortened log.
        let own = match &self.awaited_repair {
            Some(awaited) => awaited.clone(),
            None => self.own_progress(),
        };
        self.required
            .clone()
            .map_or(own.clone(), |progress| progress.max(own))
    }

    /// Says how far a peer has come; nothing runs before this reader has come
    /// as far and found the same entry there.
    ///
    /// To be called at start and when the log answers again after errors, while
    /// no read is under way.
    pub fn require(&mut self, progress: Progress) {
        if self.is_beyond(&progress) {
            self.required = self.required.take().max(Some(progress));
        }
    }

    const fn is_beyond(&self, progress: &Progress) -> bool {
        progress.generation > self.generation
            || progress.generation == self.generation && progress.position > self.next
    }

    fn own_progress(&self) -> Progress {
        self.recent_entries.progress(self.generation, self.next)
    }

    /// Takes one answer of the log.
    pub fn apply_page(&mut self, page: &Page, now: Moment) {
        if !self.prepare(page, now) {
            return;
        }
        for (offset, entry) in &page.entries {
            let proceed = match &mut self.phase {
                Phase::Scan(scan) => {
                    scan.take(*offset, entry.as_deref());
                    true
                }
                Phase::Start | Phase::Fold => self.fold_entry(*offset, entry.as_deref(), page, now),
            };
            if !proceed {
                break;
            }
        }
        self.install(page, now);
    }

    /// Returns whether calls may run, or why not.
    ///
    /// # Errors
    ///
    /// The reason, if calls may not run.
    pub fn ready(&self) -> Result<(), NotReady> {
        match &self.phase {
            Phase::Scan(scan) if scan.next() >= self.target => Err(NotReady::NoSnapshot),
            _ if !self.rules.ready_first => Ok(()),
            Phase::Start | Phase::Scan(_) => Err(NotReady::Behind),
            Phase::Fold if self.next < self.target => Err(NotReady::Behind),
            Phase::Fold if self.awaited_repair.is_some() => Err(NotReady::Repair),
            Phase::Fold if self.required.is_some() => Err(NotReady::Behind),
            Phase::Fold => Ok(()),
        }
    }

    /// Returns what is known of a key.
    pub fn status(&self, key: &Key) -> KeyStatus {
        let Some(held) = self.unexpired(key) else {
            return KeyStatus::Free;
        };
        match &held.state {
            ExecutionState::Done(outcome, _) => KeyStatus::Done(held.holder, Arc::clone(outcome)),
            ExecutionState::Broken => KeyStatus::Unknown(held.holder),
            ExecutionState::Running if self.is_dead(held.holder.attempt.incarnation) => {
                KeyStatus::Unknown(held.holder)
            }
            ExecutionState::Running => KeyStatus::Running(held.holder),
        }
    }

    /// Says that an agent process is known to be gone, for example because its
    /// VM left the list. This only changes answers; it frees no key.
    pub fn mark_dead(&mut self, incarnation: Incarnation) {
        self.dead.insert(incarnation);
        self.all_changed = true;
    }

    /// Takes the keys whose standing changed, and whether all may have changed.
    pub fn take_changed(&mut self) -> (Vec<Key>, bool) {
        let all_changed = std::mem::take(&mut self.all_changed);
        (std::mem::take(&mut self.changed_keys), all_changed)
    }

    /// Returns an age statement that is worth appending, if any.
    ///
    /// Writers differ by up to half a step, so that usually only one states it.
    pub fn age_due(&self, writer: Incarnation, now: Moment) -> Option<Age> {
        if self.ready().is_err() {
            return None;
        }
        let horizon = self.config.horizon;
        let jitter = snapshot::jitter(writer);
        let (offset, seconds) = self.aging.due(self.next, horizon, jitter, now)?;
        Some(Age {
            offset,
            seconds,
            generation: self.generation,
        })
    }

    /// Returns the next offset to fold.
    pub const fn position(&self) -> u64 {
        self.next
    }

    /// Returns the number of keys held.
    pub fn len(&self) -> usize {
        self.held_keys.len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.held_keys.is_empty()
    }

    /// Returns the number of entries that could not be decoded.
    pub const fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Returns the held of a key unless its outcome has expired.
    fn unexpired(&self, key: &Key) -> Option<&HeldKey> {
        self.held_keys
            .get(key)
            .filter(|held| !self.is_expired(held))
    }

    /// A key without an outcome never expires: its winner may be paused, and
    /// would run when it wakes up, however late.
    const fn is_expired(&self, held: &HeldKey) -> bool {
        match held.state {
            ExecutionState::Done(_, offset) => offset < self.aging.expired(),
            ExecutionState::Running | ExecutionState::Broken => false,
        }
    }

    /// A writer that the fold no longer remembers was silent for the horizon.
    fn is_dead(&self, incarnation: Incarnation) -> bool {
        self.dead.contains(&incarnation)
            || self
                .writers
                .get(&incarnation)
                .is_none_or(|writer| writer.superseded)
    }
}

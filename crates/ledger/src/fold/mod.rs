//! The deterministic fold over the stream of one shard.
//!
//! Readers that have folded the same entries agree on the status of every key.
//! A reader that may not have folded every entry up to the head that it saw at
//! its start returns [`NotReady`], and then no call may run.

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
    /// Minimum time for which an outcome is kept.
    pub horizon: Duration,
    /// Time after which a new snapshot is due. It should be at most a third of
    /// the log's retention, so that no key is lost if one snapshot fails.
    pub snapshot_every: Duration,
    /// Entries after which a new snapshot is due.
    pub snapshot_entries: u64,
    /// Intended size of a snapshot part in bytes.
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

/// Response of the log to one read.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// First offset that the log still holds.
    pub first: u64,
    /// Offset that the next append will get.
    pub head: u64,
    /// Offsets with their entries, in ascending order of offsets; `None` for an
    /// entry that could not be decoded.
    pub entries: Vec<(u64, Option<Arc<Entry>>)>,
}

/// Why no call may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotReady {
    /// Nothing was read yet, or the fold has not reached the head or the
    /// position that a peer reported.
    Behind,
    /// Entries that this reader needs were trimmed from the log, and it holds
    /// no complete snapshot yet.
    NoSnapshot,
    /// The log restarted without its last entries, and no complete repair was
    /// read yet.
    Repair,
}

/// Status of a key as far as the log was folded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyStatus {
    /// No attempt holds the key.
    Free,
    /// An attempt holds the key and has not recorded an outcome.
    Running(Holder),
    /// The call ran; this is its response.
    Done(Holder, Arc<Outcome>),
    /// The call may have run, and its response may never be recorded: the
    /// winner lost it or has ended.
    Unknown(Holder),
}

/// The attempt that won a key, and its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The only attempt that may run the call.
    pub attempt: Attempt,
    /// Hash of the attempt's request.
    pub request: Request,
}

/// State of a key that an attempt has won.
#[derive(Clone, Debug)]
struct HeldKey {
    holder: Holder,
    state: ExecutionState,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Nothing was read yet.
    Start,
    /// Reading the log from its first retained offset to find a snapshot.
    Scan(SnapshotScan),
    /// Folding entries from `next` on.
    Fold,
}

/// The state of one shard's stream, folded from its entries.
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
    /// First offset that the log held at the last read.
    first: u64,
    /// Next offset to fold.
    next: u64,
    /// Head that must be reached before any call may run.
    target: u64,
    /// The last entries before `next`.
    recent_entries: RecentEntries,
    /// Offset from which entries are read again, to compare them with
    /// `recent_entries`.
    recheck: Option<u64>,
    /// Number of repairs folded.
    generation: u64,
    /// Position in the previous generation up to which the last repair covers the
    /// stream.
    through: u64,
    /// Parts of the repairs in the stream.
    repairs: PartCollector,
    /// How far some reader had read before the log lost its last entries. Until
    /// a repair covers this progress, nothing is folded and no call runs.
    awaited_repair: Option<Progress>,
    /// How far this reader had read before the log lost its last entries.
    read_before_loss: Option<Progress>,
    /// When this reader detected that the log lost its last entries.
    restarted_at: Moment,
    /// The progress of a peer that this reader must reach and compare before
    /// any call may run.
    required: Option<Progress>,
    /// Processes that were reported as ended through [`Ledger::mark_dead`].
    dead: BTreeSet<Incarnation>,
    /// Keys whose status may have changed since the last
    /// [`Ledger::take_changed`].
    changed_keys: Vec<Key>,
    /// Whether the status of any key may have changed, such as after loading a
    /// snapshot or a repair.
    all_changed: bool,
    /// Number of folded entries that could not be decoded.
    skipped: u64,
}

impl Ledger {
    /// Creates an empty fold, which is not ready until it has read the stream.
    pub fn new(config: Config) -> Self {
        Self::with_rules(config, SafetyRules::default())
    }

    /// Creates a fold with some safety rules turned off, for mutation tests.
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

    /// Returns the offset from which the next page must be read.
    pub fn read_offset(&self) -> u64 {
        match &self.phase {
            Phase::Scan(scan) => scan.next(),
            Phase::Start | Phase::Fold => self.recheck.unwrap_or(self.next),
        }
    }

    /// Must be called when the log answers again after errors or a pause.
    ///
    /// The next read then repeats the last entries that were folded. If they
    /// differ, the log was restored with other entries past this reader's
    /// position.
    pub fn reconnected(&mut self) {
        self.recheck = Some(self.next - self.recent_entries.len().min(self.next));
    }

    /// Returns how far this reader has read, for peers that start or reconnect.
    ///
    /// While a repair is awaited, this is the progress that the repair must
    /// cover, so that a process that starts now does not take the truncated log
    /// for complete.
    pub fn progress(&self) -> Progress {
        // What was read since the truncation was detected belongs to the
        // truncated log.
        let own = match &self.awaited_repair {
            Some(awaited) => awaited.clone(),
            None => self.own_progress(),
        };
        self.required
            .clone()
            .map_or(own.clone(), |progress| progress.max(own))
    }

    /// Requires this reader to reach the progress of a peer and to find the
    /// same entries there before any call may run.
    ///
    /// Must be called at the start and when the log answers again after errors,
    /// while no read is in flight.
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

    /// Folds one response of the log to a read from [`Self::read_offset`].
    pub fn apply_page(&mut self, page: &Page, now: Moment) {
        if !self.prepare(page, now) {
            return;
        }
        for (offset, entry) in &page.entries {
            let proceed = match &mut self.phase {
                Phase::Scan(scan) => {
                    scan.add_entry(*offset, entry.as_deref());
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

    /// Returns `Ok` if calls may run.
    ///
    /// # Errors
    ///
    /// Why no call may run now.
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

    /// Returns the status of a key.
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

    /// Records that an agent process has ended, for example because its VM was
    /// removed. The status of the keys that it holds becomes
    /// [`KeyStatus::Unknown`]; they stay held.
    pub fn mark_dead(&mut self, incarnation: Incarnation) {
        self.dead.insert(incarnation);
        self.all_changed = true;
    }

    /// Takes the keys whose status may have changed, and whether this holds for
    /// all keys.
    pub fn take_changed(&mut self) -> (Vec<Key>, bool) {
        let all_changed = std::mem::take(&mut self.all_changed);
        (std::mem::take(&mut self.changed_keys), all_changed)
    }

    /// Returns an age record to append, if one is due.
    ///
    /// The time between age records differs between writers by up to half, so that usually only one
    /// of them appends the record.
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

    /// Returns the number of keys in memory, including outcomes that have
    /// expired and are not evicted yet.
    pub fn len(&self) -> usize {
        self.held_keys.len()
    }

    /// Returns whether no key is in memory.
    pub fn is_empty(&self) -> bool {
        self.held_keys.is_empty()
    }

    /// Returns the number of folded entries that could not be decoded.
    pub const fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Returns the state of a key that is held, unless its outcome has expired.
    fn unexpired(&self, key: &Key) -> Option<&HeldKey> {
        self.held_keys
            .get(key)
            .filter(|held| !self.is_expired(held))
    }

    /// Returns whether a key's outcome has expired. A key without an outcome
    /// never expires, since its winner may be paused and run the call when it
    /// resumes, however late.
    const fn is_expired(&self, held: &HeldKey) -> bool {
        match held.state {
            ExecutionState::Done(_, offset) => offset < self.aging.expired(),
            ExecutionState::Running | ExecutionState::Broken => false,
        }
    }

    /// Returns whether a process is known to have ended. A writer that is not
    /// in `writers` any more has written nothing for the horizon and counts as
    /// ended.
    fn is_dead(&self, incarnation: Incarnation) -> bool {
        self.dead.contains(&incarnation)
            || self
                .writers
                .get(&incarnation)
                .is_none_or(|writer| writer.superseded)
    }
}

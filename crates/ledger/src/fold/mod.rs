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
use load::{Collector, Coverage, Loader, Tally};
use progress::Trail;

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
struct Slot {
    holder: Holder,
    state: ExecutionState,
}

#[derive(Clone, Debug)]
enum Phase {
    /// Nothing was read.
    Start,
    /// Reading the retained log for a snapshot.
    Scan(Loader),
    /// Folding from `next` on.
    Fold,
}

/// The fold of one shard's stream.
#[derive(Clone, Debug)]
pub struct Ledger {
    config: Config,
    guard: SafetyRules,
    phase: Phase,
    slots: BTreeMap<Key, Slot>,
    writers: BTreeMap<Incarnation, WriterState>,
    aging: Aging,
    coverage: Coverage,
    tally: Tally,
    /// First offset that the log still held at the last read.
    first: u64,
    /// Next offset to fold.
    next: u64,
    /// Head that must be reached before anything runs.
    target: u64,
    /// The entries before `next`.
    trail: Trail,
    /// Offset from which entries are read again and compared.
    recheck: Option<u64>,
    /// Number of repairs folded, and the position that the last one covers.
    generation: u64,
    through: u64,
    /// Parts of the repairs in the stream.
    repairs: Collector,
    /// How far somebody had read before the log lost its end. Until a repair
    /// covers it, nothing is folded and nothing runs.
    awaiting: Option<Progress>,
    /// How far this reader had read before the log lost its end.
    survived: Option<Progress>,
    /// When this reader noticed that the log lost its end.
    restarted_at: Moment,
    /// How far a peer has come, until this reader has verified it.
    required: Option<Progress>,
    /// Incarnations reported dead from outside the log.
    dead: BTreeSet<Incarnation>,
    /// Keys whose standing changed since they were last taken.
    touched: Vec<Key>,
    /// Whether any key may have changed, after a load or a repair.
    reloaded: bool,
    skipped: u64,
}

impl Ledger {
    /// Makes an empty fold that is not ready.
    pub fn new(config: Config) -> Self {
        Self::with_rules(config, SafetyRules::default())
    }

    /// Makes a fold with safety rules turned off, for mutation checks.
    #[doc(hidden)]
    pub fn with_rules(config: Config, guard: SafetyRules) -> Self {
        Self {
            config,
            guard,
            phase: Phase::Start,
            slots: BTreeMap::new(),
            writers: BTreeMap::new(),
            aging: Aging::default(),
            coverage: Coverage::default(),
            tally: Tally::default(),
            first: 0,
            next: 0,
            target: 0,
            trail: Trail::default(),
            recheck: None,
            generation: 0,
            through: 0,
            repairs: Collector::default(),
            awaiting: None,
            survived: None,
            restarted_at: Moment(0),
            required: None,
            dead: BTreeSet::new(),
            touched: Vec::new(),
            reloaded: false,
            skipped: 0,
        }
    }

    /// Returns the offset from which the next page is to be read.
    pub fn read_offset(&self) -> u64 {
        match &self.phase {
            Phase::Scan(loader) => loader.next(),
            Phase::Start | Phase::Fold => self.recheck.unwrap_or(self.next),
        }
    }

    /// Says that the log answers again after errors or a pause.
    ///
    /// The next read then overlaps with what was folded, which shows whether
    /// another history has grown past this reader.
    pub fn reconnected(&mut self) {
        self.recheck = Some(self.next - self.trail.len().min(self.next));
    }

    /// Returns how far this reader has come, for peers that start or reconnect.
    ///
    /// While a repair is awaited, this is the mark that it must cover, so that
    /// nobody who starts now takes the shortened log for the whole.
    pub fn progress(&self) -> Progress {
        // What was read since belongs to the shortened log.
        let own = match &self.awaiting {
            Some(awaited) => awaited.clone(),
            None => self.own(),
        };
        self.required
            .clone()
            .map_or(own.clone(), |mark| mark.max(own))
    }

    /// Says how far a peer has come; nothing runs before this reader has come
    /// as far and found the same entry there.
    ///
    /// To be called at start and when the log answers again after errors, while
    /// no read is under way.
    pub fn require(&mut self, mark: Progress) {
        if self.is_beyond(&mark) {
            self.required = self.required.take().max(Some(mark));
        }
    }

    const fn is_beyond(&self, mark: &Progress) -> bool {
        mark.generation > self.generation
            || mark.generation == self.generation && mark.position > self.next
    }

    fn own(&self) -> Progress {
        self.trail.mark(self.generation, self.next)
    }

    /// Takes one answer of the log.
    pub fn apply_page(&mut self, page: &Page, now: Moment) {
        if !self.enter(page, now) {
            return;
        }
        for (offset, entry) in &page.entries {
            let proceed = match &mut self.phase {
                Phase::Scan(loader) => {
                    loader.take(*offset, entry.as_deref());
                    true
                }
                Phase::Start | Phase::Fold => self.step(*offset, entry.as_deref(), page, now),
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
            Phase::Scan(loader) if loader.next() >= self.target => Err(NotReady::NoSnapshot),
            _ if !self.guard.ready_first => Ok(()),
            Phase::Start | Phase::Scan(_) => Err(NotReady::Behind),
            Phase::Fold if self.next < self.target => Err(NotReady::Behind),
            Phase::Fold if self.awaiting.is_some() => Err(NotReady::Repair),
            Phase::Fold if self.required.is_some() => Err(NotReady::Behind),
            Phase::Fold => Ok(()),
        }
    }

    /// Returns what is known of a key.
    pub fn status(&self, key: &Key) -> KeyStatus {
        let Some(slot) = self.live(key) else {
            return KeyStatus::Free;
        };
        match &slot.state {
            ExecutionState::Done(outcome, _) => KeyStatus::Done(slot.holder, Arc::clone(outcome)),
            ExecutionState::Broken => KeyStatus::Unknown(slot.holder),
            ExecutionState::Running if self.is_dead(slot.holder.attempt.incarnation) => {
                KeyStatus::Unknown(slot.holder)
            }
            ExecutionState::Running => KeyStatus::Running(slot.holder),
        }
    }

    /// Says that an agent process is known to be gone, for example because its
    /// VM left the list. This only changes answers; it frees no key.
    pub fn mark_dead(&mut self, incarnation: Incarnation) {
        self.dead.insert(incarnation);
        self.reloaded = true;
    }

    /// Takes the keys whose standing changed, and whether all may have changed.
    pub fn take_touched(&mut self) -> (Vec<Key>, bool) {
        let reloaded = std::mem::take(&mut self.reloaded);
        (std::mem::take(&mut self.touched), reloaded)
    }

    /// Returns an age statement that is worth appending, if any.
    ///
    /// Writers differ by up to half a step, so that usually only one states it.
    pub fn age_due(&self, writer: Incarnation, now: Moment) -> Option<Age> {
        if self.ready().is_err() {
            return None;
        }
        let horizon = self.config.horizon;
        let spread = snapshot::spread(writer);
        let (offset, seconds) = self.aging.due(self.next, horizon, spread, now)?;
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
        self.slots.len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the number of entries that could not be decoded.
    pub const fn skipped(&self) -> u64 {
        self.skipped
    }

    /// Returns the slot of a key unless its outcome has expired.
    fn live(&self, key: &Key) -> Option<&Slot> {
        self.slots.get(key).filter(|slot| !self.is_expired(slot))
    }

    /// A key without an outcome never expires: its winner may be paused, and
    /// would run when it wakes up, however late.
    const fn is_expired(&self, slot: &Slot) -> bool {
        match slot.state {
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

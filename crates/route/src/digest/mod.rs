//! Summarizes an engine's prefix cache for entries in a bounded number of bytes.
//!
//! An engine stores hundreds of blocks a second, too many to send to every entry.
//! A block's hash covers all blocks before it, and an engine evicts a block after
//! those that follow it, so a few blocks of a prompt represent the others. These
//! *anchors* are the last block, by which the next turn of a conversation matches
//! the previous turn, and the blocks at powers of two, by which prompts match a
//! common beginning. The agent keeps them in a [`Summary`] in the order of their
//! last change. An entry names the last change that it knows and receives the
//! anchors that changed after it. See `docs/notes/prefix.md`.

use std::collections::{BTreeMap, HashMap};

/// Bounds of a [`Summary`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Most stored anchors kept, and also most evicted anchors kept. An anchor
    /// takes about 60 bytes.
    pub max_anchors: usize,
    /// Most anchors in one digest, four bytes each.
    pub max_digest_anchors: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_anchors: 4_096,
            max_digest_anchors: 256,
        }
    }
}

/// Number of the change with which an epoch begins; 0 is the state before the
/// first digest.
const FIRST_CHANGE: u64 = 1;

/// Most anchors that a digest may contain; an entry ignores larger ones, so that
/// a faulty agent cannot fill its memory.
pub const DIGEST_LIMIT: usize = 1_024;

/// The last change of a cache that an entry knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    /// Epoch of the last digest, or 0 if nothing is known.
    pub epoch: u64,
    /// Number of the last change that is known.
    pub seen: u64,
}

/// Changes of a cache since an entry's cursor.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// Epoch of the summary; digests of any other epoch no longer hold.
    pub epoch: u64,
    /// Change after which the digest begins; 0 if it replaces all earlier
    /// digests.
    pub from: u64,
    /// Last change that the digest covers.
    pub to: u64,
    /// Anchors that are in the cache.
    pub stored: Vec<u32>,
    /// Anchors that were evicted.
    pub evicted: Vec<u32>,
}

/// A change of a cache, see `sesamerock_client::engine::cache`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Consecutive blocks of a prompt were stored, the first at `depth`.
    Stored {
        /// Number of blocks of the prompt before the first stored one.
        depth: u32,
        /// Hashes of the blocks, in prompt order.
        blocks: Vec<u64>,
    },
    /// Blocks were evicted.
    Evicted(Vec<u64>),
    /// All blocks were dropped.
    Cleared,
}

/// Why the known state of a cache no longer holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResetReason {
    /// This many events are missing.
    Gap(u64),
    /// The engine restarted.
    Restart,
    /// An event could not be read.
    Malformed,
    /// The engine did not respond for too long.
    Silent,
    /// The engine dropped all blocks.
    Cleared,
}

impl ResetReason {
    /// Returns the reason as written in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Gap(_) => "gap",
            Self::Restart => "restart",
            Self::Malformed => "malformed",
            Self::Silent => "silent",
            Self::Cleared => "cleared",
        }
    }
}

/// Returns the anchor of a block: the low 32 bits of its hash.
pub const fn anchor(hash: u64) -> u32 {
    hash as u32
}

/// Returns whether the block at a position is an anchor wherever the prompt
/// ends. The first block has position 1.
const fn is_fixed_anchor(position: u64) -> bool {
    position.is_power_of_two()
}

/// Returns the anchors of consecutive blocks; `depth` blocks of the prompt come
/// before them.
pub fn anchors(depth: u32, blocks: &[u64]) -> impl Iterator<Item = u32> {
    let last = blocks.len();
    let positions = (1..).zip(blocks);
    let kept = positions.filter(move |(position, _)| {
        is_fixed_anchor(u64::from(depth) + *position as u64) || *position == last
    });
    kept.map(|(_, hash)| anchor(*hash))
}

#[derive(Clone, Copy, Debug)]
struct Change {
    anchor: u32,
    stored: bool,
}

/// The anchors of one engine's cache, in the order of their last change.
#[derive(Clone, Debug)]
pub struct Summary {
    settings: Settings,
    epoch: u64,
    incarnation: u64,
    /// Sequence number of the next event.
    next_sequence: u64,
    /// Number of the last change.
    last_change: u64,
    /// Number of the last change that is no longer kept. An entry whose cursor is
    /// below it needs a full digest.
    floor: u64,
    changes: BTreeMap<u64, Change>,
    last_changes: HashMap<u32, u64>,
    stored: usize,
}

impl Summary {
    /// Makes an empty summary. `epoch` must differ between agents of one
    /// upstream, for which a random number suffices.
    pub fn new(settings: Settings, epoch: u64) -> Self {
        Self {
            settings,
            epoch: epoch.max(1),
            incarnation: 0,
            next_sequence: 1,
            last_change: FIRST_CHANGE,
            floor: FIRST_CHANGE,
            changes: BTreeMap::new(),
            last_changes: HashMap::new(),
            stored: 0,
        }
    }

    /// Returns the sequence number of the last event applied or skipped.
    pub fn last_sequence(&self) -> u64 {
        self.next_sequence - 1
    }

    /// Returns the number of anchors kept as stored.
    pub fn len(&self) -> usize {
        self.stored
    }

    /// Returns whether no anchor is stored.
    pub fn is_empty(&self) -> bool {
        self.stored == 0
    }

    /// Sets the incarnation of the engine. After a change its event numbers start
    /// at 1 again, and events must be read from there. Returns the reason for a
    /// reset, if there was one.
    pub fn set_incarnation(&mut self, incarnation: u64) -> Option<ResetReason> {
        let before = std::mem::replace(&mut self.incarnation, incarnation);
        if before == incarnation {
            return None;
        }
        self.next_sequence = 1;
        (before != 0).then(|| self.reset(ResetReason::Restart))
    }

    /// Applies an event. Returns why earlier events no longer hold, if they do
    /// not. Events that were applied already are ignored.
    pub fn apply_event(&mut self, sequence: u64, action: &Action) -> Option<ResetReason> {
        let missing = sequence.checked_sub(self.next_sequence)?;
        let mut reset = (missing > 0).then(|| self.reset(ResetReason::Gap(missing)));
        self.next_sequence = sequence.saturating_add(1);
        match action {
            Action::Stored { depth, blocks } => {
                anchors(*depth, blocks).for_each(|anchor| self.change(anchor, true));
            }
            Action::Evicted(blocks) => {
                for block in blocks {
                    // Other blocks were never in a digest.
                    let anchor = anchor(*block);
                    if self.holds(anchor) {
                        self.change(anchor, false);
                    }
                }
            }
            Action::Cleared => reset = Some(self.reset(ResetReason::Cleared)),
        }
        self.trim();
        reset
    }

    /// Skips an event that could not be parsed. If its sequence number could not
    /// be parsed either, the next expected one is assumed.
    pub fn skip_malformed(&mut self, sequence: Option<u64>) -> Option<ResetReason> {
        let sequence = sequence.unwrap_or(self.next_sequence);
        if sequence < self.next_sequence {
            return None;
        }
        self.next_sequence = sequence.saturating_add(1);
        Some(self.reset(ResetReason::Malformed))
    }

    /// Drops all anchors and begins a new epoch. Returns the reason unchanged.
    pub fn reset(&mut self, reason: ResetReason) -> ResetReason {
        self.epoch = self.epoch.wrapping_add(1).max(1);
        self.last_change = FIRST_CHANGE;
        self.floor = FIRST_CHANGE;
        self.changes.clear();
        self.last_changes.clear();
        self.stored = 0;
        reason
    }

    /// Returns the changes after an entry's cursor, or `None` if there are none.
    pub fn digest(&self, cursor: Cursor) -> Option<Digest> {
        let known =
            cursor.epoch == self.epoch && (self.floor..=self.last_change).contains(&cursor.seen);
        if known && cursor.seen == self.last_change {
            return None;
        }
        let new_changes = || {
            self.changes
                .range(cursor.seen + 1..)
                .map(|(_, change)| change)
        };
        let limit = self.settings.max_digest_anchors;
        if !known || new_changes().nth(limit).is_some() {
            return Some(self.newest(limit));
        }
        let anchors_with = |stored| {
            let kept = new_changes().filter(move |change| change.stored == stored);
            kept.map(|change| change.anchor).collect()
        };
        Some(Digest {
            epoch: self.epoch,
            from: cursor.seen,
            to: self.last_change,
            stored: anchors_with(true),
            evicted: anchors_with(false),
        })
    }

    /// Returns a full digest of the anchors that were stored last, for an entry
    /// whose known state no longer holds.
    fn newest(&self, limit: usize) -> Digest {
        let changes = self.changes.values().rev();
        let stored = changes.filter(|change| change.stored).take(limit);
        Digest {
            epoch: self.epoch,
            from: 0,
            to: self.last_change,
            stored: stored.map(|change| change.anchor).collect(),
            evicted: Vec::new(),
        }
    }

    fn holds(&self, anchor: u32) -> bool {
        let number = self.last_changes.get(&anchor);
        number.is_some_and(|number| self.changes[number].stored)
    }

    fn change(&mut self, anchor: u32, stored: bool) {
        self.stored -= usize::from(self.holds(anchor));
        self.stored += usize::from(stored);
        self.last_change += 1;
        if let Some(before) = self.last_changes.insert(anchor, self.last_change) {
            self.changes.remove(&before);
        }
        self.changes
            .insert(self.last_change, Change { anchor, stored });
    }

    /// Enforces the bounds: the oldest stored anchors are recorded as evicted, and
    /// the oldest evicted ones are dropped.
    fn trim(&mut self) {
        while self.stored > self.settings.max_anchors {
            let mut oldest = self.changes.values().filter(|change| change.stored);
            let Some(anchor) = oldest.next().map(|change| change.anchor) else {
                break;
            };
            self.change(anchor, false);
        }
        while self.changes.len() - self.stored > self.settings.max_anchors {
            let mut oldest = self.changes.iter().filter(|(_, change)| !change.stored);
            let Some((number, anchor)) = oldest.next().map(|(at, change)| (*at, change.anchor))
            else {
                break;
            };
            self.changes.remove(&number);
            self.last_changes.remove(&anchor);
            self.floor = number;
        }
    }
}

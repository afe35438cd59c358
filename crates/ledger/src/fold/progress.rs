//! Positions of readers in the stream, with the last entries before them, to
//! detect readers that saw different entries.

use std::cmp::Ordering;
use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::id::Incarnation;
use crate::record::{Entry, StreamState};

/// Number of last entries that are kept for comparison. Two logs that diverged
/// but hold this many equal entries at the same offsets afterwards are taken
/// for the same log. A single equal entry would be likely, since writers send
/// entries again.
const MAX_RECENT_ENTRIES: usize = 16;

/// Writer and number of an entry; `None` if it could not be decoded.
type Identity = Option<(Incarnation, u64)>;

/// How far a reader has read: a position in the stream and the last entries
/// before it. Ordered by generation and position only.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Progress {
    /// Number of repairs folded.
    pub generation: u64,
    /// Next offset to fold.
    pub position: u64,
    /// The last entries before `position`, oldest first.
    recent: VecDeque<Identity>,
}

impl Progress {
    const fn order(&self) -> (u64, u64) {
        (self.generation, self.position)
    }

    /// Returns whether the last entries that both readers kept are the same.
    pub(super) fn agrees(&self, recent_entries: &RecentEntries) -> bool {
        let own = self.recent.iter().rev();
        own.zip(recent_entries.recent.iter().rev())
            .all(|(a, b)| a == b)
    }

    /// Returns whether a reader saw all the last entries of this progress, so
    /// that the log did not lose them after all.
    pub(super) fn is_confirmed_by(&self, recent_entries: &RecentEntries) -> bool {
        let required = self.position.min(MAX_RECENT_ENTRIES as u64) as usize;
        let complete = self.recent.len() >= required && recent_entries.recent.len() >= required;
        complete && self.agrees(recent_entries)
    }

    /// Returns whether a state includes everything below this progress, or
    /// belongs to a generation later than the next one, in which the offsets of
    /// this progress have no meaning.
    pub(super) const fn is_covered(&self, stream: &StreamState) -> bool {
        let later = stream.generation > self.generation + 1;
        let next = stream.generation == self.generation + 1;
        later || next && stream.through >= self.position
    }
}

impl PartialEq for Progress {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
    }
}

impl Eq for Progress {}

impl PartialOrd for Progress {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Progress {
    fn cmp(&self, other: &Self) -> Ordering {
        self.order().cmp(&other.order())
    }
}

/// The last entries that a reader folded.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentEntries {
    recent: VecDeque<Identity>,
}

impl RecentEntries {
    pub(super) fn push(&mut self, entry: Option<&Entry>) {
        if self.recent.len() == MAX_RECENT_ENTRIES {
            self.recent.pop_front();
        }
        self.recent.push_back(identity(entry));
    }

    pub(super) fn len(&self) -> u64 {
        self.recent.len() as u64
    }

    /// Returns whether an entry that was read again, `back` entries before the
    /// next one, is the one that was folded. True for entries older than those
    /// that are kept.
    pub(super) fn matches(&self, back: u64, entry: Option<&Entry>) -> bool {
        let index = self.len().checked_sub(back);
        let known = index.and_then(|index| self.recent.get(index as usize));
        known.is_none_or(|known| *known == identity(entry))
    }

    pub(super) fn progress(&self, generation: u64, position: u64) -> Progress {
        Progress {
            generation,
            position,
            recent: self.recent.clone(),
        }
    }
}

fn identity(entry: Option<&Entry>) -> Identity {
    entry.map(|entry| (entry.writer, entry.number))
}

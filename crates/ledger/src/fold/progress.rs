//! How far a reader has come, and whether another reader saw the same entries.

use std::cmp::Ordering;
use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::id::Incarnation;
use crate::record::{Entry, StreamState};

/// Entries that are remembered for comparison. Two histories that part and have
/// this many equal entries at the same offsets afterwards pass as one; writers
/// that send entries again make a single equal entry likely.
const MAX_RECENT_ENTRIES: usize = 16;

/// WriterState and number of an entry, if it could be decoded.
type Identity = Option<(Incarnation, u64)>;

/// A position in the stream with the entries before it. Marks are compared by
/// generation and position.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Progress {
    /// Number of repairs folded.
    pub generation: u64,
    /// Next offset to fold.
    pub position: u64,
    /// The last entries before, oldest first.
    recent: VecDeque<Identity>,
}

impl Progress {
    const fn order(&self) -> (u64, u64) {
        (self.generation, self.position)
    }

    /// Returns whether the entries that both readers remember are the same.
    pub(super) fn agrees(&self, recent_entries: &RecentEntries) -> bool {
        let own = self.recent.iter().rev();
        own.zip(recent_entries.recent.iter().rev())
            .all(|(a, b)| a == b)
    }

    /// Returns whether a reader saw all the entries that this progress remembers, so
    /// that the log did not lose its end after all.
    pub(super) fn is_confirmed_by(&self, recent_entries: &RecentEntries) -> bool {
        let required = self.position.min(MAX_RECENT_ENTRIES as u64) as usize;
        let complete = self.recent.len() >= required && recent_entries.recent.len() >= required;
        complete && self.agrees(recent_entries)
    }

    /// Returns whether a state includes everything below this progress, or belongs
    /// to a later generation, in which the progress's offsets mean nothing.
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

    /// Returns whether an entry read again, `back` entries before the next one,
    /// is the one that was folded, as far as is remembered.
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

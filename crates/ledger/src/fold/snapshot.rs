//! Writing snapshots, so that keys outlive the log's retention.

use std::ops::Bound;
use std::time::Duration;

use sesamerock_base::time::Moment;

use super::{Ledger, Progress, Slot};
use crate::id::{Incarnation, Key};
use crate::record::{ExecutionState, Part, SavedKey, StreamState};

/// Largest number of parts, one per value of a key's first two bytes.
const MAX_PARTS: u32 = 1 << 16;

/// Time over which the agents that could write a repair are spread; nothing runs
/// until the first one has written it.
const REPAIR_SPREAD: Duration = Duration::from_secs(10);

/// A snapshot in the course of being written, one part per append.
#[derive(Clone, Debug)]
pub struct Snapshot {
    number: u64,
    count: u32,
    index: u32,
    /// The base of a repair's parts, which is the same for all.
    base: Option<u64>,
    /// The mark that a repair covers.
    repair: Option<Progress>,
}

impl Ledger {
    /// Returns whether the stream needs a new snapshot from this agent.
    ///
    /// Agents wait for up to half a period more, by a hash of their incarnation,
    /// so that usually only one writes; several do no harm.
    pub fn snapshot_due(&self, writer: Incarnation, now: Moment) -> bool {
        if self.awaiting.is_some() {
            let waited = now.since(self.restarted_at) >= REPAIR_SPREAD.mul_f64(spread(writer));
            return waited && self.survived == self.awaiting && self.next >= self.target;
        }
        if self.ready().is_err() || self.next == 0 {
            return false;
        }
        let spread = spread(writer);
        let (base, age) = self.tally.covered(now);
        let entries = self.config.snapshot_entries as f64 * (1.0 + spread);
        let period = self.config.snapshot_every.mul_f64(1.0 + spread);
        (self.next - base.min(self.next)) as f64 >= entries || age >= period
    }

    /// Starts a snapshot with a number that this writer has not used before.
    pub fn snapshot(&self, number: u64) -> Snapshot {
        let bytes: usize = self
            .slots
            .iter()
            .map(|(key, slot)| saved(*key, slot).size())
            .sum();
        let parts = bytes.div_ceil(self.config.part_bytes.max(1)).max(1) as u32;
        Snapshot {
            number,
            count: parts.next_power_of_two().min(MAX_PARTS),
            index: 0,
            base: None,
            repair: self.survived.clone(),
        }
    }

    /// Returns the next part, from the current state, or `None` at the end or
    /// when the fold is not in a state to be saved.
    ///
    /// Its size is bounded by the configured one, but for an uneven
    /// distribution of key hashes and for the list of writers in the first.
    pub fn next_part(&self, snapshot: &mut Snapshot) -> Option<Part> {
        let consistent = if snapshot.repair.is_some() {
            snapshot.repair == self.survived
        } else {
            self.ready().is_ok()
        };
        if snapshot.index >= snapshot.count || !consistent {
            return None;
        }
        let index = snapshot.index;
        snapshot.index += 1;
        // A repair adds what was lost below everything the log holds now.
        let base = match &snapshot.repair {
            Some(_) => *snapshot.base.get_or_insert(self.first),
            None => self.next,
        };
        Some(Part {
            number: snapshot.number,
            index,
            count: snapshot.count,
            base,
            repair: snapshot.repair.is_some(),
            stream: (index == 0).then(|| self.stream(snapshot)),
            keys: self.range(index, snapshot),
        })
    }

    /// A repair starts a new generation, in which no age is known yet.
    fn stream(&self, snapshot: &Snapshot) -> StreamState {
        let writers = self.writers.values().cloned().collect();
        match &snapshot.repair {
            Some(mark) => StreamState {
                generation: mark.generation + 1,
                through: mark.position,
                writers,
                ..StreamState::default()
            },
            None => StreamState {
                expired: self.aging.expired(),
                generation: self.generation,
                through: self.through,
                ages: self.aging.ages(),
                writers,
            },
        }
    }

    fn range(&self, index: u32, snapshot: &Snapshot) -> Vec<SavedKey> {
        let width = MAX_PARTS / snapshot.count;
        let lower = Bound::Included(bound(index * width));
        let end = (index + 1) * width;
        let upper = if end == MAX_PARTS {
            Bound::Unbounded
        } else {
            Bound::Excluded(bound(end))
        };
        self.slots
            .range((lower, upper))
            .filter(|(_, slot)| !self.is_expired(slot))
            .map(|(key, slot)| saved(*key, slot))
            .map(|saved| saved.rebased(snapshot.base))
            .collect()
    }
}

impl SavedKey {
    /// Counts the age of an outcome from a repair's base, since its offset
    /// belongs to the generation before.
    fn rebased(mut self, base: Option<u64>) -> Self {
        if let (ExecutionState::Done(_, offset), Some(base)) = (&mut self.state, base) {
            *offset = base;
        }
        self
    }
}

/// Returns a fraction from 0 to 0.5 that differs between writers.
pub(super) fn spread(writer: Incarnation) -> f64 {
    f64::from(writer.0 as u16) / f64::from(u16::MAX) / 2.0
}

/// Returns the smallest key with the given first two bytes.
const fn bound(prefix: u32) -> Key {
    let mut bytes = [0; 16];
    bytes[0] = (prefix >> 8) as u8;
    bytes[1] = prefix as u8;
    Key(bytes)
}

fn saved(key: Key, slot: &Slot) -> SavedKey {
    let state: ExecutionState = slot.state.clone();
    SavedKey {
        key,
        request: slot.holder.request,
        winner: slot.holder.attempt,
        state,
    }
}

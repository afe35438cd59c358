//! Writing snapshots, which keep keys beyond the log's retention.

use std::ops::Bound;
use std::time::Duration;

use sesamerock_base::time::Moment;

use super::{HeldKey, Ledger, Progress};
use crate::id::{Incarnation, Key};
use crate::record::{ExecutionState, Part, SavedKey, StreamState};

/// Maximum number of parts, one for each value of a key's first two bytes.
const MAX_PARTS: u32 = 1 << 16;

/// Time over which the agents that can write a repair are spread. It is short
/// because no call runs until the first of them has written it.
const REPAIR_MAX_JITTER: Duration = Duration::from_secs(10);

/// A snapshot that is being written, one part per append.
#[derive(Clone, Debug)]
pub struct Snapshot {
    number: u64,
    count: u32,
    index: u32,
    /// Base of the parts of a repair, the same for all of them.
    base: Option<u64>,
    /// The progress that the snapshot covers, if it is a repair.
    repair: Option<Progress>,
}

impl Ledger {
    /// Returns whether this agent has to write a snapshot or a repair.
    ///
    /// Agents wait for up to half a period longer, by a part of their random
    /// incarnation, so that usually only one of them writes. Several snapshots
    /// of the same state are harmless.
    pub fn snapshot_due(&self, writer: Incarnation, now: Moment) -> bool {
        if self.awaited_repair.is_some() {
            let waited = now.since(self.restarted_at) >= REPAIR_MAX_JITTER.mul_f64(jitter(writer));
            return waited
                && self.read_before_loss == self.awaited_repair
                && self.next >= self.target;
        }
        if self.ready().is_err() || self.next == 0 {
            return false;
        }
        let jitter = jitter(writer);
        let (base, age) = self.snapshots.latest(now);
        let entries = self.config.snapshot_entries as f64 * (1.0 + jitter);
        let period = self.config.snapshot_every.mul_f64(1.0 + jitter);
        (self.next - base.min(self.next)) as f64 >= entries || age >= period
    }

    /// Starts a snapshot. The number must not have been used by this writer
    /// before.
    pub fn snapshot(&self, number: u64) -> Snapshot {
        let bytes: usize = self
            .held_keys
            .iter()
            .map(|(key, held)| save(*key, held).estimated_bytes())
            .sum();
        let parts = bytes.div_ceil(self.config.part_bytes.max(1)).max(1) as u32;
        Snapshot {
            number,
            count: parts.next_power_of_two().min(MAX_PARTS),
            index: 0,
            base: None,
            repair: self.read_before_loss.clone(),
        }
    }

    /// Returns the next part, taken from the current state. Returns `None`
    /// after the last part, or if the fold is not ready, or if the repair does
    /// not fit the state any more.
    ///
    /// A part is about [`super::Config::part_bytes`] long at most. It is longer
    /// if key hashes are distributed unevenly, and the first part also holds
    /// the list of writers.
    pub fn next_part(&self, snapshot: &mut Snapshot) -> Option<Part> {
        let consistent = if snapshot.repair.is_some() {
            snapshot.repair == self.read_before_loss
        } else {
            self.ready().is_ok()
        };
        if snapshot.index >= snapshot.count || !consistent {
            return None;
        }
        let index = snapshot.index;
        snapshot.index += 1;
        // A repair holds what the log lost. All entries that the log holds now
        // count as later.
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
            stream: (index == 0).then(|| self.stream_state(snapshot)),
            keys: self.keys_of_part(index, snapshot),
        })
    }

    /// Returns the state of the whole stream. A repair starts a new generation,
    /// in which no age is known yet.
    fn stream_state(&self, snapshot: &Snapshot) -> StreamState {
        let writers = self.writers.values().cloned().collect();
        match &snapshot.repair {
            Some(progress) => StreamState {
                generation: progress.generation + 1,
                through: progress.position,
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

    fn keys_of_part(&self, index: u32, snapshot: &Snapshot) -> Vec<SavedKey> {
        let width = MAX_PARTS / snapshot.count;
        let lower = Bound::Included(smallest_key(index * width));
        let end = (index + 1) * width;
        let upper = if end == MAX_PARTS {
            Bound::Unbounded
        } else {
            Bound::Excluded(smallest_key(end))
        };
        self.held_keys
            .range((lower, upper))
            .filter(|(_, held)| !self.is_expired(held))
            .map(|(key, held)| save(*key, held))
            .map(|saved| saved.rebased(snapshot.base))
            .collect()
    }
}

impl SavedKey {
    /// Sets the offset of an outcome to the base of a repair, so that its age
    /// counts from there. The old offset belongs to the generation before.
    fn rebased(mut self, base: Option<u64>) -> Self {
        if let (ExecutionState::Done(_, offset), Some(base)) = (&mut self.state, base) {
            *offset = base;
        }
        self
    }
}

/// Returns a fraction from 0 to 0.5 that depends on the writer, to spread the
/// work of several writers over time.
pub(super) fn jitter(writer: Incarnation) -> f64 {
    f64::from(writer.0 as u16) / f64::from(u16::MAX) / 2.0
}

/// Returns the smallest key whose first two bytes are `prefix`.
const fn smallest_key(prefix: u32) -> Key {
    let mut bytes = [0; 16];
    bytes[0] = (prefix >> 8) as u8;
    bytes[1] = prefix as u8;
    Key(bytes)
}

fn save(key: Key, held: &HeldKey) -> SavedKey {
    let state: ExecutionState = held.state.clone();
    SavedKey {
        key,
        request: held.holder.request,
        winner: held.holder.attempt,
        state,
    }
}

//! Writing snapshots, so that keys outlive the log's retention.

use std::ops::Bound;
use std::time::Duration;

use sesamerock_base::time::Moment;

use super::{HeldKey, Ledger, Progress};
use crate::id::{Incarnation, Key};
use crate::record::{ExecutionState, Part, SavedKey, StreamState};

/// Largest number of parts, one per value of a key's first two bytes.
const MAX_PARTS: u32 = 1 << 16;

/// Time over which the agents that could write a repair are jitter; nothing runs
/// until the first one has written it.
const REPAIR_MAX_JITTER: Duration = Duration::from_secs(10);

/// A snapshot in the course of being written, one part per append.
#[derive(Clone, Debug)]
pub struct Snapshot {
    number: u64,
    count: u32,
    index: u32,
    /// The base of a repair's parts, which is the same for all.
    base: Option<u64>,
    /// The progress that a repair covers.
    repair: Option<Progress>,
}

impl Ledger {
    /// Returns whether the stream needs a new snapshot from this agent.
    ///
    /// Agents wait for up to half a period more, by a hash of their incarnation,
    /// so that usually only one writes; several do no harm.
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

    /// Starts a snapshot with a number that this writer has not used before.
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

    /// Returns the next part, from the current state, or `None` at the end or
    /// when the fold is not in a state to be saved.
    ///
    /// Its size is bounded by the configured one, but for an uneven
    /// distribution of key hashes and for the list of writers in the first.
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
            stream: (index == 0).then(|| self.stream_state(snapshot)),
            keys: self.keys_of_part(index, snapshot),
        })
    }

    /// A repair starts a new generation, in which no age is known yet.
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
pub(super) fn jitter(writer: Incarnation) -> f64 {
    f64::from(writer.0 as u16) / f64::from(u16::MAX) / 2.0
}

/// Returns the smallest key with the given first two bytes.
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

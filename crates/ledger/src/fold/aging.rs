//! Expiry without a clock in the log.
//!
//! A writer that read offset `p` and measures, on its monotonic clock, that the
//! time `a` has passed since, may state that `p` is at least `a` old. Readers
//! continue from stated ages, so a restart loses little. Statements are lower
//! bounds of true ages whatever the delays of their appends, hence an outcome
//! can expire late but never early, and all readers agree since the statements
//! are records themselves.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::record::{Age, StreamState};

/// Number of offsets whose age is followed at the same time. Expiry is late by
/// up to `horizon / MARKERS`, and each marker costs about `MARKERS` records.
const MARKERS: u32 = 16;

/// Time over which agents spread the first marker, in which they have nothing
/// else to keep them apart; 300 agents stating it at once used up a second of the
/// log's limit.
const FIRST_SPREAD: Duration = Duration::from_mins(2);

#[derive(Clone, Copy, Debug)]
struct Marker {
    seconds: u64,
    read: Moment,
}

impl Marker {
    /// The age now: the stated one plus the time since this process read it.
    const fn age(&self, now: Moment) -> u64 {
        self.seconds + now.since(self.read).as_secs()
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct Aging {
    expired: u64,
    markers: BTreeMap<u64, Marker>,
    /// When this process began to follow ages.
    start: Moment,
}

impl Aging {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            start: now,
            ..Self::default()
        }
    }

    pub(super) const fn expired(&self) -> u64 {
        self.expired
    }

    pub(super) fn load(stream: &StreamState, now: Moment) -> Self {
        let marker = |seconds| Marker { seconds, read: now };
        Self {
            expired: stream.expired,
            start: now,
            markers: stream
                .ages
                .iter()
                .map(|(offset, seconds)| (*offset, marker(*seconds)))
                .collect(),
        }
    }

    pub(super) fn ages(&self) -> Vec<(u64, u64)> {
        self.markers
            .iter()
            .map(|(offset, marker)| (*offset, marker.seconds))
            .collect()
    }

    /// Folds a statement read at `offset`; returns whether outcomes expired.
    pub(super) fn apply(&mut self, age: Age, offset: u64, horizon: Duration, now: Moment) -> bool {
        let known = self.markers.get(&age.offset);
        let stale = age.offset >= offset || age.offset < self.expired;
        if stale || known.is_some_and(|marker| marker.seconds >= age.seconds) {
            return false;
        }
        if age.seconds >= horizon.as_secs() {
            self.expired = age.offset;
            self.markers = self.markers.split_off(&(age.offset + 1));
            return true;
        }
        if known.is_none() && self.markers.len() >= 2 * MARKERS as usize {
            return false;
        }
        let marker = Marker {
            seconds: age.seconds,
            read: now,
        };
        self.markers.insert(age.offset, marker);
        false
    }

    /// Returns offset and seconds of a statement that raises a known age by a
    /// step, or starts a new marker a step after the last one.
    ///
    /// `spread` from 0 to 0.5 lengthens the step.
    pub(super) fn due(
        &self,
        next: u64,
        horizon: Duration,
        spread: f64,
        now: Moment,
    ) -> Option<(u64, u64)> {
        let step = horizon.mul_f64((1.0 + spread) / f64::from(MARKERS));
        let step = step.as_secs().max(1);
        let worth = |marker: &Marker| marker.age(now) >= marker.seconds + step;
        let raised = self.markers.iter().find(|(_, marker)| worth(marker));
        if let Some((offset, marker)) = raised {
            return Some((*offset, marker.age(now)));
        }
        let newest = self.markers.last_key_value();
        let fresh = match newest {
            Some((offset, marker)) => marker.age(now) >= step && *offset + 1 < next,
            None => now.since(self.start) >= FIRST_SPREAD.mul_f64(spread),
        };
        let last = next.checked_sub(1)?;
        (fresh && last >= self.expired).then_some((last, 0))
    }
}

//! Expiry of outcomes, without clock readings in the log.
//!
//! A writer that read offset `p` and measures on its monotonic clock that the
//! time `a` has passed since then may append a record that `p` is at least `a`
//! old. Readers add the time that passes on their own clocks, so a restart
//! loses little. The recorded ages are lower bounds of the true ages, however
//! long the appends take; an outcome can therefore expire late but never early.
//! All readers agree, since expiry depends on records only.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::record::{Age, StreamState};

/// Number of offsets whose age is tracked at the same time. Outcomes expire
/// late by up to `horizon / TRACKED_OFFSETS`, and each tracked offset costs
/// about `TRACKED_OFFSETS` records.
const TRACKED_OFFSETS: u32 = 16;

/// Maximum delay before an agent appends the age record of the first tracked
/// offset. Later records are spread by the jitter of the step, but nothing else
/// spreads the first one: 300 agents that appended it at once used up one
/// second of the log's rate limit.
const FIRST_MAX_JITTER: Duration = Duration::from_mins(2);

#[derive(Clone, Copy, Debug)]
struct TrackedAge {
    /// Recorded age in seconds.
    seconds: u64,
    /// When this process read the record.
    read_at: Moment,
}

impl TrackedAge {
    /// Returns the age in seconds: the recorded age plus the time since this
    /// process read the record.
    const fn age(&self, now: Moment) -> u64 {
        self.seconds + now.since(self.read_at).as_secs()
    }
}

#[derive(Clone, Debug, Default)]
pub(super) struct Aging {
    /// Outcomes recorded below this offset have expired.
    expired: u64,
    /// Tracked ages by offset.
    tracked: BTreeMap<u64, TrackedAge>,
    /// When this process began to track ages.
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
        let tracked_age = |seconds| TrackedAge {
            seconds,
            read_at: now,
        };
        Self {
            expired: stream.expired,
            start: now,
            tracked: stream
                .ages
                .iter()
                .map(|(offset, seconds)| (*offset, tracked_age(*seconds)))
                .collect(),
        }
    }

    pub(super) fn ages(&self) -> Vec<(u64, u64)> {
        self.tracked
            .iter()
            .map(|(offset, tracked_age)| (*offset, tracked_age.seconds))
            .collect()
    }

    /// Folds an age record that was read at `offset`; returns whether outcomes
    /// expired.
    pub(super) fn apply(&mut self, age: Age, offset: u64, horizon: Duration, now: Moment) -> bool {
        let known = self.tracked.get(&age.offset);
        let stale = age.offset >= offset || age.offset < self.expired;
        if stale || known.is_some_and(|tracked_age| tracked_age.seconds >= age.seconds) {
            return false;
        }
        if age.seconds >= horizon.as_secs() {
            self.expired = age.offset;
            self.tracked = self.tracked.split_off(&(age.offset + 1));
            return true;
        }
        if known.is_none() && self.tracked.len() >= 2 * TRACKED_OFFSETS as usize {
            return false;
        }
        let tracked_age = TrackedAge {
            seconds: age.seconds,
            read_at: now,
        };
        self.tracked.insert(age.offset, tracked_age);
        false
    }

    /// Returns offset and seconds of an age record to append: one that raises a
    /// tracked age by at least a step, or one that starts to track a new offset
    /// a step after the last one.
    ///
    /// `jitter` from 0 to 0.5 lengthens the step.
    pub(super) fn due(
        &self,
        next: u64,
        horizon: Duration,
        jitter: f64,
        now: Moment,
    ) -> Option<(u64, u64)> {
        let step = horizon.mul_f64((1.0 + jitter) / f64::from(TRACKED_OFFSETS));
        let step = step.as_secs().max(1);
        let is_due = |tracked_age: &TrackedAge| tracked_age.age(now) >= tracked_age.seconds + step;
        let due = self
            .tracked
            .iter()
            .find(|(_, tracked_age)| is_due(tracked_age));
        if let Some((offset, tracked_age)) = due {
            return Some((*offset, tracked_age.age(now)));
        }
        let newest = self.tracked.last_key_value();
        let start_new = match newest {
            Some((offset, tracked_age)) => tracked_age.age(now) >= step && *offset + 1 < next,
            None => now.since(self.start) >= FIRST_MAX_JITTER.mul_f64(jitter),
        };
        let last = next.checked_sub(1)?;
        (start_new && last >= self.expired).then_some((last, 0))
    }
}

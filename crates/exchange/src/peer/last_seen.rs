//! When a peer was last heard from.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// A moment that can lie before the start of this process's time, since a
/// peer can have been heard from by others before that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LastSeen(i64);

impl LastSeen {
    /// Makes it from an age in tenths of a second, as messages carry it.
    pub(crate) fn from_tenths(now: Moment, tenths: u32) -> Self {
        Self(now.0.cast_signed() - i64::from(tenths) * 100_000)
    }

    /// Returns the time since then, zero if it is to come.
    pub(crate) fn age(self, now: Moment) -> Duration {
        let micros = now.0.cast_signed() - self.0;
        Duration::from_micros(micros.max(0).cast_unsigned())
    }

    /// Returns the age in tenths of a second, rounded up.
    pub(crate) fn age_tenths(self, now: Moment) -> u32 {
        let tenths = self.age(now).as_millis().div_ceil(100);
        u32::try_from(tenths).unwrap_or(u32::MAX)
    }
}

//! Time of the last message from a peer.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// Time, in microseconds of this process's clock, at which any node last received
/// a message from a peer. It is negative if that was before the clock's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LastSeen(i64);

impl LastSeen {
    /// Converts from an age in tenths of a second, as messages carry it.
    pub(crate) fn from_tenths(now: Moment, tenths: u32) -> Self {
        Self(now.0.cast_signed() - i64::from(tenths) * 100_000)
    }

    /// Returns the time since the last message, or zero if it lies after `now`.
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

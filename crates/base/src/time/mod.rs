//! Time as a plain value.
//!
//! Decision code never reads a clock; it is given a [`Moment`]. Only
//! differences between moments of one process have a meaning.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Microseconds since an arbitrary start within one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Moment(pub u64);

impl Moment {
    /// Makes a moment from milliseconds since the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the time since an earlier moment, or zero if it is not earlier.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs.as_micros() as u64))
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(rhs.as_micros() as u64))
    }
}

//! The monotonic clock of the process, as [`Moment`]s.

use std::sync::OnceLock;
use std::time::Instant;

use sesamerock_base::time::Moment;

static START: OnceLock<Instant> = OnceLock::new();

/// Value of the first reading, so that times up to an hour before it can be represented.
const HEADROOM_US: u64 = 3_600_000_000;

/// Returns the current time; the first call in the process returns one hour.
pub fn now() -> Moment {
    let start = START.get_or_init(Instant::now);
    Moment(HEADROOM_US + start.elapsed().as_micros() as u64)
}

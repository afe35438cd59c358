//! Monotonic clock of the process; decision code gets its time only from here.

use sesamerock_base::time::Moment;
use std::sync::OnceLock;
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();

/// Returns the time since the first call in this process, in microseconds.
pub fn now() -> Moment {
    let start = *START.get_or_init(Instant::now);
    // Never zero, since a default moment means "never".
    Moment(start.elapsed().as_micros() as u64 + 1)
}

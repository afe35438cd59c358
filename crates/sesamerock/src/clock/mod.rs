//! The one place that reads the monotonic clock for decision code.

use sesamerock_base::time::Moment;
use std::sync::OnceLock;
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();

/// Returns the present as a [`Moment`] since the first call in this process.
pub fn now() -> Moment {
    let start = *START.get_or_init(Instant::now);
    // Zero is kept free, since a default moment means "never".
    Moment(start.elapsed().as_micros() as u64 + 1)
}

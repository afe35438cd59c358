//! Figures of the target size that several measures use, from `docs/design.md`,
//! section 3.

/// Configuration changes a day.
pub const CHANGES_PER_DAY: f64 = 17_000.0;
pub const SECONDS_PER_DAY: f64 = 86_400.0;

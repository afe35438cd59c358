//! Keys, arenas, time and units shared by the sesamerock crates.
//!
//! Decision crates take time and identity as plain values, so that they can be
//! driven by a test, a measurement or a daemon alike; these are those values.
//! See `docs/design.md`, section 7.

pub mod arena;
pub mod key;
pub mod time;
pub mod version;

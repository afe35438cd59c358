//! Expert maps of groups whose ranks step together.
//!
//! One entry at a time leads. It reads what was chosen, [`plan`]s the next map and
//! switches the group to it by [`switch`], which is a state machine without I/O.
//! See `docs/notes/platform.md`.

mod leader;
pub mod plan;
pub mod switch;

pub use leader::{Settings, run_leader, should_claim};

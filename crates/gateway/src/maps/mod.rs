//! Expert maps of groups whose ranks run their steps in lockstep.
//!
//! One gateway at a time is the leader. It reads how often each expert was chosen, plans
//! the next map in [`plan`] and switches the group to it with [`switch`], a state machine
//! without I/O. See `docs/notes/platform.md`.

pub mod cadence;
pub mod fence;
mod leader;
pub mod plan;
pub mod switch;

pub use leader::{Settings, competitors, run_leader, should_claim};

//! Expert placement planning with transfer costs.
//!
//! The ranks of a group run each step in lockstep, so the busiest rank of each
//! layer determines the step time. [`plan::Planner`] estimates the popularity
//! of experts and returns the next [`map::Map`] with the moves that lead to it
//! where the time saved exceeds the cost of the moves. The design decisions and
//! measurements are in `docs/notes/placement.md`.

pub mod budget;
pub mod cost;
pub mod estimate;
pub mod greedy;
pub mod map;
pub mod plan;
pub mod refine;
mod search;

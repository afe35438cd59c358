//! The roles of sesamerock, entry and agent, as a library.
//!
//! The program only calls this crate, so that tests and `dev` can run the same
//! roles as tasks of one process. See `docs/design.md`, section 6.

pub mod agent;
pub mod cli;
pub mod clock;
pub mod control;
pub mod dev;
pub mod entry;
pub mod explain;
pub mod peer;
pub mod problem;
pub mod settings;
pub mod suspects;
pub mod telemetry;

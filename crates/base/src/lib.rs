//! Keys, arenas, time and versions shared by the sesamerock crates.
//!
//! The crates that make decisions (routing, retries) receive time and identity
//! as plain values, so that tests, benchmarks and daemons can all drive them.
//! This crate defines those values. See `docs/design.md`, section 7.

pub mod arena;
pub mod key;
pub mod time;
pub mod version;

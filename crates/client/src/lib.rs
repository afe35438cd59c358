//! Traits and HTTP adapters for the platform's services and the engines.
//!
//! The interfaces of the platform are not published yet, so each is hidden behind
//! a small trait with one adapter over HTTP and JSON; no other crate of the
//! workspace depends on their format. See `docs/design.md`, section 5.

pub mod engine;
pub mod error;
pub mod http;
pub mod log;
pub mod vms;
pub mod weights;

//! Stand-ins for what surrounds sesamerock: the platform, model engines, plain
//! services, and a network with injected faults.
//!
//! They record what they executed, so that tests can check the system's guarantees
//! independently of its own state. The production roles never depend on this
//! crate; `dev`, the tests and the measures do.

pub mod engine;
pub mod lockstep;
pub mod platform;
pub mod port;
pub mod proxy;
mod reply;
pub mod scripted;
pub mod service;
pub mod task;
pub mod topics;

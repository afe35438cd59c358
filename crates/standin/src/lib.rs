//! Stand-ins for what surrounds sesamerock: the platform, model engines, plain
//! services, and a network that misbehaves.
//!
//! They keep a record of what they executed, so that a test can check from the
//! outside what the system promises. The production roles never depend on this
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

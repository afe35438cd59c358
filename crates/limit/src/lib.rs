//! Learned concurrency limits, admission and fairness for one upstream.
//!
//! The agent of an upstream owns one [`gate::Gate`]. It learns how much work
//! the upstream can hold ([`learn::Learner`]), queues the rest fairly between
//! workspaces ([`queue::Queue`]), and tells entries how much they may send
//! ([`credit::CreditIssuer`]). Everything is a state machine without clock or task;
//! see `docs/design.md`, section 7, and `docs/notes/limits.md` for the choices.

pub mod credit;
pub mod curve;
pub mod gate;
pub mod learn;
pub mod queue;

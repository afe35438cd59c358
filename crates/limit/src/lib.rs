//! Learned concurrency limits, admission and fairness for one upstream.
//!
//! The agent of an upstream owns one [`gate::Gate`]. The gate learns how much
//! work the upstream can run concurrently ([`learn::Learner`]), queues the rest
//! fairly between workspaces ([`queue::Queue`]), and grants each entry a number
//! of calls that it may send ([`credit::CreditIssuer`]). All of these are state
//! machines without a clock or tasks: the caller passes in the time. See
//! `docs/design.md`, section 7, and `docs/notes/limits.md` for the design
//! choices.

pub mod credit;
pub mod curve;
pub mod gate;
pub mod learn;
pub mod queue;

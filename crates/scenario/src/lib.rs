//! A small language for failure scenarios.
//!
//! A scenario is a text file: one step per line, faults in, expectations out.
//! The language knows how to wait, compare and remember; what a step does to a
//! system, and which quantities it has, is the business of a [`run::World`].
//! `docs/scenarios.md` is the reference.

pub mod chaos;
pub mod run;
pub mod script;

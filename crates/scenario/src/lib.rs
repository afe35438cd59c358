//! A small language for failure scenarios.
//!
//! A scenario is a text file with one step per line, which injects a fault or
//! checks an expectation. The language itself can wait, compare quantities and
//! store them in variables. A [`run::World`] implements all other commands and
//! provides the quantities.
//! `docs/scenarios.md` is the reference.

pub mod chaos;
pub mod run;
pub mod script;

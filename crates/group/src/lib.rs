//! Lockstep switching of expert maps, agreed on by all ranks of a group.
//!
//! All ranks of a group must use the same expert map in each step. A leader
//! obtains a promise from every rank, learns from it which windows of steps were
//! granted before, has every rank accept the next window, and only then allows
//! the ranks to run it. See
//! `docs/notes/lockstep.md` for the argument and the alternatives.

#[doc(hidden)]
pub mod guard;
pub mod leader;
pub mod member;
pub mod message;
pub mod plan;
pub mod sizing;

//! Lock-step switching of expert maps with unanimous grants.
//!
//! All ranks of a group must use one expert map in each step. A leader obtains
//! the promise of every rank, learns what was granted before, lets all ranks
//! accept a window of steps, and only then lets them run it. See
//! `docs/notes/lockstep.md` for the argument and the alternatives.

#[doc(hidden)]
pub mod guard;
pub mod leader;
pub mod member;
pub mod message;
pub mod pace;
pub mod plan;

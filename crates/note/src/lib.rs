//! Release notes and the deterministic fold that turns them into control state.
//!
//! Operators write a [`note::Note`]; it is appended as a [`record::Record`] to
//! the platform's log, and every node folds the same records in the same order
//! into the same [`fold::State`]. See `docs/design.md`, section 7, and
//! `docs/notes/control-state.md`.

pub mod bound;
pub mod call;
pub mod check;
pub mod control;
pub mod expedited;
pub mod fold;
pub mod key;
pub mod note;
pub mod record;
pub mod rollout;
pub mod schema;
pub mod snapshot;
pub mod table;

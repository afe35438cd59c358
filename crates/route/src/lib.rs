//! Selects the upstream and the rank for a request.
//!
//! An entry (a process in the `entry` role, which accepts requests from
//! callers) uses a bounded [`subset`] of the upstreams. For each it keeps the
//! last reported load ([`load`]), the prompt prefixes that are probably cached
//! ([`prefix`]) and the models it can serve ([`profile`]). [`pick`] combines
//! them into one choice with its reason and the candidates not chosen. A choice
//! is advisory: the agent of an upstream decides which calls that upstream
//! accepts.
//! See `docs/design.md`, section 7, and `docs/notes/routing.md`.

pub mod choice;
pub mod digest;
pub mod hash;
pub mod load;
pub mod pick;
pub mod prefix;
pub mod profile;
pub mod rank;
pub mod score;
pub mod slowness;
pub mod subset;

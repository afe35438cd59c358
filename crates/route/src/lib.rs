//! Choice of upstream and rank for a request.
//!
//! An entry knows a bounded [`subset`] of the upstreams, what each last
//! reported ([`load`]), which prompt prefixes each probably has in its cache
//! ([`prefix`]), and what each can serve ([`profile`]). [`pick`] combines these
//! into one choice with its reason and the candidates not chosen. All of it is
//! advisory: the agent of an upstream decides what that upstream accepts.
//! See `docs/design.md`, section 7, and `docs/notes/routing.md`.

pub mod choice;
pub mod digest;
pub mod hash;
pub mod load;
pub mod pace;
pub mod pick;
pub mod prefix;
pub mod profile;
pub mod rank;
pub mod score;
pub mod subset;

//! Retry budgets, resumable streams and crash suspects.
//!
//! [`attempt`] decides what follows a failed attempt, within a [`budget`];
//! [`hedge`] decides when a look-up is sent twice; [`resume`] continues a
//! stream on another upstream without losing or repeating a token; [`suspect`]
//! finds a request that crashes every upstream that runs it. See
//! `docs/design.md`, section 7, and `docs/notes/retries.md`.

pub mod attempt;
pub mod budget;
pub mod chunk;
pub mod crash;
pub mod event;
pub mod hedge;
pub mod in_flight;
pub mod resume;
pub mod suspect;

//! At-most-once execution of calls with an idempotency key.
//!
//! The agents of a plain service share one stream of the platform's log per
//! shard of keys. The attempt whose intent for a key comes first in the stream
//! runs the call; no other attempt may run it. [`shard::Shard`] is the state
//! machine that an agent drives for one stream. [`issued::KeyIssuer`] handles
//! keys that the agent issued itself, which need no log.
//! `docs/notes/at-most-once.md` explains the design choices.

pub mod attempt;
pub mod batch;
pub mod fold;
pub mod id;
pub mod issued;
pub mod record;
#[doc(hidden)]
pub mod safety;
pub mod shard;

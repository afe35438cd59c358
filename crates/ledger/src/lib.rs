//! At-most-once execution of keyed calls, decided by the order of a log.
//!
//! The agents of a plain service share one stream of the platform's log per
//! shard of keys. Whoever's intent for a key comes first in that stream runs
//! the call, and nobody else ever does. [`shard::Shard`] joins the parts into
//! the state machine that an agent drives; [`issued::KeyIssuer`] serves keys that need
//! no log. `docs/notes/at-most-once.md` weighs the design choices.

pub mod attempt;
pub mod batch;
pub mod fold;
pub mod id;
pub mod issued;
pub mod record;
#[doc(hidden)]
pub mod safety;
pub mod shard;

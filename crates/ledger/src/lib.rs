//! At-most-once execution of keyed calls, decided by the order of a log.
//!
//! The agents of a plain service share one stream of the platform's log per
//! shard of keys. Whoever's intent for a key comes first in that stream runs
//! the call, and nobody else ever does. [`shard::Shard`] joins the parts into
//! the state machine that an agent drives; [`mint::Mint`] serves keys that need
//! no log. `docs/notes/at-most-once.md` weighs the design choices.

pub mod attempt;
pub mod batch;
pub mod fold;
#[doc(hidden)]
pub mod guard;
pub mod id;
pub mod mint;
pub mod record;
pub mod shard;

//! Events of an engine's prefix cache.
//!
//! An engine keeps its last events and hands them out from a sequence number
//! on. It may hand them out late, and drop those that nobody read in time: a
//! reader sees that in the sequence numbers, which rise by one within an
//! incarnation and start at 1. Blocks are named as [`super::prompt`] says, and a
//! block is evicted after those that follow it.

use serde::{Deserialize, Serialize};

/// What a cache did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Action {
    /// Consecutive blocks of one prompt were stored.
    Stored {
        /// Number of blocks of the prompt before the first of these.
        depth: u32,
        /// Hashes of the blocks.
        blocks: Vec<u64>,
    },
    /// Blocks were evicted.
    Evicted {
        /// Hashes of the blocks.
        blocks: Vec<u64>,
    },
    /// All blocks were dropped.
    Cleared,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number.
    pub sequence: u64,
    /// What happened.
    #[serde(flatten)]
    pub action: Action,
}

/// The events after a sequence number, ascending, as far as they are kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// Name of the scheme by which blocks are named.
    pub scheme: String,
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// The events, each still to be read by [`Events::parse`]: one that is
    /// malformed must not hide those after it.
    pub events: Vec<serde_json::Value>,
}

impl Events {
    /// Reads the events.
    pub fn parse(self) -> impl Iterator<Item = Result<Event, Malformed>> {
        self.events.into_iter().map(|event| {
            let sequence = event.get("sequence").and_then(serde_json::Value::as_u64);
            serde_json::from_value(event).map_err(|_error| Malformed { sequence })
        })
    }
}

/// An event that cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed {
    /// Its sequence number, if that can be read.
    pub sequence: Option<u64>,
}

//! Events of an engine's prefix cache.
//!
//! An engine retains its most recent events and returns those after a given
//! sequence number. Events may arrive late, and the engine drops those that were
//! not read in time; a reader detects this as a gap in the sequence numbers, which
//! start at 1 and rise by one within an incarnation of the engine. Blocks are
//! identified by the hashes described in [`super::prompt`]. A block is evicted
//! only after the blocks that follow it in the prompt.

use serde::{Deserialize, Serialize};

/// A change to the content of a prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Action {
    /// Consecutive blocks of one prompt were stored.
    Stored {
        /// Number of blocks that precede the first of `blocks` in the prompt.
        depth: u32,
        /// Hashes of the stored blocks, in prompt order.
        blocks: Vec<u64>,
    },
    /// Blocks were evicted.
    Evicted {
        /// Hashes of the evicted blocks.
        blocks: Vec<u64>,
    },
    /// The cache dropped all its blocks.
    Cleared,
}

/// A numbered change to the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Position of the event in this incarnation of the engine, from 1.
    pub sequence: u64,
    /// The change, whose fields are serialized beside `sequence`.
    #[serde(flatten)]
    pub action: Action,
}

/// The retained events after a requested sequence number, in ascending order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// Block hashing scheme of the engine; see [`super::prompt::SCHEME`].
    pub scheme: String,
    /// Incarnation of the engine, which changes at each of its starts.
    pub incarnation: u64,
    /// The events as raw JSON. [`Events::parse`] parses each on its own, so that
    /// a malformed event does not hide those after it.
    pub events: Vec<serde_json::Value>,
}

impl Events {
    /// Parses each event; a malformed one yields an error in its place.
    pub fn parse(self) -> impl Iterator<Item = Result<Event, Malformed>> {
        self.events.into_iter().map(|event| {
            let sequence = event.get("sequence").and_then(serde_json::Value::as_u64);
            serde_json::from_value(event).map_err(|_error| Malformed { sequence })
        })
    }
}

/// An event that could not be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed {
    /// Sequence number of the event, if that field could be parsed.
    pub sequence: Option<u64>,
}

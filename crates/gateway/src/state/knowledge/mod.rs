//! What gateways tell each other that the store may lack.
//!
//! A store that was restored from a copy lists what is older than what gateways know. One that
//! starts then lists the copy and has read as far as the others, so offsets do not tell that these
//! know better. Heartbeats do. See `docs/incidents/older-table.md`.

use serde::{Deserialize, Serialize};

use super::State;

/// What a gateway knows beyond what a restored store lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Knowledge {
    /// Version of the operators' table, by which tables are ordered; `None` before the first.
    pub table: Option<u64>,
}

impl State {
    /// Returns what this node knows beyond what a restored store lists.
    pub fn knowledge(&self) -> Knowledge {
        Knowledge {
            table: self.version(),
        }
    }
}

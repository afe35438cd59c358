//! Expert load that an engine of a group reports, and the expert maps that are
//! sent to it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Work done by the experts of one rank. This report is read less often than
/// [`Load`](super::Load) because its size grows with the number of experts and layers.
///
/// All counters are cumulative from the engine's start, so a lost or late report
/// delays the data but loses none of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Experts {
    /// Incarnation of the engine; the counters restart when it changes.
    pub incarnation: u64,
    /// Number of steps that the counters cover; lags behind [`Load::step`](super::Load::step).
    pub step: u64,
    /// Compute time of this rank's experts, in microseconds.
    pub busy_us: u64,
    /// Number of tokens that this rank's experts processed.
    pub handled: u64,
    /// Whether the engine can export its experts to other ranks.
    #[serde(default)]
    pub exports: bool,
    /// Per layer and expert, the number of tokens of this rank's own calls that
    /// were routed to the expert, on any rank.
    pub counts: Vec<Vec<u64>>,
}

/// Content of an expert map: which ranks hold which experts.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Per rank, the number of experts of one layer that fit into its memory.
    pub slots: Vec<u16>,
    /// Per layer and expert, the ranks that hold the expert, in ascending order.
    pub layers: Vec<Vec<Vec<u16>>>,
}

impl fmt::Debug for Placement {
    // Prints only the dimensions: a whole map would add about 100 kB to a log line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let experts = self.layers.first().map_or(0, Vec::len);
        write!(
            f,
            "Placement({}x{experts}x{})",
            self.slots.len(),
            self.layers.len()
        )
    }
}

//! Settings of a planner.

use std::time::Duration;

use crate::cost::Model;
use crate::map::Share;

/// Settings of a planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// What moves gain and cost.
    pub model: Model,
    /// How tokens of replicated experts are split.
    pub share: Share,
    /// Span after which a report's weight in the estimate has fallen to 1/e.
    pub memory: Duration,
    /// Fair share of the weight store's rate in bytes per second.
    pub store_rate: u64,
    /// Rate of transfers between ranks in bytes per second.
    pub peer_rate: u64,
    /// Experts that a rank can stage at once.
    pub staging: u16,
    /// Smallest gain, as a part of the layer's time, that starts a replanning
    /// of the layer.
    pub min_improvement: f64,
    /// Factor by which a gain must exceed its cost, beyond 1, without
    /// uncertainty.
    pub margin: f64,
    /// Standard errors of a rank's load that are added to the smallest gain.
    pub certainty: f64,
    /// Times of ranks that a round predicts at most. An expert with many
    /// replicas takes more of it, since a change affects all its ranks.
    pub work: u64,
    /// How long a rank must be slow before experts are moved away from it.
    pub straggler_hold: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            model: Model::default(),
            share: Share::Speed,
            memory: Duration::from_secs(30),
            store_rate: 256 << 20,
            peer_rate: 1 << 30,
            staging: 4,
            min_improvement: 0.005,
            margin: 0.5,
            certainty: 2.0,
            work: 200_000,
            straggler_hold: Duration::from_secs(30),
        }
    }
}

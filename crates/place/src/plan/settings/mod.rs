//! Settings of a [`super::Planner`].

use std::time::Duration;

use crate::cost::Model;
use crate::map::Share;

/// Cost model, thresholds and limits of a planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Cost model for steps and transfers.
    pub model: Model,
    /// How tokens of replicated experts are split.
    pub share: Share,
    /// Time after which the weight of a report in the estimate has decayed to
    /// 1/e.
    pub decay_time: Duration,
    /// Fair share of the weight store's rate in bytes per second.
    pub store_rate: u64,
    /// Rate of transfers between ranks in bytes per second.
    pub peer_rate: u64,
    /// Maximum number of experts that a rank can stage at the same time.
    pub staging: u16,
    /// Smallest improvement, as a fraction of the layer's time, for which the
    /// layer is changed.
    pub min_improvement: f64,
    /// Fraction by which an improvement must exceed its cost when the estimate
    /// has no standard error.
    pub margin: f64,
    /// Number of standard errors of a rank's load that are added to
    /// `min_improvement`.
    pub certainty: f64,
    /// Limit on the search work of a round: the number of rank times that are
    /// predicted. An expert with many replicas uses more of it, since a change
    /// affects the time of each of its ranks.
    pub work: u64,
    /// How long a rank must be slow before experts are moved away from it.
    pub straggler_hold: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            model: Model::default(),
            share: Share::Speed,
            decay_time: Duration::from_secs(30),
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

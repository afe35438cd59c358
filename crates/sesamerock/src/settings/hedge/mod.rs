//! Settings of hedged look-ups.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use sesamerock_retry::hedge;

/// When an entry sends a slow look-up to a second upstream.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Hedge {
    /// Whether look-ups are hedged at all.
    pub enabled: bool,
    /// Least time before the second attempt; the 95th percentile of the
    /// service's look-ups applies where it is longer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "least_delay_ms")]
    pub least_delay: Duration,
    /// Share of an upstream's limit, in percent, above which its agent refuses
    /// a second attempt. Below 100 such an attempt never queues.
    pub ceiling_percent: u32,
    /// Longest body of a call that is hedged, in bytes.
    pub body_bytes: usize,
    /// Retries of the budget that hedges leave for retries.
    pub reserve: u32,
}

impl Default for Hedge {
    fn default() -> Self {
        let bounds = hedge::Settings::default();
        Self {
            enabled: true,
            least_delay: bounds.least_delay,
            ceiling_percent: 75,
            body_bytes: 64 << 10,
            reserve: 50,
        }
    }
}

impl Hedge {
    /// Returns the settings of the hedging decision.
    pub fn bounds(&self) -> hedge::Settings {
        hedge::Settings {
            least_delay: self.least_delay,
            reserve: f64::from(self.reserve),
        }
    }
}

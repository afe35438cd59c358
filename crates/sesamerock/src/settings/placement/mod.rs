//! Settings of expert placement, see `docs/notes/placement.md`.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, DurationMilliSeconds, serde_as};

/// Limits and cost estimates with which the leader of a group plans its expert map.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Placement {
    /// Whether maps are planned at all.
    pub enabled: bool,
    /// Time between two collections of the ranks' reports. By default half a
    /// second per rank and at least 1 s, which keeps a leader of any size
    /// within the control-plane budget of 6 KB/s.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "collect_ms", skip_serializing_if = "Option::is_none")]
    pub collect: Option<Duration>,
    /// Limit of the weight store for all groups, in bytes per second. Each
    /// group uses this rate divided by the number of groups.
    pub store_bytes_per_s: u64,
    /// Rate of transfers between the ranks of a group, in bytes per second.
    pub peer_bytes_per_s: u64,
    /// Weights of one expert of one layer, in bytes.
    pub expert_bytes: u64,
    /// Experts that a rank can stage at once.
    pub staged_experts: u16,
    /// Part of a step that does not depend on the map.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "fixed_step_us")]
    pub fixed_step: Duration,
    /// Time of a token in one expert, in nanoseconds.
    pub token_ns: u64,
    /// Step time that the group loses per expert transferred.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "transfer_cost_us")]
    pub transfer_cost: Duration,
    /// Time for which a map is expected to stay better than the one before.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lifetime_ms")]
    pub lifetime: Duration,
    /// Time after which a report's weight has fallen to 1/e.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "memory_ms")]
    pub memory: Duration,
    /// Time for which a rank must be slow before experts are moved away.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "straggler_hold_ms")]
    pub straggler_hold: Duration,
    /// Time for a planned map to be staged and in use before the plan is abandoned.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "staging_timeout_ms")]
    pub staging_timeout: Duration,
}

impl Default for Placement {
    fn default() -> Self {
        Self {
            enabled: true,
            collect: None,
            store_bytes_per_s: 256 << 20,
            peer_bytes_per_s: 1 << 30,
            expert_bytes: 44 << 20,
            staged_experts: 4,
            fixed_step: Duration::from_millis(5),
            token_ns: 2_000,
            transfer_cost: Duration::from_millis(5),
            lifetime: Duration::from_mins(30),
            memory: Duration::from_secs(30),
            straggler_hold: Duration::from_secs(30),
            staging_timeout: Duration::from_mins(5),
        }
    }
}

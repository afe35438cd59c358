//! The settings file of a gateway.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};

use crate::admit::demand;

/// Settings of a gateway, as read from its file. Unknown keys are ignored, so that a file
/// for a newer version still works.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Settings {
    /// Name of the gateway, unique in the system.
    pub node: String,
    /// Availability zone in which the gateway runs.
    pub zone: String,
    /// Address at which callers connect.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub readiness: SocketAddr,
    /// Address at which callers request the addresses of gateways.
    pub directory: SocketAddr,
    /// Address at which other gateways connect.
    pub exchange: SocketAddr,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Time between the request to stop and the end of the process.
    #[serde(rename = "grace_s")]
    #[serde_as(as = "DurationSeconds<f64>")]
    pub grace: Duration,
    /// Upper bound of the TTL with which addresses are given to callers.
    #[serde(rename = "longest_ttl_s")]
    #[serde_as(as = "DurationSeconds<f64>")]
    pub longest_ttl: Duration,
    /// Time after an upstream starts draining within which it receives its last call.
    #[serde(rename = "drain_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub drain: Duration,
    /// Retries of a service allowed per call, in the whole system.
    pub retry_ratio: f64,
    /// Additional retries of a service allowed in one window, in the whole system.
    pub retry_slack: f64,
    /// Length of the window for [`Settings::retry_slack`].
    #[serde(rename = "retry_window_s")]
    #[serde_as(as = "DurationSeconds<f64>")]
    pub retry_window: Duration,
    /// Calls that an upstream may receive beyond its rate during its cold start, in the
    /// whole system.
    pub cold_slack: f64,
    /// Memory of the VM in MiB, of which a part holds requests and answers that are being read.
    /// Without it, the operating system is asked.
    #[serde(default)]
    pub memory_mib: Option<f64>,
    /// Whether calls that can only be late may fill a group of engines whose streams are late at
    /// any load (docs/notes/load.md).
    #[serde(default)]
    pub late_streams: bool,
    /// Time without progress after which a caller that is to read or send is closed; 10 s if absent.
    #[serde(rename = "caller_stall_ms", default)]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub caller_stall: Option<Duration>,
    /// Most descriptors that the process opens. Without it, the operating system is asked.
    #[serde(default)]
    pub max_descriptors: Option<usize>,
    /// How long the leader for the expert maps remains leader without contact to the store.
    /// This is the shortest lease that the store grants.
    #[serde(rename = "lease_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease: Duration,
    /// Whether one gateway of a zone reads the store for the others.
    #[serde(default)]
    pub store_reader: StoreReader,
    /// Whether engines refuse commands with a lower fencing token than they have seen. Only
    /// then may a leader go on past its lease while the store answers nobody.
    #[serde(default)]
    pub fencing: bool,
    /// Maximum pause between two events of a stream. Not used by the gateway, which applies
    /// the pause that each route configures.
    #[serde(rename = "pass_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_pause: Duration,
    /// Shares of workspaces in an overload. Without it, they are in force for engines whose routes
    /// have unlike priorities, and weights follow the usual demand.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shares: Option<Shares>,
}

/// Shares of workspaces in an overload.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct Shares {
    /// Part of the mean ratio of served to offered calls that each workspace and priority keeps.
    pub floor: f64,
    /// Weights by workspace name; 1 is that of a workspace with the mean usual demand.
    pub weights: BTreeMap<String, f64>,
}

impl Default for Shares {
    fn default() -> Self {
        Self {
            floor: demand::Settings::default().floor,
            weights: BTreeMap::new(),
        }
    }
}

impl Shares {
    /// Checks the ranges of the values.
    ///
    /// # Errors
    /// Names the field, its value and the limit.
    pub fn check(&self) -> eyre::Result<()> {
        let floor = self.floor;
        eyre::ensure!(
            (0.0..=1.0).contains(&floor),
            "shares.floor is {floor}; it must be from 0 to 1"
        );
        for (name, weight) in &self.weights {
            eyre::ensure!(
                *weight > 0.0 && weight.is_finite(),
                "shares.weights.{name} is {weight}; it must be over 0 and finite"
            );
        }
        Ok(())
    }

    /// Returns the settings for admission.
    pub fn admission(&self) -> demand::Settings {
        let weights = self.weights.iter();
        demand::Settings {
            floor: self.floor,
            weights: weights
                .map(|(name, weight)| (demand::workspace(name), *weight))
                .collect(),
        }
    }
}

impl Settings {
    /// Checks the values whose range is limited.
    ///
    /// # Errors
    /// Names the field, its value and the limit.
    pub fn check(&self) -> eyre::Result<()> {
        self.shares.as_ref().map_or(Ok(()), Shares::check)
    }
}

/// Whether one gateway of a zone reads the store for the others; see
/// `docs/notes/store-reads.md`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct StoreReader {
    /// Without it, zones with at least four gateways alive have a reader.
    #[serde(default)]
    pub enabled: Option<bool>,
}

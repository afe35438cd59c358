//! The settings file of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};

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
}

/// Whether one gateway of a zone reads the store for the others; see
/// `docs/notes/store-reads.md`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct StoreReader {
    /// Without it, zones with at least four gateways alive have a reader.
    #[serde(default)]
    pub enabled: Option<bool>,
}

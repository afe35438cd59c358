//! Settings of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationSeconds, serde_as};

/// Settings of a gateway, as its file states them. Unknown keys are ignored, so that
/// a newer file still serves.
#[serde_as]
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Settings {
    /// Name of the node, unique in the system.
    pub node: String,
    /// Availability zone.
    pub zone: String,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where readiness is asked for.
    pub readiness: SocketAddr,
    /// Where callers ask for addresses.
    pub directory: SocketAddr,
    /// Where other nodes connect.
    pub exchange: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// Time between the request to stop and the end of the process.
    #[serde(rename = "grace_s")]
    #[serde_as(as = "DurationSeconds<f64>")]
    pub grace: Duration,
    /// Longest time that callers keep addresses.
    #[serde(rename = "longest_ttl_s")]
    #[serde_as(as = "DurationSeconds<f64>")]
    pub longest_ttl: Duration,
    /// Time within which an upstream that leaves gets its last call.
    #[serde(rename = "drain_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub drain: Duration,
    /// Repeats that each call of a service pays for, in the whole system.
    pub retry_ratio: f64,
    /// Repeats of a service in one window beyond those, in the whole system.
    pub retry_slack: f64,
    /// Length of that window.
    #[serde(rename = "retry_window_s")]
    #[serde_as(as = "DurationSeconds<f64>")]
    pub retry_window: Duration,
    /// Calls a cold upstream may get beyond its rate, in the whole system.
    pub cold_slack: f64,
    /// How long the node that leads the expert maps does so without contact to the store;
    /// the least that the store grants.
    #[serde(rename = "lease_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease: Duration,
    /// Longest pause between two events of a stream.
    #[serde(rename = "pass_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub pass: Duration,
}

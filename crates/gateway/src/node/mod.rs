//! Records of gateways, by which they find each other.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The record that a gateway publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the gateway, unique in the system.
    pub name: String,
    /// Start of the process, in milliseconds since the Unix epoch; tells restarts of one
    /// name apart.
    pub incarnation: u64,
    /// Address at which it serves callers.
    pub front: SocketAddr,
    /// Address at which it serves other gateways.
    pub exchange: SocketAddr,
    /// Availability zone in which it runs.
    pub zone: Arc<str>,
}

//! The platform's list of live and leaving VMs, which lags.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::http::client::Client;

/// A VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Address of the peer service on it.
    pub peer: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Whether the platform is about to take the VM away.
    #[serde(default)]
    pub leaving: bool,
}

/// Reads the list.
pub trait List: Clone + Send + Sync + 'static {
    /// Returns the VMs as the platform last saw them.
    fn vms(&self) -> impl Future<Output = Result<Vec<Vm>, Error>> + Send;
}

/// The list over HTTP and JSON.
#[derive(Clone, Debug)]
pub struct Remote {
    client: Client,
    base: String,
}

impl Remote {
    /// Makes an adapter for the service at `base`.
    pub fn new(client: Client, base: impl Into<String>) -> Self {
        Self {
            client,
            base: base.into(),
        }
    }
}

impl List for Remote {
    async fn vms(&self) -> Result<Vec<Vm>, Error> {
        self.client
            .get(&format!("{}/vms", self.base), Duration::ZERO)
            .await
    }
}

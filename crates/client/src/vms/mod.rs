//! The platform's list of live and leaving VMs, which lags.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::http::client::ServiceClient;

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
pub struct Remote(pub ServiceClient);

impl List for Remote {
    async fn vms(&self) -> Result<Vec<Vm>, Error> {
        self.0.get("/vms", Duration::ZERO).await
    }
}

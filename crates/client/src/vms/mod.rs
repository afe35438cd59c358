//! The platform's list of running and departing VMs, which may be stale.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::http::client::ServiceClient;

/// An entry of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name that the platform gives the VM.
    pub name: String,
    /// Address of the peer service on the VM.
    pub peer: SocketAddr,
    /// Availability zone of the VM.
    pub zone: String,
    /// Region that contains the zone.
    pub region: String,
    /// Whether the platform is about to remove the VM.
    #[serde(default)]
    pub leaving: bool,
}

/// Source of the VM list.
pub trait List: Clone + Send + Sync + 'static {
    /// Returns the running and departing VMs that the platform currently lists.
    fn vms(&self) -> impl Future<Output = Result<Vec<Vm>, Error>> + Send;
}

/// A [`List`] that is reached over HTTP and JSON.
#[derive(Clone, Debug)]
pub struct Remote(pub ServiceClient);

impl List for Remote {
    async fn vms(&self) -> Result<Vec<Vm>, Error> {
        self.0.get("/vms", Duration::ZERO).await
    }
}

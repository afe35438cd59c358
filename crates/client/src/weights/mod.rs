//! Client for the rate-limited weight store.
//!
//! Engines fetch weights themselves. An agent first reserves a share of the store's
//! transfer rate, so that all groups together stay within the limit.

use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::http::client::ServiceClient;

/// Request for a share of the store's rate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Name of the upstream that will fetch the item.
    pub upstream: String,
    /// Item to fetch: a model version, an adapter or an expert.
    pub item: String,
    /// Size of the item, in bytes.
    pub bytes: u64,
}

/// Reserves transfers from the weight store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reserves a transfer. A store at its rate limit refuses with status 429, and
    /// the caller has to back off.
    fn reserve(&self, transfer: &Transfer) -> impl Future<Output = Result<(), Error>> + Send;
}

/// A [`Store`] that is reached over HTTP and JSON.
#[derive(Clone, Debug)]
pub struct Remote(pub ServiceClient);

impl Store for Remote {
    async fn reserve(&self, transfer: &Transfer) -> Result<(), Error> {
        self.0
            .post::<serde_json::Value>("/weights/transfers", transfer)
            .await
            .map(drop)
    }
}

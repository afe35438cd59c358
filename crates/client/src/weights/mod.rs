//! The rate-limited weight store.
//!
//! Engines fetch weights themselves; an agent asks for a share of the store's
//! rate first, so that all groups together stay within it.

use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::http::client::ServiceClient;

/// Request for a share of the store's rate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Who fetches.
    pub upstream: String,
    /// What is fetched: a model version, an adapter or an expert.
    pub item: String,
    /// Bytes to fetch.
    pub bytes: u64,
}

/// Asks the store for permission to fetch.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reserves a transfer. A store at its limit refuses with status 429, and
    /// the asker backs off.
    fn reserve(&self, transfer: &Transfer) -> impl Future<Output = Result<(), Error>> + Send;
}

/// The store over HTTP and JSON.
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

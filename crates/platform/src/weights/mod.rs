//! The rate-limited weight store.
//!
//! Engines fetch weights themselves; an agent asks for a share of the store's
//! rate first, so that all groups together stay within it.

use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::http::client::Client;

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

impl Store for Remote {
    async fn reserve(&self, transfer: &Transfer) -> Result<(), Error> {
        let uri = format!("{}/weights/transfers", self.base);
        self.client
            .post::<serde_json::Value>(&uri, transfer)
            .await
            .map(drop)
    }
}

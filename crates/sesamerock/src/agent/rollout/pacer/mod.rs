//! Paces loads by the weight store.
//!
//! An agent asks for one transfer at a time and backs off, doubling with a
//! random part, while the store refuses. All agents do so alike, which shares
//! the store's rate among them without a coordinator.

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_client::error::Error;
use sesamerock_client::weights::{Store, Transfer};

use super::handle::Release;
use crate::clock;

/// Pause after the first refusal.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
/// Longest pause; a rollout goes on within this time once the store grants.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Most doublings of the pause.
const MAX_DOUBLINGS: u32 = 5;
/// Bytes asked for: a model of 7 billion parameters at 16 bits. Release notes
/// state no sizes.
const MODEL_BYTES: u64 = 14 << 30;

/// The transfers of one agent.
#[derive(Debug)]
pub(super) struct TransferPacer<S> {
    store: S,
    refusals: u32,
    retry_at: Option<Moment>,
    granted: Option<Release>,
    reason: &'static str,
}

impl<S: Store> TransferPacer<S> {
    pub(super) fn new(store: S) -> Self {
        Self {
            store,
            refusals: 0,
            retry_at: None,
            granted: None,
            reason: "",
        }
    }

    /// Returns until when the store is left alone.
    pub(super) fn refused_until(&self) -> Option<Moment> {
        self.retry_at.filter(|retry_at| clock::now() < *retry_at)
    }

    /// Returns why it is left alone.
    pub(super) fn reason(&self) -> &'static str {
        self.reason
    }

    /// Asks for the transfer of a version, unless it was granted before.
    pub(super) async fn reserve(&mut self, upstream: &str, release: &Release) -> bool {
        if self.granted.as_ref() == Some(release) {
            return true;
        }
        let transfer = Transfer {
            upstream: upstream.to_owned(),
            item: release.to_string(),
            bytes: MODEL_BYTES,
        };
        match self.store.reserve(&transfer).await {
            Ok(()) => {
                log::info!("event=transfer_granted upstream={upstream} item={release}");
                self.refusals = 0;
                self.retry_at = None;
                self.granted = Some(release.clone());
                true
            }
            Err(error) => {
                self.record_refusal(upstream, release, &error);
                false
            }
        }
    }

    /// Forgets a grant once the engine has the version.
    pub(super) fn clear_grant(&mut self) {
        self.granted = None;
    }

    fn record_refusal(&mut self, upstream: &str, release: &Release, error: &Error) {
        let refused = matches!(error, Error::Refused { .. });
        self.reason = if refused {
            "store_refused"
        } else {
            "store_unreachable"
        };
        let backoff = (INITIAL_BACKOFF * (1 << self.refusals.min(MAX_DOUBLINGS))).min(MAX_BACKOFF);
        // From half to one and a half, so that agents do not ask together.
        let backoff = backoff.mul_f64(0.5 + rand::random::<f64>());
        self.refusals += 1;
        self.retry_at = Some(clock::now() + backoff);
        log::warn!(
            "event=transfer_refused upstream={upstream} item={release} reason={} pause_ms={} error={error}",
            self.reason,
            backoff.as_millis()
        );
    }
}

//! Reserves transfers at the weight store and backs off when it refuses.
//!
//! An agent reserves one transfer at a time, and backs off exponentially with
//! jitter while the store refuses. Since all agents do this, they share the
//! store's rate without a coordinator.

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_client::error::Error;
use sesamerock_client::weights::{Store, Transfer};

use super::handle::Release;
use crate::clock;

/// Backoff after the first refusal, before jitter.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
/// Largest backoff before jitter, which bounds the delay until a rollout
/// continues once the store grants again.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Largest number of doublings of the backoff.
const MAX_DOUBLINGS: u32 = 5;
/// Bytes reserved for a version: a model of 7 billion parameters at 16 bits.
/// Release notes contain no sizes.
const MODEL_BYTES: u64 = 14 << 30;

/// Reserves the transfers of one agent.
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

    /// Returns when the store may be asked again, or `None` if that is now.
    pub(super) fn refused_until(&self) -> Option<Moment> {
        self.retry_at.filter(|retry_at| clock::now() < *retry_at)
    }

    /// Returns the reason for the last backoff, or an empty text.
    pub(super) fn reason(&self) -> &'static str {
        self.reason
    }

    /// Reserves the transfer of a version, unless it is already granted, and
    /// returns whether it is granted.
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

    /// Discards the grant, after the load was started or is no longer needed.
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
        // A factor between 0.5 and 1.5, so that agents do not retry together.
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

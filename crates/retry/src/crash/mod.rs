//! Facts about crashes, as nodes share them.
//!
//! A record says which requests were in flight at a crash, and which of them
//! were cleared of it since. Both sets only grow, and stamps are merged to the
//! earliest or the latest, so records of several nodes can be merged in any
//! order and any number of times.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A request, as a hash of its workspace, model and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request. Nothing that a caller changes with
    /// each attempt, such as a request id, may be part of the body.
    pub fn of(workspace: &str, model: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [workspace.as_bytes(), model.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self(u64::from_le_bytes(bytes))
    }
}

/// A wall-clock time in milliseconds since 1970. It is shared between nodes and
/// decides on expiry and pauses only.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Stamp(pub u64);

impl Stamp {
    /// Returns the milliseconds since an earlier stamp, or 0.
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A crash: an upstream, by the hash of its name, and its incarnation that
/// ended. An incarnation ends once, so all nodes name a crash alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The incarnation; later ones of an upstream are greater. It is the first
    /// field, so that crashes are ordered by age as well as can be.
    pub incarnation: u64,
    /// Hash of the upstream's name.
    pub upstream: u64,
}

/// What is known of a crash.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// When the first node noticed it.
    pub at: Stamp,
    /// Whether a node that knew all calls in flight contributed: the agent.
    pub complete: bool,
    /// The requests in flight.
    #[serde(rename = "aboard")]
    pub in_flight: BTreeMap<Fingerprint, InFlightRequest>,
}

/// What is known of a request that was in flight at a crash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightRequest {
    /// When it was started there, the last time if it was several times.
    pub started: Stamp,
    /// Whether it completed somewhere since.
    pub cleared: bool,
}

impl Record {
    /// Merges another record of the same crash. At most `most` requests are
    /// kept, those with the greatest hashes on every node.
    pub fn merge(&mut self, other: &Self, max_requests: usize) {
        self.at = self.at.min(other.at);
        self.complete |= other.complete;
        for (fingerprint, request) in &other.in_flight {
            let known = self.in_flight.entry(*fingerprint).or_default();
            known.started = known.started.max(request.started);
            known.cleared |= request.cleared;
        }
        while self.in_flight.len() > max_requests {
            self.in_flight.pop_first();
        }
    }

    /// Returns the requests that were not cleared, with their starts.
    pub fn uncleared(&self) -> impl Iterator<Item = (Fingerprint, Stamp)> {
        let uncleared = self
            .in_flight
            .iter()
            .filter(|(_, request)| !request.cleared);
        uncleared.map(|(fingerprint, request)| (*fingerprint, request.started))
    }
}

/// Records for another node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Crashes with what is known of each.
    pub records: Vec<(Crash, Record)>,
}

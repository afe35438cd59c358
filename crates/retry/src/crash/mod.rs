//! Records of crashes, in the form in which nodes exchange them.
//!
//! A record lists the requests that were in flight at a crash, and which of them
//! have been cleared since. Both sets only grow, and timestamps are merged by
//! minimum or maximum. Merging is therefore commutative, associative and
//! idempotent: records of several nodes can be merged in any order and any
//! number of times.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Identifies a request by a 64-bit hash of its workspace, model and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request. `body` must not contain anything
    /// that a caller changes with each attempt, such as a request id.
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

/// Wall-clock time in milliseconds since 1970-01-01 UTC.
///
/// Stamps are exchanged between nodes, whose clocks may differ. They only decide
/// when records expire, how long requests wait, and whether a call was started
/// after a crash.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Stamp(pub u64);

impl Stamp {
    /// Returns the milliseconds elapsed since `earlier`, or 0 if `earlier` is
    /// later.
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Identifies a crash by the upstream and the incarnation that crashed. An
/// incarnation ends only once, so all nodes identify a crash in the same way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The incarnation that crashed; later incarnations of an upstream have
    /// greater numbers. This is the first field, so that the derived order of
    /// crashes approximates their age.
    pub incarnation: u64,
    /// Hash of the upstream's name.
    pub upstream: u64,
}

/// What is known about a crash.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// When the first node detected the crash.
    pub at: Stamp,
    /// Whether the agent of the upstream, which alone knows all calls that were
    /// in flight, has contributed to this record.
    pub complete: bool,
    /// Requests that were in flight at the crash.
    #[serde(rename = "aboard")]
    pub in_flight: BTreeMap<Fingerprint, InFlightRequest>,
}

/// What is known about a request that was in flight at a crash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightRequest {
    /// When the request was last started on the upstream that crashed.
    pub started: Stamp,
    /// Whether the request has completed on any upstream since the crash.
    pub cleared: bool,
}

impl Record {
    /// Merges another record of the same crash. At most `max_requests` requests
    /// are kept: those with the greatest fingerprints, so that all nodes keep the
    /// same ones.
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

    /// Returns the requests that have not been cleared, with their start times.
    pub fn uncleared(&self) -> impl Iterator<Item = (Fingerprint, Stamp)> {
        let uncleared = self
            .in_flight
            .iter()
            .filter(|(_, request)| !request.cleared);
        uncleared.map(|(fingerprint, request)| (*fingerprint, request.started))
    }
}

/// Crash records sent from one node to another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The crashes, each with what the sender knows about it.
    pub records: Vec<(Crash, Record)>,
}

//! What the gateway needs of a store that keeps the operators' orders, the
//! records of upstreams and those of its own nodes.
//!
//! An adapter implements [`Store`] and decodes what it reads into [`Update`]. It
//! holds no state: positions, repetitions and trust are matters of
//! [`crate::state`].

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::node;
use crate::table::Content;
use crate::upstream;

/// A log of records with keys, of which the newest of each key counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Feed {
    /// Orders of operators.
    Orders,
    /// Upstreams.
    Upstreams,
    /// Nodes of this system.
    Nodes,
}

impl Feed {
    /// Returns the word used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Orders => "orders",
            Self::Upstreams => "upstreams",
            Self::Nodes => "nodes",
        }
    }
}

/// One record, decoded.
#[derive(Clone, Debug)]
pub enum Update {
    /// A version of the operators' table.
    Table(Arc<Content>),
    /// A zone is taken out of service, or brought back.
    Zone {
        /// The zone.
        zone: Arc<str>,
        /// Whether it is out of service.
        out: bool,
    },
    /// An upstream describes itself.
    Upstream(upstream::Record),
    /// The record of an upstream is gone.
    UpstreamRemoved(Arc<str>),
    /// A node describes itself.
    Node(node::Record),
    /// The record of a node is gone.
    NodeRemoved(String),
    /// A record that says nothing to this product.
    Unreadable {
        /// Its key.
        key: String,
        /// Why.
        reason: String,
    },
}

/// A record and its place in the log.
#[derive(Clone, Debug)]
pub struct Change {
    /// Offset.
    pub offset: u64,
    /// Content.
    pub update: Update,
}

/// What a read yields.
#[derive(Clone, Debug, Default)]
pub struct Batch {
    /// The offset to read from next.
    pub next: u64,
    /// Records, in order.
    pub changes: Vec<Change>,
}

/// Why a call to the store yields nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// The records asked for are no longer kept.
    Expired,
    /// The store refuses this caller for now.
    Refused(u16),
    /// No answer came, or not in time.
    #[serde(rename = "Silent")]
    NoAnswer(String),
    /// The answer cannot be understood.
    #[serde(rename = "Garbled")]
    Malformed(String),
    /// Somebody else holds what was asked for.
    Held,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Expired => f.write_str("the records are no longer kept"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::NoAnswer(reason) => write!(f, "no answer: {reason}"),
            Self::Malformed(reason) => write!(f, "not understood: {reason}"),
            Self::Held => f.write_str("held by another node"),
        }
    }
}

impl std::error::Error for Fault {}

/// The lead, as the store grants it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Number that rises with each change of who leads; a fencing token.
    pub generation: u64,
    /// Whether this node leads.
    pub held: bool,
}

/// The store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads the newest record of each key.
    fn newest(&self, feed: Feed) -> impl Future<Output = Result<Batch, Fault>> + Send;

    /// Reads the records from an offset on; waits for the first one so long.
    fn read(
        &self,
        feed: Feed,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, Fault>> + Send;

    /// Claims or keeps the lead for a time; `generation` is the last one received.
    fn claim_leadership(
        &self,
        node: &str,
        ttl: Duration,
        generation: u64,
    ) -> impl Future<Output = Result<Lease, Fault>> + Send;

    /// Gives the lead back, or the place among those that claim it.
    fn resign(&self, node: &str) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Writes the record of this node.
    fn announce(&self, record: &node::Record) -> impl Future<Output = Result<(), Fault>> + Send;
}

//! The interface to a store that keeps the operators' orders, the records of upstreams
//! and those of the gateways.
//!
//! An adapter implements [`Store`] and decodes the records it reads into [`Update`]. It
//! holds no state: [`crate::state`] tracks positions and handles repeated or outdated
//! records.

pub mod contact;
pub mod counted;
mod offset;

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::node;
use crate::suspect;
use crate::table::Content;
use crate::upstream;

pub use offset::{Era, Offset, Term};

/// A log of keyed records, in which the newest record of each key is valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Feed {
    /// Orders of operators: the table, and zones out of service.
    Orders,
    /// Records of upstreams.
    Upstreams,
    /// Records of the gateways of this system, and the convictions that they share.
    Nodes,
}

impl Feed {
    /// All feeds.
    pub const ALL: [Self; 3] = [Self::Orders, Self::Upstreams, Self::Nodes];

    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Orders => "orders",
            Self::Upstreams => "upstreams",
            Self::Nodes => "nodes",
        }
    }
}

/// The decoded content of one record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Update {
    /// A version of the operators' table.
    Table(Arc<Content>),
    /// A zone is taken out of service or returned to service.
    Zone {
        /// Name of the availability zone.
        zone: Arc<str>,
        /// Whether the zone is out of service.
        out: bool,
    },
    /// An upstream published or updated its record.
    Upstream(upstream::Record),
    /// The record of an upstream was removed; holds its id.
    UpstreamRemoved(Arc<str>),
    /// A gateway published its record.
    Node(node::Record),
    /// The record of a gateway was removed; holds its name.
    NodeRemoved(String),
    /// A gateway published a conviction.
    Conviction(suspect::Record),
    /// A record that could not be decoded and has no effect.
    Unreadable {
        /// Key of the record.
        key: String,
        /// Why it could not be decoded.
        reason: String,
    },
}

/// A decoded record and its offset in the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change {
    /// Offset of the record; of two records of a key, the higher one is newer.
    pub offset: Offset,
    /// Decoded content of the record.
    pub update: Update,
}

/// The result of a read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Batch {
    /// Offset from which to continue reading.
    pub next: Offset,
    /// Records in the order in which the store returned them.
    pub changes: Vec<Change>,
}

/// Why a call to the store or to an engine failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// The requested records are no longer retained, or the store has been restored from a copy
    /// since their offset was read.
    Expired,
    /// The request was refused with this HTTP status; a retry may succeed.
    Refused(u16),
    /// No answer arrived in time; holds the reason.
    #[serde(rename = "Silent")]
    NoAnswer(String),
    /// The answer could not be decoded; holds the reason.
    #[serde(rename = "Garbled")]
    Malformed(String),
    /// Another node holds the requested resource.
    Held,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Expired => f.write_str("the requested records are no longer retained"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::NoAnswer(reason) => write!(f, "no answer: {reason}"),
            Self::Malformed(reason) => write!(f, "malformed message: {reason}"),
            Self::Held => f.write_str("another node holds the requested resource"),
        }
    }
}

impl std::error::Error for Fault {}

/// Leadership as granted by the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Increases with each change of leader, and also when claimants join or leave.
    pub term: Term,
    /// Whether this node is the leader.
    pub held: bool,
}

/// Operations on the store. All of them fail with a [`Fault`].
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads the newest record of each key, as the start of reading a feed. All records are of
    /// the era of [`Batch::next`].
    fn newest(&self, feed: Feed) -> impl Future<Output = Result<Batch, Fault>> + Send;

    /// Reads the records from an offset on, waiting up to `wait` for the first one. Fails
    /// with [`Fault::Expired`] if that offset is no longer retained or is of another era than the
    /// store.
    fn read(
        &self,
        feed: Feed,
        from: Offset,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, Fault>> + Send;

    /// Claims or renews leadership for `ttl`; `term` is the last one received.
    fn claim_leadership(
        &self,
        node: &str,
        ttl: Duration,
        term: Term,
    ) -> impl Future<Output = Result<Lease, Fault>> + Send;

    /// Releases leadership, or withdraws the claim to it.
    fn resign(&self, node: &str) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Publishes the record of this node to the other nodes.
    fn announce(&self, record: &node::Record) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Keeps a conviction in place of the one with the same [`suspect::Record::slot`].
    fn keep_conviction(
        &self,
        record: &suspect::Record,
    ) -> impl Future<Output = Result<(), Fault>> + Send;
}

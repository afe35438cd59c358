//! Messages of the peer service's `exchange` call.
//!
//! Request and reply have the same type: the sender's version, the records that
//! the receiver lacks as far as the sender knows, and samples of peers, readers
//! and facts. A reply thus brings the requester the records it lacks, and its
//! version shows which records the replying peer lacks.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;

use crate::blob::Blob;
use crate::fact::Fact;
use crate::peer::Peer;
use crate::reader::Candidate;
use crate::transfer::{Chunk, Part};

/// One record of the control log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Version of the state after this record; versions are consecutive.
    pub version: Version,
    /// Content, opaque to this crate.
    pub bytes: Blob,
}

/// State of a node's contact, as its messages report it; see
/// [`crate::contact`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactStatus {
    /// Milliseconds since the node's last contact, rounded up; `None` if it never
    /// had one.
    pub age: Option<u32>,
    /// Whether the node knows of a zone other than its own.
    pub others: bool,
}

/// Request or reply of the `exchange` call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Entry of the sender, with age zero.
    pub from: Peer,
    /// Version up to which the sender has applied every record.
    pub version: Version,
    /// Whether this is part of a periodic exchange, which also exchanges peers
    /// and compares facts. False for an announcement or a pull.
    pub sync: bool,
    /// Whether the reply should include records after the sender's version. False
    /// while the sender waits for them from another peer.
    pub wants: bool,
    /// Whether the receiver should send records or a snapshot whatever its own
    /// limits: the sender has been behind for long, or several peers have
    /// declined to send it a snapshot.
    pub urgent: bool,
    /// State of the sender's contact.
    pub standing: ContactStatus,
    /// Records in ascending order without gaps.
    pub records: Vec<Record>,
    /// Request only: the part of a snapshot to send next.
    pub part: Option<Part>,
    /// Reply only: a part of a snapshot.
    pub chunk: Option<Chunk>,
    /// Sample of the sender's view.
    pub peers: Vec<Peer>,
    /// The highest-ranked reader candidates of the sender's zone; only in messages
    /// to peers of that zone.
    pub readers: Vec<Candidate>,
    /// One hash of the facts held per bucket; empty if no fact is held, or outside
    /// periodic exchanges.
    pub digest: Vec<u32>,
    /// Facts the receiver may lack.
    pub facts: Vec<Fact>,
}

impl Message {
    /// Creates a message with only the sender, its version and its contact.
    pub fn new(from: Peer, version: Version, standing: ContactStatus) -> Self {
        Self {
            from,
            version,
            sync: false,
            wants: false,
            urgent: false,
            standing,
            records: Vec::new(),
            part: None,
            chunk: None,
            peers: Vec::new(),
            readers: Vec::new(),
            digest: Vec::new(),
            facts: Vec::new(),
        }
    }
}

/// Identifies a request when its outcome is reported.
///
/// The contact that a reply shows counts from the time the request was sent, see
/// [`crate::contact`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Address of the peer that the request goes to.
    pub to: SocketAddr,
    /// When the node created the request.
    pub sent: Moment,
    /// Whether the request is a pull, which the node waits for before it pulls from
    /// another peer.
    pub pull: bool,
}

/// A request to send with one `exchange` call.
///
/// The driver reports the outcome with [`crate::node::Node::receive_reply`] or
/// [`crate::node::Node::request_failed`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Identifies the request when its outcome is reported.
    pub ticket: Ticket,
    /// Argument of the call.
    pub message: Message,
}

//! The one message type of the peer service's `exchange` call.
//!
//! Request and reply have the same shape: the sender's version, the records
//! the other side lacks as far as the sender knows, and small samples of what
//! else spreads. A reply therefore always works as a pull of the requester and
//! tells the requester what to push next.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;

use crate::blob::Blob;
use crate::fact::Fact;
use crate::peer::Peer;
use crate::reader::Candidate;
use crate::transfer::{Chunk, Part};

/// One control record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its version; the next record has the next higher one.
    pub version: Version,
    /// Its content, opaque to this crate.
    pub bytes: Blob,
}

/// What a node says about its contact, see [`crate::contact`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContactStatus {
    /// Milliseconds since its last contact, rounded up; none if it had none.
    pub age: Option<u32>,
    /// Whether it knows of a zone other than its own.
    pub others: bool,
}

/// Request and reply of `exchange`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender as a peer entry of age zero.
    pub from: Peer,
    /// The version up to which the sender holds every record.
    pub version: Version,
    /// Whether this is part of a periodic exchange, which also compares peers
    /// and facts, and not only an announcement or a pull.
    pub sync: bool,
    /// Whether the sender wants records beyond its version in the reply. False
    /// while it waits for them from another peer.
    pub wants: bool,
    /// Whether the sender has been behind for long.
    pub urgent: bool,
    /// The sender's contact.
    pub standing: ContactStatus,
    /// Records in ascending order without gaps.
    pub records: Vec<Record>,
    /// Request only: the part of a snapshot that the sender wants next.
    pub part: Option<Part>,
    /// Reply only: a part of a snapshot.
    pub chunk: Option<Chunk>,
    /// A few entries of the sender's view.
    pub peers: Vec<Peer>,
    /// The best ranked readers of the sender's zone, to peers of that zone.
    pub readers: Vec<Candidate>,
    /// Hash of the facts held, by bucket; empty if none is held or not stated.
    pub digest: Vec<u32>,
    /// Facts the receiver may lack.
    pub facts: Vec<Fact>,
}

impl Message {
    /// Makes a message that states only the sender, its version and contact.
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

/// Ties a reply to its request.
///
/// The time of sending is the time the reply's news are dated from, see
/// [`crate::contact`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The peer asked.
    pub to: SocketAddr,
    /// When the request was made.
    pub sent: Moment,
    /// Whether the request asked for records or a part of a snapshot.
    pub pull: bool,
}

/// A request to send with one `exchange` call.
///
/// The driver reports the outcome with [`crate::node::Node::reply`] or
/// [`crate::node::Node::failed`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Where it goes and when it was made.
    pub ticket: Ticket,
    /// What it says.
    pub message: Message,
}

//! Snapshots in parts.
//!
//! A snapshot can be larger than the message limit, so it travels in chunks
//! that the receiver asks for one after the other from the same peer. The
//! previous snapshot is retained for a while, so that replacing it does not
//! break transfers under way.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;

use crate::blob::Blob;

/// How long a replaced snapshot is still served.
const RETENTION: Duration = Duration::from_mins(1);

/// The whole control state at a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The version of the state.
    pub version: Version,
    /// The state, opaque to this crate.
    pub bytes: Blob,
}

/// Names the part of a snapshot that a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The snapshot's version.
    pub version: Version,
    /// The first byte wanted.
    pub offset: u32,
}

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The snapshot's version.
    pub version: Version,
    /// The snapshot's length in bytes.
    pub total: u32,
    /// Position of the first byte of this part.
    pub offset: u32,
    /// The bytes of this part.
    pub bytes: Blob,
}

/// The snapshots a node can hand out.
#[derive(Clone, Debug, Default)]
pub struct SnapshotStore {
    current: Option<Snapshot>,
    previous: Option<(Snapshot, Moment)>,
}

impl SnapshotStore {
    /// Replaces the current snapshot.
    pub fn replace(&mut self, now: Moment, snapshot: Snapshot) {
        if let Some(old) = self.current.replace(snapshot) {
            self.previous = Some((old, now));
        }
    }

    /// Returns the current snapshot's version.
    pub fn version(&self) -> Option<Version> {
        self.current.as_ref().map(|snapshot| snapshot.version)
    }

    /// Drops the snapshot of a version, whose content turned out damaged.
    pub fn remove(&mut self, version: Version) {
        self.current.take_if(|current| current.version == version);
        self.previous.take_if(|(old, _)| old.version == version);
    }

    /// Drops the previous snapshot after its retention.
    pub fn expire(&mut self, now: Moment) {
        if self
            .previous
            .as_ref()
            .is_some_and(|(_, replaced_at)| now.since(*replaced_at) > RETENTION)
        {
            self.previous = None;
        }
    }

    /// Returns the chunk for a part, or the first chunk of the current
    /// snapshot if no part is named or its snapshot is gone.
    pub fn chunk(&self, part: Option<Part>, limit: usize) -> Option<Chunk> {
        let requested = part.and_then(|part| Some((self.find(part.version)?, part.offset)));
        let (snapshot, offset) = match requested {
            Some(found) => found,
            None => (self.current.as_ref()?, 0),
        };
        let from = (offset as usize).min(snapshot.bytes.len());
        let to = (from + limit).min(snapshot.bytes.len());
        Some(Chunk {
            version: snapshot.version,
            total: snapshot.bytes.len() as u32,
            offset: from as u32,
            bytes: Blob::from(&snapshot.bytes[from..to]),
        })
    }

    fn find(&self, version: Version) -> Option<&Snapshot> {
        let previous = self.previous.iter().map(|(snapshot, _)| snapshot);
        self.current
            .iter()
            .chain(previous)
            .find(|snapshot| snapshot.version == version)
    }
}

/// A snapshot being received.
#[derive(Clone, Debug, Default)]
pub struct SnapshotAssembler {
    version: Version,
    total: usize,
    bytes: Vec<u8>,
}

impl SnapshotAssembler {
    /// Returns the part to ask for next, or `None` before the first chunk.
    pub fn next_part(&self) -> Option<Part> {
        (self.total > 0).then_some(Part {
            version: self.version,
            offset: self.bytes.len() as u32,
        })
    }

    /// Adds a chunk and returns the snapshot once it is complete.
    ///
    /// A first chunk of another snapshot restarts the transfer; any other
    /// chunk that does not continue it is ignored, as is a snapshot larger
    /// than the limit.
    pub fn add_chunk(&mut self, chunk: &Chunk, limit: usize) -> Option<Snapshot> {
        if chunk.total as usize > limit {
            return None;
        }
        let continues_transfer =
            self.version == chunk.version && self.total == chunk.total as usize;
        if chunk.offset == 0 && (!continues_transfer || self.bytes.is_empty()) {
            self.version = chunk.version;
            self.total = chunk.total as usize;
            self.bytes.clear();
        } else if !continues_transfer {
            return None;
        }
        let fits = self.bytes.len() + chunk.bytes.len() <= self.total;
        if chunk.offset as usize != self.bytes.len() || !fits {
            return None;
        }
        self.bytes.extend_from_slice(&chunk.bytes);
        if self.bytes.len() < self.total {
            return None;
        }
        let completed = std::mem::take(self);
        Some(Snapshot {
            version: completed.version,
            bytes: Blob::from(completed.bytes),
        })
    }

    /// Gives up the transfer, for instance after its source failed.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

//! Transfer of snapshots in chunks.
//!
//! A snapshot can exceed the size limit of a message, so the receiver requests it
//! chunk by chunk from one peer. The sender keeps the previous snapshot for a
//! while, so that replacing it does not break transfers in progress.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;

use crate::blob::Blob;

/// How long a replaced snapshot is kept for transfers in progress.
const RETENTION: Duration = Duration::from_mins(1);

/// The whole control state at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Version of the last record that the state includes.
    pub version: Version,
    /// Encoded state, opaque to this crate.
    pub bytes: Blob,
}

/// The part of a snapshot that a request asks for; the sender chooses its
/// length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The snapshot's version.
    pub version: Version,
    /// Offset in bytes at which the part starts.
    pub offset: u32,
}

/// Consecutive bytes of a snapshot, as a reply carries them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The snapshot's version.
    pub version: Version,
    /// Length of the whole snapshot in bytes.
    pub total: u32,
    /// Offset in bytes of this chunk in the snapshot.
    pub offset: u32,
    /// Content of this chunk.
    pub bytes: Blob,
}

/// The snapshots that a node can send: the current one and, until its retention
/// ends, the previous one.
#[derive(Clone, Debug, Default)]
pub struct SnapshotStore {
    current: Option<Snapshot>,
    previous: Option<(Snapshot, Moment)>,
}

impl SnapshotStore {
    /// Replaces the current snapshot, which becomes the previous one.
    pub fn replace(&mut self, now: Moment, snapshot: Snapshot) {
        if let Some(old) = self.current.replace(snapshot) {
            self.previous = Some((old, now));
        }
    }

    /// Returns the version of the current snapshot, or `None` without one.
    pub fn version(&self) -> Option<Version> {
        self.current.as_ref().map(|snapshot| snapshot.version)
    }

    /// Removes the snapshot of a version because its content is damaged.
    pub fn remove(&mut self, version: Version) {
        self.current.take_if(|current| current.version == version);
        self.previous.take_if(|(old, _)| old.version == version);
    }

    /// Removes the previous snapshot once its retention has ended.
    pub fn expire(&mut self, now: Moment) {
        if self
            .previous
            .as_ref()
            .is_some_and(|(_, replaced_at)| now.since(*replaced_at) > RETENTION)
        {
            self.previous = None;
        }
    }

    /// Returns the chunk of at most `limit` bytes for a part, or the first chunk
    /// of the current snapshot if no part is given or its snapshot is no longer
    /// held. Returns `None` if no snapshot is held.
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

/// Assembles a snapshot from the chunks received so far.
#[derive(Clone, Debug, Default)]
pub struct SnapshotAssembler {
    version: Version,
    total: usize,
    bytes: Vec<u8>,
}

impl SnapshotAssembler {
    /// Returns the part to request next, or `None` before the first chunk.
    pub fn next_part(&self) -> Option<Part> {
        (self.total > 0).then_some(Part {
            version: self.version,
            offset: self.bytes.len() as u32,
        })
    }

    /// Adds a chunk and returns the snapshot once it is complete.
    ///
    /// The first chunk of another snapshot restarts the transfer. Any other chunk
    /// that does not continue the transfer is ignored, and so are chunks of a
    /// snapshot of more than `limit` bytes.
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

    /// Discards the bytes received, for instance after the sender failed.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}

//! Records of the `keys-NN` streams and their JSON form.
//!
//! Each append carries one [`Entry`]: a header that names the writer, and the
//! records of a group commit. Intents, outcomes and voids concern only attempts
//! of the entry's writer, so they hold just a key and a sequence number,
//! besides the request's hash or the response.

mod wire;

use std::sync::Arc;

use crate::id::{Attempt, Incarnation, Key, Request};

/// Format version of the entries that this binary writes, and the newest that
/// it reads.
pub const FORMAT: u32 = 1;

/// One log entry: the records of one append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Process that wrote the entry.
    pub writer: Incarnation,
    /// Name of the upstream whose agent the writer is.
    pub upstream: Arc<str>,
    /// Number of the entry within its writer, from 1. A writer sends number n+1
    /// only after it has read number n from the stream, so a number that is not
    /// above the last one is a duplicate.
    pub number: u64,
    /// The records, in the order in which they take effect.
    pub records: Vec<Record>,
}

/// A statement about a key or about the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// The writer requests to run a call. The first intent for a free key wins
    /// it.
    Intent(Intent),
    /// The writer won the key, ran the call and received this response.
    Outcome(RecordedOutcome),
    /// The writer won the key but has not sent the call and never will. The key
    /// is free again.
    Void(OwnAttempt),
    /// The writer won the key and sent the call, but did not receive the
    /// response.
    Broken(OwnAttempt),
    /// The writer read an offset at least a number of seconds ago.
    Age(Age),
    /// One part of a snapshot.
    Part(Arc<Part>),
}

/// The data of [`Record::Intent`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Intent {
    /// Key of the call.
    pub key: Key,
    /// Hash of the request.
    pub request: Request,
    /// Sequence of the writer's attempt.
    pub sequence: u64,
}

/// Names an attempt of the entry's writer, for [`Record::Void`] and
/// [`Record::Broken`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnAttempt {
    /// The key of the attempt.
    pub key: Key,
    /// Sequence of the writer's attempt.
    pub sequence: u64,
}

/// The data of [`Record::Outcome`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedOutcome {
    /// The key of the attempt.
    pub key: Key,
    /// Sequence of the writer's attempt.
    pub sequence: u64,
    /// The response.
    pub outcome: Arc<Outcome>,
}

/// A lower bound on the age of a position in the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Age {
    /// Offset that the age refers to.
    pub offset: u64,
    /// Lower bound of the time in seconds since an agent read that offset,
    /// measured with monotonic clocks.
    pub seconds: u64,
    /// Generation of the stream that the offset belongs to. After a repair, the
    /// log assigns offsets again that it had used before.
    pub generation: u64,
}

/// A recorded response, which is replayed to later calls with the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// HTTP status code.
    pub status: u16,
    /// Value of `content-type`, empty if there was none.
    pub content_type: String,
    /// The body, or the digest of a body that was too long to be recorded.
    pub body: Body,
}

impl Outcome {
    /// Creates an outcome with a body of up to `limit` bytes, or with the
    /// digest of a longer body.
    pub fn new(status: u16, content_type: &str, body: &[u8], limit: usize) -> Self {
        Self {
            status,
            content_type: content_type.to_owned(),
            body: Body::new(body, limit),
        }
    }
}

/// The body of a recorded response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// A body that is valid UTF-8.
    Text(String),
    /// Any other body.
    Bytes(Vec<u8>),
    /// Digest and length of a body too long to be recorded.
    Digest([u8; 16], u64),
}

impl Body {
    fn new(body: &[u8], limit: usize) -> Self {
        if body.len() > limit {
            let hash = blake3::hash(body);
            let mut digest = [0; 16];
            digest.copy_from_slice(&hash.as_bytes()[..16]);
            return Self::Digest(digest, body.len() as u64);
        }
        match std::str::from_utf8(body) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_invalid) => Self::Bytes(body.to_vec()),
        }
    }

    /// Returns the number of bytes kept for this body in memory, and in the log
    /// before encoding.
    pub fn stored_bytes(&self) -> usize {
        match self {
            Self::Text(text) => text.len(),
            Self::Bytes(bytes) => bytes.len(),
            Self::Digest(..) => 16,
        }
    }
}

/// Identifies a snapshot. Parts of different snapshots are never combined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SnapshotId {
    /// Process that wrote the snapshot.
    pub writer: Incarnation,
    /// Number of the snapshot within that process.
    pub number: u64,
}

/// One part of a snapshot: the state of one range of keys after all entries
/// below `base`.
///
/// The bases of a snapshot's parts never decrease. The writer takes each part
/// from its current state, so it needs no copy of the state while it appends
/// the parts one by one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Number of the snapshot within its writer.
    pub number: u64,
    /// Index of this part.
    pub index: u32,
    /// Number of parts, a power of two. The key space is divided into this many
    /// equal ranges, and part `index` holds the range with that index.
    pub count: u32,
    /// All entries below this offset are included. A part that is read at a
    /// lower offset than its base was written before the log restarted, and is
    /// ignored.
    pub base: u64,
    /// Whether the snapshot is a repair, written after the log restarted with a
    /// lower head. Readers replace their state with a repair.
    pub repair: bool,
    /// State of the whole stream, in part 0 only.
    pub stream: Option<StreamState>,
    /// The keys of the range that are held and have not expired.
    pub keys: Vec<SavedKey>,
}

/// State of the whole stream, after all entries below the base of part 0.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamState {
    /// Outcomes below this offset are expired.
    pub expired: u64,
    /// Number of repairs so far.
    pub generation: u64,
    /// Position that the writer of the last repair had reached in the
    /// generation before the repair.
    pub through: u64,
    /// Known lower bounds of ages, as offset and seconds.
    pub ages: Vec<(u64, u64)>,
    /// Writers seen within the horizon.
    pub writers: Vec<WriterState>,
}

/// State of one writer of the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriterState {
    /// The process that writes.
    pub incarnation: Incarnation,
    /// Name of the upstream that the process serves.
    pub upstream: Arc<str>,
    /// Highest entry number that was read from this writer.
    pub number: u64,
    /// Offset of the writer's last entry.
    pub last: u64,
    /// Whether a later process has written for the same upstream, so that this
    /// one has ended.
    pub superseded: bool,
}

/// One key of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SavedKey {
    /// The key.
    pub key: Key,
    /// Hash of the winner's request.
    pub request: Request,
    /// The attempt that won the key.
    pub winner: Attempt,
    /// Recorded state of the winner's execution.
    pub state: ExecutionState,
}

/// Recorded state of the execution by the attempt that won a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionState {
    /// Neither outcome nor void was recorded.
    Running,
    /// The winner lost the response.
    Broken,
    /// The response, and the offset at which it was recorded.
    Done(Arc<Outcome>, u64),
}

/// Why an entry cannot be decoded and is skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SkipReason {
    /// The bytes are not an entry.
    Malformed,
    /// The format version is newer than [`FORMAT`].
    Newer(u32),
}

/// A decoded entry, without the records that this binary cannot decode.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decoded {
    /// The entry with the records that could be decoded.
    pub entry: Entry,
    /// Number of records that were left out: those of an unknown kind and those
    /// with malformed fields.
    pub skipped: usize,
}

impl Entry {
    /// Encodes the entry as one line of JSON.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(self)
    }

    /// Decodes an entry. Records of unknown kinds and malformed records are
    /// left out and counted.
    ///
    /// # Errors
    ///
    /// [`SkipReason`] if the bytes are not an entry of a known format.
    pub fn decode(bytes: &[u8]) -> Result<Decoded, SkipReason> {
        wire::decode(bytes)
    }
}

impl Record {
    /// Returns an upper estimate of the encoded size in bytes. It does not
    /// allow for characters that JSON escapes.
    pub fn estimated_bytes(&self) -> usize {
        match self {
            Self::Intent(_) | Self::Age(_) => 72,
            Self::Void(_) | Self::Broken(_) => 56,
            Self::Outcome(recorded) => 64 + recorded.outcome.estimated_bytes(),
            Self::Part(part) => part.estimated_bytes(),
        }
    }
}

impl Outcome {
    fn estimated_bytes(&self) -> usize {
        32 + self.content_type.len() + self.body.stored_bytes() * 4 / 3
    }
}

impl Part {
    fn estimated_bytes(&self) -> usize {
        let keys: usize = self.keys.iter().map(SavedKey::estimated_bytes).sum();
        let stream = self.stream.as_ref().map_or(0, |stream| {
            stream.writers.len() * 96 + stream.ages.len() * 32 + 64
        });
        160 + keys + stream
    }
}

impl SavedKey {
    /// Returns an upper estimate of the encoded size in bytes; see
    /// [`Record::estimated_bytes`].
    pub(crate) fn estimated_bytes(&self) -> usize {
        let outcome = match &self.state {
            ExecutionState::Done(outcome, _) => 24 + outcome.estimated_bytes(),
            ExecutionState::Running | ExecutionState::Broken => 8,
        };
        88 + outcome
    }
}

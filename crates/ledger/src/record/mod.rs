//! Records of the `keys-NN` streams and their JSON form.
//!
//! One append carries one [`Entry`]: a header with the writer, and the records
//! of a group commit. The header names the writer once, so that intents,
//! outcomes and voids, which only ever concern the writer's own attempts, cost
//! only a key and a number each.

mod wire;

use std::sync::Arc;

use crate::id::{Attempt, Incarnation, Key, Request};

/// Format version written by this binary.
pub const FORMAT: u32 = 1;

/// One log entry: the records of one append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Process that wrote the entry.
    pub writer: Incarnation,
    /// Name of the upstream whose agent the writer is.
    pub upstream: Arc<str>,
    /// Number of the entry; a writer sends number n+1 only after it has read
    /// number n, so a number seen before is a duplicate.
    pub number: u64,
    /// Records in the order in which they take effect.
    pub records: Vec<Record>,
}

/// One fact about a key, or about the stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// The writer wants to run a call; the first intent of a key wins.
    Intent(Intent),
    /// The writer, having won, ran the call and got this response.
    Outcome(RecordedOutcome),
    /// The writer, having won, sent nothing and never will; the key is free.
    Void(OwnAttempt),
    /// The writer, having won, sent the call and lost the response.
    Broken(OwnAttempt),
    /// The writer read `offset` at least this many seconds ago.
    Age(Age),
    /// One part of a snapshot.
    Part(Arc<Part>),
}

/// An intent of the entry's writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Intent {
    /// The key to run.
    pub key: Key,
    /// Hash of the request.
    pub request: Request,
    /// Sequence of the writer's attempt.
    pub sequence: u64,
}

/// An attempt of the entry's writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnAttempt {
    /// The key of the attempt.
    pub key: Key,
    /// Sequence of the writer's attempt.
    pub sequence: u64,
}

/// The outcome of an attempt of the entry's writer.
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
    /// Offset whose age is stated.
    pub offset: u64,
    /// Seconds since some agent had read that offset, by monotonic clocks.
    pub seconds: u64,
    /// Generation of the stream that the offset belongs to; offsets are used
    /// again after a repair.
    pub generation: u64,
}

/// A recorded response, as replayed to a repeated call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// HTTP status code.
    pub status: u16,
    /// Value of `content-type`, empty if there was none.
    pub content_type: String,
    /// The body or its digest.
    pub body: Body,
}

impl Outcome {
    /// Makes an outcome that keeps a body of up to `limit` bytes and the digest
    /// of a longer one.
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

    /// Returns the bytes kept in memory and in the log for this body.
    pub fn stored_bytes(&self) -> usize {
        match self {
            Self::Text(text) => text.len(),
            Self::Bytes(bytes) => bytes.len(),
            Self::Digest(..) => 16,
        }
    }
}

/// Identity of a snapshot; parts of different snapshots are never mixed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SnapshotId {
    /// Process that wrote the snapshot.
    pub writer: Incarnation,
    /// Number of the snapshot within that process.
    pub number: u64,
}

/// The state of one range of keys after all entries below `base`.
///
/// Parts of one snapshot have non-decreasing bases, so the writer needs no
/// frozen copy of its state while it appends them one by one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Number of the snapshot within its writer.
    pub number: u64,
    /// Index of this part.
    pub index: u32,
    /// Number of parts, a power of two; part `i` holds the `i`-th equal range
    /// of the key space.
    pub count: u32,
    /// Entries below this offset are included. A part at a lower offset than its
    /// base was written before the log restarted, and is ignored.
    pub base: u64,
    /// Whether the snapshot is a repair, written after the log restarted with a
    /// lower head; it takes the place of what readers folded before.
    pub repair: bool,
    /// StreamState-wide state, in part 0 only.
    pub stream: Option<StreamState>,
    /// Keys of the range.
    pub keys: Vec<SavedKey>,
}

/// StreamState-wide state at the base of part 0.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StreamState {
    /// Outcomes below this offset are expired.
    pub expired: u64,
    /// Number of repairs so far.
    pub generation: u64,
    /// Position that the last repair's writer had reached in the generation
    /// before.
    pub through: u64,
    /// Known lower bounds of ages: offset and seconds.
    pub ages: Vec<(u64, u64)>,
    /// Writers seen within the horizon.
    pub writers: Vec<WriterState>,
}

/// What the fold remembers of a writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WriterState {
    /// The process.
    pub incarnation: Incarnation,
    /// Its upstream.
    pub upstream: Arc<str>,
    /// Highest entry number read.
    pub number: u64,
    /// Offset of its last entry.
    pub last: u64,
    /// Whether a later process wrote for the same upstream.
    pub superseded: bool,
}

/// One key in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SavedKey {
    /// The key.
    pub key: Key,
    /// Hash of the winner's request.
    pub request: Request,
    /// The winner.
    pub winner: Attempt,
    /// What is known of its execution.
    pub state: ExecutionState,
}

/// What the log says about the execution by a key's winner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecutionState {
    /// Neither outcome nor void was recorded.
    Running,
    /// The winner lost the response.
    Broken,
    /// The response, and the offset at which it was recorded.
    Done(Arc<Outcome>, u64),
}

/// Why an entry of the stream is skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SkipReason {
    /// The bytes are not an entry.
    Malformed,
    /// The format version is newer than [`FORMAT`].
    Newer(u32),
}

/// An entry read from the log, with the number of records it had of kinds that
/// this binary does not know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decoded {
    /// The entry with the known records.
    pub entry: Entry,
    /// Number of records left out.
    pub skipped: usize,
}

impl Entry {
    /// Encodes the entry as one line of JSON.
    pub fn encode(&self) -> Vec<u8> {
        wire::encode(self)
    }

    /// Decodes an entry; unknown kinds of records are left out and counted.
    ///
    /// # Errors
    ///
    /// [`SkipReason`] if the bytes are not an entry of a known format.
    pub fn decode(bytes: &[u8]) -> Result<Decoded, SkipReason> {
        wire::decode(bytes)
    }
}

impl Record {
    /// Returns an upper estimate of the encoded size in bytes, for text without
    /// characters that JSON escapes.
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
    /// Returns an upper estimate of the encoded size in bytes.
    pub(crate) fn estimated_bytes(&self) -> usize {
        let outcome = match &self.state {
            ExecutionState::Done(outcome, _) => 24 + outcome.estimated_bytes(),
            ExecutionState::Running | ExecutionState::Broken => 8,
        };
        88 + outcome
    }
}

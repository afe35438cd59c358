//! Bounds of notes, records and the control state.
//!
//! All nodes must use the same bounds, since a bound decides whether a record
//! is accepted.

/// Bytes of a name of an upstream, model, adapter, service, zone or VM.
pub const NAME: usize = 128;

/// Bytes of a note or record id.
pub const ID: usize = 128;

/// Bytes of a note's author.
pub const AUTHOR: usize = 128;

/// Bytes of a note's comment.
pub const COMMENT: usize = 4_096;

/// Entries in one list of a note.
pub const ENTRIES: usize = 4_096;

/// Bytes of one encoded record; the platform's log accepts at least this much.
pub const RECORD: usize = 1 << 20;

/// Models of one upstream.
pub const SERVED: usize = 64;

/// Adapters of one model on one upstream.
pub const ADAPTERS: usize = 256;

/// Calls of one upstream or service that must not be repeated.
pub const CALLS: usize = 64;

/// Ranks of one group, counted from 0.
pub const RANKS: u32 = 4_096;

/// Entries of one kind in the control state.
pub const ITEMS: usize = 65_536;

/// Recent record ids whose verdicts the state keeps. At the target of 17,000
/// changes a day this covers more than five hours of repeated publishing.
pub const PAST: usize = 4_096;

/// Withdrawn entries whose last change the state keeps.
pub const GONE: usize = 8_192;

/// Conflicts that one verdict lists.
pub const CONFLICTS: usize = 8;

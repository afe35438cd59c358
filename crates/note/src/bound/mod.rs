//! Bounds of notes, records and the control state.
//!
//! All nodes must use the same bounds, since a bound decides whether a record
//! is accepted.

/// Maximum bytes of a name of an upstream, model, adapter, service, zone or VM.
pub const MAX_NAME_BYTES: usize = 128;

/// Maximum bytes of a note or record id.
pub const MAX_ID_BYTES: usize = 128;

/// Maximum bytes of a note's author.
pub const MAX_AUTHOR_BYTES: usize = 128;

/// Maximum bytes of a note's comment.
pub const MAX_COMMENT_BYTES: usize = 4_096;

/// Maximum entries in one list of a note.
pub const MAX_NOTE_ENTRIES: usize = 4_096;

/// Maximum bytes of one encoded record; the platform's log accepts at least
/// this much.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// Maximum models of one upstream.
pub const MAX_SERVED_MODELS: usize = 64;

/// Maximum adapters of one model on one upstream.
pub const MAX_ADAPTERS: usize = 256;

/// Maximum calls of one upstream or service that must not be repeated.
pub const MAX_CALL_RULES: usize = 64;

/// Maximum ranks of one group, counted from 0.
pub const MAX_RANKS: u32 = 4_096;

/// Maximum entries of one kind in the control state.
pub const MAX_ITEMS: usize = 65_536;

/// Maximum recent record ids whose verdicts the state keeps. At the target of
/// 17,000 changes a day this covers more than five hours of retried
/// publication.
pub const MAX_PAST_VERDICTS: usize = 4_096;

/// Maximum withdrawn entries that the state keeps; older ones are evicted.
pub const MAX_WITHDRAWN: usize = 8_192;

/// Maximum conflicts that one verdict lists.
pub const MAX_CONFLICTS: usize = 8;

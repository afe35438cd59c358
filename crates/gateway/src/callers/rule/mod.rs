//! Decides which callers are closed, without I/O or a clock.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// Time without progress after which what a caller holds is freed before that of others. Callers
/// that read or send make progress in several round trips within it.
const RECENT: Duration = Duration::from_millis(500);

/// What a connection of a caller waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[repr(u8)]
pub enum Phase {
    /// The next request, or the rest of its header, which has a timeout of its own.
    #[default]
    Idle,
    /// The body of a request, from the caller.
    Receiving,
    /// The response, from an upstream.
    Working,
    /// The caller, which is to read the response.
    Sending,
}

impl Phase {
    /// Returns the phase with this discriminant.
    pub const fn from_u8(value: u8) -> Self {
        match value {
            1 => Self::Receiving,
            2 => Self::Working,
            3 => Self::Sending,
            _ => Self::Idle,
        }
    }
}

/// Memory that is held for one message or connection, and may be freed by ending it.
#[derive(Clone, Copy, Debug)]
pub struct Holder<K> {
    /// Key by which the holder is known to its owner.
    pub key: K,
    /// Bytes that are held.
    pub bytes: usize,
    /// Whether only a caller can let the holder go on.
    pub waits_for_caller: bool,
    /// When the holder last made progress.
    pub progressed_at: Moment,
}

/// Returns the holder that is ended first when the memory is exhausted: the one without progress for
/// longest of those that wait for a caller, and, if all have made progress recently, the largest.
pub fn first_to_end<K: Copy>(
    holders: impl Iterator<Item = Holder<K>>,
    now: Moment,
) -> Option<Holder<K>> {
    holders.max_by_key(|it| {
        let still = now.since(it.progressed_at);
        let is_stalled = it.waits_for_caller && still >= RECENT;
        (is_stalled.then_some(still), it.bytes, still)
    })
}

/// State of a connection of a caller at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    /// What the connection waits for.
    pub phase: Phase,
    /// Sent bytes that the caller has not taken.
    pub unread: usize,
    /// When the caller last read or sent something.
    pub progressed_at: Moment,
    /// When the call ends whose answer was begun last. The caller waits no longer.
    pub call_end: Moment,
}

impl Connection {
    /// Returns whether only the caller can let the connection go on.
    pub fn waits_for_caller(&self) -> bool {
        match self.phase {
            Phase::Receiving => true,
            // What the caller has not read fills the send buffer before anything else.
            Phase::Idle | Phase::Sending => self.unread > 0,
            Phase::Working => false,
        }
    }

    /// Returns whether the caller has made no progress for `longest` though it could.
    pub fn is_stalled(&self, longest: Duration, now: Moment) -> bool {
        self.waits_for_caller() && now.since(self.progressed_at) >= longest
    }

    /// Returns whether the caller has not read an answer `longest` after the end of its call.
    pub fn is_overdue(&self, longest: Duration, now: Moment) -> bool {
        let is_read = matches!(self.phase, Phase::Receiving | Phase::Working) || self.unread == 0;
        !is_read && now.since(self.call_end) >= longest
    }
}

/// Returns the connection that is closed when there are no descriptors left: of those without a
/// request the one that is idle for longest, or else the one whose caller has made no progress for
/// longest. Connections on which a call runs are kept.
pub fn first_to_close<K>(connections: impl Iterator<Item = (K, Connection)>) -> Option<K> {
    let may_close = |it: &(K, Connection)| it.1.phase != Phase::Working;
    let first = connections
        .filter(may_close)
        .min_by_key(|(_, it)| (it.waits_for_caller(), it.progressed_at))?;
    Some(first.0)
}

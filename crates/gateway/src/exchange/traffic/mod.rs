//! Counts the bytes that this process exchanges with gateways and sidecars, by kind of message.

use std::sync::atomic::{AtomicU64, Ordering};

use bincode::Options as _;
use serde::Serialize;

use crate::metrics;

/// Kind of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Heartbeats, sent as a call or as an answer.
    Heartbeat,
    /// Full states for gateways whose reads of the store lag behind.
    Snapshot,
    /// Listings of the groups.
    Groups,
    /// Expert counts that sidecars sent to this gateway as the leader.
    Counts,
}

const KINDS: [(Kind, &str); 4] = [
    (Kind::Heartbeat, "heartbeat"),
    (Kind::Snapshot, "snapshot"),
    (Kind::Groups, "groups"),
    (Kind::Counts, "counts"),
];

static BYTES: [AtomicU64; KINDS.len()] = [const { AtomicU64::new(0) }; KINDS.len()];

/// Counts a message, without the headers of the call and of TCP.
pub fn count(kind: Kind, message: &impl Serialize) {
    match bincode::DefaultOptions::new().serialized_size(message) {
        Ok(size) => {
            BYTES[kind as usize].fetch_add(size, Ordering::Relaxed);
        }
        Err(error) => log::debug!("event=message_not_counted kind={kind:?} reason=\"{error}\""),
    }
}

/// Appends the counters to a metrics exposition.
pub fn render(text: &mut String) {
    for (kind, label) in KINDS {
        let bytes = BYTES[kind as usize].load(Ordering::Relaxed);
        let name = "sesamerock_exchange_bytes_total";
        metrics::append_line(text, format_args!("{name}{{kind=\"{label}\"}} {bytes}"));
    }
}

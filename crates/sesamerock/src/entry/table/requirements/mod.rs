//! Input and result of a choice of the routing table.

use std::net::SocketAddr;
use std::sync::Arc;

use sesamerock_base::key::Upstream;
use sesamerock_ledger::id::Key;
use sesamerock_route::choice::Choice;
use sesamerock_route::digest::Cursor;

/// Upstream chosen for a call, with what is needed to send the call there.
#[derive(Clone, Debug)]
pub struct Target {
    /// The picker's choice, with its reason and the candidates that were not
    /// chosen.
    pub choice: Choice,
    /// Name of the upstream in the control state.
    pub name: Arc<str>,
    /// Name of the upstream's group, if it is a rank of one.
    pub group: Option<Arc<str>>,
    /// Address of the upstream's agent.
    pub agent: SocketAddr,
    /// Whether the release notes forbid repeating a call of this method and
    /// path.
    pub not_repeatable: bool,
    /// Position up to which the entry has received the upstream's cache events.
    pub cursor: Cursor,
}

impl Target {
    /// Returns the upstream's rank for log lines, or `-` if it is not in a
    /// group.
    pub fn rank(&self) -> String {
        let place = self.choice.place;
        place.map_or_else(|| "-".to_owned(), |place| place.rank.to_string())
    }
}

/// Properties of a call that the choice of an upstream depends on.
#[derive(Clone, Debug)]
pub struct Requirements<'a> {
    /// Name of the requested model or plain service.
    pub pool: &'a str,
    /// Whether `pool` names a plain service and not a model.
    pub service: bool,
    /// Name of the caller's workspace.
    pub workspace: &'a str,
    /// Estimated number of tokens that the call occupies.
    pub tokens: u64,
    /// Urgency according to RFC 9218, from 0 (highest) to 7.
    pub urgency: u8,
    /// Hashes of the blocks of the prompt, from which cached prefixes are
    /// found; empty for a plain service.
    pub prefix: &'a [u64],
    /// Upstreams that must not be chosen, such as those where the call failed.
    pub excluded: &'a [Upstream],
    /// Whether the call is suspected of crashing an upstream and must run apart
    /// from other suspected calls.
    pub isolated: bool,
    /// Whether the call must not be sent to a second upstream, since it is not
    /// repeatable and has no idempotency key.
    pub send_once: bool,
    /// Key of the call in the ledger, if the ledger decides about it.
    pub key: Option<Key>,
    /// HTTP method, to find out whether the call may be repeated.
    pub method: &'a str,
    /// HTTP path without the query, to find out whether the call may be
    /// repeated.
    pub path: &'a str,
}

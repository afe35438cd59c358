//! What a call asks of the routing table, and what it gets.

use std::net::SocketAddr;
use std::sync::Arc;

use sesamerock_base::key::Upstream;
use sesamerock_ledger::id::Key;
use sesamerock_route::choice::Choice;
use sesamerock_route::digest::Cursor;

/// An upstream to send a call to.
#[derive(Clone, Debug)]
pub struct Target {
    /// The choice, with its reason and the candidates not chosen.
    pub choice: Choice,
    /// Name of the upstream.
    pub name: Arc<str>,
    /// Name of its group, if it is a rank of one.
    pub group: Option<Arc<str>>,
    /// Address of its agent.
    pub agent: SocketAddr,
    /// Whether a call of the asked method and path must not be repeated.
    pub not_repeatable: bool,
    /// How far the entry knows the cache of the upstream.
    pub cursor: Cursor,
}

impl Target {
    /// Returns the rank for the log line, or `-` outside of a group.
    pub fn rank(&self) -> String {
        let place = self.choice.place;
        place.map_or_else(|| "-".to_owned(), |place| place.rank.to_string())
    }
}

/// What a call needs.
#[derive(Clone, Debug)]
pub struct Requirements<'a> {
    /// Name of the model or service.
    pub pool: &'a str,
    /// Whether the pool is that of a plain service.
    pub service: bool,
    /// Name of the workspace.
    pub workspace: &'a str,
    /// Tokens that the call may hold.
    pub tokens: u64,
    /// RFC 9218 urgency.
    pub urgency: u8,
    /// Hashes of the blocks of the prompt.
    pub prefix: &'a [u64],
    /// Upstreams that must not be chosen.
    pub excluded: &'a [Upstream],
    /// Whether the call is a suspect and must run apart from others.
    pub isolated: bool,
    /// Whether the call must not be sent to a second upstream.
    pub once: bool,
    /// Key in the ledger, if the caller gave one.
    pub key: Option<Key>,
    /// HTTP method.
    pub method: &'a str,
    /// HTTP path.
    pub path: &'a str,
}

//! What can be blamed for a crash of an upstream.

use std::hash::{DefaultHasher, Hash as _, Hasher as _};

use http::uri::PathAndQuery;
use http::{Method, Uri};
use serde::{Deserialize, Serialize};

use crate::hash;

/// Part of a prompt, or a whole request, under which upstreams may crash.
///
/// Parts come before requests in the order, since a part that is convicted explains the crashes
/// of all requests that it is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// Part that several prompts of a service may share.
    Part(u64),
    /// Request with its repeats, whatever their ids and headers.
    Request(u64),
}

impl Subject {
    /// Creates the key of a part with an id that is unique in the prompts of `service`.
    pub fn part(service: &str, id: u64) -> Self {
        Self::Part(hash::combine(hash::of(service), id))
    }

    /// Creates the key of a request of `workspace` to `service`. Repeats have the same key at all
    /// gateways, also when their id, deadline or the events that they resume after differ.
    pub fn request(
        service: &str,
        workspace: Option<&str>,
        method: &Method,
        uri: &Uri,
        body: &[u8],
    ) -> Self {
        let mut hasher = DefaultHasher::new();
        service.hash(&mut hasher);
        workspace.hash(&mut hasher);
        method.as_str().hash(&mut hasher);
        uri.path_and_query()
            .map(PathAndQuery::as_str)
            .hash(&mut hasher);
        body.hash(&mut hasher);
        Self::Request(hasher.finish())
    }

    /// Returns whether this is a whole request.
    pub const fn is_request(self) -> bool {
        matches!(self, Self::Request(_))
    }

    /// Returns the kind of the subject for logs and metrics.
    pub const fn kind(self) -> &'static str {
        match self {
            Self::Part(_) => "part",
            Self::Request(_) => "request",
        }
    }

    /// Returns the number of the subject among those of its kind.
    pub const fn key(self) -> u64 {
        match self {
            Self::Part(key) | Self::Request(key) => key,
        }
    }
}

impl std::fmt::Display for Subject {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{:016x}", self.kind(), self.key())
    }
}

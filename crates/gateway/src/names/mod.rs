//! Names and formats of headers and paths, which differ between deployments.
//!
//! The gateway defines what each header means; an adapter supplies its name.

use bytes::Bytes;
use http::{HeaderMap, HeaderName};
use std::net::SocketAddr;
use std::time::Duration;

use crate::admit::limit;

/// Names of the headers exchanged between callers, gateways and upstreams.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Id of a call, which upstreams return with the answer.
    pub call_id: HeaderName,
    /// Signature that shows that an answer comes from an upstream.
    pub signature: HeaderName,
    /// Milliseconds for which the sender continues to wait.
    pub deadline: HeaderName,
    /// Present in the answer to a call that was not executed.
    pub not_run: HeaderName,
    /// Id of the upstream to which a call is addressed.
    pub instance: HeaderName,
    /// Name of the workspace on whose behalf an upstream runs a call.
    pub workspace: HeaderName,
    /// Id of the last event that the receiver of a stream has.
    pub last_event: HeaderName,
    /// Number of prompt tokens and maximum number of output tokens.
    pub tokens: HeaderName,
    /// Parts of the prompt, in order.
    pub parts: HeaderName,
    /// Priority of a call, from 0 (the highest) to 9, which upstreams are told if the table has more
    /// than one.
    pub priority: HeaderName,
}

/// Paths at which a gateway answers requests other than calls.
#[derive(Clone, Debug)]
pub struct Paths {
    /// Path of the readiness check.
    pub ready: &'static str,
    /// Path of the list of gateway addresses.
    pub addresses: &'static str,
}

/// Names and formats that a deployment uses between callers and gateways.
pub trait Names: Clone + Send + Sync + 'static {
    /// Returns the header names, which are fixed for the life of the process.
    fn headers(&self) -> &Headers;

    /// Returns the paths other than those of routes.
    fn paths(&self) -> &Paths;

    /// Extracts the key from the value of an authorization header; `None` if the value
    /// has another format.
    fn key<'a>(&self, value: &'a str) -> Option<&'a str>;

    /// Parses the value of [`Headers::tokens`] into the number of prompt tokens and the
    /// maximum number of output tokens; `None` if it is malformed.
    fn tokens(&self, value: &str) -> Option<(u64, u64)>;

    /// Parses the value of [`Headers::parts`] into the ids of the parts that other prompts may
    /// share. Malformed parts are left out.
    fn parts(&self, value: &str) -> Vec<u64>;

    /// Returns whether the header of an answer states that its upstream is leaving.
    fn is_leaving(&self, headers: &HeaderMap) -> bool;

    /// Returns for how long an upstream wants no further calls, from the header of a refusal;
    /// `None` if it states no time or one that is malformed.
    fn pause(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Returns what the header of an answer states about the calls per second that its upstream
    /// takes from all gateways together.
    fn limit(&self, headers: &HeaderMap) -> limit::Statement;

    /// Encodes the body of the answer to a request for gateway addresses, which callers
    /// may cache for `ttl`.
    fn addresses(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;
}

//! Parsing and validation of callers' requests, the first step of the request
//! path.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, Method, StatusCode};
use serde::Deserialize;
use sesamerock_retry::crash::Fingerprint;
use tokio::time::Instant;

use crate::problem::Problem;

/// Request header with the name of the workspace; `default` if absent.
pub const WORKSPACE: &str = "x-workspace";
/// Header with the request id, which is passed through every hop.
pub const REQUEST_ID: &str = "x-request-id";
/// Request header with the caller's timeout, in milliseconds.
pub const TIMEOUT: &str = "x-request-timeout-ms";
/// Request header with the idempotency key of a call.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Tokens assumed for an answer if the caller sets no maximum length.
const DEFAULT_TOKENS: u64 = 256;
/// Bytes of text per token, on average over common languages.
pub(super) const BYTES_PER_TOKEN: u64 = 4;
/// Default urgency of RFC 9218.
const DEFAULT_URGENCY: u8 = 3;
/// Maximum length of a workspace name or idempotency key, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Model or plain service that a request is addressed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A model call.
    Model {
        /// Name of the model in the request body.
        model: String,
        /// Whether the answer is a stream of events.
        streamed: bool,
    },
    /// A call to a plain service.
    Service {
        /// Name of the service in the request path.
        name: String,
    },
}

/// A caller's request after parsing and validation.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Id that is passed through every hop and written to the logs.
    pub id: String,
    /// Workspace of the caller. Capacity is shared fairly between workspaces.
    pub workspace: String,
    /// Model or plain service that the request is addressed to.
    pub target: Target,
    /// HTTP method of the request to the upstream.
    pub method: Method,
    /// Path and query of the request to the upstream, without the
    /// `/services/NAME` prefix.
    pub path: PathAndQuery,
    /// Header fields that are forwarded to the upstream.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
    /// Time at which the caller's timeout expires.
    pub deadline: Instant,
    /// Urgency according to RFC 9218, from 0 (highest) to 7.
    pub urgency: u8,
    /// Idempotency key, if the caller set one.
    pub key: Option<String>,
    /// Estimated number of tokens, of prompt and answer, that the call occupies
    /// in an upstream.
    pub tokens: u64,
    /// Hash of workspace, path and body that identifies requests suspected of
    /// crashing an upstream.
    pub fingerprint: [u8; 8],
}

#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<u64>,
}

/// Generates an id for a request that came without a usable one: a random half,
/// then a counter of this process.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    format!(
        "{:08x}{:08x}",
        rand::random::<u32>(),
        NEXT.fetch_add(1, Ordering::Relaxed)
    )
}

/// Returns the caller's request id, or a new one if there is none or it is not
/// safe to write to a log line.
pub fn id(headers: &HeaderMap) -> String {
    match text(headers, REQUEST_ID) {
        Some(id)
            if id.len() <= 64 && id.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-') =>
        {
            id.to_owned()
        }
        _ => new_id(),
    }
}

impl CallRequest {
    /// Parses and validates a request after its body has been read.
    ///
    /// The deadline counts from `arrived`, the time at which the header was
    /// complete, because the caller's timeout includes the transfer of the
    /// body.
    ///
    /// # Errors
    /// Returns the [`Problem`] to respond with if the request is malformed.
    pub fn read(
        id: String,
        parts: &Parts,
        body: Bytes,
        arrived: Instant,
        default_timeout: Duration,
    ) -> Result<Self, Problem> {
        let workspace = text(&parts.headers, WORKSPACE).unwrap_or("default");
        if workspace.is_empty() || workspace.len() > MAX_NAME_BYTES {
            return Err(invalid("x-workspace must have 1 to 256 bytes"));
        }
        let timeout = match text(&parts.headers, TIMEOUT) {
            None => default_timeout,
            Some(value) => Duration::from_millis(
                value
                    .parse()
                    .map_err(|_error| invalid("x-request-timeout-ms must be a number"))?,
            ),
        };
        let key = text(&parts.headers, IDEMPOTENCY_KEY).map(str::to_owned);
        if key
            .as_ref()
            .is_some_and(|key| key.is_empty() || key.len() > MAX_NAME_BYTES)
        {
            return Err(invalid("idempotency-key must have 1 to 256 bytes"));
        }
        let (target, path, tokens) = target(parts, &body)?;
        let fingerprint = Fingerprint::of(workspace, path.as_str(), &body)
            .0
            .to_le_bytes();
        Ok(Self {
            id,
            workspace: workspace.to_owned(),
            target,
            method: parts.method.clone(),
            path,
            headers: forwarded_headers(&parts.headers),
            body,
            deadline: arrived + timeout,
            urgency: urgency(&parts.headers),
            key,
            tokens,
            fingerprint,
        })
    }

    /// Returns the time until the deadline; zero if it has passed.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

fn target(parts: &Parts, body: &Bytes) -> Result<(Target, PathAndQuery, u64), Problem> {
    let path_and_query = parts
        .uri
        .path_and_query()
        .cloned()
        .unwrap_or(PathAndQuery::from_static("/"));
    if let Some(rest) = path_and_query.as_str().strip_prefix("/services/") {
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let (name, rest) = rest.split_at(end);
        if name.is_empty() {
            return Err(invalid("the path names no service"));
        }
        let rest = if rest.starts_with('/') {
            rest.to_owned()
        } else {
            format!("/{rest}")
        };
        let path = rest
            .parse()
            .map_err(|_error| invalid("the path is not valid"))?;
        return Ok((
            Target::Service {
                name: name.to_owned(),
            },
            path,
            1,
        ));
    }
    let completion: Completion = serde_json::from_slice(body)
        .map_err(|error| invalid(format!("the body is not a completion request: {error}")))?;
    let prompt = body.len() as u64 / BYTES_PER_TOKEN;
    let tokens = prompt + completion.max_tokens.unwrap_or(DEFAULT_TOKENS);
    let target = Target::Model {
        model: completion.model,
        streamed: completion.stream,
    };
    Ok((target, path_and_query, tokens))
}

fn invalid(detail: impl Into<String>) -> Problem {
    Problem::refused(StatusCode::BAD_REQUEST, "invalid-request", detail)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Parses `u=N` of the `Priority` header (RFC 9218); the default if absent or
/// out of range.
fn urgency(headers: &HeaderMap) -> u8 {
    text(headers, "priority")
        .into_iter()
        .flat_map(|value| value.split(','))
        .filter_map(|item| item.trim().strip_prefix("u="))
        .find_map(|value| value.parse().ok())
        .filter(|urgency| *urgency <= 7)
        .unwrap_or(DEFAULT_URGENCY)
}

/// Returns the header fields to forward to the upstream: all except hop-by-hop
/// fields (RFC 9110, section 7.6.1) and those that the HTTP client sets itself.
fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    const NOT_FORWARDED: [&str; 10] = [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
    ];
    let listed: Vec<_> = text(headers, "connection")
        .into_iter()
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let keep = |name: &HeaderName| {
        !NOT_FORWARDED.contains(&name.as_str())
            && !listed.iter().any(|other| other == name.as_str())
    };
    headers
        .iter()
        .filter(|(name, _)| keep(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

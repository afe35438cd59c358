//! HTTP interface for operators: release notes, status, metrics, and taking
//! zones and VMs in and out of service.
//!
//! It listens on a separate address that callers have no access to.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use sesamerock_base::version::Version;
use sesamerock_client::http::body::{self, Body};
use sesamerock_client::http::server::Handler;
use sesamerock_note::record::ServiceState;

use super::Context;
use crate::settings::check;

/// Maximum size of a release note, in bytes; the log refuses larger records as
/// well.
const MAX_NOTE_BYTES: usize = 256 << 10;

/// Outcome of a change that an operator submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// The change is in effect on this node and will reach all others.
    Accepted,
    /// The change was refused and has no effect.
    Rejected,
    /// The log did not answer in time, so the change may still take effect.
    /// Submitting it again with the same id is safe.
    Unknown,
}

/// Response to a change that an operator submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// Whether the change was accepted.
    pub outcome: Verdict,
    /// Id of the log record that carries the change; empty if there is none.
    #[serde(default)]
    pub id: String,
    /// Version of the control state at which the change was accepted or
    /// rejected.
    #[serde(default)]
    pub version: Version,
    /// Reasons for a rejection or an unknown outcome.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reasons: Vec<String>,
    /// Nodes that have not confirmed the version, if the request had `wait=1`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub missing: Option<Vec<String>>,
    /// Remaining steps of the rollout, if the request had `wait=1`. The wait
    /// ends when the note is in effect; the rollout continues after that.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub progress: Vec<String>,
}

impl Published {
    /// Creates the response to a change of unknown outcome.
    pub fn unknown(reason: impl Into<String>) -> Self {
        Self {
            outcome: Verdict::Unknown,
            id: String::new(),
            version: Version::default(),
            reasons: vec![reason.into()],
            missing: None,
            progress: Vec::new(),
        }
    }

    /// Creates the response to a change that was rejected before it was sent to
    /// the log.
    pub fn rejected(id: impl Into<String>, version: Version, reasons: Vec<String>) -> Self {
        Self {
            outcome: Verdict::Rejected,
            id: id.into(),
            version,
            reasons,
            missing: None,
            progress: Vec::new(),
        }
    }
}

/// State of the system as seen by one entry.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Status {
    /// Node name of the entry that reports.
    pub entry: String,
    /// Version of the control state in effect on this entry.
    pub version: Version,
    /// Whether the entry is in contact with the log or with another zone;
    /// without contact it refuses calls.
    pub in_contact: bool,
    /// Time since the log was last read, in milliseconds; `None` if it never
    /// was.
    pub log_age_ms: Option<u64>,
    /// Names of the zones that are out of service.
    pub zones_out: Vec<String>,
    /// Names of the VMs that are out of service.
    pub vms_out: Vec<String>,
    /// All upstreams of the control state by name, with the load of those that
    /// this entry tracks.
    pub upstreams: BTreeMap<String, Upstream>,
    /// A line for each rollout that is not complete yet, with the reason if it
    /// is stalled.
    pub progress: Vec<String>,
}

/// Status of one upstream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Upstream {
    /// Availability zone of the upstream's VM.
    pub zone: String,
    /// Whether the upstream may receive new calls.
    pub serving: bool,
    /// Calls in flight according to the last report of its agent.
    pub calls: u32,
    /// Limit of calls in flight according to the last report of its agent.
    pub limit: u32,
    /// Whether the upstream is in its cold start according to the last report.
    pub cold: bool,
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let age = self
            .log_age_ms
            .map_or_else(|| "never".to_owned(), |age| format!("{age}ms ago"));
        writeln!(f, "entry      {}", self.entry)?;
        writeln!(f, "version    {}", self.version.0)?;
        writeln!(
            f,
            "contact    {}",
            if self.in_contact { "yes" } else { "NO" }
        )?;
        writeln!(f, "log read   {age}")?;
        writeln!(f, "zones out  {}", self.zones_out.join(" "))?;
        writeln!(f, "vms out    {}", self.vms_out.join(" "))?;
        for (name, upstream) in &self.upstreams {
            writeln!(
                f,
                "upstream   {name} zone={} serving={} calls={} limit={} cold={}",
                upstream.zone, upstream.serving, upstream.calls, upstream.limit, upstream.cold
            )?;
        }
        for line in &self.progress {
            writeln!(f, "progress   {line}")?;
        }
        Ok(())
    }
}

/// HTTP handler for the operator address.
#[derive(Debug)]
pub struct Operator {
    context: Arc<Context>,
}

impl Operator {
    /// Creates a handler that reads and changes the control state through
    /// `context`.
    pub fn new(context: Arc<Context>) -> Self {
        Self { context }
    }

    async fn change(&self, parts: &http::request::Parts, content: Incoming) -> Response<Body> {
        let path = parts.uri.path();
        let segments: Vec<_> = path.split('/').skip(2).collect();
        let wait = parts.uri.query() == Some("wait=1");
        let published = match segments[..] {
            ["notes"] => {
                let mut published = self.publish(content, wait).await;
                if published.missing.is_some() {
                    published.progress = self.context.progress().await;
                }
                published
            }
            ["zones", name, word] => match parse_service(word) {
                Some(to) => self.context.control.zone(name, to).await,
                None => return not_found(),
            },
            ["vms", name, word] => match parse_service(word) {
                Some(to) => self.context.control.vm(name, to).await,
                None => return not_found(),
            },
            _ => return not_found(),
        };
        let status = match published.outcome {
            Verdict::Accepted => StatusCode::OK,
            Verdict::Rejected => StatusCode::CONFLICT,
            Verdict::Unknown => StatusCode::SERVICE_UNAVAILABLE,
        };
        json(status, &published)
    }

    async fn publish(&self, content: Incoming, wait: bool) -> Published {
        let text = match body::collect(content, MAX_NOTE_BYTES).await {
            Ok(content) => String::from_utf8_lossy(&content).into_owned(),
            Err(fault) => {
                let reason = format!("the note could not be read: {fault:?}");
                return Published::rejected("", Version::default(), vec![reason]);
            }
        };
        let faults = check::note_faults(&text);
        if !faults.is_empty() {
            return Published::rejected("", Version::default(), faults);
        }
        match serde_yaml_ng::from_str(&text) {
            Ok(note) => self.context.control.publish(note, wait).await,
            Err(error) => Published::rejected("", Version::default(), vec![error.to_string()]),
        }
    }
}

impl Handler for Operator {
    async fn handle(&self, _peer: SocketAddr, request: Request<Incoming>) -> Response<Body> {
        let (parts, content) = request.into_parts();
        match (&parts.method, parts.uri.path()) {
            (&Method::POST, path) if path.starts_with("/operator/") => {
                self.change(&parts, content).await
            }
            (&Method::GET, "/operator/notes") => {
                json(StatusCode::OK, &self.context.control.view().summary())
            }
            (&Method::GET, "/operator/status") => {
                let mut status = self.context.status();
                // Only on request, since this queries every agent.
                if parts.uri.query() == Some("progress=1") {
                    status.progress = self.context.progress().await;
                }
                json(StatusCode::OK, &status)
            }
            (&Method::GET, "/metrics") => text(StatusCode::OK, self.context.metrics.render()),
            (&Method::GET, "/healthz") => text(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => readiness(&self.context),
            _ => not_found(),
        }
    }
}

/// Answers a readiness probe: the entry is ready if it has received the whole
/// control state, is in contact, and is not leaving.
pub(super) fn readiness(context: &Context) -> Response<Body> {
    let view = context.control.view();
    if view.ready() && view.in_contact() && !view.leaving() {
        text(StatusCode::OK, "ready\n")
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

/// Parses whether a zone or VM is put `in` or `out` of service; `None` for any
/// other word.
pub(crate) fn parse_service(word: &str) -> Option<ServiceState> {
    match word {
        "out" => Some(ServiceState::Out),
        "in" => Some(ServiceState::In),
        _ => None,
    }
}

/// Creates a response with a JSON body.
pub(crate) fn json(status: StatusCode, content: &impl Serialize) -> Response<Body> {
    let content = serde_json::to_vec(content).unwrap_or_default();
    let mut response = Response::new(Body::full(content));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Creates a response with a plain-text body.
pub(crate) fn text(status: StatusCode, content: impl Into<bytes::Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::full(content));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// Creates the 404 response for an unknown path.
pub(crate) fn not_found() -> Response<Body> {
    text(StatusCode::NOT_FOUND, "no such path\n")
}

/// Time after which a change that the log has not decided is reported as
/// [`Verdict::Unknown`].
pub(crate) const PUBLISH_TIMEOUT: Duration = Duration::from_secs(8);

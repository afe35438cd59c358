//! The operators' interface of an entry.
//!
//! It has an address of its own, so that callers cannot reach it.

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

/// Longest note, in bytes; the log refuses larger records as well.
const NOTE_BYTES: usize = 256 << 10;

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// It is in force here and will be everywhere.
    Accepted,
    /// It changes nothing.
    Rejected,
    /// The log did not answer in time; it may come into force later. Sending it
    /// again with the same id is safe.
    Unknown,
}

/// Answer to a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// What became of it.
    pub outcome: Verdict,
    /// Id of the record.
    #[serde(default)]
    pub id: String,
    /// Control version at which it was decided.
    #[serde(default)]
    pub version: Version,
    /// Why it was rejected or is unknown.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub reasons: Vec<String>,
    /// Nodes that have not confirmed the version, if waiting was asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub missing: Option<Vec<String>>,
    /// What the rollout still has to do, if waiting was asked for. It goes on
    /// after the note is in effect, which is what waiting waits for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub progress: Vec<String>,
}

impl Published {
    /// Makes an answer about a change of unknown outcome.
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

    /// Makes an answer about a change that was rejected before the log saw it.
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

/// State of the system as one entry sees it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Status {
    /// Name of the entry.
    pub entry: String,
    /// Control version in force here.
    pub version: Version,
    /// Whether the entry is in contact.
    pub in_contact: bool,
    /// Time since the log was last read, if it was.
    pub log_age_ms: Option<u64>,
    /// Zones out of service.
    pub zones_out: Vec<String>,
    /// VMs out of service.
    pub vms_out: Vec<String>,
    /// Upstreams by name.
    pub upstreams: BTreeMap<String, Upstream>,
    /// Progress of each change that is not carried out yet, with the reason of
    /// a stall.
    pub progress: Vec<String>,
}

/// An upstream in the status.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Upstream {
    /// Availability zone.
    pub zone: String,
    /// Whether it may get new work.
    pub serving: bool,
    /// Calls in flight as last reported.
    pub calls: u32,
    /// Limit of calls as last reported.
    pub limit: u32,
    /// Whether it is in cold start.
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

/// Serves operators.
#[derive(Debug)]
pub struct Operator {
    context: Arc<Context>,
}

impl Operator {
    /// Makes the handler.
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
            ["zones", name, word] => match service(word) {
                Some(to) => self.context.control.zone(name, to).await,
                None => return not_found(),
            },
            ["vms", name, word] => match service(word) {
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
        let text = match body::collect(content, NOTE_BYTES).await {
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
                // Only on demand, since it asks every agent.
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

/// Tells whether the entry can serve.
pub(super) fn readiness(context: &Context) -> Response<Body> {
    let view = context.control.view();
    if view.ready() && view.in_contact() && !view.leaving() {
        text(StatusCode::OK, "ready\n")
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

/// Reads a direction of service.
pub(crate) fn service(word: &str) -> Option<ServiceState> {
    match word {
        "out" => Some(ServiceState::Out),
        "in" => Some(ServiceState::In),
        _ => None,
    }
}

/// Makes an answer with a JSON document.
pub(crate) fn json(status: StatusCode, content: &impl Serialize) -> Response<Body> {
    let content = serde_json::to_vec(content).unwrap_or_default();
    let mut response = Response::new(Body::full(content));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Makes an answer with plain text.
pub(crate) fn text(status: StatusCode, content: impl Into<bytes::Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::full(content));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// Makes the answer for a path that does not exist.
pub(crate) fn not_found() -> Response<Body> {
    text(StatusCode::NOT_FOUND, "no such path\n")
}

/// Time after which a change whose outcome is not known is called unknown.
pub(crate) const PUBLISH_TIMEOUT: Duration = Duration::from_secs(8);

//! Refusals and failures as problem details documents (RFC 9457).

use std::time::Duration;

use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use serde::{Deserialize, Serialize};
use sesamerock_client::http::body::Body;

/// Whether an upstream ran the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// No upstream has started the call, and none will.
    No,
    /// An upstream executed the call.
    Yes,
    /// An upstream may have started the call.
    Unknown,
}

impl Executed {
    /// Returns the word used in documents and log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

/// A refusal or failure that is reported to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// HTTP status.
    pub status: StatusCode,
    /// Short name of the kind of problem, the last part of the `type` URI.
    pub kind: &'static str,
    /// Description of the problem for people.
    pub detail: String,
    /// Whether an upstream executed the call.
    pub executed: Executed,
    /// Time after which a retry may succeed, if known.
    pub retry_after: Option<Duration>,
}

/// JSON document that is sent to the caller.
#[derive(Debug, Serialize, Deserialize)]
pub struct Document {
    /// URI reference of the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// The status in words.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// Description of the problem for people.
    pub detail: String,
    /// Whether an upstream executed the call.
    pub executed: Executed,
    /// Id of the request, as in log lines.
    pub request_id: String,
}

impl Problem {
    /// Makes the problem of a call that no upstream executed.
    pub fn refused(status: StatusCode, kind: &'static str, detail: impl Into<String>) -> Self {
        Self {
            status,
            kind,
            detail: detail.into(),
            executed: Executed::No,
            retry_after: None,
        }
    }

    /// Makes the problem of a call that may have been executed, with status 502.
    pub fn unknown(detail: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            kind: "outcome-unknown",
            detail: detail.into(),
            executed: Executed::Unknown,
            retry_after: None,
        }
    }

    /// Returns the HTTP response that reports the problem.
    pub fn respond(&self, request_id: &str) -> Response<Body> {
        let document = Document {
            kind: format!("/problems/{}", self.kind),
            title: self.status.canonical_reason().unwrap_or("Error").to_owned(),
            status: self.status.as_u16(),
            detail: self.detail.clone(),
            executed: self.executed,
            request_id: request_id.to_owned(),
        };
        let content = serde_json::to_vec(&document).unwrap_or_default();
        let mut response = Response::new(Body::full(content));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if let Some(span) = self.retry_after {
            // Whole seconds are the header's unit; rounding down would cause a
            // retry that comes too early.
            let seconds = span.as_millis().div_ceil(1_000).max(1) as u64;
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        if let Ok(id) = HeaderValue::from_str(request_id) {
            headers.insert("x-request-id", id);
        }
        response
    }
}

//! Answers to callers: the body type, and the answers that are the entry's own.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body::{Frame, SizeHint};
use http_body_util::Full;
use tokio::sync::mpsc;

/// The upstream's answer broke off, so that of the entry must not look complete.
#[derive(Debug)]
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Broken {}

/// Body of an answer.
#[derive(Debug)]
pub enum Body {
    /// Known as a whole.
    Whole(Full<Bytes>),
    /// Comes from a task, which ends when this is dropped.
    Stream(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Stream(chunks) => chunks.poll_recv(cx).map(|chunk| {
                let chunk = chunk?;
                Some(chunk.map(Frame::data))
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Makes an answer of the entry's own.
pub fn local_response(status: StatusCode, reason: &'static str) -> Response<Body> {
    let text = format!("{{\"error\":\"{reason}\"}}");
    let mut response = Response::new(Body::Whole(Full::from(text)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Makes a refusal: the call was not run, and the caller may come back.
pub fn refusal(status: StatusCode, reason: &'static str, retry_after: Duration) -> Response<Body> {
    let mut response = local_response(status, reason);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 6] = [
    CONNECTION,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
    http::header::TE,
    http::header::TRAILER,
    http::header::PROXY_AUTHORIZATION,
];

/// Removes the headers that concern one connection only.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

//! Responses to callers: the body type, and the responses that the gateway generates.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::{Notify, mpsc};

use crate::callers::Delivery;

/// The answer ended before it was complete: the upstream truncated it, the deadline
/// passed, or an event was too large. As a body error, it closes the connection
/// to the caller, so that the response of the gateway does not look complete.
#[derive(Debug)]
pub struct Incomplete;

impl std::fmt::Display for Incomplete {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("answer of the upstream was truncated")
    }
}

impl std::error::Error for Incomplete {}

/// Most bytes that the HTTP library takes at once.
const PIECE: usize = 16 << 10;

/// Bytes of a stream that its caller has not taken.
#[derive(Debug, Default)]
pub struct Backlog {
    bytes: AtomicUsize,
    /// Whether the body was dropped.
    ended: AtomicBool,
    /// Notified when some were taken, and at the end of the body.
    pub taken: Notify,
}

impl Backlog {
    /// Returns the number of bytes; none once the body was dropped.
    pub fn bytes(&self) -> usize {
        if self.ended.load(Ordering::Relaxed) {
            return 0;
        }
        self.bytes.load(Ordering::Relaxed)
    }

    /// Adds bytes that are sent to the caller.
    pub fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    fn take(&self, bytes: usize) {
        self.bytes.fetch_sub(bytes, Ordering::Relaxed);
        self.taken.notify_one();
    }
}

/// Chunks from a task, which ends when this is dropped.
#[derive(Debug)]
pub struct Chunks {
    /// Receives the chunks.
    pub receiver: mpsc::Receiver<Result<Bytes, Incomplete>>,
    /// Counts the bytes of the chunks.
    pub backlog: Arc<Backlog>,
    /// Rest of a chunk of which the HTTP library has taken a piece.
    pub rest: Bytes,
}

impl Chunks {
    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Incomplete>>> {
        while self.rest.is_empty() {
            match ready!(self.receiver.poll_recv(cx)) {
                Some(Ok(chunk)) => self.rest = chunk,
                end => return Poll::Ready(end),
            }
        }
        let piece = self.rest.split_to(self.rest.len().min(PIECE));
        self.backlog.take(piece.len());
        Poll::Ready(Some(Ok(piece)))
    }
}

impl Drop for Chunks {
    fn drop(&mut self) {
        self.backlog.ended.store(true, Ordering::Relaxed);
        self.backlog.taken.notify_one();
    }
}

/// Body of a response to a caller.
#[derive(Debug)]
pub enum Body {
    /// Complete body.
    Whole(Full<Bytes>),
    /// Complete body of an upstream, which is taken in pieces.
    Held(Bytes),
    /// Chunks of a stream.
    Stream(Chunks),
    /// Body of which the caller is to read something now and then.
    Delivered(Box<Self>, Delivery),
}

impl Body {
    /// Returns the body with the caller that is to read it.
    #[must_use]
    pub fn deliver(self, delivery: Delivery) -> Self {
        Self::Delivered(Box::new(self), delivery)
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Incomplete;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Held(body) => {
                let piece = body.split_to(body.len().min(PIECE));
                Poll::Ready((!piece.is_empty()).then(|| Ok(Frame::data(piece))))
            }
            Self::Stream(chunks) => {
                let piece = chunks.poll_piece(cx);
                piece.map(|piece| Some(piece?.map(Frame::data)))
            }
            Self::Delivered(body, _) => Pin::new(&mut **body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Held(body) => body.is_empty(),
            Self::Stream(_) => false,
            Self::Delivered(body, _) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Held(body) => SizeHint::with_exact(body.len() as u64),
            Self::Stream(_) => SizeHint::default(),
            Self::Delivered(body, _) => body.size_hint(),
        }
    }
}

/// Returns whether a status may end a call. The HTTP library reads any three digits, and also returns
/// 101, after which a connection would speak another protocol.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether only the end of the connection marks the end of the body. If the body is
/// empty, such an answer cannot be told from one that broke off after its header.
pub fn ends_with_connection(response: &Response<Incoming>) -> bool {
    let encodings = response.headers().get_all(TRANSFER_ENCODING).iter();
    let last = encodings
        .flat_map(|value| value.as_bytes().split(|byte| *byte == b','))
        .next_back();
    let chunked = last.is_some_and(|name| name.trim_ascii().eq_ignore_ascii_case(b"chunked"));
    !chunked && response.body().size_hint().exact().is_none()
}

/// Creates a response generated by the gateway, with `reason` as a JSON error.
pub fn local_response(status: StatusCode, reason: &'static str) -> Response<Body> {
    let text = format!("{{\"error\":\"{reason}\"}}");
    let mut response = Response::new(Body::Whole(Full::from(text)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Creates a refusal: the call was not run, and the caller may retry after the given
/// time, which `retry-after` states in seconds with three decimals.
pub fn refusal(status: StatusCode, reason: &'static str, retry_after: Duration) -> Response<Body> {
    let mut response = local_response(status, reason);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Hop-by-hop headers, which apply to a single connection. `keep-alive` and
/// `proxy-connection`, for which `http` has no constants, are removed by name in
/// [`strip_hop_by_hop`].
const HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    TRANSFER_ENCODING,
    http::header::UPGRADE,
    http::header::TE,
    http::header::TRAILER,
    http::header::PROXY_AUTHENTICATE,
    http::header::PROXY_AUTHORIZATION,
];

/// Removes the hop-by-hop headers, including those listed in `connection`.
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

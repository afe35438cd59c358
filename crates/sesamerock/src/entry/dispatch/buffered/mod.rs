//! Answers that are buffered before they are sent to the caller.
//!
//! If a buffered answer is interrupted, a repeatable call can be sent again
//! without the caller noticing. An answer above the size limit is forwarded as
//! it arrives.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::Response;
use sesamerock_client::http::body::{Body, Chunk};
use sesamerock_wire::relay::down;
use tokio::sync::mpsc;

use super::Run;
use super::attempt::OpenAttempt;
use super::failure::Failure;
use crate::clock;

/// Maximum size of an answer that is buffered completely, in bytes.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// The buffered part of an answer.
#[derive(Debug)]
pub(super) enum Collected {
    /// The complete answer.
    Complete(Bytes),
    /// The start of an answer above the size limit.
    Partial(Bytes),
}

/// Buffers the answer of an attempt and creates the response for the caller.
///
/// # Errors
/// Returns the failure if the answer was interrupted before the caller received
/// anything of it.
pub(super) async fn respond(run: &Run, mut open: OpenAttempt) -> Result<Response<Body>, Failure> {
    let content = collect(run, &mut open).await?;
    Ok(deliver(run, open, content))
}

/// Buffers the answer of an attempt, at most until the deadline.
///
/// # Errors
/// Returns the failure if the answer was interrupted before the caller received
/// anything of it.
pub(super) async fn collect(run: &Run, open: &mut OpenAttempt) -> Result<Collected, Failure> {
    match tokio::time::timeout(run.request.remaining(), read(open)).await {
        Ok(collected) => collected,
        Err(_) => Err(open.in_flight.fail("the deadline passed".to_owned())),
    }
}

/// Creates the response for the caller; a task forwards the rest of an answer
/// above the size limit.
pub(super) fn deliver(run: &Run, open: OpenAttempt, content: Collected) -> Response<Body> {
    let (status, headers) = (open.status(), open.headers());
    let body = match content {
        Collected::Complete(content) => {
            run.context.budget().record_success(clock::now());
            log::info!(
                "event=answered request={} attempt={} upstream={} status={}",
                run.request.id,
                open.attempt,
                open.in_flight.target.name,
                open.reply.status
            );
            Body::full(content)
        }
        Collected::Partial(start) => {
            let (sender, body) = Body::stream();
            // The request counts as in flight until its whole answer is
            // forwarded.
            let in_flight_guard = Arc::clone(&run.in_flight_guard);
            run.context.tasks.spawn(async move {
                forward(open, start, sender).await;
                drop(in_flight_guard);
            });
            body
        }
    };
    response(status, headers, body, &run.request.id)
}

async fn read(open: &mut OpenAttempt) -> Result<Collected, Failure> {
    let mut content = BytesMut::new();
    loop {
        match open.call.next().await {
            Ok(Some(down::Kind::Body(piece))) => content.extend_from_slice(&piece),
            Ok(Some(down::Kind::Tail(tail))) => {
                open.in_flight.finish(&tail)?;
                return Ok(Collected::Complete(content.freeze()));
            }
            Ok(Some(_)) => {}
            Ok(None) => return Err(open.in_flight.fail("the agent ended the call".to_owned())),
            Err(detail) => return Err(open.in_flight.agent_lost(detail)),
        }
        if content.len() > MAX_BUFFERED_BYTES {
            return Ok(Collected::Partial(content.freeze()));
        }
    }
}

/// Forwards an answer above the size limit. If it is interrupted, the
/// connection to the caller is reset, so that the answer does not look
/// complete.
async fn forward(mut open: OpenAttempt, start: Bytes, sender: mpsc::Sender<Chunk>) {
    let mut piece = start;
    loop {
        if sender.send(Chunk::Data(piece)).await.is_err() {
            return;
        }
        piece = match open.call.next().await {
            Ok(Some(down::Kind::Body(piece))) => piece,
            Ok(Some(down::Kind::Tail(tail))) if open.in_flight.finish(&tail).is_ok() => return,
            _ => break,
        };
    }
    if sender.send(Chunk::Abort).await.is_err() {
        log::debug!("event=caller_gone attempt={}", open.attempt);
    }
}

/// Creates a response with the request id in its header.
pub(super) fn response(
    status: http::StatusCode,
    headers: http::HeaderMap,
    body: Body,
    id: &str,
) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    if let Ok(id) = http::HeaderValue::from_str(id) {
        response.headers_mut().insert("x-request-id", id);
    }
    response
}

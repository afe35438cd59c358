//! Answers that are collected before the caller gets them.
//!
//! An answer that breaks off can then be fetched anew where the call may
//! repeat. Longer ones than the bound are passed on as they come.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::Response;
use sesamerock_platform::http::body::{Body, Chunk};
use sesamerock_wire::relay::down;
use tokio::sync::mpsc;

use super::Run;
use super::attempt::Open;
use super::failure::Failure;
use crate::clock;

/// Bytes of an answer that are collected.
const WHOLE_BYTES: usize = 1 << 20;

/// Collects the answer of an attempt.
///
/// # Errors
/// Returns the failure if it broke off while the caller had nothing of it.
pub(super) async fn respond(run: &mut Run, mut open: Open) -> Result<Response<Body>, Failure> {
    let left = run.ask.remaining();
    let collected = tokio::time::timeout(left, collect(&mut open)).await;
    let body = match collected {
        Ok(Ok(Collected::Whole(content))) => {
            run.context.budget().success(clock::now());
            Body::full(content)
        }
        Ok(Ok(Collected::Long(start))) => {
            let (sender, body) = Body::stream();
            let headers = open.headers();
            let status = open.status();
            // The request is in progress until the last of its answer is passed on.
            let present = Arc::clone(&run.present);
            run.context.tasks.spawn(async move {
                pass_on(open, start, sender).await;
                drop(present);
            });
            return Ok(response(status, headers, body, &run.ask.id));
        }
        Ok(Err(failure)) => return Err(failure),
        Err(_) => return Err(open.flight.broken("the deadline passed".to_owned())),
    };
    log::info!(
        "event=answered request={} attempt={} upstream={} status={}",
        run.ask.id,
        open.attempt,
        open.flight.target.name,
        open.reply.status
    );
    Ok(response(open.status(), open.headers(), body, &run.ask.id))
}

enum Collected {
    Whole(Bytes),
    Long(Bytes),
}

async fn collect(open: &mut Open) -> Result<Collected, Failure> {
    let mut content = BytesMut::new();
    loop {
        match open.call.next().await {
            Ok(Some(down::Kind::Body(piece))) => content.extend_from_slice(&piece),
            Ok(Some(down::Kind::Tail(tail))) => {
                open.flight.ended(&tail)?;
                return Ok(Collected::Whole(content.freeze()));
            }
            Ok(Some(_)) => {}
            Ok(None) => return Err(open.flight.broken("the agent ended the call".to_owned())),
            Err(detail) => return Err(open.flight.lost(detail)),
        }
        if content.len() > WHOLE_BYTES {
            return Ok(Collected::Long(content.freeze()));
        }
    }
}

/// Passes a long answer on; if it breaks off, the connection to the caller is
/// reset, so that the answer does not look complete.
async fn pass_on(mut open: Open, start: Bytes, sender: mpsc::Sender<Chunk>) {
    let mut piece = start;
    loop {
        if sender.send(Chunk::Data(piece)).await.is_err() {
            return;
        }
        piece = match open.call.next().await {
            Ok(Some(down::Kind::Body(piece))) => piece,
            Ok(Some(down::Kind::Tail(tail))) if open.flight.ended(&tail).is_ok() => return,
            _ => break,
        };
    }
    if sender.send(Chunk::Abort).await.is_err() {
        log::debug!("event=caller_gone attempt={}", open.attempt);
    }
}

/// Makes the answer for the caller.
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

//! Reads the responses to keyed calls and sends them to the entry.

use bytes::Bytes;
use http::Response;
use http::header::CONTENT_TYPE;
use hyper::body::Incoming;
use sesamerock_client::error::Error;
use sesamerock_client::http::body;
use sesamerock_ledger::record::{Body, Outcome};
use sesamerock_wire::relay::tail::Executed;
use sesamerock_wire::relay::{Head, Header, Reply, down};

use super::End;
use crate::agent::Context;
use crate::agent::execute::forward::send_tail;
use crate::agent::execute::{EarlyEnd, Sender, refusal, send as send_frame};

/// Longest response body that is accepted for a keyed call, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Reads a whole response, and returns its status, content type and body.
///
/// # Errors
/// Fails if the body is too long or cannot be read to its end; the call may have
/// been executed.
pub(super) async fn collect(response: Response<Incoming>) -> Result<(u16, String, Bytes), Error> {
    let status = response.status().as_u16();
    let kind = response
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let body = body::collect(response.into_body(), MAX_BODY_BYTES)
        .await
        .map_err(|fault| Error::Unknown(format!("{fault:?}")))?;
    Ok((status, kind, body))
}

/// Sends the end of a keyed call.
pub(super) async fn send<E>(
    context: &Context<E>,
    head: &Head,
    end: End,
    sender: &Sender,
) -> Result<(), EarlyEnd> {
    match end {
        End::Stopped(early_end) => Err(early_end),
        End::Refused(reason, detail) => Err(EarlyEnd::Refused(refusal(reason, detail))),
        End::Unknown(detail) => Ok(send_tail(
            context,
            head,
            Executed::Unknown,
            false,
            false,
            detail,
            sender,
        )
        .await?),
        End::Response {
            outcome,
            body,
            replayed,
        } => {
            let reply = build_reply(context, head, &outcome, replayed);
            send_frame(sender, down::Kind::Reply(reply)).await?;
            let body = body.unwrap_or_else(|| recorded_body(&outcome));
            if !body.is_empty() {
                send_frame(sender, down::Kind::Body(body)).await?;
            }
            Ok(send_tail(context, head, Executed::Yes, true, false, "", sender).await?)
        }
    }
}

fn build_reply<E>(context: &Context<E>, head: &Head, outcome: &Outcome, replayed: bool) -> Reply {
    let mut headers = Vec::new();
    let mut add = |name: &str, value: &str| {
        headers.push(Header {
            name: name.to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
    };
    if !outcome.content_type.is_empty() {
        add("content-type", &outcome.content_type);
    }
    if replayed {
        add("idempotency-replayed", "true");
        if matches!(outcome.body, Body::Digest(..)) {
            // The body was too long to be recorded. The status still shows that
            // the call was executed, and with which result.
            add("idempotency-body", "omitted");
        }
    }
    Reply {
        cache: None,
        status: u32::from(outcome.status),
        headers,
        report: Some(context.report(&head.entry)),
    }
}

fn recorded_body(outcome: &Outcome) -> Bytes {
    match &outcome.body {
        Body::Text(text) => Bytes::from(text.clone()),
        Body::Bytes(bytes) => Bytes::from(bytes.clone()),
        Body::Digest(..) => Bytes::new(),
    }
}

//! Forwards an admitted call to the upstream, and the response to the entry.

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sesamerock_client::engine::stream;
use sesamerock_client::engine::{Call, Engine};
use sesamerock_client::error::Error;
use sesamerock_wire::relay::refusal::Reason;
use sesamerock_wire::relay::tail::Executed;
use sesamerock_wire::relay::{Head, Header, Reply, Tail, down};
use tokio::time::Instant;

use super::{Disconnected, EarlyEnd, Sender, refusal, send, suspect_refusal};
use crate::agent::Context;
use crate::agent::gate::Permit;
use crate::agent::in_flight::InFlightCall;

/// Runs a call that may repeat or has no idempotency key, which needs no decision
/// through the log.
pub(super) async fn run<E: Engine>(
    context: &Context<E>,
    head: &Head,
    body: Bytes,
    mut permit: Permit,
    deadline: Instant,
    sender: &Sender,
) -> Result<(), EarlyEnd> {
    let call = build_call(head, body).map_err(EarlyEnd::Refused)?;
    let in_flight_call = context
        .in_flight_calls
        .start(head, context.probe.incarnation())
        .map_err(|verdict| EarlyEnd::Refused(suspect_refusal(verdict)))?;
    let response = match tokio::time::timeout_at(deadline, send_call(context, head, call)).await {
        Ok(Ok(response)) => response,
        Ok(Err(Error::NotSent(detail))) => {
            permit.failed();
            context.probe.request_read();
            return Err(EarlyEnd::Refused(refusal(
                Reason::UpstreamUnreachable,
                detail,
            )));
        }
        Ok(Err(error)) => {
            return end_broken(
                context,
                head,
                permit,
                in_flight_call,
                &error.to_string(),
                sender,
            )
            .await;
        }
        Err(_) => return end_overdue(context, head, permit, sender).await,
    };
    send(
        sender,
        down::Kind::Reply(build_reply(context, head, &response)),
    )
    .await?;
    match tokio::time::timeout_at(deadline, forward_response(response, &mut permit, sender)).await {
        Ok(Ok(ResponseEnd::Complete)) => {
            permit.finished();
            in_flight_call.completed().await;
            Ok(send_tail(context, head, Executed::Yes, true, false, "", sender).await?)
        }
        Ok(Ok(ResponseEnd::Broken(detail))) => {
            end_broken(context, head, permit, in_flight_call, &detail, sender).await
        }
        Ok(Err(Disconnected)) => Err(EarlyEnd::Disconnected),
        Err(_) => end_overdue(context, head, permit, sender).await,
    }
}

/// Sends the call. A call that must not run twice gets a connection of its own,
/// since the client may resend a call on a pooled connection.
async fn send_call<E: Engine>(
    context: &Context<E>,
    head: &Head,
    call: Call,
) -> Result<Response<Incoming>, Error> {
    if head.repeatable {
        return context.engine.call(call).await;
    }
    let connection = context.engine.connect().await?;
    context.engine.call_once(connection, call).await
}

/// Ends a call whose connection to the upstream broke, and records whether the
/// upstream crashed.
async fn end_broken<E: Engine>(
    context: &Context<E>,
    head: &Head,
    permit: Permit,
    in_flight_call: InFlightCall,
    detail: &str,
    sender: &Sender,
) -> Result<(), EarlyEnd> {
    let crashed = context.probe.crashed(in_flight_call.incarnation()).await;
    if crashed {
        permit.crashed();
    } else {
        permit.failed();
    }
    in_flight_call.broken(crashed).await;
    Ok(send_tail(
        context,
        head,
        Executed::Unknown,
        false,
        crashed,
        detail,
        sender,
    )
    .await?)
}

/// Ends a call whose deadline has passed.
async fn end_overdue<E>(
    context: &Context<E>,
    head: &Head,
    permit: Permit,
    sender: &Sender,
) -> Result<(), EarlyEnd> {
    drop(permit);
    let detail = "the deadline passed while the upstream ran the call";
    Ok(send_tail(
        context,
        head,
        Executed::Unknown,
        false,
        false,
        detail,
        sender,
    )
    .await?)
}

/// Builds the request to the upstream from the head and body of a call.
///
/// # Errors
/// Returns a refusal if the method, path or a header is not valid HTTP.
pub(in crate::agent) fn build_call(
    head: &Head,
    body: Bytes,
) -> Result<Call, sesamerock_wire::relay::Refusal> {
    let invalid = |detail: &str| refusal(Reason::WrongUpstream, detail);
    let method =
        Method::from_bytes(head.method.as_bytes()).map_err(|_error| invalid("bad method"))?;
    let path = PathAndQuery::try_from(head.path.as_str()).map_err(|_error| invalid("bad path"))?;
    let mut headers = HeaderMap::with_capacity(head.headers.len() + 1);
    for Header { name, value } in &head.headers {
        let name =
            HeaderName::from_bytes(name.as_bytes()).map_err(|_error| invalid("bad header"))?;
        let value = HeaderValue::from_bytes(value).map_err(|_error| invalid("bad header"))?;
        headers.append(name, value);
    }
    if let Ok(id) = HeaderValue::from_str(&head.request_id) {
        headers.insert("x-request-id", id);
    }
    let body = if head.delivered_tokens > 0 {
        add_resume_point(head, &body)
    } else {
        body
    };
    Ok(Call {
        method,
        path,
        headers,
        body,
    })
}

/// Adds to a completion request the point from which its stream continues. A body
/// that is not a JSON object stays unchanged.
fn add_resume_point(head: &Head, body: &Bytes) -> Bytes {
    let Ok(serde_json::Value::Object(mut request)) = serde_json::from_slice(body) else {
        return body.clone();
    };
    let resume_point =
        serde_json::json!({ "tokens": head.delivered_tokens, "text": head.delivered_text });
    request.insert("resume".to_owned(), resume_point);
    serde_json::to_vec(&request).map_or_else(|_| body.clone(), Bytes::from)
}

fn build_reply<E>(context: &Context<E>, head: &Head, response: &Response<Incoming>) -> Reply {
    const DROPPED_HEADERS: [&str; 5] = [
        "connection",
        "keep-alive",
        "transfer-encoding",
        "upgrade",
        "content-length",
    ];
    let headers = response
        .headers()
        .iter()
        .filter(|(name, _)| !DROPPED_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect();
    let status = u32::from(response.status().as_u16());
    Reply {
        status,
        headers,
        report: Some(context.report(&head.entry)),
        cache: context.cache.digest(head, &context.metrics),
    }
}

enum ResponseEnd {
    Complete,
    Broken(String),
}

/// Forwards the response body as it arrives. The bounded channel applies
/// backpressure: a slow entry slows down the upstream.
async fn forward_response(
    mut response: Response<Incoming>,
    permit: &mut Permit,
    sender: &Sender,
) -> Result<ResponseEnd, Disconnected> {
    // Only the events of a stream show the pace of the upstream; for any other
    // response the gate uses its latency.
    let streamed = response
        .headers()
        .get(http::header::CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
    loop {
        match response.body_mut().frame().await {
            None => return Ok(ResponseEnd::Complete),
            Some(Err(error)) => return Ok(ResponseEnd::Broken(error.to_string())),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    if streamed {
                        permit.progress(stream::count_tokens(&data));
                    }
                    send(sender, down::Kind::Body(data)).await?;
                }
            }
        }
    }
}

/// Logs the outcome of a call and sends it as the last frame of the answer.
pub(in crate::agent) async fn send_tail<E>(
    context: &Context<E>,
    head: &Head,
    executed: Executed,
    complete: bool,
    crashed: bool,
    detail: &str,
    sender: &Sender,
) -> Result<(), Disconnected> {
    log::info!(
        "event=call_ended request={} attempt={} upstream={} executed={executed:?} complete={complete} crashed={crashed} detail={detail:?}",
        head.request_id,
        head.attempt,
        head.upstream
    );
    let tail = Tail {
        executed: executed.into(),
        complete,
        crashed,
        detail: detail.to_owned(),
        report: Some(context.report(&head.entry)),
    };
    send(sender, down::Kind::Tail(tail)).await
}

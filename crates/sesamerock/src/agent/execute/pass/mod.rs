//! Passes an admitted call to the upstream and its answer back.

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

use super::{Gone, Sender, Stop, refusal, send, suspected};
use crate::agent::Context;
use crate::agent::gate::Permit;
use crate::agent::suspects::Boarding;

/// Runs a call that needs no agreement: it is passed on once.
pub(super) async fn run<E: Engine>(
    context: &Context<E>,
    head: &Head,
    body: Bytes,
    mut permit: Permit,
    deadline: Instant,
    sender: &Sender,
) -> Result<(), Stop> {
    let call = call(head, body).map_err(Stop::Refused)?;
    let boarding = context
        .manifest
        .board(head, context.probe.incarnation())
        .map_err(|verdict| Stop::Refused(suspected(verdict)))?;
    let answer = match tokio::time::timeout_at(deadline, begin(context, head, call)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(Error::NotSent(detail))) => {
            permit.failed();
            context.probe.wake();
            return Err(Stop::Refused(refusal(Reason::UpstreamUnreachable, detail)));
        }
        Ok(Err(error)) => {
            return broken(context, head, permit, boarding, &error.to_string(), sender).await;
        }
        Err(_) => return overdue(context, head, permit, sender).await,
    };
    send(sender, down::Kind::Reply(reply(context, head, &answer))).await?;
    match tokio::time::timeout_at(deadline, forward(answer, &mut permit, sender)).await {
        Ok(Ok(Ended::Whole)) => {
            permit.finished();
            boarding.completed().await;
            Ok(tail(context, head, Executed::Yes, true, false, "", sender).await?)
        }
        Ok(Ok(Ended::Broken(detail))) => {
            broken(context, head, permit, boarding, &detail, sender).await
        }
        Ok(Err(Gone)) => Err(Stop::Gone),
        Err(_) => overdue(context, head, permit, sender).await,
    }
}

/// Sends the call; one that must not repeat goes over its own connection.
async fn begin<E: Engine>(
    context: &Context<E>,
    head: &Head,
    call: Call,
) -> Result<Response<Incoming>, Error> {
    if head.repeatable {
        return context.engine.call(call).await;
    }
    let link = context.engine.connect().await?;
    context.engine.call_once(link, call).await
}

/// Ends a call whose connection to the upstream broke.
async fn broken<E: Engine>(
    context: &Context<E>,
    head: &Head,
    permit: Permit,
    boarding: Boarding,
    detail: &str,
    sender: &Sender,
) -> Result<(), Stop> {
    let crashed = context.probe.crashed(boarding.incarnation()).await;
    if crashed {
        permit.crashed();
    } else {
        permit.failed();
    }
    boarding.broken(crashed).await;
    Ok(tail(
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

/// Ends a call whose caller no longer waits.
async fn overdue<E>(
    context: &Context<E>,
    head: &Head,
    permit: Permit,
    sender: &Sender,
) -> Result<(), Stop> {
    drop(permit);
    let detail = "the deadline passed while the upstream ran the call";
    Ok(tail(
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

/// Makes the upstream's request of a head and a body.
pub(in crate::agent) fn call(
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
        resume(head, &body)
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

/// Adds to a completion request where its stream goes on.
fn resume(head: &Head, body: &Bytes) -> Bytes {
    let Ok(serde_json::Value::Object(mut request)) = serde_json::from_slice(body) else {
        return body.clone();
    };
    let at = serde_json::json!({ "tokens": head.delivered_tokens, "text": head.delivered_text });
    request.insert("resume".to_owned(), at);
    serde_json::to_vec(&request).map_or_else(|_| body.clone(), Bytes::from)
}

fn reply<E>(context: &Context<E>, head: &Head, answer: &Response<Incoming>) -> Reply {
    const DROPPED: [&str; 5] = [
        "connection",
        "keep-alive",
        "transfer-encoding",
        "upgrade",
        "content-length",
    ];
    let headers = answer
        .headers()
        .iter()
        .filter(|(name, _)| !DROPPED.contains(&name.as_str()))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect();
    let status = u32::from(answer.status().as_u16());
    Reply {
        status,
        headers,
        report: Some(context.report(&head.entry)),
        cache: context.cache.digest(head, &context.metrics),
    }
}

enum Ended {
    Whole,
    Broken(String),
}

/// Forwards the answer as it comes; the bounded channel makes a slow entry
/// slow down the upstream.
async fn forward(
    mut answer: Response<Incoming>,
    permit: &mut Permit,
    sender: &Sender,
) -> Result<Ended, Gone> {
    // Only a stream's pieces tell the pace of the upstream; a whole answer is
    // judged by its latency.
    let streamed = answer
        .headers()
        .get(http::header::CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
    loop {
        match answer.body_mut().frame().await {
            None => return Ok(Ended::Whole),
            Some(Err(error)) => return Ok(Ended::Broken(error.to_string())),
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

/// Ends a call with its outcome.
pub(in crate::agent) async fn tail<E>(
    context: &Context<E>,
    head: &Head,
    executed: Executed,
    complete: bool,
    crashed: bool,
    detail: &str,
    sender: &Sender,
) -> Result<(), Gone> {
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

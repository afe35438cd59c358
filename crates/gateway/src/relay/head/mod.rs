//! Reads, authenticates and routes a request.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_LENGTH, HOST};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use sesamerock_base::key::Workspace;
use sesamerock_base::time::Moment;

use super::Shared;
use super::answer::{self, Body};
use super::call::Call;
use crate::admit::LATE_URGENCY;
use crate::admit::demand;
use crate::callers::Caller;
use crate::callers::rule::Phase;
use crate::clock;
use crate::memory::{self, ReadError, Share};
use crate::names::{Headers, Names};
use crate::suspect::{MAX_PARTS, Subject};
use crate::table::{self, Limits};

/// Longest wait of a request for the first table. After a loss of power, callers return before
/// the gateway has read anything, and many of them have no further attempt.
const TABLE_WAIT: Duration = Duration::from_secs(1);
/// `retry-after` of refusals after that wait: the store is away or turns the gateway away.
const NO_TABLE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `retry-after` of a request whose body there is no memory for. Other calls end meanwhile.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// `retry-after` of a request that the table does not allow while the store may lack a newer one,
/// which the operators write again.
const DOUBT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Lowest priority of a call; the one below it is for calls that can only be late.
const LOWEST_URGENCY: u8 = LATE_URGENCY - 1;

/// Lowest priority that upstreams are told.
const LOWEST_SENT_PRIORITY: u8 = 9;

/// Reads a request and looks up its route, caller, workspace and service.
///
/// # Errors
/// Returns the response to a request that is rejected or refused.
pub async fn read<N: Names>(
    request: Request<Incoming>,
    caller: Caller,
    shared: &Shared,
    names: &N,
) -> Result<Call, Response<Body>> {
    let arrived = clock::now();
    let (parts, body) = request.into_parts();
    caller.set_phase(Phase::Receiving);
    let (body, memory) = read_body(shared, names, &parts.headers, body, arrived).await?;
    caller.set_phase(Phase::Working);
    // Loaded after the body, since the table may have changed in the meantime.
    let Some(table) = shared.first_table(TABLE_WAIT).await else {
        return Err(refuse_without_table(shared, &parts.headers, names, arrived));
    };
    let header = |name: &HeaderName| parts.headers.get(name).and_then(|it| it.to_str().ok());
    let header_names = names.headers();
    let Some(id) = parts.headers.get(&header_names.call_id).cloned() else {
        let status = StatusCode::BAD_REQUEST;
        return Err(reject(shared, &parts.headers, names, status, "no id"));
    };
    let host = header(&HOST)
        .or_else(|| parts.uri.host())
        .unwrap_or_default();
    let Some(route) = table.route(host, parts.uri.path()) else {
        let status = StatusCode::NOT_FOUND;
        return Err(deny(shared, &parts.headers, names, status, "no route"));
    };
    let key = header(&AUTHORIZATION).and_then(|value| names.key(value));
    let holder = table.caller(route, key);
    if holder == table::Caller::Unknown {
        let status = StatusCode::UNAUTHORIZED;
        return Err(deny(shared, &parts.headers, names, status, "no key"));
    }
    let Some(service) = route.choose_service(rand::random()) else {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(reject(shared, &parts.headers, names, status, "no service"));
    };
    let workspace = table.workspace(holder);
    let caller_timeout = header(&header_names.deadline).and_then(|value| value.parse().ok());
    let caller_timeout = caller_timeout.map_or(route.timeout, Duration::from_millis);
    let token_usage = header(&header_names.tokens).and_then(|value| names.tokens(value));
    let prompt = header(&header_names.parts).map(|value| names.parts(value));
    let prompt = prompt.unwrap_or_default().into_iter().take(MAX_PARTS);
    let prompt = prompt.map(|id| Subject::part(service, id));
    let workspace_index = match holder {
        table::Caller::Workspace(index) => index as u32 + 1,
        // Anonymous callers share index 0.
        table::Caller::Anonymous | table::Caller::Unknown => 0,
    };
    caller.set_workspace(workspace_index);
    let last_event = header(&header_names.last_event).and_then(|value| value.parse().ok());
    let priority = workspace
        .and_then(|it| it.priority)
        .unwrap_or(route.priority);
    let workspace_name = workspace.map(|it| it.name.clone());
    let uri = match parts.uri.path_and_query() {
        Some(path) => http::Uri::from(path.clone()),
        None => parts.uri.clone(),
    };
    let name = workspace_name.as_deref();
    let request = Subject::request(service, name, &parts.method, &uri, &body);
    let subjects = prompt.chain([request]).collect();
    let origin = demand::Origin {
        workspace: name.map_or(0, demand::workspace),
        request: request.key() as u32,
        is_charged: false,
    };
    let sent_priority = table.has_priorities(None).then_some(priority);
    let headers = upstream_headers(parts.headers, header_names, name, sent_priority);
    Ok(Call {
        caller,
        http: parts.version,
        id,
        route: route.name.clone(),
        service: Arc::from(service),
        kind: route.kind,
        workspace: Workspace(workspace_index),
        workspace_name,
        urgency: priority.min(LOWEST_URGENCY),
        origin,
        subjects,
        tokens: token_usage.map_or(1, |(prompt, _)| prompt.max(1)),
        output_tokens: token_usage.map(|(_, output)| output),
        method: parts.method,
        uri,
        headers,
        body,
        _memory: memory,
        last_event,
        arrived,
        deadline: arrived + caller_timeout,
        route_deadline: arrived + route.timeout,
        objective: route.objective,
        pause: route.pause,
        attempts: route.attempts.max(1),
        version: table.version(),
    })
}

/// Reads the body of a request, up to the size limit of the table and as far as there is memory.
async fn read_body<N: Names>(
    shared: &Shared,
    names: &N,
    headers: &HeaderMap,
    body: Incoming,
    arrived: Moment,
) -> Result<(Bytes, Share), Response<Body>> {
    let table = shared.view.load().table.clone();
    let has_table = table.is_some();
    let limits = table.map_or_else(Limits::default, |it| it.content().limits);
    let mut share = shared.memory.request_share();
    let status = match memory::read(body, limits.body, &mut share).await {
        Ok(body) => return Ok((body, share)),
        // The table may allow it.
        Err(ReadError::TooLarge) if !has_table => {
            return Err(refuse_without_table(shared, headers, names, arrived));
        }
        Err(ReadError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
        Err(ReadError::Broken(_)) => StatusCode::BAD_REQUEST,
        Err(ReadError::Revoked) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            drop(reject(shared, headers, names, status, "memory"));
            return Err(answer::refusal(status, "memory", NO_MEMORY_RETRY_AFTER));
        }
    };
    Err(reject(shared, headers, names, status, "body"))
}

/// Returns the headers for the upstream: without hop-by-hop headers and the caller's
/// key, and with the workspace and priority that this gateway has determined.
fn upstream_headers(
    mut headers: HeaderMap,
    header_names: &Headers,
    workspace: Option<&str>,
    priority: Option<u8>,
) -> HeaderMap {
    answer::strip_hop_by_hop(&mut headers);
    headers.remove(AUTHORIZATION);
    headers.remove(CONTENT_LENGTH);
    headers.remove(&header_names.workspace);
    headers.remove(&header_names.instance);
    headers.remove(&header_names.priority);
    if let Some(priority) = priority {
        let priority = HeaderValue::from(u16::from(priority.min(LOWEST_SENT_PRIORITY)));
        headers.insert(header_names.priority.clone(), priority);
    }
    if let Some(name) = workspace {
        match HeaderValue::from_str(name) {
            Ok(value) => {
                headers.insert(header_names.workspace.clone(), value);
            }
            Err(error) => log::error!("event=workspace_unnamed name={name:?} reason=\"{error}\""),
        }
    }
    headers
}

/// Logs and counts a request that came before the first table, and returns the response to it.
fn refuse_without_table<N: Names>(
    shared: &Shared,
    headers: &HeaderMap,
    names: &N,
    arrived: Moment,
) -> Response<Body> {
    shared.counters.refused("no_table");
    let id = headers.get(&names.headers().call_id);
    log::info!(
        "event=call_rejected id={} status=503 reason=\"no table yet\" wait_ms={}",
        id.and_then(|id| id.to_str().ok()).unwrap_or("-"),
        clock::now().since(arrived).as_millis(),
    );
    let status = StatusCode::SERVICE_UNAVAILABLE;
    answer::refusal(status, "no table yet", NO_TABLE_RETRY_AFTER)
}

/// Rejects a request that the table does not allow. While a restored store may lack the newest
/// table, the request is refused instead, since that table may allow it.
fn deny<N: Names>(
    shared: &Shared,
    headers: &HeaderMap,
    names: &N,
    status: StatusCode,
    reason: &'static str,
) -> Response<Body> {
    let contact = &shared.store_contact;
    if contact.doubted_until(clock::now()).is_none() {
        return reject(shared, headers, names, status, reason);
    }
    let status = StatusCode::SERVICE_UNAVAILABLE;
    drop(reject(shared, headers, names, status, "table in doubt"));
    answer::refusal(status, "table in doubt", DOUBT_RETRY_AFTER)
}

/// Logs and counts a rejected request, and returns the response to it.
fn reject<N: Names>(
    shared: &Shared,
    headers: &HeaderMap,
    names: &N,
    status: StatusCode,
    reason: &'static str,
) -> Response<Body> {
    let id = headers
        .get(&names.headers().call_id)
        .and_then(|it| it.to_str().ok());
    let version = shared.view.load().table.as_ref().map(|it| it.version());
    log::info!(
        "event=call_rejected id={} status={} reason=\"{reason}\" table={}",
        id.unwrap_or("-"),
        status.as_u16(),
        version.unwrap_or_default(),
    );
    shared.counters.refused(reason);
    answer::local_response(status, reason)
}

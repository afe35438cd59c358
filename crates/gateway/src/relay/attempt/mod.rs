//! One call at one upstream, up to the header of the answer.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use sesamerock_base::time::Moment;
use tokio::time::timeout;

use super::Shared;
use super::call::Call;
use super::permit::{self, Permit};
use crate::admit::{HealthSignal, Reason, Refusal, SlotRequest};
use crate::clock;
use crate::names::Names;
use crate::pool::{Connection, KeepAlive};
use crate::table::Kind;

/// Time beyond the deadline that an upstream's own word on it is waited for.
const DEADLINE_ANSWER_GRACE: Duration = Duration::from_millis(50);

/// Priority level of calls whose answer is late anyway.
const LATE_URGENCY: u8 = 7;

/// An answer that has begun.
#[derive(Debug)]
pub struct Begun {
    /// Header and body.
    pub response: Response<Incoming>,
    /// The connection, to be kept after the body.
    pub connection: Connection,
    /// What the upstream says about keeping it.
    pub keep_alive: KeepAlive,
    /// The slot.
    pub permit: Permit,
}

/// What became of an attempt.
#[derive(Debug)]
pub enum Outcome {
    /// The upstream answers, with success or failure.
    Begun(Box<Begun>),
    /// No upstream took the call; nothing was sent.
    Refused(Refusal),
    /// The call has not run there, and the upstream says so.
    NotRun,
    /// The upstream could not be reached; nothing was sent.
    Unreachable,
    /// The caller has left; nothing was sent.
    Left,
    /// The call may have run.
    Unknown(&'static str),
}

impl Outcome {
    /// Returns the word used in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Begun(_) => "answered",
            Self::Refused(refusal) => refusal.reason.as_str(),
            Self::NotRun => "not_run",
            Self::Unreachable => "unreachable",
            Self::Left => "caller_left",
            Self::Unknown(reason) => reason,
        }
    }
}

/// The upstreams that one call has been at.
#[derive(Debug, Default)]
pub struct Attempted {
    /// Their identities.
    pub ids: Vec<Arc<str>>,
    /// Upstreams that the call was sent to.
    pub sent: u32,
}

/// How an attempt differs from the first one of a call.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLimits {
    /// The moment after which the answer is late.
    pub latest_in_time: Moment,
    /// The moment after which the caller has no use for an upstream.
    pub last_useful: Moment,
    /// When the attempt is given up, so that another one has a chance.
    pub abandon_at: Moment,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
}

/// Sends a call to one upstream.
pub async fn run<N: Names>(
    shared: &Arc<Shared>,
    names: &N,
    call: &Call,
    attempted: &mut Attempted,
    limits: AttemptLimits,
) -> Outcome {
    let started = clock::now();
    let permit = match acquire_permit(shared, call, attempted, limits).await {
        Ok(permit) => permit,
        Err(refusal) => return Outcome::Refused(refusal),
    };
    let acquired = clock::now();
    let record = Arc::clone(&permit.record);
    let outcome = send(shared, names, call, attempted, limits, permit).await;
    shared.counters.attempt(outcome.as_str());
    log::info!(
        "event=attempt id={} service={} upstream={} address={} outcome={} wait_ms={} head_ms={}",
        call.id(),
        call.service,
        record.id,
        record.address,
        outcome.as_str(),
        acquired.since(started).as_millis(),
        clock::now().since(acquired).as_millis(),
    );
    outcome
}

/// Waits for an upstream: first in the order of priorities, and, once the answer can
/// no longer be in time, behind the calls whose answer can.
async fn acquire_permit(
    shared: &Arc<Shared>,
    call: &Call,
    attempted: &Attempted,
    limits: AttemptLimits,
) -> Result<Permit, Refusal> {
    let slot_request = SlotRequest {
        call: shared.next_call_number(),
        service: Arc::clone(&call.service),
        workspace: call.workspace,
        tokens: call.tokens,
        urgency: call.urgency,
        latest: limits.latest_in_time,
        pause: call.pause,
        exclude: attempted.ids.clone(),
    };
    let late_request = SlotRequest {
        call: shared.next_call_number(),
        urgency: LATE_URGENCY,
        latest: limits.last_useful,
        ..slot_request.clone()
    };
    match permit::acquire(shared, slot_request).await {
        Err(refusal)
            if refusal.reason != Reason::Nowhere && limits.last_useful > limits.latest_in_time =>
        {
            permit::acquire(shared, late_request).await
        }
        result => result,
    }
}

async fn send<N: Names>(
    shared: &Arc<Shared>,
    names: &N,
    call: &Call,
    attempted: &mut Attempted,
    limits: AttemptLimits,
    mut permit: Permit,
) -> Outcome {
    let record = Arc::clone(&permit.record);
    if call.connection.is_closed() {
        return Outcome::Left;
    }
    attempted.ids.push(Arc::clone(&record.id));
    let mut connection = match connect(shared, &record, call).await {
        Ok(connection) => connection,
        Err(error) => {
            log::debug!(
                "event=connect_failed upstream={} reason=\"{error}\"",
                record.id
            );
            shared.connections.close_idle(&record.id);
            permit.set_signal(HealthSignal::Unreachable);
            return Outcome::Unreachable;
        }
    };
    let now = clock::now();
    let time_left = call.end().since(now);
    let Some(request) = request(names, call, &record.id, time_left, limits.last_event) else {
        return Outcome::Unreachable;
    };
    attempted.sent += 1;
    connection.start_call();
    let response_timeout = limits.abandon_at.since(now) + DEADLINE_ANSWER_GRACE;
    // Until the answer is there, the upstream is blamed for an end.
    permit.set_signal(HealthSignal::Neutral);
    let response = match timeout(response_timeout, connection.sender.send_request(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            shared.connections.close_idle(&record.id);
            permit.set_signal(if connection.used {
                HealthSignal::Neutral
            } else {
                HealthSignal::Failure
            });
            if error.is_canceled() {
                // The connection had ended before anything was written.
                attempted.sent -= 1;
                attempted.ids.pop();
                return Outcome::Unreachable;
            }
            return Outcome::Unknown("broken");
        }
        Err(_) => {
            permit.set_signal(HealthSignal::Failure);
            return Outcome::Unknown("silent");
        }
    };
    classify(names, call, response, connection, permit)
}

/// Decides what the header of an answer means.
fn classify<N: Names>(
    names: &N,
    call: &Call,
    response: Response<Incoming>,
    connection: Connection,
    mut permit: Permit,
) -> Outcome {
    let header_names = names.headers();
    let headers = response.headers();
    let status = response.status();
    if headers.get(&header_names.call) != Some(&call.id) {
        // The answer belongs to another call, so nothing on this connection can be
        // trusted.
        permit.set_signal(HealthSignal::Failure);
        let not_run = headers.contains_key(&header_names.not_run)
            || status == StatusCode::MISDIRECTED_REQUEST;
        if !headers.contains_key(&header_names.call) && not_run {
            permit.set_signal(HealthSignal::Full);
            return Outcome::NotRun;
        }
        return Outcome::Unknown("foreign_answer");
    }
    if headers.contains_key(&header_names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        permit.set_signal(if status == StatusCode::MISDIRECTED_REQUEST {
            HealthSignal::Unreachable
        } else {
            HealthSignal::Full
        });
        return Outcome::NotRun;
    }
    let encoded = headers.contains_key(http::header::CONTENT_ENCODING);
    if !headers.contains_key(&header_names.signature) || (status.is_success() && encoded) {
        permit.set_signal(HealthSignal::Failure);
        return Outcome::Unknown("unsigned_answer");
    }
    Outcome::Begun(Box::new(Begun {
        keep_alive: KeepAlive::read(headers),
        response,
        connection,
        permit,
    }))
}

async fn connect(
    shared: &Shared,
    record: &crate::upstream::Record,
    call: &Call,
) -> std::io::Result<Connection> {
    while let Some(mut connection) = shared.connections.take(record) {
        // A connection that its upstream has closed fails here.
        if connection.sender.ready().await.is_ok() {
            return Ok(connection);
        }
    }
    let time_left = call.end().since(clock::now());
    let connect_timeout = shared.settings.connect_timeout.min(time_left);
    shared.connections.open(record, connect_timeout).await
}

fn request<N: Names>(
    names: &N,
    call: &Call,
    upstream: &str,
    time_left: Duration,
    last_event: Option<u64>,
) -> Option<Request<Full<bytes::Bytes>>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let header_names = names.headers();
    let headers = request.headers_mut();
    let time_left = HeaderValue::from(time_left.as_millis() as u64);
    headers.insert(header_names.deadline.clone(), time_left);
    let upstream = HeaderValue::from_str(upstream).ok()?;
    headers.insert(header_names.instance.clone(), upstream);
    if matches!(call.kind, Kind::Stream { .. })
        && let Some(last) = last_event
    {
        headers.insert(header_names.last_event.clone(), HeaderValue::from(last));
    }
    Some(request)
}

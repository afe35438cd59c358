//! One attempt: sends a call to one upstream and reads the header of the answer.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use sesamerock_base::time::Moment;
use tokio::time::timeout;

use super::Shared;
use super::answer;
use super::call::Call;
use super::permit::{self, Permit};
use super::watch::Watch;
use crate::admit::demand;
use crate::admit::{HealthSignal, LATE_URGENCY, Obstacle, Reason, Refusal, SlotRequest};
use crate::clock;
use crate::memory::{Revoked, Share};
use crate::names::Names;
use crate::pool::{self, Connection, KeepAlive};
use crate::table::Kind;

/// Time after the deadline in which an upstream may still report that the call timed out.
const DEADLINE_ANSWER_GRACE: Duration = Duration::from_millis(50);

/// Memory of a running stream, with its task, its channel and what the HTTP library takes at once.
const STREAM_BYTES: usize = 24 << 10;
/// `retry-after` of a call for whose answer there is no memory. Other calls end meanwhile.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An answer whose header has arrived.
#[derive(Debug)]
pub struct StartedAnswer {
    /// Header of the answer, with the body still to be read.
    pub response: Response<Incoming>,
    /// Connection to return to the pool after the body.
    pub connection: Connection,
    /// How long the upstream keeps the connection open.
    pub keep_alive: KeepAlive,
    /// Slot that the call occupies until the end of the body.
    pub permit: Permit,
    /// Records what the answer shows about the parts of the prompt.
    pub watch: Watch,
    /// Memory of the task that forwards the answer, if it is a stream.
    pub memory: Option<Share>,
}

/// Result of an attempt.
#[derive(Debug)]
pub enum Outcome {
    /// The upstream has begun to answer, with success or failure.
    Begun(Box<StartedAnswer>),
    /// No slot was available; nothing was sent.
    Refused(Refusal),
    /// The upstream states that it did not run the call.
    NotRun,
    /// The upstream could not be reached; nothing was sent.
    Unreachable,
    /// The caller disconnected before anything was sent.
    Left,
    /// The call may have run; the value names the cause in logs and metrics.
    Unknown(&'static str),
}

impl Outcome {
    /// Returns the value of the outcome in logs and metrics.
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

/// Upstreams that one call has tried.
#[derive(Debug, Default)]
pub struct Attempted {
    /// Identifiers of the upstreams, in the order of the attempts.
    pub ids: Vec<Arc<str>>,
    /// Number of upstreams that the call was sent to.
    pub sent: u32,
    /// Whether the call has been counted for the share of its workspace.
    pub is_charged: bool,
}

/// Time limits of an attempt, and where a resumed stream starts.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLimits {
    /// Latest time to get a slot such that the answer can be in time.
    pub latest_in_time: Moment,
    /// Latest time at which a slot is of use to the caller, even with a late answer.
    pub latest_start: Moment,
    /// When the attempt is abandoned, so that there is time for another one.
    pub abandon_at: Moment,
    /// Identifier of the last event that the caller has received.
    pub last_event: Option<u64>,
}

/// Gets a slot of one upstream, sends the call there, and logs the attempt. If the upstream may
/// not be sent calls any more when the slot is to be used, another one is chosen.
pub async fn run<N: Names>(
    shared: &Arc<Shared>,
    names: &N,
    call: &Call,
    attempted: &mut Attempted,
    limits: AttemptLimits,
) -> Outcome {
    loop {
        if let Ok(outcome) = run_once(shared, names, call, attempted, limits).await {
            return outcome;
        }
    }
}

async fn run_once<N: Names>(
    shared: &Arc<Shared>,
    names: &N,
    call: &Call,
    attempted: &mut Attempted,
    limits: AttemptLimits,
) -> Result<Outcome, Obstacle> {
    let started = clock::now();
    let (watch, permit) = match acquire(shared, call, attempted, limits).await {
        Ok(acquired) => acquired,
        Err(refusal) => {
            shared.counters.refused(refusal.reason.as_str());
            let (running, waiting) = shared.admission().totals();
            let share = share_of(shared, call, refusal.reason);
            log::info!(
                "event=refused id={} service={} reason={} wait_ms={} retry_after_ms={} \
                 running={running} waiting={waiting}{share}",
                call.id(),
                call.service,
                refusal.reason.as_str(),
                clock::now().since(started).as_millis(),
                refusal.after.as_millis(),
            );
            return Ok(Outcome::Refused(refusal));
        }
    };
    let acquired = clock::now();
    if acquired > shared.latest_start(call, acquired) {
        let (reason, after) = (Reason::Leaving, Duration::ZERO);
        shared.counters.refused(reason.as_str());
        log::info!(
            "event=refused id={} service={} reason={} wait_ms={}",
            call.id(),
            call.service,
            reason.as_str(),
            acquired.since(started).as_millis(),
        );
        return Ok(Outcome::Refused(Refusal { reason, after }));
    }
    let record = Arc::clone(&permit.record);
    let sent = send(shared, names, call, attempted, limits, permit, watch).await;
    let outcome = sent.inspect_err(|obstacle| {
        shared.counters.withheld(obstacle.as_str());
        log::info!(
            "event=call_withheld id={} upstream={} reason={}",
            call.id(),
            record.id,
            obstacle.as_str()
        );
    })?;
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
    Ok(outcome)
}

/// Returns the further fields of the log line of a call that exceeds its share.
fn share_of(shared: &Shared, call: &Call, reason: Reason) -> String {
    if reason != Reason::OverShare {
        return String::new();
    }
    let admission = shared.admission();
    let fraction = admission.admitted_fraction(&call.service, call.origin, call.urgency);
    let workspace = call.workspace_name.as_deref().unwrap_or("-");
    format!(
        " workspace={workspace} priority={} admitted={fraction:.3}",
        call.urgency
    )
}

/// Waits for a slot with which the call may be sent.
async fn acquire(
    shared: &Arc<Shared>,
    call: &Call,
    attempted: &mut Attempted,
    limits: AttemptLimits,
) -> Result<(Watch, Permit), Refusal> {
    loop {
        let mut watch = Watch::start(shared, call, limits.latest_start).await?;
        let permit = acquire_permit(shared, call, attempted, limits).await?;
        if watch.may_send() {
            return Ok((watch, permit));
        }
    }
}

/// Waits for a slot: first with the priority of the call, and, once the answer can no
/// longer be in time, behind the calls whose answer still can.
async fn acquire_permit(
    shared: &Arc<Shared>,
    call: &Call,
    attempted: &mut Attempted,
    limits: AttemptLimits,
) -> Result<Permit, Refusal> {
    let slot_request = SlotRequest {
        call: shared.next_call_number(),
        service: Arc::clone(&call.service),
        workspace: call.workspace,
        tokens: call.tokens,
        urgency: call.urgency,
        latest_start: limits.latest_in_time,
        pause: call.pause,
        exclude: attempted.ids.clone(),
        origin: demand::Origin {
            is_charged: attempted.is_charged,
            ..call.origin
        },
    };
    attempted.is_charged = true;
    let late_request = SlotRequest {
        call: shared.next_call_number(),
        urgency: LATE_URGENCY,
        latest_start: limits.latest_start,
        origin: demand::Origin {
            is_charged: true,
            ..call.origin
        },
        ..slot_request.clone()
    };
    match permit::acquire(shared, slot_request).await {
        // A call that exceeds its share is not tried again as a late one.
        Err(refusal)
            if !matches!(refusal.reason, Reason::Nowhere | Reason::OverShare)
                && limits.latest_start > limits.latest_in_time =>
        {
            permit::acquire(shared, late_request).await
        }
        result => result,
    }
}

/// Sends a call to the upstream of a permit, or returns why this may not be done any more.
async fn send<N: Names>(
    shared: &Arc<Shared>,
    names: &N,
    call: &Call,
    attempted: &mut Attempted,
    limits: AttemptLimits,
    mut permit: Permit,
    mut watch: Watch,
) -> Result<Outcome, Obstacle> {
    let record = Arc::clone(&permit.record);
    if call.caller.socket().is_closed() {
        return Ok(Outcome::Left);
    }
    // Taken before memory is reserved, for which idle connections may be closed.
    let idle = take_idle(shared, &record).await;
    let memory = match call.kind {
        Kind::Stream { .. } => match reserve(shared, STREAM_BYTES).await {
            Ok(memory) => Some(memory),
            Err(Revoked) => return Ok(refuse_for_memory(shared, call, &mut permit)),
        },
        Kind::Safe | Kind::Unsafe => None,
    };
    let connection = match idle {
        Some(connection) => Ok(connection),
        None => match reserve(shared, pool::CONNECTION_BYTES).await {
            Ok(memory) => open(shared, &record, call, memory).await,
            Err(Revoked) => return Ok(refuse_for_memory(shared, call, &mut permit)),
        },
    };
    attempted.ids.push(Arc::clone(&record.id));
    let mut connection = match connection {
        Ok(connection) => connection,
        Err(error) => {
            log::debug!(
                "event=connect_failed upstream={} reason=\"{error}\"",
                record.id
            );
            shared.connections.close_idle(&record.id);
            if error.kind() == io::ErrorKind::ConnectionRefused {
                shared.confirm_crash(&record);
            }
            permit.set_signal(HealthSignal::Unreachable);
            return Ok(Outcome::Unreachable);
        }
    };
    let now = clock::now();
    let time_left = call.end().since(now);
    // An upstream id that is no valid header value also counts as unreachable.
    let Some(request) = request(names, call, &record.id, time_left, limits.last_event) else {
        return Ok(Outcome::Unreachable);
    };
    // The answer to another call may have changed what is known while the connection was opened.
    let obstacle = shared.admission().obstacle(&record, now);
    if let Some(obstacle) = obstacle {
        attempted.ids.pop();
        return Err(obstacle);
    }
    attempted.sent += 1;
    connection.start_call();
    let response_timeout = limits.abandon_at.since(now) + DEADLINE_ANSWER_GRACE;
    // If the caller leaves before the answer, this says nothing about the upstream.
    permit.set_signal(HealthSignal::Neutral);
    let response = match timeout(response_timeout, connection.sender.send_request(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            permit.set_signal(if connection.used {
                HealthSignal::Neutral
            } else {
                HealthSignal::Failure
            });
            if error.is_canceled() || connection.is_unsent() {
                // The upstream closed the connection, or wrote to it, before anything was
                // written.
                shared.connections.close_idle(&record.id);
                attempted.sent -= 1;
                if connection.used {
                    // A new connection to the same upstream may serve the call.
                    attempted.ids.pop();
                }
                return Ok(Outcome::Unreachable);
            }
            watch.end_broken(&record).await;
            return Ok(Outcome::Unknown("broken"));
        }
        Err(_) => {
            permit.set_signal(HealthSignal::Failure);
            return Ok(Outcome::Unknown("silent"));
        }
    };
    if !answer::is_final(response.status()) {
        let status = response.status().as_u16();
        log::warn!(
            "event=status_invalid id={} upstream={} status={status}",
            call.id(),
            record.id
        );
        permit.set_signal(HealthSignal::Failure);
        watch.end_broken(&record).await;
        return Ok(Outcome::Unknown("invalid_status"));
    }
    connection.start_answer();
    // A misdirected call was answered by another upstream, which speaks for itself only.
    let is_other = response.status() == StatusCode::MISDIRECTED_REQUEST;
    if !is_other && names.is_leaving(response.headers()) {
        shared.set_leaving(&record);
    }
    observe_answer(shared, names, call, &response, &permit, now);
    watch.begin();
    let mut outcome = classify(names, call, response, connection, permit, watch);
    if let Outcome::Begun(begun) = &mut outcome {
        begun.memory = memory;
    }
    Ok(outcome)
}

/// Records that an upstream has answered, and whether the answer to a call asks for a pause or
/// names a limit. Answers to other calls are late, so what they state may be outdated.
fn observe_answer<N: Names>(
    shared: &Shared,
    names: &N,
    call: &Call,
    response: &Response<Incoming>,
    permit: &Permit,
    sent_at: Moment,
) {
    let headers = response.headers();
    let id = headers.get(&names.headers().call_id);
    if id.is_some_and(|id| *id != call.id) {
        return;
    }
    // A misdirected call was answered by another upstream.
    if response.status() != StatusCode::MISDIRECTED_REQUEST {
        shared.refute_crash(&permit.record, sent_at);
        shared.observe_limit(&permit.record, names.limit(headers), permit.started);
    }
    let is_unavailable = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    let pause = is_unavailable.then(|| names.pause(headers)).flatten();
    match pause {
        Some(length) if !length.is_zero() => shared.pause(&permit.record, length),
        _ => {
            let mut admission = shared.admission();
            admission.observe_answer(&permit.record, permit.started);
        }
    }
}

/// Determines the outcome from the header of an answer.
fn classify<N: Names>(
    names: &N,
    call: &Call,
    response: Response<Incoming>,
    connection: Connection,
    mut permit: Permit,
    watch: Watch,
) -> Outcome {
    let header_names = names.headers();
    let headers = response.headers();
    let status = response.status();
    if headers.get(&header_names.call_id) != Some(&call.id) {
        // An answer with another id belongs to another call. Without an id, only the
        // statement that the call was not run is accepted, and only on a new connection: on
        // one that is in use again, it may repeat the refusal of an earlier call.
        permit.set_signal(HealthSignal::Failure);
        let not_run = headers.contains_key(&header_names.not_run)
            || status == StatusCode::MISDIRECTED_REQUEST;
        if !headers.contains_key(&header_names.call_id) && not_run && !connection.used {
            permit.set_signal(HealthSignal::Full);
            return Outcome::NotRun;
        }
        return Outcome::Unknown("foreign_answer");
    }
    if headers.contains_key(&header_names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        permit.set_signal(if status == StatusCode::MISDIRECTED_REQUEST {
            HealthSignal::Misdirected
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
    Outcome::Begun(Box::new(StartedAnswer {
        keep_alive: KeepAlive::read(headers),
        response,
        connection,
        permit,
        watch,
        memory: None,
    }))
}

/// Returns the idle connection to an upstream that was used last, if it is still open.
async fn take_idle(shared: &Shared, record: &crate::upstream::Record) -> Option<Connection> {
    while let Some(mut connection) = shared.connections.take(record) {
        // Fails for a connection that the upstream has closed.
        if connection.sender.ready().await.is_ok() {
            return Some(connection);
        }
    }
    None
}

async fn open(
    shared: &Shared,
    record: &crate::upstream::Record,
    call: &Call,
    memory: Share,
) -> io::Result<Connection> {
    let time_left = call.end().since(clock::now());
    let timeout = shared.settings.connect_timeout.min(time_left);
    shared.connections.open(record, timeout, memory).await
}

/// Reserves memory for an answer, and closes idle connections to upstreams if there is none.
async fn reserve(shared: &Shared, bytes: usize) -> Result<Share, Revoked> {
    let reserved = shared.memory.reserve(bytes);
    if reserved.is_ok() {
        shared.memory.settled().await;
        return reserved;
    }
    shared.connections.retain(|_| false);
    // The tasks of the connections end meanwhile.
    tokio::task::yield_now().await;
    let reserved = shared.memory.reserve(bytes)?;
    shared.memory.settled().await;
    Ok(reserved)
}

/// Records that there is no memory for the answer to a call, which has not been sent.
fn refuse_for_memory(shared: &Shared, call: &Call, permit: &mut Permit) -> Outcome {
    permit.set_signal(HealthSignal::Neutral);
    let (reason, after) = (Reason::Memory, NO_MEMORY_RETRY_AFTER);
    shared.counters.refused(reason.as_str());
    log::info!(
        "event=refused id={} service={} reason={} held={}",
        call.id(),
        call.service,
        reason.as_str(),
        shared.memory.held(),
    );
    Outcome::Refused(Refusal { reason, after })
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

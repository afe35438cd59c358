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
use super::lease::{self, Lease};
use crate::admit::{HealthSignal, Reason, Refusal, SlotRequest};
use crate::clock;
use crate::names::Names;
use crate::pool::{Connection, Keep};
use crate::table::Kind;

/// Time beyond the deadline that an upstream's own word on it is waited for.
const LAST_WORD: Duration = Duration::from_millis(50);

/// Priority level of calls whose answer is late anyway.
const OVERDUE: u8 = 7;

/// An answer that has begun.
#[derive(Debug)]
pub struct Begun {
    /// Header and body.
    pub response: Response<Incoming>,
    /// The connection, to be kept after the body.
    pub connection: Connection,
    /// What the upstream says about keeping it.
    pub keep: Keep,
    /// The slot.
    pub lease: Lease,
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
            Self::Unknown(why) => why,
        }
    }
}

/// The upstreams that one call has been at.
#[derive(Debug, Default)]
pub struct Tried {
    /// Their identities.
    pub ids: Vec<Arc<str>>,
    /// Upstreams that the call was sent to.
    pub sent: u32,
}

/// How an attempt differs from the first one of a call.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The moment after which the answer is late.
    pub latest: Moment,
    /// The moment after which the caller has no use for an upstream.
    pub last: Moment,
    /// When the attempt is given up, so that another one has a chance.
    pub give_up: Moment,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
}

/// Sends a call to one upstream.
pub async fn run<N: Names>(
    shared: &Arc<Shared>,
    names: &N,
    call: &Call,
    tried: &mut Tried,
    terms: Terms,
) -> Outcome {
    let started = clock::now();
    let lease = match place(shared, call, tried, terms).await {
        Ok(lease) => lease,
        Err(refusal) => return Outcome::Refused(refusal),
    };
    let placed = clock::now();
    let record = Arc::clone(&lease.record);
    let outcome = send(shared, names, call, tried, terms, lease).await;
    shared.counters.attempt(outcome.as_str());
    log::info!(
        "event=attempt id={} service={} upstream={} address={} outcome={} wait_ms={} head_ms={}",
        call.id(),
        call.service,
        record.id,
        record.address,
        outcome.as_str(),
        placed.since(started).as_millis(),
        clock::now().since(placed).as_millis(),
    );
    outcome
}

/// Waits for an upstream: first in the order of priorities, and, once the answer can
/// no longer be in time, behind the calls whose answer can.
async fn place(
    shared: &Arc<Shared>,
    call: &Call,
    tried: &Tried,
    terms: Terms,
) -> Result<Lease, Refusal> {
    let slot_request = SlotRequest {
        call: shared.number(),
        service: Arc::clone(&call.service),
        workspace: call.workspace,
        tokens: call.tokens,
        urgency: call.urgency,
        latest: terms.latest,
        pause: call.pause,
        exclude: tried.ids.clone(),
    };
    let overdue = SlotRequest {
        call: shared.number(),
        urgency: OVERDUE,
        latest: terms.last,
        ..slot_request.clone()
    };
    match lease::acquire(shared, slot_request).await {
        Err(refusal) if refusal.reason != Reason::Nowhere && terms.last > terms.latest => {
            lease::acquire(shared, overdue).await
        }
        placed => placed,
    }
}

async fn send<N: Names>(
    shared: &Arc<Shared>,
    names: &N,
    call: &Call,
    tried: &mut Tried,
    terms: Terms,
    mut lease: Lease,
) -> Outcome {
    let record = Arc::clone(&lease.record);
    if call.connection.is_closed() {
        return Outcome::Left;
    }
    tried.ids.push(Arc::clone(&record.id));
    let mut connection = match connect(shared, &record, call).await {
        Ok(connection) => connection,
        Err(error) => {
            log::debug!(
                "event=connect_failed upstream={} reason=\"{error}\"",
                record.id
            );
            shared.pool.forget(&record.id);
            lease.mark(HealthSignal::Unreachable);
            return Outcome::Unreachable;
        }
    };
    let now = clock::now();
    let left = call.end().since(now);
    let Some(request) = request(names, call, &record.id, left, terms.last_event) else {
        return Outcome::Unreachable;
    };
    tried.sent += 1;
    connection.begin();
    let wait = terms.give_up.since(now) + LAST_WORD;
    // Until the answer is there, the upstream is blamed for an end.
    lease.mark(HealthSignal::Neutral);
    let response = match timeout(wait, connection.sender.send_request(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            shared.pool.forget(&record.id);
            lease.mark(if connection.used {
                HealthSignal::Neutral
            } else {
                HealthSignal::Failure
            });
            if error.is_canceled() {
                // The connection had ended before anything was written.
                tried.sent -= 1;
                tried.ids.pop();
                return Outcome::Unreachable;
            }
            return Outcome::Unknown("broken");
        }
        Err(_) => {
            lease.mark(HealthSignal::Failure);
            return Outcome::Unknown("silent");
        }
    };
    classify(names, call, response, connection, lease)
}

/// Decides what the header of an answer means.
fn classify<N: Names>(
    names: &N,
    call: &Call,
    response: Response<Incoming>,
    connection: Connection,
    mut lease: Lease,
) -> Outcome {
    let own = names.headers();
    let headers = response.headers();
    let status = response.status();
    if headers.get(&own.call) != Some(&call.id) {
        // The answer belongs to another call, so nothing on this connection can be
        // trusted.
        lease.mark(HealthSignal::Failure);
        let refused =
            headers.contains_key(&own.not_run) || status == StatusCode::MISDIRECTED_REQUEST;
        if !headers.contains_key(&own.call) && refused {
            lease.mark(HealthSignal::Full);
            return Outcome::NotRun;
        }
        return Outcome::Unknown("foreign_answer");
    }
    if headers.contains_key(&own.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        lease.mark(if status == StatusCode::MISDIRECTED_REQUEST {
            HealthSignal::Unreachable
        } else {
            HealthSignal::Full
        });
        return Outcome::NotRun;
    }
    let encoded = headers.contains_key(http::header::CONTENT_ENCODING);
    if !headers.contains_key(&own.signature) || (status.is_success() && encoded) {
        lease.mark(HealthSignal::Failure);
        return Outcome::Unknown("unsigned_answer");
    }
    Outcome::Begun(Box::new(Begun {
        keep: Keep::read(headers),
        response,
        connection,
        lease,
    }))
}

async fn connect(
    shared: &Shared,
    record: &crate::upstream::Record,
    call: &Call,
) -> std::io::Result<Connection> {
    while let Some(mut kept) = shared.pool.take(record) {
        // A connection that its upstream has closed fails here.
        if kept.sender.ready().await.is_ok() {
            return Ok(kept);
        }
    }
    let left = call.end().since(clock::now());
    let limit = shared.settings.connect.min(left);
    shared.pool.open(record, limit).await
}

fn request<N: Names>(
    names: &N,
    call: &Call,
    upstream: &str,
    left: Duration,
    last_event: Option<u64>,
) -> Option<Request<Full<bytes::Bytes>>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let own = names.headers();
    let headers = request.headers_mut();
    let left = HeaderValue::from(left.as_millis() as u64);
    headers.insert(own.deadline.clone(), left);
    let upstream = HeaderValue::from_str(upstream).ok()?;
    headers.insert(own.instance.clone(), upstream);
    if matches!(call.kind, Kind::Stream { .. })
        && let Some(last) = last_event
    {
        headers.insert(own.last_event.clone(), HeaderValue::from(last));
    }
    Some(request)
}

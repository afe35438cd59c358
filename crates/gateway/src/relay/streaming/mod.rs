//! Calls that are answered with a stream of events.
//!
//! A task carries the events of a stream, so that it can go on at another upstream
//! under the header of the first. It ends when the caller's connection does.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt as _;
use sesamerock_base::time::Moment;
use tokio::sync::mpsc::{self, Sender};
use tokio::time::timeout;

use super::Shared;
use super::answer::{self, Body, Broken};
use super::attempt::{self, Begun, Outcome, Terms, Tried};
use super::call::Call;
use super::whole::{self, Last};
use crate::admit::HealthSignal;
use crate::clock;
use crate::names::Names;
use crate::stream::Events;

/// Pieces kept for a caller that reads slowly.
const PIECES: usize = 8;
/// Least time for another attempt.
const LEAST_LEFT: Duration = Duration::from_millis(100);

/// Answers a call.
pub async fn answer<N: Names>(shared: &Arc<Shared>, names: &N, call: &Arc<Call>) -> Response<Body> {
    let mut tried = Tried::default();
    let response = match begin(shared, names, call, &mut tried, call.last_event).await {
        Ok(begun) if is_stream(&begun) => {
            return relay(shared, names, call, tried, begun);
        }
        Ok(begun) => match whole::collect(shared, call, begun).await {
            Some(response) => response,
            None => whole::conclude(None, Last::Unknown("cut")),
        },
        Err(last) => whole::conclude(None, last),
    };
    whole::finish(shared, call, &tried, &response);
    response
}

fn is_stream(begun: &Begun) -> bool {
    let kind = begun.response.headers().get(CONTENT_TYPE);
    let kind = kind.and_then(|value| value.to_str().ok());
    begun.response.status() == StatusCode::OK
        && kind.is_some_and(|value| value.starts_with("text/event-stream"))
}

/// Finds an upstream that begins to answer.
async fn begin<N: Names>(
    shared: &Arc<Shared>,
    names: &N,
    call: &Call,
    tried: &mut Tried,
    last_event: Option<u64>,
) -> Result<Begun, Last> {
    let mut former = None;
    loop {
        let now = clock::now();
        let in_time = call.objective.mul_f64(shared.settings.stream_patience);
        let useful = call.objective.mul_f64(shared.settings.stream_useful);
        let terms = Terms {
            latest: (call.arrived + in_time).max(now).min(call.end()),
            last: (call.arrived + useful).max(now).min(call.end()),
            give_up: call.end(),
            last_event,
        };
        let (last, may_repeat) = match attempt::run(shared, names, call, tried, terms).await {
            Outcome::Begun(begun) => {
                let failed = begun.response.status().is_server_error();
                if !failed || !call.kind.repeatable() || tried.sent >= call.attempts {
                    return Ok(*begun);
                }
                (Last::Unknown("upstream_failed"), true)
            }
            Outcome::Refused(refusal) => {
                return Err(whole::worse(former, Last::NotRun(refusal)));
            }
            Outcome::NotRun | Outcome::Unreachable => {
                let refusal = shared.admission().full_refusal(&call.service, clock::now());
                (Last::NotRun(refusal), true)
            }
            Outcome::Left => (Last::Unknown("caller_left"), false),
            Outcome::Unknown(why) => (Last::Unknown(why), call.kind.repeatable()),
        };
        let last = whole::worse(former, last);
        let left = call.end().since(clock::now());
        if !may_repeat
            || tried.sent >= call.attempts
            || left < LEAST_LEFT
            || (tried.sent > 0 && !shared.may_retry(&call.service))
        {
            return Err(last);
        }
        former = Some(last);
    }
}

/// Passes the header on and starts the task that carries the events.
fn relay<N: Names>(
    shared: &Arc<Shared>,
    names: &N,
    call: &Arc<Call>,
    tried: Tried,
    begun: Begun,
) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(PIECES);
    let mut response = Response::new(Body::Stream(receiver));
    *response.status_mut() = begun.response.status();
    let mut headers: HeaderMap = begun.response.headers().clone();
    answer::strip(&mut headers);
    // Another upstream may go on with other bytes.
    headers.remove(CONTENT_LENGTH);
    *response.headers_mut() = headers;
    let carrier = Carrier {
        shared: Arc::clone(shared),
        names: names.clone(),
        call: Arc::clone(call),
        tried,
        events: Events::after(call.last_event),
        sender: sender.clone(),
    };
    let call = Arc::clone(call);
    tokio::spawn(async move {
        tokio::select! {
            () = sender.closed() => {
                log::info!("event=caller_left id={} route={}", call.id(), call.route);
            }
            () = carry(carrier, begun) => {}
        }
    });
    response
}

/// What the task of one stream works with.
struct Carrier<N> {
    shared: Arc<Shared>,
    names: N,
    call: Arc<Call>,
    tried: Tried,
    events: Events,
    sender: Sender<Result<Bytes, Broken>>,
}

/// How the stream of one upstream ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It is complete.
    Complete,
    /// The upstream broke off.
    Cut,
    /// The time is over.
    Late,
    /// The caller has left.
    Left,
}

async fn carry<N: Names>(mut carrier: Carrier<N>, first: Begun) {
    let mut begun = Some(first);
    let mut end = End::Cut;
    while let Some(current) = begun.take() {
        end = carrier.pass(current).await;
        if end == End::Cut {
            begun = carrier.resume().await;
        }
    }
    let call = &carrier.call;
    let total = clock::now().since(call.arrived);
    if end != End::Complete {
        // Says that the answer is not whole; the connection ends with it.
        drop(carrier.sender.send(Err(Broken)).await);
    }
    carrier.shared.counters.whole.record(total);
    carrier.shared.counters.answered(200);
    log::info!(
        "event=stream_end id={} route={} workspace={} end={end:?} sent={} upstream={} events={} \
         total_ms={} table={}",
        call.id(),
        call.route,
        call.workspace_name.as_deref().unwrap_or("-"),
        carrier.tried.sent,
        carrier.tried.ids.last().map_or("-", |id| id),
        carrier.events.delivered(),
        total.as_millis(),
        call.version,
    );
}

impl<N: Names> Carrier<N> {
    /// Passes the events of one upstream on.
    async fn pass(&mut self, begun: Begun) -> End {
        let Begun {
            response,
            connection,
            keep,
            mut lease,
        } = begun;
        let mut body = response.into_body();
        let mut last_event: Option<Moment> = None;
        loop {
            let left = self.call.end().since(clock::now());
            let frame = match timeout(left, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) if self.events.at_boundary() => {
                    lease.mark(HealthSignal::Success);
                    self.shared.pool.put(&lease.record, connection, keep);
                    return End::Complete;
                }
                Ok(None | Some(Err(_))) => {
                    lease.mark(HealthSignal::Failure);
                    self.shared.pool.forget(&lease.record.id);
                    return End::Cut;
                }
                Err(_) => {
                    lease.mark(HealthSignal::Failure);
                    return End::Late;
                }
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let before = self.events.delivered();
            let first = before == 0;
            let Ok(piece) = self.events.push(&data) else {
                lease.mark(HealthSignal::Failure);
                return End::Cut;
            };
            if piece.is_empty() {
                continue;
            }
            let now = clock::now();
            if self.events.delivered() - before == 1
                && let Some(last) = last_event
            {
                let mut admission = self.shared.admission();
                admission.observe_gap(&self.call.service, now.since(last), now);
            }
            last_event = Some(now);
            if first {
                let time = clock::now().since(self.call.arrived);
                self.shared.counters.first_byte.record(time);
            }
            if self.sender.send(Ok(piece)).await.is_err() {
                return End::Left;
            }
        }
    }

    /// Finds another upstream that goes on after the last whole event.
    async fn resume(&mut self) -> Option<Begun> {
        self.events.cut();
        let call = Arc::clone(&self.call);
        let left = call.end().since(clock::now());
        if !call.kind.repeatable()
            || self.tried.sent >= call.attempts
            || left < LEAST_LEFT
            || !self.shared.may_retry(&call.service)
        {
            return None;
        }
        let last = self.events.last();
        let begun = begin(&self.shared, &self.names, &call, &mut self.tried, last).await;
        match begun {
            Ok(begun) if is_stream(&begun) => {
                self.shared.counters.resumed.fetch_add(1, Ordering::Relaxed);
                log::info!(
                    "event=stream_resumed id={} upstream={} after={}",
                    call.id(),
                    begun.lease.record.id,
                    last.unwrap_or_default(),
                );
                Some(begun)
            }
            Ok(_) => None,
            Err(last) => {
                log::info!("event=stream_not_resumed id={} reason={last:?}", call.id());
                None
            }
        }
    }
}

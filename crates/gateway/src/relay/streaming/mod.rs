//! Calls that are answered with a stream of server-sent events.
//!
//! A task forwards the events, so that the response can continue with the events of
//! another upstream after the header of the first one. The task ends when the caller
//! disconnects.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderMap, Response, StatusCode, Version};
use http_body_util::BodyExt as _;
use sesamerock_base::time::Moment;
use tokio::sync::mpsc::{self, Sender};
use tokio::time::timeout;

use super::Shared;
use super::answer::{self, Backlog, Body, Chunks, Incomplete};
use super::attempt::{self, AttemptLimits, Attempted, Outcome, StartedAnswer};
use super::buffered::{self, CallFailure};
use super::call::Call;
use crate::admit::HealthSignal;
use crate::clock;
use crate::memory::Share;
use crate::names::Names;
use crate::stream::Events;

/// Chunks buffered for a caller that reads slowly.
const BUFFERED_CHUNKS: usize = 256;
/// Bytes buffered for a caller that reads slowly, beyond which the upstream waits.
const MAX_BACKLOG: usize = 256 << 10;
/// Step in which bytes of a stream are counted, so that streams that are read need no lock for each
/// event.
const BACKLOG_STEP: usize = 4 << 10;
/// Memory that the buffers of the HTTP library take beyond those of a stream that is read, while its
/// caller is behind.
const STREAM_BUFFERS: usize = 60 << 10;
/// Shortest time before the deadline in which another attempt is started.
const MIN_TIME_LEFT: Duration = Duration::from_millis(100);

/// Runs a call and returns its response, which may continue as a stream.
pub async fn answer<N: Names>(shared: &Arc<Shared>, names: &N, call: &Arc<Call>) -> Response<Body> {
    let mut attempted = Attempted::default();
    let begun = tokio::select! {
        biased;
        begun = find_upstream(shared, names, call, &mut attempted, call.last_event) => Some(begun),
        () = shared.ending.cancelled() => None,
    };
    let response = match begun {
        Some(Ok(begun)) if is_stream(&begun) => {
            return start_stream(shared, names, call, attempted, begun);
        }
        Some(Ok(begun)) => {
            let collected = tokio::select! {
                biased;
                response = buffered::collect(shared, call, begun) => {
                    response.ok_or(CallFailure::Unknown("cut"))
                }
                () = shared.ending.cancelled() => Err(buffered::stopped(&attempted)),
            };
            collected.unwrap_or_else(|failure| buffered::to_response(None, failure))
        }
        Some(Err(failure)) => buffered::to_response(None, failure),
        None => buffered::to_response(None, buffered::stopped(&attempted)),
    };
    buffered::record_end(shared, call, &attempted, &response);
    response
}

fn is_stream(begun: &StartedAnswer) -> bool {
    let content_type = begun.response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    begun.response.status() == StatusCode::OK
        && content_type.is_some_and(|value| value.starts_with("text/event-stream"))
}

/// Runs attempts until an upstream begins to answer, or returns why none does.
async fn find_upstream<N: Names>(
    shared: &Arc<Shared>,
    names: &N,
    call: &Call,
    attempted: &mut Attempted,
    last_event: Option<u64>,
) -> Result<StartedAnswer, CallFailure> {
    let mut previous = None;
    loop {
        let now = clock::now();
        let in_time_wait = shared
            .admission()
            .longest_wait(&call.service, call.objective, now);
        let latest_start = call.end().min(shared.latest_start(call, now));
        let max_wait = call
            .objective
            .mul_f64(shared.settings.stream_max_wait_objectives);
        let limits = AttemptLimits {
            latest_in_time: (call.arrived + in_time_wait).max(now).min(latest_start),
            latest_start: (call.arrived + max_wait).max(now).min(latest_start),
            abandon_at: call.end(),
            last_event,
        };
        let (failure, may_repeat) = match attempt::run(shared, names, call, attempted, limits).await
        {
            Outcome::Begun(begun) => {
                let server_error = begun.response.status().is_server_error();
                if !server_error || !call.kind.repeatable() || attempted.sent >= call.attempts {
                    return Ok(*begun);
                }
                (CallFailure::Unknown("upstream_failed"), true)
            }
            Outcome::Refused(refusal) => {
                return Err(buffered::more_severe(
                    previous,
                    CallFailure::NotRun(refusal),
                ));
            }
            Outcome::NotRun | Outcome::Unreachable => {
                let refusal = shared.admission().full_refusal(&call.service, clock::now());
                (CallFailure::NotRun(refusal), true)
            }
            Outcome::Left => (CallFailure::Unknown("caller_left"), false),
            Outcome::Unknown(reason) => (CallFailure::Unknown(reason), call.kind.repeatable()),
        };
        let failure = buffered::more_severe(previous, failure);
        let time_left = call.end().since(clock::now());
        if !may_repeat
            || attempted.sent >= call.attempts
            || time_left < MIN_TIME_LEFT
            || (attempted.sent > 0 && !shared.may_retry(&call.service))
        {
            return Err(failure);
        }
        previous = Some(failure);
    }
}

/// Returns the response with the header of the first upstream, and starts the task that
/// forwards the events.
fn start_stream<N: Names>(
    shared: &Arc<Shared>,
    names: &N,
    call: &Arc<Call>,
    attempted: Attempted,
    begun: StartedAnswer,
) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(BUFFERED_CHUNKS);
    let backlog = Arc::new(Backlog::default());
    let mut response = Response::new(Body::Stream(Chunks {
        receiver,
        backlog: Arc::clone(&backlog),
        rest: Bytes::new(),
    }));
    *response.status_mut() = begun.response.status();
    let mut headers: HeaderMap = begun.response.headers().clone();
    answer::strip_hop_by_hop(&mut headers);
    // The length is unknown, as another upstream may continue with different bytes.
    headers.remove(CONTENT_LENGTH);
    *response.headers_mut() = headers;
    let task = StreamTask {
        shared: Arc::clone(shared),
        names: names.clone(),
        call: Arc::clone(call),
        attempted,
        events: Events::after(call.last_event),
        sender: sender.clone(),
        backlog,
        first_event: None,
        longest_gap: Duration::ZERO,
    };
    let call = Arc::clone(call);
    let mut share = shared.memory.share();
    share.hold(&call.caller);
    tokio::spawn(async move {
        let backlog = Arc::clone(&task.backlog);
        tokio::select! {
            () = sender.closed() => {
                log::info!("event=caller_left id={} route={}", call.id(), call.route);
            }
            () = run_stream(task, begun, &mut share) => {}
        }
        // The body ends with its last sender.
        drop(sender);
        drain(&backlog, share).await;
    });
    response
}

/// State of the task that forwards one stream.
struct StreamTask<N> {
    shared: Arc<Shared>,
    names: N,
    call: Arc<Call>,
    attempted: Attempted,
    events: Events,
    sender: Sender<Result<Bytes, Incomplete>>,
    /// Bytes that the caller has not taken.
    backlog: Arc<Backlog>,
    /// Time from the arrival of the call to its first event.
    first_event: Option<Duration>,
    /// Longest time between two chunks of events.
    longest_gap: Duration,
}

/// How the answer of one upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// All events were forwarded.
    Complete,
    /// The answer was truncated, or an event exceeded the size limit.
    Cut,
    /// The deadline of the call passed.
    Late,
    /// The caller disconnected.
    Left,
    /// The process ends.
    Stopped,
}

/// Forwards the answers of all upstreams of a stream, and logs its end.
async fn run_stream<N: Names>(mut task: StreamTask<N>, first: StartedAnswer, share: &mut Share) {
    let ending = task.shared.ending.clone();
    let end = tokio::select! {
        biased;
        end = task.forward_all(first, share) => end,
        () = ending.cancelled() => End::Stopped,
    };
    let call = &task.call;
    let total = clock::now().since(call.arrived);
    if end != End::Complete {
        if call.http < Version::HTTP_11 {
            // Such an answer has no chunks, so that a close would look like its end.
            call.caller.socket().reset_on_close();
        }
        // Marks the response as truncated, which closes the connection to the caller.
        drop(task.sender.send(Err(Incomplete)).await);
    }
    if end == End::Complete {
        let durations = &task.shared.durations;
        durations.record(&call.route, total, clock::now());
    }
    task.shared.counters.last_byte.record(total);
    // The caller has received this status even if the stream ended early.
    task.shared.counters.answered(200);
    log::info!(
        "event=stream_end id={} route={} workspace={} end={end:?} sent={} upstream={} events={} \
         first_ms={} longest_gap_ms={} total_ms={} table={}",
        call.id(),
        call.route,
        call.workspace_name.as_deref().unwrap_or("-"),
        task.attempted.sent,
        task.attempted.ids.last().map_or("-", |id| id),
        task.events.delivered(),
        task.first_event.unwrap_or_default().as_millis(),
        task.longest_gap.as_millis(),
        total.as_millis(),
        call.version,
    );
}

/// Returns the memory for what the caller has not taken. While the caller is behind, the buffers of
/// the connection to the upstream are full too.
fn held(backlog: &Backlog) -> usize {
    let bytes = backlog.bytes();
    if bytes < BACKLOG_STEP {
        0
    } else {
        bytes + STREAM_BUFFERS
    }
}

/// Counts what the caller has not taken until it has, or has left.
async fn drain(backlog: &Backlog, mut share: Share) {
    while backlog.bytes() > 0 {
        if share.set_steps(held(backlog), BACKLOG_STEP).is_err() {
            return;
        }
        backlog.taken.notified().await;
    }
}

impl<N: Names> StreamTask<N> {
    /// Passes events on to the caller. Waits while it holds too many, until the deadline.
    async fn pass_on(&mut self, chunk: Bytes, share: &mut Share) -> Result<(), End> {
        let time_left = self.call.end().since(clock::now());
        let bytes = chunk.len();
        let room = async {
            while self.backlog.bytes() > MAX_BACKLOG {
                self.backlog.taken.notified().await;
            }
            self.sender.reserve().await
        };
        let room = timeout(time_left, room).await;
        let room = room.map_err(|_elapsed| End::Late)?;
        let room = room.map_err(|_closed| End::Left)?;
        self.backlog.add(bytes);
        room.send(Ok(chunk));
        // If it is revoked, the caller is closed.
        let _ = share.set_steps(held(&self.backlog), BACKLOG_STEP);
        Ok(())
    }

    /// Forwards the events of the first upstream, and of those that continue after it.
    async fn forward_all(&mut self, first: StartedAnswer, held: &mut Share) -> End {
        let mut begun = Some(first);
        let mut end = End::Cut;
        while let Some(current) = begun.take() {
            end = self.forward(current, held).await;
            if end == End::Cut {
                begun = self.resume().await;
            }
        }
        end
    }

    /// Forwards the events of one upstream.
    async fn forward(&mut self, begun: StartedAnswer, held: &mut Share) -> End {
        let StartedAnswer {
            response,
            connection,
            keep_alive,
            mut permit,
            mut watch,
            memory: _memory,
        } = begun;
        // Without a length, an empty answer looks like one that broke off.
        let ends_with_connection = answer::ends_with_connection(&response);
        let mut may_end = !ends_with_connection;
        let mut body = response.into_body();
        let mut share = self.shared.memory.share();
        let mut last_event: Option<Moment> = None;
        loop {
            let time_left = self.call.end().since(clock::now());
            let frame = tokio::select! {
                biased;
                () = share.revoked() => None,
                frame = timeout(time_left, body.frame()) => Some(frame),
            };
            let Some(frame) = frame else {
                log::info!("event=answer_cut id={} reason=memory", self.call.id());
                permit.set_signal(HealthSignal::Failure);
                return End::Cut;
            };
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) if may_end && self.events.at_boundary() => {
                    if ends_with_connection {
                        watch.end_with_connection(&permit.record).await;
                    } else {
                        watch.complete(clock::now());
                    }
                    permit.set_signal(HealthSignal::Success);
                    self.shared
                        .keep_connection(&permit.record, connection, keep_alive);
                    return End::Complete;
                }
                Ok(None | Some(Err(_))) => {
                    permit.set_signal(HealthSignal::Failure);
                    watch.end_broken(&permit.record).await;
                    return End::Cut;
                }
                Err(_) => {
                    permit.set_signal(HealthSignal::Failure);
                    return End::Late;
                }
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            may_end |= !data.is_empty();
            let before = self.events.delivered();
            let first = before == 0;
            let Ok(chunk) = self.events.push(&data) else {
                permit.set_signal(HealthSignal::Failure);
                return End::Cut;
            };
            // If it is revoked, the next round ends the stream.
            let _ = share.set_steps(self.events.buffered(), BACKLOG_STEP);
            if chunk.is_empty() {
                continue;
            }
            let now = clock::now();
            if let Some(last) = last_event {
                let gap = now.since(last);
                self.longest_gap = self.longest_gap.max(gap);
                if self.events.delivered() - before == 1 {
                    let mut admission = self.shared.admission();
                    admission.observe_gap(&permit.record, gap, now);
                }
            }
            last_event = Some(now);
            watch.observe_event(now);
            if first {
                let first_event = now.since(self.call.arrived);
                self.first_event = Some(first_event);
                let since_start = now.since(permit.started);
                let mut admission = self.shared.admission();
                admission.observe_first_event(&self.call.service, since_start, now);
                drop(admission);
                self.shared.counters.first_byte.record(first_event);
            }
            if let Err(end) = self.pass_on(chunk, held).await {
                return end;
            }
            if held.settled().await.is_err() {
                // The caller is being closed.
                return End::Left;
            }
        }
    }

    /// Finds another upstream that continues after the last complete event.
    async fn resume(&mut self) -> Option<StartedAnswer> {
        self.events.discard_partial();
        let call = Arc::clone(&self.call);
        let time_left = call.end().since(clock::now());
        if !call.kind.repeatable()
            || self.attempted.sent >= call.attempts
            || time_left < MIN_TIME_LEFT
            || !self.shared.may_retry(&call.service)
        {
            return None;
        }
        let last = self.events.last();
        let begun =
            find_upstream(&self.shared, &self.names, &call, &mut self.attempted, last).await;
        match begun {
            Ok(begun) if is_stream(&begun) => {
                self.shared.counters.resumed.fetch_add(1, Ordering::Relaxed);
                log::info!(
                    "event=stream_resumed id={} upstream={} after={}",
                    call.id(),
                    begun.permit.record.id,
                    last.unwrap_or_default(),
                );
                Some(begun)
            }
            Ok(_) => None,
            Err(failure) => {
                log::info!(
                    "event=stream_not_resumed id={} reason={failure:?}",
                    call.id()
                );
                None
            }
        }
    }
}

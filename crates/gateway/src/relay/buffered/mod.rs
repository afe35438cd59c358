//! Calls with a single, non-streaming answer, which is buffered before it is forwarded.

use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode};
use tokio::time::timeout;

use super::Shared;
use super::answer::{self, Body};
use super::attempt::{self, AttemptLimits, Attempted, Outcome, StartedAnswer};
use super::call::Call;
use crate::admit::{HealthSignal, Reason, Refusal};
use crate::clock;
use crate::memory::{self, ReadError};
use crate::names::Names;
use crate::table::Kind;

/// Largest answer that is buffered.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Shortest time before the deadline in which another attempt is started.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Reason of the answer to a call that still runs when the process ends.
const STOPPED: &str = "stopped";

/// Why the attempts so far have not answered a call successfully.
#[derive(Debug)]
pub enum CallFailure {
    /// The call has not run; the caller may retry.
    NotRun(Refusal),
    /// The call may have run; the value names the cause.
    Unknown(&'static str),
    /// Server error that an upstream answered with.
    Failure(Response<Body>),
}

/// Runs a call and returns its response.
pub async fn answer<N: Names>(shared: &Arc<Shared>, names: &N, call: &Arc<Call>) -> Response<Body> {
    let mut attempted = Attempted::default();
    let answered = tokio::select! {
        biased;
        response = run_attempts(shared, names, call, &mut attempted) => Some(response),
        () = shared.ending.cancelled() => None,
    };
    let response = answered.unwrap_or_else(|| to_response(None, stopped(&attempted)));
    record_end(shared, call, &attempted, &response);
    response
}

/// Returns why a call is not answered at the end of the process.
pub fn stopped(attempted: &Attempted) -> CallFailure {
    if attempted.sent > 0 {
        return CallFailure::Unknown(STOPPED);
    }
    let (reason, after) = (Reason::Leaving, Duration::ZERO);
    CallFailure::NotRun(Refusal { reason, after })
}

async fn run_attempts<N: Names>(
    shared: &Arc<Shared>,
    names: &N,
    call: &Arc<Call>,
    attempted: &mut Attempted,
) -> Response<Body> {
    let settings = &shared.settings;
    let mut worst: Option<CallFailure> = None;
    loop {
        let now = clock::now();
        let objective = call.objective;
        let wait = objective.mul_f64(settings.buffered_wait_objectives);
        let latest_in_time = (now + wait)
            .min(call.end())
            .min(shared.latest_start(call, now));
        let may_try_another = call.kind.repeatable() && attempted.sent + 1 < call.attempts;
        let abandon_at = if may_try_another {
            (now + objective.mul_f64(settings.attempt_timeout_objectives)).min(call.end())
        } else {
            call.end()
        };
        let limits = AttemptLimits {
            latest_in_time,
            latest_start: latest_in_time,
            abandon_at,
            last_event: None,
        };
        let outcome = attempt::run(shared, names, call, attempted, limits).await;
        let (current, may_repeat) = match outcome {
            Outcome::Begun(begun) => match collect(shared, call, *begun).await {
                Some(response) if response.status().is_server_error() => {
                    (CallFailure::Failure(response), call.kind == Kind::Safe)
                }
                Some(response) => return response,
                None => (CallFailure::Unknown("cut"), call.kind.repeatable()),
            },
            Outcome::Refused(refusal) => return to_response(worst, CallFailure::NotRun(refusal)),
            Outcome::NotRun | Outcome::Unreachable => {
                let refusal = shared.admission().full_refusal(&call.service, clock::now());
                (CallFailure::NotRun(refusal), true)
            }
            Outcome::Left => (CallFailure::Unknown("caller_left"), false),
            Outcome::Unknown(reason) => (CallFailure::Unknown(reason), call.kind.repeatable()),
        };
        worst = Some(more_severe(worst, current));
        let time_left = call.end().since(clock::now());
        if !may_repeat
            || attempted.sent >= call.attempts
            || time_left < MIN_TIME_LEFT
            || (attempted.sent > 0 && !shared.may_retry(&call.service))
        {
            let no_attempt = CallFailure::Unknown("no attempt");
            return to_response(None, worst.unwrap_or(no_attempt));
        }
    }
}

/// Returns the result to report for two attempts. An attempt that may have run takes
/// precedence over one that has not, since a refusal guarantees that the call did not
/// run. An answer of the upstream, even one that reports a failure, takes precedence over
/// an unknown result.
pub fn more_severe(previous: Option<CallFailure>, next: CallFailure) -> CallFailure {
    match (previous, next) {
        (Some(previous @ CallFailure::Unknown(_)), CallFailure::NotRun(_))
        | (
            Some(previous @ CallFailure::Failure(_)),
            CallFailure::NotRun(_) | CallFailure::Unknown(_),
        ) => previous,
        (_, next) => next,
    }
}

/// Returns the response to a call that no upstream has answered successfully.
pub fn to_response(previous: Option<CallFailure>, next: CallFailure) -> Response<Body> {
    match more_severe(previous, next) {
        CallFailure::NotRun(refusal) => answer::refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            refusal.reason.as_str(),
            refusal.after,
        ),
        CallFailure::Unknown(reason @ ("silent" | STOPPED)) => {
            answer::local_response(StatusCode::GATEWAY_TIMEOUT, reason)
        }
        CallFailure::Unknown(reason) => answer::local_response(StatusCode::BAD_GATEWAY, reason),
        CallFailure::Failure(response) => response,
    }
}

/// Reads the body of an answer. Returns `None` if it is truncated, too large or late.
pub async fn collect(shared: &Shared, call: &Call, begun: StartedAnswer) -> Option<Response<Body>> {
    let StartedAnswer {
        response,
        connection,
        keep_alive,
        mut permit,
        mut watch,
        memory: _memory,
    } = begun;
    let ends_with_connection = answer::ends_with_connection(&response);
    let (mut parts, body) = response.into_parts();
    let time_left = call.end().since(clock::now());
    let mut share = shared.memory.share();
    let reading = memory::read(body, MAX_ANSWER_BYTES, &mut share);
    let body = match timeout(time_left, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(error @ (ReadError::TooLarge | ReadError::Revoked))) => {
            log::info!("event=answer_cut id={} reason=\"{error}\"", call.id());
            // Memory may be short because of others, which says nothing about the upstream.
            permit.set_signal(if matches!(error, ReadError::Revoked) {
                HealthSignal::Neutral
            } else {
                HealthSignal::Failure
            });
            return None;
        }
        Ok(Err(error)) => {
            log::info!("event=answer_cut id={} reason=\"{error}\"", call.id());
            permit.set_signal(HealthSignal::Failure);
            watch.end_broken(&permit.record).await;
            return None;
        }
        Err(_) => {
            permit.set_signal(HealthSignal::Failure);
            return None;
        }
    };
    if ends_with_connection && body.is_empty() && parts.status.is_success() {
        log::info!(
            "event=answer_cut id={} reason=\"closed after the header\"",
            call.id()
        );
        permit.set_signal(HealthSignal::Failure);
        watch.end_broken(&permit.record).await;
        return None;
    }
    // An error may come before the upstream has read the prompt.
    if ends_with_connection {
        watch.end_with_connection(&permit.record).await;
    } else if parts.status.is_success() {
        watch.complete(clock::now());
    }
    permit.set_signal(if parts.status.is_server_error() {
        HealthSignal::Failure
    } else {
        HealthSignal::Success
    });
    shared.keep_connection(&permit.record, connection, keep_alive);
    answer::strip_hop_by_hop(&mut parts.headers);
    share.hold(&call.caller);
    let body = Body::Held(memory::hold(body, share));
    Some(Response::from_parts(parts, body))
}

/// Logs the end of a call and counts it in the metrics.
pub fn record_end(shared: &Shared, call: &Call, attempted: &Attempted, response: &Response<Body>) {
    let total = clock::now().since(call.arrived);
    let status = response.status().as_u16();
    if response.status().is_success() {
        shared.durations.record(&call.route, total, clock::now());
    }
    shared.counters.answered(status);
    shared.counters.last_byte.record(total);
    log::info!(
        "event=call_end id={} route={} workspace={} status={status} sent={} upstream={} \
         total_ms={} table={}",
        call.id(),
        call.route,
        call.workspace_name.as_deref().unwrap_or("-"),
        attempted.sent,
        attempted.ids.last().map_or("-", |id| id),
        total.as_millis(),
        call.version,
    );
}

//! Calls with one whole answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use tokio::time::timeout;

use super::Shared;
use super::answer::{self, Body};
use super::attempt::{self, Begun, Outcome, Terms, Tried};
use super::call::Call;
use crate::admit::{HealthSignal, Refusal};
use crate::clock;
use crate::names::Names;
use crate::table::Kind;

/// Largest answer that is kept until it is whole.
const ANSWER_BYTES: usize = 16 << 20;
/// Least time for another attempt.
const LEAST_LEFT: Duration = Duration::from_millis(20);

/// What a call has come to so far.
#[derive(Debug)]
pub enum Last {
    /// Nothing was sent, or nothing ran; the caller may come back.
    NotRun(Refusal),
    /// It may have run.
    Unknown(&'static str),
    /// An upstream's own failure.
    Failure(Response<Body>),
}

/// Answers a call.
pub async fn answer<N: Names>(shared: &Arc<Shared>, names: &N, call: &Arc<Call>) -> Response<Body> {
    let mut tried = Tried::default();
    let response = attempts(shared, names, call, &mut tried).await;
    finish(shared, call, &tried, &response);
    response
}

async fn attempts<N: Names>(
    shared: &Arc<Shared>,
    names: &N,
    call: &Arc<Call>,
    tried: &mut Tried,
) -> Response<Body> {
    let settings = &shared.settings;
    let mut last: Option<Last> = None;
    loop {
        let now = clock::now();
        let objective = call.objective;
        let latest = (now + objective.mul_f64(settings.plain_patience)).min(call.end());
        let another = call.kind.repeatable() && tried.sent + 1 < call.attempts;
        let give_up = if another {
            (now + objective.mul_f64(settings.attempt_objectives)).min(call.end())
        } else {
            call.end()
        };
        let terms = Terms {
            latest,
            last: latest,
            give_up,
            last_event: None,
        };
        let outcome = attempt::run(shared, names, call, tried, terms).await;
        let (next, may_repeat) = match outcome {
            Outcome::Begun(begun) => match collect(shared, call, *begun).await {
                Some(response) if response.status().is_server_error() => {
                    (Last::Failure(response), call.kind == Kind::Safe)
                }
                Some(response) => return response,
                None => (Last::Unknown("cut"), call.kind.repeatable()),
            },
            Outcome::Refused(refusal) => return conclude(last, Last::NotRun(refusal)),
            Outcome::NotRun | Outcome::Unreachable => {
                let refusal = shared.admission().full_refusal(&call.service, clock::now());
                (Last::NotRun(refusal), true)
            }
            Outcome::Left => (Last::Unknown("caller_left"), false),
            Outcome::Unknown(why) => (Last::Unknown(why), call.kind.repeatable()),
        };
        last = Some(worse(last, next));
        let left = call.end().since(clock::now());
        if !may_repeat
            || tried.sent >= call.attempts
            || left < LEAST_LEFT
            || (tried.sent > 0 && !shared.may_retry(&call.service))
        {
            let none = Last::Unknown("no attempt");
            return conclude(None, last.unwrap_or(none));
        }
    }
}

/// Returns what counts of two attempts: what may have run goes before what has not,
/// since a refusal is a promise.
pub fn worse(former: Option<Last>, next: Last) -> Last {
    match (former, next) {
        (Some(former @ Last::Unknown(_)), Last::NotRun(_))
        | (Some(former @ Last::Failure(_)), Last::NotRun(_) | Last::Unknown(_)) => former,
        (_, next) => next,
    }
}

/// Makes the final answer of a call that no upstream has served.
pub fn conclude(former: Option<Last>, next: Last) -> Response<Body> {
    match worse(former, next) {
        Last::NotRun(refusal) => answer::refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            refusal.reason.as_str(),
            refusal.after,
        ),
        Last::Unknown("silent") => answer::local_response(StatusCode::GATEWAY_TIMEOUT, "silent"),
        Last::Unknown(why) => answer::local_response(StatusCode::BAD_GATEWAY, why),
        Last::Failure(response) => response,
    }
}

/// Reads the body of an answer. Returns `None` if it is not whole.
pub async fn collect(shared: &Shared, call: &Call, begun: Begun) -> Option<Response<Body>> {
    let Begun {
        response,
        connection,
        keep,
        mut lease,
    } = begun;
    let (mut parts, body) = response.into_parts();
    let left = call.end().since(clock::now());
    let body = match timeout(left, Limited::new(body, ANSWER_BYTES).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            log::info!("event=answer_cut id={} reason=\"{error}\"", call.id());
            lease.mark(HealthSignal::Failure);
            return None;
        }
        Err(_) => {
            lease.mark(HealthSignal::Failure);
            return None;
        }
    };
    lease.mark(if parts.status.is_server_error() {
        HealthSignal::Failure
    } else {
        HealthSignal::Success
    });
    shared.pool.put(&lease.record, connection, keep);
    answer::strip(&mut parts.headers);
    Some(Response::from_parts(parts, whole(body)))
}

fn whole(body: Bytes) -> Body {
    Body::Whole(Full::new(body))
}

/// Logs and counts the end of a call.
pub fn finish(shared: &Shared, call: &Call, tried: &Tried, response: &Response<Body>) {
    let total = clock::now().since(call.arrived);
    let status = response.status().as_u16();
    shared.counters.answered(status);
    shared.counters.whole.record(total);
    log::info!(
        "event=call_end id={} route={} workspace={} status={status} sent={} upstream={} \
         total_ms={} table={}",
        call.id(),
        call.route,
        call.workspace_name.as_deref().unwrap_or("-"),
        tried.sent,
        tried.ids.last().map_or("-", |id| id),
        total.as_millis(),
        call.version,
    );
}

//! Streamed answers, which continue at another upstream if one fails.

use bytes::Bytes;
use http::Response;
use sesamerock_client::http::body::{Body, Chunk};
use sesamerock_retry::attempt::Phase;
use sesamerock_retry::resume::{Interruption, Origin, Pieces, PushResult, Settings, Stream};
use sesamerock_wire::relay::down;
use tokio::sync::mpsc;

use super::attempt::OpenAttempt;
use super::buffered::response;
use super::failure::Failure;
use super::{Next, Run, next_attempt};
use crate::clock;
use crate::problem::Problem;

/// The caller has disconnected.
struct CallerDisconnected;

/// Result of one attempt.
enum AttemptEnd {
    /// The whole answer was sent to the caller.
    Complete,
    /// The attempt failed before the end of the answer.
    Failed(Failure),
}

/// Creates the response; a separate task forwards the stream.
pub(super) fn respond(run: Run, open: OpenAttempt) -> Response<Body> {
    let (sender, body) = Body::stream();
    let answer = response(open.status(), open.headers(), body, &run.request.id);
    let tasks = run.context.tasks.clone();
    tasks.spawn(async move {
        let id = run.request.id.clone();
        if relay_stream(run, open, &sender).await.is_err() {
            log::info!("event=caller_gone request={id}");
        }
    });
    answer
}

/// Forwards the stream to the caller, resuming it with further attempts after
/// failures.
async fn relay_stream(
    mut run: Run,
    mut open: OpenAttempt,
    sender: &mpsc::Sender<Chunk>,
) -> Result<(), CallerDisconnected> {
    let mut stream = Stream::new(open.attempt, Settings::default());
    loop {
        let attempt = open.attempt;
        let failure = match relay_attempt(&mut run, &mut stream, open, sender).await? {
            AttemptEnd::Complete => return Ok(()),
            AttemptEnd::Failed(failure) => failure,
        };
        let resume_point = match stream.interrupt(attempt) {
            Interruption::Complete(rest) => {
                log::info!(
                    "event=stream_completed request={} attempt={attempt}",
                    run.request.id
                );
                return deliver(sender, rest).await;
            }
            Interruption::Resume(resume_point) => resume_point,
            Interruption::Unresumable(_) | Interruption::Superseded => {
                let phase = Phase::Streaming { resumable: false };
                let next = run.decide_next(&failure, phase).await;
                return abort_stream(&run, next, sender).await;
            }
        };
        open = match resume(&mut run, failure, &mut stream, resume_point).await {
            Ok(open) => open,
            Err(problem) => return abort_stream(&run, Next::Fail(problem), sender).await,
        };
    }
}

/// Makes attempts until one continues the stream at another upstream.
async fn resume(
    run: &mut Run,
    mut failure: Failure,
    stream: &mut Stream,
    resume_point: sesamerock_retry::resume::ResumePoint,
) -> Result<OpenAttempt, Problem> {
    loop {
        let phase = Phase::Streaming { resumable: true };
        match run.decide_next(&failure, phase).await {
            Next::Fail(problem) => return Err(problem),
            Next::Retry => {}
        }
        let attempt = next_attempt();
        match run.attempt_from(attempt, Some(resume_point.clone())).await {
            Ok(open) if open.status() == http::StatusCode::OK => {
                if !stream.begin(attempt, Origin::Continues) {
                    let detail = "the stream cannot be continued".to_owned();
                    return Err(Problem::unknown(detail));
                }
                log::info!(
                    "event=stream_resumed request={} attempt={attempt} upstream={} tokens={}",
                    run.request.id,
                    open.in_flight.target.name,
                    resume_point.tokens
                );
                return Ok(open);
            }
            Ok(open) => {
                let detail = format!("the upstream answered {}", open.reply.status);
                failure = open.in_flight.fail(detail);
            }
            Err(other) => failure = other,
        }
    }
}

/// Forwards the part of the stream that one attempt delivers.
async fn relay_attempt(
    run: &mut Run,
    stream: &mut Stream,
    mut open: OpenAttempt,
    sender: &mpsc::Sender<Chunk>,
) -> Result<AttemptEnd, CallerDisconnected> {
    let attempt = open.attempt;
    loop {
        let remaining = run.request.remaining();
        let next = tokio::select! {
            next = tokio::time::timeout(remaining, open.call.next()) => next,
            () = sender.closed() => return Err(CallerDisconnected),
        };
        let frame = match next {
            Ok(Ok(Some(frame))) => frame,
            Ok(Ok(None)) => {
                return Ok(AttemptEnd::Failed(
                    open.in_flight.fail("the agent ended the call".to_owned()),
                ));
            }
            Ok(Err(detail)) => return Ok(AttemptEnd::Failed(open.in_flight.agent_lost(detail))),
            Err(_) => {
                return Ok(AttemptEnd::Failed(
                    open.in_flight.fail("the deadline passed".to_owned()),
                ));
            }
        };
        match frame {
            down::Kind::Body(piece) => match stream.push(attempt, &piece) {
                PushResult::Deliver(pieces) | PushResult::Done(pieces) => {
                    deliver_all(sender, pieces).await?;
                }
                PushResult::Superseded => {}
                PushResult::Fault(fault) => {
                    let detail = format!("the stream is malformed: {fault:?}");
                    return Ok(AttemptEnd::Failed(open.in_flight.fail(detail)));
                }
            },
            down::Kind::Tail(tail) => {
                return Ok(match open.in_flight.finish(&tail) {
                    Ok(()) if stream.is_done() => {
                        run.context.budget().record_success(clock::now());
                        log::info!(
                            "event=answered request={} attempt={attempt} upstream={} status=200 events={}",
                            run.request.id,
                            open.in_flight.target.name,
                            stream.events()
                        );
                        AttemptEnd::Complete
                    }
                    Ok(()) => {
                        let detail = "the stream ended without its closing mark".to_owned();
                        AttemptEnd::Failed(open.in_flight.fail(detail))
                    }
                    Err(failure) => AttemptEnd::Failed(failure),
                });
            }
            _ => {}
        }
    }
}

async fn deliver_all(
    sender: &mpsc::Sender<Chunk>,
    pieces: Pieces,
) -> Result<(), CallerDisconnected> {
    for piece in pieces {
        deliver(sender, piece).await?;
    }
    Ok(())
}

async fn deliver(sender: &mpsc::Sender<Chunk>, piece: Bytes) -> Result<(), CallerDisconnected> {
    if piece.is_empty() {
        return Ok(());
    }
    sender
        .send(Chunk::Data(piece))
        .await
        .map_err(|_error| CallerDisconnected)
}

/// Ends the stream early with an error event and a reset, so that the answer
/// does not look complete.
async fn abort_stream(
    run: &Run,
    next: Next,
    sender: &mpsc::Sender<Chunk>,
) -> Result<(), CallerDisconnected> {
    let detail = match next {
        Next::Fail(problem) => problem.detail,
        Next::Retry => "the stream cannot be continued".to_owned(),
    };
    log::warn!(
        "event=stream_broken request={} detail={detail:?}",
        run.request.id
    );
    let event = serde_json::json!({
        "error": { "message": detail, "type": "stream-broken", "executed": "yes" }
    });
    deliver(sender, Bytes::from(format!("data: {event}\n\n"))).await?;
    sender
        .send(Chunk::Abort)
        .await
        .map_err(|_error| CallerDisconnected)
}

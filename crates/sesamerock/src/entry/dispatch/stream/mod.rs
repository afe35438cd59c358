//! Answers that are streamed, and go on at another upstream if one fails.

use bytes::Bytes;
use http::Response;
use sesamerock_client::http::body::{Body, Chunk};
use sesamerock_retry::attempt::Phase;
use sesamerock_retry::resume::{Interruption, Origin, Pieces, PushResult, Settings, Stream};
use sesamerock_wire::relay::down;
use tokio::sync::mpsc;

use super::attempt::Open;
use super::failure::Failure;
use super::whole::response;
use super::{Next, Run, next_attempt};
use crate::clock;
use crate::problem::Problem;

/// The caller has gone.
struct Gone;

/// How one attempt ended.
enum End {
    /// The caller has the whole answer.
    Whole,
    /// The attempt failed.
    Failed(Failure),
}

/// Starts the answer; a task of its own passes the stream on.
pub(super) fn respond(run: Run, open: Open) -> Response<Body> {
    let (sender, body) = Body::stream();
    let answer = response(open.status(), open.headers(), body, &run.ask.id);
    let tasks = run.context.tasks.clone();
    tasks.spawn(async move {
        let id = run.ask.id.clone();
        if pump(run, open, &sender).await.is_err() {
            log::info!("event=caller_gone request={id}");
        }
    });
    answer
}

/// Passes the stream on, over as many attempts as it takes.
async fn pump(mut run: Run, mut open: Open, sender: &mpsc::Sender<Chunk>) -> Result<(), Gone> {
    let mut stream = Stream::new(open.attempt, Settings::default());
    loop {
        let attempt = open.attempt;
        let failure = match pass(&mut run, &mut stream, open, sender).await? {
            End::Whole => return Ok(()),
            End::Failed(failure) => failure,
        };
        let point = match stream.interrupt(attempt) {
            Interruption::Complete(rest) => {
                log::info!(
                    "event=stream_completed request={} attempt={attempt}",
                    run.ask.id
                );
                return deliver(sender, rest).await;
            }
            Interruption::Resume(point) => point,
            Interruption::Unresumable(_) | Interruption::Superseded => {
                let phase = Phase::Streaming { resumable: false };
                let next = run.after(&failure, phase).await;
                return give_up(&run, next, sender).await;
            }
        };
        open = match resume(&mut run, failure, &mut stream, point).await {
            Ok(open) => open,
            Err(problem) => return give_up(&run, Next::Fail(problem), sender).await,
        };
    }
}

/// Finds another upstream to go on with the stream.
async fn resume(
    run: &mut Run,
    mut failure: Failure,
    stream: &mut Stream,
    point: sesamerock_retry::resume::ResumePoint,
) -> Result<Open, Problem> {
    loop {
        let phase = Phase::Streaming { resumable: true };
        match run.after(&failure, phase).await {
            Next::Fail(problem) => return Err(problem),
            Next::Again => {}
        }
        let attempt = next_attempt();
        match run.attempt_from(attempt, Some(point.clone())).await {
            Ok(open) if open.status() == http::StatusCode::OK => {
                if !stream.begin(attempt, Origin::Continues) {
                    let detail = "the stream cannot be continued".to_owned();
                    return Err(Problem::unknown(detail));
                }
                log::info!(
                    "event=stream_resumed request={} attempt={attempt} upstream={} tokens={}",
                    run.ask.id,
                    open.flight.target.name,
                    point.tokens
                );
                return Ok(open);
            }
            Ok(open) => {
                let detail = format!("the upstream answered {}", open.reply.status);
                failure = open.flight.broken(detail);
            }
            Err(other) => failure = other,
        }
    }
}

/// Passes one attempt's part of the stream on.
async fn pass(
    run: &mut Run,
    stream: &mut Stream,
    mut open: Open,
    sender: &mpsc::Sender<Chunk>,
) -> Result<End, Gone> {
    let attempt = open.attempt;
    loop {
        let left = run.ask.remaining();
        let next = tokio::select! {
            next = tokio::time::timeout(left, open.call.next()) => next,
            () = sender.closed() => return Err(Gone),
        };
        let frame = match next {
            Ok(Ok(Some(frame))) => frame,
            Ok(Ok(None)) => {
                return Ok(End::Failed(
                    open.flight.broken("the agent ended the call".to_owned()),
                ));
            }
            Ok(Err(detail)) => return Ok(End::Failed(open.flight.lost(detail))),
            Err(_) => {
                return Ok(End::Failed(
                    open.flight.broken("the deadline passed".to_owned()),
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
                    return Ok(End::Failed(open.flight.broken(detail)));
                }
            },
            down::Kind::Tail(tail) => {
                return Ok(match open.flight.ended(&tail) {
                    Ok(()) if stream.is_done() => {
                        run.context.budget().record_success(clock::now());
                        log::info!(
                            "event=answered request={} attempt={attempt} upstream={} status=200 events={}",
                            run.ask.id,
                            open.flight.target.name,
                            stream.events()
                        );
                        End::Whole
                    }
                    Ok(()) => {
                        let detail = "the stream ended without its closing mark".to_owned();
                        End::Failed(open.flight.broken(detail))
                    }
                    Err(failure) => End::Failed(failure),
                });
            }
            _ => {}
        }
    }
}

async fn deliver_all(sender: &mpsc::Sender<Chunk>, pieces: Pieces) -> Result<(), Gone> {
    for piece in pieces {
        deliver(sender, piece).await?;
    }
    Ok(())
}

async fn deliver(sender: &mpsc::Sender<Chunk>, piece: Bytes) -> Result<(), Gone> {
    if piece.is_empty() {
        return Ok(());
    }
    sender.send(Chunk::Data(piece)).await.map_err(|_error| Gone)
}

/// Tells the caller that the stream ends early: an error event, then a reset,
/// so that the answer does not look complete.
async fn give_up(run: &Run, next: Next, sender: &mpsc::Sender<Chunk>) -> Result<(), Gone> {
    let detail = match next {
        Next::Fail(problem) => problem.detail,
        Next::Again => "the stream cannot be continued".to_owned(),
    };
    log::warn!(
        "event=stream_broken request={} detail={detail:?}",
        run.ask.id
    );
    let event = serde_json::json!({
        "error": { "message": detail, "type": "stream-broken", "executed": "yes" }
    });
    deliver(sender, Bytes::from(format!("data: {event}\n\n"))).await?;
    sender.send(Chunk::Abort).await.map_err(|_error| Gone)
}

//! Handles one call in the agent: checks, admission, execution and answer.

pub(super) mod forward;

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use sesamerock_client::engine::Engine;
use sesamerock_wire::relay::refusal::Reason;
use sesamerock_wire::relay::{Down, Head, Ready, Refusal, Refused, Up, down, up};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tonic::{Status, Streaming};

use super::gate::Permit;
use super::in_flight::Verdict;
use super::probe::Observation;
use super::{Context, keyed};
use crate::clock;
use crate::settings::Kind;

/// Own step time of a rank as a percentage of the group's step time from which
/// the other ranks are taken to wait for this one.
const SLOWEST_RANK_PERCENT: u64 = 90;

/// Sends frames of the answer to the entry.
pub(super) type Sender = mpsc::Sender<Result<Down, Status>>;

/// The entry closed the stream, so nothing reads the answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Disconnected;

/// Sends one frame to the entry.
///
/// # Errors
/// Fails if the entry closed the stream.
pub(super) async fn send(sender: &Sender, kind: down::Kind) -> Result<(), Disconnected> {
    sender
        .send(Ok(Down { kind: Some(kind) }))
        .await
        .map_err(|_error| Disconnected)
}

/// Runs one call and sends its outcome to the entry, unless the entry closes the
/// stream first.
pub(super) async fn run<E: Engine>(
    context: &Arc<Context<E>>,
    mut frames: Streaming<Up>,
    sender: &Sender,
) {
    let Ok(Some(Up {
        kind: Some(up::Kind::Head(head)),
    })) = frames.message().await
    else {
        return;
    };
    // Held until the call has ended, since a model is unloaded only after that.
    let _call_guard = context.rollout.start_call();
    let outcome = tokio::select! {
        outcome = process(context, &head, &mut frames, sender) => outcome,
        // Dropping the future of `process` also cancels the call at the engine.
        () = sender.closed() => Err(EarlyEnd::Disconnected),
    };
    match outcome {
        Ok(()) => {}
        Err(EarlyEnd::Disconnected) => {
            log::info!(
                "event=call_cancelled request={} attempt={} upstream={}",
                head.request_id,
                head.attempt,
                head.upstream
            );
        }
        Err(EarlyEnd::Refused(refusal)) => refuse(context, &head, refusal, sender).await,
    }
}

/// Why a call ended without an outcome from the upstream.
#[derive(Debug)]
pub(super) enum EarlyEnd {
    /// The entry closed the stream.
    Disconnected,
    /// The call was not run and will not be run by this agent.
    Refused(Refusal),
}

impl From<Disconnected> for EarlyEnd {
    fn from(_: Disconnected) -> Self {
        Self::Disconnected
    }
}

/// Creates a refusal without a time after which to retry.
pub(super) fn refusal(reason: Reason, detail: impl Into<String>) -> Refusal {
    Refusal {
        reason: reason.into(),
        retry_after_ms: 0,
        detail: detail.into(),
    }
}

async fn refuse<E>(context: &Context<E>, head: &Head, refusal: Refusal, sender: &Sender) {
    log::info!(
        "event=call_refused request={} attempt={} upstream={} workspace={} reason={:?} executed=no detail={:?}",
        head.request_id,
        head.attempt,
        head.upstream,
        head.workspace,
        refusal.reason(),
        refusal.detail
    );
    context.metrics.refusals.add(1, &[]);
    let report = context.report(&head.entry);
    let refused = Refused {
        refusal: Some(refusal),
        report: Some(report),
    };
    if send(sender, down::Kind::Refused(refused)).await.is_err() {
        log::debug!("event=refusal_unread request={}", head.request_id);
    }
}

async fn process<E: Engine>(
    context: &Arc<Context<E>>,
    head: &Head,
    frames: &mut Streaming<Up>,
    sender: &Sender,
) -> Result<(), EarlyEnd> {
    let deadline = Instant::now() + Duration::from_millis(head.timeout_ms);
    check(context, head)?;
    if !head.idempotency_key.is_empty() && !head.repeatable {
        // The log may take long to decide, and a call that waits for it must not
        // hold a slot at the upstream, so the gate admits the call after that.
        let body = receive_body(context, head, frames, deadline, sender).await?;
        return keyed::run(context, head, body, deadline, sender).await;
    }
    let permit = admit(context, head, deadline).await?;
    let body = receive_body(context, head, frames, deadline, sender).await?;
    forward::run(context, head, body, permit, deadline, sender).await
}

/// Waits for admission by the gate, and repeats the checks of the call after it.
pub(super) async fn admit<E>(
    context: &Context<E>,
    head: &Head,
    deadline: Instant,
) -> Result<Permit, EarlyEnd> {
    let permit = tokio::select! {
        admitted = context.gate.admit(head, deadline) => admitted.map_err(EarlyEnd::Refused)?,
        // A queued call has not started, so it may go to an upstream that is not
        // stalled.
        () = context.stalled.wait_until_stalled(), if head.elsewhere => return Err(EarlyEnd::Refused(stalled_refusal())),
    };
    // The state may have changed while the call was queued. The ceilings are left
    // out, since the call itself counts towards the load by now.
    let without_ceilings = Head {
        ceiling_percent: 0,
        ceiling_step_us: 0,
        ..head.clone()
    };
    check(context, &without_ceilings)?;
    log::info!(
        "event=call_admitted request={} attempt={} upstream={} workspace={} waited_us={} in_flight={}",
        head.request_id,
        head.attempt,
        head.upstream,
        head.workspace,
        clock::now().since(permit.offered()).as_micros(),
        permit.in_flight()
    );
    Ok(permit)
}

/// Reads the body, after asking the entry for it if the entry waits for that.
async fn receive_body<E>(
    context: &Context<E>,
    head: &Head,
    frames: &mut Streaming<Up>,
    deadline: Instant,
    sender: &Sender,
) -> Result<Bytes, EarlyEnd> {
    if head.await_ready {
        send(sender, down::Kind::Ready(Ready {})).await?;
    }
    match tokio::time::timeout_at(deadline, read_body(context, head, frames)).await {
        Ok(body) => body,
        Err(_) => Err(EarlyEnd::Refused(refusal(
            Reason::Deadline,
            "the body did not arrive",
        ))),
    }
}

/// Returns the refusal of a call that must not start here, whatever the load, or
/// whose ceiling on load or step time this upstream exceeds, or that should go
/// elsewhere while the group is stalled.
fn check<E>(context: &Context<E>, head: &Head) -> Result<(), EarlyEnd> {
    let reject = |reason, detail: &str| Err(EarlyEnd::Refused(refusal(reason, detail)));
    if head.upstream != context.settings.upstream.name {
        return reject(Reason::WrongUpstream, "this agent serves another upstream");
    }
    let view = context.control.view();
    if view.leaving() {
        return reject(Reason::Leaving, view.why_leaving());
    }
    if !view.in_contact() {
        return reject(
            Reason::OutOfContact,
            "no contact with the log or another zone",
        );
    }
    if context.probe.incarnation() == 0 {
        return reject(
            Reason::UpstreamUnreachable,
            "the upstream has not reported yet",
        );
    }
    if !model_loaded(context, head) {
        return reject(
            Reason::ModelNotLoaded,
            "the engine has not loaded the model",
        );
    }
    if head.elsewhere && context.stalled.get() {
        return Err(EarlyEnd::Refused(stalled_refusal()));
    }
    if over_step_ceiling(context, head) {
        return reject(
            Reason::OverCeiling,
            "the group waits for this rank, and the sender knows faster ones",
        );
    }
    if over_load_ceiling(context, head) {
        return reject(
            Reason::OverCeiling,
            "the sender knows upstreams with less load",
        );
    }
    match context.in_flight_calls.check(head) {
        Verdict::Allowed => Ok(()),
        verdict => Err(EarlyEnd::Refused(suspect_refusal(verdict))),
    }
}

/// Returns whether the load is above the ceiling, as a percentage of the limit,
/// above which the sender prefers another upstream.
fn over_load_ceiling<E>(context: &Context<E>, head: &Head) -> bool {
    if head.ceiling_percent == 0 {
        return false;
    }
    let snapshot = context.gate.snapshot();
    let load = u64::from(snapshot.in_flight.calls + snapshot.queued.calls) * 100;
    load > u64::from(snapshot.limit.calls) * u64::from(head.ceiling_percent)
}

/// Returns whether the group waits for this rank, and its own step time is above
/// the ceiling above which the sender prefers another rank.
///
/// A rank without calls still takes part in the steps of its group, so its own
/// step time shows whether it is still slow. The refusal carries this time back
/// to the sender.
fn over_step_ceiling<E>(context: &Context<E>, head: &Head) -> bool {
    let Observation::Alive(load) = context.probe.observation() else {
        return false;
    };
    let is_slowest =
        u64::from(load.own_step_us) * 100 >= u64::from(load.step_us) * SLOWEST_RANK_PERCENT;
    let exceeds_ceiling = head.ceiling_step_us > 0 && load.own_step_us > head.ceiling_step_us;
    exceeds_ceiling && is_slowest
}

/// Creates the refusal of a call that would wait for a stalled group.
fn stalled_refusal() -> Refusal {
    refusal(
        Reason::GroupStalled,
        "the group does not step, and the sender knows another upstream",
    )
}

/// Returns whether the engine reports the model of a call as loaded and does not
/// unload it; always true for a plain service, which loads no models.
fn model_loaded<E>(context: &Context<E>, head: &Head) -> bool {
    if context.settings.upstream.kind == Kind::Service {
        return true;
    }
    let Observation::Alive(load) = context.probe.observation() else {
        return false;
    };
    if context.rollout.refuses_calls(&head.model) {
        return false;
    }
    load.models.iter().any(|loaded| {
        loaded
            .split_once('@')
            .is_some_and(|(name, _)| name == head.model)
    })
}

/// Creates the refusal of a call that may not start because of crash suspects.
fn suspect_refusal(verdict: Verdict) -> Refusal {
    match verdict {
        Verdict::Confirmed => refusal(Reason::Convicted, "the request crashed two upstreams"),
        Verdict::Allowed => refusal(
            Reason::Suspect,
            "another crash suspect runs on this upstream",
        ),
        Verdict::Busy(millis) => Refusal {
            retry_after_ms: millis,
            ..refusal(
                Reason::Suspect,
                "a crash suspect must wait or run elsewhere",
            )
        },
    }
}

/// Reads the whole body. A call with an incomplete body is never run.
async fn read_body<E>(
    context: &Context<E>,
    head: &Head,
    frames: &mut Streaming<Up>,
) -> Result<Bytes, EarlyEnd> {
    let expected = usize::try_from(head.body_bytes).unwrap_or(usize::MAX);
    if expected > context.settings.body_bytes {
        return Err(EarlyEnd::Refused(refusal(
            Reason::Overloaded,
            "the body is too long",
        )));
    }
    let mut body = BytesMut::new();
    while body.len() < expected {
        match frames.message().await {
            Ok(Some(Up {
                kind: Some(up::Kind::Body(chunk)),
            })) => {
                if body.is_empty() && chunk.len() == expected {
                    return Ok(chunk);
                }
                body.extend_from_slice(&chunk);
            }
            _ => return Err(EarlyEnd::Disconnected),
        }
    }
    Ok(body.freeze())
}

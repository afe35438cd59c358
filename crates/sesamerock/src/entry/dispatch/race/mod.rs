//! Hedged requests: look-ups that are sent to a second upstream if the first is
//! slow.
//!
//! Both attempts run in the caller's task, so that the first answer drops the
//! other attempt: its stream to the agent is reset, the agent drops the call to
//! its upstream, and [`super::attempt`] removes its load from the routing
//! table. If the caller disconnects, both are dropped. See
//! `docs/notes/hedging.md`.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use http::{Method, Response};
use sesamerock_base::time::Moment;
use sesamerock_client::http::body::Body;
use sesamerock_retry::hedge::race::{End, Race, Verdict};
use sesamerock_retry::hedge::{self, Decision};

use super::attempt::{OpenAttempt, Prepared};
use super::buffered::{self, Collected};
use super::failure::Failure;
use super::{Run, next_attempt};
use crate::clock;
use crate::entry::request::Target;
use crate::entry::table;

/// Read-only methods (RFC 9110, section 9.2.1). PUT and DELETE may be repeated
/// after a failure but not sent twice at the same time: the later copy could
/// overwrite what another caller wrote after the earlier copy was answered.
const LOOKUP_METHODS: [Method; 3] = [Method::GET, Method::HEAD, Method::OPTIONS];

/// An attempt with its buffered answer.
#[derive(Debug)]
struct Answer {
    open: OpenAttempt,
    content: Collected,
}

/// Result and duration of an attempt that has ended.
#[derive(Debug)]
struct FinishedAttempt {
    attempt: u64,
    took: Duration,
    result: Result<Answer, Failure>,
}

impl FinishedAttempt {
    fn end(&self) -> End {
        match &self.result {
            Ok(answer) if answer.open.status().is_server_error() => End::Error,
            Ok(_) => End::Complete,
            Err(_) => End::Failed,
        }
    }
}

/// The first attempt, with what the decision on a second one depends on.
#[derive(Debug)]
struct FirstAttempt {
    attempt: u64,
    target: table::Target,
    sent: Moment,
}

/// Decision on the second attempt after a pause without an answer.
#[derive(Debug)]
enum HedgeStep {
    /// No second attempt is sent; the first one continues.
    Alone,
    /// The first attempt is not slow yet; decide again after this time.
    Wait(Duration),
    /// Send this second attempt.
    Send(Box<Prepared>),
}

/// Result of a race.
#[derive(Debug)]
struct RaceResult {
    /// Whether a second attempt was sent.
    hedged: bool,
    /// The answer and the time it took, or the failures of all attempts, that
    /// of the first attempt last.
    result: Result<(Answer, Duration), Vec<Failure>>,
}

/// Returns whether a call may be sent to two upstreams at the same time, as far
/// as that is known before an upstream is chosen.
pub(super) fn may_hedge(run: &Run) -> bool {
    let settings = &run.context.settings.hedge;
    settings.enabled
        && run.repeatable
        && matches!(run.request.target, Target::Service { .. })
        && LOOKUP_METHODS.contains(&run.request.method)
        && run.request.key.is_none()
        && run.request.body.len() <= settings.body_bytes
        && !run.isolated()
}

/// Makes an attempt, and a second one if the first is slow, and returns the
/// first answer.
///
/// # Errors
/// Returns the failure of the first attempt if no attempt succeeded.
pub(super) async fn respond(run: &mut Run) -> Result<Response<Body>, Failure> {
    let first = run.prepare(next_attempt()).await?;
    // Choosing the upstream may have made the call not repeatable by the
    // release notes, and the list of suspects may have changed since the first
    // check.
    if !may_hedge(run) {
        let open = run.begin(first).await?;
        return buffered::respond(run, open).await;
    }
    let RaceResult { hedged, result } = run_race(run, first).await;
    run.hedged |= hedged;
    match result {
        Ok((answer, took)) => Ok(deliver(run, answer, took)),
        Err(mut failures) => {
            let last = failures.pop();
            for failure in &failures {
                run.record_failure(failure);
            }
            Err(last.unwrap_or_else(|| Failure::refused("no-answer", "no attempt was made")))
        }
    }
}

/// Creates the response for the caller and records the latency of a complete
/// answer.
fn deliver(run: &Run, answer: Answer, took: Duration) -> Response<Body> {
    let complete = matches!(answer.content, Collected::Complete(_));
    if complete && !answer.open.status().is_server_error() {
        let mut latencies = run.context.latencies();
        latencies.observe(run.pool(), took, clock::now());
    }
    buffered::deliver(run, answer.open, answer.content)
}

/// Runs the attempts of a race until one wins or all have failed.
async fn run_race(run: &Run, prepared: Prepared) -> RaceResult {
    let first = FirstAttempt {
        attempt: prepared.attempt,
        target: prepared.in_flight.target.clone(),
        sent: clock::now(),
    };
    let mut race = Race::new(first.attempt);
    let mut running = FuturesUnordered::new();
    running.push(fetch(run, prepared));
    let mut next = None;
    let mut hedged = false;
    let mut pause = run.hedge_pause(&first);
    while let Some(delay) = pause.take() {
        if let Ok(ended) = tokio::time::timeout(delay, running.next()).await {
            next = ended;
            break;
        }
        match run.hedge(&first) {
            HedgeStep::Alone => {}
            HedgeStep::Wait(remaining) => pause = Some(remaining),
            HedgeStep::Send(second) => {
                hedged = true;
                race.join(second.attempt);
                running.push(fetch(run, *second));
            }
        }
    }
    let mut fallback = None;
    let mut failures = Vec::new();
    let result = loop {
        let ended = match next.take() {
            Some(ended) => Some(ended),
            None => running.next().await,
        };
        let Some(ended) = ended else {
            break Err(failures);
        };
        let first_pending = race.running().any(|attempt| attempt == first.attempt);
        let verdict = race.ended(ended.attempt, ended.end());
        if first_pending && verdict == Verdict::Deliver && ended.attempt != first.attempt {
            run.context.table().record_overtaken(&first.target);
        }
        if hedged {
            run.log_end(&first, &ended, verdict);
        }
        match (verdict, ended.result) {
            (Verdict::Deliver, Ok(answer)) => break Ok((answer, ended.took)),
            (Verdict::Wait, Ok(answer)) => fallback = Some((answer, ended.took)),
            (Verdict::Fallback(_), Err(failure)) => {
                break fallback.ok_or_else(|| vec![failure]);
            }
            (_, Err(failure)) if ended.attempt == first.attempt => failures.push(failure),
            (_, Err(failure)) => failures.insert(0, failure),
            (_, Ok(_)) => {}
        }
    };
    RaceResult { hedged, result }
}

/// Sends an attempt and buffers its answer.
async fn fetch(run: &Run, prepared: Prepared) -> FinishedAttempt {
    let attempt = prepared.attempt;
    let started = clock::now();
    let result = async {
        let mut open = run.begin(prepared).await?;
        let content = buffered::collect(run, &mut open).await?;
        Ok(Answer { open, content })
    };
    let result = result.await;
    FinishedAttempt {
        attempt,
        took: clock::now().since(started),
        result,
    }
}

impl Run {
    fn hedge_call(&self, first: &FirstAttempt) -> hedge::Call {
        hedge::Call {
            lookup: true,
            sent: first.sent,
            deadline: self.deadline,
            hedged: self.hedged,
        }
    }

    fn p95(&self) -> Option<Duration> {
        self.context.latencies().p95(self.pool())
    }

    /// Returns the time until a second attempt is due, if one is allowed.
    fn hedge_pause(&self, first: &FirstAttempt) -> Option<Duration> {
        let settings = self.context.settings.hedge.bounds();
        let due = hedge::due(&self.hedge_call(first), self.p95(), &settings).ok()?;
        Some(due.since(clock::now()))
    }

    /// Decides whether to send a second attempt beside the first one, and
    /// prepares it.
    fn hedge(&self, first: &FirstAttempt) -> HedgeStep {
        let context = &self.context;
        let now = clock::now();
        if self.isolated() {
            // An upstream has crashed while running a copy of this call since
            // it was sent.
            self.log_hedge(first, "-", "Suspect", now);
            return HedgeStep::Alone;
        }
        let call = self.hedge_call(first);
        let settings = context.settings.hedge.bounds();
        let p95 = self.p95();
        let decision = hedge::decide(&call, p95, &mut context.budget(), now, &settings);
        let prepared = match decision {
            Decision::Now => self.prepare_hedge(next_attempt(), first.target.choice.upstream),
            // The service has become slower since the pause began, so that the
            // first attempt is not slow by its present latencies.
            Decision::Wait(remaining) => return HedgeStep::Wait(remaining),
            Decision::Never(reason) => {
                self.log_hedge(first, "-", &format!("{reason:?}"), now);
                return HedgeStep::Alone;
            }
        };
        match prepared {
            Ok(second) => {
                context.metrics.hedges.add(1, &[]);
                let name = Arc::clone(&second.in_flight.target.name);
                self.log_hedge(first, &name, "Sent", now);
                HedgeStep::Send(Box::new(second))
            }
            Err(cause) => {
                context.budget().refund(now);
                self.log_hedge(first, "-", &format!("NoRoom({cause})"), now);
                HedgeStep::Alone
            }
        }
    }

    fn log_hedge(&self, first: &FirstAttempt, second: &str, decision: &str, now: Moment) {
        log::info!(
            "event=hedge_decision request={} attempt={} service={} upstream={} waited_us={} decision={decision} second={second}",
            self.request.id,
            first.attempt,
            self.pool(),
            first.target.name,
            now.since(first.sent).as_micros(),
        );
    }

    /// Logs the result of an attempt in a race of two.
    fn log_end(&self, first: &FirstAttempt, ended: &FinishedAttempt, verdict: Verdict) {
        let won = verdict == Verdict::Deliver;
        let second = ended.attempt != first.attempt;
        if won && second {
            self.context.metrics.hedges_won.add(1, &[]);
        }
        let detail = match &ended.result {
            Ok(answer) => format!("status {}", answer.open.status().as_u16()),
            Err(failure) => format!("{}: {}", failure.kind, failure.detail),
        };
        log::info!(
            "event=hedge_ended request={} attempt={} second={second} verdict={verdict:?} took_us={} detail={detail:?}",
            self.request.id,
            ended.attempt,
            ended.took.as_micros(),
        );
    }
}

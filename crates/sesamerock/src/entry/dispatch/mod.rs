//! Dispatch of one request: routes it, sends it to an agent, and retries it
//! where that is safe.
//!
//! The rules for retries are in [`sesamerock_retry::attempt`]; this module
//! applies them to the outcomes that the relay reports.

mod attempt;
mod buffered;
mod failure;
mod head;
mod keys;
mod race;
mod stream;
mod wait;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::{Response, StatusCode};
use sesamerock_base::key::Upstream;
use sesamerock_base::time::Moment;
use sesamerock_client::engine::prompt::Prompt;
use sesamerock_client::http::body::Body;
use sesamerock_ledger::id::Key;
use sesamerock_ledger::issued::issuer;
use sesamerock_retry::attempt::{Attempt, Decision, Executed, Phase, Settings, decide};
use sesamerock_retry::suspect::Verdict;

use super::Context;
use super::request::{CallRequest, Target};
use crate::clock;
use crate::problem::{self, Problem};
use crate::suspects::{fingerprint, stamp};
use failure::{Failure, Remedy};
use wait::Wait;

pub(super) use keys::issue;

/// Maximum number of blocks of a prompt that are compared with upstreams'
/// caches.
const MAX_PROMPT_BLOCKS: usize = 256;

/// A request in progress, with the results of its attempts so far.
#[derive(Debug)]
struct Run {
    context: Arc<Context>,
    /// Counts the request as in flight until the end of its answer is handed
    /// over.
    in_flight_guard: Arc<InFlightGuard>,
    request: CallRequest,
    /// Whether the call may be executed more than once.
    repeatable: bool,
    /// Hashes of the blocks of the prompt; empty for a plain service.
    prefix: Vec<u64>,
    /// Upstreams where earlier attempts failed.
    excluded: Vec<Upstream>,
    /// Upstreams whose agents redirected the current attempt to another
    /// upstream.
    redirected: Vec<Upstream>,
    /// Attempts made, without those that were redirected or refused for lack of
    /// capacity.
    attempts: u32,
    /// Refusals for lack of capacity, from which the next pause is computed.
    refusals: u32,
    /// Time of the last crash of an upstream while it ran this call.
    crashed_at: Option<Moment>,
    /// Whether a hedged attempt was sent; there is at most one per request.
    hedged: bool,
    /// Whether one of the earlier attempts was executed.
    earlier_executed: Executed,
    deadline: Moment,
    /// Name of the upstream that issued the idempotency key, which must run the
    /// call.
    key_issuer: Option<String>,
}

/// Answer of a successful attempt.
#[derive(Debug)]
enum AttemptAnswer {
    /// The response for the caller.
    Answer(Response<Body>),
    /// A stream of events whose head has arrived.
    Stream(Box<attempt::OpenAttempt>),
}

/// Next step after a failed attempt.
#[derive(Debug)]
enum Next {
    /// Make another attempt.
    Retry,
    /// Give up and return this problem to the caller.
    Fail(Problem),
}

/// Dispatches a request and returns the response for the caller.
pub(super) async fn run(context: Arc<Context>, request: CallRequest) -> Response<Body> {
    let id = request.id.clone();
    let response = match Run::new(Arc::clone(&context), request) {
        Ok(run) => run.respond().await,
        Err(problem) => {
            log::info!(
                "event=request_refused request={id} kind={} executed=no detail={:?}",
                problem.kind,
                problem.detail
            );
            problem.respond(&id)
        }
    };
    context.metrics.requests.add(1, &[]);
    response
}

/// Counts a request as in flight until the guard is dropped.
#[derive(Debug)]
struct InFlightGuard(Arc<Context>);

impl InFlightGuard {
    fn new(context: Arc<Context>) -> Self {
        context.metrics.in_flight.add(1, &[]);
        Self(context)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.metrics.in_flight.add(-1, &[]);
    }
}

impl Run {
    fn new(context: Arc<Context>, request: CallRequest) -> Result<Self, Problem> {
        if !context.control.view().in_contact() {
            let detail = "this entry has no contact with the log or another zone";
            return Err(unavailable(
                "out-of-contact",
                detail,
                Some(Duration::from_secs(1)),
            ));
        }
        let findings = context.suspects.findings();
        if findings.verdict(fingerprint(&request.fingerprint)) == Verdict::Confirmed {
            let detail = "the request crashed two upstreams and is refused";
            return Err(Problem::refused(
                StatusCode::UNPROCESSABLE_ENTITY,
                "convicted",
                detail,
            ));
        }
        let prefix = match &request.target {
            Target::Model { .. } => Prompt::parse(&request.body)
                .map_or_else(Vec::new, |prompt| prompt.block_hashes(MAX_PROMPT_BLOCKS)),
            Target::Service { .. } => Vec::new(),
        };
        let key_issuer = match (&request.target, &request.key) {
            (Target::Service { .. }, Some(key)) => issuer(key).map(str::to_owned),
            _ => None,
        };
        Ok(Self {
            repeatable: head::repeatable(&request),
            deadline: clock::now() + request.remaining(),
            prefix,
            excluded: Vec::new(),
            redirected: Vec::new(),
            attempts: 0,
            refusals: 0,
            crashed_at: None,
            hedged: false,
            earlier_executed: Executed::No,
            key_issuer,
            in_flight_guard: Arc::new(InFlightGuard::new(Arc::clone(&context))),
            context,
            request,
        })
    }

    /// Makes attempts until one succeeds or no other is allowed.
    async fn respond(mut self) -> Response<Body> {
        let id = self.request.id.clone();
        loop {
            let failure = match self.attempt_once().await {
                Ok(AttemptAnswer::Answer(response)) => return response,
                Ok(AttemptAnswer::Stream(open)) => return stream::respond(self, *open),
                Err(failure) => failure,
            };
            match self.decide_next(&failure, Phase::Undelivered).await {
                Next::Retry => {}
                Next::Fail(problem) => {
                    log::info!(
                        "event=request_failed request={id} status={} kind={} executed={} detail={:?}",
                        problem.status.as_u16(),
                        problem.kind,
                        problem.executed.as_str(),
                        problem.detail
                    );
                    return problem.respond(&id);
                }
            }
        }
    }

    /// Makes one attempt, with a hedged one beside it where the call allows
    /// that.
    async fn attempt_once(&mut self) -> Result<AttemptAnswer, Failure> {
        if race::may_hedge(self) {
            return race::respond(self).await.map(AttemptAnswer::Answer);
        }
        let open = self.attempt().await?;
        if self.is_streamed(&open) {
            return Ok(AttemptAnswer::Stream(Box::new(open)));
        }
        buffered::respond(self, open)
            .await
            .map(AttemptAnswer::Answer)
    }

    fn is_streamed(&self, open: &attempt::OpenAttempt) -> bool {
        let streamed = matches!(self.request.target, Target::Model { streamed: true, .. });
        streamed && open.status() == StatusCode::OK
    }

    /// Records the failure of one of two concurrent attempts.
    fn record_failure(&mut self, failure: &Failure) {
        if failure.sent {
            self.earlier_executed = self.earlier_executed.max(failure.executed);
        }
        if failure.remedy == Remedy::Isolation {
            self.crashed_at = Some(clock::now());
        }
        self.excluded.extend(failure.upstream);
    }

    /// Decides on the next step after a failed attempt, and waits for the pause
    /// that the decision requires.
    async fn decide_next(&mut self, failure: &Failure, phase: Phase) -> Next {
        let attempt = Attempt {
            phase: if failure.remedy == Remedy::Redirect && phase == Phase::Undelivered {
                Phase::OverCeiling
            } else {
                phase
            },
            executed: failure.executed,
            earlier_executed: self.earlier_executed,
            repeatable: self.repeatable,
            keyed: self.keyed(),
            sent: failure.sent,
            deadline: self.deadline,
            attempts: self.attempts,
            retry_after: failure.retry_after,
        };
        let settings = Settings {
            max_attempts: self.context.settings.attempts,
            ..Settings::default()
        };
        let now = clock::now();
        if failure.remedy == Remedy::Isolation {
            self.crashed_at = Some(clock::now());
        }
        let jitter = rand::random();
        if (failure.remedy, phase) == (Remedy::None, Phase::Undelivered) {
            return Next::Fail(failure.problem(self.earlier_executed.max(failure.executed)));
        }
        if failure.remedy == Remedy::WaitForCapacity {
            match self.wait(failure).await {
                Wait::Elapsed => return Next::Retry,
                Wait::TooManyWaiting | Wait::DeadlineTooClose => {}
            }
        }
        let decision = decide(&attempt, &mut self.context.budget(), now, jitter, &settings);
        if failure.sent {
            self.earlier_executed = self.earlier_executed.max(failure.executed);
        }
        if failure.remedy == Remedy::Redirect {
            self.redirected.extend(failure.upstream);
        } else {
            // Earlier redirections do not apply to the next attempt.
            self.redirected.clear();
            self.excluded.extend(failure.upstream);
        }
        log::info!(
            "event=attempt_failed request={} attempt={} upstream={} executed={:?} kind={} decision={decision:?} detail={:?}",
            self.request.id,
            self.attempts,
            failure.upstream.map_or_else(
                || "-".to_owned(),
                |upstream| { self.context.table().name(upstream).to_owned() }
            ),
            failure.executed,
            failure.kind,
            failure.detail
        );
        match decision {
            Decision::Retry { .. } if failure.remedy == Remedy::Redirect => {
                // No upstream began the call, so it does not count as an
                // attempt.
                self.attempts -= 1;
                Next::Retry
            }
            Decision::Retry { after } => {
                self.context.metrics.retries.add(1, &[]);
                tokio::time::sleep(after).await;
                Next::Retry
            }
            Decision::Resume => {
                self.context.metrics.resumes.add(1, &[]);
                Next::Retry
            }
            Decision::Fail { executed, .. } => Next::Fail(failure.problem(executed)),
        }
    }

    /// Returns whether the ledger decides whether this call is executed.
    fn keyed(&self) -> bool {
        self.request.key.is_some() && !self.repeatable
    }

    /// Returns the key of this call in the ledger, if the ledger decides about
    /// it.
    fn ledger_key(&self) -> Option<Key> {
        let (Target::Service { name }, Some(key)) = (&self.request.target, &self.request.key)
        else {
            return None;
        };
        self.keyed()
            .then(|| Key::new(&self.request.workspace, name, key))
    }

    /// Returns whether the call is suspected of crashing an upstream and must
    /// run apart from other suspects.
    fn isolated(&self) -> bool {
        if self.crashed_at.is_some() {
            return true;
        }
        let findings = self.context.suspects.findings();
        findings.verdict(fingerprint(&self.request.fingerprint)) == Verdict::Suspect
    }

    /// Waits until a suspected call may run on some upstream. Returns at once if
    /// that is not before the deadline of the call.
    async fn wait_for_hold(&self) {
        let recorded = {
            let findings = self.context.suspects.findings();
            findings.hold(fingerprint(&self.request.fingerprint), stamp())
        };
        // This entry learns of the crash from its own call, before it receives
        // the agent's record.
        let propagation_delay = sesamerock_retry::suspect::Settings::default().propagation_delay;
        let own_hold = self.crashed_at.map_or(Duration::ZERO, |at| {
            propagation_delay.saturating_sub(clock::now().since(at))
        });
        let hold = recorded.max(own_hold);
        let remaining = self.request.remaining();
        if !hold.is_zero() && hold < remaining {
            tokio::time::sleep(hold).await;
        }
    }
}

/// Creates the problem for a call that cannot be served at present.
fn unavailable(
    kind: &'static str,
    detail: impl Into<String>,
    retry_after: Option<Duration>,
) -> Problem {
    Problem {
        retry_after,
        ..Problem::refused(StatusCode::SERVICE_UNAVAILABLE, kind, detail)
    }
}

/// Returns the next attempt id, unique within this process.
fn next_attempt() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Converts the retry rules' value to the one that responses contain.
fn problem_executed(executed: Executed) -> problem::Executed {
    match executed {
        Executed::No => problem::Executed::No,
        Executed::Unknown => problem::Executed::Unknown,
        Executed::Yes => problem::Executed::Yes,
    }
}

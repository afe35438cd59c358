//! Runs one request: routes it, sends it, and tries again where that is safe.
//!
//! The rules of what may be tried again are in [`sesamerock_retry::attempt`];
//! this module applies them to what the relay reports.

mod attempt;
mod failure;
mod head;
mod mint;
mod race;
mod stream;
mod wait;
mod whole;

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
use super::ask::{Ask, Target};
use crate::clock;
use crate::problem::{self, Problem};
use crate::suspects::{fingerprint, stamp};
use failure::{Failure, Remedy};
use wait::Wait;

pub(super) use mint::issue;

/// Most blocks of a prompt that are compared.
const BLOCKS: usize = 256;

/// A request on its way, with what its attempts have shown so far.
#[derive(Debug)]
struct Run {
    context: Arc<Context>,
    /// Counts the request until the last of its answer is handed over.
    present: Arc<Present>,
    ask: Ask,
    /// Whether the call may run more than once.
    repeatable: bool,
    prefix: Vec<u64>,
    excluded: Vec<Upstream>,
    /// Upstreams whose agents sent the present attempt elsewhere.
    bounced: Vec<Upstream>,
    made: u32,
    refusals: u32,
    /// When an upstream died under this call.
    crashed: Option<Moment>,
    /// Whether a second attempt was sent beside one; there is one at most.
    hedged: bool,
    earlier: Executed,
    deadline: Moment,
    minted: Option<String>,
}

/// What an attempt brought.
#[derive(Debug)]
enum Reached {
    /// The answer for the caller.
    Answer(Response<Body>),
    /// The head of a stream.
    Stream(Box<attempt::Open>),
}

/// What follows a failed attempt.
#[derive(Debug)]
enum Next {
    /// Another attempt.
    Again,
    /// The failure to tell the caller.
    Fail(Problem),
}

/// Runs a request and returns the answer for the caller.
pub(super) async fn run(context: Arc<Context>, ask: Ask) -> Response<Body> {
    let id = ask.id.clone();
    let response = match Run::new(Arc::clone(&context), ask) {
        Ok(run) => run.finish().await,
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

/// Counts a request as present until it is dropped.
#[derive(Debug)]
struct Present(Arc<Context>);

impl Present {
    fn new(context: Arc<Context>) -> Self {
        context.metrics.in_flight.add(1, &[]);
        Self(context)
    }
}

impl Drop for Present {
    fn drop(&mut self) {
        self.0.metrics.in_flight.add(-1, &[]);
    }
}

impl Run {
    fn new(context: Arc<Context>, ask: Ask) -> Result<Self, Problem> {
        if !context.control.view().in_contact() {
            let detail = "this entry has no contact with the log or another zone";
            return Err(unavailable(
                "out-of-contact",
                detail,
                Some(Duration::from_secs(1)),
            ));
        }
        let findings = context.suspects.findings();
        if findings.verdict(fingerprint(&ask.fingerprint)) == Verdict::Confirmed {
            let detail = "the request crashed two upstreams and is refused";
            return Err(Problem::refused(
                StatusCode::UNPROCESSABLE_ENTITY,
                "convicted",
                detail,
            ));
        }
        let prefix = match &ask.target {
            Target::Model { .. } => {
                Prompt::parse(&ask.body).map_or_else(Vec::new, |prompt| prompt.block_hashes(BLOCKS))
            }
            Target::Service { .. } => Vec::new(),
        };
        let minted = match (&ask.target, &ask.key) {
            (Target::Service { .. }, Some(key)) => issuer(key).map(str::to_owned),
            _ => None,
        };
        Ok(Self {
            repeatable: head::repeatable(&ask),
            deadline: clock::now() + ask.remaining(),
            prefix,
            excluded: Vec::new(),
            bounced: Vec::new(),
            made: 0,
            refusals: 0,
            crashed: None,
            hedged: false,
            earlier: Executed::No,
            minted,
            present: Arc::new(Present::new(Arc::clone(&context))),
            context,
            ask,
        })
    }

    /// Makes attempts until one brings an answer or no other is allowed.
    async fn finish(mut self) -> Response<Body> {
        let id = self.ask.id.clone();
        loop {
            let failure = match self.once().await {
                Ok(Reached::Answer(response)) => return response,
                Ok(Reached::Stream(open)) => return stream::respond(self, *open),
                Err(failure) => failure,
            };
            match self.after(&failure, Phase::Undelivered).await {
                Next::Again => {}
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

    /// Makes one attempt, or a race of two.
    async fn once(&mut self) -> Result<Reached, Failure> {
        if race::suits(self) {
            return race::respond(self).await.map(Reached::Answer);
        }
        let open = self.attempt().await?;
        if self.streams(&open) {
            return Ok(Reached::Stream(Box::new(open)));
        }
        whole::respond(self, open).await.map(Reached::Answer)
    }

    fn streams(&self, open: &attempt::Open) -> bool {
        let streamed = matches!(self.ask.target, Target::Model { streamed: true, .. });
        streamed && open.status() == StatusCode::OK
    }

    /// Takes in the failure of an attempt that ran beside another one.
    fn note(&mut self, failure: &Failure) {
        if failure.sent {
            self.earlier = self.earlier.max(failure.executed);
        }
        if failure.remedy == Remedy::Isolation {
            self.crashed = Some(clock::now());
        }
        self.excluded.extend(failure.upstream);
    }

    /// Decides what follows a failed attempt, and waits where it says so.
    async fn after(&mut self, failure: &Failure, phase: Phase) -> Next {
        let attempt = Attempt {
            phase: if failure.remedy == Remedy::Elsewhere && phase == Phase::Undelivered {
                Phase::OverCeiling
            } else {
                phase
            },
            executed: failure.executed,
            earlier_executed: self.earlier,
            repeatable: self.repeatable,
            keyed: self.keyed(),
            sent: failure.sent,
            deadline: self.deadline,
            attempts: self.made,
            retry_after: failure.retry_after,
        };
        let settings = Settings {
            max_attempts: self.context.settings.attempts,
            ..Settings::default()
        };
        let now = clock::now();
        if failure.remedy == Remedy::Isolation {
            self.crashed = Some(clock::now());
        }
        let jitter = rand::random();
        if (failure.remedy, phase) == (Remedy::None, Phase::Undelivered) {
            return Next::Fail(failure.problem(self.earlier.max(failure.executed)));
        }
        if failure.remedy == Remedy::Room {
            match self.wait(failure).await {
                Wait::Over => return Next::Again,
                Wait::Full | Wait::Late => {}
            }
        }
        let decision = decide(&attempt, &mut self.context.budget(), now, jitter, &settings);
        if failure.sent {
            self.earlier = self.earlier.max(failure.executed);
        }
        if failure.remedy == Remedy::Elsewhere {
            self.bounced.extend(failure.upstream);
        } else {
            // A ceiling says nothing about the next attempt.
            self.bounced.clear();
            self.excluded.extend(failure.upstream);
        }
        log::info!(
            "event=attempt_failed request={} attempt={} upstream={} executed={:?} kind={} decision={decision:?} detail={:?}",
            self.ask.id,
            self.made,
            failure.upstream.map_or_else(
                || "-".to_owned(),
                |upstream| { self.context.table().name(upstream).to_owned() }
            ),
            failure.executed,
            failure.kind,
            failure.detail
        );
        match decision {
            Decision::Retry { .. } if failure.remedy == Remedy::Elsewhere => {
                // It was no attempt: no upstream began it.
                self.made -= 1;
                Next::Again
            }
            Decision::Retry { after } => {
                self.context.metrics.retries.add(1, &[]);
                tokio::time::sleep(after).await;
                Next::Again
            }
            Decision::Resume => {
                self.context.metrics.resumes.add(1, &[]);
                Next::Again
            }
            Decision::Fail { executed, .. } => Next::Fail(failure.problem(executed)),
        }
    }

    /// Returns whether the ledger decides about this call.
    fn keyed(&self) -> bool {
        self.ask.key.is_some() && !self.repeatable
    }

    /// Returns the ledger's key, if the log decides about this call.
    fn ledger_key(&self) -> Option<Key> {
        let (Target::Service { name }, Some(key)) = (&self.ask.target, &self.ask.key) else {
            return None;
        };
        self.keyed()
            .then(|| Key::new(&self.ask.workspace, name, key))
    }

    fn isolated(&self) -> bool {
        if self.crashed.is_some() {
            return true;
        }
        let findings = self.context.suspects.findings();
        findings.verdict(fingerprint(&self.ask.fingerprint)) == Verdict::Suspect
    }

    /// Waits while a suspect must not run anywhere.
    async fn hold(&self) {
        let known = {
            let findings = self.context.suspects.findings();
            findings.hold(fingerprint(&self.ask.fingerprint), stamp())
        };
        // This entry learns of the crash by its own call before the record of
        // the agent has reached it.
        let share = sesamerock_retry::suspect::Settings::default().propagation_delay;
        let own = self.crashed.map_or(Duration::ZERO, |at| {
            share.saturating_sub(clock::now().since(at))
        });
        let hold = known.max(own);
        let left = self.ask.remaining();
        if !hold.is_zero() && hold < left {
            tokio::time::sleep(hold).await;
        }
    }
}

/// Makes the problem of a call that nothing can serve now.
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

/// Returns what a caller is told.
fn told(executed: Executed) -> problem::Executed {
    match executed {
        Executed::No => problem::Executed::No,
        Executed::Unknown => problem::Executed::Unknown,
        Executed::Yes => problem::Executed::Yes,
    }
}

//! One attempt: choice of the upstream, and the way to its answer's head.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use sesamerock_retry::attempt::Executed;
use sesamerock_retry::resume::Point;
use sesamerock_route::choice::{Cause, Loser, Refusal};
use sesamerock_route::pick::Outcome;
use sesamerock_wire::relay::refusal::Reason;
use sesamerock_wire::relay::{Refused, Reply, Tail, down, tail};

use super::failure::{Failure, Remedy, relay_failure};
use super::{Run, next_attempt, unavailable};
use crate::entry::Context;
use crate::entry::ask::Target as Asked;
use crate::entry::relay::Call;
use crate::entry::table::{Table, Target, Wish};
use crate::problem::Problem;

/// Time after which a caller may ask again while the log does not answer.
const LEDGER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An attempt whose answer has begun.
#[derive(Debug)]
pub(super) struct Open {
    pub(super) attempt: u64,
    pub(super) call: Call,
    pub(super) reply: Reply,
    pub(super) flight: Flight,
}

/// An attempt that counts as in flight in the routing table until it is
/// dropped.
#[derive(Debug)]
pub(super) struct Flight {
    pub(super) target: Target,
    context: Arc<Context>,
    observed: AtomicBool,
}

impl Open {
    /// Returns the status of the answer.
    pub(super) fn status(&self) -> StatusCode {
        u16::try_from(self.reply.status)
            .ok()
            .and_then(|status| StatusCode::from_u16(status).ok())
            .unwrap_or(StatusCode::BAD_GATEWAY)
    }

    /// Returns the header fields of the answer.
    pub(super) fn headers(&self) -> HeaderMap {
        self.reply
            .headers
            .iter()
            .filter_map(|header| {
                let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
                let value = HeaderValue::from_bytes(&header.value).ok()?;
                Some((name, value))
            })
            .collect()
    }
}

impl Flight {
    fn new(target: Target, context: Arc<Context>) -> Self {
        Self {
            target,
            context,
            observed: AtomicBool::new(false),
        }
    }

    /// Tells the table how the call began. The first statement counts: the
    /// table takes the prompt of a call for waiting until there is one.
    fn observe(&self, table: &mut Table, outcome: Outcome) {
        if !self.observed.swap(true, Ordering::Relaxed) {
            table.observed(&self.target, outcome);
        }
    }

    /// Makes the failure of an attempt whose answer broke off.
    pub(super) fn broken(&self, detail: String) -> Failure {
        self.observe(&mut self.context.table(), Outcome::Failed);
        Failure {
            kind: "upstream-failed",
            detail,
            status: StatusCode::BAD_GATEWAY,
            executed: Executed::Unknown,
            sent: true,
            retry_after: None,
            upstream: Some(self.target.choice.upstream),
            remedy: Remedy::Retry,
        }
    }

    /// Makes the failure of an attempt whose agent was lost.
    pub(super) fn lost(&self, detail: String) -> Failure {
        self.context.table().unanswered(&self.target);
        self.broken(detail)
    }

    /// Takes in the end of an attempt; returns its failure if the answer is not
    /// whole.
    pub(super) fn ended(&self, tail: &Tail) -> Result<(), Failure> {
        if let Some(report) = &tail.report {
            self.context.table().report(&self.target, report);
        }
        if tail.complete {
            return Ok(());
        }
        if tail.crashed {
            self.context.table().restarted(&self.target);
        }
        let executed = match tail.executed() {
            tail::Executed::Yes => Executed::Yes,
            tail::Executed::No => Executed::No,
            tail::Executed::Unknown | tail::Executed::Unspecified => Executed::Unknown,
        };
        Err(Failure {
            executed,
            remedy: if tail.crashed {
                Remedy::Isolation
            } else {
                Remedy::Retry
            },
            ..self.broken(tail.detail.clone())
        })
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut table = self.context.table();
        self.observe(&mut table, Outcome::Neutral);
        table.finished(&self.target);
    }
}

impl Run {
    /// Makes one attempt, up to the head of the answer.
    pub(super) async fn attempt(&mut self) -> Result<Open, Failure> {
        self.attempt_from(next_attempt(), None).await
    }

    /// Makes one attempt that continues a stream where it broke off.
    pub(super) async fn attempt_from(
        &mut self,
        attempt: u64,
        point: Option<Point>,
    ) -> Result<Open, Failure> {
        self.hold().await;
        if self.ask.remaining().is_zero() {
            // Nothing has been sent, so this attempt leaves nothing unknown.
            return Err(Failure {
                status: StatusCode::GATEWAY_TIMEOUT,
                remedy: Remedy::None,
                retry_after: None,
                ..Failure::refused("deadline", "the deadline passed before the call was sent")
            });
        }
        self.made += 1;
        let target = self.choose(attempt)?;
        // What the release notes forbid to repeat is known once the upstream
        // is; a call is never made repeatable again.
        self.repeatable &= !target.not_repeatable;
        let mut head = self.head(attempt, &target);
        if let Some(point) = point {
            head.delivered_tokens = point.tokens;
            head.delivered_text = point.text;
        }
        let flight = Flight::new(target, Arc::clone(&self.context));
        let left = self.ask.remaining();
        match tokio::time::timeout(left, self.open(attempt, head, flight)).await {
            Ok(opened) => opened,
            Err(_) => Err(Failure {
                kind: "deadline",
                status: StatusCode::GATEWAY_TIMEOUT,
                executed: Executed::Unknown,
                sent: true,
                ..Failure::refused("deadline", "the deadline passed before an answer came")
            }),
        }
    }

    /// Makes the failure of a request that no upstream can take now.
    fn unroutable(&mut self, refusal: &Refusal) -> Failure {
        let detail = format!("no upstream can take the request: {}", refusal.cause);
        let failure = Failure::refused("no-upstream", detail);
        match refusal.cause {
            Cause::Unserved => Failure {
                kind: "unknown-target",
                status: StatusCode::NOT_FOUND,
                retry_after: None,
                remedy: Remedy::None,
                ..failure
            },
            Cause::Excluded => {
                // Each was tried once; the next attempt may try them again.
                self.excluded.clear();
                self.bounced.clear();
                Failure {
                    remedy: Remedy::Room,
                    ..failure
                }
            }
            _ => Failure {
                retry_after: refusal.retry_after,
                remedy: Remedy::Room,
                ..failure
            },
        }
    }

    fn choose(&mut self, attempt: u64) -> Result<Target, Failure> {
        let excluded: Vec<_> = self.excluded.iter().chain(&self.bounced).copied().collect();
        let wish = Wish {
            pool: self.pool(),
            service: matches!(self.ask.target, Asked::Service { .. }),
            workspace: &self.ask.workspace,
            tokens: self.ask.tokens,
            urgency: self.ask.urgency,
            prefix: &self.prefix,
            excluded: if self.keyed() { &[] } else { &excluded },
            isolated: self.isolated(),
            once: !self.repeatable && !self.keyed(),
            key: self.ledger_key(),
            method: self.ask.method.as_str(),
            path: self.ask.path.path(),
        };
        let mut table = self.context.table();
        if let Some(name) = &self.minted {
            return table.named(name, &wish).ok_or_else(|| Failure {
                executed: Executed::Unknown,
                sent: true,
                ..Failure::refused(
                    "key-holder-gone",
                    "the upstream that issued the key is gone",
                )
            });
        }
        match table.choose(&wish) {
            Ok(target) => {
                log::info!(
                    "event=routed request={} attempt={attempt} workspace={} pool={} upstream={} group={} rank={} reason={} expected_us={} matched={} losers={}",
                    self.ask.id,
                    self.ask.workspace,
                    wish.pool,
                    target.name,
                    target.group.as_deref().unwrap_or("-"),
                    target.rank(),
                    target.choice.reason,
                    target.choice.expected.as_micros(),
                    target.choice.matched,
                    losers(&table, &target.choice.losers)
                );
                Ok(target)
            }
            Err(refusal) => {
                log::info!(
                    "event=not_routed request={} attempt={attempt} workspace={} pool={} cause={} losers={}",
                    self.ask.id,
                    self.ask.workspace,
                    wish.pool,
                    refusal.cause,
                    losers(&table, &refusal.losers)
                );
                drop(table);
                Err(self.unroutable(&refusal))
            }
        }
    }

    /// Sends the call and waits for the head of the answer.
    async fn open(
        &self,
        attempt: u64,
        head: sesamerock_wire::relay::Head,
        flight: Flight,
    ) -> Result<Open, Failure> {
        let held_back = head.await_ready;
        let begun = Instant::now();
        let pool = &self.context.relays;
        let agent = flight.target.agent;
        let mut call = pool
            .call(agent, head, &self.ask.body)
            .await
            .map_err(|failure| {
                let mut table = self.context.table();
                flight.observe(&mut table, Outcome::Failed);
                table.unanswered(&flight.target);
                drop(table);
                relay_failure(failure, &flight.target.choice)
            })?;
        let mut body_sent = !held_back;
        loop {
            match call.next().await {
                Ok(Some(down::Kind::Ready(_))) => {
                    body_sent = true;
                    call.send_body(&self.ask.body).await;
                }
                Ok(Some(down::Kind::Refused(refused))) => {
                    return Err(self.refused(&flight, &refused));
                }
                Ok(Some(down::Kind::Reply(reply))) => {
                    self.answered(&flight, &reply, begun.elapsed());
                    return Ok(Open {
                        attempt,
                        call,
                        reply,
                        flight,
                    });
                }
                Ok(Some(down::Kind::Tail(tail))) => {
                    return match flight.ended(&tail) {
                        Ok(()) => Err(flight.broken("the agent sent no answer".to_owned())),
                        Err(failure) => Err(failure),
                    };
                }
                Ok(Some(down::Kind::Body(_))) => {}
                Ok(None) => return Err(cut(&flight, body_sent, "the agent ended the call")),
                Err(detail) => {
                    self.context.relays.forget(agent);
                    self.context.table().unanswered(&flight.target);
                    return Err(cut(&flight, body_sent, &detail));
                }
            }
        }
    }

    fn answered(&self, flight: &Flight, reply: &Reply, waited: Duration) {
        let mut table = self.context.table();
        if let Some(report) = &reply.report {
            table.report(&flight.target, report);
        }
        flight.observe(&mut table, Outcome::First(waited));
        self.context
            .metrics
            .first_byte
            .record(waited.as_secs_f64(), &[]);
    }

    fn refused(&self, flight: &Flight, refused: &Refused) -> Failure {
        let mut table = self.context.table();
        if let Some(report) = &refused.report {
            table.report(&flight.target, report);
        }
        flight.observe(&mut table, Outcome::Neutral);
        drop(table);
        self.context.metrics.refusals.add(1, &[]);
        let Some(refusal) = &refused.refusal else {
            return Failure::refused("refused", "the agent gave no reason");
        };
        let detail = format!("{}: {}", refusal.reason().as_str_name(), refusal.detail);
        let retry_after = Some(Duration::from_millis(refusal.retry_after_ms));
        let failure = Failure {
            // Another upstream may have room at once.
            retry_after: if self.keyed() { retry_after } else { None },
            upstream: Some(flight.target.choice.upstream),
            ..Failure::refused("refused", detail)
        };
        match refusal.reason() {
            Reason::Overloaded | Reason::Cold => Failure {
                kind: "overloaded",
                remedy: Remedy::Room,
                ..failure
            },
            Reason::Suspect | Reason::Leaving | Reason::OutOfContact | Reason::ModelNotLoaded => {
                Failure {
                    remedy: Remedy::Room,
                    ..failure
                }
            }
            Reason::OverCeiling | Reason::GroupStalled => Failure {
                remedy: Remedy::Elsewhere,
                ..failure
            },
            Reason::Deadline => Failure {
                kind: "overloaded",
                ..failure
            },
            Reason::Convicted => Failure {
                kind: "convicted",
                retry_after: None,
                remedy: Remedy::None,
                status: StatusCode::UNPROCESSABLE_ENTITY,
                ..failure
            },
            Reason::KeyConflict => Failure {
                kind: "key-conflict",
                retry_after: None,
                remedy: Remedy::None,
                status: StatusCode::UNPROCESSABLE_ENTITY,
                ..failure
            },
            Reason::LedgerUnavailable => Failure {
                kind: "ledger-unavailable",
                // The same agent decides again; asking it at once would only
                // use up the budget of calls that a retry helps.
                retry_after: Some(LEDGER_RETRY_AFTER),
                remedy: Remedy::None,
                ..failure
            },
            _ => failure,
        }
    }
}

/// Makes the failure of a call whose stream ended without an answer.
fn cut(flight: &Flight, body_sent: bool, detail: &str) -> Failure {
    let failure = flight.broken(detail.to_owned());
    if body_sent {
        return failure;
    }
    // The agent never had the body, so no upstream can have begun the call.
    Failure {
        executed: Executed::No,
        sent: false,
        ..failure
    }
}

/// Makes the problem of a key that no agent issues.
fn no_key(refusal: &Refusal) -> Problem {
    let detail = format!("no agent issues a key: {}", refusal.cause);
    match refusal.cause {
        Cause::Unserved => Problem::refused(StatusCode::NOT_FOUND, "unknown-target", detail),
        _ => unavailable("no-key", detail, Some(Duration::from_secs(1))),
    }
}

/// Asks the agents of a service for a key, one after the other.
///
/// # Errors
/// Returns the [`Problem`] to answer with if none issues one.
pub(super) async fn mint(context: &Context, service: &str) -> Result<String, Problem> {
    let mut excluded = Vec::new();
    loop {
        let target = {
            let wish = Wish {
                pool: service,
                service: true,
                workspace: "",
                tokens: 1,
                urgency: 0,
                prefix: &[],
                excluded: &excluded,
                isolated: false,
                once: false,
                key: None,
                method: "POST",
                path: "/",
            };
            context.table().choose(&wish)
        };
        let target = target.map_err(|refusal| no_key(&refusal))?;
        let minted = context.relays.mint(target.agent, service).await;
        let mut table = context.table();
        table.observed(&target, Outcome::Neutral);
        table.finished(&target);
        drop(table);
        match minted {
            Ok(key) => return Ok(key),
            Err(detail) => log::info!(
                "event=key_not_issued service={service} upstream={} detail={detail:?}",
                target.name
            ),
        }
        excluded.push(target.choice.upstream);
    }
}

fn losers(table: &Table, losers: &[Loser]) -> String {
    let parts: Vec<_> = losers
        .iter()
        .map(|loser| format!("{}:{}", table.name(loser.upstream), loser.why))
        .collect();
    if parts.is_empty() {
        "-".to_owned()
    } else {
        parts.join(",")
    }
}

//! The way of an attempt to the head of its answer.

use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use sesamerock_retry::attempt::Executed;
use sesamerock_route::pick::Outcome;
use sesamerock_wire::relay::{Reply, down};

use super::Prepared;
use super::flight::Flight;
use crate::entry::dispatch::Run;
use crate::entry::dispatch::failure::{Failure, relay_failure};
use crate::entry::relay::Call;

/// An attempt whose answer has begun.
#[derive(Debug)]
pub(in crate::entry::dispatch) struct Open {
    pub(in crate::entry::dispatch) attempt: u64,
    pub(in crate::entry::dispatch) call: Call,
    pub(in crate::entry::dispatch) reply: Reply,
    pub(in crate::entry::dispatch) flight: Flight,
}

impl Open {
    /// Returns the status of the answer.
    pub(in crate::entry::dispatch) fn status(&self) -> StatusCode {
        u16::try_from(self.reply.status)
            .ok()
            .and_then(|status| StatusCode::from_u16(status).ok())
            .unwrap_or(StatusCode::BAD_GATEWAY)
    }

    /// Returns the header fields of the answer.
    pub(in crate::entry::dispatch) fn headers(&self) -> HeaderMap {
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

impl Run {
    /// Sends the call and waits for the head of the answer.
    pub(super) async fn open(&self, prepared: Prepared) -> Result<Open, Failure> {
        let Prepared {
            attempt,
            flight,
            head,
        } = prepared;
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
        if let Some(digest) = &reply.cache {
            let learned = table.learn(&flight.target, digest);
            log::debug!(
                "event=cache_learned upstream={} outcome={learned:?} epoch={:016x} from={} to={} stored={} evicted={}",
                flight.target.name,
                digest.epoch,
                digest.from,
                digest.to,
                digest.stored.len(),
                digest.evicted.len()
            );
        }
        flight.observe(&mut table, Outcome::First(waited));
        self.context
            .metrics
            .first_byte
            .record(waited.as_secs_f64(), &[]);
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

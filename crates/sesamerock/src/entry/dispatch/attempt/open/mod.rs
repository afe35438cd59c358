//! Sending an attempt and waiting for the head of its answer.

use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use sesamerock_retry::attempt::Executed;
use sesamerock_route::pick::Outcome;
use sesamerock_wire::relay::{Reply, down};

use super::Prepared;
use super::in_flight::InFlightAttempt;
use crate::entry::dispatch::Run;
use crate::entry::dispatch::failure::{Failure, relay_failure};
use crate::entry::relay::Call;

/// An attempt whose answer's head has arrived.
#[derive(Debug)]
pub(in crate::entry::dispatch) struct OpenAttempt {
    pub(in crate::entry::dispatch) attempt: u64,
    pub(in crate::entry::dispatch) call: Call,
    pub(in crate::entry::dispatch) reply: Reply,
    pub(in crate::entry::dispatch) in_flight: InFlightAttempt,
}

impl OpenAttempt {
    /// Returns the HTTP status of the answer; 502 if the agent sent an invalid
    /// one.
    pub(in crate::entry::dispatch) fn status(&self) -> StatusCode {
        u16::try_from(self.reply.status)
            .ok()
            .and_then(|status| StatusCode::from_u16(status).ok())
            .unwrap_or(StatusCode::BAD_GATEWAY)
    }

    /// Returns the header fields of the answer, without invalid ones.
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
    pub(super) async fn open(&self, prepared: Prepared) -> Result<OpenAttempt, Failure> {
        let Prepared {
            attempt,
            in_flight,
            head,
        } = prepared;
        let body_deferred = head.await_ready;
        let started = Instant::now();
        let pool = &self.context.relays;
        let agent = in_flight.target.agent;
        let mut call = pool
            .call(agent, head, &self.request.body)
            .await
            .map_err(|failure| {
                let mut table = self.context.table();
                in_flight.record_outcome(&mut table, Outcome::Failed);
                table.record_no_answer(&in_flight.target);
                drop(table);
                relay_failure(failure, &in_flight.target.choice)
            })?;
        let mut body_sent = !body_deferred;
        loop {
            match call.next().await {
                Ok(Some(down::Kind::Ready(_))) => {
                    body_sent = true;
                    call.send_body(&self.request.body).await;
                }
                Ok(Some(down::Kind::Refused(refused))) => {
                    return Err(self.refused(&in_flight, &refused));
                }
                Ok(Some(down::Kind::Reply(reply))) => {
                    self.record_reply(&in_flight, &reply, started.elapsed());
                    return Ok(OpenAttempt {
                        attempt,
                        call,
                        reply,
                        in_flight,
                    });
                }
                Ok(Some(down::Kind::Tail(tail))) => {
                    return match in_flight.finish(&tail) {
                        Ok(()) => Err(in_flight.fail("the agent sent no answer".to_owned())),
                        Err(failure) => Err(failure),
                    };
                }
                Ok(Some(down::Kind::Body(_))) => {}
                Ok(None) => {
                    return Err(no_reply(&in_flight, body_sent, "the agent ended the call"));
                }
                Err(detail) => {
                    self.context.relays.disconnect(agent);
                    self.context.table().record_no_answer(&in_flight.target);
                    return Err(no_reply(&in_flight, body_sent, &detail));
                }
            }
        }
    }

    fn record_reply(&self, in_flight: &InFlightAttempt, reply: &Reply, waited: Duration) {
        let mut table = self.context.table();
        if let Some(report) = &reply.report {
            table.record_report(&in_flight.target, report);
        }
        if let Some(digest) = &reply.cache {
            let learned = table.learn(&in_flight.target, digest);
            log::debug!(
                "event=cache_learned upstream={} outcome={learned:?} epoch={:016x} from={} to={} stored={} evicted={}",
                in_flight.target.name,
                digest.epoch,
                digest.from,
                digest.to,
                digest.stored.len(),
                digest.evicted.len()
            );
        }
        in_flight.record_outcome(&mut table, Outcome::First(waited));
        self.context
            .metrics
            .first_byte
            .record(waited.as_secs_f64(), &[]);
    }
}

/// Creates the failure of a call whose stream ended without an answer.
fn no_reply(in_flight: &InFlightAttempt, body_sent: bool, detail: &str) -> Failure {
    let failure = in_flight.fail(detail.to_owned());
    if body_sent {
        return failure;
    }
    // The agent did not receive the body, so no upstream can have begun the
    // call.
    Failure {
        executed: Executed::No,
        sent: false,
        ..failure
    }
}

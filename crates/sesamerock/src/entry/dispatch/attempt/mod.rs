//! One attempt: counted in the routing table, sent, and awaited until the head
//! of its answer arrives.

mod choose;
mod in_flight;
mod open;
mod refused;

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use sesamerock_base::key::Upstream;
use sesamerock_retry::attempt::Executed;
use sesamerock_retry::resume::ResumePoint;
use sesamerock_route::choice::Cause;
use sesamerock_wire::relay::Head;

use super::failure::{Failure, Remedy};
use super::{Run, next_attempt};
use in_flight::InFlightAttempt;

pub(super) use open::OpenAttempt;

/// Time after a call's deadline in which the agent's refusal may still arrive.
/// The agent refuses a queued call at the deadline; without that refusal, the
/// entry could only report to the caller that the call may have been executed.
const ANSWER_GRACE: Duration = Duration::from_millis(250);

/// An attempt that is counted in the routing table but not sent yet.
#[derive(Debug)]
pub(super) struct Prepared {
    pub(super) attempt: u64,
    pub(super) in_flight: InFlightAttempt,
    head: Head,
}

impl Run {
    /// Makes one attempt and waits for the head of its answer.
    pub(super) async fn attempt(&mut self) -> Result<OpenAttempt, Failure> {
        self.attempt_from(next_attempt(), None).await
    }

    /// Makes one attempt, which continues an interrupted stream if there is a
    /// resume point.
    pub(super) async fn attempt_from(
        &mut self,
        attempt: u64,
        resume_point: Option<ResumePoint>,
    ) -> Result<OpenAttempt, Failure> {
        let mut prepared = self.prepare(attempt).await?;
        if let Some(resume_point) = resume_point {
            prepared.head.delivered_tokens = resume_point.tokens;
            prepared.head.delivered_text = resume_point.text;
        }
        self.begin(prepared).await
    }

    /// Chooses the upstream of an attempt and counts the attempt in the routing
    /// table.
    pub(super) async fn prepare(&mut self, attempt: u64) -> Result<Prepared, Failure> {
        self.wait_for_hold().await;
        if self.request.remaining().is_zero() {
            // Nothing was sent, so it is certain that this attempt was not
            // executed.
            return Err(Failure {
                status: StatusCode::GATEWAY_TIMEOUT,
                remedy: Remedy::None,
                retry_after: None,
                ..Failure::refused("deadline", "the deadline passed before the call was sent")
            });
        }
        self.attempts += 1;
        let target = self.choose(attempt)?;
        // Whether the release notes forbid repeating the call depends on the
        // upstream. A call that was not repeatable once never becomes so again.
        self.repeatable &= !target.not_repeatable;
        let head = self.head(attempt, &target);
        Ok(Prepared {
            attempt,
            in_flight: InFlightAttempt::new(target, Arc::clone(&self.context)),
            head,
        })
    }

    /// Chooses the upstream of a hedged attempt: one other than `first` that
    /// has capacity now.
    ///
    /// # Errors
    /// Returns the reason if there is none, or [`Cause::Unserved`] if the
    /// release notes forbid repeating the call there.
    pub(super) fn prepare_hedge(&self, attempt: u64, first: Upstream) -> Result<Prepared, Cause> {
        let target = self.choose_available(attempt, first)?;
        let forbidden = target.not_repeatable;
        let mut head = self.head(attempt, &target);
        head.ceiling_percent = self.context.settings.hedge.ceiling_percent;
        let in_flight = InFlightAttempt::new(target, Arc::clone(&self.context));
        if forbidden {
            return Err(Cause::Unserved);
        }
        Ok(Prepared {
            attempt,
            in_flight,
            head,
        })
    }

    /// Sends an attempt and waits for the head of its answer.
    pub(super) async fn begin(&self, prepared: Prepared) -> Result<OpenAttempt, Failure> {
        let answer_timeout = self.request.remaining() + ANSWER_GRACE;
        match tokio::time::timeout(answer_timeout, self.open(prepared)).await {
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
}

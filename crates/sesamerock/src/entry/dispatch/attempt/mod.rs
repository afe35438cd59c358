//! One attempt: put on the books, sent, and followed to its answer's head.

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

/// Time after a call's deadline in which the agent may still say that the call
/// was not run. The agent refuses a call in its queue at the deadline, and without
/// that word the caller could only be told that the call may have run.
const ANSWER_GRACE: Duration = Duration::from_millis(250);

/// An attempt that is on the books of the routing table and not yet sent.
#[derive(Debug)]
pub(super) struct Prepared {
    pub(super) attempt: u64,
    pub(super) in_flight: InFlightAttempt,
    head: Head,
}

impl Run {
    /// Makes one attempt, up to the head of the answer.
    pub(super) async fn attempt(&mut self) -> Result<OpenAttempt, Failure> {
        self.attempt_from(next_attempt(), None).await
    }

    /// Makes one attempt that continues a stream where it broke off.
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

    /// Chooses the upstream of an attempt.
    pub(super) async fn prepare(&mut self, attempt: u64) -> Result<Prepared, Failure> {
        self.wait_for_hold().await;
        if self.request.remaining().is_zero() {
            // Nothing has been sent, so this attempt leaves nothing unknown.
            return Err(Failure {
                status: StatusCode::GATEWAY_TIMEOUT,
                remedy: Remedy::None,
                retry_after: None,
                ..Failure::refused("deadline", "the deadline passed before the call was sent")
            });
        }
        self.attempts += 1;
        let target = self.choose(attempt)?;
        // What the release notes forbid to repeat is known once the upstream
        // is; a call is never made repeatable again.
        self.repeatable &= !target.not_repeatable;
        let head = self.head(attempt, &target);
        Ok(Prepared {
            attempt,
            in_flight: InFlightAttempt::new(target, Arc::clone(&self.context)),
            head,
        })
    }

    /// Chooses another upstream than `first` for a second attempt beside it,
    /// one with room now.
    ///
    /// # Errors
    /// Returns why there is none.
    pub(super) fn prepare_hedge(&self, attempt: u64, first: Upstream) -> Result<Prepared, Cause> {
        let target = self.choose_with_room(attempt, first)?;
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

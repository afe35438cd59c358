//! Attempts that brought no answer, and what may.

use std::time::Duration;

use http::StatusCode;
use sesamerock_base::key::Upstream;
use sesamerock_retry::attempt::Executed;
use sesamerock_route::choice::Choice;

use super::problem_executed;
use crate::entry::relay;
use crate::problem::Problem;

/// What may bring an answer after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Remedy {
    /// Another attempt, as far as the rules of retries allow.
    Retry,
    /// Nothing: no other attempt can do better.
    None,
    /// Room at an upstream; the call may wait and ask again.
    WaitForCapacity,
    /// An upstream with less load, which the agent sent the call on to.
    Redirect,
    /// An upstream where no other suspect runs, since one died under the call.
    Isolation,
}

/// An attempt that brought no answer.
#[derive(Debug)]
pub(super) struct Failure {
    pub(super) kind: &'static str,
    pub(super) detail: String,
    pub(super) status: StatusCode,
    pub(super) executed: Executed,
    /// Whether a byte of the call may have left this process.
    pub(super) sent: bool,
    pub(super) retry_after: Option<Duration>,
    /// The upstream, if another one may do better.
    pub(super) upstream: Option<Upstream>,
    /// What may bring an answer.
    pub(super) remedy: Remedy,
}

impl Failure {
    /// Makes the problem to tell the caller, where `executed` covers all
    /// attempts.
    pub(super) fn problem(&self, executed: Executed) -> Problem {
        Problem {
            status: self.status,
            kind: self.kind,
            detail: self.detail.clone(),
            executed: problem_executed(executed),
            retry_after: self.retry_after,
        }
    }

    /// Makes the failure of a call that was not run.
    pub(super) fn refused(kind: &'static str, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            status: StatusCode::SERVICE_UNAVAILABLE,
            executed: Executed::No,
            sent: false,
            retry_after: Some(Duration::ZERO),
            upstream: None,
            remedy: Remedy::Retry,
        }
    }
}

/// Makes the failure of a call that the relay could not pass on.
pub(super) fn relay_failure(failure: relay::RelayError, choice: &Choice) -> Failure {
    let upstream = Some(choice.upstream);
    match failure {
        relay::RelayError::NotSent(detail) => Failure {
            upstream,
            retry_after: None,
            ..Failure::refused("agent-unreachable", detail)
        },
        relay::RelayError::Unknown(detail) => Failure {
            upstream,
            status: StatusCode::BAD_GATEWAY,
            executed: Executed::Unknown,
            sent: true,
            retry_after: None,
            ..Failure::refused("agent-failed", detail)
        },
    }
}

//! Failures of attempts, and by which means the call may still be answered.

use std::time::Duration;

use http::StatusCode;
use sesamerock_base::key::Upstream;
use sesamerock_retry::attempt::Executed;
use sesamerock_route::choice::Choice;

use super::problem_executed;
use crate::entry::relay;
use crate::problem::Problem;

/// Means by which a call may still be answered after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Remedy {
    /// Another attempt, if the retry rules allow it.
    Retry,
    /// None: another attempt would fail in the same way.
    None,
    /// A pause until an upstream has capacity; the call may then be sent again.
    WaitForCapacity,
    /// Another upstream at once, since the agent redirected the call: its load
    /// is above the ceiling of the call, or its group is stalled.
    Redirect,
    /// An upstream where no other suspected call runs, since an upstream crashed
    /// while running this call.
    Isolation,
}

/// Failure of an attempt.
#[derive(Debug)]
pub(super) struct Failure {
    /// Kind of the problem that the caller receives if this failure is final.
    pub(super) kind: &'static str,
    pub(super) detail: String,
    pub(super) status: StatusCode,
    /// Whether an upstream executed this attempt.
    pub(super) executed: Executed,
    /// Whether a byte of the call may have left this process.
    pub(super) sent: bool,
    pub(super) retry_after: Option<Duration>,
    /// The upstream that failed, if a retry should use another one.
    pub(super) upstream: Option<Upstream>,
    /// Means by which the call may still be answered.
    pub(super) remedy: Remedy,
}

impl Failure {
    /// Creates the problem for the caller, where `executed` covers all
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

    /// Creates the failure of a call that was not executed.
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

/// Creates the failure of a call that could not be sent to the agent, or whose
/// agent did not answer.
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

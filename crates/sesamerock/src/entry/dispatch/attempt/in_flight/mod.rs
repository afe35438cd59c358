//! Attempts counted in the routing table, from the choice of the upstream to
//! the end of the answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::StatusCode;
use sesamerock_retry::attempt::Executed;
use sesamerock_route::pick::Outcome;
use sesamerock_wire::relay::{Tail, tail};

use crate::entry::Context;
use crate::entry::dispatch::failure::{Failure, Remedy};
use crate::entry::table::{Table, Target};

/// An attempt that the routing table counts as in flight until this is dropped.
#[derive(Debug)]
pub(in crate::entry::dispatch) struct InFlightAttempt {
    pub(in crate::entry::dispatch) target: Target,
    context: Arc<Context>,
    outcome_recorded: AtomicBool,
}

impl InFlightAttempt {
    pub(super) fn new(target: Target, context: Arc<Context>) -> Self {
        Self {
            target,
            context,
            outcome_recorded: AtomicBool::new(false),
        }
    }

    /// Records in the table how the call began. Only the first outcome counts:
    /// until then, the table counts the prompt of the call as waiting.
    pub(super) fn record_outcome(&self, table: &mut Table, outcome: Outcome) {
        if !self.outcome_recorded.swap(true, Ordering::Relaxed) {
            table.record_outcome(&self.target, outcome);
        }
    }

    /// Records that the answer of the attempt was interrupted, and creates the
    /// failure.
    pub(in crate::entry::dispatch) fn fail(&self, detail: String) -> Failure {
        self.record_outcome(&mut self.context.table(), Outcome::Failed);
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

    /// Records that the connection to the agent failed, and creates the failure.
    pub(in crate::entry::dispatch) fn agent_lost(&self, detail: String) -> Failure {
        self.context.table().record_no_answer(&self.target);
        self.fail(detail)
    }

    /// Records the end of an attempt.
    ///
    /// # Errors
    /// Returns the failure if the answer is not complete.
    pub(in crate::entry::dispatch) fn finish(&self, tail: &Tail) -> Result<(), Failure> {
        if let Some(report) = &tail.report {
            self.context.table().record_report(&self.target, report);
        }
        if tail.complete {
            return Ok(());
        }
        if tail.crashed {
            self.context.table().record_crash(&self.target);
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
            ..self.fail(tail.detail.clone())
        })
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        let mut table = self.context.table();
        self.record_outcome(&mut table, Outcome::Cancelled);
        table.record_end(&self.target);
    }
}

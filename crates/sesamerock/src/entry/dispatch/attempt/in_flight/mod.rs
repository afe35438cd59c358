//! An attempt on the books of the routing table, and how it left them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::StatusCode;
use sesamerock_retry::attempt::Executed;
use sesamerock_route::pick::Outcome;
use sesamerock_wire::relay::{Tail, tail};

use crate::entry::Context;
use crate::entry::dispatch::failure::{Failure, Remedy};
use crate::entry::table::{Table, Target};

/// An attempt that counts as in flight in the routing table until it is
/// dropped.
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

    /// Tells the table how the call began. The first statement counts: the
    /// table takes the prompt of a call for waiting until there is one.
    pub(super) fn record_outcome(&self, table: &mut Table, outcome: Outcome) {
        if !self.outcome_recorded.swap(true, Ordering::Relaxed) {
            table.record_outcome(&self.target, outcome);
        }
    }

    /// Makes the failure of an attempt whose answer broke off.
    pub(in crate::entry::dispatch) fn interrupted(&self, detail: String) -> Failure {
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

    /// Makes the failure of an attempt whose agent was lost.
    pub(in crate::entry::dispatch) fn agent_lost(&self, detail: String) -> Failure {
        self.context.table().record_no_answer(&self.target);
        self.interrupted(detail)
    }

    /// Takes in the end of an attempt; returns its failure if the answer is not
    /// whole.
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
            ..self.interrupted(tail.detail.clone())
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

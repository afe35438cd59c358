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
pub(in crate::entry::dispatch) struct Flight {
    pub(in crate::entry::dispatch) target: Target,
    context: Arc<Context>,
    observed: AtomicBool,
}

impl Flight {
    pub(super) fn new(target: Target, context: Arc<Context>) -> Self {
        Self {
            target,
            context,
            observed: AtomicBool::new(false),
        }
    }

    /// Tells the table how the call began. The first statement counts: the
    /// table takes the prompt of a call for waiting until there is one.
    pub(super) fn observe(&self, table: &mut Table, outcome: Outcome) {
        if !self.observed.swap(true, Ordering::Relaxed) {
            table.observed(&self.target, outcome);
        }
    }

    /// Makes the failure of an attempt whose answer broke off.
    pub(in crate::entry::dispatch) fn broken(&self, detail: String) -> Failure {
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
    pub(in crate::entry::dispatch) fn lost(&self, detail: String) -> Failure {
        self.context.table().unanswered(&self.target);
        self.broken(detail)
    }

    /// Takes in the end of an attempt; returns its failure if the answer is not
    /// whole.
    pub(in crate::entry::dispatch) fn ended(&self, tail: &Tail) -> Result<(), Failure> {
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
        self.observe(&mut table, Outcome::Cancelled);
        table.finished(&self.target);
    }
}

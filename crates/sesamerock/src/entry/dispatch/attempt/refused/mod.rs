//! Conversion of an agent's refusal to the failure of the attempt.

use std::time::Duration;

use http::StatusCode;
use sesamerock_route::pick::Outcome;
use sesamerock_wire::relay::Refused;
use sesamerock_wire::relay::refusal::Reason;

use super::in_flight::InFlightAttempt;
use crate::entry::dispatch::Run;
use crate::entry::dispatch::failure::{Failure, Remedy};

/// Time after which a caller may retry while the log does not answer.
const LEDGER_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Run {
    /// Records the refusal of an attempt and returns its failure.
    pub(super) fn refused(&self, in_flight: &InFlightAttempt, refused: &Refused) -> Failure {
        let mut table = self.context.table();
        if let Some(report) = &refused.report {
            table.record_report(&in_flight.target, report);
        }
        in_flight.record_outcome(&mut table, Outcome::Neutral);
        drop(table);
        self.context.metrics.refusals.add(1, &[]);
        let Some(refusal) = &refused.refusal else {
            return Failure::refused("refused", "the agent gave no reason");
        };
        let detail = format!("{}: {}", refusal.reason().as_str_name(), refusal.detail);
        let retry_after = Some(Duration::from_millis(refusal.retry_after_ms));
        let failure = Failure {
            // Another upstream may have capacity now; a keyed call always goes
            // to the same agent.
            retry_after: if self.keyed() { retry_after } else { None },
            upstream: Some(in_flight.target.choice.upstream),
            ..Failure::refused("refused", detail)
        };
        match refusal.reason() {
            Reason::Overloaded | Reason::Cold => Failure {
                kind: "overloaded",
                remedy: Remedy::WaitForCapacity,
                ..failure
            },
            Reason::Suspect | Reason::Leaving | Reason::OutOfContact | Reason::ModelNotLoaded => {
                Failure {
                    remedy: Remedy::WaitForCapacity,
                    ..failure
                }
            }
            Reason::OverCeiling | Reason::GroupStalled => Failure {
                remedy: Remedy::Redirect,
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
                // A retry would reach the same agent, whose log is still
                // unavailable. An immediate retry would only use up the retry
                // budget of other calls.
                retry_after: Some(LEDGER_RETRY_AFTER),
                remedy: Remedy::None,
                ..failure
            },
            _ => failure,
        }
    }
}

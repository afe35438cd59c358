//! Choice of the upstream of an attempt from the routing table, with its log
//! lines.

use http::StatusCode;
use sesamerock_base::key::Upstream;
use sesamerock_retry::attempt::Executed;
use sesamerock_route::choice::{Cause, Loser, Refusal};

use crate::entry::dispatch::Run;
use crate::entry::dispatch::failure::{Failure, Remedy};
use crate::entry::request::Target as RequestTarget;
use crate::entry::table::{Requirements, Table, Target};

impl Run {
    /// Chooses the upstream of an attempt.
    pub(super) fn choose(&mut self, attempt: u64) -> Result<Target, Failure> {
        let excluded: Vec<_> = self
            .excluded
            .iter()
            .chain(&self.redirected)
            .copied()
            .collect();
        let requirements = self.requirements(if self.keyed() { &[] } else { &excluded });
        let mut table = self.context.table();
        if let Some(name) = &self.key_issuer {
            return table
                .choose_named(name, &requirements)
                .ok_or_else(|| Failure {
                    executed: Executed::Unknown,
                    sent: true,
                    ..Failure::refused(
                        "key-holder-gone",
                        "the upstream that issued the key is gone",
                    )
                });
        }
        match table.choose(&requirements) {
            Ok(target) => {
                self.log_choice(attempt, &table, &target);
                Ok(target)
            }
            Err(refusal) => {
                self.log_refusal(attempt, &table, &refusal);
                drop(table);
                Err(self.unroutable(&refusal))
            }
        }
    }

    /// Chooses an upstream that has capacity now, other than `first` and those
    /// where the call failed.
    pub(super) fn choose_available(&self, attempt: u64, first: Upstream) -> Result<Target, Cause> {
        let failed = self.excluded.iter().chain(&self.redirected).copied();
        let excluded: Vec<_> = failed.chain([first]).collect();
        let mut table = self.context.table();
        match table.choose_available(&self.requirements(&excluded)) {
            Ok(target) => {
                self.log_choice(attempt, &table, &target);
                Ok(target)
            }
            Err(refusal) => {
                self.log_refusal(attempt, &table, &refusal);
                Err(refusal.cause)
            }
        }
    }

    fn requirements<'a>(&'a self, excluded: &'a [Upstream]) -> Requirements<'a> {
        Requirements {
            pool: self.pool(),
            service: matches!(self.request.target, RequestTarget::Service { .. }),
            workspace: &self.request.workspace,
            tokens: self.request.tokens,
            urgency: self.request.urgency,
            prefix: &self.prefix,
            excluded,
            isolated: self.isolated(),
            send_once: !self.repeatable && !self.keyed(),
            key: self.ledger_key(),
            method: self.request.method.as_str(),
            path: self.request.path.path(),
        }
    }

    fn log_choice(&self, attempt: u64, table: &Table, target: &Target) {
        log::info!(
            "event=routed request={} attempt={attempt} workspace={} pool={} upstream={} group={} rank={} reason={} expected_us={} matched={} losers={}",
            self.request.id,
            self.request.workspace,
            self.pool(),
            target.name,
            target.group.as_deref().unwrap_or("-"),
            target.rank(),
            target.choice.reason,
            target.choice.expected.as_micros(),
            target.choice.matched,
            losers(table, &target.choice.losers)
        );
    }

    fn log_refusal(&self, attempt: u64, table: &Table, refusal: &Refusal) {
        log::info!(
            "event=not_routed request={} attempt={attempt} workspace={} pool={} cause={} losers={}",
            self.request.id,
            self.request.workspace,
            self.pool(),
            refusal.cause,
            losers(table, &refusal.losers)
        );
    }

    /// Creates the failure of a request that no upstream can accept now.
    fn unroutable(&mut self, refusal: &Refusal) -> Failure {
        let detail = format!("no upstream can take the request: {}", refusal.cause);
        let failure = Failure::refused("no-upstream", detail);
        match refusal.cause {
            Cause::Unserved => Failure {
                kind: "unknown-target",
                status: StatusCode::NOT_FOUND,
                retry_after: None,
                remedy: Remedy::None,
                ..failure
            },
            Cause::Excluded => {
                // All upstreams were tried once; the next attempt may use them
                // again.
                self.excluded.clear();
                self.redirected.clear();
                Failure {
                    remedy: Remedy::WaitForCapacity,
                    ..failure
                }
            }
            _ => Failure {
                retry_after: refusal.retry_after,
                remedy: Remedy::WaitForCapacity,
                ..failure
            },
        }
    }
}

fn losers(table: &Table, losers: &[Loser]) -> String {
    let parts: Vec<_> = losers
        .iter()
        .map(|loser| format!("{}:{}", table.name(loser.upstream), loser.reason))
        .collect();
    if parts.is_empty() {
        "-".to_owned()
    } else {
        parts.join(",")
    }
}

//! Choice of the upstream of an attempt.

use http::StatusCode;
use sesamerock_base::key::Upstream;
use sesamerock_retry::attempt::Executed;
use sesamerock_route::choice::{Cause, Loser, Refusal};

use crate::entry::ask::Target as Asked;
use crate::entry::dispatch::Run;
use crate::entry::dispatch::failure::{Failure, Remedy};
use crate::entry::table::{Table, Target, Wish};

impl Run {
    /// Chooses the upstream of an attempt.
    pub(super) fn choose(&mut self, attempt: u64) -> Result<Target, Failure> {
        let excluded: Vec<_> = self.excluded.iter().chain(&self.bounced).copied().collect();
        let wish = self.wish(if self.keyed() { &[] } else { &excluded });
        let mut table = self.context.table();
        if let Some(name) = &self.minted {
            return table.named(name, &wish).ok_or_else(|| Failure {
                executed: Executed::Unknown,
                sent: true,
                ..Failure::refused(
                    "key-holder-gone",
                    "the upstream that issued the key is gone",
                )
            });
        }
        match table.choose(&wish) {
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

    /// Chooses an upstream with room now, other than `first` and those that
    /// failed the call.
    pub(super) fn choose_spare(&self, attempt: u64, first: Upstream) -> Result<Target, Cause> {
        let failed = self.excluded.iter().chain(&self.bounced).copied();
        let excluded: Vec<_> = failed.chain([first]).collect();
        let mut table = self.context.table();
        match table.spare(&self.wish(&excluded)) {
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

    fn wish<'a>(&'a self, excluded: &'a [Upstream]) -> Wish<'a> {
        Wish {
            pool: self.pool(),
            service: matches!(self.ask.target, Asked::Service { .. }),
            workspace: &self.ask.workspace,
            tokens: self.ask.tokens,
            urgency: self.ask.urgency,
            prefix: &self.prefix,
            excluded,
            isolated: self.isolated(),
            once: !self.repeatable && !self.keyed(),
            key: self.ledger_key(),
            method: self.ask.method.as_str(),
            path: self.ask.path.path(),
        }
    }

    fn log_choice(&self, attempt: u64, table: &Table, target: &Target) {
        log::info!(
            "event=routed request={} attempt={attempt} workspace={} pool={} upstream={} group={} rank={} reason={} expected_us={} matched={} losers={}",
            self.ask.id,
            self.ask.workspace,
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
            self.ask.id,
            self.ask.workspace,
            self.pool(),
            refusal.cause,
            losers(table, &refusal.losers)
        );
    }

    /// Makes the failure of a request that no upstream can take now.
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
                // Each was tried once; the next attempt may try them again.
                self.excluded.clear();
                self.bounced.clear();
                Failure {
                    remedy: Remedy::Room,
                    ..failure
                }
            }
            _ => Failure {
                retry_after: refusal.retry_after,
                remedy: Remedy::Room,
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

//! The answer to a request: the choice with its bounds, or the refusal.

use std::time::Duration;

use super::Picker;
use super::choose::Scored;
use crate::choice::{Cause, Choice, LOSERS, Loser, Reason, Refusal, Request, Why};
use crate::score::{self, Prior};

impl Picker {
    /// Returns the share of the limit above which an upstream should refuse.
    ///
    /// Reports of an entry with few requests are too old to tell which upstream
    /// is loaded now, but their mean is a good estimate of the mean load. The
    /// agent knows its own load, so it can refuse what exceeds the mean by a
    /// share, at the price of one round trip.
    pub(super) fn ceiling(
        &self,
        request: &Request<'_>,
        eligible: usize,
        prior: &Prior,
    ) -> Option<f64> {
        let others = eligible > 1 && prior.used > 0.0 && !request.once;
        let tries = request.excluded.len() < self.settings.bounces;
        (others && tries)
            .then(|| score::fair(prior) * self.settings.ceiling + score::SLACK / prior.calls)
    }

    pub(super) fn refusal(&self, mut losers: Vec<Loser>) -> Refusal {
        let cause = losers
            .iter()
            .map(|loser| loser.why.cause())
            .max()
            .unwrap_or(Cause::Unserved);
        let credits = losers.iter().filter_map(|loser| match loser.why {
            Why::Credits(left) => Some(left),
            _ => None,
        });
        let soonest = credits.min().unwrap_or(self.settings.retry_after);
        losers.truncate(LOSERS);
        Refusal {
            cause,
            retry_after: (cause >= Cause::Cold).then_some(soonest),
            losers,
        }
    }
}

/// Makes the choice of the best candidate. `balanced` tells that another would
/// be cheaper but for the steps of its group.
pub(super) fn choice(
    best: &Scored,
    request: &Request<'_>,
    eligible: usize,
    balanced: bool,
    mut losers: Vec<Loser>,
) -> Choice {
    let reason = if eligible == 1 {
        Reason::Only
    } else if balanced {
        Reason::Balance
    } else if best.matched > 0 {
        Reason::Prefix
    } else if best.home {
        Reason::Affinity
    } else {
        Reason::Least
    };
    losers.truncate(LOSERS);
    Choice {
        upstream: best.upstream,
        rank: best.placement.rank,
        reason,
        place: None,
        elsewhere: false,
        slowest: None,
        ceiling: None,
        expected: Duration::from_secs_f64(best.cost.first.max(0.0)),
        matched: best.matched,
        fresh: request.prompt.saturating_sub(best.matched),
        tokens: request.tokens,
        isolated: request.isolated,
        losers,
    }
}

//! Builds the result of a selection: the choice with its bounds, or the refusal.

use std::time::Duration;

use super::Picker;
use super::choose::Scored;
use crate::choice::{Cause, Choice, Loser, LossReason, MAX_LOSERS, Reason, Refusal, Request};
use crate::score::{self, Prior};

impl Picker {
    /// Returns the fraction of the call limit above which an upstream should
    /// refuse the call.
    ///
    /// An entry with few requests has reports that are too old to show which
    /// upstream is loaded at present, but their mean is a good estimate of the
    /// mean load. The agent knows its own load, so it can refuse calls that exceed
    /// the mean by a given factor, which costs one round trip.
    pub(super) fn ceiling(
        &self,
        request: &Request<'_>,
        eligible: usize,
        prior: &Prior,
    ) -> Option<f64> {
        let has_others = eligible > 1 && prior.utilisation > 0.0 && !request.send_once;
        let may_refuse = request.excluded.len() < self.settings.max_refusals;
        (has_others && may_refuse).then(|| {
            score::mean_utilisation(prior) * self.settings.ceiling
                + score::SLACK_CALLS / prior.call_limit
        })
    }

    pub(super) fn refusal(&self, mut losers: Vec<Loser>) -> Refusal {
        let cause = losers
            .iter()
            .map(|loser| loser.reason.cause())
            .max()
            .unwrap_or(Cause::Unserved);
        let credits = losers.iter().filter_map(|loser| match loser.reason {
            LossReason::Credits(left) => Some(left),
            _ => None,
        });
        let soonest = credits.min().unwrap_or(self.settings.retry_after);
        losers.truncate(MAX_LOSERS);
        Refusal {
            cause,
            retry_after: (cause >= Cause::Cold).then_some(soonest),
            losers,
        }
    }
}

/// Makes the choice of the best candidate. `balanced` is set if another candidate
/// would be cheaper if the steps of its group did not become longer.
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
    } else if best.has_affinity {
        Reason::Affinity
    } else {
        Reason::Least
    };
    losers.truncate(MAX_LOSERS);
    Choice {
        upstream: best.upstream,
        rank: best.placement.rank,
        reason,
        place: None,
        elsewhere: false,
        max_own_step: None,
        ceiling: None,
        expected: Duration::from_secs_f64(best.cost.first_token.max(0.0)),
        matched: best.matched,
        uncached: request.prompt.saturating_sub(best.matched),
        tokens: request.tokens,
        isolated: request.isolated,
        losers,
    }
}

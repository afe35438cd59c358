//! Determines which upstreams of a pool can take a request.

use sesamerock_base::key::Upstream;
use sesamerock_base::time::Moment;
use smallvec::SmallVec;

use super::group::GroupViews;
use super::{Picker, State};
use crate::choice::{Loser, LossReason, Request};
use crate::load::Credit;
use crate::profile::StepBlocker;

impl Picker {
    /// Partitions a pool into upstreams that can take the request and the others.
    pub(super) fn partition(
        &self,
        request: &Request<'_>,
        pool: &[Upstream],
        groups: &GroupViews,
        now: Moment,
    ) -> (SmallVec<[Upstream; 64]>, Vec<Loser>) {
        let mut eligible = SmallVec::new();
        let mut losers = Vec::new();
        // A request to a group that cannot step has to wait, which is still
        // better than a refusal if no other upstream can serve it.
        let any_can_step = pool
            .iter()
            .any(|upstream| self.can_step(*upstream, request, groups, now));
        let check = |upstream: Upstream| {
            let blocker = self.blocker(upstream, groups).filter(|_| any_can_step);
            match (self.eligible(upstream, request, now), blocker) {
                (Ok(()), Some(blocker)) => Err(LossReason::Group(blocker)),
                (outcome, _) => outcome,
            }
        };
        for upstream in pool {
            match check(*upstream) {
                Ok(()) => eligible.push(*upstream),
                Err(reason) => losers.push(Loser {
                    upstream: *upstream,
                    reason,
                }),
            }
        }
        (eligible, losers)
    }

    /// Returns the state of an upstream if it may run the request, regardless of
    /// its load at present.
    pub(super) fn fit(
        &self,
        upstream: Upstream,
        request: &Request<'_>,
        now: Moment,
    ) -> Result<&State, LossReason> {
        let state = self.state(upstream).ok_or(LossReason::Unknown)?;
        // An upstream that reported that it is leaving gets no calls and so sends
        // no newer report. Once the report is stale, a call finds out whether the
        // upstream still leaves.
        let report_valid = state.load.report_weight(now, &self.settings.load) > 0.0;
        let leaving = report_valid
            && state
                .load
                .last_report()
                .is_some_and(|report| report.leaving);
        if !state.profile.serves(&request.need) {
            Err(LossReason::Unfit)
        } else if state.profile.out {
            Err(LossReason::Out)
        } else if state.profile.leaving || leaving {
            Err(LossReason::Leaving)
        } else if request.excluded.contains(&upstream) || request.unreachable.contains(&upstream) {
            Err(LossReason::Excluded)
        } else {
            Ok(state)
        }
    }

    /// Checks whether an upstream can take the request at present; an error is the
    /// reason why it cannot.
    fn eligible(
        &self,
        upstream: Upstream,
        request: &Request<'_>,
        now: Moment,
    ) -> Result<(), LossReason> {
        let state = self.fit(upstream, request, now)?;
        let cold = state.load.last_report().is_some_and(|report| {
            report.cold && report.call_limit > 0 && state.load.own_calls() >= report.call_limit
        });
        if cold && !request.may_queue {
            return Err(LossReason::Cold);
        }
        if request.isolated && state.suspects > 0 {
            return Err(LossReason::Suspect);
        }
        if request.may_queue {
            return Ok(());
        }
        match state.load.credit(now, &self.settings.load) {
            Credit::None(left) => Err(LossReason::Credits(left)),
            Credit::Unknown(0) => Err(LossReason::Credits(self.settings.retry_after)),
            Credit::Some(_) | Credit::Unknown(_) => Ok(()),
        }
    }

    /// Returns whether an upstream can serve the request and its group can step,
    /// even if it has no capacity at present or the request has tried it already:
    /// waiting for it is better than waiting in a group that does not step.
    fn can_step(
        &self,
        upstream: Upstream,
        request: &Request<'_>,
        groups: &GroupViews,
        now: Moment,
    ) -> bool {
        let fit = match self.fit(upstream, request, now) {
            Ok(_) => true,
            Err(LossReason::Excluded) => !request.unreachable.contains(&upstream),
            Err(_) => false,
        };
        fit && self.blocker(upstream, groups).is_none()
    }

    fn blocker(&self, upstream: Upstream, groups: &GroupViews) -> Option<StepBlocker> {
        groups.of(self.state(upstream)?)?.blocker
    }

    /// Returns whether an upstream outside of the selected one's group could take
    /// the request and can step.
    pub(super) fn has_alternative(
        &self,
        chosen: Upstream,
        request: &Request<'_>,
        pool: &[Upstream],
        groups: &GroupViews,
        now: Moment,
    ) -> bool {
        let group = |upstream| Some(self.state(upstream)?.profile.place?.group);
        let Some(own) = group(chosen) else {
            return false;
        };
        let mut others = pool.iter().filter(|other| group(**other) != Some(own));
        others.any(|other| self.can_step(*other, request, groups, now))
    }
}

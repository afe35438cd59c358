//! Which upstreams of a pool can take a request.

use sesamerock_base::key::Upstream;
use sesamerock_base::time::Moment;
use smallvec::SmallVec;

use super::group::Views;
use super::{Picker, State};
use crate::choice::{Loser, Request, Why};
use crate::load::Credit;
use crate::profile::Unable;

impl Picker {
    /// Divides a pool into those that can take the request and the others.
    pub(super) fn divide(
        &self,
        request: &Request<'_>,
        pool: &[Upstream],
        groups: &Views,
        now: Moment,
    ) -> (SmallVec<[Upstream; 64]>, Vec<Loser>) {
        let mut eligible = SmallVec::new();
        let mut losers = Vec::new();
        // Work for a group that cannot step would only wait. That is still
        // better than a refusal where nothing else serves.
        let able = pool
            .iter()
            .any(|upstream| self.able(*upstream, request, groups, now));
        let check = |upstream: Upstream| {
            let unable = self.unable(upstream, groups).filter(|_| able);
            match (self.eligible(upstream, request, now), unable) {
                (Ok(()), Some(unable)) => Err(Why::Group(unable)),
                (outcome, _) => outcome,
            }
        };
        for upstream in pool {
            match check(*upstream) {
                Ok(()) => eligible.push(*upstream),
                Err(why) => losers.push(Loser {
                    upstream: *upstream,
                    why,
                }),
            }
        }
        (eligible, losers)
    }

    /// Returns the state of an upstream if it may run the request at all.
    pub(super) fn fit(
        &self,
        upstream: Upstream,
        request: &Request<'_>,
        now: Moment,
    ) -> Result<&State, Why> {
        let state = self.state(upstream).ok_or(Why::Unknown)?;
        // An upstream that is leaving gets no calls and so sends no newer
        // report; after a while a call finds out whether it came back.
        let believed = state.load.known(now, &self.settings.load) > 0.0;
        let leaving = believed && state.load.last().is_some_and(|report| report.leaving);
        if !state.profile.serves(&request.need) {
            Err(Why::Unfit)
        } else if state.profile.out {
            Err(Why::Out)
        } else if state.profile.leaving || leaving {
            Err(Why::Leaving)
        } else if request.excluded.contains(&upstream) || request.silent.contains(&upstream) {
            Err(Why::Excluded)
        } else {
            Ok(state)
        }
    }

    /// Returns whether an upstream can take the request now.
    fn eligible(&self, upstream: Upstream, request: &Request<'_>, now: Moment) -> Result<(), Why> {
        let state = self.fit(upstream, request, now)?;
        let cold = state.load.last().is_some_and(|report| {
            report.cold && report.call_limit > 0 && state.load.own_calls() >= report.call_limit
        });
        if cold && !request.queues {
            return Err(Why::Cold);
        }
        if request.isolated && state.suspects > 0 {
            return Err(Why::Suspect);
        }
        if request.queues {
            return Ok(());
        }
        match state.load.credit(now, &self.settings.load) {
            Credit::None(left) => Err(Why::Credits(left)),
            Credit::Unknown(0) => Err(Why::Credits(self.settings.retry_after)),
            Credit::Some(_) | Credit::Unknown(_) => Ok(()),
        }
    }

    /// Returns whether an upstream serves what is needed and can step, even if
    /// it has no room now or the request has tried it: waiting for it is better
    /// than waiting in a group that does not step.
    fn able(&self, upstream: Upstream, request: &Request<'_>, groups: &Views, now: Moment) -> bool {
        let fit = match self.fit(upstream, request, now) {
            Ok(_) => true,
            Err(Why::Excluded) => !request.silent.contains(&upstream),
            Err(_) => false,
        };
        fit && self.unable(upstream, groups).is_none()
    }

    fn unable(&self, upstream: Upstream, groups: &Views) -> Option<Unable> {
        groups.of(self.state(upstream)?)?.unable
    }

    /// Returns whether an upstream that can step is outside of a chosen one's
    /// group.
    pub(super) fn elsewhere(
        &self,
        chosen: Upstream,
        request: &Request<'_>,
        pool: &[Upstream],
        groups: &Views,
        now: Moment,
    ) -> bool {
        let group = |upstream| Some(self.state(upstream)?.profile.place?.group);
        let Some(own) = group(chosen) else {
            return false;
        };
        let mut others = pool.iter().filter(|other| group(**other) != Some(own));
        others.any(|other| self.able(*other, request, groups, now))
    }
}

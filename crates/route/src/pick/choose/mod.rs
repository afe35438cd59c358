//! Selects the upstream of a request: eligibility, sample, cost and ceiling.

use std::time::Duration;

use rand::{Rng, RngExt};
use sesamerock_base::key::{Upstream, Zone};
use sesamerock_base::time::Moment;
use smallvec::SmallVec;

use super::Picker;
use super::answer::choice;
use super::group::{GroupView, GroupViews};
use crate::choice::{Choice, Loser, LossReason, MAX_LOSERS, Reason, Refusal, Request};
use crate::hash;
use crate::rank::{self, RankChoice};
use crate::score::{self, Candidate, Cost, Prior};

/// A candidate with its cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scored {
    pub(super) upstream: Upstream,
    pub(super) placement: RankChoice,
    pub(super) matched: u64,
    pub(super) has_affinity: bool,
    pub(super) cost: Cost,
}

impl Picker {
    /// Selects an upstream among the members of a subset.
    ///
    /// # Errors
    ///
    /// Returns why no upstream can take the request.
    pub fn pick(
        &self,
        request: &Request<'_>,
        pool: &[Upstream],
        now: Moment,
        rng: &mut impl Rng,
    ) -> Result<Choice, Refusal> {
        let mut groups = self.groups(request, pool, now);
        let (eligible, mut losers) = self.partition(request, pool, &groups, now);
        if eligible.is_empty() {
            return Err(self.refusal(losers));
        }
        let loads = eligible
            .iter()
            .filter_map(|upstream| self.load(*upstream))
            .map(|load| (load, load.report_weight(now, &self.settings.load)));
        let slownesses = eligible
            .iter()
            .filter_map(|upstream| self.slowness(*upstream, now));
        let prior = score::prior(loads, slownesses, &self.settings.score, rng);
        self.estimate_group_steps(&mut groups, pool, &prior, now);
        let affinity = self.affinity_upstreams(request, &eligible);
        let sampled = self.sample(request, &eligible, &affinity, &prior, &groups, now, rng);
        let mut scored: SmallVec<[Scored; 16]> = sampled
            .iter()
            .filter_map(|upstream| {
                self.score(*upstream, request, &affinity, &prior, &groups, now, rng)
            })
            .collect();
        scored.sort_by(|left, right| left.cost.total.total_cmp(&right.cost.total));
        let Some(best) = scored.first().copied() else {
            return Err(self.refusal(losers));
        };
        let own_cost = |scored: &Scored| scored.cost.total - scored.cost.growth;
        let balanced = scored
            .iter()
            .skip(1)
            .any(|other| own_cost(other) < own_cost(&best));
        losers.extend(scored.iter().skip(1).map(|other| {
            let more = Duration::from_secs_f64(other.cost.total - best.cost.total);
            let reason = if own_cost(other) < own_cost(&best) {
                LossReason::Growth(more)
            } else {
                LossReason::Cost(more)
            };
            Loser {
                upstream: other.upstream,
                reason,
            }
        }));
        let unsampled = eligible
            .iter()
            .filter(|upstream| !sampled.contains(upstream));
        losers.extend(unsampled.map(|upstream| Loser {
            upstream: *upstream,
            reason: LossReason::Unsampled,
        }));
        let ceiling = self.ceiling(request, eligible.len(), &prior);
        let state = self.state(best.upstream);
        let view = state.and_then(|state| groups.of(state));
        Ok(Choice {
            place: state.and_then(|state| state.profile.place),
            elsewhere: self.has_alternative(best.upstream, request, pool, &groups, now),
            max_own_step: view
                .and_then(|view| self.max_own_step(view))
                .filter(|_| ceiling.is_some()),
            ceiling,
            ..choice(&best, request, eligible.len(), balanced, losers)
        })
    }

    /// Selects the upstream of a keyed call to a plain service.
    ///
    /// `pool` must hold all upstreams of the service, not a subset, since every
    /// entry must select the same one. Upstreams that are leaving or out of
    /// service are skipped. The ledger, not this selection, prevents a call from
    /// running twice.
    ///
    /// # Errors
    ///
    /// Returns why no upstream can take the call.
    pub fn keyed(
        &self,
        key: &[u8],
        request: &Request<'_>,
        pool: &[Upstream],
        now: Moment,
    ) -> Result<Choice, Refusal> {
        let mut losers = Vec::new();
        let mut eligible: SmallVec<[(Upstream, u64); 16]> = SmallVec::new();
        for upstream in pool {
            match self.fit(*upstream, request, now) {
                Ok(state) => eligible.push((*upstream, state.profile.name)),
                Err(reason) => losers.push(Loser {
                    upstream: *upstream,
                    reason,
                }),
            }
        }
        let Some(upstream) = hash::rendezvous(hash::name(key), eligible.iter().copied()) else {
            return Err(self.refusal(losers));
        };
        losers.truncate(MAX_LOSERS);
        Ok(Choice {
            upstream,
            rank: None,
            place: None,
            elsewhere: false,
            max_own_step: None,
            reason: Reason::Keyed,
            ceiling: None,
            expected: Duration::ZERO,
            matched: 0,
            uncached: request.prompt,
            tokens: request.tokens,
            isolated: request.isolated,
            losers,
        })
    }

    /// Returns the affinity upstreams of a workspace and prefix. There are two, so
    /// that a large workspace does not depend on the load of one upstream.
    fn affinity_upstreams(
        &self,
        request: &Request<'_>,
        eligible: &[Upstream],
    ) -> SmallVec<[Upstream; 2]> {
        let Some(first) = request.prefix.first() else {
            return SmallVec::new();
        };
        let key = hash::mix(request.workspace, *first);
        let named = |skip: Option<Upstream>| {
            eligible
                .iter()
                .filter(move |upstream| Some(**upstream) != skip)
                .filter_map(|upstream| {
                    self.state(*upstream)
                        .map(|state| (*upstream, state.profile.name))
                })
        };
        let first = hash::rendezvous(key, named(None));
        let second = hash::rendezvous(key, named(first));
        first.into_iter().chain(second).collect()
    }

    /// Returns the candidates to compare: a random sample, the affinity upstreams,
    /// and the candidate with the longest cached part of the prefix.
    #[expect(clippy::too_many_arguments, reason = "one sample from many inputs")]
    fn sample(
        &self,
        request: &Request<'_>,
        eligible: &[Upstream],
        affinity: &[Upstream],
        prior: &Prior,
        groups: &GroupViews,
        now: Moment,
        rng: &mut impl Rng,
    ) -> SmallVec<[Upstream; 16]> {
        let count = rank::sample_size(eligible.len(), self.share(eligible, prior, now));
        let mut shuffled: SmallVec<[Upstream; 64]> = SmallVec::from_slice(eligible);
        let drawn = if groups.is_empty() {
            count
        } else {
            shuffled.len()
        };
        for index in 0..drawn {
            let other = rng.random_range(index..shuffled.len());
            shuffled.swap(index, other);
        }
        let mut sampled: SmallVec<[Upstream; 16]> = shuffled[..count].iter().copied().collect();
        if count < shuffled.len() && !groups.is_empty() {
            self.add_ranks(&shuffled, &mut sampled);
        }
        let longest = eligible
            .iter()
            .map(|upstream| (self.index.matched(*upstream, request.prefix), *upstream))
            .filter(|(matched, _)| *matched > 0)
            .max();
        let drawn = affinity
            .iter()
            .copied()
            .chain(longest.map(|(_, upstream)| upstream));
        for upstream in drawn {
            if !sampled.contains(&upstream) {
                sampled.push(upstream);
            }
        }
        sampled
    }

    /// Adds a second rank of the first candidate's group and two ranks of another
    /// group, so that groups are compared as well: their step times are known, but
    /// a sample may come from a single group.
    fn add_ranks(&self, shuffled: &[Upstream], sampled: &mut SmallVec<[Upstream; 16]>) {
        let group = |upstream: Upstream| Some(self.state(upstream)?.profile.place?.group);
        let own = group(shuffled[0]);
        let same = shuffled.iter().filter(|other| group(**other) == own);
        let other = shuffled.iter().find(|other| group(**other) != own);
        let other = other.map(|other| group(*other));
        let of_other_group = shuffled.iter().filter(|rank| Some(group(**rank)) == other);
        for upstream in same.take(2).chain(of_other_group.take(2)) {
            if !sampled.contains(upstream) {
                sampled.push(*upstream);
            }
        }
    }

    /// Returns this entry's fraction of the calls in flight at the candidates.
    fn share(&self, eligible: &[Upstream], prior: &Prior, now: Moment) -> f64 {
        let mut own = 0.0;
        let mut all = 0.0;
        for load in eligible.iter().filter_map(|upstream| self.load(*upstream)) {
            own += f64::from(load.own_calls());
            let assumed = prior.estimate(load);
            all += load.estimate(now, &assumed, &self.settings.load).calls;
        }
        own / f64::max(all, 1.0)
    }

    #[expect(clippy::too_many_arguments, reason = "one candidate among many inputs")]
    fn score(
        &self,
        upstream: Upstream,
        request: &Request<'_>,
        affinity: &[Upstream],
        prior: &Prior,
        groups: &GroupViews,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<Scored> {
        let state = self.state(upstream)?;
        let assumed = prior.estimate(&state.load);
        let estimate = state.load.estimate(now, &assumed, &self.settings.load);
        let share = f64::from(state.load.own_calls() + 1) / (estimate.calls + 1.0);
        let ranks = state.profile.ranks;
        let placement = rank::place(
            &state.load,
            ranks,
            request.tokens,
            share,
            now,
            &self.settings.load,
            rng,
        );
        let matched = self.index.matched(upstream, request.prefix);
        let has_affinity = affinity.contains(&upstream);
        let view = groups.of(state);
        let growth = view.map_or(placement.growth, |view| {
            self.growth(view, state, request, prior, now)
        });
        let candidate = Candidate {
            load: &state.load,
            estimate,
            matched,
            has_affinity,
            growth,
            step: view.and_then(GroupView::step),
            grouped: view.is_some(),
            slowness: state.slowness.ratio(now, self.settings.score.half_life),
            distance: self.distance(state.profile.zone),
        };
        Some(Scored {
            upstream,
            placement: RankChoice {
                rank: placement.rank.filter(|_| share >= self.settings.rank_share),
                ..placement
            },
            matched,
            has_affinity,
            cost: score::cost(&candidate, request, prior, &self.settings.score),
        })
    }

    fn slowness(&self, upstream: Upstream, now: Moment) -> Option<f64> {
        let half_life = self.settings.score.half_life;
        self.state(upstream)
            .map(|state| state.slowness.ratio(now, half_life))
    }

    fn distance(&self, zone: Zone) -> Duration {
        if zone == self.settings.zone {
            return Duration::ZERO;
        }
        self.settings
            .distances
            .get(&zone)
            .copied()
            .unwrap_or(self.settings.default_distance)
    }
}

//! The choice itself: eligibility, sample, cost, ceiling.

use std::time::Duration;

use rand::{Rng, RngExt};
use sesamerock_base::key::{Upstream, Zone};
use sesamerock_base::time::Moment;
use smallvec::SmallVec;

use super::Picker;
use super::answer::choice;
use super::group::{View, Views};
use crate::choice::{Choice, LOSERS, Loser, Reason, Refusal, Request, Why};
use crate::hash;
use crate::rank::{self, Placement};
use crate::score::{self, Candidate, Cost, Prior};

/// A candidate with its cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scored {
    pub(super) upstream: Upstream,
    pub(super) placement: Placement,
    pub(super) matched: u64,
    pub(super) home: bool,
    pub(super) cost: Cost,
}

impl Picker {
    /// Chooses an upstream among the members of a subset.
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
        let (eligible, mut losers) = self.divide(request, pool, &groups, now);
        if eligible.is_empty() {
            return Err(self.refusal(losers));
        }
        let loads = eligible
            .iter()
            .filter_map(|upstream| self.load(*upstream))
            .map(|load| (load, load.known(now, &self.settings.load)));
        let paces = eligible
            .iter()
            .filter_map(|upstream| self.slowness(*upstream, now));
        let prior = score::prior(loads, paces, &self.settings.score);
        self.pace_groups(&mut groups, pool, &prior, now);
        let homes = self.homes(request, &eligible);
        let sampled = self.sample(request, &eligible, &homes, &prior, &groups, now, rng);
        let mut scored: SmallVec<[Scored; 16]> = sampled
            .iter()
            .filter_map(|upstream| {
                self.score(*upstream, request, &homes, &prior, &groups, now, rng)
            })
            .collect();
        scored.sort_by(|left, right| left.cost.total.total_cmp(&right.cost.total));
        let Some(best) = scored.first().copied() else {
            return Err(self.refusal(losers));
        };
        let alone = |scored: &Scored| scored.cost.total - scored.cost.growth;
        let balanced = scored
            .iter()
            .skip(1)
            .any(|other| alone(other) < alone(&best));
        losers.extend(scored.iter().skip(1).map(|other| {
            let more = Duration::from_secs_f64(other.cost.total - best.cost.total);
            let why = if alone(other) < alone(&best) {
                Why::Growth(more)
            } else {
                Why::Cost(more)
            };
            Loser {
                upstream: other.upstream,
                why,
            }
        }));
        let unsampled = eligible
            .iter()
            .filter(|upstream| !sampled.contains(upstream));
        losers.extend(unsampled.map(|upstream| Loser {
            upstream: *upstream,
            why: Why::Unsampled,
        }));
        let ceiling = self.ceiling(request, eligible.len(), &prior);
        let state = self.state(best.upstream);
        let view = state.and_then(|state| groups.of(state));
        Ok(Choice {
            place: state.and_then(|state| state.profile.place),
            elsewhere: self.elsewhere(best.upstream, request, pool, &groups, now),
            slowest: view
                .and_then(|view| self.slowest(view))
                .filter(|_| ceiling.is_some()),
            ceiling,
            ..choice(&best, request, eligible.len(), balanced, losers)
        })
    }

    /// Chooses the upstream of a keyed call to a plain service.
    ///
    /// The pool must be all upstreams of the service, not a subset: every entry
    /// must choose the same one. An upstream that is leaving or out does not
    /// take part; the ledger, not this choice, keeps a call from running twice.
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
                Err(why) => losers.push(Loser {
                    upstream: *upstream,
                    why,
                }),
            }
        }
        let Some(upstream) = hash::rendezvous(hash::name(key), eligible.iter().copied()) else {
            return Err(self.refusal(losers));
        };
        losers.truncate(LOSERS);
        Ok(Choice {
            upstream,
            rank: None,
            place: None,
            elsewhere: false,
            slowest: None,
            reason: Reason::Keyed,
            ceiling: None,
            expected: Duration::ZERO,
            matched: 0,
            fresh: request.prompt,
            tokens: request.tokens,
            isolated: request.isolated,
            losers,
        })
    }

    /// Returns the two places of a workspace and prefix. Two, so that a large
    /// workspace is not bound to the load of one upstream.
    fn homes(&self, request: &Request<'_>, eligible: &[Upstream]) -> SmallVec<[Upstream; 2]> {
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

    /// Returns the candidates to compare: a random sample, the places of the
    /// prefix, and the candidate with most of it cached.
    #[expect(clippy::too_many_arguments, reason = "one sample from many inputs")]
    fn sample(
        &self,
        request: &Request<'_>,
        eligible: &[Upstream],
        homes: &[Upstream],
        prior: &Prior,
        groups: &Views,
        now: Moment,
        rng: &mut impl Rng,
    ) -> SmallVec<[Upstream; 16]> {
        let count = rank::choices(eligible.len(), self.share(eligible, prior, now));
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
        let drawn = homes
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

    /// Adds a second rank of the first candidate's group, and two ranks of another
    /// one: a sample from one group tells nothing about the others, whose step
    /// times are known.
    fn add_ranks(&self, shuffled: &[Upstream], sampled: &mut SmallVec<[Upstream; 16]>) {
        let group = |upstream: Upstream| Some(self.state(upstream)?.profile.place?.group);
        let own = group(shuffled[0]);
        let same = shuffled.iter().filter(|other| group(**other) == own);
        let other = shuffled.iter().find(|other| group(**other) != own);
        let other = other.map(|other| group(*other));
        let beside = shuffled.iter().filter(|rank| Some(group(**rank)) == other);
        for upstream in same.take(2).chain(beside.take(2)) {
            if !sampled.contains(upstream) {
                sampled.push(*upstream);
            }
        }
    }

    /// Returns this entry's share of the known work of the candidates.
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
        homes: &[Upstream],
        prior: &Prior,
        groups: &Views,
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
        let home = homes.contains(&upstream);
        let view = groups.of(state);
        let growth = view.map_or(placement.growth, |view| {
            self.growth(view, state, request, prior, now)
        });
        let candidate = Candidate {
            load: &state.load,
            estimate,
            matched,
            home,
            growth,
            step: view.and_then(View::step),
            grouped: view.is_some(),
            slowness: state.pace.ratio(now, self.settings.score.half_life),
            distance: self.distance(state.profile.zone),
        };
        Some(Scored {
            upstream,
            placement: Placement {
                rank: placement.rank.filter(|_| share >= self.settings.rank_share),
                ..placement
            },
            matched,
            home,
            cost: score::cost(&candidate, request, prior, &self.settings.score),
        })
    }

    fn slowness(&self, upstream: Upstream, now: Moment) -> Option<f64> {
        let half_life = self.settings.score.half_life;
        self.state(upstream)
            .map(|state| state.pace.ratio(now, half_life))
    }

    fn distance(&self, zone: Zone) -> Duration {
        if zone == self.settings.zone {
            return Duration::ZERO;
        }
        self.settings
            .distances
            .get(&zone)
            .copied()
            .unwrap_or(self.settings.away)
    }
}

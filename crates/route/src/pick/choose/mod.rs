//! The choice itself: eligibility, sample, cost, ceiling.

use std::time::Duration;

use rand::{Rng, RngExt};
use sesamerock_base::key::{Upstream, Zone};
use sesamerock_base::time::Moment;
use smallvec::SmallVec;

use super::{Picker, State};
use crate::choice::{Cause, Choice, LOSERS, Loser, Reason, Refusal, Request, Why};
use crate::hash;
use crate::load::Credit;
use crate::rank::{self, Placement};
use crate::score::{self, Candidate, Cost, Prior};

/// A candidate with its cost.
#[derive(Clone, Copy, Debug)]
struct Scored {
    upstream: Upstream,
    placement: Placement,
    matched: u64,
    home: bool,
    cost: Cost,
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
        let (eligible, mut losers) = self.divide(request, pool, now);
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
        let homes = self.homes(request, &eligible);
        let sampled = self.sample(request, &eligible, &homes, &prior, now, rng);
        let mut scored: SmallVec<[Scored; 16]> = sampled
            .iter()
            .filter_map(|upstream| self.score(*upstream, request, &homes, &prior, now, rng))
            .collect();
        scored.sort_by(|left, right| left.cost.total.total_cmp(&right.cost.total));
        let Some(best) = scored.first().copied() else {
            return Err(self.refusal(losers));
        };
        losers.extend(scored.iter().skip(1).map(|other| Loser {
            upstream: other.upstream,
            why: Why::Cost(Duration::from_secs_f64(other.cost.total - best.cost.total)),
        }));
        let unsampled = eligible
            .iter()
            .filter(|upstream| !sampled.contains(upstream));
        losers.extend(unsampled.map(|upstream| Loser {
            upstream: *upstream,
            why: Why::Unsampled,
        }));
        let ceiling = self.ceiling(request, eligible.len(), &prior);
        Ok(choice(&best, request, eligible.len(), ceiling, losers))
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

    /// Divides a pool into those that can take the request and the others.
    fn divide(
        &self,
        request: &Request<'_>,
        pool: &[Upstream],
        now: Moment,
    ) -> (SmallVec<[Upstream; 64]>, Vec<Loser>) {
        let mut eligible = SmallVec::new();
        let mut losers = Vec::new();
        for upstream in pool {
            match self.eligible(*upstream, request, now) {
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
    fn fit(&self, upstream: Upstream, request: &Request<'_>, now: Moment) -> Result<&State, Why> {
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
        } else if request.excluded.contains(&upstream) {
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
    fn sample(
        &self,
        request: &Request<'_>,
        eligible: &[Upstream],
        homes: &[Upstream],
        prior: &Prior,
        now: Moment,
        rng: &mut impl Rng,
    ) -> SmallVec<[Upstream; 16]> {
        let count = rank::choices(eligible.len(), self.share(eligible, prior, now));
        let mut shuffled: SmallVec<[Upstream; 64]> = SmallVec::from_slice(eligible);
        for index in 0..count {
            let other = rng.random_range(index..shuffled.len());
            shuffled.swap(index, other);
        }
        let mut sampled: SmallVec<[Upstream; 16]> = shuffled[..count].iter().copied().collect();
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

    fn score(
        &self,
        upstream: Upstream,
        request: &Request<'_>,
        homes: &[Upstream],
        prior: &Prior,
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
        let candidate = Candidate {
            load: &state.load,
            estimate,
            matched,
            home,
            growth: placement.growth,
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

    /// Returns the share of the limit above which an upstream should refuse.
    ///
    /// Reports of an entry with few requests are too old to tell which upstream
    /// is loaded now, but their mean is a good estimate of the mean load. The
    /// agent knows its own load, so it can refuse what exceeds the mean by a
    /// share, at the price of one round trip.
    fn ceiling(&self, request: &Request<'_>, eligible: usize, prior: &Prior) -> Option<f64> {
        let others = eligible > 1 && prior.used > 0.0 && !request.once;
        let tries = request.excluded.len() < self.settings.bounces;
        (others && tries)
            .then(|| score::fair(prior) * self.settings.ceiling + score::SLACK / prior.calls)
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

    fn refusal(&self, mut losers: Vec<Loser>) -> Refusal {
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

fn choice(
    best: &Scored,
    request: &Request<'_>,
    eligible: usize,
    ceiling: Option<f64>,
    mut losers: Vec<Loser>,
) -> Choice {
    let reason = if eligible == 1 {
        Reason::Only
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
        ceiling,
        expected: Duration::from_secs_f64(best.cost.first.max(0.0)),
        matched: best.matched,
        fresh: request.prompt.saturating_sub(best.matched),
        tokens: request.tokens,
        isolated: request.isolated,
        losers,
    }
}

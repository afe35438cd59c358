//! Selects a rank behind the agent of one upstream.
//!
//! The ranks of a group run in lockstep, so the slowest determines the step time
//! of all. A rank's step time is projected from its recent own step time and its
//! tokens, so a straggler, which needs more time per token, gets less work.

use std::time::Duration;

use rand::{Rng, RngExt};
use sesamerock_base::time::Moment;

use crate::load::{self, Load, Rank};

/// Lower bound for the number of tokens that cost as much time as the fixed part
/// of a step. No engine reports the fixed part, so it is assumed to be half of a
/// step at the group's mean load; with a much smaller value an empty rank would
/// appear slow per token and get no work.
pub(crate) const FIXED_TOKENS: f64 = 256.0;

/// Fewest candidates compared, as in the power of two choices.
const MIN_SAMPLE: f64 = 2.0;

/// The rank selected within one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RankChoice {
    /// Selected rank, or `None` if the upstream has only one.
    pub rank: Option<u16>,
    /// Fraction by which the call lengthens the group's step.
    pub growth: f64,
}

/// Returns how many of `count` candidates to compare.
///
/// The only sender knows the load exactly and may compare all candidates. One of
/// many senders has stale reports, and if all senders took the least loaded
/// candidate, they would all take the same one. `share` is the fraction of the
/// known work that this entry sent.
pub fn sample_size(count: usize, share: f64) -> usize {
    let rest = (count as f64 - MIN_SAMPLE).max(0.0);
    ((MIN_SAMPLE + rest * share.clamp(0.0, 1.0)) as usize).min(count)
}

/// Selects the rank for a call of `tokens`; `share` is as in [`sample_size`].
pub fn place(
    load: &Load,
    ranks: u16,
    tokens: u64,
    share: f64,
    now: Moment,
    settings: &load::Settings,
    rng: &mut impl Rng,
) -> RankChoice {
    if ranks < 2 {
        return RankChoice::default();
    }
    let rates = Rates::of(load);
    let weight = load.report_weight(now, settings);
    let time = |rank, more: u64| {
        let held = load.rank_work(rank, weight) + more as f64;
        rates.time(load.rank(rank), held)
    };
    let slowest = (0..ranks)
        .map(|rank| time(rank, 0))
        .fold(f64::EPSILON, f64::max);
    let sampled = sample(ranks, sample_size(usize::from(ranks), share), rng);
    let best = sampled
        .map(|rank| (time(rank, tokens), rank))
        .min_by(|left, right| left.0.total_cmp(&right.0));
    best.map_or_else(RankChoice::default, |(projected, rank)| RankChoice {
        rank: Some(rank),
        growth: (projected / slowest - 1.0).max(0.0),
    })
}

/// Returns `count` distinct ranks. From a random start it walks with a random odd
/// stride over the next power of two and skips numbers past the last rank.
fn sample(ranks: u16, count: usize, rng: &mut impl Rng) -> impl Iterator<Item = u16> {
    let span = u32::from(ranks).next_power_of_two();
    let start = rng.random_range(0..span);
    let stride = rng.random_range(0..span) | 1;
    (0..span)
        .map(move |step| start.wrapping_add(step.wrapping_mul(stride)) % span)
        .filter(move |rank| *rank < u32::from(ranks))
        .take(count)
        .map(|rank| rank as u16)
}

/// Relation of tokens to step time in one group.
#[derive(Clone, Copy, Debug)]
struct Rates {
    /// Tokens that cost as much time as the fixed part of a step.
    fixed_tokens: f64,
    /// Mean of the ranks' seconds per token; 1 if no rank reports a step time.
    mean_rate: f64,
}

impl Rates {
    fn of(load: &Load) -> Self {
        let ranks = load.last_report().map_or(&[][..], |report| &report.ranks);
        let count = ranks.len().max(1) as f64;
        let tokens: f64 = ranks.iter().map(|rank| rank.tokens as f64).sum();
        let fixed = (tokens / count).max(FIXED_TOKENS);
        let rates: Vec<f64> = ranks.iter().filter_map(|rank| rate(rank, fixed)).collect();
        let mean = if rates.is_empty() {
            1.0
        } else {
            rates.iter().sum::<f64>() / rates.len() as f64
        };
        Self {
            fixed_tokens: fixed,
            mean_rate: mean,
        }
    }

    /// Returns a rank's expected time for a step with this many tokens: seconds,
    /// or a relative value if no rank reports a step time.
    fn time(&self, rank: Option<&Rank>, tokens: f64) -> f64 {
        let rate = rank
            .and_then(|rank| rate(rank, self.fixed_tokens))
            .unwrap_or(self.mean_rate);
        (tokens + self.fixed_tokens) * rate
    }
}

/// Returns a rank's seconds per token in its recent steps, or `None` if it
/// reports no step time.
fn rate(rank: &Rank, fixed: f64) -> Option<f64> {
    let has_step = rank.step > Duration::ZERO;
    has_step.then(|| rank.step.as_secs_f64() / (rank.tokens as f64 + fixed))
}

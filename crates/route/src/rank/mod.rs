//! Choice of the rank of a group.
//!
//! All ranks step together, so the slowest sets the time of a step for all.
//! A rank's time is projected from its own recent step time and its tokens;
//! a straggler, which needs more time per token, is thus relieved by routing.

use std::time::Duration;

use rand::{Rng, RngExt};
use sesamerock_base::time::Moment;

use crate::load::{self, Load, Rank};

/// Least tokens that cost as much time as the fixed part of a step. The fixed
/// part is taken to be half of a step at the group's mean load, as no engine
/// reports it; with a much smaller figure an empty rank would seem slow per
/// token and get no work.
pub(crate) const FIXED_TOKENS: f64 = 256.0;

/// Fewest ranks compared, as in the power of two choices.
const LEAST_CHOICES: f64 = 2.0;

/// A rank chosen within one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Placement {
    /// The rank, if the upstream has more than one.
    pub rank: Option<u16>,
    /// By which share the group's step becomes longer.
    pub growth: f64,
}

/// Returns how many of `count` candidates to compare.
///
/// Whoever sends all the work knows the load exactly and may compare all; one
/// of many senders has stale reports, and if all of them took the least loaded
/// candidate they would take the same one. `share` is the share of the known
/// work that this entry sent.
pub fn choices(count: usize, share: f64) -> usize {
    let rest = (count as f64 - LEAST_CHOICES).max(0.0);
    ((LEAST_CHOICES + rest * share.clamp(0.0, 1.0)) as usize).min(count)
}

/// Chooses the rank for a call of `tokens`.
pub fn place(
    load: &Load,
    ranks: u16,
    tokens: u64,
    share: f64,
    now: Moment,
    settings: &load::Settings,
    rng: &mut impl Rng,
) -> Placement {
    if ranks < 2 {
        return Placement::default();
    }
    let pace = Rates::of(load);
    let known = load.known(now, settings);
    let time = |rank, more: u64| {
        let held = load.rank_work(rank, known) + more as f64;
        pace.time(load.rank(rank), held)
    };
    let slowest = (0..ranks)
        .map(|rank| time(rank, 0))
        .fold(f64::EPSILON, f64::max);
    let sampled = sample(ranks, choices(usize::from(ranks), share), rng);
    let best = sampled
        .map(|rank| (time(rank, tokens), rank))
        .min_by(|left, right| left.0.total_cmp(&right.0));
    best.map_or_else(Placement::default, |(projected, rank)| Placement {
        rank: Some(rank),
        growth: (projected / slowest - 1.0).max(0.0),
    })
}

/// Returns `count` distinct ranks: a random start and a random odd stride walk
/// over the next power of two, skipping what is past the end.
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

/// Relation of tokens to time in one group.
#[derive(Clone, Copy, Debug)]
struct Rates {
    /// Tokens that cost as much as the fixed part of a step.
    fixed: f64,
    /// Seconds per token, the mean over the ranks.
    mean: f64,
}

impl Rates {
    fn of(load: &Load) -> Self {
        let ranks = load.last().map_or(&[][..], |report| &report.ranks);
        let count = ranks.len().max(1) as f64;
        let tokens: f64 = ranks.iter().map(|rank| rank.tokens as f64).sum();
        let fixed = (tokens / count).max(FIXED_TOKENS);
        let rates: Vec<f64> = ranks.iter().filter_map(|rank| rate(rank, fixed)).collect();
        let mean = if rates.is_empty() {
            1.0
        } else {
            rates.iter().sum::<f64>() / rates.len() as f64
        };
        Self { fixed, mean }
    }

    /// Returns a rank's expected time for a step with this many tokens.
    fn time(&self, rank: Option<&Rank>, tokens: f64) -> f64 {
        let rate = rank
            .and_then(|rank| rate(rank, self.fixed))
            .unwrap_or(self.mean);
        (tokens + self.fixed) * rate
    }
}

/// Returns a rank's seconds per token in its recent steps.
fn rate(rank: &Rank, fixed: f64) -> Option<f64> {
    let known = rank.step > Duration::ZERO;
    known.then(|| rank.step.as_secs_f64() / (rank.tokens as f64 + fixed))
}

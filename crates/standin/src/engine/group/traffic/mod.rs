//! Random expert load of a group: the tokens that each rank computes in a step.

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;
use sesamerock_client::engine::{Experts, Placement};

/// Popularity of the experts and speeds of the ranks.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Content of the first map; no layers stand for no traffic.
    pub first: Placement,
    /// Tokens per step and layer.
    pub tokens: f64,
    /// Time of a token in one expert on a rank of speed 1, in seconds.
    pub token_time: f64,
    /// Share of each expert in the tokens of each layer.
    pub shares: Vec<Vec<f64>>,
    /// Speed per rank; ranks that are not named have speed 1.
    pub speeds: Vec<f64>,
    /// Source of the sampling noise.
    pub rng: ChaCha8Rng,
}

impl Default for Traffic {
    fn default() -> Self {
        Self {
            first: Placement::default(),
            tokens: 0.0,
            token_time: 0.0,
            shares: Vec::new(),
            speeds: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(1),
        }
    }
}

/// Token counts by layer and expert, and computing time, of one rank in a step.
#[derive(Clone, Debug, Default)]
pub(super) struct Work {
    counts: Vec<Vec<u64>>,
    handled: f64,
    busy_s: f64,
}

impl Work {
    /// Returns the time that the rank's experts took, in seconds.
    pub(super) fn seconds(&self) -> f64 {
        self.busy_s
    }

    pub(super) fn add_to(&self, sum: &mut Experts) {
        sum.busy_us += (self.busy_s * 1e6).round() as u64;
        sum.handled += self.handled.round() as u64;
        sum.counts.resize(self.counts.len(), Vec::new());
        for (sums, counts) in sum.counts.iter_mut().zip(&self.counts) {
            sums.resize(counts.len(), 0);
            for (sum, count) in sums.iter_mut().zip(counts) {
                *sum += count;
            }
        }
    }
}

/// Expert work of all ranks in a step.
#[derive(Clone, Debug)]
pub(super) struct StepWork {
    pub(super) ranks: Vec<Work>,
    /// Time of the slowest rank, summed over layers, in seconds.
    pub(super) longest: f64,
    /// The slowest rank's time over the mean.
    pub(super) skew: f64,
}

impl Traffic {
    /// Draws the tokens of a step. Each rank computes the tokens of the experts
    /// that its own map assigns to it.
    pub(super) fn draw(&mut self, placements: &[Option<Placement>]) -> StepWork {
        let ranks = placements.len();
        let mut step_work = StepWork {
            ranks: vec![Work::default(); ranks],
            longest: 0.0,
            skew: 1.0,
        };
        let mut mean = 0.0;
        for layer in 0..self.first.layers.len() {
            let mut loads = vec![0.0; self.shares[layer].len()];
            for work in &mut step_work.ranks {
                let expected = self.shares[layer]
                    .iter()
                    .map(|share| share * self.tokens / ranks as f64);
                let counts: Vec<u64> = expected
                    .map(|expected| sample(expected, &mut self.rng))
                    .collect();
                for (load, count) in loads.iter_mut().zip(&counts) {
                    *load += *count as f64;
                }
                work.counts.push(counts);
            }
            let mut times = Vec::new();
            for (rank, placement) in placements.iter().enumerate() {
                let placement = placement.as_ref().unwrap_or(&self.first);
                let load = load_of(&placement.layers[layer], rank as u16, &loads);
                let speed = self.speeds.get(rank).copied().unwrap_or(1.0);
                let busy_s = load * self.token_time / speed;
                step_work.ranks[rank].handled += load;
                step_work.ranks[rank].busy_s += busy_s;
                times.push(busy_s);
            }
            step_work.longest += times.iter().copied().fold(0.0, f64::max);
            mean += times.iter().sum::<f64>() / ranks as f64;
        }
        if mean > 0.0 {
            step_work.skew = step_work.longest / mean;
        }
        step_work
    }
}

/// Returns the tokens of one rank; replicas share an expert's tokens evenly.
fn load_of(hosts: &[Vec<u16>], rank: u16, loads: &[f64]) -> f64 {
    let held = hosts.iter().zip(loads);
    held.filter(|(hosts, _)| hosts.contains(&rank))
        .map(|(hosts, load)| load / hosts.len() as f64)
        .sum()
}

/// Draws a count whose variance is its mean; the sum of twelve uniform
/// variables is nearly normal.
fn sample(expected: f64, rng: &mut ChaCha8Rng) -> u64 {
    let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (expected + expected.sqrt() * normal).round().max(0.0) as u64
}

//! Seeded popularity and speeds over time, and sampled token counts.

use std::f64::consts::TAU;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Period of the drift.
const DAY_S: f64 = 86_400.0;
/// Amplitude of the drift of the logarithm of popularity.
const DRIFT: f64 = 0.8;
/// Standard deviation of the logarithm of popularity at the start.
const SPREAD: f64 = 0.8;
/// Speed of the slow rank.
const SLOW: f64 = 0.7;
/// Part of the experts that swap their popularity with another one.
const SWAPPED: usize = 10;
/// Above this mean a Poisson variable is drawn as a normal one.
const NORMAL_ABOVE: f64 = 30.0;

/// What changes in a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Each expert's popularity follows a daily cycle of its own phase.
    Drift,
    /// The most popular experts swap with others after 1/3 and 2/3 of the time.
    Swap,
    /// One rank is slow in the second third of the time.
    Slow,
    /// Only the sampling of tokens varies.
    Noise,
}

/// Popularity and speeds as a function of time.
#[derive(Debug)]
pub struct Trace {
    kind: Kind,
    seconds: u32,
    ranks: usize,
    base: Vec<Vec<f64>>,
    phase: Vec<Vec<f64>>,
    rng: ChaCha8Rng,
}

impl Trace {
    /// Makes a trace of some layers over some seconds.
    pub fn new(
        kind: Kind,
        ranks: usize,
        experts: usize,
        layers: usize,
        seconds: u32,
        seed: u64,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut table = |draw: fn(&mut ChaCha8Rng) -> f64| -> Vec<Vec<f64>> {
            let mut layer = |_| (0..experts).map(|_| draw(&mut rng)).collect();
            (0..layers).map(&mut layer).collect()
        };
        let base = table(|rng| SPREAD * normal(rng));
        let phase = table(RngExt::random::<f64>);
        Self {
            kind,
            seconds,
            ranks,
            base,
            phase,
            rng,
        }
    }

    /// Moves the time to a second.
    pub fn step(&mut self, second: u32) {
        let third = self.seconds / 3;
        if self.kind != Kind::Swap || (second != third && second != 2 * third) {
            return;
        }
        for base in &mut self.base {
            let mut order: Vec<_> = (0..base.len()).collect();
            order.sort_by(|a, b| base[*b].total_cmp(&base[*a]));
            for popular in &order[..base.len() / SWAPPED] {
                let other = self.rng.random_range(0..base.len());
                base.swap(*popular, other);
            }
        }
    }

    /// Returns the true share of each expert per layer.
    pub fn shares(&self, second: u32) -> Vec<Vec<f64>> {
        let turn = f64::from(second) / DAY_S;
        let layers = self.base.iter().zip(&self.phase);
        layers
            .map(|(base, phase)| {
                let weight = |(base, phase): (&f64, &f64)| match self.kind {
                    Kind::Drift => (base + DRIFT * ((turn + phase) * TAU).sin()).exp(),
                    _ => base.exp(),
                };
                let mut shares: Vec<f64> = base.iter().zip(phase).map(weight).collect();
                let total: f64 = shares.iter().sum();
                for share in &mut shares {
                    *share /= total;
                }
                shares
            })
            .collect()
    }

    /// Returns the true speed of each rank.
    pub fn speeds(&self, second: u32) -> Vec<f64> {
        let mut speeds = vec![1.0; self.ranks];
        let third = self.seconds / 3;
        if self.kind == Kind::Slow && (third..2 * third).contains(&second) {
            speeds[self.ranks / 2] = SLOW;
        }
        speeds
    }

    /// Draws the tokens per expert and layer for a number of tokens in all.
    pub fn sample(&mut self, shares: &[Vec<f64>], tokens: f64) -> Vec<Vec<u32>> {
        let rng = &mut self.rng;
        let mut draw = |share: &f64| poisson(rng, share * tokens);
        let mut layer = |shares: &Vec<f64>| shares.iter().map(&mut draw).collect();
        shares.iter().map(&mut layer).collect()
    }

    /// Returns true with a probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.rng.random::<f64>() < probability
    }

    /// Returns a measured speed with an error of 2 %.
    pub fn measured(&mut self, speed: f64) -> f64 {
        speed * (1.0 + 0.02 * normal(&mut self.rng))
    }
}

fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (rng.random::<f64>() * TAU).cos()
}

fn poisson(rng: &mut ChaCha8Rng, mean: f64) -> u32 {
    if mean > NORMAL_ABOVE {
        return (mean + mean.sqrt() * normal(rng)).round().max(0.0) as u32;
    }
    let floor = (-mean).exp();
    let mut product = rng.random::<f64>();
    let mut count = 0;
    while product > floor {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

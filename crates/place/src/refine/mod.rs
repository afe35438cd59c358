//! Improves all layers of a map together, within a limit on the copies of each rank.
//!
//! A rank copies the experts of a map one after the other, so the rank with the most
//! copies determines when the map can be used. Where demand shifts every few seconds, a
//! map that spreads few copies over all ranks is in use long before a better one.

use crate::map::{Layer, Map, Share};
use crate::search::{Evaluator, Op};

/// Limits of an improvement.
#[derive(Clone, Copy, Debug)]
pub struct RefineSettings {
    /// Fraction of a layer's time that each copy must save.
    pub price: f64,
    /// Maximum number of experts that a rank copies, over all layers.
    pub copies: u16,
    /// Maximum number of experts that a rank copies in one layer.
    pub layer_copies: u16,
    /// Tokens per step, which determine the random variation of the load in a step.
    pub step_tokens: f64,
    /// Limit on the search work: the number of rank times that are predicted.
    pub work: u64,
}

impl Default for RefineSettings {
    fn default() -> Self {
        Self {
            price: 0.01,
            copies: 1,
            layer_copies: 1,
            step_tokens: 2_000.0,
            work: 1_500_000,
        }
    }
}

/// Result of an improvement.
#[derive(Clone, Debug)]
pub struct Refined {
    /// The map; equal to the old one if nothing was worth its copies.
    pub map: Map,
    /// Imbalance of the old map, see [`imbalance`].
    pub before: f64,
    /// Imbalance of the new map.
    pub after: f64,
    /// Number of copies of the rank with the most copies.
    pub copies: u16,
}

/// Improves a map. `shares` holds, by layer, the fraction of the tokens that each expert
/// receives. All ranks are assumed to be equally fast.
pub fn improve(map: &Map, shares: &[Vec<f64>], refine: &RefineSettings) -> Refined {
    let speeds = vec![1.0; map.ranks()];
    let mut evaluators: Vec<Evaluator> = Vec::new();
    for (layer, shares) in map.layers.iter().zip(shares) {
        let mut evaluator = Evaluator::default();
        evaluator.set_ranks(&speeds, &map.slots, Share::Even);
        evaluator.load_layer(layer, shares, refine.step_tokens);
        evaluators.push(evaluator);
    }
    let mut work = refine.work;
    let mut copies = vec![0_u16; map.ranks()];
    let mut layer_copies = vec![copies.clone(); evaluators.len()];
    // A found improvement stays valid until its layer changes or a rank is closed in it.
    let mut ops: Vec<Option<Op>> = evaluators
        .iter_mut()
        .map(|evaluator| evaluator.find_improvement(refine.price, &mut work))
        .collect();
    while let Some((layer, op)) = best_op(&ops) {
        evaluators[layer].apply(&op);
        let mut stale = vec![false; evaluators.len()];
        stale[layer] = true;
        for (_, rank) in op.loads() {
            let index = usize::from(rank);
            copies[index] += 1;
            layer_copies[layer][index] += 1;
            if copies[index] >= refine.copies {
                for evaluator in &mut evaluators {
                    evaluator.close(rank);
                }
                stale.fill(true);
            } else if layer_copies[layer][index] >= refine.layer_copies {
                evaluators[layer].close(rank);
            }
        }
        for (layer_index, evaluator) in evaluators.iter_mut().enumerate() {
            if stale[layer_index] {
                ops[layer_index] = evaluator.find_improvement(refine.price, &mut work);
            }
        }
    }
    let next = Map {
        slots: map.slots.clone(),
        layers: evaluators.iter().map(Evaluator::layer).collect(),
    };
    Refined {
        before: mean_imbalance(map, shares, &speeds),
        after: mean_imbalance(&next, shares, &speeds),
        copies: copies.into_iter().max().unwrap_or_default(),
        map: next,
    }
}

fn best_op(ops: &[Option<Op>]) -> Option<(usize, Op)> {
    let found = ops.iter().enumerate();
    let found = found.filter_map(|(layer, op)| Some((layer, (*op)?)));
    found.max_by(|(_, a), (_, b)| a.score.total_cmp(&b.score))
}

/// Returns the imbalance of a map: the time of the busiest rank relative to perfect balance,
/// less 1, averaged over the layers. All ranks are assumed to be equally fast. `shares`
/// holds, by layer, the fraction of the tokens that each expert receives.
pub fn imbalance(map: &Map, shares: &[Vec<f64>]) -> f64 {
    mean_imbalance(map, shares, &vec![1.0; map.ranks()])
}

/// Returns the time of the busiest rank relative to perfect balance, less 1, averaged over
/// the layers.
fn mean_imbalance(map: &Map, shares: &[Vec<f64>], speeds: &[f64]) -> f64 {
    let layer_imbalance = |layer: &Layer, shares: &Vec<f64>| {
        let mut times = vec![0.0; speeds.len()];
        layer.times(shares, speeds, Share::Even, &mut times);
        let busiest = times.iter().copied().fold(0.0, f64::max);
        busiest * speeds.len() as f64 - 1.0
    };
    let layers = map.layers.iter().zip(shares);
    let sum: f64 = layers
        .map(|(layer, shares)| layer_imbalance(layer, shares))
        .sum();
    sum / map.layers.len().max(1) as f64
}

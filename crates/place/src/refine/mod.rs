//! Improves all layers of a map at once, within a bound of copies for each rank.
//!
//! A rank copies the experts of one map one after the other, so the rank with most
//! copies decides when the map can be used. Where demand shifts every few seconds, a
//! map that spreads few copies over all ranks is in use long before a better one.

use crate::map::{Layer, Map, Share};
use crate::search::{Evaluator, Op};

/// Bounds of an improvement.
#[derive(Clone, Copy, Debug)]
pub struct Refine {
    /// Part of a layer's time that each copy must save.
    pub price: f64,
    /// Most experts that a rank copies, in all layers together.
    pub copies: u16,
    /// Most experts that a rank copies in one layer.
    pub layer_copies: u16,
    /// Tokens of a step, from which its variation follows.
    pub step_tokens: f64,
    /// Ranks whose times are predicted, at most.
    pub work: u64,
}

impl Default for Refine {
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

/// An improved map.
#[derive(Clone, Debug)]
pub struct Refined {
    /// The map.
    pub map: Map,
    /// Time of the busiest rank beyond perfect balance, mean of the layers, before.
    pub before: f64,
    /// The same after.
    pub after: f64,
    /// Most experts that a rank copies.
    pub copies: u16,
}

/// Improves a map. `shares` holds, by layer, the part of the tokens that each expert
/// gets. All ranks are equally fast.
pub fn map(map: &Map, shares: &[Vec<f64>], refine: &Refine) -> Refined {
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
    // An improvement holds until its layer changes or a rank is closed in it.
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

/// Returns the time of the busiest rank beyond perfect balance, mean of the layers, where
/// all ranks are equally fast. `shares` holds, by layer, the part of the tokens that
/// each expert gets.
pub fn imbalance(map: &Map, shares: &[Vec<f64>]) -> f64 {
    mean_imbalance(map, shares, &vec![1.0; map.ranks()])
}

/// Returns the mean over the layers of the time of the busiest rank beyond perfect
/// balance.
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

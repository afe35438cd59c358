//! Cost model: the predicted step time, the time that a better map saves and the
//! cost of a transfer.

use std::time::Duration;

use crate::map::{Map, Share};

/// Parameters of the cost model for one group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Model {
    /// Time of a step that does not depend on the map.
    pub fixed: Duration,
    /// Time that a rank of speed 1 takes for one token in one expert, in
    /// seconds.
    pub token_time: f64,
    /// Size of the weights of one expert of one layer, in bytes.
    pub expert_bytes: u64,
    /// Time that the group loses per transferred expert because staging uses
    /// memory bandwidth that the steps need.
    pub stall: Duration,
    /// Time that the group loses per transferred expert until the new owner has
    /// warm caches and compiled batches again.
    pub cache_loss: Duration,
    /// How long a map is expected to stay better than the previous one.
    pub lifetime: Duration,
}

impl Default for Model {
    fn default() -> Self {
        Self {
            fixed: Duration::from_millis(5),
            token_time: 2e-6,
            expert_bytes: 44 << 20,
            stall: Duration::from_millis(4),
            cache_loss: Duration::from_millis(1),
            lifetime: Duration::from_mins(30),
        }
    }
}

impl Model {
    /// Returns the predicted time of a step in seconds.
    ///
    /// `loads` holds, per layer, the tokens per expert in one step.
    pub fn step_time(&self, map: &Map, loads: &[Vec<f64>], speeds: &[f64], share: Share) -> f64 {
        let mut times = vec![0.0; map.ranks()];
        let mut sum = 0.0;
        for (layer, loads) in map.layers.iter().zip(loads) {
            times.fill(0.0);
            layer.times(loads, speeds, share, &mut times);
            sum += times.iter().copied().fold(0.0, f64::max);
        }
        self.fixed.as_secs_f64() + self.token_time * sum
    }

    /// Returns the time that an improvement saves over the map's lifetime, in
    /// seconds.
    ///
    /// `improvement` is the fraction of the step time that is saved.
    pub fn saving(&self, improvement: f64) -> f64 {
        improvement * self.lifetime.as_secs_f64()
    }

    /// Returns the time that the group loses by the transfer of one expert, in
    /// seconds.
    pub fn transfer_cost(&self) -> f64 {
        (self.stall + self.cache_loss).as_secs_f64()
    }
}

//! Chooses among upstreams whose load is known late.
//!
//! Gateways learn each other's calls from heartbeats. Between two heartbeats, all of them see
//! the same upstream as the least loaded one; if each chose it, it would get the calls of
//! all. So each call is sent to the least loaded of a few upstreams that are drawn at random,
//! with probabilities that grow with their free slots. To reuse connections, a gateway considers
//! those of its availability zone and, if these have too few free slots, others in an order of
//! its own. See docs/notes/load.md.

use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

use crate::upstream::Record;

/// Gateways times draws, within the limits below.
const GATEWAY_DRAWS: usize = 36;
/// Fewest upstreams that are drawn for a call.
const MIN_DRAWS: usize = 2;
/// Most upstreams that are drawn for a call.
const MAX_DRAWS: usize = 8;
/// Lowest weight of an upstream with free slots, relative to one that is idle. Upstreams that
/// fail all their calls keep it, so that their recovery is noticed.
const MIN_WEIGHT: f64 = 1e-3;

/// The upstreams considered for one call.
#[derive(Debug)]
pub struct Selection<'a> {
    /// Free slots after which no further upstream is considered.
    enough: usize,
    free_slots: usize,
    with_free_slots: Vec<(&'a Arc<Record>, f64)>,
    full: Vec<(&'a Arc<Record>, f64)>,
}

impl<'a> Selection<'a> {
    /// Starts without upstreams. `enough` is the number of free slots to consider.
    pub fn new(enough: usize) -> Self {
        Self {
            enough,
            free_slots: 0,
            with_free_slots: Vec::new(),
            full: Vec::new(),
        }
    }

    /// Adds an upstream with `load` calls, one that may be given a call even if it has no free
    /// slot. `penalty` is its rate of failures, in multiples of a full load; `headroom` tells
    /// how much its group may still run.
    pub fn add(&mut self, record: &'a Arc<Record>, load: u32, penalty: f64, headroom: f64) {
        let slots = f64::from(record.slots.max(1));
        let free = record.slots.saturating_sub(load);
        let relative = f64::from(free) / slots - penalty;
        // The square prefers idle upstreams more than free slots alone would.
        let weight = relative.max(0.0).powi(2).max(MIN_WEIGHT) * headroom;
        if free == 0 {
            let weight = (1.0 - penalty).max(MIN_WEIGHT) * headroom;
            self.full.push((record, weight));
            return;
        }
        if relative > 0.0 {
            self.free_slots += free as usize;
        }
        self.with_free_slots.push((record, weight));
    }

    /// Returns whether the upstreams added so far have enough free slots.
    pub fn is_sufficient(&self) -> bool {
        self.free_slots >= self.enough
    }

    /// Chooses an upstream, one with free slots if there is any: the one with the most weight
    /// of some that are drawn at random by their weights.
    pub fn choose(&self, draws: usize, random: &mut Random) -> Option<&'a Arc<Record>> {
        let options = if self.with_free_slots.is_empty() {
            &self.full
        } else {
            &self.with_free_slots
        };
        let selected = (0..draws).filter_map(|_| draw(options, random));
        let best = selected.max_by(|(_, one), (_, other)| one.total_cmp(other));
        best.map(|(record, _)| record)
    }
}

/// Draws an upstream with a probability in proportion to its weight.
fn draw<'a>(
    options: &[(&'a Arc<Record>, f64)],
    random: &mut Random,
) -> Option<(&'a Arc<Record>, f64)> {
    let total: f64 = options.iter().map(|(_, weight)| weight).sum();
    let mut left = random.0.random::<f64>() * total;
    let chosen = options.iter().find(|(_, weight)| {
        left -= weight;
        left < 0.0
    });
    // Rounding may leave a remainder after the last option.
    chosen.or(options.last()).copied()
}

/// Returns how many upstreams are drawn for one call. Ranks of a group wait for the busiest one,
/// so the least loaded of several is chosen; with many gateways fewer are drawn, as more calls
/// of others are not known yet.
pub fn draws(gateways: usize) -> usize {
    (GATEWAY_DRAWS / gateways.max(1)).clamp(MIN_DRAWS, MAX_DRAWS)
}

/// Source of the random choices of one gateway.
#[derive(Debug)]
pub struct Random(SmallRng);

impl Random {
    /// Creates a source whose choices depend only on `seed`.
    pub fn new(seed: u64) -> Self {
        Self(SmallRng::seed_from_u64(seed))
    }

    /// Returns a number from 0 to 1.
    pub fn fraction(&mut self) -> f64 {
        self.0.random()
    }
}

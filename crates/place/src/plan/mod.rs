//! The planner: computes the next map, and the moves that lead to it, from token
//! counts.
//!
//! [`Planner::round`] is called about once a second. It searches only layers
//! whose predicted imbalance has changed, worst first, and limits the search
//! work, the bytes and the staged experts of a round. [`Planner::begin`],
//! [`Planner::advance`] and [`Planner::finish`] run a round in slices.

mod moves;
mod round;
mod settings;
mod speed;

use sesamerock_base::time::Moment;

use crate::budget::Budget;
use crate::estimate::Estimate;
use crate::map::{Fault, Map, Move};
use crate::search::Evaluator;

pub use round::Round;
pub use settings::Settings;
use speed::Speeds;
pub use speed::{Relief, Stage};

/// The outcome of a planning round.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Moves from the current map to the next one; empty if no improvement
    /// exceeds its cost.
    pub moves: Vec<Move>,
    /// The next map, if there are moves. It is in effect once
    /// [`Planner::adopt`] is called.
    pub next: Option<Map>,
    /// Predicted improvement as a fraction of the step time.
    pub improvement: f64,
    /// Bytes to request from the weight store.
    pub store_bytes: u64,
    /// Bytes to transfer between ranks.
    pub peer_bytes: u64,
    /// Slow ranks, and the measures taken for each.
    pub relief: Vec<Relief>,
    /// Layers that were searched and not changed, since the best sequence of
    /// moves improves them too little.
    pub rejected: Vec<Rejected>,
    /// Number of layers that were searched.
    pub searched: usize,
    /// Search work of the round: the number of rank times that were predicted;
    /// see [`Settings::work`].
    pub work: u64,
}

/// A layer whose best sequence of moves does not reach the threshold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejected {
    /// Index of the layer.
    pub layer: u16,
    /// Predicted improvement as a fraction of the layer's time.
    pub improvement: f64,
    /// Improvement at which the moves would be planned.
    pub needed: f64,
}

/// Plans the placement of one group's experts.
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    map: Map,
    estimates: Vec<Estimate>,
    /// Imbalance of each layer at its last search without a worthwhile result;
    /// `None` if the layer or the speeds of ranks have changed since.
    rejected_imbalance: Vec<Option<f64>>,
    /// Whether a layer is to be evaluated by the next round, for instance because
    /// of a new report.
    changed: Vec<bool>,
    speeds: Speeds,
    exports: Vec<bool>,
    store: Budget,
    peer: Budget,
    pending: bool,
    /// Number of maps adopted; rounds that began before the last one are void.
    adopted: u64,
    evaluator: Evaluator,
}

impl Planner {
    /// Makes a planner that starts from the current map.
    ///
    /// # Errors
    ///
    /// Returns the fault of an invalid map.
    pub fn new(map: Map, settings: Settings, now: Moment) -> Result<Self, Fault> {
        map.check()?;
        let layers = map.layers.len();
        let ranks = map.ranks();
        // A swap is the largest indivisible request.
        let reserve = 2 * settings.model.expert_bytes;
        Ok(Self {
            settings,
            estimates: map
                .layers
                .iter()
                .map(|layer| Estimate::new(layer.experts()))
                .collect(),
            rejected_imbalance: vec![None; layers],
            changed: vec![false; layers],
            speeds: Speeds::new(ranks, settings.straggler_hold),
            exports: vec![false; ranks],
            store: Budget::new(settings.store_rate, reserve, now),
            peer: Budget::new(settings.peer_rate, reserve, now),
            pending: false,
            adopted: 0,
            evaluator: Evaluator::default(),
            map,
        })
    }

    /// Adds a report: the token counts per expert of a layer over `steps` steps
    /// that ended at `at`. Reports may be late or missing; unknown layers are
    /// ignored.
    pub fn observe(&mut self, at: Moment, layer: u16, counts: &[u32], steps: u32) {
        let layer = usize::from(layer);
        if let Some(estimate) = self.estimates.get_mut(layer) {
            estimate.observe(at, counts, steps, self.settings.decay_time);
            self.changed[layer] = true;
        }
    }

    /// Adds a measured speed of a rank, which is smoothed; 1 is the nominal
    /// speed.
    pub fn set_speed(&mut self, now: Moment, rank: u16, speed: f64) {
        self.speeds.observe(now, rank, speed);
    }

    /// Returns the speed of each rank by which tokens of replicated experts are
    /// to be split at present.
    pub fn routing(&self) -> &[f64] {
        self.speeds.routing()
    }

    /// Sets whether a rank's engine can export its experts to peers.
    pub fn set_exports(&mut self, rank: u16, can_export: bool) {
        if let Some(known) = self.exports.get_mut(usize::from(rank)) {
            *known = can_export;
        }
    }

    /// Halves the rate of store requests after the weight store answered 429.
    pub fn store_refused(&mut self, now: Moment) {
        self.store.refused(now);
    }

    /// Sets the group's fair share of the store's rate, in bytes per second.
    pub fn set_store_rate(&mut self, now: Moment, rate: u64) {
        self.store.set_rate(now, rate);
    }

    /// Returns the map that the group uses at present.
    pub fn map(&self) -> &Map {
        &self.map
    }

    /// Makes `map`, which the group has switched to, the current map.
    ///
    /// # Errors
    ///
    /// Returns the fault of an invalid map, or [`Fault::Shape`] if its shape is
    /// not that of the current map.
    pub fn adopt(&mut self, map: Map) -> Result<(), Fault> {
        map.check()?;
        if !self.map.same_shape(&map) {
            return Err(Fault::Shape);
        }
        self.pending = false;
        self.adopted += 1;
        let layers = self.map.layers.iter().zip(&map.layers);
        for (rejected_imbalance, (old, new)) in self.rejected_imbalance.iter_mut().zip(layers) {
            if old != new {
                *rejected_imbalance = None;
            }
        }
        self.map = map;
        Ok(())
    }

    /// Abandons the last plan, for instance because a rank was replaced while
    /// the plan was staged. Bytes already requested remain spent.
    pub fn abandon(&mut self) {
        self.pending = false;
    }

    /// Runs one planning round. While the last plan is neither adopted nor
    /// abandoned, the result has no moves.
    pub fn round(&mut self, now: Moment) -> Plan {
        let mut round = self.begin(now);
        while !self.advance(&mut round, u64::MAX) {}
        self.finish(round)
    }
}

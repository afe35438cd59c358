//! The planner: from reports to the next map and the moves that lead to it.
//!
//! [`Planner::round`] is called about once a second. It searches only layers
//! whose predicted imbalance changed, worst first, and bounds the work, the
//! bytes and the staged experts of a round. [`Planner::begin`],
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
    /// Moves from the current map to the next one; none if nothing is worth
    /// its cost.
    pub moves: Vec<Move>,
    /// The next map, if there are moves. It is in effect once
    /// [`Planner::adopt`] is called.
    pub next: Option<Map>,
    /// Predicted gain as a part of the step time.
    pub improvement: f64,
    /// Bytes to request from the weight store.
    pub store_bytes: u64,
    /// Bytes to transfer between ranks.
    pub peer_bytes: u64,
    /// Ranks that are slow, and how they are relieved.
    pub relief: Vec<Relief>,
    /// Layers that were searched and left as they are, since the best chain of
    /// moves gains too little.
    pub rejected: Vec<Rejected>,
    /// Layers that were searched.
    pub searched: usize,
    /// Times of ranks that were predicted; see [`Settings::work`].
    pub work: u64,
}

/// Moves of a layer that are not worth their cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejected {
    /// The layer.
    pub layer: u16,
    /// Predicted gain as a part of the layer's time.
    pub improvement: f64,
    /// Gain that would be worth the moves.
    pub needed: f64,
}

/// Plans the placement of one group's experts.
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    map: Map,
    estimates: Vec<Estimate>,
    /// Loss of a layer when a search last found nothing.
    rejected_imbalance: Vec<Option<f64>>,
    /// Layers with a report since they were last looked at.
    changed: Vec<bool>,
    speeds: Speeds,
    exports: Vec<bool>,
    store: Budget,
    peer: Budget,
    pending: bool,
    /// Number of maps adopted, which makes rounds that began earlier void.
    adopted: u64,
    evaluator: Evaluator,
}

impl Planner {
    /// Makes a planner for the current map.
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

    /// Adds the token counts per expert of some steps of a layer that ended at
    /// `at`. Reports may be late and may be missing.
    pub fn observe(&mut self, at: Moment, layer: u16, counts: &[u32], steps: u32) {
        let layer = usize::from(layer);
        if let Some(estimate) = self.estimates.get_mut(layer) {
            estimate.observe(at, counts, steps, self.settings.memory);
            self.changed[layer] = true;
        }
    }

    /// Sets the measured speed of a rank; 1 is the nominal speed.
    pub fn set_speed(&mut self, now: Moment, rank: u16, speed: f64) {
        self.speeds.observe(now, rank, speed);
    }

    /// Returns the speed per rank by which tokens of replicated experts are to
    /// be split now.
    pub fn routing(&self) -> &[f64] {
        self.speeds.routing()
    }

    /// Says whether a rank's engine can export its experts to peers.
    pub fn set_exports(&mut self, rank: u16, can_export: bool) {
        if let Some(known) = self.exports.get_mut(usize::from(rank)) {
            *known = can_export;
        }
    }

    /// Reduces the rate after the weight store answered 429.
    pub fn store_refused(&mut self, now: Moment) {
        self.store.refused(now);
    }

    /// Sets the group's fair share of the store's rate, in bytes per second.
    pub fn set_store_rate(&mut self, now: Moment, rate: u64) {
        self.store.set_rate(now, rate);
    }

    /// Returns the current map.
    pub fn map(&self) -> &Map {
        &self.map
    }

    /// Takes the map that the group has switched to.
    ///
    /// # Errors
    ///
    /// Returns the fault of an invalid map, or of one of another shape.
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

    /// Gives up the last plan, for instance because a rank was replaced while
    /// it was staged. Bytes already requested stay spent.
    pub fn abandon(&mut self) {
        self.pending = false;
    }

    /// Plans one round. While a plan is neither adopted nor abandoned, the
    /// outcome has no moves.
    pub fn round(&mut self, now: Moment) -> Plan {
        let mut round = self.begin(now);
        while !self.advance(&mut round, u64::MAX) {}
        self.finish(round)
    }
}

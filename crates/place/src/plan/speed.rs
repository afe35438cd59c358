//! Measured speeds of ranks, and detection of stragglers.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// Weight of a new measurement in the smoothed speed.
const SMOOTHING_WEIGHT: f64 = 0.3;
/// A rank below this part of the median speed is a straggler.
const SLOW_RATIO: f64 = 0.9;
/// A straggler above this part of the median speed has recovered.
const RECOVERED_RATIO: f64 = 0.95;
/// Smallest change of the speed of a lasting straggler that updates the
/// placement speeds.
const MIN_CHANGE: f64 = 0.05;
/// Lower limit of a speed; the group protocol handles stalled ranks.
const MIN_SPEED: f64 = 0.05;

/// Measure that reduces the load of a slow rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Replicas on other ranks receive a larger share of the tokens.
    Routing,
    /// In addition, experts are moved to other ranks.
    Placement,
}

/// A slow rank and the measure taken for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Relief {
    /// Index of the rank.
    pub rank: u16,
    /// Ratio of the rank's speed to the median speed.
    pub speed: f64,
    /// Measure in effect for the rank.
    pub stage: Stage,
}

/// Measured speeds of all ranks, and the speeds that routing and placement use.
#[derive(Debug)]
pub(super) struct Speeds {
    measured: Vec<f64>,
    /// Measured speeds of stragglers and 1 for others, so that measurement
    /// errors do not shift tokens between equal ranks.
    routing: Vec<f64>,
    placement: Vec<f64>,
    slow_since: Vec<Option<Moment>>,
    hold: Duration,
}

impl Speeds {
    pub(super) fn new(ranks: usize, hold: Duration) -> Self {
        Self {
            measured: vec![1.0; ranks],
            routing: vec![1.0; ranks],
            placement: vec![1.0; ranks],
            slow_since: vec![None; ranks],
            hold,
        }
    }

    pub(super) fn observe(&mut self, now: Moment, rank: u16, speed: f64) {
        let rank = usize::from(rank);
        let Some(measured) = self.measured.get_mut(rank) else {
            return;
        };
        *measured += SMOOTHING_WEIGHT * (speed.max(MIN_SPEED) - *measured);
        let relative = self.measured[rank] / self.median();
        let since = &mut self.slow_since[rank];
        if relative < SLOW_RATIO {
            since.get_or_insert(now);
        } else if relative > RECOVERED_RATIO {
            *since = None;
        }
        self.routing[rank] = if since.is_some() { relative } else { 1.0 };
    }

    /// Updates the speeds that placement assumes; returns whether they have
    /// changed.
    pub(super) fn update_placement(&mut self, now: Moment) -> bool {
        let median = self.median();
        let mut changed = false;
        for rank in 0..self.placement.len() {
            let lasting = self.slow_since[rank].is_some_and(|at| now.since(at) >= self.hold);
            let speed = if lasting {
                self.measured[rank] / median
            } else {
                1.0
            };
            let recovered = !lasting && self.placement[rank] < 1.0;
            if recovered || (speed - self.placement[rank]).abs() > MIN_CHANGE {
                self.placement[rank] = speed;
                changed = true;
            }
        }
        changed
    }

    pub(super) fn routing(&self) -> &[f64] {
        &self.routing
    }

    pub(super) fn placement(&self) -> &[f64] {
        &self.placement
    }

    pub(super) fn relief(&self) -> Vec<Relief> {
        let median = self.median();
        let slow = (0..self.measured.len()).filter(|rank| self.slow_since[*rank].is_some());
        slow.map(|rank| Relief {
            rank: rank as u16,
            speed: self.measured[rank] / median,
            stage: if self.placement[rank] < 1.0 {
                Stage::Placement
            } else {
                Stage::Routing
            },
        })
        .collect()
    }

    fn median(&self) -> f64 {
        let mut sorted = self.measured.clone();
        sorted.sort_by(f64::total_cmp);
        sorted.get(sorted.len() / 2).copied().unwrap_or(1.0)
    }
}

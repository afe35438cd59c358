//! Counts of the calls of one gateway, and what gateways tell each other of them.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;

use super::Key;

/// Steps of the sliding window of a second.
const STEPS: usize = 10;
/// Length of a step, in microseconds.
const STEP_MICROS: u64 = 100_000;
/// Steps over which the usual demand is averaged: 45 s, longer than a surge that is to be noticed.
const USUAL_STEPS: f64 = 450.0;
/// Usual demand, in calls a second, below which a workspace is forgotten.
const MIN_USUAL: f64 = 1e-4;

/// Returns the number of the step that a moment is in.
pub const fn step(now: Moment) -> u64 {
    now.0 / STEP_MICROS
}

/// Calls of one workspace and priority within the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// New calls, admitted or not.
    pub offered: u32,
    /// Calls sent to an upstream.
    pub started: u32,
}

/// Calls of one service at one gateway.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Calls within the last second by workspace and priority.
    pub counts: Vec<(Key, Count)>,
    /// Usual demand of each workspace, in calls per second.
    pub usual: Vec<(u32, f32)>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    steps: [Count; STEPS],
}

/// Counts of the calls of one service at this gateway.
#[derive(Debug, Default)]
pub struct Usage {
    cells: BTreeMap<Key, Cell>,
    usual: HashMap<u32, f64>,
    /// Step that counts are added to, and the number of steps so far.
    current: Option<u64>,
    seen: f64,
}

impl Usage {
    /// Counts a new call.
    pub fn offer(&mut self, key: Key) {
        self.cell(key).offered += 1;
    }

    /// Counts a call that is sent to an upstream.
    pub fn start(&mut self, key: Key) {
        self.cell(key).started += 1;
    }

    /// Returns whether the window has been filled once.
    pub fn is_complete(&self) -> bool {
        self.seen >= STEPS as f64
    }

    fn cell(&mut self, key: Key) -> &mut Count {
        let index = self.current.unwrap_or_default() as usize % STEPS;
        &mut self.cells.entry(key).or_default().steps[index]
    }

    /// Ends the steps that have passed. `weight` is the part of the demand of a workspace that
    /// counts for its usual demand.
    pub fn advance(&mut self, now: Moment, weight: impl Fn(u32) -> f64) {
        let step = step(now);
        let Some(current) = self.current else {
            self.current = Some(step);
            return;
        };
        for passed in current..step.min(current + STEPS as u64) {
            self.learn_usual(passed, &weight);
            let next = (passed + 1) as usize % STEPS;
            for cell in self.cells.values_mut() {
                cell.steps[next] = Count::default();
            }
        }
        // After a pause that is longer than the window, no demand is known for the rest.
        self.current = Some(step.max(current));
        let is_empty = |cell: &Cell| cell.steps.iter().all(|count| *count == Count::default());
        self.cells.retain(|_, cell| !is_empty(cell));
    }

    fn learn_usual(&mut self, step: u64, weight: impl Fn(u32) -> f64) {
        self.seen += 1.0;
        let part = 1.0 / self.seen.min(USUAL_STEPS);
        for usual in self.usual.values_mut() {
            *usual *= 1.0 - part;
        }
        let per_second = STEPS as f64;
        for (key, cell) in &self.cells {
            let offered = f64::from(cell.steps[step as usize % STEPS].offered);
            let sample = offered * per_second * weight(key.workspace);
            if sample > 0.0 {
                *self.usual.entry(key.workspace).or_default() += part * sample;
            }
        }
        self.usual.retain(|_, usual| *usual >= MIN_USUAL);
    }

    /// Returns the counts for the other gateways.
    pub fn report(&self) -> Service {
        let counts = self.cells.iter().map(|(key, cell)| {
            let sum = cell.steps.iter().fold(Count::default(), |sum, one| Count {
                offered: sum.offered + one.offered,
                started: sum.started + one.started,
            });
            (*key, sum)
        });
        Service {
            counts: counts.filter(|(_, it)| *it != Count::default()).collect(),
            usual: self
                .usual
                .iter()
                .map(|(one, it)| (*one, *it as f32))
                .collect(),
        }
    }
}

//! Local search for better placements of one layer.
//!
//! The objective is the expected maximum of the rank times in a step, where the
//! time of each rank varies because a step is a sample of tokens. The objective
//! is smooth, so improvements of the second busiest rank count too, and it does
//! not reward differences smaller than the sampling variation.

use crate::map::{Layer, Share};

/// Number of ranks, from the busiest, for which an improvement is searched.
const BUSIEST_RANKS: usize = 3;
/// Upper limit of the sharpness of the objective; larger values overflow.
const MAX_SHARPNESS: f64 = 300.0;

/// A change to the hosts of one expert.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Edit {
    expert: u16,
    remove: Option<u16>,
    add: Option<u16>,
}

/// An indivisible improvement: one edit, or two that improve only together.
#[derive(Clone, Copy, Debug)]
pub struct Op {
    first: Edit,
    second: Option<Edit>,
    /// Fraction of the layer's balanced time that the operation saves.
    pub improvement: f64,
    /// The improvement less the price of its transfers.
    pub score: f64,
}

impl Op {
    /// Returns the experts to load, each with the rank that loads it.
    pub fn loads(&self) -> impl Iterator<Item = (u16, u16)> {
        let edits = [Some(self.first), self.second].into_iter().flatten();
        edits.filter_map(|edit| edit.add.map(|rank| (edit.expert, rank)))
    }
}

/// Evaluates changes to one layer. The buffers are reused between layers.
#[derive(Debug, Default)]
pub struct Evaluator {
    share: Share,
    sharpness: f64,
    loads: Vec<f64>,
    speeds: Vec<f64>,
    slots: Vec<u16>,
    hosts: Vec<Vec<u16>>,
    held: Vec<Vec<u16>>,
    times: Vec<f64>,
    terms: Vec<f64>,
    sum: f64,
    deltas: Vec<(u16, f64)>,
    /// Whether a rank accepts no further experts.
    closed: Vec<bool>,
}

impl Evaluator {
    /// Sets the speed and slots of each rank for all layers, and opens all ranks.
    pub fn set_ranks(&mut self, speeds: &[f64], slots: &[u16], share: Share) {
        self.share = share;
        self.speeds.clear();
        self.speeds.extend_from_slice(speeds);
        self.slots.clear();
        self.slots.extend_from_slice(slots);
        self.closed.clear();
        self.closed.resize(slots.len(), false);
    }

    /// Excludes a rank from loading further experts.
    pub fn close(&mut self, rank: u16) {
        self.closed[usize::from(rank)] = true;
    }

    /// Sets the layer to evaluate and the share of the tokens of each expert.
    ///
    /// Times are relative to perfect balance. `step_tokens` is the number of
    /// tokens in a step, which determines the sampling variation of a step.
    pub fn load_layer(&mut self, layer: &Layer, shares: &[f64], step_tokens: f64) {
        let ranks = self.speeds.len();
        let total: f64 = self.speeds.iter().sum();
        // The maximum of n normal variables of standard deviation s is about
        // s * sqrt(2 ln n), and 1/b * ln(sum exp(b x)) reproduces it for
        // b = sqrt(2 ln n) / s.
        let deviation = (ranks as f64 / step_tokens.max(1.0)).sqrt();
        let extreme = (2.0 * (ranks.max(2) as f64).ln()).sqrt();
        self.sharpness = (extreme / deviation).min(MAX_SHARPNESS);
        self.loads.clear();
        self.loads.extend(shares.iter().map(|share| share * total));
        self.hosts.resize_with(shares.len(), Vec::new);
        self.held.resize_with(ranks, Vec::new);
        self.held.iter_mut().for_each(Vec::clear);
        for (expert, hosts) in self.hosts.iter_mut().enumerate() {
            hosts.clear();
            hosts.extend_from_slice(layer.hosts(expert as u16));
            for host in hosts.iter() {
                self.held[usize::from(*host)].push(expert as u16);
            }
        }
        self.times.clear();
        self.times.resize(ranks, 0.0);
        layer.times(&self.loads, &self.speeds, self.share, &mut self.times);
        self.terms.resize(ranks, 0.0);
        for rank in 0..ranks {
            self.terms[rank] = self.term(self.times[rank]);
        }
        self.sum = self.terms.iter().sum();
    }

    /// Returns the expected excess of a step's time over perfect balance, as a
    /// fraction of the balanced time. No change can improve the layer by more.
    pub fn imbalance(&self) -> f64 {
        (self.sum / self.times.len() as f64).ln() / self.sharpness
    }

    /// Returns the layer with all applied operations.
    pub fn layer(&self) -> Layer {
        Layer::new(self.hosts.iter().cloned())
    }

    /// Returns the operation with the highest score at `price` per transfer for the
    /// busiest rank that has one, or `None`. `work` is reduced by the number of
    /// predicted rank times; the search stops when it reaches zero.
    pub fn find_improvement(&mut self, price: f64, work: &mut u64) -> Option<Op> {
        let mut order: Vec<_> = (0..self.times.len() as u16).collect();
        let time = |rank: &u16| self.times[usize::from(*rank)];
        order.sort_by(|a, b| time(b).total_cmp(&time(a)));
        order.truncate(BUSIEST_RANKS);
        order.into_iter().find_map(|busiest| {
            let mut best = None;
            let held = self.held[usize::from(busiest)].clone();
            for expert in held {
                self.try_relief(busiest, expert, price, work, &mut best);
            }
            best
        })
    }

    /// Applies an operation to the layer and updates the rank times.
    pub fn apply(&mut self, op: &Op) {
        self.deltas.clear();
        self.add_deltas(&op.first);
        if let Some(second) = &op.second {
            self.add_deltas(second);
        }
        let deltas = std::mem::take(&mut self.deltas);
        for (rank, delta) in &deltas {
            let rank = usize::from(*rank);
            self.times[rank] += delta;
            self.terms[rank] = self.term(self.times[rank]);
        }
        self.deltas = deltas;
        self.sum = self.terms.iter().sum();
        self.commit(&op.first);
        if let Some(second) = &op.second {
            self.commit(second);
        }
    }

    /// Evaluates all ways to move load of one expert off the rank `busiest`.
    fn try_relief(
        &mut self,
        busiest: u16,
        expert: u16,
        price: f64,
        work: &mut u64,
        best: &mut Option<Op>,
    ) {
        let removal = Edit {
            expert,
            remove: Some(busiest),
            add: None,
        };
        if self.hosts[usize::from(expert)].len() > 1 {
            self.evaluate(removal, None, price, work, best);
        }
        for to in 0..self.times.len() as u16 {
            let less_busy = self.times[usize::from(to)] < self.times[usize::from(busiest)];
            let closed = self.closed[usize::from(to)];
            if !less_busy || closed || self.hosts[usize::from(expert)].contains(&to) {
                continue;
            }
            let shift = Edit {
                add: Some(to),
                ..removal
            };
            let add = Edit {
                remove: None,
                ..shift
            };
            for first in [shift, add] {
                if self.free(to) > 0 {
                    self.evaluate(first, None, price, work, best);
                }
                self.try_pairs(busiest, to, first, price, work, best);
            }
        }
    }

    /// Evaluates an edit that adds an expert to the rank `to` together with each
    /// edit of an expert of `to` that the slots allow.
    ///
    /// Pairs are needed where every single edit increases the load of a rank: two
    /// ranks with one expert each improve only if both replicate.
    fn try_pairs(
        &mut self,
        busiest: u16,
        to: u16,
        first: Edit,
        price: f64,
        work: &mut u64,
        best: &mut Option<Op>,
    ) {
        let free_to = self.free(to);
        let free_busiest = if self.closed[usize::from(busiest)] {
            0
        } else {
            self.free(busiest) + usize::from(first.remove.is_some())
        };
        for index in 0..self.held[usize::from(to)].len() {
            let expert = self.held[usize::from(to)][index];
            let hosts = &self.hosts[usize::from(expert)];
            let fits_busiest = free_busiest > 0 && !hosts.contains(&busiest);
            let replicated = hosts.len() > 1;
            let drop = Edit {
                expert,
                remove: Some(to),
                add: None,
            };
            let shift = Edit {
                add: Some(busiest),
                ..drop
            };
            let add = Edit {
                remove: None,
                ..shift
            };
            if replicated {
                self.evaluate(first, Some(drop), price, work, best);
            }
            if fits_busiest {
                self.evaluate(first, Some(shift), price, work, best);
            }
            if fits_busiest && free_to > 0 {
                self.evaluate(first, Some(add), price, work, best);
            }
        }
    }

    fn free(&self, rank: u16) -> usize {
        let rank = usize::from(rank);
        usize::from(self.slots[rank]).saturating_sub(self.held[rank].len())
    }

    fn evaluate(
        &mut self,
        first: Edit,
        second: Option<Edit>,
        price: f64,
        work: &mut u64,
        best: &mut Option<Op>,
    ) {
        if *work == 0 {
            return;
        }
        self.deltas.clear();
        self.add_deltas(&first);
        if let Some(second) = &second {
            self.add_deltas(second);
        }
        *work = work.saturating_sub(self.deltas.len() as u64);
        let mut sum = self.sum;
        for (rank, delta) in &self.deltas {
            let rank = usize::from(*rank);
            sum += self.term(self.times[rank] + delta) - self.terms[rank];
        }
        if sum >= self.sum {
            return;
        }
        let improvement = (self.sum / sum).ln() / self.sharpness;
        let transfers = u32::from(first.add.is_some())
            + u32::from(second.is_some_and(|edit| edit.add.is_some()));
        let score = improvement - price * f64::from(transfers.max(1));
        if score > best.as_ref().map_or(0.0, |best| best.score) {
            *best = Some(Op {
                first,
                second,
                improvement,
                score,
            });
        }
    }

    /// Adds the changes that an edit makes to the rank times to `deltas`.
    fn add_deltas(&mut self, edit: &Edit) {
        let expert = usize::from(edit.expert);
        let load = self.loads[expert];
        let speed = |rank: u16| self.speeds[usize::from(rank)];
        let hosts = &self.hosts[expert];
        let before: f64 = hosts.iter().map(|host| speed(*host)).sum();
        let after = before + edit.add.map_or(0.0, speed) - edit.remove.map_or(0.0, speed);
        let count = hosts.len() as f64;
        let next = count + f64::from(u8::from(edit.add.is_some()))
            - f64::from(u8::from(edit.remove.is_some()));
        let replica_time = |rank: u16, count: f64, total: f64| match self.share {
            Share::Even => load / (count * speed(rank)),
            Share::Speed => load / total,
        };
        for host in hosts {
            let old = replica_time(*host, count, before);
            let new = if edit.remove == Some(*host) {
                0.0
            } else {
                replica_time(*host, next, after)
            };
            add_delta(&mut self.deltas, *host, new - old);
        }
        if let Some(rank) = edit.add {
            add_delta(&mut self.deltas, rank, replica_time(rank, next, after));
        }
    }

    fn commit(&mut self, edit: &Edit) {
        let hosts = &mut self.hosts[usize::from(edit.expert)];
        if let Some(rank) = edit.remove {
            hosts.retain(|host| *host != rank);
            self.held[usize::from(rank)].retain(|held| *held != edit.expert);
        }
        if let Some(rank) = edit.add {
            hosts.push(rank);
            self.held[usize::from(rank)].push(edit.expert);
        }
    }

    fn term(&self, time: f64) -> f64 {
        // The result of `exp` overflows f64 for exponents above 709.
        (self.sharpness * (time - 1.0)).min(600.0).exp()
    }
}

fn add_delta(deltas: &mut Vec<(u16, f64)>, rank: u16, delta: f64) {
    match deltas.iter_mut().find(|(existing, _)| *existing == rank) {
        Some((_, sum)) => *sum += delta,
        None => deltas.push((rank, delta)),
    }
}

//! One planning round, which may be run in slices.
//!
//! A slice ends after a number of predicted rank times, so that the planning
//! thread can pause in between. Running in slices gives the same plan as one
//! uninterrupted round.

use sesamerock_base::time::Moment;

use super::{Plan, Planner, Rejected};
use crate::estimate::Estimate;
use crate::map::{Layer, Source};
use crate::search::Op;

#[derive(Clone, Copy, Debug)]
struct Candidate {
    layer: usize,
    imbalance: f64,
    error: f64,
}

/// Remaining limits of a round: search work, bytes and staged experts by rank.
#[derive(Debug)]
struct Allowance {
    work: u64,
    store: u64,
    peer: u64,
    arrivals: Vec<u16>,
}

/// State of the search in one layer between two slices.
#[derive(Debug)]
struct Search {
    candidate: Candidate,
    shares: Vec<f64>,
    step_tokens: f64,
    price: f64,
    threshold: f64,
    /// Whether the search began with all of the round's work available.
    has_full_work: bool,
    ops: Vec<Op>,
    improvement: f64,
    loads: u64,
}

/// A round in progress. Reports may be added between its slices; adopting a map
/// in the meantime makes the round void.
#[derive(Debug)]
pub struct Round {
    allowance: Allowance,
    layer_share: f64,
    /// Layers to search, worst last.
    candidates: Vec<Candidate>,
    search: Option<Search>,
    layers: Vec<(usize, Layer)>,
    plan: Plan,
    /// Number of maps adopted when the round began.
    adopted: u64,
}

impl Planner {
    /// Begins a round. The round is empty while the last plan is neither adopted
    /// nor abandoned.
    pub fn begin(&mut self, now: Moment) -> Round {
        if self.speeds.update_placement(now) {
            self.rejected_imbalance.fill(None);
            self.changed.fill(true);
        }
        let allowance = Allowance {
            work: self.settings.work,
            store: self.store.available(now),
            peer: self.peer.available(now),
            arrivals: vec![0; self.map.ranks()],
        };
        self.evaluator.set_ranks(
            self.speeds.placement(),
            &self.map.slots,
            self.settings.share,
        );
        let mut candidates = if self.pending {
            Vec::new()
        } else {
            self.candidates(now)
        };
        candidates.reverse();
        Round {
            allowance,
            layer_share: self.layer_share(),
            candidates,
            search: None,
            layers: Vec::new(),
            plan: Plan {
                relief: self.speeds.relief(),
                ..Plan::default()
            },
            adopted: self.adopted,
        }
    }

    /// Continues a round until it is complete or has predicted `slice` rank
    /// times, and returns whether it is complete. The search for a single
    /// improvement is never interrupted.
    pub fn advance(&mut self, round: &mut Round, slice: u64) -> bool {
        if round.adopted != self.adopted {
            return true;
        }
        let end = round.allowance.work.saturating_sub(slice);
        loop {
            if round.search.is_none() && !self.begin_search(round) {
                return true;
            }
            self.continue_search(round);
            if round.allowance.work <= end {
                // The last layer is completed by the next call.
                return round.search.is_none() && round.allowance.work == 0;
            }
        }
    }

    /// Ends a round and returns its plan. The plan of a void round has no moves.
    pub fn finish(&mut self, round: Round) -> Plan {
        let mut plan = round.plan;
        plan.work = self.settings.work - round.allowance.work;
        if round.adopted != self.adopted {
            return Plan {
                relief: plan.relief,
                work: plan.work,
                ..Plan::default()
            };
        }
        self.store.take(plan.store_bytes);
        self.peer.take(plan.peer_bytes);
        if !round.layers.is_empty() {
            let mut next = self.map.clone();
            for (number, layer) in round.layers {
                next.layers[number] = layer;
            }
            plan.next = Some(next);
            self.pending = true;
        }
        plan
    }

    /// Begins the search in the next layer. Returns whether there is such a layer
    /// and the allowance permits a search.
    fn begin_search(&mut self, round: &mut Round) -> bool {
        if round.allowance.work == 0 || !self.can_load(&round.allowance) {
            return false;
        }
        let Some(candidate) = round.candidates.pop() else {
            return false;
        };
        round.plan.searched += 1;
        self.changed[candidate.layer] = false;
        let mut shares = Vec::new();
        let estimate = &self.estimates[candidate.layer];
        estimate.shares(&mut shares);
        let step_tokens = estimate.step_tokens();
        let current = &self.map.layers[candidate.layer];
        self.evaluator.load_layer(current, &shares, step_tokens);
        round.search = Some(Search {
            price: self.price(candidate.error, round.layer_share),
            threshold: self.threshold(candidate.error),
            has_full_work: round.allowance.work == self.settings.work,
            candidate,
            shares,
            step_tokens,
            ops: Vec::new(),
            improvement: 0.0,
            loads: 0,
        });
        true
    }

    /// Searches for one more improvement of the layer, and completes the layer if
    /// there is none or the threshold and the available bytes are reached.
    fn continue_search(&mut self, round: &mut Round) {
        let Some(mut search) = round.search.take() else {
            return;
        };
        let allowance = &mut round.allowance;
        if let Some(op) = self
            .evaluator
            .find_improvement(search.price, &mut allowance.work)
        {
            self.evaluator.apply(&op);
            search.improvement += op.improvement;
            search.loads += op.loads().count() as u64;
            search.ops.push(op);
            // A later round finds the rest of a worthwhile sequence again.
            let bytes = search.loads * self.settings.model.expert_bytes;
            let available_bytes = allowance.store + allowance.peer;
            if search.improvement < search.threshold || bytes <= available_bytes {
                round.search = Some(search);
                return;
            }
        }
        let layer = search.candidate.layer;
        if let Some(next) = self.complete(&search, round) {
            round.layers.push((layer, next));
        }
    }

    /// Returns the next state of the layer, if its improvements reach the
    /// threshold and the allowance permits some of them.
    fn complete(&mut self, search: &Search, round: &mut Round) -> Option<Layer> {
        let layer = search.candidate.layer;
        let Round {
            allowance, plan, ..
        } = round;
        if search.improvement < search.threshold {
            // A layer that the work of a full round does not improve is marked too;
            // otherwise it would prevent all other layers from being searched.
            if allowance.work > 0 || search.has_full_work {
                self.rejected_imbalance[layer] = Some(search.candidate.imbalance);
            } else {
                self.changed[layer] = true;
            }
            plan.rejected.push(Rejected {
                layer: layer as u16,
                improvement: search.improvement,
                needed: search.threshold,
            });
            return None;
        }
        self.changed[layer] = true;
        let current = &self.map.layers[layer];
        self.evaluator
            .load_layer(current, &search.shares, search.step_tokens);
        let affordable = self.affordable(layer, &search.ops, allowance);
        let ops = &search.ops[..affordable];
        for op in ops {
            self.evaluator.apply(op);
        }
        let next = self.evaluator.layer();
        let moves = self.diff(layer, &self.map.layers[layer], &next);
        let (store, peer) = self.bytes(&moves);
        plan.store_bytes += store;
        plan.peer_bytes += peer;
        plan.improvement += ops.iter().map(|op| op.improvement).sum::<f64>() * round.layer_share;
        let has_moves = !moves.is_empty();
        plan.moves.extend(moves);
        has_moves.then_some(next)
    }

    /// Returns whether the remaining bytes allow the transfer of an expert.
    fn can_load(&self, allowance: &Allowance) -> bool {
        let bytes = self.settings.model.expert_bytes;
        let peer = self.exports.contains(&true) && allowance.peer >= bytes;
        peer || allowance.store >= bytes
    }

    /// Returns the layers whose imbalance justifies a search, worst first.
    fn candidates(&mut self, now: Moment) -> Vec<Candidate> {
        let mut found = Vec::new();
        let mut shares = Vec::new();
        for layer in 0..self.estimates.len() {
            let estimate = &self.estimates[layer];
            let error = estimate.error(now, self.map.ranks(), self.settings.decay_time);
            let Some(error) = error.filter(|_| self.changed[layer]) else {
                continue;
            };
            estimate.shares(&mut shares);
            self.evaluator
                .load_layer(&self.map.layers[layer], &shares, estimate.step_tokens());
            let imbalance = self.evaluator.imbalance();
            let threshold = self.threshold(error);
            // No search can improve the layer by more than its imbalance.
            let too_small = imbalance < threshold;
            let unchanged = self.rejected_imbalance[layer]
                .is_some_and(|rejected| (imbalance - rejected).abs() < threshold / 4.0);
            if too_small || unchanged {
                self.changed[layer] = false;
                continue;
            }
            found.push(Candidate {
                layer,
                imbalance,
                error,
            });
        }
        found.sort_by(|a, b| b.imbalance.total_cmp(&a.imbalance));
        found
    }

    /// Returns how many of the improvements, from the first, the allowance
    /// permits, and deducts them from it.
    ///
    /// An expert that several improvements move counts each time, so the moves
    /// of the resulting difference never exceed the deduction.
    fn affordable(&self, layer: usize, ops: &[Op], allowance: &mut Allowance) -> usize {
        let bytes = self.settings.model.expert_bytes;
        let layer = &self.map.layers[layer];
        let source = |expert| self.source(layer.hosts(expert), expert);
        ops.iter()
            .take_while(|op| {
                let stores = op
                    .loads()
                    .filter(|(expert, _)| source(*expert) == Source::Store);
                let stores = stores.count() as u64 * bytes;
                let peers = op.loads().count() as u64 * bytes - stores;
                let staged = |rank: u16| allowance.arrivals[usize::from(rank)];
                let fits = op
                    .loads()
                    .all(|(_, rank)| staged(rank) < self.settings.staging)
                    && stores <= allowance.store
                    && peers <= allowance.peer;
                if fits {
                    allowance.store -= stores;
                    allowance.peer -= peers;
                    for (_, rank) in op.loads() {
                        allowance.arrivals[usize::from(rank)] += 1;
                    }
                }
                fits
            })
            .count()
    }

    /// Returns the improvement, as a fraction of the layer's time, from which a
    /// layer is changed. `error` is the standard error of a rank's load.
    fn threshold(&self, error: f64) -> f64 {
        self.settings.min_improvement + self.settings.certainty * error
    }

    /// Returns the improvement, as a fraction of the layer's time, that each
    /// transfer must exceed.
    fn price(&self, error: f64, layer_share: f64) -> f64 {
        let settings = &self.settings;
        let margin =
            settings.margin + settings.certainty * error / settings.min_improvement.max(1e-9);
        let saving = settings.model.saving(layer_share).max(f64::MIN_POSITIVE);
        settings.model.transfer_cost() * (1.0 + margin) / saving
    }

    /// Returns the fraction of the step time that one balanced layer takes.
    fn layer_share(&self) -> f64 {
        let speed: f64 = self.speeds.placement().iter().sum();
        let tokens: f64 = self.estimates.iter().map(Estimate::step_tokens).sum();
        let experts = self.settings.model.token_time * tokens / speed.max(f64::MIN_POSITIVE);
        let step = self.settings.model.fixed.as_secs_f64() + experts;
        experts / step / self.estimates.len().max(1) as f64
    }
}

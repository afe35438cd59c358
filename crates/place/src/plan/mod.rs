//! The planner: from reports to the next map and the moves that lead to it.
//!
//! [`Planner::round`] is called about once a second. It searches only layers
//! whose predicted imbalance changed, worst first, and bounds the work, the
//! bytes and the staged experts of a round.

mod speed;

use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::budget::Budget;
use crate::cost::Model;
use crate::estimate::Estimate;
use crate::map::{Change, Fault, Layer, Map, Move, Share, Source};
use crate::search::{Bench, Op};

use speed::Speeds;
pub use speed::{Relief, Stage};

/// Settings of a planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// What moves gain and cost.
    pub model: Model,
    /// How tokens of replicated experts are split.
    pub share: Share,
    /// Span after which a report's weight in the estimate has fallen to 1/e.
    pub memory: Duration,
    /// Fair share of the weight store's rate in bytes per second.
    pub store_rate: u64,
    /// Rate of transfers between ranks in bytes per second.
    pub peer_rate: u64,
    /// Experts that a rank can stage at once.
    pub staging: u16,
    /// Smallest gain, as a part of the layer's time, that starts a replanning
    /// of the layer.
    pub min_gain: f64,
    /// Factor by which a gain must exceed its cost, beyond 1, without
    /// uncertainty.
    pub margin: f64,
    /// Standard errors of a rank's load that are added to the smallest gain.
    pub certainty: f64,
    /// Times of ranks that a round predicts at most. An expert with many
    /// replicas takes more of it, since a change affects all its ranks.
    pub work: u64,
    /// How long a rank must be slow before experts are moved away from it.
    pub straggler_hold: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            model: Model::default(),
            share: Share::Speed,
            memory: Duration::from_secs(30),
            store_rate: 256 << 20,
            peer_rate: 1 << 30,
            staging: 4,
            min_gain: 0.005,
            margin: 0.5,
            certainty: 2.0,
            work: 200_000,
            straggler_hold: Duration::from_secs(30),
        }
    }
}

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
    pub gain: f64,
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
    pub gain: f64,
    /// Gain that would be worth the moves.
    pub needed: f64,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    layer: usize,
    loss: f64,
    error: f64,
}

/// What a round may still spend.
#[derive(Debug)]
struct Allowance {
    work: u64,
    store: u64,
    peer: u64,
    arrivals: Vec<u16>,
}

/// Plans the placement of one group's experts.
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    map: Map,
    estimates: Vec<Estimate>,
    /// Loss of a layer when a search last found nothing.
    settled: Vec<Option<f64>>,
    /// Layers with a report since they were last looked at.
    changed: Vec<bool>,
    speeds: Speeds,
    exports: Vec<bool>,
    store: Budget,
    peer: Budget,
    pending: bool,
    bench: Bench,
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
            settled: vec![None; layers],
            changed: vec![false; layers],
            speeds: Speeds::new(ranks, settings.straggler_hold),
            exports: vec![false; ranks],
            store: Budget::new(settings.store_rate, reserve, now),
            peer: Budget::new(settings.peer_rate, reserve, now),
            pending: false,
            bench: Bench::default(),
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
    pub fn speed(&mut self, now: Moment, rank: u16, speed: f64) {
        self.speeds.observe(now, rank, speed);
    }

    /// Returns the speed per rank by which tokens of replicated experts are to
    /// be split now.
    pub fn routing(&self) -> &[f64] {
        self.speeds.routing()
    }

    /// Says whether a rank's engine can export its experts to peers.
    pub fn exports(&mut self, rank: u16, able: bool) {
        if let Some(known) = self.exports.get_mut(usize::from(rank)) {
            *known = able;
        }
    }

    /// Reduces the rate after the weight store answered 429.
    pub fn refused(&mut self, now: Moment) {
        self.store.refused(now);
    }

    /// Sets the group's fair share of the store's rate, in bytes per second.
    pub fn share(&mut self, now: Moment, rate: u64) {
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
        let layers = self.map.layers.iter().zip(&map.layers);
        for (settled, (old, new)) in self.settled.iter_mut().zip(layers) {
            if old != new {
                *settled = None;
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
        if self.speeds.settle(now) {
            self.settled.fill(None);
            self.changed.fill(true);
        }
        let mut plan = Plan {
            relief: self.speeds.relief(),
            ..Plan::default()
        };
        if self.pending {
            return plan;
        }
        let mut allowance = Allowance {
            work: self.settings.work,
            store: self.store.available(now),
            peer: self.peer.available(now),
            arrivals: vec![0; self.map.ranks()],
        };
        self.bench.ranks(
            self.speeds.placement(),
            &self.map.slots,
            self.settings.share,
        );
        let mut layers = Vec::new();
        let layer_share = self.layer_share();
        for candidate in self.candidates(now) {
            if allowance.work == 0 || !self.can_load(&allowance) {
                break;
            }
            plan.searched += 1;
            self.changed[candidate.layer] = false;
            let found = self.improve(&candidate, layer_share, &mut allowance, &mut plan);
            layers.extend(found.map(|layer| (candidate.layer, layer)));
        }
        plan.work = self.settings.work - allowance.work;
        self.store.take(plan.store_bytes);
        self.peer.take(plan.peer_bytes);
        if !layers.is_empty() {
            let mut next = self.map.clone();
            for (number, layer) in layers {
                next.layers[number] = layer;
            }
            plan.next = Some(next);
            self.pending = true;
        }
        plan
    }

    /// Returns whether the bytes left allow the transfer of an expert.
    fn can_load(&self, allowance: &Allowance) -> bool {
        let bytes = self.settings.model.expert_bytes;
        let peer = self.exports.contains(&true) && allowance.peer >= bytes;
        peer || allowance.store >= bytes
    }

    /// Returns the layers worth a search, worst first.
    fn candidates(&mut self, now: Moment) -> Vec<Candidate> {
        let mut found = Vec::new();
        let mut shares = Vec::new();
        for layer in 0..self.estimates.len() {
            let estimate = &self.estimates[layer];
            let error = estimate.error(now, self.map.ranks(), self.settings.memory);
            let Some(error) = error.filter(|_| self.changed[layer]) else {
                continue;
            };
            estimate.shares(&mut shares);
            self.bench
                .load(&self.map.layers[layer], &shares, estimate.step_tokens());
            let loss = self.bench.loss();
            let threshold = self.threshold(error);
            // No search can gain more than the loss.
            let hopeless = loss < threshold;
            let known = self.settled[layer].is_some_and(|old| (loss - old).abs() < threshold / 4.0);
            if hopeless || known {
                self.changed[layer] = false;
                continue;
            }
            found.push(Candidate { layer, loss, error });
        }
        found.sort_by(|a, b| b.loss.total_cmp(&a.loss));
        found
    }

    /// Searches one layer and returns its next state, if that is worth it.
    fn improve(
        &mut self,
        candidate: &Candidate,
        layer_share: f64,
        allowance: &mut Allowance,
        plan: &mut Plan,
    ) -> Option<Layer> {
        let layer = candidate.layer;
        let mut shares = Vec::new();
        let estimate = &self.estimates[layer];
        estimate.shares(&mut shares);
        let current = &self.map.layers[layer];
        self.bench.load(current, &shares, estimate.step_tokens());
        let price = self.price(candidate.error, layer_share);
        let threshold = self.threshold(candidate.error);
        let whole = allowance.work == self.settings.work;
        let mut ops = Vec::new();
        let mut gain = 0.0;
        let mut loads = 0;
        while let Some(op) = self.bench.improvement(price, &mut allowance.work) {
            self.bench.perform(&op);
            gain += op.gain;
            loads += op.loads().count() as u64;
            ops.push(op);
            // The rest of a worthwhile chain is found again in a later round.
            let bytes = loads * self.settings.model.expert_bytes;
            if gain >= threshold && bytes > allowance.store + allowance.peer {
                break;
            }
        }
        if gain < threshold {
            // A layer that a whole round's work does not improve would otherwise
            // keep the others from being searched.
            if allowance.work > 0 || whole {
                self.settled[layer] = Some(candidate.loss);
            } else {
                self.changed[layer] = true;
            }
            plan.rejected.push(Rejected {
                layer: layer as u16,
                gain,
                needed: threshold,
            });
            return None;
        }
        self.changed[layer] = true;
        self.bench.load(current, &shares, estimate.step_tokens());
        let affordable = self.affordable(layer, &ops, allowance);
        let ops = &ops[..affordable];
        for op in ops {
            self.bench.perform(op);
        }
        let next = self.bench.layer();
        let moves = self.diff(layer, &self.map.layers[layer], &next);
        let (store, peer) = self.bytes(&moves);
        plan.store_bytes += store;
        plan.peer_bytes += peer;
        plan.gain += ops.iter().map(|op| op.gain).sum::<f64>() * layer_share;
        let worth = !moves.is_empty();
        plan.moves.extend(moves);
        worth.then_some(next)
    }

    /// Returns how many of the improvements, from the first, the allowance
    /// permits, and takes them out of it.
    ///
    /// An expert that several of them move counts each time, so the moves of
    /// the final difference never take more.
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

    /// Returns the gain, as a part of the layer's time, that starts a
    /// replanning.
    fn threshold(&self, error: f64) -> f64 {
        self.settings.min_gain + self.settings.certainty * error
    }

    /// Returns the gain, as a part of the layer's time, that a transfer must
    /// exceed.
    fn price(&self, error: f64, layer_share: f64) -> f64 {
        let settings = &self.settings;
        let margin = settings.margin + settings.certainty * error / settings.min_gain.max(1e-9);
        let worth = settings.model.saving(layer_share).max(f64::MIN_POSITIVE);
        settings.model.transfer_cost() * (1.0 + margin) / worth
    }

    /// Returns the part of the step time that one balanced layer takes.
    fn layer_share(&self) -> f64 {
        let speed: f64 = self.speeds.placement().iter().sum();
        let tokens: f64 = self.estimates.iter().map(Estimate::step_tokens).sum();
        let experts = self.settings.model.token_time * tokens / speed.max(f64::MIN_POSITIVE);
        let step = self.settings.model.fixed.as_secs_f64() + experts;
        experts / step / self.estimates.len().max(1) as f64
    }

    /// Returns the moves from one state of a layer to another.
    fn diff(&self, layer: usize, old: &Layer, new: &Layer) -> Vec<Move> {
        let mut moves = Vec::new();
        for expert in 0..old.experts() {
            let (before, after) = (old.hosts(expert), new.hosts(expert));
            let mut lost = before.iter().filter(|host| !after.contains(host));
            let mut gained = after.iter().filter(|host| !before.contains(host));
            loop {
                let change = match (lost.next(), gained.next()) {
                    (Some(&from), Some(&to)) => Change::Shift {
                        from,
                        to,
                        source: self.source(before, expert),
                    },
                    (Some(&from), None) => Change::Drop { from },
                    (None, Some(&to)) => Change::Add {
                        to,
                        source: self.source(before, expert),
                    },
                    (None, None) => break,
                };
                moves.push(Move {
                    layer: layer as u16,
                    expert,
                    change,
                });
            }
        }
        moves
    }

    /// Prefers a peer that can export the expert; different experts use
    /// different replicas.
    fn source(&self, hosts: &[u16], expert: u16) -> Source {
        let able: Vec<_> = hosts
            .iter()
            .filter(|host| self.exports[usize::from(**host)])
            .collect();
        able.get(usize::from(expert) % able.len().max(1))
            .map_or(Source::Store, |host| Source::Peer(**host))
    }

    /// Returns the bytes from the store and from peers.
    fn bytes(&self, moves: &[Move]) -> (u64, u64) {
        let count = |peer: bool| {
            let matches = |(_, source): &(u16, Source)| matches!(source, Source::Peer(_)) == peer;
            let transfers = moves.iter().filter_map(Move::transfer);
            transfers.filter(matches).count() as u64 * self.settings.model.expert_bytes
        };
        (count(false), count(true))
    }
}

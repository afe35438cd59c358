//! The next map of a group, from what its ranks chose.

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_place::map::{Layer, Map};
use sesamerock_place::refine::{self, Refine};

use crate::engine::{Counts, Ranks};
use crate::table::Experts;

/// Bounds of a plan.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Shortest time between two counts whose difference tells the demand: some
    /// passes, in which a rank chooses ten thousand times.
    pub shortest: Duration,
    /// Longest time between them. Demand shifts within seconds, and a longer time
    /// would mix the former with the present.
    pub longest: Duration,
    /// Part of a layer's time that each copied expert must save.
    pub price: f64,
    /// Part of the step time that a new map must save, however little it copies.
    pub least_gain: f64,
    /// Longest time that ranks copy for one map, but for a single expert. Copies delay
    /// the switch, and demand shifts within seconds.
    pub copy_time: Duration,
    /// Part by which steps take longer while ranks copy; the platform states it.
    pub copy_slowdown: f64,
    /// Time for which a map is expected to be better than the one before. The default
    /// makes a copy of 0.4 s cost a tenth of the step time; no other value was tried.
    pub lifetime: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            shortest: Duration::from_millis(200),
            longest: Duration::from_millis(700),
            price: 0.02,
            least_gain: 0.03,
            copy_time: Duration::from_millis(400),
            copy_slowdown: 0.15,
            lifetime: Duration::from_millis(600),
        }
    }
}

/// What is known of the demand for the experts of one group.
#[derive(Clone, Debug)]
pub struct Demand {
    settings: Settings,
    shape: Experts,
    /// By set, the number of choices of each expert between the last two counts.
    weights: Vec<Vec<f64>>,
    /// The latest counts, oldest first.
    seen: Vec<Seen>,
}

/// Counts of some ranks at a moment.
#[derive(Clone, Debug)]
struct Seen {
    counts: Vec<(u16, Counts)>,
    at: Moment,
}

/// Adds what a rank chose between two counts. A rank that has started anew in between
/// counts from zero, and adds nothing.
fn add_difference(sums: &mut Vec<Vec<f64>>, old: &Counts, new: &Counts) {
    if old.epoch != new.epoch || new.step <= old.step || old.counts.len() != new.counts.len() {
        return;
    }
    sums.resize_with(new.counts.len(), Vec::new);
    for (sum, (new, old)) in sums.iter_mut().zip(new.counts.iter().zip(&old.counts)) {
        sum.resize(new.len(), 0.0);
        for (sum, (new, old)) in sum.iter_mut().zip(new.iter().zip(old)) {
            *sum += new.saturating_sub(*old) as f64;
        }
    }
}

/// A map that is worth a switch.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The map.
    pub map: Map,
    /// Part of the step time that it saves.
    pub gain: f64,
    /// Loss against perfect balance before.
    pub loss: f64,
    /// Experts that are copied.
    pub copies: usize,
    /// How long the rank that copies most takes.
    pub copying: Duration,
}

impl Demand {
    /// Knows nothing yet.
    pub fn new(settings: Settings, shape: Experts) -> Self {
        let weights = vec![vec![0.0; usize::from(shape.experts)]; usize::from(shape.sets)];
        Self {
            settings,
            shape,
            weights,
            seen: Vec::new(),
        }
    }

    /// Takes in the counts of some ranks, by rank. Returns whether they say something of
    /// the present demand, which takes two looks that are neither too near nor too far
    /// apart.
    pub fn observe(&mut self, counts: Vec<(u16, Counts)>, now: Moment) -> bool {
        let settings = self.settings;
        self.seen
            .retain(|seen| now.since(seen.at) <= settings.longest);
        let mut former = self.seen.iter().rev();
        let former = former.find(|seen| now.since(seen.at) >= settings.shortest);
        let mut sums = Vec::new();
        for (rank, new) in &counts {
            let old = former.and_then(|seen| seen.counts.iter().find(|(known, _)| known == rank));
            if let Some((_, old)) = old {
                add_difference(&mut sums, old, new);
            }
        }
        let fits = sums.len() == self.weights.len();
        if fits {
            self.weights = sums;
        }
        self.seen.push(Seen { counts, at: now });
        fits
    }

    /// Returns the next map, if one is worth a switch.
    pub fn plan(&self, map: &Map) -> Option<Plan> {
        let mut shares = Vec::new();
        for weights in &self.weights {
            let total: f64 = weights.iter().sum();
            if total <= 0.0 {
                return None;
            }
            shares.push(weights.iter().map(|weight| weight / total).collect());
        }
        let copy = self.shape.bytes as f64 / (self.shape.rate as f64).max(1.0);
        let affordable = self.settings.copy_time.as_secs_f64() / copy.max(1e-6);
        // A copy takes 0.4 s where experts are largest; rounding must not forbid it.
        let copies = (affordable + 0.01).max(1.0) as u16;
        let refine = Refine {
            price: self.settings.price,
            copies,
            layer_copies: copies.min(self.shape.spare),
            ..Refine::default()
        };
        let refined = refine::map(map, &shares, &refine);
        let share = self.shape.share;
        let time = |excess: f64| 1.0 - share + share * (1.0 + excess);
        let gain = 1.0 - time(refined.after) / time(refined.before);
        let copying = f64::from(refined.copies) * copy;
        let cost = self.settings.copy_slowdown * copying / self.settings.lifetime.as_secs_f64();
        let worth = gain >= cost.max(self.settings.least_gain);
        (worth && refined.map != *map).then(|| Plan {
            copies: map.transfers(&refined.map),
            loss: refined.before,
            copying: Duration::from_secs_f64(copying),
            map: refined.map,
            gain,
        })
    }
}

/// Returns the map that a group uses when it forms: experts in turn.
pub fn first(shape: Experts, ranks: u16) -> Map {
    Map::round_robin(
        vec![shape.places; usize::from(ranks)],
        shape.experts,
        shape.sets,
    )
}

/// Returns a map by set and rank, as engines take it.
pub fn by_rank(map: &Map) -> Ranks {
    let by_rank = |layer: &Layer| {
        let mut held = vec![Vec::new(); map.ranks()];
        for expert in 0..layer.experts() {
            for host in layer.hosts(expert) {
                held[usize::from(*host)].push(expert);
            }
        }
        held
    };
    map.layers.iter().map(by_rank).collect()
}

/// Returns a map from the experts that each rank holds, by rank and set.
pub fn from_ranks(shape: Experts, held: &[Vec<Vec<u16>>]) -> Option<Map> {
    let mut layers = Vec::new();
    for set in 0..usize::from(shape.sets) {
        let mut hosts = vec![Vec::new(); usize::from(shape.experts)];
        for (rank, sets) in held.iter().enumerate() {
            for expert in sets.get(set)? {
                hosts.get_mut(usize::from(*expert))?.push(rank as u16);
            }
        }
        layers.push(Layer::new(hosts));
    }
    let map = Map {
        slots: vec![shape.places; held.len()],
        layers,
    };
    map.check().is_ok().then_some(map)
}

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
    /// Shortest time between two counts whose difference tells the demand: a pass, in
    /// which the ranks of a group choose some ten thousand times.
    pub min_interval: Duration,
    /// Longest time between them. Demand shifts within seconds, and a longer time
    /// would mix the former with the present.
    pub max_interval: Duration,
    /// Loss by which the latest counts must exceed those of the longest time to show that
    /// the demand has shifted. What single passes ask for differs by about half of that.
    pub shift_threshold: f64,
    /// Part of a layer's time that each copied expert must save.
    pub min_improvement_per_copy: f64,
    /// Part of the longest pause that a new map must save in each pass. Passes that are
    /// short against the pause need no better map.
    pub min_pause_relief: f64,
    /// Rise of the loss, or part by which the pressure rises, after which another search is
    /// made where the last one found nothing.
    pub search_threshold: f64,
    /// Time that ranks copy for one map, rounded to whole experts and at least one.
    /// Copies delay the switch, so the first few, which mend most, are in use before the
    /// next are made. About as long as a look and a switch take besides.
    pub copy_time: Duration,
    /// Part by which steps take longer while ranks copy; the platform states it.
    pub copy_slowdown: f64,
    /// Time for which a map is expected to be better than the one before. The default
    /// makes a copy of 0.4 s cost a tenth of the step time.
    pub lifetime: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            min_interval: Duration::from_millis(80),
            max_interval: Duration::from_millis(700),
            shift_threshold: 0.3,
            min_improvement_per_copy: 0.01,
            min_pause_relief: 0.05,
            search_threshold: 0.03,
            copy_time: Duration::from_millis(150),
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
    /// Choices in the shortest time.
    recent: Window,
    /// Choices in the longest time.
    steady: Window,
    /// The latest counts, oldest first.
    observations: Vec<Observation>,
    /// Loss and pressure at which no other map was worth a switch. While neither rises,
    /// another search would find none either.
    rejected_at: Option<(f64, f64)>,
}

/// Counts of some ranks at a moment.
#[derive(Clone, Debug)]
struct Observation {
    counts: Vec<(u16, Counts)>,
    at: Moment,
}

/// What was chosen between two counts of some ranks.
#[derive(Clone, Debug)]
struct Window {
    /// By set, the number of choices of each expert.
    weights: Vec<Vec<f64>>,
    since: Moment,
}

impl Window {
    /// Returns the part of the choices that each expert gets, by set; `None` if nothing was
    /// chosen.
    fn shares(&self) -> Option<Vec<Vec<f64>>> {
        let share = |weights: &Vec<f64>| {
            let total: f64 = weights.iter().sum();
            (total > 0.0).then(|| weights.iter().map(|weight| weight / total).collect())
        };
        self.weights.iter().map(share).collect()
    }
}

/// Returns what was chosen since some counts, if they say it for all sets.
fn choices_between(former: &Observation, counts: &[(u16, Counts)], sets: usize) -> Option<Window> {
    let mut weights = Vec::new();
    for (rank, new) in counts {
        let old = former.counts.iter().find(|(known, _)| known == rank);
        if let Some((_, old)) = old {
            add_difference(&mut weights, old, new);
        }
    }
    let since = former.at;
    (weights.len() == sets).then_some(Window { weights, since })
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
    pub improvement: f64,
    /// Loss against perfect balance before.
    pub imbalance: f64,
    /// Loss that the map leaves.
    pub remaining_imbalance: f64,
    /// Experts that are copied.
    pub copies: usize,
    /// How long the rank that copies most takes.
    pub copy_duration: Duration,
}

impl Demand {
    /// Knows nothing yet.
    pub fn new(settings: Settings, shape: Experts) -> Self {
        let empty = Window {
            weights: vec![vec![0.0; usize::from(shape.experts)]; usize::from(shape.sets)],
            since: Moment::default(),
        };
        Self {
            settings,
            shape,
            recent: empty.clone(),
            steady: empty,
            observations: Vec::new(),
            rejected_at: None,
        }
    }

    /// Takes in the counts of some ranks, by rank. Returns whether they say something of
    /// the present demand, which takes two looks that are neither too near nor too far
    /// apart.
    pub fn observe(&mut self, counts: Vec<(u16, Counts)>, now: Moment) -> bool {
        let settings = self.settings;
        self.observations
            .retain(|observation| now.since(observation.at) <= settings.max_interval);
        let sets = usize::from(self.shape.sets);
        let apart = |observation: &&Observation| now.since(observation.at) >= settings.min_interval;
        let window_since = |observation: Option<&Observation>| {
            observation.and_then(|observation| choices_between(observation, &counts, sets))
        };
        let recent = window_since(self.observations.iter().rev().find(apart));
        let steady = window_since(self.observations.iter().find(apart));
        let has_recent = recent.is_some();
        if let Some(recent) = recent {
            self.steady = steady.unwrap_or_else(|| recent.clone());
            self.recent = recent;
        }
        self.observations.push(Observation { counts, at: now });
        has_recent
    }

    /// Returns what the ranks ask for now: the choices of the longest time, since they
    /// vary less, unless the latest ones show that the demand has shifted.
    fn shares(&mut self, map: &Map) -> Option<Vec<Vec<f64>>> {
        let recent = self.recent.shares()?;
        let steady = self.steady.shares()?;
        let shifted = refine::imbalance(map, &recent)
            > refine::imbalance(map, &steady) + self.settings.shift_threshold;
        if !shifted {
            return Some(steady);
        }
        let since = self.recent.since;
        self.observations
            .retain(|observation| observation.at >= since);
        self.steady = self.recent.clone();
        Some(recent)
    }

    /// Returns whether the latest choices are so far from what a plan was made for that its
    /// map is not worth the wait for its copies: it would leave a larger loss than the one
    /// that it was to mend.
    pub fn is_superseded(&self, plan: &Plan) -> bool {
        let recent = self.recent.shares();
        recent.is_some_and(|recent| {
            refine::imbalance(&plan.map, &recent)
                > plan.remaining_imbalance.max(plan.imbalance) + self.settings.shift_threshold
        })
    }

    /// Returns the next map, if one is worth a switch. `pressure` is the time of a pass over
    /// the longest pause that streams may make.
    pub fn plan(&mut self, map: &Map, pause_ratio: f64) -> Option<Plan> {
        let shares = self.shares(map)?;
        let imbalance = refine::imbalance(map, &shares);
        let search_threshold = self.settings.search_threshold;
        if self.rejected_at.is_some_and(|(old_imbalance, old_ratio)| {
            imbalance < old_imbalance + search_threshold
                && pause_ratio < old_ratio * (1.0 + search_threshold)
        }) {
            return None;
        }
        let expert_copy_s = self.shape.bytes as f64 / (self.shape.rate as f64).max(1.0);
        let copies_in_time = self.settings.copy_time.as_secs_f64() / expert_copy_s.max(1e-6);
        let copies = copies_in_time.round().max(1.0) as u16;
        let refine = Refine {
            price: self.settings.min_improvement_per_copy,
            copies,
            layer_copies: copies.min(self.shape.spare),
            ..Refine::default()
        };
        let refined = refine::map(map, &shares, &refine);
        let share = self.shape.share;
        let time = |excess: f64| 1.0 - share + share * (1.0 + excess);
        let improvement = 1.0 - time(refined.after) / time(refined.before);
        let copy_duration = f64::from(refined.copies) * expert_copy_s;
        let cost =
            self.settings.copy_slowdown * copy_duration / self.settings.lifetime.as_secs_f64();
        let relief = improvement * pause_ratio;
        let worthwhile =
            improvement >= cost && relief >= self.settings.min_pause_relief && refined.map != *map;
        self.rejected_at = (!worthwhile).then_some((imbalance, pause_ratio));
        worthwhile.then(|| Plan {
            copies: map.transfers(&refined.map),
            imbalance: refined.before,
            remaining_imbalance: refined.after,
            copy_duration: Duration::from_secs_f64(copy_duration),
            map: refined.map,
            improvement,
        })
    }
}

/// Returns the map that a group uses when it forms: experts in turn.
pub fn initial_map(shape: Experts, ranks: u16) -> Map {
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

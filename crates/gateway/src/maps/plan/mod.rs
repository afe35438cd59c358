//! Plans the next map of a group from the experts that its ranks chose.

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_place::map::{Layer, Map};
use sesamerock_place::refine::{self, RefineSettings};

use crate::engine::{Counts, ExpertPlacement};
use crate::table::Experts;

/// Limits and thresholds of the planning.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Shortest interval between two counts whose difference is used as demand: one forward
    /// pass, in which the ranks of a group make some ten thousand choices.
    pub min_interval: Duration,
    /// Longest interval between such counts. Demand shifts within seconds, and a longer
    /// interval would mix previous with present demand.
    pub max_interval: Duration,
    /// Imbalance by which the latest counts must exceed those of the longest interval to
    /// show that the demand has shifted. The demand of single passes varies by about half of
    /// that.
    pub shift_threshold: f64,
    /// Fraction of a layer's time that each copied expert must save.
    pub min_improvement_per_copy: f64,
    /// Fraction of the longest permitted pause that a new map must save in each pass. Passes
    /// that are short relative to the pause need no better map.
    pub min_pause_relief: f64,
    /// Increase of the imbalance (absolute) or of the pause ratio (relative) that triggers
    /// another search after one that found no worthwhile map.
    pub search_threshold: f64,
    /// Time that a rank may spend on copies for one map, rounded to whole experts and at
    /// least one. Copies delay the switch, so the first few, which improve the balance most,
    /// take effect before the next ones are made. The default is about as long as an
    /// observation and the rest of a switch take.
    pub copy_time: Duration,
    /// Fraction by which steps take longer while ranks copy, as stated by the platform.
    pub copy_slowdown: f64,
    /// Time for which a map is expected to be better than the previous one. With the default
    /// a copy of 0.4 s costs a tenth of the step time.
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

/// Tracks the demand for the experts of one group, and plans maps for it.
#[derive(Clone, Debug)]
pub struct Demand {
    settings: Settings,
    shape: Experts,
    /// Choices over about the shortest interval.
    recent: Window,
    /// Choices over up to the longest interval.
    steady: Window,
    /// Counts within the longest interval, oldest first.
    observations: Vec<Observation>,
    /// Imbalance and pause ratio at which the last search found no worthwhile map. While
    /// neither rises, another search would find none either.
    rejected_at: Option<(f64, f64)>,
}

/// Counts that some ranks reported at one moment, by rank.
#[derive(Clone, Debug)]
struct Observation {
    counts: Vec<(u16, Counts)>,
    at: Moment,
}

/// Choices of some ranks since a moment.
#[derive(Clone, Debug)]
struct Window {
    /// Number of choices of each expert, by set.
    weights: Vec<Vec<f64>>,
    since: Moment,
}

impl Window {
    /// Returns the fraction of the choices that each expert received, by set. Returns `None`
    /// if a set has no choices.
    fn shares(&self) -> Option<Vec<Vec<f64>>> {
        let share = |weights: &Vec<f64>| {
            let total: f64 = weights.iter().sum();
            (total > 0.0).then(|| weights.iter().map(|weight| weight / total).collect())
        };
        self.weights.iter().map(share).collect()
    }
}

/// Returns the choices between an earlier observation and new counts, or `None` if no rank
/// has comparable counts for all sets.
fn choices_between(earlier: &Observation, counts: &[(u16, Counts)], sets: usize) -> Option<Window> {
    let mut weights = Vec::new();
    for (rank, new) in counts {
        let old = earlier.counts.iter().find(|(known, _)| known == rank);
        if let Some((_, old)) = old {
            add_difference(&mut weights, old, new);
        }
    }
    let since = earlier.at;
    (weights.len() == sets).then_some(Window { weights, since })
}

/// Adds the choices of a rank between two counts. A rank that has restarted in between
/// counts from zero again, so its difference is skipped.
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

/// A map whose improvement outweighs the cost of a switch.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Map to switch to.
    pub map: Map,
    /// Fraction of the step time that the map saves.
    pub improvement: f64,
    /// Imbalance of the current map, see [`refine::imbalance`].
    pub imbalance: f64,
    /// Imbalance of the new map.
    pub remaining_imbalance: f64,
    /// Number of experts copied, over all ranks.
    pub copies: usize,
    /// Predicted copy time of the rank with the most copies.
    pub copy_duration: Duration,
}

impl Demand {
    /// Starts without observations.
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

    /// Records the counts of some ranks, by rank. Returns whether they show the present
    /// demand, which requires two observations between [`Settings::min_interval`] and
    /// [`Settings::max_interval`] apart.
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

    /// Returns the present demand: the choices over the longest interval, since they vary
    /// less, unless the latest ones show that the demand has shifted.
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

    /// Returns whether demand has shifted so far since a plan was made that its map is not
    /// worth the wait for its copies: it would leave a larger imbalance than the one that it
    /// was to reduce.
    pub fn is_superseded(&self, plan: &Plan) -> bool {
        let recent = self.recent.shares();
        recent.is_some_and(|recent| {
            refine::imbalance(&plan.map, &recent)
                > plan.remaining_imbalance.max(plan.imbalance) + self.settings.shift_threshold
        })
    }

    /// Returns the next map, if its improvement outweighs the cost of a switch. `pause_ratio`
    /// is the duration of a forward pass divided by the longest permitted pause of a stream.
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
        let refine = RefineSettings {
            price: self.settings.min_improvement_per_copy,
            copies,
            layer_copies: copies.min(self.shape.spare),
            ..RefineSettings::default()
        };
        let refined = refine::improve(map, &shares, &refine);
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

/// Returns the map that a group uses when it forms: experts assigned round-robin.
pub fn initial_map(shape: Experts, ranks: u16) -> Map {
    Map::round_robin(
        vec![shape.places; usize::from(ranks)],
        shape.experts,
        shape.sets,
    )
}

/// Returns the experts that each rank holds, by set and rank, the format that engines take.
pub fn by_rank(map: &Map) -> ExpertPlacement {
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

/// Builds a map from the experts that each rank holds, by rank and set. Returns `None` if
/// the shape does not match or the map is invalid, such as one that lacks an expert.
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

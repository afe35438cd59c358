//! The policies that are compared.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sesamerock_base::time::Moment;
use sesamerock_place::cost::Model;
use sesamerock_place::greedy;
use sesamerock_place::map::{Change, Map, Move, Share, Source};
use sesamerock_place::plan::{Planner, Settings};

/// Time from a plan to the switch of the map: staging and the group protocol.
const SWITCH_S: u32 = 2;

/// Least gain of a drawn swap: the smallest gain of our planner.
const CHOICE_GAIN: f64 = 0.005;
/// Reports that the drawn swaps are judged by.
const CHOICE_REPORTS: usize = 30;

/// What the policies learn in one second.
#[derive(Debug)]
pub struct News<'a> {
    pub second: u32,
    /// Counts that arrive now, with the second they were taken in.
    pub reports: &'a [(u32, Vec<Vec<u32>>)],
    pub steps: u32,
    /// Measured speeds.
    pub speeds: &'a [f64],
    /// True values, for the oracle only.
    pub true_shares: &'a [Vec<f64>],
    pub true_speeds: &'a [f64],
}

/// A policy with its map.
#[derive(Debug)]
pub enum Policy {
    /// Keeps the first map.
    Static(Map),
    /// Places all experts anew at each period, on the counts of that period.
    Greedy {
        map: Map,
        period: u32,
        window: VecDeque<(u32, Vec<Vec<u32>>)>,
        speeds: Vec<f64>,
    },
    /// Places all experts anew each second with true popularity and speeds.
    Oracle { map: Map, speeds: Vec<f64> },
    /// Each second and layer, draws two swaps of experts between ranks and
    /// performs the better one if it lowers the maximum by [`CHOICE_GAIN`].
    Choices {
        map: Map,
        window: VecDeque<(u32, Vec<Vec<u32>>)>,
        rng: Box<ChaCha8Rng>,
    },
    /// The planner of this workspace.
    Ours {
        planner: Box<Planner>,
        next: Option<(u32, Map)>,
    },
}

impl Policy {
    /// Makes our policy.
    pub fn ours(map: Map, model: Model) -> Self {
        let settings = Settings {
            model,
            ..Settings::default()
        };
        let planner = Planner::new(map, settings, Moment::default());
        Self::Ours {
            planner: Box::new(planner.expect("the first map is valid")),
            next: None,
        }
    }

    /// Returns the name in the output.
    pub fn name(&self) -> String {
        match self {
            Self::Static(_) => "static".into(),
            Self::Greedy { period, .. } => format!("greedy-{period}s"),
            Self::Oracle { .. } => "oracle".into(),
            Self::Choices { .. } => "two-choices".into(),
            Self::Ours { .. } => "ours".into(),
        }
    }

    /// Returns the map in effect.
    pub fn map(&self) -> &Map {
        match self {
            Self::Static(map)
            | Self::Greedy { map, .. }
            | Self::Oracle { map, .. }
            | Self::Choices { map, .. } => map,
            Self::Ours { planner, .. } => planner.map(),
        }
    }

    /// Returns how tokens of replicated experts are split: the mode, and the
    /// speeds the router assumes.
    pub fn routing(&self) -> Option<&[f64]> {
        match self {
            Self::Static(_) | Self::Choices { .. } => None,
            Self::Greedy { speeds, .. } | Self::Oracle { speeds, .. } => Some(speeds),
            Self::Ours { planner, .. } => Some(planner.routing()),
        }
    }

    /// Plans one round. Returns the number of experts transferred for the map
    /// that takes effect in this round.
    pub fn round(&mut self, news: &News<'_>) -> usize {
        match self {
            Self::Static(_) => 0,
            Self::Oracle { map, speeds } => {
                speeds.clear();
                speeds.extend_from_slice(news.true_speeds);
                replace(map, place(map, news.true_shares, news.true_speeds))
            }
            Self::Greedy {
                map,
                period,
                window,
                speeds,
            } => {
                speeds.clear();
                speeds.extend_from_slice(news.speeds);
                window.extend(news.reports.iter().cloned());
                if news.second == 0 || !news.second.is_multiple_of(*period) || window.is_empty() {
                    return 0;
                }
                let loads = sum(window);
                window.clear();
                replace(map, place(map, &loads, news.speeds))
            }
            Self::Choices { map, window, rng } => {
                window.extend(news.reports.iter().cloned());
                while window.len() > CHOICE_REPORTS {
                    window.pop_front();
                }
                let loads = sum(window);
                let layers = loads.iter().enumerate();
                let moved = layers.map(|(layer, loads)| choose(map, layer, loads, rng));
                moved.sum()
            }
            Self::Ours { planner, next } => ours(planner, next, news),
        }
    }
}

fn ours(planner: &mut Planner, next: &mut Option<(u32, Map)>, news: &News<'_>) -> usize {
    let now = Moment::default() + Duration::from_secs(u64::from(news.second));
    let mut moved = 0;
    if let Some((_, map)) = next.take_if(|(at, _)| *at <= news.second) {
        moved = planner.map().transfers(&map);
        planner.adopt(map).expect("a planned map is valid");
    }
    for (taken, counts) in news.reports {
        let at = Moment::default() + Duration::from_secs(u64::from(*taken));
        for (layer, counts) in counts.iter().enumerate() {
            planner.observe(at, layer as u16, counts, news.steps);
        }
    }
    for (rank, speed) in news.speeds.iter().enumerate() {
        planner.set_speed(now, rank as u16, *speed);
    }
    let plan = planner.round(now);
    if let Some(map) = plan.next {
        *next = Some((news.second + SWITCH_S, map));
    }
    moved
}

/// Performs the better of two random swaps, if it is worth it; returns the
/// experts transferred.
fn choose(map: &mut Map, layer: usize, loads: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let ones = vec![1.0; map.ranks()];
    let busiest = |map: &Map| {
        let mut times = vec![0.0; ones.len()];
        map.layers[layer].times(loads, &ones, Share::Even, &mut times);
        times.into_iter().fold(0.0, f64::max)
    };
    let swaps = [draw(map, layer, rng), draw(map, layer, rng)];
    let maps = swaps.iter().filter_map(|swap| map.apply(swap).ok());
    let best = maps.min_by(|a, b| busiest(a).total_cmp(&busiest(b)));
    match best.filter(|best| busiest(best) < busiest(map) * (1.0 - CHOICE_GAIN)) {
        Some(best) => replace(map, best),
        None => 0,
    }
}

fn draw(map: &Map, layer: usize, rng: &mut ChaCha8Rng) -> [Move; 2] {
    let experts = map.layers[layer].experts();
    let mut pick = || {
        let expert = rng.random_range(0..experts);
        let hosts = map.layers[layer].hosts(expert);
        (expert, hosts[rng.random_range(0..hosts.len())])
    };
    let (one, other) = (pick(), pick());
    let shift = |expert, from, to| Move {
        layer: layer as u16,
        expert,
        change: Change::Shift {
            from,
            to,
            source: Source::Store,
        },
    };
    [shift(one.0, one.1, other.1), shift(other.0, other.1, one.1)]
}

fn sum(window: &VecDeque<(u32, Vec<Vec<u32>>)>) -> Vec<Vec<f64>> {
    let mut loads: Vec<Vec<f64>> = Vec::new();
    for (_, counts) in window {
        loads.resize_with(counts.len(), Vec::new);
        for (load, counts) in loads.iter_mut().zip(counts) {
            load.resize(counts.len(), 0.0);
            for (load, count) in load.iter_mut().zip(counts) {
                *load += f64::from(*count);
            }
        }
    }
    loads
}

/// Places all experts anew.
pub fn place(map: &Map, loads: &[Vec<f64>], speeds: &[f64]) -> Map {
    let layer = |loads: &Vec<f64>| greedy::place(loads, speeds, &map.slots);
    let layers: Option<Vec<_>> = loads.iter().map(layer).collect();
    Map {
        slots: map.slots.clone(),
        layers: layers.expect("there are enough slots"),
    }
}

fn replace(map: &mut Map, next: Map) -> usize {
    let moved = map.transfers(&next);
    *map = next;
    moved
}

/// Adds the times of the ranks in one layer, for a router that assumes certain
/// speeds and ranks that have others.
pub fn times(
    map: &Map,
    layer: usize,
    counts: &[f64],
    routing: Option<&[f64]>,
    speeds: &[f64],
    times: &mut [f64],
) {
    let ones = vec![1.0; speeds.len()];
    let share = if routing.is_some() {
        Share::Speed
    } else {
        Share::Even
    };
    let assumed = routing.unwrap_or(&ones);
    map.layers[layer].times(counts, assumed, share, times);
    for (time, (assumed, speed)) in times.iter_mut().zip(assumed.iter().zip(speeds)) {
        *time *= assumed / speed;
    }
}

//! Tests of the planning of expert maps.

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_gateway::engine::Counts;
use sesamerock_gateway::maps::plan::{self, Demand, Settings};
use sesamerock_gateway::table::Experts;
use sesamerock_place::refine;

const RANKS: u16 = 12;
/// A forward pass takes as long as the longest permitted pause.
const PAUSE_RATIO: f64 = 1.0;

fn shape() -> Experts {
    Experts {
        sets: 3,
        experts: 96,
        places: 11,
        spare: 4,
        bytes: 2_200_000_000,
        rate: 5_500_000_000,
        share: 0.85,
    }
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

/// Returns the counts after some steps of skewed demand, with expert `peak` chosen most.
fn counts(step: u64, peak: u64) -> Counts {
    let choices = |expert: u64| 20_000 * step / (1 + (expert + 96 - peak) % 96);
    Counts {
        step,
        epoch: 1,
        counts: vec![(0..96).map(choices).collect(); 3],
    }
}

fn all_ranks_counts(step: u64, peak: u64) -> Vec<(u16, Counts)> {
    (0..RANKS).map(|rank| (rank, counts(step, peak))).collect()
}

/// Returns the demand after two observations.
fn demand(peak: u64) -> Demand {
    let mut demand = Demand::new(Settings::default(), shape());
    assert!(
        !demand.observe(all_ranks_counts(10, peak), at(0)),
        "a single observation shows no demand"
    );
    assert!(demand.observe(all_ranks_counts(20, peak), at(300)));
    demand
}

/// A plan must relieve the busiest rank with at most one copy per rank, since each copy
/// delays the switch.
#[test]
fn a_plan_relieves_the_busiest_rank_with_few_copies() {
    let map = plan::initial_map(shape(), RANKS);
    let Some(plan) = demand(5).plan(&map, PAUSE_RATIO) else {
        panic!("skewed demand must lead to a plan");
    };
    assert!(plan.improvement > 0.3 && plan.imbalance > 1.5, "{plan:?}");
    assert!(plan.copies <= usize::from(RANKS));
    assert_eq!(plan.map.check(), Ok(()));
    let before = plan::by_rank(&map);
    let after = plan::by_rank(&plan.map);
    for rank in 0..usize::from(RANKS) {
        let new = (0..3).flat_map(|set| {
            let old = &before[set][rank];
            after[set][rank].iter().filter(|it| !old.contains(it))
        });
        assert!(new.count() <= 1, "rank {rank}");
    }
}

/// Repeated plans must reach balance and then stop; otherwise ranks would copy without end.
#[test]
fn repeated_plans_converge_to_balance() {
    let mut map = plan::initial_map(shape(), RANKS);
    let mut demand = demand(40);
    let mut switches = 0;
    while let Some(plan) = demand.plan(&map, PAUSE_RATIO) {
        map = plan.map;
        switches += 1;
        assert!(switches < 10);
    }
    assert!(switches >= 2);
}

/// Regression: observations far apart mix previous with present demand, which led to maps
/// for outdated demand.
#[test]
fn regression_observations_too_far_apart_give_no_demand() {
    let mut demand = Demand::new(Settings::default(), shape());
    demand.observe(all_ranks_counts(10, 5), at(0));
    assert!(!demand.observe(all_ranks_counts(20, 50), at(1_200)));
    assert!(
        !demand.observe(all_ranks_counts(21, 50), at(1_250)),
        "the observations are too close together"
    );
}

/// A restarted rank counts from zero again, so the difference of its counts is no demand.
#[test]
fn counts_of_restarted_ranks_are_ignored() {
    let mut demand = Demand::new(Settings::default(), shape());
    demand.observe(all_ranks_counts(100, 5), at(0));
    assert!(!demand.observe(all_ranks_counts(10, 5), at(300)));
}

/// Converting a map to the format of the engines and back must not change it.
#[test]
fn maps_round_trip_through_the_engine_format() {
    let map = plan::initial_map(shape(), RANKS);
    let by_rank = plan::by_rank(&map);
    let held: Vec<Vec<Vec<u16>>> = (0..usize::from(RANKS))
        .map(|rank| by_rank.iter().map(|set| set[rank].clone()).collect())
        .collect();
    assert_eq!(plan::from_ranks(shape(), &held), Some(map));
    assert!(
        plan::from_ranks(shape(), &held[1..]).is_none(),
        "experts are missing"
    );
    assert!(Settings::default().min_interval < Duration::from_secs(1));
}

/// Returns the shape of groups on a large site, where copying an expert takes 76 ms.
fn large_shape() -> Experts {
    Experts {
        sets: 16,
        places: 5,
        spare: 2,
        bytes: 420_000_000,
        ..shape()
    }
}

/// Returns the time lost to imbalance in the two seconds after a shift of demand, in seconds
/// of a balanced group. A switch takes 0.1 s in addition to its copies.
fn time_lost_after_shift_s(settings: Settings) -> f64 {
    const SWITCH_OVERHEAD_S: f64 = 0.1;
    const SPAN_S: f64 = 2.0;
    let all_ranks_counts = |step: u64, peak: u64| {
        let mut counts = counts(step, peak);
        counts.counts = vec![counts.counts[0].clone(); 16];
        (0..24).map(|rank| (rank, counts.clone())).collect()
    };
    let mut map = plan::initial_map(large_shape(), 24);
    let mut before = Demand::new(settings, large_shape());
    before.observe(all_ranks_counts(10, 5), at(0));
    before.observe(all_ranks_counts(20, 5), at(300));
    while let Some(plan) = before.plan(&map, PAUSE_RATIO) {
        map = plan.map;
    }
    let mut after = Demand::new(settings, large_shape());
    after.observe(all_ranks_counts(10, 50), at(0));
    after.observe(all_ranks_counts(20, 50), at(300));
    let mut elapsed_s = 0.0;
    let mut lost_s = 0.0;
    let mut imbalance = None;
    while let Some(plan) = after.plan(&map, PAUSE_RATIO) {
        let switch_s = plan.copy_duration.as_secs_f64() + SWITCH_OVERHEAD_S;
        lost_s += plan.imbalance * switch_s;
        elapsed_s += switch_s;
        let shares: Vec<Vec<f64>> = vec![expert_shares(50); 16];
        imbalance = Some(refine::imbalance(&plan.map, &shares));
        map = plan.map;
    }
    lost_s + imbalance.unwrap_or_default() * (SPAN_S - elapsed_s).max(0.0)
}

fn expert_shares(peak: u64) -> Vec<f64> {
    let weights = counts(10, peak).counts.swap_remove(0);
    let total: u64 = weights.iter().sum();
    let weights = weights.into_iter();
    weights.map(|it| it as f64 / total as f64).collect()
}

/// Demand shifts every few seconds. The first copies improve the balance most, so a switch
/// that waits for many copies keeps the group on its worst map in the meantime.
#[test]
fn regression_few_copies_per_switch_lose_less_after_a_shift() {
    let few = time_lost_after_shift_s(Settings::default());
    let many = time_lost_after_shift_s(Settings {
        copy_time: Duration::from_millis(400),
        ..Settings::default()
    });
    assert!(few < 0.9 * many, "{few:.3} s against {many:.3} s");
}

/// A search takes about 20 ms of CPU time, so it must not be repeated ten times a second
/// while nothing has changed; a rising imbalance must trigger another one.
#[test]
fn a_search_that_found_nothing_is_repeated_when_the_imbalance_rises() {
    let mut map = plan::initial_map(shape(), RANKS);
    let mut demand = demand(5);
    while let Some(plan) = demand.plan(&map, PAUSE_RATIO) {
        map = plan.map;
    }
    assert!(demand.observe(all_ranks_counts(30, 5), at(600)));
    assert!(
        demand.plan(&map, PAUSE_RATIO).is_none(),
        "nothing has changed"
    );
    assert!(demand.observe(all_ranks_counts(200, 50), at(900)));
    assert!(
        demand.plan(&map, PAUSE_RATIO).is_some(),
        "the demand has shifted"
    );
}

/// Regression: the latest pass shows a shift long before the counts of the longest interval
/// do. Without a shift the latter are used, since the demand of single passes varies, and a
/// new map for each pass would keep the ranks copying all the time.
#[test]
fn regression_noise_between_passes_triggers_no_switch_but_a_shift_does() {
    let mut map = plan::initial_map(shape(), RANKS);
    let mut demand = demand(5);
    while let Some(plan) = demand.plan(&map, PAUSE_RATIO) {
        map = plan.map;
    }
    for tick in 1..6 {
        // Every other pass chooses expert 60 more often than usual.
        let mut counts = counts(20 + tick, 5);
        let extra = 1_500 * (tick / 2);
        counts.counts.iter_mut().for_each(|set| set[60] += extra);
        let counts = (0..RANKS).map(|rank| (rank, counts.clone())).collect();
        demand.observe(counts, at(300 + tick * 100));
        assert!(demand.plan(&map, PAUSE_RATIO).is_none(), "pass {tick}");
    }
    let mut shifted = counts(25, 5);
    shifted.step += 1;
    let choices = counts(10, 50).counts;
    let sums = shifted.counts.iter_mut().zip(&choices);
    for (sum, choices) in sums {
        sum.iter_mut().zip(choices).for_each(|(sum, it)| *sum += it);
    }
    let counts = (0..RANKS).map(|rank| (rank, shifted.clone())).collect();
    demand.observe(counts, at(920));
    assert!(demand.plan(&map, PAUSE_RATIO).is_some());
}

/// While passes are short relative to the longest permitted pause, a better map makes no
/// noticeable difference to streams, but the copies for it slow all passes down.
#[test]
fn short_passes_need_no_better_map() {
    let map = plan::initial_map(shape(), RANKS);
    let mut demand = demand(5);
    assert!(demand.plan(&map, 0.05).is_none());
    // Once passes are long, the same imbalance justifies a switch.
    assert!(demand.plan(&map, PAUSE_RATIO).is_some());
}

/// Regression: demand shifted just after ranks had begun copies of 0.4 s, and the leader
/// waited for the map of the previous demand.
#[test]
fn regression_a_plan_is_superseded_by_a_shift_but_not_by_noise() {
    let mut map = plan::initial_map(shape(), RANKS);
    let mut demand = demand(5);
    let mut last = None;
    while let Some(plan) = demand.plan(&map, PAUSE_RATIO) {
        map = plan.map.clone();
        last = Some(plan);
    }
    let Some(plan) = last else {
        panic!("skewed demand must lead to a plan");
    };
    assert!(demand.observe(all_ranks_counts(30, 5), at(400)));
    assert!(!demand.is_superseded(&plan));
    let mut shifted = counts(30, 5);
    shifted.step += 10;
    let choices = counts(10, 50).counts;
    for (sum, choices) in shifted.counts.iter_mut().zip(&choices) {
        sum.iter_mut().zip(choices).for_each(|(sum, it)| *sum += it);
    }
    let shifted = (0..RANKS).map(|rank| (rank, shifted.clone())).collect();
    assert!(demand.observe(shifted, at(500)));
    assert!(demand.is_superseded(&plan));
}

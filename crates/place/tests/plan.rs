//! Tests of the planner's invariants over random groups and reports.

use std::time::Duration;

use quickcheck::quickcheck;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamerock_base::time::Moment;
use sesamerock_place::budget::Budget;
use sesamerock_place::cost::Model;
use sesamerock_place::greedy;
use sesamerock_place::map::{Change, Fault, Map, Move, Share, Source};
use sesamerock_place::plan::{Plan, Planner, Settings, Stage};

const STEPS: u32 = 20;

/// A random group with skewed popularity.
struct RandomGroup {
    rng: ChaCha8Rng,
    map: Map,
    shares: Vec<Vec<f64>>,
    tokens: f64,
}

impl RandomGroup {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let ranks = rng.random_range(2..10_u16);
        let experts = ranks * rng.random_range(1..6);
        let layers = rng.random_range(1..4);
        let slots = (0..ranks)
            .map(|_| experts / ranks + rng.random_range(0..3))
            .collect();
        let map = Map::round_robin(slots, experts, layers);
        let mut group = Self {
            rng,
            map,
            shares: Vec::new(),
            tokens: 512.0 * f64::from(ranks),
        };
        group.redraw();
        group
    }

    /// Replaces the popularity of all experts by a new random one.
    fn redraw(&mut self) {
        let experts = usize::from(self.map.layers[0].experts());
        self.shares.clear();
        for _ in 0..self.map.layers.len() {
            let weights: Vec<f64> = (0..experts)
                .map(|_| (2.0 * self.rng.random::<f64>()).exp())
                .collect();
            let total: f64 = weights.iter().sum();
            self.shares
                .push(weights.iter().map(|weight| weight / total).collect());
        }
    }

    /// Places all experts greedily for the present popularity.
    fn balance(&mut self) {
        let speeds = vec![1.0; self.map.ranks()];
        let slots = &self.map.slots;
        let place = |shares: &Vec<f64>| greedy::place(shares, &speeds, slots).unwrap();
        self.map.layers = self.shares.iter().map(place).collect();
    }

    /// Reports the sampled counts of one second to the planner.
    fn report(&mut self, planner: &mut Planner, at: Moment) {
        for (layer, shares) in self.shares.iter().enumerate() {
            let mean = self.tokens * f64::from(STEPS);
            let counts: Vec<u32> = shares
                .iter()
                .map(|share| {
                    // The sum of twelve uniform variables is nearly normal.
                    let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
                    let mean = mean * share;
                    (mean + mean.sqrt() * normal).round().max(0.0) as u32
                })
                .collect();
            planner.observe(at, layer as u16, &counts, STEPS);
        }
    }
}

fn at_second(seconds: u64) -> Moment {
    Moment::default() + Duration::from_secs(seconds)
}

fn settings() -> Settings {
    Settings {
        store_rate: 100 << 20,
        ..Settings::default()
    }
}

/// Runs 60 rounds over a changing popularity with faults, and calls `check` with
/// the current map, the plan and the second of each round.
fn run_planner(seed: u64, settings: Settings, mut check: impl FnMut(&Map, &Plan, u64)) {
    let mut group = RandomGroup::new(seed);
    let mut planner = Planner::new(group.map.clone(), settings, at_second(0)).unwrap();
    for rank in 0..group.map.ranks() {
        planner.set_exports(rank as u16, group.rng.random::<bool>());
    }
    for now in 0..60 {
        if now % 20 == 19 {
            group.redraw();
        }
        if group.rng.random::<f64>() < 0.8 {
            group.report(&mut planner, at_second(now));
        }
        if group.rng.random::<f64>() < 0.05 {
            planner.store_refused(at_second(now));
        }
        if group.rng.random::<f64>() < 0.1 {
            let rank = group.rng.random_range(0..group.map.ranks()) as u16;
            planner.set_speed(at_second(now), rank, group.rng.random::<f64>());
        }
        let plan = planner.round(at_second(now));
        check(planner.map(), &plan, now);
        match plan.next {
            Some(next) if group.rng.random::<f64>() < 0.8 => planner.adopt(next).unwrap(),
            _ => planner.abandon(),
        }
    }
}

fn transferred(moves: &[Move], store: bool) -> u64 {
    let matches = |(_, source): &(u16, Source)| (*source == Source::Store) == store;
    moves
        .iter()
        .filter_map(Move::transfer)
        .filter(matches)
        .count() as u64
}

quickcheck! {
    /// Guards against maps that lose an expert, exceed the memory of a rank, or
    /// differ from what the moves lead to.
    fn moves_lead_to_a_valid_next_map(seed: u64) -> bool {
        let mut planned = 0;
        run_planner(seed, settings(), |map, plan, _| {
            assert_eq!(plan.next.is_some(), !plan.moves.is_empty());
            if let Some(next) = &plan.next {
                planned += 1;
                let applied = map.apply(&plan.moves).expect("moves fit");
                assert_eq!(&applied, next);
                assert_eq!(next.check(), Ok(()));
            }
        });
        planned <= 60
    }

    /// Guards against requests beyond the weight store's share, in total and
    /// when staging memory is limited.
    fn bytes_and_staging_stay_in_bounds(seed: u64) -> bool {
        let settings = settings();
        let bytes = settings.model.expert_bytes;
        let mut store = 0;
        let mut peer = 0;
        run_planner(seed, settings, |map, plan, now| {
            assert_eq!(plan.store_bytes, transferred(&plan.moves, true) * bytes);
            assert_eq!(plan.peer_bytes, transferred(&plan.moves, false) * bytes);
            store += plan.store_bytes;
            peer += plan.peer_bytes;
            assert!(store <= settings.store_rate * now);
            assert!(peer <= settings.peer_rate * now);
            for rank in 0..map.ranks() as u16 {
                let to_rank = |planned_move: &&Move| planned_move.transfer().is_some_and(|(to, _)| to == rank);
                let arrivals = plan.moves.iter().filter(to_rank).count();
                assert!(arrivals <= usize::from(settings.staging));
            }
        });
        true
    }

    /// Guards against fetching from a rank that does not hold the expert or
    /// cannot export.
    fn sources_hold_the_expert(seed: u64) -> bool {
        run_planner(seed, settings(), |map, plan, _| {
            for planned_move in &plan.moves {
                if let Some((_, Source::Peer(peer))) = planned_move.transfer() {
                    assert!(map.layers[usize::from(planned_move.layer)].hosts(planned_move.expert).contains(&peer));
                }
            }
        });
        true
    }

    /// Guards against rounds that exceed the bounded work.
    fn work_stays_bounded(seed: u64) -> bool {
        let settings = Settings { work: 100, ..settings() };
        run_planner(seed, settings, |_, plan, _| assert!(plan.work <= 100));
        true
    }

    /// Guards against first maps that lack an expert because slots ran out.
    fn greedy_places_every_expert(seed: u64) -> bool {
        let mut group = RandomGroup::new(seed);
        group.balance();
        group.map.check() == Ok(())
    }
}

/// Guards against moves caused by the sampling of tokens, over 100 groups and 100
/// rounds each. Without hysteresis such reports must cause moves, or the check
/// could not fail.
#[test]
fn noise_around_a_balanced_map_moves_nothing() {
    assert_eq!(moves_on_noise(settings(), 100), 0);
    let no_hysteresis = Settings {
        min_improvement: 0.0,
        margin: 0.0,
        certainty: 0.0,
        ..settings()
    };
    assert!(moves_on_noise(no_hysteresis, 5) > 0);
}

fn moves_on_noise(settings: Settings, groups: u64) -> usize {
    let mut moved = 0;
    for seed in 0..groups {
        let mut group = RandomGroup::new(seed);
        group.balance();
        // The first 100 rounds may improve the greedy map; later moves are due to noise.
        let high_rate = Settings {
            store_rate: 10 << 30,
            ..settings
        };
        let mut planner = Planner::new(group.map.clone(), high_rate, at_second(0)).unwrap();
        for now in 1..200 {
            group.report(&mut planner, at_second(now));
            let plan = planner.round(at_second(now));
            if now >= 100 {
                moved += plan.moves.len();
            }
            if let Some(next) = plan.next {
                planner.adopt(next).unwrap();
            }
        }
    }
    moved
}

/// Guards against a planner that never moves, which would pass the noise test,
/// and against a search that stops early: a search without pairs of edits ended
/// 11 % and 7 % above the greedy map with seeds 12 and 50.
#[test]
fn lasting_imbalance_is_removed() {
    for seed in 0..60 {
        let mut group = RandomGroup::new(seed);
        let mut planner = Planner::new(group.map.clone(), settings(), at_second(0)).unwrap();
        let before = expert_step_time(&group, planner.map());
        for now in 1..300 {
            group.report(&mut planner, at_second(now));
            if let Some(next) = planner.round(at_second(now)).next {
                planner.adopt(next).unwrap();
            }
        }
        let after = expert_step_time(&group, planner.map());
        group.balance();
        let greedy = expert_step_time(&group, &group.map);
        assert!(after <= before, "seed {seed}: {before} to {after}");
        assert!(
            after <= greedy * 1.05,
            "seed {seed}: {after}, greedy {greedy}"
        );
    }
}

/// Returns the predicted time of the experts in one step.
fn expert_step_time(group: &RandomGroup, map: &Map) -> f64 {
    let model = Model {
        fixed: Duration::ZERO,
        token_time: 1.0,
        ..Model::default()
    };
    let speeds = vec![1.0; map.ranks()];
    model.step_time(map, &group.shares, &speeds, Share::Even)
}

/// Guards against moving experts because of a short stall, and against keeping
/// them on a rank that stays slow.
#[test]
fn a_slow_rank_is_relieved_by_routing_first() {
    let experts = 32;
    let mut map = Map::round_robin(vec![9; 4], experts, 1);
    let shares = vec![1.0 / f64::from(experts); usize::from(experts)];
    map.layers = vec![greedy::place(&shares, &[1.0; 4], &map.slots).unwrap()];
    let mut planner = Planner::new(map, settings(), at_second(0)).unwrap();
    let counts = vec![10_000; usize::from(experts)];
    let mut first_move = None;
    for now in 1..120 {
        planner.observe(at_second(now), 0, &counts, STEPS);
        for rank in 0..4 {
            planner.set_speed(at_second(now), rank, if rank == 2 { 0.5 } else { 1.0 });
        }
        let plan = planner.round(at_second(now));
        if now == 10 {
            assert_eq!(plan.relief.len(), 1);
            assert_eq!(plan.relief[0].rank, 2);
            assert_eq!(plan.relief[0].stage, Stage::Routing);
            assert!(planner.routing()[2] < 0.6);
        }
        if !plan.moves.is_empty() {
            first_move.get_or_insert(now);
            assert_eq!(plan.relief[0].stage, Stage::Placement);
        }
        if let Some(next) = plan.next {
            planner.adopt(next).unwrap();
        }
    }
    assert!(first_move.is_some_and(|at| at >= 30), "{first_move:?}");
    let held = (0..experts).filter(|expert| planner.map().layers[0].hosts(*expert).contains(&2));
    assert!(held.count() < 9);
}

/// Guards against planning from outdated counts after a gap in the reports: an
/// imbalance that causes moves with recent reports must cause none after a long
/// gap.
#[test]
fn a_gap_in_reports_raises_the_threshold() {
    let gap = |seconds: u64| {
        let mut map = Map::round_robin(vec![3; 4], 8, 1);
        map.layers[0] = greedy::place(&[1.0; 8], &[1.0; 4], &map.slots).unwrap();
        let mut planner = Planner::new(map, settings(), at_second(0)).unwrap();
        let counts = [3_000, 1_000, 1_000, 1_000, 1_000, 1_000, 1_000, 1_000];
        planner.observe(at_second(1), 0, &counts, 1);
        planner.round(at_second(1 + seconds)).moves.len()
    };
    assert!(gap(1) > 0);
    assert_eq!(gap(400), 0);
}

/// Guards against making a plan while another one is staged.
#[test]
fn one_plan_at_a_time() {
    let mut group = RandomGroup::new(3);
    let mut planner = Planner::new(group.map.clone(), settings(), at_second(0)).unwrap();
    let mut plans = 0;
    for now in 1..20 {
        group.report(&mut planner, at_second(now));
        plans += usize::from(planner.round(at_second(now)).next.is_some());
    }
    assert_eq!(plans, 1);
    planner.abandon();
    group.report(&mut planner, at_second(20));
    assert!(planner.round(at_second(20)).next.is_some());
}

/// Guards against accepting a map of another group.
#[test]
fn a_map_of_another_shape_is_refused() {
    let mut planner =
        Planner::new(Map::round_robin(vec![2; 4], 8, 2), settings(), at_second(0)).unwrap();
    assert_eq!(
        planner.adopt(Map::round_robin(vec![2; 4], 8, 1)),
        Err(Fault::Shape)
    );
    assert_eq!(
        planner.adopt(Map::round_robin(vec![3; 4], 8, 2)),
        Err(Fault::Shape)
    );
    let planned_move = Move {
        layer: 0,
        expert: 0,
        change: Change::Drop { from: 0 },
    };
    assert_eq!(
        planner.map().apply(&[planned_move]),
        Err(Fault::Missing {
            layer: 0,
            expert: 0
        })
    );
}

/// Guards against a panic on a decoded map whose `ends` and `hosts` do not match.
#[test]
fn an_inconsistent_layer_is_refused() {
    for layer in [
        r#"{"ends":[3],"hosts":[0]}"#,
        r#"{"ends":[2,1],"hosts":[0]}"#,
        r#"{"ends":[],"hosts":[0]}"#,
    ] {
        let text = format!(r#"{{"slots":[4],"layers":[{layer}]}}"#);
        let map: Map = serde_json::from_str(&text).unwrap();
        assert_eq!(map.check(), Err(Fault::Shape), "{layer}");
    }
}

/// Guards against requests at the full rate while the weight store refuses them.
#[test]
fn refusals_halve_the_rate_and_time_restores_it() {
    let mut budget = Budget::new(1_000, 0, at_second(0));
    assert_eq!(budget.available(at_second(1)), 1_000);
    budget.refused(at_second(1));
    assert_eq!(budget.available(at_second(1)), 0);
    assert_eq!(budget.available(at_second(2)), 500);
    for now in 3..60 {
        let bytes = budget.available(at_second(now));
        budget.take(bytes);
    }
    assert_eq!(budget.available(at_second(60)), 1_000);
}

/// Guards against slices that give a different plan from an uninterrupted round,
/// or that use much more work than their limit.
#[test]
fn slices_lead_to_the_plan_of_a_whole_round() {
    const SLICE: u64 = 500;
    let mut pauses = 0;
    let mut moves = 0;
    for seed in 0..100 {
        let mut group = RandomGroup::new(seed);
        let planner = || Planner::new(group.map.clone(), settings(), at_second(0)).unwrap();
        let (mut whole, mut sliced) = (planner(), planner());
        for now in 1..20 {
            let mut group_copy = RandomGroup {
                rng: group.rng.clone(),
                map: group.map.clone(),
                shares: group.shares.clone(),
                tokens: group.tokens,
            };
            group_copy.report(&mut sliced, at_second(now));
            group.report(&mut whole, at_second(now));
            let expected = whole.round(at_second(now));
            let mut round = sliced.begin(at_second(now));
            while !sliced.advance(&mut round, SLICE) {
                pauses += 1;
            }
            let plan = sliced.finish(round);
            assert_eq!(plan.next, expected.next, "seed {seed}");
            assert_eq!(plan.moves, expected.moves, "seed {seed}");
            assert_eq!(plan.rejected, expected.rejected, "seed {seed}");
            assert_eq!(plan.work, expected.work, "seed {seed}");
            moves += plan.moves.len();
            if let Some(next) = plan.next {
                whole.adopt(next.clone()).unwrap();
                sliced.adopt(next).unwrap();
            }
        }
    }
    assert!(pauses > 1_000, "{pauses} pauses");
    assert!(moves > 100, "{moves} moves");
}

/// Guards against a plan for a map that is no longer the current one.
#[test]
fn a_map_adopted_during_a_round_makes_it_void() {
    let mut group = RandomGroup::new(3);
    let mut planner = Planner::new(group.map.clone(), settings(), at_second(0)).unwrap();
    group.report(&mut planner, at_second(1));
    let mut round = planner.begin(at_second(1));
    let next = planner.map().clone();
    planner.adopt(next).unwrap();
    assert!(planner.advance(&mut round, u64::MAX));
    let plan = planner.finish(round);
    assert_eq!((plan.next, plan.moves), (None, Vec::new()));
}

//! Agents that plan for cohorts.

use std::collections::BTreeMap;

use quickcheck::QuickCheck;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamerock_note::rollout::cohort;

use crate::simulation::{
    Engine, Simulation, fleet, run_random_events, seeded_settings, with_chat_version_4,
};

/// Guards against more units than the share of each cohort interrupting service
/// at once, and against a rollout by cohorts that never ends.
#[test]
fn cohorts_stay_within_their_shares_and_finish() {
    fn holds(seed: u64) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(9..25);
        let settings = seeded_settings(&mut rng, 0.6);
        let mut simulation = Simulation::new(fleet(count), 1, settings);
        simulation.cohort = Some(cohort::MAX_UNITS);
        simulation.settle();
        let state = with_chat_version_4(simulation.state());
        let chat = state.models().key("chat").expect("the model");
        let sizes: Vec<_> = state
            .upstreams()
            .iter()
            .map(|(key, _)| cohort::members(&state, chat, key, cohort::MAX_UNITS).len())
            .collect();
        // Each member counts a part of its cohort's share.
        let share = |size: &usize| ((*size as f64 * settings.share) as usize).max(1) as f64;
        let limit: f64 = sizes.iter().map(|size| share(size) / *size as f64).sum();
        simulation.publish(state, 1);
        run_random_events(&mut simulation, &mut rng, 1_500, |simulation| {
            let out = count - simulation.warm("chat");
            assert!(out as f64 <= limit + 1e-9, "too many at once");
        });
        simulation.settle();
        let ready = |engine: &Engine| engine.report.find(chat, 4).is_some();
        simulation.engines.iter().all(ready)
    }
    QuickCheck::new()
        .tests(60)
        .quickcheck(holds as fn(u64) -> bool);
}

/// Guards against an upstream in no cohort or in two, cohorts whose size grows
/// with the model, and a unit that is alone in its cohort and cannot change.
#[test]
fn cohorts_are_bounded_and_disjoint() {
    for count in [1, 2, 7, 8, 9, 16, 17, 100, 588] {
        let state = fleet(count);
        let chat = state.models().key("chat").expect("the model");
        let mut seen = BTreeMap::new();
        for (key, _) in state.upstreams().iter() {
            let members = cohort::members(&state, chat, key, cohort::MAX_UNITS);
            assert!(members.contains(&key) && members.len() <= cohort::MAX_UNITS);
            assert!(members.len() > 1 || count == 1);
            for member in &members {
                let known = seen.entry(*member).or_insert_with(|| members.clone());
                assert_eq!(*known, members, "two cohorts of one upstream");
            }
        }
        assert_eq!(seen.len(), count);
    }
}

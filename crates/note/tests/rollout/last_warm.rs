//! The last warm copy of a model, under random delays.

use quickcheck::QuickCheck;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamerock_note::note::Note;

use crate::simulation::{Simulation, fleet, run_random_events, seeded_settings};
use crate::support::{accept, engine, model, note};

/// Publishes notes, each revised at random, and checks after every event that
/// some copy of the model is warm.
fn check_rounds(
    simulation: &mut Simulation,
    rng: &mut ChaCha8Rng,
    memory: usize,
    revise: impl Fn(&mut Note, &mut ChaCha8Rng, u32),
) {
    for round in 0..12 {
        let mut state = simulation.state().clone();
        let mut change = note(&format!("n{round}"), state.version().0);
        revise(&mut change, rng, round);
        accept(&mut state, change);
        simulation.publish(state, memory);
        let steps = rng.random_range(10..120);
        run_random_events(simulation, rng, steps, |simulation| {
            assert!(
                simulation.warm("chat") > 0,
                "the last warm copy was unloaded"
            );
        });
    }
}

/// Guards against the last warm copy of a model being unloaded, whatever the
/// agents receive late: version changes without spare memory, a model moved
/// back and forth by notes that follow each other, and agents wrongly
/// considered unreachable.
#[test]
fn last_warm_upstream_of_a_model_stays() {
    fn holds(seed: u64) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(2..7);
        let memory = 1 + usize::from(rng.random_range(0..4) == 0);
        let settings = seeded_settings(&mut rng, 1.0);
        let mut simulation = Simulation::new(fleet(count), memory, settings);
        simulation.settle();
        assert_eq!(simulation.warm("chat"), count);
        check_rounds(&mut simulation, &mut rng, memory, |change, rng, round| {
            let kind = rng.random_range(0..4);
            if kind > 0 {
                change.change.models.push(model("chat", 4 + round));
            }
            if kind < 2 {
                move_model(change, rng, count);
            }
        });
        true
    }
    QuickCheck::new()
        .tests(400)
        .quickcheck(holds as fn(u64) -> bool);
}

/// Guards against the last warm copy being unloaded where agents plan for
/// cohorts and form them differently, since each has another version.
#[test]
fn cohorts_keep_the_last_warm_upstream() {
    fn holds(seed: u64) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(3..8);
        let settings = seeded_settings(&mut rng, 1.0);
        let mut simulation = Simulation::new(fleet(count), 1, settings);
        simulation.cohort = Some(rng.random_range(2..5));
        simulation.settle();
        assert_eq!(simulation.warm("chat"), count);
        check_rounds(&mut simulation, &mut rng, 1, |change, rng, round| {
            if rng.random_range(0..3) > 0 {
                change.change.models.push(model("chat", 4 + round));
            } else {
                move_model(change, rng, count);
            }
        });
        true
    }
    QuickCheck::new()
        .tests(400)
        .quickcheck(holds as fn(u64) -> bool);
}

/// Lets one engine and a random share of the others serve the model.
fn move_model(change: &mut Note, rng: &mut ChaCha8Rng, count: usize) {
    let stay = rng.random_range(0..count);
    for index in 0..count {
        let keeps = index == stay || rng.random_range(0..3) == 0;
        let models: &[&str] = if keeps { &["chat"] } else { &[] };
        let mut upstream = engine(&format!("e{index}"), models);
        upstream.agent.set_port(7_000 + index as u16);
        change.change.upstreams.push(upstream);
    }
}

//! Rollouts by independent agents with late reports.

mod cohorts;
mod last_warm;
mod simulation;
#[path = "../support/mod.rs"]
mod support;

use std::collections::BTreeMap;

use quickcheck::QuickCheck;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamerock_base::time::Moment;
use sesamerock_note::note::Role;
use sesamerock_note::rollout::{
    Command, Hold, Input, Loaded, Phase, Plan, Reason, Report, Reports, Settings, Step,
};
use simulation::{
    Engine, Simulation, fleet, run_random_events, seeded_settings, with_chat_version_4,
};
use support::{accept, adapter, engine, model, note, release};

/// Guards against more units than the allowed share interrupting service at
/// once.
#[test]
fn interrupted_units_stay_within_the_share() {
    fn holds(seed: u64) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(2..9);
        let settings = seeded_settings(&mut rng, 0.6);
        let limit = ((count as f64 * settings.share) as usize).max(1);
        let mut simulation = Simulation::new(fleet(count), 1, settings);
        simulation.settle();
        let state = with_chat_version_4(simulation.state());
        simulation.publish(state, 1);
        run_random_events(&mut simulation, &mut rng, 600, |simulation| {
            assert!(simulation.warm("chat") + limit >= count, "too many at once");
        });
        let plan = simulation.settle();
        plan.progress.done()
    }
    QuickCheck::new()
        .tests(150)
        .quickcheck(holds as fn(u64) -> bool);
}

/// Guards against two units that each rely on the other: both hold the only
/// warm copies, both may change at once by the share, and neither sees the
/// other's step.
#[test]
fn concurrent_units_do_not_rely_on_each_other() {
    let state = with_chat_version_4(&fleet(6));
    let chat = state.models().key("chat").expect("the model");
    let keys: Vec<_> = state.upstreams().iter().map(|(key, _)| key).collect();
    let settings = Settings {
        share: 0.34,
        store_loads: 9,
    };
    for first in 0..keys.len() {
        for second in first + 1..keys.len() {
            let mut reports = Reports::default();
            for (index, key) in keys.iter().enumerate() {
                let mut report = Report {
                    version: state.version(),
                    live: true,
                    ..Report::default()
                };
                if index == first || index == second {
                    report.loaded.push(Loaded {
                        model: chat,
                        version: 3,
                        phase: Phase::Warm,
                        adapters: Vec::new(),
                    });
                }
                reports.set(*key, report);
            }
            let plan = Plan::new(&Input {
                state: &state,
                reports: &reports,
                settings,
                now: Moment(0),
                store_refused_until: None,
            });
            let unloads = |step: &&Step| matches!(step.command, Command::Unload { .. });
            assert!(plan.steps.iter().filter(unloads).count() < 2);
        }
    }
}

/// Guards against a rollout that never ends, or that exceeds the load limit of
/// the weight store.
#[test]
fn rollout_finishes_within_the_store_limit() {
    let settings = Settings {
        share: 0.5,
        store_loads: 2,
    };
    let mut simulation = Simulation::new(fleet(12), 2, settings);
    assert!(simulation.settle().progress.done());
    let state = with_chat_version_4(simulation.state());
    simulation.publish(state, 2);
    simulation.synchronise();
    for engine in 0..12 {
        simulation.plan_and_execute(engine);
    }
    let loading = |engine: &&Engine| {
        let mut loaded = engine.report.loaded.iter();
        loaded.any(|loaded| loaded.phase == Phase::Loading)
    };
    assert_eq!(simulation.engines.iter().filter(loading).count(), 2);
    let plan = simulation.settle();
    assert!(plan.progress.done() && plan.stalls.is_empty(), "{plan:?}");
    let model = simulation.state().models().key("chat").expect("the model");
    for engine in &simulation.engines {
        assert_eq!(engine.report.loaded.len(), 1);
        assert!(engine.report.find(model, 4).is_some());
    }
}

/// Guards against a single engine without spare memory losing its model
/// without a stall being reported to the operators.
#[test]
fn single_full_engine_stalls_with_the_reason() {
    let mut simulation = Simulation::new(fleet(1), 1, Settings::default());
    simulation.settle();
    let state = with_chat_version_4(simulation.state());
    simulation.publish(state, 1);
    let plan = simulation.settle();
    assert_eq!(plan.stalls[0].reason, Reason::LastWarm);
    assert_eq!(plan.steps, []);
    assert_eq!(simulation.warm("chat"), 1);
}

/// Guards against a withdrawn upstream leaving before its replacement is warm,
/// and against one that never leaves.
#[test]
fn withdrawn_upstream_is_held_until_replaced() {
    let mut simulation = Simulation::new(fleet(1), 2, Settings::default());
    simulation.settle();
    let mut state = simulation.state().clone();
    let mut replace = note("replace", state.version().0);
    replace.withdraw.upstreams.push("e0".to_owned());
    replace.add.upstreams.push(engine("e1", &["chat"]));
    accept(&mut state, replace);
    simulation.publish(state, 2);
    let old = simulation.key(0);
    simulation.synchronise();
    let plan = simulation.plan_and_execute(0);
    let model = simulation.state().models().key("chat").expect("the model");
    let hold = Hold {
        upstream: old,
        model,
        version: 3,
    };
    assert_eq!(plan.holds, [hold]);
    assert_eq!(plan.commands(old).count(), 0);
    let plan = simulation.settle();
    assert!(plan.progress.done() && plan.holds.is_empty());
    assert_eq!(simulation.warm("chat"), 1);
    assert!(!simulation.engines[0].report.warm(model));
}

/// Guards against adapters that are not updated, or are unloaded before another
/// upstream has them.
#[test]
fn adapters_and_roles_follow_the_state() {
    let mut state = fleet(2);
    let mut add = note("adapters", state.version().0);
    add.add.adapters.push(adapter("poet", "chat", 1));
    let mut with = engine("e0", &["chat"]);
    with.models[0].adapters.push("poet".to_owned());
    add.change.upstreams.push(with.clone());
    accept(&mut state, add);
    let mut simulation = Simulation::new(state.clone(), 2, Settings::default());
    assert!(simulation.settle().progress.done());
    let poet = state.adapters().key("poet").expect("the adapter");
    let has = |simulation: &Simulation, name: &str, version: u32| {
        let engine = simulation.engines.iter().find(|engine| engine.name == name);
        let loaded = &engine.expect("an engine").report.loaded[0];
        loaded.adapters.contains(&(poet, version))
    };
    assert!(has(&simulation, "e0", 1));

    let mut move_adapter = note("move", state.version().0);
    move_adapter
        .change
        .adapters
        .push(adapter("poet", "chat", 2));
    let mut moved = engine("e1", &["chat"]);
    moved.models[0].adapters.push("poet".to_owned());
    moved.role = Role::Decode;
    move_adapter.change.upstreams.push(moved);
    move_adapter.change.upstreams.push(engine("e0", &["chat"]));
    accept(&mut state, move_adapter);
    simulation.publish(state, 2);
    let plan = simulation.settle();
    assert!(plan.progress.done(), "{plan:?}");
    assert!(has(&simulation, "e1", 2) && !has(&simulation, "e0", 1));
    let roles: BTreeMap<_, _> = simulation
        .engines
        .iter()
        .map(|engine| (engine.name.as_str(), engine.report.role))
        .collect();
    assert_eq!(roles["e1"], Role::Decode);
}

/// Guards against ranks of a group changing versions one by one.
#[test]
fn ranks_of_a_group_change_together() {
    let mut state = fleet(1);
    let mut add = note("group", state.version().0);
    for rank in 0..3 {
        let mut upstream = engine(&format!("g{rank}"), &["chat"]);
        upstream.agent.set_port(8_000 + rank as u16);
        upstream.group = Some("g".to_owned());
        upstream.rank = Some(rank);
        add.add.upstreams.push(upstream);
    }
    accept(&mut state, add);
    let mut simulation = Simulation::new(state.clone(), 2, Settings::default());
    assert!(simulation.settle().progress.done());
    let mut pin = note("pin", state.version().0);
    pin.add.versions.push(release("chat", 4));
    pin.change.models.push(model("chat", 4));
    accept(&mut state, pin);
    let mut reports = Reports::default();
    for (index, engine) in simulation.engines.iter().enumerate() {
        let key = simulation.key(index);
        let mut report = engine.report.clone();
        report.version = state.version();
        if engine.name == "g0" {
            report.loaded[0].version = 4;
        }
        reports.set(key, report);
    }
    let plan = Plan::new(&Input {
        state: &state,
        reports: &reports,
        settings: Settings {
            share: 1.0,
            store_loads: 9,
        },
        now: Moment(0),
        store_refused_until: None,
    });
    let unloads = |step: &&Step| matches!(step.command, Command::Unload { .. });
    assert_eq!(plan.steps.iter().filter(unloads).count(), 0);
    let loads = |step: &&Step| matches!(step.command, Command::Load { version: 4, .. });
    assert_eq!(plan.steps.iter().filter(loads).count(), 3);
    let refused = Plan::new(&Input {
        state: &state,
        reports: &reports,
        settings: Settings::default(),
        now: Moment(5),
        store_refused_until: Some(Moment(6)),
    });
    assert_eq!(refused.steps, []);
    assert!(
        refused
            .stalls
            .iter()
            .all(|s| s.reason == Reason::StoreRefused)
    );
}

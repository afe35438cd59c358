//! Rollouts by independent agents with late reports.

mod support;

use std::collections::{BTreeMap, VecDeque};

use quickcheck::QuickCheck;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamerock_base::key::Upstream as Key;
use sesamerock_base::time::Moment;
use sesamerock_note::fold::State;
use sesamerock_note::note::{Note, Role};
use sesamerock_note::rollout::{
    Command, Hold, Input, Loaded, Phase, Plan, Reason, Report, Reports, Settings, Step, cohort,
};
use support::{accept, adapter, engine, model, note, release};

/// An engine that carries out commands of its own agent.
#[derive(Clone)]
struct Engine {
    name: String,
    report: Report,
    /// Models that fit.
    memory: usize,
}

impl Engine {
    fn carry_out(&mut self, command: Command) {
        let loaded = &mut self.report.loaded;
        match command {
            Command::Load { model, version } => {
                let known = self.report.find(model, version).is_some();
                if !known && self.report.loaded.len() < self.memory {
                    self.report.loaded.push(Loaded {
                        model,
                        version,
                        phase: Phase::Loading,
                        adapters: Vec::new(),
                    });
                }
            }
            Command::Unload { model, version } => {
                loaded.retain(|l| (l.model, l.version) != (model, version));
            }
            Command::LoadAdapter {
                model,
                adapter,
                version,
            } => {
                for l in loaded.iter_mut().filter(|l| l.model == model) {
                    l.adapters.retain(|(key, _)| *key != adapter);
                    l.adapters.push((adapter, version));
                }
            }
            Command::UnloadAdapter { model, adapter } => {
                for l in loaded.iter_mut().filter(|l| l.model == model) {
                    l.adapters.retain(|(key, _)| *key != adapter);
                }
            }
            Command::Turn { role } => self.report.role = role,
        }
        self.report.room = self.memory.saturating_sub(self.report.loaded.len());
    }

    fn warm_up(&mut self) {
        for loaded in &mut self.report.loaded {
            loaded.phase = Phase::Warm;
        }
    }
}

/// Agents that each see the state and the others' reports late.
struct World {
    states: Vec<State>,
    engines: Vec<Engine>,
    /// Versions of the state and reports on their way, by receiver.
    seen: Vec<(usize, Reports)>,
    mail: VecDeque<(usize, usize, Report)>,
    settings: Settings,
    /// Most units of a cohort, if each agent plans for its cohort alone.
    cohort: Option<usize>,
}

impl World {
    fn new(state: State, memory: usize, settings: Settings) -> Self {
        let engines: Vec<_> = state
            .upstreams()
            .iter()
            .map(|(key, _)| Engine {
                name: state.upstreams().name(key).to_owned(),
                report: Report {
                    room: memory,
                    live: true,
                    ..Report::default()
                },
                memory,
            })
            .collect();
        let seen = engines.iter().map(|_| (0, Reports::default())).collect();
        Self {
            states: vec![state],
            engines,
            seen,
            mail: VecDeque::new(),
            settings,
            cohort: None,
        }
    }

    fn state(&self) -> &State {
        self.states.last().expect("a state")
    }

    fn key(&self, engine: usize) -> Key {
        let name = &self.engines[engine].name;
        self.state().upstreams().key(name).expect("a key")
    }

    /// Adds engines of upstreams that the newest state has in addition.
    fn publish(&mut self, state: State, memory: usize) {
        for (key, _) in state.upstreams().iter() {
            let name = state.upstreams().name(key).to_owned();
            if self.engines.iter().all(|engine| engine.name != name) {
                let report = Report {
                    room: memory,
                    live: true,
                    ..Report::default()
                };
                self.engines.push(Engine {
                    name,
                    report,
                    memory,
                });
                let newest = self.states.len();
                self.seen.push((newest, Reports::default()));
            }
        }
        self.states.push(state);
    }

    /// Sends an engine's report to every agent.
    fn report(&mut self, engine: usize) {
        let version = self.states[self.seen[engine].0].version();
        self.engines[engine].report.version = version;
        let report = self.engines[engine].report.clone();
        for to in 0..self.engines.len() {
            self.mail.push_back((to, engine, report.clone()));
        }
    }

    /// Delivers one report; a receiver may take its sender for dead.
    fn deliver(&mut self, at: usize, live: bool) {
        if let Some((to, from, mut report)) = self.mail.remove(at) {
            report.live = live;
            let key = self.key(from);
            self.seen[to].1.set(key, report);
        }
    }

    /// Lets one agent plan with what it sees and carry out its own commands.
    fn act(&mut self, engine: usize) -> Plan {
        let key = self.key(engine);
        let (index, reports) = &mut self.seen[engine];
        let state = &self.states[*index];
        self.engines[engine].report.version = state.version();
        reports.set(key, self.engines[engine].report.clone());
        let input = Input {
            state,
            reports,
            settings: self.settings,
            now: Moment(0),
            store_refused_until: None,
        };
        let plan = if let Some(most) = self.cohort {
            let model = state.models().key("chat").expect("the model");
            Plan::among(&input, &cohort::members(state, model, key, most))
        } else {
            Plan::new(&input)
        };
        for command in plan.commands(key) {
            self.engines[engine].carry_out(command);
        }
        plan
    }

    fn warm(&self, name: &str) -> usize {
        let model = self.state().models().key(name).expect("a model");
        let holds = |engine: &&Engine| engine.report.warm(model);
        self.engines.iter().filter(holds).count()
    }

    /// Runs without delays until nothing changes and returns the last plan.
    fn settle(&mut self) -> Plan {
        let mut last = Plan::default();
        for _ in 0..200 {
            for engine in 0..self.engines.len() {
                self.seen[engine].0 = self.states.len() - 1;
                self.report(engine);
            }
            while !self.mail.is_empty() {
                self.deliver(0, true);
            }
            let mut done = true;
            for engine in 0..self.engines.len() {
                last = self.act(engine);
                done &= last.progress.done() && last.steps.is_empty();
            }
            for engine in &mut self.engines {
                engine.warm_up();
            }
            if done {
                break;
            }
        }
        last
    }
}

fn fleet(count: usize) -> State {
    let mut state = State::default();
    let mut first = note("first", 0);
    first.add.models.push(model("chat", 3));
    for index in 0..count {
        let mut upstream = engine(&format!("e{index}"), &["chat"]);
        upstream.agent.set_port(7_000 + index as u16);
        first.add.upstreams.push(upstream);
    }
    accept(&mut state, first);
    state
}

fn raise(state: &State) -> State {
    let mut state = state.clone();
    let mut raise = note("raise", state.version().0);
    raise.change.models.push(model("chat", 4));
    accept(&mut state, raise);
    state
}

fn seeded_settings(rng: &mut ChaCha8Rng) -> Settings {
    Settings {
        share: rng.random_range(0.0..0.6),
        store_loads: rng.random_range(1..5),
    }
}

/// Random deliveries, delays and warm-ups; `check` sees the world after each.
fn wander(world: &mut World, rng: &mut ChaCha8Rng, steps: usize, check: impl Fn(&World)) {
    for _ in 0..steps {
        let engine = rng.random_range(0..world.engines.len());
        match rng.random_range(0..8) {
            0 => world.report(engine),
            1 => world.engines[engine].warm_up(),
            2 => {
                let newest = world.states.len() - 1;
                let seen = &mut world.seen[engine].0;
                *seen = (*seen + 1).min(newest);
            }
            3..=5 if !world.mail.is_empty() => {
                let at = rng.random_range(0..world.mail.len());
                let live = rng.random_range(0..6) > 0;
                world.deliver(at, live);
            }
            _ => {
                world.act(engine);
            }
        }
        check(world);
    }
}

/// Guards against the last warm copy of a model being given up, whatever the
/// agents see late: version changes without spare memory, a model moved back
/// and forth by notes that follow each other, and agents wrongly taken for dead.
#[test]
fn last_warm_upstream_of_a_model_stays() {
    fn holds(seed: u64) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(2..7);
        let memory = 1 + usize::from(rng.random_range(0..4) == 0);
        let settings = Settings {
            share: rng.random_range(0.0..1.0),
            store_loads: rng.random_range(1..5),
        };
        let mut world = World::new(fleet(count), memory, settings);
        world.settle();
        assert_eq!(world.warm("chat"), count);
        for round in 0..12 {
            let mut state = world.state().clone();
            let version = state.version().0;
            let mut change = note(&format!("n{round}"), version);
            let kind = rng.random_range(0..4);
            if kind > 0 {
                change.change.models.push(model("chat", 4 + round));
            }
            if kind < 2 {
                move_model(&mut change, &mut rng, count);
            }
            accept(&mut state, change);
            world.publish(state, memory);
            let steps = rng.random_range(10..120);
            wander(&mut world, &mut rng, steps, |world| {
                assert!(world.warm("chat") > 0, "the last warm copy was given up");
            });
        }
        true
    }
    QuickCheck::new()
        .tests(400)
        .quickcheck(holds as fn(u64) -> bool);
}

/// Guards against the last warm copy being given up where agents plan for
/// cohorts and cut them differently, since each sees another version.
#[test]
fn cohorts_keep_the_last_warm_upstream() {
    fn holds(seed: u64) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(3..8);
        let settings = Settings {
            share: rng.random_range(0.0..1.0),
            store_loads: rng.random_range(1..5),
        };
        let mut world = World::new(fleet(count), 1, settings);
        world.cohort = Some(rng.random_range(2..5));
        world.settle();
        assert_eq!(world.warm("chat"), count);
        for round in 0..12 {
            let mut state = world.state().clone();
            let mut change = note(&format!("n{round}"), state.version().0);
            if rng.random_range(0..3) > 0 {
                change.change.models.push(model("chat", 4 + round));
            } else {
                move_model(&mut change, &mut rng, count);
            }
            accept(&mut state, change);
            world.publish(state, 1);
            let steps = rng.random_range(10..120);
            wander(&mut world, &mut rng, steps, |world| {
                assert!(world.warm("chat") > 0, "the last warm copy was given up");
            });
        }
        true
    }
    QuickCheck::new()
        .tests(400)
        .quickcheck(holds as fn(u64) -> bool);
}

/// Guards against more units than the share of each cohort giving up service at
/// once, and against a rollout by cohorts that never ends.
#[test]
fn cohorts_stay_within_their_shares_and_finish() {
    fn holds(seed: u64) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(9..25);
        let settings = seeded_settings(&mut rng);
        let mut world = World::new(fleet(count), 1, settings);
        world.cohort = Some(cohort::UNITS);
        world.settle();
        let state = raise(world.state());
        let chat = state.models().key("chat").expect("the model");
        let sizes: Vec<_> = state
            .upstreams()
            .iter()
            .map(|(key, _)| cohort::members(&state, chat, key, cohort::UNITS).len())
            .collect();
        // Each member counts a part of its cohort's share.
        let share = |size: &usize| ((*size as f64 * settings.share) as usize).max(1) as f64;
        let limit: f64 = sizes.iter().map(|size| share(size) / *size as f64).sum();
        world.publish(state, 1);
        wander(&mut world, &mut rng, 1_500, |world| {
            let out = count - world.warm("chat");
            assert!(out as f64 <= limit + 1e-9, "too many at once");
        });
        world.settle();
        let ready = |engine: &Engine| engine.report.find(chat, 4).is_some();
        world.engines.iter().all(ready)
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
            let members = cohort::members(&state, chat, key, cohort::UNITS);
            assert!(members.contains(&key) && members.len() <= cohort::UNITS);
            assert!(members.len() > 1 || count == 1);
            for member in &members {
                let known = seen.entry(*member).or_insert_with(|| members.clone());
                assert_eq!(*known, members, "two cohorts of one upstream");
            }
        }
        assert_eq!(seen.len(), count);
    }
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

/// Guards against more units than the stated share giving up service at once.
#[test]
fn interrupted_units_stay_within_the_share() {
    fn holds(seed: u64) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = rng.random_range(2..9);
        let settings = seeded_settings(&mut rng);
        let limit = ((count as f64 * settings.share) as usize).max(1);
        let mut world = World::new(fleet(count), 1, settings);
        world.settle();
        let state = raise(world.state());
        world.publish(state, 1);
        wander(&mut world, &mut rng, 600, |world| {
            assert!(world.warm("chat") + limit >= count, "too many at once");
        });
        let plan = world.settle();
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
fn units_that_act_at_once_do_not_rely_on_each_other() {
    let state = raise(&fleet(6));
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

/// Guards against a rollout that never ends, or that exceeds the pace of the
/// weight store.
#[test]
fn rollout_finishes_at_the_stores_pace() {
    let settings = Settings {
        share: 0.5,
        store_loads: 2,
    };
    let mut world = World::new(fleet(12), 2, settings);
    assert!(world.settle().progress.done());
    let state = raise(world.state());
    world.publish(state, 2);
    for engine in 0..12 {
        world.seen[engine].0 = 1;
        world.report(engine);
    }
    while !world.mail.is_empty() {
        world.deliver(0, true);
    }
    for engine in 0..12 {
        world.act(engine);
    }
    let loading = |engine: &&Engine| {
        let mut loaded = engine.report.loaded.iter();
        loaded.any(|loaded| loaded.phase == Phase::Loading)
    };
    assert_eq!(world.engines.iter().filter(loading).count(), 2);
    let plan = world.settle();
    assert!(plan.progress.done() && plan.stalls.is_empty(), "{plan:?}");
    let model = world.state().models().key("chat").expect("the model");
    for engine in &world.engines {
        assert_eq!(engine.report.loaded.len(), 1);
        assert!(engine.report.find(model, 4).is_some());
    }
}

/// Guards against a single engine without spare memory losing its model
/// without the operators being told.
#[test]
fn single_full_engine_stalls_with_the_reason() {
    let mut world = World::new(fleet(1), 1, Settings::default());
    world.settle();
    let state = raise(world.state());
    world.publish(state, 1);
    let plan = world.settle();
    assert_eq!(plan.stalls[0].reason, Reason::LastWarm);
    assert_eq!(plan.steps, []);
    assert_eq!(world.warm("chat"), 1);
}

/// Guards against a withdrawn upstream leaving before its replacement is warm,
/// and against one that never leaves.
#[test]
fn withdrawn_upstream_is_held_until_replaced() {
    let mut world = World::new(fleet(1), 2, Settings::default());
    world.settle();
    let mut state = world.state().clone();
    let mut replace = note("replace", state.version().0);
    replace.withdraw.upstreams.push("e0".to_owned());
    replace.add.upstreams.push(engine("e1", &["chat"]));
    accept(&mut state, replace);
    world.publish(state, 2);
    let old = world.key(0);
    for engine in 0..2 {
        world.seen[engine].0 = 1;
        world.report(engine);
    }
    while !world.mail.is_empty() {
        world.deliver(0, true);
    }
    let plan = world.act(0);
    let model = world.state().models().key("chat").expect("the model");
    let hold = Hold {
        upstream: old,
        model,
        version: 3,
    };
    assert_eq!(plan.holds, [hold]);
    assert_eq!(plan.commands(old).count(), 0);
    let plan = world.settle();
    assert!(plan.progress.done() && plan.holds.is_empty());
    assert_eq!(world.warm("chat"), 1);
    assert!(!world.engines[0].report.warm(model));
}

/// Guards against adapters that stay old or go before they are elsewhere.
#[test]
fn adapters_and_roles_follow_the_state() {
    let mut state = fleet(2);
    let mut add = note("adapters", state.version().0);
    add.add.adapters.push(adapter("poet", "chat", 1));
    let mut with = engine("e0", &["chat"]);
    with.models[0].adapters.push("poet".to_owned());
    add.change.upstreams.push(with.clone());
    accept(&mut state, add);
    let mut world = World::new(state.clone(), 2, Settings::default());
    assert!(world.settle().progress.done());
    let poet = state.adapters().key("poet").expect("the adapter");
    let has = |world: &World, name: &str, version: u32| {
        let engine = world.engines.iter().find(|engine| engine.name == name);
        let loaded = &engine.expect("an engine").report.loaded[0];
        loaded.adapters.contains(&(poet, version))
    };
    assert!(has(&world, "e0", 1));

    let mut turn = note("move", state.version().0);
    turn.change.adapters.push(adapter("poet", "chat", 2));
    let mut moved = engine("e1", &["chat"]);
    moved.models[0].adapters.push("poet".to_owned());
    moved.role = Role::Decode;
    turn.change.upstreams.push(moved);
    turn.change.upstreams.push(engine("e0", &["chat"]));
    accept(&mut state, turn);
    world.publish(state, 2);
    let plan = world.settle();
    assert!(plan.progress.done(), "{plan:?}");
    assert!(has(&world, "e1", 2) && !has(&world, "e0", 1));
    let roles: BTreeMap<_, _> = world
        .engines
        .iter()
        .map(|engine| (engine.name.as_str(), engine.report.role))
        .collect();
    assert_eq!(roles["e1"], Role::Decode);
}

/// Guards against ranks of a group changing versions one by one.
#[test]
fn ranks_of_a_group_move_together() {
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
    let mut world = World::new(state.clone(), 2, Settings::default());
    assert!(world.settle().progress.done());
    let mut pin = note("pin", state.version().0);
    pin.add.versions.push(release("chat", 4));
    pin.change.models.push(model("chat", 4));
    accept(&mut state, pin);
    let mut reports = Reports::default();
    for (index, engine) in world.engines.iter().enumerate() {
        let key = world.key(index);
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

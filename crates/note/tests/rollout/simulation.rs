//! Simulation of engines and agents with delayed states and reports.

use std::collections::VecDeque;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sesamerock_base::key::Upstream as Key;
use sesamerock_base::time::Moment;
use sesamerock_note::fold::State;
use sesamerock_note::rollout::{
    Command, Input, Loaded, Phase, Plan, Report, Reports, Settings, cohort,
};

use crate::support::{accept, engine, model, note};

/// An engine that carries out commands of its own agent.
#[derive(Clone)]
pub struct Engine {
    pub name: String,
    pub report: Report,
    /// Number of models that fit into memory.
    memory: usize,
}

impl Engine {
    fn new(name: &str, memory: usize) -> Self {
        Self {
            name: name.to_owned(),
            report: Report {
                room: memory,
                live: true,
                ..Report::default()
            },
            memory,
        }
    }

    fn execute(&mut self, command: Command) {
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

/// State and reports that one agent has received.
#[derive(Default)]
struct View {
    /// Index of its state in `Simulation::states`.
    state: usize,
    reports: Reports,
}

/// A report in transit to one agent.
struct ReportInTransit {
    to: usize,
    from: usize,
    report: Report,
}

/// Agents that each receive the state and the others' reports with delays.
pub struct Simulation {
    states: Vec<State>,
    pub engines: Vec<Engine>,
    /// View of each agent, in the order of the engines.
    views: Vec<View>,
    in_transit: VecDeque<ReportInTransit>,
    settings: Settings,
    /// Maximum units of a cohort, if each agent plans for its cohort alone.
    pub cohort: Option<usize>,
}

impl Simulation {
    pub fn new(state: State, memory: usize, settings: Settings) -> Self {
        let engines: Vec<_> = state
            .upstreams()
            .iter()
            .map(|(key, _)| Engine::new(state.upstreams().name(key), memory))
            .collect();
        let views = engines.iter().map(|_| View::default()).collect();
        Self {
            states: vec![state],
            engines,
            views,
            in_transit: VecDeque::new(),
            settings,
            cohort: None,
        }
    }

    pub fn state(&self) -> &State {
        self.states.last().expect("a state")
    }

    pub fn key(&self, engine: usize) -> Key {
        let name = &self.engines[engine].name;
        self.state().upstreams().key(name).expect("a key")
    }

    /// Adds engines of upstreams that the newest state has in addition.
    pub fn publish(&mut self, state: State, memory: usize) {
        for (key, _) in state.upstreams().iter() {
            let name = state.upstreams().name(key);
            if self.engines.iter().all(|engine| engine.name != name) {
                self.engines.push(Engine::new(name, memory));
                self.views.push(View {
                    state: self.states.len(),
                    reports: Reports::default(),
                });
            }
        }
        self.states.push(state);
    }

    /// Sends an engine's report to every agent.
    fn report(&mut self, engine: usize) {
        let version = self.states[self.views[engine].state].version();
        self.engines[engine].report.version = version;
        let report = self.engines[engine].report.clone();
        for to in 0..self.engines.len() {
            self.in_transit.push_back(ReportInTransit {
                to,
                from: engine,
                report: report.clone(),
            });
        }
    }

    /// Delivers one report; with `live` false the receiver considers its
    /// sender unreachable.
    fn deliver(&mut self, at: usize, live: bool) {
        if let Some(mut in_transit) = self.in_transit.remove(at) {
            in_transit.report.live = live;
            let key = self.key(in_transit.from);
            self.views[in_transit.to]
                .reports
                .set(key, in_transit.report);
        }
    }

    /// Gives every agent the newest state and delivers all reports.
    pub fn synchronise(&mut self) {
        for engine in 0..self.engines.len() {
            self.views[engine].state = self.states.len() - 1;
            self.report(engine);
        }
        while !self.in_transit.is_empty() {
            self.deliver(0, true);
        }
    }

    /// Lets one agent plan with its own view and carry out its own commands.
    pub fn plan_and_execute(&mut self, engine: usize) -> Plan {
        let key = self.key(engine);
        let View {
            state: index,
            reports,
        } = &mut self.views[engine];
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
        let plan = if let Some(max_units) = self.cohort {
            let model = state.models().key("chat").expect("the model");
            Plan::among(&input, &cohort::members(state, model, key, max_units))
        } else {
            Plan::new(&input)
        };
        for command in plan.commands(key) {
            self.engines[engine].execute(command);
        }
        plan
    }

    pub fn warm(&self, name: &str) -> usize {
        let model = self.state().models().key(name).expect("a model");
        let holds = |engine: &&Engine| engine.report.warm(model);
        self.engines.iter().filter(holds).count()
    }

    /// Runs without delays until nothing changes and returns the last plan.
    pub fn settle(&mut self) -> Plan {
        let mut last = Plan::default();
        for _ in 0..200 {
            self.synchronise();
            let mut done = true;
            for engine in 0..self.engines.len() {
                last = self.plan_and_execute(engine);
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

/// Engines that all serve version 3 of one model.
pub fn fleet(count: usize) -> State {
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

/// The state after a note that raises the model to version 4.
pub fn with_chat_version_4(state: &State) -> State {
    let mut state = state.clone();
    let mut raise = note("raise", state.version().0);
    raise.change.models.push(model("chat", 4));
    accept(&mut state, raise);
    state
}

/// Settings with a share below a bound.
pub fn seeded_settings(rng: &mut ChaCha8Rng, share: f64) -> Settings {
    Settings {
        share: rng.random_range(0.0..share),
        store_loads: rng.random_range(1..5),
    }
}

/// Random deliveries, delays and warm-ups; `check` runs after each.
pub fn run_random_events(
    simulation: &mut Simulation,
    rng: &mut ChaCha8Rng,
    steps: usize,
    check: impl Fn(&Simulation),
) {
    for _ in 0..steps {
        let engine = rng.random_range(0..simulation.engines.len());
        match rng.random_range(0..8) {
            0 => simulation.report(engine),
            1 => simulation.engines[engine].warm_up(),
            2 => {
                let newest = simulation.states.len() - 1;
                let state = &mut simulation.views[engine].state;
                *state = (*state + 1).min(newest);
            }
            3..=5 if !simulation.in_transit.is_empty() => {
                let at = rng.random_range(0..simulation.in_transit.len());
                let live = rng.random_range(0..6) > 0;
                simulation.deliver(at, live);
            }
            _ => {
                simulation.plan_and_execute(engine);
            }
        }
        check(simulation);
    }
}

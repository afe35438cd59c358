//! Randomized simulation of map switches with lost answers, late commands and crashing
//! leaders, which checks that no step begins with ranks on different maps.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};
use sesamerock_gateway::engine::{Command, CommandOutcome, Group, Preconditions, Report};
use sesamerock_gateway::maps::fence::Tokens;
use sesamerock_gateway::maps::switch::{End, Phase, Switch};

const RANKS: usize = 4;
/// Number of command rounds in one simulated run.
const ROUNDS_PER_RUN: u32 = 400;
/// Number of steps between the last known step and a switch.
const LEAD_STEPS: u64 = 3;
/// Minimum time before a late command is carried out. Commands are late by two seconds or more,
/// and a step takes at most a tenth of a second.
const MIN_DELAY: u64 = 20;

/// What may happen beside lost answers and late commands. Times are those of steps of a busy group.
#[derive(Clone, Copy, Debug)]
struct Conditions {
    /// Minimum time before a late command is carried out.
    min_delay: u64,
    /// Range of the delay above the minimum.
    delays: u64,
    /// Share of the late commands that are carried out twice.
    repeat_percent: u32,
    /// Share of the commands to arm that a rank refuses, as when it has taken other commands.
    refused_percent: u32,
    /// Whether the group has no work for a time now and then, and begins no steps.
    idles: bool,
    /// Longest age of the reports that a leader reads.
    lag: u64,
    /// Whether a leader may begin anew with the leadership that it had.
    same_leader: bool,
    /// Whether a former leader may go on beside the next one.
    former_leader: bool,
}

impl Default for Conditions {
    fn default() -> Self {
        Self {
            min_delay: MIN_DELAY,
            delays: 60,
            repeat_percent: 0,
            refused_percent: 0,
            idles: false,
            lag: 0,
            same_leader: false,
            former_leader: false,
        }
    }
}

/// Returns the tokens of a new process under a generation of the leadership.
fn tokens(generation: u64) -> Tokens {
    Tokens::new(generation, Arc::new(AtomicU64::new(0)))
}

#[derive(Clone, Copy, Debug, Default)]
struct Rank {
    map: u64,
    prepared: u64,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    fence: u64,
}

/// Model of a group as the platform documents it.
struct GroupModel {
    random: ChaCha8Rng,
    ranks: [Rank; RANKS],
    step: u64,
    time: u64,
    conditions: Conditions,
    /// When the group has work again or, if it has some, when it has none any more.
    changes_at: u64,
    is_idle: bool,
    /// Reports of the latest times, the newest last.
    past: VecDeque<Vec<Report>>,
    /// Commands still to be carried out: step, index of the rank, command and its preconditions.
    delayed: Vec<(u64, usize, Command, Preconditions)>,
    mixed: bool,
}

impl GroupModel {
    fn new(seed: u64, conditions: Conditions) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            ranks: [Rank::default(); RANKS],
            step: 0,
            time: 0,
            conditions,
            changes_at: 0,
            is_idle: false,
            past: VecDeque::new(),
            delayed: Vec::new(),
            mixed: false,
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.next_u32() % 100 < percent
    }

    /// Applies a command to a rank, in the way that the platform documents.
    fn apply(
        &mut self,
        index: usize,
        command: &Command,
        preconditions: Preconditions,
    ) -> CommandOutcome {
        let step_begun = self.step;
        let rank = &mut self.ranks[index];
        if preconditions.fence < rank.fence {
            return CommandOutcome::Fenced;
        }
        rank.fence = preconditions.fence;
        match command {
            // The platform refuses to prepare a rank that is armed.
            Command::Prepare { .. } if rank.armed.is_some() => CommandOutcome::Conflict,
            Command::Prepare { version, .. } if *version > rank.prepared => {
                rank.prepared = *version;
                CommandOutcome::Begun
            }
            Command::Prepare { version, .. } if *version == rank.prepared => CommandOutcome::Done,
            Command::Arm { version, step } => {
                if rank.prepared != *version || *step <= step_begun {
                    return CommandOutcome::Conflict;
                }
                rank.armed = Some((*version, *step));
                CommandOutcome::Done
            }
            Command::Hold { step } => {
                if *step <= step_begun || rank.held.is_some_and(|held| held != *step) {
                    return CommandOutcome::Conflict;
                }
                rank.held = Some(*step);
                CommandOutcome::Done
            }
            Command::Go { step } if rank.held == Some(*step) => {
                rank.held = None;
                CommandOutcome::Done
            }
            Command::Disarm { version } if rank.map != *version => {
                rank.armed = rank.armed.filter(|(armed, _)| armed != version);
                CommandOutcome::Done
            }
            _ => CommandOutcome::Conflict,
        }
    }

    /// Applies the late commands that are due, and begins a step unless a rank holds the
    /// group.
    fn run_step(&mut self) {
        self.time += 1;
        let now = self.time;
        let due: Vec<_> = self
            .delayed
            .iter()
            .filter(|entry| entry.0 <= now)
            .cloned()
            .collect();
        self.delayed.retain(|entry| entry.0 > now);
        for (_, index, command, preconditions) in due {
            self.apply(index, &command, preconditions);
        }
        self.past.push_back(self.reports());
        if self.past.len() as u64 > self.conditions.lag + 1 {
            self.past.pop_front();
        }
        if self.conditions.idles && now >= self.changes_at {
            self.is_idle = !self.is_idle;
            self.changes_at = now + 1 + u64::from(self.random.next_u32() % 120);
        }
        if self.is_idle {
            return;
        }
        let next = self.step + 1;
        if self.ranks.iter().any(|rank| rank.held == Some(next)) {
            return;
        }
        self.step = next;
        for rank in &mut self.ranks {
            if let Some((version, _)) = rank.armed.filter(|(_, step)| *step == next) {
                rank.map = version;
                rank.armed = None;
            }
        }
        self.mixed |= self.ranks.iter().any(|rank| rank.map != self.ranks[0].map);
    }

    /// Returns reports of times up to the lag ago, another one for each rank.
    fn late_reports(&mut self) -> Vec<Report> {
        if self.conditions.lag == 0 || self.past.is_empty() {
            return self.reports();
        }
        let ranks = 0..RANKS;
        ranks
            .map(|rank| {
                let index = self.random.next_u32() as usize % self.past.len();
                self.past[index][rank].clone()
            })
            .collect()
    }

    fn reports(&self) -> Vec<Report> {
        let ranks = self.ranks.iter().enumerate();
        ranks
            .map(|(index, rank)| Report {
                born: None,
                leaving: false,
                orders: 0,
                waiting: 0,
                running: 0,
                memory_used: 0,
                memory_total: 0,
                pace: 1.0,
                group: Some(Group {
                    name: Arc::from("g"),
                    epoch: 1,
                    rank: index as u16,
                    size: RANKS as u16,
                    open: true,
                }),
                step: self.step,
                map: rank.map,
                prepared: Some(rank.prepared).filter(|version| *version > 0),
                armed: rank.armed,
                held: rank.held,
            })
            .collect()
    }

    /// Sends a command. With the probability `fault_percent` the command is lost, or carried
    /// out at once or late, in each case without an answer.
    fn send(
        &mut self,
        index: usize,
        command: &Command,
        preconditions: Preconditions,
        fault_percent: u32,
    ) -> Option<CommandOutcome> {
        let refused_percent = self.conditions.refused_percent.min(fault_percent);
        if matches!(command, Command::Arm { .. }) && self.chance(refused_percent) {
            return Some(CommandOutcome::Conflict);
        }
        if !self.chance(fault_percent) {
            return Some(self.apply(index, command, preconditions));
        }
        match self.random.next_u32() % 3 {
            0 => {}
            1 => {
                self.apply(index, command, preconditions);
            }
            _ => {
                let Conditions {
                    min_delay,
                    delays,
                    repeat_percent,
                    ..
                } = self.conditions;
                for _ in 0..=u32::from(self.chance(repeat_percent)) {
                    let delay = min_delay + u64::from(self.random.next_u32()) % delays;
                    let when = self.time + delay;
                    self.delayed
                        .push((when, index, command.clone(), preconditions));
                }
            }
        }
        None
    }
}

/// Safety guard that a run omits, to show that the simulation detects its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RemovedGuard {
    /// All guards are in place.
    None,
    /// An unanswered arm command counts as confirmed.
    Confirmation,
    /// The group is not held.
    Hold,
}

/// Sends the commands of a switch, gives it the answers and ends its round.
fn run_round(
    model: &mut GroupModel,
    switch: &mut Switch,
    removed: RemovedGuard,
    fault_percent: u32,
) {
    for (index, command, preconditions) in switch.commands() {
        let skips_hold = removed == RemovedGuard::Hold && matches!(command, Command::Hold { .. });
        let outcome = if skips_hold {
            Some(CommandOutcome::Done)
        } else {
            model.send(index, &command, preconditions, fault_percent)
        };
        let assumes_armed =
            removed == RemovedGuard::Confirmation && matches!(command, Command::Arm { .. });
        let outcome = outcome.or(assumes_armed.then_some(CommandOutcome::Done));
        switch.handle_answer(index, preconditions.fence, outcome);
        if model.random.next_u32().is_multiple_of(4) {
            model.run_step();
        }
    }
    if switch.phase() == Phase::Copy || switch.is_committed() {
        let settled = model.chance(50);
        let reports = if settled {
            model.reports()
        } else {
            model.late_reports()
        };
        switch.handle_reports(&reports, settled);
    }
    switch.end_round();
}

/// Returns the rollback or the switch that a leader begins by the reports that it reads, if any.
fn begin(model: &mut GroupModel, leader: &Tokens, generation: u64, version: u64) -> Option<Switch> {
    let reports = model.late_reports();
    let version = generation * 1_000 + version;
    let recovered = Switch::recover(&reports, leader.clone(), version);
    let is_unsettled = model.conditions.idles && Switch::is_unsettled(&reports, 0);
    recovered.or_else(|| {
        let new = || Switch::new(&reports, leader.clone(), version, Vec::new(), LEAD_STEPS);
        (!is_unsettled).then(new)
    })
}

/// Simulates one run. Returns whether a step began with ranks on different maps, how many
/// switches succeeded, and whether the group makes progress at the end.
fn simulate(seed: u64, conditions: Conditions, removed: RemovedGuard) -> (bool, u32, bool) {
    let mut model = GroupModel::new(seed, conditions);
    let mut generation = 1;
    let mut leader = tokens(generation);
    let mut version = 0;
    let mut switched = 0;
    let mut current: Option<Switch> = None;
    let mut former: Option<Switch> = None;
    for round in 0..ROUNDS_PER_RUN {
        // The last quarter has no faults, so that the last switch can end.
        let fault_percent = if round < ROUNDS_PER_RUN * 3 / 4 {
            25
        } else {
            model.conditions.idles = false;
            model.is_idle = false;
            0
        };
        if fault_percent > 0 && model.chance(4) {
            // The leader crashes, or a rank does not answer it; another one takes over, or the same
            // one begins anew, at once or after some steps.
            if conditions.former_leader && model.chance(50) {
                former = current.take();
            }
            current = None;
            if !(conditions.same_leader && model.chance(50)) {
                generation += 1;
                leader = tokens(generation);
            }
            for _ in 0..model.random.next_u32() % 9 {
                model.run_step();
            }
        }
        if let Some(mut switch) = former.take() {
            run_round(&mut model, &mut switch, removed, fault_percent);
            former = Some(switch).filter(|it| !matches!(it.phase(), Phase::End(_)));
        }
        let switch = current.take().or_else(|| {
            version += 1;
            begin(&mut model, &leader, generation, version)
        });
        if let Some(mut switch) = switch {
            run_round(&mut model, &mut switch, removed, fault_percent);
            switched += u32::from(switch.phase() == Phase::End(End::Switched));
            current = Some(switch).filter(|it| !matches!(it.phase(), Phase::End(_)));
        }
        model.run_step();
    }
    let before = model.step;
    for _ in 0..LEAD_STEPS {
        model.run_step();
    }
    (
        model.mixed,
        switched,
        model.step > before || current.is_some(),
    )
}

/// Simulates some runs under all conditions that the tests vary, and fails if one of them begins a
/// step with ranks on different maps or stays held.
fn check_runs(conditions: Conditions, runs: u64, min_switches: u32) {
    let mut total = 0;
    for seed in 0..runs {
        let (mixed, switched, makes_progress) = simulate(seed, conditions, RemovedGuard::None);
        assert!(!mixed, "seed {seed}, {conditions:?}");
        assert!(makes_progress, "seed {seed}, {conditions:?}: stays held");
        total += switched;
    }
    assert!(
        total > min_switches,
        "only {total} switches, too few to show anything"
    );
}

/// No fault may let a step begin with ranks on different maps or block the group forever.
#[test]
fn no_pass_begins_under_two_maps() {
    check_runs(Conditions::default(), 2_000, 10_000);
}

/// Regression: in a group without work, a leader rolled its own switch back, and late commands to
/// arm that bore the same token were accepted after that (review/6).
#[test]
fn regression_late_commands_mix_no_maps_in_an_idle_group() {
    let idle = Conditions {
        idles: true,
        same_leader: true,
        ..Conditions::default()
    };
    check_runs(idle, 1_000, 500);
    let any_delay = Conditions {
        min_delay: 1,
        repeat_percent: 50,
        ..idle
    };
    check_runs(any_delay, 1_000, 500);
    let late_reports = Conditions {
        lag: 8,
        ..any_delay
    };
    check_runs(late_reports, 1_000, 500);
    let refusals = Conditions {
        refused_percent: 10,
        ..late_reports
    };
    check_runs(refusals, 1_000, 500);
}

/// Regression: a late command of a killed leader released the group while the next leader disarmed
/// its ranks, so that a step began with some of them armed.
#[test]
fn regression_commands_of_a_former_leader_mix_no_maps() {
    for idles in [false, true] {
        let conditions = Conditions {
            min_delay: 1,
            idles,
            lag: 8,
            former_leader: true,
            repeat_percent: 50,
            ..Conditions::default()
        };
        check_runs(conditions, 1_000, 500);
    }
}

/// The simulation must be able to fail: without the confirmation of every rank, or without
/// the hold, steps begin with ranks on different maps.
#[test]
fn simulation_detects_removed_guards() {
    for removed in [RemovedGuard::Confirmation, RemovedGuard::Hold] {
        let found = (0..50).any(|seed| simulate(seed, Conditions::default(), removed).0);
        assert!(found, "{removed:?}");
    }
}

/// A new leader that finds ranks held or armed first raises the fencing token at every rank
/// and rolls the switch back.
#[test]
fn a_new_leader_rolls_back_an_unfinished_switch() {
    let mut model = GroupModel::new(1, Conditions::default());
    let preconditions = |fence| Preconditions {
        fence,
        expected: 0,
        epoch: 1,
    };
    for index in 0..RANKS {
        let map = Vec::new();
        model.apply(
            index,
            &Command::Prepare { version: 5, map },
            preconditions(1),
        );
    }
    model.apply(0, &Command::Hold { step: 3 }, preconditions(1));
    let arm = Command::Arm {
        version: 5,
        step: 3,
    };
    model.apply(2, &arm, preconditions(1));
    let Some(mut switch) = Switch::recover(&model.reports(), tokens(2), 2_001) else {
        panic!("the held and armed ranks must lead to a rollback");
    };
    let mut run_phase = |model: &mut GroupModel| {
        for (index, command, preconditions) in switch.commands() {
            let outcome = model.apply(index, &command, preconditions);
            switch.handle_answer(index, preconditions.fence, Some(outcome));
        }
        switch.handle_reports(&model.reports(), true);
        switch.phase()
    };
    assert_eq!(run_phase(&mut model), Phase::Claim);
    // The late command to release the group, and to arm another rank.
    let go = Command::Go { step: 3 };
    assert_eq!(
        model.apply(0, &go, preconditions(1)),
        CommandOutcome::Fenced
    );
    assert_eq!(run_phase(&mut model), Phase::Disarm);
    assert_eq!(
        model.apply(1, &arm, preconditions(1)),
        CommandOutcome::Fenced
    );
    assert_eq!(run_phase(&mut model), Phase::Go);
    run_phase(&mut model);
    assert_eq!(switch.phase(), Phase::End(End::Abandoned));
    for _ in 0..5 {
        model.run_step();
    }
    assert!(!model.mixed && model.step == 5);
}

/// Regression: a leader that looked at the group anew, since a rank did not answer, before the step of
/// its own switch had begun, disarmed the ranks one by one while that step began.
#[test]
fn regression_ranks_that_are_armed_and_released_are_not_rolled_back() {
    let mut model = GroupModel::new(1, Conditions::default());
    let preconditions = Preconditions {
        fence: 1,
        expected: 0,
        epoch: 1,
    };
    let prepare = Command::Prepare {
        version: 5,
        map: Vec::new(),
    };
    let arm = Command::Arm {
        version: 5,
        step: 3,
    };
    for command in [&prepare, &arm] {
        for index in 0..RANKS {
            model.apply(index, command, preconditions);
        }
    }
    assert!(Switch::recover(&model.reports(), tokens(1), 1_001).is_none());
    assert!(Switch::is_unsettled(&model.reports(), 0));
    assert!(!Switch::is_unsettled(&model.reports(), 5));
    for _ in 0..5 {
        model.run_step();
    }
    assert!(!Switch::is_unsettled(&model.reports(), 0));
}

/// A rank that has crashed does not answer any more. The other ranks report that the group
/// has broken, and the leader must then not wait for the crashed rank.
#[test]
fn a_broken_group_ends_the_switch() {
    let model = GroupModel::new(1, Conditions::default());
    let mut switch = Switch::new(&model.reports(), tokens(1), 7, Vec::new(), LEAD_STEPS);
    for (index, _, preconditions) in switch.commands() {
        let outcome = (index > 0).then_some(CommandOutcome::Begun);
        switch.handle_answer(index, preconditions.fence, outcome);
    }
    assert_eq!(switch.phase(), Phase::Prepare);
    let mut broken = model.reports().swap_remove(1);
    if let Some(group) = &mut broken.group {
        group.open = false;
    }
    switch.handle_report(&broken);
    assert_eq!(switch.phase(), Phase::End(End::Reformed));
}

/// Regression: when a rank refused to be armed, the ranks whose answers of the same round came after it
/// counted as disarmed, and the group was released with them armed.
#[test]
fn regression_ranks_that_are_armed_beside_a_refusal_are_disarmed() {
    let mut model = GroupModel::new(1, Conditions::default());
    let mut switch = Switch::new(&model.reports(), tokens(1), 7, Vec::new(), LEAD_STEPS);
    while switch.phase() != Phase::Disarm {
        for (index, command, preconditions) in switch.commands() {
            let refuses = index == 1 && matches!(command, Command::Arm { .. });
            let outcome = if refuses {
                CommandOutcome::Conflict
            } else {
                model.apply(index, &command, preconditions)
            };
            switch.handle_answer(index, preconditions.fence, Some(outcome));
        }
        switch.handle_reports(&model.reports(), true);
    }
    assert!(model.ranks[3].armed.is_some());
    while !switch.end_round() {
        for (index, command, preconditions) in switch.commands() {
            let outcome = model.apply(index, &command, preconditions);
            switch.handle_answer(index, preconditions.fence, Some(outcome));
        }
    }
    for _ in 0..2 * LEAD_STEPS {
        model.run_step();
    }
    assert!(!model.mixed);
}

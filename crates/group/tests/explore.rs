//! Explores all states of small groups, and checks that the exploration detects
//! each safety rule that is turned off.

mod world;

use std::collections::VecDeque;
use std::collections::hash_map::Entry;
use std::time::Instant;

use sesamerock_group::guard::Guard;
use world::{Action, Commands, FastMap, Plan, Shared, World};

const GUARD: Guard = Guard::ALL;

/// Two ranks, two leaders and two maps.
const TWO_RANKS: Plan = Plan {
    ranks: 2,
    proposals: &[1, 1],
    restarts: 2,
    crashes: 0,
    switches: 0,
    steps: 0,
    max_window: 1,
    staging: false,
    late_replies: false,
    commands: Commands::Immediate,
    guard: GUARD,
};

/// Three ranks with at most one restart; otherwise as [`TWO_RANKS`].
const THREE_RANKS: Plan = Plan {
    ranks: 3,
    restarts: 1,
    ..TWO_RANKS
};

/// Limit on the number of states, above that of any complete exploration here.
const MAX_STATES: usize = 1 << 20;

/// Result of an exploration.
#[derive(Debug, Default)]
struct Outcome {
    states: usize,
    /// Number of actions that lead to the state visited last.
    depth: usize,
    complete: bool,
    /// States in which the group may run its next step.
    may_step: usize,
    violation: Option<&'static str>,
}

/// Visits the states in breadth-first order until a violation is found or `limit`
/// states are known.
fn explore(name: &str, plan: &Plan, limit: usize) -> Outcome {
    let start = Instant::now();
    let mut shared = Shared::default();
    let first = World::new(plan, &mut shared);
    let mut parents = FastMap::default();
    parents.insert(first.fingerprint(), None);
    let mut queue = VecDeque::from([(first, 0)]);
    let mut outcome = Outcome::default();
    while let Some((world, depth)) = queue.pop_front() {
        outcome.depth = depth;
        outcome.may_step += usize::from(world.may_step(&shared));
        outcome.violation = world.violation();
        if outcome.violation.is_some() {
            print_trace(&parents, world.fingerprint(), &shared);
        }
        if outcome.violation.is_some() || parents.len() >= limit {
            break;
        }
        for action in world.actions(plan, &shared) {
            let mut next = world.clone();
            next.perform(action, plan, &mut shared);
            if let Entry::Vacant(slot) = parents.entry(next.fingerprint()) {
                slot.insert(Some((world.fingerprint(), action)));
                queue.push_back((next, depth + 1));
            }
        }
    }
    outcome.complete = queue.is_empty() && outcome.violation.is_none();
    outcome.states = parents.len();
    let [messages, ranks, leaders] = shared.sizes();
    println!(
        "{name}: {outcome:?} messages={messages} rank_states={ranks} leader_states={leaders} \
         took={:?}",
        start.elapsed()
    );
    outcome
}

/// Prints the actions that led to a state.
fn print_trace(parents: &FastMap<u64, Option<(u64, Action)>>, end: u64, shared: &Shared) {
    let mut lines = Vec::new();
    let mut at = end;
    while let Some(Some((before, action))) = parents.get(&at) {
        lines.push(shared.show(*action));
        at = *before;
    }
    for line in lines.iter().rev() {
        println!("  {line}");
    }
}

/// Explores a plan completely and checks that it has no violation and that some
/// state can run a step.
fn explore_completely(name: &str, plan: &Plan) {
    let outcome = explore(name, plan, MAX_STATES);
    assert_eq!(outcome.violation, None);
    assert!(outcome.complete, "{name} is too large");
    assert!(outcome.may_step > 0, "{name} never runs a step");
}

/// Guards against steps with two maps on two ranks under agent restarts.
#[test]
fn two_ranks_with_restarts() {
    explore_completely("two_ranks_with_restarts", &TWO_RANKS);
}

/// Guards against steps with two maps when an engine loses its granted windows.
#[test]
fn two_ranks_with_crashes() {
    let plan = Plan {
        restarts: 0,
        crashes: 2,
        ..TWO_RANKS
    };
    explore_completely("two_ranks_with_crashes", &plan);
}

/// Guards against steps with two maps when leaders propose themselves repeatedly.
#[test]
fn two_ranks_with_repeated_proposals() {
    let plan = Plan {
        proposals: &[2, 2],
        restarts: 0,
        ..TWO_RANKS
    };
    explore_completely("two_ranks_with_repeated_proposals", &plan);
}

/// Guards against a rank that may run a map that it has not staged.
#[test]
fn two_ranks_that_stage() {
    let plan = Plan {
        staging: true,
        restarts: 1,
        ..TWO_RANKS
    };
    explore_completely("two_ranks_that_stage", &plan);
}

/// Guards against a switch by one leader that takes effect within a window.
#[test]
fn two_ranks_with_switches() {
    let plan = Plan {
        proposals: &[1],
        restarts: 1,
        switches: 1,
        steps: 2,
        ..TWO_RANKS
    };
    explore_completely("two_ranks_with_switches", &plan);
}

/// Guards against steps with two maps on three ranks, where two can agree without
/// the third.
#[test]
fn three_ranks_with_a_restart() {
    explore_completely("three_ranks_with_a_restart", &THREE_RANKS);
}

/// Guards against effects of late replies, which the other explorations omit.
#[test]
fn two_ranks_with_late_replies() {
    let single = Plan {
        proposals: &[1],
        restarts: 1,
        late_replies: true,
        ..TWO_RANKS
    };
    explore_completely("one_leader_with_late_replies", &single);
    let plan = Plan {
        restarts: 1,
        late_replies: true,
        ..TWO_RANKS
    };
    let outcome = explore("two_leaders_with_late_replies", &plan, 150_000);
    assert_eq!(outcome.violation, None);
    // All sequences of fourteen actions were visited.
    assert!(outcome.depth >= 15, "{outcome:?}");
}

/// Guards against a command of a crashed agent that reaches the engine after
/// the new agent has read which windows the engine may run. Only a fence
/// prevents this; without it, a step may run with two maps if the agents of all
/// ranks restart.
#[test]
fn late_commands_need_a_fence() {
    let fenced = Plan {
        commands: Commands::Fenced,
        ..TWO_RANKS
    };
    explore_completely("late_commands_with_a_fence", &fenced);
    let late = Plan {
        commands: Commands::Late,
        ..TWO_RANKS
    };
    let outcome = explore("late_commands_without_a_fence", &late, MAX_STATES);
    assert!(outcome.violation.is_some());
    let one = Plan {
        restarts: 1,
        ..late
    };
    explore_completely("late_commands_without_a_fence_one_restart", &one);
}

/// Guards against an exploration that does not detect the absence of a rule.
#[test]
fn each_missing_rule_is_detected() {
    let staging = Plan {
        staging: true,
        ..TWO_RANKS
    };
    let mutants = [
        (
            "token",
            TWO_RANKS,
            Guard {
                token: false,
                ..GUARD
            },
        ),
        (
            "incarnation",
            TWO_RANKS,
            Guard {
                incarnation: false,
                ..GUARD
            },
        ),
        (
            "learning",
            TWO_RANKS,
            Guard {
                learning: false,
                ..GUARD
            },
        ),
        (
            "unanimity",
            TWO_RANKS,
            Guard {
                unanimity: false,
                ..GUARD
            },
        ),
        (
            "staging",
            staging,
            Guard {
                staging: false,
                ..GUARD
            },
        ),
        (
            "confirmation",
            TWO_RANKS,
            Guard {
                confirmation: false,
                ..GUARD
            },
        ),
    ];
    for (name, plan, guard) in mutants {
        let outcome = explore(name, &Plan { guard, ..plan }, MAX_STATES);
        assert!(outcome.violation.is_some(), "{name} is not noticed");
    }
}

//! Runs larger groups in virtual time with seeded random schedules. No step may
//! use two maps under faults, and steps must resume soon after the faults end.

use std::time::Duration;

use sesamerock_standin::lockstep::{Faults, Group, STAGING};

/// Duration of a retry, the unit in which the time to resume is measured.
const ROUND: Duration = Duration::from_millis(20);

/// Rounds for the messages of a new leader: round trips of the simulated network,
/// including the confirmation.
const EXCHANGES: u32 = 4;

/// Returns the number of rounds within which the group must run steps again
/// after the last fault. Ranks wait for one leader timeout and their stagger
/// time; a rank that restarted and knows no token is refused and waits for its
/// stagger time again; then follow staging on the new engine and the messages
/// of the new leader.
fn rounds(group: &Group) -> u32 {
    let settings = group.settings();
    let turns = settings.stagger * settings.ranks;
    let wait = settings.leader_timeout + turns * 2;
    (wait + STAGING).div_duration_f64(ROUND).ceil() as u32 + EXCHANGES
}

fn run(ranks: u32, seed: u64, faults: Faults) -> (u64, u32) {
    let mut group = Group::new(ranks, seed, faults);
    group.run(group.settings().leader_timeout * 6);
    group.restart_leaders_and_crash_engine();
    group.clear_faults();
    let bound = rounds(&group);
    let before = group.steps();
    let took = group.run_until_step(ROUND * bound);
    let took = took.unwrap_or_else(|| {
        panic!("ranks={ranks} seed={seed} no step in {bound} rounds after {before}: {group:?}")
    });
    group.run(group.settings().leader_timeout * 2);
    assert_eq!(group.violation(), None, "ranks={ranks} seed={seed}");
    (before, took.div_duration_f64(ROUND).ceil() as u32)
}

/// Runs a group once with each seed below `seeds`.
fn run_seeds(ranks: u32, seeds: u64, faults: Faults) {
    let mut steps = 0;
    let mut longest = 0;
    for seed in 0..seeds {
        let (ran, rounds) = run(ranks, seed, faults);
        steps += ran;
        longest = longest.max(rounds);
    }
    println!("ranks={ranks} seeds={seeds} steps_under_faults={steps} rounds_to_resume={longest}");
    assert!(steps > 0, "the group ran no step under faults");
}

/// Guards against steps with two maps and against a group that does not resume,
/// with all faults, at a size beyond the exhaustive exploration.
#[test]
fn eight_ranks_with_all_faults() {
    run_seeds(8, 40, Faults::ALL);
}

/// Guards against a protocol that does not scale to the target size.
#[test]
fn sixty_four_ranks_with_loss() {
    run_seeds(64, 1, Faults::LOSS);
}

/// Guards against leader messages that grow with the length of a run.
#[test]
fn bytes_do_not_grow_with_time() {
    let mut group = Group::new(16, 1, Faults::NONE);
    group.run(Duration::from_secs(5));
    let mut spent = || {
        let before: u64 = group.sent().iter().sum();
        group.run(Duration::from_secs(30));
        group.sent().iter().sum::<u64>() - before
    };
    let (early, late) = (spent(), spent());
    assert!(late < early * 5 / 4, "{early} then {late}");
}

/// Guards against a group that stalls or switches late without any faults.
#[test]
fn a_fault_free_group_switches_without_a_stall() {
    let mut group = Group::new(8, 1, Faults::NONE);
    group.run(Duration::from_secs(2));
    let (steps, stalled) = (group.steps(), group.stalled());
    group.run(Duration::from_secs(12));
    let ran = group.steps() - steps;
    let downtime = group.stalled().saturating_sub(stalled);
    let delays = group.switch_delays();
    println!("steps={ran} stalled={downtime:?} switch_delays={delays:?}");
    assert_eq!(group.violation(), None);
    assert!(delays.len() >= 3, "{delays:?}");
    assert!(downtime < Duration::from_millis(1), "stalled {downtime:?}");
}

//! Explores schedules from seeds, with all failures that the design covers.

mod simulation;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use sesamerock_ledger::safety::SafetyRules;
use simulation::{
    Counts, FOREIGN_VOID, ISSUED_KEY, OUTAGE, PAUSE, Plan, RESTART, RESUME, Simulation, TRUNCATE,
};

/// Number of schedules of the main exploration.
const SCHEDULES: u64 = 100_000;
/// Number of threads that run the schedules. Each schedule depends on its seed
/// only.
const THREADS: u64 = 8;

const PLAN: Plan = Plan {
    events: 80,
    agents: 3,
    keys: 3,
    horizon: 1_000_000,
    advance_factor: 1,
    excluded: &[TRUNCATE],
    rules: SafetyRules {
        own_intent_first: true,
        void_by_winner: true,
        gap_check: true,
        ready_first: true,
        keep_running: true,
        decline_final: true,
    },
};

/// Schedules that are long enough for outcomes to expire. Failures that only
/// keep agents from running calls are excluded.
const EXPIRY: Plan = Plan {
    events: 600,
    keys: 2,
    horizon: 4,
    advance_factor: 3,
    excluded: &[ISSUED_KEY, RESTART, FOREIGN_VOID, OUTAGE, TRUNCATE],
    ..PLAN
};

/// Schedules in which the log loses acknowledged entries. No process is paused,
/// since entries that only a paused process had read could not be restored.
const TRUNCATED_LOG: Plan = Plan {
    excluded: &[PAUSE, RESUME],
    ..PLAN
};

/// Runs the schedules of the seeds. Returns the total counts, or a violation
/// with its seed.
fn explore(plan: Plan, seeds: std::ops::Range<u64>) -> Result<Counts, String> {
    let found = AtomicBool::new(false);
    let run = &|thread: u64| -> Result<Counts, String> {
        let mut counts = Counts::default();
        for seed in seeds
            .clone()
            .skip(thread as usize)
            .step_by(THREADS as usize)
        {
            if found.load(Ordering::Relaxed) {
                break;
            }
            let mut simulation = Simulation::new(plan, seed);
            if let Err(violation) = simulation.explore() {
                found.store(true, Ordering::Relaxed);
                return Err(format!("seed {seed}: {violation}"));
            }
            counts.add(&simulation.counts);
        }
        Ok(counts)
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| scope.spawn(move || run(thread)))
            .collect();
        let mut total = Counts::default();
        for thread in threads {
            total.add(&thread.join().expect("a schedule panicked")?);
        }
        Ok(total)
    })
}

/// Guards against a second run, a false `executed: no` and a false replay.
#[test]
fn no_schedule_violates_at_most_once() {
    let start = Instant::now();
    let counts = explore(PLAN, 0..SCHEDULES).expect("a violation");
    println!("{SCHEDULES} schedules in {:?}: {counts:?}", start.elapsed());
    let covered = [
        counts.runs,
        counts.refusals,
        counts.replays,
        counts.unresolved,
        counts.declined,
        counts.late_permits,
        counts.restarts,
        counts.trims,
        counts.stale_reads,
        counts.reloads,
        counts.duplicates,
        counts.expired_keys,
        counts.issued_runs,
    ];
    assert!(covered.iter().all(|count| *count >= 1_000), "{counts:?}");
}

/// Guards against an outcome that expires before the horizon has passed, and
/// against a key without an outcome that expires.
#[test]
fn outcomes_do_not_expire_early() {
    let counts = explore(EXPIRY, 0..2_000).expect("a violation");
    println!("{counts:?}");
    assert!(counts.reruns >= 100, "{counts:?}");
}

/// Guards against a second run after the log lost acknowledged entries.
#[test]
fn no_second_run_after_the_log_is_truncated() {
    let counts = explore(TRUNCATED_LOG, 0..30_000).expect("a violation");
    println!("{counts:?}");
    assert!(counts.truncations >= 10_000, "{counts:?}");
}

/// Guards against a checker that does not detect that a safety rule is missing.
#[test]
fn the_checker_detects_each_missing_rule() {
    let all = SafetyRules::default();
    let without_one_rule = [
        (
            "own_intent_first",
            PLAN,
            SafetyRules {
                own_intent_first: false,
                ..all
            },
        ),
        (
            "void_by_winner",
            PLAN,
            SafetyRules {
                void_by_winner: false,
                ..all
            },
        ),
        (
            "gap_check",
            PLAN,
            SafetyRules {
                gap_check: false,
                ..all
            },
        ),
        (
            "ready_first",
            TRUNCATED_LOG,
            SafetyRules {
                ready_first: false,
                ..all
            },
        ),
        (
            "decline_final",
            PLAN,
            SafetyRules {
                decline_final: false,
                ..all
            },
        ),
        (
            "keep_running",
            EXPIRY,
            SafetyRules {
                keep_running: false,
                ..all
            },
        ),
    ];
    for (name, plan, rules) in without_one_rule {
        let found = explore(Plan { rules, ..plan }, 0..30_000);
        let violation = found.expect_err(name);
        println!("{name}: {violation}");
    }
}

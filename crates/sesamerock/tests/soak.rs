//! A short soak test of the real programs under random faults.

use std::path::Path;
use std::time::Duration;

/// Runs the soak test with a seed, with restores of the store if `drill`. Its logs stay in
/// `soak-SEED` or `drill-SEED` below Cargo's directory for temporary test files.
fn run_seed(seed: u64, seconds: u64, drill: bool) -> eyre::Result<()> {
    let program = Path::new(env!("CARGO_BIN_EXE_sesamerock"));
    let name = if drill { "drill" } else { "soak" };
    let logs = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{seed}"));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let duration = Duration::from_secs(seconds);
    let outcome = if drill {
        runtime.block_on(sesamerock_soak::run_drill(seed, duration, program, &logs))?
    } else {
        runtime.block_on(sesamerock_soak::run_seed(seed, duration, program, &logs))?
    };
    assert!(
        outcome.violations.is_empty(),
        "seed {seed}: {:#?}\nafter {:#?}\nlogs in {}",
        outcome.violations,
        outcome.faults,
        logs.display(),
    );
    assert!(outcome.served > 100, "{outcome:?}");
    Ok(())
}

/// Guards the guarantees to callers under external faults: each caller gets its own complete
/// answer, a request is executed at most once, a refused request was not executed, versions do
/// not go back, and requests succeed again after the last fault.
#[test]
fn guarantees_hold_under_random_faults() -> eyre::Result<()> {
    run_seed(1, 6, false)
}

/// Guards against a gateway that acts by what a restored store lists, though a live gateway knows
/// better: it refused routes, accepted withdrawn keys and used upstreams that had left.
#[test]
fn regression_gateways_do_not_act_by_a_copy_that_others_know_to_be_older() -> eyre::Result<()> {
    run_seed(1, 8, true)
}

//! A short soak test of the real programs under random faults.

use std::path::Path;
use std::time::Duration;

/// Runs the soak test with a seed; its logs stay in `soak-SEED` below Cargo's directory for
/// temporary test files.
fn run_seed(seed: u64, seconds: u64) -> eyre::Result<()> {
    let program = Path::new(env!("CARGO_BIN_EXE_sesamerock"));
    let logs = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let duration = Duration::from_secs(seconds);
    let outcome = runtime.block_on(sesamerock_soak::run_seed(seed, duration, program, &logs))?;
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
    run_seed(1, 6)
}

//! A short soak of the real programs, and seeds that have failed before.

use std::path::Path;
use std::time::Duration;

/// Plays a seed and keeps its logs below the folder of test files.
fn play(seed: u64, seconds: u64) -> eyre::Result<()> {
    let program = Path::new(env!("CARGO_BIN_EXE_sesamerock"));
    let logs = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let length = Duration::from_secs(seconds);
    let outcome = runtime.block_on(sesamerock_soak::run_seed(seed, length, program, &logs))?;
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

/// Guards the promises to callers under faults from outside: own whole answers, at most one
/// run, true refusals, versions that do not go back, and service after the last fault.
#[test]
fn promises_hold_under_random_faults() -> eyre::Result<()> {
    play(1, 6)
}

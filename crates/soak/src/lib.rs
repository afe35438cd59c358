//! A randomized soak test that runs real gateways under external faults.
//!
//! A [`world::World`] runs gateways as separate processes in front of stand-in upstreams
//! and a stand-in store, which run in this process. Faults are injected from outside the
//! gateways: signals, restarts, proxies on their connections to upstreams and to the
//! store, and a store that refuses requests. Callers and upstreams report to a
//! [`recorder::Recorder`], which checks the guarantees during the run. A seed determines
//! all faults, but the operating system schedules the processes, so a seed reproduces its
//! faults and not every interleaving. See `docs/notes/soak.md`.

pub mod caller;
pub mod fault;
pub mod process;
pub mod recorder;
pub mod world;

use std::path::Path;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;
use tokio::time::sleep;

use fault::Mix;
use world::World;

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Guarantees that were violated, one description each.
    pub violations: Vec<String>,
    /// Calls sent until the end of the recovery measurement.
    pub calls: u64,
    /// Calls answered completely with status 200 in the same time.
    pub served: u64,
    /// Faults that were injected, in order.
    pub faults: Vec<String>,
}

/// Time after the last fault within which service must have recovered.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Length of the measurement that follows [`RECOVERY_TIME`].
const MEASUREMENT_TIME: Duration = Duration::from_secs(2);
/// Minimum share of calls that must be served during the measurement.
const MIN_SERVED_SHARE: f64 = 0.9;

/// Runs one seed against the gateway program at `program`, injecting faults for
/// `fault_time`. Settings and logs of the gateways are written to `logs`.
///
/// # Errors
/// Fails if the programs or the stand-ins cannot be started.
pub async fn run_seed(
    seed: u64,
    fault_time: Duration,
    program: &Path,
    logs: &Path,
) -> eyre::Result<Outcome> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let world = World::start(program, logs).await?;
    let callers = caller::start(&world);
    let faults = fault::inject(&world, &mut random, Mix::for_seed(seed), fault_time).await?;
    world.end_faults().await?;
    sleep(RECOVERY_TIME).await;
    let before = world.recorder.totals();
    sleep(MEASUREMENT_TIME).await;
    let after = world.recorder.totals();
    drop(callers);
    // Leaves time for a refused call to run, which it must not.
    sleep(Duration::from_secs(1)).await;
    let (sent, served) = (after.sent - before.sent, after.served - before.served);
    if (served as f64) < MIN_SERVED_SHARE * sent as f64 {
        let text = format!("recovery: {served} of {sent} calls are served after the last fault");
        world.recorder.record_violation(text);
    }
    world.recorder.check_refusals();
    Ok(Outcome {
        violations: world.recorder.violations(),
        calls: after.sent,
        served: after.served,
        faults,
    })
}

//! A randomized soak of the real programs under faults from outside.
//!
//! A [`world::World`] runs gateways as processes of their own before upstreams and a
//! store that stand in this process. Faults come from outside of the gateways: signals,
//! restarts, proxies on their connections to upstreams and to the store, and a store
//! that refuses. Callers and upstreams write what they see into a [`recorder::Recorder`],
//! which checks the promises while the soak runs. One seed decides all faults; the
//! timing of processes is the machine's, so that a seed repeats its faults and not every
//! interleaving. See `docs/notes/soak.md`.

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

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Promises that were broken.
    pub violations: Vec<String>,
    /// Calls that were sent.
    pub calls: u64,
    /// Calls that were served.
    pub served: u64,
    /// Faults that were injected, in order.
    pub faults: Vec<String>,
}

/// Time in which callers are served again after the last fault has ended.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Time over which that is measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(2);
/// Least share of calls that must be served then.
const MIN_SERVED_SHARE: f64 = 0.9;

/// Plays one seed with the program at `program`, and keeps its logs in `logs`.
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
    // What was refused must not run later either.
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

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
pub mod drill;
pub mod fault;
pub mod knowledge;
pub mod operator;
pub mod process;
pub mod recorder;
pub mod watcher;
pub mod world;

use std::path::Path;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;
use sesamerock_standin::task::Task;
use tokio::time::sleep;

use fault::Mix;
use knowledge::Class;
use world::{Layout, World};

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
    /// Acts against what the store had confirmed that are no violations, one description each.
    pub notes: Vec<String>,
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
    run(seed, Mix::for_seed(seed), fault_time, program, logs).await
}

/// Runs one seed with restores of the store, like [`run_seed`]. Every third seed has ten gateways in
/// two zones, in each of which one reads the store for the others; the others have five in three
/// zones.
///
/// # Errors
/// Fails if the programs or the stand-ins cannot be started.
pub async fn run_drill(
    seed: u64,
    fault_time: Duration,
    program: &Path,
    logs: &Path,
) -> eyre::Result<Outcome> {
    run(seed, Mix::for_drill(seed), fault_time, program, logs).await
}

async fn run(
    seed: u64,
    mix: Mix,
    fault_time: Duration,
    program: &Path,
    logs: &Path,
) -> eyre::Result<Outcome> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let is_drill = matches!(mix, Mix::Drill { .. });
    let layout = match mix {
        Mix::Drill { .. } if seed.is_multiple_of(3) => Layout {
            gateways: 10,
            zones: 2,
            has_leader: true,
        },
        Mix::Drill { .. } => Layout {
            gateways: world::MIN_DRILL_GATEWAYS,
            ..Layout::default()
        },
        Mix::All | Mix::Calm => Layout::default(),
    };
    let world = World::start(program, logs, layout, is_drill).await?;
    let callers = caller::start(&world);
    let copies = is_drill.then(|| Task(tokio::spawn(drill::keep_copies(world.clone()))));
    let faults = fault::inject(&world, &mut random, mix, fault_time).await?;
    drop(copies);
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
    for number in 0..world.gateways.len() {
        world.gateway(number).process.check_ports()?;
    }
    world.recorder.check_refusals();
    let mut violations = Vec::new();
    let mut notes = Vec::new();
    if is_drill {
        violations = knowledge_violations(&world);
        notes = notes_of(&world);
    }
    violations.extend(world.recorder.violations());
    std::fs::write(logs.join("events.log"), world.recorder.events())?;
    Ok(Outcome {
        violations,
        calls: after.sent,
        served: after.served,
        faults,
        notes,
    })
}

/// Returns the acts against what a live gateway knew, and the gateways that do not serve the newest
/// version in the end.
fn knowledge_violations(world: &World) -> Vec<String> {
    let recorder = &world.recorder;
    let findings = recorder.update_knowledge(|known| known.findings(Class::Known));
    let findings = findings.into_iter();
    let mut violations: Vec<String> = findings
        .map(|finding| format!("against what a live gateway knew: {finding}"))
        .collect();
    for number in 0..world.gateways.len() {
        if !recorder.update_knowledge(|known| known.serves_newest(number)) {
            violations.push(format!(
                "gateway {number} does not serve the newest version in the end"
            ));
        }
    }
    violations
}

/// Returns the acts against what the store had confirmed that are no violations.
fn notes_of(world: &World) -> Vec<String> {
    let classes = [
        (Class::Unknown, "known to no live gateway"),
        (Class::Kept, "kept after its record was gone"),
    ];
    let notes = classes.into_iter().flat_map(|(class, name)| {
        let findings = world
            .recorder
            .update_knowledge(|known| known.findings(class));
        let findings = findings.into_iter();
        findings.map(move |finding| format!("{name}: {finding}"))
    });
    notes.collect()
}

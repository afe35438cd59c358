//! Injects random faults, one or several at a time, into a system of real processes.
//!
//! `SESAMEROCK_CHAOS_SEEDS=5..25` replaces the seeds that CI runs. Each run prints its
//! scenario, so that the scenario of a failed run can be added to `tests/scenarios`.

use std::fmt::Write as _;
use std::ops::Range;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;
use sesamerock_scenario::chaos::{Inventory, Settings, generate};
use sesamerock_scenario::run::run;
use sesamerock_scenario::script::Script;

use crate::ONE_AT_A_TIME;
use crate::support::world::{ProcessWorld, Size};

/// Seeds that CI runs.
const SEEDS: Range<u64> = 1..2;

/// Lines before the first fault: load of every kind, with at least 40 answers received.
const STEPS_BEFORE_FAULTS: &str = "\
load talk kind=model rate=6 tokens=12
load look kind=lookup rate=6
load buy kind=order rate=3
load sure kind=minted rate=2
load once kind=unkeyed rate=1
wait answers >= 40 within 30s
";

/// Lines after the last fault. The system must recover without help: requests that are sent
/// after the deadlines (20 s) of all requests sent during the faults have passed must not fail.
const RECOVERY_CHECKS: &str = "\
set before = answers
wait answers - before >= 100 within 60s
pass 20s
set failures = failed
pass 3s
expect failed - failures = 0
stop talk
stop look
stop buy
stop sure
stop once
expect mixed = 0
expect doubled = 0
expect false_refusals = 0
expect lost_orders = 0
expect versions_back = 0
";

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SESAMEROCK_CHAOS_SEEDS") else {
        return SEEDS;
    };
    let range = text
        .split_once("..")
        .expect("SESAMEROCK_CHAOS_SEEDS has the form FIRST..END");
    let number = |text: &str| text.parse().expect("a seed is a number");
    number(range.0)..number(range.1)
}

/// Returns the lines after the faults. A command that returns a zone or VM to service may
/// have been lost in an outage of the log, so it is repeated for all of them.
fn steps_after_faults(inventory: &Inventory) -> String {
    let mut text = String::new();
    for zone in &inventory.zones {
        writeln!(text, "zone in {zone}").expect("a string can be written");
    }
    for vm in &inventory.vms {
        writeln!(text, "vm in {vm}").expect("a string can be written");
    }
    text + RECOVERY_CHECKS
}

/// Guards against failures under combinations of faults that no written scenario covers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn random_faults() {
    for seed in seeds() {
        let _guard = ONE_AT_A_TIME.lock().await;
        let mut world = ProcessWorld::start(&format!("chaos-{seed}"), Size::default()).await;
        let inventory = world.inventory();
        let settings = Settings {
            before: STEPS_BEFORE_FAULTS.to_owned(),
            after: steps_after_faults(&inventory),
            ..Settings::default()
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let text = generate(&inventory, &settings, &mut rng);
        let script = Script::parse(&text).unwrap_or_else(|faults| panic!("{faults:?}\n{text}"));
        println!("seed {seed}\n{text}");
        if let Err(failure) = run(&script, &mut world).await {
            panic!("seed {seed}, {failure}\n{}", world.explain());
        }
    }
}

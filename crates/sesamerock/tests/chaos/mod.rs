//! Random faults, one or several at a time, against a system of real processes.
//!
//! `SESAMEROCK_CHAOS_SEEDS=5..25` runs other seeds than CI does. A failed run
//! prints its scenario, which can be kept as one of `tests/scenarios`.

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

/// All kinds of calls, under way before the first fault.
const BEFORE: &str = "\
load talk kind=model rate=6 tokens=12
load look kind=lookup rate=6
load buy kind=order rate=3
load sure kind=minted rate=2
load once kind=unkeyed rate=1
wait answers >= 40 within 30s
";

/// After the last fault the system recovers by itself. What a caller sends once
/// the deadlines of the time of the faults (20 s) are over must not fail.
const RECOVERED: &str = "\
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
    let range = text.split_once("..").expect("the seeds are FIRST..END");
    let number = |text: &str| text.parse().expect("a seed is a number");
    number(range.0)..number(range.1)
}

/// Returns the lines after the faults. An operator's order may have been lost in
/// an outage of the log, so all of them are repeated.
fn after(inventory: &Inventory) -> String {
    let mut text = String::new();
    for zone in &inventory.zones {
        writeln!(text, "zone in {zone}").expect("a string can be written");
    }
    for vm in &inventory.vms {
        writeln!(text, "vm in {vm}").expect("a string can be written");
    }
    text + RECOVERED
}

/// Guards against faults whose combination nobody thought of.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn random_faults() {
    for seed in seeds() {
        let _turn = ONE_AT_A_TIME.lock().await;
        let mut world = ProcessWorld::start(&format!("chaos-{seed}"), Size::default()).await;
        let inventory = world.inventory();
        let settings = Settings {
            before: BEFORE.to_owned(),
            after: after(&inventory),
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

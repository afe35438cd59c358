//! One request that crashes each upstream that runs it, resent by its caller
//! again and again, among steady innocent traffic.
//!
//! The lists, the isolation and the retry rules are those of `sesamerock-retry`;
//! upstreams, callers and the sharing of lists are modelled in [`world`].

mod world;

use crate::report::Report;
use world::{Policy, Result, Setup};

/// Runs of each policy, with seeds from the given one on.
const RUNS: u64 = 12;

/// Runs the measure.
pub fn run(seed: u64, report: &mut Report) {
    let base = Setup::default();
    let baselines = [
        ("no-list-3-retries", Policy::Retries),
        ("list-without-isolation", Policy::Counting),
    ];
    for (name, policy) in baselines {
        measure(report, seed, name, policy, &base);
    }
    let ours = measure(report, seed, "ours", Policy::Isolating, &base);
    let mut refused = ours.refused + ours.unfinished;
    for (name, setup) in variants(&base) {
        let result = measure(report, seed, name, Policy::Isolating, &setup);
        refused += result.refused + result.unfinished;
    }
    let crowded = variants(&base)[0].1;
    measure(
        report,
        seed,
        "list-without-isolation-frequent",
        Policy::Counting,
        &crowded,
    );
    report.at_most("upstreams-lost", 2.0, ours.crashes as f64);
    report.at_most("innocents-refused", 0.0, refused as f64);
}

/// Conditions that are harder than the target's, to show where the bounds end.
fn variants(base: &Setup) -> [(&'static str, Setup); 7] {
    [
        (
            "ours-frequent-bodies",
            Setup {
                frequent: 0.8,
                ..*base
            },
        ),
        (
            "ours-busy",
            Setup {
                rate: 105.0,
                ..*base
            },
        ),
        (
            "ours-crowded",
            Setup {
                capacity: 64,
                rate: 400.0,
                ..*base
            },
        ),
        (
            "ours-agents-die",
            Setup {
                agents_die: true,
                ..*base
            },
        ),
        (
            "ours-racks-fail",
            Setup {
                rack: 4,
                frequent: 0.5,
                ..*base
            },
        ),
        (
            "ours-slow-sharing",
            Setup {
                share: (200, 1_500),
                ..*base
            },
        ),
        (
            "ours-hasty-caller",
            Setup {
                patience: 100,
                ..*base
            },
        ),
    ]
}

fn measure(report: &Report, seed: u64, name: &str, policy: Policy, setup: &Setup) -> Result {
    let mut result = Result::default();
    for run in 0..RUNS {
        result.add(world::run(seed + run, policy, setup));
    }
    let p50 = crate::clock::percentile(&mut result.latencies, 0.50);
    let p99 = crate::clock::percentile(&mut result.latencies, 0.99);
    let hit = crate::clock::percentile(&mut result.hit, 0.99);
    report.line(&[
        ("policy", &name),
        ("runs", &RUNS),
        ("share_ms", &setup.share.1),
        ("patience_ms", &setup.patience),
        ("upstreams_lost_worst", &result.crashes),
        ("innocents", &result.innocents),
        ("innocents_refused", &result.refused),
        ("innocents_late", &result.unfinished),
        ("poison_sends", &result.poison_sends),
        ("poison_refused", &result.poison_refused),
        ("innocent_p50_ms", &format!("{p50:.0}")),
        ("innocent_p99_ms", &format!("{p99:.0}")),
        ("innocents_hit", &result.hit.len()),
        ("hit_p99_ms", &format!("{hit:.0}")),
    ]);
    result
}

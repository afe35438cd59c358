//! Choice of upstream and rank by many entries with late reports.
//!
//! The picker, the subset and the prefix index are those of
//! `sesamerock-route`; engines with rank groups that step together, their
//! caches and their reports are modelled in [`engine`] and [`world`].

mod engine;
mod policy;
mod world;

use crate::clock::percentile;
use crate::report::Report;
use policy::Kind;
use world::{Figures, Setup};

/// Runs the measure.
pub fn run(seed: u64, report: &mut Report) {
    let few = Setup {
        entries: 4,
        upstreams: 12,
        ..Setup::default()
    };
    let many = Setup {
        entries: 970,
        upstreams: 60,
        ..Setup::default()
    };
    let setups = [
        ("few", few),
        (
            "few-uneven",
            Setup {
                speeds: (0.7, 1.6),
                ..few
            },
        ),
        ("few-busy", Setup { rate: 22.0, ..few }),
        ("many", many),
        (
            "many-uneven",
            Setup {
                speeds: (0.7, 1.6),
                ..many
            },
        ),
        ("many-busy", Setup { rate: 22.0, ..many }),
    ];
    for (size, setup) in setups {
        let (p99, peak) = compare(seed, size, &setup, report);
        report.at_most(&format!("{size}-p99-over-best-baseline"), 1.0, p99);
        if size == "many" {
            report.at_most("many-peak-over-mean", 1.5, peak);
        }
    }
}

/// Measures all policies at one size. Returns our 99th percentile of the time
/// to first token over that of the best baseline, and our peak over mean load.
fn compare(seed: u64, size: &str, setup: &Setup, report: &Report) -> (f64, f64) {
    let baselines = [Kind::RoundRobin, Kind::LeastOutstanding, Kind::Random];
    let best = baselines
        .iter()
        .map(|kind| measure(seed, size, *kind, setup, report).0)
        .fold(f64::INFINITY, f64::min);
    if matches!(size, "few" | "many") {
        measure(seed, size, Kind::OursWithoutAffinity, setup, report);
        measure(seed, size, Kind::OursWithoutCeiling, setup, report);
    }
    let (p99, peak) = measure(seed, size, Kind::Ours, setup, report);
    (p99 / best, peak)
}

fn measure(seed: u64, size: &str, kind: Kind, setup: &Setup, report: &Report) -> (f64, f64) {
    let Figures {
        mut first,
        mut skew,
        peak,
        hits,
        refusals,
        bounces,
        straggler,
    } = world::run(seed, kind, setup);
    let p99 = percentile(&mut first, 0.99);
    let mean = skew.iter().sum::<f64>() / skew.len().max(1) as f64;
    report.line(&[
        ("size", &size),
        ("entries", &setup.entries),
        ("upstreams", &setup.upstreams),
        ("policy", &kind),
        ("calls", &first.len()),
        (
            "first_p50_ms",
            &format!("{:.0}", percentile(&mut first, 0.50)),
        ),
        (
            "first_p95_ms",
            &format!("{:.0}", percentile(&mut first, 0.95)),
        ),
        ("first_p99_ms", &format!("{p99:.0}")),
        ("skew_mean", &format!("{mean:.3}")),
        ("skew_p95", &format!("{:.3}", percentile(&mut skew, 0.95))),
        ("straggler_work", &format!("{straggler:.2}")),
        ("peak_over_mean", &format!("{peak:.2}")),
        ("cache_hits", &format!("{hits:.2}")),
        ("refusals", &refusals),
        (
            "bounces",
            &format!("{:.3}", bounces as f64 / first.len().max(1) as f64),
        ),
    ]);
    (p99, peak)
}

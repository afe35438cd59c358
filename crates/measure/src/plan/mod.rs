//! CPU and memory of one planning round by ranks, experts and layers.
//!
//! The popularity drifts and swaps twice, so that rounds with nothing to do and
//! rounds with much to do are both measured. A round includes the reports that
//! arrive in its second. The baseline places all experts anew.

use std::hint::black_box;
use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_place::map::Map;
use sesamerock_place::plan::{Planner, Settings};

use crate::alloc::measured;
use crate::clock::percentile;
use crate::report::Report;
use crate::skew::policy::place;
use crate::skew::trace::{Kind, Trace};

/// Ranks, experts and layers; the last is the target size.
const SIZES: [(usize, usize, usize); 3] = [(8, 64, 4), (32, 256, 20), (64, 256, 60)];
/// Rounds, one a second.
const ROUNDS: u32 = 90;
/// Times of ranks that one slice of a round predicts, as in the agent.
const SLICE: u64 = 20_000;
/// Tokens per rank and layer in one step.
const RANK_TOKENS: f64 = 512.0;
/// Steps per second.
const STEPS: u32 = 20;
/// CPU of the control plane per node at one round a second: 1.7 % of a core.
const CPU_MS: f64 = 17.0;
/// Memory of the control plane per node in megabytes.
const MEMORY_MB: f64 = 32.0;

struct Figures {
    /// Values that a round reads: experts times layers.
    values: f64,
    mean_ms: f64,
    max_ms: f64,
    peak_mb: f64,
}

/// Runs the measure.
pub fn run(seed: u64, report: &mut Report) {
    let figures: Vec<_> = SIZES.iter().map(|size| one(seed, *size, report)).collect();
    for pair in figures.windows(2) {
        let growth = (pair[1].values / pair[0].values).ln();
        let exponent = |of: fn(&Figures) -> f64| (of(&pair[1]) / of(&pair[0])).ln() / growth;
        report.line(&[
            ("from_values", &pair[0].values),
            ("to_values", &pair[1].values),
            (
                "cpu_exponent",
                &format!("{:.2}", exponent(|figures| figures.mean_ms)),
            ),
            (
                "memory_exponent",
                &format!("{:.2}", exponent(|figures| figures.peak_mb)),
            ),
        ]);
    }
    if let Some(last) = figures.last() {
        report.at_most("mean-round-ms", CPU_MS, last.mean_ms);
        report.at_most("longest-round-ms", CPU_MS, last.max_ms);
        report.at_most("memory-mb", MEMORY_MB, last.peak_mb);
    }
}

fn one(seed: u64, size: (usize, usize, usize), report: &Report) -> Figures {
    let (ranks, experts, layers) = size;
    let mut trace = Trace::new(Kind::Swap, ranks, experts, layers, ROUNDS, seed);
    let empty = Map {
        slots: vec![(experts / ranks) as u16 + 1; ranks],
        layers: Vec::new(),
    };
    let shares = trace.shares(0);
    let speeds = trace.speeds(0);
    let start = cpu();
    let map = black_box(place(&empty, &shares, &speeds));
    let greedy = millis(cpu().saturating_sub(start));
    let tokens = RANK_TOKENS * ranks as f64 * f64::from(STEPS);
    let reports: Vec<_> = (0..ROUNDS)
        .map(|second| {
            trace.step(second);
            let shares = trace.shares(second);
            trace.sample(&shares, tokens)
        })
        .collect();
    let mut rounds = Vec::with_capacity(reports.len());
    let mut slices = Vec::with_capacity(reports.len() * 16);
    let mut moves = 0;
    let ((), kept, peak) = measured(|| {
        // The planner holds its own copy of the first map.
        let planner = Planner::new(map.clone(), Settings::default(), Moment::default());
        let mut planner = planner.expect("the first map is valid");
        for (second, counts) in reports.iter().enumerate() {
            let start = cpu();
            moves += round(&mut planner, second as u64, counts, &mut slices);
            rounds.push(millis(cpu().saturating_sub(start)));
        }
    });
    debug_assert_eq!(kept, 0, "the planner was dropped");
    let by_time = |a: &usize, b: &usize| rounds[*a].total_cmp(&rounds[*b]);
    let longest = (0..rounds.len()).max_by(by_time).unwrap_or_default();
    let mean_ms = rounds.iter().sum::<f64>() / rounds.len() as f64;
    let figures = Figures {
        values: (experts * layers) as f64,
        mean_ms,
        max_ms: percentile(&mut rounds, 1.0),
        peak_mb: peak as f64 / 1e6,
    };
    report.line(&[
        ("ranks", &ranks),
        ("experts", &experts),
        ("layers", &layers),
        ("rounds", &rounds.len()),
        ("moves", &moves),
        ("round_ms_mean", &format!("{mean_ms:.3}")),
        (
            "round_ms_p50",
            &format!("{:.3}", percentile(&mut rounds, 0.50)),
        ),
        ("round_ms_max", &format!("{:.3}", figures.max_ms)),
        ("longest_round", &longest),
        ("slices", &slices.len()),
        (
            "slice_ms_p50",
            &format!("{:.3}", percentile(&mut slices, 0.50)),
        ),
        (
            "slice_ms_p99",
            &format!("{:.3}", percentile(&mut slices, 0.99)),
        ),
        (
            "slice_ms_max",
            &format!("{:.3}", percentile(&mut slices, 1.0)),
        ),
        ("peak_mb", &format!("{:.3}", figures.peak_mb)),
        ("greedy_ms", &format!("{greedy:.3}")),
    ]);
    figures
}

/// Runs one round with its reports; returns the number of moves, and adds the
/// time of each slice in milliseconds.
fn round(planner: &mut Planner, second: u64, counts: &[Vec<u32>], slices: &mut Vec<f64>) -> usize {
    let now = Moment::default() + Duration::from_secs(second);
    for (layer, counts) in counts.iter().enumerate() {
        planner.observe(now, layer as u16, counts, STEPS);
    }
    let mut start = cpu();
    let mut round = planner.begin(now);
    let mut slice_ends = || {
        let end = cpu();
        slices.push(millis(end.saturating_sub(start)));
        start = end;
    };
    slice_ends();
    while !planner.advance(&mut round, SLICE) {
        slice_ends();
    }
    slice_ends();
    let plan = planner.finish(round);
    if let Some(next) = plan.next {
        planner.adopt(next).expect("a planned map is valid");
    }
    plan.moves.len()
}

/// Returns the CPU time of this thread, which other load on the machine does
/// not add to.
fn cpu() -> Duration {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the pointer is to a local value of the type that is written.
    let status = unsafe { libc::clock_gettime(libc::CLOCK_THREAD_CPUTIME_ID, &raw mut time) };
    assert_eq!(status, 0, "the thread's CPU clock is readable");
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

//! Step time and time to first token of groups whose ranks are chosen by the
//! entries, with one rank that turns slow and recovers.
//!
//! Entries, agents and groups of stand-in engines are real and run as tasks of
//! this process. The baseline is the same system with `rank_routing: false` and
//! engines that report the step time of the group only, as before.

mod load;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use sesamerock::dev::{Cluster, Settings};
use sesamerock::settings;
use sesamerock_standin::engine;
use tokio_util::sync::CancellationToken;

use crate::clock::percentile;
use crate::report::Report;
use load::Sample;

/// Ranks of a group, one group in each zone.
const RANKS: usize = 8;
const ZONES: [&str; 2] = ["a", "b"];
/// Calls that each engine runs at once.
const CAPACITY: usize = 12;
/// Step time of an engine: 8 ms and 1 ms a call.
const STEP: Duration = Duration::from_millis(8);
const STEP_PER_CALL: Duration = Duration::from_millis(1);
/// Tokens of each answer.
const TOKENS: u64 = 40;
/// Share of the capacity that is asked for.
const LOAD: f64 = 0.5;
/// Factor on the step time of the slow rank.
const SLOWDOWN: f64 = 2.0;
/// Time that brings engines out of cold start, and length of each phase.
const WARM_UP: Duration = Duration::from_secs(20);
const PHASE: Duration = Duration::from_secs(15);

/// Figures of one phase.
#[derive(Debug)]
struct Figures {
    skew: [f64; 2],
    step: f64,
    first: [f64; 3],
    /// Calls of the first rank over the mean of the others in its group.
    work: f64,
    failed: usize,
}

/// What is read at the start and the end of a phase.
struct Mark {
    at: Instant,
    steps: usize,
    calls: Vec<u64>,
}

/// Runs the measure.
pub fn run(seed: u64, report: &mut Report) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(async {
        let before = measure(seed, false).await;
        print(report, "unrelated", &before);
        let ours = measure(seed, true).await;
        print(report, "ranks", &ours);
        compare(report, &before, &ours);
    });
}

fn compare(report: &mut Report, before: &[Figures], ours: &[Figures]) {
    for (phase, name) in [(1, "slow"), (2, "recovered")] {
        let (before, ours) = (&before[phase], &ours[phase]);
        let skew = ours.skew[1] / before.skew[1];
        report.at_most(&format!("{name}_skew_p95_to_baseline"), 1.0, skew);
        let first = ours.first[2] / before.first[2];
        report.at_most(&format!("{name}_first_p99_to_baseline"), 1.0, first);
    }
    let failed: usize = ours.iter().map(|figures| figures.failed).sum();
    report.at_most("failed", 0.0, failed as f64);
    // A rank that recovered and stays idle is capacity lost.
    report.at_least("recovered_work", 0.5, ours[2].work);
}

async fn measure(seed: u64, rank_routing: bool) -> Vec<Figures> {
    let stop = CancellationToken::new();
    let settings = Settings {
        zones: ZONES.map(str::to_owned).to_vec(),
        engines_per_zone: RANKS,
        ranks: RANKS,
        services_per_zone: 0,
        engine: engine::Settings {
            step: STEP,
            step_per_call: STEP_PER_CALL,
            capacity: CAPACITY,
            reports_own_step: rank_routing,
            ..engine::Settings::default()
        },
        entry: settings::Entry {
            rank_routing,
            ..settings::Entry::default()
        },
        ..Settings::default()
    };
    let cluster = Cluster::start(settings, &stop)
        .await
        .expect("the cluster starts");
    cluster.publish().await.expect("the note is accepted");
    cluster.wait_ready().await.expect("the entries are ready");
    let full = STEP + STEP_PER_CALL * CAPACITY as u32;
    let per_rank = CAPACITY as f64 / (full.as_secs_f64() * TOKENS as f64);
    let rate = per_rank * (RANKS * ZONES.len()) as f64 * LOAD;
    let ended = Arc::new(AtomicBool::new(false));
    let calls = load::run(
        cluster.callers.clone(),
        rate,
        TOKENS,
        seed,
        Arc::clone(&ended),
    );
    let calls = tokio::spawn(calls);
    tokio::time::sleep(WARM_UP).await;
    let mut marks = vec![mark(&cluster)];
    for slowdown in [1.0, SLOWDOWN, 1.0] {
        let slow = &cluster.engines[0].1;
        slow.configure(|settings| settings.slowdown = slowdown);
        tokio::time::sleep(PHASE).await;
        marks.push(mark(&cluster));
    }
    ended.store(true, Ordering::Relaxed);
    let samples = calls.await.expect("the load does not panic");
    let steps = cluster.groups[0].steps();
    let figures = marks.windows(2).map(|marks| {
        let steps = &steps[marks[0].steps..marks[1].steps];
        figures(&marks[0], &marks[1], steps, &samples)
    });
    let figures = figures.collect();
    stop.cancel();
    cluster.join().await;
    figures
}

fn mark(cluster: &Cluster) -> Mark {
    let engines = cluster.engines.iter().take(RANKS);
    Mark {
        at: Instant::now(),
        steps: cluster.groups[0].steps().len(),
        calls: engines.map(|(_, engine)| engine.record().calls).collect(),
    }
}

fn figures(from: &Mark, to: &Mark, steps: &[engine::group::Step], samples: &[Sample]) -> Figures {
    let mut skew: Vec<_> = steps.iter().map(engine::group::Step::rank_skew).collect();
    let samples = || {
        let samples = samples.iter();
        samples.filter(|sample| (from.at..to.at).contains(&sample.due))
    };
    let firsts = samples().filter_map(|sample| sample.first);
    let mut first: Vec<_> = firsts.map(|first| first.as_secs_f64() * 1e3).collect();
    let calls: Vec<_> = from.calls.iter().zip(&to.calls).collect();
    let calls: Vec<_> = calls
        .iter()
        .map(|(from, to)| (*to - *from) as f64)
        .collect();
    let others = calls[1..].iter().sum::<f64>() / (RANKS - 1) as f64;
    Figures {
        skew: [0.5, 0.95].map(|q| percentile(&mut skew, q)),
        step: (to.at - from.at).as_secs_f64() * 1e3 / steps.len().max(1) as f64,
        first: [0.5, 0.95, 0.99].map(|q| percentile(&mut first, q)),
        work: calls[0] / others.max(1.0),
        failed: samples().filter(|sample| !sample.ok).count(),
    }
}

fn print(report: &Report, policy: &str, phases: &[Figures]) {
    for (phase, figures) in ["even", "slow", "recovered"].iter().zip(phases) {
        report.line(&[
            ("policy", &policy),
            ("phase", phase),
            ("skew_p50", &format!("{:.3}", figures.skew[0])),
            ("skew_p95", &format!("{:.3}", figures.skew[1])),
            ("step_ms", &format!("{:.1}", figures.step)),
            ("first_p50_ms", &format!("{:.1}", figures.first[0])),
            ("first_p95_ms", &format!("{:.1}", figures.first[1])),
            ("first_p99_ms", &format!("{:.1}", figures.first[2])),
            ("first_rank_work", &format!("{:.2}", figures.work)),
            ("failed", &figures.failed),
        ]);
    }
}

//! Service while an availability zone leaves and returns, over real
//! connections.

mod trace;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use sesamerock::dev::{Cluster, Settings};
use sesamerock::entry::operator::{Published, Verdict};
use sesamerock_client::http::client::Client;
use sesamerock_standin::engine;
use tokio_util::sync::CancellationToken;

use crate::report::Report;
use crate::runtime;
use crate::traffic::{Sample, completion, open_loop, quantile, send};

/// Zone that leaves and returns.
const ZONE: &str = "b";
/// Engines in each of three zones.
const ENGINES: usize = 4;
/// Calls that each engine runs at once.
const CAPACITY: usize = 16;
/// Tokens of each answer.
const TOKENS: u64 = 20;
/// Step time of an engine at full batch: 20 ms and 0.5 ms a call.
const STEP: Duration = Duration::from_millis(20);
const STEP_PER_CALL: Duration = Duration::from_micros(500);
/// Share of the capacity of all zones that is asked for.
const LOAD: f64 = 0.6;
/// Length of each phase.
const PHASE: Duration = Duration::from_secs(12);
/// Time of calm after the warm-up, and after the zone has returned.
const SETTLE: Duration = Duration::from_secs(3);

/// Runs the measure.
pub fn run(_seed: u64, report: &mut Report) {
    runtime::block_on(measure(report));
}

/// Starts the cluster and brings it out of cold start.
async fn start(stop: &CancellationToken) -> Cluster {
    let settings = Settings {
        engines_per_zone: ENGINES,
        engine: engine::Settings {
            step: STEP,
            step_per_call: STEP_PER_CALL,
            capacity: CAPACITY,
            ..engine::Settings::default()
        },
        ..Settings::default()
    };
    let cluster = Cluster::start(settings, stop)
        .await
        .expect("the cluster starts");
    cluster.publish().await.expect("the note is accepted");
    cluster.wait_ready().await.expect("the entries are ready");
    warm_up(&cluster).await;
    cluster
}

async fn measure(report: &mut Report) {
    let stop = CancellationToken::new();
    let cluster = start(&stop).await;
    let full = STEP + STEP_PER_CALL * CAPACITY as u32;
    let call_seconds = full.as_secs_f64() * TOKENS as f64;
    let capacity = (3 * ENGINES * CAPACITY) as f64 / call_seconds;
    let rate = capacity * LOAD;
    let ended = Arc::new(AtomicBool::new(false));
    let load = open_loop(cluster.callers.clone(), rate, TOKENS, Arc::clone(&ended));
    let load = tokio::spawn(load);
    let engines = cluster.engines.iter().map(|(_, engine)| engine.clone());
    let trace = trace::Trace::start(engines.collect());
    tokio::time::sleep(SETTLE).await;
    let began = Instant::now();
    tokio::time::sleep(PHASE).await;
    let out = order(&cluster, "out").await;
    tokio::time::sleep(PHASE).await;
    let last = last_call(&cluster);
    let back = order(&cluster, "in").await;
    let before_return = peaks(&cluster);
    tokio::time::sleep(PHASE).await;
    let done = Instant::now();
    ended.store(true, Ordering::Relaxed);
    let samples = load.await.expect("the load does not panic");

    let phase = |from: Instant, to: Instant| -> Vec<Sample> {
        samples
            .iter()
            .copied()
            .filter(|s| s.start >= from && s.start < to)
            .collect()
    };
    let mut p99 = [0.0; 3];
    for (index, (name, from, to)) in [
        ("before", began, out),
        ("during", out, back),
        ("after", back, done),
    ]
    .into_iter()
    .enumerate()
    {
        let samples = phase(from, to);
        let mut latencies: Vec<_> = samples.iter().map(|sample| sample.latency).collect();
        p99[index] = quantile(&mut latencies, 0.99);
        report.line(&[
            ("phase", &name),
            ("rate", &format!("{rate:.1}")),
            ("requests", &samples.len()),
            (
                "failed",
                &samples.iter().filter(|sample| !sample.ok).count(),
            ),
            ("p50_ms", &format!("{:.1}", quantile(&mut latencies, 0.5))),
            ("p99_ms", &format!("{:.1}", p99[index])),
        ]);
    }
    let phases = [
        ("before", began, out, serving(&cluster, false)),
        ("during", out, back, serving(&cluster, true)),
        ("after", back, done, serving(&cluster, false)),
    ];
    trace.report(&phases, CAPACITY, report).await;
    let failed = samples.iter().filter(|sample| !sample.ok).count();
    let records: Vec<_> = cluster
        .engines
        .iter()
        .map(|(_, engine)| engine.record())
        .collect();
    let crashes: u64 = records.iter().map(|record| record.crashes).sum();
    let over: u64 = records.iter().map(|record| record.over_capacity).sum();
    let returned: usize = cluster
        .engines
        .iter()
        .zip(before_return)
        .filter(|((zone, _), _)| zone == ZONE)
        .map(|((_, engine), _)| engine.record().peak)
        .max()
        .unwrap_or(0);
    report.line(&[
        ("crashes", &crashes),
        ("calls_over_capacity", &over),
        ("peak_on_returned", &returned),
        ("capacity", &CAPACITY),
    ]);
    report.at_most("failed", 0.0, failed as f64);
    let late = last.map_or(0.0, |last| {
        last.saturating_duration_since(out).as_secs_f64() * 1e3
    });
    report.at_most("last_new_work_ms", 3_000.0, late);
    report.at_most("p99_during_to_before", 1.5, p99[1] / p99[0]);
    report.at_most(
        "peak_on_returned_to_capacity",
        1.0,
        returned as f64 / CAPACITY as f64,
    );
    stop.cancel();
}

/// Returns the engines that serve, while the zone is out or in.
fn serving(cluster: &Cluster, out: bool) -> Vec<usize> {
    let all = cluster.engines.iter().enumerate();
    all.filter(|(_, (zone, _))| !out || zone != ZONE)
        .map(|(index, _)| index)
        .collect()
}

/// Brings all engines out of cold start with a closed loop.
async fn warm_up(cluster: &Cluster) {
    let client = Client::default();
    let begin = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for worker in 0..3 * ENGINES * CAPACITY / 2 {
        let client = client.clone();
        let entries = cluster.callers.clone();
        tasks.spawn(async move {
            let mut number = worker;
            while begin.elapsed() < PHASE * 2 {
                number += 1;
                let request = completion(entries[number % entries.len()], number, TOKENS);
                if send(&client, request).await.is_err() {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        });
    }
    while tasks.join_next().await.is_some() {}
}

/// Gives the operators' order and returns when it was given.
async fn order(cluster: &Cluster, word: &str) -> Instant {
    let uri = format!(
        "http://{}/operator/zones/{ZONE}/{word}",
        cluster.operators[0]
    );
    let given = Instant::now();
    let published: Published = Client::default()
        .post(&uri, &())
        .await
        .expect("the entry answers the order");
    assert_eq!(
        published.outcome,
        Verdict::Accepted,
        "the order is accepted"
    );
    given
}

/// Returns when an engine of the zone last got a call.
fn last_call(cluster: &Cluster) -> Option<Instant> {
    let engines = cluster.engines.iter().filter(|(zone, _)| zone == ZONE);
    engines
        .filter_map(|(_, engine)| engine.record().last_call)
        .max()
}

fn peaks(cluster: &Cluster) -> Vec<usize> {
    cluster
        .engines
        .iter()
        .map(|(_, engine)| engine.record().peak)
        .collect()
}

//! A rollout under load over real connections: service, time, and the bytes
//! that agents spend on knowing of each other.
//!
//! The baseline changes all engines at once, as agents did before they carried
//! out the plan.

mod counter;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use sesamerock::dev::{Cluster, MODEL, Settings};
use sesamerock_client::http::client::Client;
use sesamerock_note::note::{Model, Note};
use sesamerock_note::rollout;
use sesamerock_standin::engine;
use tokio_util::sync::CancellationToken;

use crate::report::Report;
use crate::runtime;
use crate::traffic::{completion, open_loop, quantile, send};
use counter::Counter;

/// Engines in each of three zones under load.
const ENGINES: usize = 2;
/// Engines in each of two zones where bytes are counted: one whole cohort.
const COHORT: usize = rollout::cohort::MAX_UNITS / 2;
/// Calls that each engine runs at once, and while it loads a model.
const CAPACITY: usize = 16;
const LOADING_CAPACITY: usize = 2;
/// Time to load a model.
const LOAD_TIME: Duration = Duration::from_secs(3);
/// Tokens of each answer.
const TOKENS: u64 = 20;
/// Step time of an engine at full batch: 20 ms and 0.5 ms a call.
const STEP: Duration = Duration::from_millis(20);
const STEP_PER_CALL: Duration = Duration::from_micros(500);
/// Share of the capacity that is asked for.
const LOAD: f64 = 0.4;
/// Time of the closed loop that brings engines out of cold start.
const WARM_UP: Duration = Duration::from_secs(15);
/// Time of calm before the note.
const SETTLE: Duration = Duration::from_secs(3);
/// Longest rollout.
const LONGEST: Duration = Duration::from_secs(45);
/// Time over which bytes are counted.
const COUNTED: Duration = Duration::from_secs(15);
/// Time between two looks at the engines.
const SAMPLE: Duration = Duration::from_millis(2);
/// Bytes a second that a node may spend on control.
const BUDGET: f64 = 6_000.0;

/// What one rollout did.
struct Outcome {
    /// Time until every engine held the new version alone, if it came to that.
    time: Option<Duration>,
    least_warm: usize,
    requests: usize,
    failed: usize,
    p99: f64,
    crashes: u64,
    over_capacity: u64,
}

/// Runs the measure.
pub fn run(_seed: u64, report: &mut Report) {
    runtime::block_on(measure(report));
}

async fn measure(report: &mut Report) {
    let at_once = rollout::Settings {
        share: 1.0,
        store_loads: usize::MAX,
    };
    for room in [2, 1] {
        let before = roll_out(at_once, room).await;
        print(report, "all_at_once", room, &before);
        let plan = roll_out(rollout::Settings::default(), room).await;
        print(report, "plan", room, &plan);
        let what = if room == 1 { "one_fits" } else { "two_fit" };
        report.at_most(&format!("failed_{what}"), 0.0, plan.failed as f64);
        let warm = plan.least_warm as f64;
        // A quarter of six, at least one, changes at once.
        report.at_least(
            &format!("least_warm_{what}"),
            (3 * ENGINES - 1) as f64,
            warm,
        );
        let unfinished = f64::from(u8::from(plan.time.is_none()));
        report.at_most(&format!("unfinished_{what}"), 0.0, unfinished);
    }
    let bytes = count_bytes(report).await;
    report.at_most("bytes_per_second", BUDGET, bytes);
}

fn print(report: &Report, policy: &str, room: usize, outcome: &Outcome) {
    let time = outcome.time.map_or_else(
        || "unfinished".to_owned(),
        |time| format!("{:.1}", time.as_secs_f64()),
    );
    report.line(&[
        ("policy", &policy),
        ("versions_that_fit", &room),
        ("engines", &(3 * ENGINES)),
        ("seconds", &time),
        ("least_warm", &outcome.least_warm),
        ("requests", &outcome.requests),
        ("failed", &outcome.failed),
        ("p99_ms", &format!("{:.1}", outcome.p99)),
        ("crashes", &outcome.crashes),
        ("calls_over_capacity", &outcome.over_capacity),
    ]);
}

async fn roll_out(bounds: rollout::Settings, room: usize) -> Outcome {
    let stop = CancellationToken::new();
    let settings = Settings {
        engines_per_zone: ENGINES,
        services_per_zone: 0,
        engine: engine::Settings {
            step: STEP,
            step_per_call: STEP_PER_CALL,
            capacity: CAPACITY,
            load_time: LOAD_TIME,
            loading_capacity: LOADING_CAPACITY,
            room,
            ..engine::Settings::default()
        },
        rollout: bounds,
        ..Settings::default()
    };
    let cluster = Cluster::start(settings, &stop).await;
    let cluster = cluster.expect("the cluster starts");
    cluster.publish().await.expect("the note is accepted");
    cluster.wait_ready().await.expect("the entries are ready");
    warm_up(&cluster).await;
    let call_seconds = (STEP + STEP_PER_CALL * CAPACITY as u32).as_secs_f64() * TOKENS as f64;
    let rate = (3 * ENGINES * CAPACITY) as f64 / call_seconds * LOAD;
    let ended = Arc::new(AtomicBool::new(false));
    let load = open_loop(cluster.callers.clone(), rate, TOKENS, Arc::clone(&ended));
    let load = tokio::spawn(load);
    tokio::time::sleep(SETTLE).await;
    let before = counts(&cluster);
    let upgraded = cluster.publish_note(&upgrade()).await;
    upgraded.expect("the note is accepted");
    let (time, least_warm) = watch(&cluster).await;
    tokio::time::sleep(SETTLE).await;
    ended.store(true, Ordering::Relaxed);
    let samples = load.await.expect("the load does not panic");
    let after = counts(&cluster);
    stop.cancel();
    cluster.join().await;
    let mut latencies: Vec<_> = samples.iter().map(|sample| sample.latency).collect();
    Outcome {
        time,
        least_warm,
        requests: samples.len(),
        failed: samples.iter().filter(|sample| !sample.ok).count(),
        p99: quantile(&mut latencies, 0.99),
        crashes: after.0 - before.0,
        over_capacity: after.1 - before.1,
    }
}

/// Returns the crashes of all engines, and their calls over capacity.
fn counts(cluster: &Cluster) -> (u64, u64) {
    let records = cluster.engines.iter().map(|(_, engine)| engine.record());
    records.fold((0, 0), |(crashes, over), record| {
        (crashes + record.crashes, over + record.over_capacity)
    })
}

/// Returns the note that moves the model to version 2.
fn upgrade() -> Note {
    let mut note = Note {
        id: "upgrade".to_owned(),
        ..Note::default()
    };
    note.change.models.push(Model {
        name: MODEL.to_owned(),
        version: 2,
    });
    note
}

/// Waits until all engines hold the new version alone; returns the time and
/// the least number of engines that served at their full rate.
async fn watch(cluster: &Cluster) -> (Option<Duration>, usize) {
    let begin = Instant::now();
    let mut least = usize::MAX;
    let wanted = vec![format!("{MODEL}@2")];
    while begin.elapsed() < LONGEST {
        let engines = || cluster.engines.iter().map(|(_, engine)| engine);
        least = least.min(engines().filter(|engine| engine.serves(MODEL)).count());
        if engines().all(|engine| engine.models() == wanted) {
            return (Some(begin.elapsed()), least);
        }
        tokio::time::sleep(SAMPLE).await;
    }
    (None, least)
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
            while begin.elapsed() < WARM_UP {
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

/// Counts what the agents of a full cohort spend on knowing of each other while
/// the weight store refuses and all of them ask; returns the bytes a second of
/// the node with the most.
async fn count_bytes(report: &Report) -> f64 {
    let stop = CancellationToken::new();
    let settings = Settings {
        zones: ["a", "b"].map(str::to_owned).to_vec(),
        engines_per_zone: COHORT,
        services_per_zone: 0,
        entries: 1,
        ..Settings::default()
    };
    let cluster = Cluster::start(settings, &stop).await;
    let cluster = cluster.expect("the cluster starts");
    cluster
        .platform
        .configure(|settings| settings.weights_refused = true);
    let mut note = cluster.note();
    let mut counters = Vec::new();
    for upstream in &mut note.add.upstreams {
        let counter = Counter::start(upstream.agent, &stop).await;
        upstream.agent = counter.address;
        counters.push(counter);
    }
    let published = cluster.publish_note(&note).await;
    published.expect("the note is accepted");
    cluster.wait_ready().await.expect("the entries are ready");
    let upgraded = cluster.publish_note(&upgrade()).await;
    upgraded.expect("the note is accepted");
    tokio::time::sleep(SETTLE).await;
    let before: Vec<_> = counters.iter().map(Counter::bytes).collect();
    tokio::time::sleep(COUNTED).await;
    let seconds = COUNTED.as_secs_f64();
    let answered = counters.iter().zip(before);
    let answered = answered.map(|(counter, before)| (counter.bytes() - before) as f64 / seconds);
    let answered: Vec<_> = answered.collect();
    let mean = answered.iter().sum::<f64>() / answered.len() as f64;
    let most = answered.iter().copied().fold(0.0, f64::max);
    stop.cancel();
    cluster.join().await;
    report.line(&[
        ("cohort", &answered.len()),
        ("answering_bytes_per_second", &format!("{mean:.0}")),
        ("most", &format!("{most:.0}")),
    ]);
    // Each agent asks as many as it answers, all being in the same cohort.
    mean + most
}

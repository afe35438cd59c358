//! Cost of the path: look-ups and token streams through entry and agent,
//! against direct calls to the same upstreams in the same run.
//!
//! Client, entry, agents and upstreams share this process and its cores, so
//! the throughput is a lower bound of what an entry alone carries.

use std::time::{Duration, Instant};

use sesamerock::dev::{Cluster, SERVICE, Settings};
use sesamerock::entry::operator::Status;
use sesamerock_client::http::client::Client;
use sesamerock_standin::engine;
use tokio_util::sync::CancellationToken;

use crate::report::Report;
use crate::traffic::{closed_loop, completion, lookup, quantile};
use crate::{runtime, usage};

/// Requests in flight at once.
const WIDTH: usize = 64;
/// Look-ups per round, direct and through the path in turn.
const LOOKUPS: usize = 4_000;
/// Rounds of look-ups.
const ROUNDS: usize = 5;
/// Pause of each client between look-ups; it sets about half load.
const PAUSE: Duration = Duration::from_millis(10);
/// Streams and their tokens.
const STREAMS: usize = 640;
const TOKENS: u64 = 1_000;
/// Length of one event of the stand-in engine, in bytes, without its text.
const EVENT_BYTES: usize = 101;

/// Runs the measure.
pub fn run(_seed: u64, report: &mut Report) {
    runtime::block_on(measure(report));
}

async fn measure(report: &mut Report) {
    let stop = CancellationToken::new();
    let settings = Settings {
        engines_per_zone: 4,
        entries: 1,
        engine: engine::Settings {
            step: Duration::from_millis(10),
            step_per_call: Duration::ZERO,
            tokens_per_step: 50,
            capacity: 256,
            cold_tokens: 100,
            collapse: 64,
            ..engine::Settings::default()
        },
        ..Settings::default()
    };
    let cluster = Cluster::start(settings, &stop)
        .await
        .expect("the cluster starts");
    cluster.publish().await.expect("the note is accepted");
    cluster.wait_ready().await.expect("the entry is ready");
    lookups(&cluster, report).await;
    streams(&cluster, report).await;
    stop.cancel();
}

async fn lookups(cluster: &Cluster, report: &mut Report) {
    let entry = cluster.callers[0];
    let service = cluster.services[0].1.address();
    for (_, service) in &cluster.services {
        service.configure(|settings| settings.delay = Duration::ZERO);
    }
    let through = format!("http://{entry}/services/{SERVICE}/stock/chalk");
    let direct = format!("http://{service}/stock/chalk");
    let (mut near, mut far) = (Vec::new(), Vec::new());
    let (mut near_cpu, mut far_cpu) = (0.0, 0.0);
    let mut failures = 0;
    // The first round warms limits and connections up and does not count.
    for round in 0..=ROUNDS {
        for (uri, all, cpu) in [
            (&direct, &mut near, &mut near_cpu),
            (&through, &mut far, &mut far_cpu),
        ] {
            let uri = uri.clone();
            let before = usage::seconds("self");
            let (latencies, _, failed) =
                closed_loop(WIDTH, LOOKUPS, PAUSE, move |_| lookup(&uri)).await;
            if round > 0 {
                all.extend(latencies);
                *cpu += usage::seconds("self") - before;
                failures += failed;
            }
        }
    }
    let count = (LOOKUPS * ROUNDS) as f64;
    let added =
        |q, near: &mut [Duration], far: &mut [Duration]| quantile(far, q) - quantile(near, q);
    for (name, all, cpu) in [("direct", &mut near, near_cpu), ("path", &mut far, far_cpu)] {
        report.line(&[
            ("kind", &"lookup"),
            ("via", &name),
            ("width", &WIDTH),
            ("p50_ms", &format!("{:.3}", quantile(all, 0.5))),
            ("p99_ms", &format!("{:.3}", quantile(all, 0.99))),
            ("cpu_us_per_request", &format!("{:.1}", cpu / count * 1e6)),
        ]);
    }
    report.at_most("lookup_failed", 0.0, failures as f64);
    report.at_most("added_p50_ms", 0.3, added(0.5, &mut near, &mut far));
    report.at_most("added_p99_ms", 1.0, added(0.99, &mut near, &mut far));
}

async fn streams(cluster: &Cluster, report: &mut Report) {
    let entry = cluster.callers[0];
    // Limits grow by evidence only, so the streams need a warm-up.
    let warm = closed_loop(WIDTH, STREAMS, Duration::ZERO, move |n| {
        completion(entry, n, 200)
    })
    .await;
    let before = usage::seconds("self");
    let begin = Instant::now();
    let (latencies, bytes, failed) = closed_loop(WIDTH, STREAMS, Duration::ZERO, move |n| {
        completion(entry, n, TOKENS)
    })
    .await;
    let seconds = begin.elapsed().as_secs_f64();
    let tokens = latencies.len() as f64 * TOKENS as f64;
    report.line(&[
        ("kind", &"stream"),
        ("streams", &latencies.len()),
        ("failed", &failed),
        ("warm_up_failed", &warm.2),
        ("seconds", &format!("{seconds:.2}")),
        ("tokens_per_s", &format!("{:.0}", tokens / seconds)),
        (
            "mbytes_per_s",
            &format!("{:.1}", bytes as f64 / seconds / 1e6),
        ),
        (
            "cpu_us_per_token",
            &format!("{:.2}", (usage::seconds("self") - before) / tokens * 1e6),
        ),
    ]);
    report.line(&[("kind", &"limits"), ("calls", &limits(cluster).await)]);
    // A stream that lost events would be shorter than its tokens.
    let whole = bytes >= latencies.len() * TOKENS as usize * EVENT_BYTES;
    report.at_most(
        "stream_failed",
        0.0,
        failed as f64 + f64::from(u8::from(!whole)),
    );
    report.at_least("tokens_per_s", 200_000.0, tokens / seconds);
}

/// Returns the learnt limits of the engines, which bound the streams at once.
async fn limits(cluster: &Cluster) -> String {
    let uri = format!("http://{}/operator/status", cluster.operators[0]);
    let status: Status = Client::default()
        .get(&uri, Duration::ZERO)
        .await
        .expect("the entry answers");
    let engines = status
        .upstreams
        .iter()
        .filter(|(name, _)| name.starts_with("engine"));
    let limits: Vec<_> = engines
        .map(|(_, upstream)| upstream.limit.to_string())
        .collect();
    limits.join(",")
}

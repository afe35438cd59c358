//! Guards calls to groups of ranks over real entries and agents: what the
//! entries learn of ranks, and where calls go when a group does not step.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt as _, Full};
use sesamerock::agent::probe::Observation;
use sesamerock::agent::stall::StallDetector;
use sesamerock::dev::{Cluster, MODEL, Settings};
use sesamerock_base::time::Moment;
use sesamerock_client::engine::Load;
use sesamerock_client::http::client::Client;
use sesamerock_standin::engine;
use tokio_util::sync::CancellationToken;

const RANKS: usize = 2;
const TOKENS: u64 = 20;
/// Calls at a time after the group steps again.
const CALLERS: usize = 16;
/// Time within which an answer must come where a group steps, far above that of
/// its steps.
const SOON: Duration = Duration::from_secs(8);

async fn start(zones: &[&str], engines: usize, stop: &CancellationToken) -> Cluster {
    let settings = Settings {
        zones: zones.iter().map(ToString::to_string).collect(),
        engines_per_zone: engines,
        ranks: RANKS,
        services_per_zone: 0,
        entries: 2,
        engine: engine::Settings {
            cold_tokens: 0,
            ..engine::Settings::default()
        },
        ..Settings::default()
    };
    let cluster = Cluster::start(settings, stop).await.expect("a cluster");
    cluster.publish().await.expect("the note is accepted");
    cluster.wait_ready().await.expect("the entries are ready");
    for group in &cluster.groups {
        let stepping = group.wait(|steps| steps.len() > 10);
        tokio::time::timeout(SOON, stepping).await.expect("steps");
    }
    cluster
}

/// Sends a completion and returns whether the whole answer came.
async fn call(cluster: &Cluster, number: usize) -> bool {
    let entry = cluster.callers[number % cluster.callers.len()];
    let body = format!(
        r#"{{"model":"{MODEL}","stream":true,"max_tokens":{TOKENS},"prompt":"call {number}"}}"#
    );
    let request = Request::post(format!("http://{entry}/v1/completions"))
        .header("x-workspace", "tests")
        .body(Full::new(Bytes::from(body)))
        .expect("a request");
    let Ok(response) = Client::default().send(request).await else {
        return false;
    };
    let body = response.into_body().collect().await;
    body.is_ok_and(|body| body.to_bytes().ends_with(b"data: [DONE]\n\n"))
}

async fn soon(cluster: &Cluster, number: usize) -> bool {
    let answer = tokio::time::timeout(SOON, call(cluster, number)).await;
    answer.unwrap_or(false)
}

fn calls(cluster: &Cluster, engines: std::ops::Range<usize>) -> u64 {
    let engines = cluster.engines[engines].iter();
    engines.map(|(_, engine)| engine.record().calls).sum()
}

fn hang(cluster: &Cluster, rank: usize, hangs: bool) {
    let engine = &cluster.engines[rank].1;
    engine.configure(|settings| settings.hangs = hangs);
}

/// Keeps a call waiting in the first group and waits until its agents see that
/// the group does not step: an agent reads its engine's report ten times a
/// second and takes half a second without a step for a stall.
async fn wait_stalled(cluster: &Cluster) {
    let client = Client::default();
    for agent in &cluster.agents[..RANKS] {
        let uri = format!("http://{agent}/group");
        let stalled = async {
            loop {
                let status = client.get::<serde_json::Value>(&uri, Duration::ZERO);
                if status.await.is_ok_and(|status| status["stalled"] == true) {
                    return;
                }
                tokio::task::yield_now().await;
            }
        };
        tokio::time::timeout(SOON, stalled).await.expect("a stall");
    }
}

/// Calls for a group that lost a rank must go to the other group, and come back
/// when it steps again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_leave_a_group_that_lost_a_rank_and_return() {
    let stop = CancellationToken::new();
    let cluster = start(&["a", "b"], RANKS, &stop).await;
    for number in 0..40 {
        assert!(soon(&cluster, number).await, "call {number}");
    }
    assert!(calls(&cluster, 0..RANKS) > 0, "the group gets work");
    hang(&cluster, 1, true);
    // These may wait in the group until it steps again.
    let waiting = async {
        let calls = (0..16).map(|number| call(&cluster, 1_000 + number));
        futures::future::join_all(calls).await
    };
    let check = async {
        wait_stalled(&cluster).await;
        let before = calls(&cluster, 0..RANKS);
        for number in 0..40 {
            assert!(soon(&cluster, number).await, "call {number} while it hangs");
        }
        let more = calls(&cluster, 0..RANKS) - before;
        assert_eq!(
            more, 0,
            "calls were passed on to a group that does not step"
        );
        hang(&cluster, 1, false);
    };
    let (waited, ()) = tokio::join!(waiting, check);
    assert!(waited.iter().all(|whole| *whole), "{waited:?}");
    let before = calls(&cluster, 0..RANKS);
    // One call at a time would stay with the group that is known to be idle.
    let returns = async {
        let mut number = 0;
        while calls(&cluster, 0..RANKS) == before {
            number += CALLERS;
            let calls = (number..number + CALLERS).map(|number| call(&cluster, number));
            let whole = futures::future::join_all(calls).await;
            assert!(whole.iter().all(|whole| *whole), "{whole:?} afterwards");
        }
    };
    tokio::time::timeout(SOON, returns)
        .await
        .expect("work again");
    stop.cancel();
    cluster.join().await;
}

/// A group that is the only one must keep its calls: they wait and are answered
/// when it steps again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_wait_for_the_only_group() {
    let stop = CancellationToken::new();
    let cluster = start(&["a"], RANKS, &stop).await;
    assert!(soon(&cluster, 0).await);
    hang(&cluster, 1, true);
    let waiting = async {
        let calls = (0..4).map(|number| call(&cluster, number));
        futures::future::join_all(calls).await
    };
    let check = async {
        wait_stalled(&cluster).await;
        hang(&cluster, 1, false);
    };
    let (waited, ()) = tokio::join!(waiting, check);
    assert!(waited.iter().all(|whole| *whole), "{waited:?}");
    stop.cancel();
    cluster.join().await;
}

/// Guards against a stall seen where there is nothing to step for, or missed
/// because this rank has no work of its own and only waits for a grant.
#[test]
fn a_stall_is_time_without_steps_while_there_is_work() {
    let seconds = |seconds: u64| Moment::from_millis(1_000 * seconds);
    let load = |running, granted_to| {
        Observation::Alive(Load {
            running,
            granted_to,
            step: 7,
            step_us: 10_000,
            ..Load::default()
        })
    };
    let mut stall = StallDetector::new(seconds(1));
    assert!(!stall.observe(&load(0, 9), seconds(9)), "idle");
    assert!(
        !stall.observe(&load(1, 9), seconds(9)),
        "work has just come"
    );
    assert!(stall.observe(&load(1, 9), seconds(10)), "work waits");
    assert!(!stall.observe(&load(0, 9), seconds(11)), "idle again");
    assert!(stall.observe(&load(0, 7), seconds(12)), "no grant");
    assert!(
        stall.observe(&Observation::Unreachable, seconds(12)),
        "a dead rank"
    );
}

//! Calls to groups of ranks over real entries and agents: to which group calls go, and what
//! happens to them while a group does not step.

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
/// Number of concurrent calls after the group steps again.
const CONCURRENT_CALLS: usize = 16;
/// Time within which a group that steps must answer, far above the time of its steps.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

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
        tokio::time::timeout(ANSWER_TIMEOUT, stepping)
            .await
            .expect("steps");
    }
    cluster
}

/// Sends a completion and returns whether the answer arrived completely.
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

async fn call_in_time(cluster: &Cluster, number: usize) -> bool {
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, call(cluster, number)).await;
    answer.unwrap_or(false)
}

fn received_calls(cluster: &Cluster, engines: std::ops::Range<usize>) -> u64 {
    let engines = cluster.engines[engines].iter();
    engines.map(|(_, engine)| engine.record().calls).sum()
}

fn set_hanging(cluster: &Cluster, rank: usize, hangs: bool) {
    let engine = &cluster.engines[rank].1;
    engine.configure(|settings| settings.hangs = hangs);
}

/// Waits until the agents of the first group have detected that it does not step. The group
/// must have a call waiting. An agent reads its engine's report ten times a second and reports
/// a stall after half a second without a step.
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
        tokio::time::timeout(ANSWER_TIMEOUT, stalled)
            .await
            .expect("a stall");
    }
}

/// Guards against calls that are sent to a group with a hanging rank while another group steps,
/// and against a group that gets no calls after it steps again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_avoid_a_stalled_group_until_it_steps_again() {
    let stop = CancellationToken::new();
    let cluster = start(&["a", "b"], RANKS, &stop).await;
    for number in 0..40 {
        assert!(call_in_time(&cluster, number).await, "call {number}");
    }
    assert!(
        received_calls(&cluster, 0..RANKS) > 0,
        "the group gets no calls"
    );
    set_hanging(&cluster, 1, true);
    // Calls sent before the stall is detected may wait in the group until it steps again.
    let waiting = async {
        let calls = (0..16).map(|number| call(&cluster, 1_000 + number));
        futures::future::join_all(calls).await
    };
    let check = async {
        wait_stalled(&cluster).await;
        let before = received_calls(&cluster, 0..RANKS);
        for number in 0..40 {
            assert!(
                call_in_time(&cluster, number).await,
                "call {number} while it hangs"
            );
        }
        let more = received_calls(&cluster, 0..RANKS) - before;
        assert_eq!(more, 0, "calls were sent to a group that does not step");
        set_hanging(&cluster, 1, false);
    };
    let (waited, ()) = tokio::join!(waiting, check);
    assert!(waited.iter().all(|complete| *complete), "{waited:?}");
    let before = received_calls(&cluster, 0..RANKS);
    // Single calls would all go to the other group, which is known to be idle.
    let returns = async {
        let mut number = 0;
        while received_calls(&cluster, 0..RANKS) == before {
            number += CONCURRENT_CALLS;
            let calls = (number..number + CONCURRENT_CALLS).map(|number| call(&cluster, number));
            let complete = futures::future::join_all(calls).await;
            assert!(
                complete.iter().all(|complete| *complete),
                "{complete:?} afterwards"
            );
        }
    };
    tokio::time::timeout(ANSWER_TIMEOUT, returns)
        .await
        .expect("the group gets calls again");
    stop.cancel();
    cluster.join().await;
}

/// Guards against calls that fail when the only group stalls: they must wait and be answered
/// when it steps again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn calls_wait_for_the_only_group() {
    let stop = CancellationToken::new();
    let cluster = start(&["a"], RANKS, &stop).await;
    assert!(call_in_time(&cluster, 0).await);
    set_hanging(&cluster, 1, true);
    let waiting = async {
        let calls = (0..4).map(|number| call(&cluster, number));
        futures::future::join_all(calls).await
    };
    let check = async {
        wait_stalled(&cluster).await;
        set_hanging(&cluster, 1, false);
    };
    let (waited, ()) = tokio::join!(waiting, check);
    assert!(waited.iter().all(|complete| *complete), "{waited:?}");
    stop.cancel();
    cluster.join().await;
}

/// Guards against a stall that is reported while the engine has no work, and against a stall
/// that is missed because this rank has no calls and only waits to be granted further steps.
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
        "work has just arrived"
    );
    assert!(stall.observe(&load(1, 9), seconds(10)), "work waits");
    assert!(!stall.observe(&load(0, 9), seconds(11)), "idle again");
    assert!(stall.observe(&load(0, 7), seconds(12)), "no grant");
    assert!(
        stall.observe(&Observation::Unreachable, seconds(12)),
        "an unreachable rank"
    );
}

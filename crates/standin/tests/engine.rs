//! The stand-in engine takes the time that its settings state.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt as _, Full};
use sesamerock_client::http::client::Client;
use sesamerock_standin::engine::{Engine, Settings, pace::Pace};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const STEP: Duration = Duration::from_millis(28);

/// Guards against a call that takes one step more than it has tokens: engines then
/// served a twentieth less than their settings state.
#[tokio::test]
async fn call_takes_one_step_per_token() {
    let stop = CancellationToken::new();
    let engine = Engine::start(Settings::default(), stop.clone())
        .await
        .expect("the engine starts");
    let body = r#"{"model":"chalk-7b","stream":true,"max_tokens":20,"prompt":"a"}"#;
    let request = Request::post(format!("http://{}/v1/completions", engine.address()))
        .body(Full::new(Bytes::from(body)))
        .expect("the request is valid");
    let response = Client::default()
        .send(request)
        .await
        .expect("the engine responds");
    let response = response
        .into_body()
        .collect()
        .await
        .expect("the response body is complete");
    let text = response.to_bytes();
    assert!(text.ends_with(b"data: [DONE]\n\n"), "{text:?}");
    let record = engine.record();
    assert_eq!((record.tokens, record.steps), (20, 20));
    stop.cancel();
}

/// Guards against the lateness of timers adding up over the steps.
#[test]
fn late_timers_do_not_slow_the_steps() {
    let mut pace = Pace::default();
    let begin = Instant::now();
    let mut now = begin;
    for _ in 0..100 {
        now = pace.next(now, STEP) + Duration::from_millis(1);
    }
    assert_eq!(now - begin, 100 * STEP + Duration::from_millis(1));
}

/// Guards against steps that are shorter than set after a pause of the machine or
/// after an idle time: a real engine does not compensate for either.
#[test]
fn pauses_and_idle_time_are_not_compensated() {
    let mut pace = Pace::default();
    let begin = Instant::now();
    let paused = pace.next(begin, STEP) + Duration::from_millis(50);
    assert_eq!(pace.next(paused, STEP), paused + STEP);
    pace.idle();
    let later = paused + STEP + Duration::from_millis(1);
    assert_eq!(pace.next(later, STEP), later + STEP);
}

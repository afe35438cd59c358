//! Load on a running system over real connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt as _, Full};
use sesamerock_client::http::client::Client;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// One finished request.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When it was due.
    pub start: Instant,
    /// Time from then to the whole answer.
    pub latency: Duration,
    /// Whether the whole answer came.
    pub ok: bool,
}

/// Returns a completion request, streamed, of so many tokens.
pub fn completion(entry: SocketAddr, number: usize, tokens: u64) -> Request<Full<Bytes>> {
    let body = format!(
        r#"{{"model":"{}","stream":true,"max_tokens":{tokens},"messages":[{{"role":"user","content":"request {number}"}}]}}"#,
        sesamerock::dev::MODEL
    );
    request("POST", &format!("http://{entry}/v1/chat/completions"), body)
}

/// Returns a look-up.
pub fn lookup(uri: &str) -> Request<Full<Bytes>> {
    request("GET", uri, String::new())
}

fn request(method: &str, uri: &str, body: String) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(uri)
        .header("x-workspace", "measure")
        .body(Full::from(body))
        .expect("the request is built from constants")
}

/// Sends one request and reads its whole answer; returns its length.
///
/// # Errors
/// Returns the status or the text of the failure.
pub async fn send(client: &Client, request: Request<Full<Bytes>>) -> Result<usize, String> {
    let response = client
        .send(request)
        .await
        .map_err(|error| error.to_string())?;
    let status = response.status();
    let mut body = response.into_body();
    let mut length = 0;
    let mut tail = Bytes::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        if let Ok(data) = frame.into_data() {
            length += data.len();
            tail = data;
        }
    }
    if status.is_success() {
        Ok(length)
    } else {
        Err(format!("{status} {}", String::from_utf8_lossy(&tail)))
    }
}

/// Sends requests at a fixed rate, however long the answers take, until `stop`
/// is set; then waits for all answers.
pub async fn open_loop(
    entries: Vec<SocketAddr>,
    rate: f64,
    tokens: u64,
    stop: Arc<AtomicBool>,
) -> Vec<Sample> {
    let client = Client::default();
    let (samples, mut collected) = mpsc::unbounded_channel();
    let begin = Instant::now();
    let mut tasks = JoinSet::new();
    for number in 0.. {
        let due = begin + Duration::from_secs_f64(number as f64 / rate);
        tokio::time::sleep_until(due.into()).await;
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let request = completion(entries[number % entries.len()], number, tokens);
        let client = client.clone();
        let samples = samples.clone();
        tasks.spawn(async move {
            let outcome = send(&client, request).await;
            if let Err(error) = &outcome {
                println!("measure=traffic failed_request={number} error={error:?}");
            }
            let sample = Sample {
                start: due,
                latency: due.elapsed(),
                ok: outcome.is_ok(),
            };
            samples
                .send(sample)
                .expect("the receiver outlives the tasks");
        });
    }
    while tasks.join_next().await.is_some() {}
    drop(samples);
    let mut all = Vec::new();
    while let Some(sample) = collected.recv().await {
        all.push(sample);
    }
    all
}

/// Keeps `width` requests in flight until `count` are answered; returns their
/// latencies and the bytes of all answers.
pub async fn closed_loop(
    width: usize,
    count: usize,
    pause: Duration,
    make: impl Fn(usize) -> Request<Full<Bytes>> + Send + Sync + 'static,
) -> (Vec<Duration>, usize, usize) {
    let client = Client::default();
    let make = Arc::new(make);
    let next = Arc::new(AtomicUsize::new(0));
    let mut tasks = JoinSet::new();
    for _ in 0..width {
        let (client, make, next) = (client.clone(), Arc::clone(&make), Arc::clone(&next));
        tasks.spawn(async move {
            let mut latencies = Vec::new();
            let (mut bytes, mut failed) = (0, 0);
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= count {
                    return (latencies, bytes, failed);
                }
                let begin = Instant::now();
                match send(&client, make(number)).await {
                    Ok(length) => {
                        latencies.push(begin.elapsed());
                        bytes += length;
                    }
                    Err(error) => {
                        failed += 1;
                        if failed == 1 && number < width {
                            println!("measure=traffic failed_request={number} error={error:?}");
                        }
                    }
                }
                if !pause.is_zero() {
                    tokio::time::sleep(pause).await;
                }
            }
        });
    }
    let mut all = (Vec::new(), 0, 0);
    while let Some(done) = tasks.join_next().await {
        let (latencies, bytes, failed) = done.expect("the task does not panic");
        all.0.extend(latencies);
        all.1 += bytes;
        all.2 += failed;
    }
    all
}

/// Returns a quantile of latencies in milliseconds.
pub fn quantile(latencies: &mut [Duration], q: f64) -> f64 {
    if latencies.is_empty() {
        return f64::NAN;
    }
    latencies.sort_unstable();
    let index = ((latencies.len() - 1) as f64 * q).round() as usize;
    latencies[index].as_secs_f64() * 1e3
}

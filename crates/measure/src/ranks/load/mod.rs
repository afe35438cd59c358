//! Random arrivals with the time to the first token of each answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use http_body_util::BodyExt as _;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;
use sesamerock_client::http::client::Client;
use tokio::task::JoinSet;

use crate::traffic::completion;

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// When it was due.
    pub due: Instant,
    /// Time from then to its first token.
    pub first: Option<Duration>,
    /// Whether the whole answer came.
    pub ok: bool,
}

/// Sends requests with exponential gaps, however long the answers take, until
/// `stop` is set; then waits for all answers.
pub async fn run(
    entries: Vec<SocketAddr>,
    rate: f64,
    tokens: u64,
    seed: u64,
    stop: Arc<AtomicBool>,
) -> Vec<Sample> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let client = Client::default();
    let mut tasks = JoinSet::new();
    let mut due = Instant::now();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        due += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
        tokio::time::sleep_until(due.into()).await;
        number += 1;
        let entry = entries[rng.random_range(0..entries.len())];
        tasks.spawn(call(client.clone(), entry, number, tokens, due));
    }
    tasks.join_all().await
}

async fn call(
    client: Client,
    entry: SocketAddr,
    number: usize,
    tokens: u64,
    due: Instant,
) -> Sample {
    let mut sample = Sample {
        due,
        first: None,
        ok: false,
    };
    let Ok(response) = client.send(completion(entry, number, tokens)).await else {
        return sample;
    };
    let ok = response.status().is_success();
    let mut body = response.into_body();
    let mut last = bytes::Bytes::new();
    while let Some(Ok(frame)) = body.frame().await {
        if let Ok(data) = frame.into_data() {
            sample.first.get_or_insert_with(|| due.elapsed());
            last = data;
        }
    }
    sample.ok = ok && last.ends_with(b"data: [DONE]\n\n");
    sample
}

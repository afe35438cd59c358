//! Look-ups and orders at a fixed rate.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use sesamerock::dev::SERVICE;
use sesamerock_client::http::client::Client;
use tokio::task::JoinSet;

use crate::traffic::{lookup, send};

/// Calls a second. With 100 ms a call, ten are in flight.
const RATE: u32 = 100;
/// Every such call is an order, with a key in turn.
const ORDER_EVERY: u64 = 10;

/// Load of one turn.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Entry to call.
    pub entry: SocketAddr,
    /// Time of the turn.
    pub length: Duration,
    /// Number of the first call; numbers are unique in a run.
    pub first: u64,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Calls sent.
    pub calls: u64,
    /// Latencies of the look-ups that were answered.
    pub lookups: Vec<Duration>,
    /// Orders answered.
    pub orders: u64,
    /// Calls that failed.
    pub failed: u64,
}

impl Outcome {
    /// Adds the outcome of another turn.
    pub fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.lookups.extend(other.lookups);
        self.orders += other.orders;
        self.failed += other.failed;
    }
}

/// Sends the calls, however long the answers take, and waits for all answers.
pub async fn run(plan: Plan) -> Outcome {
    let client = Client::default();
    let begin = Instant::now();
    let gap = Duration::from_secs(1) / RATE;
    let mut tasks = JoinSet::new();
    let mut due = begin;
    let mut number = plan.first;
    while due < begin + plan.length {
        tokio::time::sleep_until(due.into()).await;
        let is_order = number.is_multiple_of(ORDER_EVERY);
        let request = if is_order {
            order(plan.entry, number)
        } else {
            lookup(&uri(plan.entry, &format!("stock/{number}")))
        };
        let client = client.clone();
        tasks.spawn(async move { (is_order, send(&client, request).await, due.elapsed()) });
        due += gap;
        number += 1;
    }
    let mut outcome = Outcome {
        calls: number - plan.first,
        ..Outcome::default()
    };
    while let Some(done) = tasks.join_next().await {
        match done.expect("the task does not panic") {
            (true, Ok(_), _) => outcome.orders += 1,
            (false, Ok(_), latency) => outcome.lookups.push(latency),
            (_, Err(error), _) => {
                outcome.failed += 1;
                println!("measure=hedge failed error={error:?}");
            }
        }
    }
    outcome
}

fn uri(entry: SocketAddr, path: &str) -> String {
    format!("http://{entry}/services/{SERVICE}/{path}")
}

/// Returns an order; every other one has a key.
fn order(entry: SocketAddr, number: u64) -> Request<Full<Bytes>> {
    let mut request = Request::post(uri(entry, "orders")).header("x-workspace", "measure");
    if number.is_multiple_of(2 * ORDER_EVERY) {
        request = request.header("idempotency-key", format!("order-{number}"));
    }
    request
        .body(Full::from(format!("{{\"order\":{number}}}")))
        .expect("the request is built from constants")
}

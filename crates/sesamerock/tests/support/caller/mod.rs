//! Callers that put load on the entries and record the answers.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt as _, Full};
use sesamerock::dev::{MODEL, SERVICE};
use sesamerock_client::error::Error;
use sesamerock_client::http::client::Client;
use sesamerock_standin::engine;
use sesamerock_standin::service::Execution;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Attempts of a caller for one order, over several entries.
const ORDER_ATTEMPTS: usize = 6;
/// Pause between two attempts for one order.
const ORDER_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Counts and outcomes of the requests of all callers.
#[derive(Debug, Default)]
pub struct Record {
    /// Complete and correct answers.
    pub answers: AtomicU64,
    /// Requests without a complete and correct answer after all attempts.
    pub failed: AtomicU64,
    /// Answers with content of another request, or with missing or duplicate tokens.
    pub mixed: AtomicU64,
    /// Requests that were sent again because the connection to an entry failed.
    pub reconnects: AtomicU64,
    /// Longest time from request to complete answer, in milliseconds.
    pub slowest_ms: AtomicU64,
    /// Strongest outcome reported for each order, by the order's body.
    pub orders: Mutex<HashMap<String, OrderOutcome>>,
    /// Texts of the first failures, to explain a failed scenario.
    pub examples: Mutex<Vec<String>>,
}

/// Outcome of an order as reported to the caller, from weakest to strongest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderOutcome {
    /// The answer to every attempt stated that the order was not executed.
    NotExecuted,
    /// The order may have been executed.
    Unknown,
    /// The order was executed.
    Placed,
}

/// Type of request that a load consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Streamed completions.
    Model,
    /// Orders with the caller's key, sent again until placed.
    Order,
    /// Orders with a key that the system issued.
    Issued,
    /// Orders without a key, sent once.
    Unkeyed,
    /// GET requests to the plain service, which may be repeated.
    Lookup,
}

/// A caller that knows the addresses of all entries.
#[derive(Clone, Debug)]
pub struct Caller {
    pub client: Client,
    pub entries: Vec<SocketAddr>,
    pub record: Arc<Record>,
}

/// An HTTP answer whose body was received completely.
struct Answer {
    status: u16,
    body: String,
}

impl Caller {
    /// Sends requests at a rate until `stop` is set, and waits for all answers.
    pub async fn load(
        self,
        kind: Kind,
        rate: f64,
        tokens: u64,
        stop: Arc<AtomicBool>,
        tag: String,
    ) {
        let mut tasks = JoinSet::new();
        let start = Instant::now();
        for number in 0_u32.. {
            let due = start + Duration::from_secs_f64(f64::from(number) / rate);
            tokio::time::sleep_until(due).await;
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let caller = self.clone();
            let name = format!("{tag}-{number}");
            tasks.spawn(async move {
                match kind {
                    Kind::Model => caller.complete(&name, tokens, number as usize).await,
                    Kind::Order => caller.order(&name, &name, number as usize).await,
                    Kind::Issued => caller.order_with_issued_key(&name, number as usize).await,
                    Kind::Unkeyed => caller.order_without_key(&name, number as usize).await,
                    Kind::Lookup => caller.lookup(&name, number as usize).await,
                }
            });
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Requests a streamed completion and checks all its tokens. The first attempt goes to the
    /// entry with index `first`, modulo the number of entries.
    pub async fn complete(&self, prompt: &str, tokens: u64, first: usize) {
        let body = serde_json::json!({
            "model": MODEL, "stream": true, "max_tokens": tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let start = Instant::now();
        let answer = self.send_anywhere(first, |entry| {
            let uri = format!("http://{entry}/v1/chat/completions");
            post(&uri, None, body.to_string())
        });
        let expected = engine::answer(prompt, tokens);
        match answer.await {
            Ok(answer) if answer.status == 200 && text_of(&answer.body) == expected => {
                self.add_answer(start);
            }
            Ok(answer) if answer.status == 200 && answer.body.contains("[DONE]") => {
                self.record.mixed.fetch_add(1, Ordering::Relaxed);
                self.add_failure(format!("{prompt}: wrong tokens: {}", text_of(&answer.body)));
            }
            Ok(answer) => self.add_failure(format!("{prompt}: {} {}", answer.status, answer.body)),
            Err(error) => self.add_failure(format!("{prompt}: {error}")),
        }
    }

    /// Places an order under a key, and sends it again until an answer reports it as placed, at
    /// most `ORDER_ATTEMPTS` times.
    pub async fn order(&self, key: &str, body: &str, first: usize) {
        let start = Instant::now();
        let mut never_executed = true;
        for attempt in 0..ORDER_ATTEMPTS {
            let entry = self.entries[(first + attempt) % self.entries.len()];
            let request = post(&order_uri(entry), Some(key), body.to_owned());
            let outcome = match self.send(request).await {
                Ok(answer) => reported_outcome(&answer),
                Err(Error::NotSent(_)) => OrderOutcome::NotExecuted,
                Err(_) => OrderOutcome::Unknown,
            };
            never_executed &= outcome == OrderOutcome::NotExecuted;
            if outcome == OrderOutcome::Placed {
                self.record_outcome(body, OrderOutcome::Placed);
                return self.add_answer(start);
            }
            tokio::time::sleep(ORDER_RETRY_PAUSE).await;
        }
        self.record_outcome(
            body,
            if never_executed {
                OrderOutcome::NotExecuted
            } else {
                OrderOutcome::Unknown
            },
        );
    }

    /// Places an order under a key that the system issued.
    pub async fn order_with_issued_key(&self, body: &str, first: usize) {
        let uri = |entry| format!("http://{entry}/v1/keys?service={SERVICE}");
        let issued = self.send_anywhere(first, |entry| post(&uri(entry), None, String::new()));
        let key = issued.await.ok().and_then(|answer| {
            let issued: serde_json::Value = serde_json::from_str(&answer.body).ok()?;
            Some(issued.get("key")?.as_str()?.to_owned())
        });
        match key {
            Some(key) => self.order(&key, body, first).await,
            None => self.record_outcome(body, OrderOutcome::NotExecuted),
        }
    }

    /// Places an order without a key, once.
    pub async fn order_without_key(&self, body: &str, first: usize) {
        let start = Instant::now();
        let entry = self.entries[first % self.entries.len()];
        let outcome = match self
            .send(post(&order_uri(entry), None, body.to_owned()))
            .await
        {
            Ok(answer) => reported_outcome(&answer),
            Err(Error::NotSent(_)) => OrderOutcome::NotExecuted,
            Err(_) => OrderOutcome::Unknown,
        };
        self.record_outcome(body, outcome);
        if outcome == OrderOutcome::Placed {
            self.add_answer(start);
        }
    }

    async fn lookup(&self, name: &str, first: usize) {
        let start = Instant::now();
        let answer = self.send_anywhere(first, |entry| {
            Request::get(format!("http://{entry}/services/{SERVICE}/stock/{name}"))
                .body(Full::default())
                .expect("the request is well formed")
        });
        match answer.await {
            Ok(answer) if answer.status == 200 && answer.body.contains(name) => {
                self.add_answer(start);
            }
            Ok(answer) => self.add_failure(format!("{name}: {} {}", answer.status, answer.body)),
            Err(error) => self.add_failure(format!("{name}: {error}")),
        }
    }

    /// Sends a request that may be repeated. If an entry gives no complete answer, the request
    /// goes to the next entry.
    async fn send_anywhere(
        &self,
        first: usize,
        make: impl Fn(SocketAddr) -> Request<Full<Bytes>>,
    ) -> Result<Answer, Error> {
        let mut last = Error::NotSent("there is no entry".to_owned());
        for attempt in 0..self.entries.len() {
            let entry = self.entries[(first + attempt) % self.entries.len()];
            match self.send(make(entry)).await {
                Ok(answer) => return Ok(answer),
                Err(error) => last = error,
            }
            self.record.reconnects.fetch_add(1, Ordering::Relaxed);
        }
        Err(last)
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Answer, Error> {
        let response = self.client.send(request).await?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| Error::Unknown(error.to_string()))?;
        let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        Ok(Answer { status, body })
    }

    fn add_answer(&self, start: Instant) {
        self.record.answers.fetch_add(1, Ordering::Relaxed);
        let millis = start.elapsed().as_millis() as u64;
        self.record.slowest_ms.fetch_max(millis, Ordering::Relaxed);
    }

    fn add_failure(&self, example: String) {
        self.record.failed.fetch_add(1, Ordering::Relaxed);
        let mut examples = self.record.examples.lock().expect("no holder panics");
        if examples.len() < 5 {
            examples.push(example);
        }
    }

    fn record_outcome(&self, body: &str, outcome: OrderOutcome) {
        let mut orders = self.record.orders.lock().expect("no holder panics");
        // The same order may be sent by several callers; the strongest
        // outcome counts, because an order was not executed only if no caller got another answer.
        let strongest = orders.entry(body.to_owned()).or_insert(outcome);
        *strongest = (*strongest).max(outcome);
    }
}

impl Record {
    /// Returns the number of orders with an outcome.
    pub fn count_orders(&self, outcome: OrderOutcome) -> usize {
        let orders = self.orders.lock().expect("no holder panics");
        orders.values().filter(|other| **other == outcome).count()
    }

    /// Returns the number of orders that were executed although every answer stated that they
    /// were not.
    pub fn false_refusals(&self, executions: &[Execution]) -> usize {
        let executed: HashSet<_> = executions.iter().map(|e| e.body.as_str()).collect();
        let orders = self.orders.lock().expect("no holder panics");
        let refused = orders
            .iter()
            .filter(|(_, outcome)| **outcome == OrderOutcome::NotExecuted);
        refused
            .filter(|(body, _)| executed.contains(body.as_str()))
            .count()
    }

    /// Returns the number of orders that were reported as placed but not executed.
    pub fn lost(&self, executions: &[Execution]) -> usize {
        let executed: HashSet<_> = executions.iter().map(|e| e.body.as_str()).collect();
        let orders = self.orders.lock().expect("no holder panics");
        let placed = orders
            .iter()
            .filter(|(_, outcome)| **outcome == OrderOutcome::Placed);
        placed
            .filter(|(body, _)| !executed.contains(body.as_str()))
            .count()
    }
}

/// Returns the number of executions beyond the first of each body.
pub fn duplicate_executions(executions: &[Execution]) -> usize {
    let mut seen = HashSet::new();
    executions
        .iter()
        .filter(|execution| !seen.insert(execution.body.as_str()))
        .count()
}

fn order_uri(entry: SocketAddr) -> String {
    format!("http://{entry}/services/{SERVICE}/orders")
}

fn post(uri: &str, key: Option<&str>, body: String) -> Request<Full<Bytes>> {
    let mut request = Request::post(uri).header("x-workspace", "tests");
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    request
        .body(Full::from(body))
        .expect("the request is well formed")
}

fn reported_outcome(answer: &Answer) -> OrderOutcome {
    if (200..300).contains(&answer.status) {
        return OrderOutcome::Placed;
    }
    let document: serde_json::Value = serde_json::from_str(&answer.body).unwrap_or_default();
    match document
        .get("executed")
        .and_then(|executed| executed.as_str())
    {
        Some("no") => OrderOutcome::NotExecuted,
        _ => OrderOutcome::Unknown,
    }
}

/// Returns the concatenated content of all events of a completion stream.
fn text_of(stream: &str) -> String {
    stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
        .filter_map(|event| {
            let content = event.pointer("/choices/0/delta/content")?;
            Some(content.as_str()?.to_owned())
        })
        .collect()
}

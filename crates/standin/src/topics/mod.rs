//! Stand-in for the store: keyed topics, long-poll reads, restores from a copy and injected faults.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time::sleep;

use crate::task::Task;

type Topic = Vec<(String, Vec<u8>)>;

/// A copy of the records of a store, from which it may be restored.
#[derive(Clone, Debug)]
pub struct Copy(HashMap<String, Topic>);

#[derive(Debug, Default)]
struct State {
    topics: HashMap<String, Topic>,
    /// Records whose bytes a test has chosen, by topic and offset.
    raw: HashMap<(String, usize), Vec<u8>>,
    /// Number of times that the store was restored from a copy.
    era: u64,
    /// Status with which every call is refused, if set.
    refuse: Option<u16>,
    /// Whether records that are sent are refused.
    refuses_appends: bool,
    /// Whether long-poll reads miss records written while they wait.
    misses_awaited_records: bool,
    calls: u64,
    /// Whether the leadership is granted, and to whom until when.
    grants_leadership: bool,
    leader: Option<(String, Instant)>,
}

/// A running stand-in store.
#[derive(Clone, Debug)]
pub struct Store {
    /// Address that the store listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    _task: Arc<Task>,
}

impl Store {
    /// Starts an empty store on a port that the system chooses.
    ///
    /// # Errors
    /// Returns the error of the listener.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = Arc::clone(&shared);
                tokio::spawn(async move {
                    let service = service_fn(move |request| answer(request, Arc::clone(&state)));
                    let server = hyper::server::conn::http1::Builder::new();
                    // A client may close its connection at any time, so the error is ignored.
                    drop(server.serve_connection(TokioIo::new(stream), service).await);
                });
            }
        });
        Ok(Self {
            address,
            state,
            _task: Arc::new(Task(task)),
        })
    }

    /// Starts another store with a copy of the topics and with faults of its own.
    /// Later writes are not shared.
    ///
    /// # Errors
    /// Returns the error of the listener.
    pub async fn copy(&self) -> std::io::Result<Self> {
        let other = Self::start().await?;
        let topics = lock(&self.state).topics.clone();
        lock(&other.state).topics = topics;
        Ok(other)
    }

    /// Makes a copy of the records.
    pub fn back_up(&self) -> Copy {
        Copy(lock(&self.state).topics.clone())
    }

    /// Loses all that was written since a copy was made. Offsets are given out again.
    pub fn restore(&self, copy: Copy) {
        let mut state = lock(&self.state);
        state.topics = copy.0;
        state.era += 1;
    }

    /// Writes a record; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = lock(&self.state);
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.push((key.to_owned(), value.as_bytes().to_vec()));
    }

    /// Writes a record of any bytes, which need not hold a key.
    pub fn append(&self, topic: &str, record: Vec<u8>) {
        let mut state = lock(&self.state);
        let records = state.topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        records.push((String::new(), Vec::new()));
        state.raw.insert((topic.to_owned(), offset), record);
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let state = lock(&self.state);
        let mut topic = state.topics.get(topic)?.iter().rev();
        topic
            .find(|(known, _)| known == key)
            .map(|(_, value)| value.clone())
    }

    /// Refuses every call with a status; `None` ends the refusal.
    pub fn refuse(&self, status: Option<u16>) {
        lock(&self.state).refuse = status;
    }

    /// Refuses the records that others send, or ends that. [`Store::put`] goes on.
    pub fn refuse_appends(&self, refuses: bool) {
        lock(&self.state).refuses_appends = refuses;
    }

    /// Makes long-poll reads miss records written while they wait.
    pub fn miss_awaited_records(&self) {
        lock(&self.state).misses_awaited_records = true;
    }

    /// Grants the leadership from now on, to one claimant at a time.
    pub fn grant_leadership(&self) {
        lock(&self.state).grants_leadership = true;
    }

    /// Returns the number of calls received, including refused ones.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }
}

fn lock(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn answer(
    request: Request<Incoming>,
    state: Arc<Mutex<State>>,
) -> Result<Response<Full<Bytes>>, hyper::Error> {
    let query: HashMap<String, String> = request
        .uri()
        .query()
        .unwrap_or_default()
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await?.to_bytes();
    let refused = {
        let mut state = lock(&state);
        state.calls += 1;
        let refuses_append = state.refuses_appends && path == "/v1/log-append";
        state.refuse.or(refuses_append.then_some(503))
    };
    if let Some(status) = refused {
        return Ok(reply(&state, status, Vec::new()));
    }
    let topic = query.get("topic").cloned().unwrap_or_default();
    Ok(match path.as_str() {
        "/v1/log-newest" => {
            let body = newest(&lock(&state), &topic);
            reply(&state, 200, body)
        }
        "/v1/log-read" => match read(&state, &topic, &query).await {
            Some(body) => reply(&state, 200, body),
            None => reply(&state, 410, br#"{"first":0}"#.to_vec()),
        },
        "/v1/log-append" => {
            append(&mut lock(&state), topic, &body);
            reply(&state, 200, br#"{"offset":0,"end":1}"#.to_vec())
        }
        "/v1/log-leave" => reply(&state, 200, b"{}".to_vec()),
        "/v1/log-join" => {
            let body = join(&mut lock(&state), &body);
            reply(&state, 200, body)
        }
        _ => reply(&state, 404, Vec::new()),
    })
}

fn reply(state: &Mutex<State>, status: u16, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    let era = HeaderValue::from(lock(state).era);
    response.headers_mut().insert("store-era", era);
    response
}

fn newest(state: &State, topic: &str) -> Vec<u8> {
    let records = state.topics.get(topic).cloned().unwrap_or_default();
    let mut newest: HashMap<&str, (usize, &[u8])> = HashMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        newest.insert(key, (offset, value));
    }
    let kept = newest.iter().filter(|(_, (_, value))| !value.is_empty());
    let items: Vec<String> = kept
        .map(|(key, (offset, value))| {
            let value = BASE64_STANDARD.encode(value);
            format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
        })
        .collect();
    let end = records.len();
    format!(
        r#"{{"items":[{}],"truncated":false,"end":{end}}}"#,
        items.join(",")
    )
    .into_bytes()
}

/// Returns the records from an offset on, or `None` if it lies behind the end of the log.
async fn read(
    state: &Mutex<State>,
    topic: &str,
    query: &HashMap<String, String>,
) -> Option<Vec<u8>> {
    let number = |name: &str| query.get(name).and_then(|value| value.parse::<u64>().ok());
    let from = number("from").unwrap_or_default() as usize;
    let mut remaining_wait_ms = number("waitMs").unwrap_or_default();
    loop {
        {
            let state = lock(state);
            let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
            if from > records.len() {
                return None;
            }
            let misses = state.misses_awaited_records && remaining_wait_ms > 0;
            if (records.len() > from && !misses) || remaining_wait_ms == 0 {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (offset, (key, value)) in records.iter().enumerate().skip(from) {
                    if let Some(record) = state.raw.get(&(topic.to_owned(), offset)) {
                        body.extend((record.len() as u32).to_be_bytes());
                        body.extend(record);
                        continue;
                    }
                    body.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return Some(body);
            }
        }
        sleep(Duration::from_millis(10)).await;
        remaining_wait_ms = remaining_wait_ms.saturating_sub(10);
    }
}

fn join(state: &mut State, body: &[u8]) -> Vec<u8> {
    let claim: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let member = claim["member"].as_str().unwrap_or_default();
    let now = Instant::now();
    let other = state.leader.as_ref();
    let is_held = other.is_some_and(|(leader, until)| leader != member && *until > now);
    if is_held || !state.grants_leadership {
        return br#"{"generation":1,"ttlMs":1500,"parts":[]}"#.to_vec();
    }
    state.leader = Some((member.to_owned(), now + Duration::from_millis(1_500)));
    let topic = &claim["topics"][0];
    format!(r#"{{"generation":1,"ttlMs":1500,"parts":[[{topic},0,null]]}}"#).into_bytes()
}

fn append(state: &mut State, topic: String, body: &[u8]) {
    let Some((length, rest)) = body.split_at_checked(4) else {
        return;
    };
    let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]) as usize;
    let record = &rest[..length];
    let key = usize::from(record[0]);
    let name = String::from_utf8_lossy(&record[1..=key]).into_owned();
    let topic = state.topics.entry(topic).or_default();
    topic.push((name, record[1 + key..].to_vec()));
}

/// Repeatability of the calls of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Calls may be executed more than once.
    Safe,
    /// Calls are executed at most once.
    Unsafe,
    /// Responses are event streams.
    Stream {
        /// Whether another upstream can resume a broken stream.
        resumable: bool,
    },
}

/// A route in the operators' table.
#[derive(Clone, Debug)]
pub struct Route<'a> {
    /// Name of the route, which is also the first segment of its paths.
    pub name: String,
    /// Host that callers send.
    pub host: &'a str,
    /// Whether and how calls may be repeated.
    pub kind: Kind,
    /// Timeout of a call.
    pub timeout: Duration,
}

impl Route<'_> {
    fn json(&self) -> String {
        let Self { name, host, .. } = self;
        let (kind, more) = match self.kind {
            Kind::Safe => ("safe", ""),
            Kind::Unsafe => ("unsafe", ""),
            Kind::Stream { resumable: true } => {
                ("streaming", r#","resumable":true,"targetGapMs":120"#)
            }
            Kind::Stream { resumable: false } => ("streaming", ""),
        };
        let timeout = self.timeout.as_millis();
        format!(
            r#"{{"name":"{name}","host":"{host}","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":{timeout},"targetLatencyMs":200,"priority":1,"service":"s","maxAttempts":2{more}}}"#
        )
    }
}

/// Returns a version of the operators' table with these routes to the service `s`, and one
/// workspace with the key `key-1`.
pub fn table(version: u64, routes: &[Route<'_>]) -> String {
    let routes: Vec<String> = routes.iter().map(Route::json).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"s","healthPath":"/h","maxConns":100,"coldStartS":0,"coldPerS":0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"school","apiKeys":["key-1"]}}]}}"#,
        routes.join(",")
    )
}

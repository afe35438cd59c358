//! Stand-in for the platform: log service, VM list and weight store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use sesamerock_client::http::body::{self, Body};
use sesamerock_client::http::server::{self, Handler};
use sesamerock_client::log::{AppendRequest, AppendResponse, EncodedRecord, ReadResponse};
use sesamerock_client::vms::Vm;
use sesamerock_client::weights::Transfer;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::reply;

/// Longest request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Behaviour of the stand-in that a test may change while it runs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Whether every request fails.
    pub down: bool,
    /// Delay of each response.
    pub delay: Duration,
    /// Number of next appends whose response is aborted after they took effect.
    pub lost_appends: usize,
    /// Records that each stream keeps.
    pub retain: usize,
    /// Bandwidth of the weight store, in bytes per second.
    pub weight_rate: u64,
    /// Whether the weight store refuses every transfer.
    pub weights_refused: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            down: false,
            delay: Duration::from_millis(2),
            lost_appends: 0,
            retain: usize::MAX,
            weight_rate: u64::MAX,
            weights_refused: false,
        }
    }
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: Vec<Vec<u8>>,
}

impl Stream {
    fn head(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn trim(&mut self, retain: usize) {
        let excess = self.records.len().saturating_sub(retain);
        self.records.drain(..excess);
        self.first += excess as u64;
    }
}

#[derive(Debug)]
struct State {
    settings: Settings,
    streams: BTreeMap<String, Stream>,
    vms: Vec<Vm>,
    appends: u64,
    weights_free_at: Instant,
    transfers_refused: u64,
}

/// A running stand-in platform.
#[derive(Clone, Debug)]
pub struct Platform {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

impl Platform {
    /// Starts the stand-in on a port that the system chooses.
    ///
    /// # Errors
    /// Returns the error of the listener.
    pub async fn start(settings: Settings, stop: CancellationToken) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let platform = Self {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State {
                settings,
                streams: BTreeMap::new(),
                vms: Vec::new(),
                appends: 0,
                weights_free_at: Instant::now(),
                transfers_refused: 0,
            })),
            changed: watch::Sender::new(0),
        };
        let handler = Arc::new(platform.clone());
        tokio::spawn(server::serve(
            listener,
            server::Settings::default(),
            handler,
            stop,
        ));
        Ok(platform)
    }

    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the settings, and trims all streams to a new retention limit.
    pub fn configure(&self, change: impl FnOnce(&mut Settings)) {
        let mut state = self.lock();
        change(&mut state.settings);
        let retain = state.settings.retain;
        for stream in state.streams.values_mut() {
            stream.trim(retain);
        }
        drop(state);
        self.notify();
    }

    /// Replaces the VM list.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.lock().vms = vms;
    }

    /// Returns the number of append requests that took effect.
    pub fn appends(&self) -> u64 {
        self.lock().appends
    }

    /// Returns the number of transfers that the weight store refused.
    pub fn transfers_refused(&self) -> u64 {
        self.lock().transfers_refused
    }

    /// Returns the records of a stream with their offsets.
    pub fn records(&self, stream: &str) -> Vec<(u64, Vec<u8>)> {
        let state = self.lock();
        let Some(stream) = state.streams.get(stream) else {
            return Vec::new();
        };
        (stream.first..)
            .zip(stream.records.iter().cloned())
            .collect()
    }

    /// Drops the newest records of a stream, to simulate a log that lost its tail.
    pub fn lose_tail(&self, stream: &str, records: usize) {
        if let Some(stream) = self.lock().streams.get_mut(stream) {
            let keep = stream.records.len().saturating_sub(records);
            stream.records.truncate(keep);
        }
        self.notify();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn append(&self, stream: &str, append: &AppendRequest) -> Response<Body> {
        let records: Result<Vec<_>, _> = append
            .records
            .iter()
            .map(|record| STANDARD.decode(record))
            .collect();
        let Ok(records) = records else {
            return reply::text(StatusCode::BAD_REQUEST, "records are not base64");
        };
        let mut state = self.lock();
        let retain = state.settings.retain;
        let lost = state.settings.lost_appends > 0;
        state.settings.lost_appends = state.settings.lost_appends.saturating_sub(1);
        state.appends += 1;
        let stream = state.streams.entry(stream.to_owned()).or_default();
        let first_offset = stream.head();
        stream.records.extend(records);
        stream.trim(retain);
        drop(state);
        self.notify();
        if lost {
            return aborted();
        }
        reply::json(StatusCode::OK, &AppendResponse { first_offset })
    }

    fn page(&self, stream: &str, from: u64, max: usize) -> ReadResponse {
        let state = self.lock();
        let Some(stream) = state.streams.get(stream) else {
            return ReadResponse {
                first: 0,
                head: 0,
                records: Vec::new(),
            };
        };
        let from = from.max(stream.first);
        let skip = usize::try_from(from - stream.first).unwrap_or(usize::MAX);
        let records = (from..)
            .zip(stream.records.iter().skip(skip).take(max))
            .map(|(offset, record)| EncodedRecord {
                offset,
                record: STANDARD.encode(record),
            })
            .collect();
        ReadResponse {
            first: stream.first,
            head: stream.head(),
            records,
        }
    }

    async fn read(&self, stream: &str, query: &str) -> Response<Body> {
        let number = |name| reply::parameter(query, name).and_then(|value| value.parse().ok());
        let from = number("from").unwrap_or(0);
        let max = usize::try_from(number("max").unwrap_or(1_000)).unwrap_or(1_000);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            changed.borrow_and_update();
            if self.lock().settings.down {
                return aborted();
            }
            let page = self.page(stream, from, max);
            // A head below the requested offset is returned at once too: it means that
            // the log lost its tail.
            let idle = page.records.is_empty() && page.head >= from;
            let timed_out = idle
                && tokio::time::timeout_at(deadline, changed.changed())
                    .await
                    .is_err();
            if !idle || timed_out {
                return reply::json(StatusCode::OK, &page);
            }
        }
    }

    fn reserve(&self, transfer: &Transfer) -> Response<Body> {
        let mut state = self.lock();
        let now = Instant::now();
        let start = state.weights_free_at.max(now);
        // Up to one second of backlog is accepted, as a burst allowance.
        if state.settings.weights_refused || start - now > Duration::from_secs(1) {
            state.transfers_refused += 1;
            return reply::text(
                StatusCode::TOO_MANY_REQUESTS,
                "the weight store is at its limit",
            );
        }
        let seconds = transfer.bytes as f64 / state.settings.weight_rate as f64;
        state.weights_free_at = start + Duration::from_secs_f64(seconds);
        reply::json(StatusCode::OK, transfer)
    }

    async fn route(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, content) = request.into_parts();
        let path = parts.uri.path().to_owned();
        let query = parts.uri.query().unwrap_or_default().to_owned();
        if let (&Method::GET, Some(stream)) = (&parts.method, path.strip_prefix("/log/")) {
            return self.read(stream, &query).await;
        }
        if (&parts.method, path.as_str()) == (&Method::GET, "/vms") {
            return reply::json(StatusCode::OK, &self.lock().vms);
        }
        let Ok(content) = body::collect(content, MAX_BODY_BYTES).await else {
            return reply::text(StatusCode::BAD_REQUEST, "the body broke off or is too long");
        };
        if let Some(stream) = path.strip_prefix("/log/") {
            return match serde_json::from_slice(&content) {
                Ok(append) => self.append(stream, &append),
                Err(_) => reply::text(StatusCode::BAD_REQUEST, "expected {\"records\": [..]}"),
            };
        }
        if path == "/weights/transfers" {
            return match serde_json::from_slice(&content) {
                Ok(transfer) => self.reserve(&transfer),
                Err(_) => reply::text(StatusCode::BAD_REQUEST, "expected a transfer"),
            };
        }
        reply::text(StatusCode::NOT_FOUND, "no such path")
    }
}

impl Handler for Platform {
    async fn handle(&self, _peer: SocketAddr, request: Request<Incoming>) -> Response<Body> {
        let (down, delay) = {
            let state = self.lock();
            (state.settings.down, state.settings.delay)
        };
        if down {
            return aborted();
        }
        tokio::time::sleep(delay).await;
        self.route(request).await
    }
}

/// Makes a response that is aborted before any content, so that the client cannot
/// know whether its request took effect.
fn aborted() -> Response<Body> {
    let (sender, body) = Body::stream();
    let sent = sender.try_send(body::Chunk::Abort);
    debug_assert!(sent.is_ok(), "a fresh channel has room");
    Response::new(body)
}

//! Stand-in for a model engine with continuous batching.
//!
//! Each token it generates names the request's prompt and the token's
//! position, so that a test detects lost and duplicate tokens and those of
//! another request.

mod batch;
mod cache;
mod command;
mod completion;
mod experts;
pub mod group;
pub mod pace;
mod settings;
mod text;

pub use settings::Settings;
pub use text::{answer, tag, token};

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use sesamerock_client::engine::prompt::Prompt;
use sesamerock_client::engine::{FencedCommand, Load};
use sesamerock_client::http::body::{self, Body};
use sesamerock_client::http::server::{self, Handler};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::reply;
use batch::Batch;
use cache::Cache;
use pace::Pace;

/// Longest request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Most blocks of a prompt that are cached.
const MAX_PROMPT_BLOCKS: usize = 1_024;

/// A prompt that contains this text crashes the engine that runs it.
pub const POISON: &str = "poison-pill";

/// Counters of the engine's activity, for assertions in tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// Calls accepted.
    pub calls: u64,
    /// Calls that arrived while the calls present exceeded the current capacity.
    pub over_capacity: u64,
    /// Highest number of calls present at once.
    pub peak: usize,
    /// Number of crashes.
    pub crashes: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Steps run.
    pub steps: u64,
    /// Calls aborted because the last model in memory was dropped.
    pub cut: u64,
    /// When the last call arrived.
    pub last_call: Option<Instant>,
    /// Blocks of the prompts that began to run.
    pub prompt_blocks: u64,
    /// Those of them that were in the prefix cache.
    pub cached_blocks: u64,
}

#[derive(Debug)]
struct State {
    settings: Settings,
    batch: Batch,
    cache: Cache,
    record: Record,
    incarnation: u64,
    warm_at: u64,
    highest_fence: u64,
    commands: Vec<FencedCommand>,
    /// Models being loaded, as `name@version`.
    loading: Vec<String>,
    adapters: Vec<String>,
    /// Set if the engine is part of a group.
    rank: Option<group::Rank>,
}

impl State {
    fn in_cold_start(&self) -> bool {
        self.record.tokens < self.warm_at
    }

    fn capacity(&self) -> usize {
        let capacity = if self.in_cold_start() {
            self.settings.cold_capacity
        } else {
            self.settings.capacity
        };
        if self.loading.is_empty() {
            capacity
        } else {
            capacity.min(self.settings.loading_capacity)
        }
    }

    /// Returns whether some version of a model is in memory; a call that names
    /// no model runs on any.
    fn holds(&self, model: &str) -> bool {
        let names = |loaded: &String| loaded.split('@').next() == Some(model);
        model.is_empty() || self.settings.models.iter().any(names)
    }

    /// Returns how many more models fit in memory, beside those loaded or loading.
    fn room(&self) -> usize {
        let held = self.settings.models.len() + self.loading.len();
        self.settings.room.saturating_sub(held)
    }

    fn crash(&mut self) {
        self.batch.abort();
        self.incarnation += 1;
        self.record.crashes += 1;
        self.warm_at = self.record.tokens + self.settings.cold_tokens;
        self.highest_fence = 0;
        self.loading.clear();
        self.cache.restart();
        self.rank = self.rank.as_ref().map(group::Rank::restarted);
    }

    fn step_time(&self) -> Duration {
        let computed = self.batch.prefill(self.settings.prefill_blocks) as u32;
        let prefill = self.settings.prefill_per_block * computed;
        let calls = self.settings.step_per_call * self.batch.running() as u32;
        (self.settings.step + calls + prefill).mul_f64(self.settings.slowdown)
    }
}

/// A running stand-in engine.
#[derive(Clone, Debug)]
pub struct Engine {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    arrived: Arc<Notify>,
    granted: Arc<Notify>,
}

impl Engine {
    /// Starts the stand-in on a port that the system chooses.
    ///
    /// # Errors
    /// Returns the error of the listener.
    pub async fn start(settings: Settings, stop: CancellationToken) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let warm_at = settings.cold_tokens;
        let state = State {
            settings,
            batch: Batch::default(),
            cache: Cache::default(),
            record: Record::default(),
            incarnation: 1,
            warm_at,
            highest_fence: 0,
            commands: Vec::new(),
            loading: Vec::new(),
            adapters: Vec::new(),
            rank: None,
        };
        let engine = Self {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(state)),
            arrived: Arc::new(Notify::new()),
            granted: Arc::new(Notify::new()),
        };
        let handler = Arc::new(engine.clone());
        tokio::spawn(server::serve(
            listener,
            server::Settings::default(),
            handler,
            stop.clone(),
        ));
        let stepping = engine.clone();
        tokio::spawn(async move { stop.run_until_cancelled(stepping.run()).await });
        Ok(engine)
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether the engine has a version of the model in memory and is not
    /// loading any model, which would lower its capacity.
    pub fn serves(&self, model: &str) -> bool {
        let state = self.lock();
        state.holds(model) && state.loading.is_empty()
    }

    /// Returns the models in memory, as `name@version`.
    pub fn models(&self) -> Vec<String> {
        self.lock().settings.models.clone()
    }

    /// Changes the settings while the engine runs.
    pub fn configure(&self, change: impl FnOnce(&mut Settings)) {
        change(&mut self.lock().settings);
        // Wakes a group that waits for this rank, which may have hung until now.
        self.granted.notify_one();
    }

    /// Puts the engine back into its cold start without a new incarnation, so that no
    /// report shows it.
    pub fn begin_cold_start(&self) {
        let mut state = self.lock();
        state.warm_at = state.record.tokens + state.settings.cold_tokens;
    }

    /// Crashes the engine: every call is aborted, and the next incarnation begins with
    /// a cold start.
    pub fn crash(&self) {
        self.lock().crash();
    }

    /// Drops the next `events` cache events, so that readers see a gap.
    pub fn lose_events(&self, events: u64) {
        self.lock().cache.lose(events);
    }

    /// Publishes the next `events` cache events in a form that cannot be parsed.
    pub fn break_events(&self, events: u64) {
        self.lock().cache.break_events(events);
    }

    /// Returns the number of blocks in the prefix cache.
    pub fn cached(&self) -> usize {
        self.lock().cache.len()
    }

    /// Returns a copy of the counters.
    pub fn record(&self) -> Record {
        self.lock().record
    }

    /// Returns the numbers of running calls and of calls queued in the engine.
    pub fn occupancy(&self) -> (usize, usize) {
        let state = self.lock();
        (state.batch.running(), state.batch.waiting())
    }

    /// Returns the accepted commands, oldest first.
    pub fn commands(&self) -> Vec<FencedCommand> {
        self.lock().commands.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Steps the batch in an endless loop. Ranks of a group are stepped by
    /// [`group::Group`] instead.
    async fn run(self) {
        let mut pace = Pace::default();
        loop {
            let pause = {
                self.admit();
                let state = self.lock();
                let steps = state.batch.running() > 0 && state.rank.is_none();
                steps.then(|| state.step_time())
            };
            let Some(pause) = pause else {
                pace.idle();
                self.arrived.notified().await;
                continue;
            };
            let due = pace.next(tokio::time::Instant::now(), pause);
            tokio::time::sleep_until(due).await;
            self.advance();
        }
    }

    fn admit(&self) {
        let mut state = self.lock();
        let capacity = state.capacity();
        let State {
            batch,
            cache,
            record,
            ..
        } = &mut *state;
        batch.admit(capacity, |blocks| {
            let matched = cache.matched(blocks);
            record.prompt_blocks += blocks.len() as u64;
            record.cached_blocks += matched as u64;
            matched
        });
    }

    fn advance(&self) {
        let mut state = self.lock();
        let burst = state.settings.tokens_per_step;
        let State {
            batch,
            cache,
            settings,
            ..
        } = &mut *state;
        batch.compute(settings.prefill_blocks, |blocks| {
            cache.store(blocks, settings.cache_blocks);
        });
        let step = batch.step(burst);
        state.record.steps += 1;
        state.record.tokens += step.tokens;
        if step.poisoned {
            state.crash();
        }
    }

    fn load(&self) -> Load {
        let state = self.lock();
        let running = state.batch.running();
        let mut load = Load {
            incarnation: state.incarnation,
            running: running as u32,
            waiting: state.batch.waiting() as u32,
            step_us: state.step_time().as_micros() as u32,
            models: state.settings.models.clone(),
            loading: state.loading.clone(),
            room: Some(state.room() as u32),
            adapters: state.adapters.clone(),
            fence: state.highest_fence,
            ..Load::default()
        };
        if let Some(rank) = &state.rank {
            rank.report(&mut load, state.settings.reports_own_step);
        }
        load
    }
}

impl Engine {
    /// Handles `/cache/events?after=SEQUENCE`.
    fn cache_events(&self, query: &str) -> Response<Body> {
        let state = self.lock();
        let Some(lag) = state.settings.event_lag else {
            return reply::text(StatusCode::NOT_FOUND, "no events are published");
        };
        let after = query.strip_prefix("after=");
        let Some(after) = after.and_then(|after| after.parse().ok()) else {
            return reply::text(StatusCode::BAD_REQUEST, "expected ?after=SEQUENCE");
        };
        let events = state.cache.events(after, lag, state.incarnation);
        reply::json(StatusCode::OK, &events)
    }
}

impl Handler for Engine {
    async fn handle(&self, _peer: SocketAddr, request: Request<Incoming>) -> Response<Body> {
        let (parts, content) = request.into_parts();
        if parts.uri.path() == "/load" {
            return reply::json(StatusCode::OK, &self.load());
        }
        if parts.uri.path() == "/cache/events" {
            return self.cache_events(parts.uri.query().unwrap_or_default());
        }
        if let Some(answer) = self.read_experts(parts.uri.path()) {
            return answer;
        }
        let Ok(content) = body::collect(content, MAX_BODY_BYTES).await else {
            return reply::text(StatusCode::BAD_REQUEST, "the body broke off or is too long");
        };
        match parts.uri.path() {
            "/v1/chat/completions" | "/v1/completions" => match serde_json::from_slice(&content) {
                Ok(request) => {
                    let prompt = Prompt::parse(&content).unwrap_or_default();
                    self.complete(&request, prompt.block_hashes(MAX_PROMPT_BLOCKS))
                }
                Err(_) => reply::text(StatusCode::BAD_REQUEST, "expected a completion request"),
            },
            "/commands" => match serde_json::from_slice(&content) {
                Ok(command) => self.execute(command),
                Err(_) => reply::text(StatusCode::BAD_REQUEST, "expected an order"),
            },
            _ => reply::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

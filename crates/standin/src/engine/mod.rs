//! Stand-in for a model engine with continuous batching.
//!
//! Each token it generates names the request's prompt and the token's
//! position, so that a caller can tell a lost, doubled or foreign token.

mod batch;
mod cache;
mod experts;
pub mod group;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Deserialize;
use sesamerock_platform::engine::prompt::Prompt;
use sesamerock_platform::engine::{Command, Load, Order, Window};
use sesamerock_platform::http::body::{self, Body};
use sesamerock_platform::http::server::{self, Handler};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::reply;
use batch::{Batch, Sequence};
use cache::Cache;

/// Longest request body, in bytes.
const BODY_BYTES: usize = 4 << 20;
/// Most blocks of a prompt that are cached.
const PROMPT_BLOCKS: usize = 1_024;

/// A prompt with this word kills the engine that runs it.
pub const POISON: &str = "poison-pill";

/// Behaviour of the stand-in that a test may change while it runs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Duration of a step without calls.
    pub step: Duration,
    /// Addition to the step time for each call in the batch.
    pub step_per_call: Duration,
    /// Factor on the step time, by which a rank of a group falls behind.
    pub slowdown: f64,
    /// Whether a rank of a group hangs, so that the group does not step.
    pub hangs: bool,
    /// Whether a rank reports its own step time.
    pub tells_own_step: bool,
    /// Tokens that each call gets per step. More than one makes a fast engine,
    /// since timers resolve a millisecond.
    pub tokens_per_step: u64,
    /// Calls that run at once; more wait inside the engine.
    pub capacity: usize,
    /// Calls that run at once in cold start.
    pub cold_capacity: usize,
    /// Tokens that the engine generates until it is warm.
    pub cold_tokens: u64,
    /// Calls present, as a multiple of the current capacity, at which the
    /// engine falls over.
    pub collapse: usize,
    /// Models loaded, as `name@version`.
    pub models: Vec<String>,
    /// Models that fit in memory.
    pub room: usize,
    /// Time to fetch a model and warm it up.
    pub load_time: Duration,
    /// Calls that run at once while a model loads, if fewer than otherwise:
    /// weights on their way take bandwidth and memory from running calls.
    pub loading_capacity: usize,
    /// Time to stage an expert map.
    pub staging: Duration,
    /// Whether an order with an old fencing token is refused.
    pub checks_fencing: bool,
    /// Blocks of prompts that fit in the prefix cache.
    pub cache_blocks: usize,
    /// Addition to a step for each block of a prompt that it computes.
    pub prefill_per_block: Duration,
    /// Most blocks of prompts that one step computes.
    pub prefill_blocks: usize,
    /// Time after which a cache event can be read; without it none are published.
    pub event_lag: Option<Duration>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            step: Duration::from_millis(2),
            step_per_call: Duration::from_micros(50),
            slowdown: 1.0,
            hangs: false,
            tells_own_step: true,
            tokens_per_step: 1,
            capacity: 32,
            cold_capacity: 2,
            cold_tokens: 200,
            collapse: 4,
            models: vec!["chalk-7b@1".to_owned()],
            room: 2,
            load_time: Duration::ZERO,
            loading_capacity: usize::MAX,
            staging: Duration::from_millis(20),
            checks_fencing: true,
            cache_blocks: 4_096,
            prefill_per_block: Duration::from_millis(1),
            prefill_blocks: 16,
            event_lag: Some(Duration::ZERO),
        }
    }
}

/// Counters for checks from the outside.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// Calls accepted.
    pub calls: u64,
    /// Calls present above the capacity of the moment when they arrived.
    pub over_capacity: u64,
    /// Highest number of calls present at once.
    pub peak: usize,
    /// Times the engine died.
    pub crashes: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Calls that broke off since the last version of their model was dropped.
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
    commands: Vec<Order>,
    /// Models on their way into memory, as `name@version`.
    loading: Vec<String>,
    adapters: Vec<String>,
    /// Set if the engine is part of a group.
    rank: Option<group::Rank>,
}

impl State {
    fn cold(&self) -> bool {
        self.record.tokens < self.warm_at
    }

    fn capacity(&self) -> usize {
        let capacity = if self.cold() {
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

    /// Returns the models that fit beside those in memory.
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

#[derive(Debug, Deserialize)]
struct Completion {
    #[serde(default)]
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    stream: bool,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
    #[serde(default)]
    resume: Option<Resume>,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

#[derive(Debug, Deserialize)]
struct Resume {
    tokens: u64,
    text: String,
}

const fn default_tokens() -> u64 {
    16
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

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns whether it serves a model at its full rate: it holds a version,
    /// and none is on its way.
    pub fn serves(&self, model: &str) -> bool {
        let state = self.lock();
        state.holds(model) && state.loading.is_empty()
    }

    /// Returns the models in memory, as `name@version`.
    pub fn models(&self) -> Vec<String> {
        self.lock().settings.models.clone()
    }

    /// Changes its behaviour.
    pub fn configure(&self, change: impl FnOnce(&mut Settings)) {
        change(&mut self.lock().settings);
        // A group waits for a rank that hangs.
        self.granted.notify_one();
    }

    /// Turns the engine cold without notice and without a new incarnation.
    pub fn cool(&self) {
        let mut state = self.lock();
        state.warm_at = state.record.tokens + state.settings.cold_tokens;
    }

    /// Kills the engine: every call breaks off, and it starts anew, cold.
    pub fn crash(&self) {
        self.lock().crash();
    }

    /// Loses the next cache events, so that readers see a gap.
    pub fn lose_events(&self, events: u64) {
        self.lock().cache.lose(events);
    }

    /// Publishes the next cache events in a form that cannot be read.
    pub fn break_events(&self, events: u64) {
        self.lock().cache.break_events(events);
    }

    /// Returns the number of blocks in the prefix cache.
    pub fn cached(&self) -> usize {
        self.lock().cache.len()
    }

    /// Returns its counters.
    pub fn record(&self) -> Record {
        self.lock().record
    }

    /// Returns the calls that run and those that wait for room inside.
    pub fn occupancy(&self) -> (usize, usize) {
        let state = self.lock();
        (state.batch.running(), state.batch.waiting())
    }

    /// Returns the orders it accepted, in order.
    pub fn commands(&self) -> Vec<Order> {
        self.lock().commands.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Steps the batch for ever; each step gives each running call one token.
    /// The ranks of a group are stepped by the group.
    async fn run(self) {
        loop {
            let pause = {
                self.admit();
                let state = self.lock();
                let steps = state.batch.running() > 0 && state.rank.is_none();
                steps.then(|| state.step_time())
            };
            let Some(pause) = pause else {
                self.arrived.notified().await;
                continue;
            };
            tokio::time::sleep(pause).await;
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
            rank.report(&mut load, state.settings.tells_own_step);
        }
        load
    }

    fn complete(&self, request: &Completion, blocks: Vec<u64>) -> Response<Body> {
        let prompt = request
            .messages
            .iter()
            .map(|message| message.content.as_str())
            .chain([request.prompt.as_str()])
            .collect::<String>();
        let tag = tag(&prompt);
        let start = request.resume.as_ref().map_or(0, |resume| resume.tokens);
        if let Some(resume) = &request.resume {
            let expected: String = (0..resume.tokens).map(|n| token(&tag, n)).collect();
            if resume.text != expected {
                return reply::text(
                    StatusCode::BAD_REQUEST,
                    "the text to resume from is not ours",
                );
            }
        }
        let (sender, body) = Body::stream();
        let sequence = Sequence {
            sender,
            tag,
            next: start,
            end: request.max_tokens,
            streamed: request.stream,
            poisoned: prompt.contains(POISON),
            text: String::new(),
            blocks,
            computed: 0,
        };
        let mut state = self.lock();
        if !state.holds(&request.model) {
            return reply::text(StatusCode::NOT_FOUND, "the model is not loaded");
        }
        state.record.calls += 1;
        state.record.last_call = Some(Instant::now());
        state.batch.push(sequence);
        let present = state.batch.running() + state.batch.waiting();
        state.record.peak = state.record.peak.max(present);
        if present > state.capacity() {
            state.record.over_capacity += 1;
        }
        if present > state.capacity() * state.settings.collapse {
            state.crash();
        }
        drop(state);
        self.arrived.notify_one();
        let kind = if request.stream {
            "text/event-stream"
        } else {
            "application/json"
        };
        reply::with_type(StatusCode::OK, kind, body)
    }

    fn obey(&self, order: Order) -> Response<Body> {
        let mut state = self.lock();
        if state.settings.checks_fencing && order.fence < state.highest_fence {
            return reply::text(StatusCode::CONFLICT, "the fencing token is old");
        }
        state.highest_fence = state.highest_fence.max(order.fence);
        match &order.command {
            Command::LoadModel { model, version } => {
                let name = format!("{model}@{version}");
                let held = state.settings.models.contains(&name) || state.loading.contains(&name);
                if !held && state.room() == 0 {
                    return reply::text(StatusCode::INSUFFICIENT_STORAGE, "no room for the model");
                }
                if !held {
                    self.fetch(&mut state, name);
                }
            }
            Command::DropModel { model, version } => {
                let name = format!("{model}@{version}");
                state.settings.models.retain(|loaded| *loaded != name);
                // Blocks of two versions have the same names.
                state.cache.drop_all();
                if state.settings.models.is_empty() {
                    let present = state.batch.running() + state.batch.waiting();
                    state.record.cut += present as u64;
                    state.batch.abort();
                }
            }
            Command::StageMap { map, placement } => {
                let placement = placement.as_ref();
                let bound = state.rank.as_mut().map(|rank| rank.bind(*map, placement));
                if let Some(Err(reason)) = bound {
                    return reply::text(StatusCode::CONFLICT, reason);
                }
                self.stage(*map, state.incarnation, state.settings.staging);
            }
            Command::DropMap { map } => {
                if let Some(rank) = &mut state.rank {
                    rank.staged.retain(|staged| staged != map);
                }
            }
            Command::RunSteps { from, to, map } => {
                let window = Window {
                    from: *from,
                    to: *to,
                    map: *map,
                };
                let granted = state.rank.as_mut().map(|rank| rank.grant(window));
                if let Some(Err(reason)) = granted {
                    return reply::text(StatusCode::CONFLICT, reason);
                }
                self.granted.notify_one();
            }
            Command::LoadAdapter { adapter } => {
                if !state.adapters.contains(adapter) {
                    state.adapters.push(adapter.clone());
                }
            }
            Command::DropAdapter { adapter } => state.adapters.retain(|other| other != adapter),
            Command::Fence => {}
        }
        state.commands.push(order);
        reply::json(StatusCode::OK, &serde_json::json!({}))
    }
}

impl Engine {
    /// Answers `/cache/events?after=SEQUENCE`.
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

    /// Fetches a model, unless the engine dies in the meantime.
    fn fetch(&self, state: &mut State, name: String) {
        let time = state.settings.load_time;
        if time.is_zero() {
            state.settings.models.push(name);
            return;
        }
        state.loading.push(name.clone());
        let incarnation = state.incarnation;
        let engine = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            let mut state = engine.lock();
            if state.incarnation == incarnation {
                state.loading.retain(|other| *other != name);
                state.settings.models.push(name);
            }
            drop(state);
            engine.arrived.notify_one();
        });
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
        let Ok(content) = body::collect(content, BODY_BYTES).await else {
            return reply::text(StatusCode::BAD_REQUEST, "the body broke off or is too long");
        };
        match parts.uri.path() {
            "/v1/chat/completions" | "/v1/completions" => match serde_json::from_slice(&content) {
                Ok(request) => {
                    let prompt = Prompt::read(&content).unwrap_or_default();
                    self.complete(&request, prompt.blocks(PROMPT_BLOCKS))
                }
                Err(_) => reply::text(StatusCode::BAD_REQUEST, "expected a completion request"),
            },
            "/commands" => match serde_json::from_slice(&content) {
                Ok(order) => self.obey(order),
                Err(_) => reply::text(StatusCode::BAD_REQUEST, "expected an order"),
            },
            _ => reply::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

/// Returns the tag that marks every token of a prompt (FNV-1a, 32 bits).
pub fn tag(prompt: &str) -> String {
    let hash = prompt.bytes().fold(0x811c_9dc5_u32, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    });
    format!("{hash:08x}")
}

/// Returns the text of one token.
pub fn token(tag: &str, position: u64) -> String {
    format!("{tag}-{position} ")
}

/// Returns the whole answer to a prompt.
pub fn answer(prompt: &str, tokens: u64) -> String {
    let tag = tag(prompt);
    (0..tokens).map(|position| token(&tag, position)).collect()
}

fn event(text: &str) -> String {
    format!(
        "data: {{\"object\":\"chat.completion.chunk\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":null}}]}}\n\n"
    )
}

//! Stand-in for a plain service: calls that must not be executed twice, such as orders,
//! and look-ups that may be repeated.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use sesamerock_client::engine::Load;
use sesamerock_client::http::body::{self, Body};
use sesamerock_client::http::server::{self, Handler};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::reply;

/// Longest request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// One execution of a call that changes something.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Value of `Idempotency-Key`, or empty.
    pub key: String,
    /// Path of the call.
    pub path: String,
    /// Body of the call.
    pub body: String,
}

/// Behaviour of the stand-in that a test may change while it runs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time that a call takes.
    pub delay: Duration,
    /// Number of next calls that are executed but whose response is aborted.
    pub lost_answers: usize,
    /// Status that look-ups are answered with, in place of 200.
    pub lookup_status: Option<StatusCode>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            delay: Duration::from_millis(1),
            lost_answers: 0,
            lookup_status: None,
        }
    }
}

#[derive(Debug)]
struct State {
    settings: Settings,
    executions: Vec<Execution>,
    lookups: u64,
    received: u64,
    paused: watch::Sender<bool>,
}

/// A running stand-in service. Every received call is executed without deduplication,
/// so that a repeated call shows in [`Service::executions`].
#[derive(Clone, Debug)]
pub struct Service {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Service {
    /// Starts the stand-in on a port that the system chooses.
    ///
    /// # Errors
    /// Returns the error of the listener.
    pub async fn start(settings: Settings, stop: CancellationToken) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let state = State {
            settings,
            executions: Vec::new(),
            lookups: 0,
            received: 0,
            paused: watch::Sender::new(false),
        };
        let service = Self {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(state)),
        };
        let handler = Arc::new(service.clone());
        tokio::spawn(server::serve(
            listener,
            server::Settings::default(),
            handler,
            stop,
        ));
        Ok(service)
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the settings while the service runs.
    pub fn configure(&self, change: impl FnOnce(&mut Settings)) {
        change(&mut self.lock().settings);
    }

    /// Returns all executions in order.
    pub fn executions(&self) -> Vec<Execution> {
        self.lock().executions.clone()
    }

    /// Returns the number of look-ups answered.
    pub fn lookups(&self) -> u64 {
        self.lock().lookups
    }

    /// Returns the number of calls that arrived, finished or not.
    pub fn received(&self) -> u64 {
        self.lock().received
    }

    /// Pauses or resumes all calls, including those that arrive later. Load reports
    /// are not paused.
    pub fn pause(&self, paused: bool) {
        self.lock().paused.send_replace(paused);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn execute(&self, execution: Execution) -> Response<Body> {
        let mut state = self.lock();
        state.executions.push(execution);
        let number = state.executions.len();
        let lost = state.settings.lost_answers > 0;
        state.settings.lost_answers = state.settings.lost_answers.saturating_sub(1);
        drop(state);
        if lost {
            let (sender, body) = Body::stream();
            let sent = sender.try_send(body::Chunk::Abort);
            debug_assert!(sent.is_ok(), "a fresh channel has room");
            return Response::new(body);
        }
        reply::json(
            StatusCode::CREATED,
            &serde_json::json!({ "number": number }),
        )
    }
}

impl Handler for Service {
    async fn handle(&self, _peer: SocketAddr, request: Request<Incoming>) -> Response<Body> {
        let (parts, content) = request.into_parts();
        let Ok(content) = body::collect(content, MAX_BODY_BYTES).await else {
            return reply::text(StatusCode::BAD_REQUEST, "the body broke off or is too long");
        };
        if parts.uri.path() == "/load" {
            return reply::json(
                StatusCode::OK,
                &Load {
                    incarnation: 1,
                    ..Load::default()
                },
            );
        }
        let (delay, mut paused) = {
            let mut state = self.lock();
            state.received += 1;
            (state.settings.delay, state.paused.subscribe())
        };
        if paused.wait_for(|paused| !paused).await.is_err() {
            return reply::text(StatusCode::SERVICE_UNAVAILABLE, "the service has stopped");
        }
        // A sleep of zero would still take 1 ms, the resolution of the timer.
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if parts.method == Method::GET {
            let status = {
                let mut state = self.lock();
                state.lookups += 1;
                state.settings.lookup_status.unwrap_or(StatusCode::OK)
            };
            let path = parts.uri.path();
            return reply::json(status, &serde_json::json!({ "path": path, "stock": 42 }));
        }
        let key = parts
            .headers
            .get("idempotency-key")
            .and_then(|value| value.to_str().ok());
        self.execute(Execution {
            key: key.unwrap_or_default().to_owned(),
            path: parts.uri.path().to_owned(),
            body: String::from_utf8_lossy(&content).into_owned(),
        })
    }
}

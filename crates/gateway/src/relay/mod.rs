//! The request path of an entry.
//!
//! A call goes through `call` (what is it, may it run), `permit` (where and
//! when), `attempt` (one upstream) and then `whole` or `streaming`, which
//! decide what follows a failed attempt.

pub mod answer;
mod attempt;
mod call;
mod head;
mod permit;
pub mod retries;
mod streaming;
mod whole;

use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sesamerock_base::time::Moment;
use sesamerock_retry::budget;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admit::{AdmissionController, Refusal};
use crate::clock;
use crate::metrics::Counters;
use crate::names::Names;
use crate::pool::{self, ConnectionPool};
use crate::socket::Socket;
use crate::state::View;
use crate::upstream::Record;

use answer::Body;
use retries::Retries;

/// Bounds of the request path.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time to open a connection to an upstream. Zones are a few milliseconds
    /// apart, and a lost opening packet is sent again after a second.
    pub connect_timeout: Duration,
    /// Part of the objective of a stream that it may wait for an upstream and still be
    /// in time. The rest is for reading its prompt.
    pub stream_wait_objectives: f64,
    /// Multiple of the objective of a stream after which its caller has left. Callers
    /// wait four times the objective for the first event.
    pub stream_max_wait_objectives: f64,
    /// Multiple of the objective of a plain call that it may wait.
    pub plain_wait_objectives: f64,
    /// Multiple of its objective after which a repeatable plain call is sent to
    /// another upstream.
    pub attempt_timeout_objectives: f64,
    /// The retry budget of each service, of all entries together.
    pub budget: budget::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(300),
            stream_wait_objectives: 0.7,
            stream_max_wait_objectives: 3.0,
            plain_wait_objectives: 2.0,
            attempt_timeout_objectives: 2.5,
            budget: budget::Settings::default(),
        }
    }
}

type Waiters = HashMap<u64, oneshot::Sender<Result<Arc<Record>, Refusal>>>;

/// What the calls of one entry share.
#[derive(Debug)]
pub struct Shared {
    /// Bounds.
    pub settings: Settings,
    /// What the node believes.
    pub view: ArcSwap<View>,
    /// Counters.
    pub counters: Counters,
    /// Whether the process is about to end.
    pub leaving: AtomicBool,
    /// Whether this entry leads the expert maps.
    pub is_leader: AtomicBool,
    /// Whether new calls are refused, as the process ends before they would.
    pub closed: AtomicBool,
    admission: Mutex<AdmissionController>,
    waiters: Mutex<Waiters>,
    retries: Retries,
    connections: ConnectionPool,
    next_call: AtomicU64,
}

impl Shared {
    /// Makes what the calls of an entry share.
    pub fn new(settings: Settings, admission: AdmissionController) -> Self {
        Self {
            settings,
            view: ArcSwap::default(),
            counters: Counters::default(),
            leaving: AtomicBool::new(false),
            is_leader: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            admission: Mutex::new(admission),
            waiters: Mutex::default(),
            retries: Retries::new(settings.budget),
            connections: ConnectionPool::default(),
            next_call: AtomicU64::new(0),
        }
    }

    /// Returns the board.
    pub fn admission(&self) -> MutexGuard<'_, AdmissionController> {
        self.admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn waiters(&self) -> MutexGuard<'_, Waiters> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives a new number to a call.
    fn next_call_number(&self) -> u64 {
        self.next_call.fetch_add(1, Ordering::Relaxed)
    }

    /// Puts a view into force.
    pub fn publish(&self, view: View) {
        self.admission().set_pools(view.pools.clone());
        self.retries.set_gateways(view.entries, clock::now());
        self.connections.retain(|id| {
            let mut candidates = view.pools.values().flat_map(|pool| &pool.candidates);
            candidates.any(|candidate| &*candidate.record.id == id)
        });
        self.view.store(Arc::new(view));
        self.assign_slots();
    }

    /// Gives free slots to the calls that wait.
    pub fn assign_slots(&self) {
        loop {
            let poll = self.admission().poll(clock::now());
            let mut slot_freed = false;
            for (call, refusal) in poll.refused {
                let waiter = self.waiters().remove(&call);
                if let Some(waiter) = waiter {
                    // A caller that has left needs no answer.
                    drop(waiter.send(Err(refusal)));
                }
            }
            for (call, record) in poll.placed {
                let waiter = self.waiters().remove(&call);
                let sent = waiter.map(|waiter| waiter.send(Ok(Arc::clone(&record))));
                if !matches!(sent, Some(Ok(()))) {
                    let signal = crate::admit::HealthSignal::Neutral;
                    self.admission().end_call(&record, signal, clock::now());
                    slot_freed = true;
                }
            }
            if !slot_freed {
                return;
            }
        }
    }

    /// Takes a repeat from the budget of a service.
    fn may_retry(&self, service: &Arc<str>) -> bool {
        self.retries.may_retry(service, clock::now())
    }
}

/// Serves callers on a listener until `stop` is cancelled, and then lets open
/// connections end by themselves.
pub async fn serve<N: Names>(
    listener: TcpListener,
    shared: Arc<Shared>,
    names: N,
    tracker: TaskTracker,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = serve_connection(stream, Arc::clone(&shared), names.clone());
                tracker.spawn(connection);
            }
            Err(error) => {
                log::warn!("event=accept_failed reason=\"{error}\"");
                // Out of descriptors; accepting again at once would only spin.
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// Serves one connection of a caller.
async fn serve_connection<N: Names>(stream: TcpStream, shared: Arc<Shared>, names: N) {
    if let Err(error) = pool::tune(&stream) {
        log::debug!("event=connection_untuned reason=\"{error}\"");
    }
    let limits = match &shared.view.load().table {
        Some(table) => table.content().limits,
        None => crate::table::Limits::default(),
    };
    let caller = Socket::new(stream);
    let service = service_fn(|request: Request<Incoming>| {
        let shared = Arc::clone(&shared);
        let names = names.clone();
        let caller = caller.clone();
        async move { Ok::<_, Infallible>(respond(request, caller, shared, names).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.header.max(8 << 10) * 2)
        .serve_connection(TokioIo::new(caller.clone()), service);
    if let Err(error) = connection.await {
        log::debug!("event=caller_lost reason=\"{error}\"");
    }
}

/// Answers one call.
async fn respond<N: Names>(
    request: Request<Incoming>,
    caller: Socket,
    shared: Arc<Shared>,
    names: N,
) -> Response<Body> {
    let id = request.headers().get(&names.headers().call).cloned();
    let mut guard = ResponseGuard {
        id: id.clone(),
        arrived: clock::now(),
        answered: false,
    };
    let mut response = match head::read(request, caller, &shared, &names).await {
        Ok(call) => {
            let call = Arc::new(call);
            shared.retries.count_call(&call.service, clock::now());
            match call.kind {
                crate::table::Kind::Stream { .. } => {
                    streaming::answer(&shared, &names, &call).await
                }
                _ => whole::answer(&shared, &names, &call).await,
            }
        }
        Err(response) => response,
    };
    if let Some(id) = id
        && !response.headers().contains_key(&names.headers().call)
    {
        response.headers_mut().insert(&names.headers().call, id);
    }
    if shared.leaving.load(Ordering::Relaxed) {
        let close = HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    guard.answered = true;
    response
}

/// Says in the log that a caller has left before its answer, which ends the call
/// wherever it is.
struct ResponseGuard {
    id: Option<HeaderValue>,
    arrived: Moment,
    answered: bool,
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        if !self.answered {
            let id = self.id.as_ref().and_then(|id| id.to_str().ok());
            log::info!(
                "event=caller_left id={} after_ms={}",
                id.unwrap_or("-"),
                clock::now().since(self.arrived).as_millis(),
            );
        }
    }
}

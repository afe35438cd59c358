//! The request path of a gateway.
//!
//! `head` reads a request and turns it into a `call`. `buffered` and `streaming` then run
//! attempts, answer the caller and decide what follows a failed attempt. Each `attempt`
//! gets a slot of one upstream (`permit`) and sends the call there.

pub mod answer;
mod attempt;
mod buffered;
mod call;
mod durations;
mod head;
pub mod permit;
pub mod retries;
mod streaming;
mod watch;

use std::collections::HashMap;
use std::convert::Infallible;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use futures::FutureExt as _;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sesamerock_base::time::Moment;
use sesamerock_retry::budget;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admit::group::Listing;
use crate::admit::leaving::Departure;
use crate::admit::limit;
use crate::admit::outage::Statement;
use crate::admit::{AdmissionController, Obstacle, Refusal};
use crate::callers::{self, Caller, Delivery, Registry};
use crate::clock;
use crate::memory;
use crate::metrics::Counters;
use crate::names::Names;
use crate::pool::{self, Connection, ConnectionPool, KeepAlive};
use crate::shutdown::{Outlook, Shutdown};
use crate::socket::Socket;
use crate::state::View;
use crate::store::contact::Contact;
use crate::suspect::{self, Subject, Suspects, Verdict};
use crate::table::{Kind, Table};
use crate::upstream::Record;

use answer::Body;
use call::Call;
use durations::Durations;
use retries::Retries;

/// Limits and timeouts of the request path. An objective is the time within which the
/// route of a call is to deliver the first byte.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Timeout for opening a connection to an upstream. Round trips between zones take a
    /// few milliseconds, and a lost SYN packet is sent again only after a second.
    pub connect_timeout: Duration,
    /// Longest wait of a stream for a slot, in multiples of its objective. A slot after
    /// that is of no use, as callers wait four times the objective for the first event.
    pub stream_max_wait_objectives: f64,
    /// Longest wait of a non-streaming call for a slot, in multiples of its objective.
    pub buffered_wait_objectives: f64,
    /// Timeout of an attempt of a repeatable non-streaming call, in multiples of its
    /// objective. The call is then sent to another upstream.
    pub attempt_timeout_objectives: f64,
    /// Retry budget of each service, for all gateways together.
    pub budget: budget::Settings,
    /// Bytes that all requests and answers may hold together.
    pub max_buffered: usize,
    /// Limits for the connections of callers.
    pub callers: callers::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(300),
            stream_max_wait_objectives: 3.0,
            buffered_wait_objectives: 2.0,
            attempt_timeout_objectives: 2.5,
            budget: budget::Settings::default(),
            max_buffered: memory::DEFAULT_LIMIT,
            callers: callers::Settings::default(),
        }
    }
}

/// Timeout for the request header on a connection that was accepted when the gateway had stopped
/// listening. Its request was sent along with the connection or shortly after.
const LAST_HEADER_TIMEOUT: Duration = Duration::from_millis(500);

/// Most convictions that wait for the store; the oldest are dropped while it is unreachable.
const MAX_UNWRITTEN_CONVICTIONS: usize = 256;

type Waiters = HashMap<u64, oneshot::Sender<Result<Arc<Record>, Refusal>>>;

/// State that is shared by the calls of one gateway.
#[derive(Debug)]
pub struct Shared {
    /// Limits and timeouts; fixed at the start.
    pub settings: Settings,
    /// Current table, upstreams and zones, as known to this node.
    pub view: ArcSwap<View>,
    /// Metrics of the request path.
    pub counters: Counters,
    /// Whether this gateway is the leader for the expert maps.
    pub is_leader: AtomicBool,
    /// When the store last answered this gateway and the others.
    pub store_contact: Contact,
    /// Set when the process has been told to stop.
    shutdown: OnceLock<Shutdown>,
    /// Cancelled when calls that still run are answered, shortly before the process ends.
    ending: CancellationToken,
    suspects: Mutex<Suspects>,
    /// Notified when the verdict on a subject may have changed.
    suspects_changed: Notify,
    /// Convictions that are to be written to the store, and when there are any.
    convictions: Mutex<Vec<suspect::Record>>,
    convictions_recorded: Notify,
    durations: Durations,
    admission: Mutex<AdmissionController>,
    waiters: Mutex<Waiters>,
    retries: Retries,
    connections: ConnectionPool,
    published: Notify,
    /// Memory for requests and answers.
    pub memory: Arc<memory::Budget>,
    /// Connections of callers.
    pub callers: Arc<Registry>,
    /// Notified when other gateways should hear of a change at once.
    pub news: Notify,
    next_call: AtomicU64,
}

impl Shared {
    /// Creates the shared state with an empty view.
    pub fn new(settings: Settings, admission: AdmissionController, suspects: Suspects) -> Self {
        let memory = Arc::new(memory::Budget::new(settings.max_buffered));
        Self {
            callers: Arc::new(Registry::new(settings.callers, Arc::clone(&memory))),
            settings,
            view: ArcSwap::default(),
            counters: Counters::default(),
            is_leader: AtomicBool::new(false),
            store_contact: Contact::default(),
            shutdown: OnceLock::new(),
            ending: CancellationToken::new(),
            suspects: Mutex::new(suspects),
            suspects_changed: Notify::new(),
            convictions: Mutex::default(),
            convictions_recorded: Notify::new(),
            durations: Durations::default(),
            admission: Mutex::new(admission),
            waiters: Mutex::default(),
            retries: Retries::new(settings.budget),
            connections: ConnectionPool::default(),
            published: Notify::new(),
            memory,
            news: Notify::new(),
            next_call: AtomicU64::new(0),
        }
    }

    /// Starts the stop of this gateway: answers then close their connections, and only calls that
    /// can end in time are accepted.
    pub fn begin_shutdown(&self, shutdown: Shutdown) {
        self.shutdown.get_or_init(|| shutdown);
    }

    /// Returns whether this gateway has been told to stop.
    pub fn is_leaving(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Returns what is known about the duration of a call.
    fn outlook(&self, call: &Call, now: Moment) -> Outlook {
        let tokens = call.output_tokens.map(|output| (call.tokens, output));
        let bound = tokens.and_then(|(prompt, output)| {
            let admission = self.admission();
            admission.longest_stream(&call.service, prompt, output, now)
        });
        Outlook {
            arrived: call.arrived,
            deadline: call.end(),
            bound,
            longest: self.durations.longest(&call.route, now),
            is_repeatable: call.kind == Kind::Safe,
        }
    }

    /// Returns whether a call may be accepted, or the process may end before the call does.
    fn may_accept(&self, call: &Call, now: Moment) -> bool {
        let shutdown = self.shutdown.get();
        shutdown.is_none_or(|shutdown| shutdown.may_accept(&self.outlook(call, now), now))
    }

    /// Returns the latest time at which a call may be sent to an upstream, so that it ends before
    /// the process does.
    fn latest_start(&self, call: &Call, now: Moment) -> Moment {
        let Some(shutdown) = self.shutdown.get() else {
            return call.end();
        };
        let latest_start = shutdown.latest_start(&self.outlook(call, now));
        latest_start.unwrap_or_default()
    }

    /// Locks the admission controller. The guard must not be held across an `await`.
    pub fn admission(&self) -> MutexGuard<'_, AdmissionController> {
        self.admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes what is known about subjects that crash upstreams, logs the changes, and tells those
    /// who wait for them.
    pub fn update_suspects<T>(&self, change: impl FnOnce(&mut Suspects) -> T) -> T {
        let mut suspects = self.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        let result = change(&mut suspects);
        let (events, has_news) = (suspects.take_events(), suspects.take_news());
        let records = suspects.take_records();
        drop(suspects);
        events.iter().for_each(watch::log_event);
        if !events.is_empty() {
            self.suspects_changed.notify_waiters();
        }
        if has_news {
            self.news.notify_one();
        }
        if !records.is_empty() {
            let mut kept = self.convictions();
            kept.extend(records);
            let excess = kept.len().saturating_sub(MAX_UNWRITTEN_CONVICTIONS);
            if excess > 0 {
                log::warn!("event=convictions_dropped count={excess}");
                kept.drain(..excess);
            }
            drop(kept);
            self.convictions_recorded.notify_one();
        }
        result
    }

    /// Lets calls that wait for a trial ask again.
    pub fn notify_suspects(&self) {
        self.suspects_changed.notify_waiters();
    }

    /// Decides whether a call with these subjects may be sent to an upstream.
    fn judge(&self, subjects: &[Subject], now: Moment) -> Verdict {
        self.update_suspects(|suspects| suspects.judge(subjects, now))
    }

    /// Records that the address of an upstream refuses connections.
    fn confirm_crash(&self, record: &Record) {
        let (id, born) = (&record.id, record.born);
        self.update_suspects(|suspects| suspects.confirm(id, born, clock::now()));
    }

    /// Records that an upstream has answered a call that was sent at `sent_at`.
    fn refute_crash(&self, record: &Record, sent_at: Moment) {
        let (id, born) = (&record.id, record.born);
        self.update_suspects(|suspects| suspects.observe_answer(id, born, sent_at, clock::now()));
    }

    /// Returns the convictions and their ends that the store is to keep, and takes them as kept.
    /// Waits until there is one.
    pub async fn next_convictions(&self) -> Vec<suspect::Record> {
        loop {
            let recorded = self.convictions_recorded.notified();
            let records = std::mem::take(&mut *self.convictions());
            if !records.is_empty() {
                return records;
            }
            recorded.await;
        }
    }

    fn convictions(&self) -> MutexGuard<'_, Vec<suspect::Record>> {
        let records = &self.convictions;
        records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn waiters(&self) -> MutexGuard<'_, Waiters> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a number that is unique among the slot requests of this process.
    fn next_call_number(&self) -> u64 {
        self.next_call.fetch_add(1, Ordering::Relaxed)
    }

    /// Replaces the view, adjusts admission, retry budgets and connections to it, and
    /// assigns slots that have become free.
    pub fn publish(&self, view: View) {
        self.admission().set_pools(view.pools.clone());
        self.retries.set_gateways(view.gateways, clock::now());
        let records = view.ranks.values().flatten();
        self.update_suspects(|suspects| {
            if !suspects.is_empty() {
                let now = clock::now();
                records.for_each(|it| suspects.observe_start(&it.id, it.born, now));
            }
        });
        self.connections.retain(|id| {
            let mut candidates = view.pools.values().flat_map(|pool| &pool.candidates);
            candidates.any(|candidate| &*candidate.record.id == id)
        });
        self.view.store(Arc::new(view));
        self.published.notify_waiters();
        self.assign_slots();
    }

    /// Returns the table, waiting up to `longest` until the first one and the upstreams are
    /// read.
    async fn first_table(&self, longest: Duration) -> Option<Arc<Table>> {
        let complete = async {
            loop {
                // Created before the check, so that no publication is missed.
                let published = self.published.notified();
                let view = self.view.load();
                if view.complete && view.table.is_some() {
                    return;
                }
                drop(view);
                published.await;
            }
        };
        // Without upstreams, the call is refused for that reason.
        let _elapsed = timeout(longest, complete).await;
        self.view.load().table.clone()
    }

    /// Uses a listing of the groups of upstreams that comes from `source`, if it is newer than
    /// the one known.
    pub fn set_groups(&self, source: &str, listing: Listing) {
        let (version, groups) = (listing.version, listing.groups.len());
        if self.admission().set_groups(listing) {
            log::info!(
                "event=groups source={source} groups={groups} fence={} sequence={}",
                version.fence,
                version.sequence
            );
        }
    }

    /// Records that an upstream has stated in an answer to this gateway that it is leaving: it
    /// gets no further call, and its idle connections are closed.
    pub fn set_leaving(&self, record: &Record) {
        let is_new = self.admission().observe_leaving(record, clock::now());
        if is_new {
            self.drop_leaving(&Departure::of(record), "own");
        }
    }

    /// Records the upstreams that another gateway observed to be leaving.
    pub fn learn_leaving(&self, from: &str, departures: &[Departure]) {
        let learned = self.admission().learn_leaving(departures, clock::now());
        for departure in learned {
            self.drop_leaving(&departure, from);
        }
    }

    /// Records that an upstream wants no calls of this gateway for some time.
    fn pause(&self, record: &Record, length: Duration) {
        self.counters.pauses.fetch_add(1, Ordering::Relaxed);
        log::info!(
            "event=upstream_paused id={} requested_ms={}",
            record.id,
            length.as_millis()
        );
        self.admission().pause(record, length, clock::now());
        // Calls that cannot wait until the end of the pause are refused.
        self.assign_slots();
    }

    /// Records what an answer states about the limit of its upstream.
    fn observe_limit(&self, record: &Record, statement: limit::Statement, sent_at: Moment) {
        if statement == limit::Statement::Malformed {
            log::warn!("event=limit_ignored id={} reason=malformed", record.id);
        }
        let now = clock::now();
        let is_new = self
            .admission()
            .observe_limit(record, statement, sent_at, now);
        if is_new {
            let rate = match statement {
                limit::Statement::Rate(rate) => Some(rate),
                limit::Statement::Unlimited | limit::Statement::Malformed => None,
            };
            self.log_limit(&record.id, rate, "own");
            self.news.notify_one();
        }
    }

    /// Records the limits of upstreams that another gateway knows.
    pub fn learn_limits(&self, from: &str, reports: &[limit::Report]) {
        let learned = self.admission().learn_limits(reports, clock::now());
        for report in learned {
            self.log_limit(&report.id, report.rate, from);
        }
    }

    fn log_limit(&self, id: &str, rate: Option<f64>, source: &str) {
        self.counters.limits.fetch_add(1, Ordering::Relaxed);
        match rate {
            Some(rate) => {
                log::info!("event=upstream_limited id={id} rate={rate} source={source}");
            }
            None => log::info!("event=upstream_limit_ended id={id} source={source}"),
        }
    }

    fn drop_leaving(&self, departure: &Departure, source: &str) {
        self.counters.leaving.fetch_add(1, Ordering::Relaxed);
        log::info!(
            "event=upstream_leaving id={} born={:?} source={source}",
            departure.id,
            departure.born
        );
        self.connections.close_idle(&departure.id);
        // Calls that wait for this upstream alone are refused.
        self.assign_slots();
    }

    /// Keeps a connection for further calls after a complete answer, unless its upstream is
    /// leaving.
    fn keep_connection(&self, record: &Record, connection: Connection, keep_alive: KeepAlive) {
        let obstacle = self.admission().obstacle(record, clock::now());
        if obstacle != Some(Obstacle::Leaving) {
            self.connections.put(record, connection, keep_alive);
        }
    }

    /// Uses a statement on broken groups if it is newer than the one known, and assigns slots
    /// of groups that have recovered.
    pub fn set_outages(&self, statement: &Statement) {
        if self.admission().set_outages(statement, clock::now()) {
            self.assign_slots();
        }
    }

    /// Refuses the calls that wait for a slot or a verdict, and all that would start later.
    pub fn refuse_waiting(&self) {
        self.admission().close();
        self.assign_slots();
        self.notify_suspects();
    }

    /// Answers the calls that still run with an unknown result, and ends the streams.
    pub fn end_calls(&self) {
        self.ending.cancel();
    }

    /// Assigns free slots to waiting calls, and notifies those that are refused.
    pub fn assign_slots(&self) {
        loop {
            let poll = self.admission().poll(clock::now());
            let mut slot_freed = false;
            for (call, refusal) in poll.refused {
                let waiter = self.waiters().remove(&call);
                if let Some(waiter) = waiter {
                    // Sending fails only if the call was cancelled.
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

    /// Consumes one retry from the budget of a service. Returns whether there was one.
    fn may_retry(&self, service: &Arc<str>) -> bool {
        self.retries.may_retry(service, clock::now())
    }
}

/// Serves callers on a listener until `closing` is cancelled. Connections are then closed as
/// soon as no request is in progress on them.
pub async fn serve<N: Names>(
    listener: TcpListener,
    shared: Arc<Shared>,
    names: N,
    connections: TaskTracker,
    closing: CancellationToken,
) {
    let start = |stream| {
        let (shared, names, closing) = (Arc::clone(&shared), names.clone(), closing.clone());
        connections.spawn(serve_connection(stream, shared, names, closing));
    };
    loop {
        let accepted = tokio::select! {
            () = closing.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => start(stream),
            Err(error) => {
                log::warn!("event=accept_failed reason=\"{error}\"");
                // Typically no free file descriptor: without a pause, the loop would spin.
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
    // Connections that the kernel has accepted already may hold a request.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        start(stream);
    }
}

/// Serves one connection of a caller.
async fn serve_connection<N: Names>(
    stream: TcpStream,
    shared: Arc<Shared>,
    names: N,
    closing: CancellationToken,
) {
    if let Err(error) = pool::set_socket_options(&stream) {
        log::debug!("event=connection_untuned reason=\"{error}\"");
    }
    let limits = match &shared.view.load().table {
        Some(table) => table.content().limits,
        None => crate::table::Limits::default(),
    };
    let peer = match stream.peer_addr() {
        Ok(peer) => peer,
        Err(error) => {
            log::debug!("event=caller_lost reason=\"{error}\"");
            return;
        }
    };
    let socket = Socket::new(stream);
    socket.limit_send_buffer(callers::SEND_BUFFER);
    // The operating system would close callers that do not read for its shorter time.
    socket.set_user_timeout(shared.settings.callers.stall);
    let registration = shared.callers.register(socket.clone(), peer);
    let caller = &registration.caller;
    tokio::select! {
        biased;
        // Its memory is among what is being released.
        () = caller.closed() => return,
        () = shared.memory.settled() => {}
    }
    let service = service_fn(|request: Request<Incoming>| {
        let shared = Arc::clone(&shared);
        let names = names.clone();
        let caller = caller.clone();
        async move { Ok::<_, Infallible>(respond(request, caller, shared, names).await) }
    });
    let is_last_request = closing.is_cancelled();
    let header_timeout = if is_last_request {
        LAST_HEADER_TIMEOUT
    } else {
        limits.idle
    };
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(!is_last_request)
        .header_read_timeout(header_timeout)
        .max_buf_size(limits.header.max(8 << 10) * 2)
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = pin!(connection);
    let served = tokio::select! {
        // First the connection, so that a request that has arrived is read before it closes.
        biased;
        served = connection.as_mut() => served,
        () = caller.closed() => return,
        () = closing.cancelled(), if !is_last_request => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                served = connection => served,
                () = caller.closed() => return,
            }
        }
    };
    if let Err(error) = served {
        log::debug!("event=caller_lost reason=\"{error}\"");
    }
}

/// Answers one request.
async fn respond<N: Names>(
    request: Request<Incoming>,
    caller: Caller,
    shared: Arc<Shared>,
    names: N,
) -> Response<Body> {
    let id = request.headers().get(&names.headers().call_id).cloned();
    let mut guard = ResponseGuard {
        id: id.clone(),
        arrived: clock::now(),
        answered: false,
    };
    let read = tokio::select! {
        biased;
        read = head::read(request, caller.clone(), &shared, &names) => read,
        () = shared.ending.cancelled() => {
            shared.counters.refused("leaving");
            let id = id.as_ref().and_then(|id| id.to_str().ok());
            log::info!(
                "event=call_rejected id={} status=503 reason=\"leaving before the body\"",
                id.unwrap_or("-"),
            );
            Err(answer::refusal(StatusCode::SERVICE_UNAVAILABLE, "leaving", Duration::ZERO))
        }
    };
    let call_end = read.as_ref().ok().map(Call::end);
    let mut response = match read {
        Ok(call) if !shared.may_accept(&call, clock::now()) => {
            shared.counters.refused("leaving");
            log::info!(
                "event=call_rejected id={} status=503 reason=leaving table={}",
                call.id(),
                call.version,
            );
            // Another gateway can run it at once.
            answer::refusal(StatusCode::SERVICE_UNAVAILABLE, "leaving", Duration::ZERO)
        }
        Ok(call) => {
            let call = Arc::new(call);
            shared.retries.count_call(&call.service, clock::now());
            match call.kind {
                Kind::Stream { .. } => streaming::answer(&shared, &names, &call).await,
                _ => buffered::answer(&shared, &names, &call).await,
            }
        }
        Err(response) => response,
    };
    if let Some(id) = id
        && !response.headers().contains_key(&names.headers().call_id)
    {
        response.headers_mut().insert(&names.headers().call_id, id);
    }
    if shared.is_leaving() {
        let close = HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    guard.answered = true;
    response.map(|body| body.deliver(Delivery::begin(caller, call_end)))
}

/// Logs callers that disconnect before the response. The future of the request is then
/// dropped at whatever point it has reached, and this guard with it.
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

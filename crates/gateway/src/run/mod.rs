//! Runs a gateway. One process runs on each VM that serves callers.

mod auxiliary;
pub mod catch_up;
mod feeds;
pub mod offsets;
pub mod reader;
mod settings;
mod zone;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eyre::WrapErr as _;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use sesamerock_base::time::Moment;
use sesamerock_retry::budget;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admit::cold::Members;
use crate::admit::group::Listing;
use crate::admit::{self, AdmissionController};
use crate::callers;
use crate::clock;
use crate::engine::Engine;
use crate::exchange::{self, Delivery, Heartbeat, LocalNode, Peers, Statement};
use crate::maps;
use crate::memory;
use crate::metrics;
use crate::names::Names;
use crate::node;
use crate::relay::{self, Shared, answer};
use crate::shutdown::{self, Shutdown};
use crate::state::{Event, Knowledge, Position, Snapshot, State, View};
use crate::store::counted::{Calls, Counted};
use crate::store::{Batch, Fault, Feed, Offset, Store};
use crate::suspect::{self, Suspects};
use crate::table::Content;
use catch_up::{CatchUp, Situation};
use zone::Zone;

pub use feeds::read_interval;
pub use settings::{Settings, Shares, StoreReader};

/// TTL of the addresses given to callers. Callers may keep addresses for three times the
/// TTL, and a node that shuts down must keep serving for that time.
const ADDRESS_TTL: Duration = Duration::from_secs(1);
/// Multiple of the TTL for which a caller may keep addresses.
const ADDRESS_TTL_FACTOR: u32 = 3;
/// Interval at which a node that stops checks whether it may go on to the next step.
const SHUTDOWN_INTERVAL: Duration = Duration::from_millis(20);
/// Time to write the last log lines before the process ends.
const LOG_FLUSH: Duration = Duration::from_millis(20);
/// Interval of the check for silent nodes and expired records.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between attempts to publish the record of this node.
const ANNOUNCE_RETRY: Duration = Duration::from_millis(500);
/// Interval between attempts to write a conviction to the store.
const CONVICTION_RETRY: Duration = Duration::from_secs(1);
/// Most attempts to write a conviction: as long as the first conviction of a subject lasts.
const CONVICTION_ATTEMPTS: u32 = 60;
/// Range of the random pause before a gateway publishes its record again after a restore of the
/// store, which accepts a limited rate of writes from all.
const REANNOUNCE_SPREAD: Duration = Duration::from_secs(5);
/// Longest age of a copy from which the store may be restored.
const MAX_COPY_AGE: Duration = Duration::from_mins(1);
/// Fraction of the system's retry budget that all nodes together use. Each node counts
/// independently, and a gateway that has just started may be unknown to the others.
const RETRY_BUDGET_FRACTION: f64 = 0.7;

/// Part of the memory of a VM for requests and answers that are being read, Buffers of connections, the
/// allocator and all else take the rest.
const MEMORY_PART: f64 = 0.25;
/// Least memory for requests and answers: that of one of the largest answers.
const MIN_BUFFERED: usize = 16 << 20;

/// Shared state of the tasks of a node.
#[derive(Clone, Debug)]
pub struct Node {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    record: node::Record,
    state: Mutex<State>,
    shared: Arc<Shared>,
    peers: Peers,
    membership: Mutex<Membership>,
    catch_up: Mutex<CatchUp>,
    zone: Zone,
    /// Cancelled when this node stops listening for callers.
    closing: CancellationToken,
    /// When the last heartbeat of a leader was received; the start of this process before
    /// the first one.
    last_leader_heartbeat: Mutex<Moment>,
}

/// What this node derives from the set of nodes that are alive.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Membership {
    /// Nodes that may be alive, including this one; `None` while they are unknown.
    members: Option<Arc<Members>>,
    /// Whether this node claims leadership of the expert maps.
    claims_leadership: bool,
}

impl Inner {
    fn set_last_leader_heartbeat(&self, now: Moment) {
        let last = &self.last_leader_heartbeat;
        *last.lock().unwrap_or_else(PoisonError::into_inner) = now;
    }
}

impl Node {
    fn state(&self) -> MutexGuard<'_, State> {
        let state = &self.inner.state;
        state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_store_failure(&self, requested_at: Moment, now: Moment) {
        self.inner.shared.store_contact.record_failure(requested_at);
        self.state().set_store_unreachable(now);
    }

    fn apply(&self, feed: Feed, batch: Batch, full_listing: bool, source: &str, now: Moment) {
        let (next, listed) = (batch.next, batch.changes.len());
        let events = self.state().apply(feed, batch, full_listing, now);
        let position = self.state().position();
        log_events(source, &events, position);
        if full_listing {
            let version = self.state().version().unwrap_or_default();
            log::info!(
                "event=feed_listed feed={} listed={listed} next={next} table={version}",
                feed.as_str()
            );
        }
        for event in &events {
            if let Event::Conviction(record) = event {
                let shared = &self.inner.shared;
                shared.update_suspects(|suspects| suspects.restore(*record, now));
            }
        }
        if feed == Feed::Nodes {
            if self.inner.peers.members().is_none() {
                // Until a leader could have been heard, this node must not take itself for
                // the first candidate.
                self.inner.set_last_leader_heartbeat(now);
            }
            self.update_peers();
        }
        let caught_up = self.finish_catch_up(now);
        if !events.is_empty() || full_listing || caught_up {
            self.publish();
        }
    }

    fn catch_up(&self) -> MutexGuard<'_, CatchUp> {
        let catch_up = &self.inner.catch_up;
        catch_up.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this gateway may act on its state from now on, since it knows what the others
    /// know.
    fn finish_catch_up(&self, now: Moment) -> bool {
        if self.catch_up().is_done() {
            return false;
        }
        let peers = &self.inner.peers;
        let era = self.inner.shared.store_contact.era();
        let situation = Situation {
            era,
            unheard: peers.unheard(era.unwrap_or_default()),
            table: self.state().version(),
            newest: peers.newest_table(),
        };
        let Some(waited) = self.catch_up().finish(situation, now) else {
            return false;
        };
        log::info!(
            "event=caught_up wait_ms={} unheard={} table={} newest={}",
            waited.as_millis(),
            situation.unheard.unwrap_or_default(),
            situation.table.unwrap_or_default(),
            situation.newest.unwrap_or_default(),
        );
        true
    }

    fn publish(&self) {
        let membership = self.membership();
        let mut view = View {
            claims_leadership: membership.claims_leadership,
            ..self.state().view(membership.members.as_ref())
        };
        if !self.catch_up().is_done() {
            // Another gateway may know a newer one.
            view.table = None;
        }
        self.inner.shared.publish(view);
    }

    /// Returns the time since the last heartbeat of a leader.
    fn leaderless_for(&self) -> Duration {
        let last = &self.inner.last_leader_heartbeat;
        let last = last.lock().unwrap_or_else(PoisonError::into_inner);
        clock::now().since(*last)
    }

    /// Derives the membership from the nodes that are alive now.
    fn membership(&self) -> Membership {
        let peers = &self.inner.peers;
        let own = self.inner.record.name.as_str();
        let members = peers.members().map(|others| {
            let others = others.iter().map(String::as_str);
            Arc::new(Members::new(own, others))
        });
        let failing = self.inner.shared.store_contact.state(clock::now()).failing;
        let contacts = peers.store_contacts();
        // Without a table, a leader manages no group.
        let claims_leadership = self.catch_up().is_done()
            && members.is_some()
            && maps::competitors(failing, &contacts).is_some_and(|others| {
                let others = others.into_iter();
                maps::should_claim(own, others, self.leaderless_for())
            });
        Membership {
            members,
            claims_leadership,
        }
    }

    fn update_peers(&self) {
        let own = &self.inner.record.name;
        let state = self.state();
        let others = state.nodes().filter(|node| node.name != *own);
        let others: Vec<node::Record> = others.cloned().collect();
        drop(state);
        self.inner.peers.set_peers(others, self);
    }

    /// Uses what another gateway knows beyond what a restored store lists.
    fn learn(&self, from: &str, knowledge: &Knowledge, now: Moment) {
        if knowledge.zones.is_empty() && knowledge.upstreams.is_empty() {
            return;
        }
        let Some(until) = self.inner.shared.store_contact.doubted_until(now) else {
            return;
        };
        let events = self.state().learn(knowledge, until);
        let position = self.state().position();
        log_events(from, &events, position);
        if !events.is_empty() {
            self.publish();
        }
    }

    /// Returns whether this node takes calls.
    fn is_accepting(&self) -> bool {
        let view = self.inner.shared.view.load();
        let closing = self.inner.closing.is_cancelled();
        view.table.is_some() && view.complete && view.gateways > 0 && !closing
    }

    /// Returns whether callers should be directed to this node.
    fn is_ready(&self) -> bool {
        self.is_accepting() && !self.inner.shared.is_leaving()
    }

    /// Returns the addresses for callers. While no gateway is ready, they are those of gateways
    /// that have been told to stop and still take calls.
    fn caller_addresses(&self) -> Vec<SocketAddr> {
        let peers = &self.inner.peers;
        let own = self.inner.record.clone();
        let mut nodes = peers.ready();
        nodes.extend(self.is_ready().then(|| own.clone()));
        if nodes.is_empty() {
            nodes = peers.accepting();
            nodes.extend(self.is_accepting().then_some(own));
        }
        nodes.iter().map(|node| node.front).collect()
    }
}

/// Logs changes of the state and the source from which they were received.
fn log_events(source: &str, events: &[Event], position: Position) {
    let at = position.orders;
    for event in events {
        match event {
            Event::Table(version) => {
                log::info!("event=table_in_force version={version} source={source} next={at}");
            }
            Event::Zone(zone, out) => {
                log::info!("event=zone zone={zone} out={out} source={source} next={at}");
            }
            Event::Upstream(record) => log::info!(
                "event=upstream id={} service={} address={} zone={} draining={} cold_ms={} \
                 source={source} next={}",
                record.id,
                record.service,
                record.address,
                record.zone,
                record.draining,
                record.cold.as_millis(),
                position.upstreams,
            ),
            Event::UpstreamRemoved(id) => {
                let at = position.upstreams;
                log::info!("event=upstream_gone id={id} source={source} next={at}");
            }
            // Logged if it is in force and not known yet.
            Event::Conviction(_) => {}
            Event::Unreadable(key, reason) => {
                log::warn!("event=record_ignored key={key:?} reason=\"{reason}\"");
            }
        }
    }
}

impl LocalNode for Node {
    fn name(&self) -> &str {
        &self.inner.record.name
    }

    fn heartbeat(&self) -> Heartbeat {
        let now = clock::now();
        let position = self.state().position();
        let shared = &self.inner.shared;
        let suspects = shared.update_suspects(|suspects| suspects.report(now));
        let mut admission = shared.admission();
        Heartbeat {
            node: self.inner.record.clone(),
            ready: self.is_ready(),
            accepting: self.is_accepting(),
            leads: self.inner.shared.is_leader.load(Ordering::Relaxed),
            position,
            knowledge: self.state().knowledge(),
            store: self.inner.shared.store_contact.state(now),
            misdirected: admission.recent_misdirected(now),
            leaving: admission.recent_leaving(now),
            limits: admission.limits(now),
            groups: admission.groups().version,
            suspects,
            outages: admission.outages(now),
            paces: admission.recent_paces(exchange::Settings::default().interval, now),
            loads: admission.loads(),
            demand: admission.demand(now),
        }
    }

    fn last_heartbeat(&self, node: &str) -> Option<Statement> {
        self.inner.peers.last_heartbeat(node)
    }

    fn receive_heartbeat(&self, heartbeat: Heartbeat) {
        if self.inner.peers.is_outdated(&heartbeat) {
            return;
        }
        let name = heartbeat.node.name.clone();
        let loads = heartbeat.loads.clone();
        let now = clock::now();
        let report = heartbeat.suspects.clone();
        let suspects = |suspects: &mut Suspects| suspects.learn(&name, report, now);
        if self.inner.shared.update_suspects(suspects) {
            self.inner.shared.notify_suspects();
        }
        self.inner
            .shared
            .store_contact
            .record_peer(heartbeat.store, now);
        self.learn(&name, &heartbeat.knowledge, now);
        if heartbeat.leads {
            self.inner.set_last_leader_heartbeat(now);
        }
        self.inner.shared.set_outages(&heartbeat.outages);
        let mut admission = self.inner.shared.admission();
        admission.learn_misdirected(&heartbeat.misdirected, now);
        admission.learn_paces(&heartbeat.paces, now);
        admission.set_peer_loads(&name, loads, now);
        admission.learn_demand(&name, heartbeat.demand.clone(), now);
        drop(admission);
        self.inner.shared.learn_leaving(&name, &heartbeat.leaving);
        self.inner.shared.learn_limits(&name, &heartbeat.limits);
        let is_new_node = self.state().learn_node(&heartbeat.node);
        if self.inner.peers.receive_heartbeat(heartbeat) {
            log::info!("event=peer_heard peer={name}");
        }
        // Before the records of the nodes are read, the set of peers is not known.
        if is_new_node && self.inner.peers.members().is_some() {
            self.update_peers();
        }
        if self.finish_catch_up(now) {
            self.publish();
        }
    }

    fn snapshot(&self) -> Snapshot {
        self.state().snapshot(clock::now())
    }

    fn merge_snapshot(&self, from: &str, snapshot: Snapshot) {
        let events = self.state().merge_snapshot(snapshot, clock::now());
        let position = self.state().position();
        log_events(from, &events, position);
        if !events.is_empty() {
            self.publish();
        }
    }

    fn position(&self) -> Position {
        self.state().position()
    }

    fn table_version(&self) -> Option<u64> {
        self.state().version()
    }

    fn table(&self) -> Option<(Content, Offset)> {
        self.state().table()
    }

    fn merge_table(&self, from: &str, content: &Content, offset: Offset) {
        let events = self.state().merge_table(content, offset);
        let position = self.state().position();
        log_events(from, &events, position);
        let caught_up = self.finish_catch_up(clock::now());
        if caught_up || !events.is_empty() {
            self.publish();
        }
    }

    fn is_catching_up(&self) -> bool {
        !self.catch_up().is_done()
    }

    fn groups(&self) -> Arc<Listing> {
        self.inner.shared.admission().groups()
    }

    fn merge_groups(&self, from: &str, listing: Listing) {
        self.inner.shared.set_groups(from, listing);
    }

    fn is_cut_off(&self) -> bool {
        self.inner.zone.is_cut_off()
    }

    fn receive_delivery(&self, delivery: Delivery) {
        self.apply_delivery(delivery);
    }
}

/// Runs a gateway until the process receives SIGTERM or SIGINT, and then until its calls
/// have ended or the grace period is over.
///
/// # Errors
/// Fails if an address cannot be bound or a signal handler cannot be installed.
pub async fn run<S: Store, E: Engine, N: Names>(
    settings: Settings,
    store: S,
    engine: E,
    names: N,
) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    let node = settings.node.clone();
    let stop = async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => return,
                _ = interrupt.recv() => return,
                // Nothing to reload: the addresses are fixed for the life of the process, and
                // everything else is read from the store.
                _ = reload.recv() => log::info!("event=reload node={node}"),
            }
        }
    };
    run_until(settings, store, engine, names, stop).await
}

/// Runs a gateway until `stop` ends, and then until its calls have ended or the grace period
/// is over.
///
/// # Errors
/// Fails if a setting is out of range or an address cannot be bound.
pub async fn run_until<S: Store, E: Engine, N: Names>(
    settings: Settings,
    store: S,
    engine: E,
    names: N,
    stop_requested: impl Future<Output = ()>,
) -> eyre::Result<()> {
    settings.check()?;
    let incarnation = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64;
    let record = node::Record {
        name: settings.node.clone(),
        incarnation,
        front: settings.front,
        exchange: settings.exchange,
        zone: Arc::from(settings.zone.as_str()),
    };
    log::info!(
        "event=start node={} version={} zone={} front={} store={}",
        record.name,
        env!("CARGO_PKG_VERSION"),
        record.zone,
        record.front,
        settings.store,
    );
    memory::tune_allocator();
    let admission = AdmissionController::new(
        admit::Settings {
            cold_slack: settings.cold_slack,
            late_streams: settings.late_streams,
            seed: rand::random(),
            shares: settings.shares.as_ref().map(settings::Shares::admission),
            ..admit::Settings::default()
        },
        Arc::clone(&record.zone),
    );
    let shared = Arc::new(Shared::new(
        relay::Settings {
            budget: retry_budget(&settings),
            max_buffered: max_buffered(&settings),
            callers: caller_settings(&settings),
            ..relay::Settings::default()
        },
        admission,
        Suspects::new(suspect::Settings::default(), &record.name),
    ));
    let node = Node {
        inner: Arc::new(Inner {
            record: record.clone(),
            state: Mutex::default(),
            shared: Arc::clone(&shared),
            peers: Peers::new(exchange::Settings::default()),
            membership: Mutex::default(),
            catch_up: Mutex::default(),
            zone: Zone::new(
                &settings.node,
                settings.store_reader.enabled,
                settings.drain,
            ),
            closing: CancellationToken::new(),
            last_leader_heartbeat: Mutex::new(clock::now()),
        }),
    };
    let connections = TaskTracker::new();
    let store_calls = Arc::new(Calls::default());
    let store = Counted::new(store, Arc::clone(&store_calls));
    serve_auxiliary(&settings, &node, &names, &connections, store_calls).await?;
    let exchange_listener = bind(settings.exchange).await?;
    tokio::spawn(exchange::serve(
        exchange_listener,
        node.clone(),
        // Heartbeats go on until the process ends.
        CancellationToken::new(),
    ));
    for feed in [Feed::Orders, Feed::Upstreams, Feed::Nodes] {
        tokio::spawn(feeds::follow_feed(node.clone(), store.clone(), feed));
    }
    tokio::spawn(announce(store.clone(), record, Arc::clone(&shared)));
    tokio::spawn(keep_convictions(Arc::clone(&shared), store.clone()));
    let leadership = maps::Settings {
        node: settings.node.clone(),
        lease: settings.lease,
        fencing: settings.fencing,
    };
    tokio::spawn(maps::run_leader(
        Arc::clone(&shared),
        store,
        engine,
        leadership,
    ));
    tokio::spawn(zone::run_election(node.clone()));
    tokio::spawn(run_maintenance(node.clone()));
    tokio::spawn(Arc::clone(&shared.callers).watch());
    tokio::spawn(announce_news(node.clone()));
    let front = bind(settings.front).await?;
    let calls = Arc::clone(&shared);
    let tracker = connections.clone();
    let closing = node.inner.closing.clone();
    let listening = tokio::spawn(relay::serve(front, calls, names, tracker, closing));
    stop_requested.await;
    shut_down(&settings, &node, listening, &connections).await;
    Ok(())
}

/// Returns the limits for the connections of callers.
fn caller_settings(settings: &Settings) -> callers::Settings {
    let default = callers::Settings::default();
    let used = callers::Settings {
        stall: settings.caller_stall.unwrap_or(default.stall),
        max_descriptors: settings.max_descriptors.unwrap_or(default.max_descriptors),
    };
    log::info!(
        "event=caller_limits caller_stall_ms={} max_descriptors={}",
        used.stall.as_millis(),
        used.max_descriptors
    );
    used
}

/// Returns the bytes that requests and answers may hold together while they are read.
fn max_buffered(settings: &Settings) -> usize {
    let memory = settings.memory_mib.or_else(memory::total_mib);
    let part = memory.map(|mib| (mib * MEMORY_PART * f64::from(1 << 20)) as usize);
    let limit = part.map_or(memory::DEFAULT_LIMIT, |bytes| bytes.max(MIN_BUFFERED));
    log::info!("event=message_memory memory_mib={memory:?} limit={limit}");
    limit
}

/// Returns the retry budget that all nodes together use.
fn retry_budget(settings: &Settings) -> budget::Settings {
    let slack = settings.retry_slack * RETRY_BUDGET_FRACTION;
    // Within one window, both the saved budget and the budget accrued in it can be spent.
    budget::Settings {
        retries_per_success: settings.retry_ratio * RETRY_BUDGET_FRACTION,
        retries_per_second: slack / 2.0 / settings.retry_window.as_secs_f64(),
        max_balance: slack / 2.0,
        overdraft: 0.0,
    }
}

async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.wrap_err_with(|| format!("cannot listen on {address}"))
}

async fn serve_auxiliary<N: Names>(
    settings: &Settings,
    node: &Node,
    names: &N,
    connections: &TaskTracker,
    store_calls: Arc<Calls>,
) -> eyre::Result<()> {
    let readiness = bind(settings.readiness).await?;
    let directory = bind(settings.directory).await?;
    let metrics = bind(settings.metrics).await?;
    let limits = node.inner.shared.settings;
    let registry = || auxiliary::registry(limits.callers, limits.max_buffered);
    let host = node.clone();
    let path = names.paths().ready;
    tokio::spawn(auxiliary::serve(
        readiness,
        registry(),
        move |request: &Request<Incoming>| {
            if request.uri().path() != path {
                return auxiliary::not_found();
            }
            if host.is_ready() {
                answer::local_response(StatusCode::OK, "none")
            } else {
                answer::local_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
            }
        },
    ));
    let host = node.clone();
    let own = names.clone();
    let ttl = ADDRESS_TTL.min(settings.longest_ttl);
    tokio::spawn(auxiliary::serve(
        directory,
        registry(),
        move |request: &Request<Incoming>| {
            if request.uri().path() != own.paths().addresses {
                return auxiliary::not_found();
            }
            let addresses = host.caller_addresses();
            if addresses.is_empty() {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                return answer::local_response(status, "no node takes calls");
            }
            let mut response = answer::local_response(StatusCode::OK, "none");
            *response.body_mut() = answer::Body::Whole(own.addresses(&addresses, ttl).into());
            response
        },
    ));
    let host = node.clone();
    let connections = connections.clone();
    tokio::spawn(auxiliary::serve(
        metrics,
        registry(),
        move |_: &Request<Incoming>| {
            let text = render_metrics(&host, &connections, &store_calls);
            let mut response = answer::local_response(StatusCode::OK, "none");
            *response.body_mut() = answer::Body::Whole(text.into());
            response
        },
    ));
    Ok(())
}

/// Returns the metrics of a node in the text format of Prometheus.
fn render_metrics(node: &Node, connections: &TaskTracker, store_calls: &Calls) -> String {
    let shared = &node.inner.shared;
    let (running, waiting) = shared.admission().totals();
    let mut text = shared.counters.render();
    exchange::traffic::render(&mut text);
    metrics::append_line(&mut text, format_args!("sesamerock_running {running}"));
    metrics::append_line(&mut text, format_args!("sesamerock_waiting {waiting}"));
    store_calls.render(&mut text);
    let version = node.state().version().unwrap_or_default();
    metrics::append_line(
        &mut text,
        format_args!("sesamerock_table_version {version}"),
    );
    let role = node.inner.zone.role().as_str();
    let line = format_args!("sesamerock_store_role{{role=\"{role}\"}} 1");
    metrics::append_line(&mut text, line);
    let (demand, bookings) = shared.admission().demand_totals();
    for (service, totals) in demand {
        for (state, rate) in [
            ("offered", totals.offered),
            ("started", totals.started),
            ("capacity", totals.capacity),
        ] {
            let labels = format!("service=\"{service}\",calls=\"{state}\"");
            let line = format_args!("sesamerock_demand_per_second{{{labels}}} {rate}");
            metrics::append_line(&mut text, line);
        }
    }
    metrics::append_line(&mut text, format_args!("sesamerock_bookings {bookings}"));
    let held = shared.memory.held();
    metrics::append_line(&mut text, format_args!("sesamerock_buffered_bytes {held}"));
    let releasing = shared.memory.releasing();
    let line = format_args!("sesamerock_releasing_bytes {releasing}");
    metrics::append_line(&mut text, line);
    let (unread, still) = shared.callers.unread();
    metrics::append_line(&mut text, format_args!("sesamerock_unread_bytes {unread}"));
    let still = still.as_secs_f64();
    let line = format_args!("sesamerock_caller_longest_stall_seconds {still}");
    metrics::append_line(&mut text, line);
    for (cause, count) in shared.callers.closed() {
        let line = format_args!("sesamerock_callers_closed{{cause=\"{cause}\"}} {count}");
        metrics::append_line(&mut text, line);
    }
    let open = connections.len();
    metrics::append_line(&mut text, format_args!("sesamerock_connections {open}"));
    let subjects = shared.update_suspects(|suspects| suspects.list(clock::now()));
    for (subject, convicted, upstreams) in subjects {
        let state = if convicted.is_some() {
            "convicted"
        } else {
            "suspect"
        };
        let crashes = upstreams.len();
        let labels = format!("subject=\"{subject}\",state=\"{state}\"");
        let line = format_args!("sesamerock_suspect_crashes{{{labels}}} {crashes}");
        metrics::append_line(&mut text, line);
    }
    text
}

/// Publishes the record of this node, retrying until the store accepts it or fails
/// permanently, and again whenever the store has been restored from a copy.
async fn announce<S: Store>(store: S, record: node::Record, shared: Arc<Shared>) {
    let mut restores = shared.store_contact.restores();
    loop {
        match store.announce(&record).await {
            Ok(()) => {
                log::info!("event=announced node={}", record.name);
                if restores.changed().await.is_err() {
                    return;
                }
                // All gateways notice a restore at the same time.
                sleep(REANNOUNCE_SPREAD.mul_f64(rand::random())).await;
                continue;
            }
            Err(fault @ (Fault::Expired | Fault::Held)) => {
                log::error!("event=announce_failed reason=\"{fault}\"");
                return;
            }
            Err(fault) => log::warn!("event=announce_retried reason=\"{fault}\""),
        }
        sleep(ANNOUNCE_RETRY).await;
    }
}

/// Writes the convictions that this gateway pronounces or ends to the store, so that they outlive
/// the gateways, and those of late again when the store has been restored from a copy. Heartbeats
/// have told the others before.
async fn keep_convictions<S: Store>(shared: Arc<Shared>, store: S) {
    let mut restores = shared.store_contact.restores();
    let mut kept: Vec<(Moment, suspect::Record)> = Vec::new();
    loop {
        let records = tokio::select! {
            records = shared.next_convictions() => records,
            Ok(()) = restores.changed() => kept.drain(..).map(|(_, record)| record).collect(),
        };
        let now = clock::now();
        kept.retain(|(at, old)| {
            let is_replaced = records.iter().any(|new| new.slot() == old.slot());
            now.since(*at) < MAX_COPY_AGE && !is_replaced
        });
        kept.extend(records.iter().map(|record| (now, *record)));
        for record in records {
            let subject = record.subject;
            for attempt in 1..=CONVICTION_ATTEMPTS {
                match store.keep_conviction(&record).await {
                    Ok(()) => {
                        log::info!("event=conviction_kept subject={subject} attempt={attempt}");
                        break;
                    }
                    Err(fault) => log::warn!(
                        "event=conviction_not_kept subject={subject} attempt={attempt} \
                         reason=\"{fault}\""
                    ),
                }
                sleep(CONVICTION_RETRY).await;
            }
        }
    }
}

/// Sends heartbeats at once when other gateways should hear of a change: a group has broken or
/// recovered, an upstream has named a limit, or what may crash upstreams is suspect, cleared or
/// convicted. Calls wait for that.
async fn announce_news(node: Node) {
    loop {
        node.inner.shared.news.notified().await;
        node.inner.peers.send_heartbeats_now();
    }
}

/// Periodically removes silent nodes and expired records, and publishes a new view if
/// something changed.
async fn run_maintenance(node: Node) {
    loop {
        sleep(MAINTENANCE_INTERVAL).await;
        for peer in node.inner.peers.remove_silent() {
            log::warn!("event=peer_silent peer={peer}");
        }
        let shared = &node.inner.shared;
        shared.admission().drop_silent_loads(clock::now());
        shared.assign_slots();
        let expired = node.state().settle(clock::now());
        if !expired.is_empty() {
            log_events("lapse", &expired, node.state().position());
        }
        let membership = node.membership();
        let changed = {
            let known = &node.inner.membership;
            let mut known = known.lock().unwrap_or_else(PoisonError::into_inner);
            let previous = std::mem::replace(&mut *known, membership.clone());
            previous != membership
        };
        let caught_up = node.finish_catch_up(clock::now());
        if !expired.is_empty() || changed || caught_up {
            node.publish();
        }
    }
}

/// Serves on until no caller should know this node any more, then stops listening and waits for
/// the connections to end.
async fn shut_down(
    settings: &Settings,
    node: &Node,
    listening: JoinHandle<()>,
    connections: &TaskTracker,
) {
    let inner = &node.inner;
    let shared = &inner.shared;
    let requested_at = clock::now();
    let shutdown = Shutdown::new(
        shutdown::Settings {
            grace: settings.grace,
            address_retention: ADDRESS_TTL.min(settings.longest_ttl) * ADDRESS_TTL_FACTOR,
            ..shutdown::Settings::default()
        },
        requested_at,
    );
    let log_step = |step: &str| {
        let (running, waiting) = shared.admission().totals();
        log::info!(
            "event={step} node={} running={running} waiting={waiting} connections={} after_ms={}",
            settings.node,
            connections.len(),
            clock::now().since(requested_at).as_millis(),
        );
    };
    log_step("stop_requested");
    shared.begin_shutdown(shutdown);
    inner.peers.send_heartbeats_now();
    while !shutdown.may_stop_listening(!inner.peers.accepting().is_empty(), clock::now()) {
        sleep(SHUTDOWN_INTERVAL).await;
    }
    log_step("stop_listening");
    inner.closing.cancel();
    inner.peers.send_heartbeats_now();
    if let Err(error) = listening.await {
        log::error!("event=listener_failed reason=\"{error}\"");
    }
    connections.close();
    let has_ended = async |end: Moment| {
        let time_left = end.since(clock::now());
        timeout(time_left, connections.wait()).await.is_ok()
    };
    if !has_ended(shutdown.waiting_end()).await {
        shared.refuse_waiting();
        if !has_ended(shutdown.answers_end()).await {
            log_step("calls_cut");
            shared.end_calls();
            has_ended(shutdown.calls_end()).await;
        }
    }
    log_step("stop");
    sleep(LOG_FLUSH).await;
}

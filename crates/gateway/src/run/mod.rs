//! Runs a gateway: one process on each VM that serves callers.

mod edge;
mod feeds;
mod settings;

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
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admit::{self, Board};
use crate::clock;
use crate::engine::Engine;
use crate::exchange::{self, Greeting, Host, Peers};
use crate::maps;
use crate::metrics;
use crate::names::Names;
use crate::node;
use crate::relay::{self, Shared, answer};
use crate::state::{News, Position, Snapshot, State, View};
use crate::store::{Batch, Fault, Feed, Store};

pub use settings::Settings;

/// Time that callers are told to keep addresses. They may keep them three times as
/// long, which must pass before a leaving node is gone.
const TTL: Duration = Duration::from_secs(1);
/// Times that a caller may keep addresses beyond what it was told.
const TTL_EXCESS: u32 = 3;
/// Time before the end of the process in which calls must have ended.
const END_MARGIN: Duration = Duration::from_millis(400);
/// Time that a call of a leaving node is left with. Later calls are refused.
const LAST_CALLS: Duration = Duration::from_millis(3_500);
/// Interval at which silence of nodes and lapsed records are looked for.
const HOUSEKEEPING: Duration = Duration::from_millis(200);
/// Time between tries to announce this node.
const ANNOUNCE_RETRY: Duration = Duration::from_millis(500);
/// Part of the system's retry budget that nodes use together. They count on their
/// own, and one of them may have gone unnoticed.
const BUDGET_PART: f64 = 0.7;

/// What the tasks of a node share.
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
    /// When another node was last heard to lead; the start, if none was.
    lead_heard: Mutex<Moment>,
}

/// What follows for a node from those that live beside it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Membership {
    /// Nodes that may be alive, this one included; 0 while that is not known.
    entries: usize,
    /// Whether it claims the lead of the expert maps.
    claims: bool,
}

impl Node {
    fn state(&self) -> MutexGuard<'_, State> {
        let state = &self.inner.state;
        state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn store_away(&self, now: Moment) {
        self.state().store_away(now);
    }

    fn apply(&self, feed: Feed, batch: Batch, whole: bool, now: Moment) {
        let news = self.state().apply(feed, batch, whole, now);
        let position = self.state().position();
        tell("store", &news, position);
        if feed == Feed::Nodes {
            self.follow_peers();
        }
        if !news.is_empty() || whole {
            self.publish();
        }
    }

    fn publish(&self) {
        let membership = self.membership();
        let view = View {
            claims: membership.claims,
            ..self.state().view(membership.entries)
        };
        self.inner.shared.publish(view);
    }

    /// Returns for how long no other node was heard to lead.
    fn unled(&self) -> Duration {
        let heard = &self.inner.lead_heard;
        let heard = heard.lock().unwrap_or_else(PoisonError::into_inner);
        clock::now().since(*heard)
    }

    /// Returns what the other nodes make of this one.
    fn membership(&self) -> Membership {
        let peers = &self.inner.peers;
        let ready = peers.ready();
        let others = ready.iter().map(|node| node.name.as_str());
        Membership {
            entries: peers.entries(),
            claims: maps::should_claim(&self.inner.record.name, others, self.unled()),
        }
    }

    fn follow_peers(&self) {
        let own = &self.inner.record.name;
        let state = self.state();
        let others = state.nodes().filter(|node| node.name != *own);
        let others: Vec<node::Record> = others.cloned().collect();
        drop(state);
        self.inner.peers.follow(others, self);
    }

    fn is_ready(&self) -> bool {
        let view = self.inner.shared.view.load();
        let leaving = self.inner.shared.leaving.load(Ordering::Relaxed);
        view.table.is_some() && view.complete && view.entries > 0 && !leaving
    }
}

/// Logs what changed, with where it was learnt.
fn tell(source: &str, news: &[News], position: Position) {
    let at = position.orders;
    for one in news {
        match one {
            News::Table(version) => {
                log::info!("event=table_in_force version={version} source={source} next={at}");
            }
            News::Zone(zone, out) => {
                log::info!("event=zone zone={zone} out={out} source={source} next={at}");
            }
            News::Upstream(record) => log::info!(
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
            News::UpstreamGone(id) => {
                let at = position.upstreams;
                log::info!("event=upstream_gone id={id} source={source} next={at}");
            }
            News::Unreadable(key, reason) => {
                log::warn!("event=record_ignored key={key:?} reason=\"{reason}\"");
            }
        }
    }
}

impl Host for Node {
    fn greeting(&self) -> Greeting {
        Greeting {
            node: self.inner.record.clone(),
            ready: self.is_ready(),
            leads: self.inner.shared.leads.load(Ordering::Relaxed),
            position: self.state().position(),
            loads: self.inner.shared.board().loads(),
        }
    }

    fn greeted(&self, greeting: Greeting) {
        let name = greeting.node.name.clone();
        let loads = greeting.loads.clone();
        if greeting.leads {
            let heard = &self.inner.lead_heard;
            let mut heard = heard.lock().unwrap_or_else(PoisonError::into_inner);
            *heard = clock::now();
        }
        self.inner.shared.board().heard(&name, loads, clock::now());
        if self.inner.peers.greeted(greeting) {
            log::info!("event=peer_heard peer={name}");
        }
    }

    fn snapshot(&self) -> Snapshot {
        self.state().snapshot(clock::now())
    }

    fn restore(&self, from: &str, snapshot: Snapshot) {
        let news = self.state().restore(snapshot, clock::now());
        let position = self.state().position();
        tell(from, &news, position);
        if !news.is_empty() {
            self.publish();
        }
    }

    fn position(&self) -> Position {
        self.state().position()
    }
}

/// Runs a gateway until the process is told to stop.
///
/// # Errors
/// Fails if an address cannot be bound.
pub async fn run<S: Store, E: Engine, N: Names>(
    settings: Settings,
    store: S,
    engine: E,
    names: N,
) -> eyre::Result<()> {
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
    let board = Board::new(
        admit::Settings {
            cold_slack: settings.cold_slack,
            ..admit::Settings::default()
        },
        Arc::clone(&record.zone),
    );
    let shared = Arc::new(Shared::new(
        relay::Settings {
            budget: retry_budget(&settings),
            ..relay::Settings::default()
        },
        board,
    ));
    let node = Node {
        inner: Arc::new(Inner {
            record: record.clone(),
            state: Mutex::default(),
            shared: Arc::clone(&shared),
            peers: Peers::new(exchange::Settings::default()),
            membership: Mutex::default(),
            lead_heard: Mutex::new(clock::now()),
        }),
    };
    let stop = CancellationToken::new();
    let tracker = TaskTracker::new();
    serve_edges(&settings, &node, &names).await?;
    let peers = bind(settings.exchange).await?;
    tokio::spawn(exchange::serve(peers, node.clone(), stop.clone()));
    for feed in [Feed::Orders, Feed::Upstreams, Feed::Nodes] {
        tokio::spawn(feeds::follow(
            node.clone(),
            store.clone(),
            feed,
            settings.drain,
        ));
    }
    tokio::spawn(announce(store.clone(), record));
    let lead = maps::Settings {
        node: settings.node.clone(),
        lease: settings.lease,
    };
    tokio::spawn(maps::run_leader(Arc::clone(&shared), store, engine, lead));
    tokio::spawn(keep_house(node.clone()));
    let front = bind(settings.front).await?;
    let calls = Arc::clone(&shared);
    tokio::spawn(relay::serve(front, calls, names, tracker, stop));
    wait_for_end(&settings, &node).await
}

/// Returns the retry budget that all nodes together use.
fn retry_budget(settings: &Settings) -> budget::Settings {
    let slack = settings.retry_slack * BUDGET_PART;
    // Within one window, what was saved up and what is added in it can both be used.
    budget::Settings {
        share: settings.retry_ratio * BUDGET_PART,
        floor: slack / 2.0 / settings.retry_window.as_secs_f64(),
        most: slack / 2.0,
        overdraft: 0.0,
    }
}

async fn bind(address: std::net::SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.wrap_err_with(|| format!("cannot listen on {address}"))
}

async fn serve_edges<N: Names>(settings: &Settings, node: &Node, names: &N) -> eyre::Result<()> {
    let readiness = bind(settings.readiness).await?;
    let directory = bind(settings.directory).await?;
    let metrics = bind(settings.metrics).await?;
    let host = node.clone();
    let path = names.paths().ready;
    tokio::spawn(edge::serve(
        readiness,
        move |request: &Request<Incoming>| {
            if request.uri().path() != path {
                return edge::unknown();
            }
            if host.is_ready() {
                answer::own(StatusCode::OK, "none")
            } else {
                answer::own(StatusCode::SERVICE_UNAVAILABLE, "not ready")
            }
        },
    ));
    let host = node.clone();
    let own = names.clone();
    let ttl = TTL.min(settings.longest_ttl);
    tokio::spawn(edge::serve(
        directory,
        move |request: &Request<Incoming>| {
            if request.uri().path() != own.paths().addresses {
                return edge::unknown();
            }
            let mut nodes = host.inner.peers.ready();
            if host.is_ready() {
                nodes.push(host.inner.record.clone());
            }
            if nodes.is_empty() {
                return answer::own(StatusCode::SERVICE_UNAVAILABLE, "no node is ready");
            }
            let addresses: Vec<_> = nodes.iter().map(|node| node.front).collect();
            let mut response = answer::own(StatusCode::OK, "none");
            *response.body_mut() = answer::Body::Whole(own.addresses(&addresses, ttl).into());
            response
        },
    ));
    let shared = Arc::clone(&node.inner.shared);
    tokio::spawn(edge::serve(metrics, move |_: &Request<Incoming>| {
        let (running, waiting) = shared.board().totals();
        let mut text = shared.counters.render();
        metrics::line(&mut text, format_args!("sesamerock_running {running}"));
        metrics::line(&mut text, format_args!("sesamerock_waiting {waiting}"));
        let mut response = answer::own(StatusCode::OK, "none");
        *response.body_mut() = answer::Body::Whole(text.into());
        response
    }));
    Ok(())
}

/// Writes the record of this node until the store has taken it.
async fn announce<S: Store>(store: S, record: node::Record) {
    loop {
        match store.announce(&record).await {
            Ok(()) => {
                log::info!("event=announced node={}", record.name);
                return;
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

/// Looks for nodes that fell silent and records that lapsed.
async fn keep_house(node: Node) {
    loop {
        sleep(HOUSEKEEPING).await;
        for peer in node.inner.peers.silent() {
            log::warn!("event=peer_silent peer={peer}");
        }
        let settled = node.state().settle(clock::now());
        if !settled.is_empty() {
            tell("lapse", &settled, node.state().position());
        }
        let membership = node.membership();
        let changed = {
            let known = &node.inner.membership;
            let mut known = known.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::replace(&mut *known, membership) != membership
        };
        if !settled.is_empty() || changed {
            node.publish();
        }
    }
}

/// Waits for the request to stop, and then for the calls to end.
async fn wait_for_end(settings: &Settings, node: &Node) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            // The addresses of a process are fixed, and the rest is learnt.
            _ = reload.recv() => log::info!("event=reload node={}", settings.node),
        }
    }
    let shared = &node.inner.shared;
    let asked = clock::now();
    let (running, waiting) = shared.board().totals();
    log::info!("event=stop_requested running={running} waiting={waiting}");
    shared.leaving.store(true, Ordering::Relaxed);
    node.inner.peers.hurry();
    let quiet = TTL.min(settings.longest_ttl) * TTL_EXCESS;
    let last = settings.grace.saturating_sub(END_MARGIN);
    let closes = last.saturating_sub(LAST_CALLS);
    loop {
        sleep(Duration::from_millis(50)).await;
        let since = clock::now().since(asked);
        if since >= closes {
            shared.closed.store(true, Ordering::Relaxed);
        }
        let (running, waiting) = shared.board().totals();
        let idle = running == 0 && waiting == 0 && since >= quiet;
        if idle || since >= last {
            log::info!(
                "event=stop node={} running={running} after_ms={}",
                settings.node,
                since.as_millis()
            );
            // Lets the last lines and answers out.
            sleep(Duration::from_millis(50)).await;
            return Ok(());
        }
    }
}

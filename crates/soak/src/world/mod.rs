//! Gateways as processes, and the store and the upstreams around them.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sesamerock_gateway::run::Settings;
use sesamerock_standin::port::free;
use sesamerock_standin::proxy::{Fault, Proxy};
use sesamerock_standin::scripted::{
    Act, Upstream, answer, chunk, field, misdirected, record, stream,
};
use sesamerock_standin::topics::{Kind, Route, Store, table};
use tokio_util::sync::CancellationToken;

use crate::ledger::{DRAIN, Ledger};
use crate::process::Process;

/// Gateways of a run.
pub const GATEWAYS: usize = 3;
/// Upstreams of a run.
pub const UPSTREAMS: usize = 6;
/// Zones, which share both.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Events of a stream.
pub const EVENTS: u64 = 8;
/// Longest time from SIGTERM to the end of a process.
const GRACE: Duration = Duration::from_secs(8);
/// Topics of the store.
const OPERATOR: &str = "keyed.op";
const SERVERS: &str = "keyed.servers";

/// An upstream behind a proxy, which is what gateways know of it.
#[derive(Debug)]
pub struct Server {
    /// Its zone.
    pub zone: &'static str,
    /// The way to it.
    pub proxy: Proxy,
    upstream: Upstream,
}

/// A gateway and its way to the store.
#[derive(Debug)]
pub struct Node {
    /// The process.
    pub process: Process,
    /// The way to the store.
    pub store: Proxy,
}

/// What a run consists of.
#[derive(Clone, Debug)]
pub struct World {
    /// What was seen.
    pub ledger: Ledger,
    /// The store.
    pub store: Store,
    /// The gateways.
    pub nodes: Arc<Vec<Mutex<Node>>>,
    /// The upstreams.
    pub servers: Arc<Vec<Server>>,
    /// The newest version of the operators' table.
    pub version: Arc<AtomicU64>,
    _stop: Arc<tokio_util::sync::DropGuard>,
}

impl World {
    /// Starts all parts.
    ///
    /// # Errors
    /// Fails if the programs or the stand-ins cannot be started.
    pub async fn start(program: &Path, logs: &Path) -> eyre::Result<Self> {
        let stop = CancellationToken::new();
        let ledger = Ledger::default();
        let store = Store::start().await?;
        let mut servers = Vec::new();
        for number in 0..UPSTREAMS {
            let id = format!("u{number}");
            let zone = ZONES[number % ZONES.len()];
            let (own, seen) = (id.clone(), ledger.clone());
            let act = move |call: &str| act(call, &own, zone, &seen);
            let upstream = Upstream::start(&id, act).await?;
            let proxy = Proxy::start(upstream.address, stop.clone()).await?;
            servers.push(Server {
                zone,
                proxy,
                upstream,
            });
        }
        let mut nodes = Vec::new();
        for number in 0..GATEWAYS {
            let proxy = Proxy::start(store.address, stop.clone()).await?;
            let settings = settings(number, &proxy)?;
            let process = Process::start(program, settings, logs)?;
            nodes.push(Mutex::new(Node {
                process,
                store: proxy,
            }));
        }
        let world = Self {
            ledger,
            store,
            nodes: Arc::new(nodes),
            servers: Arc::new(servers),
            version: Arc::new(AtomicU64::new(0)),
            _stop: Arc::new(stop.drop_guard()),
        };
        world.next_version();
        for number in 0..UPSTREAMS {
            world.register(number, "ready");
        }
        Ok(world)
    }

    /// Returns a gateway.
    pub fn node(&self, number: usize) -> MutexGuard<'_, Node> {
        let node = &self.nodes[number];
        node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes what an upstream says of itself.
    pub fn register(&self, number: usize, state: &str) {
        let server = &self.servers[number];
        let text = record(server.proxy.address(), server.zone, state);
        self.store.put(SERVERS, &server.upstream.id, &text);
        let out = state == "draining";
        self.ledger.take(&server.upstream.id, out);
    }

    /// Takes a zone out of service, or back.
    pub fn evacuate(&self, zone: &str, out: bool) {
        let key = format!("evacuate/{zone}");
        self.store.put(OPERATOR, &key, if out { "{}" } else { "" });
        self.ledger.take(&format!("zone/{zone}"), out);
    }

    /// Writes the next version of the operators' table, which adds a route of its own.
    pub fn next_version(&self) -> u64 {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        self.store.put(OPERATOR, "config", &config(version));
        version
    }

    /// Ends all faults.
    ///
    /// # Errors
    /// Fails if a process cannot be started again.
    pub async fn heal(&self) -> eyre::Result<()> {
        self.store.refuse(None);
        for server in self.servers.iter() {
            server.proxy.set(Fault::Pass);
        }
        for zone in ZONES {
            self.evacuate(zone, false);
        }
        for number in 0..UPSTREAMS {
            self.register(number, "ready");
        }
        for number in 0..GATEWAYS {
            let mut node = self.node(number);
            node.store.set(Fault::Pass);
            node.process.signal(libc::SIGCONT)?;
        }
        // All processes that were told to stop have been started again, but one that was
        // frozen too.
        for _ in 0..GRACE.as_millis() / 100 {
            let mut running = 0;
            for number in 0..GATEWAYS {
                let mut node = self.node(number);
                running += usize::from(!node.process.restart()?);
            }
            if running == GATEWAYS {
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Ok(())
    }
}

fn settings(number: usize, store: &Proxy) -> eyre::Result<Settings> {
    Ok(Settings {
        node: format!("front-{number}"),
        zone: ZONES[number % ZONES.len()].to_owned(),
        front: free()?,
        readiness: free()?,
        directory: free()?,
        exchange: free()?,
        metrics: free()?,
        store: store.address(),
        grace: GRACE,
        longest_ttl: Duration::from_secs(1),
        drain: DRAIN,
        retry_ratio: 0.2,
        retry_slack: 90.0,
        retry_window: Duration::from_secs(10),
        cold_slack: 5.0,
        lease: Duration::from_secs(1),
        max_pause: Duration::from_millis(120),
    })
}

/// Answers a call as an upstream.
fn act(call: &str, id: &str, zone: &str, ledger: &Ledger) -> Act {
    let request = field(call, "request-id").unwrap_or_default();
    if field(call, "expect-instance").is_some_and(|named| named != id) {
        return Act::Write(misdirected(call));
    }
    let path = call.split(' ').nth(1).unwrap_or_default();
    ledger.ran(&request, path.starts_with("/once/"), id, zone);
    if !path.starts_with("/stream/") {
        let work = Duration::from_millis(5 + u64::from(request.len() as u32 % 7) * 5);
        return Act::Work(work, answer(call, &request));
    }
    let last = field(call, "last-event-id").and_then(|last| last.parse::<u64>().ok());
    let events = last.unwrap_or(0) + 1..=EVENTS;
    let event = |number| chunk(&format!("id: {number}\ndata: {request}\n\n"));
    let mut pieces: Vec<String> = events.map(event).collect();
    pieces.push("0\r\n\r\n".to_owned());
    let header = stream(call, &format!("s.{request}"));
    Act::Stream(header, pieces, Duration::from_millis(25))
}

/// Returns the operators' table of a version: routes of all kinds, and one for each
/// version so far.
fn config(version: u64) -> String {
    let mut routes = vec![
        route("safe", Kind::Safe),
        route("once", Kind::Unsafe),
        route("stream", Kind::Stream { resumable: true }),
    ];
    let versions = (1..=version).map(|version| route(&format!("v{version}"), Kind::Safe));
    routes.extend(versions);
    table(version, &routes)
}

fn route(name: &str, kind: Kind) -> Route<'static> {
    Route {
        name: name.to_owned(),
        host: "soak.example",
        kind,
        timeout: Duration::from_secs(3),
    }
}

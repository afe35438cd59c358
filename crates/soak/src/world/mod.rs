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

use crate::process::Process;
use crate::recorder::{DRAIN_TIME, Recorder};

/// Gateways of a run.
pub const GATEWAYS: usize = 3;
/// Upstreams of a run.
pub const UPSTREAMS: usize = 6;
/// Zones, which share both.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Events of a stream.
pub const EVENTS_PER_STREAM: u64 = 8;
/// Longest time from SIGTERM to the end of a process.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(8);
/// Topics of the store.
const OPERATOR_TOPIC: &str = "keyed.op";
const SERVERS_TOPIC: &str = "keyed.servers";

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
pub struct Gateway {
    /// The process.
    pub process: Process,
    /// The way to the store.
    pub store: Proxy,
}

/// What a run consists of.
#[derive(Clone, Debug)]
pub struct World {
    /// What was seen.
    pub recorder: Recorder,
    /// The store.
    pub store: Store,
    /// The gateways.
    pub gateways: Arc<Vec<Mutex<Gateway>>>,
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
        let recorder = Recorder::default();
        let store = Store::start().await?;
        let mut servers = Vec::new();
        for number in 0..UPSTREAMS {
            let id = format!("u{number}");
            let zone = ZONES[number % ZONES.len()];
            let (upstream_id, upstream_recorder) = (id.clone(), recorder.clone());
            let act =
                move |call: &str| upstream_action(call, &upstream_id, zone, &upstream_recorder);
            let upstream = Upstream::start(&id, act).await?;
            let proxy = Proxy::start(upstream.address, stop.clone()).await?;
            servers.push(Server {
                zone,
                proxy,
                upstream,
            });
        }
        let mut gateways = Vec::new();
        for number in 0..GATEWAYS {
            let proxy = Proxy::start(store.address, stop.clone()).await?;
            let settings = settings(number, &proxy)?;
            let process = Process::start(program, settings, logs)?;
            gateways.push(Mutex::new(Gateway {
                process,
                store: proxy,
            }));
        }
        let world = Self {
            recorder,
            store,
            gateways: Arc::new(gateways),
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
    pub fn gateway(&self, number: usize) -> MutexGuard<'_, Gateway> {
        let gateway = &self.gateways[number];
        gateway.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes what an upstream says of itself.
    pub fn register(&self, number: usize, state: &str) {
        let server = &self.servers[number];
        let text = record(server.proxy.address(), server.zone, state);
        self.store.put(SERVERS_TOPIC, &server.upstream.id, &text);
        let is_draining = state == "draining";
        self.recorder
            .set_out_of_service(&server.upstream.id, is_draining);
    }

    /// Takes a zone out of service, or back.
    pub fn evacuate(&self, zone: &str, is_out: bool) {
        let key = format!("evacuate/{zone}");
        self.store
            .put(OPERATOR_TOPIC, &key, if is_out { "{}" } else { "" });
        self.recorder
            .set_out_of_service(&format!("zone/{zone}"), is_out);
    }

    /// Writes the next version of the operators' table, which adds a route of its own.
    pub fn next_version(&self) -> u64 {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        self.store.put(OPERATOR_TOPIC, "config", &config(version));
        version
    }

    /// Ends all faults.
    ///
    /// # Errors
    /// Fails if a process cannot be started again.
    pub async fn end_faults(&self) -> eyre::Result<()> {
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
            let mut gateway = self.gateway(number);
            gateway.store.set(Fault::Pass);
            gateway.process.signal(libc::SIGCONT)?;
        }
        // All processes that were told to stop have been started again, but one that was
        // frozen too.
        for _ in 0..SHUTDOWN_GRACE.as_millis() / 100 {
            let mut running = 0;
            for number in 0..GATEWAYS {
                let mut gateway = self.gateway(number);
                running += usize::from(!gateway.process.restart()?);
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
        grace: SHUTDOWN_GRACE,
        longest_ttl: Duration::from_secs(1),
        drain: DRAIN_TIME,
        retry_ratio: 0.2,
        retry_slack: 90.0,
        retry_window: Duration::from_secs(10),
        cold_slack: 5.0,
        lease: Duration::from_secs(1),
        max_pause: Duration::from_millis(120),
    })
}

/// Answers a call as an upstream.
fn upstream_action(call: &str, id: &str, zone: &str, recorder: &Recorder) -> Act {
    let request = field(call, "request-id").unwrap_or_default();
    if field(call, "expect-instance").is_some_and(|named| named != id) {
        return Act::Write(misdirected(call));
    }
    let path = call.split(' ').nth(1).unwrap_or_default();
    recorder.record_run(&request, path.starts_with("/once/"), id, zone);
    if !path.starts_with("/stream/") {
        let work = Duration::from_millis(5 + u64::from(request.len() as u32 % 7) * 5);
        return Act::Work(work, answer(call, &request));
    }
    let last = field(call, "last-event-id").and_then(|last| last.parse::<u64>().ok());
    let events = last.unwrap_or(0) + 1..=EVENTS_PER_STREAM;
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

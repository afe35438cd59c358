//! The system under test: gateway processes with stand-ins for the store and the upstreams.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sesamerock_gateway::run::{Settings, StoreReader};
use sesamerock_standin::port::free;
use sesamerock_standin::proxy::{Fault, Proxy};
use sesamerock_standin::scripted::{
    Act, Upstream, answer, chunk, field, misdirected, record, stream,
};
use sesamerock_standin::topics::{Kind, Route, Store, table};
use tokio_util::sync::CancellationToken;

use crate::process::Process;
use crate::recorder::{DRAIN_TIME, Recorder};

/// Number of gateways in a run.
pub const GATEWAYS: usize = 3;
/// Number of upstreams in a run.
pub const UPSTREAMS: usize = 6;
/// Zones, to which gateways and upstreams are assigned in rotation.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// Number of events in a complete stream.
pub const EVENTS_PER_STREAM: u64 = 8;
/// Maximum time from SIGTERM to the end of a gateway process.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(8);
/// Topic of the operators' entries in the store.
const OPERATOR_TOPIC: &str = "keyed.op";
/// Topic of the upstream registrations in the store.
const SERVERS_TOPIC: &str = "keyed.servers";

/// An upstream behind a proxy. Gateways know only the address of the proxy.
#[derive(Debug)]
pub struct Server {
    /// Zone that the upstream is registered in.
    pub zone: &'static str,
    /// Proxy that injects network faults in front of the upstream.
    pub proxy: Proxy,
    upstream: Upstream,
}

/// A gateway and the proxy through which it reaches the store.
#[derive(Debug)]
pub struct Gateway {
    /// Child process of the gateway.
    pub process: Process,
    /// Proxy that injects network faults between the gateway and the store.
    pub store: Proxy,
}

/// All parts of a run. Clones share the same parts.
#[derive(Clone, Debug)]
pub struct World {
    /// Observations of callers and upstreams.
    pub recorder: Recorder,
    /// Stand-in for the store that gateways read from.
    pub store: Store,
    /// Gateways under test, indexed by number.
    pub gateways: Arc<Vec<Mutex<Gateway>>>,
    /// Stand-in upstreams, indexed by number.
    pub servers: Arc<Vec<Server>>,
    /// Newest version of the operators' table in the store.
    pub version: Arc<AtomicU64>,
    _stop: Arc<tokio_util::sync::DropGuard>,
}

impl World {
    /// Starts the store, the upstreams and the gateways, and writes the first table and the
    /// registrations of the upstreams.
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

    /// Locks and returns the gateway with this number.
    pub fn gateway(&self, number: usize) -> MutexGuard<'_, Gateway> {
        let gateway = &self.gateways[number];
        gateway.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the registration of an upstream with this state: `ready` or `draining`.
    pub fn register(&self, number: usize, state: &str) {
        let server = &self.servers[number];
        let text = record(server.proxy.address(), server.zone, state);
        self.store.put(SERVERS_TOPIC, &server.upstream.id, &text);
        let is_draining = state == "draining";
        self.recorder
            .set_out_of_service(&server.upstream.id, is_draining);
    }

    /// Takes a zone out of service or returns it to service.
    pub fn evacuate(&self, zone: &str, is_out: bool) {
        let key = format!("evacuate/{zone}");
        self.store
            .put(OPERATOR_TOPIC, &key, if is_out { "{}" } else { "" });
        self.recorder
            .set_out_of_service(&format!("zone/{zone}"), is_out);
    }

    /// Writes the next version of the operators' table, which adds a route for
    /// this version. Returns the version.
    pub fn next_version(&self) -> u64 {
        let version = self.version.fetch_add(1, Ordering::Relaxed) + 1;
        self.store.put(OPERATOR_TOPIC, "config", &config(version));
        version
    }

    /// Ends all faults and waits until all gateways run, for at most about 8 s.
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
        // All processes stopped with SIGTERM have been started again, except one that was also
        // suspended.
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
        memory_mib: None,
        late_streams: true,
        caller_stall: None,
        max_descriptors: None,
        lease: Duration::from_secs(1),
        fencing: true,
        store_reader: StoreReader::default(),
        max_pause: Duration::from_millis(120),
        shares: None,
    })
}

/// Returns the reaction of an upstream to a call, and records that it runs the call.
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

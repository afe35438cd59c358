//! The system under test: gateway processes with stand-ins for the store and the upstreams.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use sesamerock_gateway::run::{Settings, StoreReader};
use sesamerock_standin::port::free;
use sesamerock_standin::proxy::{Fault, Proxy};
use sesamerock_standin::scripted::{
    Act, Upstream, answer, chunk, field, misdirected, record, stream,
};
use sesamerock_standin::topics::{self, Kind, Route, Store, table};
use tokio_util::sync::CancellationToken;

use crate::knowledge::{Knowledge, Removed};
use crate::operator::{Operator, Write};
use crate::process::Process;
use crate::recorder::{DRAIN_TIME, Recorder};

/// Number of gateways in a run.
pub const GATEWAYS: usize = 3;
/// Least number of gateways in a run with restores of the store.
pub const MIN_DRILL_GATEWAYS: usize = 5;
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
    /// Faults of drills at that proxy, which overlap; the last one is in force.
    store_faults: Vec<(u64, Fault)>,
}

/// The gateways of a run.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of zones that have gateways.
    pub zones: usize,
    /// Whether one of the gateways leads. Without a leader, gateways for which another one reads the
    /// store make reads of their own to learn whether it answers them.
    pub has_leader: bool,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            gateways: GATEWAYS,
            zones: ZONES.len(),
            has_leader: false,
        }
    }
}

/// An absence of the store that ends with a restore from a copy.
#[derive(Debug)]
pub struct Absence {
    copied_at: Instant,
    copy: topics::Copy,
    number: usize,
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
    /// Whether the store is restored from copies during the run.
    pub is_drill: bool,
    operator: Arc<Mutex<Operator>>,
    next_fault: Arc<AtomicU64>,
    _stop: Arc<tokio_util::sync::DropGuard>,
}

impl World {
    /// Starts the store, the upstreams and the gateways, and writes the first table and the
    /// registrations of the upstreams.
    ///
    /// # Errors
    /// Fails if the programs or the stand-ins cannot be started.
    pub async fn start(
        program: &Path,
        logs: &Path,
        layout: Layout,
        is_drill: bool,
    ) -> eyre::Result<Self> {
        let stop = CancellationToken::new();
        let recorder = Recorder::default();
        let store = Store::start().await?;
        if layout.has_leader {
            store.grant_leadership();
        }
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
        for number in 0..layout.gateways {
            let proxy = Proxy::start(store.address, stop.clone()).await?;
            let mut settings = settings(number, &proxy)?;
            ZONES[number % layout.zones].clone_into(&mut settings.zone);
            let process = Process::start(program, settings, logs)?;
            recorder.update_knowledge(|known| known.record_start(number, process.incarnation));
            gateways.push(Mutex::new(Gateway {
                process,
                store: proxy,
                store_faults: Vec::new(),
            }));
        }
        let world = Self {
            recorder,
            store,
            gateways: Arc::new(gateways),
            servers: Arc::new(servers),
            version: Arc::new(AtomicU64::new(0)),
            is_drill,
            operator: Arc::default(),
            next_fault: Arc::default(),
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

    /// Returns the number of the gateway at an address.
    pub fn number_of(&self, front: SocketAddr) -> usize {
        let mut numbers = 0..self.gateways.len();
        let number = numbers.find(|number| self.gateway(*number).process.front_address() == front);
        number.unwrap_or(self.gateways.len())
    }

    /// Records an event for the log of the run.
    pub fn record_event(&self, text: &str) {
        self.recorder.record_event(text);
    }

    /// Begins or ends a time in which [`Self::next_version_unless_paused`] writes none.
    pub fn pause_versions(&self, begins: bool) {
        let mut operator = self.operator();
        let pauses = &mut operator.pauses;
        *pauses = if begins {
            *pauses + 1
        } else {
            pauses.saturating_sub(1)
        };
    }

    /// Writes the next version of the table, unless versions are paused.
    pub fn next_version_unless_paused(&self) {
        if self.operator().pauses == 0 {
            self.next_version();
        }
    }

    fn operator(&self) -> MutexGuard<'_, Operator> {
        self.operator.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the registration of an upstream with this state: `ready`, `draining`, or empty if it
    /// has left.
    pub fn register(&self, number: usize, state: &'static str) {
        self.write(Write::Upstream(number, state));
    }

    /// Takes a zone out of service or returns it to service.
    pub fn evacuate(&self, zone: &'static str, is_out: bool) {
        self.write(Write::Zone(zone, is_out));
    }

    /// Writes the next version of the operators' table, which adds a route for
    /// this version and withdraws a key of an earlier one.
    pub fn next_version(&self) {
        let mut operator = self.operator();
        operator.version += 1;
        let write = Write::Table(operator.version);
        if operator.submit(&write) {
            self.confirm(&mut operator, write);
        }
    }

    /// Writes a record, or lets it wait while the store is away.
    fn write(&self, write: Write) {
        let mut operator = self.operator();
        if operator.submit(&write) {
            self.confirm(&mut operator, write);
        }
    }

    fn confirm(&self, operator: &mut Operator, write: Write) {
        let recorder = &self.recorder;
        recorder.record_event(&format!("operator={write:?}"));
        match &write {
            Write::Table(version) => {
                self.store.put(OPERATOR_TOPIC, "config", &config(*version));
                self.version.fetch_max(*version, Ordering::Relaxed);
                recorder.update_knowledge(|known| known.record_version(*version));
            }
            Write::Zone(zone, is_out) => {
                let key = format!("evacuate/{zone}");
                let value = if *is_out { "{}" } else { "" };
                self.store.put(OPERATOR_TOPIC, &key, value);
                let key = format!("zone/{zone}");
                recorder.set_out_of_service(&key, *is_out);
                let removed = is_out.then_some(Removed::Taken);
                recorder.update_knowledge(|known| known.record_removal(&key, removed));
            }
            Write::Upstream(number, state) => {
                let server = &self.servers[*number];
                let text = match *state {
                    "" => String::new(),
                    state => record(server.proxy.address(), server.zone, state),
                };
                self.store.put(SERVERS_TOPIC, &server.upstream.id, &text);
                let key = &server.upstream.id;
                recorder.set_out_of_service(key, *state != "ready");
                let removed = match *state {
                    "ready" => None,
                    "" => Some(Removed::Left),
                    _ => Some(Removed::Taken),
                };
                recorder.update_knowledge(|known| known.record_removal(key, removed));
            }
        }
        operator.record_confirmed(write);
    }

    /// Keeps a copy of the store.
    pub fn keep_copy(&self) {
        self.operator().keep_copy(self.store.back_up());
    }

    /// Lets the store leave, and returns the copy from which it is to be restored, at least as old
    /// as `age`. Writes wait until it is back.
    pub fn begin_absence(&self, age: Duration) -> Absence {
        let mut operator = self.operator();
        let (copied_at, copy) = operator
            .copy(age)
            .unwrap_or_else(|| (Instant::now(), self.store.back_up()));
        operator.leave();
        let number = self.recorder.update_knowledge(Knowledge::record_absence);
        Absence {
            copied_at,
            copy,
            number,
        }
    }

    /// Restores the store. Returns the records that it lost.
    pub fn restore(&self, absence: Absence) -> Vec<Write> {
        let mut operator = self.operator();
        self.store.restore(absence.copy);
        let lost = operator.lost(absence.copied_at);
        self.recorder.update_knowledge(|known| {
            known.record_return(absence.number, absence.copied_at);
        });
        for write in operator.end_absence() {
            self.confirm(&mut operator, write);
        }
        lost
    }

    /// Writes a lost record again.
    pub fn renew(&self, lost: &Write) {
        let mut operator = self.operator();
        let write = operator.renewed(lost);
        if operator.renew(&write) {
            self.confirm(&mut operator, write);
        }
    }

    /// Writes the newest version of the table again if the last of these records, which have been
    /// written again, is an older one.
    pub fn renew_newest(&self, lost: &[Write]) {
        let later = self.operator().later_table(lost);
        if let Some(later) = later {
            self.renew(&later);
        }
    }

    /// Begins a fault between a gateway and the store, which may overlap others. Returns its number.
    pub fn begin_store_fault(&self, number: usize, fault: Fault) -> u64 {
        let id = self.next_fault.fetch_add(1, Ordering::Relaxed);
        self.update_store_faults(number, |faults| faults.push((id, fault)));
        id
    }

    /// Ends a fault between a gateway and the store.
    pub fn end_store_fault(&self, number: usize, id: u64) {
        self.update_store_faults(number, |faults| faults.retain(|(other, _)| *other != id));
    }

    fn update_store_faults(&self, number: usize, update: impl FnOnce(&mut Vec<(u64, Fault)>)) {
        let mut gateway = self.gateway(number);
        update(&mut gateway.store_faults);
        let fault = gateway.store_faults.last().map(|(_, fault)| *fault);
        let fault = fault.unwrap_or_default();
        gateway.store.set(fault);
        self.recorder
            .update_knowledge(|known| known.set_cut(number, fault != Fault::Pass));
    }

    /// Sends a signal to a gateway.
    ///
    /// # Errors
    /// Fails if the signal cannot be sent.
    pub fn signal(&self, number: usize, signal: i32) -> eyre::Result<()> {
        let mut gateway = self.gateway(number);
        self.recorder.update_knowledge(|known| match signal {
            libc::SIGKILL | libc::SIGTERM => known.record_end(number),
            libc::SIGSTOP => known.set_frozen(number, true),
            libc::SIGCONT => known.set_frozen(number, false),
            _ => {}
        });
        gateway.process.signal(signal)
    }

    /// Starts a gateway again if its process has ended. Returns whether it was started.
    ///
    /// # Errors
    /// Fails if the program cannot be started.
    pub fn restart(&self, number: usize) -> eyre::Result<bool> {
        let mut gateway = self.gateway(number);
        let started = gateway.process.restart()?;
        if started {
            let incarnation = gateway.process.incarnation;
            self.recorder
                .update_knowledge(|known| known.record_start(number, incarnation));
            self.recorder
                .record_event(&format!("gateway={number} started={incarnation}"));
        }
        Ok(started)
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
        for number in 0..self.gateways.len() {
            self.update_store_faults(number, Vec::clear);
            self.signal(number, libc::SIGCONT)?;
        }
        // All processes stopped with SIGTERM have been started again, except one that was also
        // suspended.
        for _ in 0..SHUTDOWN_GRACE.as_millis() / 100 {
            let mut running = 0;
            for number in 0..self.gateways.len() {
                running += usize::from(!self.restart(number)?);
            }
            if running == self.gateways.len() {
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
        let length = request.split('.').next().map_or(0, str::len);
        let work = Duration::from_millis(5 + u64::from(length as u32 % 7) * 5);
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

/// Returns the operators' table of a version: routes of all kinds, one for each
/// version so far, and keys of this version and later ones.
fn config(version: u64) -> String {
    let mut routes = vec![
        route("safe", Kind::Safe),
        route("once", Kind::Unsafe),
        route("stream", Kind::Stream { resumable: true }),
    ];
    let versions = (1..=version).map(|version| route(&format!("v{version}"), Kind::Safe));
    routes.extend(versions);
    let keys = (version..=version + 2).map(|version| format!("\"w{version}\""));
    let keys: Vec<String> = std::iter::once("\"key-1\"".to_owned())
        .chain(keys)
        .collect();
    table(version, &routes).replace("\"key-1\"", &keys.join(","))
}

/// Returns a key that a version withdraws and that the versions before it hold.
pub fn withdrawn_key(version: u64) -> Option<String> {
    (version > 1).then(|| format!("w{}", version - 1))
}

fn route(name: &str, kind: Kind) -> Route<'static> {
    Route {
        name: name.to_owned(),
        host: "soak.example",
        kind,
        timeout: Duration::from_secs(3),
    }
}

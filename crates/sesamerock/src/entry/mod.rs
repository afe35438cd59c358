//! The `entry` role: accepts calls from callers, routes them to the agents
//! beside the upstreams, and serves the operators' interface.

mod dispatch;
pub mod entries;
pub mod operator;
mod progress;
pub(crate) mod relay;
pub mod request;
mod server;
pub mod table;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eyre::WrapErr as _;
use sesamerock_client::http::server as http_server;
use sesamerock_retry::budget::{self, Budget};
use sesamerock_retry::hedge::latency::ServiceLatencies;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::control::Control;
use crate::control::view::ANNOUNCEMENT;
use crate::settings;
use crate::suspects::Suspects;
use crate::telemetry::Metrics;
use crate::{clock, peer};
use entries::Announcement;
use operator::{Operator, Status};
use relay::ConnectionPool;
use server::Caller;
use table::Table;

/// Time after which other nodes drop an announcement that is not repeated. At
/// 970 entries, a shorter time would spend most of a node's control budget on
/// announcements.
const ANNOUNCEMENT_TTL: Duration = Duration::from_mins(10);
/// Time between two announcements, short enough for three of them within
/// [`ANNOUNCEMENT_TTL`].
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_mins(3);

/// State shared by all tasks of an entry.
#[derive(Debug)]
pub struct Context {
    settings: settings::Entry,
    control: Control,
    relays: ConnectionPool,
    table: Mutex<Table>,
    budget: Mutex<Budget>,
    /// Look-up latencies per service, from which the delay before a hedged
    /// request is computed.
    latencies: Mutex<ServiceLatencies>,
    suspects: Suspects,
    metrics: Metrics,
    tasks: TaskTracker,
    /// Bounds the number of calls that wait for capacity at an upstream.
    waiting_slots: Arc<Semaphore>,
}

impl Context {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn latencies(&self) -> MutexGuard<'_, ServiceLatencies> {
        self.latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn status(&self) -> Status {
        let view = self.control.view();
        Status {
            entry: self.settings.node.name.clone(),
            version: view.version(),
            in_contact: view.in_contact(),
            log_age_ms: view
                .log_read
                .map(|read| clock::now().since(read).as_millis() as u64),
            zones_out: view.zones_out(),
            vms_out: view.vms_out(),
            upstreams: self.table().status(),
            progress: Vec::new(),
        }
    }

    /// Queries the agents and returns a line for each rollout that is not
    /// complete yet.
    async fn progress(&self) -> Vec<String> {
        let state = self.control.view().state.clone();
        progress::lines(&state, &self.relays).await
    }

    fn announcement(&self, leaving: bool) -> Announcement {
        let node = &self.settings.node;
        Announcement {
            name: node.name.clone(),
            address: self.settings.caller,
            zone: node.zone.clone(),
            region: node.region.clone(),
            vm: node.vm.clone(),
            leaving,
        }
    }

    /// Announces to all nodes that this entry serves callers or, if `leaving`,
    /// that it is about to stop.
    async fn announce(&self, leaving: bool) {
        let value = serde_json::to_vec(&self.announcement(leaving)).unwrap_or_default();
        self.control
            .publish_fact(ANNOUNCEMENT, value, ANNOUNCEMENT_TTL)
            .await;
    }
}

/// Bound listening sockets of an entry, one for each kind of client.
#[derive(Debug)]
pub struct Listeners {
    /// HTTP address for callers.
    pub caller: TcpListener,
    /// HTTP address for operators.
    pub operator: TcpListener,
    /// Address for the exchange of control state with other nodes.
    pub peer: TcpListener,
}

impl Listeners {
    /// Binds the three addresses given in the settings.
    ///
    /// # Errors
    /// Returns an error if one of the addresses cannot be bound.
    pub async fn bind(settings: &settings::Entry) -> eyre::Result<Self> {
        Ok(Self {
            caller: TcpListener::bind(settings.caller)
                .await
                .wrap_err("cannot bind the caller address")?,
            operator: TcpListener::bind(settings.operator)
                .await
                .wrap_err("cannot bind the operator address")?,
            peer: TcpListener::bind(settings.node.peer)
                .await
                .wrap_err("cannot bind the peer address")?,
        })
    }
}

/// Binds the addresses of the settings and runs an entry until `stop` is
/// cancelled and all accepted calls have been answered.
///
/// # Errors
/// Returns an error if an address cannot be bound or a thread cannot be
/// started.
pub async fn run(settings: settings::Entry, stop: CancellationToken) -> eyre::Result<()> {
    let listeners = Listeners::bind(&settings).await?;
    serve(settings, listeners, stop).await
}

/// Runs an entry on listeners that are already bound, until `stop` is cancelled
/// and all accepted calls have been answered.
///
/// The bound addresses replace those of `settings`, so that port 0 can be used.
///
/// # Errors
/// Returns an error if a thread cannot be started.
pub async fn serve(
    mut settings: settings::Entry,
    listeners: Listeners,
    stop: CancellationToken,
) -> eyre::Result<()> {
    let Listeners {
        caller: callers,
        operator: operators,
        peer: peers,
    } = listeners;
    settings.caller = callers.local_addr()?;
    settings.node.peer = peers.local_addr()?;
    let control = Control::start(settings.node.clone())?;
    let context = Arc::new(Context {
        relays: ConnectionPool::default(),
        table: Mutex::new(Table::new(&settings)),
        budget: Mutex::new(Budget::new(budget::Settings::default(), clock::now())),
        latencies: Mutex::new(ServiceLatencies::default()),
        suspects: Suspects::new(control.clone()),
        metrics: Metrics::new("entry")?,
        waiting_slots: Arc::new(Semaphore::new(settings.waiting)),
        tasks: TaskTracker::new(),
        control: control.clone(),
        settings,
    });
    log::info!(
        "event=entry_started name={} caller={} operator={} peer={} zone={}",
        context.settings.node.name,
        context.settings.caller,
        operators.local_addr()?,
        context.settings.node.peer,
        context.settings.node.zone
    );
    let background_stop = CancellationToken::new();
    tokio::spawn(peer::server::serve(peers, control, background_stop.clone()));
    spawn_tasks(&context, &background_stop);
    let operator = Arc::new(Operator::new(Arc::clone(&context)));
    let operator_settings = http_server::Settings::default();
    tokio::spawn(http_server::serve(
        operators,
        operator_settings,
        operator,
        background_stop.clone(),
    ));
    let caller_settings = http_server::Settings {
        connections: context.settings.connections,
        header_timeout: context.settings.header_timeout,
        ..http_server::Settings::default()
    };
    let caller = Arc::new(Caller::new(Arc::clone(&context)));
    let callers_stop = CancellationToken::new();
    let caller_server = tokio::spawn(http_server::serve(
        callers,
        caller_settings,
        caller,
        callers_stop.clone(),
    ));
    stop.cancelled().await;
    leave(&context).await;
    callers_stop.cancel();
    caller_server.await?;
    context.tasks.close();
    context.tasks.wait().await;
    background_stop.cancel();
    log::info!("event=entry_stopped name={}", context.settings.node.name);
    Ok(())
}

/// Announces that the entry is leaving, then keeps serving for
/// `entries_max_age`: for that time, callers may cache a list that contains
/// this entry.
async fn leave(context: &Context) {
    log::info!(
        "event=entry_leaving serves_on_ms={}",
        context.settings.entries_max_age.as_millis()
    );
    context.announce(true).await;
    context.control.leave().await;
    tokio::time::sleep(context.settings.entries_max_age).await;
}

fn spawn_tasks(context: &Arc<Context>, background_stop: &CancellationToken) {
    let suspects = context.suspects.clone();
    let stop = background_stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(suspects.run()).await });
    let shared = Arc::clone(context);
    let stop = background_stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(follow_control(&shared)).await });
    let shared = Arc::clone(context);
    let stop = background_stop.clone();
    tokio::spawn(async move {
        let announcing = async {
            loop {
                shared.announce(false).await;
                tokio::time::sleep(ANNOUNCEMENT_INTERVAL).await;
            }
        };
        // The announcement that `leave` sends must be the last one.
        stop.run_until_cancelled(announcing).await
    });
}

/// Updates the routing table at every change of the control state.
async fn follow_control(context: &Context) {
    let mut changes = context.control.changes();
    loop {
        let view = Arc::clone(&context.control.view());
        context.table().update(&view);
        context.metrics.version.record(view.version().0, &[]);
        if changes.changed().await.is_err() {
            return;
        }
    }
}

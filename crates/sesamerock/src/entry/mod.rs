//! The entry: serves callers and operators, and routes calls to agents.

pub mod ask;
mod dispatch;
pub mod entries;
pub mod operator;
mod progress;
pub(crate) mod relay;
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
use relay::Pool;
use server::Caller;
use table::Table;

/// Time for which an announcement is believed. At 970 entries a shorter time
/// would spend most of a node's control budget on announcements.
const ANNOUNCEMENT_TTL: Duration = Duration::from_mins(10);
/// Time between two announcements.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_mins(3);

/// What all tasks of an entry share.
#[derive(Debug)]
pub struct Context {
    settings: settings::Entry,
    control: Control,
    relays: Pool,
    table: Mutex<Table>,
    budget: Mutex<Budget>,
    /// Latencies of look-ups by service, from which hedges take their delay.
    latencies: Mutex<ServiceLatencies>,
    suspects: Suspects,
    metrics: Metrics,
    tasks: TaskTracker,
    /// Slots for calls that wait for room at an upstream.
    waiting: Arc<Semaphore>,
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

    /// Returns a line for each change that is not carried out yet.
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

    /// Tells all entries that this one serves, or that it is about to stop.
    async fn announce(&self, leaving: bool) {
        let value = serde_json::to_vec(&self.announcement(leaving)).unwrap_or_default();
        self.control
            .publish_fact(ANNOUNCEMENT, value, ANNOUNCEMENT_TTL)
            .await;
    }
}

/// Bound addresses of an entry.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub caller: TcpListener,
    /// For operators.
    pub operator: TcpListener,
    /// For peers.
    pub peer: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn bind(settings: &settings::Entry) -> eyre::Result<Self> {
        Ok(Self {
            caller: TcpListener::bind(settings.caller)
                .await
                .wrap_err("cannot bind for callers")?,
            operator: TcpListener::bind(settings.operator)
                .await
                .wrap_err("cannot bind for operators")?,
            peer: TcpListener::bind(settings.node.peer)
                .await
                .wrap_err("cannot bind for peers")?,
        })
    }
}

/// Runs an entry until `stop` is cancelled and its callers have been served.
///
/// # Errors
/// Fails if an address cannot be bound or a thread cannot be started.
pub async fn run(settings: settings::Entry, stop: CancellationToken) -> eyre::Result<()> {
    let listeners = Listeners::bind(&settings).await?;
    serve(settings, listeners, stop).await
}

/// Runs an entry on addresses that are bound already.
///
/// # Errors
/// Fails if a thread cannot be started.
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
        relays: Pool::default(),
        table: Mutex::new(Table::new(&settings)),
        budget: Mutex::new(Budget::new(budget::Settings::default(), clock::now())),
        latencies: Mutex::new(ServiceLatencies::default()),
        suspects: Suspects::new(control.clone()),
        metrics: Metrics::new("entry")?,
        waiting: Arc::new(Semaphore::new(settings.waiting)),
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
    let ended = CancellationToken::new();
    tokio::spawn(peer::server::serve(peers, control, ended.clone()));
    spawn_tasks(&context, &ended);
    let operator = Arc::new(Operator::new(Arc::clone(&context)));
    let operating = http_server::Settings::default();
    tokio::spawn(http_server::serve(
        operators,
        operating,
        operator,
        ended.clone(),
    ));
    let calling = http_server::Settings {
        connections: context.settings.connections,
        header_timeout: context.settings.header_timeout,
        ..http_server::Settings::default()
    };
    let caller = Arc::new(Caller::new(Arc::clone(&context)));
    let closing = CancellationToken::new();
    let serving = tokio::spawn(http_server::serve(
        callers,
        calling,
        caller,
        closing.clone(),
    ));
    stop.cancelled().await;
    leave(&context).await;
    closing.cancel();
    serving.await?;
    context.tasks.close();
    context.tasks.wait().await;
    ended.cancel();
    log::info!("event=entry_stopped name={}", context.settings.node.name);
    Ok(())
}

/// Announces the stop and goes on serving for as long as callers may keep a
/// list that names this entry.
async fn leave(context: &Context) {
    log::info!(
        "event=entry_leaving serves_on_ms={}",
        context.settings.entries_max_age.as_millis()
    );
    context.announce(true).await;
    context.control.leave().await;
    tokio::time::sleep(context.settings.entries_max_age).await;
}

fn spawn_tasks(context: &Arc<Context>, ended: &CancellationToken) {
    let suspects = context.suspects.clone();
    let stop = ended.clone();
    tokio::spawn(async move { stop.run_until_cancelled(suspects.run()).await });
    let shared = Arc::clone(context);
    let stop = ended.clone();
    tokio::spawn(async move { stop.run_until_cancelled(follow(&shared)).await });
    let shared = Arc::clone(context);
    let stop = ended.clone();
    tokio::spawn(async move {
        let announcing = async {
            loop {
                shared.announce(false).await;
                tokio::time::sleep(ANNOUNCEMENT_INTERVAL).await;
            }
        };
        // The last announcement is that of leaving.
        stop.run_until_cancelled(announcing).await
    });
}

/// Keeps the routing table in step with the control state.
async fn follow(context: &Context) {
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

//! The agent: the last admission point before one upstream, and the only
//! sender of commands to it.

mod cache;
mod carry;
mod execute;
mod gate;
pub mod group;
mod keyed;
mod operator;
pub mod probe;
mod relay;
pub mod stall;
mod suspects;

use std::sync::Arc;

use eyre::WrapErr as _;
use sesamerock_client::engine::{self, Engine};
use sesamerock_client::http::client::Client;
use sesamerock_client::http::server;
use sesamerock_wire::relay::Report;
use sesamerock_wire::relay::relay_server::RelayServer;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use crate::clock;
use crate::control::Control;
use crate::peer;
use crate::settings;
use crate::suspects::Suspects;
use crate::telemetry::Metrics;
use gate::Gate;
use keyed::Keyed;
pub(crate) use keyed::shard_of;
use probe::{Observation, Probe};
use stall::StallDetector;
use suspects::Manifest;

/// What all tasks of an agent share.
#[derive(Debug)]
pub struct Context<E> {
    settings: settings::Agent,
    control: Control,
    engine: E,
    gate: Gate,
    probe: Probe,
    cache: cache::Cache,
    manifest: Manifest,
    keyed: Keyed,
    group: group::Handle,
    stalled: stall::StallSignal,
    carry: carry::Handle,
    metrics: Metrics,
    tasks: TaskTracker,
}

impl<E> Context<E> {
    /// Returns what an entry is told with every answer.
    fn report(&self, entry: &str) -> Report {
        let view = self.control.view();
        let mut report = self.gate.report(entry);
        report.leaving |= view.leaving();
        report.version = view.version().0;
        report.stalled = self.stalled.get();
        if let Observation::Alive(load) = self.probe.sight() {
            report.own_step_us = load.own_step_us;
            if load.own_step_us > 0 {
                // The mean over the same steps as its own.
                report.step_us = load.step_us;
            }
        }
        report
    }
}

/// Bound addresses of an agent.
#[derive(Debug)]
pub struct Listeners {
    /// For entries.
    pub relay: TcpListener,
    /// For peers.
    pub peer: TcpListener,
    /// For health and metrics.
    pub operator: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    /// Fails if an address cannot be bound.
    pub async fn bind(settings: &settings::Agent) -> eyre::Result<Self> {
        Ok(Self {
            relay: TcpListener::bind(settings.relay)
                .await
                .wrap_err("cannot bind the relay")?,
            peer: TcpListener::bind(settings.node.peer)
                .await
                .wrap_err("cannot bind for peers")?,
            operator: TcpListener::bind(settings.operator)
                .await
                .wrap_err("cannot bind for operators")?,
        })
    }
}

/// Runs an agent until `stop` is cancelled and its calls have ended.
///
/// # Errors
/// Fails if an address cannot be bound or a thread cannot be started.
pub async fn run(settings: settings::Agent, stop: CancellationToken) -> eyre::Result<()> {
    let listeners = Listeners::bind(&settings).await?;
    serve(settings, listeners, stop).await
}

/// Runs an agent on addresses that are bound already.
///
/// # Errors
/// Fails if a thread cannot be started.
pub async fn serve(
    settings: settings::Agent,
    listeners: Listeners,
    stop: CancellationToken,
) -> eyre::Result<()> {
    serve_with(settings, listeners, group::MapOverride::default(), stop).await
}

/// Runs an agent whose group switches to the maps that `planned` names.
///
/// # Errors
/// Fails if a thread cannot be started.
pub async fn serve_with(
    mut settings: settings::Agent,
    listeners: Listeners,
    planned: group::MapOverride,
    stop: CancellationToken,
) -> eyre::Result<()> {
    let Listeners {
        relay,
        peer: peers,
        operator,
    } = listeners;
    settings.node.peer = peers.local_addr()?;
    let authority = settings.upstream.address.to_string().parse()?;
    let engine = engine::Remote::new(Client::default(), authority);
    let control = Control::start(settings.node.clone())?;
    let crash_list = Suspects::new(control.clone());
    let (group, inbox) = group::Handle::new();
    let context = Arc::new(Context {
        gate: Gate::new(sesamerock_limit::gate::Settings::default()),
        probe: Probe::default(),
        cache: cache::Cache::new(&settings.upstream),
        manifest: Manifest::new(crash_list.clone(), &settings.upstream.name),
        keyed: Keyed::new(&settings),
        group,
        stalled: stall::StallSignal::default(),
        carry: carry::Handle::default(),
        metrics: Metrics::new("agent")?,
        tasks: TaskTracker::new(),
        engine,
        control: control.clone(),
        settings,
    });
    log::info!(
        "event=agent_started name={} upstream={} relay={} peer={} zone={}",
        context.settings.node.name,
        context.settings.upstream.name,
        relay.local_addr()?,
        peers.local_addr()?,
        context.settings.node.zone
    );
    let ended = CancellationToken::new();
    spawn_tasks(&context, &crash_list, &ended);
    let shared = Arc::clone(&context);
    let stepping = ended.clone();
    tokio::spawn(async move {
        let running = group::run(&shared, inbox, planned);
        stepping.run_until_cancelled(running).await;
    });
    tokio::spawn(peer::server::serve(peers, control.clone(), ended.clone()));
    let handler = Arc::new(operator::Operator::new(Arc::clone(&context)));
    tokio::spawn(server::serve(
        operator,
        server::Settings::default(),
        handler,
        ended.clone(),
    ));
    let service = RelayServer::new(relay::Service::new(Arc::clone(&context)))
        .max_decoding_message_size(4 << 20);
    // Small frames of a token stream must not wait for an acknowledgement.
    let incoming = TcpIncoming::from(relay).with_nodelay(Some(true));
    let serving = Server::builder()
        .initial_stream_window_size(256 << 10)
        .initial_connection_window_size(16 << 20)
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, ended.clone().cancelled_owned());
    let serving = tokio::spawn(serving);
    stop.cancelled().await;
    drain(&context).await;
    ended.cancel();
    if let Err(error) = serving.await? {
        log::warn!("event=relay_failed error={error}");
    }
    log::info!("event=agent_stopped name={}", context.settings.node.name);
    Ok(())
}

/// Starts the tasks that run as long as the agent does.
fn spawn_tasks<E: Engine>(
    context: &Arc<Context<E>>,
    crash_list: &Suspects,
    ended: &CancellationToken,
) {
    let spawn = |task: std::pin::Pin<Box<dyn Future<Output = ()> + Send>>| {
        let ended = ended.clone();
        tokio::spawn(async move { ended.run_until_cancelled(task).await });
    };
    let shared = Arc::clone(context);
    spawn(Box::pin(async move {
        shared
            .probe
            .run(shared.engine.clone(), shared.settings.upstream.poll)
            .await;
    }));
    let shared = Arc::clone(context);
    spawn(Box::pin(async move {
        let engine = shared.engine.clone();
        let interval = shared.settings.upstream.poll;
        shared.cache.run(engine, interval, &shared.metrics).await;
    }));
    let shared = Arc::clone(context);
    spawn(Box::pin(async move { shared.gate.run().await }));
    let shared = Arc::clone(context);
    spawn(Box::pin(async move { watch(&shared).await }));
    let shared = Arc::clone(context);
    spawn(Box::pin(async move { carry::run(&shared).await }));
    let list = crash_list.clone();
    spawn(Box::pin(async move { list.run().await }));
}

/// Passes on to the gate what the probe sees, and notes crashes.
async fn watch<E: Engine>(context: &Context<E>) {
    let mut sight = context.probe.subscribe();
    let mut incarnation = 0;
    let mut dead = false;
    let mut stall = StallDetector::new(clock::now());
    while sight.changed().await.is_ok() {
        let seen = sight.borrow_and_update().1.clone();
        let ended = match &seen {
            Observation::None => false,
            Observation::Alive(load) => {
                let changed = incarnation != 0 && load.incarnation != incarnation;
                let before = std::mem::replace(&mut incarnation, load.incarnation);
                if changed {
                    log::warn!(
                        "event=upstream_restarted upstream={} before={before} now={incarnation}",
                        context.settings.upstream.name
                    );
                    context.manifest.crashed(before).await;
                }
                dead = false;
                false
            }
            Observation::Unreachable => !std::mem::replace(&mut dead, true),
        };
        if ended {
            log::warn!(
                "event=upstream_dead upstream={}",
                context.settings.upstream.name
            );
            context.manifest.crashed(incarnation).await;
        }
        context.gate.observe(&seen);
        watch_steps(context, &mut stall, &seen);
        let gate = context.gate.snapshot();
        let calls = u64::from(gate.in_flight.calls);
        context.metrics.calls.record(calls, &[]);
        let limit = u64::from(gate.limit.calls);
        context.metrics.limit.record(limit, &[]);
        context
            .metrics
            .version
            .record(context.control.view().version().0, &[]);
    }
}

/// Notes whether the group of the engine steps, if it is a rank of one.
fn watch_steps<E>(context: &Context<E>, stall: &mut StallDetector, seen: &Observation) {
    let view = context.control.view();
    let name = &context.settings.upstream.name;
    let entry = view.state.upstreams().find(name);
    let place = entry.and_then(|(_, entry)| entry.rank);
    let stalled = place.is_some() && stall.observe(seen, clock::now());
    if !context.stalled.set(stalled) {
        return;
    }
    let group = place.map_or("-", |place| view.state.groups().name(place.group));
    let rank = place.map_or(0, |place| place.index);
    if stalled {
        log::warn!("event=group_stalled group={group} rank={rank} upstream={name}");
    } else {
        log::info!("event=group_steps group={group} rank={rank} upstream={name}");
    }
}

/// Takes no new work and waits for the running calls.
async fn drain<E: Engine>(context: &Context<E>) {
    context.control.leave().await;
    context.gate.drain();
    context.tasks.close();
    log::info!("event=draining running={}", context.tasks.len());
    let finished = async {
        context.tasks.wait().await;
        context.keyed.drained().await;
    };
    let ended = tokio::time::timeout(context.settings.drain_timeout, finished).await;
    if ended.is_err() {
        log::warn!("event=drain_timeout running={}", context.tasks.len());
    }
}

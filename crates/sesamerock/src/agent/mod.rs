//! The agent of one upstream.
//!
//! The agent is the last admission point before its upstream, and the only
//! sender of commands to it. Entries forward calls to it over the relay
//! protocol.

mod cache;
mod execute;
mod gate;
pub mod group;
mod in_flight;
mod keyed;
mod operator;
pub mod probe;
mod relay;
mod rollout;
pub mod stall;

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
use in_flight::InFlightCalls;
use keyed::Keyed;
pub(crate) use keyed::shard_of;
use probe::{Observation, Probe};
use stall::StallDetector;

/// State that all tasks of an agent share.
#[derive(Debug)]
pub struct Context<E> {
    settings: settings::Agent,
    control: Control,
    engine: E,
    gate: Gate,
    probe: Probe,
    cache: cache::Cache,
    in_flight_calls: InFlightCalls,
    keyed: Keyed,
    group: group::Handle,
    stalled: stall::StallSignal,
    rollout: rollout::Handle,
    metrics: Metrics,
    tasks: TaskTracker,
}

impl<E> Context<E> {
    /// Returns the load report that goes with every answer to an entry.
    fn report(&self, entry: &str) -> Report {
        let view = self.control.view();
        let mut report = self.gate.report(entry);
        report.leaving |= view.leaving();
        report.version = view.version().0;
        report.stalled = self.stalled.get();
        if let Observation::Alive(load) = self.probe.observation() {
            report.own_step_us = load.own_step_us;
            if load.own_step_us > 0 {
                // The mean over the same steps as `own_step_us`, so that the two
                // can be compared.
                report.step_us = load.step_us;
            }
        }
        report
    }
}

/// Bound sockets on which an agent accepts connections.
#[derive(Debug)]
pub struct Listeners {
    /// Relay protocol, for entries and other agents.
    pub relay: TcpListener,
    /// Exchange of control state, for peers.
    pub peer: TcpListener,
    /// HTTP, for health checks, metrics and the state of the group.
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
                .wrap_err("cannot bind the relay address")?,
            peer: TcpListener::bind(settings.node.peer)
                .await
                .wrap_err("cannot bind the peer address")?,
            operator: TcpListener::bind(settings.operator)
                .await
                .wrap_err("cannot bind the operator address")?,
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

/// Runs an agent on sockets that are already bound, until `stop` is cancelled
/// and its calls have ended.
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

/// Runs an agent whose group switches to the expert maps that `map_override`
/// names, instead of those that the placement planner chooses.
///
/// # Errors
/// Fails if a thread cannot be started.
pub async fn serve_with(
    mut settings: settings::Agent,
    listeners: Listeners,
    map_override: group::MapOverride,
    stop: CancellationToken,
) -> eyre::Result<()> {
    let Listeners {
        relay,
        peer: peer_listener,
        operator,
    } = listeners;
    settings.node.peer = peer_listener.local_addr()?;
    let engine_authority = settings.upstream.address.to_string().parse()?;
    let engine = engine::Remote::new(Client::default(), engine_authority);
    let control = Control::start(settings.node.clone())?;
    let suspects = Suspects::new(control.clone());
    let (group, inbox) = group::Handle::new();
    let context = Arc::new(Context {
        gate: Gate::new(settings.upstream.gate()),
        probe: Probe::default(),
        cache: cache::Cache::new(&settings.upstream),
        in_flight_calls: InFlightCalls::new(suspects.clone(), &settings.upstream.name),
        keyed: Keyed::new(&settings),
        group,
        stalled: stall::StallSignal::default(),
        rollout: rollout::Handle::default(),
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
        peer_listener.local_addr()?,
        context.settings.node.zone
    );
    let shutdown = CancellationToken::new();
    spawn_tasks(&context, &suspects, &shutdown);
    let task_context = Arc::clone(&context);
    let group_shutdown = shutdown.clone();
    tokio::spawn(async move {
        let group_task = group::run(&task_context, inbox, map_override);
        group_shutdown.run_until_cancelled(group_task).await;
    });
    tokio::spawn(peer::server::serve(
        peer_listener,
        control.clone(),
        shutdown.clone(),
    ));
    let handler = Arc::new(operator::Operator::new(Arc::clone(&context)));
    tokio::spawn(server::serve(
        operator,
        server::Settings::default(),
        handler,
        shutdown.clone(),
    ));
    let service = RelayServer::new(relay::Service::new(Arc::clone(&context)))
        .max_decoding_message_size(4 << 20);
    // With Nagle's algorithm, the small frames of a token stream would wait for
    // an acknowledgement.
    let incoming = TcpIncoming::from(relay).with_nodelay(Some(true));
    let serving = Server::builder()
        .initial_stream_window_size(256 << 10)
        .initial_connection_window_size(16 << 20)
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, shutdown.clone().cancelled_owned());
    let serving = tokio::spawn(serving);
    stop.cancelled().await;
    drain(&context).await;
    shutdown.cancel();
    if let Err(error) = serving.await? {
        log::warn!("event=relay_failed error={error}");
    }
    log::info!("event=agent_stopped name={}", context.settings.node.name);
    Ok(())
}

/// Starts the tasks that run until `shutdown` is cancelled.
fn spawn_tasks<E: Engine>(
    context: &Arc<Context<E>>,
    suspects: &Suspects,
    shutdown: &CancellationToken,
) {
    let spawn = |task: std::pin::Pin<Box<dyn Future<Output = ()> + Send>>| {
        let shutdown = shutdown.clone();
        tokio::spawn(async move { shutdown.run_until_cancelled(task).await });
    };
    let task_context = Arc::clone(context);
    spawn(Box::pin(async move {
        task_context
            .probe
            .run(
                task_context.engine.clone(),
                task_context.settings.upstream.poll,
            )
            .await;
    }));
    let task_context = Arc::clone(context);
    spawn(Box::pin(async move {
        let engine = task_context.engine.clone();
        let interval = task_context.settings.upstream.poll;
        task_context
            .cache
            .run(engine, interval, &task_context.metrics)
            .await;
    }));
    let task_context = Arc::clone(context);
    spawn(Box::pin(async move { task_context.gate.run().await }));
    let task_context = Arc::clone(context);
    spawn(Box::pin(async move { watch_upstream(&task_context).await }));
    let task_context = Arc::clone(context);
    spawn(Box::pin(async move { rollout::run(&task_context).await }));
    let suspects = suspects.clone();
    spawn(Box::pin(async move { suspects.run().await }));
}

/// Forwards the observations of the probe to the admission gate, and records a
/// crash when the upstream restarts or becomes unreachable.
async fn watch_upstream<E: Engine>(context: &Context<E>) {
    let mut observations = context.probe.subscribe();
    let mut incarnation = 0;
    let mut unreachable = false;
    let mut stall_detector = StallDetector::new(clock::now());
    while observations.changed().await.is_ok() {
        let observation = observations.borrow_and_update().1.clone();
        let became_unreachable = match &observation {
            Observation::None => false,
            Observation::Alive(load) => {
                let restarted = incarnation != 0 && load.incarnation != incarnation;
                let previous = std::mem::replace(&mut incarnation, load.incarnation);
                if restarted {
                    log::warn!(
                        "event=upstream_restarted upstream={} before={previous} now={incarnation}",
                        context.settings.upstream.name
                    );
                    context.in_flight_calls.crashed(previous).await;
                }
                unreachable = false;
                false
            }
            Observation::Unreachable => !std::mem::replace(&mut unreachable, true),
        };
        if became_unreachable {
            log::warn!(
                "event=upstream_dead upstream={}",
                context.settings.upstream.name
            );
            context.in_flight_calls.crashed(incarnation).await;
        }
        context.gate.observe(&observation);
        watch_group_steps(context, &mut stall_detector, &observation);
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

/// Updates and logs whether the engine's group is stalled, if the engine is a
/// rank of a group.
fn watch_group_steps<E>(
    context: &Context<E>,
    stall_detector: &mut StallDetector,
    observation: &Observation,
) {
    let view = context.control.view();
    let name = &context.settings.upstream.name;
    let upstream = view.state.upstreams().find(name);
    let rank_in_group = upstream.and_then(|(_, upstream)| upstream.rank);
    let stalled = rank_in_group.is_some() && stall_detector.observe(observation, clock::now());
    if !context.stalled.set(stalled) {
        return;
    }
    let group = rank_in_group.map_or("-", |rank_in_group| {
        view.state.groups().name(rank_in_group.group)
    });
    let rank = rank_in_group.map_or(0, |rank_in_group| rank_in_group.index);
    if stalled {
        log::warn!("event=group_stalled group={group} rank={rank} upstream={name}");
    } else {
        log::info!("event=group_steps group={group} rank={rank} upstream={name}");
    }
}

/// Stops accepting work and waits for the running calls, at most for the drain
/// timeout of the settings.
async fn drain<E: Engine>(context: &Context<E>) {
    context.control.leave().await;
    context.gate.drain();
    context.tasks.close();
    log::info!("event=draining running={}", context.tasks.len());
    let calls_ended = async {
        context.tasks.wait().await;
        context.keyed.drained().await;
    };
    let ended = tokio::time::timeout(context.settings.drain_timeout, calls_ended).await;
    if ended.is_err() {
        log::warn!("event=drain_timeout running={}", context.tasks.len());
    }
}

//! The sidecar's server: passes calls on to the engine of its VM.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::WrapErr as _;
use futures::StreamExt as _;
use serde::{Deserialize, Serialize};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel as _};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::remote::ANSWER_TIMEOUT;
use super::{Encoder, Held, Reading, Sidecar};
use crate::engine::{Command, CommandOutcome, Engine, Preconditions, Report};
use crate::exchange::{accept, transport};
use crate::store::Fault;
use crate::upstream::Record;

/// Longest wait of a sidecar that stops for the answers of its engine. Gateways wait no longer.
const STOP_TIMEOUT: Duration = ANSWER_TIMEOUT;
/// Time to write the last answers.
const WRITE_TIME: Duration = Duration::from_millis(20);

/// Settings of a sidecar, as read from its file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Settings {
    /// Name of the sidecar, unique in the system; used in its log lines.
    pub node: String,
    /// Address on which gateways connect.
    pub exchange: SocketAddr,
    /// Address of the engine on this VM.
    pub engine: SocketAddr,
}

#[derive(Clone, Debug)]
struct Service<E> {
    engine: E,
    address: SocketAddr,
    connection: Arc<Mutex<Connection>>,
}

/// What was sent over a connection.
#[derive(Debug, Default)]
struct Connection {
    /// Engine whose counts were requested last.
    record: Option<Record>,
    counts: Encoder,
}

impl<E> Service<E> {
    /// Replaces the address of a record by that of the engine on this VM.
    fn local(&self, record: Record) -> Record {
        Record {
            address: self.address,
            ..record
        }
    }
}

impl<E: Engine> Sidecar for Service<E> {
    async fn report(self, _: Context, record: Record) -> Result<Report, Fault> {
        self.engine.report(&self.local(record)).await
    }

    async fn counts(
        self,
        _: Context,
        record: Option<Record>,
        sets: u16,
        base: Option<u32>,
    ) -> Result<Reading, Fault> {
        let connection = &self.connection;
        let lock = || connection.lock().unwrap_or_else(PoisonError::into_inner);
        let record = record.or_else(|| lock().record.clone());
        let record = record.ok_or_else(|| Fault::Malformed("no engine is named".to_owned()))?;
        let read = self
            .engine
            .counts(&self.local(record.clone()), sets)
            .await?;
        let mut connection = lock();
        connection.record = Some(record);
        if sets == 0 {
            return Ok(Reading::without_counts(read.step, read.epoch));
        }
        Ok(connection.counts.encode(read, base))
    }

    async fn held(self, _: Context, record: Record) -> Result<Held, Fault> {
        self.engine.held_experts(&self.local(record)).await
    }

    async fn order(
        self,
        _: Context,
        record: Record,
        order: Command,
        terms: Preconditions,
    ) -> Result<CommandOutcome, Fault> {
        let outcome = self
            .engine
            .send_command(&self.local(record), &order, terms)
            .await;
        log::info!(
            "event=order order={} expected={} epoch={} fence={} outcome={outcome:?}",
            order.as_str(),
            terms.expected,
            terms.epoch,
            terms.fence,
        );
        outcome
    }
}

/// Runs a sidecar until the process receives SIGTERM or SIGINT, and then until it has answered the
/// calls that it has received.
///
/// # Errors
/// Fails if the address cannot be bound or a signal handler cannot be installed.
pub async fn run(settings: Settings, engine: impl Engine) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    let node = settings.node.clone();
    let stop = async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => return,
                _ = interrupt.recv() => return,
                _ = reload.recv() => log::info!("event=reload node={node}"),
            }
        }
    };
    run_until(settings, engine, stop).await
}

/// Runs a sidecar until `stop_requested` ends, and then until it has answered the calls that it has
/// received. A gateway could not tell whether an order that is cut has been carried out.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn run_until(
    settings: Settings,
    engine: impl Engine,
    stop_requested: impl Future<Output = ()>,
) -> eyre::Result<()> {
    let Settings {
        node,
        exchange,
        engine: address,
    } = settings;
    log::info!("event=start node={node} exchange={exchange} engine={address}");
    let listener = TcpListener::bind(exchange).await;
    let listener = listener.wrap_err_with(|| format!("cannot listen on {exchange}"))?;
    let stop = CancellationToken::new();
    let calls = TaskTracker::new();
    let tracker = calls.clone();
    let serving = accept(listener, stop, move |stream| {
        let channel = BaseChannel::with_defaults(transport(stream));
        let tracker = tracker.clone();
        let service = Service {
            engine: engine.clone(),
            address,
            connection: Arc::default(),
        };
        let calls = channel.execute(service.serve());
        calls.for_each(move |call| {
            tracker.spawn(call);
            std::future::ready(())
        })
    });
    let listening = tokio::spawn(serving);
    stop_requested.await;
    // Closes the listener, but no open connection.
    listening.abort();
    calls.close();
    let (open, has_answered) = (
        calls.len(),
        timeout(STOP_TIMEOUT, calls.wait()).await.is_ok(),
    );
    log::info!("event=stop node={node} calls={open} answered={has_answered}");
    sleep(WRITE_TIME).await;
    Ok(())
}

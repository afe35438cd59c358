//! The sidecar's server: passes calls on to the engine of its VM.

use std::net::SocketAddr;

use eyre::WrapErr as _;
use futures::StreamExt as _;
use serde::{Deserialize, Serialize};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel as _};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use super::{Held, Sidecar};
use crate::engine::{Command, CommandOutcome, Counts, Engine, Preconditions, Report};
use crate::exchange::{accept, transport};
use crate::store::Fault;
use crate::upstream::Record;

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

    async fn counts(self, _: Context, record: Record, sets: u16) -> Result<Counts, Fault> {
        self.engine.counts(&self.local(record), sets).await
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

/// Runs a sidecar until the process receives SIGTERM or SIGINT.
///
/// # Errors
/// Fails if the address cannot be bound or a signal handler cannot be installed.
pub async fn run(settings: Settings, engine: impl Engine) -> eyre::Result<()> {
    let Settings {
        node,
        exchange,
        engine: address,
    } = settings;
    log::info!("event=start node={node} exchange={exchange} engine={address}");
    let listener = TcpListener::bind(exchange).await;
    let listener = listener.wrap_err_with(|| format!("cannot listen on {exchange}"))?;
    let service = Service { engine, address };
    let stop = CancellationToken::new();
    let serving = accept(listener, stop, move |stream| {
        let channel = BaseChannel::with_defaults(transport(stream));
        let calls = channel.execute(service.clone().serve());
        calls.for_each(|call| async {
            tokio::spawn(call);
        })
    });
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut reload = signal(SignalKind::hangup())?;
    tokio::spawn(serving);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => log::info!("event=reload node={node}"),
        }
    }
    log::info!("event=stop node={node}");
    Ok(())
}

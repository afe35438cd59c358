//! Reaches engines through their sidecars, or directly where no sidecar answers.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use sesamerock_base::time::Moment;
use tarpc::client;

use super::{Decoder, Held, SidecarClient};
use crate::clock;
use crate::engine::{Command, CommandOutcome, Counts, Engine, Preconditions, Report};
use crate::exchange::traffic::{self, Kind};
use crate::exchange::{context_with_deadline, transport};
use crate::pool;
use crate::store::Fault;
use crate::upstream::Record;

/// Time limit to connect to a sidecar. VMs of a region are a few milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time limit for a sidecar's answer.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an engine is called directly after its sidecar could not be reached, before the
/// next attempt to connect.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// What was received over a connection.
#[derive(Debug, Default)]
struct Received {
    /// Engine of the latest answered request for counts.
    record: Option<Record>,
    counts: Decoder,
}

#[derive(Clone, Debug)]
enum Link {
    Open(SidecarClient, Arc<Mutex<Received>>),
    Failed(Moment),
}

/// Access to engines through their sidecars. Keeps one connection for each VM, and the time
/// of failure for VMs whose sidecar is unreachable.
#[derive(Clone, Debug)]
pub struct SidecarEngines<E> {
    direct: E,
    port: u16,
    links: Arc<Mutex<HashMap<IpAddr, Link>>>,
}

impl<E: Engine> SidecarEngines<E> {
    /// Uses sidecars on this TCP port, and `direct` for engines whose sidecar is unreachable.
    pub fn new(direct: E, port: u16) -> Self {
        Self {
            direct,
            port,
            links: Arc::default(),
        }
    }

    fn link(&self, ip: IpAddr) -> Option<Link> {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.get(&ip).cloned()
    }

    fn set_link(&self, ip: IpAddr, link: Link) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.insert(ip, link);
    }

    /// Returns the client for an engine's sidecar, and connects if needed. Returns `None` if
    /// the sidecar is unreachable.
    async fn sidecar(&self, at: &Record) -> Option<SidecarClient> {
        self.connection(at).await.map(|(client, _)| client)
    }

    /// Returns [`Self::sidecar`] with what was received last over its connection.
    async fn connection(&self, at: &Record) -> Option<(SidecarClient, Arc<Mutex<Received>>)> {
        let ip = at.address.ip();
        match self.link(ip) {
            Some(Link::Open(client, received)) => return Some((client, received)),
            Some(Link::Failed(since)) if clock::now().since(since) < RETRY_DELAY => return None,
            _ => {}
        }
        match pool::connect(SocketAddr::new(ip, self.port), CONNECT_TIMEOUT).await {
            Ok(stream) => {
                let new = SidecarClient::new(client::Config::default(), transport(stream));
                // The task ends with the last client of the connection.
                tokio::spawn(new.dispatch);
                let received = Arc::default();
                let link = Link::Open(new.client.clone(), Arc::clone(&received));
                self.set_link(ip, link);
                Some((new.client, received))
            }
            Err(error) => {
                log::info!("event=sidecar_away upstream={} reason=\"{error}\"", at.id);
                self.set_link(ip, Link::Failed(clock::now()));
                None
            }
        }
    }

    /// Unwraps the answer of a sidecar. A sidecar that did not answer is marked unreachable, so
    /// that calls bypass it for [`RETRY_DELAY`].
    fn handle_answer<T>(
        &self,
        at: &Record,
        answer: Result<Result<T, Fault>, client::RpcError>,
    ) -> Result<T, Fault> {
        answer.unwrap_or_else(|error| {
            log::info!("event=sidecar_lost upstream={} reason=\"{error}\"", at.id);
            self.set_link(at.address.ip(), Link::Failed(clock::now()));
            Err(Fault::NoAnswer(error.to_string()))
        })
    }
}

impl<E: Engine> Engine for SidecarEngines<E> {
    fn has_sidecar(&self, at: &Record) -> bool {
        matches!(self.link(at.address.ip()), Some(Link::Open(..)))
    }

    async fn report(&self, at: &Record) -> Result<Report, Fault> {
        match self.sidecar(at).await {
            Some(client) => self.handle_answer(
                at,
                client
                    .report(context_with_deadline(ANSWER_TIMEOUT), at.clone())
                    .await,
            ),
            None => self.direct.report(at).await,
        }
    }

    async fn counts(&self, at: &Record, sets: u16) -> Result<Counts, Fault> {
        match self.connection(at).await {
            Some((client, received)) => {
                let lock = || received.lock().unwrap_or_else(PoisonError::into_inner);
                // An engine is named again only after another one, or if its answer was lost.
                let is_known = lock().record.take().as_ref() == Some(at);
                let record = (!is_known).then(|| at.clone());
                let base = lock().counts.base();
                let context = context_with_deadline(ANSWER_TIMEOUT);
                let answer = client.counts(context, record, sets, base).await;
                let reading = self.handle_answer(at, answer)?;
                traffic::count(Kind::Counts, &reading);
                let mut received = lock();
                received.record = Some(at.clone());
                if sets == 0 {
                    return Ok(reading.into_empty_counts());
                }
                let decoded = received.counts.decode(&reading);
                decoded.ok_or_else(|| Fault::Malformed("counts without their base".to_owned()))
            }
            None => self.direct.counts(at, sets).await,
        }
    }

    async fn held_experts(&self, at: &Record) -> Result<Held, Fault> {
        match self.sidecar(at).await {
            Some(client) => self.handle_answer(
                at,
                client
                    .held(context_with_deadline(ANSWER_TIMEOUT), at.clone())
                    .await,
            ),
            None => self.direct.held_experts(at).await,
        }
    }

    async fn send_command(
        &self,
        at: &Record,
        command: &Command,
        preconditions: Preconditions,
    ) -> Result<CommandOutcome, Fault> {
        match self.sidecar(at).await {
            Some(client) => {
                let call = client.order(
                    context_with_deadline(ANSWER_TIMEOUT),
                    at.clone(),
                    command.clone(),
                    preconditions,
                );
                self.handle_answer(at, call.await)
            }
            None => self.direct.send_command(at, command, preconditions).await,
        }
    }
}

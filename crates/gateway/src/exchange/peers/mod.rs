//! Exchanges heartbeats with the other nodes and tracks which of them are alive.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use sesamerock_base::time::Moment;
use tarpc::client;
use tokio::sync::{Semaphore, watch};

use super::delta::Link;
use super::traffic::{self, Kind};
use super::{
    Delivery, ExchangeClient, Heartbeat, LocalNode, Statement, address, context_with_deadline,
    transport,
};
use crate::clock;
use crate::node;
use crate::pool::{self, AbortOnDrop};
use crate::state::Position;
use crate::store::Era;

/// Intervals and timeouts of the exchange.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Interval between heartbeats.
    pub interval: Duration,
    /// Time limit for connecting and for each answer.
    pub timeout: Duration,
    /// How long another node may be ahead in reading the orders before its full state is
    /// pulled. A long poll at the store may not return a new record.
    pub max_orders_lag: Duration,
    /// How long another node may be ahead in reading the upstreams, which nodes read
    /// periodically, before its full state is pulled.
    pub max_upstreams_lag: Duration,
    /// Time without a heartbeat after which a node counts as unreachable: eight intervals.
    pub heartbeat_expiry: Duration,
    /// Time without a heartbeat after which a node no longer counts among those that share
    /// limits. During a network partition, which lasts seconds, a node that cannot reach
    /// this one may still reach the upstreams.
    pub membership_expiry: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(200),
            timeout: Duration::from_millis(600),
            max_orders_lag: Duration::from_millis(250),
            max_upstreams_lag: Duration::from_secs(1),
            heartbeat_expiry: Duration::from_millis(1_600),
            membership_expiry: Duration::from_mins(1),
        }
    }
}

/// Age of the last heartbeat from a peer at which a node sends one although the peer is the
/// one that initiates, in multiples of the interval. A round trip between zones and a late
/// timer together take less than one interval, so a healthy initiator is always earlier.
const INITIATOR_SILENT: f64 = 2.5;

/// Most pulls of a table at once: a second one, in case the first node does not answer.
const MAX_TABLE_PULLS: usize = 2;

type Clients = Arc<Mutex<HashMap<String, ExchangeClient>>>;

#[derive(Debug)]
struct Received {
    at: Moment,
    heartbeat: Heartbeat,
}

/// The other nodes and when each last sent a heartbeat.
#[derive(Debug)]
pub struct Peers {
    settings: Settings,
    received: Mutex<HashMap<String, Received>>,
    tasks: Mutex<HashMap<String, (node::Record, AbortOnDrop)>>,
    /// Latest connection to each node, for deliveries.
    clients: Clients,
    /// Pulls of a table that may run at once. All others state a newer one at the same time.
    table_pulls: Arc<Semaphore>,
    /// For each announced node, when its last heartbeat was received or, without one, when
    /// its record was first read; `None` until the announced nodes are known.
    members: Mutex<Option<HashMap<String, Moment>>>,
    /// Changed when a heartbeat is to be sent at once. A change while another one is being sent is
    /// not missed.
    send_now: watch::Sender<()>,
}

impl Peers {
    /// Starts without any known nodes.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            received: Mutex::default(),
            tasks: Mutex::default(),
            clients: Clients::default(),
            table_pulls: Arc::new(Semaphore::new(MAX_TABLE_PULLS)),
            members: Mutex::default(),
            send_now: watch::Sender::default(),
        }
    }

    /// Returns whether a heartbeat is a late one of a process that has restarted since.
    pub fn is_outdated(&self, heartbeat: &Heartbeat) -> bool {
        let received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        let previous = received.get(&heartbeat.node.name);
        previous.is_some_and(|it| it.heartbeat.node.incarnation > heartbeat.node.incarnation)
    }

    /// Processes a heartbeat. Returns whether its sender was unknown or silent until now.
    pub fn receive_heartbeat(&self, heartbeat: Heartbeat) -> bool {
        let now = clock::now();
        let mut received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        let name = heartbeat.node.name.clone();
        if let Some(previous) = received.get(&name)
            && previous.heartbeat.node.incarnation > heartbeat.node.incarnation
        {
            // A late answer of a process that has since restarted.
            return false;
        }
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(members) = members.as_mut() {
            members.insert(name.clone(), now);
        }
        let heartbeat_expiry = self.settings.heartbeat_expiry;
        let previous = received.insert(name, Received { at: now, heartbeat });
        previous.is_none_or(|previous| now.since(previous.at) > heartbeat_expiry)
    }

    /// Returns the nodes that are alive and ready for callers.
    pub fn ready(&self) -> Vec<node::Record> {
        self.collect_alive(|heartbeat| heartbeat.ready.then(|| heartbeat.node.clone()))
    }

    /// Returns the nodes that are alive and take calls, ready or not.
    pub fn accepting(&self) -> Vec<node::Record> {
        self.collect_alive(|heartbeat| heartbeat.accepting.then(|| heartbeat.node.clone()))
    }

    /// Returns the names of the nodes that are alive and ready, each with whether its calls
    /// to the store fail.
    pub fn store_contacts(&self) -> Vec<(String, bool)> {
        self.collect_alive(|heartbeat| {
            let name = || (heartbeat.node.name.clone(), heartbeat.store.failing);
            heartbeat.ready.then(name)
        })
    }

    /// Returns the names of the other nodes of a zone that are alive, each with whether its calls
    /// to the store fail.
    pub fn in_zone(&self, zone: &str) -> Vec<(String, bool)> {
        self.collect_alive(|heartbeat| {
            let state = || (heartbeat.node.name.clone(), heartbeat.store.failing);
            (*heartbeat.node.zone == *zone).then(state)
        })
    }

    /// Sends a delivery to each of these nodes that is connected, at once and without waiting. One
    /// that is lost or late is made up for by its receiver.
    pub fn deliver(&self, nodes: impl IntoIterator<Item = String>, delivery: &Delivery) {
        let clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        for name in nodes {
            let Some(client) = clients.get(&name).cloned() else {
                continue;
            };
            let delivery = delivery.clone();
            let context = context_with_deadline(self.settings.timeout);
            tokio::spawn(async move {
                if let Err(error) = client.deliver(context, delivery).await {
                    log::debug!("event=delivery_failed peer={name} reason=\"{error}\"");
                }
            });
        }
    }

    /// Returns what the last heartbeat of a node stated.
    pub fn last_heartbeat(&self, node: &str) -> Option<Statement> {
        let received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        let peer = received.get(node)?;
        Some(Statement {
            age: clock::now().since(peer.at),
            position: peer.heartbeat.position,
            table: peer.heartbeat.knowledge.table,
            groups: peer.heartbeat.groups,
        })
    }

    /// Collects what `select` returns for the latest heartbeat of each node that is alive.
    fn collect_alive<T>(&self, select: impl Fn(&Heartbeat) -> Option<T>) -> Vec<T> {
        let now = clock::now();
        let received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        let alive = received
            .values()
            .filter(|peer| now.since(peer.at) <= self.settings.heartbeat_expiry);
        alive.filter_map(|peer| select(&peer.heartbeat)).collect()
    }

    /// Returns the newest version of the table that a node states which is alive.
    pub fn newest_table(&self) -> Option<u64> {
        let versions = self.collect_alive(|heartbeat| heartbeat.knowledge.table);
        versions.into_iter().max()
    }

    /// Returns the number of announced nodes that are not heard, or that have not listed the store in
    /// an era yet and so cannot tell what it lacks; `None` until they are known.
    pub fn unheard(&self, era: Era) -> Option<usize> {
        let received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let members = members.as_ref()?.keys();
        let has_listed = |name: &String| {
            received.get(name).is_some_and(|peer| {
                let Position { orders, upstreams } = peer.heartbeat.position;
                orders.era() >= era && upstreams.era() >= era
            })
        };
        Some(members.filter(|name| !has_listed(name)).count())
    }

    /// Returns the names of the other nodes that may be alive, in order; `None` until the
    /// announced nodes are known.
    pub fn members(&self) -> Option<Vec<String>> {
        let now = clock::now();
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let mut names: Vec<String> = members
            .as_ref()?
            .iter()
            .filter(|(_, at)| now.since(**at) <= self.settings.membership_expiry)
            .map(|(name, _)| name.clone())
            .collect();
        names.sort_unstable();
        Some(names)
    }

    /// Removes the nodes whose heartbeats have expired and returns their names.
    pub fn remove_silent(&self) -> Vec<String> {
        let now = clock::now();
        let mut received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        let silent = received
            .iter()
            .filter(|(_, peer)| now.since(peer.at) > self.settings.heartbeat_expiry);
        let silent: Vec<String> = silent.map(|(name, _)| name.clone()).collect();
        for name in &silent {
            received.remove(name);
        }
        silent
    }

    /// Sends a heartbeat to all nodes at once instead of at the next interval.
    pub fn send_heartbeats_now(&self) {
        self.send_now.send_replace(());
    }

    /// Exchanges heartbeats with exactly these nodes from now on.
    pub fn set_peers(&self, nodes: impl IntoIterator<Item = node::Record>, host: &impl LocalNode) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let members = members.get_or_insert_default();
        let mut followed = HashMap::new();
        for node in nodes {
            let member = members.entry(node.name.clone());
            member.or_insert_with(clock::now);
            let previous = tasks.remove(&node.name);
            let entry = match previous {
                Some((previous, task)) if previous == node && !task.0.is_finished() => {
                    (previous, task)
                }
                _ => {
                    let settings = self.settings;
                    let send_now = self.send_now.subscribe();
                    let clients = Arc::clone(&self.clients);
                    let pulls = Arc::clone(&self.table_pulls);
                    let (peer, host) = (node.clone(), host.clone());
                    let task = maintain_connection(settings, peer, host, send_now, clients, pulls);
                    (node.clone(), AbortOnDrop(tokio::spawn(task)))
                }
            };
            followed.insert(node.name.clone(), entry);
        }
        members.retain(|name, _| followed.contains_key(name));
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.retain(|name, _| followed.contains_key(name));
        *tasks = followed;
    }
}

/// Connects to one node and exchanges heartbeats with it, reconnecting after failures,
/// until the task is aborted.
async fn maintain_connection(
    settings: Settings,
    node: node::Record,
    host: impl LocalNode,
    mut send_now: watch::Receiver<()>,
    clients: Clients,
    table_pulls: Arc<Semaphore>,
) {
    loop {
        match pool::connect(address(&node), settings.timeout).await {
            Ok(stream) => {
                let new = ExchangeClient::new(client::Config::default(), transport(stream));
                let client = new.client;
                let dispatch = new.dispatch;
                let _task = AbortOnDrop(tokio::spawn(async move {
                    if let Err(error) = dispatch.await {
                        log::debug!("event=exchange_broken reason=\"{error}\"");
                    }
                }));
                let connected = |client: Option<ExchangeClient>| {
                    let mut clients = clients.lock().unwrap_or_else(PoisonError::into_inner);
                    match client {
                        Some(client) => clients.insert(node.name.clone(), client),
                        None => clients.remove(&node.name),
                    };
                };
                connected(Some(client.clone()));
                let link = (&client, &*table_pulls);
                exchange_heartbeats(&settings, &node, &host, link, &mut send_now).await;
                connected(None);
            }
            Err(error) => log::debug!(
                "event=peer_unreachable peer={} reason=\"{error}\"",
                node.name
            ),
        }
        tokio::time::sleep(settings.interval).await;
    }
}

/// Exchanges heartbeats over one connection until a call fails.
async fn exchange_heartbeats(
    settings: &Settings,
    node: &node::Record,
    host: &impl LocalNode,
    (client, table_pulls): (&ExchangeClient, &Semaphore),
    send_now: &mut watch::Receiver<()>,
) {
    let mut table_lag = Lag::default();
    let mut orders_lag = Lag::default();
    let mut upstreams_lag = Lag::default();
    // Spreads the heartbeats over the interval, also when all nodes start at once.
    tokio::time::sleep(settings.interval.mul_f64(rand::random())).await;
    // A heartbeat is answered with one, so of two nodes only the initiator sends. The other one
    // takes over if it hears nothing, as only one of the two may be able to connect.
    let initiates = host.name() < node.name.as_str();
    let silent = settings.interval.mul_f64(INITIATOR_SILENT);
    let mut send = false;
    let mut link = Link::default();
    loop {
        let recent = host.last_heartbeat(&node.name);
        let recent = recent.filter(|last| !initiates && !send && last.age < silent);
        let (position, table, groups) = if let Some(last) = recent {
            (last.position, last.table, last.groups)
        } else {
            let greeting = link.encode(&host.heartbeat(), clock::now());
            traffic::count(Kind::Heartbeat, &greeting);
            let answer = client
                .greet(context_with_deadline(settings.timeout), greeting)
                .await;
            match answer.map(|answer| link.decode(answer)) {
                Ok(Ok(answer)) => {
                    let stated = (answer.position, answer.knowledge.table, answer.groups);
                    host.receive_heartbeat(answer);
                    stated
                }
                Ok(Err(fault)) => {
                    // The next answer is in full. Until then nothing newer is known.
                    log::info!(
                        "event=heartbeat_dropped peer={} reason=\"{fault}\"",
                        node.name
                    );
                    (host.position(), None, host.groups().version)
                }
                Err(error) => {
                    log::debug!("event=peer_silent peer={} reason=\"{error}\"", node.name);
                    return;
                }
            }
        };
        let own = host.position();
        let orders_lag_exceeded =
            orders_lag.exceeds(position.orders > own.orders, settings.max_orders_lag);
        let max_upstreams_lag = if host.is_cut_off() {
            Duration::ZERO
        } else {
            settings.max_upstreams_lag
        };
        let upstreams_lag_exceeded =
            upstreams_lag.exceeds(position.upstreams > own.upstreams, max_upstreams_lag);
        if orders_lag_exceeded || upstreams_lag_exceeded {
            match client.pull(context_with_deadline(settings.timeout)).await {
                Ok(snapshot) => host.merge_snapshot(&node.name, snapshot),
                Err(error) => {
                    log::debug!("event=pull_failed peer={} reason=\"{error}\"", node.name);
                    return;
                }
            }
        }
        let max_table_lag = if host.is_catching_up() {
            Duration::ZERO
        } else {
            settings.max_orders_lag
        };
        if table_lag.exceeds(table > host.table_version(), max_table_lag)
            && let Ok(_permit) = table_pulls.try_acquire()
        {
            match client.table(context_with_deadline(settings.timeout)).await {
                Ok(Some((content, offset))) => host.merge_table(&node.name, &content, offset),
                Ok(None) => {}
                Err(error) => {
                    log::debug!("event=pull_failed peer={} reason=\"{error}\"", node.name);
                    return;
                }
            }
        }
        if groups > host.groups().version {
            match client.groups(context_with_deadline(settings.timeout)).await {
                Ok(listing) => host.merge_groups(&node.name, listing),
                Err(error) => {
                    log::debug!("event=pull_failed peer={} reason=\"{error}\"", node.name);
                    return;
                }
            }
        }
        send = tokio::select! {
            () = tokio::time::sleep(settings.interval) => false,
            Ok(()) = send_now.changed() => true,
        };
    }
}

/// Since when another node has been ahead of this one in reading a log.
#[derive(Clone, Copy, Debug, Default)]
struct Lag(Option<Moment>);

impl Lag {
    /// Records whether the other node is ahead. Returns whether it has been ahead for at
    /// least `limit`.
    fn exceeds(&mut self, ahead: bool, limit: Duration) -> bool {
        let now = clock::now();
        self.0 = ahead.then(|| self.0.unwrap_or(now));
        self.0.is_some_and(|since| now.since(since) >= limit)
    }
}

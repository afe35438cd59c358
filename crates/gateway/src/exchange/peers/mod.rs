//! Tells the other nodes of this one, and learns which of them live.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use sesamerock_base::time::Moment;
use tarpc::client;
use tokio::sync::Notify;

use super::{ExchangeClient, Greeting, Host, address, transport, within};
use crate::clock;
use crate::node;
use crate::pool::{self, AbortOnDrop};

/// Times of the exchange.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Interval of greetings.
    pub interval: Duration,
    /// Longest time for a greeting to be answered.
    pub timeout: Duration,
    /// How long another node may have read more orders before this one asks it for all
    /// it knows. A read that waits at the store may miss its record.
    pub orders_behind: Duration,
    /// The same for upstreams, which nodes read at intervals.
    pub upstreams_behind: Duration,
    /// Silence after which a node counts as gone: eight intervals.
    pub silence: Duration,
    /// Silence after which a node has no part in what all share. A node that is cut off
    /// from this one may still reach the upstreams, and cuts last seconds.
    pub absence: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(200),
            timeout: Duration::from_millis(600),
            orders_behind: Duration::from_millis(250),
            upstreams_behind: Duration::from_secs(1),
            silence: Duration::from_millis(1_600),
            absence: Duration::from_mins(1),
        }
    }
}

#[derive(Debug)]
struct Heard {
    at: Moment,
    greeting: Greeting,
}

/// The other nodes.
#[derive(Debug)]
pub struct Peers {
    settings: Settings,
    heard: Mutex<HashMap<String, Heard>>,
    tasks: Mutex<HashMap<String, (node::Record, AbortOnDrop)>>,
    /// When each announced node was heard last, or first named; `None` until the
    /// announced nodes are known.
    members: Mutex<Option<HashMap<String, Moment>>>,
    hurry: Arc<Notify>,
}

impl Peers {
    /// Knows no nodes yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            heard: Mutex::default(),
            tasks: Mutex::default(),
            members: Mutex::default(),
            hurry: Arc::new(Notify::new()),
        }
    }

    /// Takes in what a node says. Returns whether it was not heard lately.
    pub fn greeted(&self, greeting: Greeting) -> bool {
        let now = clock::now();
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        let name = greeting.node.name.clone();
        if let Some(former) = heard.get(&name)
            && former.greeting.node.incarnation > greeting.node.incarnation
        {
            // An answer of the process before, which came late.
            return false;
        }
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(members) = members.as_mut() {
            members.insert(name.clone(), now);
        }
        let silence = self.settings.silence;
        let former = heard.insert(name, Heard { at: now, greeting });
        former.is_none_or(|former| now.since(former.at) > silence)
    }

    /// Returns the nodes that live and are to be used.
    pub fn ready(&self) -> Vec<node::Record> {
        let now = clock::now();
        let heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard
            .values()
            .filter(|one| one.greeting.ready && now.since(one.at) <= self.settings.silence)
            .map(|one| one.greeting.node.clone())
            .collect()
    }

    /// Returns the number of nodes that may be alive, this one included; 0 until the
    /// announced nodes are known.
    pub fn entries(&self) -> usize {
        let now = clock::now();
        let members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        members.as_ref().map_or(0, |members| {
            let present = members.values();
            let present = present.filter(|at| now.since(**at) <= self.settings.absence);
            present.count() + 1
        })
    }

    /// Forgets silent nodes. Returns those that fell silent since the last time.
    pub fn silent(&self) -> Vec<String> {
        let now = clock::now();
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        let silent = heard
            .iter()
            .filter(|(_, one)| now.since(one.at) > self.settings.silence);
        let silent: Vec<String> = silent.map(|(name, _)| name.clone()).collect();
        for name in &silent {
            heard.remove(name);
        }
        silent
    }

    /// Tells all nodes now what has changed here.
    pub fn hurry(&self) {
        self.hurry.notify_waiters();
    }

    /// Greets these nodes from now on, and no others.
    pub fn follow(&self, nodes: impl IntoIterator<Item = node::Record>, host: &impl Host) {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        let mut members = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        let members = members.get_or_insert_default();
        let mut kept = HashMap::new();
        for node in nodes {
            let named = members.entry(node.name.clone());
            named.or_insert_with(clock::now);
            let known = tasks.remove(&node.name);
            let entry = match known {
                Some((former, task)) if former == node && !task.0.is_finished() => (former, task),
                _ => {
                    let settings = self.settings;
                    let hurry = Arc::clone(&self.hurry);
                    let task = greet(settings, node.clone(), host.clone(), hurry);
                    (node.clone(), AbortOnDrop(tokio::spawn(task)))
                }
            };
            kept.insert(node.name.clone(), entry);
        }
        members.retain(|name, _| kept.contains_key(name));
        *tasks = kept;
    }
}

/// Greets one node for as long as it is known.
async fn greet(settings: Settings, node: node::Record, host: impl Host, hurry: Arc<Notify>) {
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
                converse(&settings, &node, &host, &client, &hurry).await;
            }
            Err(error) => log::debug!(
                "event=peer_unreachable peer={} reason=\"{error}\"",
                node.name
            ),
        }
        tokio::time::sleep(settings.interval).await;
    }
}

/// Greets over one connection until it fails.
async fn converse(
    settings: &Settings,
    node: &node::Record,
    host: &impl Host,
    client: &ExchangeClient,
    hurry: &Notify,
) {
    let mut orders = Behind::default();
    let mut upstreams = Behind::default();
    loop {
        let greeting = host.greeting();
        let answer = match client.greet(within(settings.timeout), greeting).await {
            Ok(answer) => answer,
            Err(error) => {
                log::debug!("event=peer_silent peer={} reason=\"{error}\"", node.name);
                return;
            }
        };
        let position = answer.position;
        host.greeted(answer);
        let own = host.position();
        let late_orders = orders.exceeds(position.orders > own.orders, settings.orders_behind);
        let late_upstreams = upstreams.exceeds(
            position.upstreams > own.upstreams,
            settings.upstreams_behind,
        );
        if late_orders || late_upstreams {
            match client.pull(within(settings.timeout)).await {
                Ok(snapshot) => host.restore(&node.name, snapshot),
                Err(error) => {
                    log::debug!("event=pull_failed peer={} reason=\"{error}\"", node.name);
                    return;
                }
            }
        }
        tokio::select! {
            () = tokio::time::sleep(settings.interval) => {}
            () = hurry.notified() => {}
        }
    }
}

/// Since when another node has been ahead.
#[derive(Clone, Copy, Debug, Default)]
struct Behind(Option<Moment>);

impl Behind {
    /// Takes in whether the other node is ahead, and returns whether it has been for
    /// longer than `limit`.
    fn exceeds(&mut self, ahead: bool, limit: Duration) -> bool {
        let now = clock::now();
        self.0 = ahead.then(|| self.0.unwrap_or(now));
        self.0.is_some_and(|since| now.since(since) >= limit)
    }
}

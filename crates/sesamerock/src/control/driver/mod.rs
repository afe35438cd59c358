//! The loop of the control thread.

mod apply;
mod order;
mod snapshot;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use sesamerock_base::time::Moment;
use sesamerock_client::error::Error;
use sesamerock_client::log::Remote as Log;
use sesamerock_client::vms::{self, List as _, Vm};
use sesamerock_exchange::contact;
use sesamerock_exchange::message::{Message, Ticket};
use sesamerock_exchange::node::{self, Node};
use sesamerock_exchange::peer::{Peer, Place};
use sesamerock_exchange::{fact, message::Request};
use sesamerock_note::control::Control as Fold;
use sesamerock_note::expedited::ExpeditedCommands;
use tokio::sync::{mpsc, watch};

use super::reader::{self, Read};
use super::view::{Fact, View};
use super::{Command, Lease};
use crate::clock;
use crate::peer::client::Clients;
use crate::settings;

/// Longest sleep of the loop, so that the lease follows the contact rule.
const HEARTBEAT: Duration = Duration::from_millis(100);
/// Events of local tasks that wait for the loop.
const EVENTS: usize = 256;
/// Shortest time between two reads of the VM list.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Rate that reads of the VM list may take, in bytes a second: a third of the
/// 6 KB/s that a node may spend on control.
const LIST_RATE: u64 = 2_000;
/// Size of one VM in the list, in bytes.
const LIST_ENTRY: u64 = 130;
/// Facts held: 970 entries announce themselves, and crash records come beside.
const FACTS: usize = 2_048;
/// Bytes of one fact; a crash with hundreds of calls in flight fits.
const FACT_BYTES: usize = 8 << 10;
/// Bytes of facts per message.
const FACT_MESSAGE_BYTES: usize = 16 << 10;

/// Where the loop publishes.
#[derive(Debug)]
pub(super) struct Output {
    pub(super) view: Arc<ArcSwap<View>>,
    pub(super) published: watch::Sender<u64>,
    pub(super) lease: Lease,
}

/// Outcome of something that a local task did.
#[derive(Debug)]
enum Event {
    /// A peer answered a request, or did not.
    Replied(Ticket, Option<Box<Message>>),
    /// The VM list was read.
    Listed(Result<Vec<Vm>, Error>),
    /// A snapshot was appended to the log, or not.
    Written(Result<u64, Error>),
}

/// State of the control thread.
#[derive(Debug)]
pub(super) struct Driver {
    settings: Arc<settings::Node>,
    log: Log,
    list: vms::Remote,
    output: Output,
    exchange: Node,
    fold: Fold,
    rng: SmallRng,
    clients: Rc<Clients>,
    events: mpsc::Sender<Event>,
    inbox: Option<mpsc::Receiver<Event>>,
    asked: watch::Sender<Option<u64>>,
    reads: Option<mpsc::Receiver<Read>>,
    next_list: Moment,
    log_state: LogState,
    whole: bool,
    stopping: bool,
    dirty: bool,
    facts: Vec<u32>,
    vms_leaving: Vec<String>,
    ahead: ExpeditedCommands,
    snapshot: snapshot::Writer,
}

/// What is known of the log.
#[derive(Clone, Copy, Debug, Default)]
struct LogState {
    read: Option<Moment>,
    first: u64,
    head: u64,
}

impl Driver {
    fn build(parts: Parts) -> Self {
        let Parts {
            settings,
            log,
            list,
            output,
        } = parts;
        let now = clock::now();
        let me = Peer::new(
            settings.reached_at(),
            Place::named(&settings.region, &settings.zone),
        );
        let seeds: Vec<_> = settings
            .seeds
            .iter()
            .filter(|seed| **seed != settings.reached_at())
            .map(|seed| Peer::new(*seed, me.place))
            .collect();
        let limits = fact::Limits {
            count: FACTS,
            value: FACT_BYTES,
            message: FACT_MESSAGE_BYTES,
            ..fact::Limits::default()
        };
        let start = std::time::SystemTime::now()
            .duration_since(std::time::SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let exchange_settings = node::Settings {
            facts: limits,
            incarnation: start.as_millis() as u64,
            ..node::Settings::default()
        };
        let (events, inbox) = mpsc::channel(EVENTS);
        Self {
            exchange: Node::new(now, me, exchange_settings, seeds),
            snapshot: snapshot::Writer::new(&settings.name, now),
            settings,
            log,
            list,
            output,
            fold: Fold::default(),
            rng: SmallRng::from_rng(&mut rand::rng()),
            clients: Rc::new(Clients::default()),
            events,
            inbox: Some(inbox),
            asked: watch::Sender::new(Some(0)),
            reads: None,
            next_list: now,
            log_state: LogState::default(),
            whole: false,
            stopping: false,
            dirty: true,
            facts: Vec::new(),
            vms_leaving: Vec::new(),
            ahead: ExpeditedCommands::default(),
        }
    }

    /// Runs until every handle of the control thread is dropped.
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let (sender, reads) = mpsc::channel(1);
        tokio::task::spawn_local(reader::run(
            self.log.clone(),
            self.asked.subscribe(),
            sender,
        ));
        self.reads = Some(reads);
        let (Some(mut inbox), Some(mut reads)) = (self.inbox.take(), self.reads.take()) else {
            return;
        };
        loop {
            let now = clock::now();
            let wake = self.exchange.next(now).min(now + HEARTBEAT);
            tokio::select! {
                () = tokio::time::sleep(wake.since(now)) => {}
                command = commands.recv() => match command {
                    Some(command) => self.command(command),
                    None => return,
                },
                Some(event) = inbox.recv() => self.event(event),
                Some(read) = reads.recv() => self.read(read),
            }
            let now = clock::now();
            self.exchange.tick(now, &mut self.rng);
            self.settle(now);
        }
    }

    fn command(&mut self, command: Command) {
        let now = clock::now();
        match command {
            Command::Exchange { message, reply } => {
                let answer = self.exchange.receive(now, &message, &mut self.rng);
                if reply.send(answer).is_err() {
                    log::debug!("event=peer_gone peer={}", message.from.address);
                }
            }
            Command::State { key, value, ttl } => {
                if !self.exchange.state(now, key, value.into(), ttl) {
                    log::warn!("event=fact_refused key={key} reason=too-large-or-too-many");
                }
                self.dirty = true;
            }
            Command::Leave => {
                self.stopping = true;
                self.exchange.leave();
                self.dirty = true;
            }
        }
    }

    fn event(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::Replied(ticket, Some(reply)) => {
                self.exchange.reply(now, &ticket, &reply, &mut self.rng);
            }
            Event::Replied(ticket, None) => self.exchange.failed(now, &ticket),
            Event::Listed(Ok(list)) => self.listed(now, &list),
            Event::Listed(Err(error)) => {
                log::debug!("event=vm_list_failed error={error}");
                self.next_list = now + LIST_INTERVAL;
            }
            Event::Written(outcome) => self.snapshot.written(now, &outcome),
        }
    }

    /// Does what follows from the last event: applies deliveries, sends
    /// requests, asks for reads, publishes.
    fn settle(&mut self, now: Moment) {
        self.take_deliveries(now);
        self.settle_orders();
        for request in self.exchange.requests() {
            self.send(request);
        }
        if self.exchange.snapshot_due() {
            let snapshot = self.encode();
            self.exchange.provide(now, snapshot);
        }
        self.ask(now);
        self.read_list(now);
        self.write_snapshot(now);
        self.publish(now);
    }

    fn send(&self, request: Request) {
        let clients = Rc::clone(&self.clients);
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let reply = clients.exchange(request.ticket.to, request.message).await;
            let event = Event::Replied(request.ticket, reply.map(Box::new));
            if events.send(event).await.is_err() {
                log::debug!("event=reply_dropped reason=ending");
            }
        });
    }

    /// Asks the reader for the next records if this node reads the log.
    ///
    /// A node that has nothing yet reads in any case, since it knows no peers
    /// that would choose readers.
    fn ask(&mut self, _now: Moment) {
        let reads = self.exchange.reads_log() || !self.whole;
        let asked = reads.then(|| self.fold.position());
        self.asked.send_if_modified(|current| {
            let changed = *current != asked;
            *current = asked;
            changed
        });
    }

    fn read_list(&mut self, now: Moment) {
        let wanted = self.exchange.reads_log() || !self.whole;
        if !wanted || now < self.next_list {
            return;
        }
        // Set anew when the answer comes.
        self.next_list = now + LIST_INTERVAL * 6;
        let list = self.list.clone();
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let listed = list.vms().await;
            if events.send(Event::Listed(listed)).await.is_err() {
                log::debug!("event=vm_list_dropped reason=ending");
            }
        });
    }

    fn listed(&mut self, now: Moment, list: &[Vm]) {
        let pause = Duration::from_secs(list.len() as u64 * LIST_ENTRY / LIST_RATE);
        self.next_list = now + pause.max(LIST_INTERVAL);
        let peers = list.iter().map(|vm| Peer {
            leaving: vm.leaving,
            ..Peer::new(vm.peer, Place::named(&vm.region, &vm.zone))
        });
        self.exchange.vms(peers, &mut self.rng);
        let leaving: Vec<_> = list
            .iter()
            .filter(|vm| vm.leaving)
            .map(|vm| vm.name.clone())
            .collect();
        if leaving != self.vms_leaving {
            self.vms_leaving = leaving;
            self.dirty = true;
        }
    }

    fn publish(&mut self, now: Moment) {
        if let Some(age) = self.exchange.contact().age(now) {
            self.output.lease.set(now - age + contact::LIMIT);
        }
        let facts = self.exchange.facts().digest();
        if facts == self.facts && !self.dirty {
            return;
        }
        self.facts = facts;
        self.dirty = false;
        let facts = self
            .exchange
            .facts()
            .iter()
            // Orders are the control thread's own concern.
            .filter(|(name, _)| name.ordered().is_none())
            .map(|(name, value)| Fact {
                origin: name.origin,
                key: name.key,
                value: value.clone(),
            })
            .collect();
        let view = View {
            state: self.fold.state().clone(),
            facts,
            log_read: self.log_state.read,
            vms_leaving: self.vms_without_new_work(),
            ahead: self.ahead.clone(),
            whole: self.whole,
            stopping: self.stopping,
            ..View::new(&self.settings, self.output.lease.clone())
        };
        self.output.view.store(Arc::new(view));
        self.output.published.send_modify(|count| *count += 1);
    }
}

/// What the control thread is built from; unlike the driver it can be sent to
/// another thread.
#[derive(Debug)]
pub(super) struct Parts {
    pub(super) settings: Arc<settings::Node>,
    pub(super) log: Log,
    pub(super) list: vms::Remote,
    pub(super) output: Output,
}

impl Parts {
    /// Builds the driver on the present thread and runs it.
    pub(super) async fn run(self, commands: mpsc::Receiver<Command>) {
        Driver::build(self).run(commands).await;
    }
}

//! Event loop of the control thread.
//!
//! The loop reacts to commands of other threads, to replies of peers and to
//! pages of the log; after each it sends the requests that have become due and
//! publishes a new view if anything changed.

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

/// Longest sleep of the loop, which renews the lease on each iteration.
const MAX_SLEEP: Duration = Duration::from_millis(100);
/// Capacity of the queue of events from local tasks.
const EVENT_CAPACITY: usize = 256;
/// Shortest time between two reads of the VM list.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// Average rate of reading the VM list: a third of the 6 KB/s that a node may
/// spend on control traffic.
const LIST_BYTES_PER_SECOND: u64 = 2_000;
/// Approximate size of one VM in the list.
const LIST_ENTRY_BYTES: u64 = 130;
/// Facts that a node stores: the announcements of 970 entries and the crash
/// records.
const MAX_FACTS: usize = 2_048;
/// Size of one fact; enough for a crash record with hundreds of calls in flight.
const MAX_FACT_BYTES: usize = 8 << 10;
/// Size of all facts in one message to a peer.
const MAX_FACT_MESSAGE_BYTES: usize = 16 << 10;

/// Shared state through which the loop publishes to other threads.
#[derive(Debug)]
pub(super) struct Output {
    pub(super) view: Arc<ArcSwap<View>>,
    pub(super) published: watch::Sender<u64>,
    pub(super) lease: Lease,
}

/// Result of a local task.
#[derive(Debug)]
enum Event {
    /// A peer replied to a request, or `None` if the request failed.
    Replied(Ticket, Option<Box<Message>>),
    /// The VM list was read.
    Listed(Result<Vec<Vm>, Error>),
    /// Appending a snapshot to the log ended; holds the offset of its last part.
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
    read_position: watch::Sender<Option<u64>>,
    reads: Option<mpsc::Receiver<Read>>,
    next_list: Moment,
    log_state: LogState,
    ready: bool,
    stopping: bool,
    dirty: bool,
    facts: Vec<u32>,
    vms_leaving: Vec<String>,
    ahead: ExpeditedCommands,
    snapshot: snapshot::Writer,
}

/// State of the log as of the last read.
#[derive(Clone, Copy, Debug, Default)]
struct LogState {
    /// Time of the last successful read.
    last_read: Option<Moment>,
    /// Offset of the oldest record in the log.
    oldest: u64,
    /// Offset that the next record of the log will get.
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
            max_facts: MAX_FACTS,
            max_value_bytes: MAX_FACT_BYTES,
            max_message_bytes: MAX_FACT_MESSAGE_BYTES,
            ..fact::Limits::default()
        };
        let since_epoch = std::time::SystemTime::now()
            .duration_since(std::time::SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let exchange_settings = node::Settings {
            facts: limits,
            incarnation: since_epoch.as_millis() as u64,
            ..node::Settings::default()
        };
        let (events, inbox) = mpsc::channel(EVENT_CAPACITY);
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
            read_position: watch::Sender::new(Some(0)),
            reads: None,
            next_list: now,
            log_state: LogState::default(),
            ready: false,
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
            self.read_position.subscribe(),
            sender,
        ));
        self.reads = Some(reads);
        let (Some(mut inbox), Some(mut reads)) = (self.inbox.take(), self.reads.take()) else {
            return;
        };
        loop {
            let now = clock::now();
            let wake = self.exchange.next_tick(now).min(now + MAX_SLEEP);
            tokio::select! {
                () = tokio::time::sleep(wake.since(now)) => {}
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                Some(event) = inbox.recv() => self.handle_event(event),
                Some(read) = reads.recv() => self.handle_read(read),
            }
            let now = clock::now();
            self.exchange.tick(now, &mut self.rng);
            self.process_pending(now);
        }
    }

    fn handle_command(&mut self, command: Command) {
        let now = clock::now();
        match command {
            Command::Exchange { message, reply } => {
                let answer = self.exchange.receive_request(now, &message, &mut self.rng);
                if reply.send(answer).is_err() {
                    log::debug!("event=peer_gone peer={}", message.from.address);
                }
            }
            Command::PublishFact { key, value, ttl } => {
                if !self.exchange.publish_fact(now, key, value.into(), ttl) {
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

    fn handle_event(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::Replied(ticket, Some(reply)) => {
                self.exchange
                    .receive_reply(now, &ticket, &reply, &mut self.rng);
            }
            Event::Replied(ticket, None) => self.exchange.request_failed(now, &ticket),
            Event::Listed(Ok(list)) => self.apply_vm_list(now, &list),
            Event::Listed(Err(error)) => {
                log::debug!("event=vm_list_failed error={error}");
                self.next_list = now + LIST_INTERVAL;
            }
            Event::Written(outcome) => self.snapshot.write_finished(now, &outcome),
        }
    }

    /// Carries out the consequences of the last event: applies deliveries, sends
    /// requests to peers, schedules reads and publishes the view.
    fn process_pending(&mut self, now: Moment) {
        self.apply_deliveries(now);
        self.drop_folded_orders();
        for request in self.exchange.take_requests() {
            self.send(request);
        }
        if self.exchange.snapshot_due() {
            let snapshot = self.encode();
            self.exchange.provide_snapshot(now, snapshot);
        }
        self.request_read(now);
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

    /// Requests the next records from the reader if this node reads the log.
    ///
    /// A node without control state always reads, since it knows no peers among
    /// which readers could be chosen.
    fn request_read(&mut self, _now: Moment) {
        let reads = self.exchange.reads_log() || !self.ready;
        let position = reads.then(|| self.fold.position());
        self.read_position.send_if_modified(|current| {
            let changed = *current != position;
            *current = position;
            changed
        });
    }

    fn read_list(&mut self, now: Moment) {
        let needed = self.exchange.reads_log() || !self.ready;
        if !needed || now < self.next_list {
            return;
        }
        // Applies if no answer comes; an answer replaces this time.
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

    fn apply_vm_list(&mut self, now: Moment, list: &[Vm]) {
        let pause =
            Duration::from_secs(list.len() as u64 * LIST_ENTRY_BYTES / LIST_BYTES_PER_SECOND);
        self.next_list = now + pause.max(LIST_INTERVAL);
        let peers = list.iter().map(|vm| Peer {
            leaving: vm.leaving,
            ..Peer::new(vm.peer, Place::named(&vm.region, &vm.zone))
        });
        self.exchange.set_vms(peers, &mut self.rng);
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
            self.output.lease.set(now - age + contact::MAX_CONTACT_AGE);
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
            // Only the control thread uses orders.
            .filter(|(name, _)| name.expedited_version().is_none())
            .map(|(name, value)| Fact {
                origin: name.origin,
                key: name.key,
                value: value.clone(),
            })
            .collect();
        let view = View {
            state: self.fold.state().clone(),
            facts,
            log_read: self.log_state.last_read,
            vms_leaving: self.vms_without_new_work(),
            ahead: self.ahead.clone(),
            ready: self.ready,
            stopping: self.stopping,
            ..View::new(&self.settings, self.output.lease.clone())
        };
        self.output.view.store(Arc::new(view));
        self.output.published.send_modify(|count| *count += 1);
    }
}

/// Inputs of the driver. Unlike the driver itself, they can be sent to another
/// thread.
#[derive(Debug)]
pub(super) struct Parts {
    pub(super) settings: Arc<settings::Node>,
    pub(super) log: Log,
    pub(super) list: vms::Remote,
    pub(super) output: Output,
}

impl Parts {
    /// Builds the driver on the current thread and runs it until every handle of
    /// the control thread is dropped.
    pub(super) async fn run(self, commands: mpsc::Receiver<Command>) {
        Driver::build(self).run(commands).await;
    }
}

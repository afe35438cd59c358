//! Runs the member, and where chosen the leader, of this agent's group.
//!
//! One task owns both state machines. It answers the leaders of other ranks,
//! which reach it over the relay service, sends what its own leader asks of the
//! ranks, and gives the engine its commands one at a time.

mod content;
mod placement;
mod rank;
mod ranks;
mod report;

use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;
use sesamerock_group::leader::{Leader, Request, Role, Settings};
use sesamerock_group::message::Message;
use sesamerock_platform::engine::Engine;
use sesamerock_wire::relay::GroupMessage;
use tokio::sync::{mpsc, oneshot, watch};

use super::Context;
use crate::clock;
use crate::entry::relay::Pool;
use rank::Rank;
use ranks::Ranks;

/// Messages that wait for the group's task.
const INBOX: usize = 256;
/// Time for one message to a rank and its reply.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Messages to one rank that may wait for their replies.
const IN_FLIGHT: usize = 4;
/// Requests for contents of maps that wait for the placement task.
const WANTS: usize = 8;
/// Map that every engine has staged when it starts.
const FIRST_MAP: u64 = 0;

/// The map that the group is to switch to; `None` keeps the present one.
#[derive(Clone, Debug)]
pub struct Planned(watch::Receiver<Option<u64>>);

impl Planned {
    /// Follows a sender of map numbers.
    pub fn new(maps: watch::Receiver<Option<u64>>) -> Self {
        Self(maps)
    }

    /// Waits for another map; never returns if there will be none.
    async fn changed(&mut self) {
        if self.0.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl Default for Planned {
    fn default() -> Self {
        Self(watch::Sender::new(None).subscribe())
    }
}

/// What arrives for the group's task.
#[derive(Debug)]
enum Arrival {
    /// A request of some rank's leader.
    Request {
        group: String,
        rank: u32,
        message: Message,
        reply: oneshot::Sender<Message>,
    },
    /// A reply to this rank's leader.
    Reply { from: u32, message: Message },
}

/// Messages for the group's tasks.
#[derive(Debug)]
pub struct Inbox {
    arrivals: mpsc::Receiver<Arrival>,
    wants: mpsc::Receiver<Want>,
}

/// A map whose content this agent lacks.
#[derive(Clone, Copy, Debug)]
struct Want {
    map: u64,
    /// Rank of the leader that asked to stage it.
    leader: u32,
}

/// What the placement task needs to know of the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Lead {
    /// Whether this agent leads.
    leads: bool,
    /// Whether maps are named from outside.
    named: bool,
    /// Map of the last step planned.
    map: u64,
}

/// What the group's task and the placement task share.
#[derive(Debug)]
struct Shared {
    contents: content::Contents,
    reader: report::Reader,
    wants: mpsc::Sender<Want>,
    lead: watch::Sender<Lead>,
    /// Map that the placement task planned.
    target: watch::Sender<Option<u64>>,
}

/// What an agent does in its group, for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the group; empty if the upstream is in none that is whole.
    pub group: String,
    /// Rank of this agent.
    pub rank: u32,
    /// Whether this agent leads and has the promise of every rank.
    pub leads: bool,
    /// Counter of its last token.
    pub counter: u64,
    /// Step up to which the windows of this leader are confirmed.
    pub confirmed: u64,
    /// Ranks whose promise this leader waits for.
    pub silent: Vec<u32>,
}

/// The group's task, for the other tasks of the agent.
#[derive(Clone, Debug)]
pub struct Handle {
    inbox: mpsc::Sender<Arrival>,
    status: watch::Sender<Status>,
    shared: Arc<Shared>,
}

impl Handle {
    /// Makes a handle and the inbox of the task.
    pub fn new() -> (Self, Inbox) {
        let (sender, arrivals) = mpsc::channel(INBOX);
        let (wants, wanted) = mpsc::channel(WANTS);
        let handle = Self {
            inbox: sender,
            status: watch::Sender::default(),
            shared: Arc::new(Shared {
                contents: content::Contents::default(),
                reader: report::Reader::default(),
                wants,
                lead: watch::Sender::default(),
                target: watch::Sender::default(),
            }),
        };
        let inbox = Inbox {
            arrivals,
            wants: wanted,
        };
        (handle, inbox)
    }

    /// Returns what the agent does in its group.
    pub fn status(&self) -> Status {
        self.status.borrow().clone()
    }

    /// Answers a message of a leader.
    ///
    /// # Errors
    /// Returns the status for a message that cannot be read or answered.
    pub async fn answer(&self, request: GroupMessage) -> Result<GroupMessage, tonic::Status> {
        let message = bincode::deserialize(&request.message)
            .map_err(|error| tonic::Status::invalid_argument(error.to_string()))?;
        let (reply, answer) = oneshot::channel();
        let arrival = Arrival::Request {
            group: request.group.clone(),
            rank: request.rank,
            message,
            reply,
        };
        let busy = |_| tonic::Status::unavailable("the group's task takes no message");
        self.inbox.try_send(arrival).map_err(busy)?;
        let unknown =
            |_| tonic::Status::failed_precondition("not this rank, or its engine is silent");
        let answer = answer.await.map_err(unknown)?;
        Ok(GroupMessage {
            message: encode(&answer),
            ..request
        })
    }
}

/// Returns a message in bincode, which cannot fail for these types.
fn encode(message: &Message) -> bytes::Bytes {
    bincode::serialize(message).unwrap_or_default().into()
}

/// Answers a message of another rank's agent.
///
/// # Errors
/// Returns the status for a message that cannot be read or answered.
pub(super) async fn answer<E: Engine>(
    context: &Context<E>,
    request: GroupMessage,
) -> Result<GroupMessage, tonic::Status> {
    if report::marked(&request.message) {
        report::answer(context, request).await
    } else {
        context.group.answer(request).await
    }
}

/// Runs the group of the agent's upstream until the task is dropped.
pub async fn run<E: Engine>(context: &Context<E>, inbox: Inbox, planned: Planned) {
    let Inbox { arrivals, wants } = inbox;
    // The planner makes the second future large.
    let placement = Box::pin(placement::run(context, wants));
    tokio::join!(run_protocol(context, arrivals, planned), placement);
}

async fn run_protocol<E: Engine>(
    context: &Context<E>,
    mut arrivals: mpsc::Receiver<Arrival>,
    mut planned: Planned,
) {
    let mut target = context.group.shared.target.subscribe();
    let mut changes = context.control.changes();
    let mut task = Task {
        context,
        pool: Arc::new(Pool::default()),
        present: None,
        rng: SmallRng::from_rng(&mut rand::rng()),
    };
    loop {
        task.follow_state();
        let named = *planned.0.borrow();
        let map = named.or(*target.borrow_and_update());
        task.send(map).await;
        task.state(named.is_some());
        let next = task.next();
        tokio::select! {
            arrival = arrivals.recv() => match arrival {
                Some(arrival) => task.handle(arrival).await,
                None => return,
            },
            view = changes.changed() => if view.is_err() {
                return;
            },
            () = planned.changed() => {}
            // The sender lives as long as the agent.
            _ = target.changed() => {}
            () = until(next) => {}
        }
    }
}

async fn until(next: Option<Moment>) {
    match next {
        Some(next) => tokio::time::sleep(next.since(clock::now())).await,
        None => std::future::pending().await,
    }
}

struct Task<'a, E> {
    context: &'a Context<E>,
    pool: Arc<Pool>,
    present: Option<Present<E>>,
    rng: SmallRng,
}

/// The group that the upstream is part of at present.
struct Present<E> {
    ranks: Ranks,
    rank: Rank<E>,
    leader: Leader,
    role: Role,
    slots: Vec<Arc<tokio::sync::Semaphore>>,
}

impl<E: Engine> Task<'_, E> {
    /// Takes over what the control state says of the group. A change of ranks
    /// makes a new member and a new leader.
    fn follow_state(&mut self) {
        let view = self.context.control.view();
        let name = &self.context.settings.upstream.name;
        let ranks = Ranks::of(&view.state, name);
        if self.present.as_ref().map(|present| &present.ranks) == ranks.as_ref() {
            return;
        }
        log::info!("event=group_changed upstream={name} ranks={ranks:?}");
        self.present = ranks.map(|ranks| self.join(ranks));
    }

    fn join(&mut self, ranks: Ranks) -> Present<E> {
        let mut settings = Settings::of(ranks.own, ranks.agents.len() as u32);
        settings.first = FIRST_MAP;
        if let Some(time) = self.context.settings.map_switch {
            settings.pace.switch = time;
        }
        let sender = self.context.settings.node.name.clone();
        let engine = self.context.engine.clone();
        let incarnation = rand::random();
        let leader = Leader::new(settings, incarnation, clock::now(), &mut self.rng);
        let slots = ranks
            .agents
            .iter()
            .map(|_| Arc::new(tokio::sync::Semaphore::new(IN_FLIGHT)));
        Present {
            rank: Rank::new(
                engine,
                sender,
                &ranks,
                Arc::clone(&self.context.group.shared),
            ),
            role: leader.role(),
            leader,
            slots: slots.collect(),
            ranks,
        }
    }

    /// States what this agent does in its group.
    fn state(&self, named: bool) {
        let lead = self.present.as_ref().map(|present| Lead {
            leads: present.leader.role() == Role::Leading,
            named,
            map: present.leader.map(),
        });
        self.context.group.shared.lead.send_if_modified(|last| {
            let lead = lead.unwrap_or_default();
            std::mem::replace(last, lead) != lead
        });
        let status = self.present.as_ref().map(Present::status);
        self.context.group.status.send_if_modified(|last| {
            let status = status.unwrap_or_default();
            *last != status && {
                *last = status;
                true
            }
        });
    }

    fn next(&self) -> Option<Moment> {
        self.present.as_ref().map(|present| present.leader.next())
    }

    async fn handle(&mut self, arrival: Arrival) {
        let Some(present) = &mut self.present else {
            return;
        };
        match arrival {
            Arrival::Request {
                group,
                rank,
                message,
                reply,
            } => {
                if group != present.ranks.group || rank != present.ranks.own {
                    return;
                }
                present
                    .leader
                    .heard(clock::now(), message.fence(), &mut self.rng);
                if let Some(answer) = present.rank.receive(&message).await {
                    // A leader that gave up waiting asks again.
                    drop(reply.send(answer));
                }
            }
            Arrival::Reply { from, message } => present.receive(from, &message, &mut self.rng),
        }
    }

    /// Sends what the leader has for the ranks.
    async fn send(&mut self, planned: Option<u64>) {
        let Some(present) = &mut self.present else {
            return;
        };
        match planned {
            Some(map) => present.leader.switch(clock::now(), map),
            None => present.leader.stay(),
        }
        let requests = present.leader.tick(clock::now(), &mut self.rng);
        for request in requests {
            if request.to == present.ranks.own {
                if let Some(reply) = present.rank.receive(&request.message).await {
                    present.receive(request.to, &reply, &mut self.rng);
                }
            } else {
                present.post(&request, &self.pool, &self.context.group);
            }
        }
        present.note_role();
    }
}

impl<E> Present<E> {
    fn receive(&mut self, from: u32, reply: &Message, rng: &mut SmallRng) {
        if let Message::Refused { reason, report, .. } = reply {
            log::debug!(
                "event=group_refused group={} rank={from} reason={reason:?} report={report:?}",
                self.ranks.group
            );
        }
        if let Err(conflict) = self.leader.receive(clock::now(), from, reply, rng) {
            log::error!(
                "event=group_conflict group={} step={} rank={from}",
                self.ranks.group,
                conflict.step
            );
        }
        self.note_role();
    }

    /// Sends a message without waiting for the reply, which arrives in the
    /// inbox. A rank that answers nothing gets no more than a few at once.
    fn post(&self, request: &Request, pool: &Arc<Pool>, inbox: &Handle) {
        let slot = Arc::clone(&self.slots[request.to as usize]);
        let Ok(slot) = slot.try_acquire_owned() else {
            return;
        };
        let agent = self.ranks.agents[request.to as usize];
        let message = GroupMessage {
            group: self.ranks.group.clone(),
            rank: request.to,
            message: encode(&request.message),
        };
        let pool = Arc::clone(pool);
        let inbox = inbox.clone();
        let from = request.to;
        tokio::spawn(async move {
            let reply = tokio::time::timeout(TIMEOUT, pool.group(agent, message)).await;
            drop(slot);
            let Ok(Ok(reply)) = reply else {
                log::debug!("event=group_no_reply rank={from} agent={agent}");
                return;
            };
            if let Ok(message) = bincode::deserialize(&reply.message) {
                let arrival = Arrival::Reply { from, message };
                // A full inbox loses the reply; the leader asks again.
                drop(inbox.inbox.try_send(arrival));
            }
        });
    }

    fn status(&self) -> Status {
        let silent = match self.leader.role() {
            Role::Following => Vec::new(),
            Role::Preparing | Role::Leading => self.leader.silent().collect(),
        };
        Status {
            group: self.ranks.group.clone(),
            rank: self.ranks.own,
            leads: self.leader.role() == Role::Leading,
            counter: self.leader.fence().counter,
            confirmed: self.leader.confirmed(),
            silent,
        }
    }

    fn note_role(&mut self) {
        let role = self.leader.role();
        if std::mem::replace(&mut self.role, role) == role {
            return;
        }
        log::info!(
            "event=group_role group={} rank={} role={role:?} counter={} confirmed={} silent={:?}",
            self.ranks.group,
            self.ranks.own,
            self.leader.fence().counter,
            self.leader.confirmed(),
            self.leader.silent().collect::<Vec<_>>()
        );
    }
}

//! Runs the member, and where chosen the leader, of this agent's group.
//!
//! One task owns both state machines. It answers the leaders of other ranks,
//! which reach it over the relay service, sends what its own leader asks of the
//! ranks, and gives the engine its commands one at a time.

mod content;
mod handle;
mod placement;
mod present;
mod rank;
mod ranks;
mod report;

use std::sync::Arc;

use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use sesamerock_base::time::Moment;
use sesamerock_client::engine::Engine;
use sesamerock_group::leader::{Leader, Role, Settings};
use sesamerock_wire::relay::GroupMessage;
use tokio::sync::{mpsc, watch};

use super::Context;
use crate::clock;
use crate::entry::relay::Pool;
use handle::{Arrival, Lead, Shared, Want};
pub use handle::{Handle, Inbox, Status};
use present::Present;
use rank::Rank;
use ranks::Ranks;

/// Messages to one rank that may wait for their replies.
const IN_FLIGHT: usize = 4;
/// Map that every engine has staged when it starts.
const FIRST_MAP: u64 = 0;

/// The map that the group is to switch to; `None` keeps the present one.
#[derive(Clone, Debug)]
pub struct MapOverride(watch::Receiver<Option<u64>>);

impl MapOverride {
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

impl Default for MapOverride {
    fn default() -> Self {
        Self(watch::Sender::new(None).subscribe())
    }
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
pub async fn run<E: Engine>(context: &Context<E>, inbox: Inbox, planned: MapOverride) {
    let Inbox { arrivals, wants } = inbox;
    // The planner makes the second future large.
    let placement = Box::pin(placement::run(context, wants));
    tokio::join!(run_protocol(context, arrivals, planned), placement);
}

async fn run_protocol<E: Engine>(
    context: &Context<E>,
    mut arrivals: mpsc::Receiver<Arrival>,
    mut planned: MapOverride,
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

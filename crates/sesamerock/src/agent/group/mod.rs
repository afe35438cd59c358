//! Runs the member, and where chosen the leader, of this agent's group.
//!
//! One task owns both state machines. It answers the leaders of other ranks,
//! which reach it over the relay service, sends what its own leader asks of the
//! ranks, and gives the engine its commands one at a time.

mod content;
mod current;
mod handle;
mod member;
mod placement;
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
use current::CurrentGroup;
use handle::{Arrival, ContentRequest, Leadership, Shared};
pub use handle::{Handle, Inbox, Status};
use member::RankMember;
use ranks::Ranks;

/// Messages to one rank that may wait for their replies.
const MAX_IN_FLIGHT: usize = 4;
/// Map that every engine has staged when it starts.
const INITIAL_MAP: u64 = 0;

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
    if report::is_placement_message(&request.message) {
        report::answer(context, request).await
    } else {
        context.group.answer(request).await
    }
}

/// Runs the group of the agent's upstream until the task is dropped.
pub async fn run<E: Engine>(context: &Context<E>, inbox: Inbox, map_override: MapOverride) {
    let Inbox {
        arrivals,
        content_requests,
    } = inbox;
    // The planner makes the second future large.
    let placement = Box::pin(placement::run(context, content_requests));
    tokio::join!(run_protocol(context, arrivals, map_override), placement);
}

async fn run_protocol<E: Engine>(
    context: &Context<E>,
    mut arrivals: mpsc::Receiver<Arrival>,
    mut map_override: MapOverride,
) {
    let mut target = context.group.shared.target.subscribe();
    let mut changes = context.control.changes();
    let mut task = ProtocolTask {
        context,
        pool: Arc::new(Pool::default()),
        current: None,
        rng: SmallRng::from_rng(&mut rand::rng()),
    };
    loop {
        task.follow_state();
        let overridden = *map_override.0.borrow();
        let map = overridden.or(*target.borrow_and_update());
        task.send(map).await;
        task.publish_status(overridden.is_some());
        let wake = task.next_wake();
        tokio::select! {
            arrival = arrivals.recv() => match arrival {
                Some(arrival) => task.handle(arrival).await,
                None => return,
            },
            view = changes.changed() => if view.is_err() {
                return;
            },
            () = map_override.changed() => {}
            // The sender lives as long as the agent.
            _ = target.changed() => {}
            () = sleep_until(wake) => {}
        }
    }
}

async fn sleep_until(next: Option<Moment>) {
    match next {
        Some(next) => tokio::time::sleep(next.since(clock::now())).await,
        None => std::future::pending().await,
    }
}

struct ProtocolTask<'a, E> {
    context: &'a Context<E>,
    pool: Arc<Pool>,
    current: Option<CurrentGroup<E>>,
    rng: SmallRng,
}

impl<E: Engine> ProtocolTask<'_, E> {
    /// Takes over what the control state says of the group. A change of ranks
    /// makes a new member and a new leader.
    fn follow_state(&mut self) {
        let view = self.context.control.view();
        let name = &self.context.settings.upstream.name;
        let ranks = Ranks::of(&view.state, name);
        if self.current.as_ref().map(|current| &current.ranks) == ranks.as_ref() {
            return;
        }
        log::info!("event=group_changed upstream={name} ranks={ranks:?}");
        self.current = ranks.map(|ranks| self.join(ranks));
    }

    fn join(&mut self, ranks: Ranks) -> CurrentGroup<E> {
        let mut settings = Settings::of(ranks.own, ranks.agents.len() as u32);
        settings.first = INITIAL_MAP;
        if let Some(time) = self.context.settings.map_switch {
            settings.pace.switch = time;
        }
        let sender = self.context.settings.node.name.clone();
        let engine = self.context.engine.clone();
        let incarnation = rand::random();
        let leader = Leader::new(settings, incarnation, clock::now(), &mut self.rng);
        let send_slots = ranks
            .agents
            .iter()
            .map(|_| Arc::new(tokio::sync::Semaphore::new(MAX_IN_FLIGHT)));
        CurrentGroup {
            member: RankMember::new(
                engine,
                sender,
                &ranks,
                Arc::clone(&self.context.group.shared),
            ),
            role: leader.role(),
            leader,
            send_slots: send_slots.collect(),
            ranks,
        }
    }

    /// States what this agent does in its group.
    fn publish_status(&self, overridden: bool) {
        let leadership = self.current.as_ref().map(|current| Leadership {
            is_leader: current.leader.role() == Role::Leading,
            overridden,
            current_map: current.leader.map(),
        });
        self.context
            .group
            .shared
            .leadership
            .send_if_modified(|last| {
                let leadership = leadership.unwrap_or_default();
                std::mem::replace(last, leadership) != leadership
            });
        let status = self.current.as_ref().map(CurrentGroup::status);
        self.context.group.status.send_if_modified(|last| {
            let status = status.unwrap_or_default();
            *last != status && {
                *last = status;
                true
            }
        });
    }

    fn next_wake(&self) -> Option<Moment> {
        self.current.as_ref().map(|current| current.leader.next())
    }

    async fn handle(&mut self, arrival: Arrival) {
        let Some(current) = &mut self.current else {
            return;
        };
        match arrival {
            Arrival::Request {
                group,
                rank,
                message,
                reply,
            } => {
                if group != current.ranks.group || rank != current.ranks.own {
                    return;
                }
                current
                    .leader
                    .heard(clock::now(), message.fence(), &mut self.rng);
                if let Some(answer) = current.member.receive(&message).await {
                    // A leader that gave up waiting asks again.
                    drop(reply.send(answer));
                }
            }
            Arrival::Reply { from, message } => current.receive(from, &message, &mut self.rng),
        }
    }

    /// Sends what the leader has for the ranks.
    async fn send(&mut self, target_map: Option<u64>) {
        let Some(current) = &mut self.current else {
            return;
        };
        match target_map {
            Some(map) => current.leader.switch(clock::now(), map),
            None => current.leader.stay(),
        }
        let requests = current.leader.tick(clock::now(), &mut self.rng);
        for request in requests {
            if request.to == current.ranks.own {
                if let Some(reply) = current.member.receive(&request.message).await {
                    current.receive(request.to, &reply, &mut self.rng);
                }
            } else {
                current.send_request(&request, &self.pool, &self.context.group);
            }
        }
        current.log_role_change();
    }
}

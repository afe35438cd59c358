//! Runs this agent's part of the group protocol: the member of its rank, and the
//! leader if this rank is elected.
//!
//! One task owns both state machines. It answers requests of leaders on other
//! ranks, which arrive over the relay service, sends the requests of its own
//! leader to the ranks, and sends commands to the engine one at a time.

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
use crate::entry::relay::ConnectionPool;
use current::CurrentGroup;
use handle::{Arrival, ContentRequest, Leadership, Shared};
pub use handle::{Handle, Inbox, Status};
use member::RankMember;
use ranks::Ranks;

/// Most messages to one rank that wait for their replies at a time.
const MAX_IN_FLIGHT: usize = 4;
/// Number of the map that every engine has staged when it starts.
const INITIAL_MAP: u64 = 0;

/// Number of the expert map to which the group is to switch, set from outside the
/// placement planner; `None` leaves the choice to the planner.
#[derive(Clone, Debug)]
pub struct MapOverride(watch::Receiver<Option<u64>>);

impl MapOverride {
    /// Follows the map numbers of a watch channel.
    pub fn new(maps: watch::Receiver<Option<u64>>) -> Self {
        Self(maps)
    }

    /// Waits for a change; never returns once the sender is dropped.
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

/// Answers a message of another rank's agent, of the group protocol or of
/// placement.
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

/// Runs the group protocol and the placement of experts until the task is
/// dropped.
pub async fn run<E: Engine>(context: &Context<E>, inbox: Inbox, map_override: MapOverride) {
    let Inbox {
        arrivals,
        content_requests,
    } = inbox;
    // Boxed, since the planner makes this future large.
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
        pool: Arc::new(ConnectionPool::default()),
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
            // Cannot fail, since the context holds the sender.
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
    pool: Arc<ConnectionPool>,
    current: Option<CurrentGroup<E>>,
    rng: SmallRng,
}

impl<E: Engine> ProtocolTask<'_, E> {
    /// Reads the group from the control state. A change of its ranks creates a new
    /// member and a new leader.
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
        settings.initial_map = INITIAL_MAP;
        if let Some(time) = self.context.settings.map_switch {
            settings.sizing.switch_time = time;
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

    /// Publishes this agent's role in its group, for the placement task and for
    /// operators.
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
                    .observe_fence(clock::now(), message.fence(), &mut self.rng);
                if let Some(answer) = current.member.receive(&message).await {
                    // If the leader no longer waits for this reply, it sends
                    // the request again.
                    drop(reply.send(answer));
                }
            }
            Arrival::Reply { from, message } => current.receive(from, &message, &mut self.rng),
        }
    }

    /// Sets the map that the leader is to switch to, or cancels a switch that has
    /// not begun, and sends the leader's requests that are due.
    async fn send(&mut self, target_map: Option<u64>) {
        let Some(current) = &mut self.current else {
            return;
        };
        match target_map {
            Some(map) => current.leader.switch(clock::now(), map),
            None => current.leader.cancel_switch(),
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

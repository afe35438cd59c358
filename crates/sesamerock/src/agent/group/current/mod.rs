//! The group of which the upstream is currently a rank, with its state machines.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use sesamerock_group::leader::{Leader, Request, Role};
use sesamerock_group::message::Message;
use sesamerock_wire::relay::GroupMessage;

use super::handle::{Arrival, Handle, Status, encode};
use super::member::RankMember;
use super::ranks::Ranks;
use crate::clock;
use crate::entry::relay::ConnectionPool;

/// Timeout for one message to a rank and its reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Protocol state of the group of which the upstream is currently a rank.
pub(super) struct CurrentGroup<E> {
    pub(super) ranks: Ranks,
    pub(super) member: RankMember<E>,
    pub(super) leader: Leader,
    /// Role of the leader as last logged.
    pub(super) role: Role,
    /// By rank: limits the messages that wait for their replies.
    pub(super) send_slots: Vec<Arc<tokio::sync::Semaphore>>,
}

impl<E> CurrentGroup<E> {
    /// Passes a reply of a rank to the leader, and logs refusals and conflicts.
    pub(super) fn receive(&mut self, from: u32, reply: &Message, rng: &mut SmallRng) {
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
        self.log_role_change();
    }

    /// Sends a message without waiting for the reply, which arrives in the
    /// inbox. The message is dropped if too many to the same rank still wait for
    /// their replies.
    pub(super) fn send_request(
        &self,
        request: &Request,
        pool: &Arc<ConnectionPool>,
        inbox: &Handle,
    ) {
        let slot = Arc::clone(&self.send_slots[request.to as usize]);
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
            let reply =
                tokio::time::timeout(REPLY_TIMEOUT, pool.send_group_message(agent, message)).await;
            drop(slot);
            let Ok(Ok(reply)) = reply else {
                log::debug!("event=group_no_reply rank={from} agent={agent}");
                return;
            };
            if let Ok(message) = bincode::deserialize(&reply.message) {
                let arrival = Arrival::Reply { from, message };
                // If the inbox is full the reply is dropped, and the leader sends
                // the request again.
                drop(inbox.inbox.try_send(arrival));
            }
        });
    }

    pub(super) fn status(&self) -> Status {
        let unanswered = match self.leader.role() {
            Role::Following => Vec::new(),
            Role::Preparing | Role::Leading => self.leader.unanswered().collect(),
        };
        Status {
            group: self.ranks.group.clone(),
            rank: self.ranks.own,
            leads: self.leader.role() == Role::Leading,
            counter: self.leader.fence().counter,
            confirmed: self.leader.confirmed(),
            silent: unanswered,
            // Filled in by the operator endpoint: it is not part of the
            // protocol state.
            stalled: false,
        }
    }

    /// Logs the role of the leader if it has changed.
    pub(super) fn log_role_change(&mut self) {
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
            self.leader.unanswered().collect::<Vec<_>>()
        );
    }
}

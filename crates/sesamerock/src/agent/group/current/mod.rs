//! The group that the upstream is part of, with its member and leader.

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
use crate::entry::relay::Pool;

/// Time for one message to a rank and its reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// The group that the upstream is part of at present.
pub(super) struct CurrentGroup<E> {
    pub(super) ranks: Ranks,
    pub(super) member: RankMember<E>,
    pub(super) leader: Leader,
    pub(super) role: Role,
    pub(super) send_slots: Vec<Arc<tokio::sync::Semaphore>>,
}

impl<E> CurrentGroup<E> {
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
    /// inbox. A rank that answers nothing gets no more than a few at once.
    pub(super) fn send_request(&self, request: &Request, pool: &Arc<Pool>, inbox: &Handle) {
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
            let reply = tokio::time::timeout(REPLY_TIMEOUT, pool.group(agent, message)).await;
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

    pub(super) fn status(&self) -> Status {
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
            // Known to the watcher of the engine, not to the protocol.
            stalled: false,
        }
    }

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
            self.leader.silent().collect::<Vec<_>>()
        );
    }
}

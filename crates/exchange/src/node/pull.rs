//! Getting records from a peer that is ahead, and answering such requests.

use std::net::SocketAddr;

use rand::Rng;
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;

use super::Node;
use crate::message::{Message, Record, Ticket};
use crate::peer::Distance;
use crate::transfer::Intake;

/// Bytes a record takes on the wire besides its content, rounded up.
pub(super) const RECORD_OVERHEAD: usize = 16;

/// Peers remembered as ahead, to pull from if the first one fails.
const AHEAD: usize = 4;

/// Failures in a row after which a snapshot transfer moves to another peer. It
/// then starts over, since snapshots of different peers may differ in bytes; at
/// one failure, 21 chunks under 10 % loss rarely came through.
const MISSES: u32 = 3;

/// The request of a pull under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Current {
    to: SocketAddr,
    sent: Moment,
    deadline: Moment,
}

/// The pull under way, at most one, so that records arrive once.
#[derive(Clone, Debug, Default)]
pub(super) struct Pull {
    current: Option<Current>,
    ahead: Vec<(SocketAddr, Version)>,
    intake: Intake,
    source: Option<SocketAddr>,
    misses: u32,
}

impl Pull {
    pub(super) fn busy(&self) -> bool {
        self.current.is_some()
    }

    pub(super) fn deadline(&self) -> Option<Moment> {
        self.current.map(|current| current.deadline)
    }

    /// Ends the pull that a ticket belongs to.
    fn end(&mut self, ticket: &Ticket) {
        let ours = |current: &mut Current| current.to == ticket.to && current.sent == ticket.sent;
        if ticket.pull {
            self.current.take_if(ours);
        }
    }

    /// Notes that a pull from a peer failed.
    fn missed(&mut self, peer: SocketAddr) {
        let transfer = self.source == Some(peer) && self.intake.next().is_some();
        self.misses += 1;
        if !transfer || self.misses >= MISSES {
            self.forget(peer);
        }
    }

    /// Chooses the peer to pull from: the source of a transfer under way, or
    /// the one that was last seen ahead.
    fn candidate(&self) -> Option<SocketAddr> {
        let source = self.ahead.iter().find(|(to, _)| self.source == Some(*to));
        source.or(self.ahead.last()).map(|(to, _)| *to)
    }

    fn remember(&mut self, address: SocketAddr, version: Version) {
        self.ahead.retain(|(known, _)| *known != address);
        if self.ahead.len() == AHEAD {
            self.ahead.remove(0);
        }
        self.ahead.push((address, version));
    }

    fn forget(&mut self, address: SocketAddr) {
        self.ahead.retain(|(known, _)| *known != address);
    }
}

impl Node {
    /// Notes that a peer is ahead and pulls from it unless a pull is under way.
    pub(super) fn pull_from(&mut self, now: Moment, peer: SocketAddr, version: Version) {
        self.pull.remember(peer, version);
        self.pull_next(now);
    }

    /// Gives up a pull that took too long, so that another peer is asked.
    pub(super) fn check_pull(&mut self, now: Moment) {
        if let Some(current) = self.pull.current.take_if(|current| current.deadline <= now) {
            self.pull.missed(current.to);
            self.pull_next(now);
        }
    }

    /// Ends a pull after its reply. A peer that claims to be ahead but sent
    /// nothing usable is not asked again at once, which would loop.
    pub(super) fn pull_done(
        &mut self,
        now: Moment,
        ticket: &Ticket,
        theirs: Version,
        progress: bool,
    ) {
        self.pull.end(ticket);
        let useful = progress || !ticket.pull;
        if theirs > self.version() && useful {
            self.pull.remember(ticket.to, theirs);
        } else {
            self.pull.forget(ticket.to);
        }
        self.pull_next(now);
    }

    pub(super) fn pull_failed(&mut self, now: Moment, ticket: &Ticket) {
        self.pull.missed(ticket.to);
        self.pull.end(ticket);
        self.pull_next(now);
    }

    /// Takes the chunk of a reply and returns whether the transfer goes on.
    pub(super) fn take_chunk(&mut self, now: Moment, ticket: &Ticket, reply: &Message) -> bool {
        let Some(chunk) = &reply.chunk else {
            return false;
        };
        let other = self.pull.source.is_some_and(|source| source != ticket.to);
        if chunk.version <= self.version() || (other && self.pull.intake.next().is_some()) {
            return false;
        }
        self.pull.source = Some(ticket.to);
        self.pull.misses = 0;
        let before = self.pull.intake.next();
        let complete = self.pull.intake.add(chunk, self.settings.snapshot);
        if let Some(snapshot) = complete {
            self.restore(now, snapshot);
            return true;
        }
        self.pull.intake.next() != before
    }

    /// Makes the reply to a request.
    pub(super) fn answer(&mut self, now: Moment, request: &Message, rng: &mut impl Rng) -> Message {
        let mut reply = self.message(now);
        let lacks = request.version < self.version();
        if request.wants && lacks {
            self.supply(request, &mut reply);
        }
        if self.view.distance(request.from.place) == Distance::Zone {
            reply.readers = self.ranking.sample(now);
        }
        if request.sync {
            reply.sync = true;
            reply.peers = self.view.sample(now, self.settings.shuffle, rng);
            reply.digest = self.board.digest();
        }
        let theirs = request.sync.then_some(request.digest.as_slice());
        reply.facts = self.board.select(now, theirs, rng);
        reply
    }

    /// Returns the records after a version that fit one message, or `None` if
    /// the window starts later.
    pub(super) fn records_after(&self, version: Version) -> Option<Vec<Record>> {
        let mut left = self.settings.payload;
        let records = self.window.after(version)?.take_while(|record| {
            let size = record.bytes.len() + RECORD_OVERHEAD;
            let fits = size <= left;
            left = left.saturating_sub(size);
            fits
        });
        Some(records.cloned().collect())
    }

    fn supply(&self, request: &Message, reply: &mut Message) {
        let records = if request.part.is_none() {
            self.records_after(request.version)
        } else {
            None
        };
        match records {
            Some(records) => reply.records = records,
            None => reply.chunk = self.shelf.chunk(request.part, self.settings.payload),
        }
    }

    fn pull_next(&mut self, now: Moment) {
        let own = self.version();
        self.pull.ahead.retain(|(_, version)| *version > own);
        let Some(to) = self.pull.candidate() else {
            return;
        };
        if self.pull.busy() {
            return;
        }
        if self.pull.source != Some(to) {
            self.pull.intake.clear();
            self.pull.source = None;
            self.pull.misses = 0;
        }
        let mut message = self.message(now);
        message.wants = true;
        message.part = self.pull.intake.next();
        self.pull.current = Some(Current {
            to,
            sent: now,
            deadline: now + self.settings.pull_timeout,
        });
        self.send(now, to, true, message);
    }
}

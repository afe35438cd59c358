//! Getting records from a peer that is ahead, and answering such requests.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;

use super::Node;
use crate::message::{Message, Record, Ticket};
use crate::peer::Distance;
use crate::transfer::{Intake, Snapshot};

/// Peers that may decline to hand out a snapshot before one is asked urgently.
const DECLINES: u32 = 3;

/// Bytes a record takes on the wire besides its content, rounded up.
const RECORD_OVERHEAD: usize = 16;

/// Time a node is behind after which its requests are served whatever the
/// allowance, until it has caught up. Otherwise records handed out twice or
/// lost could use up the allowances of all nodes and stop a large change.
const URGENT: Duration = Duration::from_secs(1);

/// Doublings of the patience at most.
const BACKOFF: u32 = 2;

/// Peers remembered as ahead, to pull from if the first one fails.
const AHEAD: usize = 4;

/// Returns the bytes a record takes on the wire.
pub(super) fn size(record: &Record) -> usize {
    record.bytes.len() + RECORD_OVERHEAD
}

/// Failures in a row after which a snapshot transfer moves to another peer. It
/// then starts over, since snapshots of different peers may differ in bytes; at
/// one failure, 21 chunks under 10 % loss rarely came through.
const MISSES: u32 = 3;

/// Sources of snapshots that the owner refused; as many as are remembered as
/// ahead, so that a node asks each of them once.
const REFUSED: usize = AHEAD;

/// Time without pulls after the second refusal in a row; it doubles with each
/// further one. A whole snapshot was fetched in vain each time.
const REFUSAL_PAUSE: Duration = Duration::from_secs(4);

/// Doublings of that time at most.
const REFUSAL_BACKOFF: u32 = 4;

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
    slow: u32,
    /// The newest version known, and since when this node is behind it.
    newest: Version,
    behind: Option<Moment>,
    /// Peers in a row that declined to hand out a snapshot.
    declines: u32,
    /// Whether another peer is to be asked instead of one that declined.
    seek: bool,
    /// When this node last began to hand out a snapshot, or fetched one.
    handed: Option<Moment>,
    /// The peer that handed out the snapshot fetched last.
    fetched: Option<SocketAddr>,
    /// Peers whose snapshot the owner refused, the last one at the end.
    refused: Vec<SocketAddr>,
    /// Refusals in a row, and until when nothing is pulled for that.
    refusals: u32,
    paused: Option<Moment>,
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

    /// Returns whether this node has been behind for long or has nobody left
    /// to ask for a snapshot.
    pub(super) fn urgent(&self, now: Moment) -> bool {
        self.declines >= DECLINES || self.behind.is_some_and(|since| now.since(since) >= URGENT)
    }

    /// Notes that the owner refused the snapshot that was fetched last.
    fn refused(&mut self, now: Moment) {
        let Some(source) = self.fetched.take() else {
            return;
        };
        self.source = None;
        self.intake.clear();
        self.forget(source);
        self.refused.retain(|known| *known != source);
        if self.refused.len() == REFUSED {
            self.refused.remove(0);
        }
        self.refused.push(source);
        self.paused = self.refusals.checked_sub(1).map(|doublings| {
            let pause = REFUSAL_PAUSE * 2_u32.pow(doublings.min(REFUSAL_BACKOFF));
            now + pause
        });
        self.refusals += 1;
    }

    /// Returns whether nothing is to be pulled because snapshots were refused.
    fn pauses(&self, now: Moment) -> bool {
        self.paused.is_some_and(|until| now < until)
    }

    /// Notes that the owner holds what was fetched.
    pub(super) fn accepted(&mut self) {
        self.refused.clear();
        self.refusals = 0;
        self.paused = None;
    }

    /// Notes that the node's version advanced.
    pub(super) fn advanced(&mut self, own: Version) {
        if own >= self.newest {
            self.behind = None;
            self.slow = 0;
        }
    }

    fn remember(&mut self, now: Moment, address: SocketAddr, version: Version) {
        if self.refused.contains(&address) {
            return;
        }
        self.newest = self.newest.max(version);
        self.behind.get_or_insert(now);
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
        self.pull.remember(now, peer, version);
        self.pull_next(now);
    }

    /// Gives up a pull that took too long, so that another peer is asked.
    pub(super) fn check_pull(&mut self, now: Moment) {
        if let Some(current) = self.pull.current.take_if(|current| current.deadline <= now) {
            self.pull.slow = (self.pull.slow + 1).min(BACKOFF);
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
        if ticket.pull {
            self.pull.slow = 0;
        }
        self.pull.end(ticket);
        let useful = progress || !ticket.pull;
        let ahead = theirs > self.version();
        if ahead && useful {
            self.pull.remember(now, ticket.to, theirs);
        } else {
            self.pull.forget(ticket.to);
        }
        // A node that just started is not to wait for its next round because
        // the only peers it knows have handed out a snapshot lately.
        let declined = ahead && !useful && self.version() == Version(0);
        if progress {
            self.pull.declines = 0;
        } else if declined && self.pull.declines < DECLINES {
            self.pull.declines += 1;
            if self.pull.declines == DECLINES {
                self.pull.remember(now, ticket.to, theirs);
            }
            self.pull.seek = self.pull.candidate().is_none();
        }
        self.pull_next(now);
    }

    pub(super) fn pull_failed(&mut self, now: Moment, ticket: &Ticket) {
        self.pull.missed(ticket.to);
        self.pull.end(ticket);
        self.pull_next(now);
    }

    /// Asks another near peer if the one asked declined.
    pub(super) fn seek_source(&mut self, now: Moment, rng: &mut impl Rng) {
        if std::mem::take(&mut self.pull.seek) {
            self.ask_near(now, rng);
        }
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
            self.pull.fetched = Some(ticket.to);
            self.restore(now, snapshot);
            // What it fetched counts against the same budget.
            self.pull.handed = Some(now);
            return true;
        }
        self.pull.intake.next() != before
    }

    /// Drops a delivered snapshot that the owner could not restore and goes
    /// back to the version that the owner holds; another peer is asked next.
    ///
    /// Otherwise this node would claim a version it does not hold, hand the
    /// damaged bytes on to others and never fetch a sound snapshot.
    pub fn refuse(&mut self, now: Moment, snapshot: &Snapshot, held: Version) {
        if self.version() < snapshot.version || held >= snapshot.version {
            return;
        }
        self.shelf.remove(snapshot.version);
        self.window.reset(held);
        self.pull.refused(now);
        self.pull_next(now);
    }

    /// Notes that the owner restored a delivered snapshot.
    pub fn accept(&mut self) {
        self.pull.accepted();
    }

    /// Makes the reply to a request.
    pub(super) fn answer(&mut self, now: Moment, request: &Message, rng: &mut impl Rng) -> Message {
        let mut reply = self.message(now);
        let lacks = request.version < self.version();
        if request.wants && lacks {
            self.supply(now, request, &mut reply);
        }
        if request.sync {
            if self.view.distance(request.from.place) == Distance::Zone {
                reply.readers = self.ranking.sample(now);
            }
            reply.sync = true;
            reply.peers = self.view.sample(now, self.settings.shuffle, rng);
            reply.digest = self.board.digest();
        }
        let theirs = request.sync.then_some(request.digest.as_slice());
        let behind = lacks.then_some(request.version);
        reply.facts = self.board.select(now, theirs, behind, rng);
        reply
    }

    /// Returns the records after a version that fit one message, or `None` if
    /// the window starts later.
    pub(super) fn records_after(&self, version: Version) -> Option<Vec<Record>> {
        let mut left = self.settings.payload;
        let records = self.window.after(version)?.take_while(|record| {
            let size = size(record);
            let fits = size <= left;
            left = left.saturating_sub(size);
            fits
        });
        Some(records.cloned().collect())
    }

    fn supply(&mut self, now: Moment, request: &Message, reply: &mut Message) {
        let behind = self.window.base() > request.version;
        if behind || request.part.is_some() {
            if self.hands_out_snapshot(now, request) {
                reply.chunk = self.shelf.chunk(request.part, self.settings.payload);
            }
        } else if request.urgent || self.allowance.open(now) {
            let records = self.records_after(request.version).unwrap_or_default();
            self.hand_out(now, &records);
            reply.records = records;
        }
    }

    /// Returns whether to hand out a part of a snapshot. A snapshot takes a
    /// third of the budget of 100 s, so a node begins a second one within that
    /// time only for a peer that is urgent; others find another peer. What was
    /// begun is completed.
    fn hands_out_snapshot(&mut self, now: Moment, request: &Message) -> bool {
        if request.part.is_some() || request.urgent {
            return true;
        }
        let spacing = self.settings.snapshot_spacing;
        let lately = self.pull.handed.is_some_and(|at| now.since(at) < spacing);
        if lately || self.shelf.version().is_none() {
            return false;
        }
        self.pull.handed = Some(now);
        true
    }

    /// Counts records handed out.
    pub(super) fn hand_out(&mut self, now: Moment, records: &[Record]) {
        let bytes = records.iter().map(size).sum();
        self.allowance.hand_out(now, bytes);
    }

    /// Returns how long to wait for a pull before asking another peer. It
    /// doubles while peers stay silent, since the network may just be slow.
    fn patience(&self, to: SocketAddr) -> Duration {
        let distance = self.view.find(to).unwrap_or(Distance::Region);
        let patience = self.settings.patience(distance);
        patience * 2_u32.pow(self.pull.slow)
    }

    fn pull_next(&mut self, now: Moment) {
        let own = self.version();
        self.pull.ahead.retain(|(_, version)| *version > own);
        let Some(to) = self.pull.candidate() else {
            return;
        };
        if self.pull.busy() || self.pull.pauses(now) {
            return;
        }
        if self.pull.source != Some(to) {
            self.pull.intake.clear();
            self.pull.source = None;
            self.pull.misses = 0;
        }
        let mut message = self.message(now);
        message.wants = true;
        message.urgent = self.pull.urgent(now);
        message.part = self.pull.intake.next();
        self.pull.current = Some(Current {
            to,
            sent: now,
            deadline: now + self.patience(to),
        });
        self.send(now, to, true, message);
    }
}

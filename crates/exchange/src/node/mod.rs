//! The state machine of one node.
//!
//! The driver passes in time, messages and records of the log; it takes
//! requests out with [`Node::requests`] and what to apply with
//! [`Node::deliveries`] after each call. Records come out in order, without
//! gap or repetition; a snapshot replaces everything before it.

mod order;
mod pull;
mod push;
mod round;
mod settings;

pub use settings::{Fanout, Settings};

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;

use crate::allowance::Allowance;
use crate::blob::Blob;
use crate::contact::Contact;
use crate::fact::{Board, Name};
use crate::message::{Message, Record, Request, Ticket};
use crate::pace::{Pace, Push};
use crate::peer::{Distance, Peer, View};
use crate::reader::Ranking;
use crate::transfer::{Shelf, Snapshot};
use crate::window::Window;

/// Highest version a snapshot may have, far below overflow.
const HIGHEST: Version = Version(1 << 62);

/// Something for the owner to apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The next record.
    Record(Record),
    /// The whole state at a later version.
    Snapshot(Snapshot),
    /// A record whose turn has not come yet. The owner may act on it only in
    /// ways that the record's fold will confirm or that do no harm; the record
    /// is delivered again in its turn.
    Order(Record),
}

/// What became of a record of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was the next one and is delivered.
    Applied,
    /// It was held already.
    Known,
    /// Records before it are missing: read from [`Node::version`] on, or
    /// restore a snapshot.
    Gap,
    /// It exceeds the payload of a message: restore a snapshot that has it.
    Oversized,
}

/// One node of the exchange.
#[derive(Clone, Debug)]
pub struct Node {
    settings: Settings,
    view: View,
    ranking: Ranking,
    contact: Contact,
    window: Window,
    shelf: Shelf,
    board: Board,
    pace: Pace,
    rush: Pace,
    pushed: Version,
    allowance: Allowance,
    pull: pull::Pull,
    round: round::Schedule,
    requests: Vec<Request>,
    deliveries: Vec<Delivery>,
}

impl Node {
    /// Makes a node at version zero that knows the seeds of its settings.
    pub fn new(
        now: Moment,
        me: Peer,
        settings: Settings,
        seeds: impl IntoIterator<Item = Peer>,
    ) -> Self {
        let view = View::new(me, settings.view, seeds);
        let mut contact = Contact::default();
        if view.knows_others() {
            contact.know_others();
        }
        Self {
            ranking: Ranking::new(&me, settings.readers),
            contact,
            window: Window::new(settings.window_records, settings.window_bytes),
            shelf: Shelf::default(),
            board: Board::new(settings.facts, settings.incarnation),
            pace: Pace::new(settings.windows),
            rush: Pace::new(settings.rush),
            pushed: Version(0),
            allowance: Allowance::new(now, settings.serve),
            pull: pull::Pull::default(),
            round: round::Schedule::new(now),
            requests: Vec::new(),
            deliveries: Vec::new(),
            view,
            settings,
        }
    }

    /// Does what is due; call it at [`Node::next`].
    pub fn tick(&mut self, now: Moment, rng: &mut impl Rng) {
        self.ranking.expire(now);
        self.board.expire(now);
        self.shelf.expire(now);
        self.check_pull(now);
        match self.pace.take(now) {
            Some(Push::News) => self.push(now, rng),
            Some(Push::Echo) => self.echo(now, rng),
            None => {}
        }
        if let Some(push) = self.rush.take(now) {
            self.push_orders(now, push, rng);
        }
        self.run_rounds(now, rng);
    }

    /// Returns when [`Node::tick`] has something to do at the latest.
    pub fn next(&self, now: Moment) -> Moment {
        let round = self.next_round(now);
        let pull = self.pull.deadline();
        let others = [pull, self.pace.due(), self.rush.due()];
        others.into_iter().flatten().fold(round, Moment::min)
    }

    /// Answers a request of a peer.
    pub fn receive(&mut self, now: Moment, request: &Message, rng: &mut impl Rng) -> Message {
        self.absorb(now, request, rng);
        if request.version > self.version() {
            self.pull_from(now, request.from.address, request.version);
        }
        self.answer(now, request, rng)
    }

    /// Takes the reply to a request of this node.
    pub fn reply(&mut self, now: Moment, ticket: &Ticket, reply: &Message, rng: &mut impl Rng) {
        let before = self.version();
        self.absorb(now, reply, rng);
        let distance = self.view.distance(reply.from.place);
        self.round.answered(now, ticket.to, distance);
        let more = self.take_chunk(now, ticket, reply);
        self.note_contact(ticket, reply);
        let progress = more || self.version() > before;
        self.pull_done(now, ticket, reply.version, progress);
        self.seek_source(now, rng);
    }

    /// Notes that a request got no reply.
    pub fn failed(&mut self, now: Moment, ticket: &Ticket) {
        self.view.failed(now, ticket.to);
        self.ranking.forget(ticket.to);
        self.pull_failed(now, ticket);
    }

    /// Takes a record read from the log, or one this node knows to be in it.
    pub fn learn(&mut self, now: Moment, record: Record) -> Outcome {
        if record.version <= self.version() {
            return Outcome::Known;
        }
        if record.version != self.version().next() {
            return Outcome::Gap;
        }
        if pull::size(&record) > self.settings.payload {
            return Outcome::Oversized;
        }
        self.apply(now, record);
        Outcome::Applied
    }

    /// Notes a read of the log sent at a moment that found the head at a
    /// version; call it after the records of that read were learned.
    pub fn log_read(&mut self, sent: Moment, head: Version) {
        let own = self.version();
        self.contact.log_read(sent, head, own);
    }

    /// Moves this node to a newer snapshot and delivers it; an older one is
    /// ignored, so the version never goes back, and so is an absurd one.
    pub fn restore(&mut self, now: Moment, snapshot: Snapshot) -> Outcome {
        if snapshot.version <= self.version() || snapshot.version > HIGHEST {
            return Outcome::Known;
        }
        self.window.reset(snapshot.version);
        self.shelf.put(now, snapshot.clone());
        self.deliveries.push(Delivery::Snapshot(snapshot));
        self.advanced(now);
        Outcome::Applied
    }

    /// Takes a snapshot of the owner's state to hand out to peers that lag
    /// behind the window. One that this node cannot continue is ignored.
    pub fn provide(&mut self, now: Moment, snapshot: Snapshot) {
        let continued = (self.window.base()..=self.version()).contains(&snapshot.version);
        if continued && snapshot.bytes.len() <= self.settings.snapshot {
            self.shelf.put(now, snapshot);
        }
    }

    /// Returns whether the owner should provide a snapshot, since the last one
    /// is about to fall out of the window.
    pub fn snapshot_due(&self) -> bool {
        let base = self.window.base();
        if base == Version(0) {
            return false;
        }
        let Some(at) = self.shelf.version() else {
            return true;
        };
        // A window that is not full drops nothing yet. Without this, a node
        // that had just restored a snapshot made a new one for every record.
        let held = self.version().0 - base.0;
        let records = self.settings.window_records as u64;
        let full = held >= records - records / 4;
        at < base || full && at < Version(base.0 + records / 4)
    }

    /// States a fact of this node under a key for a time and returns whether
    /// it was taken.
    pub fn state(&mut self, now: Moment, key: u64, value: Blob, ttl: Duration) -> bool {
        let origin = self.view.me().address;
        let taken = self.board.state(now, Name { origin, key }, value, ttl);
        if taken {
            self.pace.news(now);
        }
        taken
    }

    /// Takes a new VM list; see [`View::vms`].
    pub fn vms(&mut self, list: impl IntoIterator<Item = Peer>, rng: &mut impl Rng) {
        self.view.vms(list, rng);
        if self.view.knows_others() {
            self.contact.know_others();
        }
    }

    /// Marks this node as leaving.
    pub fn leave(&mut self) {
        self.view.leave();
    }

    /// Takes the requests to send.
    pub fn requests(&mut self) -> Vec<Request> {
        std::mem::take(&mut self.requests)
    }

    /// Takes the records and snapshots to apply, in order.
    pub fn deliveries(&mut self) -> Vec<Delivery> {
        std::mem::take(&mut self.deliveries)
    }

    /// Returns the version up to which this node holds every record.
    pub fn version(&self) -> Version {
        self.window.version()
    }

    /// Returns whether this node should read the log.
    pub fn reads_log(&self) -> bool {
        self.ranking.reads(&self.view.me())
    }

    /// Returns whether the contact rule lets this node accept new work.
    pub fn in_contact(&self, now: Moment) -> bool {
        self.contact.holds(now)
    }

    /// Returns the evidence of contact.
    pub fn contact(&self) -> &Contact {
        &self.contact
    }

    /// Returns the facts held.
    pub fn facts(&self) -> &Board {
        &self.board
    }

    /// Returns the sample of peers.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Takes in what requests and replies have in common.
    fn absorb(&mut self, now: Moment, message: &Message, rng: &mut impl Rng) {
        let me = self.view.me();
        self.view.heard(now, message.from, rng);
        self.view.merge(now, &message.peers, rng);
        if self.view.distance(message.from.place) != Distance::Zone {
            self.contact.know_others();
        } else if message.from.address != me.address {
            self.ranking.heard(now, &message.from);
            self.ranking.merge(now, &me, &message.readers);
        }
        self.merge_facts(now, &message.facts);
        for record in &message.records {
            if record.version == self.version().next() {
                self.apply(now, record.clone());
            }
        }
    }

    fn apply(&mut self, now: Moment, record: Record) {
        if self.window.push(record.clone()) {
            self.allowance.take_in(now, pull::size(&record));
            self.deliveries.push(Delivery::Record(record));
            self.advanced(now);
        }
    }

    fn advanced(&mut self, now: Moment) {
        self.contact.advanced();
        self.pull.advanced(self.version());
        self.pace.news(now);
    }

    fn note_contact(&mut self, ticket: &Ticket, reply: &Message) {
        let own = self.version();
        let sent = ticket.sent;
        if self.view.distance(reply.from.place) == Distance::Zone {
            let standing = reply.standing;
            self.contact
                .inside_reply(sent, standing, reply.version, own);
        } else {
            self.contact.outside_reply(sent, reply.version, own);
        }
    }

    /// Makes a message with this node's version and contact.
    fn message(&self, now: Moment) -> Message {
        let standing = self.contact.standing(now);
        Message::new(self.view.me(), self.version(), standing)
    }

    /// Makes a request that also takes records, unless they may arrive from
    /// elsewhere meanwhile: a round trip to another region is long enough that
    /// a quarter of the records of a burst arrived twice. A node that holds
    /// nothing asks several peers at once, and each sent it the first part of
    /// its snapshot; it learns only their versions and then pulls from one.
    fn request(&self, now: Moment, peer: &Peer) -> Message {
        let near = self.view.distance(peer.place) != Distance::World;
        let mut message = self.message(now);
        let started = self.version() > Version(0);
        message.wants = near && started && !self.pull.busy();
        message.urgent = self.pull.urgent(now);
        message
    }

    fn send(&mut self, now: Moment, to: SocketAddr, pull: bool, message: Message) {
        let ticket = Ticket {
            to,
            sent: now,
            pull,
        };
        self.requests.push(Request { ticket, message });
    }
}

//! State machine of one node.
//!
//! The driver passes in the time, messages and records of the log. After each
//! call it takes the requests to send with [`Node::take_requests`] and the
//! records to apply with [`Node::take_deliveries`]. Records are delivered in
//! order, without gap or repetition; a snapshot replaces all records up to its
//! version.

mod expedite;
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
use crate::fact::{FactStore, Name};
use crate::message::{Message, Record, Request, Ticket};
use crate::pace::{Pacer, Push};
use crate::peer::{Distance, Peer, View};
use crate::reader::Ranking;
use crate::transfer::{Snapshot, SnapshotStore};
use crate::window::Window;

/// Highest version accepted in a snapshot or an expedited fact, far enough below
/// overflow that versions can still be incremented.
const MAX_VERSION: Version = Version(1 << 62);

/// State change that the driver of a node must apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The next record.
    Record(Record),
    /// The whole state at a later version, in place of the records up to it.
    Snapshot(Snapshot),
    /// A record announced before all records that precede it have arrived. Its
    /// bytes are those given to [`Node::expedite`]. The driver may act on it only
    /// in ways that applying the record will confirm or that do no harm; the
    /// record itself is delivered later, in order.
    Expedited(Record),
}

/// Result of adding a record or a snapshot to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The record or snapshot follows the node's version and is delivered.
    Applied,
    /// The record or snapshot is not newer than the node's version (or the version
    /// of a snapshot is out of range) and is ignored.
    Known,
    /// Records before the given one are missing: read the log from [`Node::version`] on, or
    /// restore a snapshot.
    Gap,
    /// The record exceeds [`Settings::max_payload_bytes`]: restore a snapshot that
    /// includes the record.
    Oversized,
}

/// Protocol state of one node of the exchange.
#[derive(Clone, Debug)]
pub struct Node {
    settings: Settings,
    view: View,
    ranking: Ranking,
    contact: Contact,
    window: Window,
    snapshots: SnapshotStore,
    facts: FactStore,
    pacer: Pacer,
    expedited_pacer: Pacer,
    pushed_version: Version,
    allowance: Allowance,
    pull: pull::Pull,
    round: round::Schedule,
    requests: Vec<Request>,
    deliveries: Vec<Delivery>,
}

impl Node {
    /// Creates a node at version zero; `seeds` are the peers from its settings.
    pub fn new(
        now: Moment,
        me: Peer,
        settings: Settings,
        seeds: impl IntoIterator<Item = Peer>,
    ) -> Self {
        let view = View::new(me, settings.view, seeds);
        let mut contact = Contact::default();
        if view.knows_other_zones() {
            contact.set_other_zones_known();
        }
        Self {
            ranking: Ranking::new(&me, settings.readers),
            contact,
            window: Window::new(settings.window_records, settings.window_bytes),
            snapshots: SnapshotStore::default(),
            facts: FactStore::new(settings.facts, settings.incarnation),
            pacer: Pacer::new(settings.windows),
            expedited_pacer: Pacer::new(settings.expedited_windows),
            pushed_version: Version(0),
            allowance: Allowance::new(now, settings.allowance),
            pull: pull::Pull::default(),
            round: round::Schedule::new(now),
            requests: Vec::new(),
            deliveries: Vec::new(),
            view,
            settings,
        }
    }

    /// Runs everything that is due: expiry, pull timeouts, pushes and periodic
    /// exchanges. Call it at the time that [`Node::next_tick`] returns.
    pub fn tick(&mut self, now: Moment, rng: &mut impl Rng) {
        self.ranking.expire(now);
        self.facts.expire(now);
        self.snapshots.expire(now);
        self.check_pull(now);
        match self.pacer.take(now) {
            Some(Push::Update) => self.push(now, rng),
            Some(Push::Repeat) => self.push_repeat(now, rng),
            None => {}
        }
        if let Some(push) = self.expedited_pacer.take(now) {
            self.push_expedited(now, push, rng);
        }
        self.run_rounds(now, rng);
    }

    /// Returns when [`Node::tick`] is to be called next.
    pub fn next_tick(&self, now: Moment) -> Moment {
        let round = self.next_round(now);
        let pull = self.pull.deadline();
        let deadlines = [pull, self.pacer.due(), self.expedited_pacer.due()];
        deadlines.into_iter().flatten().fold(round, Moment::min)
    }

    /// Handles a request of a peer and returns the reply.
    pub fn receive_request(
        &mut self,
        now: Moment,
        request: &Message,
        rng: &mut impl Rng,
    ) -> Message {
        self.merge_message(now, request, rng);
        if request.version > self.version() {
            self.pull_from(now, request.from.address, request.version);
        }
        self.make_reply(now, request, rng)
    }

    /// Handles the reply to a request of this node.
    pub fn receive_reply(
        &mut self,
        now: Moment,
        ticket: &Ticket,
        reply: &Message,
        rng: &mut impl Rng,
    ) {
        let before = self.version();
        self.merge_message(now, reply, rng);
        let distance = self.view.distance(reply.from.place);
        self.round.record_reply(now, ticket.to, distance);
        let more = self.receive_chunk(now, ticket, reply);
        self.record_contact(ticket, reply);
        let progress = more || self.version() > before;
        self.pull_done(now, ticket, reply.version, progress);
        self.pull_from_another(now, rng);
    }

    /// Handles the failure of a request that got no reply.
    pub fn request_failed(&mut self, now: Moment, ticket: &Ticket) {
        self.view.record_failure(now, ticket.to);
        self.ranking.remove(ticket.to);
        self.pull_failed(now, ticket);
    }

    /// Adds a record that was read from the log or is known to be in it.
    pub fn add_record(&mut self, now: Moment, record: Record) -> Outcome {
        if record.version <= self.version() {
            return Outcome::Known;
        }
        if record.version != self.version().next() {
            return Outcome::Gap;
        }
        if pull::wire_size(&record) > self.settings.max_payload_bytes {
            return Outcome::Oversized;
        }
        self.apply(now, record);
        Outcome::Applied
    }

    /// Records a read of the log that was sent at `sent` and found the head at
    /// version `head`. Call it after the records of that read were added.
    pub fn record_log_read(&mut self, sent: Moment, head: Version) {
        let own = self.version();
        self.contact.record_log_read(sent, head, own);
    }

    /// Moves this node to the version of a newer snapshot and delivers it. An older
    /// one is ignored, so that the version never decreases, and so is one with a
    /// version close to overflow.
    pub fn restore(&mut self, now: Moment, snapshot: Snapshot) -> Outcome {
        if snapshot.version <= self.version() || snapshot.version > MAX_VERSION {
            return Outcome::Known;
        }
        self.window.reset(snapshot.version);
        self.snapshots.replace(now, snapshot.clone());
        self.deliveries.push(Delivery::Snapshot(snapshot));
        self.version_advanced(now);
        Outcome::Applied
    }

    /// Stores a snapshot of the driver's state to send to peers whose versions
    /// precede the window. It is ignored if it is too large or if the window does
    /// not hold the records that follow it.
    pub fn provide_snapshot(&mut self, now: Moment, snapshot: Snapshot) {
        let in_window = (self.window.base()..=self.version()).contains(&snapshot.version);
        if in_window && snapshot.bytes.len() <= self.settings.max_snapshot_bytes {
            self.snapshots.replace(now, snapshot);
        }
    }

    /// Returns whether the driver should provide a snapshot, because the records
    /// that follow the last one are about to be evicted from the window.
    pub fn snapshot_due(&self) -> bool {
        let base = self.window.base();
        if base == Version(0) {
            return false;
        }
        let Some(snapshot_version) = self.snapshots.version() else {
            return true;
        };
        // A window that is far from full evicts nothing soon. Otherwise a
        // node that has just restored a snapshot would request a new one for
        // every record.
        let record_count = self.version().0 - base.0;
        let records = self.settings.window_records as u64;
        let nearly_full = record_count >= records - records / 4;
        snapshot_version < base || nearly_full && snapshot_version < Version(base.0 + records / 4)
    }

    /// Publishes a fact of this node that expires after `ttl`. Returns whether it
    /// was accepted, see [`FactStore::publish`].
    pub fn publish_fact(&mut self, now: Moment, key: u64, value: Blob, ttl: Duration) -> bool {
        let origin = self.view.me().address;
        let accepted = self.facts.publish(now, Name { origin, key }, value, ttl);
        if accepted {
            self.pacer.schedule_push(now);
        }
        accepted
    }

    /// Updates the seeds and leaving peers from a VM list, see
    /// [`View::set_vms`].
    pub fn set_vms(&mut self, list: impl IntoIterator<Item = Peer>, rng: &mut impl Rng) {
        self.view.set_vms(list, rng);
        if self.view.knows_other_zones() {
            self.contact.set_other_zones_known();
        }
    }

    /// Marks this node as leaving: peers stop choosing it, and it stops reading
    /// the log.
    pub fn leave(&mut self) {
        self.view.leave();
    }

    /// Removes and returns the requests to send.
    pub fn take_requests(&mut self) -> Vec<Request> {
        std::mem::take(&mut self.requests)
    }

    /// Removes and returns the records and snapshots to apply, in order.
    pub fn take_deliveries(&mut self) -> Vec<Delivery> {
        std::mem::take(&mut self.deliveries)
    }

    /// Returns the version up to which this node has delivered every record, or a
    /// snapshot that includes it.
    pub fn version(&self) -> Version {
        self.window.version()
    }

    /// Returns whether this node is one of those of its zone that read the log.
    pub fn reads_log(&self) -> bool {
        self.ranking.should_read(&self.view.me())
    }

    /// Returns whether the contact rule permits this node to accept new work, see
    /// [`crate::contact`].
    pub fn in_contact(&self, now: Moment) -> bool {
        self.contact.in_contact(now)
    }

    /// Returns the state of the contact rule, for its age and status.
    pub fn contact(&self) -> &Contact {
        &self.contact
    }

    /// Returns the facts held, of this node and of others.
    pub fn facts(&self) -> &FactStore {
        &self.facts
    }

    /// Returns the partial view of peers.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Merges what requests and replies have in common: peers, readers, facts and
    /// records.
    fn merge_message(&mut self, now: Moment, message: &Message, rng: &mut impl Rng) {
        let me = self.view.me();
        self.view.record_message(now, message.from, rng);
        self.view.merge(now, &message.peers, rng);
        if self.view.distance(message.from.place) != Distance::Zone {
            self.contact.set_other_zones_known();
        } else if message.from.address != me.address {
            self.ranking.record_message(now, &message.from);
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
            self.allowance
                .record_received(now, pull::wire_size(&record));
            self.deliveries.push(Delivery::Record(record));
            self.version_advanced(now);
        }
    }

    fn version_advanced(&mut self, now: Moment) {
        self.contact.version_advanced();
        self.pull.version_advanced(self.version());
        self.pacer.schedule_push(now);
    }

    fn record_contact(&mut self, ticket: &Ticket, reply: &Message) {
        let own = self.version();
        let sent = ticket.sent;
        if self.view.distance(reply.from.place) == Distance::Zone {
            let status = reply.standing;
            self.contact
                .record_zone_reply(sent, status, reply.version, own);
        } else {
            self.contact.record_outside_reply(sent, reply.version, own);
        }
    }

    /// Creates a message with this node's version and contact.
    fn message(&self, now: Moment) -> Message {
        let status = self.contact.status(now);
        Message::new(self.view.me(), self.version(), status)
    }

    /// Creates a request that also asks for records, unless they may arrive from
    /// another peer before the reply. A request to a peer of another region asks
    /// for none, since a quarter of the records of a burst would arrive twice during
    /// that round trip. A request of a node at version 0 asks for none either: the
    /// node sends requests to several peers at once, and each would send the first
    /// part of a snapshot. It gets only their versions and then pulls from one.
    fn request(&self, now: Moment, peer: &Peer) -> Message {
        let same_region = self.view.distance(peer.place) != Distance::World;
        let mut message = self.message(now);
        let holds_state = self.version() > Version(0);
        message.wants = same_region && holds_state && !self.pull.is_active();
        message.urgent = self.pull.is_urgent(now);
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

//! What a gateway reads for its zone, and what it takes over from the reader of its zone.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sesamerock_base::time::Moment;
use tokio::sync::{Notify, watch};
use tokio::time::sleep;

use super::Node;
use super::offsets::{Offsets, Verdict};
use super::reader::{Election, Mate, Pace, Role, Settings, Situation, pace};
use crate::clock;
use crate::exchange::{Delivery, LocalNode as _};
use crate::store::{Batch, Feed, Offset};

/// Interval between two decisions on the role of this gateway.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a heartbeat of a leader after which a gateway finds out whether the store answers
/// it. It must know before it may claim the leadership, 0.8 s after the last one.
const LEADERLESS: Duration = Duration::from_millis(500);

/// The part of this gateway in reading the store for its zone.
#[derive(Debug)]
pub struct Zone {
    drain: Duration,
    offsets: Mutex<Offsets>,
    election: Mutex<Election>,
    role: watch::Sender<Role>,
    /// Notified when a delivery was lost, by feed.
    lost: [Notify; Feed::ALL.len()],
}

impl Zone {
    /// Starts with reads by this gateway itself.
    pub fn new(own: &str, enabled: Option<bool>, drain: Duration) -> Self {
        let election = Election::new(own, Settings::new(enabled, drain));
        Self {
            drain,
            offsets: Mutex::default(),
            election: Mutex::new(election),
            role: watch::Sender::default(),
            lost: Default::default(),
        }
    }

    /// Returns the offsets up to which the feeds are known.
    pub fn offsets(&self) -> MutexGuard<'_, Offsets> {
        self.offsets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn election(&self) -> MutexGuard<'_, Election> {
        self.election.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the role of this gateway.
    pub fn role(&self) -> Role {
        *self.role.borrow()
    }

    /// Returns whether this gateway was the reader and the store has not answered it since.
    pub fn is_cut_off(&self) -> bool {
        self.election().is_cut_off()
    }

    /// Returns a receiver that is notified when the role changes.
    pub fn roles(&self) -> watch::Receiver<Role> {
        self.role.subscribe()
    }

    /// Returns the times of the reads of a feed in the present role, if this gateway reads it.
    pub fn pace(&self, feed: Feed, gateways: usize) -> Option<Pace> {
        let listed = self.offsets().get(feed).is_some();
        let role = if listed { self.role() } else { Role::Alone };
        pace(feed, role, self.drain, gateways)
    }

    /// Waits until this gateway has to read a feed, and returns how long the read waits.
    pub async fn turn(
        &self,
        feed: Feed,
        gateways: usize,
        roles: &mut watch::Receiver<Role>,
    ) -> Duration {
        loop {
            roles.mark_unchanged();
            if let Some(pace) = self.pace(feed, gateways) {
                return pace.wait;
            }
            tokio::select! {
                // The sender lives as long as this.
                _ = roles.changed() => {}
                () = self.lost[feed as usize].notified() => return Duration::ZERO,
            }
        }
    }
}

/// Waits until this gateway becomes the reader of its zone.
pub async fn elected(roles: &mut watch::Receiver<Role>) {
    // Without the sender, the node is gone.
    while roles.changed().await.is_ok() {
        if *roles.borrow_and_update() == Role::Reader {
            return;
        }
    }
    std::future::pending::<()>().await;
}

impl Node {
    /// Applies what this gateway has read from an offset, and passes it on if it is the reader of
    /// its zone. `age` is the longest time since the store answered.
    pub(super) fn apply_read(&self, feed: Feed, from: Offset, batch: Batch, age: Duration) {
        let now = clock::now();
        let zone = &self.inner.zone;
        let contact = &self.inner.shared.store_contact;
        contact.record_answer(now);
        contact.record_era(batch.next.era(), now);
        if feed == Feed::Upstreams {
            zone.election().record_answer(now - age);
        }
        if zone.role() == Role::Reader {
            self.deliver(feed, from, batch.clone(), age, now);
        }
        self.advance(feed, from, batch, "store", now);
    }

    /// Applies a full listing that this gateway has read.
    pub(super) fn apply_listing(&self, feed: Feed, batch: Batch, now: Moment) {
        let zone = &self.inner.zone;
        let contact = &self.inner.shared.store_contact;
        contact.record_answer(now);
        contact.record_era(batch.next.era(), now);
        if feed == Feed::Upstreams {
            zone.election().record_answer(now);
        }
        let mut offsets = zone.offsets();
        offsets.begin(feed, batch.next);
        self.apply(feed, batch, true, "store", now);
        drop(offsets);
    }

    /// Applies a batch where it goes on from what is known. The offsets stay locked until then, so
    /// that of a read and a delivery at once neither overtakes the other.
    fn advance(
        &self,
        feed: Feed,
        from: Offset,
        mut batch: Batch,
        source: &str,
        now: Moment,
    ) -> Verdict {
        let mut offsets = self.inner.zone.offsets();
        let verdict = offsets.advance(feed, from, &mut batch);
        if verdict == Verdict::Fits {
            self.apply(feed, batch, false, source, now);
        }
        drop(offsets);
        verdict
    }

    fn deliver(&self, feed: Feed, from: Offset, batch: Batch, age: Duration, now: Moment) {
        let delivery = Delivery {
            reader: self.inner.record.name.clone(),
            feed,
            from,
            batch,
            age,
            retention: self.state().retention_left(now),
        };
        let peers = &self.inner.peers;
        let mates = peers.in_zone(&self.inner.record.zone);
        peers.deliver(mates.into_iter().map(|(name, _)| name), &delivery);
    }

    /// Applies what the reader of the zone has read. It says nothing about the contact of this
    /// gateway with the store.
    pub(super) fn apply_delivery(&self, delivery: Delivery) {
        let now = clock::now();
        let zone = &self.inner.zone;
        let feed = delivery.feed;
        let reader = delivery.reader.as_str();
        let next = delivery.batch.next;
        self.state().retain_for(delivery.retention, now);
        match self.advance(feed, delivery.from, delivery.batch, reader, now) {
            // Otherwise a gateway of another zone, whose state was pulled, has read further.
            Verdict::Fits if feed == Feed::Upstreams && next >= self.position().upstreams => {
                let mut election = zone.election();
                election.record_delivery(reader, delivery.age, now);
            }
            Verdict::Gap => {
                log::debug!(
                    "event=delivery_lost feed={} reader={reader} from={}",
                    feed.as_str(),
                    delivery.from
                );
                zone.lost[feed as usize].notify_one();
            }
            Verdict::Fits | Verdict::Behind | Verdict::Unlisted => {}
        }
    }

    /// Returns whether no leader is heard although this gateway does not lead.
    fn is_leaderless(&self) -> bool {
        let leads = &self.inner.shared.is_leader;
        let leads = leads.load(std::sync::atomic::Ordering::Relaxed);
        !leads && self.leaderless_for() > LEADERLESS
    }

    fn decide_role(&self) {
        let now = clock::now();
        let zone = &self.inner.zone;
        let mates = self.inner.peers.in_zone(&self.inner.record.zone);
        let mates = mates.into_iter();
        let mates: Vec<Mate> = mates
            .filter(|(name, _)| *name != self.inner.record.name)
            .map(|(name, failing)| Mate { name, failing })
            .collect();
        let situation = Situation {
            mates: &mates,
            listed: zone.offsets().are_listed(),
            failing: self.inner.shared.store_contact.state(now).failing,
            leaderless: self.is_leaderless(),
        };
        let role = zone.election().decide(situation, now);
        let previous = zone.role();
        if role != previous {
            zone.role.send_replace(role);
            log::info!(
                "event=store_role role={} previous={} mates={}",
                role.as_str(),
                previous.as_str(),
                mates.len()
            );
        }
    }
}

/// Decides on the role of this gateway again and again. Never returns.
pub async fn run_election(node: Node) {
    loop {
        node.decide_role();
        sleep(DECISION_INTERVAL).await;
    }
}

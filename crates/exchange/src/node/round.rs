//! Periodic exchanges: anti-entropy, refresh of the partial view, and renewal of
//! contact with other zones.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt};
use sesamerock_base::time::Moment;

use super::Node;
use crate::peer::{Distance, Peer};

/// When the next periodic exchange and the next request for contact are due.
#[derive(Clone, Debug)]
pub(super) struct Schedule {
    next_round: Moment,
    next_contact: Moment,
    contact_attempts: u32,
    /// The peer of this round's exchange, and when to try another one instead.
    awaited: Option<(SocketAddr, Moment)>,
    last_replies: [Moment; 3],
}

impl Schedule {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            next_round: now,
            next_contact: now,
            contact_attempts: 0,
            awaited: None,
            last_replies: [now; 3],
        }
    }

    pub(super) fn record_reply(&mut self, now: Moment, peer: SocketAddr, distance: Distance) {
        self.last_replies[distance as usize] = now;
        self.awaited.take_if(|(awaited, _)| *awaited == peer);
    }
}

impl Node {
    /// Starts the exchanges that are due.
    pub(super) fn run_rounds(&mut self, now: Moment, rng: &mut impl Rng) {
        if self.round.next_round <= now {
            self.round.next_round = now + jittered(self.settings.round_interval, rng);
            self.start_round(now, rng);
            self.contact_seeds(now, rng);
        } else if self.round.awaited.is_some_and(|(_, due)| due <= now) {
            // At 1 % packet loss, one in fifty exchanges is lost. Without a second
            // exchange at once, the last of 11,000 nodes waits for its next round.
            self.start_round(now, rng);
            self.round.awaited = None;
        }
        if !self.needs_contact(now) {
            self.round.contact_attempts = 0;
        } else if self.round.next_contact <= now {
            self.round.next_contact = now + self.settings.contact_retry_interval;
            self.request_contact(now, rng);
            self.round.contact_attempts += 1;
        }
    }

    pub(super) fn next_round(&self, now: Moment) -> Moment {
        let awaited = self.round.awaited.map(|(_, due)| due);
        let round = awaited.map_or(self.round.next_round, |due| due.min(self.round.next_round));
        if !self.contact.knows_other_zones() {
            return round;
        }
        let age = self.contact.age(now).unwrap_or(Duration::MAX);
        let refresh_at = now + self.settings.contact_refresh_age.saturating_sub(age);
        round.min(refresh_at.max(self.round.next_contact))
    }

    fn needs_contact(&self, now: Moment) -> bool {
        let age = self.contact.age(now);
        let old = age.is_none_or(|age| age >= self.settings.contact_refresh_age);
        self.contact.knows_other_zones() && old
    }

    /// Starts an exchange with one peer, mostly of the same region.
    fn start_round(&mut self, now: Moment, rng: &mut impl Rng) {
        let use_seed = rng.random_ratio(1, self.settings.vm_list_rounds);
        let peer = if use_seed {
            let distance = Distance::ALL[rng.random_range(0..Distance::ALL.len())];
            self.view.seed(distance, rng)
        } else {
            None
        };
        let peer = peer.or_else(|| self.choose_partner(now, rng));
        if let Some(peer) = peer {
            self.exchange(now, &peer, rng);
            // An exchange with another region takes up to half a second to bring a
            // record, and nodes that no push reached wait for it. Without this
            // request, the last of 11,000 nodes to get a record were those whose
            // next exchange was with another region.
            if self.view.distance(peer.place) == Distance::World {
                self.request_records_nearby(now, rng);
            }
            let due = now + self.settings.reply_timeout(self.view.distance(peer.place));
            self.round.awaited = Some((peer.address, due));
        }
    }

    /// Requests records from a peer of the zone, or else of the region, in a
    /// message without peers and readers.
    pub(super) fn request_records_nearby(&mut self, now: Moment, rng: &mut impl Rng) {
        let zone = self.choose_peer(now, Distance::Zone, rng);
        let nearby = zone.or_else(|| self.choose_peer(now, Distance::Region, rng));
        if let Some(peer) = nearby {
            let message = self.request(now, &peer);
            self.send(now, peer.address, false, message);
        }
    }

    /// Exchanges with a seed of each distance from which no reply has come within
    /// the isolation timeout, so that nodes whose views contain only failed peers
    /// or each other reconnect to the rest.
    fn contact_seeds(&mut self, now: Moment, rng: &mut impl Rng) {
        for distance in Distance::ALL {
            let since_reply = now.since(self.round.last_replies[distance as usize]);
            if since_reply < self.settings.isolation_timeout {
                continue;
            }
            if let Some(seed) = self.view.seed(distance, rng) {
                self.exchange(now, &seed, rng);
            }
        }
    }

    /// Sends a request for contact to a peer outside the zone, in the region if
    /// possible, since its reply comes sooner. If that renews no contact, further
    /// attempts also go to a peer of another region, since either may be
    /// unreachable. The requests only compare versions, which keeps them small.
    fn request_contact(&mut self, now: Moment, rng: &mut impl Rng) {
        let regional = self.choose_peer(now, Distance::Region, rng);
        let remote = if regional.is_none() || self.round.contact_attempts > 0 {
            self.choose_peer(now, Distance::World, rng)
        } else {
            None
        };
        for peer in [regional, remote].into_iter().flatten() {
            let message = self.request(now, &peer);
            self.send(now, peer.address, false, message);
        }
    }

    fn choose_partner(&self, now: Moment, rng: &mut impl Rng) -> Option<Peer> {
        let weights = self.settings.weights;
        let mut candidates = Distance::ALL.map(|d| self.choose_peer(now, d, rng));
        let total = |candidates: &[Option<Peer>; 3]| -> u32 {
            let present = candidates.iter().zip(weights);
            present.filter(|(c, _)| c.is_some()).map(|(_, w)| w).sum()
        };
        let sum = total(&candidates);
        if sum == 0 {
            return None;
        }
        let mut point = rng.random_range(0..sum);
        for (candidate, weight) in candidates.iter_mut().zip(weights) {
            if candidate.is_none() {
                continue;
            }
            if point < weight {
                return candidate.take();
            }
            point -= weight;
        }
        None
    }

    /// Chooses a peer of a distance: with equal probability the one whose last
    /// message is oldest or a random one, or a seed if the view has none.
    fn choose_peer(&self, now: Moment, distance: Distance, rng: &mut impl Rng) -> Option<Peer> {
        let known = if rng.random_bool(0.5) {
            self.view.oldest(now, distance)
        } else {
            self.view.pick(now, distance, &[], rng)
        };
        known.or_else(|| self.view.seed(distance, rng))
    }

    fn exchange(&mut self, now: Moment, peer: &Peer, rng: &mut impl Rng) {
        let mut message = self.request(now, peer);
        message.sync = true;
        message.peers = self.view.sample(now, self.settings.shuffle_entries, rng);
        message.digest = self.facts.digest();
        message.facts = self.facts.select(now, None, None, rng);
        if self.view.distance(peer.place) == Distance::Zone {
            message.readers = self.ranking.candidates(now);
        }
        self.send(now, peer.address, false, message);
    }
}

/// Varies a time by up to a quarter in either direction, so that nodes started
/// together do not stay synchronized.
fn jittered(mean: Duration, rng: &mut impl Rng) -> Duration {
    mean.mul_f64(rng.random_range(0.75..1.25))
}

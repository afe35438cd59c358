//! Periodic exchanges: anti-entropy, refresh of the view, contact.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt};
use sesamerock_base::time::Moment;

use super::Node;
use crate::peer::{Distance, Peer};

/// When the next periodic exchanges are due.
#[derive(Clone, Debug)]
pub(super) struct Schedule {
    round: Moment,
    contact: Moment,
    seeks: u32,
    /// The peer asked in this round and when another is asked instead.
    awaited: Option<(SocketAddr, Moment)>,
    answered: [Moment; 3],
}

impl Schedule {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            round: now,
            contact: now,
            seeks: 0,
            awaited: None,
            answered: [now; 3],
        }
    }

    pub(super) fn answered(&mut self, now: Moment, peer: SocketAddr, distance: Distance) {
        self.answered[distance as usize] = now;
        self.awaited.take_if(|(awaited, _)| *awaited == peer);
    }
}

impl Node {
    /// Starts the exchanges that are due.
    pub(super) fn run_rounds(&mut self, now: Moment, rng: &mut impl Rng) {
        if self.round.round <= now {
            self.round.round = now + jittered(self.settings.round, rng);
            self.round(now, rng);
            self.escape(now, rng);
        } else if self.round.awaited.is_some_and(|(_, due)| due <= now) {
            // One in fifty exchanges is lost at 1 % loss; without a second one
            // at once, the last of 11,000 nodes waits for its next round.
            self.round(now, rng);
            self.round.awaited = None;
        }
        if !self.wants_contact(now) {
            self.round.seeks = 0;
        } else if self.round.contact <= now {
            self.round.contact = now + self.settings.contact_retry;
            self.seek_contact(now, rng);
            self.round.seeks += 1;
        }
    }

    pub(super) fn next_round(&self, now: Moment) -> Moment {
        let awaited = self.round.awaited.map(|(_, due)| due);
        let round = awaited.map_or(self.round.round, |due| due.min(self.round.round));
        if !self.contact.knows_others() {
            return round;
        }
        let age = self.contact.age(now).unwrap_or(Duration::MAX);
        let soft = now + self.settings.contact_soft.saturating_sub(age);
        round.min(soft.max(self.round.contact))
    }

    fn wants_contact(&self, now: Moment) -> bool {
        let age = self.contact.age(now);
        let old = age.is_none_or(|age| age >= self.settings.contact_soft);
        self.contact.knows_others() && old
    }

    /// Exchanges with one peer, mostly a near one.
    fn round(&mut self, now: Moment, rng: &mut impl Rng) {
        let remix = rng.random_ratio(1, self.settings.remix);
        let peer = if remix {
            let distance = Distance::ALL[rng.random_range(0..Distance::ALL.len())];
            self.view.seed(distance, rng)
        } else {
            None
        };
        let peer = peer.or_else(|| self.partner(now, rng));
        if let Some(peer) = peer {
            self.exchange(now, &peer, rng);
            // An exchange with another region takes up to half a second to
            // bring a record, and nodes missed by pushes wait for it. The last
            // of 11,000 nodes were those whose next exchange was such a one.
            if self.view.distance(peer.place) == Distance::World {
                self.ask_near(now, rng);
            }
            let due = now + self.settings.patience(self.view.distance(peer.place));
            self.round.awaited = Some((peer.address, due));
        }
    }

    /// Asks a near peer for records in a small message.
    pub(super) fn ask_near(&mut self, now: Moment, rng: &mut impl Rng) {
        let zone = self.candidate(now, Distance::Zone, rng);
        let near = zone.or_else(|| self.candidate(now, Distance::Region, rng));
        if let Some(peer) = near {
            let message = self.request(now, &peer);
            self.send(now, peer.address, false, message);
        }
    }

    /// Asks a seed of each distance that has not answered for long, so that a
    /// node or a group of nodes with a dead sample finds the others again.
    fn escape(&mut self, now: Moment, rng: &mut impl Rng) {
        for distance in Distance::ALL {
            let silent = now.since(self.round.answered[distance as usize]);
            if silent < self.settings.isolation {
                continue;
            }
            if let Some(seed) = self.view.seed(distance, rng) {
                self.exchange(now, &seed, rng);
            }
        }
    }

    /// Asks a peer outside the zone, in the region if possible, since its reply
    /// comes sooner. If that brings no contact, later attempts ask a peer of
    /// another region too, since either may be cut off. The requests compare
    /// versions only, which keeps them small.
    fn seek_contact(&mut self, now: Moment, rng: &mut impl Rng) {
        let near = self.candidate(now, Distance::Region, rng);
        let far = if near.is_none() || self.round.seeks > 0 {
            self.candidate(now, Distance::World, rng)
        } else {
            None
        };
        for peer in [near, far].into_iter().flatten() {
            let message = self.request(now, &peer);
            self.send(now, peer.address, false, message);
        }
    }

    fn partner(&self, now: Moment, rng: &mut impl Rng) -> Option<Peer> {
        let weights = self.settings.weights;
        let mut candidates = Distance::ALL.map(|d| self.candidate(now, d, rng));
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

    /// Chooses a peer of a distance: the one not heard from for longest or a
    /// random one, or a seed if none is known.
    fn candidate(&self, now: Moment, distance: Distance, rng: &mut impl Rng) -> Option<Peer> {
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
        message.peers = self.view.sample(now, self.settings.shuffle, rng);
        message.digest = self.board.digest();
        message.facts = self.board.select(now, None, None, rng);
        if self.view.distance(peer.place) == Distance::Zone {
            message.readers = self.ranking.sample(now);
        }
        self.send(now, peer.address, false, message);
    }
}

/// Spreads a time by a quarter to both sides, so that nodes started together
/// do not stay in step.
fn jittered(mean: Duration, rng: &mut impl Rng) -> Duration {
    mean.mul_f64(rng.random_range(0.75..1.25))
}

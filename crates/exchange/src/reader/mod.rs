//! Which nodes of a zone read the log.
//!
//! Reading must not scale with nodes, so about three nodes per zone read and
//! the others learn from peers. The readers are the nodes with the highest
//! hash rank. A random sample of the zone would not do: with 24 of 344 nodes
//! known, one node in eight would find itself among the first three. So the
//! best entries known travel in every message within the zone, which spreads
//! them like a rumour. An entry lasts only while its node keeps renewing it;
//! when readers die, the next in rank take over.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;

use crate::peer::{LastSeen, Peer};

/// Settings of the choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderSettings {
    /// Nodes of a zone that read.
    pub readers: usize,
    /// Further candidates that are kept known, so that they take over at once
    /// and without all other nodes trying.
    pub standbys: usize,
    /// Time after which a candidate nobody heard from is forgotten. It must
    /// exceed the time a renewal takes to spread within a zone.
    pub expiry: Duration,
}

impl Default for ReaderSettings {
    fn default() -> Self {
        Self {
            readers: 3,
            standbys: 2,
            expiry: Duration::from_secs(15),
        }
    }
}

/// A candidate as it travels in messages within its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Address of its peer service.
    pub address: SocketAddr,
    /// Tenths of a second since somebody heard from it directly.
    pub age: u32,
}

/// A candidate that is known.
#[derive(Clone, Copy, Debug)]
struct RankedCandidate {
    address: SocketAddr,
    rank: u64,
    last_seen: LastSeen,
}

/// The best ranked nodes of the own zone that are known.
#[derive(Clone, Debug)]
pub struct Ranking {
    settings: ReaderSettings,
    rank: u64,
    best: Vec<RankedCandidate>,
}

impl Ranking {
    /// Makes the ranking of a node that knows only itself.
    pub fn new(me: &Peer, settings: ReaderSettings) -> Self {
        Self {
            settings,
            rank: rank(me.address),
            best: Vec::new(),
        }
    }

    /// Returns whether this node should read the log.
    pub fn should_read(&self, me: &Peer) -> bool {
        let higher_ranked = self.best.iter().filter(|c| c.rank > self.rank).count();
        !me.leaving && higher_ranked < self.settings.readers
    }

    /// Notes a message of a peer of the own zone.
    pub fn record_message(&mut self, now: Moment, peer: &Peer) {
        if peer.leaving {
            self.remove(peer.address);
        } else {
            let address = peer.address;
            self.add(now, Candidate { address, age: 0 });
        }
    }

    /// Adds the candidates that a peer of the own zone sent.
    pub fn merge(&mut self, now: Moment, me: &Peer, candidates: &[Candidate]) {
        for candidate in candidates {
            if candidate.address != me.address {
                self.add(now, *candidate);
            }
        }
    }

    /// Forgets a peer that did not answer or is leaving.
    pub fn remove(&mut self, address: SocketAddr) {
        self.best.retain(|known| known.address != address);
    }

    /// Forgets candidates that nobody heard from for long.
    pub fn expire(&mut self, now: Moment) {
        let expiry = self.settings.expiry;
        self.best.retain(|c| c.last_seen.age(now) <= expiry);
    }

    /// Returns the candidates known with their ages, for a message.
    pub fn candidates(&self, now: Moment) -> Vec<Candidate> {
        let to_candidate = |known: &RankedCandidate| Candidate {
            address: known.address,
            age: known.last_seen.age_tenths(now),
        };
        self.best.iter().map(to_candidate).collect()
    }

    fn add(&mut self, now: Moment, candidate: Candidate) {
        let Candidate { address, age } = candidate;
        let last_seen = LastSeen::from_tenths(now, age);
        let known = self.best.iter().find(|known| known.address == address);
        let newer = known.is_some_and(|known| known.last_seen > last_seen);
        if newer || last_seen.age(now) > self.settings.expiry {
            return;
        }
        self.remove(address);
        let rank = rank(address);
        let index = self.best.partition_point(|known| known.rank > rank);
        let known = RankedCandidate {
            address,
            rank,
            last_seen,
        };
        self.best.insert(index, known);
        self.best
            .truncate(self.settings.readers + self.settings.standbys);
    }
}

/// Hashes an address to a rank that all nodes compute alike.
pub fn rank(address: SocketAddr) -> u64 {
    let address_bits = match address {
        SocketAddr::V4(v4) => u64::from(u32::from(*v4.ip())),
        SocketAddr::V6(v6) => {
            let bits = u128::from(*v6.ip());
            mix(bits as u64) ^ (bits >> 64) as u64
        }
    };
    mix(address_bits ^ (u64::from(address.port()) << 48))
}

/// The finaliser of splitmix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

//! Selection of the nodes of a zone that read the log.
//!
//! The load on the log must not grow with the number of nodes, so about three
//! nodes per zone read it and the others get records from peers. The readers are
//! the nodes whose addresses hash to the highest ranks. Comparing ranks within a
//! node's random sample of the zone would select too many: with 24 of 344 nodes
//! known, one node in eight would find itself among the first three. Periodic
//! exchanges within the zone therefore carry the highest-ranked candidates
//! known, which spreads them by gossip. A candidate expires unless its node
//! sends messages; when readers fail, the next in rank replace them.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;

use crate::peer::{LastSeen, Peer};

/// Settings of the selection of readers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderSettings {
    /// Number of nodes per zone that read the log.
    pub readers: usize,
    /// Number of further candidates to keep, so that they take over at once when
    /// a reader fails, and not all other nodes start to read.
    pub standbys: usize,
    /// Time without messages from a candidate after which it is removed. It must
    /// exceed the time that a newer age takes to spread within a zone.
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

/// A candidate as messages within its zone carry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Address of the candidate's peer service.
    pub address: SocketAddr,
    /// Tenths of a second since any node received a message from the candidate
    /// itself.
    pub age: u32,
}

/// A candidate with its rank and the time of its last message.
#[derive(Clone, Copy, Debug)]
struct RankedCandidate {
    address: SocketAddr,
    rank: u64,
    last_seen: LastSeen,
}

/// The highest-ranked nodes of this node's zone, as far as it knows them.
#[derive(Clone, Debug)]
pub struct Ranking {
    settings: ReaderSettings,
    rank: u64,
    best: Vec<RankedCandidate>,
}

impl Ranking {
    /// Creates a ranking without other candidates: until it receives some, the
    /// node counts as a reader.
    pub fn new(me: &Peer, settings: ReaderSettings) -> Self {
        Self {
            settings,
            rank: rank(me.address),
            best: Vec::new(),
        }
    }

    /// Returns whether this node should read the log: it is not leaving, and
    /// fewer than [`ReaderSettings::readers`] candidates rank higher.
    pub fn should_read(&self, me: &Peer) -> bool {
        let higher_ranked = self.best.iter().filter(|c| c.rank > self.rank).count();
        !me.leaving && higher_ranked < self.settings.readers
    }

    /// Records a message received from a peer of the same zone; a leaving peer is
    /// removed.
    pub fn record_message(&mut self, now: Moment, peer: &Peer) {
        if peer.leaving {
            self.remove(peer.address);
        } else {
            let address = peer.address;
            self.add(now, Candidate { address, age: 0 });
        }
    }

    /// Adds the candidates that a peer of the same zone sent.
    pub fn merge(&mut self, now: Moment, me: &Peer, candidates: &[Candidate]) {
        for candidate in candidates {
            if candidate.address != me.address {
                self.add(now, *candidate);
            }
        }
    }

    /// Removes a peer that did not answer or is leaving.
    pub fn remove(&mut self, address: SocketAddr) {
        self.best.retain(|known| known.address != address);
    }

    /// Removes candidates from which no node has received a message within
    /// [`ReaderSettings::expiry`].
    pub fn expire(&mut self, now: Moment) {
        let expiry = self.settings.expiry;
        self.best.retain(|c| c.last_seen.age(now) <= expiry);
    }

    /// Returns the candidates with their present ages, for a message.
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

/// Hashes an address to its rank. The hash has no seed, so all nodes compute
/// the same rank.
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

/// Finalizer of the splitmix64 generator.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

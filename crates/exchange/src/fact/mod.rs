//! Small facts that expire, spread by gossip.
//!
//! A fact is an opaque value under a key of its origin, for instance a crash
//! suspect or the version a node has applied. The newest sequence number of an
//! origin's key wins. Facts expire and their number is bounded, so they are not
//! durable: an origin publishes a fact again for as long as it should hold.
//!
//! A new fact is included in the next few messages. Every periodic message
//! carries a hash per bucket, from which the receiver sees which buckets differ.
//!
//! An expedited fact announces a control record before the records that precede
//! it have arrived. It has no origin, so that all nodes that read the record
//! publish the same fact, and it takes priority over other facts when facts are
//! sent and when they are evicted.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;

use crate::blob::Blob;

/// Number of buckets of the digest. With more buckets, fewer facts are resent
/// that the receiver already holds, at four bytes per bucket in every message.
pub const BUCKETS: usize = 8;

/// Encoded size of a fact without its value, rounded up.
const FACT_OVERHEAD_BYTES: usize = 40;

/// Highest sequence number accepted from peers, far enough below overflow that
/// this node can still increment it.
const MAX_SEQUENCE: u64 = 1 << 62;

/// Remaining lifetime below which a fact is not sent. Time in transit is not
/// subtracted from the lifetime, so without a margin two nodes could pass an
/// expiring fact back and forth for ever.
const EXPIRY_MARGIN: Duration = Duration::from_secs(1);

/// Origin of expedited facts. No node has this address, and it sorts before
/// every other, so that expedited facts come first in the map.
const EXPEDITED_ORIGIN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Identifies a fact: a new value under the same name replaces the old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Name {
    /// Address of the node that published the fact.
    pub origin: SocketAddr,
    /// Key chosen by the driver of the origin node, opaque to this crate.
    pub key: u64,
}

impl Name {
    /// Returns the name of the expedited fact for the record of a version.
    pub fn expedited(version: Version) -> Self {
        Self {
            origin: EXPEDITED_ORIGIN,
            key: version.0,
        }
    }

    /// Returns the version of the record that an expedited fact announces, or
    /// `None` for any other fact.
    pub fn expedited_version(self) -> Option<Version> {
        (self.origin == EXPEDITED_ORIGIN).then_some(Version(self.key))
    }
}

/// A fact as messages carry it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// Identifies the fact; only its newest value is kept.
    pub name: Name,
    /// Increases with each value of a name; the highest one wins.
    pub sequence: u64,
    /// Remaining lifetime in milliseconds when the message was made.
    pub expires_in: u32,
    /// Value, opaque to this crate.
    pub value: Blob,
}

/// Bounds of a [`FactStore`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Facts held, expedited ones included.
    pub max_facts: usize,
    /// Largest value in bytes.
    pub max_value_bytes: usize,
    /// Longest lifetime; longer ones are shortened to it.
    pub max_ttl: Duration,
    /// Encoded bytes of facts in one message.
    pub max_message_bytes: usize,
    /// Number of messages that include a new fact.
    pub copies: u8,
    /// Expedited facts held. Further ones are refused; nodes then get their
    /// records in the usual order.
    pub max_expedited: usize,
    /// Number of messages that include a new expedited fact. At 8 random peers
    /// each, all but a few of 11,000 nodes are reached without a periodic
    /// exchange.
    pub expedited_copies: u8,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_facts: 256,
            max_value_bytes: 256,
            max_ttl: Duration::from_mins(10),
            max_message_bytes: 1_024,
            copies: 4,
            max_expedited: 64,
            expedited_copies: 8,
        }
    }
}

#[derive(Clone, Debug)]
struct StoredFact {
    sequence: u64,
    expires_at: Moment,
    value: Blob,
    /// Number of further messages to include the fact in.
    copies: u8,
}

/// Facts held by one node, with a digest to compare them with those of a peer.
#[derive(Clone, Debug)]
pub struct FactStore {
    limits: Limits,
    facts: BTreeMap<Name, StoredFact>,
    sequence: u64,
    digest: [u32; BUCKETS],
}

impl FactStore {
    /// Creates an empty store. The first sequence number of this node follows
    /// `start`; a restarted node passes a higher one than before, such as its
    /// start time, so that its new facts replace its old ones.
    pub fn new(limits: Limits, start: u64) -> Self {
        Self {
            limits,
            facts: BTreeMap::new(),
            sequence: start,
            digest: [0; BUCKETS],
        }
    }

    /// Adds an expedited fact for the record of a version. Returns whether it
    /// was added: not if it is known already, its value is too large, or
    /// [`Limits::max_expedited`] are held.
    pub fn expedite(&mut self, now: Moment, version: Version, value: Blob, ttl: Duration) -> bool {
        if value.len() > self.limits.max_value_bytes {
            return false;
        }
        let fact = Fact {
            name: Name::expedited(version),
            sequence: 1,
            expires_in: ttl.as_millis().try_into().unwrap_or(u32::MAX),
            value,
        };
        let inserted = self.insert_newer(now, fact);
        self.evict();
        inserted
    }

    /// Returns whether a fact with this name is held, whatever its sequence.
    pub fn contains(&self, name: Name) -> bool {
        self.facts.contains_key(&name)
    }

    /// Yields the expedited facts for records after a version, oldest first.
    pub fn expedited_after(&self, version: Version) -> impl Iterator<Item = (Version, &Blob)> {
        let expedited = self.facts.range(Name::expedited(version.next())..);
        expedited.map_while(|(name, held)| Some((name.expedited_version()?, &held.value)))
    }

    /// Publishes a fact of this node. Returns whether it is held: not if its
    /// value is too large, or if it was evicted because others expire later.
    pub fn publish(&mut self, now: Moment, name: Name, value: Blob, ttl: Duration) -> bool {
        if value.len() > self.limits.max_value_bytes {
            return false;
        }
        self.sequence += 1;
        let fact = Fact {
            name,
            sequence: self.sequence,
            expires_in: ttl.as_millis().try_into().unwrap_or(u32::MAX),
            value,
        };
        self.insert_newer(now, fact);
        self.evict();
        self.facts.contains_key(&name)
    }

    /// Adds the facts of a message and returns whether any was new.
    ///
    /// `me` is this node's address: a fact that it published before a restart
    /// raises its sequence number, so that its next facts replace the old ones.
    pub fn merge(&mut self, now: Moment, me: SocketAddr, facts: &[Fact]) -> bool {
        let before = self.digest;
        for fact in facts {
            if fact.value.len() > self.limits.max_value_bytes || fact.sequence > MAX_SEQUENCE {
                continue;
            }
            if fact.name.origin == me {
                self.sequence = self.sequence.max(fact.sequence);
            }
            self.insert_newer(now, fact.clone());
        }
        self.evict();
        self.digest != before
    }

    /// Removes the facts that have expired.
    pub fn expire(&mut self, now: Moment) {
        let expired = |held: &StoredFact| held.expires_at <= now;
        let expired_names: Vec<_> = self
            .facts
            .iter()
            .filter(|(_, held)| expired(held))
            .collect();
        let expired_names: Vec<_> = expired_names.into_iter().map(|(name, _)| *name).collect();
        for name in expired_names {
            self.remove(name);
        }
    }

    /// Returns one hash per bucket, or an empty list if no fact is held.
    pub fn digest(&self) -> Vec<u32> {
        if self.facts.is_empty() {
            return Vec::new();
        }
        self.digest.to_vec()
    }

    /// Selects facts for a message: new ones first, then a random choice from
    /// the buckets in which the receiver's digest differs.
    ///
    /// `receiver_digest` is `None` if unknown. `behind` is the receiver's version
    /// if it lacks records: expedited facts for later records then come first, so
    /// that a node that waits for records gets them with any message.
    pub fn select(
        &mut self,
        now: Moment,
        receiver_digest: Option<&[u32]>,
        behind: Option<Version>,
        rng: &mut impl Rng,
    ) -> Vec<Fact> {
        let behind = behind.map(|version| self.expedited_after(version));
        let expedited = behind.into_iter().flatten();
        let mut names: Vec<_> = expedited
            .map(|(version, _)| Name::expedited(version))
            .collect();
        let pending: Vec<_> = self
            .pending()
            .filter(|name| !names.contains(name))
            .collect();
        names.extend(pending);
        if let Some(receiver_digest) = receiver_digest {
            let mut missing: Vec<_> = self.in_differing_buckets(receiver_digest).collect();
            missing.retain(|name| !names.contains(name));
            missing.shuffle(rng);
            names.extend(missing);
        }
        let mut remaining_bytes = self.limits.max_message_bytes;
        let mut facts = Vec::new();
        for name in names {
            let Some(held) = self.facts.get_mut(&name) else {
                continue;
            };
            if held.expires_at.since(now) < EXPIRY_MARGIN {
                held.copies = 0;
                continue;
            }
            let size = FACT_OVERHEAD_BYTES + held.value.len();
            if size > remaining_bytes {
                break;
            }
            remaining_bytes -= size;
            held.copies = held.copies.saturating_sub(1);
            facts.push(held.to_fact(now, name));
        }
        facts
    }

    /// Returns whether a fact is still to be included in further messages.
    pub fn has_pending(&self) -> bool {
        self.pending().next().is_some()
    }

    /// Yields all facts held, expedited ones first.
    pub fn iter(&self) -> impl Iterator<Item = (Name, &Blob)> {
        self.facts.iter().map(|(name, held)| (*name, &held.value))
    }

    /// Returns the number of facts held, expedited ones included.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Returns whether no fact is held.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    fn pending(&self) -> impl Iterator<Item = Name> {
        let pending = self.facts.iter().filter(|(_, held)| held.copies > 0);
        pending.map(|(name, _)| *name)
    }

    fn in_differing_buckets(&self, receiver_digest: &[u32]) -> impl Iterator<Item = Name> {
        let differs = |name: &Name| {
            let bucket = bucket(*name);
            receiver_digest.get(bucket).copied().unwrap_or(0) != self.digest[bucket]
        };
        let not_pending = self.facts.iter().filter(|(_, held)| held.copies == 0);
        not_pending.map(|(name, _)| *name).filter(differs)
    }

    fn insert_newer(&mut self, now: Moment, fact: Fact) -> bool {
        let existing = self.facts.get(&fact.name);
        if existing.is_some_and(|held| held.sequence >= fact.sequence) || fact.expires_in == 0 {
            return false;
        }
        let is_expedited = fact.name.expedited_version().is_some();
        if is_expedited && self.expedited_after(Version(0)).count() >= self.limits.max_expedited {
            return false;
        }
        self.remove(fact.name);
        let ttl = Duration::from_millis(u64::from(fact.expires_in)).min(self.limits.max_ttl);
        self.toggle_digest(fact.name, fact.sequence);
        let held = StoredFact {
            sequence: fact.sequence,
            expires_at: now + ttl,
            value: fact.value,
            copies: if is_expedited {
                self.limits.expedited_copies
            } else {
                self.limits.copies
            },
        };
        self.facts.insert(fact.name, held);
        true
    }

    /// Evicts facts above the bound: those that expire first, and expedited ones
    /// last, so that nodes with the same facts evict the same ones.
    fn evict(&mut self) {
        while self.facts.len() > self.limits.max_facts {
            let key = |(name, held): &(&Name, &StoredFact)| {
                (name.expedited_version().is_some(), held.expires_at)
            };
            let first = self.facts.iter().min_by_key(key);
            let Some((name, _)) = first else { return };
            self.remove(*name);
        }
    }

    fn remove(&mut self, name: Name) {
        if let Some(held) = self.facts.remove(&name) {
            self.toggle_digest(name, held.sequence);
        }
    }

    fn toggle_digest(&mut self, name: Name, sequence: u64) {
        let hash = crate::reader::rank(name.origin) ^ name.key.rotate_left(17) ^ mix(sequence);
        self.digest[bucket(name)] ^= (mix(hash) >> 32) as u32;
    }
}

impl StoredFact {
    fn to_fact(&self, now: Moment, name: Name) -> Fact {
        Fact {
            name,
            sequence: self.sequence,
            expires_in: self.expires_at.since(now).as_millis() as u32,
            value: self.value.clone(),
        }
    }
}

fn bucket(name: Name) -> usize {
    (mix(crate::reader::rank(name.origin) ^ name.key) % BUCKETS as u64) as usize
}

/// Multiplicative (Fibonacci) hash. The digest compares sets by XOR of such
/// hashes; it need not resist deliberate collisions.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value ^ (value >> 29)
}

//! Small ephemeral facts.
//!
//! A fact is an opaque value under a key of its origin, for instance a crash
//! suspect or the version a node has applied. The newest sequence number of an
//! origin's key wins. Facts expire and their number is bounded, so nothing
//! here is a record: whoever needs a fact to last renews it.
//!
//! New facts ride along in the next few messages; a hash per bucket in every
//! periodic message shows what is still missing.
//!
//! An order is a fact that announces a control record ahead of its turn. It has
//! no origin, so that all nodes that read the record state the same fact, and it
//! goes before other facts in every respect.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;

use crate::blob::Blob;

/// Buckets of the digest. More buckets resend fewer facts that are not
/// missing, at four bytes each in every message.
pub const BUCKETS: usize = 8;

/// Bytes a fact takes on the wire besides its value, rounded up.
const OVERHEAD: usize = 40;

/// Highest sequence number accepted, far below overflow.
const HIGHEST: u64 = 1 << 62;

/// Facts closer to their expiry are not sent. Time in transit does not count
/// against a fact, so without a margin nodes could hand an expiring fact to
/// each other for ever.
const MARGIN: Duration = Duration::from_secs(1);

/// Origin of orders, which no node can have. It sorts before every address.
const NOBODY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Names a fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Name {
    /// The node that states the fact.
    pub origin: SocketAddr,
    /// What it is about, chosen by the owner.
    pub key: u64,
}

impl Name {
    /// Names the order that a record gives.
    pub fn order(version: Version) -> Self {
        Self {
            origin: NOBODY,
            key: version.0,
        }
    }

    /// Returns the version of the record that gives the order, or `None` if the
    /// fact is no order.
    pub fn ordered(self) -> Option<Version> {
        (self.origin == NOBODY).then_some(Version(self.key))
    }
}

/// A fact as it travels in messages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// Its name.
    pub name: Name,
    /// Orders the values of a name.
    pub sequence: u64,
    /// Milliseconds until it expires.
    pub expires_in: u32,
    /// Its value, opaque to this crate.
    pub value: Blob,
}

/// Bounds of a board.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Facts held.
    pub count: usize,
    /// Bytes of a value.
    pub value: usize,
    /// Longest time until expiry.
    pub expiry: Duration,
    /// Bytes of facts in a message.
    pub message: usize,
    /// Messages a new fact rides along in.
    pub copies: u8,
    /// Orders held; further ones wait for their records.
    pub orders: usize,
    /// Messages a new order rides along in. At 8 random peers each, all of
    /// 11,000 nodes but a few are reached without a periodic exchange.
    pub order_copies: u8,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            count: 256,
            value: 256,
            expiry: Duration::from_mins(10),
            message: 1_024,
            copies: 4,
            orders: 64,
            order_copies: 8,
        }
    }
}

#[derive(Clone, Debug)]
struct Held {
    sequence: u64,
    expires: Moment,
    value: Blob,
    copies: u8,
}

/// The facts a node holds.
#[derive(Clone, Debug)]
pub struct Board {
    limits: Limits,
    facts: BTreeMap<Name, Held>,
    sequence: u64,
    digest: [u32; BUCKETS],
}

impl Board {
    /// Makes an empty board. The first own sequence number follows `start`;
    /// a restarted node passes a higher one than before, such as its start
    /// time, so that its new facts win over its old ones.
    pub fn new(limits: Limits, start: u64) -> Self {
        Self {
            limits,
            facts: BTreeMap::new(),
            sequence: start,
            digest: [0; BUCKETS],
        }
    }

    /// States the order of a record and returns whether it is new and was
    /// taken.
    pub fn order(&mut self, now: Moment, version: Version, value: Blob, ttl: Duration) -> bool {
        if value.len() > self.limits.value {
            return false;
        }
        let fact = Fact {
            name: Name::order(version),
            sequence: 1,
            expires_in: ttl.as_millis().try_into().unwrap_or(u32::MAX),
            value,
        };
        let taken = self.put(now, fact);
        self.evict();
        taken
    }

    /// Returns whether a fact is held under a name.
    pub fn holds(&self, name: Name) -> bool {
        self.facts.contains_key(&name)
    }

    /// Yields the orders held of records after a version.
    pub fn orders_after(&self, version: Version) -> impl Iterator<Item = (Version, &Blob)> {
        let orders = self.facts.range(Name::order(version.next())..);
        orders.map_while(|(name, held)| Some((name.ordered()?, &held.value)))
    }

    /// States a fact of this node and returns whether it was taken; a value
    /// above the limit is not.
    pub fn state(&mut self, now: Moment, name: Name, value: Blob, ttl: Duration) -> bool {
        if value.len() > self.limits.value {
            return false;
        }
        self.sequence += 1;
        let fact = Fact {
            name,
            sequence: self.sequence,
            expires_in: ttl.as_millis().try_into().unwrap_or(u32::MAX),
            value,
        };
        self.put(now, fact);
        self.evict();
        self.facts.contains_key(&name)
    }

    /// Adds the facts of a message and returns whether any was new.
    ///
    /// `me` is this node's address: a fact of its own from before a restart
    /// raises its sequence, so that what it states next wins.
    pub fn merge(&mut self, now: Moment, me: SocketAddr, facts: &[Fact]) -> bool {
        let before = self.digest;
        for fact in facts {
            if fact.value.len() > self.limits.value || fact.sequence > HIGHEST {
                continue;
            }
            if fact.name.origin == me {
                self.sequence = self.sequence.max(fact.sequence);
            }
            self.put(now, fact.clone());
        }
        self.evict();
        self.digest != before
    }

    /// Drops expired facts.
    pub fn expire(&mut self, now: Moment) {
        let expired = |held: &Held| held.expires <= now;
        let gone: Vec<_> = self
            .facts
            .iter()
            .filter(|(_, held)| expired(held))
            .collect();
        let gone: Vec<_> = gone.into_iter().map(|(name, _)| *name).collect();
        for name in gone {
            self.remove(name);
        }
    }

    /// Returns the hash per bucket, or nothing if no fact is held.
    pub fn digest(&self) -> Vec<u32> {
        if self.facts.is_empty() {
            return Vec::new();
        }
        self.digest.to_vec()
    }

    /// Returns facts for a message: new ones first, then some of the buckets
    /// in which the receiver's digest differs.
    ///
    /// `theirs` is the receiver's digest if known, and `behind` its version if
    /// it lacks records: it gets the orders it may not have folded first, so
    /// that a node that waits for records learns of them at any exchange.
    pub fn select(
        &mut self,
        now: Moment,
        theirs: Option<&[u32]>,
        behind: Option<Version>,
        rng: &mut impl Rng,
    ) -> Vec<Fact> {
        let behind = behind.map(|version| self.orders_after(version));
        let orders = behind.into_iter().flatten();
        let mut names: Vec<_> = orders.map(|(version, _)| Name::order(version)).collect();
        let hot: Vec<_> = self.hot().filter(|name| !names.contains(name)).collect();
        names.extend(hot);
        if let Some(theirs) = theirs {
            let mut missing: Vec<_> = self.differing(theirs).collect();
            missing.retain(|name| !names.contains(name));
            missing.shuffle(rng);
            names.extend(missing);
        }
        let mut left = self.limits.message;
        let mut facts = Vec::new();
        for name in names {
            let Some(held) = self.facts.get_mut(&name) else {
                continue;
            };
            if held.expires.since(now) < MARGIN {
                held.copies = 0;
                continue;
            }
            let size = OVERHEAD + held.value.len();
            if size > left {
                break;
            }
            left -= size;
            held.copies = held.copies.saturating_sub(1);
            facts.push(held.fact(now, name));
        }
        facts
    }

    /// Returns whether a fact still rides along in messages.
    pub fn has_news(&self) -> bool {
        self.hot().next().is_some()
    }

    /// Yields all facts held.
    pub fn iter(&self) -> impl Iterator<Item = (Name, &Blob)> {
        self.facts.iter().map(|(name, held)| (*name, &held.value))
    }

    /// Returns the number of facts held.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Returns whether no fact is held.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    fn hot(&self) -> impl Iterator<Item = Name> {
        let hot = self.facts.iter().filter(|(_, held)| held.copies > 0);
        hot.map(|(name, _)| *name)
    }

    fn differing(&self, theirs: &[u32]) -> impl Iterator<Item = Name> {
        let differs = |name: &Name| {
            let bucket = bucket(*name);
            theirs.get(bucket).copied().unwrap_or(0) != self.digest[bucket]
        };
        let cold = self.facts.iter().filter(|(_, held)| held.copies == 0);
        cold.map(|(name, _)| *name).filter(differs)
    }

    fn put(&mut self, now: Moment, fact: Fact) -> bool {
        let known = self.facts.get(&fact.name);
        if known.is_some_and(|held| held.sequence >= fact.sequence) || fact.expires_in == 0 {
            return false;
        }
        let order = fact.name.ordered().is_some();
        if order && self.orders_after(Version(0)).count() >= self.limits.orders {
            return false;
        }
        self.remove(fact.name);
        let ttl = Duration::from_millis(u64::from(fact.expires_in)).min(self.limits.expiry);
        self.toggle(fact.name, fact.sequence);
        let held = Held {
            sequence: fact.sequence,
            expires: now + ttl,
            value: fact.value,
            copies: if order {
                self.limits.order_copies
            } else {
                self.limits.copies
            },
        };
        self.facts.insert(fact.name, held);
        true
    }

    /// Above the bound, drops the facts that expire first, orders last.
    fn evict(&mut self) {
        while self.facts.len() > self.limits.count {
            let key = |(name, held): &(&Name, &Held)| (name.ordered().is_some(), held.expires);
            let first = self.facts.iter().min_by_key(key);
            let Some((name, _)) = first else { return };
            self.remove(*name);
        }
    }

    fn remove(&mut self, name: Name) {
        if let Some(held) = self.facts.remove(&name) {
            self.toggle(name, held.sequence);
        }
    }

    fn toggle(&mut self, name: Name, sequence: u64) {
        let hash = crate::reader::rank(name.origin) ^ name.key.rotate_left(17) ^ mix(sequence);
        self.digest[bucket(name)] ^= (mix(hash) >> 32) as u32;
    }
}

impl Held {
    fn fact(&self, now: Moment, name: Name) -> Fact {
        Fact {
            name,
            sequence: self.sequence,
            expires_in: self.expires.since(now).as_millis() as u32,
            value: self.value.clone(),
        }
    }
}

fn bucket(name: Name) -> usize {
    (mix(crate::reader::rank(name.origin) ^ name.key) % BUCKETS as u64) as usize
}

/// Multiplicative hashing by the golden ratio, enough to tell sets apart.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value ^ (value >> 29)
}

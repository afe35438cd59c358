//! The bounded sample of peers per distance.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};
use sesamerock_base::time::Moment;

use super::{Distance, Heard, Peer, Place};

/// Entries per distance that are kept even if they fail, so that a node that
/// was cut off for long still knows whom to try after the cut.
const LAST_RESORT: usize = 3;

/// Addresses that failed recently and are not accepted back from hearsay.
const FAILED_LIMIT: usize = 32;

/// Pause before a failed entry of the last resort is tried again.
const RETRY: Duration = Duration::from_secs(2);

/// Bounds of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Entries of the own zone.
    pub zone: usize,
    /// Entries of other zones of the region.
    pub region: usize,
    /// Entries of other regions.
    pub world: usize,
    /// Entries per distance from settings and from the VM list, each.
    pub seeds: usize,
    /// An entry that nobody heard from for longer is replaced first, and not
    /// accepted from others.
    pub stale: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            zone: 16,
            region: 12,
            world: 16,
            seeds: 8,
            stale: Duration::from_mins(2),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    peer: Peer,
    heard: Heard,
    failed: Option<Moment>,
}

/// A bounded random sample of peers.
#[derive(Clone, Debug)]
pub struct View {
    me: Peer,
    limits: Limits,
    classes: [Vec<Entry>; 3],
    seeds: Vec<Peer>,
    vms: Vec<Peer>,
    failed: Vec<(SocketAddr, Moment)>,
}

impl View {
    /// Makes the view of a node, empty but for the seeds of its settings.
    pub fn new(me: Peer, limits: Limits, seeds: impl IntoIterator<Item = Peer>) -> Self {
        let seeds = seeds
            .into_iter()
            .filter(|seed| seed.address != me.address)
            .collect();
        Self {
            me,
            limits,
            classes: [const { Vec::new() }; 3],
            seeds,
            vms: Vec::new(),
            failed: Vec::new(),
        }
    }

    /// Returns this node's own entry.
    pub fn me(&self) -> Peer {
        self.me
    }

    /// Marks this node as leaving, so that peers stop choosing it.
    pub fn leave(&mut self) {
        self.me.leaving = true;
    }

    /// Returns the distance of a place from this node.
    pub fn distance(&self, place: Place) -> Distance {
        self.me.place.distance(place)
    }

    /// Replaces the sample of the VM list, which lags and is only a hint.
    ///
    /// A bounded random part of it is kept as seeds; leaving VMs are marked.
    pub fn vms(&mut self, list: impl IntoIterator<Item = Peer>, rng: &mut impl Rng) {
        let mut samples = [const { Vec::new() }; 3];
        let mut seen = [0_usize; 3];
        for peer in list {
            if peer.address == self.me.address {
                continue;
            }
            if peer.leaving {
                self.mark_leaving(peer.address);
                continue;
            }
            let class = self.distance(peer.place) as usize;
            seen[class] += 1;
            reservoir(
                &mut samples[class],
                peer,
                seen[class],
                self.limits.seeds,
                rng,
            );
        }
        self.vms = samples.into_iter().flatten().collect();
    }

    /// Returns whether a peer or seed of another zone is known.
    pub fn knows_others(&self) -> bool {
        let [_, region, world] = &self.classes;
        let mut hints = self.seeds.iter().chain(&self.vms);
        !region.is_empty()
            || !world.is_empty()
            || hints.any(|seed| self.distance(seed.place) != Distance::Zone)
    }

    /// Notes a message received from a peer itself.
    pub fn heard(&mut self, now: Moment, peer: Peer, rng: &mut impl Rng) {
        self.failed.retain(|(address, _)| *address != peer.address);
        self.insert(now, Peer { age: 0, ..peer }, rng);
    }

    /// Adds entries that a peer sent.
    pub fn merge(&mut self, now: Moment, peers: &[Peer], rng: &mut impl Rng) {
        for peer in peers {
            if self.acceptable(now, peer) {
                self.insert(now, *peer, rng);
            }
        }
    }

    /// Notes that a request to a peer failed.
    pub fn failed(&mut self, now: Moment, address: SocketAddr) {
        if self.failed.len() == FAILED_LIMIT {
            self.failed.remove(0);
        }
        self.failed.push((address, now));
        for class in &mut self.classes {
            let Some(at) = class.iter().position(|e| e.peer.address == address) else {
                continue;
            };
            if class.len() > LAST_RESORT {
                class.swap_remove(at);
            } else {
                class[at].failed = Some(now);
            }
        }
    }

    /// Chooses a random live entry of a distance that is not excluded.
    pub fn pick(
        &self,
        now: Moment,
        distance: Distance,
        exclude: &[SocketAddr],
        rng: &mut impl Rng,
    ) -> Option<Peer> {
        let usable = |entry: &&Entry| {
            let resting = entry.failed.is_some_and(|at| now.since(at) < RETRY);
            !entry.peer.leaving && !resting && !exclude.contains(&entry.peer.address)
        };
        let class = &self.classes[distance as usize];
        class.iter().filter(usable).choose(rng).map(|e| e.peer)
    }

    /// Chooses the entry of a distance that was not heard from for longest.
    ///
    /// Asking the oldest finds dead entries soonest.
    pub fn oldest(&self, now: Moment, distance: Distance) -> Option<Peer> {
        let usable = |entry: &&Entry| {
            let resting = entry.failed.is_some_and(|at| now.since(at) < RETRY);
            !entry.peer.leaving && !resting
        };
        let class = &self.classes[distance as usize];
        let oldest = class.iter().filter(usable).min_by_key(|e| e.heard);
        oldest.map(|e| e.peer)
    }

    /// Chooses a seed of a distance, from the VM list or from settings.
    pub fn seed(&self, distance: Distance, rng: &mut impl Rng) -> Option<Peer> {
        let fits = |seed: &&Peer| self.distance(seed.place) == distance;
        let listed = self.vms.iter().filter(fits).choose(rng);
        let configured = || self.seeds.iter().filter(fits).choose(rng);
        listed.or_else(configured).copied()
    }

    /// Returns up to `each` random entries of every distance for a message.
    pub fn sample(&self, now: Moment, each: usize, rng: &mut impl Rng) -> Vec<Peer> {
        let mut peers = Vec::with_capacity(3 * each);
        for class in &self.classes {
            // Consecutive entries from a random start: their order is random
            // already, since each replaced a random one.
            let start = rng.random_range(0..class.len().max(1));
            let some = class.iter().cycle().skip(start).take(each.min(class.len()));
            peers.extend(some.filter(|e| e.failed.is_none()).map(|e| e.aged(now)));
        }
        peers
    }

    /// Returns the distance of a known entry.
    pub fn find(&self, address: SocketAddr) -> Option<Distance> {
        let has = |distance: &Distance| {
            let class = &self.classes[*distance as usize];
            class.iter().any(|e| e.peer.address == address)
        };
        Distance::ALL.into_iter().find(has)
    }

    /// Returns the number of entries of a distance.
    pub fn len(&self, distance: Distance) -> usize {
        self.classes[distance as usize].len()
    }

    /// Returns whether no entry is held.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(Vec::is_empty)
    }

    /// Yields all entries of a distance.
    pub fn iter(&self, distance: Distance) -> impl Iterator<Item = Peer> {
        self.classes[distance as usize].iter().map(|e| e.peer)
    }

    fn limit(&self, class: usize) -> usize {
        [self.limits.zone, self.limits.region, self.limits.world][class]
    }

    /// Hearsay is refused if it is too old, or if it is older than our own
    /// failure to reach that peer.
    fn acceptable(&self, now: Moment, peer: &Peer) -> bool {
        let age = age_of(peer);
        let failed = self.failed.iter().rfind(|(a, _)| *a == peer.address);
        let outdated = failed.is_some_and(|(_, at)| now.since(*at) <= age);
        peer.address != self.me.address && age <= self.limits.stale && !outdated
    }

    fn insert(&mut self, now: Moment, peer: Peer, rng: &mut impl Rng) {
        if peer.address == self.me.address {
            return;
        }
        let entry = Entry::new(now, peer);
        // A VM that was replaced elsewhere under its old address moves.
        let class = self.distance(peer.place) as usize;
        for (other, entries) in self.classes.iter_mut().enumerate() {
            if other != class {
                entries.retain(|e| e.peer.address != peer.address);
            }
        }
        let limit = self.limit(class);
        let entries = &mut self.classes[class];
        if let Some(old) = entries.iter_mut().find(|e| e.peer.address == peer.address) {
            if entry.heard >= old.heard {
                *old = entry;
            }
        } else if entries.len() < limit {
            entries.push(entry);
        } else if let Some(victim) = victim(entries, now, self.limits.stale, rng) {
            entries[victim] = entry;
        }
    }

    fn mark_leaving(&mut self, address: SocketAddr) {
        let entries = self.classes.iter_mut().flatten();
        for entry in entries.filter(|e| e.peer.address == address) {
            entry.peer.leaving = true;
        }
    }
}

impl Entry {
    fn new(now: Moment, peer: Peer) -> Self {
        Self {
            peer,
            heard: Heard::ago(now, peer.age),
            failed: None,
        }
    }

    fn aged(&self, now: Moment) -> Peer {
        let age = self.heard.tenths(now);
        Peer { age, ..self.peer }
    }
}

fn age_of(peer: &Peer) -> Duration {
    Duration::from_millis(u64::from(peer.age) * 100)
}

/// Chooses what a new entry replaces: one that is failed, leaving or stale, or
/// else a random one, which keeps the sample uniform.
fn victim(entries: &[Entry], now: Moment, stale: Duration, rng: &mut impl Rng) -> Option<usize> {
    let useless = |e: &Entry| e.failed.is_some() || e.peer.leaving || e.heard.age(now) > stale;
    let first = entries.iter().position(useless);
    first.or_else(|| (0..entries.len()).choose(rng))
}

/// One step of reservoir sampling.
fn reservoir(sample: &mut Vec<Peer>, peer: Peer, seen: usize, limit: usize, rng: &mut impl Rng) {
    if sample.len() < limit {
        sample.push(peer);
        return;
    }
    let slot = (0..seen).choose(rng);
    if let Some(slot) = slot.filter(|slot| *slot < limit) {
        sample[slot] = peer;
    }
}

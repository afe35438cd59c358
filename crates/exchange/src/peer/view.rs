//! Bounded random sample of peers per distance.

use std::net::SocketAddr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};
use sesamerock_base::time::Moment;

use super::{Distance, LastSeen, Peer, Place};

/// Entries per distance that are kept even if they fail, so that a node still
/// has peers to try after a long network partition.
const MIN_ENTRIES_PER_DISTANCE: usize = 3;

/// Addresses of failed peers that are remembered. Entries for them that other
/// peers send are accepted only if newer than the failure.
const MAX_RECENT_FAILURES: usize = 32;

/// Time after a failure before a failed entry that was kept is chosen again.
const FAILED_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Bounds of a [`View`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Entries of the node's own zone.
    pub zone: usize,
    /// Entries of other zones of the region.
    pub region: usize,
    /// Entries of other regions.
    pub world: usize,
    /// Entries per distance that are sampled from the VM list as seeds.
    pub seeds: usize,
    /// Highest time since the last message from a peer. Older entries are replaced
    /// first and not accepted from other peers.
    pub max_age: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            zone: 16,
            region: 12,
            world: 16,
            seeds: 8,
            max_age: Duration::from_mins(2),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    peer: Peer,
    last_seen: LastSeen,
    failed_at: Option<Moment>,
}

/// Bounded random sample of peers per distance, with the seeds to fall back to.
#[derive(Clone, Debug)]
pub struct View {
    me: Peer,
    limits: Limits,
    by_distance: [Vec<Entry>; 3],
    seeds: Vec<Peer>,
    vm_list: Vec<Peer>,
    recent_failures: Vec<(SocketAddr, Moment)>,
}

impl View {
    /// Creates the view of node `me` without entries; `seeds` are the peers from
    /// its settings.
    pub fn new(me: Peer, limits: Limits, seeds: impl IntoIterator<Item = Peer>) -> Self {
        let seeds = seeds
            .into_iter()
            .filter(|seed| seed.address != me.address)
            .collect();
        Self {
            me,
            limits,
            by_distance: [const { Vec::new() }; 3],
            seeds,
            vm_list: Vec::new(),
            recent_failures: Vec::new(),
        }
    }

    /// Returns this node's own entry, as its messages carry it.
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

    /// Replaces the seeds that come from the VM list by a bounded random sample
    /// of `list`, and marks entries of leaving VMs.
    ///
    /// The list lags behind, so it is only used to find peers.
    pub fn set_vms(&mut self, list: impl IntoIterator<Item = Peer>, rng: &mut impl Rng) {
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
        self.vm_list = samples.into_iter().flatten().collect();
    }

    /// Returns whether an entry or a seed of another zone is held.
    pub fn knows_other_zones(&self) -> bool {
        let [_, region, world] = &self.by_distance;
        let mut hints = self.seeds.iter().chain(&self.vm_list);
        !region.is_empty()
            || !world.is_empty()
            || hints.any(|seed| self.distance(seed.place) != Distance::Zone)
    }

    /// Records a message received from a peer itself.
    pub fn record_message(&mut self, now: Moment, peer: Peer, rng: &mut impl Rng) {
        self.recent_failures
            .retain(|(address, _)| *address != peer.address);
        self.insert(now, Peer { age: 0, ..peer }, rng);
    }

    /// Adds entries that a peer sent, unless they are too old or older than this
    /// node's last failure to reach the peer.
    pub fn merge(&mut self, now: Moment, peers: &[Peer], rng: &mut impl Rng) {
        for peer in peers {
            if self.acceptable(now, peer) {
                self.insert(now, *peer, rng);
            }
        }
    }

    /// Records that a request to a peer failed. Its entry is removed, unless only
    /// few of its distance are left.
    pub fn record_failure(&mut self, now: Moment, address: SocketAddr) {
        if self.recent_failures.len() == MAX_RECENT_FAILURES {
            self.recent_failures.remove(0);
        }
        self.recent_failures.push((address, now));
        for entries in &mut self.by_distance {
            let Some(at) = entries.iter().position(|e| e.peer.address == address) else {
                continue;
            };
            if entries.len() > MIN_ENTRIES_PER_DISTANCE {
                entries.swap_remove(at);
            } else {
                entries[at].failed_at = Some(now);
            }
        }
    }

    /// Chooses a random entry of a distance that is neither excluded nor leaving
    /// and has not failed within the last 2 s.
    pub fn pick(
        &self,
        now: Moment,
        distance: Distance,
        exclude: &[SocketAddr],
        rng: &mut impl Rng,
    ) -> Option<Peer> {
        let usable = |entry: &&Entry| {
            let recently_failed = entry
                .failed_at
                .is_some_and(|at| now.since(at) < FAILED_RETRY_DELAY);
            !entry.peer.leaving && !recently_failed && !exclude.contains(&entry.peer.address)
        };
        let entries = &self.by_distance[distance as usize];
        entries.iter().filter(usable).choose(rng).map(|e| e.peer)
    }

    /// Chooses the entry of a distance whose last message is oldest.
    ///
    /// A request to that peer finds failed peers soonest.
    pub fn oldest(&self, now: Moment, distance: Distance) -> Option<Peer> {
        let usable = |entry: &&Entry| {
            let recently_failed = entry
                .failed_at
                .is_some_and(|at| now.since(at) < FAILED_RETRY_DELAY);
            !entry.peer.leaving && !recently_failed
        };
        let entries = &self.by_distance[distance as usize];
        let oldest = entries.iter().filter(usable).min_by_key(|e| e.last_seen);
        oldest.map(|e| e.peer)
    }

    /// Chooses a random seed of a distance from the VM list, or else from the
    /// settings.
    pub fn seed(&self, distance: Distance, rng: &mut impl Rng) -> Option<Peer> {
        let fits = |seed: &&Peer| self.distance(seed.place) == distance;
        let listed = self.vm_list.iter().filter(fits).choose(rng);
        let configured = || self.seeds.iter().filter(fits).choose(rng);
        listed.or_else(configured).copied()
    }

    /// Returns up to `each` random entries of every distance, for a message.
    pub fn sample(&self, now: Moment, each: usize, rng: &mut impl Rng) -> Vec<Peer> {
        let mut peers = Vec::with_capacity(3 * each);
        for entries in &self.by_distance {
            // Consecutive entries from a random start suffice: their order is
            // random, since each replaced a random entry.
            let start = rng.random_range(0..entries.len().max(1));
            let sampled = entries
                .iter()
                .cycle()
                .skip(start)
                .take(each.min(entries.len()));
            peers.extend(
                sampled
                    .filter(|e| e.failed_at.is_none())
                    .map(|e| e.with_age(now)),
            );
        }
        peers
    }

    /// Returns the distance of the entry with an address, or `None` without
    /// one.
    pub fn distance_to(&self, address: SocketAddr) -> Option<Distance> {
        let has = |distance: &Distance| {
            let entries = &self.by_distance[*distance as usize];
            entries.iter().any(|e| e.peer.address == address)
        };
        Distance::ALL.into_iter().find(has)
    }

    /// Returns the number of entries of a distance, failed ones included.
    pub fn len(&self, distance: Distance) -> usize {
        self.by_distance[distance as usize].len()
    }

    /// Returns whether no entry is held.
    pub fn is_empty(&self) -> bool {
        self.by_distance.iter().all(Vec::is_empty)
    }

    /// Yields all entries of a distance, failed ones included.
    pub fn iter(&self, distance: Distance) -> impl Iterator<Item = Peer> {
        self.by_distance[distance as usize].iter().map(|e| e.peer)
    }

    fn limit(&self, class: usize) -> usize {
        [self.limits.zone, self.limits.region, self.limits.world][class]
    }

    /// Returns whether to accept an entry that another peer sent: not if it is too
    /// old, or older than this node's own failure to reach the peer.
    fn acceptable(&self, now: Moment, peer: &Peer) -> bool {
        let age = age_of(peer);
        let failed = self
            .recent_failures
            .iter()
            .rfind(|(a, _)| *a == peer.address);
        let older_than_failure = failed.is_some_and(|(_, at)| now.since(*at) <= age);
        peer.address != self.me.address && age <= self.limits.max_age && !older_than_failure
    }

    fn insert(&mut self, now: Moment, peer: Peer, rng: &mut impl Rng) {
        if peer.address == self.me.address {
            return;
        }
        let entry = Entry::new(now, peer);
        // A VM can be replaced by one in another zone with the same address.
        let class = self.distance(peer.place) as usize;
        for (other, entries) in self.by_distance.iter_mut().enumerate() {
            if other != class {
                entries.retain(|e| e.peer.address != peer.address);
            }
        }
        let limit = self.limit(class);
        let entries = &mut self.by_distance[class];
        if let Some(old) = entries.iter_mut().find(|e| e.peer.address == peer.address) {
            if entry.last_seen >= old.last_seen {
                *old = entry;
            }
        } else if entries.len() < limit {
            entries.push(entry);
        } else if let Some(replaceable) = replaceable(entries, now, self.limits.max_age, rng) {
            entries[replaceable] = entry;
        }
    }

    fn mark_leaving(&mut self, address: SocketAddr) {
        let entries = self.by_distance.iter_mut().flatten();
        for entry in entries.filter(|e| e.peer.address == address) {
            entry.peer.leaving = true;
        }
    }
}

impl Entry {
    fn new(now: Moment, peer: Peer) -> Self {
        Self {
            peer,
            last_seen: LastSeen::from_tenths(now, peer.age),
            failed_at: None,
        }
    }

    fn with_age(&self, now: Moment) -> Peer {
        let age = self.last_seen.age_tenths(now);
        Peer { age, ..self.peer }
    }
}

fn age_of(peer: &Peer) -> Duration {
    Duration::from_millis(u64::from(peer.age) * 100)
}

/// Chooses the entry that a new one replaces: one that failed, is leaving or is
/// older than `max_age`, or else a random one, which keeps the sample uniform.
fn replaceable(
    entries: &[Entry],
    now: Moment,
    max_age: Duration,
    rng: &mut impl Rng,
) -> Option<usize> {
    let is_replaceable =
        |e: &Entry| e.failed_at.is_some() || e.peer.leaving || e.last_seen.age(now) > max_age;
    let first = entries.iter().position(is_replaceable);
    first.or_else(|| (0..entries.len()).choose(rng))
}

/// Adds the `seen`-th element to a uniform sample of at most `limit` elements
/// (reservoir sampling).
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

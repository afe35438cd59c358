//! Shares of workspaces and priorities: whether a new call may compete for a slot, or is refused
//! since it exceeds its share.
//!
//! Each gateway decides alone, from the counts that all gateways report. Nothing is refused while
//! the offered calls are fewer than can start, while slots are free, or without reports. See
//! docs/design/demand.md and docs/notes/shares.md.

pub mod allocation;
pub mod booking;
pub mod gate;
pub mod trend;
pub mod usage;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;

use crate::hash;
use booking::{Bookings, Return};
use gate::Gate;
use trend::Trend;
use usage::{Count, Usage};

/// Calls admitted beyond those that started lately. Some admitted calls find no slot in time, so
/// that without more the starts, and with them the capacity that is seen, would fall on and on.
const PROBE: f64 = 1.08;
/// Starts, in seconds, for which there must be free slots so that nothing is refused: with fewer,
/// the gateways' counts are too old to say whether a slot is free.
const ROOM_SECONDS: f64 = 0.1;
/// Free slots for each gateway with which nothing is refused. One is kept for urgent calls.
pub const ROOM_SLOTS: f64 = 2.0;
/// Further free slots, relative to those for priority 0, that each lower priority needs.
const ROOM_PER_PRIORITY: f64 = 0.5;
/// Time for which a refused call of a higher priority keeps lower ones from taking slots.
const YIELD: Duration = Duration::from_millis(200);
/// Time for which expired reports remain in use while there are no others.
const RETAINED: Duration = Duration::from_secs(10);
/// Multiple of its usual demand up to which a workspace's demand counts as usual in an overload, so
/// that a surge hardly raises its weight, also while the average is young.
const MAX_GROWTH: f64 = 1.1;
/// Least weight of a workspace, relative to the mean: one that is new has no usual demand.
const MIN_WEIGHT: f64 = 0.1;
/// Part of the capacity for callers that come back.
const RETURN_PART: f64 = 1.0 / 3.0;
/// Most seconds between two bookings of a workspace and priority.
const MAX_RETURN_GAP: f64 = 3_600.0;
/// Steps to which the times of bookings are rounded.
const BOOKING_STEP: Duration = Duration::from_millis(100);

/// Workspace and priority of calls.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Key {
    /// Hash of the workspace's name, since indexes differ between versions of the table; 0 without
    /// a workspace.
    pub workspace: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
}

/// Returns the hash of a workspace's name by which it is counted.
pub fn workspace(name: &str) -> u32 {
    hash::of(name) as u32
}

/// Where a call comes from, for its share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Origin {
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// Hash of the request, the same for repeats.
    pub request: u32,
    /// Whether an earlier slot request of the same call has been counted.
    pub is_charged: bool,
}

impl Origin {
    /// Returns what a call of this priority is counted as.
    pub const fn key(self, priority: u8) -> Key {
        Key {
            workspace: self.workspace,
            priority,
        }
    }
}

/// Shares as operators set them.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Part of the mean ratio of served to offered calls that each workspace, and within it each
    /// priority, keeps.
    pub floor: f64,
    /// Weights of workspaces, relative to the usual demand of the mean workspace.
    pub weights: HashMap<u32, f64>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            floor: 0.4,
            weights: HashMap::new(),
        }
    }
}

/// What a gateway tells the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Calls of the sender, by the hash of the service's name.
    pub services: Vec<(u32, usage::Service)>,
    /// Bookings made lately: hash of the request, and time left in units of 10 ms.
    pub booked: Vec<(u32, u16)>,
    /// Bookings used lately.
    pub used: Vec<u32>,
}

/// Slots of a service as this gateway knows them.
#[derive(Clone, Copy, Debug)]
pub struct Slots {
    /// Streams that may still start.
    pub free: f64,
    /// Calls that run.
    pub running: f64,
    /// Gateways that share them.
    pub gateways: usize,
}

/// Decision on a new call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The call competes for a slot; `returns` if it comes back as it was told, and goes first.
    Admit {
        /// Whether a booking was used.
        returns: bool,
    },
    /// The call exceeds its share and is refused with this retry time.
    Refuse(Duration),
}

/// What is known about the calls of a service at all gateways.
#[derive(Debug, Default)]
struct Service {
    usage: Usage,
    gates: HashMap<Key, Gate>,
    trend: Trend,
    /// Fractions that are admitted.
    fractions: BTreeMap<Key, f64>,
    /// Mean fractions by priority, for workspaces without recent calls; 1 for those that are
    /// missing.
    mean_fractions: BTreeMap<u8, f64>,
    /// Calls per second that each workspace and priority gets from all gateways.
    granted: BTreeMap<Key, f64>,
    /// Part of the demand that counts as usual; 1 for workspaces that are missing.
    usual_parts: HashMap<u32, f64>,
    /// Starts and offered calls per second, at all gateways, and what can start.
    totals: Totals,
    next_return: HashMap<Key, Moment>,
    computed: Option<u64>,
    turned_away: [Option<Moment>; 8],
}

/// Calls per second of a service at all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    /// New calls.
    pub offered: f64,
    /// Calls sent to upstreams.
    pub started: f64,
    /// Calls that can start; 0 while it is not known.
    pub capacity: f64,
}

#[derive(Debug)]
struct PeerReport {
    received: Moment,
    services: Vec<(u32, usage::Service)>,
}

/// Demand of all services, and the shares computed from it.
#[derive(Debug)]
pub struct Demand {
    settings: Settings,
    /// Time after which the report of a gateway expires.
    ttl: Duration,
    longest_return: Duration,
    seed: u64,
    services: HashMap<u32, Service>,
    peers: HashMap<String, PeerReport>,
    /// Whether another gateway has ever been heard.
    has_heard: bool,
    bookings: Bookings,
}

impl Demand {
    /// Creates the state of a gateway that has just started.
    pub fn new(settings: Settings, ttl: Duration, longest_return: Duration, seed: u64) -> Self {
        Self {
            settings,
            ttl,
            longest_return,
            seed,
            services: HashMap::new(),
            peers: HashMap::new(),
            has_heard: false,
            bookings: Bookings::default(),
        }
    }

    /// Returns what the other gateways are to know.
    pub fn report(&mut self, now: Moment) -> Report {
        let (booked, used) = self.bookings.news(now);
        let services = self.services.iter_mut().map(|(name, service)| {
            service.advance(now);
            (*name, service.usage.report())
        });
        Report {
            services: services.collect(),
            booked,
            used,
        }
    }

    /// Replaces what another gateway has told.
    pub fn learn(&mut self, gateway: &str, report: Report, now: Moment) {
        self.bookings.learn(&report.booked, &report.used, now);
        let peer = PeerReport {
            received: now,
            services: report.services,
        };
        self.peers.insert(gateway.to_owned(), peer);
        self.has_heard = true;
    }

    /// Drops what is no longer used.
    pub fn drop_expired(&mut self, now: Moment) {
        self.peers
            .retain(|_, peer| now.since(peer.received) < RETAINED);
        self.bookings.drop_expired(now);
    }

    /// Returns whether [`Demand::judge`] needs the slots of a service: once in each step, and while
    /// the share of the call is limited.
    pub fn needs_slots(&self, name: &str, key: Key, now: Moment) -> bool {
        let service = self.services.get(&workspace(name));
        service.is_none_or(|service| {
            service.computed != Some(usage::step(now)) || service.fraction(key) < 1.0
        })
    }

    /// Counts a new call, and decides whether it may compete for a slot. Without `slots`, no call
    /// may be refused now.
    pub fn judge(
        &mut self,
        name: &str,
        key: Key,
        request: u32,
        slots: Option<Slots>,
        now: Moment,
    ) -> Decision {
        let id = workspace(name);
        self.refresh(id, slots, now);
        let found = self.bookings.find(request, now);
        let phase = hash::combine(
            self.seed,
            u64::from(key.workspace) << 8 | u64::from(key.priority),
        );
        let service = self.services.entry(id).or_default();
        let fraction = service.fraction(key);
        let gate = service.gates.entry(key);
        let gate = gate.or_insert_with(|| Gate::new((phase >> 11) as f64 / (1_u64 << 53) as f64));
        let is_open = fraction >= 1.0
            || slots.is_none_or(|slots| service.totals.is_roomy(slots, key.priority));
        if is_open {
            service.usage.offer(key);
            if found != Return::None {
                self.bookings.take(request, now);
            }
            return Decision::Admit { returns: false };
        }
        match found {
            Return::Due => {
                service.usage.offer(key);
                gate.charge(fraction);
                self.bookings.take(request, now);
                return Decision::Admit { returns: true };
            }
            // Not counted as offered, or hammering would raise the floor of its workspace.
            Return::Early(left) => {
                gate.charge(0.0);
                return Decision::Refuse(left);
            }
            Return::None => {}
        }
        service.usage.offer(key);
        if gate.admits(fraction) {
            return Decision::Admit { returns: false };
        }
        let gateways = slots.map_or(1, |slots| slots.gateways);
        Decision::Refuse(self.book(id, key, request, gateways, now))
    }

    /// Books the return of a refused call, and returns the time until then.
    fn book(&mut self, id: u32, key: Key, request: u32, gateways: usize, now: Moment) -> Duration {
        let longest = self.longest_return;
        let Some(service) = self.services.get_mut(&id) else {
            return longest;
        };
        let granted = service.granted.get(&key).copied().unwrap_or_default();
        let rate = granted * RETURN_PART / gateways.max(1) as f64;
        let first = now + BOOKING_STEP;
        let due = service
            .next_return
            .get(&key)
            .map_or(first, |next| (*next).max(first));
        if rate <= 0.0 || due > now + longest || !self.bookings.add(request, due, now) {
            return longest;
        }
        let gap = Duration::from_secs_f64((1.0 / rate).min(MAX_RETURN_GAP));
        service.next_return.insert(key, due + gap);
        let step = BOOKING_STEP.as_micros() as u64;
        Duration::from_micros((due.since(now).as_micros() as u64).div_ceil(step) * step)
    }

    /// Counts a call that is sent to an upstream.
    pub fn start(&mut self, name: &str, key: Key, now: Moment) {
        let service = self.services.entry(workspace(name)).or_default();
        service.advance(now);
        service.usage.start(key);
    }

    /// Records that a call found no slot in time.
    pub fn turn_away(&mut self, name: &str, priority: u8, now: Moment) {
        let service = self.services.entry(workspace(name)).or_default();
        if let Some(last) = service.turned_away.get_mut(usize::from(priority)) {
            *last = Some(now);
        }
    }

    /// Returns whether a call of a higher priority found no slot lately, so that one of this
    /// priority leaves the next slot to those that follow.
    pub fn yields(&self, name: &str, priority: u8, now: Moment) -> bool {
        let service = self.services.get(&workspace(name));
        service.is_some_and(|service| {
            let higher = service.turned_away.iter().take(usize::from(priority));
            higher.flatten().any(|at| now.since(*at) < YIELD)
        })
    }

    /// Returns the fraction of calls that is admitted.
    pub fn fraction(&self, name: &str, key: Key) -> f64 {
        let service = self.services.get(&workspace(name));
        service.map_or(1.0, |service| service.fraction(key))
    }

    /// Returns whether more calls are offered than can start.
    pub fn is_overloaded(&self, name: &str) -> bool {
        let service = self.services.get(&workspace(name));
        service.is_some_and(|service| !service.fractions.is_empty())
    }

    /// Returns the calls of a service at all gateways.
    pub fn totals(&self, name: &str) -> Totals {
        let service = self.services.get(&workspace(name));
        service.map(|service| service.totals).unwrap_or_default()
    }

    /// Returns the number of bookings that are kept.
    pub fn bookings(&self) -> usize {
        self.bookings.count()
    }

    /// Computes the shares of a service, once in each step.
    fn refresh(&mut self, id: u32, slots: Option<Slots>, now: Moment) {
        let service = self.services.entry(id).or_default();
        service.advance(now);
        if service.computed == Some(usage::step(now)) {
            return;
        }
        service.computed = Some(usage::step(now));
        let slots = slots.filter(|_| service.usage.is_complete());
        let known = slots.and_then(|slots| {
            let own = service.usage.report();
            let is_known = slots.gateways <= 1 || self.has_heard;
            let sums = gather(&self.peers, id, &own, slots.gateways, self.ttl, now);
            is_known.then_some((sums, slots))
        });
        service.compute(known, &self.settings);
    }
}

/// Adds the reports of other gateways to the own counts. Cut off from all others, a gateway goes on
/// with what they told last, and then takes itself for one of equal ones.
fn gather(
    peers: &HashMap<String, PeerReport>,
    id: u32,
    own: &usage::Service,
    gateways: usize,
    ttl: Duration,
    now: Moment,
) -> Sums {
    let mut sums = Sums::default();
    if gateways <= 1 || peers.is_empty() {
        sums.add(own, gateways as f64);
        return sums;
    }
    sums.add(own, 1.0);
    let is_fresh = |peer: &PeerReport| now.since(peer.received) < ttl;
    let any_fresh = peers.values().any(is_fresh);
    for peer in peers.values().filter(|peer| !any_fresh || is_fresh(peer)) {
        let service = peer.services.iter().find(|(one, _)| *one == id);
        if let Some((_, service)) = service {
            sums.add(service, 1.0);
        }
    }
    sums
}

/// Calls of a service, added up.
#[derive(Debug, Default)]
struct Sums {
    offered: BTreeMap<Key, f64>,
    started: f64,
    usual: HashMap<u32, f64>,
}

impl Sums {
    fn add(&mut self, service: &usage::Service, factor: f64) {
        for (key, Count { offered, started }) in &service.counts {
            self.started += f64::from(*started) * factor;
            if *offered > 0 {
                *self.offered.entry(*key).or_default() += f64::from(*offered) * factor;
            }
        }
        for (workspace, usual) in &service.usual {
            *self.usual.entry(*workspace).or_default() += f64::from(*usual) * factor;
        }
    }

    fn weights(&self, demand: &BTreeMap<Key, f64>, settings: &Settings) -> BTreeMap<u32, f64> {
        let mean = self.usual.values().sum::<f64>() / self.usual.len().max(1) as f64;
        let workspaces = demand.keys().map(|key| key.workspace);
        let weights = workspaces.map(|workspace| {
            let usual = self.usual.get(&workspace).copied().unwrap_or_default();
            let weight = match settings.weights.get(&workspace) {
                Some(weight) => weight * mean,
                None => usual.max(mean * MIN_WEIGHT),
            };
            (workspace, weight)
        });
        weights.collect()
    }
}

/// Returns the fraction, or 1 if it is only by rounding less.
fn whole(fraction: f64) -> f64 {
    if fraction > 1.0 - 1e-6 { 1.0 } else { fraction }
}

impl Totals {
    /// Returns whether so many slots are free that a call need not be refused for others.
    fn is_roomy(&self, slots: Slots, priority: u8) -> bool {
        let least = 1.0 + ROOM_PER_PRIORITY * f64::from(priority);
        slots.free >= least * (self.started * ROOM_SECONDS).max(slots.gateways as f64 * ROOM_SLOTS)
    }
}

impl Service {
    fn fraction(&self, key: Key) -> f64 {
        let own = self.fractions.get(&key);
        let fraction = own.or_else(|| self.mean_fractions.get(&key.priority));
        fraction.copied().unwrap_or(1.0)
    }

    fn advance(&mut self, now: Moment) {
        let parts = &self.usual_parts;
        let part = |workspace: u32| parts.get(&workspace).copied().unwrap_or(1.0);
        self.usage.advance(now, part);
    }

    /// Computes the shares from all that is known; `None` if nothing may be refused.
    fn compute(&mut self, known: Option<(Sums, Slots)>, settings: &Settings) {
        self.fractions.clear();
        self.mean_fractions.clear();
        self.granted.clear();
        self.usual_parts.clear();
        self.totals = Totals::default();
        let Some((sums, slots)) = known else {
            return;
        };
        let demand = self.trend.update(&sums.offered);
        let offered = demand.values().sum();
        // By Little's law, the calls that run are the starts times their mean duration.
        let capacity = sums.started * (1.0 + slots.free / slots.running.max(1.0)) * PROBE;
        self.totals = Totals {
            offered,
            started: sums.started,
            capacity,
        };
        if sums.started <= 0.0 || offered <= capacity {
            return;
        }
        let weights = sums.weights(demand, settings);
        self.granted = allocation::allocate(capacity, demand, &weights, settings.floor);
        let mut by_priority: BTreeMap<u8, (f64, f64)> = BTreeMap::new();
        for (key, granted) in &self.granted {
            let demand = demand[key].max(f64::MIN_POSITIVE);
            self.fractions.insert(*key, whole(granted / demand));
            let (all, offered) = by_priority.entry(key.priority).or_default();
            *all += granted;
            *offered += demand;
        }
        let means = by_priority.into_iter();
        let means = means.map(|(priority, (granted, demand))| (priority, whole(granted / demand)));
        self.mean_fractions = means.collect();
        self.limit_growth(&sums);
    }

    fn limit_growth(&mut self, sums: &Sums) {
        let mean = sums.usual.values().sum::<f64>() / sums.usual.len().max(1) as f64;
        let mut offered: HashMap<u32, f64> = HashMap::new();
        for (key, calls) in &sums.offered {
            *offered.entry(key.workspace).or_default() += calls;
        }
        for (workspace, offered) in offered {
            let usual = sums.usual.get(&workspace).copied().unwrap_or_default();
            let most = MAX_GROWTH * usual.max(mean * MIN_WEIGHT);
            if offered > most {
                self.usual_parts.insert(workspace, most / offered);
            }
        }
    }
}

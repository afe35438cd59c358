//! Which upstream runs a call, which calls wait, and which are refused.
//!
//! A [`AdmissionController`] has no clock and no I/O. It counts the calls that this entry has at
//! each upstream, adds what the other entries say of theirs, and keeps the calls
//! that wait in a [`Queue`] that is fair between workspaces. See
//! `docs/notes/platform.md` for the load patterns that it answers.

mod health;
pub mod pace;
mod rate;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::key::Workspace;
use sesamerock_base::time::Moment;
use sesamerock_limit::queue::{self, Item, Queue};

use crate::table::Engine;
use crate::upstream::Record;
use health::Health;
pub use health::HealthSignal;
use pace::Pace;
use rate::{CompletionRate, Window};

/// Bounds of a [`AdmissionController`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Calls beyond its slots that an upstream may be given. One keeps a slot from
    /// idling for the round trip between the end of a call and the next.
    pub ahead: u32,
    /// How long what another entry said of its calls counts. Seven intervals at which
    /// entries tell each other, and less than the silence after which one is gone.
    pub peer_load_ttl: Duration,
    /// Calls a cold upstream may be given beyond its rate, by all entries together.
    pub cold_slack: f64,
    /// Part of the cold bound that entries use, since they count on their own.
    pub cold_share: f64,
    /// Longest time that a refused caller is told to stay away. Groups form anew, and
    /// cold upstreams start, within two to four seconds.
    pub max_retry_after: Duration,
    /// The queue.
    pub queue: queue::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ahead: 1,
            peer_load_ttl: Duration::from_millis(1_500),
            cold_slack: 5.0,
            cold_share: 0.8,
            max_retry_after: Duration::from_millis(2_500),
            queue: queue::Settings::default(),
        }
    }
}

/// An upstream that calls of a service may go to now.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The upstream.
    pub record: Arc<Record>,
    /// Until when it is cold.
    pub cold_until: Moment,
}

/// The upstreams of one service that calls may go to.
#[derive(Clone, Debug, Default)]
pub struct UpstreamPool {
    /// The upstreams.
    pub candidates: Vec<Candidate>,
    /// Calls a second that a cold upstream bears; 0 if it bears all.
    pub cold_rate: f64,
    /// Entries that share the upstreams, this one included.
    pub gateways: usize,
    /// Figures of the upstreams, if they are engines.
    pub engine: Option<Engine>,
}

/// A call that asks for an upstream.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Number of the call; unique in the process.
    pub call: u64,
    /// Service.
    pub service: Arc<str>,
    /// Workspace that is served.
    pub workspace: Workspace,
    /// Cost in tokens; 1 for calls of plain services.
    pub tokens: u64,
    /// Priority level; 0 goes first.
    pub urgency: u8,
    /// The moment after which an upstream is of no use.
    pub latest: Moment,
    /// Longest pause between two events, for streams.
    pub pause: Option<Duration>,
    /// Upstreams that this call has been at.
    pub exclude: Vec<Arc<str>>,
}

/// What becomes of a call that asks.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// It goes to this upstream, where it is counted.
    Place(Arc<Record>),
    /// It waits; [`AdmissionController::poll`] names it later.
    Wait,
    /// It is refused at once.
    Refuse(Refusal),
}

/// Why a call is refused, and when its caller may come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// How long the caller is told to stay away.
    pub after: Duration,
}

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No upstream of the service is known that the call may go to.
    Nowhere,
    /// The wait for a slot would be longer than the call can bear.
    Full,
    /// The wait was longer than the call could bear.
    Expired,
}

impl Reason {
    /// Returns the word used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Nowhere => "no_upstream",
            Self::Full => "full",
            Self::Expired => "wait_expired",
        }
    }
}

/// What this entry knows of one upstream.
#[derive(Debug, Default)]
struct UpstreamLoad {
    /// Calls that this entry has there.
    local: u32,
    /// Calls that the other entries have there.
    remote: u32,
    health: Health,
    /// Starts while it was cold.
    cold_starts: Window,
}

/// What another entry said of its calls.
#[derive(Debug)]
struct PeerLoad {
    received: Moment,
    loads: Vec<(Arc<str>, u32)>,
}

/// The calls of one service that wait.
#[derive(Debug)]
struct ServiceQueue {
    queue: Queue,
    requests: HashMap<u64, SlotRequest>,
    completions: CompletionRate,
    /// Calls that lost their place and are not told yet.
    evicted: Vec<u64>,
}

/// Outcome of a [`AdmissionController::poll`].
#[derive(Debug, Default)]
pub struct Poll {
    /// Calls with the upstreams that they go to.
    pub placed: Vec<(u64, Arc<Record>)>,
    /// Calls that waited too long.
    pub refused: Vec<(u64, Refusal)>,
}

/// The calls of one entry, running and waiting.
#[derive(Debug)]
pub struct AdmissionController {
    settings: Settings,
    upstreams: HashMap<Arc<str>, UpstreamLoad>,
    peer_loads: HashMap<String, PeerLoad>,
    queues: HashMap<Arc<str>, ServiceQueue>,
    pools: HashMap<Arc<str>, UpstreamPool>,
    paces: HashMap<Arc<str>, Pace>,
    zone: Arc<str>,
}

impl AdmissionController {
    /// Makes the board of an entry in a zone.
    pub fn new(settings: Settings, zone: Arc<str>) -> Self {
        Self {
            settings,
            zone,
            upstreams: HashMap::new(),
            peer_loads: HashMap::new(),
            queues: HashMap::new(),
            pools: HashMap::new(),
            paces: HashMap::new(),
        }
    }

    /// Takes in which upstreams calls may go to, by service.
    pub fn set_pools(&mut self, pools: HashMap<Arc<str>, UpstreamPool>) {
        let listed: HashSet<&Arc<str>> = pools
            .values()
            .flat_map(|pool| pool.candidates.iter().map(|candidate| &candidate.record.id))
            .collect();
        self.upstreams
            .retain(|id, upstream| upstream.local > 0 || listed.contains(id));
        self.pools = pools;
    }

    /// Takes in what another entry says of its calls.
    pub fn set_peer_loads(&mut self, gateway: &str, loads: Vec<(Arc<str>, u32)>, now: Moment) {
        let peer_load = PeerLoad {
            received: now,
            loads,
        };
        self.peer_loads.insert(gateway.to_owned(), peer_load);
        let ttl = self.settings.peer_load_ttl;
        self.peer_loads
            .retain(|_, peer| now.since(peer.received) < ttl);
        for upstream in self.upstreams.values_mut() {
            upstream.remote = 0;
        }
        for (id, load) in self.peer_loads.values().flat_map(|peer| &peer.loads) {
            self.upstreams.entry(Arc::clone(id)).or_default().remote += load;
        }
    }

    /// Returns the calls that this entry has, by upstream.
    pub fn loads(&self) -> Vec<(Arc<str>, u32)> {
        let loaded = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.local > 0);
        loaded
            .map(|(id, upstream)| (Arc::clone(id), upstream.local))
            .collect()
    }

    /// Takes in the time between two events of a stream.
    pub fn observe_gap(&mut self, service: &Arc<str>, gap: Duration, now: Moment) {
        let Some(pool) = self.pools.get(service) else {
            return;
        };
        if let Some(engine) = &pool.engine {
            let mean_load = self.mean_load(pool);
            let pace = self.paces.entry(Arc::clone(service)).or_default();
            pace.observe(engine, gap, mean_load, now);
        }
    }

    /// Returns the mean number of calls at the upstreams of a pool.
    fn mean_load(&self, pool: &UpstreamPool) -> f64 {
        let candidates = pool.candidates.iter();
        let calls = candidates.filter_map(|candidate| self.upstreams.get(&candidate.record.id));
        let calls: u32 = calls.map(|upstream| upstream.local + upstream.remote).sum();
        f64::from(calls) / pool.candidates.len().max(1) as f64
    }

    /// Returns whether one more stream would make all of a pool pause too long.
    fn exceeds_pause(&self, pool: &UpstreamPool, request: &SlotRequest, now: Moment) -> bool {
        let (Some(engine), Some(pause)) = (&pool.engine, request.pause) else {
            return false;
        };
        let pace = self
            .paces
            .get(&request.service)
            .copied()
            .unwrap_or_default();
        self.mean_load(pool) >= pace.limit(engine, pause, now)
    }

    /// Returns the number of calls that run, and of those that wait.
    pub fn totals(&self) -> (u32, usize) {
        let running = self.upstreams.values().map(|upstream| upstream.local).sum();
        let queued = self
            .queues
            .values()
            .map(|waiting| waiting.queue.len())
            .sum();
        (running, queued)
    }

    /// Decides on a call.
    pub fn request(&mut self, request: SlotRequest, now: Moment) -> Verdict {
        let queued = self
            .queues
            .get(&request.service)
            .map_or(0, |waiting| waiting.queue.len());
        if queued == 0
            && let Some(record) = self.choose(&request, now)
        {
            self.start_call(&record, now);
            return Verdict::Place(record);
        }
        let pool = self.pools.get(&request.service);
        if pool.is_none_or(|pool| pool.candidates.is_empty()) {
            return Verdict::Refuse(self.refusal(Reason::Nowhere, &request.service, now));
        }
        let waiting = self
            .queues
            .entry(Arc::clone(&request.service))
            .or_insert_with(|| ServiceQueue {
                queue: Queue::new(self.settings.queue),
                requests: HashMap::new(),
                completions: CompletionRate::default(),
                evicted: Vec::new(),
            });
        // The next slot comes free after one interval between ends, however short
        // the queue is.
        let wait = waiting.completions.time_for(queued + 1, now);
        if wait.is_some_and(|wait| now + wait > request.latest) || request.latest <= now {
            return Verdict::Refuse(self.refusal(Reason::Full, &request.service, now));
        }
        let item = Item {
            call: request.call,
            workspace: request.workspace,
            tokens: request.tokens,
            urgency: request.urgency,
            latest: request.latest,
        };
        let pushed = waiting.queue.push(item);
        match pushed {
            queue::Push::Queued | queue::Push::Duplicate => {}
            queue::Push::Full => {
                return Verdict::Refuse(self.refusal(Reason::Full, &request.service, now));
            }
            queue::Push::Evicted(evicted) => waiting.evicted.push(evicted.call),
        }
        waiting.requests.insert(request.call, request);
        Verdict::Wait
    }

    /// Gives free slots to the calls that wait, and drops those that waited too
    /// long.
    pub fn poll(&mut self, now: Moment) -> Poll {
        let mut poll = Poll::default();
        let services: Vec<Arc<str>> = self.queues.keys().cloned().collect();
        for service in services {
            self.poll_service(&service, now, &mut poll);
        }
        poll
    }

    fn poll_service(&mut self, service: &Arc<str>, now: Moment, poll: &mut Poll) {
        let Some(waiting) = self.queues.get_mut(service) else {
            return;
        };
        let mut refused: Vec<(u64, Reason)> = Vec::new();
        for call in waiting.evicted.drain(..) {
            waiting.requests.remove(&call);
            refused.push((call, Reason::Full));
        }
        while let Some(item) = waiting.queue.expired(now) {
            waiting.requests.remove(&item.call);
            refused.push((item.call, Reason::Expired));
        }
        for (call, reason) in refused {
            let refusal = self.refusal(reason, service, now);
            poll.refused.push((call, refusal));
        }
        while let Some((call, record)) = self.place_next(service, now) {
            poll.placed.push((call, record));
        }
    }

    /// Gives an upstream to the call that is served next, if one has room.
    fn place_next(&mut self, service: &Arc<str>, now: Moment) -> Option<(u64, Arc<Record>)> {
        let waiting = self.queues.get_mut(service)?;
        let item = waiting.queue.peek()?;
        let request = waiting.requests.get(&item.call)?.clone();
        let record = self.choose(&request, now)?;
        self.start_call(&record, now);
        let waiting = self.queues.get_mut(service)?;
        waiting.queue.pop();
        waiting.requests.remove(&request.call);
        Some((request.call, record))
    }

    /// Takes a call that waits out of its queue. Returns whether it was there.
    pub fn cancel(&mut self, service: &str, call: u64) -> bool {
        let Some(waiting) = self.queues.get_mut(service) else {
            return false;
        };
        waiting.requests.remove(&call);
        waiting.queue.remove(call).is_some()
    }

    /// Takes in that a call has ended at an upstream.
    pub fn end_call(&mut self, record: &Record, signal: HealthSignal, now: Moment) {
        if let Some(waiting) = self.queues.get_mut(&record.service) {
            waiting.completions.record(now);
        }
        if let Some(upstream) = self.upstreams.get_mut(&record.id) {
            upstream.local = upstream.local.saturating_sub(1);
            upstream.health.record(signal, now);
        }
    }

    /// Returns when to poll next although nothing happens: an upstream may be tried
    /// again, or a call has waited too long.
    pub fn next_wake(&self) -> Option<Moment> {
        let queues = self.queues.values();
        queues
            .filter_map(|waiting| waiting.queue.next_deadline())
            .min()
    }

    /// Chooses the upstream with the most room, in the entry's zone if equal.
    fn choose(&self, request: &SlotRequest, now: Moment) -> Option<Arc<Record>> {
        let pool = self.pools.get(&request.service)?;
        if self.exceeds_pause(pool, request, now) {
            return None;
        }
        let idle = UpstreamLoad::default();
        let mut best: Option<(f64, &Arc<Record>)> = None;
        for candidate in &pool.candidates {
            let record = &candidate.record;
            if request.exclude.contains(&record.id) {
                continue;
            }
            let upstream = self.upstreams.get(&record.id).unwrap_or(&idle);
            let load = upstream.local + upstream.remote;
            if load >= record.slots + self.settings.ahead
                || !upstream.health.is_usable(upstream.local, now)
            {
                continue;
            }
            if candidate.cold_until > now
                && pool.cold_rate > 0.0
                && f64::from(upstream.cold_starts.count(now)) + 1.0 > self.cold_start_limit(pool)
            {
                continue;
            }
            let zone_penalty = if record.zone == self.zone { 0.0 } else { 0.25 };
            let score = (f64::from(load) + zone_penalty) / f64::from(record.slots.max(1))
                + upstream.health.penalty(now);
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, record));
            }
        }
        best.map(|(_, record)| Arc::clone(record))
    }

    /// Returns the calls a second that this entry may send to a cold upstream.
    fn cold_start_limit(&self, pool: &UpstreamPool) -> f64 {
        let total = pool.cold_rate * self.settings.cold_share + self.settings.cold_slack;
        (total / pool.gateways.max(1) as f64).max(1.0)
    }

    fn start_call(&mut self, record: &Arc<Record>, now: Moment) {
        let upstream = self.upstreams.entry(Arc::clone(&record.id)).or_default();
        upstream.local += 1;
        upstream.cold_starts.push(now);
        upstream.health.start_call(now);
    }

    /// Returns the refusal of a call that has lost its place in the queue, or that an
    /// upstream had no room for.
    pub fn full_refusal(&self, service: &str, now: Moment) -> Refusal {
        self.refusal(Reason::Full, service, now)
    }

    fn refusal(&self, reason: Reason, service: &str, now: Moment) -> Refusal {
        let max_retry_after = self.settings.max_retry_after;
        let wait = self
            .queues
            .get(service)
            .and_then(|waiting| waiting.completions.time_for(waiting.queue.len() + 1, now));
        Refusal {
            reason,
            // Where nothing has ended lately, the service is down, and an early return
            // would only be refused again.
            after: wait.unwrap_or(max_retry_after).min(max_retry_after),
        }
    }
}

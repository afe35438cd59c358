//! Admission control: which upstream runs a call, which calls wait, and which are
//! refused.
//!
//! An [`AdmissionController`] has no clock and no I/O. It counts the calls of this
//! gateway at each upstream, adds the counts that other gateways report, and keeps
//! waiting calls in a [`Queue`] that is fair between workspaces. The load patterns
//! that it is designed for are in `docs/notes/platform.md`.

mod choice;
pub mod cold;
pub mod demand;
pub mod estimate;
pub mod group;
mod health;
pub mod leaving;
pub mod limit;
pub mod misdirected;
pub mod outage;
pub mod pace;
pub mod pause;
mod pool;
mod rate;
mod refusal;
mod share;
mod signal;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::key::Workspace;
use sesamerock_base::time::Moment;
use sesamerock_limit::queue::{self, Item, Queue};

use crate::upstream::Record;
use choice::{Random, Selection};
use demand::{Decision, Demand, Slots};
use estimate::Estimate;
use group::{Availability, Groups, Headroom, Listing, Loads, Pace};
use health::Health;
pub use health::HealthSignal;
use leaving::Leaving;
use limit::Limits;
use misdirected::{Finding, Misdirected};
use pause::Pauses;
pub use pool::{Candidate, UpstreamPool};
use rate::{CompletionRate, StartWindow};
pub use refusal::{Obstacle, Reason, Refusal};
use share::StartShare;

/// Priority level of calls whose answer can no longer be in time; the lowest one.
pub const LATE_URGENCY: u8 = 7;
/// Factor by which an upstream is preferred at which a call of this gateway has just ended.
const FREED_PREFERENCE: f64 = 100.0;
/// Mean deviations by which the slower ones of the first events exceed the mean.
const FIRST_EVENT_DEVIATIONS: f64 = 1.0;
/// Wait for a slot that a stream is always granted, in multiples of its objective.
const MIN_WAIT_OBJECTIVES: f64 = 0.1;
/// Longest wait of a stream for a slot with which its first event can still be in time, in
/// multiples of its objective. The rest is for processing the prompt.
const MAX_WAIT_OBJECTIVES: f64 = 0.7;

/// As [`MIN_WAIT_OBJECTIVES`], where calls are admitted by shares. At 14 gateways that start 255 calls
/// a second, a slot becomes free at a gateway every 55 ms; calls that may wait less are mostly lost.
const MIN_SHARED_WAIT_OBJECTIVES: f64 = 0.25;

/// Free slots for each gateway below which calls that can only be late leave them to others.
const SCARCE_SLOTS: f64 = 1.0;

/// Share of the slots for which calls wait until the end of an outage. Their answers will be late,
/// so the rest is for calls that arrive then and can be in time.
const HELD_SLOTS_SHARE: f64 = 0.2;

/// Limits of an [`AdmissionController`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Calls that an upstream may be given beyond its slots. With one such call, a slot
    /// does not idle for the round trip between the end of a call and the next one.
    pub ahead: u32,
    /// Number of gateways up to which calls are given ahead. With more, the calls that meet
    /// at an upstream since counts are late keep its slots busy.
    pub ahead_gateways: usize,
    /// How long the call counts reported by another gateway are used: 7.5 heartbeat
    /// intervals, and less than the time without heartbeats after which a gateway is
    /// considered unreachable.
    pub peer_load_ttl: Duration,
    /// Calls beyond its rate that all gateways together may send to an upstream during
    /// its cold start.
    pub cold_slack: f64,
    /// Share of the cold-start rate that gateways use, since each of them counts
    /// only its own calls.
    pub cold_share: f64,
    /// Longest `retry-after` of a refusal. Groups form again, and upstreams finish
    /// starting, within two to four seconds, so a longer delay would leave recovered
    /// upstreams idle.
    pub max_retry_after: Duration,
    /// Free slots that all gateways together consider, each an equal part, beyond those of its
    /// zone if these are fewer. The fewer gateways there are, the more calls each of them
    /// starts, and the more upstreams it must spread them over.
    pub considered_slots: usize,
    /// Calls of a service that may wait although their answer can no longer be in time. They
    /// get what capacity the others leave. More of them would only be refused later.
    pub max_late_calls: usize,
    /// Whether calls that can only be late may fill a group whose streams are late at any load.
    pub late_streams: bool,
    /// Limits of the queue of each service.
    pub queue: queue::Settings,
    /// Seed of the random choices, which should differ between gateways.
    pub seed: u64,
    /// Shares of workspaces; `None` if operators set none. They are then in force only for services
    /// whose routes have unlike priorities.
    pub shares: Option<demand::Settings>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ahead: 1,
            ahead_gateways: 4,
            peer_load_ttl: Duration::from_millis(1_500),
            cold_slack: 5.0,
            cold_share: 0.8,
            max_retry_after: Duration::from_millis(2_500),
            considered_slots: 2_400,
            max_late_calls: 4,
            late_streams: false,
            queue: queue::Settings::default(),
            seed: 0,
            shares: None,
        }
    }
}

/// A call that needs a slot of an upstream.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    /// Number of the request; unique in the process.
    pub call: u64,
    /// Service that runs the call.
    pub service: Arc<str>,
    /// Workspace that the call is charged to in the fair queue.
    pub workspace: Workspace,
    /// Cost in tokens; 1 for calls of plain services.
    pub tokens: u64,
    /// Priority level; 0 is served first.
    pub urgency: u8,
    /// Latest time at which a slot is still useful.
    pub latest_start: Moment,
    /// For streams, the longest acceptable pause between two events.
    pub pause: Option<Duration>,
    /// Upstreams that the call has already tried, which are not chosen again.
    pub exclude: Vec<Arc<str>>,
    /// Where the call comes from, for its share.
    pub origin: demand::Origin,
}

/// Decision on a [`SlotRequest`].
#[derive(Clone, Debug)]
pub enum Verdict {
    /// The call runs at this upstream and is already counted there.
    Place(Arc<Record>),
    /// The call is queued; a later [`AdmissionController::poll`] returns it.
    Wait,
    /// The call is refused without waiting.
    Refuse(Refusal),
}

/// Calls at one upstream, and its health as seen by this gateway.
#[derive(Debug, Default)]
struct UpstreamLoad {
    /// Calls from this gateway.
    local: u32,
    /// Calls from other gateways, as reported by them.
    remote: u32,
    health: Health,
    /// When a call of this gateway last ended here whose slot it has not used again.
    freed_at: Option<Moment>,
    /// Starts of calls from this gateway, whose rate is limited during a cold start.
    recent_starts: StartWindow,
}

/// Calls by upstream, as last reported by another gateway.
#[derive(Debug)]
struct PeerLoad {
    received: Moment,
    loads: Vec<(Arc<str>, u32)>,
}

/// Waiting calls of one service.
#[derive(Debug)]
struct ServiceQueue {
    queue: Queue,
    requests: HashMap<u64, SlotRequest>,
    completions: CompletionRate,
    /// Calls removed by the queue for others, whose refusal the next poll returns.
    evicted: Vec<u64>,
}

/// Queued calls that were placed or refused by an [`AdmissionController::poll`].
#[derive(Debug, Default)]
pub struct Poll {
    /// Calls that got a slot, with their upstreams.
    pub placed: Vec<(u64, Arc<Record>)>,
    /// Calls that expired, or were evicted from the queue.
    pub refused: Vec<(u64, Refusal)>,
}

/// Decides on the calls of one gateway and counts those that run or wait.
#[derive(Debug)]
pub struct AdmissionController {
    settings: Settings,
    upstreams: HashMap<Arc<str>, UpstreamLoad>,
    peer_loads: HashMap<String, PeerLoad>,
    queues: HashMap<Arc<str>, ServiceQueue>,
    pools: HashMap<Arc<str>, UpstreamPool>,
    groups: Groups,
    demand: Demand,
    /// Starts that this gateway may make, by service.
    shares: HashMap<Arc<str>, StartShare>,
    /// Time from the start of a stream at its upstream to its first event, by service.
    first_events: HashMap<Arc<str>, Estimate>,
    misdirected: Misdirected,
    leaving: Leaving,
    pauses: Pauses,
    limits: Limits,
    random: Random,
    zone: Arc<str>,
    /// Whether no call starts any more.
    is_closed: bool,
}

impl AdmissionController {
    /// Creates the controller of a gateway in `zone`, whose upstreams are preferred while
    /// they have free slots.
    pub fn new(settings: Settings, zone: Arc<str>) -> Self {
        Self {
            random: Random::new(settings.seed),
            demand: Demand::new(
                settings.shares.clone().unwrap_or_default(),
                settings.peer_load_ttl,
                settings.max_retry_after,
                settings.seed,
            ),
            settings,
            zone,
            upstreams: HashMap::new(),
            peer_loads: HashMap::new(),
            queues: HashMap::new(),
            pools: HashMap::new(),
            groups: Groups::default(),
            first_events: HashMap::new(),
            shares: HashMap::new(),
            misdirected: Misdirected::default(),
            leaving: Leaving::default(),
            pauses: Pauses::default(),
            limits: Limits::default(),
            is_closed: false,
        }
    }

    /// Ends the starts of calls: the next [`AdmissionController::poll`] refuses those that wait.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Returns whether no call starts any more.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Replaces the usable upstreams of all services. Upstreams that are no longer
    /// listed keep their counts until their calls have ended.
    pub fn set_pools(&mut self, pools: HashMap<Arc<str>, UpstreamPool>) {
        let listed: HashSet<&Arc<str>> = pools
            .values()
            .flat_map(|pool| pool.candidates.iter().map(|candidate| &candidate.record.id))
            .collect();
        self.upstreams
            .retain(|id, upstream| upstream.local + upstream.remote > 0 || listed.contains(id));
        for service in pools.keys() {
            self.groups.add_service(service);
        }
        self.pools = pools;
    }

    /// Returns the usable upstreams of all services.
    pub fn pools(&self) -> &HashMap<Arc<str>, UpstreamPool> {
        &self.pools
    }

    /// Replaces the call counts of another gateway, and drops those that are too old.
    pub fn set_peer_loads(&mut self, gateway: &str, loads: Vec<(Arc<str>, u32)>, now: Moment) {
        for (id, load) in &loads {
            self.upstreams.entry(Arc::clone(id)).or_default().remote += load;
        }
        let peer_load = PeerLoad {
            received: now,
            loads,
        };
        if let Some(previous) = self.peer_loads.insert(gateway.to_owned(), peer_load) {
            self.subtract_remote(&previous);
        }
        self.drop_silent_loads(now);
    }

    /// Drops the call counts of gateways that have not reported any for
    /// [`Settings::peer_load_ttl`]: their calls have ended with them or will not be told.
    pub fn drop_silent_loads(&mut self, now: Moment) {
        self.demand.drop_expired(now);
        let ttl = self.settings.peer_load_ttl;
        let expired = self
            .peer_loads
            .extract_if(|_, peer| now.since(peer.received) >= ttl);
        let expired: Vec<PeerLoad> = expired.map(|(_, peer)| peer).collect();
        for peer in expired {
            self.subtract_remote(&peer);
        }
    }

    /// Removes the calls that another gateway has reported.
    fn subtract_remote(&mut self, peer: &PeerLoad) {
        for (id, load) in &peer.loads {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.remote = upstream.remote.saturating_sub(*load);
            }
        }
    }

    /// Adds the upstreams to which calls of another gateway were misdirected.
    pub fn learn_misdirected(&mut self, findings: &[Finding], now: Moment) {
        self.misdirected.learn(findings, now);
    }

    /// Returns the upstreams to which calls of this gateway were misdirected lately.
    pub fn recent_misdirected(&self, now: Moment) -> Vec<Finding> {
        self.misdirected.recent(now)
    }

    /// Returns the number of calls from this gateway for each upstream that has any.
    pub fn loads(&self) -> Vec<(Arc<str>, u32)> {
        let loaded = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| upstream.local > 0);
        loaded
            .map(|(id, upstream)| (Arc::clone(id), upstream.local))
            .collect()
    }

    /// Replaces the groups of upstreams if the listing is newer. Returns whether it is.
    pub fn set_groups(&mut self, listing: Listing) -> bool {
        self.groups.set(listing)
    }

    /// Returns the newest listing of the groups.
    pub fn groups(&self) -> Arc<Listing> {
        Arc::clone(self.groups.listing())
    }

    /// Replaces the outages of groups if the statement is newer. Returns whether it is.
    pub fn set_outages(&mut self, statement: &outage::Statement, now: Moment) -> bool {
        self.groups.set_outages(statement, now)
    }

    /// Returns the latest statement on broken groups, to tell other gateways.
    pub fn outages(&self, now: Moment) -> outage::Statement {
        self.groups.outages(now)
    }

    /// Adds the paces of groups that another gateway observed.
    pub fn learn_paces(&mut self, paces: &[Pace], now: Moment) {
        self.groups.learn(paces, now);
    }

    /// Returns the paces of groups that this gateway observed within the last `age`.
    pub fn recent_paces(&self, age: Duration, now: Moment) -> Vec<Pace> {
        self.groups.recent(age, now)
    }

    /// Records the time from the start of a stream at an upstream to its first event.
    pub fn observe_first_event(&mut self, service: &Arc<str>, elapsed: Duration, now: Moment) {
        let estimate = self.first_events.entry(Arc::clone(service)).or_default();
        estimate.sample(elapsed.as_secs_f64(), now);
    }

    /// Returns the longest wait for a slot with which the first event of a stream is expected
    /// within its objective, at least a tenth of it.
    pub fn longest_wait(&self, service: &str, objective: Duration, now: Moment) -> Duration {
        let estimate = self.first_events.get(service);
        let first_event = estimate.and_then(|estimate| estimate.current(now));
        // A call that is admitted by its share waits as long as half of those like it are in time.
        let deviations = if self.is_shared(service) {
            0.0
        } else {
            FIRST_EVENT_DEVIATIONS
        };
        let first_event = first_event.map_or(Duration::ZERO, |first_event| {
            Duration::from_secs_f64(first_event.upper(deviations))
        });
        let shortest = objective.mul_f64(if self.is_shared(service) {
            MIN_SHARED_WAIT_OBJECTIVES
        } else {
            MIN_WAIT_OBJECTIVES
        });
        let longest = objective.mul_f64(MAX_WAIT_OBJECTIVES);
        objective
            .saturating_sub(first_event)
            .clamp(shortest, longest)
    }

    /// Returns the longest time that a stream of these numbers of tokens takes from its start at
    /// an upstream, at the pace of the slowest group; `None` if the service has no engines or the
    /// pace of a group is unknown.
    pub fn longest_stream(
        &self,
        service: &str,
        prompt: u64,
        output: u64,
        now: Moment,
    ) -> Option<Duration> {
        let pool = self.pools.get(service)?;
        let engine = pool.engine.as_ref()?;
        let records = pool.candidates.iter().map(|candidate| &candidate.record);
        let keys: HashSet<group::Key> = records.filter_map(|it| self.groups.key(it)).collect();
        let passes = keys.into_iter();
        let passes: Option<Vec<Duration>> = passes
            .map(|key| self.groups.longest_pass(key, engine, now))
            .collect();
        pace::longest_stream(engine, passes?.into_iter().max()?, prompt, output)
    }

    /// Records the time between two events of a stream from an upstream.
    pub fn observe_gap(&mut self, record: &Record, gap: Duration, now: Moment) {
        let Some(pool) = self.pools.get(&record.service) else {
            return;
        };
        if let (Some(engine), Some(key)) = (&pool.engine, self.groups.key(record)) {
            let load = self.group_loads(pool).mean(key);
            self.groups.observe(key, engine, gap, load, now);
        }
    }

    /// Returns the calls of all gateways at an upstream.
    fn load(&self, upstream: &str) -> u32 {
        let upstream = self.upstreams.get(upstream);
        upstream.map_or(0, |upstream| upstream.local + upstream.remote)
    }

    /// Returns which groups of a pool run nothing.
    fn availability(&self, pool: &UpstreamPool, now: Moment) -> Availability {
        let candidates = pool.candidates.iter();
        let records = candidates.map(|candidate| &candidate.record);
        self.groups.availability(records, now)
    }

    /// Counts the calls at the upstreams of a pool by group.
    fn group_loads(&self, pool: &UpstreamPool) -> Loads {
        let mut loads = Loads::default();
        for candidate in &pool.candidates {
            if let Some(key) = self.groups.key(&candidate.record) {
                loads.add(key, self.load(&candidate.record.id));
            }
        }
        loads
    }

    /// Returns how many more streams the groups of a pool may run without exceeding the
    /// longest pause of a request; `None` if there is no such limit.
    fn headroom(
        &self,
        pool: &UpstreamPool,
        request: &SlotRequest,
        now: Moment,
    ) -> Option<Headroom> {
        let (engine, pause) = (pool.engine.as_ref()?, request.pause?);
        let loads = self.group_loads(pool);
        let may_be_late = self.settings.late_streams && request.urgency >= LATE_URGENCY;
        let headroom = self
            .groups
            .headroom(&loads, engine, pause, may_be_late, now);
        Some(headroom)
    }

    /// Returns the number of running calls and the number of waiting calls.
    pub fn totals(&self) -> (u32, usize) {
        let running = self.upstreams.values().map(|upstream| upstream.local).sum();
        let queued = self
            .queues
            .values()
            .map(|service_queue| service_queue.queue.len())
            .sum();
        (running, queued)
    }

    /// Places, queues or refuses a call. It is placed only if no other call of its service
    /// and of its priority or a higher one waits.
    pub fn request(&mut self, request: SlotRequest, now: Moment) -> Verdict {
        if self.is_closed {
            return Verdict::Refuse(self.refusal(Reason::Leaving, &request.service, now));
        }
        let urgency = request.urgency;
        let is_first = match self.judge_share(&request, now) {
            Decision::Admit { returns } => returns,
            Decision::Refuse(after) => {
                let reason = Reason::OverShare;
                return Verdict::Refuse(Refusal { reason, after });
            }
        };
        let queue = self.queues.get(&request.service);
        let ahead = queue.map_or(0, |service| service.queue.len_up_to(urgency));
        if ahead == 0
            && let Some(record) = self.choose(&request, now)
        {
            self.start_call(&record, &request, now);
            return Verdict::Place(record);
        }
        if self.is_without_upstream(&request.service) {
            return Verdict::Refuse(self.refusal(Reason::Nowhere, &request.service, now));
        }
        let closed = self.closed_until(&request.service, ahead, now);
        if let Some((_, reason)) = closed.filter(|(end, _)| *end > request.latest_start) {
            return Verdict::Refuse(self.refusal(reason, &request.service, now));
        }
        let pool = self.pools.get(&request.service);
        let Some(pool) = pool.filter(|pool| !pool.candidates.is_empty()) else {
            return Verdict::Refuse(self.refusal(Reason::Nowhere, &request.service, now));
        };
        let outage = self.availability(pool, now).wait();
        if let Some(remaining) = outage {
            // A call whose wait would end before the outage is refused while its caller can
            // still use the time.
            let queue = self.queues.get(&request.service);
            let held = queue.map_or(0, |service| service.queue.len());
            if now + remaining > request.latest_start || held >= held_limit(pool) {
                return Verdict::Refuse(self.refusal(Reason::Full, &request.service, now));
            }
        } else if urgency >= LATE_URGENCY && self.yields(&request, now) {
            return Verdict::Refuse(self.refusal(Reason::Full, &request.service, now));
        }
        let service_queue = self
            .queues
            .entry(Arc::clone(&request.service))
            .or_insert_with(|| ServiceQueue {
                queue: Queue::new(self.settings.queue),
                requests: HashMap::new(),
                completions: CompletionRate::default(),
                evicted: Vec::new(),
            });
        // Even with an empty queue, the next slot becomes free only after one interval
        // between completions.
        let wait = service_queue.completions.expected_time(ahead + 1, now);
        let too_late =
            outage.is_none() && wait.is_some_and(|wait| now + wait > request.latest_start);
        let late = service_queue.queue.len() - service_queue.queue.len_up_to(LATE_URGENCY - 1);
        let too_many =
            outage.is_none() && urgency >= LATE_URGENCY && late >= self.settings.max_late_calls;
        if too_late || too_many || request.latest_start <= now {
            self.turn_away(&request.service, urgency, now);
            return Verdict::Refuse(self.refusal(Reason::Full, &request.service, now));
        }
        let item = Item {
            call: request.call,
            workspace: request.workspace,
            tokens: request.tokens,
            urgency: request.urgency,
            latest_start: request.latest_start,
        };
        let pushed = if is_first {
            service_queue.queue.push_first(item)
        } else {
            service_queue.queue.push(item)
        };
        match pushed {
            queue::PushOutcome::Queued | queue::PushOutcome::Duplicate => {}
            queue::PushOutcome::Full => {
                return Verdict::Refuse(self.refusal(Reason::Full, &request.service, now));
            }
            queue::PushOutcome::Evicted(evicted) => service_queue.evicted.push(evicted.call),
        }
        service_queue.requests.insert(request.call, request);
        Verdict::Wait
    }

    /// Assigns free slots to waiting calls, and removes calls that have expired.
    pub fn poll(&mut self, now: Moment) -> Poll {
        let mut poll = Poll::default();
        let services: Vec<Arc<str>> = self.queues.keys().cloned().collect();
        for service in services {
            self.poll_service(&service, now, &mut poll);
        }
        poll
    }

    fn poll_service(&mut self, service: &Arc<str>, now: Moment, poll: &mut Poll) {
        let Some(service_queue) = self.queues.get_mut(service) else {
            return;
        };
        let mut refused: Vec<(u64, Reason)> = Vec::new();
        for call in service_queue.evicted.drain(..) {
            service_queue.requests.remove(&call);
            refused.push((call, Reason::Full));
        }
        let mut expired = Vec::new();
        while let Some(item) = service_queue.queue.pop_expired(now) {
            service_queue.requests.remove(&item.call);
            refused.push((item.call, Reason::Expired));
            expired.push(item.urgency);
        }
        for urgency in expired {
            self.turn_away(service, urgency, now);
        }
        if self.is_closed {
            let waiting = self.drain_queue(service);
            refused.extend(waiting.map(|call| (call, Reason::Leaving)));
        }
        // An upstream that is absent may come back while calls wait; one that leaves does not.
        let candidates = self.pools.get(service).map(|pool| pool.candidates.len());
        if candidates.is_some_and(|count| count > 0) && self.is_without_upstream(service) {
            refused.extend(
                self.drain_queue(service)
                    .map(|call| (call, Reason::Nowhere)),
            );
        }
        if let Some((end, reason)) = self.closed_until(service, 0, now) {
            let stranded = self.remove_starting_before(service, end);
            refused.extend(stranded.into_iter().map(|call| (call, reason)));
        }
        for (call, reason) in refused {
            let refusal = self.refusal(reason, service, now);
            poll.refused.push((call, refusal));
        }
        while let Some((call, record)) = self.place_next(service, now) {
            poll.placed.push((call, record));
        }
    }

    /// Removes the waiting calls of a service whose latest start is before `end`.
    fn remove_starting_before(&mut self, service: &str, end: Moment) -> Vec<u64> {
        let Some(service_queue) = self.queues.get_mut(service) else {
            return Vec::new();
        };
        let requests = &mut service_queue.requests;
        let removed = requests.extract_if(|_, request| request.latest_start < end);
        let removed: Vec<u64> = removed.map(|(call, _)| call).collect();
        for call in &removed {
            service_queue.queue.remove(*call);
        }
        removed
    }

    /// Removes all waiting calls of a service.
    fn drain_queue(&mut self, service: &str) -> impl Iterator<Item = u64> + use<> {
        let items = self.queues.get_mut(service).map(|service_queue| {
            service_queue.requests.clear();
            service_queue.queue.drain()
        });
        items.into_iter().flatten().map(|item| item.call)
    }

    /// Places the next call of the queue, if an upstream has a free slot for it.
    fn place_next(&mut self, service: &Arc<str>, now: Moment) -> Option<(u64, Arc<Record>)> {
        let service_queue = self.queues.get_mut(service)?;
        let item = service_queue.queue.peek()?;
        let request = service_queue.requests.get(&item.call)?.clone();
        let record = self.choose(&request, now)?;
        self.start_call(&record, &request, now);
        let service_queue = self.queues.get_mut(service)?;
        service_queue.queue.pop();
        service_queue.requests.remove(&request.call);
        Some((request.call, record))
    }

    /// Removes a waiting call from its queue. Returns whether it was queued.
    pub fn cancel(&mut self, service: &str, call: u64) -> bool {
        let Some(service_queue) = self.queues.get_mut(service) else {
            return false;
        };
        service_queue.requests.remove(&call);
        service_queue.queue.remove(call).is_some()
    }

    /// Frees the slot of a call, and records what its end shows about the upstream.
    pub fn end_call(&mut self, record: &Record, signal: HealthSignal, now: Moment) {
        if let Some(service_queue) = self.queues.get_mut(&record.service) {
            service_queue.completions.record(now);
        }
        if let Some(share) = self.shares.get_mut(&record.service) {
            share.end();
        }
        if signal == HealthSignal::Misdirected && self.misdirected.observe(record, now) {
            log::info!(
                "event=upstream_replaced id={} address={} born={:?}",
                record.id,
                record.address,
                record.born
            );
        }
        // A pause states when the upstream can be used again, so a back-off is not needed.
        let signal = match signal {
            HealthSignal::Full if self.pauses.contains(record, now) => HealthSignal::Neutral,
            signal => signal,
        };
        if let Some(upstream) = self.upstreams.get_mut(&record.id) {
            upstream.local = upstream.local.saturating_sub(1);
            upstream.freed_at = Some(now);
            upstream.health.record(signal, now);
        }
    }

    /// Returns when the next waiting call expires, so that the caller polls even if no
    /// call ends before then.
    pub fn next_wake(&self) -> Option<Moment> {
        let queues = self.queues.values();
        queues
            .filter_map(|service_queue| service_queue.queue.next_deadline())
            .min()
    }

    /// Returns whether this gateway may start a call, considering that others start calls at
    /// the same upstreams. `headroom` is that of the groups, if it limits the call.
    fn may_start(&mut self, service: &Arc<str>, headroom: Option<&Headroom>, now: Moment) -> bool {
        let Some(pool) = self.pools.get(service) else {
            return false;
        };
        let gateways = pool.members.count();
        // Calls of plain services end before their counts are told, so these say nothing about
        // the slots that are free now.
        if gateways == 1 || pool.engine.is_none() {
            return true;
        }
        let free_slots = self.free_slots(pool, headroom, now);
        let share = self.shares.entry(Arc::clone(service)).or_default();
        share.may_start(free_slots, gateways, now)
    }

    /// Returns how many calls may still start at the upstreams of a pool.
    fn free_slots(&self, pool: &UpstreamPool, headroom: Option<&Headroom>, now: Moment) -> f64 {
        headroom.map_or_else(
            || {
                let records = pool.candidates.iter().map(|candidate| &candidate.record);
                let records = records.filter(|record| self.is_open(record, &pool.members, now));
                let free = records.map(|record| record.slots.saturating_sub(self.load(&record.id)));
                f64::from(free.sum::<u32>())
            },
            Headroom::streams,
        )
    }

    /// Returns whether a call leaves the slots to others, here or at another gateway: one that can
    /// only be late to those that can be in time, and one of a lower priority, where calls are
    /// admitted by shares, to those of a higher one that found no slot lately.
    fn yields(&self, request: &SlotRequest, now: Moment) -> bool {
        let share = self.shares.get(&request.service);
        let (service, urgency) = (&request.service, request.urgency);
        let is_overloaded = self.is_shared(service) && self.demand.is_overloaded(service);
        let slots = if is_overloaded {
            demand::ROOM_SLOTS
        } else {
            SCARCE_SLOTS
        };
        let Some(share) = share.filter(|share| share.is_scarce(slots)) else {
            return false;
        };
        let leaves_start = is_overloaded && !share.is_left_for(urgency);
        urgency >= LATE_URGENCY || leaves_start || self.demand.yields(service, urgency, now)
    }

    /// Returns whether the calls of a service are admitted by shares.
    fn is_shared(&self, service: &str) -> bool {
        let pool = self.pools.get(service);
        pool.is_some_and(|pool| {
            pool.engine.is_some() && (pool.has_priorities || self.settings.shares.is_some())
        })
    }

    /// Decides whether a call may compete for a slot, by the share of its workspace and priority.
    /// A call is counted once, however many slots it asks for.
    fn judge_share(&mut self, request: &SlotRequest, now: Moment) -> Decision {
        let is_admitted = Decision::Admit { returns: false };
        let origin = request.origin;
        if origin.is_charged || request.urgency >= LATE_URGENCY || !self.is_shared(&request.service)
        {
            return is_admitted;
        }
        let key = origin.key(request.urgency);
        let slots = if self.demand.needs_slots(&request.service, key, now) {
            self.slots(request, now)
        } else {
            None
        };
        self.demand
            .judge(&request.service, key, origin.request, slots, now)
    }

    /// Counts the slots of a service; `None` while a group of it runs nothing, as calls then go by
    /// the rules for outages, and before the other gateways are known.
    fn slots(&self, request: &SlotRequest, now: Moment) -> Option<Slots> {
        let pool = self.pools.get(&request.service)?;
        if !pool.members.are_known() || self.availability(pool, now).has_broken() {
            return None;
        }
        let candidates = pool.candidates.iter();
        let running = candidates.map(|candidate| self.load(&candidate.record.id));
        let headroom = self.headroom(pool, request, now);
        Some(Slots {
            free: self.free_slots(pool, headroom.as_ref(), now),
            running: f64::from(running.sum::<u32>()),
            gateways: pool.members.count(),
        })
    }

    /// Records that a call found no slot in time.
    fn turn_away(&mut self, service: &Arc<str>, urgency: u8, now: Moment) {
        if urgency < LATE_URGENCY && self.is_shared(service) {
            self.demand.turn_away(service, urgency, now);
        }
    }

    /// Returns the demand of this gateway, to tell the others.
    pub fn demand(&mut self, now: Moment) -> demand::Report {
        self.demand.report(now)
    }

    /// Replaces the demand of another gateway.
    pub fn learn_demand(&mut self, gateway: &str, report: demand::Report, now: Moment) {
        self.demand.learn(gateway, report, now);
    }

    /// Returns the fraction of the calls of a workspace and priority that is admitted.
    pub fn admitted_fraction(&self, service: &str, origin: demand::Origin, urgency: u8) -> f64 {
        self.demand.fraction(service, origin.key(urgency))
    }

    /// Returns the calls of all gateways by service, where they are admitted by shares, and the
    /// number of bookings that are kept.
    pub fn demand_totals(&self) -> (Vec<(Arc<str>, demand::Totals)>, usize) {
        let services = self.pools.keys().filter(|service| self.is_shared(service));
        let totals = services.map(|service| (Arc::clone(service), self.demand.totals(service)));
        (totals.collect(), self.demand.bookings())
    }

    /// Chooses an upstream, preferring the gateway's zone.
    fn choose(&mut self, request: &SlotRequest, now: Moment) -> Option<Arc<Record>> {
        let pool = self.pools.get(&request.service)?;
        let headroom = self.headroom(pool, request, now);
        if !self.may_start(&request.service, headroom.as_ref(), now) || self.yields(request, now) {
            return None;
        }
        let pool = self.pools.get(&request.service)?;
        let availability = self.availability(pool, now);
        let gateways = pool.members.count();
        let mut selection = Selection::new(self.settings.considered_slots / gateways);
        for is_own_zone in [true, false] {
            let candidates = pool.candidates.iter();
            let candidates = candidates.filter(|one| (one.record.zone == self.zone) == is_own_zone);
            for candidate in candidates {
                if !is_own_zone && selection.is_sufficient() {
                    break;
                }
                if self.groups.is_broken(&candidate.record, &availability) {
                    continue;
                }
                self.consider(
                    pool,
                    candidate,
                    request,
                    headroom.as_ref(),
                    &mut selection,
                    now,
                );
            }
        }
        let draws = choice::draws(gateways);
        selection.choose(draws, &mut self.random).map(Arc::clone)
    }

    /// Adds an upstream to a selection if it may be given the call now.
    fn consider<'a>(
        &self,
        pool: &UpstreamPool,
        candidate: &'a Candidate,
        request: &SlotRequest,
        headroom: Option<&Headroom>,
        selection: &mut Selection<'a>,
        now: Moment,
    ) {
        let record = &candidate.record;
        if request.exclude.contains(&record.id) || !self.is_open(record, &pool.members, now) {
            return;
        }
        let headroom = headroom.map_or(1.0, |headroom| headroom.of(self.groups.key(record)));
        let idle = UpstreamLoad::default();
        let upstream = self.upstreams.get(&record.id).unwrap_or(&idle);
        let load = upstream.local + upstream.remote;
        let ahead = if pool.members.count() <= self.settings.ahead_gateways {
            self.settings.ahead
        } else {
            0
        };
        if headroom <= 0.0
            || load >= record.slots + ahead
            || !upstream.health.is_usable(upstream.local, now)
        {
            return;
        }
        if candidate.cold_until > now
            && pool.cold_rate > 0.0
            && upstream.recent_starts.count(now) >= self.cold_start_limit(pool, candidate, now)
        {
            return;
        }
        // Other gateways do not know of this slot yet, so no call of theirs meets there.
        let freed = upstream
            .freed_at
            .is_some_and(|at| now.since(at) <= share::COUNTS_AGE);
        let preference = if freed { FREED_PREFERENCE } else { 1.0 };
        let penalty = upstream.health.penalty(now);
        selection.add(record, load, penalty, headroom * preference);
    }

    /// Returns the calls per second that this gateway may send to an upstream during its
    /// cold start.
    fn cold_start_limit(&self, pool: &UpstreamPool, candidate: &Candidate, now: Moment) -> u32 {
        let total = pool.cold_rate * self.settings.cold_share + self.settings.cold_slack;
        let (id, total) = (&candidate.record.id, total as u32);
        if !pool.members.are_known() {
            return cold::share_among_unknown(self.settings.seed, id, total, now);
        }
        let share = || pool.members.share(id, total);
        *candidate.cold_limit.get_or_init(share)
    }

    fn start_call(&mut self, record: &Arc<Record>, request: &SlotRequest, now: Moment) {
        if self.is_shared(&request.service) {
            let key = request.origin.key(request.urgency);
            self.demand.start(&request.service, key, now);
        }
        if let Some(share) = self.shares.get_mut(&record.service) {
            share.start();
        }
        self.pauses.record_call(record, now);
        if let Some(pool) = self.pools.get(&record.service) {
            self.limits.record_call(record, &pool.members, now);
        }
        let upstream = self.upstreams.entry(Arc::clone(&record.id)).or_default();
        upstream.local += 1;
        upstream.freed_at = None;
        upstream.recent_starts.push(now);
        upstream.health.apply_decay(now);
    }

    /// Returns a refusal for a call that was dropped from the queue or not run by its upstream:
    /// with [`Reason::Full`] unless no other upstream is left.
    pub fn full_refusal(&mut self, service: &str, now: Moment) -> Refusal {
        let reason = if self.is_without_upstream(service) {
            Reason::Nowhere
        } else {
            Reason::Full
        };
        self.refusal(reason, service, now)
    }

    fn refusal(&mut self, reason: Reason, service: &str, now: Moment) -> Refusal {
        if reason == Reason::Leaving {
            // Another gateway can run it at once.
            let after = Duration::ZERO;
            return Refusal { reason, after };
        }
        let waiting = self.queues.get(service).map_or(0, |it| it.queue.len());
        if let Some((end, _)) = self.closed_until(service, waiting, now) {
            let after = end.since(now);
            return Refusal { reason, after };
        }
        let max_retry_after = self.settings.max_retry_after;
        let pool = self.pools.get(service);
        let outage = pool.and_then(|pool| self.availability(pool, now).wait());
        if let Some(remaining) = outage {
            let after = outage::retry_after(remaining, max_retry_after, self.random.fraction());
            return Refusal { reason, after };
        }
        let wait = self.queues.get(service).and_then(|service_queue| {
            service_queue
                .completions
                .expected_time(service_queue.queue.len() + 1, now)
        });
        // Past completions say nothing about when new upstreams will have started.
        let wait = wait.filter(|_| reason != Reason::Nowhere);
        Refusal {
            reason,
            // Without recent completions the service is down, and an early retry would
            // only be refused again.
            after: wait.unwrap_or(max_retry_after).min(max_retry_after),
        }
    }
}

/// Returns how many calls of a service may wait at one gateway for the end of an outage.
fn held_limit(pool: &UpstreamPool) -> usize {
    let slots = pool.candidates.iter().map(|one| one.record.slots);
    let part = f64::from(slots.sum::<u32>()) / pool.members.count().max(1) as f64;
    (part * HELD_SLOTS_SHARE).ceil() as usize
}

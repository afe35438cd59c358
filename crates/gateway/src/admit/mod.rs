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
use rate::{Meter, Window};

/// Bounds of a [`AdmissionController`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Calls beyond its slots that an upstream may be given. One keeps a slot from
    /// idling for the round trip between the end of a call and the next.
    pub ahead: u32,
    /// How long what another entry said of its calls counts. Seven intervals at which
    /// entries tell each other, and less than the silence after which one is gone.
    pub hearsay: Duration,
    /// Calls a cold upstream may be given beyond its rate, by all entries together.
    pub cold_slack: f64,
    /// Part of the cold bound that entries use, since they count on their own.
    pub cold_part: f64,
    /// Longest time that a refused caller is told to stay away. Groups form anew, and
    /// cold upstreams start, within two to four seconds.
    pub longest_return: Duration,
    /// The queue.
    pub queue: queue::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ahead: 1,
            hearsay: Duration::from_millis(1_500),
            cold_slack: 5.0,
            cold_part: 0.8,
            longest_return: Duration::from_millis(2_500),
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
struct Seat {
    /// Calls that this entry has there.
    own: u32,
    /// Calls that the other entries have there.
    others: u32,
    health: Health,
    /// Starts while it was cold.
    cold: Window,
}

/// What another entry said of its calls.
#[derive(Debug)]
struct Hearsay {
    at: Moment,
    loads: Vec<(Arc<str>, u32)>,
}

/// The calls of one service that wait.
#[derive(Debug)]
struct Line {
    queue: Queue,
    asks: HashMap<u64, SlotRequest>,
    ends: Meter,
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
    seats: HashMap<Arc<str>, Seat>,
    hearsay: HashMap<String, Hearsay>,
    lines: HashMap<Arc<str>, Line>,
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
            seats: HashMap::new(),
            hearsay: HashMap::new(),
            lines: HashMap::new(),
            pools: HashMap::new(),
            paces: HashMap::new(),
        }
    }

    /// Takes in which upstreams calls may go to, by service.
    pub fn update(&mut self, pools: HashMap<Arc<str>, UpstreamPool>) {
        let listed: HashSet<&Arc<str>> = pools
            .values()
            .flat_map(|pool| pool.candidates.iter().map(|one| &one.record.id))
            .collect();
        self.seats
            .retain(|id, seat| seat.own > 0 || listed.contains(id));
        self.pools = pools;
    }

    /// Takes in what another entry says of its calls.
    pub fn set_peer_loads(&mut self, entry: &str, loads: Vec<(Arc<str>, u32)>, now: Moment) {
        let hearsay = Hearsay { at: now, loads };
        self.hearsay.insert(entry.to_owned(), hearsay);
        let limit = self.settings.hearsay;
        self.hearsay.retain(|_, one| now.since(one.at) < limit);
        for seat in self.seats.values_mut() {
            seat.others = 0;
        }
        for (id, load) in self.hearsay.values().flat_map(|one| &one.loads) {
            self.seats.entry(Arc::clone(id)).or_default().others += load;
        }
    }

    /// Returns the calls that this entry has, by upstream.
    pub fn loads(&self) -> Vec<(Arc<str>, u32)> {
        let busy = self.seats.iter().filter(|(_, seat)| seat.own > 0);
        busy.map(|(id, seat)| (Arc::clone(id), seat.own)).collect()
    }

    /// Takes in the time between two events of a stream.
    pub fn event(&mut self, service: &Arc<str>, gap: Duration, now: Moment) {
        let Some(pool) = self.pools.get(service) else {
            return;
        };
        if let Some(engine) = &pool.engine {
            let load = self.load(pool);
            let pace = self.paces.entry(Arc::clone(service)).or_default();
            pace.observe(engine, gap, load, now);
        }
    }

    /// Returns the mean number of calls at the upstreams of a pool.
    fn load(&self, pool: &UpstreamPool) -> f64 {
        let seats = pool.candidates.iter();
        let calls = seats.filter_map(|one| self.seats.get(&one.record.id));
        let calls: u32 = calls.map(|seat| seat.own + seat.others).sum();
        f64::from(calls) / pool.candidates.len().max(1) as f64
    }

    /// Returns whether one more stream would make all of a pool pause too long.
    fn is_crowded(&self, pool: &UpstreamPool, ask: &SlotRequest, now: Moment) -> bool {
        let (Some(engine), Some(pause)) = (&pool.engine, ask.pause) else {
            return false;
        };
        let pace = self.paces.get(&ask.service).copied().unwrap_or_default();
        self.load(pool) >= pace.limit(engine, pause, now)
    }

    /// Returns the number of calls that run, and of those that wait.
    pub fn totals(&self) -> (u32, usize) {
        let running = self.seats.values().map(|seat| seat.own).sum();
        let waiting = self.lines.values().map(|line| line.queue.len()).sum();
        (running, waiting)
    }

    /// Decides on a call.
    pub fn ask(&mut self, ask: SlotRequest, now: Moment) -> Verdict {
        let waiting = self.lines.get(&ask.service).map_or(0, |it| it.queue.len());
        if waiting == 0
            && let Some(record) = self.choose(&ask, now)
        {
            self.begin(&record, now);
            return Verdict::Place(record);
        }
        let pool = self.pools.get(&ask.service);
        if pool.is_none_or(|pool| pool.candidates.is_empty()) {
            return Verdict::Refuse(self.refusal(Reason::Nowhere, &ask.service, now));
        }
        let line = self
            .lines
            .entry(Arc::clone(&ask.service))
            .or_insert_with(|| Line {
                queue: Queue::new(self.settings.queue),
                asks: HashMap::new(),
                ends: Meter::default(),
                evicted: Vec::new(),
            });
        // The next slot comes free after one interval between ends, however short
        // the queue is.
        let wait = line.ends.time_for(waiting + 1, now);
        if wait.is_some_and(|wait| now + wait > ask.latest) || ask.latest <= now {
            return Verdict::Refuse(self.refusal(Reason::Full, &ask.service, now));
        }
        let item = Item {
            call: ask.call,
            workspace: ask.workspace,
            tokens: ask.tokens,
            urgency: ask.urgency,
            latest: ask.latest,
        };
        let push = line.queue.push(item);
        match push {
            queue::Push::Queued | queue::Push::Duplicate => {}
            queue::Push::Full => {
                return Verdict::Refuse(self.refusal(Reason::Full, &ask.service, now));
            }
            queue::Push::Evicted(victim) => line.evicted.push(victim.call),
        }
        line.asks.insert(ask.call, ask);
        Verdict::Wait
    }

    /// Gives free slots to the calls that wait, and drops those that waited too
    /// long.
    pub fn poll(&mut self, now: Moment) -> Poll {
        let mut poll = Poll::default();
        let services: Vec<Arc<str>> = self.lines.keys().cloned().collect();
        for service in services {
            self.poll_line(&service, now, &mut poll);
        }
        poll
    }

    fn poll_line(&mut self, service: &Arc<str>, now: Moment, poll: &mut Poll) {
        let Some(line) = self.lines.get_mut(service) else {
            return;
        };
        let mut refused: Vec<(u64, Reason)> = Vec::new();
        for call in line.evicted.drain(..) {
            line.asks.remove(&call);
            refused.push((call, Reason::Full));
        }
        while let Some(item) = line.queue.expired(now) {
            line.asks.remove(&item.call);
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
        let line = self.lines.get_mut(service)?;
        let item = line.queue.peek()?;
        let ask = line.asks.get(&item.call)?.clone();
        let record = self.choose(&ask, now)?;
        self.begin(&record, now);
        let line = self.lines.get_mut(service)?;
        line.queue.pop();
        line.asks.remove(&ask.call);
        Some((ask.call, record))
    }

    /// Takes a call that waits out of its queue. Returns whether it was there.
    pub fn leave(&mut self, service: &str, call: u64) -> bool {
        let Some(line) = self.lines.get_mut(service) else {
            return false;
        };
        line.asks.remove(&call);
        line.queue.remove(call).is_some()
    }

    /// Takes in that a call has ended at an upstream.
    pub fn end(&mut self, record: &Record, mark: HealthSignal, now: Moment) {
        if let Some(line) = self.lines.get_mut(&record.service) {
            line.ends.count(now);
        }
        if let Some(seat) = self.seats.get_mut(&record.id) {
            seat.own = seat.own.saturating_sub(1);
            seat.health.mark(mark, now);
        }
    }

    /// Returns when to poll next although nothing happens: an upstream may be tried
    /// again, or a call has waited too long.
    pub fn next_wake(&self) -> Option<Moment> {
        let lines = self.lines.values();
        lines.filter_map(|line| line.queue.next_deadline()).min()
    }

    /// Chooses the upstream with the most room, in the entry's zone if equal.
    fn choose(&self, ask: &SlotRequest, now: Moment) -> Option<Arc<Record>> {
        let pool = self.pools.get(&ask.service)?;
        if self.is_crowded(pool, ask, now) {
            return None;
        }
        let unused = Seat::default();
        let mut best: Option<(f64, &Arc<Record>)> = None;
        for candidate in &pool.candidates {
            let record = &candidate.record;
            if ask.exclude.contains(&record.id) {
                continue;
            }
            let seat = self.seats.get(&record.id).unwrap_or(&unused);
            let load = seat.own + seat.others;
            if load >= record.slots + self.settings.ahead || !seat.health.usable(seat.own, now) {
                continue;
            }
            if candidate.cold_until > now
                && pool.cold_rate > 0.0
                && f64::from(seat.cold.count(now)) + 1.0 > self.cold_bound(pool)
            {
                continue;
            }
            let zone = if record.zone == self.zone { 0.0 } else { 0.25 };
            let score = (f64::from(load) + zone) / f64::from(record.slots.max(1))
                + seat.health.penalty(now);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, record));
            }
        }
        best.map(|(_, record)| Arc::clone(record))
    }

    /// Returns the calls a second that this entry may send to a cold upstream.
    fn cold_bound(&self, pool: &UpstreamPool) -> f64 {
        let all = pool.cold_rate * self.settings.cold_part + self.settings.cold_slack;
        (all / pool.gateways.max(1) as f64).max(1.0)
    }

    fn begin(&mut self, record: &Arc<Record>, now: Moment) {
        let seat = self.seats.entry(Arc::clone(&record.id)).or_default();
        seat.own += 1;
        seat.cold.push(now);
        seat.health.begin(now);
    }

    /// Returns the refusal of a call that has lost its place in the queue, or that an
    /// upstream had no room for.
    pub fn gone(&self, service: &str, now: Moment) -> Refusal {
        self.refusal(Reason::Full, service, now)
    }

    fn refusal(&self, reason: Reason, service: &str, now: Moment) -> Refusal {
        let longest = self.settings.longest_return;
        let wait = self
            .lines
            .get(service)
            .and_then(|line| line.ends.time_for(line.queue.len() + 1, now));
        Refusal {
            reason,
            // Where nothing has ended lately, the service is down, and an early return
            // would only be refused again.
            after: wait.unwrap_or(longest).min(longest),
        }
    }
}

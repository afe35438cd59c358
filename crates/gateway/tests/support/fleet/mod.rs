//! A simulation in virtual time of gateways that share upstreams. The admission controllers
//! are those of the product; upstreams and heartbeats are models.

pub mod mix;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use sesamerock_base::key::Workspace;
use sesamerock_base::time::Moment;
use sesamerock_gateway::admit::cold::Members;
use sesamerock_gateway::admit::leaving::Departure;
use sesamerock_gateway::admit::{
    AdmissionController, Candidate, HealthSignal, LATE_URGENCY, Reason, Settings, SlotRequest,
    UpstreamPool, Verdict, demand,
};
use sesamerock_gateway::exchange;
use sesamerock_gateway::table::EngineSpec;
use sesamerock_gateway::upstream::Record;

use mix::{Mix, Served};

/// Availability zones over which gateways and upstreams are spread.
const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];
/// One-way delay of a heartbeat.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(2);
/// Longest wait of a call in the queue of its gateway with which its answer can be in time.
const IN_TIME_WAIT: Duration = Duration::from_millis(250);
/// Longest wait of a call whose answer will be late.
const LATE_WAIT: Duration = Duration::from_millis(1_800);

/// Longest wait of a call for a slot, in multiples of its objective, as in the request path.
const MAX_WAIT_OBJECTIVES: f64 = 3.0;
/// Time that callers have for a request; they wait a third of what is left for a repeat.
const CALLER_DEADLINE: Duration = Duration::from_secs(8);

/// Start of a replay.
const START: Moment = Moment::from_millis(100_000);

/// Calls that arrive at all gateways together.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Mean arrivals per second; the times between them are exponential.
    pub calls_per_second: f64,
    /// Mean time for which a call occupies a slot; uniform from half to one and a half of it.
    pub mean_duration: Duration,
    /// Length of the replay.
    pub length: Duration,
}

/// What became of the calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Calls sent to an upstream.
    pub placed: u32,
    /// Calls that found all slots of their upstream taken.
    pub queued: u32,
    /// Longest wait at an upstream.
    pub longest_wait: Duration,
    /// Calls refused by their gateway.
    pub refused: u32,
    /// Calls that ran within [`IN_TIME_WAIT`] of their arrival, waits at upstreams included.
    pub in_time: u32,
    /// Calls that arrived.
    pub arrived: u32,
    /// Calls to an upstream in another zone than their gateway.
    pub other_zone: u32,
    /// Pairs of a gateway and an upstream between which there were calls.
    pub pairs: usize,
    /// Calls sent to an upstream that leaves, after it had begun to say so.
    pub to_leaving: u32,
    /// Those of them whose gateway had received such an answer.
    pub to_known_leaving: u32,
    /// Calls at the busiest upstream, divided by the mean, on average over time.
    pub skew: f64,
}

impl Outcome {
    /// Returns the share of the calls that found all slots of their upstream taken.
    pub fn queued_share(&self) -> f64 {
        f64::from(self.queued) / f64::from(self.placed.max(1))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    /// A gateway sends its counts to all others.
    Heartbeat(usize),
    /// The counts of a gateway arrive at another one.
    Counts(usize, usize),
    /// A call of a gateway ends at an upstream.
    End(usize, usize),
    /// A gateway assigns slots to its waiting calls.
    Poll(usize),
    /// A caller repeats a refused call.
    Repeat(u64),
    /// A gateway sees the first event of a call after this number of milliseconds.
    Answer(usize, u64),
}

struct Upstream {
    record: Arc<Record>,
    running: u32,
    /// When it begins to state in its answers that it is leaving, and the gateways that have
    /// received such an answer.
    leaves: Option<Moment>,
    told: HashSet<usize>,
    /// Calls that wait for a slot: gateway, call and when it was sent.
    waiting: VecDeque<(usize, u64, Moment)>,
}

/// Gateways and the upstreams that they share.
pub struct Fleet {
    rng: SmallRng,
    gateways: Vec<AdmissionController>,
    upstreams: Vec<Upstream>,
    by_id: HashMap<Arc<str>, usize>,
    events: BinaryHeap<Reverse<(Moment, Event)>>,
    sent: Vec<Vec<(Arc<str>, u32)>>,
    departures: Vec<Vec<Departure>>,
    reports: Vec<demand::Report>,
    pairs: HashMap<(usize, usize), u32>,
    arrivals: HashMap<u64, Moment>,
    outcome: Outcome,
    duration: Duration,
    mix: Option<Mix>,
    calls: HashMap<u64, mix::Call>,
    served: Served,
    last_call: u64,
}

impl Fleet {
    /// Creates a fleet of engines without calls.
    pub fn new(gateways: usize, upstreams: usize, slots: u32, seed: u64) -> Self {
        let engine = EngineSpec {
            slots,
            memory: 0,
            step_ms: 4.55,
            request_ms: 1.99,
            stride: 6,
            read_rate: 61_400.0,
            prompt: 800.0,
            answer: 97.0,
            experts: None,
        };
        Self::with_engine(gateways, upstreams, slots, Some(&engine), seed)
    }

    /// Creates a fleet of a plain service without calls.
    pub fn plain(gateways: usize, upstreams: usize, slots: u32, seed: u64) -> Self {
        Self::with_engine(gateways, upstreams, slots, None, seed)
    }

    fn with_engine(
        gateways: usize,
        upstreams: usize,
        slots: u32,
        engine: Option<&EngineSpec>,
        seed: u64,
    ) -> Self {
        let records: Vec<Arc<Record>> = (0..upstreams)
            .map(|number| {
                Arc::new(Record {
                    id: Arc::from(format!("u{number}")),
                    born: None,
                    service: Arc::from("s"),
                    address: ([10, 0, 0, 1], 80).into(),
                    zone: Arc::from(ZONES[number % ZONES.len()]),
                    slots,
                    draining: false,
                    cold: Duration::ZERO,
                })
            })
            .collect();
        let names: Vec<String> = (0..gateways).map(|number| format!("g{number}")).collect();
        let controller = |number: usize| {
            let others = names.iter().filter(|name| **name != names[number]);
            let members = Arc::new(Members::new(&names[number], others.map(String::as_str)));
            let mut candidates: Vec<Candidate> = records
                .iter()
                .map(|record| Candidate {
                    record: Arc::clone(record),
                    cold_until: Moment::default(),
                    cold_limit: OnceLock::new(),
                })
                .collect();
            candidates.sort_by_cached_key(|candidate| members.preference(&candidate.record.id));
            let pool = UpstreamPool {
                candidates,
                members,
                engine: engine.cloned(),
                ..UpstreamPool::default()
            };
            let zone = Arc::from(ZONES[number % ZONES.len()]);
            let settings = Settings {
                seed: seed << 32 | number as u64,
                ..Settings::default()
            };
            let mut controller = AdmissionController::new(settings, zone);
            controller.set_pools(HashMap::from([(Arc::from("s"), pool)]));
            controller
        };
        Self {
            rng: SmallRng::seed_from_u64(seed),
            gateways: (0..gateways).map(controller).collect(),
            by_id: records
                .iter()
                .enumerate()
                .map(|(number, record)| (Arc::clone(&record.id), number))
                .collect(),
            upstreams: records
                .into_iter()
                .map(|record| Upstream {
                    record,
                    running: 0,
                    leaves: None,
                    told: HashSet::new(),
                    waiting: VecDeque::new(),
                })
                .collect(),
            events: BinaryHeap::new(),
            sent: vec![Vec::new(); gateways],
            departures: vec![Vec::new(); gateways],
            reports: vec![demand::Report::default(); gateways],
            pairs: HashMap::new(),
            arrivals: HashMap::new(),
            outcome: Outcome::default(),
            duration: Duration::ZERO,
            mix: None,
            calls: HashMap::new(),
            served: Served::default(),
            last_call: 0,
        }
    }

    /// Lets the routes have unlike priorities, so that calls are admitted by shares.
    pub fn set_priorities(&mut self) {
        for gateway in &mut self.gateways {
            let mut pool = gateway.pools()["s"].clone();
            pool.has_priorities = true;
            gateway.set_pools(HashMap::from([(Arc::from("s"), pool)]));
        }
    }

    /// Lets the calls be of these workspaces and priorities.
    pub fn set_mix(&mut self, mix: Mix) {
        self.mix = Some(mix);
    }

    /// Returns how the calls of the mix were served.
    pub fn served(&self) -> Served {
        self.served.clone()
    }

    /// Lets the first upstreams leave one after the other, the first one `after` the start of a
    /// replay and each next one `gap` later. They stay listed as ready.
    pub fn leave(&mut self, upstreams: usize, after: Duration, gap: Duration) {
        let leaving = self.upstreams.iter_mut().take(upstreams);
        for (number, upstream) in leaving.enumerate() {
            upstream.leaves = Some(START + after + gap * number as u32);
        }
    }

    /// Plays a load from a state without calls.
    pub fn play(&mut self, load: Load) -> Outcome {
        let start = START;
        let interval = exchange::Settings::default().interval;
        self.duration = load.mean_duration;
        self.push(start, Event::Arrival);
        for gateway in 0..self.gateways.len() {
            let phase = interval.mul_f64(self.rng.random());
            self.push(start + phase, Event::Heartbeat(gateway));
        }
        let (mut next_sample, mut samples) = (start + Duration::from_secs(3), 0.0);
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > start + load.length {
                break;
            }
            if now >= next_sample {
                next_sample = next_sample + Duration::from_millis(100);
                samples += 1.0;
                self.outcome.skew += self.skew();
            }
            match event {
                Event::Arrival => {
                    let call = self.next_call();
                    self.arrive(call, now);
                    let factor = self
                        .mix
                        .as_ref()
                        .map_or(1.0, |mix| mix.load(now.since(start)));
                    let rate = load.calls_per_second * factor;
                    let gap = -self.rng.random::<f64>().max(1e-9).ln() / rate;
                    self.push(now + Duration::from_secs_f64(gap), Event::Arrival);
                }
                Event::Heartbeat(gateway) => {
                    self.sent[gateway] = self.gateways[gateway].loads();
                    self.departures[gateway] = self.gateways[gateway].recent_leaving(now);
                    self.reports[gateway] = self.gateways[gateway].demand(now);
                    for peer in (0..self.gateways.len()).filter(|peer| *peer != gateway) {
                        let counts = Event::Counts(gateway, peer);
                        self.push(now + HEARTBEAT_DELAY, counts);
                    }
                    self.push(now + interval, Event::Heartbeat(gateway));
                }
                Event::Counts(gateway, peer) => {
                    let counts = self.sent[gateway].clone();
                    self.gateways[peer].learn_leaving(&self.departures[gateway], now);
                    let report = self.reports[gateway].clone();
                    self.gateways[peer].learn_demand(&format!("g{gateway}"), report, now);
                    self.gateways[peer].set_peer_loads(&format!("g{gateway}"), counts, now);
                }
                Event::End(gateway, upstream) => self.end(gateway, upstream, now),
                Event::Poll(gateway) => self.poll(gateway, now),
                Event::Repeat(call) => self.repeat(call, now),
                Event::Answer(gateway, millis) => {
                    let elapsed = Duration::from_millis(millis);
                    let service = Arc::from("s");
                    self.gateways[gateway].observe_first_event(&service, elapsed, now);
                }
            }
        }
        self.outcome.pairs = self.pairs.len();
        self.outcome.skew /= f64::max(samples, 1.0);
        self.outcome
    }

    fn skew(&self) -> f64 {
        let running = self.upstreams.iter().map(|upstream| upstream.running);
        let (total, most) = running.fold((0, 0), |(total, most), one| (total + one, one.max(most)));
        f64::from(most) * self.upstreams.len() as f64 / f64::from(total.max(1))
    }

    fn push(&mut self, at: Moment, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn arrive(&mut self, call: u64, now: Moment) {
        let gateway = self.rng.random_range(0..self.gateways.len());
        self.outcome.arrived += 1;
        self.arrivals.insert(call, now);
        if let Some(mix) = &self.mix {
            let drawn = mix.draw(call, now.since(START), &mut self.rng);
            self.calls.insert(call, drawn);
            self.tally(&drawn).offered += u32::from(drawn.is_counted);
        }
        self.request(gateway, call, self.urgency(call), now);
    }

    fn next_call(&mut self) -> u64 {
        self.last_call += 1;
        self.last_call
    }

    fn urgency(&self, call: u64) -> u8 {
        self.calls.get(&call).map_or(1, |call| call.kind.priority)
    }

    fn tally(&mut self, call: &mix::Call) -> &mut mix::Tally {
        let key = (call.workspace, call.kind.priority);
        self.served.0.entry(key).or_default()
    }

    /// Sends a refused call again, with a new id and to any gateway.
    fn repeat(&mut self, refused: u64, now: Moment) {
        let gateway = self.rng.random_range(0..self.gateways.len());
        let call = self.next_call();
        let repeated = mix::Call {
            is_repeat: true,
            ..self.calls[&refused]
        };
        self.calls.insert(call, repeated);
        self.arrivals.insert(call, now);
        self.request(gateway, call, self.urgency(call), now);
    }

    /// Counts a refusal, after which the caller may repeat the call.
    fn refuse(&mut self, call: u64, retry_after: Duration, now: Moment) {
        self.outcome.refused += 1;
        let has_repeats = self.mix.as_ref().is_some_and(|mix| mix.has_repeats);
        let is_repeat = self.calls.get(&call).is_none_or(|call| call.is_repeat);
        if has_repeats && !is_repeat {
            let left = CALLER_DEADLINE.saturating_sub(now.since(self.arrivals[&call]));
            self.push(now + retry_after.min(left / 3), Event::Repeat(call));
        }
    }

    fn origin(&self, call: u64) -> demand::Origin {
        let call = self.calls.get(&call);
        call.map_or_else(demand::Origin::default, |call| demand::Origin {
            workspace: call.workspace as u32 + 1,
            request: call.request as u32,
            is_charged: false,
        })
    }

    /// Returns until when a call may wait such that it can be in time, and until when at all.
    fn waits(&self, gateway: usize, call: u64, now: Moment) -> (Duration, Duration) {
        let Some(call) = self.calls.get(&call) else {
            return (IN_TIME_WAIT, LATE_WAIT);
        };
        let objective = call.kind.objective;
        let in_time = self.gateways[gateway].longest_wait("s", objective, now);
        (in_time, objective.mul_f64(MAX_WAIT_OBJECTIVES))
    }

    /// Requests a slot as the request path does: in time first, and then as a late call.
    fn request(&mut self, gateway: usize, call: u64, urgency: u8, now: Moment) {
        let is_late = urgency == LATE_URGENCY;
        let (in_time, late) = self.waits(gateway, call, now);
        let wait = if is_late { late } else { in_time };
        let workspace = match self.calls.get(&call) {
            Some(call) => call.workspace as u32,
            None => self.rng.random_range(0..40),
        };
        let request = SlotRequest {
            call,
            service: Arc::from("s"),
            workspace: Workspace(workspace),
            tokens: 100,
            urgency,
            latest_start: self.arrivals[&call] + wait,
            pause: None,
            exclude: Vec::new(),
            origin: self.origin(call),
        };
        match self.gateways[gateway].request(request, now) {
            Verdict::Place(record) => self.send(gateway, call, &record, now),
            Verdict::Wait => self.push(now + Duration::from_millis(50), Event::Poll(gateway)),
            Verdict::Refuse(refusal) if is_late || refusal.reason == Reason::OverShare => {
                self.refuse(call, refusal.after, now);
            }
            Verdict::Refuse(_) => self.request(gateway, call, LATE_URGENCY, now),
        }
    }

    fn send(&mut self, gateway: usize, call: u64, record: &Record, now: Moment) {
        let number = self.by_id[&record.id];
        *self.pairs.entry((gateway, number)).or_default() += 1;
        self.outcome.placed += 1;
        if *record.zone != *ZONES[gateway % ZONES.len()] {
            self.outcome.other_zone += 1;
        }
        let upstream = &self.upstreams[number];
        if upstream.leaves.is_some_and(|at| at <= now) {
            self.outcome.to_leaving += 1;
            self.outcome.to_known_leaving += u32::from(upstream.told.contains(&gateway));
        }
        if self.upstreams[number].running < record.slots {
            self.start(gateway, call, number, now);
        } else {
            self.outcome.queued += 1;
            let waiting = &mut self.upstreams[number].waiting;
            waiting.push_back((gateway, call, now));
        }
    }

    fn start(&mut self, gateway: usize, call: u64, upstream: usize, now: Moment) {
        let wait = now.since(self.arrivals[&call]);
        if let Some(call) = self.calls.get(&call).copied() {
            let is_in_time = wait + call.first_event <= call.kind.objective;
            self.tally(&call).in_time += u32::from(call.is_counted && is_in_time);
            let millis = call.first_event.as_millis() as u64;
            let first_event = Event::Answer(gateway, millis);
            self.push(now + call.first_event, first_event);
        }
        if wait <= IN_TIME_WAIT {
            self.outcome.in_time += 1;
        }
        let started = &mut self.upstreams[upstream];
        started.running += 1;
        if started.leaves.is_some_and(|at| at <= now) {
            started.told.insert(gateway);
            self.gateways[gateway].observe_leaving(&started.record, now);
        }
        let duration = self.duration.mul_f64(self.rng.random_range(0.5..1.5));
        self.push(now + duration, Event::End(gateway, upstream));
    }

    fn end(&mut self, gateway: usize, upstream: usize, now: Moment) {
        self.upstreams[upstream].running -= 1;
        let record = Arc::clone(&self.upstreams[upstream].record);
        self.gateways[gateway].end_call(&record, HealthSignal::Success, now);
        if let Some((next, call, sent)) = self.upstreams[upstream].waiting.pop_front() {
            self.outcome.longest_wait = self.outcome.longest_wait.max(now.since(sent));
            self.start(next, call, upstream, now);
        }
        self.poll(gateway, now);
    }

    fn poll(&mut self, gateway: usize, now: Moment) {
        let poll = self.gateways[gateway].poll(now);
        for (call, refusal) in poll.refused {
            let (_, latest) = self.waits(gateway, call, now);
            if now.since(self.arrivals[&call]) < latest {
                self.request(gateway, call, LATE_URGENCY, now);
            } else {
                self.refuse(call, refusal.after, now);
            }
        }
        for (call, record) in poll.placed {
            self.send(gateway, call, &record, now);
        }
        if self.gateways[gateway].totals().1 > 0 {
            self.push(now + Duration::from_millis(50), Event::Poll(gateway));
        }
    }
}

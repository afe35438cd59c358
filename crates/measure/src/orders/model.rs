//! Agents, callers and a log in virtual time, driven by a queue of events.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamerock_base::time::Moment;
use sesamerock_ledger::attempt::{Call, Finish, Permit, Receipt, Ticket};
use sesamerock_ledger::batch::{self, AgentId};
use sesamerock_ledger::fold::Page;
use sesamerock_ledger::id::{Incarnation, Key, Request};
use sesamerock_ledger::record::{Entry, Record};
use sesamerock_ledger::shard::{Action, Config, Shard};

use super::{BODY_BYTES, LIMIT, histogram, outcome};

/// Time from the start of an append to its effect.
pub const APPEND: Duration = Duration::from_millis(10);
/// Time for which the service works on a call.
pub const RUN: Duration = Duration::from_millis(20);
/// Time after which each caller sends its call again, through another agent.
pub const CALLER_PATIENCE: Duration = Duration::from_millis(1_500);
/// Time from an append's effect to a waiting reader.
const READ: Duration = Duration::from_millis(2);
/// Time from a permit to the request's first byte.
pub const SEND: Duration = Duration::from_millis(5);
const PAUSE: Duration = Duration::from_secs(2);
const PAUSE_REST: Duration = Duration::from_millis(200);
const PAUSE_EVERY: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_secs(20);
/// Time after the last arrival in which calls may end.
const TAIL: Duration = Duration::from_secs(8);
/// The share of the log's limit that is configured for the shard; the rest is
/// for the other uses and for the moment in which many agents start at once.
const SHARE: f64 = 0.8;

/// One run of the model.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub appenders: usize,
    /// Calls a second.
    pub rate: u64,
    pub length: Duration,
    /// Whether agents pause and callers retry.
    pub pauses: bool,
    pub seed: u64,
}

/// An agent stands still for a while.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    pub agent: usize,
    pub from: Moment,
    pub to: Moment,
}

/// Returns the pauses of a run.
pub fn pause_schedule(load: Load) -> Vec<Pause> {
    if !load.pauses {
        return Vec::new();
    }
    let mut rng = ChaCha8Rng::seed_from_u64(load.seed ^ 1);
    let count = load.length.as_micros() / PAUSE_EVERY.as_micros();
    let mut free = vec![Moment(0); load.appenders];
    let mut pauses = Vec::new();
    for index in 0..count {
        let from = Moment(0) + PAUSE_EVERY * index as u32;
        let agent = rng.random_range(0..load.appenders);
        if free[agent] <= from {
            let to = from + PAUSE;
            free[agent] = to + PAUSE_REST;
            pauses.push(Pause { agent, from, to });
        }
    }
    pauses
}

/// What a run shows.
pub struct Outcome {
    pub calls: u64,
    pub retries: u64,
    pub runs: u64,
    /// Keys that ran more than once.
    pub doubled: u64,
    pub pauses: usize,
    /// Microseconds from arrival to permit.
    pub latency: Histogram<u64>,
    pub mean_appends: f64,
    pub peak_appends: f64,
    pub bytes_per_key: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { call: u64, agent: usize },
    Retry { call: u64, agent: usize },
    Wake { agent: usize },
    Append { index: usize },
    Read { agent: usize },
    Send { agent: usize },
    Finish { agent: usize },
    Resume { agent: usize },
    Pause { agent: usize },
}

struct Agent {
    shard: Shard,
    permits: VecDeque<Permit>,
    receipts: VecDeque<Receipt>,
    /// Arrival and number of each call.
    calls: HashMap<Ticket, (Moment, u64)>,
    /// Events that came while it stood still.
    held: Option<Vec<Event>>,
    reading: bool,
    wake: Option<Moment>,
}

/// The model of one run.
pub struct Model {
    load: Load,
    rng: ChaCha8Rng,
    now: Moment,
    events: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    order: u64,
    agents: Vec<Agent>,
    log: Vec<Arc<Entry>>,
    /// Entries on their way to the log.
    sent: Vec<Arc<Entry>>,
    /// When the log takes the next append.
    turn: Moment,
    starts: Vec<Moment>,
    bytes: u64,
    keys: u64,
    runs: BTreeMap<u64, u64>,
    result: Outcome,
}

impl Model {
    /// Makes the agents and the arrivals.
    pub fn new(load: Load) -> Self {
        let mut model = Self {
            load,
            rng: ChaCha8Rng::seed_from_u64(load.seed),
            now: Moment(0),
            events: BinaryHeap::new(),
            order: 0,
            agents: (0..load.appenders)
                .map(|index| agent(index, load.appenders))
                .collect(),
            log: Vec::new(),
            sent: Vec::new(),
            turn: Moment(0),
            starts: Vec::new(),
            bytes: 0,
            keys: 0,
            runs: BTreeMap::new(),
            result: Outcome {
                calls: 0,
                retries: 0,
                runs: 0,
                doubled: 0,
                pauses: 0,
                latency: histogram(),
                mean_appends: 0.0,
                peak_appends: 0.0,
                bytes_per_key: 0,
            },
        };
        model.plan();
        model
    }

    /// Runs to the end and returns what was seen.
    pub fn run(mut self) -> Outcome {
        let end = Moment(0) + self.load.length + TAIL;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.finish()
    }

    /// Draws arrivals at random times, and the pauses.
    fn plan(&mut self) {
        let calls = (self.load.length.as_secs_f64() * self.load.rate as f64) as u64;
        self.result.calls = calls;
        for call in 0..calls {
            let at = Moment(
                self.rng
                    .random_range(0..self.load.length.as_micros() as u64),
            );
            let agent = self.rng.random_range(0..self.load.appenders);
            self.schedule(at, Event::Arrive { call, agent });
        }
        let pauses = pause_schedule(self.load);
        self.result.pauses = pauses.len();
        for Pause { agent, from, to } in pauses {
            self.schedule(from, Event::Pause { agent });
            self.schedule(to, Event::Resume { agent });
        }
        for agent in 0..self.load.appenders {
            self.schedule(Moment(0), Event::Read { agent });
        }
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn handle(&mut self, event: Event) {
        let agent = match event {
            Event::Arrive { agent, .. }
            | Event::Retry { agent, .. }
            | Event::Wake { agent }
            | Event::Read { agent }
            | Event::Send { agent }
            | Event::Finish { agent }
            | Event::Pause { agent } => agent,
            Event::Resume { agent } => return self.resume(agent),
            Event::Append { index } => return self.append(index),
        };
        if let Some(held) = &mut self.agents[agent].held {
            held.push(event);
            if let Event::Arrive { call, .. } = event {
                self.expect(call, agent);
            }
            return;
        }
        self.act(agent, event);
        self.pump(agent);
    }

    fn act(&mut self, index: usize, event: Event) {
        let now = self.now;
        match event {
            Event::Arrive { call, .. } => {
                self.expect(call, index);
                self.submit(call, index);
            }
            Event::Retry { call, .. } => {
                self.result.retries += 1;
                self.submit(call, index);
            }
            Event::Wake { .. } => {
                self.agents[index].wake = None;
                self.agents[index].shard.tick(now);
            }
            Event::Read { .. } => self.read(index),
            Event::Send { .. } => self.send(index),
            Event::Finish { .. } => {
                let agent = &mut self.agents[index];
                if let Some(receipt) = agent.receipts.pop_front() {
                    let done = Finish::Done(outcome(BODY_BYTES));
                    agent.shard.finish(receipt, done, now);
                }
            }
            Event::Pause { .. } => self.agents[index].held = Some(Vec::new()),
            Event::Resume { .. } | Event::Append { .. } => {}
        }
    }

    /// Lets the caller send its call again through the next agent, whether it
    /// was served or not.
    fn expect(&mut self, call: u64, agent: usize) {
        if self.load.pauses {
            let agent = (agent + 1) % self.load.appenders;
            self.schedule(self.now + CALLER_PATIENCE, Event::Retry { call, agent });
        }
    }

    fn submit(&mut self, call: u64, index: usize) {
        let agent = &mut self.agents[index];
        let ticket = agent.shard.submit(
            Call {
                key: Key::new("workspace", "orders", &call.to_string()),
                request: Request([0; 8]),
                deadline: self.now + DEADLINE,
            },
            self.now,
        );
        agent.calls.insert(ticket, (self.now, call));
    }

    /// The permit is used after a moment, in which the agent may pause.
    fn send(&mut self, index: usize) {
        let now = self.now;
        let agent = &mut self.agents[index];
        let Some(permit) = agent.permits.pop_front() else {
            return;
        };
        let (_, call) = agent.calls[&permit.ticket()];
        if let Ok(receipt) = agent.shard.begin(permit, now) {
            agent.receipts.push_back(receipt);
            *self.runs.entry(call).or_default() += 1;
            self.schedule(now + RUN, Event::Finish { agent: index });
        }
    }

    fn read(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        agent.reading = false;
        let from = agent.shard.read_offset();
        let entries = self.log[from as usize..]
            .iter()
            .zip(from..)
            .map(|(entry, offset)| (offset, Some(Arc::clone(entry))))
            .collect();
        let page = Page {
            first: 0,
            head: self.log.len() as u64,
            entries,
        };
        agent.shard.apply_page(&page, self.now);
    }

    fn pump(&mut self, index: usize) {
        let now = self.now;
        while let Some(action) = self.agents[index].shard.next_action(now) {
            match action {
                Action::Append(entry) => self.start(entry),
                Action::Run(permit) => {
                    let agent = &mut self.agents[index];
                    let (arrival, _) = agent.calls[&permit.ticket()];
                    let waited = now.since(arrival).as_micros() as u64;
                    self.result.latency.saturating_record(waited);
                    agent.permits.push_back(permit);
                    self.schedule(now + SEND, Event::Send { agent: index });
                }
                Action::Answer(..) => {}
            }
        }
        let agent = &mut self.agents[index];
        let wake = agent.shard.wake_at().map(|wake| wake.max(now));
        if wake.is_some() && (agent.wake.is_none() || wake < agent.wake) {
            agent.wake = wake;
            let at = wake.unwrap_or(now);
            self.schedule(at, Event::Wake { agent: index });
        }
    }

    /// An append waits for its turn at the log's limit.
    fn start(&mut self, entry: Arc<Entry>) {
        self.starts.push(self.now);
        self.turn = self.turn.max(self.now) + Duration::from_secs_f64(1.0 / LIMIT);
        let index = self.sent.len();
        self.bytes += entry.encode().len() as u64;
        let intents = entry.records.iter().filter(|record| is_intent(record));
        self.keys += intents.count() as u64;
        self.sent.push(entry);
        self.schedule(self.turn + APPEND, Event::Append { index });
    }

    fn append(&mut self, index: usize) {
        self.log.push(Arc::clone(&self.sent[index]));
        for reader in 0..self.agents.len() {
            if !std::mem::replace(&mut self.agents[reader].reading, true) {
                self.schedule(self.now + READ, Event::Read { agent: reader });
            }
        }
    }

    fn resume(&mut self, agent: usize) {
        for event in self.agents[agent].held.take().unwrap_or_default() {
            match event {
                Event::Arrive { call, .. } => self.submit(call, agent),
                other => self.act(agent, other),
            }
            self.pump(agent);
        }
    }

    fn finish(mut self) -> Outcome {
        let second = Duration::from_secs(1);
        let mut window = VecDeque::new();
        for start in &self.starts {
            window.push_back(*start);
            while window
                .front()
                .is_some_and(|first| start.since(*first) >= second)
            {
                window.pop_front();
            }
            self.result.peak_appends = self.result.peak_appends.max(window.len() as f64);
        }
        let within = self
            .starts
            .iter()
            .filter(|start| start.0 < self.load.length.as_micros() as u64);
        self.result.mean_appends = within.count() as f64 / self.load.length.as_secs_f64();
        self.result.bytes_per_key = self.bytes / self.keys.max(1);
        self.result.runs = self.runs.values().sum();
        self.result.doubled = self.runs.values().filter(|runs| **runs > 1).count() as u64;
        self.result
    }
}

fn agent(index: usize, agents: usize) -> Agent {
    let config = Config {
        batch: batch::Config {
            appends_per_second: LIMIT * SHARE,
            ..batch::Config::default()
        },
        // Without appends nothing is read in the model, while a real agent's
        // reads are answered empty.
        max_read_age: DEADLINE,
        ..Config::default()
    };
    let agent_id = AgentId {
        // Spread like random numbers, as the settings' jitter expects.
        incarnation: Incarnation((index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        upstream: format!("orders-{index}").into(),
    };
    let mut shard = Shard::new(config, agent_id);
    shard.set_agents(agents);
    Agent {
        shard,
        permits: VecDeque::new(),
        receipts: VecDeque::new(),
        calls: HashMap::new(),
        held: None,
        reading: false,
        wake: None,
    }
}

const fn is_intent(record: &Record) -> bool {
    matches!(record, Record::Intent(_))
}

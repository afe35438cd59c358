//! Simulation of several agents and a log with random failures. It records what
//! callers and the service observe, for the checker.

mod check;
mod plan;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamerock_base::time::Moment;
use sesamerock_ledger::attempt::{Answer, Call, Finish, Permit, Receipt};
use sesamerock_ledger::batch::{self, AgentId};
use sesamerock_ledger::fold::{self, Page, Progress};
use sesamerock_ledger::id::{Incarnation, Key, Request};
use sesamerock_ledger::issued::{self, KeyDecision, KeyIssuer};
use sesamerock_ledger::record::{Body, Entry, Outcome, OwnAttempt, Record};
use sesamerock_ledger::shard::{Action, Config, Shard};

use plan::{ADVANCE, KINDS, TIME_STEPS, weights};
pub use plan::{Counts, FOREIGN_VOID, ISSUED_KEY, OUTAGE, PAUSE, Plan, RESTART, RESUME, TRUNCATE};

/// One execution, as the service observed it.
#[derive(Debug)]
struct Run {
    key: Key,
    /// Incarnation and ticket of the call.
    call: (u64, u64),
    at: Moment,
    /// Status of the response, and when it was sent.
    end: Option<(u16, Moment)>,
}

struct Agent {
    incarnation: u64,
    /// Number of the upstream that the agent serves.
    upstream: usize,
    shard: Shard,
    keys: KeyIssuer,
    permits: Vec<Permit>,
    /// Receipts, with the index of their run in `runs`.
    receipts: Vec<(Receipt, usize)>,
    /// Permits of issued keys, with the status that each response will have.
    issued_permits: Vec<(issued::Permit, u16)>,
    paused: bool,
}

pub struct Simulation {
    plan: Plan,
    rng: ChaCha8Rng,
    now: Moment,
    log: Vec<Arc<Entry>>,
    /// First offset that the log still holds.
    first: u64,
    /// Whether the log answers.
    log_up: bool,
    agents: Vec<Agent>,
    /// Processes that were replaced and may still resume.
    replaced: Vec<Agent>,
    /// Appends in flight, which may take effect late, twice or never.
    appends: Vec<Arc<Entry>>,
    runs: Vec<Run>,
    /// Answers by incarnation and ticket of the call.
    answers: BTreeMap<(u64, u64), (Key, Answer)>,
    calls: BTreeMap<(u64, u64), Key>,
    issued_keys: Vec<String>,
    /// Number of runs of each issued key.
    issued_runs: BTreeMap<String, u32>,
    issued_calls: BTreeMap<(u64, u64), String>,
    incarnations: u64,
    foreign_writers: u64,
    /// Highest position that any process has read.
    highest_position: u64,
    weights: [u32; KINDS],
    /// Number of different time steps of this schedule, from the shortest one.
    time_step_choices: usize,
    pub counts: Counts,
}

impl Simulation {
    pub fn new(plan: Plan, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut weights = weights(&mut rng);
        weights[ADVANCE] *= plan.advance_factor;
        for kind in plan.excluded {
            weights[*kind] = 0;
        }
        let time_step_choices = if plan.advance_factor > 1 {
            TIME_STEPS
        } else {
            rng.random_range(1..=TIME_STEPS)
        };
        let mut simulation = Self {
            plan,
            rng,
            now: Moment::from_millis(1_000),
            log: Vec::new(),
            first: 0,
            log_up: true,
            agents: Vec::new(),
            replaced: Vec::new(),
            appends: Vec::new(),
            runs: Vec::new(),
            answers: BTreeMap::new(),
            calls: BTreeMap::new(),
            issued_keys: Vec::new(),
            issued_runs: BTreeMap::new(),
            issued_calls: BTreeMap::new(),
            incarnations: 0,
            foreign_writers: 0,
            highest_position: 0,
            weights,
            time_step_choices,
            counts: Counts::default(),
        };
        for upstream in 0..plan.agents {
            let agent = simulation.start(upstream);
            simulation.agents.push(agent);
        }
        simulation
    }

    /// Runs the schedule and returns the first violation.
    pub fn explore(&mut self) -> Result<(), String> {
        for _ in 0..self.plan.events {
            self.run_event();
        }
        self.drain();
        self.check()
    }

    fn start(&mut self, upstream: usize) -> Agent {
        self.incarnations += 1;
        let agent_id = AgentId {
            incarnation: Incarnation(self.incarnations),
            upstream: format!("u{upstream}").into(),
        };
        let config = Config {
            fold: fold::Config {
                horizon: Duration::from_secs(self.plan.horizon),
                snapshot_entries: 6,
                snapshot_every: Duration::from_mins(1),
                part_bytes: 400,
            },
            batch: batch::Config {
                appends_per_second: 1_000.0,
                resend_after: Duration::from_millis(50),
                lazy_delay: Duration::from_millis(5),
                ..batch::Config::default()
            },
            grace_period: Duration::from_millis(100),
            ..Config::default()
        };
        let lifetime = Duration::from_secs(20);
        let issuer_config = issued::Config {
            lifetime,
            capacity: 4,
        };
        Agent {
            incarnation: self.incarnations,
            upstream,
            shard: Shard::with_rules(config, agent_id.clone(), self.plan.rules),
            keys: KeyIssuer::new(issuer_config, agent_id, [self.incarnations as u8; 32]),
            permits: Vec::new(),
            receipts: Vec::new(),
            issued_permits: Vec::new(),
            paused: false,
        }
    }

    fn run_event(&mut self) {
        let index = self.rng.random_range(0..self.agents.len());
        let mut draw = self.rng.random_range(0..self.weights.iter().sum());
        let kind = self.weights.iter().position(|weight| {
            let hit = draw < *weight;
            draw = draw.saturating_sub(*weight);
            hit
        });
        match kind {
            Some(0) => self.submit(index),
            Some(1) => self.deliver(),
            Some(2) => self.read(index),
            Some(3) => self.execute(index),
            Some(4) => self.advance(),
            Some(5) => self.resume_replaced(),
            Some(6) => self.use_issued_key(index),
            Some(7) => self.agents[index].paused = true,
            Some(8) => self.restart(index),
            Some(9) => self.trim(),
            Some(10) => self.foreign_void(),
            Some(11) => self.truncate_log(),
            Some(13) => self.read_stale(index),
            _ => self.log_up = false,
        }
        self.recover();
    }

    /// Ends an outage with a probability of 1/8, and the pause of a randomly
    /// chosen agent likewise.
    fn recover(&mut self) {
        self.log_up |= self.rng.random_ratio(1, 8);
        let index = self.rng.random_range(0..self.agents.len());
        self.agents[index].paused &= !self.rng.random_ratio(1, 8);
    }

    /// Restarts the log without its last entries. All agents then reconnect and
    /// exchange how far they had read. The case that only a process that has
    /// ended had read the furthest entries is excluded, since no agent knows of
    /// them.
    fn truncate_log(&mut self) {
        let furthest_progress = self.furthest_progress();
        let known = furthest_progress
            .as_ref()
            .is_none_or(|progress| progress.position >= self.highest_position);
        if known && self.log.len() as u64 > self.first {
            self.counts.truncations += 1;
            let keep = self.rng.random_range(self.first..self.log.len() as u64);
            self.log.truncate(keep as usize);
        }
        for agent in &mut self.agents {
            agent.shard.reconnected();
            if let Some(progress) = furthest_progress.clone() {
                agent.shard.require(progress);
            }
        }
    }

    fn furthest_progress(&self) -> Option<Progress> {
        self.agents.iter().map(|agent| agent.shard.progress()).max()
    }

    /// Appends a void by a writer that has not won the key.
    fn foreign_void(&mut self) {
        self.foreign_writers += 1;
        let key = self.key();
        self.log.push(Arc::new(Entry {
            writer: Incarnation(1_000_000 + self.foreign_writers),
            upstream: "foreign".into(),
            number: 1,
            records: vec![Record::Void(OwnAttempt { key, sequence: 1 })],
        }));
    }

    fn submit(&mut self, index: usize) {
        let key = self.key();
        let body = u8::from(self.rng.random_ratio(1, 12));
        let wait = [20, 200, 5_000][self.rng.random_range(0..3)];
        let call = Call {
            key,
            request: Request([body; 8]),
            deadline: self.now + Duration::from_millis(wait),
        };
        let agent = &mut self.agents[index];
        if agent.paused {
            return;
        }
        let ticket = agent.shard.submit(call, self.now);
        self.calls.insert((agent.incarnation, ticket.0), key);
        self.run_actions(index);
    }

    fn key(&mut self) -> Key {
        // The keys are spread over the key space, so that they are in different
        // snapshot parts.
        Key([self.rng.random_range(0..self.plan.keys).wrapping_mul(90); 16])
    }

    /// Performs the actions of an agent.
    fn run_actions(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        while let Some(action) = agent.shard.next_action(self.now) {
            match action {
                Action::Append(entry) => self.appends.push(entry),
                Action::Run(permit) => agent.permits.push(permit),
                Action::Answer(ticket, answer) => {
                    let call = (agent.incarnation, ticket.0);
                    match &answer {
                        Answer::Replay(_) => self.counts.replays += 1,
                        Answer::Unresolved => self.counts.unresolved += 1,
                        Answer::Refused(_) => self.counts.refusals += 1,
                        _ => {}
                    }
                    let previous = self.answers.insert(call, (self.calls[&call], answer));
                    assert!(previous.is_none(), "a call was answered twice");
                }
            }
        }
    }

    /// Lets one append take effect. At random, it stays in flight and takes
    /// effect again later, is reported as failed, or is lost.
    fn deliver(&mut self) {
        if self.appends.is_empty() || !self.log_up {
            return;
        }
        let at = self.rng.random_range(0..self.appends.len());
        let entry = if self.rng.random_ratio(1, 5) {
            self.counts.duplicates += 1;
            Arc::clone(&self.appends[at])
        } else {
            self.appends.swap_remove(at)
        };
        if self.rng.random_ratio(1, 4) {
            let now = self.now;
            for agent in &mut self.agents {
                if agent.incarnation == entry.writer.0 {
                    agent.shard.append_failed(&entry, None, now);
                }
            }
        }
        if !self.rng.random_ratio(1, 10) {
            self.log.push(entry);
        }
    }

    fn read(&mut self, index: usize) {
        let max_entries = [1, 2, 100][self.rng.random_range(0..3)];
        if self.log_up && !self.agents[index].paused {
            self.read_up_to(index, max_entries);
        }
    }

    /// Answers a read from a replica of the log that lacks the last entries.
    fn read_stale(&mut self, index: usize) {
        if self.log_up && !self.agents[index].paused && self.log.len() as u64 > self.first {
            self.counts.stale_reads += 1;
            let keep = self.rng.random_range(self.first..self.log.len() as u64);
            let end = self.log.split_off(keep as usize);
            self.read_up_to(index, 100);
            self.log.extend(end);
        }
    }

    fn read_up_to(&mut self, index: usize, max_entries: usize) {
        let agent = &mut self.agents[index];
        let from = agent.shard.read_offset();
        self.counts.reloads += u64::from(self.first > from);
        let from = from.max(self.first);
        let entries = (from..self.log.len() as u64)
            .take(max_entries)
            .map(|offset| (offset, Some(Arc::clone(&self.log[offset as usize]))))
            .collect();
        let page = Page {
            first: self.first,
            head: self.log.len() as u64,
            entries,
        };
        agent.shard.apply_page(&page, self.now);
        self.highest_position = self.highest_position.max(agent.shard.progress().position);
        self.run_actions(index);
    }

    /// Lets the executor use a permit, decline it, or end a call.
    fn execute(&mut self, index: usize) {
        if self.agents[index].paused {
            return;
        }
        let choice = self.rng.random_range(0..8);
        let agent = &mut self.agents[index];
        if choice < 4 {
            let Some(permit) = agent.permits.pop() else {
                return;
            };
            let call = (agent.incarnation, permit.ticket().0);
            match agent.shard.begin(permit, self.now) {
                Ok(receipt) => {
                    agent.receipts.push((receipt, self.runs.len()));
                    self.counts.runs += 1;
                    let reran = self.runs.iter().any(|run| run.key == self.calls[&call]);
                    self.counts.reruns += u64::from(reran);
                    self.runs.push(Run {
                        key: self.calls[&call],
                        call,
                        at: self.now,
                        end: None,
                    });
                }
                Err(_deadline_passed) => self.counts.late_permits += 1,
            }
        } else if choice == 4 {
            if let Some(permit) = agent.permits.pop() {
                self.counts.declined += 1;
                agent.shard.decline(permit, self.now);
            }
        } else if let Some((receipt, run)) = agent.receipts.pop() {
            let finish = if choice == 5 {
                Finish::Broken
            } else {
                self.runs[run].end = Some((run as u16, self.now));
                Finish::Done(response(run as u16))
            };
            agent.shard.finish(receipt, finish, self.now);
        }
        self.run_actions(index);
    }

    /// Resumes a process that was replaced, lets it use its permits and
    /// sometimes read.
    fn resume_replaced(&mut self) {
        if let Some(old) = self.replaced.pop() {
            let index = self.agents.len();
            self.agents.push(old);
            self.execute(index);
            if self.log_up && self.rng.random_ratio(1, 2) {
                self.read_up_to(index, 100);
                self.execute(index);
            }
            self.replaced.extend(self.agents.pop());
        }
    }

    fn restart(&mut self, index: usize) {
        self.counts.restarts += 1;
        let upstream = self.agents[index].upstream;
        let mut restarted = self.start(upstream);
        self.furthest_progress()
            .into_iter()
            .for_each(|progress| restarted.shard.require(progress));
        let mut old = std::mem::replace(&mut self.agents[index], restarted);
        old.paused = false;
        if self.weights[RESUME] > 0 && self.rng.random_ratio(2, 3) {
            self.replaced.push(old);
        }
    }

    /// Trims the log, mostly below the base of the latest complete snapshot.
    fn trim(&mut self) {
        let bound = if self.rng.random_ratio(1, 24) {
            self.log.len() as u64
        } else {
            self.snapshot_base().unwrap_or(0)
        };
        let bound = bound.min(self.log.len() as u64);
        if bound > self.first {
            self.first = self.rng.random_range(self.first + 1..=bound);
            self.counts.trims += 1;
        }
    }

    /// Returns the base of the latest complete snapshot in the retained log.
    fn snapshot_base(&self) -> Option<u64> {
        let mut bases: BTreeMap<(u64, u64), (u64, Vec<bool>)> = BTreeMap::new();
        let mut latest = None;
        for entry in &self.log[self.first as usize..] {
            let parts = entry.records.iter().filter_map(|record| match record {
                Record::Part(part) => Some(part),
                _ => None,
            });
            for part in parts {
                let id = (entry.writer.0, part.number);
                let empty = || (part.base, vec![false; part.count as usize]);
                let (base, seen) = bases.entry(id).or_insert_with(empty);
                seen[part.index as usize] = true;
                if seen.iter().all(|seen| *seen) {
                    latest = Some(*base);
                }
            }
        }
        latest
    }

    fn advance(&mut self) {
        let long = self.plan.horizon * 1_000 / 6;
        let millis =
            [1, 10, 60, 400, long.min(30_000)][self.rng.random_range(0..self.time_step_choices)];
        self.now = self.now + Duration::from_millis(millis);
        self.tick();
    }

    fn tick(&mut self) {
        for index in 0..self.agents.len() {
            if !self.agents[index].paused {
                self.agents[index].shard.tick(self.now);
                self.run_actions(index);
            }
        }
    }

    /// Issues a key, ends the call of an issued key, or submits one.
    fn use_issued_key(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        if self.rng.random_ratio(1, 3) {
            self.issued_keys.extend(agent.keys.issue(self.now));
        } else if let Some((permit, status)) = agent.issued_permits.pop() {
            match status % 3 {
                0 => agent.keys.finish(permit, Finish::Broken),
                _ => agent.keys.finish(permit, Finish::Done(response(status))),
            }
        } else if !self.issued_keys.is_empty() {
            let text = &self.issued_keys[self.rng.random_range(0..self.issued_keys.len())];
            match agent.keys.submit(text, Request([0; 8]), self.now) {
                KeyDecision::Run(grant) if self.rng.random_ratio(1, 4) => agent.keys.decline(grant),
                KeyDecision::Run(permit) => {
                    let status = self.rng.next_u32() as u16;
                    self.counts.issued_runs += 1;
                    *self.issued_runs.entry(text.clone()).or_default() += 1;
                    let call = (agent.incarnation, permit.sequence());
                    self.issued_calls.insert(call, text.clone());
                    agent.issued_permits.push((permit, status));
                }
                KeyDecision::Expired => self.counts.expired_keys += 1,
                _ => {}
            }
        }
    }

    /// Ends all pauses and appends and lets all permits be used, so that second
    /// runs are recorded.
    fn drain(&mut self) {
        self.log_up = true;
        while let Some(old) = self.replaced.pop() {
            self.agents.push(old);
        }
        for _ in 0..6 {
            self.log.append(&mut self.appends);
            for index in 0..self.agents.len() {
                self.agents[index].paused = false;
                self.read_up_to(index, 1_000);
                while !self.agents[index].permits.is_empty() {
                    self.execute(index);
                }
            }
            self.advance();
        }
        // First all deadlines pass, then all grace periods after them.
        for _ in 0..2 {
            self.now = self.now + Duration::from_secs(20);
            self.tick();
        }
    }
}

fn response(status: u16) -> Outcome {
    Outcome {
        status,
        content_type: String::new(),
        body: Body::Text(String::new()),
    }
}

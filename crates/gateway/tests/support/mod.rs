//! Test doubles: a store that grants the leadership, and groups of engines that accept
//! commands on maps.

#![allow(dead_code, reason = "each test file is a crate of its own")]

pub mod fleet;
pub mod suspects;

use std::collections::HashMap;
use std::future::pending;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use sesamerock_gateway::engine::{
    Command, CommandOutcome, Counts, Engine, Group, Preconditions, Report,
};
use sesamerock_gateway::node;
use sesamerock_gateway::state::View;
use sesamerock_gateway::store::{Batch, Fault, Feed, Lease, Offset, Store, Term};
use sesamerock_gateway::suspect;
use sesamerock_gateway::table::{self, Content, Experts, Limits, Service, Table};
use sesamerock_gateway::upstream::Record;

/// Number of ranks in each group.
pub const RANKS: u16 = 4;
/// Number of experts in the single set.
const EXPERTS: u16 = 16;
/// Duration of a step in milliseconds.
const STEP_MS: u64 = 60;
/// [`Record::born`] of engines that have not restarted.
pub const FIRST_START: u64 = 1;

/// A store that grants the leadership to every claimant and never delivers records.
#[derive(Clone, Debug, Default)]
pub struct GrantingStore {
    /// Number of claims and renewals so far.
    pub claims: Arc<AtomicU32>,
    /// Number of resignations so far.
    pub resigned: Arc<AtomicU32>,
    /// Whether claims are left unanswered.
    pub silent: Arc<AtomicBool>,
}

impl GrantingStore {
    /// Returns the term that is granted.
    pub fn term() -> Term {
        Term::new(0, 1).unwrap_or_default()
    }
}

impl Store for GrantingStore {
    async fn newest(&self, _: Feed) -> Result<Batch, Fault> {
        pending().await
    }

    async fn read(&self, _: Feed, _: Offset, _: Duration) -> Result<Batch, Fault> {
        pending().await
    }

    async fn claim_leadership(&self, _: &str, _: Duration, _: Term) -> Result<Lease, Fault> {
        self.claims.fetch_add(1, Ordering::Relaxed);
        if self.silent.load(Ordering::Relaxed) {
            return pending().await;
        }
        Ok(Lease {
            term: Self::term(),
            held: true,
        })
    }

    async fn resign(&self, _: &str) -> Result<(), Fault> {
        self.resigned.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    async fn announce(&self, _: &node::Record) -> Result<(), Fault> {
        Ok(())
    }

    async fn keep_conviction(&self, _: &suspect::Record) -> Result<(), Fault> {
        Ok(())
    }
}

/// State of one simulated rank.
#[derive(Clone, Debug, Default)]
struct Rank {
    map: u64,
    prepared: Option<u64>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    /// Highest fencing token of a command so far.
    fence: Option<u64>,
    /// Number of received commands by kind.
    received: HashMap<&'static str, u32>,
}

/// Switches of one group so far.
#[derive(Clone, Debug, Default)]
pub struct GroupHistory {
    /// Number of completed switches.
    pub switches: u32,
    /// Duration of each hold.
    pub holds: Vec<Duration>,
    held_since: Option<Instant>,
}

/// Simulated engines. The id of each is the name of its group, a slash and its rank.
#[derive(Clone, Debug)]
pub struct Engines {
    start: Instant,
    /// Time after the start at which demand shifts to other experts.
    shift: Duration,
    ranks: Arc<Mutex<HashMap<Arc<str>, Rank>>>,
    histories: Arc<Mutex<HashMap<String, GroupHistory>>>,
    /// Whether a command is left unanswered, given the id of the rank, the kind of the
    /// command, and how often the rank has received that kind before.
    leaves_unanswered: fn(&str, &str, u32) -> bool,
    /// When the engines last started, as [`Record::born`]. They refuse commands that are meant
    /// for another start.
    born: Arc<AtomicU64>,
    crash: Arc<Mutex<Crash>>,
    /// Token that all ranks have seen before the first command.
    fenced: Arc<AtomicU64>,
}

/// State of the rank [`CRASHED_RANK`] of each group.
#[derive(Clone, Copy, Debug, Default)]
struct Crash {
    /// Step at which all groups have stopped; `None` while the rank runs.
    stopped_at: Option<u64>,
    /// Whether the other ranks state that their group is broken.
    is_stated: bool,
    /// Number of crashes that have ended.
    ended: u64,
    /// Whether the rank runs, but does not answer.
    is_cut_off: bool,
}

/// Rank that [`Engines::crash`] stops.
const CRASHED_RANK: u16 = 2;

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn group_of(id: &str) -> &str {
    id.split('/').next().unwrap_or(id)
}

fn rank_of(id: &str) -> u16 {
    let rank = id.split('/').nth(1).and_then(|rank| rank.parse().ok());
    rank.unwrap_or_default()
}

impl Engines {
    /// Makes engines whose demand shifts once, `shift` after this call.
    pub fn new(shift: Duration, leaves_unanswered: fn(&str, &str, u32) -> bool) -> Self {
        Self {
            start: Instant::now(),
            shift,
            ranks: Arc::default(),
            histories: Arc::default(),
            leaves_unanswered,
            born: Arc::new(AtomicU64::new(FIRST_START)),
            crash: Arc::default(),
            fenced: Arc::default(),
        }
    }

    /// Restarts all engines at `born`, after which they know nothing of before.
    pub fn restart(&self, born: u64) {
        self.born.store(born, Ordering::Relaxed);
        locked(&self.ranks).clear();
        locked(&self.histories).clear();
    }

    /// Makes all ranks refuse lower tokens than this one, as after commands of another process.
    pub fn fence(&self, token: u64) {
        self.fenced.store(token, Ordering::Relaxed);
    }

    /// Stops a rank of each group, with which all others stop. They do not state it yet.
    pub fn crash(&self) {
        let step = self.step();
        locked(&self.crash).stopped_at = Some(step);
    }

    /// Makes a rank of each group unreachable, while all go on.
    pub fn cut_off(&self) {
        locked(&self.crash).is_cut_off = true;
    }

    /// Makes the ranks that have not crashed state that their group is broken.
    pub fn state_crash(&self) {
        locked(&self.crash).is_stated = true;
    }

    /// Forms the groups again, in a new epoch.
    pub fn recover(&self) {
        let mut crash = locked(&self.crash);
        *crash = Crash {
            ended: crash.ended + 1,
            ..Crash::default()
        };
    }

    fn is_silent(&self, id: &str) -> bool {
        let crash = *locked(&self.crash);
        rank_of(id) == CRASHED_RANK && (crash.is_cut_off || crash.stopped_at.is_some())
    }

    /// Returns the switches of a group so far.
    pub fn history(&self, group: &str) -> GroupHistory {
        locked(&self.histories)
            .get(group)
            .cloned()
            .unwrap_or_default()
    }

    fn step(&self) -> u64 {
        let step = self.start.elapsed().as_millis() as u64 / STEP_MS + 1;
        locked(&self.crash).stopped_at.unwrap_or(step)
    }

    /// Returns whether a rank has seen no higher token than this one.
    fn admit_fence(&self, id: &Arc<str>, fence: u64) -> bool {
        let mut ranks = locked(&self.ranks);
        let rank = ranks.entry(Arc::clone(id)).or_default();
        let seen = rank
            .fence
            .unwrap_or_else(|| self.fenced.load(Ordering::Relaxed));
        rank.fence = Some(seen.max(fence));
        fence >= seen
    }

    /// Applies a command to one rank.
    fn apply(&self, id: &Arc<str>, command: &Command) -> CommandOutcome {
        let step = self.step();
        let mut ranks = locked(&self.ranks);
        let rank = ranks.entry(Arc::clone(id)).or_default();
        let mut histories = locked(&self.histories);
        let history = histories.entry(group_of(id).to_owned()).or_default();
        match command {
            Command::Prepare { version, .. } if *version > rank.map => {
                rank.prepared = Some(*version);
            }
            Command::Hold { step } => {
                if rank.held.is_none() {
                    history.held_since = Some(Instant::now());
                }
                rank.held = Some(*step);
            }
            Command::Arm { version, step } if rank.prepared == Some(*version) => {
                rank.armed = Some((*version, *step));
            }
            Command::Go { step: at } if rank.held == Some(*at) => {
                rank.held = None;
                if let Some(since) = history.held_since.take() {
                    history.holds.push(since.elapsed());
                }
                history.switches += 1;
                // The group runs the step, and its ranks switch.
                let group = group_of(id).to_owned();
                let all = ranks.iter_mut().filter(|(id, _)| group_of(id) == group);
                for (_, rank) in all {
                    if let Some((version, _)) = rank.armed.take() {
                        rank.map = version;
                        rank.prepared = None;
                    }
                }
            }
            Command::Disarm { .. } => rank.armed = None,
            _ => return CommandOutcome::Conflict,
        }
        log::trace!("command applied at step {step}");
        CommandOutcome::Begun
    }
}

impl Engine for Engines {
    fn has_sidecar(&self, _: &Record) -> bool {
        true
    }

    async fn report(&self, at: &Record) -> Result<Report, Fault> {
        if self.is_silent(&at.id) {
            return Err(Fault::NoAnswer("the rank is silent".to_owned()));
        }
        let crash = *locked(&self.crash);
        let rank = locked(&self.ranks)
            .entry(Arc::clone(&at.id))
            .or_default()
            .clone();
        Ok(Report {
            born: Some(self.born.load(Ordering::Relaxed)),
            leaving: false,
            orders: 0,
            waiting: 0,
            running: 1,
            memory_used: 0,
            memory_total: 1,
            pace: 1.0,
            group: Some(Group {
                name: Arc::from(group_of(&at.id)),
                epoch: 1 + crash.ended,
                rank: rank_of(&at.id),
                size: RANKS,
                open: !crash.is_stated,
            }),
            step: self.step(),
            map: rank.map,
            prepared: rank.prepared,
            armed: rank.armed,
            held: rank.held,
        })
    }

    async fn counts(&self, at: &Record, _: u16) -> Result<Counts, Fault> {
        if self.is_silent(&at.id) {
            return Err(Fault::NoAnswer("the rank is silent".to_owned()));
        }
        let step = self.step();
        let before = step.min(self.shift.as_millis() as u64 / STEP_MS);
        let after = step - before;
        let weight =
            |expert: u16, peak: u16| 100 / (1 + u64::from((expert + EXPERTS - peak) % EXPERTS));
        let choices = |expert| before * weight(expert, 1) + after * weight(expert, 9);
        Ok(Counts {
            step,
            epoch: 1,
            counts: vec![(0..EXPERTS).map(choices).collect()],
        })
    }

    async fn held_experts(&self, _: &Record) -> Result<(u64, Vec<Vec<u16>>), Fault> {
        Err(Fault::NoAnswer(
            "these tests do not query the placement".to_owned(),
        ))
    }

    async fn send_command(
        &self,
        at: &Record,
        command: &Command,
        preconditions: Preconditions,
    ) -> Result<CommandOutcome, Fault> {
        let received_before = {
            let mut ranks = locked(&self.ranks);
            let rank = ranks.entry(Arc::clone(&at.id)).or_default();
            let received = rank.received.entry(command.as_str()).or_default();
            *received += 1;
            *received - 1
        };
        if (self.leaves_unanswered)(&at.id, command.as_str(), received_before) {
            return pending().await;
        }
        if at.born != Some(self.born.load(Ordering::Relaxed)) {
            return Ok(CommandOutcome::Refused);
        }
        if !self.admit_fence(&at.id, preconditions.fence) {
            return Ok(CommandOutcome::Fenced);
        }
        Ok(self.apply(&at.id, command))
    }
}

/// Returns a view with one service, which has a group of [`RANKS`] ranks for each name.
pub fn view(groups: &[&str]) -> View {
    view_of_starts(groups, &[FIRST_START])
}

/// Returns a view as [`view`] does, with a record of each rank for each start in `starts`. A
/// store lists the record of an earlier start until its heartbeats expire.
pub fn view_of_starts(groups: &[&str], starts: &[u64]) -> View {
    let experts = Experts {
        sets: 1,
        experts: EXPERTS,
        places: 6,
        spare: 2,
        bytes: 1_000_000,
        rate: 1_000_000_000,
        share: 0.85,
    };
    let service = Service {
        name: "s".to_owned(),
        health: "/h".to_owned(),
        connections: 10,
        cold: Duration::ZERO,
        cold_rate: 0.0,
        engine: Some(table::EngineSpec {
            slots: 8,
            memory: 100_000,
            step_ms: 5.0,
            request_ms: 1.0,
            stride: 4,
            read_rate: 60_000.0,
            prompt: 800.0,
            answer: 100.0,
            experts: Some(experts),
        }),
    };
    let content = Content {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        workspaces: None,
        limits: Limits::default(),
    };
    let record = |group: &str, rank, born| {
        Arc::new(Record {
            id: Arc::from(format!("{group}/{rank}")),
            born: Some(born),
            service: Arc::from("s"),
            address: ([127, 0, 0, 1], 1).into(),
            zone: Arc::from("a"),
            slots: 8,
            draining: false,
            cold: Duration::ZERO,
        })
    };
    let ranks = groups
        .iter()
        .flat_map(|group| (0..RANKS).map(move |rank| (group, rank)));
    let records = ranks.flat_map(|(group, rank)| {
        let records = starts.iter().map(move |born| (group, rank, *born));
        records.map(|(group, rank, born)| record(group, rank, born))
    });
    View {
        table: Some(Arc::new(Table::new(content))),
        ranks: HashMap::from([(Arc::from("s"), records.collect())]),
        complete: true,
        claims_leadership: true,
        ..View::default()
    }
}

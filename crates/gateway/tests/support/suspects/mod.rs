//! A simulation in virtual time of gateways whose calls crash upstreams. The suspicion is that of
//! the product; upstreams, their groups and heartbeats are models.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use sesamerock_base::time::Moment;
use sesamerock_gateway::suspect::{Attempt, Report, Settings, Subject, Suspects, Verdict};

/// Step of the simulation, in milliseconds.
const STEP_MS: u64 = 10;
/// Interval between heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 200;
/// One-way delay of a heartbeat, in milliseconds.
const DELAY_MS: u64 = 10;
/// Time from the sending of a call to the begin of its answer, in milliseconds.
const HEAD_MS: u64 = 150;
/// Time from there to the crash that a deadly part causes, in milliseconds.
const CRASH_MS: u64 = 100;
/// Time from there until an innocent call has gone on, in milliseconds.
const GOING_ON_MS: u64 = 1_000;
/// Time for which a group does not answer after a crash of one of its ranks, in milliseconds.
const OUTAGE_MS: u64 = 4_000;
/// Time after which a broken group refuses a call, in milliseconds.
const STALL_MS: u64 = 1_500;
/// Longest wait of a call for a verdict, in milliseconds.
const PATIENCE_MS: u64 = 1_500;
/// Parts that all innocent calls are made of: one of the caller and one of the service.
const INNOCENT_PARTS: u64 = 20;
/// Innocent calls per second.
const INNOCENT_PER_SECOND: f64 = 50.0;

/// Crashes of upstreams under calls that were sent before any other crash.
pub trait Crash {
    /// Records a confirmed crash. `has_begun` tells whether the call had an answer yet.
    fn crash(
        &mut self,
        subjects: &[Subject],
        upstream: &Arc<str>,
        born: Option<u64>,
        has_begun: bool,
        now: Moment,
    ) -> bool;
}

impl Crash for Suspects {
    fn crash(
        &mut self,
        subjects: &[Subject],
        upstream: &Arc<str>,
        born: Option<u64>,
        has_begun: bool,
        now: Moment,
    ) -> bool {
        let attempt = Attempt {
            upstream,
            born,
            sent_at: Moment::default(),
            has_begun,
        };
        self.record_crash(subjects, attempt, now)
    }
}

/// Calls with a part that crashes upstreams, or repeats of a request that does.
#[derive(Clone, Copy, Debug)]
pub struct Taint {
    /// The part or the request.
    pub part: Subject,
    /// Arrivals per second at all gateways together.
    pub per_second: f64,
}

/// A call that arrives at a gateway.
#[derive(Clone, Debug)]
pub struct Call {
    /// Index of the gateway.
    pub gateway: usize,
    /// Parts of its prompt, and the request.
    pub parts: Vec<Subject>,
}

/// What became of the calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Upstreams that crashed.
    pub crashes: u32,
    /// Calls with the deadly part that were refused for it.
    pub tainted_refused: u32,
    /// Calls without it that were refused for a part.
    pub innocent_refused: u32,
    /// Calls that were answered.
    pub answered: u32,
    /// Longest wait of an innocent call for a verdict.
    pub longest_wait: Duration,
}

#[derive(Debug)]
enum Stage {
    Waiting,
    Sent { at: u64, trial: Option<Subject> },
    Over,
}

#[derive(Debug)]
struct Running {
    call: Call,
    arrived: u64,
    is_tainted: bool,
    group: usize,
    stage: Stage,
}

/// Gateways that send calls to groups of upstreams.
#[derive(Debug)]
pub struct World {
    gateways: Vec<Suspects>,
    names: Vec<String>,
    random: SmallRng,
    /// End of the outage of each group.
    groups: Vec<u64>,
    messages: Vec<(u64, usize, usize, Report)>,
    running: Vec<Running>,
    requests: u64,
    now: u64,
    outcome: Outcome,
}

impl World {
    /// Creates gateways with one group of upstreams.
    pub fn new(gateways: usize, seed: u64) -> Self {
        Self::with_groups(gateways, 1, seed)
    }

    /// Creates gateways with some groups of upstreams.
    pub fn with_groups(gateways: usize, groups: usize, seed: u64) -> Self {
        let names: Vec<String> = (0..gateways).map(|index| format!("g{index}")).collect();
        let new = |name: &String| Suspects::new(Settings::default(), name);
        Self {
            gateways: names.iter().map(new).collect(),
            names,
            random: SmallRng::seed_from_u64(seed),
            groups: vec![0; groups],
            messages: Vec::new(),
            running: Vec::new(),
            requests: 0,
            now: 0,
            outcome: Outcome::default(),
        }
    }

    fn moment(&self) -> Moment {
        Moment::from_millis(self.now)
    }

    /// Plays innocent calls and, from three seconds on, those with a deadly part.
    pub fn play(mut self, taint: Option<Taint>, length_ms: u64) -> Outcome {
        let step = STEP_MS as f64 / 1e3;
        while self.now < length_ms {
            if self.random.random::<f64>() < INNOCENT_PER_SECOND * step {
                let parts = self.innocent_parts();
                self.arrive(parts, false);
            }
            if let Some(taint) = taint
                && self.now > 3_000
                && self.random.random::<f64>() < taint.per_second * step
            {
                let mut parts = self.innocent_parts();
                parts.push(taint.part);
                self.arrive(parts, true);
            }
            self.advance();
        }
        self.outcome
    }

    /// Plays these innocent calls, which arrive at once. A call that has waited as long as its
    /// caller can comes again.
    pub fn play_calls(mut self, calls: &[Call], length_ms: u64) -> Outcome {
        for call in calls {
            self.add(call.clone(), false);
        }
        while self.now < length_ms {
            self.advance();
        }
        self.outcome
    }

    /// Upstreams crash at the same moment while they answer these calls.
    pub fn crash_together(&mut self, calls: &[Call], upstreams: usize) {
        let now = self.moment();
        for (index, call) in calls.iter().enumerate() {
            let upstream: Arc<str> = Arc::from(format!("rack-{}", index % upstreams));
            let gateway = &mut self.gateways[call.gateway];
            gateway.crash(&call.parts, &upstream, None, true, now);
        }
    }

    fn innocent_parts(&mut self) -> Vec<Subject> {
        let mut part = |offset| Subject::Part(offset + self.random.random_range(0..INNOCENT_PARTS));
        vec![part(0), part(INNOCENT_PARTS)]
    }

    fn arrive(&mut self, mut parts: Vec<Subject>, is_tainted: bool) {
        // All requests differ, but for one that crashes upstreams and is repeated.
        if !parts.iter().any(|subject| subject.is_request()) {
            self.requests += 1;
            parts.push(Subject::Request(self.requests));
        }
        let gateway = self.random.random_range(0..self.gateways.len());
        self.add(Call { gateway, parts }, is_tainted);
    }

    fn add(&mut self, call: Call, is_tainted: bool) {
        let group = self.random.random_range(0..self.groups.len());
        self.running.push(Running {
            call,
            arrived: self.now,
            is_tainted,
            group,
            stage: Stage::Waiting,
        });
    }

    fn advance(&mut self) {
        self.now += STEP_MS;
        let mut running = std::mem::take(&mut self.running);
        for call in &mut running {
            self.step(call);
        }
        running.retain(|call| !matches!(call.stage, Stage::Over));
        self.running.append(&mut running);
        self.exchange();
    }

    fn step(&mut self, running: &mut Running) {
        let (now, moment) = (self.now, self.moment());
        let gateway = running.call.gateway;
        let parts = &running.call.parts;
        let suspects = &mut self.gateways[gateway];
        match running.stage {
            Stage::Over => {}
            Stage::Waiting => match suspects.judge(parts, moment) {
                Verdict::Wait if now - running.arrived >= PATIENCE_MS && running.is_tainted => {
                    running.stage = Stage::Over;
                }
                Verdict::Wait => {}
                Verdict::Refuse(..) => {
                    running.stage = Stage::Over;
                    if running.is_tainted {
                        self.outcome.tainted_refused += 1;
                    } else {
                        self.outcome.innocent_refused += 1;
                    }
                }
                verdict => {
                    let trial = match verdict {
                        Verdict::Try(part) => Some(part),
                        _ => None,
                    };
                    if !running.is_tainted {
                        let waited = Duration::from_millis(now - running.arrived);
                        self.outcome.longest_wait = self.outcome.longest_wait.max(waited);
                    }
                    running.stage = Stage::Sent { at: now, trial };
                }
            },
            Stage::Sent { at, trial } => {
                let group_back = self.groups[running.group];
                if group_back > at {
                    // The group broke before the answer had gone on: the call has not run.
                    if now - at >= STALL_MS {
                        if let Some(part) = trial {
                            suspects.end_trial(part);
                        }
                        running.stage = Stage::Waiting;
                        running.arrived = now;
                    }
                    return;
                }
                if running.is_tainted && now - at >= HEAD_MS + CRASH_MS {
                    self.outcome.crashes += 1;
                    self.groups[running.group] = now + OUTAGE_MS;
                    let upstream: Arc<str> = Arc::from(format!("u{}", self.outcome.crashes));
                    suspects.crash(parts, &upstream, None, true, moment);
                    if let Some(part) = trial {
                        suspects.end_trial(part);
                    }
                    // The caller's answer has broken off.
                    running.stage = Stage::Over;
                } else if now - at >= HEAD_MS + GOING_ON_MS {
                    suspects.clear(parts, moment);
                    if let Some(part) = trial {
                        suspects.end_trial(part);
                    }
                    self.outcome.answered += 1;
                    running.stage = Stage::Over;
                }
            }
        }
    }

    /// Sends heartbeats, at their interval and at news, and delivers those that have arrived.
    fn exchange(&mut self) {
        let moment = self.moment();
        for from in 0..self.gateways.len() {
            let phase = from as u64 * STEP_MS;
            let is_due = (self.now + phase).is_multiple_of(HEARTBEAT_MS);
            if !self.gateways[from].take_news() && !is_due {
                continue;
            }
            let report = self.gateways[from].report(moment);
            for to in (0..self.gateways.len()).filter(|to| *to != from) {
                let message = (self.now + DELAY_MS, from, to, report.clone());
                self.messages.push(message);
            }
        }
        let now = self.now;
        let arrived: Vec<_> = self.messages.extract_if(.., |it| it.0 <= now).collect();
        for (_, from, to, report) in arrived {
            self.gateways[to].learn(&self.names[from], report, moment);
        }
    }
}

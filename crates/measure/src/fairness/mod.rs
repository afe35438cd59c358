//! Measures fairness between workspaces at one upstream under overload.
//!
//! Four large workspaces, two of them with ten times larger calls and two with
//! twice the demand, and forty small ones offer 150 % of what the upstream
//! serves. Each large one asks for more than its fair share, so all four are
//! entitled to the same. The limit is fixed, so only the order of service
//! differs.

mod baseline;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamerock_base::key::{Key, Workspace};
use sesamerock_base::time::Moment;

use crate::report::Report;
use baseline::{Discipline, Fair, Order, Plain};

const LARGE: usize = 4;
const SMALL: usize = 40;
/// Tokens in flight that the upstream holds, and how long each call holds its
/// tokens; together they give the capacity in tokens per second.
const LIMIT_TOKENS: u64 = 100_000;
const HOLD: Duration = Duration::from_secs(2);
const CAPACITY: f64 = 50_000.0;
const LOAD: f64 = 1.5;
/// Part of the capacity that all small workspaces together ask for.
const SMALL_PART: f64 = 0.32;
const QUEUE_CALLS: usize = 512;
/// How long a caller waits for its call to begin.
const PATIENCE: Duration = Duration::from_secs(8);
const RUN_SECONDS: f64 = 300.0;
/// Mean tokens of a call: of the large workspaces in turn, and of small ones.
const LARGE_TOKENS: [f64; 2] = [300.0, 3000.0];
const SMALL_TOKENS: f64 = 800.0;
/// Demand of the large workspaces relative to each other.
const LARGE_WEIGHTS: [f64; LARGE] = [1.0, 1.0, 2.0, 2.0];

/// Workspaces and calls of the runs that show the cost of a call.
const COST_WORKSPACES: [u64; 3] = [18, 1_800, 18_000];
const COST_CALLS: u64 = 1_000_000;

/// Targets: part of its demand that each small workspace gets, and service of
/// the best over the worst of the large ones.
const SMALL_SERVED: f64 = 0.95;
const LARGE_RATIO: f64 = 1.1;

/// A call of the load.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Its place in the list of all calls.
    pub id: u64,
    /// Workspace that is served.
    pub workspace: Workspace,
    /// Token cost.
    pub tokens: u64,
    /// Arrival.
    pub at: Moment,
    /// Latest useful start.
    pub latest: Moment,
}

/// What the workspaces got.
struct Served {
    small_worst: f64,
    large_ratio: f64,
    utilisation: f64,
}

/// Runs the fair queue and the baselines on one load.
pub fn run(seed: u64, report: &mut Report) {
    let calls = load(seed);
    let fifo = serve(&calls, Plain::new(Order::Fifo));
    let count = serve(&calls, Plain::new(Order::Calls));
    let fair = serve(&calls, Fair::new());
    for (name, served) in [("fifo", &fifo), ("by_call", &count), ("by_tokens", &fair)] {
        report.line(&[
            ("queue", &name),
            ("calls", &calls.len()),
            ("small_served_min", &format!("{:.4}", served.small_worst)),
            ("large_max_over_min", &format!("{:.4}", served.large_ratio)),
            ("utilisation", &format!("{:.4}", served.utilisation)),
        ]);
    }
    for workspaces in COST_WORKSPACES {
        let (nanos, flows) = cost(workspaces);
        report.line(&[
            ("workspaces", &workspaces),
            ("calls", &COST_CALLS),
            ("nanos_per_call", &nanos),
            ("queued", &flows),
        ]);
    }
    report.at_least("small_served_min", SMALL_SERVED, fair.small_worst);
    report.at_most("large_max_over_min", LARGE_RATIO, fair.large_ratio);
}

/// Draws Poisson arrivals of all workspaces, in order of time.
fn load(seed: u64) -> Vec<Call> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut calls = Vec::new();
    for index in 0..LARGE + SMALL {
        let (tokens, rate) = if index < LARGE {
            let weights: f64 = LARGE_WEIGHTS.iter().sum();
            let part = (LOAD - SMALL_PART) * LARGE_WEIGHTS[index] / weights;
            (LARGE_TOKENS[index % 2], part * CAPACITY)
        } else {
            (SMALL_TOKENS, SMALL_PART / SMALL as f64 * CAPACITY)
        };
        let gap = tokens / rate;
        let mut seconds = 0.0;
        loop {
            seconds -= gap * (1.0 - rng.random::<f64>()).ln();
            if seconds > RUN_SECONDS {
                break;
            }
            let at = Moment((seconds * 1e6) as u64);
            calls.push(Call {
                id: 0,
                workspace: Workspace::new(index as u32),
                tokens: (tokens * rng.random_range(0.5..1.5)) as u64,
                at,
                latest: at + PATIENCE,
            });
        }
    }
    calls.sort_by_key(|c| c.at);
    for (id, call) in calls.iter_mut().enumerate() {
        call.id = id as u64;
    }
    calls
}

/// Returns the processor time of one call through a gate whose queue is full,
/// in nanoseconds, and the calls queued at the end.
fn cost(workspaces: u64) -> (u64, u32) {
    let mut fair = Fair::new();
    let mut running = VecDeque::new();
    let begin = Instant::now();
    for id in 0..COST_CALLS {
        let now = Moment(id * 100);
        let call = Call {
            id,
            workspace: Workspace::new((id * 7919 % workspaces) as u32),
            tokens: 1000,
            at: now,
            latest: now + PATIENCE,
        };
        fair.offer(now, call);
        running.extend(std::iter::from_fn(|| fair.next(now)).map(|id| Call { id, ..call }));
        if id % 2 == 0
            && let Some(call) = running.pop_front()
        {
            fair.finish(now, &call);
        }
    }
    let nanos = begin.elapsed().as_nanos() as u64 / COST_CALLS;
    (nanos, fair.queued())
}

/// Serves a load in virtual time.
fn serve(calls: &[Call], mut queue: impl Discipline) -> Served {
    let mut served = vec![0_u64; LARGE + SMALL];
    let mut ends: BinaryHeap<Reverse<(Moment, u64)>> = BinaryHeap::new();
    let mut arrivals = calls.iter().peekable();
    loop {
        let arrival = arrivals.peek().map(|c| c.at);
        let end = ends.peek().map(|Reverse((at, _))| *at);
        let now = match (arrival, end) {
            (Some(a), Some(e)) => a.min(e),
            (Some(a), None) => a,
            // What remains queued after the last arrival is not counted.
            (None, _) => break,
        };
        while let Some(Reverse((at, id))) = ends.peek().copied()
            && at <= now
        {
            ends.pop();
            queue.finish(now, &calls[id as usize]);
        }
        while let Some(call) = arrivals.next_if(|c| c.at <= now) {
            queue.offer(now, *call);
        }
        while let Some(id) = queue.next(now) {
            let call = &calls[id as usize];
            served[call.workspace.index()] += call.tokens;
            ends.push(Reverse((now + HOLD, id)));
        }
    }
    summary(calls, &served)
}

fn summary(calls: &[Call], served: &[u64]) -> Served {
    let mut offered = vec![0_u64; served.len()];
    for call in calls {
        offered[call.workspace.index()] += call.tokens;
    }
    let part = |i: usize| served[i] as f64 / offered[i] as f64;
    let large = served[..LARGE].iter().map(|s| *s as f64);
    let most = large.clone().fold(0.0, f64::max);
    let least = large.fold(f64::INFINITY, f64::min);
    let all: u64 = served.iter().sum();
    Served {
        small_worst: (LARGE..served.len()).map(part).fold(1.0, f64::min),
        large_ratio: most / least,
        utilisation: all as f64 / (CAPACITY * RUN_SECONDS),
    }
}

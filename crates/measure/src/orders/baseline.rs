//! Baselines: an append per record, and a lease in place of the log's order.

use std::collections::VecDeque;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamerock_base::time::Moment;

use super::model::{APPEND, CALLER_PATIENCE, Load, RUN, SEND, pause_schedule};
use super::{LIMIT, histogram};

/// Outcome of appending each record by itself.
pub struct Single {
    pub latency: Histogram<u64>,
    /// Appends a second that the calls ask for.
    pub wanted: u64,
}

/// Each intent and each outcome waits for its own turn at the log's limit.
pub fn single(load: Load) -> Single {
    let turn = Duration::from_secs_f64(1.0 / LIMIT);
    let gap = Duration::from_secs_f64(1.0 / load.rate as f64);
    let calls = (load.length.as_secs_f64() * load.rate as f64) as u32;
    let mut outcomes = VecDeque::new();
    let mut free = Moment(0);
    let mut latency = histogram();
    for call in 0..calls {
        let arrival = Moment(0) + gap * call;
        while outcomes.front().is_some_and(|due| *due <= arrival) {
            outcomes.pop_front();
            free = free.max(arrival) + turn;
        }
        free = free.max(arrival) + turn;
        let run = free + APPEND;
        outcomes.push_back(run + RUN);
        latency.saturating_record(run.since(arrival).as_micros() as u64);
    }
    Single {
        latency,
        wanted: 2 * load.rate,
    }
}

/// Outcome of running calls under a lease.
pub struct Lease {
    pub runs: u64,
    pub doubled: u64,
}

/// Time for which a lease is granted; the next agent takes over after it.
const LEASE: Duration = Duration::from_secs(1);

/// The agent that holds the lease checks it, then sends. A pause between the
/// two outlasts the lease, the caller retries at the next holder, and the first
/// one sends when it wakes up.
pub fn lease(load: Load) -> Lease {
    let mut rng = ChaCha8Rng::seed_from_u64(load.seed);
    let pauses = pause_schedule(load);
    let calls = (load.length.as_secs_f64() * load.rate as f64) as u64;
    let mut result = Lease {
        runs: 0,
        doubled: 0,
    };
    for _ in 0..calls {
        let arrival = Moment(rng.random_range(0..load.length.as_micros() as u64));
        let holder = rng.random_range(0..load.appenders);
        let caught = pauses.iter().any(|pause| {
            pause.agent == holder
                && pause.from >= arrival
                && pause.from < arrival + SEND
                && pause.to.since(pause.from) > LEASE
                && pause.to.since(arrival) > CALLER_PATIENCE
        });
        result.runs += 1 + u64::from(caught);
        result.doubled += u64::from(caught);
    }
    result
}

//! Hedging: sending a look-up to a second upstream when the first is slow.

use std::collections::VecDeque;
use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::budget::{Budget, Verdict};

/// Number of recent latencies kept.
const KEPT: usize = 256;

/// Fewest latencies that give a percentile; with fewer, nothing is hedged.
const LEAST: usize = 32;

/// The percentile is computed anew after this many latencies, since sorting
/// costs more than adding.
const INTERVAL: u32 = 32;

/// Recent latencies of a method's successful look-ups.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    recent: VecDeque<Duration>,
    since: u32,
    p95: Option<Duration>,
}

impl Latency {
    /// Takes in the latency of a look-up that was not hedged or won the race.
    pub fn observe(&mut self, latency: Duration) {
        if self.recent.len() >= KEPT {
            self.recent.pop_front();
        }
        self.recent.push_back(latency);
        self.since += 1;
        if self.recent.len() >= LEAST && (self.p95.is_none() || self.since >= INTERVAL) {
            self.since = 0;
            self.p95 = Some(self.percentile());
        }
    }

    /// Returns the 95th percentile, if enough latencies are known.
    pub fn p95(&self) -> Option<Duration> {
        self.p95
    }

    fn percentile(&self) -> Duration {
        let mut sorted: Vec<_> = self.recent.iter().copied().collect();
        let index = sorted.len() * 95 / 100;
        *sorted.select_nth_unstable(index).1
    }
}

/// Whether to send a second attempt beside the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it now.
    Now,
    /// Ask again after this time, unless the response has come.
    Wait(Duration),
    /// Do not hedge this call.
    Never,
}

/// A look-up in flight.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Whether the method is an idempotent look-up.
    pub lookup: bool,
    /// When the first attempt was sent.
    pub sent: Moment,
    /// When the caller needs the response.
    pub deadline: Moment,
    /// Whether it was hedged already.
    pub hedged: bool,
}

/// Decides whether to hedge a call, and takes the hedge from the budget.
pub fn decide(call: &Call, latency: &Latency, budget: &mut Budget, now: Moment) -> Decision {
    let Some(p95) = latency.p95() else {
        return Decision::Never;
    };
    let due = call.sent + p95;
    if !call.lookup || call.hedged || due >= call.deadline || now >= call.deadline {
        return Decision::Never;
    }
    if now < due {
        return Decision::Wait(due.since(now));
    }
    match budget.may_retry(now) {
        Verdict::Granted => Decision::Now,
        Verdict::Exhausted(_) => Decision::Never,
    }
}

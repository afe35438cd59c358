//! Recent latencies of look-ups, by service, in bounded memory.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;

/// Number of recent latencies kept of a service.
const MAX_SAMPLES: usize = 256;

/// Fewest latencies that give a percentile; with fewer, nothing is hedged.
const MIN_SAMPLES: usize = 32;

/// The percentile is computed anew after this many latencies, since sorting
/// costs more than adding.
const RECOMPUTE_INTERVAL: u32 = 32;

/// Most services whose latencies are kept, about 4 KB each. Names reach this
/// point only with an answer of a service, so that callers cannot invent them.
const MAX_SERVICES: usize = 64;

/// Recent latencies of a service's successful look-ups.
#[derive(Clone, Debug, Default)]
pub struct LatencyWindow {
    recent: VecDeque<Duration>,
    since_recompute: u32,
    p95: Option<Duration>,
}

impl LatencyWindow {
    /// Takes in the latency of a look-up that was not hedged or won the race.
    pub fn observe(&mut self, latency: Duration) {
        if self.recent.len() >= MAX_SAMPLES {
            self.recent.pop_front();
        }
        self.recent.push_back(latency);
        self.since_recompute += 1;
        if self.recent.len() >= MIN_SAMPLES
            && (self.p95.is_none() || self.since_recompute >= RECOMPUTE_INTERVAL)
        {
            self.since_recompute = 0;
            self.p95 = Some(self.compute_p95());
        }
    }

    /// Returns the 95th percentile, if enough latencies are known.
    pub fn p95(&self) -> Option<Duration> {
        self.p95
    }

    fn compute_p95(&self) -> Duration {
        let mut sorted: Vec<_> = self.recent.iter().copied().collect();
        let index = sorted.len() * 95 / 100;
        *sorted.select_nth_unstable(index).1
    }
}

/// Latencies of the services in use. The one that was used least recently
/// makes room for a new one.
#[derive(Clone, Debug, Default)]
pub struct ServiceLatencies {
    services: HashMap<Arc<str>, (LatencyWindow, Moment)>,
}

impl ServiceLatencies {
    /// Takes in the latency of a service's look-up.
    pub fn observe(&mut self, service: &str, latency: Duration, now: Moment) {
        if !self.services.contains_key(service) {
            self.evict_if_full();
            self.services.insert(Arc::from(service), Default::default());
        }
        if let Some((window, last_used)) = self.services.get_mut(service) {
            window.observe(latency);
            *last_used = now;
        }
    }

    /// Returns the 95th percentile of a service's look-ups, if enough are known.
    pub fn p95(&self, service: &str) -> Option<Duration> {
        self.services.get(service)?.0.p95()
    }

    /// Returns the number of services held.
    pub fn len(&self) -> usize {
        self.services.len()
    }

    /// Returns whether no service is held.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    fn evict_if_full(&mut self) {
        if self.services.len() < MAX_SERVICES {
            return;
        }
        let oldest = self
            .services
            .iter()
            .min_by_key(|(_, (_, last_used))| *last_used);
        if let Some(name) = oldest.map(|(name, _)| Arc::clone(name)) {
            self.services.remove(&name);
        }
    }
}

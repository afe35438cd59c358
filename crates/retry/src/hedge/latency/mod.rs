//! Tracks recent latencies of look-ups by service, in bounded memory.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;

/// Number of most recent latencies kept for each service.
const MAX_SAMPLES: usize = 256;

/// Minimum number of latencies for computing a percentile. A service with fewer
/// is not hedged.
const MIN_SAMPLES: usize = 32;

/// Number of new latencies after which the percentile is recomputed. It is not
/// recomputed each time, since sorting costs more than adding a latency.
const RECOMPUTE_INTERVAL: u32 = 32;

/// Maximum number of services whose latencies are kept, at about 4 KB each.
/// A name is added only after a service has answered, so callers cannot fill the
/// table with invented names.
const MAX_SERVICES: usize = 64;

/// Recent latencies of the successful look-ups of one service.
#[derive(Clone, Debug, Default)]
pub struct LatencyWindow {
    recent: VecDeque<Duration>,
    since_recompute: u32,
    p95: Option<Duration>,
}

impl LatencyWindow {
    /// Adds the latency of a look-up that was not hedged, or of the attempt that
    /// won the race.
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

    /// Returns the 95th percentile as last computed, or `None` if too few
    /// latencies have been added.
    pub fn p95(&self) -> Option<Duration> {
        self.p95
    }

    fn compute_p95(&self) -> Duration {
        let mut sorted: Vec<_> = self.recent.iter().copied().collect();
        let index = sorted.len() * 95 / 100;
        *sorted.select_nth_unstable(index).1
    }
}

/// Latencies of the services in use. When the table is full, a new service
/// evicts the least recently used one.
#[derive(Clone, Debug, Default)]
pub struct ServiceLatencies {
    services: HashMap<Arc<str>, (LatencyWindow, Moment)>,
}

impl ServiceLatencies {
    /// Adds the latency of a look-up to its service, at time `now`.
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

    /// Returns the 95th percentile of a service's latencies, or `None` if the
    /// service is not in the table or has too few latencies.
    pub fn p95(&self, service: &str) -> Option<Duration> {
        self.services.get(service)?.0.p95()
    }

    /// Number of services in the table.
    pub fn len(&self) -> usize {
        self.services.len()
    }

    /// Whether the table has no service.
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

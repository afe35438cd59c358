//! Outages: upstreams that are excluded for a while because their agents did
//! not answer.
//!
//! An agent that is down reports no load, so its upstream looks idle. Without
//! the exclusion it would be preferred to working upstreams that are full, and
//! the failed calls would use up the retry budget. An upstream whose look-ups
//! are overtaken by their hedged attempts looks idle as well, since the
//! cancelled calls no longer count.

use std::collections::HashMap;
use std::time::Duration;

use sesamerock_base::key::Upstream;
use sesamerock_base::time::Moment;

use super::{Table, Target};
use crate::clock;

/// Time for which an upstream is excluded after its first failure; it doubles
/// with each further failure.
const INITIAL_PAUSE: Duration = Duration::from_millis(200);
/// Maximum time for which an upstream is excluded after a failure.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Maximum number of times that the exclusion time doubles.
const MAX_DOUBLINGS: u32 = 5;
/// Number of look-ups overtaken in a row, without an answer to any call between
/// them, at which an upstream is excluded. A single one is no sign of an
/// outage, since one call in twenty is slower than the 95th percentile; three
/// in a row happen by chance in one case of 8,000.
const OVERTAKEN_LIMIT: u32 = 3;

/// Failures of an upstream since the last answer of its agent.
#[derive(Clone, Copy, Debug, Default)]
struct Outage {
    failures: u32,
    /// Look-ups overtaken by their hedged attempts.
    overtaken: u32,
    /// End of the exclusion.
    until: Moment,
}

/// Outages that this entry has observed, by upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct Outages {
    by_upstream: HashMap<Upstream, Outage>,
}

impl Outages {
    /// Records that an agent did not answer.
    pub(super) fn record_failure(&mut self, upstream: Upstream, now: Moment) {
        let outage = self.by_upstream.entry(upstream).or_default();
        if now < outage.until {
            // Failures of calls that were in flight at the same time count as
            // one.
            return;
        }
        let pause = INITIAL_PAUSE * (1 << outage.failures.min(MAX_DOUBLINGS));
        outage.failures += 1;
        outage.until = now + pause.min(MAX_PAUSE);
    }

    /// Records that a look-up was overtaken by its hedged attempt.
    pub(super) fn record_overtaken(&mut self, upstream: Upstream, now: Moment) {
        let outage = self.by_upstream.entry(upstream).or_default();
        outage.overtaken += 1;
        if outage.overtaken >= OVERTAKEN_LIMIT {
            self.record_failure(upstream, now);
        }
    }

    /// Removes the outage of an upstream whose agent answered or that is no
    /// longer tracked.
    pub(super) fn clear(&mut self, upstream: Upstream) {
        self.by_upstream.remove(&upstream);
    }

    /// Returns the upstreams that are excluded at the time `now`.
    pub(super) fn active(&self, now: Moment) -> impl Iterator<Item = Upstream> {
        let active = self
            .by_upstream
            .iter()
            .filter(move |(_, outage)| now < outage.until);
        active.map(|(upstream, _)| *upstream)
    }
}

impl Table {
    /// Records that the hedged attempt of a look-up was answered before the
    /// first attempt, which was sent to this target.
    pub fn record_overtaken(&mut self, target: &Target) {
        let upstream = target.choice.upstream;
        if self.rows.get(upstream).is_some() {
            self.outages.record_overtaken(upstream, clock::now());
        }
    }
}

//! Upstreams whose agents did not answer, and are left alone for a while.
//!
//! A dead agent reports no load, so it looks idle; without this it would be
//! preferred to live ones that are full, and use up the retry budget. An upstream
//! whose look-ups are overtaken by their second attempts looks idle as well,
//! since the cancelled calls no longer count.

use std::collections::HashMap;
use std::time::Duration;

use sesamerock_base::key::Upstream;
use sesamerock_base::time::Moment;

use super::{Table, Target};
use crate::clock;

/// Time for which an upstream is left alone after its first failure; it doubles
/// with each further one.
const INITIAL_PAUSE: Duration = Duration::from_millis(200);
/// Longest time for which an upstream is left alone.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Most doublings.
const MAX_DOUBLINGS: u32 = 5;
/// Look-ups overtaken in a row, without an answer of any call between them, from
/// which an upstream is left alone. One proves nothing: one call in twenty is
/// slower than the 95th percentile. Three in a row are one case in 8,000.
const OVERTAKEN_LIMIT: u32 = 3;

#[derive(Clone, Copy, Debug, Default)]
struct Outage {
    failures: u32,
    /// Look-ups overtaken since the last answer.
    overtaken: u32,
    until: Moment,
}

/// The outages an entry knows of.
#[derive(Clone, Debug, Default)]
pub(super) struct Outages {
    known: HashMap<Upstream, Outage>,
}

impl Outages {
    /// Notes that an agent did not answer.
    pub(super) fn record_failure(&mut self, upstream: Upstream, now: Moment) {
        let outage = self.known.entry(upstream).or_default();
        if now < outage.until {
            // Calls that were on their way together are one failure.
            return;
        }
        let pause = INITIAL_PAUSE * (1 << outage.failures.min(MAX_DOUBLINGS));
        outage.failures += 1;
        outage.until = now + pause.min(MAX_PAUSE);
    }

    /// Notes that a look-up was overtaken by its second attempt.
    pub(super) fn record_overtaken(&mut self, upstream: Upstream, now: Moment) {
        let outage = self.known.entry(upstream).or_default();
        outage.overtaken += 1;
        if outage.overtaken >= OVERTAKEN_LIMIT {
            self.record_failure(upstream, now);
        }
    }

    /// Notes that an agent answered.
    pub(super) fn clear(&mut self, upstream: Upstream) {
        self.known.remove(&upstream);
    }

    /// Yields the upstreams to leave alone now.
    pub(super) fn active(&self, now: Moment) -> impl Iterator<Item = Upstream> {
        let active = self
            .known
            .iter()
            .filter(move |(_, outage)| now < outage.until);
        active.map(|(upstream, _)| *upstream)
    }
}

impl Table {
    /// Takes in that a look-up's second attempt answered while the first, to
    /// this target, had brought nothing.
    pub fn record_overtaken(&mut self, target: &Target) {
        let upstream = target.choice.upstream;
        if self.rows.get(upstream).is_some() {
            self.outages.record_overtaken(upstream, clock::now());
        }
    }
}

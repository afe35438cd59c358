//! Passive health checks: rates an upstream by the results of its recent calls.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// What the end of a call shows about its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// The upstream answered without a server error.
    Success,
    /// The upstream refused the call since it has no free slot.
    Full,
    /// The upstream failed, sent an invalid answer or did not answer in time.
    Failure,
    /// The connection to the upstream could not be opened.
    Unreachable,
    /// The address of the upstream now belongs to another one.
    Misdirected,
    /// The end of the call says nothing about the upstream: the caller left, the call was
    /// not sent, or a reused connection broke.
    Neutral,
}

/// Weight of the latest call in the failure rate, which thus covers about ten calls.
const EWMA_WEIGHT: f64 = 0.1;
/// Back-off after an upstream could not be reached; doubled at each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Upper limit of the back-off, within which a recovered upstream gets calls again.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Back-off from an upstream without free slots: about the delay with
/// which other gateways report their calls to it.
const FULL_BACKOFF: Duration = Duration::from_millis(100);
/// Penalty of an upstream that fails all calls, in multiples of a full load.
const FAILURE_PENALTY: f64 = 2.0;
/// Time in which the failure rate halves without calls, so that an upstream that is no
/// longer chosen is tried again.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Failure rate and back-off of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Moving average of failed calls, from 0 to 1, as of `updated`.
    failure_rate: f64,
    updated: Moment,
    /// Consecutive failures to connect.
    unreachable_count: u32,
    backoff_until: Moment,
}

impl Health {
    /// Applies the decay of the failure rate before a call is sent.
    pub fn apply_decay(&mut self, now: Moment) {
        self.failure_rate = self.decayed_failure_rate(now);
        self.updated = now;
    }

    /// Updates the failure rate and the back-off at the end of a call.
    pub fn record(&mut self, signal: HealthSignal, now: Moment) {
        self.failure_rate = self.decayed_failure_rate(now);
        self.updated = now;
        match signal {
            HealthSignal::Success => {
                self.failure_rate *= 1.0 - EWMA_WEIGHT;
                self.unreachable_count = 0;
                self.backoff_until = Moment::default();
            }
            HealthSignal::Full => self.backoff_until = now + FULL_BACKOFF,
            HealthSignal::Failure => self.failure_rate += EWMA_WEIGHT * (1.0 - self.failure_rate),
            HealthSignal::Unreachable => {
                self.failure_rate += EWMA_WEIGHT * (1.0 - self.failure_rate);
                let backoff = INITIAL_BACKOFF * (1 << self.unreachable_count.min(4));
                self.unreachable_count += 1;
                self.backoff_until = now + backoff.min(MAX_BACKOFF);
            }
            HealthSignal::Misdirected | HealthSignal::Neutral => {}
        }
    }

    /// Returns whether a call may be sent while `calls` are running. After a back-off
    /// from an unreachable upstream, a single call is tried first.
    pub fn is_usable(&self, calls: u32, now: Moment) -> bool {
        now >= self.backoff_until && (self.unreachable_count == 0 || calls == 0)
    }

    /// Returns what to add to the relative load of the upstream when choosing one, in
    /// multiples of a full load.
    pub fn penalty(&self, now: Moment) -> f64 {
        self.decayed_failure_rate(now) * FAILURE_PENALTY
    }

    fn decayed_failure_rate(&self, now: Moment) -> f64 {
        let half_lives = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(half_lives)
    }
}

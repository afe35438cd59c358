//! Whether an upstream is worth a call, from what became of earlier ones.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// What the end of a call says of its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// It answered.
    Success,
    /// It said that it has no room.
    Full,
    /// It failed or fell silent.
    Failure,
    /// It could not be reached.
    Unreachable,
    /// Nothing, as the caller left or the call was not sent.
    Neutral,
}

/// Weight of the newest end in the share of failure_rate: about ten calls decide.
const EWMA_WEIGHT: f64 = 0.1;
/// Time away from an upstream that could not be reached, doubled each time.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Longest time away; a returned upstream gets work again within this time.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time away from an upstream without room: about the lag of its reports.
const FULL_BACKOFF: Duration = Duration::from_millis(100);
/// What a failing upstream costs in the choice, in full loads.
const FAILURE_PENALTY: f64 = 2.0;
/// Time in which the share of failure_rate halves, so that an upstream that is no
/// longer chosen gets another chance.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// What calls to one upstream have shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Share of failed calls.
    failure_rate: f64,
    updated: Moment,
    /// Times in a row that it could not be reached.
    unreachable_count: u32,
    backoff_until: Moment,
}

impl Health {
    /// Takes in that a call is sent.
    pub fn start_call(&mut self, now: Moment) {
        self.failure_rate = self.decayed_failure_rate(now);
        self.updated = now;
    }

    /// Takes in what the end of a call says.
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
            HealthSignal::Neutral => {}
        }
    }

    /// Returns whether a call may be sent. After a pause, one call is tried first.
    pub fn is_usable(&self, calls: u32, now: Moment) -> bool {
        now >= self.backoff_until && (self.unreachable_count == 0 || calls == 0)
    }

    /// Returns what the failures cost in the choice, in full loads.
    pub fn penalty(&self, now: Moment) -> f64 {
        self.decayed_failure_rate(now) * FAILURE_PENALTY
    }

    fn decayed_failure_rate(&self, now: Moment) -> f64 {
        let half_lives = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failure_rate * 0.5_f64.powf(half_lives)
    }
}

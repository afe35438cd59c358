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

/// Weight of the newest end in the share of failures: about ten calls decide.
const WEIGHT: f64 = 0.1;
/// Time away from an upstream that could not be reached, doubled each time.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest time away; a returned upstream gets work again within this time.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// Time away from an upstream without room: about the lag of its reports.
const FULL_PAUSE: Duration = Duration::from_millis(100);
/// What a failing upstream costs in the choice, in full loads.
const FAILURE_COST: f64 = 2.0;
/// Time in which the share of failures halves, so that an upstream that is no
/// longer chosen gets another chance.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// What calls to one upstream have shown.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// Share of failed calls.
    failures: f64,
    at: Moment,
    /// Times in a row that it could not be reached.
    unreached: u32,
    until: Moment,
}

impl Health {
    /// Takes in that a call is sent.
    pub fn begin(&mut self, now: Moment) {
        self.failures = self.share(now);
        self.at = now;
    }

    /// Takes in what the end of a call says.
    pub fn mark(&mut self, mark: HealthSignal, now: Moment) {
        self.failures = self.share(now);
        self.at = now;
        match mark {
            HealthSignal::Success => {
                self.failures *= 1.0 - WEIGHT;
                self.unreached = 0;
                self.until = Moment::default();
            }
            HealthSignal::Full => self.until = now + FULL_PAUSE,
            HealthSignal::Failure => self.failures += WEIGHT * (1.0 - self.failures),
            HealthSignal::Unreachable => {
                self.failures += WEIGHT * (1.0 - self.failures);
                let pause = FIRST_PAUSE * (1 << self.unreached.min(4));
                self.unreached += 1;
                self.until = now + pause.min(LONGEST_PAUSE);
            }
            HealthSignal::Neutral => {}
        }
    }

    /// Returns whether a call may be sent. After a pause, one call is tried first.
    pub fn usable(&self, calls: u32, now: Moment) -> bool {
        now >= self.until && (self.unreached == 0 || calls == 0)
    }

    /// Returns what the failures cost in the choice, in full loads.
    pub fn penalty(&self, now: Moment) -> f64 {
        self.share(now) * FAILURE_COST
    }

    fn share(&self, now: Moment) -> f64 {
        let halvings = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failures * 0.5_f64.powf(halvings)
    }
}

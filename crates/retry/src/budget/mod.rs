//! A token bucket that bounds retries, so that they cannot amplify an overload.
//!
//! Each successful call adds a fraction of a retry. Retries are also added at a
//! small constant rate, so that an entry with little traffic can retry at all.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// Refill rates and limits of a budget; all amounts count retries.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Retries added for each successful call.
    pub retries_per_success: f64,
    /// Retries added per second, independent of successful calls.
    pub retries_per_second: f64,
    /// Maximum balance.
    pub max_balance: f64,
    /// How far below zero resumptions of streams may take the balance. The loss
    /// of one of twelve upstreams interrupts a twelfth of all streams at once,
    /// which is more than the successes of the preceding seconds have added.
    pub overdraft: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retries_per_success: 0.1,
            retries_per_second: 5.0,
            max_balance: 100.0,
            overdraft: 400.0,
        }
    }
}

/// Whether the budget allows another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The attempt is allowed and was deducted from the balance.
    Granted,
    /// The attempt is not allowed, and nothing was deducted. Without further
    /// successes the budget allows an attempt after this time.
    Exhausted(Duration),
}

/// The retry budget of one sender for one pool of upstreams.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    balance: f64,
    refilled_at: Moment,
}

impl Budget {
    /// Creates a budget with the maximum balance. A budget that started empty
    /// would not suffice if a small system lost an upstream, and with it a third
    /// of its calls, within the first seconds.
    pub fn new(settings: Settings, now: Moment) -> Self {
        Self {
            balance: settings.max_balance,
            settings,
            refilled_at: now,
        }
    }

    /// Changes the settings. Balance above the new maximum is discarded.
    pub fn adjust(&mut self, settings: Settings, now: Moment) {
        self.refill(now);
        self.settings = settings;
        self.balance = self.balance.min(settings.max_balance);
    }

    /// Adds the refill of one call that succeeded, at the first attempt or later.
    pub fn record_success(&mut self, now: Moment) {
        self.refill(now);
        self.add(self.settings.retries_per_success);
    }

    /// Deducts a retry if the balance is at least 1.
    pub fn may_retry(&mut self, now: Moment) -> Verdict {
        self.take(now, 0.0)
    }

    /// Deducts a hedge if at least `reserve` retries remain afterwards.
    pub fn may_hedge(&mut self, now: Moment, reserve: f64) -> Verdict {
        self.take(now, reserve)
    }

    /// Returns an attempt to the budget that was granted but not sent.
    pub fn refund(&mut self, now: Moment) {
        self.refill(now);
        self.add(1.0);
    }

    /// Deducts the resumption of a stream if the balance stays within the
    /// overdraft.
    pub fn may_resume(&mut self, now: Moment) -> Verdict {
        self.take(now, -self.settings.overdraft)
    }

    /// Returns the balance in retries as of the last operation; negative while
    /// overdrawn.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    fn take(&mut self, now: Moment, min_left: f64) -> Verdict {
        self.refill(now);
        let missing = min_left + 1.0 - self.balance;
        if missing <= 0.0 {
            self.balance -= 1.0;
            return Verdict::Granted;
        }
        Verdict::Exhausted(Duration::from_secs_f64(
            missing / self.settings.retries_per_second.max(1e-3),
        ))
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.add(elapsed * self.settings.retries_per_second);
    }

    fn add(&mut self, retries: f64) {
        self.balance = (self.balance + retries).min(self.settings.max_balance);
    }
}

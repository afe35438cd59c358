//! A budget for retries, so that they cannot multiply an overload.
//!
//! Each success adds a share of a retry; a small rate is added besides, so that
//! an entry with little traffic can retry at all.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// Bounds of a budget.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Retries that each success pays for.
    pub retries_per_success: f64,
    /// Retries granted per second without any success.
    pub retries_per_second: f64,
    /// Most retries saved up.
    pub max_balance: f64,
    /// How far resumed streams may overdraw the budget. Losing one of a dozen
    /// upstreams cuts a twelfth of all streams at once, more than the share of
    /// successes saved in the seconds before.
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
    /// The attempt was taken from the budget.
    Granted,
    /// Nothing was taken; without successes the budget allows an attempt after
    /// this time.
    Exhausted(Duration),
}

/// The retry budget of one entry for one pool of upstreams.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    balance: f64,
    refilled_at: Moment,
}

impl Budget {
    /// Makes a full budget: a small system loses a third of its calls at once
    /// with one upstream, also in its first seconds.
    pub fn new(settings: Settings, now: Moment) -> Self {
        Self {
            balance: settings.max_balance,
            settings,
            refilled_at: now,
        }
    }

    /// Changes the bounds. What is saved up beyond the new ones is lost.
    pub fn adjust(&mut self, settings: Settings, now: Moment) {
        self.refill(now);
        self.settings = settings;
        self.balance = self.balance.min(settings.max_balance);
    }

    /// Counts a call that succeeded at its first attempt or later.
    pub fn record_success(&mut self, now: Moment) {
        self.refill(now);
        self.add(self.settings.retries_per_success);
    }

    /// Takes a retry from the budget, if it allows one.
    pub fn may_retry(&mut self, now: Moment) -> Verdict {
        self.take(now, 0.0)
    }

    /// Takes a hedge from the budget, if it allows one and `reserve` retries
    /// are left.
    pub fn may_hedge(&mut self, now: Moment, reserve: f64) -> Verdict {
        self.take(now, reserve)
    }

    /// Takes back an attempt that was granted and not sent.
    pub fn refund(&mut self, now: Moment) {
        self.refill(now);
        self.add(1.0);
    }

    /// Takes the resumption of a stream from the budget, if it allows one.
    pub fn may_resume(&mut self, now: Moment) -> Verdict {
        self.take(now, -self.settings.overdraft)
    }

    /// Returns the retries saved up; negative while overdrawn.
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

//! Expiring credits for entries.
//!
//! An entry that knows how many calls an upstream can take now sends only
//! those, so refusals stay rare. Credits are hints: the gate admits a call
//! without a credit and may refuse a call with one. A grant replaces the
//! previous grant of the same entry, so a lost report has no lasting effect.
//! Each grant expires, so a crashed entry does not hold credits indefinitely.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::Duration;

use sesamerock_base::time::Moment;

/// Settings of a [`CreditIssuer`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a grant lasts; several report intervals of an entry.
    pub lifetime: Duration,
    /// Maximum number of entries kept; the least recently granted is dropped
    /// first.
    pub entries: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lifetime: Duration::from_millis(500),
            entries: 1024,
        }
    }
}

/// Calls that an entry may send before a point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// Number of calls that are expected to be admitted at once.
    pub calls: u32,
    /// When the grant expires.
    pub until: Moment,
}

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    grant: Grant,
    demand: Demand,
}

/// Offers of the current and the previous period, each one grant lifetime long.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    offers: u32,
    previous_offers: u32,
    period: u64,
}

/// The credits of one upstream, by entry.
#[derive(Clone, Debug)]
pub struct CreditIssuer<E> {
    settings: Settings,
    accounts: HashMap<E, Account>,
    expiry: VecDeque<(Moment, E)>,
    outstanding: u32,
    /// Total demand of all entries.
    demand: Demand,
}

impl<E: Copy + Eq + Hash> CreditIssuer<E> {
    /// Creates an issuer without grants.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            accounts: HashMap::new(),
            expiry: VecDeque::new(),
            outstanding: 0,
            demand: Demand::default(),
        }
    }

    /// Returns the number of granted calls that are neither spent nor expired.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Returns the number of entries kept.
    pub fn entries(&self) -> usize {
        self.accounts.len()
    }

    /// Counts an offer of an entry and spends one of its credits; returns
    /// whether the entry had a credit.
    pub fn spend(&mut self, now: Moment, entry: E) -> bool {
        self.expire(now);
        let period = self.period(now);
        let Some(account) = self.accounts.get_mut(&entry) else {
            return false;
        };
        account.demand.count(period);
        self.demand.count(period);
        if account.grant.calls == 0 {
            return false;
        }
        account.grant.calls -= 1;
        self.outstanding -= 1;
        true
    }

    /// Grants an entry its share, by recent demand, of `free`: the calls that
    /// the limit still permits besides those queued and running.
    pub fn grant(&mut self, now: Moment, entry: E, free: u32) -> Grant {
        self.expire(now);
        let period = self.period(now);
        let until = now + self.settings.lifetime;
        let total_demand = u64::from(self.demand.recent(period));
        let account = self.accounts.entry(entry).or_default();
        let own_demand = u64::from(account.demand.recent(period));
        self.outstanding -= account.grant.calls;
        let remaining = free.saturating_sub(self.outstanding);
        let share =
            u64::from(remaining) * (own_demand + 1) / (total_demand + 1).max(own_demand + 1);
        let calls = (share as u32).clamp(u32::from(remaining > 0), remaining);
        let grant = Grant { calls, until };
        account.grant = grant;
        self.outstanding += calls;
        self.expiry.push_back((until, entry));
        self.trim();
        grant
    }

    /// Withdraws all grants; called after a reset of the limit.
    pub fn clear(&mut self) {
        self.outstanding = 0;
        self.expiry.clear();
        self.accounts.clear();
    }

    fn period(&self, now: Moment) -> u64 {
        now.0 / (self.settings.lifetime.as_micros() as u64).max(1)
    }

    fn expire(&mut self, now: Moment) {
        while let Some((_, entry)) = self.expiry.pop_front_if(|(until, _)| *until <= now) {
            self.revoke(now, entry);
        }
    }

    /// Drops the oldest grants beyond the maximum number of entries, and bounds
    /// the expiry list against entries that request grants often.
    fn trim(&mut self) {
        while self.accounts.len() > self.settings.entries
            || self.expiry.len() > 8 * self.settings.entries
        {
            let Some((until, entry)) = self.expiry.pop_front() else {
                return;
            };
            self.revoke(until, entry);
        }
    }

    /// Removes a grant that expires by `now`, unless a later grant replaced it.
    fn revoke(&mut self, now: Moment, entry: E) {
        let expired = |a: &Account| a.grant.until <= now;
        if self.accounts.get(&entry).is_some_and(expired)
            && let Some(account) = self.accounts.remove(&entry)
        {
            self.outstanding -= account.grant.calls;
        }
    }
}

impl Demand {
    fn count(&mut self, period: u64) {
        self.roll(period);
        self.offers = self.offers.saturating_add(1);
    }

    fn recent(&mut self, period: u64) -> u32 {
        self.roll(period);
        self.offers.saturating_add(self.previous_offers)
    }

    fn roll(&mut self, period: u64) {
        if period == self.period {
            return;
        }
        let adjacent = period == self.period + 1;
        self.previous_offers = if adjacent { self.offers } else { 0 };
        self.offers = 0;
        self.period = period;
    }
}

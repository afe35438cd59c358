//! The part of the system's retry budget that this entry may use.
//!
//! Entries do not ask each other before a repeat. The fixed part of the budget is
//! divided by the entries that may be alive, also those that this one cannot hear; the
//! part that calls pay for needs no division, as each entry counts its own calls.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use sesamerock_base::time::Moment;
use sesamerock_retry::budget::{self, Budget, Verdict};

/// The retry budgets of all services.
#[derive(Debug)]
pub struct Retries {
    system: budget::Settings,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Entries that share the budget; 0 while that is not known.
    entries: usize,
    budgets: HashMap<Arc<str>, Budget>,
}

impl Retries {
    /// Divides a budget, which is that of all entries together. Nothing may be repeated
    /// before [`Retries::divide`] has said by how many.
    pub fn new(system: budget::Settings) -> Self {
        Self {
            system,
            inner: Mutex::default(),
        }
    }

    /// Divides the budget by a number of entries; 0 means that it is not known.
    pub fn divide(&self, entries: usize, now: Moment) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if inner.entries == entries {
            return;
        }
        inner.entries = entries;
        if let Some(part) = part(self.system, entries) {
            for budget in inner.budgets.values_mut() {
                budget.adjust(part, now);
            }
        }
    }

    /// Takes a repeat from the budget of a service.
    pub fn may_retry(&self, service: &Arc<str>, now: Moment) -> bool {
        let taken = self.with(service, now, |budget| budget.may_retry(now));
        taken == Some(Verdict::Granted)
    }

    /// Counts a call as one that pays for repeats.
    pub fn count_call(&self, service: &Arc<str>, now: Moment) {
        self.with(service, now, |budget| budget.record_success(now));
    }

    fn with<T>(
        &self,
        service: &Arc<str>,
        now: Moment,
        act: impl FnOnce(&mut Budget) -> T,
    ) -> Option<T> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let part = part(self.system, inner.entries)?;
        let budget = inner
            .budgets
            .entry(Arc::clone(service))
            .or_insert_with(|| Budget::new(part, now));
        Some(act(budget))
    }
}

/// Returns the part of one of `entries`, unless their number is not known.
fn part(system: budget::Settings, entries: usize) -> Option<budget::Settings> {
    (entries > 0).then(|| budget::Settings {
        retries_per_second: system.retries_per_second / entries as f64,
        max_balance: system.max_balance / entries as f64,
        ..system
    })
}

//! The part of the total's retry budget that this entry may use.
//!
//! Entries do not ask each other before a repeat. The fixed part of the budget is
//! divided by the gateways that may be alive, also those that this one cannot hear; the
//! part that calls pay for needs no division, as each entry counts its own calls.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use sesamerock_base::time::Moment;
use sesamerock_retry::budget::{self, Budget, Verdict};

/// The retry budgets of all services.
#[derive(Debug)]
pub struct Retries {
    total: budget::Settings,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Entries that share the budget; 0 while that is not known.
    gateways: usize,
    budgets: HashMap<Arc<str>, Budget>,
}

impl Retries {
    /// Divides a budget, which is that of all gateways together. Nothing may be repeated
    /// before [`Retries::set_gateways`] has said by how many.
    pub fn new(total: budget::Settings) -> Self {
        Self {
            total,
            state: Mutex::default(),
        }
    }

    /// Divides the budget by a number of gateways; 0 means that it is not known.
    pub fn set_gateways(&self, gateways: usize, now: Moment) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.gateways == gateways {
            return;
        }
        state.gateways = gateways;
        if let Some(share) = share(self.total, gateways) {
            for budget in state.budgets.values_mut() {
                budget.adjust(share, now);
            }
        }
    }

    /// Takes a repeat from the budget of a service.
    pub fn may_retry(&self, service: &Arc<str>, now: Moment) -> bool {
        let verdict = self.with_budget(service, now, |budget| budget.may_retry(now));
        verdict == Some(Verdict::Granted)
    }

    /// Counts a call as one that pays for repeats.
    pub fn count_call(&self, service: &Arc<str>, now: Moment) {
        self.with_budget(service, now, |budget| budget.success(now));
    }

    fn with_budget<T>(
        &self,
        service: &Arc<str>,
        now: Moment,
        action: impl FnOnce(&mut Budget) -> T,
    ) -> Option<T> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let share = share(self.total, state.gateways)?;
        let budget = state
            .budgets
            .entry(Arc::clone(service))
            .or_insert_with(|| Budget::new(share, now));
        Some(action(budget))
    }
}

/// Returns the part of one of `gateways`, unless their number is not known.
fn share(total: budget::Settings, gateways: usize) -> Option<budget::Settings> {
    (gateways > 0).then(|| budget::Settings {
        floor: total.floor / gateways as f64,
        most: total.most / gateways as f64,
        ..total
    })
}

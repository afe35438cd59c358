//! This gateway's share of the retry budget.
//!
//! Gateways do not coordinate before a retry. The fixed part of the budget is divided
//! by the number of gateways that may be alive, including those that this one receives
//! no heartbeats from. The part that is proportional to calls needs no division, as
//! each gateway counts its own calls.

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
    /// Gateways that share the budget; 0 while their number is not known.
    gateways: usize,
    budgets: HashMap<Arc<str>, Budget>,
}

impl Retries {
    /// Creates the budgets from `total`, the budget of each service for all gateways
    /// together. No retry is granted before [`Retries::set_gateways`].
    pub fn new(total: budget::Settings) -> Self {
        Self {
            total,
            state: Mutex::default(),
        }
    }

    /// Sets the number of gateways that share the budget; 0 if it is not known.
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

    /// Consumes one retry from the budget of a service. Returns whether it was granted.
    pub fn may_retry(&self, service: &Arc<str>, now: Moment) -> bool {
        let verdict = self.with_budget(service, now, |budget| budget.may_retry(now));
        verdict == Some(Verdict::Granted)
    }

    /// Counts a call at its arrival, which adds to the proportional part of the budget: all
    /// calls count there, not only those that succeed.
    pub fn count_call(&self, service: &Arc<str>, now: Moment) {
        self.with_budget(service, now, |budget| budget.record_success(now));
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

/// Returns the share of one of `gateways`, or `None` if their number is not known.
fn share(total: budget::Settings, gateways: usize) -> Option<budget::Settings> {
    (gateways > 0).then(|| budget::Settings {
        retries_per_second: total.retries_per_second / gateways as f64,
        max_balance: total.max_balance / gateways as f64,
        ..total
    })
}

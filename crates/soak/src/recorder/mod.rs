//! What callers and upstreams have seen, and whether it keeps the promises.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Most violations that are kept; the first ones tell most.
const MAX_VIOLATIONS: usize = 20;

/// Counts of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Calls that were sent.
    pub sent: u64,
    /// Calls that were answered with success.
    pub served: u64,
}

#[derive(Debug)]
struct Inner {
    totals: Totals,
    /// Upstreams that ran each call that must not be repeated.
    runs: HashMap<String, Vec<String>>,
    /// Calls whose answer says that they have not run, with the status.
    refused: HashMap<String, u16>,
    /// When upstreams and zones were taken out, by identity or `zone/NAME`.
    out_of_service: HashMap<String, Instant>,
    /// End of the last fault that may keep a gateway from learning something.
    last_disturbance: Instant,
    /// Whether such a fault is in force.
    active_disturbances: u32,
    violations: Vec<String>,
}

/// The record of one run.
#[derive(Clone, Debug)]
pub struct Recorder {
    inner: Arc<Mutex<Inner>>,
}

impl Inner {
    fn add_violation(&mut self, violation: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(violation);
        }
    }
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                totals: Totals::default(),
                runs: HashMap::new(),
                refused: HashMap::new(),
                out_of_service: HashMap::new(),
                last_disturbance: Instant::now(),
                active_disturbances: 0,
                violations: Vec::new(),
            })),
        }
    }
}

impl Recorder {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in that a promise is broken.
    pub fn record_violation(&self, text: String) {
        self.lock().add_violation(text);
    }

    /// Returns the promises that were broken.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Returns the counts.
    pub fn totals(&self) -> Totals {
        self.lock().totals
    }

    /// Takes in that a call is sent.
    pub fn record_sent(&self) {
        self.lock().totals.sent += 1;
    }

    /// Takes in that a call is answered with success.
    pub fn record_served(&self) {
        self.lock().totals.served += 1;
    }

    /// Takes in that an upstream of a zone runs a call. `once` says that the call must not
    /// be repeated.
    pub fn record_run(&self, call: &str, once: bool, upstream: &str, zone: &str) {
        let now = Instant::now();
        let mut inner = self.lock();
        for (key, bound) in [
            (upstream.to_owned(), DRAIN_TIME),
            (format!("zone/{zone}"), EVACUATION_TIME),
        ] {
            let Some(taken_out_at) = inner.out_of_service.get(&key).copied() else {
                continue;
            };
            // Gateways that were disturbed lately are not bound.
            let is_late = now > taken_out_at + bound;
            if is_late
                && inner.active_disturbances == 0
                && inner.last_disturbance + SETTLE_TIME < taken_out_at
            {
                let late_ms = now.duration_since(taken_out_at).as_millis();
                let text = format!("{key} gets call {call} {late_ms} ms after it was taken out");
                inner.add_violation(text);
            }
        }
        if once {
            let runs = inner.runs.entry(call.to_owned()).or_default();
            runs.push(upstream.to_owned());
            if runs.len() > 1 {
                let text = format!("call {call} must run once and ran at {runs:?}");
                inner.add_violation(text);
            }
        }
    }

    /// Takes in an answer that says that a call has not run.
    pub fn record_refused(&self, call: &str, status: u16) {
        self.lock().refused.insert(call.to_owned(), status);
    }

    /// Checks that no call ran whose answer says that it did not.
    pub fn check_refusals(&self) {
        let mut inner = self.lock();
        let contradicted: Vec<String> = inner
            .refused
            .iter()
            .filter_map(|(call, status)| {
                let upstreams = inner.runs.get(call)?;
                Some(format!(
                    "call {call} is refused with {status} and ran at {upstreams:?}"
                ))
            })
            .collect();
        for text in contradicted {
            inner.add_violation(text);
        }
    }

    /// Takes in that an upstream or a zone is taken out, or back.
    pub fn set_out_of_service(&self, key: &str, is_out: bool) {
        let mut inner = self.lock();
        if is_out {
            inner.out_of_service.insert(key.to_owned(), Instant::now());
        } else {
            inner.out_of_service.remove(key);
        }
    }

    /// Takes in that a fault begins or ends that may keep a gateway from learning.
    pub fn record_disturbance(&self, begins: bool) {
        let mut inner = self.lock();
        inner.last_disturbance = Instant::now();
        if begins {
            inner.active_disturbances += 1;
        } else {
            inner.active_disturbances = inner.active_disturbances.saturating_sub(1);
        }
    }

    /// Returns whether nothing has kept gateways from learning for the time of contact.
    pub fn is_calm(&self) -> bool {
        let inner = self.lock();
        inner.active_disturbances == 0 && inner.last_disturbance.elapsed() > SETTLE_TIME
    }
}

/// Time within which an upstream that leaves gets its last call.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time within which a zone that is taken out gets its last call.
pub const EVACUATION_TIME: Duration = Duration::from_secs(5);
/// Time without faults after which a gateway is bound by what it could have learnt.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);

//! Records what callers and upstreams observe, and checks it against the guarantees.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::knowledge::Knowledge;

/// Maximum number of violations kept. Later ones are dropped, since the first ones are the
/// most informative.
const MAX_VIOLATIONS: usize = 20;

/// Call counts of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Calls sent.
    pub sent: u64,
    /// Calls answered completely with status 200.
    pub served: u64,
}

#[derive(Debug)]
struct Inner {
    totals: Totals,
    /// For each call that must not be repeated, the upstreams that ran it.
    runs: HashMap<String, Vec<String>>,
    /// Status of each call whose answer states that it has not run.
    refused: HashMap<String, u16>,
    /// When upstreams and zones were taken out of service, by identity or `zone/NAME`.
    out_of_service: HashMap<String, Instant>,
    /// Last start or end of a fault that may keep a gateway from receiving updates.
    last_disturbance: Instant,
    /// Number of such faults that are active.
    active_disturbances: u32,
    violations: Vec<String>,
    /// What live gateways know, which others must not act against.
    knowledge: Knowledge,
    /// Writes of the operators, faults and findings, as log lines.
    events: String,
}

/// Observations of one run. Clones share the same record.
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
                knowledge: Knowledge::default(),
                events: String::new(),
            })),
        }
    }
}

impl Recorder {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a violated guarantee.
    pub fn record_violation(&self, text: String) {
        self.lock().add_violation(text);
    }

    /// Returns what live gateways know, locked.
    pub fn update_knowledge<T>(&self, update: impl FnOnce(&mut Knowledge) -> T) -> T {
        update(&mut self.lock().knowledge)
    }

    /// Records an event, with the time that the gateways' own logs have.
    pub fn record_event(&self, text: &str) {
        let time = SystemTime::now().duration_since(UNIX_EPOCH);
        let time = time.unwrap_or_default().as_secs_f64();
        let mut inner = self.lock();
        // Writing to a string does not fail.
        let _ = writeln!(inner.events, "time={time:.3} {text}");
    }

    /// Returns the recorded events, one line each.
    pub fn events(&self) -> String {
        self.lock().events.clone()
    }

    /// Returns the recorded violations, of which only the first 20 are kept.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Returns the call counts so far.
    pub fn totals(&self) -> Totals {
        self.lock().totals
    }

    /// Counts a call that is being sent.
    pub fn record_sent(&self) {
        self.lock().totals.sent += 1;
    }

    /// Counts a call that was answered completely with status 200.
    pub fn record_served(&self) {
        self.lock().totals.served += 1;
    }

    /// Records that an upstream in `zone` runs a call, and checks that neither was taken out
    /// of service too long ago. `once` means that the call must not be repeated.
    pub fn record_run(&self, call: &str, once: bool, upstream: &str, zone: &str) {
        let now = Instant::now();
        let mut inner = self.lock();
        let taken_out = [
            (upstream.to_owned(), DRAIN_TIME),
            (format!("zone/{zone}"), EVACUATION_TIME),
        ];
        if let Some(gateway) = gateway_of(call) {
            for (key, bound) in &taken_out {
                inner.knowledge.check_run(gateway, key, *bound, now);
            }
        }
        for (key, bound) in taken_out {
            let Some(taken_out_at) = inner.out_of_service.get(&key).copied() else {
                continue;
            };
            // The limit does not apply if a gateway may have missed the change because of
            // a recent fault.
            let is_late = now > taken_out_at + bound;
            if is_late
                && inner.active_disturbances == 0
                && inner.last_disturbance + SETTLE_TIME < taken_out_at
            {
                let late_ms = now.duration_since(taken_out_at).as_millis();
                let text = format!(
                    "{key} received call {call} {late_ms} ms after it was taken out of service"
                );
                inner.add_violation(text);
            }
        }
        if once {
            let runs = inner.runs.entry(call.to_owned()).or_default();
            runs.push(upstream.to_owned());
            if runs.len() > 1 {
                let text = format!("call {call} must run at most once and ran at {runs:?}");
                inner.add_violation(text);
            }
        }
    }

    /// Records an answer which states that the call has not run.
    pub fn record_refused(&self, call: &str, status: u16) {
        self.lock().refused.insert(call.to_owned(), status);
    }

    /// Records a violation for each call that ran although its answer states that it has not.
    pub fn check_refusals(&self) {
        let mut inner = self.lock();
        let contradicted: Vec<String> = inner
            .refused
            .iter()
            .filter_map(|(call, status)| {
                let upstreams = inner.runs.get(call)?;
                Some(format!(
                    "call {call} was refused with status {status} but ran at {upstreams:?}"
                ))
            })
            .collect();
        for text in contradicted {
            inner.add_violation(text);
        }
    }

    /// Records that an upstream or a zone is taken out of service or returned to service.
    /// `key` is the identity of the upstream or `zone/NAME`.
    pub fn set_out_of_service(&self, key: &str, is_out: bool) {
        let mut inner = self.lock();
        if is_out {
            inner.out_of_service.insert(key.to_owned(), Instant::now());
        } else {
            inner.out_of_service.remove(key);
        }
    }

    /// Records the start or end of a fault that may keep a gateway from receiving updates.
    pub fn record_disturbance(&self, begins: bool) {
        let mut inner = self.lock();
        inner.last_disturbance = Instant::now();
        if begins {
            inner.active_disturbances += 1;
        } else {
            inner.active_disturbances = inner.active_disturbances.saturating_sub(1);
        }
    }

    /// Returns whether no fault has kept gateways from receiving updates for [`SETTLE_TIME`].
    pub fn is_calm(&self) -> bool {
        let inner = self.lock();
        inner.active_disturbances == 0 && inner.last_disturbance.elapsed() > SETTLE_TIME
    }
}

/// Returns the number of the gateway that a call was sent to, which ends its identity.
fn gateway_of(call: &str) -> Option<usize> {
    call.rsplit_once(".g")?.1.parse().ok()
}

/// Time after which a draining upstream must receive no more calls.
pub const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time after which a zone taken out of service must receive no more calls.
pub const EVACUATION_TIME: Duration = Duration::from_secs(5);
/// Time without faults after which a gateway must have received all updates, so that the
/// time limits apply to it again.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);

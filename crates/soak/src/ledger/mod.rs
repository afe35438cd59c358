//! What callers and upstreams have seen, and whether it keeps the promises.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Most violations that are kept; the first ones tell most.
const KEPT: usize = 20;

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
    out: HashMap<String, Instant>,
    /// End of the last fault that may keep a gateway from learning something.
    calm_since: Instant,
    /// Whether such a fault is in force.
    disturbed: u32,
    violations: Vec<String>,
}

/// The record of one run.
#[derive(Clone, Debug)]
pub struct Ledger {
    inner: Arc<Mutex<Inner>>,
}

impl Inner {
    fn note(&mut self, violation: String) {
        if self.violations.len() < KEPT {
            self.violations.push(violation);
        }
    }
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                totals: Totals::default(),
                runs: HashMap::new(),
                refused: HashMap::new(),
                out: HashMap::new(),
                calm_since: Instant::now(),
                disturbed: 0,
                violations: Vec::new(),
            })),
        }
    }
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in that a promise is broken.
    pub fn violation(&self, text: String) {
        self.lock().note(text);
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
    pub fn sent(&self) {
        self.lock().totals.sent += 1;
    }

    /// Takes in that a call is answered with success.
    pub fn served(&self) {
        self.lock().totals.served += 1;
    }

    /// Takes in that an upstream of a zone runs a call. `once` says that the call must not
    /// be repeated.
    pub fn ran(&self, call: &str, once: bool, upstream: &str, zone: &str) {
        let now = Instant::now();
        let mut inner = self.lock();
        for (key, bound) in [
            (upstream.to_owned(), DRAIN),
            (format!("zone/{zone}"), EVACUATION),
        ] {
            let Some(out) = inner.out.get(&key).copied() else {
                continue;
            };
            // Gateways that were disturbed lately are not bound.
            let is_late = now > out + bound;
            if is_late && inner.disturbed == 0 && inner.calm_since + CONTACT < out {
                let late = now.duration_since(out).as_millis();
                let text = format!("{key} gets call {call} {late} ms after it was taken out");
                inner.note(text);
            }
        }
        if once {
            let runs = inner.runs.entry(call.to_owned()).or_default();
            runs.push(upstream.to_owned());
            if runs.len() > 1 {
                let text = format!("call {call} must run once and ran at {runs:?}");
                inner.note(text);
            }
        }
    }

    /// Takes in an answer that says that a call has not run.
    pub fn refused(&self, call: &str, status: u16) {
        self.lock().refused.insert(call.to_owned(), status);
    }

    /// Checks that no call ran whose answer says that it did not.
    pub fn check_refusals(&self) {
        let mut inner = self.lock();
        let untrue: Vec<String> = inner
            .refused
            .iter()
            .filter_map(|(call, status)| {
                let at = inner.runs.get(call)?;
                Some(format!(
                    "call {call} is refused with {status} and ran at {at:?}"
                ))
            })
            .collect();
        for text in untrue {
            inner.note(text);
        }
    }

    /// Takes in that an upstream or a zone is taken out, or back.
    pub fn take(&self, key: &str, out: bool) {
        let mut inner = self.lock();
        if out {
            inner.out.insert(key.to_owned(), Instant::now());
        } else {
            inner.out.remove(key);
        }
    }

    /// Takes in that a fault begins or ends that may keep a gateway from learning.
    pub fn disturb(&self, begins: bool) {
        let mut inner = self.lock();
        inner.calm_since = Instant::now();
        if begins {
            inner.disturbed += 1;
        } else {
            inner.disturbed = inner.disturbed.saturating_sub(1);
        }
    }

    /// Returns whether nothing has kept gateways from learning for the time of contact.
    pub fn is_calm(&self) -> bool {
        let inner = self.lock();
        inner.disturbed == 0 && inner.calm_since.elapsed() > CONTACT
    }
}

/// Time within which an upstream that leaves gets its last call.
pub const DRAIN: Duration = Duration::from_secs(2);
/// Time within which a zone that is taken out gets its last call.
pub const EVACUATION: Duration = Duration::from_secs(5);
/// Time without faults after which a gateway is bound by what it could have learnt.
pub const CONTACT: Duration = Duration::from_secs(3);

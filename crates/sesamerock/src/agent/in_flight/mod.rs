//! Calls in flight on the upstream.
//!
//! When the upstream crashes, these calls become crash suspects. A suspect runs
//! only while no other suspect is in flight on the upstream.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sesamerock_retry::crash::{Crash, Fingerprint};
use sesamerock_retry::in_flight::{self, Start};
use sesamerock_route::hash;
use sesamerock_wire::relay::Head;

use crate::suspects::{self, Suspects, stamp};

/// Whether a call may start, given the known crash suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The call may start.
    Allowed,
    /// The call may not start here now, but on another upstream, or here after
    /// this many milliseconds.
    Busy(u64),
    /// The request is a confirmed crash cause and must not run.
    Confirmed,
}

#[derive(Debug, Default)]
struct State {
    calls: in_flight::InFlight,
    incarnation: u64,
    /// The last incarnation that is known to have crashed.
    last_crashed: u64,
}

/// The calls in flight on one upstream.
#[derive(Clone, Debug)]
pub struct InFlightCalls {
    state: Arc<Mutex<State>>,
    suspects: Suspects,
    upstream: u64,
}

/// One call in flight. Dropping the value ends the call without recording whether
/// it completed.
#[derive(Debug)]
pub struct InFlightCall {
    registry: InFlightCalls,
    fingerprint: Fingerprint,
    incarnation: u64,
    ended: bool,
}

impl InFlightCalls {
    /// Creates the empty set of calls of the upstream with this name.
    pub fn new(suspects: Suspects, upstream: &str) -> Self {
        Self {
            state: Arc::default(),
            suspects,
            upstream: hash::name(upstream),
        }
    }

    /// Returns whether a call could start, without starting it.
    pub fn check(&self, head: &Head) -> Verdict {
        let fingerprint = suspects::fingerprint(&head.fingerprint);
        let findings = self.suspects.findings();
        if findings.confirmed.contains(&fingerprint) {
            return Verdict::Confirmed;
        }
        let hold = findings.hold(fingerprint, stamp());
        if hold.is_zero() {
            Verdict::Allowed
        } else {
            Verdict::Busy(hold.as_millis() as u64)
        }
    }

    /// Starts a call on the given incarnation of the upstream.
    ///
    /// # Errors
    /// Returns why the call may not start.
    pub fn start(&self, head: &Head, incarnation: u64) -> Result<InFlightCall, Verdict> {
        let fingerprint = suspects::fingerprint(&head.fingerprint);
        let findings = self.suspects.findings();
        let mut state = self.lock();
        state.incarnation = incarnation;
        match state
            .calls
            .start(fingerprint, head.suspect, &findings, stamp())
        {
            Start::Begun => {}
            Start::Occupied => return Err(Verdict::Busy(0)),
            Start::Held(millis) => return Err(Verdict::Busy(millis)),
            Start::Confirmed => return Err(Verdict::Confirmed),
        }
        drop(state);
        Ok(InFlightCall {
            registry: self.clone(),
            fingerprint,
            incarnation,
            ended: false,
        })
    }

    /// Records that an incarnation of the upstream crashed; all calls in flight
    /// become suspects. Further reports about the same or an earlier incarnation
    /// are ignored.
    pub async fn crashed(&self, incarnation: u64) {
        let fingerprints = {
            let mut state = self.lock();
            if state.last_crashed >= incarnation {
                return;
            }
            state.last_crashed = incarnation;
            state.calls.end_all()
        };
        if fingerprints.is_empty() {
            return;
        }
        let crash = Crash {
            incarnation,
            upstream: self.upstream,
        };
        self.suspects.record_crash(crash, fingerprints, true).await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl InFlightCall {
    /// Returns the incarnation of the upstream on which the call started.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Records that the call completed, which clears its request of suspicion.
    pub async fn completed(mut self) {
        self.end();
        self.registry
            .suspects
            .record_completion(self.fingerprint)
            .await;
    }

    /// Records that the connection broke during the call; if the upstream
    /// crashed, all calls in flight become suspects.
    pub async fn broken(mut self, crashed: bool) {
        if crashed {
            self.registry.crashed(self.incarnation).await;
        }
        self.end();
    }

    fn end(&mut self) {
        if !self.ended {
            self.ended = true;
            let mut state = self.registry.lock();
            // A crash has already ended all calls of its incarnation; the same
            // request may have started again on the next one.
            if state.last_crashed < self.incarnation {
                state.calls.finish(self.fingerprint);
            }
        }
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        self.end();
    }
}

//! Calls in flight on the upstream, for isolation and as crash evidence.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sesamerock_retry::crash::{Crash, Fingerprint};
use sesamerock_retry::in_flight::{self, Start};
use sesamerock_route::hash;
use sesamerock_wire::relay::Head;

use crate::suspects::{self, Suspects, stamp};

/// Whether a call may start with regard to crash suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Allowed,
    /// Not now, but later or elsewhere, after this many milliseconds.
    Wait(u64),
    /// Never.
    Confirmed,
}

#[derive(Debug, Default)]
struct State {
    started: in_flight::InFlight,
    incarnation: u64,
    last_crashed: u64,
}

/// The flight of one upstream.
#[derive(Clone, Debug)]
pub struct InFlightCalls {
    state: Arc<Mutex<State>>,
    suspects: Suspects,
    upstream: u64,
}

/// One call in flight; dropping it ends it without a statement.
#[derive(Debug)]
pub struct InFlightCall {
    calls: InFlightCalls,
    fingerprint: Fingerprint,
    incarnation: u64,
    ended: bool,
}

impl InFlightCalls {
    /// Makes the empty flight of an upstream.
    pub fn new(suspects: Suspects, upstream: &str) -> Self {
        Self {
            state: Arc::default(),
            suspects,
            upstream: hash::name(upstream),
        }
    }

    /// Tells whether a call could start, without starting it.
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
            Verdict::Wait(hold.as_millis() as u64)
        }
    }

    /// Starts a call on the upstream's present incarnation.
    ///
    /// # Errors
    /// Returns why it may not start.
    pub fn start(&self, head: &Head, incarnation: u64) -> Result<InFlightCall, Verdict> {
        let fingerprint = suspects::fingerprint(&head.fingerprint);
        let findings = self.suspects.findings();
        let mut state = self.lock();
        state.incarnation = incarnation;
        match state
            .started
            .start(fingerprint, head.suspect, &findings, stamp())
        {
            Start::Begun => {}
            Start::Occupied => return Err(Verdict::Wait(0)),
            Start::Held(millis) => return Err(Verdict::Wait(millis)),
            Start::Confirmed => return Err(Verdict::Confirmed),
        }
        drop(state);
        Ok(InFlightCall {
            calls: self.clone(),
            fingerprint,
            incarnation,
            ended: false,
        })
    }

    /// Notes that an incarnation of the upstream ended; all calls in flight
    /// become suspects. The first report counts.
    pub async fn crashed(&self, incarnation: u64) {
        let fingerprints = {
            let mut state = self.lock();
            if state.last_crashed >= incarnation {
                return;
            }
            state.last_crashed = incarnation;
            state.started.end_all()
        };
        if fingerprints.is_empty() {
            return;
        }
        let crash = Crash {
            incarnation,
            upstream: self.upstream,
        };
        self.suspects.crashed(crash, fingerprints, true).await;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl InFlightCall {
    /// Returns the incarnation the call started on.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Notes that the call completed, which clears its request.
    pub async fn completed(mut self) {
        self.end();
        self.calls.suspects.completed(self.fingerprint).await;
    }

    /// Notes that the call broke; if the upstream crashed, all calls in flight
    /// become suspects.
    pub async fn broken(mut self, crashed: bool) {
        if crashed {
            self.calls.crashed(self.incarnation).await;
        }
        self.end();
    }

    fn end(&mut self) {
        if !self.ended {
            self.ended = true;
            let mut state = self.calls.lock();
            // A crash has ended all its calls already; the same request may
            // have begun again on the next incarnation.
            if state.last_crashed < self.incarnation {
                state.started.finish(self.fingerprint);
            }
        }
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        self.end();
    }
}

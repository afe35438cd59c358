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
    Clean,
    /// Not now, but later or elsewhere, after this many milliseconds.
    Busy(u64),
    /// Never.
    Convicted,
}

#[derive(Debug, Default)]
struct Aboard {
    flight: in_flight::InFlight,
    incarnation: u64,
    crashed: u64,
}

/// The flight of one upstream.
#[derive(Clone, Debug)]
pub struct Manifest {
    aboard: Arc<Mutex<Aboard>>,
    suspects: Suspects,
    upstream: u64,
}

/// One call in flight; dropping it ends it without a statement.
#[derive(Debug)]
pub struct Boarding {
    manifest: Manifest,
    fingerprint: Fingerprint,
    incarnation: u64,
    ended: bool,
}

impl Manifest {
    /// Makes the empty flight of an upstream.
    pub fn new(suspects: Suspects, upstream: &str) -> Self {
        Self {
            aboard: Arc::default(),
            suspects,
            upstream: hash::name(upstream),
        }
    }

    /// Tells whether a call could start, without starting it.
    pub fn check(&self, head: &Head) -> Verdict {
        let fingerprint = suspects::fingerprint(&head.fingerprint);
        let findings = self.suspects.findings();
        if findings.confirmed.contains(&fingerprint) {
            return Verdict::Convicted;
        }
        let hold = findings.hold(fingerprint, stamp());
        if hold.is_zero() {
            Verdict::Clean
        } else {
            Verdict::Busy(hold.as_millis() as u64)
        }
    }

    /// Starts a call on the upstream's present incarnation.
    ///
    /// # Errors
    /// Returns why it may not start.
    pub fn board(&self, head: &Head, incarnation: u64) -> Result<Boarding, Verdict> {
        let fingerprint = suspects::fingerprint(&head.fingerprint);
        let findings = self.suspects.findings();
        let mut aboard = self.lock();
        aboard.incarnation = incarnation;
        match aboard
            .flight
            .start(fingerprint, head.suspect, &findings, stamp())
        {
            Start::Begun => {}
            Start::Occupied => return Err(Verdict::Busy(0)),
            Start::Held(millis) => return Err(Verdict::Busy(millis)),
            Start::Confirmed => return Err(Verdict::Convicted),
        }
        drop(aboard);
        Ok(Boarding {
            manifest: self.clone(),
            fingerprint,
            incarnation,
            ended: false,
        })
    }

    /// Notes that an incarnation of the upstream ended; all calls in flight
    /// become suspects. The first report counts.
    pub async fn crashed(&self, incarnation: u64) {
        let fingerprints = {
            let mut aboard = self.lock();
            if aboard.crashed >= incarnation {
                return;
            }
            aboard.crashed = incarnation;
            aboard.flight.end_all()
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

    fn lock(&self) -> MutexGuard<'_, Aboard> {
        self.aboard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Boarding {
    /// Returns the incarnation the call started on.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Notes that the call completed, which clears its request.
    pub async fn completed(mut self) {
        self.end();
        self.manifest
            .suspects
            .record_completion(self.fingerprint)
            .await;
    }

    /// Notes that the call broke; if the upstream crashed, all calls in flight
    /// become suspects.
    pub async fn broken(mut self, crashed: bool) {
        if crashed {
            self.manifest.crashed(self.incarnation).await;
        }
        self.end();
    }

    fn end(&mut self) {
        if !self.ended {
            self.ended = true;
            let mut aboard = self.manifest.lock();
            // A crash has ended all its calls already; the same request may
            // have begun again on the next incarnation.
            if aboard.crashed < self.incarnation {
                aboard.flight.finish(self.fingerprint);
            }
        }
    }
}

impl Drop for Boarding {
    fn drop(&mut self) {
        self.end();
    }
}

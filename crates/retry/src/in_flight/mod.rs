//! Tracks the calls in flight on one upstream, to isolate suspects and to report
//! which calls were in flight at a crash.
//!
//! An agent has one [`InFlight`] for its engine, on which at most one suspect may
//! run at a time. An entry can keep one for each upstream as well, so that the
//! calls are reported even if the agent fails together with the upstream.

use std::collections::BTreeMap;

use crate::crash::{Fingerprint, Stamp};
use crate::suspect::{Findings, Verdict};

/// The calls in flight on one upstream.
#[derive(Clone, Debug, Default)]
pub struct InFlight {
    calls: BTreeMap<Fingerprint, Calls>,
}

/// Calls in flight with the same fingerprint.
#[derive(Clone, Copy, Debug, Default)]
struct Calls {
    count: u32,
    /// Whether a sender marked any of the calls as a suspect.
    flagged: bool,
    /// When the most recent of the calls was started.
    started: Stamp,
}

/// Result of an attempt to start a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// The call was started and is now in flight.
    Begun,
    /// The request is a suspect, and another suspect is in flight.
    Occupied,
    /// The request is a suspect and must wait this many milliseconds.
    Held(u64),
    /// The request is a confirmed crash cause and must not run.
    Confirmed,
}

impl InFlight {
    /// Starts a call unless the findings forbid it at present. `flagged` is the
    /// suspect flag set by the sender, which may learn of a crash before this
    /// node does.
    pub fn start(
        &mut self,
        fingerprint: Fingerprint,
        flagged: bool,
        findings: &Findings,
        now: Stamp,
    ) -> Start {
        let verdict = findings.verdict(fingerprint);
        if verdict == Verdict::Confirmed {
            return Start::Confirmed;
        }
        let hold = findings.hold(fingerprint, now).as_millis() as u64;
        if hold > 0 {
            return Start::Held(hold);
        }
        let suspect = flagged || verdict == Verdict::Suspect;
        if suspect && self.holds_suspect(findings) {
            return Start::Occupied;
        }
        let calls = self.calls.entry(fingerprint).or_default();
        calls.count += 1;
        calls.flagged |= flagged;
        calls.started = calls.started.max(now);
        Start::Begun
    }

    /// Ends a call, regardless of its outcome.
    pub fn finish(&mut self, fingerprint: Fingerprint) {
        if let Some(calls) = self.calls.get_mut(&fingerprint) {
            calls.count -= 1;
            if calls.count == 0 {
                self.calls.remove(&fingerprint);
            }
        }
    }

    /// Whether a suspect is in flight. A call can become a suspect after it was
    /// started, through the crash of another upstream.
    pub fn holds_suspect(&self, findings: &Findings) -> bool {
        let is_suspect = |fingerprint| findings.verdict(fingerprint) == Verdict::Suspect;
        self.calls
            .iter()
            .any(|(fingerprint, calls)| calls.flagged || is_suspect(*fingerprint))
    }

    /// Ends all calls after a crash of the upstream. Returns their fingerprints
    /// and start times, for [`crate::suspect::CrashList::record_crash`].
    pub fn end_all(&mut self) -> Vec<(Fingerprint, Stamp)> {
        let ended = std::mem::take(&mut self.calls);
        ended
            .into_iter()
            .map(|(fingerprint, calls)| (fingerprint, calls.started))
            .collect()
    }

    /// Number of distinct requests in flight.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call is in flight.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}

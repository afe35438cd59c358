//! The calls in flight on one upstream, for isolation and crash evidence.
//!
//! An agent keeps one for its engine, where at most one suspect may run at a
//! time; an entry keeps one for each upstream, to report what was in flight if
//! the agent dies too.

use std::collections::BTreeMap;

use crate::crash::{Fingerprint, Stamp};
use crate::suspect::{Findings, Verdict};

/// Calls in flight.
#[derive(Clone, Debug, Default)]
pub struct InFlight {
    calls: BTreeMap<Fingerprint, Calls>,
}

/// Calls in flight with the same fingerprint.
#[derive(Clone, Copy, Debug, Default)]
struct Calls {
    count: u32,
    /// Whether a sender said that they are suspect.
    flagged: bool,
    /// When the latest of them began.
    started: Stamp,
}

/// Whether a call may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// It was added to the calls in flight.
    Begun,
    /// It is a suspect, and another suspect is in flight.
    Occupied,
    /// It is a suspect that must wait this many milliseconds.
    Held(u64),
    /// It is convicted.
    Confirmed,
}

impl InFlight {
    /// Begins a call, unless the findings forbid it now. `flagged` is the
    /// suspect flag of the sender, which may know of a crash before this node.
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

    /// Ends a call, whatever its outcome.
    pub fn finish(&mut self, fingerprint: Fingerprint) {
        if let Some(calls) = self.calls.get_mut(&fingerprint) {
            calls.count -= 1;
            if calls.count == 0 {
                self.calls.remove(&fingerprint);
            }
        }
    }

    /// Returns whether a suspect is in flight. A call may have become one by a
    /// crash elsewhere after it began.
    pub fn holds_suspect(&self, findings: &Findings) -> bool {
        let is_suspect = |fingerprint| findings.verdict(fingerprint) == Verdict::Suspect;
        self.calls
            .iter()
            .any(|(fingerprint, calls)| calls.flagged || is_suspect(*fingerprint))
    }

    /// Ends all calls, because the upstream crashed, and returns them with their
    /// starts, for [`crate::suspect::CrashList::record_crash`].
    pub fn end_all(&mut self) -> Vec<(Fingerprint, Stamp)> {
        let ended = std::mem::take(&mut self.calls);
        ended
            .into_iter()
            .map(|(fingerprint, calls)| (fingerprint, calls.started))
            .collect()
    }

    /// Returns the number of different requests in flight.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether nothing is in flight.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}

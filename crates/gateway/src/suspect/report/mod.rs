//! What gateways report to each other about what crashes upstreams.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;

use super::{Conviction, Crash, Event, Subject, Suspects};

/// Time that a report takes at most, by which the ages in it seem shorter.
const REPORT_DELAY: Duration = Duration::from_millis(100);

/// A crash and the subjects that count against it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Id of the upstream that crashed.
    pub upstream: Arc<str>,
    /// Its start, as its record states it.
    pub born: Option<u64>,
    /// Time since the crash.
    pub age: Duration,
    /// Parts that were being answered; only requests if the crash is not confirmed.
    pub subjects: Vec<Subject>,
    /// Requests that were sent there after an earlier crash of theirs.
    pub resent: Vec<Subject>,
    /// Whether it is certain that the upstream crashed.
    pub confirmed: bool,
}

/// The latest answer of an upstream after an unconfirmed crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerReport {
    /// Id of the upstream.
    pub upstream: Arc<str>,
    /// Its start, as its record states it.
    pub born: Option<u64>,
    /// Time since the call was sent that it answered.
    pub age: Duration,
}

/// A conviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConvictionReport {
    /// The subject whose calls are refused.
    pub subject: Subject,
    /// Time since the conviction.
    pub age: Duration,
    /// Time until the conviction expires.
    pub time_left: Duration,
    /// Convictions of the subject so far.
    pub times: u32,
}

/// A claim on a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimReport {
    /// The suspect.
    pub subject: Subject,
    /// Whether the trial is running.
    pub running: bool,
}

/// All that a gateway reports. It is empty while nothing is suspect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Crashes that still count.
    pub crashes: Vec<CrashReport>,
    /// Answers that refute unconfirmed crashes.
    pub answered: Vec<AnswerReport>,
    /// Parts of these crashes that an upstream has answered before.
    pub innocent: Vec<Subject>,
    /// Parts of these crashes that an upstream has gone on answering, and how long ago.
    pub cleared: Vec<(Subject, Duration)>,
    /// Convicted subjects.
    pub convicted: Vec<ConvictionReport>,
    /// Claims of the sender.
    pub claims: Vec<ClaimReport>,
}

impl Suspects {
    /// Returns the report for the other gateways.
    pub fn report(&mut self, now: Moment) -> Report {
        if self.is_empty() {
            return Report::default();
        }
        self.drop_expired(now);
        let crashes = self.crashes.iter();
        let crashes = crashes.filter(|crash| crash.confirmed || !self.is_refuted(crash));
        let crashes = crashes.map(|crash| {
            let subjects = crash.subjects.iter().copied();
            let counted = subjects.filter(|subject| crash.confirmed || subject.is_request());
            CrashReport {
                upstream: Arc::clone(&crash.upstream),
                born: crash.born,
                age: now.since(crash.at),
                subjects: counted.collect(),
                resent: crash.resent.clone(),
                confirmed: crash.confirmed,
            }
        });
        let crashes: Vec<CrashReport> = crashes.collect();
        let mut subjects: Vec<Subject> =
            crashes.iter().flat_map(|it| it.subjects.clone()).collect();
        subjects.sort_unstable();
        subjects.dedup();
        subjects.retain(|subject| self.innocent.contains(*subject));
        let cleared = self.cleared.iter();
        let convicted = self.convicted.iter();
        let convicted = convicted.filter(|(_, conviction)| !conviction.on_probation);
        let claims = self.claims.iter();
        let answered = self.answered.iter();
        Report {
            crashes,
            answered: answered
                .map(|(upstream, (born, sent_at))| AnswerReport {
                    upstream: Arc::clone(upstream),
                    born: *born,
                    age: now.since(*sent_at),
                })
                .collect(),
            innocent: subjects,
            cleared: cleared
                .map(|(subject, at)| (*subject, now.since(*at)))
                .collect(),
            convicted: convicted
                .map(|(subject, conviction)| ConvictionReport {
                    subject: *subject,
                    age: now.since(conviction.since),
                    time_left: conviction.until.since(now),
                    times: conviction.times,
                })
                .collect(),
            claims: claims
                .map(|(subject, claim)| ClaimReport {
                    subject: *subject,
                    running: claim.running,
                })
                .collect(),
        }
    }

    /// Merges the report of another gateway. Returns whether a verdict may have changed.
    pub fn learn(&mut self, from: &str, report: Report, now: Moment) -> bool {
        if report == Report::default() && self.foreign.is_empty() {
            return false;
        }
        let mut is_new = false;
        for subject in report.innocent {
            is_new |= self.learn_innocent(subject);
        }
        for (subject, age) in report.cleared {
            is_new |= self.learn_cleared(subject, now - age);
        }
        // Convictions explain crashes, so they are merged first.
        for conviction in report.convicted {
            self.learn_conviction(conviction, now);
        }
        for crash in report.crashes {
            let crash = Crash {
                upstream: crash.upstream,
                born: crash.born,
                at: now - crash.age,
                subjects: crash.subjects,
                resent: crash.resent,
                confirmed: crash.confirmed,
            };
            is_new |= self.add_crash(crash, now);
        }
        for answer in report.answered {
            // The age is that of the moment at which the report was made.
            let sent_at = now - answer.age - REPORT_DELAY;
            self.observe_answer(&answer.upstream, answer.born, sent_at, now);
        }
        if is_new {
            self.convict_proved(now);
        }
        let from: Arc<str> = Arc::from(from);
        self.foreign.retain(|(_, name), _| *name != from);
        for claim in report.claims {
            let key = (claim.subject, Arc::clone(&from));
            self.foreign.insert(key, (claim, now));
        }
        true
    }

    fn learn_innocent(&mut self, subject: Subject) -> bool {
        if self.innocent.contains(subject) {
            return false;
        }
        let was_suspect = self.is_suspect(subject);
        self.innocent.insert(subject, self.settings.max_innocent);
        if was_suspect && !self.is_suspect(subject) {
            self.events.push(Event::Cleared(subject));
        }
        true
    }

    fn learn_cleared(&mut self, subject: Subject, at: Moment) -> bool {
        let known = self.cleared.get(&subject);
        // The age in a report is older by the time that the report takes.
        if known.is_some_and(|known| *known + REPORT_DELAY >= at) {
            return false;
        }
        let was_suspect = self.is_suspect(subject);
        self.cleared.insert(subject, at);
        let convicted = self.convicted.get(&subject);
        let is_outdated = convicted.is_some_and(|conviction| conviction.since < at);
        if is_outdated {
            self.convicted.remove(&subject);
        }
        if is_outdated || (was_suspect && !self.is_suspect(subject)) {
            self.events.push(Event::Cleared(subject));
        }
        true
    }

    pub(super) fn learn_conviction(&mut self, report: ConvictionReport, now: Moment) {
        let since = now - report.age;
        let known = self.convicted.get(&report.subject);
        let cleared = self.cleared.get(&report.subject);
        if known.is_some_and(|known| known.times >= report.times)
            || cleared.is_some_and(|cleared| *cleared > since)
        {
            return;
        }
        let conviction = Conviction {
            since,
            until: now + report.time_left,
            times: report.times,
            on_probation: false,
        };
        self.convict(report.subject, conviction);
        let crashes = self.crashes.iter();
        let crashes = crashes.filter(|crash| crash.subjects.contains(&report.subject));
        let upstreams = crashes.map(|crash| Arc::clone(&crash.upstream)).collect();
        self.events
            .push(Event::Convicted(report.subject, upstreams));
    }
}

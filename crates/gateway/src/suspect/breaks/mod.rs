//! What becomes of unconfirmed crashes: an upstream answers another call, or turns out to be gone.

use std::sync::Arc;

use sesamerock_base::time::Moment;

use super::{Crash, Event, Subject, Suspects, is_enough};

impl Suspects {
    /// Returns whether the upstream has answered a call that was sent to it after the crash.
    pub(super) fn is_refuted(&self, crash: &Crash) -> bool {
        let answered = self.answered.get(&crash.upstream);
        answered.is_some_and(|(born, sent_at)| *born == crash.born && *sent_at >= crash.at)
    }

    fn is_unconfirmed(&self, crash: &Crash, upstream: &str, born: Option<u64>) -> bool {
        !crash.confirmed
            && *crash.upstream == *upstream
            && crash.born == born
            && !self.is_refuted(crash)
    }

    /// Returns whether an unconfirmed crash of an upstream counts against a subject.
    pub fn is_in_doubt(&self, upstream: &str, born: Option<u64>, subject: Subject) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|it| self.is_unconfirmed(it, upstream, born) && self.counts(it, subject))
    }

    /// Returns whether crashes convict only because of unconfirmed ones that may still be refuted.
    pub(super) fn is_recent(&self, evidence: &[&Crash], needed: usize, now: Moment) -> bool {
        let confirmed = evidence.iter().filter(|crash| crash.confirmed).count();
        let unconfirmed = evidence.iter().rfind(|crash| !crash.confirmed);
        confirmed < needed
            && unconfirmed.is_some_and(|last| now.since(last.at) < self.settings.doubt)
    }

    /// Returns whether the crashes under a subject are enough to convict it unless an upstream
    /// answers soon.
    pub(super) fn may_be_refuted(&self, subject: Subject, now: Moment) -> bool {
        let (evidence, needed) = (self.evidence(subject), self.threshold(subject) + 1);
        is_enough(&evidence, needed) && self.is_recent(&evidence, needed, now)
    }

    /// Returns whether unconfirmed crashes under a request have not been refuted in time.
    pub(super) fn has_ripened(&self, subject: Subject, now: Moment) -> bool {
        if !subject.is_request() || self.convicted.contains_key(&subject) {
            return false;
        }
        let (evidence, needed) = (self.evidence(subject), self.threshold(subject) + 1);
        is_enough(&evidence, needed) && !self.is_recent(&evidence, needed, now)
    }

    /// Records that an upstream has answered a call that was sent at `sent_at`. That refutes its
    /// unconfirmed crashes before.
    pub fn observe_answer(
        &mut self,
        upstream: &Arc<str>,
        born: Option<u64>,
        sent_at: Moment,
        now: Moment,
    ) {
        let crashes = self.crashes.iter();
        let refuted = crashes
            .filter(|crash| crash.at <= sent_at && self.is_unconfirmed(crash, upstream, born));
        let mut subjects: Vec<Subject> = refuted.flat_map(|it| &it.subjects).copied().collect();
        if subjects.is_empty() {
            return;
        }
        subjects.retain(|subject| self.convicted.contains_key(subject));
        self.answered.insert(Arc::clone(upstream), (born, sent_at));
        self.events.push(Event::Refuted(Arc::clone(upstream)));
        subjects.sort_unstable();
        subjects.dedup();
        for subject in subjects {
            let needed = self.threshold(subject) + 1;
            if !is_enough(&self.evidence(subject), needed) {
                self.acquit(subject, now);
            }
        }
    }

    /// Records that an upstream has crashed, which confirms the breaks of its answers.
    pub fn confirm(&mut self, upstream: &str, born: Option<u64>, now: Moment) {
        let crashes = self.crashes.iter();
        let confirmed = crashes.map(|crash| self.is_unconfirmed(crash, upstream, born));
        let confirmed: Vec<bool> = confirmed.collect();
        let unconfirmed = self.crashes.iter().zip(&confirmed).filter(|(_, is)| **is);
        let subjects = unconfirmed.flat_map(|(crash, _)| &crash.subjects).copied();
        let mut subjects: Vec<Subject> = subjects.collect();
        if subjects.is_empty() {
            return;
        }
        subjects.retain(|subject| !self.is_suspect(*subject));
        subjects.sort_unstable();
        subjects.dedup();
        for (crash, is_confirmed) in self.crashes.iter_mut().zip(confirmed) {
            crash.confirmed |= is_confirmed;
        }
        let upstream: Arc<str> = Arc::from(upstream);
        self.events.push(Event::Confirmed(Arc::clone(&upstream)));
        self.push_suspected(subjects, &upstream);
        self.has_news = true;
        self.convict_and_record(now);
    }

    /// Records the start that an upstream states in its record. If it has started anew, the breaks
    /// of its answers before were crashes.
    pub fn observe_start(&mut self, upstream: &str, born: Option<u64>, now: Moment) {
        let crashes = self.crashes.iter();
        let earlier = crashes.filter(|crash| *crash.upstream == *upstream && crash.born < born);
        let mut earlier: Vec<Option<u64>> = earlier.map(|crash| crash.born).collect();
        earlier.dedup();
        for born in earlier {
            self.confirm(upstream, born, now);
        }
    }

    /// Forgets the oldest crash, of those that count least.
    pub(super) fn forget_a_crash(&mut self) {
        let crashes = self.crashes.iter().enumerate();
        let rank = |crash: &Crash| (crash.confirmed, !self.is_refuted(crash));
        let least = crashes.min_by_key(|(index, crash)| (rank(crash), *index));
        if let Some((index, _)) = least {
            self.crashes.remove(index);
        }
    }
}

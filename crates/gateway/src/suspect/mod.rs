//! Finds what crashes upstreams: a part that some prompts share, or a whole request.
//!
//! Requests that crash upstreams need not be alike: only a part of their prompts may be common. Or
//! one request does, which its caller repeats. So both are subjects of suspicion. A subject with
//! which an upstream has gone on answering is innocent, which clears nearly all before any crash.
//! Of the subjects that were being answered at a crash, the others are suspects. Calls with a
//! suspect wait while one of them is tried, by one gateway at a time. The trial clears the
//! subject, or a second crash convicts it, and calls with it are refused until the conviction
//! expires.
//!
//! Not every crash can be seen as one: the address may stay silent, or accept connections as if nothing
//! had happened. So an answer that broke off is an unconfirmed crash until the upstream answers
//! another call, which refutes it, or refuses a connection, which confirms it. Unconfirmed crashes
//! count against requests only, and one more of them is needed.
//!
//! [`Suspects`] has no clock and no I/O. Gateways merge what they report to each other, in any
//! order, and the store keeps convictions. See docs/notes/suspects.md.

mod breaks;
mod innocent;
mod record;
mod report;
mod subject;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::hash;

use innocent::Innocent;
pub use record::Record;
pub use report::{AnswerReport, ClaimReport, ConvictionReport, CrashReport, Report};
pub use subject::Subject;

/// Most parts of one prompt that are considered, from its beginning. Longer prompts share their
/// first parts.
pub const MAX_PARTS: usize = 64;
/// Most parts of one crash, and most requests: an upstream answers fewer calls at a time.
const MAX_OF_A_KIND: usize = 64;

/// Crashes that make a subject suspect which no upstream has answered before.
const NEW_THRESHOLD: usize = 1;
/// Crashes that make a subject suspect which upstreams have answered before. Such a subject is at a
/// crash by chance more often than not.
const INNOCENT_THRESHOLD: usize = 2;
/// Further crashes that are needed while too few are confirmed.
const UNCONFIRMED_EXCESS: usize = 1;

/// Limits and times of [`Suspects`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Innocent parts that are remembered, and as many requests; at least half as many of the
    /// latest ones.
    pub max_innocent: usize,
    /// Crashes that are remembered; the oldest ones are forgotten first.
    pub max_crashes: usize,
    /// Convicted subjects that are remembered; those that expire first are forgotten first.
    pub max_convicted: usize,
    /// Crashes within this time of each other count as one: upstreams that share a rack or a zone
    /// fail together.
    pub correlated: Duration,
    /// How long gateways may differ on the time of the same crash.
    pub same_crash: Duration,
    /// How long a crash counts against a subject.
    pub crash_expiry: Duration,
    /// How long unconfirmed crashes may still be refuted before they convict: upstreams under load
    /// answer several calls in this time.
    pub doubt: Duration,
    /// How long the first conviction lasts. Each further one of the same subject lasts twice as
    /// long as the one before.
    pub conviction: Duration,
    /// Longest conviction.
    pub max_conviction: Duration,
    /// How long a claim on a trial waits for claims of other gateways: more than a heartbeat
    /// takes that is sent at once.
    pub claim_delay: Duration,
    /// The same for a call with several suspects.
    pub joint_claim_delay: Duration,
    /// The same for a call that is suspect together with a part of its prompt. If the part crashes
    /// upstreams, another call with it tells so; this one would leave both possible.
    pub request_claim_delay: Duration,
    /// How long the claim of another gateway counts without a further report, and one of this
    /// gateway without a call that waits for it.
    pub claim_expiry: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_innocent: 32_768,
            max_crashes: 32,
            max_convicted: 256,
            correlated: Duration::from_millis(50),
            same_crash: Duration::from_secs(1),
            crash_expiry: Duration::from_secs(30),
            doubt: Duration::from_secs(1),
            conviction: Duration::from_mins(1),
            max_conviction: Duration::from_mins(15),
            claim_delay: Duration::from_millis(150),
            joint_claim_delay: Duration::from_millis(750),
            request_claim_delay: Duration::from_millis(1_250),
            claim_expiry: Duration::from_secs(1),
        }
    }
}

/// What may be done with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No subject is suspect.
    Pass,
    /// The call is the trial of a suspect, which [`Suspects::end_trial`] ends.
    Try(Subject),
    /// A trial of a suspect decides whether the call may run.
    Wait,
    /// A subject is convicted, for this long.
    Refuse(Subject, Duration),
}

/// A change of what is known about a subject, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The subject was being answered at a crash of this upstream.
    Suspected(Subject, Arc<str>),
    /// An upstream has gone on answering with the subject.
    Cleared(Subject),
    /// The subject crashed these upstreams.
    Convicted(Subject, Vec<Arc<str>>),
    /// The conviction has expired; the subject is tried once.
    Expired(Subject),
    /// The conviction was read from the store.
    Restored(Subject),
    /// This upstream, where an answer had broken off, has crashed.
    Confirmed(Arc<str>),
    /// This upstream, where an answer had broken off, has answered another call since.
    Refuted(Arc<str>),
}

/// A crash of an upstream with the subjects that it was answering, except those known as innocent.
#[derive(Clone, Debug)]
struct Crash {
    upstream: Arc<str>,
    born: Option<u64>,
    at: Moment,
    subjects: Vec<Subject>,
    /// Requests that were sent there after an earlier crash of theirs. The same cause, such as the
    /// loss of a rack, cannot be behind both.
    resent: Vec<Subject>,
    /// Whether it is certain that the upstream crashed.
    confirmed: bool,
}

impl Crash {
    /// Returns whether both are of the same start of the same upstream.
    fn is_of_same_upstream(&self, other: &Self) -> bool {
        self.upstream == other.upstream && self.born == other.born
    }
}

/// A call that upstreams answer, or break off.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// Upstream that the call was sent to.
    pub upstream: &'a Arc<str>,
    /// Its start, as its record states it.
    pub born: Option<u64>,
    /// When the call was sent.
    pub sent_at: Moment,
    /// Whether the call has had an answer yet. Without one, innocent parts are not blamed, as the
    /// call may not have run.
    pub has_begun: bool,
}

#[derive(Clone, Copy, Debug)]
struct Conviction {
    since: Moment,
    until: Moment,
    /// Convictions of the subject so far.
    times: u32,
    /// Whether the conviction has expired and no trial has ended since.
    on_probation: bool,
}

/// The wish of this gateway to try a suspect.
#[derive(Clone, Copy, Debug)]
struct Claim {
    since: Moment,
    /// When a call last asked for the trial.
    wanted_at: Moment,
    running: bool,
}

/// What one gateway knows about subjects that crash upstreams.
#[derive(Debug, Default)]
pub struct Suspects {
    settings: Settings,
    own: Arc<str>,
    innocent: Innocent,
    crashes: Vec<Crash>,
    /// When the latest call was sent that an upstream with an unconfirmed crash has answered, and
    /// which start of it has.
    answered: HashMap<Arc<str>, (Option<u64>, Moment)>,
    /// When an upstream last went on answering with a subject that was being answered at a crash.
    cleared: HashMap<Subject, Moment>,
    convicted: HashMap<Subject, Conviction>,
    claims: HashMap<Subject, Claim>,
    /// Claims of other gateways, by subject and name, with the time of the report.
    foreign: HashMap<(Subject, Arc<str>), (ClaimReport, Moment)>,
    events: Vec<Event>,
    /// Convictions and their ends that the store is to keep.
    records: Vec<Record>,
    /// Whether the other gateways should hear of a change at once.
    has_news: bool,
}

impl Suspects {
    /// Starts without knowledge. `own` is the name of this gateway, which decides between claims.
    pub fn new(settings: Settings, own: &str) -> Self {
        Self {
            settings,
            own: Arc::from(own),
            ..Self::default()
        }
    }

    /// Returns the changes since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns whether there is anything to tell other gateways.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.convicted.is_empty() && self.claims.is_empty()
    }

    /// Decides on a call with these subjects. A call that waits asks again until it may run or its
    /// caller cannot wait any longer.
    pub fn judge(&mut self, subjects: &[Subject], now: Moment) -> Verdict {
        if self.is_empty() {
            return Verdict::Pass;
        }
        self.drop_expired(now);
        if subjects
            .iter()
            .any(|subject| self.has_ripened(*subject, now))
        {
            self.convict_and_record(now);
        }
        for subject in subjects {
            if let Some(conviction) = self.convicted.get(subject)
                && !conviction.on_probation
            {
                return Verdict::Refuse(*subject, conviction.until.since(now));
            }
        }
        let suspects = subjects
            .iter()
            .copied()
            .filter(|subject| self.is_suspect(*subject));
        let suspects: HashSet<Subject> = suspects.collect();
        let Some(suspect) = suspects.iter().min().copied() else {
            return Verdict::Pass;
        };
        let must_wait = |subject: &Subject| {
            self.may_be_refuted(*subject, now) || self.is_behind_a_trial(*subject)
        };
        if suspects.iter().any(must_wait) {
            return Verdict::Wait;
        }
        // A crash would not tell which of several suspects caused it, so calls with one of them
        // go first.
        let delay = if suspects.len() == 1 {
            self.settings.claim_delay
        } else if suspects.iter().any(|subject| subject.is_request()) {
            self.settings.request_claim_delay
        } else {
            self.settings.joint_claim_delay
        };
        self.claim(suspect, delay, now)
    }

    /// Claims the trial of a suspect, or waits for that of another call or gateway.
    fn claim(&mut self, subject: Subject, delay: Duration, now: Moment) -> Verdict {
        let own = Arc::clone(&self.own);
        let mut others = self.foreign.iter().filter(|((of, _), _)| *of == subject);
        let is_running = others.clone().any(|(_, (claim, _))| claim.running);
        let is_preceded = others.any(|((_, name), _)| precedes(subject, name, &own));
        let has_news = &mut self.has_news;
        let claim = self.claims.entry(subject).or_insert_with(|| {
            *has_news = true;
            Claim {
                since: now,
                wanted_at: now,
                running: false,
            }
        });
        claim.wanted_at = now;
        if claim.running || is_running || is_preceded {
            return Verdict::Wait;
        }
        if now.since(claim.since) < delay {
            return Verdict::Wait;
        }
        claim.running = true;
        Verdict::Try(subject)
    }

    /// Returns whether the trial of another request is running that was at a crash together with this
    /// one. Were both tried at once, the next crash would not tell them apart either. Requests with
    /// few crashes are tried at once, as there are many after the loss of a rack.
    fn is_behind_a_trial(&self, subject: Subject) -> bool {
        if !subject.is_request() || self.evidence(subject).len() <= self.threshold(subject) {
            return false;
        }
        let own = self.claims.iter().filter(|(_, claim)| claim.running);
        let foreign = self.foreign.iter().filter(|(_, (claim, _))| claim.running);
        let mut running = own
            .map(|(other, _)| *other)
            .chain(foreign.map(|((other, _), _)| *other))
            .filter(|other| *other != subject && other.is_request());
        running.any(|other| {
            let crashes = &self.crashes;
            let is_at = |crash: &Crash, it| crash.subjects.contains(&it);
            crashes
                .iter()
                .any(|it| is_at(it, subject) && is_at(it, other))
        })
    }

    /// Returns whether the trial of a suspect may be sent: no subject of its call has been convicted
    /// since it was claimed.
    pub fn may_go_on(&self, trial: Subject, subjects: &[Subject]) -> bool {
        let convicted = |subject: &Subject| self.convicted.get(subject);
        let is_refused = |subject: &Subject| convicted(subject).is_some_and(|it| !it.on_probation);
        !is_refused(&trial) && !subjects.iter().any(is_refused)
    }

    /// Returns whether there are changes that the other gateways should hear of at once, and
    /// takes them as told.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Ends a trial, whatever its result.
    pub fn end_trial(&mut self, subject: Subject) {
        self.claims.remove(&subject);
    }

    /// Records that an upstream has gone on answering a call with these subjects. That clears
    /// parts, but a request may crash its upstream later: from now on it is only less likely to.
    pub fn go_on(&mut self, subjects: &[Subject], now: Moment) {
        let (requests, parts): (Vec<Subject>, Vec<Subject>) =
            subjects.iter().partition(|subject| subject.is_request());
        for request in requests {
            self.innocent.insert(request, self.settings.max_innocent);
        }
        self.clear(&parts, now);
    }

    /// Records that an upstream has ended an answer to a call with these subjects.
    pub fn clear(&mut self, subjects: &[Subject], now: Moment) {
        let mut has_cleared = false;
        for subject in subjects {
            let was_suspect = self.is_suspect(*subject);
            self.innocent.insert(*subject, self.settings.max_innocent);
            // An upstream has answered it, so the conviction was wrong or is outdated.
            let was_convicted = self.convicted.remove(subject).is_some();
            if was_suspect || was_convicted || self.is_in_a_crash(*subject) {
                self.cleared.insert(*subject, now);
            }
            if was_convicted {
                self.record_acquittal(*subject);
            }
            if was_suspect || was_convicted {
                has_cleared = true;
                self.events.push(Event::Cleared(*subject));
            }
        }
        if has_cleared {
            self.has_news = true;
            self.convict_and_record(now);
        }
    }

    /// Records that an upstream crashed while it was answering a call with these subjects and had
    /// not ended doing so. Returns whether a subject is suspect now.
    pub fn record_crash(
        &mut self,
        subjects: &[Subject],
        attempt: Attempt<'_>,
        now: Moment,
    ) -> bool {
        self.record(subjects, attempt, true, now)
    }

    /// Records that the answer to a call with these subjects broke off, for which a crash may be the
    /// cause. Returns whether a subject is suspect now.
    pub fn record_break(
        &mut self,
        subjects: &[Subject],
        attempt: Attempt<'_>,
        now: Moment,
    ) -> bool {
        self.record(subjects, attempt, false, now)
    }

    fn record(
        &mut self,
        subjects: &[Subject],
        attempt: Attempt<'_>,
        confirmed: bool,
        now: Moment,
    ) -> bool {
        let blamed = subjects.iter().copied();
        let blamed = blamed.filter(|subject| {
            attempt.has_begun || subject.is_request() || !self.innocent.contains(*subject)
        });
        let requests = subjects.iter().copied().filter(|it| it.is_request());
        let was_sent_again = |subject: &Subject| {
            let crashes = self.crashes.iter();
            let mut crashes = crashes.filter(|crash| crash.subjects.contains(subject));
            crashes.any(|crash| crash.at <= attempt.sent_at)
        };
        let crash = Crash {
            upstream: Arc::clone(attempt.upstream),
            born: attempt.born,
            at: now,
            subjects: blamed.collect(),
            resent: requests.filter(was_sent_again).collect(),
            confirmed,
        };
        let is_new = self.add_crash(crash, now);
        let is_suspect = subjects.iter().any(|subject| self.is_suspect(*subject));
        if is_new {
            // A single break is common and changes no verdict, so it can wait for a heartbeat.
            self.has_news |= confirmed || is_suspect;
            self.convict_and_record(now);
        }
        is_suspect
    }

    /// Adds a crash, or what another gateway saw at a known one. Returns whether anything is new.
    fn add_crash(&mut self, crash: Crash, now: Moment) -> bool {
        if crash.subjects.is_empty() || now.since(crash.at) > self.settings.crash_expiry {
            return false;
        }
        let same_crash = self.settings.same_crash;
        let known = self.crashes.iter().position(|known| {
            known.is_of_same_upstream(&crash)
                && known.at.since(crash.at).max(crash.at.since(known.at)) <= same_crash
        });
        let (upstream, confirmed) = (Arc::clone(&crash.upstream), crash.confirmed);
        let mut new = crash.subjects.clone();
        let mut is_confirmed_now = false;
        if let Some(known) = known {
            let known = &self.crashes[known];
            is_confirmed_now = confirmed && !known.confirmed;
            new.retain(|subject| !known.subjects.contains(subject));
            let is_request = |subject: &&Subject| subject.is_request();
            let requests = known.subjects.iter().filter(is_request).count();
            let mut room = [known.subjects.len() - requests, requests]
                .map(|known| MAX_OF_A_KIND.saturating_sub(known));
            new.retain(|subject| {
                let room = &mut room[usize::from(subject.is_request())];
                let fits = *room > 0;
                *room = room.saturating_sub(1);
                fits
            });
            if new.is_empty() && !is_confirmed_now {
                return false;
            }
        }
        let mut changed = new.clone();
        if let Some(known) = known.filter(|_| is_confirmed_now) {
            changed.extend(&self.crashes[known].subjects);
        }
        changed.retain(|subject| !self.is_suspect(*subject));
        if let Some(known) = known {
            let known = &mut self.crashes[known];
            known.confirmed |= confirmed;
            let resent = crash.resent.iter().filter(|it| new.contains(it));
            known.resent.extend(resent);
            known.subjects.extend(&new);
        } else {
            self.crashes.push(crash);
            self.crashes.sort_by_key(|crash| crash.at);
            if self.crashes.len() > self.settings.max_crashes {
                self.forget_a_crash();
            }
        }
        self.push_suspected(changed, &upstream);
        true
    }

    /// Reports those of these subjects, which were not suspect, that now are.
    fn push_suspected(&mut self, subjects: Vec<Subject>, upstream: &Arc<str>) {
        for subject in subjects {
            if self.is_suspect(subject) {
                self.events
                    .push(Event::Suspected(subject, Arc::clone(upstream)));
            }
        }
    }

    /// Returns whether a crash counts against a subject: it was being answered, no conviction
    /// explains the crash, and no upstream has gone on answering the subject since. Breaks are too
    /// common to count against parts, which many calls share.
    fn counts(&self, crash: &Crash, subject: Subject) -> bool {
        let cleared = self.cleared.get(&subject);
        let explains = |other: &Subject| {
            *other != subject
                && (subject.is_request() || !other.is_request())
                && self.convicted.contains_key(other)
        };
        crash.subjects.contains(&subject)
            && (crash.confirmed || (subject.is_request() && !self.is_refuted(crash)))
            && cleared.is_none_or(|cleared| *cleared < crash.at)
            && (self.convicted.is_empty() || !crash.subjects.iter().any(explains))
    }

    /// Returns the crashes that count against a subject, without those that happened together with
    /// an earlier one. One start of an upstream counts once unless its crashes are confirmed.
    fn evidence(&self, subject: Subject) -> Vec<&Crash> {
        let crashes = self.crashes.iter();
        let counted = crashes.filter(|crash| self.counts(crash, subject));
        let counted: Vec<&Crash> = counted.collect();
        if !subject.is_request() && self.is_explained_by_a_request(&counted) {
            return Vec::new();
        }
        let mut evidence: Vec<&Crash> = Vec::new();
        for crash in counted {
            let is_apart = evidence
                .last()
                .is_none_or(|last| crash.at.since(last.at) > self.settings.correlated)
                || crash.resent.contains(&subject);
            let is_repeated = !crash.confirmed
                && evidence
                    .iter()
                    .any(|known| known.is_of_same_upstream(crash));
            if is_apart && !is_repeated {
                evidence.push(crash);
            }
        }
        evidence
    }

    /// Returns whether one convicted request was being answered at all of these crashes. Crashes
    /// under several requests point to a part that they share.
    fn is_explained_by_a_request(&self, crashes: &[&Crash]) -> bool {
        let Some((first, others)) = crashes.split_first() else {
            return false;
        };
        first.subjects.iter().any(|subject| {
            subject.is_request()
                && self.convicted.contains_key(subject)
                && others.iter().all(|crash| crash.subjects.contains(subject))
        })
    }

    /// Returns how many crashes make a subject suspect.
    fn threshold(&self, subject: Subject) -> usize {
        if self.innocent.contains(subject) {
            INNOCENT_THRESHOLD
        } else {
            NEW_THRESHOLD
        }
    }

    fn is_in_a_crash(&self, subject: Subject) -> bool {
        self.crashes
            .iter()
            .any(|crash| crash.subjects.contains(&subject))
    }

    fn is_suspect(&self, subject: Subject) -> bool {
        match self.convicted.get(&subject) {
            Some(conviction) => conviction.on_probation,
            None => is_enough(&self.evidence(subject), self.threshold(subject)),
        }
    }

    /// Convicts the subjects of all crashes against which there is enough evidence.
    fn convict_proved(&mut self, now: Moment) -> Vec<Subject> {
        let mut crashes: BTreeMap<Subject, usize> = BTreeMap::new();
        for subject in self.crashes.iter().flat_map(|crash| &crash.subjects) {
            *crashes.entry(*subject).or_default() += 1;
        }
        // Most subjects are at one crash, which convicts none that is not on probation.
        crashes.retain(|subject, count| {
            *count > NEW_THRESHOLD || self.convicted.contains_key(subject)
        });
        let subjects = crashes.into_keys();
        subjects
            .filter(|subject| self.convict_if_proved(*subject, now))
            .collect()
    }

    /// Convicts as [`Suspects::convict_proved`] does, on evidence of this gateway, which therefore
    /// writes the convictions to the store.
    fn convict_and_record(&mut self, now: Moment) {
        for subject in self.convict_proved(now) {
            if let Some(conviction) = self.convicted.get(&subject).copied() {
                self.record_conviction(subject, conviction);
            }
        }
    }

    /// Convicts a subject if no other suspect can have caused its latest crash and those that
    /// happened together with it. Returns whether it does.
    fn convict_if_proved(&mut self, subject: Subject, now: Moment) -> bool {
        let known = self.convicted.get(&subject).copied();
        if known.is_some_and(|known| !known.on_probation) {
            return false;
        }
        let mut evidence = self.evidence(subject);
        let mut needed = self.threshold(subject) + 1;
        if let Some(known) = known {
            // One crash since the conviction expired confirms it.
            evidence.retain(|crash| crash.at >= known.until);
            needed = 1;
        }
        let Some(last) = evidence.last().filter(|_| is_enough(&evidence, needed)) else {
            return false;
        };
        let excess = |subject, crashes| crashes + INNOCENT_THRESHOLD - self.threshold(subject);
        let own_excess = excess(subject, evidence.len());
        if self.is_recent(&evidence, needed, now) {
            return false;
        }
        let together = self.crashes.iter().filter(|crash| {
            let apart = crash.at.since(last.at).max(last.at.since(crash.at));
            apart <= self.settings.correlated
        });
        let is_alone = together.flat_map(|crash| &crash.subjects).all(|other| {
            let other_excess = || excess(*other, self.evidence(*other).len());
            // A request is refused for good reason also if a part of it is to blame.
            let is_own_part = subject.is_request() && !other.is_request();
            *other == subject
                || other_excess() < own_excess
                || (is_own_part && other_excess() == own_excess)
        });
        // Subjects that always occur together cannot be told apart.
        if !is_alone && evidence.len() <= needed {
            return false;
        }
        let upstreams = evidence.iter().map(|crash| Arc::clone(&crash.upstream));
        let upstreams = upstreams.collect();
        let times = known.map_or(0, |known| known.times);
        let length = self.settings.conviction * (1 << times.min(8));
        let length = length.min(self.settings.max_conviction);
        let conviction = Conviction {
            since: now,
            until: now + length,
            times: times + 1,
            on_probation: false,
        };
        self.convict(subject, conviction);
        self.events.push(Event::Convicted(subject, upstreams));
        true
    }

    /// Ends the conviction of a subject that upstreams have answered, or that has lost its evidence.
    fn acquit(&mut self, subject: Subject, now: Moment) {
        self.convicted.remove(&subject);
        self.cleared.insert(subject, now);
        self.record_acquittal(subject);
        self.events.push(Event::Cleared(subject));
        self.has_news = true;
    }

    fn convict(&mut self, subject: Subject, conviction: Conviction) {
        self.convicted.insert(subject, conviction);
        self.claims.remove(&subject);
        if self.convicted.len() > self.settings.max_convicted {
            let first = self.convicted.iter().min_by_key(|(_, known)| known.until);
            if let Some(first) = first.map(|(subject, _)| *subject) {
                self.convicted.remove(&first);
            }
        }
    }

    fn drop_expired(&mut self, now: Moment) {
        let settings = self.settings;
        self.crashes
            .retain(|crash| now.since(crash.at) <= settings.crash_expiry);
        let crashes = &self.crashes;
        self.answered
            .retain(|upstream, _| crashes.iter().any(|crash| crash.upstream == *upstream));
        self.cleared.retain(|subject, at| {
            now.since(*at) <= settings.crash_expiry
                || crashes.iter().any(|crash| crash.subjects.contains(subject))
        });
        self.claims.retain(|_, claim| {
            claim.running || now.since(claim.wanted_at) <= settings.claim_expiry
        });
        self.foreign
            .retain(|_, (_, heard)| now.since(*heard) <= settings.claim_expiry);
        let events = &mut self.events;
        self.convicted.retain(|subject, conviction| {
            if conviction.until <= now && !conviction.on_probation {
                conviction.on_probation = true;
                events.push(Event::Expired(*subject));
            }
            // A subject that no call holds any more is forgotten.
            now.since(conviction.until) <= settings.max_conviction
        });
    }

    /// Returns the subjects that are suspect or convicted, with the upstreams that crashed, for
    /// operators.
    pub fn list(&self, now: Moment) -> Vec<(Subject, Option<Duration>, Vec<Arc<str>>)> {
        let mut subjects: Vec<Subject> = self.convicted.keys().copied().collect();
        subjects.extend(self.crashes.iter().flat_map(|crash| &crash.subjects));
        subjects.sort_unstable();
        subjects.dedup();
        subjects
            .retain(|subject| self.convicted.contains_key(subject) || self.is_suspect(*subject));
        let describe = |subject: Subject| {
            let convicted = self.convicted.get(&subject);
            let convicted = convicted.filter(|conviction| !conviction.on_probation);
            let crashes = self.crashes.iter();
            let crashes = crashes.filter(|crash| crash.subjects.contains(&subject));
            let upstreams = crashes.map(|crash| Arc::clone(&crash.upstream)).collect();
            let time_left = convicted.map(|conviction| conviction.until.since(now));
            (subject, time_left, upstreams)
        };
        subjects.into_iter().map(describe).collect()
    }
}

/// Returns whether these crashes are as good as `needed` confirmed ones.
fn is_enough(crashes: &[&Crash], needed: usize) -> bool {
    let confirmed = crashes.iter().filter(|crash| crash.confirmed).count();
    confirmed >= needed || crashes.len() >= needed + UNCONFIRMED_EXCESS
}

/// Returns whether the claim of gateway `name` on a trial goes before that of `other`. The order
/// differs from subject to subject.
fn precedes(subject: Subject, name: &str, other: &str) -> bool {
    let order = |name| hash::combine(subject.key(), hash::of(name));
    (order(name), name) < (order(other), other)
}

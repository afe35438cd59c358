//! Finds parts of prompts that crash the upstreams which answer them.
//!
//! Requests that crash upstreams need not be alike: only a part of their prompts is common. So
//! the unit of suspicion is the part. A part with which an upstream has gone on answering is
//! innocent, which clears nearly all parts before any crash. Of the parts that were being
//! answered at a crash, the others are suspects. Calls with a suspect wait while one of them is
//! tried, by one gateway at a time. The trial clears the part, or a second crash convicts it, and
//! calls with it are refused until the conviction expires.
//!
//! [`Suspects`] has no clock and no I/O. Gateways merge what they report to each other, in any
//! order. See docs/notes/suspects.md.

mod report;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;

use crate::hash;

pub use report::{ClaimReport, ConvictionReport, CrashReport, Report};

/// Most parts of one prompt that are considered, from its beginning. Longer prompts share their
/// first parts.
pub const MAX_PARTS: usize = 64;

/// Crashes that make a part suspect which no upstream has answered before.
const NEW_THRESHOLD: usize = 1;
/// Crashes that make a part suspect which upstreams have answered before. Such a part is at a
/// crash by chance more often than not.
const INNOCENT_THRESHOLD: usize = 2;

/// Part of the prompts of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Part(pub u64);

impl Part {
    /// Creates the key of a part with an id that is unique in the prompts of `service`.
    pub fn new(service: &str, id: u64) -> Self {
        Self(hash::combine(hash::of(service), id))
    }
}

impl std::fmt::Display for Part {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Limits and times of [`Suspects`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Innocent parts that are remembered; at least half as many of the latest ones.
    pub max_innocent: usize,
    /// Crashes that are remembered; the oldest ones are forgotten first.
    pub max_crashes: usize,
    /// Convicted parts that are remembered; those that expire first are forgotten first.
    pub max_convicted: usize,
    /// Crashes within this time of each other count as one: upstreams that share a rack or a zone
    /// fail together.
    pub correlated: Duration,
    /// How long gateways may differ on the time of the same crash.
    pub same_crash: Duration,
    /// How long a crash counts against a part.
    pub crash_expiry: Duration,
    /// How long the first conviction lasts. Each further one of the same part lasts twice as
    /// long as the one before.
    pub conviction: Duration,
    /// Longest conviction.
    pub max_conviction: Duration,
    /// How long a claim on a trial waits for claims of other gateways: more than a heartbeat
    /// takes that is sent at once.
    pub claim_delay: Duration,
    /// The same for a call with several suspects.
    pub joint_claim_delay: Duration,
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
            conviction: Duration::from_mins(1),
            max_conviction: Duration::from_mins(15),
            claim_delay: Duration::from_millis(150),
            joint_claim_delay: Duration::from_millis(750),
            claim_expiry: Duration::from_secs(1),
        }
    }
}

/// What may be done with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No part is suspect.
    Pass,
    /// The call is the trial of a suspect, which [`Suspects::end_trial`] ends.
    Try(Part),
    /// A trial of a suspect decides whether the call may run.
    Wait,
    /// A part is convicted, for this long.
    Refuse(Part, Duration),
}

/// A change of what is known about a part, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The part was being answered at a crash of this upstream.
    Suspected(Part, Arc<str>),
    /// An upstream has gone on answering with the part.
    Cleared(Part),
    /// The part crashed these upstreams.
    Convicted(Part, Vec<Arc<str>>),
    /// The conviction has expired; the part is tried once.
    Expired(Part),
}

/// A crash of an upstream with the parts that it was answering, except those known as innocent.
#[derive(Clone, Debug)]
struct Crash {
    upstream: Arc<str>,
    born: Option<u64>,
    at: Moment,
    parts: Vec<Part>,
}

#[derive(Clone, Copy, Debug)]
struct Conviction {
    since: Moment,
    until: Moment,
    /// Convictions of the part so far.
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

/// Parts that upstreams have answered, in two generations of which the older one is dropped when
/// the younger one is full.
#[derive(Debug, Default)]
struct Innocent {
    young: HashSet<Part>,
    old: HashSet<Part>,
}

impl Innocent {
    fn contains(&self, part: Part) -> bool {
        self.young.contains(&part) || self.old.contains(&part)
    }

    fn insert(&mut self, part: Part, max: usize) {
        if self.young.len() >= max / 2 {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(part);
    }
}

/// What one gateway knows about parts that crash upstreams.
#[derive(Debug, Default)]
pub struct Suspects {
    settings: Settings,
    own: Arc<str>,
    innocent: Innocent,
    crashes: Vec<Crash>,
    /// When an upstream last went on answering with a part that was being answered at a crash.
    cleared: HashMap<Part, Moment>,
    convicted: HashMap<Part, Conviction>,
    claims: HashMap<Part, Claim>,
    /// Claims of other gateways, by part and name, with the time of the report.
    foreign: HashMap<(Part, Arc<str>), (ClaimReport, Moment)>,
    events: Vec<Event>,
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

    /// Decides on a call with these parts. A call that waits asks again until it may run or its
    /// caller cannot wait any longer.
    pub fn judge(&mut self, parts: &[Part], now: Moment) -> Verdict {
        if self.is_empty() {
            return Verdict::Pass;
        }
        self.drop_expired(now);
        for part in parts {
            if let Some(conviction) = self.convicted.get(part)
                && !conviction.on_probation
            {
                return Verdict::Refuse(*part, conviction.until.since(now));
            }
        }
        let suspects = parts.iter().copied().filter(|part| self.is_suspect(*part));
        let suspects: HashSet<Part> = suspects.collect();
        let Some(suspect) = suspects.iter().min().copied() else {
            return Verdict::Pass;
        };
        // A crash would not tell which of several suspects caused it, so calls with one of them
        // go first.
        let delay = if suspects.len() > 1 {
            self.settings.joint_claim_delay
        } else {
            self.settings.claim_delay
        };
        self.claim(suspect, delay, now)
    }

    /// Claims the trial of a suspect, or waits for that of another call or gateway.
    fn claim(&mut self, part: Part, delay: Duration, now: Moment) -> Verdict {
        let own = Arc::clone(&self.own);
        let mut others = self.foreign.iter().filter(|((of, _), _)| *of == part);
        let is_running = others.clone().any(|(_, (claim, _))| claim.running);
        let is_preceded = others.any(|((_, name), _)| precedes(part, name, &own));
        let has_news = &mut self.has_news;
        let claim = self.claims.entry(part).or_insert_with(|| {
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
        Verdict::Try(part)
    }

    /// Returns whether the trial of a suspect may be sent: no part of its call has been convicted
    /// since it was claimed.
    pub fn may_go_on(&self, trial: Part, parts: &[Part]) -> bool {
        let convicted = |part: &Part| self.convicted.get(part);
        let is_refused = |part: &Part| convicted(part).is_some_and(|it| !it.on_probation);
        !is_refused(&trial) && !parts.iter().any(is_refused)
    }

    /// Returns whether there are changes that the other gateways should hear of at once, and
    /// takes them as told.
    pub fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Ends a trial, whatever its result.
    pub fn end_trial(&mut self, part: Part) {
        self.claims.remove(&part);
    }

    /// Records that an upstream has gone on answering a call with these parts.
    pub fn clear(&mut self, parts: &[Part], now: Moment) {
        let mut has_cleared = false;
        for part in parts {
            let was_suspect = self.is_suspect(*part);
            self.innocent.insert(*part, self.settings.max_innocent);
            // An upstream has answered it, so the conviction was wrong or is outdated.
            let was_convicted = self.convicted.remove(part).is_some();
            if was_suspect || was_convicted || self.is_in_a_crash(*part) {
                self.cleared.insert(*part, now);
            }
            if was_suspect || was_convicted {
                has_cleared = true;
                self.events.push(Event::Cleared(*part));
            }
        }
        if has_cleared {
            self.has_news = true;
            self.convict_proved(now);
        }
    }

    /// Records that an upstream crashed while it was answering a call with these parts and had
    /// not gone on doing so. `has_begun` tells whether the call had an answer yet; without one,
    /// innocent parts are not blamed, as the call may not have run. Returns whether a part is
    /// suspect now.
    pub fn record_crash(
        &mut self,
        parts: &[Part],
        upstream: &Arc<str>,
        born: Option<u64>,
        has_begun: bool,
        now: Moment,
    ) -> bool {
        let blamed = parts.iter().copied();
        let blamed = blamed.filter(|part| has_begun || !self.innocent.contains(*part));
        let crash = Crash {
            upstream: Arc::clone(upstream),
            born,
            at: now,
            parts: blamed.collect(),
        };
        if self.add_crash(crash, now) {
            self.has_news = true;
            self.convict_proved(now);
        }
        parts.iter().any(|part| self.is_suspect(*part))
    }

    /// Adds a crash, or the parts that another gateway saw at a known one. Returns whether
    /// anything is new.
    fn add_crash(&mut self, crash: Crash, now: Moment) -> bool {
        if crash.parts.is_empty() || now.since(crash.at) > self.settings.crash_expiry {
            return false;
        }
        let same_crash = self.settings.same_crash;
        let known = self.crashes.iter().position(|known| {
            known.upstream == crash.upstream
                && known.born == crash.born
                && known.at.since(crash.at).max(crash.at.since(known.at)) <= same_crash
        });
        let (upstream, mut new) = (Arc::clone(&crash.upstream), crash.parts.clone());
        if let Some(known) = known {
            let parts = &self.crashes[known].parts;
            new.retain(|part| !parts.contains(part));
            new.truncate(MAX_PARTS.saturating_sub(parts.len()));
            if new.is_empty() {
                return false;
            }
        }
        let innocent = new.iter().copied().filter(|part| !self.is_suspect(*part));
        let innocent: Vec<Part> = innocent.collect();
        if let Some(known) = known {
            self.crashes[known].parts.extend(&new);
        } else {
            self.crashes.push(crash);
            self.crashes.sort_by_key(|crash| crash.at);
            if self.crashes.len() > self.settings.max_crashes {
                self.crashes.remove(0);
            }
        }
        for part in innocent {
            if self.is_suspect(part) {
                self.events
                    .push(Event::Suspected(part, Arc::clone(&upstream)));
            }
        }
        true
    }

    /// Returns whether a crash counts against a part: it was being answered, no conviction
    /// explains the crash, and no upstream has gone on answering the part since.
    fn counts(&self, crash: &Crash, part: Part) -> bool {
        let cleared = self.cleared.get(&part);
        crash.parts.contains(&part)
            && cleared.is_none_or(|cleared| *cleared < crash.at)
            && !crash
                .parts
                .iter()
                .any(|other| *other != part && self.convicted.contains_key(other))
    }

    /// Returns the crashes that count against a part, without those that happened together with
    /// an earlier one.
    fn evidence(&self, part: Part) -> Vec<&Crash> {
        let mut evidence: Vec<&Crash> = Vec::new();
        for crash in self.crashes.iter().filter(|crash| self.counts(crash, part)) {
            let previous = evidence.last();
            if previous.is_none_or(|last| crash.at.since(last.at) > self.settings.correlated) {
                evidence.push(crash);
            }
        }
        evidence
    }

    /// Returns how many crashes make a part suspect.
    fn threshold(&self, part: Part) -> usize {
        if self.innocent.contains(part) {
            INNOCENT_THRESHOLD
        } else {
            NEW_THRESHOLD
        }
    }

    fn is_in_a_crash(&self, part: Part) -> bool {
        self.crashes.iter().any(|crash| crash.parts.contains(&part))
    }

    fn is_suspect(&self, part: Part) -> bool {
        match self.convicted.get(&part) {
            Some(conviction) => conviction.on_probation,
            None => self.evidence(part).len() >= self.threshold(part),
        }
    }

    /// Convicts the parts of all crashes against which there is enough evidence.
    fn convict_proved(&mut self, now: Moment) {
        let parts = self.crashes.iter().flat_map(|crash| crash.parts.clone());
        let parts: HashSet<Part> = parts.collect();
        for part in parts {
            self.convict_if_proved(part, now);
        }
    }

    /// Convicts a part whose latest crash no other suspect can have caused.
    fn convict_if_proved(&mut self, part: Part, now: Moment) {
        let known = self.convicted.get(&part).copied();
        if known.is_some_and(|known| !known.on_probation) {
            return;
        }
        let mut evidence = self.evidence(part);
        let mut needed = self.threshold(part) + 1;
        if let Some(known) = known {
            // One crash since the conviction expired confirms it.
            evidence.retain(|crash| crash.at >= known.until);
            needed = 1;
        }
        let Some(last) = evidence.last().filter(|_| evidence.len() >= needed) else {
            return;
        };
        let excess = |part, crashes| crashes + INNOCENT_THRESHOLD - self.threshold(part);
        let own_excess = excess(part, evidence.len());
        let is_alone = last.parts.iter().all(|other| {
            *other == part || excess(*other, self.evidence(*other).len()) < own_excess
        });
        // Parts that always occur together cannot be told apart.
        if !is_alone && evidence.len() <= needed {
            return;
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
        self.convict(part, conviction);
        self.events.push(Event::Convicted(part, upstreams));
    }

    fn convict(&mut self, part: Part, conviction: Conviction) {
        self.convicted.insert(part, conviction);
        self.claims.remove(&part);
        if self.convicted.len() > self.settings.max_convicted {
            let first = self.convicted.iter().min_by_key(|(_, known)| known.until);
            if let Some(first) = first.map(|(part, _)| *part) {
                self.convicted.remove(&first);
            }
        }
    }

    fn drop_expired(&mut self, now: Moment) {
        let settings = self.settings;
        self.crashes
            .retain(|crash| now.since(crash.at) <= settings.crash_expiry);
        let crashes = &self.crashes;
        self.cleared.retain(|part, at| {
            now.since(*at) <= settings.crash_expiry
                || crashes.iter().any(|crash| crash.parts.contains(part))
        });
        self.claims.retain(|_, claim| {
            claim.running || now.since(claim.wanted_at) <= settings.claim_expiry
        });
        self.foreign
            .retain(|_, (_, heard)| now.since(*heard) <= settings.claim_expiry);
        let events = &mut self.events;
        self.convicted.retain(|part, conviction| {
            if conviction.until <= now && !conviction.on_probation {
                conviction.on_probation = true;
                events.push(Event::Expired(*part));
            }
            // A part that no call holds any more is forgotten.
            now.since(conviction.until) <= settings.max_conviction
        });
    }

    /// Returns the parts that are suspect or convicted, with the upstreams that crashed, for
    /// operators.
    pub fn list(&self, now: Moment) -> Vec<(Part, Option<Duration>, Vec<Arc<str>>)> {
        let mut parts: Vec<Part> = self.convicted.keys().copied().collect();
        parts.extend(self.crashes.iter().flat_map(|crash| &crash.parts));
        parts.sort_unstable();
        parts.dedup();
        parts.retain(|part| self.convicted.contains_key(part) || self.is_suspect(*part));
        let describe = |part: Part| {
            let convicted = self.convicted.get(&part);
            let convicted = convicted.filter(|conviction| !conviction.on_probation);
            let crashes = self.crashes.iter();
            let crashes = crashes.filter(|crash| crash.parts.contains(&part));
            let upstreams = crashes.map(|crash| Arc::clone(&crash.upstream)).collect();
            let time_left = convicted.map(|conviction| conviction.until.since(now));
            (part, time_left, upstreams)
        };
        parts.into_iter().map(describe).collect()
    }
}

/// Returns whether the claim of gateway `name` on a trial goes before that of `other`. The order
/// differs from part to part.
fn precedes(part: Part, name: &str, other: &str) -> bool {
    let order = |name| hash::combine(part.0, hash::of(name));
    (order(name), name) < (order(other), other)
}

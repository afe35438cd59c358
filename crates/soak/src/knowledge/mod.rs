//! What the gateways that are alive know of the operators' and upstreams' records.
//!
//! A store that is restored from a copy loses records that gateways know. What at least one of them
//! knows, the others must not act against: they may not refuse what a newer version of the table
//! allows, accept a key that it withdraws, or use a zone or an upstream that was taken out of
//! service. A refusal with 503 is no such act.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Time within which a gateway that keeps running learns what another one knows.
pub const LEARNING_TIME: Duration = Duration::from_secs(2);
/// Time in contact with the store within which a gateway reads what the store holds.
const READING_TIME: Duration = Duration::from_millis(500);
/// Time without a fault after which a gateway counts as in touch.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// How a gateway acted by an older version than one that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Act {
    /// It refused a route or key of the version, with this status.
    Refused(u16),
    /// It accepted a key that the version withdraws.
    Accepted,
}

/// How a zone or an upstream was taken out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removed {
    /// Its record says so.
    Taken,
    /// Its record was removed. Gateways keep such an upstream for a while after an outage of the
    /// store, which may have lost the record.
    Left,
}

/// What a finding is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// A gateway acted against what another live one knew.
    Known,
    /// No live gateway knew better.
    Unknown,
    /// A gateway that kept running used an upstream whose record was gone.
    Kept,
}

/// A gateway as seen from outside.
#[derive(Clone, Debug)]
struct Gateway {
    incarnation: u64,
    started_at: Instant,
    is_running: bool,
    is_frozen: bool,
    is_cut: bool,
    /// End of the last freeze or cut.
    disturbed_at: Instant,
    thawed_at: Option<Instant>,
    /// Since when the store has been within reach without a break.
    contact_since: Option<Instant>,
    /// When this process was first seen to serve a version or a later one.
    served: BTreeMap<u64, Instant>,
}

impl Gateway {
    fn new(now: Instant) -> Self {
        Self {
            incarnation: 0,
            started_at: now,
            is_running: false,
            is_frozen: false,
            is_cut: false,
            disturbed_at: now,
            thawed_at: None,
            contact_since: None,
            served: BTreeMap::new(),
        }
    }

    /// Returns whether the gateway has been able to run for a time.
    fn is_awake(&self, time: Duration, now: Instant) -> bool {
        let is_thawed = self.thawed_at.is_none_or(|at| at + time < now);
        self.is_running && !self.is_frozen && is_thawed
    }

    /// Returns when this process was first seen to serve a version or a later one.
    fn knows_since(&self, version: u64) -> Option<Instant> {
        self.served.range(version..).map(|(_, at)| *at).min()
    }
}

/// A zone or an upstream that was taken out of service.
#[derive(Clone, Debug)]
struct Removal {
    at: Instant,
    how: Removed,
    /// Since when the store has held the record; `None` while a restore has lost it.
    held_since: Option<Instant>,
    /// Gateways by number and incarnation that must have read it, and since when.
    known_by: HashMap<(usize, u64), Instant>,
}

/// An absence of the store.
#[derive(Clone, Copy, Debug)]
struct Absence {
    left_at: Instant,
    returned_at: Option<Instant>,
}

/// Identifies findings that are reported together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Subject {
    gateway: usize,
    incarnation: u64,
    /// Version, zone or upstream.
    what: String,
    class: Class,
}

/// Equal findings at one process.
#[derive(Clone, Debug)]
struct Finding {
    first: Instant,
    last: Instant,
    count: u64,
    /// How many of them while the gateway was in touch.
    in_touch: u64,
    detail: String,
}

/// State of one run.
#[derive(Debug)]
pub struct Knowledge {
    start: Instant,
    gateways: Vec<Gateway>,
    /// First confirmation of each version, which counts from 1.
    confirmed: Vec<Instant>,
    removals: HashMap<String, Removal>,
    absences: Vec<Absence>,
    /// Number of absences that have not ended.
    away: usize,
    findings: BTreeMap<Subject, Finding>,
    /// Findings that were added since they were last taken, as log lines.
    news: Vec<String>,
}

impl Default for Knowledge {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            gateways: Vec::new(),
            confirmed: Vec::new(),
            removals: HashMap::new(),
            absences: Vec::new(),
            away: 0,
            findings: BTreeMap::new(),
            news: Vec::new(),
        }
    }
}

impl Knowledge {
    fn gateway(&mut self, number: usize) -> &mut Gateway {
        let now = Instant::now();
        while self.gateways.len() <= number {
            self.gateways.push(Gateway::new(now));
        }
        &mut self.gateways[number]
    }

    fn update_contact(&mut self, now: Instant) {
        let is_store_there = self.away == 0;
        for gateway in &mut self.gateways {
            let in_contact =
                is_store_there && gateway.is_running && !gateway.is_frozen && !gateway.is_cut;
            gateway.contact_since = if in_contact {
                gateway.contact_since.or(Some(now))
            } else {
                None
            };
        }
    }

    /// Records the start of a process.
    pub fn record_start(&mut self, number: usize, incarnation: u64) {
        let now = Instant::now();
        let gateway = self.gateway(number);
        let is_cut = gateway.is_cut;
        *gateway = Gateway {
            incarnation,
            is_running: true,
            is_cut,
            ..Gateway::new(now)
        };
        self.update_contact(now);
    }

    /// Records that a process was killed or told to stop.
    pub fn record_end(&mut self, number: usize) {
        self.gateway(number).is_running = false;
        self.update_contact(Instant::now());
    }

    /// Records that a process is suspended or resumed.
    pub fn set_frozen(&mut self, number: usize, is_frozen: bool) {
        let now = Instant::now();
        let gateway = self.gateway(number);
        gateway.is_frozen = is_frozen;
        gateway.thawed_at = Some(now);
        gateway.disturbed_at = now;
        self.update_contact(now);
    }

    /// Records that a fault keeps a gateway from the store, or that it has ended.
    pub fn set_cut(&mut self, number: usize, is_cut: bool) {
        let now = Instant::now();
        let gateway = self.gateway(number);
        gateway.is_cut = is_cut;
        gateway.disturbed_at = now;
        self.update_contact(now);
    }

    /// Records that the store leaves.
    pub fn record_absence(&mut self) -> usize {
        let now = Instant::now();
        self.away += 1;
        self.absences.push(Absence {
            left_at: now,
            returned_at: None,
        });
        self.update_contact(now);
        self.absences.len() - 1
    }

    /// Records that the store is back from a copy made at `copied_at`.
    pub fn record_return(&mut self, absence: usize, copied_at: Instant) {
        let now = Instant::now();
        self.away = self.away.saturating_sub(1);
        self.absences[absence].returned_at = Some(now);
        for removal in self.removals.values_mut() {
            removal.held_since = removal.held_since.filter(|since| *since <= copied_at);
        }
        self.update_contact(now);
    }

    /// Records that the store holds a version of the table.
    pub fn record_version(&mut self, version: u64) {
        if self.confirmed.len() < version as usize {
            self.confirmed.push(Instant::now());
        }
    }

    /// Records that the store holds the removal of a zone or an upstream, or its return.
    pub fn record_removal(&mut self, key: &str, removed: Option<Removed>) {
        let now = Instant::now();
        let Some(how) = removed else {
            self.removals.remove(key);
            return;
        };
        let removal = self.removals.entry(key.to_owned()).or_insert(Removal {
            at: now,
            how,
            held_since: None,
            known_by: HashMap::new(),
        });
        if removal.how != how {
            *removal = Removal {
                at: now,
                how,
                held_since: None,
                known_by: HashMap::new(),
            };
        }
        removal.held_since = removal.held_since.or(Some(now));
    }

    /// Records that a process served a version.
    pub fn record_served(&mut self, number: usize, incarnation: u64, version: u64) {
        let gateway = self.gateway(number);
        if gateway.incarnation == incarnation {
            gateway.served.entry(version).or_insert_with(Instant::now);
        }
    }

    /// Notes which removals gateways must have read by now.
    pub fn update_removals(&mut self) {
        let now = Instant::now();
        for removal in self.removals.values_mut() {
            let Some(held_since) = removal.held_since else {
                continue;
            };
            for (number, gateway) in self.gateways.iter().enumerate() {
                let Some(contact_since) = gateway.contact_since else {
                    continue;
                };
                if held_since.max(contact_since) + READING_TIME < now {
                    let process = (number, gateway.incarnation);
                    removal.known_by.entry(process).or_insert(now);
                }
            }
        }
    }

    /// Returns the versions to request: the newest one, the newest one that was confirmed
    /// [`LEARNING_TIME`] ago, and the newest one that a live gateway has served.
    pub fn versions(&self) -> Vec<u64> {
        let now = Instant::now();
        let newest = self.confirmed.len() as u64;
        let due = self
            .confirmed
            .iter()
            .take_while(|at| **at + LEARNING_TIME < now)
            .count() as u64;
        let live = self.gateways.iter().filter(|gateway| gateway.is_running);
        let served = live.filter_map(|gateway| gateway.served.keys().max()).max();
        let mut versions = vec![newest, due, served.copied().unwrap_or_default().min(due)];
        versions.retain(|version| *version > 0);
        versions.dedup();
        versions
    }

    /// Returns whether a process serves the newest version.
    pub fn serves_newest(&self, number: usize) -> bool {
        let newest = self.confirmed.len() as u64;
        let gateway = self.gateways.get(number);
        gateway.is_some_and(|gateway| gateway.served.contains_key(&newest))
    }

    /// Returns the gateways that know something, of which `since` tells when it was known.
    fn knowers(
        &self,
        acting: usize,
        sent_at: Instant,
        since: impl Fn(usize, &Gateway) -> Option<Instant>,
    ) -> Vec<usize> {
        let started_at = self.gateways[acting].started_at;
        let others = self.gateways.iter().enumerate();
        let others = others.filter(|(number, _)| *number != acting);
        let knowing = others.filter(|(number, gateway)| {
            if !gateway.is_awake(LEARNING_TIME, sent_at) {
                return false;
            }
            since(*number, gateway).is_some_and(|since| {
                // A process that starts has to ask before it acts.
                since < started_at || since + LEARNING_TIME < sent_at
            })
        });
        knowing.map(|(number, _)| number).collect()
    }

    /// Checks an answer that acts by an older version than `version`. `sent_at` is the time of the
    /// request.
    pub fn check_answer(
        &mut self,
        number: usize,
        incarnation: u64,
        version: u64,
        act: Act,
        sent_at: Instant,
    ) {
        let Some(gateway) = self.gateways.get(number) else {
            return;
        };
        let Some(confirmed_at) = self.confirmed.get(version as usize - 1).copied() else {
            return;
        };
        let is_due = confirmed_at + LEARNING_TIME < sent_at;
        let is_same = gateway.incarnation == incarnation && gateway.is_running;
        if !is_due || !is_same || !gateway.is_awake(LEARNING_TIME, sent_at) {
            return;
        }
        let knowers = self.knowers(number, sent_at, |_, gateway| gateway.knows_since(version));
        let served = self.gateways.iter().filter(|it| it.is_running);
        let served = served.filter(|it| it.knows_since(version).is_some());
        if knowers.is_empty() && served.count() > 0 {
            // Known only to gateways that are frozen, or for a short time.
            return;
        }
        let what = format!("version {version} {act:?}");
        let class = if knowers.is_empty() {
            Class::Unknown
        } else {
            Class::Known
        };
        self.add_finding(number, &what, confirmed_at, class, &knowers, sent_at);
    }

    /// Checks that a gateway may use an upstream or a zone, as `key` names it.
    pub fn check_run(&mut self, number: usize, key: &str, bound: Duration, now: Instant) {
        let Some(gateway) = self.gateways.get(number) else {
            return;
        };
        let Some(removal) = self.removals.get(key) else {
            return;
        };
        let is_late = removal.at + bound < now;
        let is_awake = gateway.is_awake(LEARNING_TIME, now);
        // The bounds do not hold for a gateway that is cut off from the store.
        let is_disturbed = gateway.is_cut || gateway.disturbed_at + CONTACT_TIME > now;
        let has_started = gateway.started_at > removal.at;
        if !is_late || !is_awake || (is_disturbed && !has_started) {
            return;
        }
        let at = removal.at;
        let knowers = self.knowers(number, now, |number, gateway| {
            let process = (number, gateway.incarnation);
            removal.known_by.get(&process).copied()
        });
        let mut known_by = removal.known_by.keys();
        let is_known_alive = known_by.any(|(number, incarnation)| {
            let gateway = &self.gateways[*number];
            gateway.incarnation == *incarnation && gateway.is_running
        });
        if knowers.is_empty() && is_known_alive {
            // Known only to gateways that are frozen, or for a short time.
            return;
        }
        let is_kept = removal.how == Removed::Left && !has_started;
        let class = match knowers.is_empty() {
            _ if is_kept => Class::Kept,
            true => Class::Unknown,
            false => Class::Known,
        };
        self.add_finding(number, &format!("{key} used"), at, class, &knowers, now);
    }

    /// Returns seconds since the start of the run.
    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    fn add_finding(
        &mut self,
        number: usize,
        what: &str,
        recorded_at: Instant,
        class: Class,
        knowers: &[usize],
        now: Instant,
    ) {
        let gateway = &self.gateways[number];
        let lost = self.absences.iter().rev();
        let absence = lost.copied().find(|it| it.left_at > recorded_at);
        if absence.is_none() && class == Class::Unknown {
            // Other faults have kept it from all gateways.
            return;
        }
        let last_return = self.absences.iter().filter_map(|it| it.returned_at).max();
        let in_touch = self.away == 0
            && !gateway.is_cut
            && [
                Some(gateway.started_at),
                Some(gateway.disturbed_at),
                last_return,
            ]
            .into_iter()
            .flatten()
            .all(|at| at + CONTACT_TIME < now);
        let started_at = self.seconds(gateway.started_at);
        let process = match absence {
            Some(absence) if gateway.started_at < absence.left_at => {
                format!(
                    "started at {started_at:.3}, alive over the absence from {:.3}",
                    self.seconds(absence.left_at)
                )
            }
            Some(absence) => format!(
                "started at {started_at:.3} after the absence from {:.3}",
                self.seconds(absence.left_at)
            ),
            None => format!("started at {started_at:.3}, no absence since"),
        };
        let recorded_at = self.seconds(recorded_at);
        let detail =
            format!("recorded at {recorded_at:.3}, known by {knowers:?}, process {process}");
        let subject = Subject {
            gateway: number,
            incarnation: gateway.incarnation,
            what: what.to_owned(),
            class,
        };
        if !self.findings.contains_key(&subject) {
            self.news.push(format!(
                "gateway={number} incarnation={} finding={what:?} {detail}",
                gateway.incarnation
            ));
        }
        let finding = self.findings.entry(subject).or_insert(Finding {
            first: now,
            last: now,
            count: 0,
            in_touch: 0,
            detail,
        });
        finding.last = now;
        finding.count += 1;
        finding.in_touch += u64::from(in_touch);
    }

    /// Returns the findings that were added since the last call.
    pub fn take_news(&mut self) -> Vec<String> {
        std::mem::take(&mut self.news)
    }

    /// Returns what gateways did, as far as it is of a class.
    pub fn findings(&self, class: Class) -> Vec<String> {
        let chosen = self.findings.iter();
        let chosen = chosen.filter(|(subject, _)| subject.class == class);
        let text = chosen.map(|(subject, finding)| {
            format!(
                "gateway {}.{}: {} {} times, {} in touch, from {:.3} to {:.3}; {}",
                subject.gateway,
                subject.incarnation,
                subject.what,
                finding.count,
                finding.in_touch,
                self.seconds(finding.first),
                self.seconds(finding.last),
                finding.detail,
            )
        });
        text.collect()
    }
}

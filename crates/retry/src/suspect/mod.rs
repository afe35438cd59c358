//! Detects requests that crash every upstream that runs them.
//!
//! Each request in flight at a crash becomes a suspect. At a further crash, a
//! request in flight is implicated if it was started on that upstream after an
//! earlier crash that made it a suspect. If exactly one request is implicated,
//! it is confirmed as the crash cause, and the crashes at which it was in flight
//! no longer count against any other request. Requests that were running when
//! several upstreams crashed at the same time are not implicated, since upstreams
//! fail together when their rack fails.
//!
//! A request that completes is cleared of all crashes known at that node. The
//! verdicts depend only on the merged records: nodes with the same records reach
//! the same verdicts, and it does not matter whether a node knew of the first
//! crash when the second happened. See `docs/notes/retries.md`.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::crash::{Crash, Fingerprint, InFlightRequest, Record, Stamp, Update};

/// Bounds and delays of a [`CrashList`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a crash makes requests suspect.
    pub expiry: Duration,
    /// Maximum number of crashes kept. Those with the greatest incarnations are
    /// kept.
    pub max_crashes: usize,
    /// Maximum number of requests kept for each crash.
    pub max_requests: usize,
    /// How long a suspect waits after its latest crash, so that the other nodes
    /// have received the record. Must exceed the usual time that records take to
    /// reach all nodes.
    pub propagation_delay: Duration,
    /// A further crash implicates a request only if the request was started more
    /// than this time after the earlier crash. The upstreams of a failing rack
    /// crash within this time of each other. Must be shorter than
    /// `propagation_delay` by more than the clocks of the nodes differ.
    pub correlated_window: Duration,
    /// How long an implicated request waits after its latest crash, so that other
    /// requests implicated by the same crash complete and are cleared first.
    pub implicated_delay: Duration,
    /// Time after which a crash record counts as complete without a contribution
    /// of the agent, which may have failed together with the upstream.
    pub settle_time: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            expiry: Duration::from_mins(15),
            max_crashes: 64,
            max_requests: 4096,
            propagation_delay: Duration::from_millis(500),
            correlated_window: Duration::from_millis(400),
            implicated_delay: Duration::from_secs(10),
            settle_time: Duration::from_secs(2),
        }
    }
}

/// Status of a request with regard to crashes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// No crash counts against the request.
    #[default]
    Clean,
    /// The request was in flight at a crash. It runs only on an upstream where no
    /// other suspect is running.
    Suspect,
    /// The request is a confirmed crash cause and is refused.
    Confirmed,
}

/// The crash records that a node knows, from which the status of each request is
/// derived.
#[derive(Clone, Debug, Default)]
pub struct CrashList {
    settings: Settings,
    crashes: BTreeMap<Crash, Record>,
    /// Local revision at which each record last changed.
    revisions: HashMap<Crash, u64>,
    revision: u64,
}

/// A crash that has not expired, with the requests that have not been cleared of
/// it and their start times.
type OpenCrash<'a> = (&'a Record, Vec<(Fingerprint, Stamp)>);

/// The status of all requests, derived from the crash records at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Confirmed crash causes, which are refused.
    pub confirmed: BTreeSet<Fingerprint>,
    /// Suspects, which run in isolation.
    pub suspects: BTreeMap<Fingerprint, Suspicion>,
    propagation_delay: Duration,
    implicated_delay: Duration,
}

/// The crashes that make one request a suspect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Suspicion {
    /// Number of crashes.
    pub crashes: u32,
    /// Time of the earliest crash.
    pub earliest: Stamp,
    /// Time of the latest crash.
    pub latest: Stamp,
    /// Whether a further crash implicates the request.
    pub implicated: bool,
}

impl CrashList {
    /// Creates a list without crashes.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records a crash at time `now`, with the requests that were in flight and
    /// their start times. `complete` states that no other request was in flight,
    /// which only the agent of the upstream knows.
    pub fn record_crash(
        &mut self,
        crash: Crash,
        in_flight: impl IntoIterator<Item = (Fingerprint, Stamp)>,
        complete: bool,
        now: Stamp,
    ) {
        let record = Record {
            at: now,
            complete,
            in_flight: in_flight
                .into_iter()
                .map(|(fingerprint, started)| {
                    (
                        fingerprint,
                        InFlightRequest {
                            started,
                            cleared: false,
                        },
                    )
                })
                .collect(),
        };
        self.merge_record(crash, &record);
        self.evict_excess();
    }

    /// Records that a request completed, which clears it of all known crashes.
    pub fn record_completion(&mut self, fingerprint: Fingerprint) {
        self.revision += 1;
        for (crash, record) in &mut self.crashes {
            if let Some(request) = record.in_flight.get_mut(&fingerprint)
                && !request.cleared
            {
                request.cleared = true;
                self.revisions.insert(*crash, self.revision);
            }
        }
    }

    /// Merges the crash records of another node.
    pub fn merge(&mut self, update: &Update) {
        for (crash, record) in &update.records {
            self.merge_record(*crash, record);
        }
        self.evict_excess();
    }

    /// Returns the records that changed after the revision `since`, and the
    /// revision to pass to the next call.
    pub fn changes(&self, since: u64) -> (u64, Update) {
        let changed = |crash: &Crash| self.revisions.get(crash).is_some_and(|at| *at > since);
        let records = self.crashes.iter().filter(|(crash, _)| changed(crash));
        let records = records
            .map(|(crash, record)| (*crash, record.clone()))
            .collect();
        (self.revision, Update { records })
    }

    /// Removes the crashes that have expired.
    pub fn expire(&mut self, now: Stamp) {
        let expiry_ms = self.settings.expiry.as_millis() as u64;
        self.crashes
            .retain(|_, record| now.since(record.at) <= expiry_ms);
        self.revisions
            .retain(|crash, _| self.crashes.contains_key(crash));
    }

    /// Returns the status of a request.
    ///
    /// Evaluates all records. A program that checks every request should publish
    /// [`CrashList::findings`] whenever [`CrashList::revision`] changes, and at
    /// least once per [`Settings::settle_time`], and check against those.
    pub fn check(&self, fingerprint: Fingerprint, now: Stamp) -> Verdict {
        self.findings(now).verdict(fingerprint)
    }

    /// Returns a number that increases whenever a record changes, and with every
    /// recorded completion. Expiry does not change it.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Derives the status of all requests from the records at time `now`.
    pub fn findings(&self, now: Stamp) -> Findings {
        let mut open = self.open(now);
        let mut findings = Findings::default();
        loop {
            let suspicions = self.suspicions(&open);
            // A record that is not settled may lack calls, and one of those may be
            // the actual crash cause. Requests in such a record are therefore not
            // confirmed yet.
            let unsettled: BTreeSet<_> = open
                .iter()
                .filter(|(record, _)| !self.is_settled(record, now))
                .flat_map(|(_, requests)| requests.iter().map(|(fingerprint, _)| *fingerprint))
                .collect();
            let confirmed: BTreeSet<_> = open
                .iter()
                .filter_map(|(_, requests)| self.only_implicated(requests, &suspicions))
                .filter(|fingerprint| !unsettled.contains(fingerprint))
                .collect();
            if confirmed.is_empty() {
                findings.suspects = suspicions;
                findings.propagation_delay = self.settings.propagation_delay;
                findings.implicated_delay = self.settings.implicated_delay;
                return findings;
            }
            open.retain(|(_, requests)| {
                requests
                    .iter()
                    .all(|(fingerprint, _)| !confirmed.contains(fingerprint))
            });
            findings.confirmed.extend(confirmed);
        }
    }

    /// Number of crashes in the list, including expired ones that have not been
    /// removed yet.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Whether the list has no crashes.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns the crashes that have not expired, each with the requests that have
    /// not been cleared.
    fn open(&self, now: Stamp) -> Vec<OpenCrash<'_>> {
        let expiry_ms = self.settings.expiry.as_millis() as u64;
        let valid = self
            .crashes
            .values()
            .filter(|record| now.since(record.at) <= expiry_ms);
        valid
            .map(|record| (record, record.uncleared().collect()))
            .collect()
    }

    /// Returns the crashes that make each request a suspect, and whether a further
    /// crash implicates it.
    fn suspicions(&self, open: &[OpenCrash<'_>]) -> BTreeMap<Fingerprint, Suspicion> {
        let mut suspicions = suspicions(open);
        for (fingerprint, started) in open.iter().flat_map(|(_, requests)| requests) {
            if let Some(suspicion) = suspicions.get_mut(fingerprint) {
                suspicion.implicated |= self.implicates(suspicion, *started);
            }
        }
        suspicions
    }

    /// Whether a request in flight at a crash is implicated by it: started after
    /// the request's earliest crash, outside the window of correlated failures.
    fn implicates(&self, suspicion: &Suspicion, started: Stamp) -> bool {
        let window_ms = self.settings.correlated_window.as_millis() as u64;
        started.0 > suspicion.earliest.0 + window_ms
    }

    /// Returns the request that a crash implicates, or `None` unless exactly one
    /// of the requests in flight is implicated.
    fn only_implicated(
        &self,
        requests: &[(Fingerprint, Stamp)],
        suspicions: &BTreeMap<Fingerprint, Suspicion>,
    ) -> Option<Fingerprint> {
        let is_implicated = |(fingerprint, started): &&(Fingerprint, Stamp)| {
            let suspicion = suspicions.get(fingerprint);
            suspicion.is_some_and(|suspicion| self.implicates(suspicion, *started))
        };
        let mut implicated = requests.iter().filter(is_implicated);
        let first = implicated.next()?;
        implicated.next().is_none().then_some(first.0)
    }

    fn is_settled(&self, record: &Record, now: Stamp) -> bool {
        record.complete || u128::from(now.since(record.at)) >= self.settings.settle_time.as_millis()
    }

    fn merge_record(&mut self, crash: Crash, record: &Record) {
        let known = self.crashes.get(&crash);
        let mut merged = known.cloned().unwrap_or_else(|| Record {
            at: record.at,
            ..Record::default()
        });
        merged.merge(record, self.settings.max_requests);
        if known != Some(&merged) {
            self.revision += 1;
            self.revisions.insert(crash, self.revision);
            self.crashes.insert(crash, merged);
        }
    }

    fn evict_excess(&mut self) {
        while self.crashes.len() > self.settings.max_crashes {
            if let Some((crash, _)) = self.crashes.pop_first() {
                self.revisions.remove(&crash);
            }
        }
    }
}

impl PartialEq for CrashList {
    /// Lists are equal if they have the same crash records; settings and revisions
    /// do not matter.
    fn eq(&self, other: &Self) -> bool {
        self.crashes == other.crashes
    }
}

impl Findings {
    /// Returns how long a request must wait before it may run, even in isolation;
    /// zero if it is not a suspect.
    pub fn hold(&self, fingerprint: Fingerprint, now: Stamp) -> Duration {
        let Some(suspicion) = self.suspects.get(&fingerprint) else {
            return Duration::ZERO;
        };
        let hold = if suspicion.implicated {
            self.implicated_delay
        } else {
            self.propagation_delay
        };
        hold.saturating_sub(Duration::from_millis(now.since(suspicion.latest)))
    }

    /// Returns the status of a request.
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        if self.confirmed.contains(&fingerprint) {
            Verdict::Confirmed
        } else if self.suspects.contains_key(&fingerprint) {
            Verdict::Suspect
        } else {
            Verdict::Clean
        }
    }
}

/// Returns the crashes that make each request a suspect.
fn suspicions(open: &[OpenCrash<'_>]) -> BTreeMap<Fingerprint, Suspicion> {
    let mut suspicions: BTreeMap<Fingerprint, Suspicion> = BTreeMap::new();
    for (record, requests) in open {
        for (fingerprint, _) in requests {
            let suspicion = suspicions.entry(*fingerprint).or_insert(Suspicion {
                crashes: 0,
                earliest: record.at,
                latest: record.at,
                implicated: false,
            });
            suspicion.crashes += 1;
            suspicion.earliest = suspicion.earliest.min(record.at);
            suspicion.latest = suspicion.latest.max(record.at);
        }
    }
    suspicions
}

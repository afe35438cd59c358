//! Requests that may crash every upstream that runs them.
//!
//! Each call in flight at a crash is a suspect. Of the calls in flight at a
//! further crash, those that were started there after a crash that accuses them
//! are implicated. If that is exactly one, it is confirmed, and its crashes
//! accuse nobody else. What was running at several crashes at once is not
//! implicated, since upstreams fail together when their rack does.
//! A request that completes is cleared of all crashes known at that node. The
//! verdicts follow from the merged facts alone, so nodes with the same facts
//! agree, and it does not matter whether a node knew of the first crash when
//! the second happened. See `docs/notes/retries.md`.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::crash::{Crash, Fingerprint, InFlightRequest, Record, Stamp, Update};

/// Bounds of a list.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a crash accuses.
    pub expiry: Duration,
    /// Most crashes kept; those with the greatest incarnations stay.
    pub max_crashes: usize,
    /// Most requests kept for each crash.
    pub max_requests: usize,
    /// How long a suspect waits after its latest crash, until the other nodes
    /// know of it. It must exceed the usual time of sharing.
    pub propagation_delay: Duration,
    /// How long after one crash a request must have been started for a further
    /// crash to implicate it. The upstreams of a rack fail within that time. It
    /// must be shorter than `share` by more than the clocks of nodes differ.
    pub correlated_window: Duration,
    /// How long a request waits that a further crash implicates, so that others
    /// implicated beside it complete and are cleared first.
    pub implicated_delay: Duration,
    /// Time after which a crash record counts as complete although no agent
    /// contributed, because the agent died too.
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

/// What is held against a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Nothing.
    #[default]
    Clean,
    /// It was in flight at a crash; it runs only where no other suspect runs.
    Suspect,
    /// It crashed upstreams; it is refused.
    Confirmed,
}

/// The crashes that a node knows, and what follows from them.
#[derive(Clone, Debug, Default)]
pub struct CrashList {
    settings: Settings,
    crashes: BTreeMap<Crash, Record>,
    /// Local revision at which each record last changed.
    revisions: HashMap<Crash, u64>,
    revision: u64,
}

/// A crash that has not expired, with those not cleared of it.
type OpenCrash<'a> = (&'a Record, Vec<(Fingerprint, Stamp)>);

/// What follows from the facts at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    /// Requests that are refused.
    pub confirmed: BTreeSet<Fingerprint>,
    /// Requests that run in isolation.
    pub suspects: BTreeMap<Fingerprint, Suspicion>,
    propagation_delay: Duration,
    implicated_delay: Duration,
}

/// The crashes that accuse one suspect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Suspicion {
    /// Their number.
    pub crashes: u32,
    /// The earliest of them.
    pub earliest: Stamp,
    /// The latest of them.
    pub latest: Stamp,
    /// Whether a further crash implicates it too.
    pub implicated: bool,
}

impl CrashList {
    /// Makes an empty list.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Takes in a crash with the calls that were in flight and their starts. `complete` says
    /// that these were all calls, as only the upstream's agent knows.
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
        self.bound();
    }

    /// Takes in that a request completed, which clears it of all crashes.
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

    /// Merges what another node knows.
    pub fn merge(&mut self, update: &Update) {
        for (crash, record) in &update.records {
            self.merge_record(*crash, record);
        }
        self.bound();
    }

    /// Returns the records that changed after a revision, and the revision to
    /// ask with next time.
    pub fn changes(&self, since: u64) -> (u64, Update) {
        let changed = |crash: &Crash| self.revisions.get(crash).is_some_and(|at| *at > since);
        let records = self.crashes.iter().filter(|(crash, _)| changed(crash));
        let records = records
            .map(|(crash, record)| (*crash, record.clone()))
            .collect();
        (self.revision, Update { records })
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: Stamp) {
        let expiry_ms = self.settings.expiry.as_millis() as u64;
        self.crashes
            .retain(|_, record| now.since(record.at) <= expiry_ms);
        self.revisions
            .retain(|crash, _| self.crashes.contains_key(crash));
    }

    /// Returns what is held against a request.
    ///
    /// This looks at all facts. A program that checks every request publishes
    /// [`CrashList::findings`] whenever [`CrashList::revision`] changes, and at least as
    /// often as [`Settings::settle_time`], and checks against those.
    pub fn check(&self, fingerprint: Fingerprint, now: Stamp) -> Verdict {
        self.findings(now).verdict(fingerprint)
    }

    /// Returns a number that changes with the facts.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns what follows from the facts now.
    pub fn findings(&self, now: Stamp) -> Findings {
        let mut open = self.open(now);
        let mut findings = Findings::default();
        loop {
            let suspicions = self.suspicions(&open);
            // While a record may lack calls, another request in it may turn out
            // to be the one in common, so it convicts nobody it accuses.
            let unsettled: BTreeSet<_> = open
                .iter()
                .filter(|(record, _)| !self.settled(record, now))
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

    /// Returns the number of crashes kept.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Returns whether no crash is kept.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns the crashes that have not expired, with those not cleared.
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

    /// Returns which crashes accuse each request, and whether one implicates it
    /// again.
    fn suspicions(&self, open: &[OpenCrash<'_>]) -> BTreeMap<Fingerprint, Suspicion> {
        let mut suspicions = suspicions(open);
        for (fingerprint, started) in open.iter().flat_map(|(_, requests)| requests) {
            if let Some(suspicion) = suspicions.get_mut(fingerprint) {
                suspicion.implicated |= self.implicates(suspicion, *started);
            }
        }
        suspicions
    }

    /// Returns whether a request was started after a crash that accuses it.
    fn implicates(&self, suspicion: &Suspicion, started: Stamp) -> bool {
        let window_ms = self.settings.correlated_window.as_millis() as u64;
        started.0 > suspicion.earliest.0 + window_ms
    }

    /// Returns the request aboard that the crash implicates, if it is the only
    /// one.
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

    fn settled(&self, record: &Record, now: Stamp) -> bool {
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

    fn bound(&mut self) {
        while self.crashes.len() > self.settings.max_crashes {
            if let Some((crash, _)) = self.crashes.pop_first() {
                self.revisions.remove(&crash);
            }
        }
    }
}

impl PartialEq for CrashList {
    /// Lists are equal if they hold the same facts.
    fn eq(&self, other: &Self) -> bool {
        self.crashes == other.crashes
    }
}

impl Findings {
    /// Returns how long a suspect must wait before it runs, even in isolation.
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

    /// Returns what is held against a request.
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

/// Returns which crashes accuse each request.
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

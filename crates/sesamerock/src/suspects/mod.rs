//! Requests suspected of crashing upstreams, shared with all nodes as facts.
//!
//! The rules are those of [`sesamerock_retry::suspect`]. This module holds the
//! crash list of a process, publishes the findings from it, and converts crash
//! records to and from the facts that peers exchange.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime};

use arc_swap::ArcSwap;
use sesamerock_retry::crash::{Crash, Fingerprint, Stamp, Update};
use sesamerock_retry::suspect::{CrashList, Findings, Settings};

use crate::control::Control;
use crate::control::view::{CRASHES, View};

/// Time for which peers keep and forward a crash record.
const FACT_TTL: Duration = Duration::from_mins(10);
/// Interval at which the list is checked for records that settle or expire.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// Number of crash records that one node publishes as facts at a time. Older
/// records have reached the lists of the other nodes long before a newer one
/// replaces them.
const FACT_SLOTS: u64 = 16;

/// Handle of the crash list of a process.
#[derive(Clone, Debug)]
pub struct Suspects {
    list: Arc<Mutex<CrashList>>,
    findings: Arc<ArcSwap<Findings>>,
    control: Control,
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, which nodes
/// can compare.
pub fn stamp() -> Stamp {
    let now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    Stamp(now.as_millis() as u64)
}

/// Decodes the fingerprint from the head of a relayed call. Missing bytes count as
/// zero.
pub fn fingerprint(bytes: &[u8]) -> Fingerprint {
    let mut padded = [0; 8];
    let length = bytes.len().min(8);
    padded[..length].copy_from_slice(&bytes[..length]);
    Fingerprint(u64::from_le_bytes(padded))
}

impl Suspects {
    /// Makes the empty list of a process.
    pub fn new(control: Control) -> Self {
        Self {
            list: Arc::new(Mutex::new(CrashList::new(Settings::default()))),
            findings: Arc::default(),
            control,
        }
    }

    /// Returns the suspected and the confirmed requests as of the last change.
    pub fn findings(&self) -> arc_swap::Guard<Arc<Findings>> {
        self.findings.load()
    }

    /// Records a crash with the requests in flight, and publishes it to all nodes.
    /// `complete` says whether these are all requests that were in flight.
    pub async fn record_crash(
        &self,
        crash: Crash,
        in_flight: Vec<(Fingerprint, Stamp)>,
        complete: bool,
    ) {
        log::warn!(
            "event=upstream_crashed upstream={:016x} incarnation={} aboard={} complete={complete}",
            crash.upstream,
            crash.incarnation,
            in_flight.len()
        );
        self.lock()
            .record_crash(crash, in_flight, complete, stamp());
        self.publish();
        self.publish_record(crash).await;
    }

    /// Records that a request completed, which clears it of suspicion.
    pub async fn record_completion(&self, fingerprint: Fingerprint) {
        // The common case needs neither the lock nor a message.
        if !self.findings.load().suspects.contains_key(&fingerprint) {
            return;
        }
        let crashes: Vec<_> = {
            let mut list = self.lock();
            let before = list.revision();
            list.record_completion(fingerprint);
            let (_, update) = list.changes(before);
            update.records.into_iter().map(|(crash, _)| crash).collect()
        };
        log::info!("event=suspect_cleared fingerprint={:016x}", fingerprint.0);
        self.publish();
        for crash in crashes {
            self.publish_record(crash).await;
        }
    }

    /// Applies the facts of other nodes and the passage of time to the list, until
    /// the control thread ends or the future is dropped.
    pub async fn run(&self) {
        let mut changes = self.control.changes();
        loop {
            let view = self.control.view().clone();
            self.merge(&view);
            self.lock().expire(stamp());
            self.publish();
            tokio::select! {
                outcome = changes.changed() => if outcome.is_err() { return },
                () = tokio::time::sleep(REVIEW_INTERVAL) => {}
            }
        }
    }

    fn merge(&self, view: &View) {
        let facts = view.facts.iter().filter(|fact| fact.key >= CRASHES);
        let updates: Vec<Update> = facts
            .filter_map(|fact| serde_json::from_slice(&fact.value).ok())
            .collect();
        let mut list = self.lock();
        for update in &updates {
            list.merge(update);
        }
    }

    fn publish(&self) {
        let findings = self.lock().findings(stamp());
        let before = self.findings.load();
        for confirmed in findings.confirmed.difference(&before.confirmed) {
            log::warn!("event=request_convicted fingerprint={:016x}", confirmed.0);
        }
        if **before != findings {
            self.findings.store(Arc::new(findings));
        }
    }

    /// Publishes the record of a crash as a fact.
    async fn publish_record(&self, crash: Crash) {
        let (_, all) = self.lock().changes(0);
        let records = all
            .records
            .into_iter()
            .filter(|(other, _)| *other == crash)
            .collect();
        let Ok(value) = serde_json::to_vec(&Update { records }) else {
            return;
        };
        let slot = (crash.incarnation ^ crash.upstream) % FACT_SLOTS;
        self.control
            .publish_fact(CRASHES + slot, value, FACT_TTL)
            .await;
    }

    fn lock(&self) -> MutexGuard<'_, CrashList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

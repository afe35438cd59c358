//! When to write a snapshot.
//!
//! Any node that reads the log may write one and duplicates are harmless. Each
//! node waits for its own fraction of a jitter span, so that usually
//! the parts of the first writer reach the other nodes before theirs are due.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// Conditions under which a snapshot is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// How long the log keeps a record.
    pub retention: Duration,
    /// Records after a snapshot that make a new one due, since a new process
    /// has to fold them before it is ready.
    pub records: u64,
    /// Span over which nodes spread the first write after the log lost
    /// records. Short, since published versions wait for it.
    pub recovery: Duration,
}

impl Default for Schedule {
    fn default() -> Self {
        Self {
            retention: Duration::from_hours(24),
            records: 10_000,
            recovery: Duration::from_secs(2),
        }
    }
}

/// Why a snapshot is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// This node holds state that the log lost.
    Unlogged,
    /// The log no longer holds the newest snapshot.
    Lost,
    /// The newest snapshot approaches the end of retention.
    Age,
    /// Many records follow the newest snapshot.
    Records,
}

/// What a node knows about the log, as input of [`Schedule::due`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogStatus {
    /// Hash of the node's id; spreads the nodes over the jitter span.
    pub node: u64,
    /// Offset of the oldest record that the log still holds.
    pub oldest: u64,
    /// Offset that the log gives to the next record.
    pub head: u64,
    /// Offset up to which the newest snapshot covers the log, see
    /// [`crate::fold::State::covered`].
    pub covered: Option<u64>,
    /// When this node folded the newest snapshot, or when it started.
    pub since: Moment,
    /// When this node detected that the log lost records that the node holds.
    pub unlogged: Option<Moment>,
    /// Whether a snapshot is being written, see
    /// [`crate::fold::State::snapshot_in_progress`].
    pub snapshot_in_progress: bool,
}

impl Schedule {
    /// Returns why this node should write a snapshot now, or `None`.
    pub fn due(&self, now: Moment, log: &LogStatus) -> Option<Reason> {
        let jitter = log.node as f64 / u64::MAX as f64;
        if let Some(noticed) = log.unlogged {
            // Written even while another node writes: its state may be older.
            let wait = self.recovery.mul_f64(jitter);
            return (now.since(noticed) >= wait).then_some(Reason::Unlogged);
        }
        if log.snapshot_in_progress
            || log.head == log.oldest && log.covered.is_none() && log.head == 0
        {
            return None;
        }
        let lost = log.covered.is_none_or(|covered| covered < log.oldest);
        if lost && log.oldest > 0 {
            let wait = self.recovery.mul_f64(jitter);
            return (now.since(log.since) >= wait).then_some(Reason::Lost);
        }
        // Half of the retention leaves the other half for an outage of the log
        // and for the jitter, which takes a quarter.
        let age = self.retention / 2 + (self.retention / 4).mul_f64(jitter);
        if now.since(log.since) >= age {
            return Some(Reason::Age);
        }
        let behind = log.head - log.covered.unwrap_or(log.oldest).min(log.head);
        let records = self.records + (self.records as f64 * jitter) as u64;
        (behind >= records).then_some(Reason::Records)
    }
}

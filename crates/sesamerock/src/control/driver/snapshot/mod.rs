//! Writes snapshots of the control state to the log.

use bytes::Bytes;
use sesamerock_base::time::Moment;
use sesamerock_client::error::Error;
use sesamerock_client::log::Log as _;
use sesamerock_note::snapshot::{LogStatus, Schedule};

use super::{Driver, Event};
use crate::control::STREAM;

/// Decides when this node writes a snapshot.
#[derive(Debug)]
pub(super) struct Writer {
    schedule: Schedule,
    /// Hash of the node's name, which spreads the writes of the nodes over time.
    node_hash: u64,
    /// Time of the newest snapshot, or of the start of this node.
    since: Moment,
    /// What the newest snapshot covers, see [`Due::covered`].
    covered: Option<u64>,
    writing: bool,
}

impl Writer {
    pub(super) fn new(name: &str, now: Moment) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let (head, _) = hash.as_bytes().split_at(8);
        Self {
            schedule: Schedule::default(),
            node_hash: u64::from_le_bytes(head.try_into().unwrap_or_default()),
            since: now,
            covered: None,
            writing: false,
        }
    }

    /// Records the outcome of a write. A failed write is tried again when the
    /// schedule finds it due.
    pub(super) fn write_finished(&mut self, now: Moment, outcome: &Result<u64, Error>) {
        self.writing = false;
        match outcome {
            Ok(offset) => {
                self.since = now;
                log::info!("event=snapshot_written offset={offset}");
            }
            Err(error) => log::warn!("event=snapshot_failed error={error}"),
        }
    }
}

impl Driver {
    /// Writes a snapshot if one is due and this node reads the log.
    pub(super) fn write_snapshot(&mut self, now: Moment) {
        if !self.ready || !self.exchange.reads_log() || self.log_state.last_read.is_none() {
            return;
        }
        let covered = self.fold.log().covered();
        if covered != self.snapshot.covered {
            self.snapshot.covered = covered;
            self.snapshot.since = now;
        }
        let due = LogStatus {
            node: self.snapshot.node_hash,
            oldest: self.log_state.oldest,
            head: self.log_state.head,
            covered,
            since: self.snapshot.since,
            unlogged: self.fold.unlogged(),
            snapshot_in_progress: self.fold.log().snapshot_in_progress(),
        };
        let reason = self.snapshot.schedule.due(now, &due);
        let (Some(reason), false) = (reason, self.snapshot.writing) else {
            return;
        };
        self.snapshot.writing = true;
        log::info!(
            "event=snapshot_due reason={reason:?} version={}",
            self.fold.version().0
        );
        let records: Vec<_> = self
            .fold
            .snapshot()
            .iter()
            .map(|record| Bytes::from(record.encode()))
            .collect();
        let log = self.log.clone();
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let mut outcome = Ok(0);
            // One part per append limits the size of each append.
            for record in records {
                outcome = log.append(STREAM, vec![record]).await;
                if outcome.is_err() {
                    break;
                }
            }
            if events.send(Event::Written(outcome)).await.is_err() {
                log::debug!("event=snapshot_outcome_dropped reason=ending");
            }
        });
    }
}

//! Applies records and snapshots from the log and from peers to the control
//! state.

use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;
use sesamerock_client::log::Page;
use sesamerock_exchange::message::Record;
use sesamerock_exchange::node::Delivery;
use sesamerock_exchange::transfer::Snapshot;
use sesamerock_note::fold::State;
use sesamerock_note::fold::outcome::Outcome;
use sesamerock_note::snapshot;

use super::{Driver, Read};
use crate::control::pack;

impl Driver {
    /// Applies the result of a read of the log and requests the next read.
    pub(super) fn handle_read(&mut self, read: Read) {
        let now = crate::clock::now();
        match read.page {
            Ok(page) => self.apply_page(now, read.sent, read.from, &page),
            Err(error) => log::debug!("event=log_read_failed from={} error={error}", read.from),
        }
        // The reader waits for a new offset after every read.
        let reads = self.exchange.reads_log() || !self.ready;
        self.read_position
            .send_replace(reads.then(|| self.fold.position()));
    }

    fn apply_page(&mut self, now: Moment, sent: Moment, from: u64, page: &Page) {
        // Records from peers may have advanced the fold during the read, so the
        // head is compared with the position at the start of the read.
        if page.head < from || page.first > self.fold.position() {
            self.restart(now, page);
        }
        for entry in &page.entries {
            let outcome = self.fold.apply(entry.offset, &entry.content);
            self.record_outcome(entry.offset, &outcome);
            if outcome == Outcome::Rewritten {
                // The next read begins with the new history.
                return self.restart(now, page);
            }
            let version = self.fold.log().version();
            let record = Record {
                version,
                bytes: entry.content.to_vec().into(),
            };
            if let Outcome::Accepted { .. } = outcome {
                self.announce_order(now, &record);
            }
            self.exchange.add_record(now, record);
        }
        self.finish_page(now, sent, page);
    }

    /// Restarts the fold at the oldest record of the log.
    ///
    /// Needed when the log no longer contains the records after the position of
    /// the fold, because it dropped old records or lost its tail.
    fn restart(&mut self, now: Moment, page: &Page) {
        let position = self.fold.position();
        log::warn!(
            "event=log_restart position={position} first={} head={} version={}",
            page.first,
            page.head,
            self.fold.version().0
        );
        self.fold.restart(now, State::starting_at(page.first));
        self.dirty = true;
    }

    fn finish_page(&mut self, now: Moment, sent: Moment, page: &Page) {
        self.log_state.last_read = Some(now);
        self.log_state.oldest = page.first;
        self.log_state.head = page.head;
        if self.fold.position() < page.head {
            return;
        }
        // Without its first records, the log gives the complete state only if it
        // contains a snapshot.
        let covered = page.first == 0 || self.fold.log().covered().is_some();
        if !covered && !self.ready {
            return;
        }
        self.update_exchange(now);
        self.exchange
            .record_log_read(sent, self.fold.log().version());
        self.set_ready("log");
    }

    /// Advances the exchange to the version of the fold with a snapshot, if the
    /// records alone did not advance it that far.
    pub(super) fn update_exchange(&mut self, now: Moment) {
        if self.fold.log().version() > self.exchange.version() {
            let snapshot = self.encode();
            self.exchange.restore(now, snapshot);
        }
    }

    /// Applies the records, snapshots and orders that the exchange delivers.
    pub(super) fn apply_deliveries(&mut self, now: Moment) {
        for delivery in self.exchange.take_deliveries() {
            match delivery {
                Delivery::Record(record) => self.apply_record(now, &record),
                Delivery::Snapshot(snapshot) => self.install_snapshot(now, &snapshot),
                Delivery::Expedited(record) => self.add_order(&record),
            }
        }
    }

    fn apply_record(&mut self, now: Moment, record: &Record) {
        if record.version <= self.fold.log().version() {
            return;
        }
        let offset = record.version.0 - self.fold.log().shift();
        let outcome = self.fold.apply(offset, &record.bytes);
        self.record_outcome(offset, &outcome);
        if matches!(outcome, Outcome::Gap { .. }) {
            return;
        }
        // A record may raise the version by more than one.
        self.update_exchange(now);
        self.set_ready("peers");
    }

    fn install_snapshot(&mut self, now: Moment, snapshot: &Snapshot) {
        if snapshot.version <= self.fold.log().version() {
            return;
        }
        let restored = pack::unpack(&snapshot.bytes)
            .and_then(|parts| snapshot::restore(&parts).map_err(|fault| fault.to_string()));
        match restored {
            Ok(state) => {
                let version = state.version();
                self.exchange.accept_snapshot();
                if self.fold.install(now, state) {
                    log::info!("event=snapshot_installed version={} source=peer", version.0);
                    self.dirty = true;
                    self.set_ready("peers");
                }
            }
            Err(fault) => {
                let version = snapshot.version.0;
                log::warn!("event=snapshot_refused source=peer version={version} fault={fault:?}");
                let applied = self.fold.log().version();
                self.exchange.reject_snapshot(now, snapshot, applied);
            }
        }
    }

    fn record_outcome(&mut self, offset: u64, outcome: &Outcome) {
        self.dirty = true;
        let version = self.fold.version().0;
        match outcome {
            Outcome::Accepted { .. } => {
                log::info!("event=record_applied offset={offset} version={version}");
            }
            Outcome::Rejected { conflicts, .. } => {
                let conflicts: Vec<_> = conflicts.iter().map(ToString::to_string).collect();
                log::info!(
                    "event=record_rejected offset={offset} version={version} conflicts={conflicts:?}"
                );
            }
            Outcome::Skipped(reason) => {
                log::warn!("event=record_skipped offset={offset} version={version} why={reason:?}");
            }
            Outcome::Gap { expected } => {
                log::warn!("event=record_gap offset={offset} expected={expected}");
            }
            other => log::debug!("event=record_folded offset={offset} outcome={other:?}"),
        }
    }

    fn set_ready(&mut self, source: &str) {
        if !self.ready {
            self.ready = true;
            self.dirty = true;
            log::info!(
                "event=control_ready version={} source={source}",
                self.fold.version().0
            );
        }
    }

    /// Encodes the state folded from the log as a snapshot for peers.
    pub(super) fn encode(&self) -> Snapshot {
        let state = self.fold.log();
        let parts: Vec<_> = snapshot::encode(state)
            .into_iter()
            .filter_map(|record| match record.body {
                sesamerock_note::record::Body::Snapshot(part) => Some(part),
                _ => None,
            })
            .collect();
        let bytes = pack::pack(&parts);
        Snapshot {
            version: Version(state.version().0),
            bytes: bytes.into(),
        }
    }
}

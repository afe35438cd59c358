//! Records of convictions in the store, which outlive the gateways.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;

use super::{Conviction, ConvictionReport, Event, Subject, Suspects};
use crate::hash;

/// Records that the store keeps. A later conviction replaces an earlier one with the same number,
/// so that the records need no deletion and never become more.
const SLOTS: u64 = 256;

/// A conviction as the store keeps it, or the end of one. Times are those of day, since no other
/// clock outlives a process; clocks of gateways may differ by seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What crashed upstreams.
    pub subject: Subject,
    /// Time of the conviction, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Time for which calls with the subject are refused, in milliseconds; 0 if an upstream has
    /// answered one since.
    pub length_ms: u64,
    /// Convictions of the subject so far.
    pub times: u32,
}

impl Record {
    /// Returns the number of the record in the store.
    pub fn slot(&self) -> u64 {
        hash::combine(self.subject.key(), SLOTS) % SLOTS
    }
}

/// Returns the time of day in milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

impl Suspects {
    /// Returns the records that this gateway is to write to the store, and takes them as written.
    pub fn take_records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.records)
    }

    pub(super) fn record_conviction(&mut self, subject: Subject, conviction: Conviction) {
        self.records.push(Record {
            subject,
            since_ms: unix_ms(),
            length_ms: conviction.until.since(conviction.since).as_millis() as u64,
            times: conviction.times,
        });
    }

    pub(super) fn record_acquittal(&mut self, subject: Subject) {
        self.records.push(Record {
            subject,
            since_ms: unix_ms(),
            length_ms: 0,
            times: 0,
        });
    }

    /// Uses a record of the store that was read at `now`. Faulty values are limited to those that
    /// a conviction can have.
    pub fn restore(&mut self, record: Record, now: Moment) {
        let longest = self.settings.max_conviction;
        let length = Duration::from_millis(record.length_ms).min(longest);
        let age = Duration::from_millis(unix_ms().saturating_sub(record.since_ms));
        if length.is_zero() || age > length + longest {
            return;
        }
        let is_known = self.convicted.contains_key(&record.subject);
        self.learn_conviction(
            ConvictionReport {
                subject: record.subject,
                age,
                time_left: length.saturating_sub(age),
                times: record.times.max(1),
            },
            now,
        );
        if !is_known && self.convicted.contains_key(&record.subject) {
            self.events.push(Event::Restored(record.subject));
        }
    }
}

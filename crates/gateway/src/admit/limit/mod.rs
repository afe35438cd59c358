//! Upstreams that have named a limit of calls per second, which all gateways together keep.
//!
//! An upstream in need states in its answers how many calls it takes, until an answer states no
//! limit. Gateways tell each other at once. Each keeps to an equal part of the rate, and saves at
//! most one call of it. Since every gateway may have saved one, only as many gateways call a
//! limited upstream as the rate bears; others call the next one. See docs/notes/load.md.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;

use super::cold::Members;
use crate::upstream::Record;

/// Lowest rate, in calls per second of all gateways together. An upstream that gets no call cannot
/// state that its limit has ended.
const MIN_RATE: f64 = 0.25;
/// Gateways that may call an upstream with a low limit. Each may send a saved call at any time, so
/// these add up.
const MIN_USERS: usize = 4;
/// Time for which the end of a limit is told to other gateways: fifteen heartbeat intervals.
const ANNOUNCEMENT: Duration = Duration::from_secs(3);
/// Time without an answer after which a limit is forgotten. Calls try a limited upstream every few
/// seconds, so no caller has wanted it since.
const RETENTION: Duration = Duration::from_mins(5);
/// Share of a rate by which it may change without being logged, and told at once. An upstream may
/// name another rate in each answer.
const SAME_RATE: f64 = 0.1;
/// Most limits that are remembered; the oldest statements are forgotten first.
const MAX_ENTRIES: usize = 4_096;
/// By how much later a different statement must be to replace a known one: the ages in reports are
/// too short by the time that these take.
const REPORT_DELAY: Duration = Duration::from_millis(100);

/// What the header of an answer states about a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statement {
    /// The upstream names no limit.
    Unlimited,
    /// The upstream takes so many calls per second, 0 or more.
    Rate(f64),
    /// The upstream names a limit that is malformed, which changes nothing.
    Malformed,
}

/// The latest statement of an upstream, for other gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Id of the upstream.
    pub id: Arc<str>,
    /// Its start, as its record states it.
    pub born: Option<u64>,
    /// Calls per second; `None` if the limit has ended.
    pub rate: Option<f64>,
    /// Time since the answer that stated it.
    pub age: Duration,
}

/// Calls that this gateway may send.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Saved calls, at most one, as of `updated`.
    saved: f64,
    updated: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    born: Option<u64>,
    rate: Option<f64>,
    stated: Moment,
    bucket: Bucket,
}

impl Entry {
    /// Returns the calls per second that this gateway may send: its part of the rate, or 0 if
    /// others share the rate.
    fn part(&self, id: &str, members: &Members) -> Option<f64> {
        let rate = self.rate?;
        // A rate beyond the number of gateways makes all of them users.
        let users = MIN_USERS.saturating_add(rate as usize);
        let users = users.min(members.count());
        let is_user = members.are_known() && members.rank(id) < users;
        Some(if is_user {
            rate.max(MIN_RATE) / users as f64
        } else {
            0.0
        })
    }

    fn saved(&self, part: f64, now: Moment) -> f64 {
        let bucket = self.bucket;
        (bucket.saved + part * now.since(bucket.updated).as_secs_f64()).min(1.0)
    }
}

/// Returns whether a limit has begun, ended, or changed by more than [`SAME_RATE`].
fn differs(known: Option<f64>, rate: Option<f64>) -> bool {
    match (known, rate) {
        (None, None) => false,
        (Some(known), Some(rate)) => (rate - known).abs() > known * SAME_RATE,
        _ => true,
    }
}

/// When a limited upstream may be sent a call by this gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Opening {
    /// The next call may be sent then; `None` if other gateways share the rate.
    pub at: Option<Moment>,
    /// Calls per second after that.
    pub rate: f64,
}

/// The limits that this gateway knows.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    entries: HashMap<Arc<str>, Entry>,
}

impl Limits {
    /// Records the statement of an answer to a call that was sent at `sent_at`. Returns whether the
    /// other gateways should hear of it at once. The answer to a call from before the latest
    /// statement does not end a limit.
    pub fn observe(
        &mut self,
        record: &Record,
        statement: Statement,
        sent_at: Moment,
        now: Moment,
    ) -> bool {
        let known = self.entries.get(&record.id);
        let known = known.filter(|entry| entry.born == record.born);
        let rate = match statement {
            Statement::Malformed => return false,
            Statement::Unlimited => match known {
                Some(entry) if entry.rate.is_some() && sent_at >= entry.stated => None,
                _ => return false,
            },
            Statement::Rate(rate) => Some(rate),
        };
        let is_new = differs(known.and_then(|entry| entry.rate), rate);
        self.insert(&record.id, record.born, rate, now, now);
        is_new
    }

    /// Adds what another gateway knows, and returns the reports that differ from what was known here.
    pub fn learn(&mut self, reports: &[Report], now: Moment) -> Vec<Report> {
        let mut learned = Vec::new();
        for report in reports {
            let stated = now - report.age;
            if let Some(known) = self.entries.get(&report.id) {
                let is_later = stated > known.stated + REPORT_DELAY;
                if report.born < known.born || (report.born == known.born && !is_later) {
                    continue;
                }
            }
            let known = self.entries.get(&report.id);
            let known = known.filter(|known| known.born == report.born);
            if differs(known.and_then(|known| known.rate), report.rate) {
                learned.push(report.clone());
            }
            self.insert(&report.id, report.born, report.rate, stated, now);
        }
        learned
    }

    /// Returns what to tell other gateways: the limits that are in force, and lately ended ones.
    pub fn report(&self, now: Moment) -> Vec<Report> {
        let entries = self.entries.iter().filter(|(_, entry)| {
            let age = now.since(entry.stated);
            age <= if entry.rate.is_some() {
                RETENTION
            } else {
                ANNOUNCEMENT
            }
        });
        let reports = entries.map(|(id, entry)| Report {
            id: Arc::clone(id),
            born: entry.born,
            rate: entry.rate,
            age: now.since(entry.stated),
        });
        reports.collect()
    }

    /// Returns whether the limit of an upstream, if it has one, does not allow a call of this
    /// gateway now.
    pub fn is_closed(&self, record: &Record, members: &Members, now: Moment) -> bool {
        let opening = self.opening(record, members, now);
        opening.is_some_and(|opening| opening.at.is_none_or(|at| at > now))
    }

    /// Returns when a limited upstream may be sent a call by this gateway; `None` if it is not
    /// limited.
    pub fn opening(&self, record: &Record, members: &Members, now: Moment) -> Option<Opening> {
        let entry = self.get(record, now)?;
        let rate = entry.part(&record.id, members)?;
        let missing = 1.0 - entry.saved(rate, now);
        let wait = (rate > 0.0).then(|| Duration::from_secs_f64(missing.max(0.0) / rate));
        let at = wait.map(|wait| now + wait);
        Some(Opening { at, rate })
    }

    /// Counts a call that this gateway sends.
    pub fn record_call(&mut self, record: &Record, members: &Members, now: Moment) {
        let Some(entry) = self.get(record, now) else {
            return;
        };
        let Some(part) = entry.part(&record.id, members) else {
            return;
        };
        let bucket = Bucket {
            saved: entry.saved(part, now) - 1.0,
            updated: now,
        };
        if let Some(entry) = self.entries.get_mut(&record.id) {
            entry.bucket = bucket;
        }
    }

    /// Returns whether no limit is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn get(&self, record: &Record, now: Moment) -> Option<&Entry> {
        let entry = self.entries.get(&record.id)?;
        let is_current = entry.born == record.born && now.since(entry.stated) <= RETENTION;
        is_current.then_some(entry)
    }

    fn insert(
        &mut self,
        id: &Arc<str>,
        born: Option<u64>,
        rate: Option<f64>,
        stated: Moment,
        now: Moment,
    ) {
        let known = self.entries.get(id).filter(|entry| entry.born == born);
        // A limit that is new has no saved call: calls have been sent until now.
        let bucket = known.filter(|entry| entry.rate.is_some()).map_or(
            Bucket {
                saved: 0.0,
                updated: now,
            },
            |entry| entry.bucket,
        );
        let entry = Entry {
            born,
            rate,
            stated,
            bucket,
        };
        if self.entries.insert(Arc::clone(id), entry).is_none() {
            self.entries
                .retain(|_, entry| now.since(entry.stated) <= RETENTION);
            if self.entries.len() > MAX_ENTRIES {
                let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.stated);
                if let Some(oldest) = oldest.map(|(id, _)| Arc::clone(id)) {
                    self.entries.remove(&oldest);
                }
            }
        }
    }
}

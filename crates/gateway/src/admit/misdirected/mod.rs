//! Upstreams whose address is known to belong to another one.
//!
//! After a restart, an upstream may have a new identity at its old address, while the store
//! still lists the former one. A call to that one is answered with the statement that it
//! was misdirected and did not run. When many upstreams restart at once, a gateway would have
//! to make such a call to each of them, so gateways tell each other what they have found.
//! The store removes the former record within seconds, or later if it is unreachable.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;

use crate::upstream::Record;

/// Time for which an upstream gets no calls. It is bounded, since a faulty upstream may have
/// answered wrongly.
const EXCLUSION: Duration = Duration::from_secs(10);
/// Time for which a finding is told to other gateways: five heartbeat intervals.
const ANNOUNCEMENT: Duration = Duration::from_secs(1);

/// An upstream whose address belongs to another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Id of the upstream that is no longer at its address.
    pub id: Arc<str>,
    /// Its start, as its record states it; a later start under the same id is another one.
    pub born: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    born: Option<u64>,
    until: Moment,
    /// When a call of this gateway showed it; `None` if another gateway told it.
    observed_at: Option<Moment>,
}

/// The findings of this gateway and of the others.
#[derive(Clone, Debug, Default)]
pub struct Misdirected {
    entries: HashMap<Arc<str>, Entry>,
}

impl Misdirected {
    /// Records that a call of this gateway was misdirected. Returns whether that is new.
    pub fn observe(&mut self, record: &Record, now: Moment) -> bool {
        let is_new = !self.contains(record, now);
        let entry = Entry {
            born: record.born,
            until: now + EXCLUSION,
            observed_at: Some(now),
        };
        self.entries.insert(Arc::clone(&record.id), entry);
        is_new
    }

    /// Adds the findings of another gateway, and drops those that have expired.
    pub fn learn(&mut self, findings: &[Finding], now: Moment) {
        self.entries.retain(|_, entry| entry.until > now);
        for finding in findings {
            let entry = Entry {
                born: finding.born,
                until: now + EXCLUSION,
                observed_at: None,
            };
            let known = self.entries.entry(Arc::clone(&finding.id));
            let known = known.or_insert(entry);
            if known.born != finding.born {
                *known = entry;
            }
        }
    }

    /// Returns whether calls to an upstream would be misdirected.
    pub fn contains(&self, record: &Record, now: Moment) -> bool {
        let entry = self.entries.get(&record.id);
        entry.is_some_and(|entry| entry.born == record.born && entry.until > now)
    }

    /// Returns what to tell the other gateways.
    pub fn recent(&self, now: Moment) -> Vec<Finding> {
        let recent = self.entries.iter().filter(|(_, entry)| {
            let observed_at = entry.observed_at;
            observed_at.is_some_and(|at| now.since(at) <= ANNOUNCEMENT)
        });
        recent
            .map(|(id, entry)| Finding {
                id: Arc::clone(id),
                born: entry.born,
            })
            .collect()
    }
}

//! Upstreams that have stated that they are leaving.
//!
//! An upstream that shuts down says so in its answers, often before the store lists it as
//! draining and also while the store is unreachable. Gateways tell each other what they have
//! heard. The statement holds for one start of an upstream: a later start is another one, and
//! a record of an earlier start that is read late belongs to an upstream that is gone.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;

use crate::upstream::Record;

/// Time for which a departure is told to other gateways: fifteen heartbeat intervals, so that
/// it outlives a broken connection between two of them.
const ANNOUNCEMENT: Duration = Duration::from_secs(3);
/// Most departures that are remembered, some hundred bytes each. They have no expiry, since an
/// upstream may be listed as ready for any time after its statement; the oldest are forgotten.
const MAX_DEPARTURES: usize = 4_096;

/// An upstream that has stated that it is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Id of the upstream.
    pub id: Arc<str>,
    /// Its start, as its record states it.
    pub born: Option<u64>,
}

impl Departure {
    /// Returns the departure of the upstream with this record.
    pub fn of(record: &Record) -> Self {
        Self {
            id: Arc::clone(&record.id),
            born: record.born,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    born: Option<u64>,
    since: Moment,
    /// Whether an answer to this gateway stated it, which the other gateways are told.
    is_own: bool,
}

/// The departures that this gateway knows.
#[derive(Clone, Debug, Default)]
pub struct Leaving {
    entries: HashMap<Arc<str>, Entry>,
}

impl Leaving {
    /// Records that an answer to this gateway stated the departure of an upstream. Returns
    /// whether that is new.
    pub fn observe(&mut self, record: &Record, now: Moment) -> bool {
        self.insert(Departure::of(record), true, now)
    }

    /// Adds the departures that another gateway has observed, and returns the new ones.
    pub fn learn(&mut self, departures: &[Departure], now: Moment) -> Vec<Departure> {
        let departures = departures.iter().cloned();
        departures
            .filter(|departure| self.insert(departure.clone(), false, now))
            .collect()
    }

    /// Returns whether the upstream of a record is leaving or has left.
    pub fn contains(&self, record: &Record) -> bool {
        let entry = self.entries.get(&record.id);
        entry.is_some_and(|entry| record.born <= entry.born)
    }

    /// Returns whether no departure is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns what to tell the other gateways.
    pub fn recent(&self, now: Moment) -> Vec<Departure> {
        let recent = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_own && now.since(entry.since) <= ANNOUNCEMENT);
        recent
            .map(|(id, entry)| Departure {
                id: Arc::clone(id),
                born: entry.born,
            })
            .collect()
    }

    /// Returns whether the departure was not known.
    fn insert(&mut self, departure: Departure, is_own: bool, now: Moment) -> bool {
        let Departure { id, born } = departure;
        let known = self.entries.get(&id);
        if known.is_some_and(|known| born <= known.born) {
            return false;
        }
        if known.is_none() && self.entries.len() >= MAX_DEPARTURES {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.since);
            if let Some(oldest) = oldest.map(|(id, _)| Arc::clone(id)) {
                self.entries.remove(&oldest);
            }
        }
        let since = now;
        self.entries.insert(
            id,
            Entry {
                born,
                since,
                is_own,
            },
        );
        true
    }
}

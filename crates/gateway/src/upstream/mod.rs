//! Upstreams as they describe themselves, and the set that an entry knows.
//!
//! Records come from a log and may be read late, twice, or from a copy that lags.
//! The offset of a record decides which of two is newer. A record that vanishes
//! while the store is away may only have lapsed, so it is kept for a while after
//! the store's return; see [`Set::settle`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;

/// What an upstream says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identity of one start of the upstream, or of several; see [`Record::born`].
    pub id: Arc<str>,
    /// When it started, in milliseconds of the time of day; a new value means
    /// that it remembers nothing of before.
    pub born: Option<u64>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// How long it stays cold, from the moment it wrote this.
    pub cold: Duration,
}

/// How long a vanished record is kept after the store's return. Upstreams that
/// live write their records again within two seconds of it.
pub const RETENTION_AFTER_OUTAGE: Duration = Duration::from_millis(2_300);

/// A record with what this node knows of it.
#[derive(Clone, Debug)]
pub struct Known {
    /// The record.
    pub record: Arc<Record>,
    /// Its offset in the log.
    pub offset: u64,
    /// Until when the upstream is cold.
    pub cold_until: Moment,
    /// When the record goes, if it vanished while the store was away.
    pub expires_at: Option<Moment>,
}

/// All upstreams that a node knows.
#[derive(Clone, Debug, Default)]
pub struct Set {
    known: HashMap<Arc<str>, Known>,
    /// Offsets at which records vanished, so that a late copy brings none back.
    removed: HashMap<Arc<str>, u64>,
}

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It changes what the node knows.
    Changed,
    /// It says what is known already.
    Same,
    /// It is older than what is known.
    Stale,
}

impl Set {
    /// Takes in a record.
    pub fn put(&mut self, record: Record, offset: u64, now: Moment) -> Outcome {
        if self.removed.get(&record.id).is_some_and(|at| *at > offset) {
            return Outcome::Stale;
        }
        let cold_until = now + record.cold;
        if let Some(known) = self.known.get_mut(&record.id) {
            if known.offset > offset {
                return Outcome::Stale;
            }
            let was_expiring = known.expires_at.take().is_some();
            let cold = record.cold > Duration::ZERO;
            let same = Record {
                cold: known.record.cold,
                ..record.clone()
            } == *known.record;
            known.offset = offset;
            known.cold_until = if cold { cold_until } else { now };
            let was_cold = known.record.cold > Duration::ZERO;
            if same && cold == was_cold {
                return if was_expiring {
                    Outcome::Changed
                } else {
                    Outcome::Same
                };
            }
            known.record = Arc::new(record);
            return Outcome::Changed;
        }
        self.removed.remove(&record.id);
        let known = Known {
            offset,
            cold_until,
            expires_at: None,
            record: Arc::new(record),
        };
        self.known.insert(Arc::clone(&known.record.id), known);
        Outcome::Changed
    }

    /// Takes in that a record vanished. With `until`, it is kept so long, since
    /// it may have lapsed only because the store was away.
    pub fn remove(&mut self, id: &str, offset: u64, until: Option<Moment>) -> Outcome {
        let Some(known) = self.known.get_mut(id) else {
            return Outcome::Same;
        };
        if known.offset > offset {
            return Outcome::Stale;
        }
        if let Some(until) = until
            && !known.record.draining
        {
            known.expires_at.get_or_insert(until);
            return Outcome::Same;
        }
        self.drop_record(id, offset);
        Outcome::Changed
    }

    /// Drops what is absent from a complete list that ends at `end`. Returns what has
    /// gone.
    pub fn retain(
        &mut self,
        end: u64,
        listed: impl Fn(&str) -> bool,
        until: Option<Moment>,
    ) -> Vec<Arc<str>> {
        let absent = self.known.keys().filter(|id| !listed(id));
        let mut absent: Vec<Arc<str>> = absent.cloned().collect();
        absent.retain(|id| self.remove(id, end, until) == Outcome::Changed);
        absent
    }

    /// Drops the records whose grace after an outage is over. Returns what has gone.
    pub fn drop_expired(&mut self, now: Moment) -> Vec<Arc<str>> {
        let is_expired = |known: &Known| known.expires_at.is_some_and(|until| now >= until);
        let expired = self.known.values().filter(|known| is_expired(known));
        let expired: Vec<(Arc<str>, u64)> = expired
            .map(|known| (Arc::clone(&known.record.id), known.offset))
            .collect();
        for (id, offset) in &expired {
            self.drop_record(id, *offset);
        }
        expired.into_iter().map(|(id, _)| id).collect()
    }

    /// Extends the grace of vanished records, while the store is away again.
    pub fn extend_retention(&mut self, until: Moment) {
        for known in self.known.values_mut() {
            if known.expires_at.is_some() {
                known.expires_at = Some(until);
            }
        }
    }

    /// Returns what is known, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Known> {
        self.known.values()
    }

    fn drop_record(&mut self, id: &str, offset: u64) {
        if let Some((id, _)) = self.known.remove_entry(id) {
            self.removed.insert(id, offset);
        }
    }
}

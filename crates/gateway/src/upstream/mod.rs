//! Records that upstreams publish, and the set of them that a gateway holds.
//!
//! Records come from a log and may be read late, twice, or from a replica that lags.
//! Of two records, the one with the higher offset is newer. A record that disappears
//! while the store is unreachable may have expired only because its upstream could not
//! renew it, so it is kept for a time after the store returns; see
//! [`UpstreamSet::drop_expired`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;

/// The record that an upstream publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identity of the upstream. It may or may not change with a restart; see
    /// [`Record::born`].
    pub id: Arc<str>,
    /// When it started, in milliseconds since the Unix epoch. A new value means a restart,
    /// after which the upstream has no memory of earlier calls.
    pub born: Option<u64>,
    /// Name of the service to which it belongs.
    pub service: Arc<str>,
    /// Address at which it accepts calls.
    pub address: SocketAddr,
    /// Availability zone in which it runs.
    pub zone: Arc<str>,
    /// Number of calls that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and takes no new calls.
    pub draining: bool,
    /// Remaining duration of its cold start when the record was written.
    pub cold: Duration,
}

/// How long an absent record is kept after the store returns. Upstreams that are alive
/// write their records again within two seconds of the return.
pub const RETENTION_AFTER_OUTAGE: Duration = Duration::from_millis(2_300);

/// A record with the local state of this node about it.
#[derive(Clone, Debug)]
pub struct TrackedUpstream {
    /// The newest record read.
    pub record: Arc<Record>,
    /// Offset of the record in the log.
    pub offset: u64,
    /// End of the cold start of the upstream.
    pub cold_until: Moment,
    /// When the record is dropped, if it disappeared while the store was unreachable.
    pub expires_at: Option<Moment>,
}

/// All upstreams known to a node, by id.
#[derive(Clone, Debug, Default)]
pub struct UpstreamSet {
    known: HashMap<Arc<str>, TrackedUpstream>,
    /// Offsets at which records were removed, so that a record read late from a lagging
    /// replica does not restore one.
    removed: HashMap<Arc<str>, u64>,
}

/// The effect of a record on the set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The record changed the set.
    Changed,
    /// The set is unchanged: the record equals the one held, the upstream is unknown, or
    /// its removal is deferred.
    Same,
    /// The record is older than the one held and was ignored.
    Stale,
}

impl UpstreamSet {
    /// Adds or updates a record unless the set has a newer one.
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
        let known = TrackedUpstream {
            offset,
            cold_until,
            expires_at: None,
            record: Arc::new(record),
        };
        self.known.insert(Arc::clone(&known.record.id), known);
        Outcome::Changed
    }

    /// Removes a record whose key was deleted at `offset`. With `until`, it is kept until
    /// then unless it is draining, since it may have expired only because the store was
    /// unreachable.
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

    /// Removes the records that are absent from a complete list that ends at `end`, with
    /// `until` as for [`UpstreamSet::remove`]. Returns the ids removed.
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

    /// Drops the records whose retention after an outage has ended. Returns their ids.
    pub fn drop_expired(&mut self, now: Moment) -> Vec<Arc<str>> {
        let is_expired =
            |known: &TrackedUpstream| known.expires_at.is_some_and(|until| now >= until);
        let expired = self.known.values().filter(|known| is_expired(known));
        let expired: Vec<(Arc<str>, u64)> = expired
            .map(|known| (Arc::clone(&known.record.id), known.offset))
            .collect();
        for (id, offset) in &expired {
            self.drop_record(id, *offset);
        }
        expired.into_iter().map(|(id, _)| id).collect()
    }

    /// Extends the retention of absent records when the store is unreachable again.
    pub fn extend_retention(&mut self, until: Moment) {
        for known in self.known.values_mut() {
            if known.expires_at.is_some() {
                known.expires_at = Some(until);
            }
        }
    }

    /// Iterates over all records in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = &TrackedUpstream> {
        self.known.values()
    }

    fn drop_record(&mut self, id: &str, offset: u64) {
        if let Some((id, _)) = self.known.remove_entry(id) {
            self.removed.insert(id, offset);
        }
    }
}

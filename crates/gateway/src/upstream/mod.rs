//! Records that upstreams publish, and the set of them that a gateway holds.
//!
//! Records come from a log and may be read late, twice, or from a replica that lags.
//! Of two records, the one with the higher offset is newer. A record that disappears
//! while the store is unreachable may have expired only because its upstream could not
//! renew it, so it is kept for a time after the store returns; see
//! [`UpstreamSet::settle`].
//!
//! A store that is restored from a copy lists records that were replaced or removed after the copy
//! was made. Such a record does not put an upstream to use again that has left or is draining,
//! until the upstream writes another one or a time has passed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;

use crate::store::Offset;

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

/// How long a restored record is not believed of an upstream that has left or is draining. A store
/// removes the records of dead upstreams after three intervals of their heartbeats, and upstreams
/// that are alive write theirs again earlier.
pub const DISTRUST_AFTER_RESTORE: Duration = Duration::from_secs(10);

/// A record with the local state of this node about it.
#[derive(Clone, Debug)]
pub struct TrackedUpstream {
    /// The newest record read.
    pub record: Arc<Record>,
    /// Offset of the record in the log.
    pub offset: Offset,
    /// Whether the record was listed, so that it may be that of a copy, and not read as a new one.
    pub is_listed: bool,
    /// End of the cold start of the upstream.
    pub cold_until: Moment,
    /// When the record is dropped, if it disappeared while the store was unreachable.
    pub expires_at: Option<Moment>,
}

/// All upstreams known to a node, by id.
#[derive(Clone, Debug, Default)]
pub struct UpstreamSet {
    known: HashMap<Arc<str>, TrackedUpstream>,
    /// Records that were removed, so that one read late from a lagging replica, or listed by a
    /// restored store, does not restore them.
    removed: HashMap<Arc<str>, Removal>,
    /// Restored records that are not believed yet.
    doubted: HashMap<Arc<str>, Doubted>,
}

#[derive(Clone, Copy, Debug)]
struct Removal {
    offset: Offset,
    /// [`Record::born`] of the upstream.
    born: Option<u64>,
}

#[derive(Clone, Debug)]
struct Doubted {
    record: Record,
    offset: Offset,
    until: Moment,
}

/// A record that a restored store lists and that is not believed, as gateways state it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Doubt {
    /// Id of the upstream.
    pub id: Arc<str>,
    /// Its start, as the record states it. A later start is not meant.
    pub born: Option<u64>,
    /// Offset of the record. One that is read with a later offset is believed.
    pub offset: Offset,
    /// Whether the upstream is draining, and not gone.
    pub draining: bool,
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
    pub fn put(&mut self, record: Record, offset: Offset, now: Moment) -> Outcome {
        let removal = self.removed.get(&record.id);
        if removal.is_some_and(|removal| removal.offset > offset) {
            return Outcome::Stale;
        }
        self.doubted.remove(&record.id);
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
            known.is_listed &= known.offset == offset;
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
            is_listed: false,
            cold_until,
            expires_at: None,
            record: Arc::new(record),
        };
        self.known.insert(Arc::clone(&known.record.id), known);
        Outcome::Changed
    }

    /// Adds or updates a record that a store lists, as [`UpstreamSet::put`] does.
    pub fn put_listed(&mut self, record: Record, offset: Offset, now: Moment) -> Outcome {
        let id = Arc::clone(&record.id);
        let former = self.known.get(&id).map(|known| known.offset);
        let outcome = self.put(record, offset, now);
        // One that was read before it was listed stays so.
        if let Some(known) = self.known.get_mut(&id)
            && known.offset == offset
            && former != Some(offset)
        {
            known.is_listed = true;
        }
        outcome
    }

    /// Adds or updates a record that a store lists after it was restored from a copy. If the
    /// upstream is known to have left or to be draining, it stays so until it writes another
    /// record, or until [`DISTRUST_AFTER_RESTORE`] has passed.
    pub fn put_restored(&mut self, record: Record, offset: Offset, now: Moment) -> Outcome {
        let known = self.known.get(&record.id);
        let is_draining = known.is_some_and(|known| {
            known.offset.era() < offset.era()
                && known.record.draining
                && !record.draining
                && known.record.born == record.born
        });
        let has_left = self.removed.get(&record.id).is_some_and(|removal| {
            removal.offset.era() < offset.era() && removal.born == record.born
        });
        if !is_draining && !has_left {
            return self.put_listed(record, offset, now);
        }
        let until = now + DISTRUST_AFTER_RESTORE;
        let first = self.doubted.get(&record.id);
        let first = first.filter(|doubted| doubted.offset.era() == offset.era());
        let first = first.map(|doubted| doubted.until);
        let doubted = Doubted {
            offset,
            until: first.unwrap_or(until),
            record,
        };
        self.doubted.insert(Arc::clone(&doubted.record.id), doubted);
        Outcome::Same
    }

    /// Returns the restored records that are not believed.
    pub fn doubts(&self) -> Vec<Doubt> {
        let doubts = self.doubted.iter().map(|(id, doubted)| Doubt {
            id: Arc::clone(id),
            born: doubted.record.born,
            offset: doubted.offset,
            draining: self.known.contains_key(id),
        });
        let mut doubts: Vec<Doubt> = doubts.collect();
        doubts.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        doubts
    }

    /// Does not believe a record that the store has listed or will list, as another node does not,
    /// which knew the upstream before the store was restored.
    pub fn doubt(&mut self, doubt: &Doubt, until: Moment) -> Outcome {
        let removal = Removal {
            // Before any record of the restored store.
            offset: Offset::default(),
            born: doubt.born,
        };
        let Some(known) = self.known.get_mut(&doubt.id) else {
            self.removed.entry(Arc::clone(&doubt.id)).or_insert(removal);
            return Outcome::Same;
        };
        let is_meant = known.is_listed
            && known.offset <= doubt.offset
            && known.record.born == doubt.born
            && !known.record.draining;
        if !is_meant || self.doubted.contains_key(&doubt.id) {
            return Outcome::Same;
        }
        if known.expires_at.is_some() {
            // The store no longer lists it, and nothing would end the doubt but its use.
            let end = known.offset.next();
            self.drop_record(&doubt.id, end);
            return Outcome::Changed;
        }
        let doubted = Doubted {
            record: Record::clone(&known.record),
            offset: known.offset,
            until,
        };
        self.doubted.insert(Arc::clone(&doubt.id), doubted);
        if doubt.draining {
            // It stays a rank of its group.
            Arc::make_mut(&mut known.record).draining = true;
            known.offset = Offset::default();
        } else {
            self.known.remove(&doubt.id);
            self.removed.insert(Arc::clone(&doubt.id), removal);
        }
        Outcome::Changed
    }

    /// Returns whether the record of an upstream at this offset is held and retained after its removal.
    pub fn is_retained(&self, id: &str, offset: Offset) -> bool {
        let known = self.known.get(id);
        known.is_some_and(|known| known.offset == offset && known.expires_at.is_some())
    }

    /// Ends the retention of the record at this offset at a moment, if it does not end earlier.
    pub fn retain_until(&mut self, id: &str, offset: Offset, end: Moment) {
        if let Some(known) = self.known.get_mut(id)
            && known.offset == offset
        {
            known.expires_at = Some(known.expires_at.map_or(end, |own| own.min(end)));
        }
    }

    /// Removes a record whose key was deleted at `offset`. With `until`, it is kept until
    /// then unless it is draining, since it may have expired only because the store was
    /// unreachable.
    pub fn remove(&mut self, id: &str, offset: Offset, until: Option<Moment>) -> Outcome {
        self.doubted.remove(id);
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
        end: Offset,
        listed: impl Fn(&str) -> bool,
        until: Option<Moment>,
    ) -> Vec<Arc<str>> {
        let absent = self.known.keys().filter(|id| !listed(id));
        let mut absent: Vec<Arc<str>> = absent.cloned().collect();
        absent.retain(|id| self.remove(id, end, until) == Outcome::Changed);
        absent
    }

    /// Forgets restored records that a later listing of the store lacks.
    pub fn retain_doubts(&mut self, listed: impl Fn(&str) -> bool) {
        self.doubted.retain(|id, _| listed(id));
    }

    /// Drops the records whose retention after an outage has ended, and believes restored ones
    /// that have been doubted for long enough. Returns the ids of the former and the records of
    /// the latter.
    pub fn settle(&mut self, now: Moment) -> (Vec<Arc<str>>, Vec<Arc<Record>>) {
        (self.drop_expired(now), self.believe_doubted(now))
    }

    fn believe_doubted(&mut self, now: Moment) -> Vec<Arc<Record>> {
        let due = self.doubted.extract_if(|_, doubted| now >= doubted.until);
        let due: Vec<Doubted> = due.map(|(_, doubted)| doubted).collect();
        let records = due
            .into_iter()
            .filter_map(|Doubted { record, offset, .. }| {
                let shared = Arc::new(record.clone());
                (self.put_listed(record, offset, now) == Outcome::Changed).then_some(shared)
            });
        records.collect()
    }

    fn drop_expired(&mut self, now: Moment) -> Vec<Arc<str>> {
        let is_expired =
            |known: &TrackedUpstream| known.expires_at.is_some_and(|until| now >= until);
        let expired = self.known.values().filter(|known| is_expired(known));
        let expired: Vec<(Arc<str>, Offset)> = expired
            .map(|known| (Arc::clone(&known.record.id), known.offset))
            .collect();
        for (id, offset) in &expired {
            // Another node may still retain the record, and must not bring it back.
            self.drop_record(id, offset.next());
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

    fn drop_record(&mut self, id: &str, offset: Offset) {
        if let Some((id, known)) = self.known.remove_entry(id) {
            let born = known.record.born;
            self.removed.insert(id, Removal { offset, born });
        }
    }
}

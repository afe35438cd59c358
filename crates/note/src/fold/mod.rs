//! The control state and the fold that builds it.
//!
//! [`State`] is a function of the log alone: every node that folds the same
//! records holds the same entries, gives the same verdicts and computes the
//! same [`State::hash`], whatever the delivery timing was. If the log loses its
//! tail, [`crate::control::Control`] keeps the lost entries beside this state.

mod edit;
pub(crate) use edit::{CALL_RULE, NAME_RULE, is_name};
pub mod entry;
mod merge;
pub mod outcome;
pub mod past;
mod query;
mod repair;
pub mod row;

use std::collections::BTreeSet;
use std::sync::Arc;

use sesamerock_base::key;
use sesamerock_base::version::Version;

use crate::bound;
use crate::key::{Adapter as AdapterKey, Service as ServiceKey};
use crate::record::{Body, Record, ServiceChange, ServiceState, Skip, to_json};
use crate::snapshot::Pending;
use crate::table::{Slot, Table};
use entry::{Adapter, Availability, Group, Model, Service, Upstream};
use outcome::{Conflict, Item, Kind, Outcome, Verdict};
use past::{PastVerdict, RecentVerdicts};
use row::{Entry, Row};

/// Number of shards of the tables that grow with the number of machines.
const MACHINE_SHARDS: usize = 64;

/// Exclusive upper bound of the versions that records may carry. Far above any
/// real version, and far enough below the end of the range that versions can
/// still rise.
pub(crate) const VERSION_LIMIT: Version = Version(u64::MAX / 2);

/// A withdrawn entry, ordered by age.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WithdrawnItem {
    changed: Version,
    item: Item,
}

/// The control state after some record of the log.
///
/// A clone shares all entries with its origin and costs a few pointers; a
/// change copies the shard of pointers it touches.
#[derive(Clone, Debug)]
pub struct State {
    /// Offset of the next record to fold.
    next: u64,
    /// Offset from which snapshot parts are still collected; equal to `next`
    /// except in a state that was just restored from a snapshot.
    seen: u64,
    /// Version of a record minus its offset.
    shift: u64,
    upstreams: Table<key::Upstream, Upstream>,
    models: Table<key::Model, Model>,
    adapters: Table<AdapterKey, Adapter>,
    services: Table<ServiceKey, Service>,
    zones: Table<key::Zone, Availability>,
    vms: Table<key::Vm, Availability>,
    /// Derived from the upstreams.
    groups: Table<key::Group, Group>,
    withdrawn: Arc<BTreeSet<WithdrawnItem>>,
    /// Highest `changed` version of the withdrawn entries evicted so far.
    floor: Version,
    recent: Arc<RecentVerdicts>,
    pending: Arc<Vec<Pending>>,
    /// Hash of the last record; detects a log that was rewritten.
    last: Option<u64>,
    /// See [`State::covered`]; it does not enter the hash.
    covered: Option<u64>,
    /// Sum of the hashes of all rows.
    digest: u128,
}

impl Default for State {
    fn default() -> Self {
        Self::starting_at(0)
    }
}

impl State {
    /// Returns the empty state of a log whose first record has this offset.
    pub fn starting_at(first: u64) -> Self {
        Self {
            next: first,
            seen: first,
            shift: 1,
            upstreams: Table::sharded(MACHINE_SHARDS),
            models: Table::default(),
            adapters: Table::default(),
            services: Table::default(),
            zones: Table::default(),
            vms: Table::sharded(MACHINE_SHARDS),
            groups: Table::default(),
            withdrawn: Arc::default(),
            floor: Version::default(),
            recent: Arc::default(),
            pending: Arc::default(),
            last: None,
            covered: None,
            digest: 0,
        }
    }

    /// Returns the version: the offset of the last record plus the shift.
    pub fn version(&self) -> Version {
        Version(self.next + self.shift - 1)
    }

    /// Returns the offset from which this state needs the log. A reader also
    /// fetches the record before this offset: if that record has changed, the
    /// log lost its tail and was rewritten, see [`Outcome::Rewritten`].
    pub fn position(&self) -> u64 {
        self.seen
    }

    /// Returns the difference between version and offset. It rises when a log
    /// that lost its tail is reconciled by a snapshot.
    pub fn shift(&self) -> u64 {
        self.shift
    }

    /// Returns a hash of version and content, the same on every node that
    /// folded the same log.
    pub fn hash(&self) -> [u8; 32] {
        content_hash(self.version(), self.floor, self.digest)
    }

    /// Folds the record at an offset, given as bytes from the log.
    pub fn apply(&mut self, offset: u64, bytes: &[u8]) -> Outcome {
        if offset > self.seen {
            return Outcome::Gap {
                expected: self.seen,
            };
        }
        self.fold(offset, bytes, Record::decode(bytes))
    }

    /// Folds the record at an offset, given as bytes and in decoded form.
    pub(crate) fn fold(
        &mut self,
        offset: u64,
        bytes: &[u8],
        record: Result<Record, Skip>,
    ) -> Outcome {
        if offset > self.seen {
            return Outcome::Gap {
                expected: self.seen,
            };
        }
        let hash = short_hash(bytes);
        if offset < self.seen {
            let last = offset + 1 == self.seen;
            if last && self.last.is_some_and(|known| known != hash) {
                return Outcome::Rewritten;
            }
            return self.outcome_of_repeat(record);
        }
        self.seen = offset + 1;
        self.last = Some(hash);
        if offset < self.next {
            return self.keep_part_only(offset, record);
        }
        self.next = offset + 1;
        match record {
            Ok(record) => self.fold_next(offset, record),
            Err(skip) => Outcome::Skipped(skip),
        }
    }

    fn fold_next(&mut self, offset: u64, record: Record) -> Outcome {
        if let Body::Snapshot(part) = &record.body {
            return self.fold_part(offset, part);
        }
        let content = content(&record);
        if let Some(past) = self.recent.find(&record.id) {
            if past.content != content {
                return Outcome::Rejected {
                    version: self.version(),
                    conflicts: vec![Conflict::IdReused],
                };
            }
            return repeated(past);
        }
        let verdict = match &record.body {
            Body::Note(note) => edit::apply(self, note),
            Body::Zone(change) => self.change_service(Kind::Zone, change),
            Body::Vm(change) => self.change_service(Kind::Vm, change),
            Body::Snapshot(_) => return Outcome::Part { missing: 0 },
        };
        self.remember(record.id, content, verdict)
    }

    fn remember(
        &mut self,
        id: String,
        content: u64,
        verdict: Result<(), Vec<Conflict>>,
    ) -> Outcome {
        let version = self.version();
        let (verdict, outcome) = match verdict {
            Ok(()) => (Verdict::Accepted, Outcome::Accepted { version }),
            Err(mut conflicts) => {
                conflicts.truncate(bound::MAX_CONFLICTS);
                let verdict = Verdict::Rejected(conflicts.clone());
                (verdict, Outcome::Rejected { version, conflicts })
            }
        };
        self.push_past(PastVerdict {
            version,
            id,
            content,
            verdict,
        });
        outcome
    }

    fn push_past(&mut self, past: PastVerdict) {
        self.digest = self.digest.wrapping_add(Row::Past(past.clone()).hash());
        let displaced = Arc::make_mut(&mut self.recent).push(past);
        if let Some(displaced) = displaced {
            let row = Row::Past(PastVerdict::clone(&displaced));
            self.digest = self.digest.wrapping_sub(row.hash());
        }
    }

    /// Returns the outcome of a record whose offset was folded before.
    fn outcome_of_repeat(&self, record: Result<Record, Skip>) -> Outcome {
        let behind = Outcome::Behind {
            expected: self.seen,
        };
        match record {
            Ok(record) => self.recent.find(&record.id).map_or(behind, repeated),
            Err(_) => behind,
        }
    }

    /// Takes a zone or VM out of service or back into service. The record has
    /// no base version and is never rejected as stale: the last one in the log
    /// wins.
    fn change_service(&mut self, kind: Kind, change: &ServiceChange) -> Result<(), Vec<Conflict>> {
        if !edit::is_name(&change.name) {
            return Err(vec![Conflict::Invalid {
                path: format!("{kind}.name"),
                expected: edit::NAME_RULE.to_owned(),
            }]);
        }
        self.raise_version_above(change.seen);
        let place = Availability {
            out: change.to == ServiceState::Out,
            changed: self.version(),
        };
        let known = match kind {
            Kind::Zone => self.zones.len(),
            _ => self.vms.len(),
        };
        if known >= bound::MAX_ITEMS && self.place(kind, &change.name).is_none() {
            return Err(vec![Conflict::Full { kind }]);
        }
        self.put_place(kind, &change.name, place);
        Ok(())
    }

    /// Raises the shift so that the version exceeds one that a publisher had
    /// seen before the log lost its tail.
    fn raise_version_above(&mut self, seen: Version) {
        let missing = seen.next().0.saturating_sub(self.version().0);
        if seen < VERSION_LIMIT {
            self.shift += missing;
        }
    }

    fn place(&self, kind: Kind, name: &str) -> Option<Availability> {
        match kind {
            Kind::Zone => self.zones.find(name).map(|(_, place)| *place),
            _ => self.vms.find(name).map(|(_, place)| *place),
        }
    }

    fn put_place(&mut self, kind: Kind, name: &str, place: Availability) {
        if let Some(old) = self.place(kind, name) {
            self.digest = self.digest.wrapping_sub(old.to_row(kind, name).hash());
        }
        self.digest = self.digest.wrapping_add(place.to_row(kind, name).hash());
        let slot = Slot::Live(Arc::new(place));
        if kind == Kind::Zone {
            let key = self.zones.intern(name);
            self.zones.set(key, slot);
        } else {
            let key = self.vms.intern(name);
            self.vms.set(key, slot);
        }
    }

    /// Sets a slot and updates the digest and the set of withdrawn entries.
    fn put<E: Entry>(&mut self, key: E::Key, slot: &Slot<E>) {
        let old = E::table(self).slot(key).clone();
        self.update_digest(key, &old, false);
        E::table_mut(self).set(key, slot.clone());
        self.update_digest(key, slot, true);
    }

    fn update_digest<E: Entry>(&mut self, key: E::Key, slot: &Slot<E>, add: bool) {
        let Some(row) = row::of_slot(slot, key, self) else {
            return;
        };
        self.digest = if add {
            self.digest.wrapping_add(row.hash())
        } else {
            self.digest.wrapping_sub(row.hash())
        };
        if let Slot::Withdrawn(entry) = slot {
            let item = WithdrawnItem {
                changed: entry.changed(),
                item: Item::new(E::KIND, E::table(self).name(key)),
            };
            let withdrawn = Arc::make_mut(&mut self.withdrawn);
            if add {
                withdrawn.insert(item);
            } else {
                withdrawn.remove(&item);
            }
        }
    }

    /// Sets the slot of an upstream and updates the ranks of its group.
    fn put_upstream(&mut self, key: key::Upstream, slot: &Slot<Upstream>) {
        if let Some(rank) = self.upstreams.get(key).and_then(|old| old.rank) {
            let mut group = self.groups.get(rank.group).cloned().unwrap_or_default();
            group.ranks.retain(|(_, other)| *other != key);
            self.put_group(rank.group, group);
        }
        let rank = match slot {
            Slot::Live(entry) => entry.rank,
            Slot::Vacant | Slot::Withdrawn(_) => None,
        };
        self.put(key, slot);
        if let Some(rank) = rank {
            let mut group = self.groups.get(rank.group).cloned().unwrap_or_default();
            group.ranks.push((rank.index, key));
            group.ranks.sort_unstable();
            self.put_group(rank.group, group);
        }
    }

    fn put_group(&mut self, key: key::Group, group: Group) {
        let slot = if group.ranks.is_empty() {
            Slot::Vacant
        } else {
            Slot::Live(Arc::new(group))
        };
        self.groups.set(key, slot);
    }

    /// Evicts the oldest withdrawn entries beyond [`bound::MAX_WITHDRAWN`].
    fn evict_withdrawn(&mut self) {
        while self.withdrawn.len() > bound::MAX_WITHDRAWN {
            let Some(item) = self.withdrawn.first().cloned() else {
                return;
            };
            self.floor = self.floor.max(item.changed);
            self.vacate(&item.item);
        }
    }

    /// Empties the slot of an item.
    fn vacate(&mut self, item: &Item) {
        match item.kind {
            Kind::Upstream => {
                if let Some(key) = self.upstreams.key(&item.name) {
                    self.put_upstream(key, &Slot::Vacant);
                }
            }
            Kind::Model => self.vacate_entry::<Model>(&item.name),
            Kind::Adapter => self.vacate_entry::<Adapter>(&item.name),
            Kind::Service => self.vacate_entry::<Service>(&item.name),
            Kind::Zone | Kind::Vm | Kind::Group => {}
        }
    }

    fn vacate_entry<E: Entry>(&mut self, name: &str) {
        if let Some(key) = E::table(self).key(name) {
            self.put::<E>(key, &Slot::Vacant);
        }
    }
}

/// Returns the hash of a state by its version, floor and the sum of the hashes
/// of its rows.
pub(crate) fn content_hash(version: Version, floor: Version, digest: u128) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&version.0.to_le_bytes());
    hasher.update(&floor.0.to_le_bytes());
    hasher.update(&digest.to_le_bytes());
    *hasher.finalize().as_bytes()
}

fn repeated(past: &Arc<PastVerdict>) -> Outcome {
    Outcome::Duplicate {
        version: past.version,
        verdict: past.verdict.clone(),
    }
}

/// Hashes the content of a record without the publisher's version, which may
/// differ when the append is retried.
fn content(record: &Record) -> u64 {
    let bytes = match &record.body {
        Body::Note(note) => {
            let mut note = note.clone();
            note.base = None;
            to_json(&note)
        }
        Body::Zone(change) | Body::Vm(change) => to_json(&(&change.name, change.to)),
        Body::Snapshot(_) => return 0,
    };
    short_hash(&bytes)
}

fn short_hash(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let (head, _) = hash.as_bytes().split_at(size_of::<u64>());
    u64::from_le_bytes(head.try_into().unwrap_or_default())
}

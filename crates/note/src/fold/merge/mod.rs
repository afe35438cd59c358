//! Merging of snapshots into the state.
//!
//! The merge is a join: of two versions of an entry the one with the higher
//! `changed` version wins, whichever side holds it, so the order of snapshots
//! does not matter. It is a function of the log alone, since a snapshot is part
//! of the log.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use sesamerock_base::version::Version;

use super::entry::{Adapter, Availability, Model, Service, Upstream};
use super::outcome::{Item, Kind, Merge, Outcome};
use super::past::{PastVerdict, RecentVerdicts};
use super::row::{Entry, Row, boxed, of_slot};
use super::{Slot, State, VERSION_LIMIT};
use crate::bound;
use crate::record::{Body, Record, Skip};
use crate::snapshot::{MAX_PARTS, PENDING_SPAN_RECORDS, Part, Pending};

impl State {
    pub(crate) fn next_offset(&self) -> u64 {
        self.next
    }

    /// Returns the offset up to which the newest snapshot in the log covers
    /// it, or `None` if this state folded no snapshot.
    pub fn covered(&self) -> Option<u64> {
        self.covered
    }

    /// Returns whether a snapshot is incomplete: its first part was folded and
    /// other parts are missing.
    pub fn snapshot_in_progress(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns whether this state holds every entry of `other`, in the same or
    /// a newer version.
    pub(crate) fn covers(&self, other: &Self) -> bool {
        self.clone().join(other) == 0
    }

    /// Returns a state with the content of both and the higher version, at the
    /// offset of `log`. Used while the log does not hold all of `kept`.
    pub(crate) fn overlay(kept: &Self, log: &Self) -> Self {
        let version = kept.version().max(log.version());
        let mut state = log.clone();
        state.shift = version.0 + 1 - log.next.min(version.0);
        state.join(kept);
        state
    }

    /// Returns the offset from which a state restored from a snapshot of this
    /// state must read the log to complete the same pending snapshots.
    pub(crate) fn replay_from(&self) -> u64 {
        let firsts = self.pending.iter().map(|pending| pending.first);
        firsts.min().unwrap_or(self.next).min(self.next)
    }

    /// Returns all rows in an order that is the same on every node.
    pub(crate) fn rows(&self) -> Vec<Row> {
        let mut entries: BTreeMap<Item, Row> = BTreeMap::new();
        self.collect::<Model>(&mut entries);
        self.collect::<Adapter>(&mut entries);
        self.collect::<Service>(&mut entries);
        self.collect::<Upstream>(&mut entries);
        for (key, place) in self.zones.iter() {
            let name = self.zones.name(key);
            entries.insert(Item::new(Kind::Zone, name), place.to_row(Kind::Zone, name));
        }
        for (key, place) in self.vms.iter() {
            let name = self.vms.name(key);
            entries.insert(Item::new(Kind::Vm, name), place.to_row(Kind::Vm, name));
        }
        let past = self
            .recent
            .iter()
            .map(|past| Row::Past(PastVerdict::clone(past)));
        entries.into_values().chain(past).collect()
    }

    fn collect<E: Entry>(&self, rows: &mut BTreeMap<Item, Row>) {
        let table = E::table(self);
        let live = table.iter().map(|(key, entry)| (key, entry, false));
        let withdrawn = table.withdrawn().map(|(key, entry)| (key, entry, true));
        for (key, entry, gone) in live.chain(withdrawn) {
            let item = Item::new(E::KIND, table.name(key));
            rows.insert(item, entry.row(key, gone, self));
        }
    }

    /// Builds the state of a snapshot.
    pub(crate) fn restore<'a>(head: &Part, rows: impl IntoIterator<Item = &'a Row>) -> Self {
        let mut state = Self::starting_at(head.next);
        state.seen = head.from.min(head.next);
        state.shift = head.shift.max(1);
        for row in rows {
            match row {
                Row::Past(past) => state.push_past(past.clone()),
                row => state.put_row(row),
            }
        }
        state.floor = head.floor;
        state
    }

    /// Folds one part of a snapshot.
    pub(super) fn fold_part(&mut self, offset: u64, part: &Part) -> Outcome {
        let version_ok = part.version() < VERSION_LIMIT;
        if part.count > MAX_PARTS || !version_ok {
            let fault = "expected a snapshot of bounded size and version".to_owned();
            return Outcome::Skipped(Skip::Malformed { fault });
        }
        let snapshot = match self.keep_part(offset, part) {
            Ok(snapshot) => snapshot,
            Err(missing) => return Outcome::Part { missing },
        };
        match snapshot.verify() {
            Ok(digest) => Outcome::Merged(self.merge(offset, &snapshot, digest)),
            Err(fault) => Outcome::Skipped(Skip::Malformed {
                fault: fault.to_string(),
            }),
        }
    }

    /// Keeps the parts of a record that the state covers already, after a
    /// restore.
    pub(super) fn keep_part_only(&mut self, offset: u64, record: Result<Record, Skip>) -> Outcome {
        if let Ok(Record {
            body: Body::Snapshot(part),
            ..
        }) = record
        {
            let missing = self.keep_part(offset, &part).err().unwrap_or_default();
            return Outcome::Part { missing };
        }
        self.outcome_of_repeat(record)
    }

    /// Returns the snapshot once its last part arrives, else how many parts are
    /// missing.
    ///
    /// Only part 0 starts a pending snapshot, so that a state restored midway
    /// collects the same snapshots as a state that read the whole log.
    fn keep_part(&mut self, offset: u64, part: &Part) -> Result<Pending, usize> {
        let pending = Arc::make_mut(&mut self.pending);
        pending.retain(|pending| offset - pending.first < PENDING_SPAN_RECORDS);
        let at = match pending.iter().position(|pending| pending.takes(part)) {
            Some(at) => at,
            None if part.index == 0 => {
                pending.push(Pending::open(offset, part));
                pending.len() - 1
            }
            None => return Err(part.count as usize),
        };
        let missing = pending[at].keep(part);
        if missing > 0 {
            return Err(missing);
        }
        Ok(pending.remove(at))
    }

    /// Merges a snapshot at an offset and raises the shift so that the version
    /// exceeds that of the state and that of the snapshot.
    fn merge(&mut self, offset: u64, snapshot: &Pending, digest: u128) -> Merge {
        let head = &snapshot.head;
        self.covered = self.covered.max(Some(head.next));
        let before = Version((offset + self.shift).saturating_sub(1));
        let above = before.max(head.version()).next();
        let shift = self.shift.max(head.shift).max(above.0 - offset);
        let raised = shift - self.shift;
        self.shift = shift;
        let same = self.digest == digest && self.floor == head.floor;
        let taken = if same {
            0
        } else {
            self.join_rows(head.floor, snapshot.rows())
        };
        let version = self.version();
        Merge {
            version,
            taken,
            raised,
        }
    }

    /// Adopts the entries that `other` holds in a newer version or that only
    /// `other` has, and returns their number. Does not change offset or shift.
    pub(crate) fn join(&mut self, other: &Self) -> usize {
        if self.digest == other.digest && self.floor == other.floor {
            return 0;
        }
        self.join_rows(other.floor, other.rows())
    }

    /// Joins rows that are decoded one at a time, because a second state in
    /// memory would exceed the node's budget at the target size.
    fn join_rows(&mut self, floor: Version, rows: impl IntoIterator<Item = Row>) -> usize {
        let mut taken = 0;
        let mut known = BTreeSet::new();
        let mut pasts = Vec::new();
        for row in rows {
            taken += usize::from(self.join_row(&row));
            match (row.item(), row) {
                (Some((item, changed)), _) if changed <= floor => {
                    known.insert(item);
                }
                (_, Row::Past(past)) => pasts.push(Arc::new(past)),
                _ => {}
            }
        }
        taken += self.drop_evicted(floor, &known);
        self.floor = self.floor.max(floor);
        if taken > 0 {
            self.repair();
        }
        self.join_past(&pasts);
        self.evict_withdrawn();
        taken
    }

    fn join_row(&mut self, row: &Row) -> bool {
        let Some((item, changed)) = row.item() else {
            return false;
        };
        let newer = match self.row(&item) {
            None => changed > self.floor,
            Some(own) => {
                let own_changed = own.item().map_or(changed, |(_, changed)| changed);
                let tie = changed == own_changed && *row != own;
                changed > own_changed || (tie && row.hash() > own.hash())
            }
        };
        if newer {
            self.put_row(row);
        }
        newer
    }

    /// Removes entries that the other state withdrew and has since evicted.
    /// `known` holds those of its entries that did not change after its floor.
    fn drop_evicted(&mut self, floor: Version, known: &BTreeSet<Item>) -> usize {
        let mut old = Vec::new();
        self.collect_old::<Model>(floor, &mut old);
        self.collect_old::<Adapter>(floor, &mut old);
        self.collect_old::<Service>(floor, &mut old);
        self.collect_old::<Upstream>(floor, &mut old);
        old.retain(|item| !known.contains(item));
        for item in &old {
            self.vacate(item);
        }
        old.len()
    }

    /// Lists the entries that did not change after a version.
    fn collect_old<E: Entry>(&self, floor: Version, old: &mut Vec<Item>) {
        let table = E::table(self);
        let entries = table.iter().chain(table.withdrawn());
        let entries = entries.filter(|(_, entry)| entry.changed() <= floor);
        old.extend(entries.map(|(key, _)| Item::new(E::KIND, table.name(key))));
    }

    fn row(&self, item: &Item) -> Option<Row> {
        match item.kind {
            Kind::Upstream => self.entry_row::<Upstream>(&item.name),
            Kind::Model => self.entry_row::<Model>(&item.name),
            Kind::Adapter => self.entry_row::<Adapter>(&item.name),
            Kind::Service => self.entry_row::<Service>(&item.name),
            Kind::Zone | Kind::Vm => self
                .place(item.kind, &item.name)
                .map(|place| place.to_row(item.kind, &item.name)),
            Kind::Group => None,
        }
    }

    fn entry_row<E: Entry>(&self, name: &str) -> Option<Row> {
        let key = E::table(self).key(name)?;
        of_slot(E::table(self).slot(key), key, self)
    }

    fn put_row(&mut self, row: &Row) {
        match row {
            Row::Upstream(kept) => {
                let entry = Upstream::intern(&kept.entry, kept.changed, self);
                let key = self.upstreams.intern(&kept.entry.name);
                self.put_upstream(key, &slot(entry, kept.gone));
            }
            Row::Model(kept) => {
                let entry = Model {
                    version: kept.entry.version,
                    highest: kept.entry.highest,
                    versions: kept.entry.versions.as_slice().into(),
                    changed: kept.changed,
                };
                self.put_named(&kept.entry.name, &slot(entry, kept.gone));
            }
            Row::Adapter(kept) => {
                let entry = Adapter {
                    model: self.models.intern(&kept.entry.model),
                    version: kept.entry.version,
                    changed: kept.changed,
                };
                self.put_named(&kept.entry.name, &slot(entry, kept.gone));
            }
            Row::Service(kept) => {
                let entry = Service {
                    not_repeatable: boxed(&kept.entry.not_repeatable),
                    changed: kept.changed,
                };
                self.put_named(&kept.entry.name, &slot(entry, kept.gone));
            }
            Row::Zone(kept) => {
                let place = Availability {
                    out: kept.entry.out,
                    changed: kept.changed,
                };
                self.put_place(Kind::Zone, &kept.entry.name, place);
            }
            Row::Vm(kept) => {
                let place = Availability {
                    out: kept.entry.out,
                    changed: kept.changed,
                };
                self.put_place(Kind::Vm, &kept.entry.name, place);
            }
            Row::Past(_) => {}
        }
    }

    fn put_named<E: Entry>(&mut self, name: &str, slot: &Slot<E>) {
        let key = E::table_mut(self).intern(name);
        self.put(key, slot);
    }

    /// Merges the recorded verdicts; of two with the same id the later one
    /// wins.
    fn join_past(&mut self, other: &[Arc<PastVerdict>]) {
        let all = self.recent.iter().chain(other);
        let mut by_id: BTreeMap<String, Arc<PastVerdict>> = BTreeMap::new();
        for past in all {
            let rank = |past: &PastVerdict| (past.version, Row::Past(past.clone()).hash());
            let known = by_id.get(&past.id);
            if known.is_none_or(|known| rank(known) < rank(past)) {
                by_id.insert(past.id.clone(), Arc::clone(past));
            }
        }
        let mut sorted: Vec<_> = by_id.into_values().collect();
        sorted.sort_by(|a, b| (a.version, &a.id).cmp(&(b.version, &b.id)));
        let surplus = sorted.len().saturating_sub(bound::MAX_PAST_VERDICTS);
        for past in self.recent.iter() {
            let row = Row::Past(PastVerdict::clone(past));
            self.digest = self.digest.wrapping_sub(row.hash());
        }
        self.recent = Arc::new(RecentVerdicts::default());
        for past in sorted.into_iter().skip(surplus) {
            self.push_past(PastVerdict::clone(&past));
        }
    }
}

fn slot<E>(entry: E, gone: bool) -> Slot<E> {
    let entry = Arc::new(entry);
    if gone {
        Slot::Withdrawn(entry)
    } else {
        Slot::Live(entry)
    }
}

//! Application of one note to the state.
//!
//! The edit works on a clone, which is cheap, and the clone replaces the state
//! only if no rule is broken; a bad note therefore changes nothing.

mod rules;
mod shape;

use std::collections::BTreeSet;
use std::sync::Arc;

use sesamerock_base::version::Version;

use super::entry::{Adapter, Model, Service, Upstream};
use super::outcome::{Conflict, Item, Kind};
use super::row::{Entry, boxed};
use super::{Slot, State};
use crate::bound;
use crate::note::{self, Note};

pub(crate) use shape::{CALL_RULE, NAME_RULE, is_name};

/// Applies a note at the state's version, or returns the conflicts.
pub(super) fn apply(state: &mut State, note: &Note) -> Result<(), Vec<Conflict>> {
    let version = state.version();
    let base = check_base(note, version)?;
    let mut faults = shape::check(note);
    if !faults.is_empty() {
        return Err(faults);
    }
    let mut edit = Edit {
        state: state.clone(),
        base,
        version,
        conflicts: Vec::new(),
        touched: BTreeSet::new(),
    };
    edit.run(note);
    rules::check(&edit.state, state, note, &mut edit.conflicts);
    faults.append(&mut edit.conflicts);
    if !faults.is_empty() {
        return Err(faults);
    }
    edit.state.evict_withdrawn();
    *state = edit.state;
    Ok(())
}

/// Checks a note as if it were the next record, without changing the state.
pub(super) fn review(state: &State, note: &Note) -> Result<(), Vec<Conflict>> {
    let mut next = state.clone();
    let mut note = note.clone();
    note.base = note.base.or(Some(state.version()));
    next.next += 1;
    apply(&mut next, &note)
}

fn check_base(note: &Note, version: Version) -> Result<Version, Vec<Conflict>> {
    let Some(base) = note.base else {
        return Err(vec![Conflict::NoBase]);
    };
    if base >= version {
        let current = Version(version.0.saturating_sub(1));
        return Err(vec![Conflict::Ahead { base, current }]);
    }
    Ok(base)
}

struct Edit {
    state: State,
    base: Version,
    version: Version,
    conflicts: Vec<Conflict>,
    touched: BTreeSet<Item>,
}

impl Edit {
    /// Adds and changes entries before the entries that refer to them, then
    /// withdraws in the opposite order.
    fn run(&mut self, note: &Note) {
        self.services(note);
        self.models(note);
        self.adapters(note);
        self.upstreams(note);
        for name in &note.withdraw.upstreams {
            self.withdraw::<Upstream>(name);
        }
        for name in &note.withdraw.adapters {
            self.withdraw::<Adapter>(name);
        }
        for release in &note.withdraw.versions {
            self.withdraw_version(release);
        }
        for name in &note.withdraw.models {
            self.withdraw::<Model>(name);
        }
        for name in &note.withdraw.services {
            self.withdraw::<Service>(name);
        }
    }

    fn services(&mut self, note: &Note) {
        let added = note.add.services.iter().map(|entry| (entry, true));
        let changed = note.change.services.iter().map(|entry| (entry, false));
        for (entry, add) in added.chain(changed) {
            let service = Service {
                not_repeatable: boxed(&entry.not_repeatable),
                changed: self.version,
            };
            self.set(&entry.name, add, service);
        }
    }

    fn models(&mut self, note: &Note) {
        for entry in &note.add.models {
            self.add_model(entry);
        }
        for release in &note.add.versions {
            self.add_version(release);
        }
        for entry in &note.change.models {
            self.change_model(entry);
        }
    }

    fn add_model(&mut self, entry: &note::Model) {
        let highest = self.highest(&entry.name);
        if let Some(highest) = highest.filter(|highest| entry.version < *highest) {
            self.reject_lower_version(Kind::Model, &entry.name, highest, entry.version);
        }
        let model = Model {
            version: entry.version,
            highest: entry.version,
            versions: Box::new([entry.version]),
            changed: self.version,
        };
        self.set(&entry.name, true, model);
    }

    /// Returns the highest version that a model ever had, even if withdrawn.
    fn highest(&self, name: &str) -> Option<u32> {
        let key = self.state.models.key(name)?;
        match self.state.models.slot(key) {
            Slot::Vacant => None,
            Slot::Live(model) | Slot::Withdrawn(model) => Some(model.highest),
        }
    }

    fn change_model(&mut self, entry: &note::Model) {
        let Some(old) = self.live::<Model>(&entry.name) else {
            return self.missing(Kind::Model, &entry.name);
        };
        if entry.version < old.version {
            self.reject_lower_version(Kind::Model, &entry.name, old.version, entry.version);
        }
        let mut model = Model {
            version: entry.version,
            changed: self.version,
            ..old
        };
        if entry.version > model.highest {
            declare(&mut model, entry.version);
        } else if !model.versions.contains(&entry.version) {
            self.reject_unknown_version(&entry.name, entry.version);
        }
        self.set(&entry.name, false, model);
    }

    fn add_version(&mut self, release: &note::Release) {
        let Some(mut model) = self.touch_model(&release.model) else {
            return;
        };
        if release.version <= model.highest {
            let highest = model.highest;
            return self.reject_lower_version(
                Kind::Model,
                &release.model,
                highest,
                release.version,
            );
        }
        declare(&mut model, release.version);
        self.replace(&release.model, model);
    }

    fn withdraw_version(&mut self, release: &note::Release) {
        let Some(mut model) = self.touch_model(&release.model) else {
            return;
        };
        if !model.versions.contains(&release.version) {
            return self.reject_unknown_version(&release.model, release.version);
        }
        let kept = model.versions.iter().copied();
        model.versions = kept.filter(|kept| *kept != release.version).collect();
        self.replace(&release.model, model);
    }

    /// Returns a live model for a change of its versions. Unlike other edits
    /// this may touch a model that the note names elsewhere too, for example to
    /// add a version and follow it.
    fn touch_model(&mut self, name: &str) -> Option<Model> {
        let Some(model) = self.live::<Model>(name) else {
            self.missing(Kind::Model, name);
            return None;
        };
        if !self.is_current(Kind::Model, name, model.changed) {
            return None;
        }
        let changed = self.version;
        Some(Model { changed, ..model })
    }

    fn adapters(&mut self, note: &Note) {
        let added = note.add.adapters.iter().map(|entry| (entry, true));
        let changed = note.change.adapters.iter().map(|entry| (entry, false));
        for (entry, add) in added.chain(changed) {
            self.adapter(entry, add);
        }
    }

    fn adapter(&mut self, entry: &note::Adapter, add: bool) {
        let known = self.state.adapters.key(&entry.name);
        let former = known.and_then(|key| match self.state.adapters.slot(key) {
            Slot::Vacant => None,
            Slot::Live(old) | Slot::Withdrawn(old) => Some(old.version),
        });
        if let Some(from) = former.filter(|from| entry.version < *from) {
            self.reject_lower_version(Kind::Adapter, &entry.name, from, entry.version);
        }
        let adapter = Adapter {
            model: self.state.models.intern(&entry.model),
            version: entry.version,
            changed: self.version,
        };
        self.set(&entry.name, add, adapter);
    }

    fn upstreams(&mut self, note: &Note) {
        let added = note.add.upstreams.iter().map(|entry| (entry, true));
        let changed = note.change.upstreams.iter().map(|entry| (entry, false));
        for (entry, add) in added.chain(changed) {
            if !self.admit::<Upstream>(&entry.name, add) {
                continue;
            }
            let upstream = Upstream::intern(entry, self.version, &mut self.state);
            let key = self.state.upstreams.intern(&entry.name);
            self.state
                .put_upstream(key, &Slot::Live(Arc::new(upstream)));
        }
    }

    fn withdraw<E: Entry + Withdrawn>(&mut self, name: &str) {
        if !self.admit::<E>(name, false) {
            return;
        }
        let Some(entry) = self.live::<E>(name) else {
            return;
        };
        let entry = entry.stamped(self.version);
        entry.store_withdrawn(name, &mut self.state);
    }

    /// Sets an entry if the note is allowed to touch it.
    fn set<E: Entry>(&mut self, name: &str, add: bool, entry: E) {
        if self.admit::<E>(name, add) {
            self.replace(name, entry);
        }
    }

    fn replace<E: Entry>(&mut self, name: &str, entry: E) {
        let key = E::table_mut(&mut self.state).intern(name);
        self.state.put(key, &Slot::Live(Arc::new(entry)));
    }

    /// Returns whether the note may touch an entry: once, not changed after the
    /// note's base, and absent or present as the list demands.
    fn admit<E: Entry>(&mut self, name: &str, add: bool) -> bool {
        let item = Item::new(E::KIND, name);
        if !self.touched.insert(item.clone()) {
            self.conflicts.push(Conflict::Repeated { item });
            return false;
        }
        let table = E::table(&self.state);
        let key = table.key(name);
        let (live, changed) = match key.map(|key| table.slot(key)) {
            Some(Slot::Live(entry)) => (true, entry.changed()),
            Some(Slot::Withdrawn(entry)) => (false, entry.changed()),
            Some(Slot::Vacant) | None => (false, self.state.floor),
        };
        let full = add && table.len() >= bound::MAX_ITEMS;
        if !self.is_current(E::KIND, name, changed) {
            return false;
        }
        match (add, live) {
            (true, true) => self.conflicts.push(Conflict::Exists { item }),
            (false, false) => self.missing(E::KIND, name),
            (true, false) if full => self.conflicts.push(Conflict::Full { kind: E::KIND }),
            _ => return true,
        }
        false
    }

    fn is_current(&mut self, kind: Kind, name: &str, changed: Version) -> bool {
        if changed <= self.base || changed == self.version {
            return true;
        }
        self.conflicts.push(Conflict::Stale {
            item: Item::new(kind, name),
            base: self.base,
            changed,
        });
        false
    }

    fn live<E: Entry>(&self, name: &str) -> Option<E> {
        let (_, entry) = E::table(&self.state).find(name)?;
        Some(entry.clone())
    }

    fn missing(&mut self, kind: Kind, name: &str) {
        let item = Item::new(kind, name);
        self.conflicts.push(Conflict::Missing { item, by: None });
    }

    fn reject_unknown_version(&mut self, name: &str, version: u32) {
        let item = Item::new(Kind::Model, name);
        self.conflicts.push(Conflict::NoVersion { item, version });
    }

    fn reject_lower_version(&mut self, kind: Kind, name: &str, from: u32, to: u32) {
        let item = Item::new(kind, name);
        self.conflicts
            .push(Conflict::VersionBack { item, from, to });
    }
}

fn declare(model: &mut Model, version: u32) {
    let mut versions = model.versions.to_vec();
    versions.push(version);
    versions.sort_unstable();
    model.versions = versions.into();
    model.highest = model.highest.max(version);
}

/// An entry that a note can withdraw.
trait Withdrawn: Sized {
    /// Stores the entry as withdrawn, so that later notes and merges see when
    /// it was withdrawn.
    fn store_withdrawn(self, name: &str, state: &mut State);
}

macro_rules! withdrawn {
    ($($entry:ident, $table:ident, $put:ident;)+) => {$(
        impl Withdrawn for $entry {
            fn store_withdrawn(self, name: &str, state: &mut State) {
                let key = state.$table.intern(name);
                state.$put(key, &Slot::Withdrawn(Arc::new(self)));
            }
        }
    )+};
}

withdrawn! {
    Upstream, upstreams, put_upstream;
    Model, models, put;
    Adapter, adapters, put;
    Service, services, put;
}

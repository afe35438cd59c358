//! Consistency rules between entries, checked after a note is applied.

use std::collections::BTreeSet;

use sesamerock_base::key;

use crate::fold::State;
use crate::fold::entry::{Served, Upstream};
use crate::fold::outcome::{Conflict, Item, Kind};
use crate::note::Note;

/// Examines the references from and to every entry that a note touched.
pub(super) fn check(next: &State, old: &State, note: &Note, conflicts: &mut Vec<Conflict>) {
    let upstreams = note.add.upstreams.iter().chain(&note.change.upstreams);
    for entry in upstreams {
        if let Some((key, upstream)) = next.upstreams.find(&entry.name) {
            check_upstream(next, old, key, upstream, conflicts);
        }
    }
    let adapters = note.add.adapters.iter().chain(&note.change.adapters);
    for entry in adapters {
        let by = Item::new(Kind::Adapter, entry.name.as_str());
        if next.models.find(&entry.model).is_none() {
            conflicts.push(missing(Kind::Model, &entry.model, &by));
        }
    }
    check_users(next, note, conflicts);
}

fn check_upstream(
    next: &State,
    old: &State,
    key: key::Upstream,
    upstream: &Upstream,
    conflicts: &mut Vec<Conflict>,
) {
    let by = Item::new(Kind::Upstream, next.upstreams.name(key));
    for served in &upstream.models {
        check_served(next, served, &by, conflicts);
        check_not_lowered(next, old, key, served, &by, conflicts);
    }
    if let Some(service) = upstream.service
        && next.services.get(service).is_none()
    {
        let name = next.services.name(service);
        conflicts.push(missing(Kind::Service, name, &by));
    }
    check_rank(next, key, upstream, conflicts);
}

fn check_served(next: &State, served: &Served, by: &Item, conflicts: &mut Vec<Conflict>) {
    let name = next.models.name(served.model);
    let Some(model) = next.models.get(served.model) else {
        conflicts.push(missing(Kind::Model, name, by));
        return;
    };
    if let Some(version) = served.version.filter(|v| !model.versions.contains(v)) {
        let item = Item::new(Kind::Model, name);
        conflicts.push(Conflict::NoVersion { item, version });
    }
    for adapter in &served.adapters {
        let live = next.adapters.get(*adapter);
        if live.is_none_or(|live| live.model != served.model) {
            let name = next.adapters.name(*adapter);
            conflicts.push(missing(Kind::Adapter, name, by));
        }
    }
}

/// Rejects a note that lowers the version of a model that an upstream serves.
fn check_not_lowered(
    next: &State,
    old: &State,
    key: key::Upstream,
    served: &Served,
    by: &Item,
    conflicts: &mut Vec<Conflict>,
) {
    let before = old.serving(key, served.model);
    let after = next.serving(key, served.model);
    let (Some(from), Some(to)) = (before, after) else {
        return;
    };
    if to < from {
        let item = by.clone();
        conflicts.push(Conflict::VersionBack { item, from, to });
    }
}

/// Rejects a rank that another upstream of the group already has: both would
/// act as that rank.
fn check_rank(
    next: &State,
    key: key::Upstream,
    upstream: &Upstream,
    conflicts: &mut Vec<Conflict>,
) {
    let Some(rank) = upstream.rank else {
        return;
    };
    let group = next.groups.get(rank.group);
    let ranks = group.map_or(&[][..], |group| &group.ranks);
    let others = ranks
        .iter()
        .filter(|(index, other)| *index == rank.index && *other != key);
    let names = others.map(|(_, other)| next.upstreams.name(*other));
    if let Some(other) = names.min() {
        conflicts.push(Conflict::RankTaken {
            item: Item::new(Kind::Group, next.groups.name(rank.group)),
            rank: rank.index,
            by: Item::new(Kind::Upstream, other),
        });
    }
}

/// Rejects the withdrawal of entries that are in use. Scans the state, but only
/// for notes that withdraw something other than upstreams or change an adapter.
/// Tables iterate in the order in which a process interned the names, so the
/// findings are sorted or reduced to a minimum.
fn check_users(next: &State, note: &Note, conflicts: &mut Vec<Conflict>) {
    let withdraw = &note.withdraw;
    let nothing_to_check = withdraw.models.is_empty()
        && withdraw.adapters.is_empty()
        && withdraw.versions.is_empty()
        && withdraw.services.is_empty()
        && note.change.adapters.is_empty();
    if nothing_to_check {
        return;
    }
    let models: BTreeSet<_> = keys(&withdraw.models, |name| next.models.key(name));
    let services: BTreeSet<_> = keys(&withdraw.services, |name| next.services.key(name));
    let moved = note.change.adapters.iter().map(|entry| &entry.name);
    let adapters = withdraw.adapters.iter().chain(moved);
    let adapters: BTreeSet<_> = adapters
        .filter_map(|name| next.adapters.key(name))
        .collect();
    let mut found = Vec::new();
    for (key, adapter) in next.adapters.iter() {
        if models.contains(&adapter.model) {
            let by = Item::new(Kind::Adapter, next.adapters.name(key));
            let item = Item::new(Kind::Model, next.models.name(adapter.model));
            found.push(Conflict::InUse { item, by });
        }
    }
    for (key, upstream) in next.upstreams.iter() {
        let by = Item::new(Kind::Upstream, next.upstreams.name(key));
        let mut in_use = |kind, name: &str| {
            let item = Item::new(kind, name);
            let by = by.clone();
            found.push(Conflict::InUse { item, by });
        };
        if let Some(service) = upstream.service.filter(|key| services.contains(key)) {
            in_use(Kind::Service, next.services.name(service));
        }
        for served in &upstream.models {
            if models.contains(&served.model) {
                in_use(Kind::Model, next.models.name(served.model));
            }
            for adapter in served.adapters.iter().filter(|key| adapters.contains(key)) {
                let live = next.adapters.get(*adapter);
                if live.is_none_or(|live| live.model != served.model) {
                    in_use(Kind::Adapter, next.adapters.name(*adapter));
                }
            }
        }
    }
    found.sort();
    conflicts.append(&mut found);
    for release in &withdraw.versions {
        check_version(next, &release.model, release.version, conflicts);
    }
}

fn check_version(next: &State, name: &str, version: u32, conflicts: &mut Vec<Conflict>) {
    let Some((key, model)) = next.models.find(name) else {
        return;
    };
    let item = Item::new(Kind::Model, name);
    if model.version == version {
        let by = item.clone();
        conflicts.push(Conflict::VersionInUse { item, version, by });
        return;
    }
    let users = next.upstreams.iter().filter(|(_, upstream)| {
        let served = upstream.serves(key);
        served.is_some_and(|served| served.version == Some(version))
    });
    let names = users.map(|(user, _)| next.upstreams.name(user));
    if let Some(user) = names.min() {
        let by = Item::new(Kind::Upstream, user);
        conflicts.push(Conflict::VersionInUse { item, version, by });
    }
}

fn keys<K: Ord>(names: &[String], key: impl Fn(&str) -> Option<K>) -> BTreeSet<K> {
    names.iter().filter_map(|name| key(name)).collect()
}

fn missing(kind: Kind, name: &str, by: &Item) -> Conflict {
    Conflict::Missing {
        item: Item::new(kind, name),
        by: Some(by.clone()),
    }
}

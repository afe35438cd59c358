//! The upstreams that this entry tracks, with their load.
//!
//! Tracked are the members of the subsets, all servers of a service, and those
//! that left a subset with calls of this entry in flight: their load counts
//! until the last call ends, so that an upstream that returns meanwhile is not
//! taken for idle.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use sesamerock_base::arena::Names;
use sesamerock_base::key::{Group, Key as _, Model, Upstream, Vm, Zone};
use sesamerock_base::version::Version;
use sesamerock_note::fold::State;
use sesamerock_note::fold::entry;
use sesamerock_note::note;
use sesamerock_route::hash;
use sesamerock_route::pick::Picker;
use sesamerock_route::profile::{self, Offer, Place, Profile, Unable};

use super::{place, pools};

/// A tracked upstream.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) name: Arc<str>,
    pub(super) agent: SocketAddr,
    /// Name of its group, if it is a rank of one.
    pub(super) group: Option<Arc<str>>,
    /// Why its group cannot step.
    unable: Option<Unable>,
    serving: bool,
    /// VM by its key in the control state.
    vm: Vm,
    /// Version that changed the upstream's entry.
    changed: Version,
}

/// All tracked upstreams. Keys are never issued twice, since a call in flight
/// may still name an upstream that is no longer tracked.
#[derive(Debug)]
pub(super) struct Rows {
    keys: HashMap<Arc<str>, Upstream>,
    tracked: HashMap<Upstream, Row>,
    keys_issued: u32,
    /// Members of the pools as used; rows beside them only wait for their calls
    /// to end.
    in_use: HashSet<Upstream>,
    zones: Names<Zone>,
    models: Names<Model>,
    adapters: Names<Model>,
    group_names: Names<Group>,
    /// Whether ranks of a group are treated as such.
    rank_routing: bool,
}

/// What rows are made from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source<'a> {
    pub(super) state: &'a State,
    /// VMs that the platform calls leaving.
    pub(super) leaving: &'a [String],
}

/// Which rows a change of the control state may concern.
#[derive(Clone, Debug, Default)]
pub(super) struct Scope {
    /// Names of changed entries.
    entries: Vec<String>,
    /// VMs taken out of service or brought back.
    vms: Vec<Vm>,
    /// Groups whose ranks changed.
    groups: Vec<Group>,
    /// Whether any row may be concerned.
    all: bool,
    /// Whether the version of a model changed, which is part of all profiles.
    models: bool,
}

impl Scope {
    /// Finds what differs between two states.
    ///
    /// Only what changed is made anew: at 10,000 upstreams, a table built anew
    /// for each of 17,000 changes a day took 1.2 % of a core.
    pub(super) fn between(before: &State, now: &State, leaving: bool) -> Self {
        let zones = now.zones().differing(before.zones()).next().is_some()
            || before.zones().differing(now.zones()).next().is_some();
        let from = before.version();
        let version_changed = |(_, model): (_, &entry::Model)| model.changed > from;
        let entries = now.upstreams().differing(before.upstreams());
        let vms = now.vms().differing(before.vms());
        let former = before.vms().differing(now.vms());
        let former = former.filter_map(|(key, _)| now.vms().key(before.vms().name(key)));
        Self {
            entries: entries
                .map(|(key, _)| now.upstreams().name(key).to_owned())
                .collect(),
            vms: vms.map(|(key, _)| key).chain(former).collect(),
            groups: place::changed(before, now),
            all: zones || leaving,
            models: before.shift() != now.shift() || now.models().iter().any(version_changed),
        }
    }
}

impl Source<'_> {
    /// Returns whether an upstream may get new work.
    pub(super) fn serving(&self, entry: &entry::Upstream) -> bool {
        let vm = self.state.vms().name(entry.vm);
        self.state.in_service(entry) && !self.leaving.iter().any(|name| name == vm)
    }
}

impl Rows {
    pub(super) fn new(zones: Names<Zone>, rank_routing: bool) -> Self {
        Self {
            keys: HashMap::new(),
            tracked: HashMap::new(),
            keys_issued: 0,
            in_use: HashSet::new(),
            zones,
            models: Names::default(),
            adapters: Names::default(),
            group_names: Names::default(),
            rank_routing,
        }
    }

    /// Returns whether ranks of a group are treated as such.
    pub(super) fn rank_routing(&self) -> bool {
        self.rank_routing
    }

    pub(super) fn get(&self, upstream: Upstream) -> Option<&Row> {
        self.tracked.get(&upstream)
    }

    pub(super) fn key(&self, name: &str) -> Option<Upstream> {
        self.keys.get(name).copied()
    }

    pub(super) fn len(&self) -> usize {
        self.tracked.len()
    }

    /// Returns the number of pool and adapter names held.
    pub(super) fn name_count(&self) -> usize {
        self.models.len() + self.adapters.len()
    }

    pub(super) fn zone(&mut self, name: &str) -> Zone {
        self.zones.intern(name)
    }

    /// Returns the key of a pool, or any key if no row serves it.
    ///
    /// A name that a caller made up is not interned, since it would stay.
    pub(super) fn model(&self, pool: &str) -> Model {
        self.models.get(pool).unwrap_or_default()
    }

    /// Tracks a live upstream of the control state and returns its key here.
    pub(super) fn track(
        &mut self,
        key: Upstream,
        source: &Source<'_>,
        picker: &mut Picker,
    ) -> Upstream {
        let name = source.state.upstreams().name(key);
        if let Some(known) = self.key(name) {
            return known;
        }
        let upstream = Upstream::new(self.keys_issued);
        self.keys_issued += 1;
        let name: Arc<str> = Arc::from(name);
        self.keys.insert(Arc::clone(&name), upstream);
        if let Some(entry) = source.state.upstreams().get(key) {
            let row = self.row(name, source, entry);
            let profile = self.profile(source, key, entry, &row);
            picker.upsert(upstream, profile);
            self.tracked.insert(upstream, row);
        }
        upstream
    }

    /// Brings rows up to date with the control state.
    pub(super) fn refresh(&mut self, scope: &Scope, source: &Source<'_>, picker: &mut Picker) {
        let stale = |upstream: &Upstream| {
            let row = self.tracked.get(upstream)?;
            let (key, entry) = source.state.upstreams().find(&row.name)?;
            let same = row.changed == entry.changed
                && row.serving == source.serving(entry)
                && row.unable == self.unable(source, entry);
            (scope.models || !same).then_some((*upstream, key, entry))
        };
        let stale: Vec<_> = if scope.all || scope.models {
            self.tracked.keys().filter_map(stale).collect()
        } else {
            self.affected(scope, source)
                .iter()
                .filter_map(stale)
                .collect()
        };
        for (upstream, key, entry) in stale {
            let Some(known) = self.tracked.get(&upstream) else {
                continue;
            };
            let name = Arc::clone(&known.name);
            let row = self.row(name, source, entry);
            let profile = self.profile(source, key, entry, &row);
            picker.upsert(upstream, profile);
            self.tracked.insert(upstream, row);
        }
    }

    fn row(&self, name: Arc<str>, source: &Source<'_>, entry: &entry::Upstream) -> Row {
        let group = pools::group(source.state, entry).filter(|_| self.rank_routing);
        Row {
            name,
            agent: entry.agent,
            group: group.map(Arc::from),
            unable: self.unable(source, entry),
            serving: source.serving(entry),
            vm: entry.vm,
            changed: entry.changed,
        }
    }

    fn unable(&self, source: &Source<'_>, entry: &entry::Upstream) -> Option<Unable> {
        let rank = entry.rank.filter(|_| self.rank_routing)?;
        source.unable(rank.group)
    }

    /// Returns the rows of the entries and VMs of a scope, and the other ranks of
    /// their groups: a rank that is out hinders them all.
    fn affected(&self, scope: &Scope, source: &Source<'_>) -> Vec<Upstream> {
        let entries = scope.entries.iter().filter_map(|name| self.key(name));
        let mut affected: Vec<_> = entries.collect();
        if !scope.vms.is_empty() {
            let on_changed_vm = |row: &Row| scope.vms.contains(&row.vm);
            let rows = self.tracked.iter().filter(|(_, row)| on_changed_vm(row));
            affected.extend(rows.map(|(upstream, _)| *upstream));
        }
        let groups = scope.groups.iter();
        let mut groups: HashSet<&str> = groups
            .map(|group| source.state.groups().name(*group))
            .collect();
        let rows = affected.iter().filter_map(|upstream| self.get(*upstream));
        groups.extend(rows.filter_map(|row| row.group.as_deref()));
        if !groups.is_empty() {
            let in_group = |row: &Row| {
                row.group
                    .as_deref()
                    .is_some_and(|group| groups.contains(group))
            };
            let rows = self.tracked.iter().filter(|(_, row)| in_group(row));
            affected.extend(rows.map(|(upstream, _)| *upstream));
        }
        affected
    }

    /// Sets which rows the pools use and drops the others unless calls of this
    /// entry are in flight there. Returns the dropped ones.
    pub(super) fn set_in_use(
        &mut self,
        in_use: HashSet<Upstream>,
        picker: &mut Picker,
    ) -> Vec<Upstream> {
        self.in_use = in_use;
        let rows: Vec<_> = self.tracked.keys().copied().collect();
        let idle = |upstream: &Upstream| self.drop_idle(*upstream, picker);
        rows.into_iter().filter(idle).collect()
    }

    /// Drops a row that no pool uses and that has no call in flight, and
    /// returns whether it did.
    pub(super) fn drop_idle(&mut self, upstream: Upstream, picker: &mut Picker) -> bool {
        let busy = picker
            .load(upstream)
            .is_some_and(|load| load.own_calls() > 0);
        if busy || self.in_use.contains(&upstream) {
            return false;
        }
        let Some(row) = self.tracked.remove(&upstream) else {
            return false;
        };
        self.keys.remove(&row.name);
        picker.remove(upstream);
        true
    }

    fn profile(
        &mut self,
        source: &Source<'_>,
        key: Upstream,
        entry: &entry::Upstream,
        row: &Row,
    ) -> Profile {
        Profile {
            name: hash::name(row.name.as_bytes()),
            zone: self.zone(source.state.zones().name(entry.zone)),
            leaving: false,
            out: !row.serving,
            role: match entry.role {
                note::Role::Mixed => profile::Role::Whole,
                note::Role::Prefill => profile::Role::Prefill,
                note::Role::Decode => profile::Role::Decode,
            },
            ranks: 1,
            place: entry
                .rank
                .zip(row.group.as_deref())
                .map(|(rank, group)| Place {
                    group: self.group_names.intern(group),
                    rank: rank.index as u16,
                    unable: row.unable,
                }),
            offers: self.offers(source.state, key, entry),
        }
    }

    fn offers(&mut self, state: &State, key: Upstream, entry: &entry::Upstream) -> Vec<Offer> {
        let models = entry.models.iter().map(|served| Offer {
            model: self.models.intern(state.models().name(served.model)),
            version: state.serving(key, served.model).unwrap_or_default(),
            adapters: served
                .adapters
                .iter()
                .map(|adapter| {
                    let name = state.adapters().name(*adapter);
                    profile::Adapter(self.adapters.intern(name).0)
                })
                .collect(),
        });
        let mut offers = Vec::with_capacity(entry.models.len() + 1);
        offers.extend(models);
        if let Some(service) = entry.service {
            let pool = pools::of_service(state.services().name(service));
            offers.push(Offer {
                model: self.models.intern(&pool),
                ..Offer::default()
            });
        }
        offers.shrink_to_fit();
        offers
    }
}

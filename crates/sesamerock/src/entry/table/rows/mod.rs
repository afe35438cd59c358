//! Rows of the routing table: the upstreams that this entry tracks.
//!
//! Tracked are the members of the subsets, all upstreams of a service, and
//! upstreams that left a subset while calls of this entry were in flight there.
//! The load of the latter is kept until the last call ends, so that an upstream
//! that returns to the subset before that is not taken for idle.

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
use sesamerock_route::profile::{self, LoadedModel, Place, Profile, StepBlocker};

use super::{place, pools};

/// A tracked upstream, with the properties that decide whether its row is out
/// of date.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) name: Arc<str>,
    pub(super) agent: SocketAddr,
    /// Name of the upstream's group, if it is a rank of one.
    pub(super) group: Option<Arc<str>>,
    /// Reason why the upstream's group cannot execute steps.
    unable: Option<StepBlocker>,
    /// Whether the upstream may receive new calls.
    serving: bool,
    /// Key of the upstream's VM in the control state.
    vm: Vm,
    /// Control version of the last change of the upstream.
    changed: Version,
}

/// All tracked upstreams. A key is never reused, since a call in flight may
/// still refer to an upstream that is no longer tracked.
#[derive(Debug)]
pub(super) struct Rows {
    keys: HashMap<Arc<str>, Upstream>,
    tracked: HashMap<Upstream, Row>,
    keys_issued: u32,
    /// Upstreams that the pools use. The other rows are kept only until their
    /// calls have ended.
    in_use: HashSet<Upstream>,
    zones: Names<Zone>,
    /// Names of pools, which the picker calls models.
    models: Names<Model>,
    adapters: Names<Model>,
    group_names: Names<Group>,
    /// Whether ranks are routed to as members of their group; otherwise each
    /// rank is treated as a separate upstream.
    rank_routing: bool,
}

/// Control state and VM list that rows are made from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source<'a> {
    pub(super) state: &'a State,
    /// VMs that the platform reports as leaving.
    pub(super) leaving: &'a [String],
}

/// Rows that a change of the control state may affect.
#[derive(Clone, Debug, Default)]
pub(super) struct Scope {
    /// Names of upstreams that were added or changed.
    entries: Vec<String>,
    /// VMs that were taken out of service or brought back.
    vms: Vec<Vm>,
    /// Groups whose ranks changed.
    groups: Vec<Group>,
    /// Whether all rows may be affected.
    all: bool,
    /// Whether the version of a model changed, which affects the profiles of
    /// all rows.
    models: bool,
}

impl Scope {
    /// Returns the differences between two states; `leaving` says whether the
    /// list of leaving VMs changed.
    ///
    /// Only changed rows are rebuilt: at 10,000 upstreams, rebuilding the whole
    /// table for each of 17,000 changes a day took 1.2 % of a core.
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
    /// Returns whether an upstream may receive new calls: it is in service and
    /// its VM is not leaving.
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

    /// Returns whether ranks are routed to as members of their group.
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

    /// Returns the number of interned names of pools and adapters.
    pub(super) fn name_count(&self) -> usize {
        self.models.len() + self.adapters.len()
    }

    pub(super) fn zone(&mut self, name: &str) -> Zone {
        self.zones.intern(name)
    }

    /// Returns the key of a pool, or an arbitrary key if no row serves it.
    ///
    /// The name comes from a caller and is not interned, since interned names
    /// are never removed.
    pub(super) fn model(&self, pool: &str) -> Model {
        self.models.get(pool).unwrap_or_default()
    }

    /// Tracks an upstream of the control state and returns its key in this
    /// table.
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

    /// Updates the rows of a scope to the control state.
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

    fn unable(&self, source: &Source<'_>, entry: &entry::Upstream) -> Option<StepBlocker> {
        let rank = entry.rank.filter(|_| self.rank_routing)?;
        source.unable(rank.group)
    }

    /// Returns the rows of the upstreams and VMs of a scope, and the other
    /// ranks of their groups, since a rank that is out of service stops its
    /// whole group.
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

    /// Sets the rows that the pools use and drops the others, except those
    /// where calls of this entry are in flight. Returns the dropped ones.
    pub(super) fn set_in_use(
        &mut self,
        in_use: HashSet<Upstream>,
        picker: &mut Picker,
    ) -> Vec<Upstream> {
        self.in_use = in_use;
        let rows: Vec<_> = self.tracked.keys().copied().collect();
        let drop_if_idle = |upstream: &Upstream| self.drop_idle(*upstream, picker);
        rows.into_iter().filter(drop_if_idle).collect()
    }

    /// Drops a row if no pool uses it and it has no call in flight. Returns
    /// whether it was dropped.
    pub(super) fn drop_idle(&mut self, upstream: Upstream, picker: &mut Picker) -> bool {
        let has_calls = picker
            .load(upstream)
            .is_some_and(|load| load.own_calls() > 0);
        if has_calls || self.in_use.contains(&upstream) {
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
                    blocker: row.unable,
                }),
            models: self.offers(source.state, key, entry),
        }
    }

    fn offers(
        &mut self,
        state: &State,
        key: Upstream,
        entry: &entry::Upstream,
    ) -> Vec<LoadedModel> {
        let models = entry.models.iter().map(|served| LoadedModel {
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
            offers.push(LoadedModel {
                model: self.models.intern(&pool),
                ..LoadedModel::default()
            });
        }
        offers.shrink_to_fit();
        offers
    }
}

//! Pools of upstreams that serve the same model or service, and the subset of
//! each pool that this entry uses.
//!
//! A subset is selected again only when the membership of its pool changes. The
//! members are read from the control state each time and not stored.

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::sync::Arc;

use sesamerock_base::key::{Model, Upstream, Zone};
use sesamerock_note::fold::State;
use sesamerock_note::fold::entry;
use sesamerock_note::key::Service as ServiceKey;
use sesamerock_route::hash;
use sesamerock_route::profile::Member;
use sesamerock_route::subset::{self, Subset};

/// Prefix of the pool names of services, which keeps them apart from models'
/// names.
const SERVICE_PREFIX: &str = "service:";

/// Result of selecting the subset of a pool, by keys of the control state.
#[derive(Clone, Debug, Default)]
pub(super) struct Selection {
    /// Upstreams that this entry uses.
    pub(super) subset: Vec<Upstream>,
    /// All upstreams of a service, since every entry must choose the same one
    /// for a key; empty for a model.
    pub(super) all: Vec<Upstream>,
    /// Number of upstreams in the pool; 0 if the pool no longer exists.
    pub(super) size: usize,
}

/// Returns the pool name of a service.
pub(super) fn of_service(service: &str) -> String {
    format!("{SERVICE_PREFIX}{service}")
}

/// Returns the names of an upstream's pools: those of its models and of its
/// service.
fn pool_names<'a>(
    state: &'a State,
    entry: &'a entry::Upstream,
) -> impl Iterator<Item = Cow<'a, str>> {
    let models = entry
        .models
        .iter()
        .map(|served| Cow::Borrowed(state.models().name(served.model)));
    let service = entry
        .service
        .map(|service| Cow::Owned(of_service(state.services().name(service))));
    models.chain(service)
}

/// Returns the pools whose membership differs between two states.
///
/// Shards that both states share are skipped, so the cost of a change hardly
/// grows with the number of upstreams.
pub(super) fn changed(before: &State, now: &State) -> BTreeSet<String> {
    let mut changed = BTreeSet::new();
    for (key, entry) in now.upstreams().differing(before.upstreams()) {
        let former = before.upstreams().find(now.upstreams().name(key));
        let same = former.is_some_and(|(_, former)| same_pools(before, former, now, entry));
        if !same {
            changed.extend(pool_names(now, entry).map(Cow::into_owned));
        }
    }
    for (key, entry) in before.upstreams().differing(now.upstreams()) {
        let later = now.upstreams().find(before.upstreams().name(key));
        let same = later.is_some_and(|(_, later)| same_pools(before, entry, now, later));
        if !same {
            changed.extend(pool_names(before, entry).map(Cow::into_owned));
        }
    }
    changed
}

/// Returns whether an upstream has the same zone, pools and group in two
/// states.
fn same_pools(
    before: &State,
    former: &entry::Upstream,
    now: &State,
    later: &entry::Upstream,
) -> bool {
    before.zones().name(former.zone) == now.zones().name(later.zone)
        && pool_names(before, former).eq(pool_names(now, later))
        && group(before, former) == group(now, later)
}

/// Returns the name of the group that an upstream is a rank of, if any.
pub(super) fn group<'a>(state: &'a State, entry: &entry::Upstream) -> Option<&'a str> {
    entry.rank.map(|rank| state.groups().name(rank.group))
}

/// A pool whose subset is being selected, with its key in the control state.
#[derive(Debug)]
struct Pool {
    name: String,
    model: Option<Model>,
    service: Option<ServiceKey>,
    members: Vec<Member>,
}

impl Pool {
    fn new(state: &State, name: String) -> Self {
        let service = name.strip_prefix(SERVICE_PREFIX);
        Self {
            model: state.models().key(&name).filter(|_| service.is_none()),
            service: service.and_then(|service| state.services().key(service)),
            members: Vec::new(),
            name,
        }
    }

    /// Returns whether an upstream belongs to the pool.
    fn accepts(&self, entry: &entry::Upstream) -> bool {
        let model = self
            .model
            .is_some_and(|model| entry.serves(model).is_some());
        model || (self.service.is_some() && self.service == entry.service)
    }
}

/// Selects the subsets of pools. This reads all upstreams, so it is called only
/// for changes of membership.
pub(super) fn select(
    state: &State,
    pools: BTreeSet<String>,
    mut zone: impl FnMut(&str) -> Zone,
    selector: &Selector<'_>,
) -> Vec<(Arc<str>, Selection)> {
    let pools = pools.into_iter().map(|name| Pool::new(state, name));
    let mut pools: Vec<_> = pools.collect();
    for (key, entry) in state.upstreams().iter() {
        for pool in pools.iter_mut().filter(|pool| pool.accepts(entry)) {
            let name = state.upstreams().name(key);
            pool.members.push(Member {
                upstream: key,
                name: hash::name(name.as_bytes()),
                zone: zone(state.zones().name(entry.zone)),
                group: entry
                    .rank
                    .filter(|_| selector.rank_routing)
                    .map(|rank| hash::name(state.groups().name(rank.group).as_bytes())),
            });
        }
    }
    let select = |pool: Pool| {
        let selection = selection(&pool, selector);
        (Arc::from(pool.name), selection)
    };
    pools.into_iter().map(select).collect()
}

/// The entry that selects. Its subsets depend on its name and on the number of
/// entries that share a pool.
#[derive(Clone, Copy, Debug)]
pub(super) struct Selector<'a> {
    /// Node name of the entry.
    pub(super) entry: &'a str,
    /// Number of entries that have announced themselves.
    pub(super) entry_count: usize,
    /// Whether the ranks of a group are selected together.
    pub(super) rank_routing: bool,
}

fn selection(pool: &Pool, selector: &Selector<'_>) -> Selection {
    let hash = hash::name(format!("{}/{}", selector.entry, pool.name));
    let settings = subset::Settings::default();
    let mut subset = Subset::default();
    subset.update(hash, &pool.members, selector.entry_count, settings);
    let all = pool.members.iter().filter(|_| pool.service.is_some());
    Selection {
        subset: subset.members().to_vec(),
        all: all.map(|member| member.upstream).collect(),
        size: pool.members.len(),
    }
}

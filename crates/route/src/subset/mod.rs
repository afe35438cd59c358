//! Selects a bounded subset of the upstreams of a model for one entry.
//!
//! With thousands of upstreams an entry cannot know the load of each: it sends
//! too few requests to keep their reports fresh. Each entry therefore uses only
//! some of the upstreams, selected by rendezvous hashing, so that a change of
//! membership changes few subsets. Each zone is represented by its share of the
//! pool, rounded at random: every upstream has the same expected share, and an
//! entry keeps upstreams in nearly all zones when one is taken out of service.
//!
//! A group of ranks is selected as a whole. Ranks selected individually would
//! differ in their number of entries and therefore in their load; the rank with
//! the most entries would permanently lengthen the steps of its group. An entry
//! that uses all ranks also sees which of them the others wait for.

use sesamerock_base::key::{Upstream, Zone};

use crate::hash;
use crate::profile::Member;

/// Bounds on the size of a subset.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Smallest subset; a pool of at most this size is used whole.
    pub min_size: usize,
    /// Expected number of entries that use each upstream.
    ///
    /// The standard deviation is about its square root, so at 32 nearly all
    /// upstreams have between half and one and a half times as many entries.
    pub entries_per_upstream: usize,
    /// Fewest groups of ranks in a subset, so that another group is available if
    /// one cannot step.
    pub min_groups: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            min_size: 32,
            entries_per_upstream: 32,
            min_groups: 4,
        }
    }
}

/// The upstreams of one model that one entry uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subset {
    members: Vec<Upstream>,
}

/// What a change of membership did to a subset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Upstreams that are new in the subset.
    pub added: Vec<Upstream>,
    /// Upstreams that are no longer in the subset.
    pub removed: Vec<Upstream>,
}

impl Subset {
    /// Returns the upstreams, in ascending order of their keys.
    pub fn members(&self) -> &[Upstream] {
        &self.members
    }

    /// Recomputes the subset from the pool and returns what changed.
    ///
    /// `seed` is a hash of the entry's name and the model's name. `entries` is
    /// the approximate number of entries that share the pool.
    pub fn update(
        &mut self,
        seed: u64,
        pool: &[Member],
        entries: usize,
        settings: Settings,
    ) -> Change {
        let singles: Vec<_> = pool
            .iter()
            .filter(|member| member.group.is_none())
            .copied()
            .collect();
        let group_members = groups_as_members(pool);
        let min_size = settings.min_groups;
        let groups = size(
            group_members.len(),
            entries,
            Settings {
                min_size,
                ..settings
            },
        );
        let mut chosen = select(seed, &group_members, groups);
        top_up(seed, &group_members, groups.min(MIN_GROUPS), &mut chosen);
        let chosen: Vec<_> = chosen
            .iter()
            .map(|index| group_members[index.0 as usize].name)
            .collect();
        let ranks = pool
            .iter()
            .filter(|member| member.group.is_some_and(|group| chosen.contains(&group)));
        let mut members = select(seed, &singles, size(singles.len(), entries, settings));
        members.extend(ranks.map(|member| member.upstream));
        members.sort_unstable();
        let change = Change {
            added: difference(&members, &self.members),
            removed: difference(&self.members, &members),
        };
        self.members = members;
        change
    }
}

/// Returns the size of a subset.
///
/// The number of entries is rounded down to a power of two; otherwise every
/// change of the count would add or remove members.
pub fn size(pool: usize, entries: usize, settings: Settings) -> usize {
    let entries = 1 << entries.max(1).ilog2();
    let covering = (pool * settings.entries_per_upstream).div_ceil(entries);
    covering.max(settings.min_size).min(pool)
}

/// Fewest groups in a subset, if the pool has as many: the rounding by zone may
/// select no group in any zone if there are few groups.
const MIN_GROUPS: usize = 2;

/// Returns each group of a pool as one member. Its key is the index of the group,
/// its zone that of its first rank.
fn groups_as_members(pool: &[Member]) -> Vec<Member> {
    let mut ranks: Vec<_> = pool
        .iter()
        .filter_map(|member| Some((member.group?, member.upstream, member.zone)))
        .collect();
    ranks.sort_unstable();
    let groups = ranks.chunk_by(|left, right| left.0 == right.0);
    let group_members = groups.zip(0..).map(|(ranks, index)| Member {
        upstream: Upstream(index),
        name: ranks[0].0,
        zone: ranks[0].2,
        group: Some(ranks[0].0),
    });
    group_members.collect()
}

/// Adds the members with the highest rendezvous weight, regardless of zone, until
/// there are at least `min_count`.
fn top_up(seed: u64, pool: &[Member], min_count: usize, members: &mut Vec<Upstream>) {
    let mut rest: Vec<_> = pool
        .iter()
        .filter(|member| !members.contains(&member.upstream))
        .map(|member| {
            (
                std::cmp::Reverse(hash::mix(seed, member.name)),
                member.upstream,
            )
        })
        .collect();
    rest.sort_unstable();
    let missing = min_count.saturating_sub(members.len());
    members.extend(rest.into_iter().take(missing).map(|(_, member)| member));
}

fn select(seed: u64, pool: &[Member], size: usize) -> Vec<Upstream> {
    let mut ranked: Vec<_> = pool
        .iter()
        .map(|m| (m.zone, hash::mix(seed, m.name), m))
        .collect();
    ranked.sort_unstable_by_key(|(zone, weight, member)| {
        (*zone, std::cmp::Reverse(*weight), member.name)
    });
    let mut members = Vec::with_capacity(size);
    for zone in ranked.chunk_by(|left, right| left.0 == right.0) {
        let count = quota(seed, zone[0].0, zone.len() * size, pool.len());
        members.extend(
            zone.iter()
                .take(count)
                .map(|(_, _, member)| member.upstream),
        );
    }
    members.sort_unstable();
    members
}

/// Returns how many of a zone's upstreams are in the subset: the quotient of
/// `share` and `pool`, rounded up with a probability equal to its fraction.
///
/// The rounding depends only on the seed and the zone, so that a change in one
/// zone rarely changes the selection in another. A subset may exceed its size by
/// less than the number of zones.
fn quota(seed: u64, zone: Zone, share: usize, pool: usize) -> usize {
    // Scaled to the pool size; a remainder modulo the size would be an unrelated
    // number as soon as the pool grows by one.
    let chance = ((hash::mix(seed, u64::from(zone.0)) >> 32) * pool as u64) >> 32;
    share / pool + usize::from(chance < (share % pool) as u64)
}

fn difference(left: &[Upstream], right: &[Upstream]) -> Vec<Upstream> {
    let missing = |member: &&Upstream| right.binary_search(member).is_err();
    left.iter().filter(missing).copied().collect()
}

/// Returns the number of members in each zone, for the log line written when a
/// subset changes.
pub fn zones(pool: &[Member], subset: &Subset) -> Vec<(Zone, usize)> {
    let mut zones: Vec<_> = pool
        .iter()
        .filter(|member| subset.members.binary_search(&member.upstream).is_ok())
        .map(|member| member.zone)
        .collect();
    zones.sort_unstable();
    zones
        .chunk_by(|left, right| left == right)
        .map(|zone| (zone[0], zone.len()))
        .collect()
}

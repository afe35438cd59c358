//! A bounded subset of the upstreams of a model for one entry.
//!
//! With thousands of upstreams an entry cannot know the load of each: it has
//! too few requests to refresh the reports. Each entry therefore talks to a few
//! upstreams, chosen by rendezvous hashing, so that a change of membership
//! changes little. Each zone gets its share, rounded at random: the expected
//! share of every upstream is the same, and an entry keeps upstreams in nearly
//! all zones when one is taken out of service.
//!
//! A group of ranks is selected as a whole. Ranks selected one by one would
//! differ in their number of entries, and with it in their load; the rank with
//! the most would make the steps of its group longer for good. An entry that
//! knows all ranks also knows which of them the others wait for.

use sesamerock_base::key::{Upstream, Zone};

use crate::hash;
use crate::profile::Member;

/// Bounds of a subset.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Smallest subset; pools up to this size are included whole.
    pub least: usize,
    /// Expected number of entries for each upstream.
    ///
    /// The number varies by its square root, so at 32 nearly all upstreams have
    /// between half and one and a half times as many entries.
    pub cover: usize,
    /// Fewest groups of ranks, so that there is another group if one cannot step.
    pub groups: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            least: 32,
            cover: 32,
            groups: 4,
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

    /// Selects anew from the pool and returns what changed.
    ///
    /// `seat` is a hash of the entry's name and the model's name. `entries` is
    /// the roughly known number of entries that share the pool.
    pub fn update(
        &mut self,
        seat: u64,
        pool: &[Member],
        entries: usize,
        settings: Settings,
    ) -> Change {
        let singles: Vec<_> = pool
            .iter()
            .filter(|member| member.group.is_none())
            .copied()
            .collect();
        let whole = wholes(pool);
        let least = settings.groups;
        let groups = size(whole.len(), entries, Settings { least, ..settings });
        let mut chosen = select(seat, &whole, groups);
        top_up(seat, &whole, groups.min(LEAST_GROUPS), &mut chosen);
        let chosen: Vec<_> = chosen
            .iter()
            .map(|index| whole[index.0 as usize].name)
            .collect();
        let ranks = pool
            .iter()
            .filter(|member| member.group.is_some_and(|group| chosen.contains(&group)));
        let mut members = select(seat, &singles, size(singles.len(), entries, settings));
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
/// The number of entries is rounded down to a power of two, since a size that
/// followed each change of the count would add and remove members all day.
pub fn size(pool: usize, entries: usize, settings: Settings) -> usize {
    let entries = 1 << entries.max(1).ilog2();
    let covering = (pool * settings.cover).div_ceil(entries);
    covering.max(settings.least).min(pool)
}

/// Groups that a subset has at least, if the pool has them: the rounding by zone
/// may leave out all zones of a few.
const LEAST_GROUPS: usize = 2;

/// Returns the groups of a pool as members. The key of each is its index, its
/// zone that of its first rank.
fn wholes(pool: &[Member]) -> Vec<Member> {
    let mut ranks: Vec<_> = pool
        .iter()
        .filter_map(|member| Some((member.group?, member.upstream, member.zone)))
        .collect();
    ranks.sort_unstable();
    let groups = ranks.chunk_by(|left, right| left.0 == right.0);
    let whole = groups.zip(0..).map(|(ranks, index)| Member {
        upstream: Upstream(index),
        name: ranks[0].0,
        zone: ranks[0].2,
        group: Some(ranks[0].0),
    });
    whole.collect()
}

/// Adds the members that rank first in all zones until there are `least`.
fn top_up(seat: u64, pool: &[Member], least: usize, members: &mut Vec<Upstream>) {
    let mut rest: Vec<_> = pool
        .iter()
        .filter(|member| !members.contains(&member.upstream))
        .map(|member| {
            (
                std::cmp::Reverse(hash::mix(seat, member.name)),
                member.upstream,
            )
        })
        .collect();
    rest.sort_unstable();
    let missing = least.saturating_sub(members.len());
    members.extend(rest.into_iter().take(missing).map(|(_, member)| member));
}

fn select(seat: u64, pool: &[Member], size: usize) -> Vec<Upstream> {
    let mut ranked: Vec<_> = pool
        .iter()
        .map(|m| (m.zone, hash::mix(seat, m.name), m))
        .collect();
    ranked.sort_unstable_by_key(|(zone, weight, member)| {
        (*zone, std::cmp::Reverse(*weight), member.name)
    });
    let mut members = Vec::with_capacity(size);
    for zone in ranked.chunk_by(|left, right| left.0 == right.0) {
        let count = quota(seat, zone[0].0, zone.len() * size, pool.len());
        members.extend(
            zone.iter()
                .take(count)
                .map(|(_, _, member)| member.upstream),
        );
    }
    members.sort_unstable();
    members
}

/// Returns how many of a zone's upstreams are in the subset: a fraction, rounded
/// up with the probability of its remainder.
///
/// The rounding depends on the seat and the zone alone, so that a change in one
/// zone hardly ever changes what is selected in another. The subset may exceed
/// its size by a part of the number of zones.
fn quota(seat: u64, zone: Zone, share: usize, pool: usize) -> usize {
    // Scaled rather than taken modulo the size, which would be another number
    // altogether for a pool that is larger by one.
    let chance = ((hash::mix(seat, u64::from(zone.0)) >> 32) * pool as u64) >> 32;
    share / pool + usize::from(chance < (share % pool) as u64)
}

fn difference(left: &[Upstream], right: &[Upstream]) -> Vec<Upstream> {
    let missing = |member: &&Upstream| right.binary_search(member).is_err();
    left.iter().filter(missing).copied().collect()
}

/// Returns the number of members in each zone, for the log line of a change.
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

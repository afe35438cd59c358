//! Tests of the coverage and the stability of subsets.

use sesamerock_base::key::{Upstream, Zone};
use sesamerock_route::hash;
use sesamerock_route::profile::Member;
use sesamerock_route::subset::{Settings, Subset, size, zones};

fn pool(count: u32) -> Vec<Member> {
    let member = |index| Member {
        group: None,
        upstream: Upstream(index),
        name: hash::name(format!("server-{index}")),
        zone: Zone(index % 3),
    };
    (0..count).map(member).collect()
}

fn subset(entry: u64, pool: &[Member], entries: usize) -> Subset {
    let mut subset = Subset::default();
    subset.update(hash::mix(entry, 17), pool, entries, Settings::default());
    subset
}

/// An upstream in no subset would be idle, and one in too many would be
/// overloaded.
#[test]
fn all_upstreams_are_covered_evenly() {
    for (count, entries) in [(12, 4), (100, 4), (600, 970), (100, 970), (600, 64)] {
        let pool = pool(count);
        let mut counts = vec![0_usize; pool.len()];
        for entry in 0..entries {
            for member in subset(entry as u64, &pool, entries).members() {
                counts[member.0 as usize] += 1;
            }
        }
        let mean = counts.iter().sum::<usize>() as f64 / counts.len() as f64;
        let most = counts.iter().max().copied().unwrap_or_default() as f64;
        let least = counts.iter().min().copied().unwrap_or_default() as f64;
        assert!(most <= 1.5 * mean, "{count} {entries}: {most} of {mean}");
        assert!(least >= 0.5 * mean, "{count} {entries}: {least} of {mean}");
    }
}

/// With few entries the subsets must contain the whole pool; with many they must
/// stay small, or reports would be stale.
#[test]
fn size_follows_the_number_of_entries() {
    let settings = Settings::default();
    assert_eq!(size(12, 4, settings), 12);
    assert_eq!(size(600, 4, settings), 600);
    assert_eq!(size(600, 970, settings), 38);
    assert_eq!(size(600, 1_000, settings), size(600, 970, settings));
    assert_eq!(size(0, 0, settings), 0);
}

/// A restart of one of many upstreams must not make all entries open new
/// connections.
#[test]
fn membership_changes_little() {
    let mut pool = pool(600);
    let mut subsets: Vec<_> = (0..200).map(|entry| subset(entry, &pool, 970)).collect();
    let removed_member = pool.remove(77);
    let mut changes = 0;
    for (entry, subset) in subsets.iter_mut().enumerate() {
        let had = subset.members().contains(&removed_member.upstream);
        let change = subset.update(hash::mix(entry as u64, 17), &pool, 970, Settings::default());
        assert_eq!(change.removed.contains(&removed_member.upstream), had);
        changes += change.removed.len() + change.added.len();
    }
    // The removed upstream is in about 13 of the 200 subsets of 38; each
    // replaces it.
    assert!(changes < 60, "{changes}");
}

/// An entry must keep upstreams when a zone is taken out of service.
#[test]
fn every_zone_has_its_share() {
    let pool = pool(600);
    for entry in 0..50 {
        let subset = subset(entry, &pool, 970);
        for (zone, count) in zones(&pool, &subset) {
            assert!((12..=13).contains(&count), "{zone:?} {count}");
        }
    }
}

/// Ranks selected individually would differ in their number of entries, and the
/// one with the most would lengthen the steps of its group. An entry with only one
/// group would have no alternative when that group cannot step.
#[test]
fn groups_are_selected_as_a_whole_and_each_entry_has_two() {
    const RANKS: u32 = 8;
    const GROUPS: u32 = 9;
    let member = |index: u32| Member {
        upstream: Upstream(index),
        name: hash::name(index.to_le_bytes()),
        zone: Zone(index / RANKS),
        group: (index < RANKS * GROUPS).then(|| hash::name((index / RANKS).to_le_bytes())),
    };
    // A few single upstreams are in the same pool.
    let pool: Vec<_> = (0..RANKS * GROUPS + 5).map(member).collect();
    let mut covered = vec![0; pool.len()];
    for entry in 0..970 {
        let mut subset = Subset::default();
        subset.update(hash::mix(entry, 1), &pool, 970, Settings::default());
        let mut ranks = vec![0; GROUPS as usize];
        for upstream in subset.members() {
            covered[upstream.0 as usize] += 1;
            if upstream.0 < RANKS * GROUPS {
                ranks[(upstream.0 / RANKS) as usize] += 1;
            }
        }
        assert!(
            ranks.iter().all(|count| [0, RANKS].contains(count)),
            "{ranks:?}"
        );
        assert!(
            ranks.iter().filter(|count| **count > 0).count() >= 2,
            "{ranks:?}"
        );
    }
    for group in covered.chunks_exact(RANKS as usize) {
        assert!(group.iter().all(|entries| *entries == group[0]));
    }
    let mean = 970.0 * 4.0 / f64::from(GROUPS);
    let even = |entries: &&usize| (0.5..1.5).contains(&(**entries as f64 / mean));
    let ranks = covered[..(RANKS * GROUPS) as usize].iter();
    assert_eq!(
        ranks.clone().filter(even).count(),
        ranks.len(),
        "{covered:?}"
    );
}

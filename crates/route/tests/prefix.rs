//! Tests of the index of cached prompt prefixes.

use quickcheck::QuickCheck;
use sesamerock_base::key::Upstream;
use sesamerock_route::hash;
use sesamerock_route::prefix::{Action, Event, EventOutcome, Index, Settings};

const UP: Upstream = Upstream(3);

fn event(sequence: u64, action: Action) -> Event {
    Event {
        incarnation: 1,
        sequence,
        action,
    }
}

fn stored(blocks: &[u64]) -> Action {
    Action::Stored(blocks.to_vec())
}

/// Matching must stop at the first block that is not cached.
#[test]
fn matches_the_longest_cached_prefix() {
    let mut index = Index::default();
    assert_eq!(
        index.apply_event(UP, event(1, stored(&[1, 2, 4]))),
        EventOutcome::Applied
    );
    assert_eq!(index.matched(UP, &[1, 2, 3, 4]), 32);
    assert_eq!(index.matched(UP, &[9, 1]), 0);
    assert_eq!(index.matched(Upstream(4), &[1]), 0);
    assert_eq!(
        index.apply_event(UP, event(2, Action::Evicted(vec![2]))),
        EventOutcome::Applied
    );
    assert_eq!(index.matched(UP, &[1, 2]), 16);
    assert_eq!(
        index.apply_event(UP, event(3, Action::Cleared)),
        EventOutcome::Applied
    );
    assert_eq!(index.matched(UP, &[1]), 0);
}

/// After a gap an eviction may have been missed, so all earlier blocks must be
/// dropped; events after the gap must apply.
#[test]
fn gap_makes_the_cache_unknown() {
    let mut index = Index::default();
    index.apply_event(UP, event(1, stored(&[1, 2])));
    assert_eq!(
        index.apply_event(UP, event(4, stored(&[5]))),
        EventOutcome::Gap(2)
    );
    assert_eq!(index.matched(UP, &[1, 2]), 0);
    assert_eq!(index.matched(UP, &[5]), 16);
    assert_eq!(
        index.apply_event(UP, event(2, Action::Evicted(vec![5]))),
        EventOutcome::Old
    );
    assert_eq!(
        index.apply_event(UP, event(4, stored(&[6]))),
        EventOutcome::Old
    );
    assert_eq!((index.matched(UP, &[5]), index.matched(UP, &[6])), (16, 0));
}

/// A restarted engine has an empty cache and restarts its event numbers; late
/// events of the earlier incarnation must be ignored.
#[test]
fn restart_empties_the_cache() {
    let mut index = Index::default();
    index.apply_event(UP, event(70, stored(&[1])));
    index.assume_cached(UP, &[2]);
    let restarted = Event {
        incarnation: 2,
        ..event(1, stored(&[3]))
    };
    assert_eq!(index.apply_event(UP, restarted), EventOutcome::Applied);
    assert_eq!(
        index.apply_event(UP, event(71, stored(&[1]))),
        EventOutcome::Old
    );
    let matched = [1, 2, 3].map(|block| index.matched(UP, &[block]));
    assert_eq!(matched, [0, 0, 16]);
}

/// The prompt of a request that was just sent must match before its event arrives,
/// or a burst of requests with one prefix would be spread over all upstreams.
#[test]
fn sent_prompts_are_expected() {
    let mut index = Index::default();
    index.assume_cached(UP, &[1, 2]);
    assert_eq!(index.matched(UP, &[1, 2, 3]), 32);
    index.remove(UP);
    assert!(index.is_empty());
}

/// Memory must stay within the bound for any sequence of events, and the blocks
/// stored last must be kept.
#[test]
fn memory_is_bounded() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn holds(upstreams: u8, blocks: Vec<u64>) -> bool {
        let settings = Settings {
            max_blocks: 64,
            block_tokens: 16,
            ..Settings::default()
        };
        let mut index = Index::new(settings);
        let upstreams = u64::from(upstreams % 6) + 1;
        for (step, block) in blocks.iter().chain([&7]).enumerate() {
            let upstream = Upstream((step as u64 % upstreams) as u32);
            let sequence = step as u64 / upstreams;
            index.apply_event(upstream, event(sequence, stored(&[*block])));
            if index.len() > 64 || index.matched(upstream, &[*block]) != 16 {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(holds as fn(u8, Vec<u64>) -> bool);
}

/// Equal block hashes must mean equal prefixes, not only equal blocks.
#[test]
fn chained_hashes_cover_the_whole_prefix() {
    let one = hash::chain(b"aaaabbbbcc", 4);
    let other = hash::chain(b"xxxxbbbb", 4);
    assert_eq!((one.len(), other.len()), (2, 2));
    assert_ne!(one[1], other[1]);
    assert_eq!(hash::chain(b"aaaabbbbdddd", 4)[..2], one);
}

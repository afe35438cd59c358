//! Guards what entries are told of an engine's prefix cache.

use std::collections::{BTreeSet, HashSet};

use quickcheck::QuickCheck;
use sesamerock_base::key::Upstream;
use sesamerock_base::time::Moment;
use sesamerock_route::digest::{
    Action, Cursor, DIGEST_LIMIT, Digest, ResetReason, Settings, Summary,
};
use sesamerock_route::digest::{anchor, anchors};
use sesamerock_route::prefix::{self, DigestOutcome, Index};

const UP: Upstream = Upstream(3);
const NOW: Moment = Moment(0);

fn summary() -> Summary {
    let mut summary = Summary::new(Settings::default(), 7);
    assert_eq!(summary.set_incarnation(1), None);
    summary
}

fn stored(blocks: &[u64]) -> Action {
    Action::Stored {
        depth: 0,
        blocks: blocks.to_vec(),
    }
}

fn index() -> Index {
    Index::new(prefix::Settings {
        block_tokens: 1,
        anchors_only: true,
        ..prefix::Settings::default()
    })
}

/// Tells an index what it does not know yet.
fn tell(summary: &Summary, index: &mut Index) -> Option<DigestOutcome> {
    let digest = summary.digest(index.cursor(UP))?;
    Some(index.apply_digest(UP, &digest, NOW))
}

/// The next turn of a conversation must find the whole turn before it, and
/// another conversation with the same beginning that beginning.
#[test]
fn anchors_find_the_turn_before() {
    let (mut summary, mut index) = (summary(), index());
    let prompt: Vec<u64> = (100..111).collect();
    summary.apply_event(1, &stored(&prompt));
    assert_eq!(tell(&summary, &mut index), Some(DigestOutcome::Replaced));
    let next: Vec<u64> = (100..117).collect();
    assert_eq!(index.matched(UP, &next), 11);
    let other: Vec<u64> = (100..108).chain(500..505).collect();
    assert_eq!(index.matched(UP, &other), 8);
    assert_eq!(index.matched(UP, &[500, 501]), 0);
    assert_eq!(tell(&summary, &mut index), None, "nothing is told twice");
}

/// A digest must hold few of the blocks, or it would not be small.
#[test]
fn few_blocks_are_anchors() {
    let blocks: Vec<u64> = (0..1_000).collect();
    assert_eq!(anchors(0, &blocks).count(), 11);
    assert_eq!(anchors(600, &blocks[600..620]).count(), 1);
}

/// An evicted block must not match, whether it was told of or only expected.
#[test]
fn eviction_ends_a_match() {
    let (mut summary, mut index) = (summary(), index());
    tell(&summary, &mut index);
    index.expect(UP, &[1, 2, 3]);
    assert_eq!(index.matched(UP, &[1, 2, 3]), 3);
    summary.apply_event(1, &stored(&[1, 2, 3]));
    summary.apply_event(2, &Action::Evicted(vec![3]));
    assert_eq!(tell(&summary, &mut index), Some(DigestOutcome::Applied));
    assert_eq!(index.matched(UP, &[1, 2, 3]), 2);
}

/// After a gap, a restart, an event that cannot be read, silence or a cleared
/// cache, nothing told before may match; what comes after does.
#[test]
fn lost_certainty_replaces_what_was_told() {
    let faults: [fn(&mut Summary) -> Option<ResetReason>; 5] = [
        |summary| summary.apply_event(5, &stored(&[9])),
        |summary| {
            let why = summary.set_incarnation(2);
            summary.apply_event(1, &stored(&[9]));
            why
        },
        |summary| {
            let why = summary.skip_malformed(None);
            summary.apply_event(3, &stored(&[9]));
            why
        },
        |summary| {
            let why = summary.reset(ResetReason::Silent);
            summary.apply_event(2, &stored(&[9]));
            Some(why)
        },
        |summary| {
            let why = summary.apply_event(2, &Action::Cleared);
            summary.apply_event(3, &stored(&[9]));
            why
        },
    ];
    let reasons = faults.map(|fault| {
        let (mut summary, mut index) = (summary(), index());
        summary.apply_event(1, &stored(&[1, 2]));
        tell(&summary, &mut index);
        index.expect(UP, &[7]);
        let why = fault(&mut summary).expect("certainty is lost");
        assert_eq!(tell(&summary, &mut index), Some(DigestOutcome::Replaced));
        let matched = [1, 2, 7, 9].map(|block| index.matched(UP, &[block]));
        assert_eq!(matched, [0, 0, 0, 1], "{why:?}");
        why.as_str()
    });
    assert_eq!(
        reasons,
        ["gap", "restart", "malformed", "silent", "cleared"]
    );
}

/// Events that come twice or late after a gap must change nothing.
#[test]
fn old_events_are_ignored() {
    let mut summary = summary();
    summary.apply_event(3, &stored(&[1]));
    assert_eq!(summary.apply_event(2, &Action::Evicted(vec![1])), None);
    assert_eq!(summary.skip_malformed(Some(3)), None);
    assert_eq!((summary.len(), summary.last_sequence()), (1, 3));
}

/// Digests that overtake each other, come from a replaced agent or are not
/// sound must not lead back to what no longer holds.
#[test]
fn late_and_unsound_digests_are_ignored() {
    let (mut summary, mut index) = (summary(), index());
    summary.apply_event(1, &stored(&[1]));
    let early = summary.digest(Cursor::default()).expect("news");
    summary.apply_event(2, &Action::Evicted(vec![1]));
    tell(&summary, &mut index);
    assert_eq!(index.apply_digest(UP, &early, NOW), DigestOutcome::Ignored);
    let other = Digest {
        epoch: 99,
        from: 1,
        to: 9,
        ..Digest::default()
    };
    let reversed = Digest {
        epoch: 7,
        from: 9,
        ..Digest::default()
    };
    let huge = Digest {
        epoch: 99,
        to: 1,
        stored: vec![0; DIGEST_LIMIT + 1],
        ..Digest::default()
    };
    for unsound in [other, reversed, huge, Digest::default()] {
        assert_eq!(
            index.apply_digest(UP, &unsound, NOW),
            DigestOutcome::Ignored
        );
    }
    assert_eq!(index.matched(UP, &[1]), 0);
    let replaced = Summary::new(Settings::default(), 1_000);
    assert_eq!(tell(&replaced, &mut index), Some(DigestOutcome::Replaced));
}

/// An expected prompt that no event confirms must be forgotten while digests
/// arrive: the engine may have evicted it in a gap.
#[test]
fn unconfirmed_prompts_are_forgotten() {
    let (mut summary, mut index) = (summary(), index());
    tell(&summary, &mut index);
    index.expect(UP, &[1]);
    for (sequence, second) in [(1, 1), (2, 12), (3, 24)] {
        assert_eq!(index.matched(UP, &[1]), 1, "before second {second}");
        summary.apply_event(sequence, &stored(&[100 + sequence]));
        let digest = summary.digest(index.cursor(UP)).expect("news");
        let learned = index.apply_digest(UP, &digest, Moment::from_millis(second * 1_000));
        assert_eq!(learned, DigestOutcome::Applied);
    }
    assert_eq!(index.matched(UP, &[1]), 0);
}

/// Whatever events come and however seldom an entry hears, what it was told last
/// must be in the cache, and digests and memory must stay within their bounds.
#[test]
fn an_entry_never_knows_more_than_the_cache_holds() {
    fn holds(steps: Vec<(u8, u8)>, wide: bool) -> bool {
        // A wide digest shows what an entry misses that is behind the memory.
        let settings = if wide {
            Settings {
                max_anchors: 4,
                max_digest_anchors: 20,
            }
        } else {
            Settings {
                max_anchors: 12,
                max_digest_anchors: 5,
            }
        };
        let mut summary = Summary::new(settings, 1);
        summary.set_incarnation(1);
        let mut held = BTreeSet::new();
        let mut indexes = [index(), index()];
        let mut sequence = 0;
        for (kind, block) in steps {
            let block = u64::from(block % 32);
            sequence += 1;
            match kind % 8 {
                0..=3 => {
                    held.insert(block);
                    summary.apply_event(sequence, &stored(&[block]));
                }
                4 | 5 => {
                    held.remove(&block);
                    summary.apply_event(sequence, &Action::Evicted(vec![block]));
                }
                // This event is lost.
                6 if block < 4 => {
                    held.remove(&block);
                }
                _ => {
                    sequence -= 1;
                    let index = &mut indexes[usize::from(block % 2 == 0)];
                    let digest = summary.digest(index.cursor(UP));
                    let size = digest.as_ref().map_or(0, |digest| {
                        index.apply_digest(UP, digest, NOW);
                        digest.stored.len() + digest.evicted.len()
                    });
                    let told = (0..32).filter(|block| index.matched(UP, &[*block]) > 0);
                    let wrong = told.filter(|block| !held.contains(block)).count();
                    // A loss shows with the next event only.
                    let seen = summary.last_sequence() == sequence;
                    if size > settings.max_digest_anchors || (seen && wrong > 0) {
                        return false;
                    }
                }
            }
            if summary.len() > settings.max_anchors {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .tests(3_000)
        .quickcheck(holds as fn(Vec<(u8, u8)>, bool) -> bool);
}

/// Anchors are cut to 32 bits; they must still tell blocks apart.
#[test]
fn anchors_differ() {
    let blocks = (0..10_000_u64).map(|block| sesamerock_route::hash::mix(block, 1));
    let distinct: HashSet<_> = blocks.map(anchor).collect();
    assert!(distinct.len() >= 9_999, "{}", distinct.len());
}

//! Tests of the digests of an engine's prefix cache that entries receive.

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

/// Sends an index the changes that it does not know yet.
fn send_digest(summary: &Summary, index: &mut Index) -> Option<DigestOutcome> {
    let digest = summary.digest(index.cursor(UP))?;
    Some(index.apply_digest(UP, &digest, NOW))
}

/// The next turn of a conversation must match the whole previous turn, and another
/// conversation with the same beginning must match that beginning.
#[test]
fn anchors_match_the_previous_turn() {
    let (mut summary, mut index) = (summary(), index());
    let prompt: Vec<u64> = (100..111).collect();
    summary.apply_event(1, &stored(&prompt));
    assert_eq!(
        send_digest(&summary, &mut index),
        Some(DigestOutcome::Replaced)
    );
    let next: Vec<u64> = (100..117).collect();
    assert_eq!(index.matched(UP, &next), 11);
    let other: Vec<u64> = (100..108).chain(500..505).collect();
    assert_eq!(index.matched(UP, &other), 8);
    assert_eq!(index.matched(UP, &[500, 501]), 0);
    assert_eq!(
        send_digest(&summary, &mut index),
        None,
        "no change is sent twice"
    );
}

/// Only a few blocks of a prompt may be anchors, so that digests are small.
#[test]
fn few_blocks_are_anchors() {
    let blocks: Vec<u64> = (0..1_000).collect();
    assert_eq!(anchors(0, &blocks).count(), 11);
    assert_eq!(anchors(600, &blocks[600..620]).count(), 1);
}

/// An evicted block must not match, whether it was in a digest or only expected.
#[test]
fn eviction_ends_a_match() {
    let (mut summary, mut index) = (summary(), index());
    send_digest(&summary, &mut index);
    index.assume_cached(UP, &[1, 2, 3]);
    assert_eq!(index.matched(UP, &[1, 2, 3]), 3);
    summary.apply_event(1, &stored(&[1, 2, 3]));
    summary.apply_event(2, &Action::Evicted(vec![3]));
    assert_eq!(
        send_digest(&summary, &mut index),
        Some(DigestOutcome::Applied)
    );
    assert_eq!(index.matched(UP, &[1, 2, 3]), 2);
}

/// After a gap, a restart, a malformed event, a timeout or a cleared cache, blocks
/// of earlier digests must not match, and later ones must.
#[test]
fn reset_replaces_the_known_blocks() {
    let faults: [fn(&mut Summary) -> Option<ResetReason>; 5] = [
        |summary| summary.apply_event(5, &stored(&[9])),
        |summary| {
            let reason = summary.set_incarnation(2);
            summary.apply_event(1, &stored(&[9]));
            reason
        },
        |summary| {
            let reason = summary.skip_malformed(None);
            summary.apply_event(3, &stored(&[9]));
            reason
        },
        |summary| {
            let reason = summary.reset(ResetReason::Silent);
            summary.apply_event(2, &stored(&[9]));
            Some(reason)
        },
        |summary| {
            let reason = summary.apply_event(2, &Action::Cleared);
            summary.apply_event(3, &stored(&[9]));
            reason
        },
    ];
    let reasons = faults.map(|fault| {
        let (mut summary, mut index) = (summary(), index());
        summary.apply_event(1, &stored(&[1, 2]));
        send_digest(&summary, &mut index);
        index.assume_cached(UP, &[7]);
        let reason = fault(&mut summary).expect("a reset");
        assert_eq!(
            send_digest(&summary, &mut index),
            Some(DigestOutcome::Replaced)
        );
        let matched = [1, 2, 7, 9].map(|block| index.matched(UP, &[block]));
        assert_eq!(matched, [0, 0, 0, 1], "{reason:?}");
        reason.as_str()
    });
    assert_eq!(
        reasons,
        ["gap", "restart", "malformed", "silent", "cleared"]
    );
}

/// Events that arrive twice, or late after a gap, must have no effect.
#[test]
fn old_events_are_ignored() {
    let mut summary = summary();
    summary.apply_event(3, &stored(&[1]));
    assert_eq!(summary.apply_event(2, &Action::Evicted(vec![1])), None);
    assert_eq!(summary.skip_malformed(Some(3)), None);
    assert_eq!((summary.len(), summary.last_sequence()), (1, 3));
}

/// Digests that are reordered, come from a replaced agent or are invalid must not
/// restore outdated state.
#[test]
fn late_and_invalid_digests_are_ignored() {
    let (mut summary, mut index) = (summary(), index());
    summary.apply_event(1, &stored(&[1]));
    let early = summary.digest(Cursor::default()).expect("a digest");
    summary.apply_event(2, &Action::Evicted(vec![1]));
    send_digest(&summary, &mut index);
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
    for invalid in [other, reversed, huge, Digest::default()] {
        assert_eq!(
            index.apply_digest(UP, &invalid, NOW),
            DigestOutcome::Ignored
        );
    }
    assert_eq!(index.matched(UP, &[1]), 0);
    let replaced = Summary::new(Settings::default(), 1_000);
    assert_eq!(
        send_digest(&replaced, &mut index),
        Some(DigestOutcome::Replaced)
    );
}

/// An expected prompt that no event confirms must be dropped while digests arrive:
/// the engine may have evicted it during a gap.
#[test]
fn unconfirmed_prompts_are_dropped() {
    let (mut summary, mut index) = (summary(), index());
    send_digest(&summary, &mut index);
    index.assume_cached(UP, &[1]);
    for (sequence, second) in [(1, 1), (2, 12), (3, 24)] {
        assert_eq!(index.matched(UP, &[1]), 1, "before second {second}");
        summary.apply_event(sequence, &stored(&[100 + sequence]));
        let digest = summary.digest(index.cursor(UP)).expect("a digest");
        let learned = index.apply_digest(UP, &digest, Moment::from_millis(second * 1_000));
        assert_eq!(learned, DigestOutcome::Applied);
    }
    assert_eq!(index.matched(UP, &[1]), 0);
}

/// For any sequence of events and digests, blocks that match after a digest
/// must be in the cache, and digests and memory must stay within their bounds.
#[test]
fn matching_blocks_are_in_the_cache() {
    fn holds(steps: Vec<(u8, u8)>, wide: bool) -> bool {
        // A large digest limit tests an entry whose cursor is below the changes
        // that the summary still keeps.
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
                    let matched = (0..32).filter(|block| index.matched(UP, &[*block]) > 0);
                    let wrong = matched.filter(|block| !held.contains(block)).count();
                    // A lost event is detected only with the next event.
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

/// Anchors are truncated to 32 bits and must still distinguish blocks.
#[test]
fn anchors_differ() {
    let blocks = (0..10_000_u64).map(|block| sesamerock_route::hash::mix(block, 1));
    let distinct: HashSet<_> = blocks.map(anchor).collect();
    assert!(distinct.len() >= 9_999, "{}", distinct.len());
}

//! Tests the budget of memory that messages share.

use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use futures::poll;
use sesamerock_gateway::memory::{Budget, Revoked, Share};

const KIB: usize = 1 << 10;

#[test]
fn the_largest_message_is_revoked_and_small_ones_are_not() {
    let budget = Arc::new(Budget::new(1_000 * KIB));
    let (mut large, mut other) = (budget.share(), budget.share());
    assert_eq!(large.set(600 * KIB), Ok(()));
    assert_eq!(other.set(300 * KIB), Ok(()));
    let mut small: Vec<_> = (0..5).map(|_| budget.share()).collect();
    for share in &mut small {
        assert_eq!(share.set(60 * KIB), Ok(()));
    }
    assert_eq!(large.set(601 * KIB), Err(Revoked));
    assert_eq!(other.set(301 * KIB), Ok(()));
    assert_eq!(budget.held(), 601 * KIB);
}

#[test]
fn complete_messages_count_and_are_not_revoked() {
    let budget = Arc::new(Budget::new(1_000 * KIB));
    let (mut complete, mut growing) = (budget.share(), budget.share());
    assert_eq!(complete.set(900 * KIB), Ok(()));
    complete.complete();
    assert_eq!(growing.set(200 * KIB), Err(Revoked));
    assert_eq!(budget.held(), 900 * KIB);
    drop(complete);
    assert_eq!(budget.held(), 0);
}

fn requests(budget: &Arc<Budget>, count: usize, bytes: usize) -> Vec<Share> {
    let shares = (0..count).map(|_| {
        let mut share = budget.request_share();
        assert_eq!(share.set(bytes), Ok(()));
        share.complete();
        share
    });
    shares.collect()
}

/// Regression: large bodies of requests that wait for their answers filled the budget, so that
/// everything else displaced the answers that were being sent (review/8).
#[test]
fn regression_large_requests_leave_memory_for_others() {
    let budget = Arc::new(Budget::new(16_000 * KIB));
    let running = requests(&budget, 6, 1_000 * KIB);
    let mut next = budget.request_share();
    assert_eq!(next.set(1_000 * KIB), Err(Revoked));
    // Small ones have room of their own.
    let small = requests(&budget, 30, 60 * KIB);
    assert_eq!(budget.held(), 7_800 * KIB);
    drop(running);
    let mut next = budget.request_share();
    assert_eq!(next.set(1_000 * KIB), Ok(()));
    drop((small, next));
    assert_eq!(budget.held(), 0);
}

/// A single request inside the limit of its body is served, though it exceeds the part of requests.
#[test]
fn a_single_large_request_has_the_whole_budget() {
    let budget = Arc::new(Budget::new(4_000 * KIB));
    let mut only = budget.request_share();
    for bytes in [100, 1_000, 2_000, 3_900] {
        assert_eq!(only.set(bytes * KIB), Ok(()));
    }
    let mut other = budget.request_share();
    assert_eq!(other.set(100 * KIB), Err(Revoked));
    assert_eq!(only.set(3_950 * KIB), Ok(()));
}

/// Many small bodies that never end must not keep out the others: the slowest are given up.
#[test]
fn slow_requests_are_given_up_first() {
    let budget = Arc::new(Budget::new(1_000 * KIB));
    let mut slow: Vec<Share> = (0..8).map(|_| budget.request_share()).collect();
    for share in &mut slow {
        assert_eq!(share.set(60 * KIB), Ok(()));
    }
    std::thread::sleep(Duration::from_millis(1_100));
    let mut next = budget.request_share();
    assert_eq!(next.set(60 * KIB), Ok(()));
    let given_up = slow
        .iter_mut()
        .filter_map(|share| share.set(60 * KIB).err());
    assert_eq!(given_up.count(), 1);
    // Without a slow one, the latest is refused.
    let mut latest = budget.request_share();
    drop(slow);
    let mut early: Vec<Share> = (0..7).map(|_| budget.request_share()).collect();
    for share in &mut early {
        assert_eq!(share.set(60 * KIB), Ok(()));
    }
    assert_eq!(latest.set(60 * KIB), Ok(()), "it began before");
    assert_eq!(early[6].set(60 * KIB), Err(Revoked));
}

/// Regression: what was revoked no longer counted while its owner still held it, so that others took
/// the same memory again before it was given back.
#[tokio::test]
async fn regression_revoked_messages_count_until_they_are_dropped() {
    let budget = Arc::new(Budget::new(1_000 * KIB));
    let (mut large, mut next) = (budget.share(), budget.share());
    assert_eq!(large.set(900 * KIB), Ok(()));
    assert_eq!(next.set(200 * KIB), Ok(()));
    assert_eq!((budget.held(), budget.releasing()), (200 * KIB, 900 * KIB));
    let mut settled = pin!(next.settled());
    assert!(poll!(settled.as_mut()).is_pending());
    drop(large);
    assert!(poll!(settled.as_mut()).is_ready());
    assert_eq!((budget.held(), budget.releasing()), (200 * KIB, 0));
}

/// An owner that cannot give its memory back must not stop the others.
#[tokio::test]
async fn memory_that_is_not_given_back_is_not_waited_for_without_end() {
    let budget = Arc::new(Budget::new(1_000 * KIB));
    let (mut large, mut next) = (budget.share(), budget.share());
    assert_eq!(large.set(900 * KIB), Ok(()));
    assert_eq!(next.set(200 * KIB), Ok(()));
    assert_eq!(next.settled().await, Ok(()));
    assert_eq!(budget.releasing(), 900 * KIB);
}

/// Regression: calls took memory for their answers without asking whether there was any.
#[test]
fn regression_memory_is_reserved_only_if_there_is_room() {
    let budget = Arc::new(Budget::new(100 * KIB));
    let reserve = || budget.reserve(40 * KIB);
    let (first, second) = (reserve(), reserve());
    assert_eq!((first.as_ref().err(), second.as_ref().err()), (None, None));
    assert_eq!(reserve().err(), Some(Revoked));
    assert_eq!(budget.held(), 80 * KIB);
    drop(first);
    assert_eq!(reserve().err(), None);
}

/// Regression: a message that was revoked while it waited for the memory of others went on to wait, and
/// with it all that waited for its memory.
#[tokio::test]
async fn regression_revoked_messages_do_not_wait_for_others() {
    let budget = Arc::new(Budget::new(1_000 * KIB));
    let (mut large, mut next, mut last) = (budget.share(), budget.share(), budget.share());
    assert_eq!(large.set(900 * KIB), Ok(()));
    assert_eq!(next.set(400 * KIB), Ok(()));
    assert_eq!((budget.held(), budget.releasing()), (400 * KIB, 900 * KIB));
    let mut settled = Box::pin(next.settled());
    assert!(poll!(settled.as_mut()).is_pending());
    assert_eq!(last.set(300 * KIB), Ok(()));
    let mut reserved = budget.share();
    reserved.complete();
    assert_eq!(reserved.set(700 * KIB), Ok(()));
    assert_eq!(poll!(settled.as_mut()), Poll::Ready(Err(Revoked)));
    // A message that holds nothing waits for nobody.
    assert_eq!(budget.share().settled().await, Ok(()));
}

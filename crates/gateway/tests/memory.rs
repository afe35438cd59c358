//! Tests the budget of memory that messages share.

use std::sync::Arc;

use sesamerock_gateway::memory::{Budget, Revoked};

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

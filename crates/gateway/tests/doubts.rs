//! Tests of doubted records and kept orders that must neither return for good nor spread without
//! evidence.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_gateway::run::catch_up::{CatchUp, Situation};
use sesamerock_gateway::state::State;
use sesamerock_gateway::store::{Batch, Change, Feed, Offset, Update};
use sesamerock_gateway::upstream::{DISTRUST_AFTER_RESTORE, Record};

fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

fn record(id: &str) -> Record {
    Record {
        id: Arc::from(id),
        born: Some(1),
        service: Arc::from("engines"),
        address: ([10, 0, 0, 1], 80).into(),
        zone: Arc::from("a"),
        slots: 4,
        draining: false,
        cold: Duration::ZERO,
    }
}

fn batch(era: u32, first: u64, next: u64, updates: Vec<Update>) -> Batch {
    let changes = updates.into_iter().zip(first..);
    let changes = changes.map(|(update, index)| Change {
        offset: Offset::new(era, index),
        update,
    });
    Batch {
        next: Offset::new(era, next),
        changes: changes.collect(),
    }
}

fn in_use(state: &State) -> BTreeSet<String> {
    let view = state.view(None);
    let pools = view.pools.values().flat_map(|pool| &pool.candidates);
    pools.map(|it| it.record.id.to_string()).collect()
}

fn left() -> Update {
    Update::UpstreamRemoved(Arc::from("left"))
}

fn zone(out: bool) -> Update {
    let zone = Arc::from("a");
    Update::Zone { zone, out }
}

/// Returns a node that has read that `left` is there, and listed nothing else.
fn reader() -> State {
    let mut state = State::default();
    let all = vec![
        Update::Upstream(record("left")),
        Update::Upstream(record("stays")),
    ];
    state.apply(Feed::Upstreams, batch(0, 1, 9, all), true, at(0));
    state.apply(Feed::Orders, batch(0, 1, 5, Vec::new()), true, at(0));
    state
}

/// Returns a node that knows that `left` has left and lists a copy in which it has not.
fn informed() -> State {
    let mut state = reader();
    state.apply(
        Feed::Upstreams,
        batch(0, 9, 10, vec![left()]),
        false,
        at(100),
    );
    list_copy(&mut state, at(1_000));
    assert_eq!(state.knowledge().upstreams.len(), 1);
    state
}

fn list_copy(state: &mut State, now: Moment) {
    let all = vec![
        Update::Upstream(record("left")),
        Update::Upstream(record("stays")),
    ];
    state.apply(Feed::Upstreams, batch(1, 1, 9, all), true, now);
    state.apply(Feed::Orders, batch(1, 1, 5, Vec::new()), true, now);
}

/// A doubted upstream whose record is gone from a later listing must not be used when the doubt ends:
/// nothing removes it again.
#[test]
fn a_doubted_upstream_that_a_later_listing_lacks_does_not_return() {
    let mut state = informed();
    // The store has forgotten its history, with the removal in it.
    let rest = vec![Update::Upstream(record("stays"))];
    state.apply(Feed::Upstreams, batch(1, 2, 20, rest), true, at(6_000));
    state.settle(at(1_000) + DISTRUST_AFTER_RESTORE);
    assert!(!in_use(&state).contains("left"));
}

/// The same where the later listing is that of a second restore.
#[test]
fn a_doubted_upstream_that_a_second_copy_lacks_does_not_return() {
    let mut state = informed();
    let rest = vec![Update::Upstream(record("stays"))];
    state.apply(Feed::Upstreams, batch(2, 2, 9, rest), true, at(3_000));
    state.settle(at(3_000) + DISTRUST_AFTER_RESTORE);
    assert!(!in_use(&state).contains("left"));
}

/// An upstream whose removal is deferred after the restore must not return for good because another
/// node doubts it as well.
#[test]
fn a_doubt_does_not_undo_a_removal_that_was_deferred() {
    let knowledge = informed().knowledge();
    let mut state = reader();
    list_copy(&mut state, at(1_000));
    // Within the retention, the store removes the record of the dead upstream.
    state.apply(
        Feed::Upstreams,
        batch(1, 9, 10, vec![left()]),
        false,
        at(2_000),
    );
    state.learn(&knowledge, at(1_000) + DISTRUST_AFTER_RESTORE);
    state.settle(at(4_000));
    assert!(!in_use(&state).contains("left"));
    state.settle(at(1_000) + DISTRUST_AFTER_RESTORE);
    assert!(!in_use(&state).contains("left"), "used for good");
}

/// A node that has read the record as a new one in this era knows better than one that has only
/// listed it.
#[test]
fn a_doubt_does_not_exclude_an_upstream_that_has_written_since_the_restore() {
    let mut informed = reader();
    informed.apply(
        Feed::Upstreams,
        batch(0, 9, 10, vec![left()]),
        false,
        at(100),
    );
    let mut state = reader();
    // The copy lacks `left`, which is alive and writes its record again.
    let rest = || vec![Update::Upstream(record("stays"))];
    state.apply(Feed::Upstreams, batch(1, 1, 8, rest()), true, at(1_000));
    let written = vec![Update::Upstream(record("left"))];
    state.apply(Feed::Upstreams, batch(1, 8, 9, written), false, at(1_500));
    assert!(in_use(&state).contains("left"));
    // The other one lists the store only after that.
    let mut all = rest();
    all.push(Update::Upstream(record("left")));
    let mut listing = batch(1, 1, 9, all);
    listing.changes[1].offset = Offset::new(1, 8);
    informed.apply(Feed::Upstreams, listing, true, at(1_600));
    state.learn(&informed.knowledge(), at(1_000) + DISTRUST_AFTER_RESTORE);
    assert!(in_use(&state).contains("left"));
}

fn zone_is_known(state: &State) -> bool {
    state.view(None).zones_out_of_service.contains("a")
}

/// A node that takes the later era from a snapshot of another one still knows an order that this one
/// has never read. It must state it: its position says that it has caught up with the era.
#[test]
fn an_order_that_a_snapshot_lacks_is_stated() {
    let mut other = reader();
    list_copy(&mut other, at(1_000));
    let mut state = reader();
    state.apply(
        Feed::Orders,
        batch(0, 5, 6, vec![zone(true)]),
        false,
        at(100),
    );
    state.merge_snapshot(other.snapshot(at(1_100)), at(1_100));
    assert!(zone_is_known(&state));
    assert_eq!(state.position().orders.era(), 1);
    assert_eq!(state.knowledge().zones.len(), 1);
}

/// The same order must lapse, also if the own listing arrives after the snapshot and ends before it.
#[test]
fn an_order_that_a_snapshot_lacks_lapses() {
    let mut other = reader();
    list_copy(&mut other, at(1_000));
    let restored = vec![Update::Zone {
        zone: Arc::from("b"),
        out: true,
    }];
    other.apply(Feed::Orders, batch(1, 5, 6, restored), false, at(1_050));
    let mut state = reader();
    state.apply(
        Feed::Orders,
        batch(0, 5, 6, vec![zone(true)]),
        false,
        at(100),
    );
    state.merge_snapshot(other.snapshot(at(1_400)), at(1_400));
    state.apply(Feed::Orders, batch(1, 1, 5, Vec::new()), true, at(1_500));
    state.settle(at(1_500) + DISTRUST_AFTER_RESTORE * 2);
    assert!(!zone_is_known(&state), "out of service for good");
}

/// A restored store may lack the records of the other gateways, too. That it lists none is no proof
/// that there is none.
#[test]
fn a_node_whose_peers_the_copy_lacks_waits_for_them() {
    let mut catch_up = CatchUp::default();
    let nobody = Situation {
        era: Some(4),
        unheard: Some(0),
        table: Some(1),
        newest: None,
    };
    assert_eq!(catch_up.finish(nobody, at(0)), None);
}

/// A second restore extends the doubt: the store has again lost that the upstream has left.
#[test]
fn a_second_restore_extends_the_doubt() {
    let mut state = informed();
    let all = vec![
        Update::Upstream(record("left")),
        Update::Upstream(record("stays")),
    ];
    state.apply(Feed::Upstreams, batch(2, 1, 9, all), true, at(9_000));
    state.settle(at(1_000) + DISTRUST_AFTER_RESTORE);
    assert!(
        !in_use(&state).contains("left"),
        "2 s after the second restore"
    );
}

/// A node that was frozen or cut off while a zone returned knows less than those which were not. After
/// a restore it must not take the zone out of service at a node that has started since the return.
#[test]
fn an_order_that_ended_before_the_restore_is_not_put_in_force_by_a_node_that_missed_it() {
    let mut frozen = reader();
    frozen.apply(
        Feed::Orders,
        batch(0, 5, 6, vec![zone(true)]),
        false,
        at(100),
    );
    // It misses the return at offset 6, after which this one starts.
    let mut state = State::default();
    state.apply(Feed::Orders, batch(0, 1, 7, Vec::new()), true, at(500));
    state.apply(Feed::Orders, batch(1, 1, 5, Vec::new()), true, at(1_000));
    frozen.apply(Feed::Orders, batch(1, 1, 5, Vec::new()), true, at(1_500));
    state.learn(&frozen.knowledge(), at(1_000) + DISTRUST_AFTER_RESTORE);
    assert!(!zone_is_known(&state));
}

/// A rank that drains still runs its group, whose maps a leader can only change while it knows all
/// ranks. A doubt must not remove such an upstream from the ranks.
#[test]
fn a_doubt_about_a_draining_upstream_keeps_it_among_the_ranks() {
    let mut informed = reader();
    let draining = Record {
        draining: true,
        ..record("left")
    };
    let drains = vec![Update::Upstream(draining)];
    informed.apply(Feed::Upstreams, batch(0, 9, 10, drains), false, at(100));
    list_copy(&mut informed, at(1_000));
    let ranks = |state: &State| state.view(None).ranks.values().map(Vec::len).sum::<usize>();
    assert_eq!(ranks(&informed), 2);
    let mut state = State::default();
    list_copy(&mut state, at(1_100));
    state.learn(&informed.knowledge(), at(1_000) + DISTRUST_AFTER_RESTORE);
    assert_eq!(in_use(&state).len(), 1);
    assert_eq!(ranks(&state), 2);
}

/// Regression: an upstream that two nodes retained after its removal was used for good by one that took
/// over the state of the other, since the record in it ended the retention. One that has not known the
/// upstream must not use it for good either.
#[test]
fn regression_a_retained_upstream_does_not_stay_for_another_node_that_retains_it() {
    let retaining = || {
        let mut state = reader();
        state.set_store_unreachable(at(1_000));
        let removal = batch(0, 9, 10, vec![left()]);
        state.apply(Feed::Upstreams, removal, false, at(1_500));
        state
    };
    let other = retaining();
    for mut state in [retaining(), State::default()] {
        state.merge_snapshot(other.snapshot(at(2_000)), at(2_000));
        assert!(in_use(&state).contains("left"), "retained");
        state.settle(at(60_000));
        assert!(!in_use(&state).contains("left"), "used for good");
        assert!(in_use(&state).contains("stays"));
    }
}

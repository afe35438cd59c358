//! Tests the state of a node while the store is unreachable, lags or has lost records.

use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_gateway::node;
use sesamerock_gateway::state::{Event, State};
use sesamerock_gateway::store::{Batch, Change, Feed, Offset, Update};
use sesamerock_gateway::table::Content;
use sesamerock_gateway::upstream::{DISTRUST_AFTER_RESTORE, RETENTION_AFTER_OUTAGE, Record};

fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

fn record(id: &str, zone: &str) -> Record {
    Record {
        id: Arc::from(id),
        born: None,
        service: Arc::from("engines"),
        address: ([10, 0, 0, 1], 80).into(),
        zone: Arc::from(zone),
        slots: 4,
        draining: false,
        cold: Duration::ZERO,
    }
}

fn batch(next: u64, changes: Vec<(u64, Update)>) -> Batch {
    let changes = changes.into_iter();
    Batch {
        next: Offset::new(0, next),
        changes: changes
            .map(|(offset, update)| Change {
                offset: Offset::new(0, offset),
                update,
            })
            .collect(),
    }
}

fn ids(state: &State) -> Vec<String> {
    let view = state.view(None);
    let pool = view.pools.get("engines");
    let candidates = pool.into_iter().flat_map(|pool| &pool.candidates);
    let ids = candidates.map(|candidate| candidate.record.id.to_string());
    // Each gateway orders its candidates differently.
    let mut ids: Vec<String> = ids.collect();
    ids.sort_unstable();
    ids
}

/// Returns a state with upstream `x` in zone `a` and `y` in zone `b`, read up to offset 10.
fn two_upstreams() -> State {
    let mut state = State::default();
    let changes = vec![
        (1, Update::Upstream(record("x", "a"))),
        (2, Update::Upstream(record("y", "b"))),
    ];
    state.apply(Feed::Upstreams, batch(10, changes), true, at(0));
    state
}

fn removed(id: &str) -> Update {
    Update::UpstreamRemoved(Arc::from(id))
}

/// Records expire while the store is unreachable although their upstreams are alive.
/// Removing them at once would leave no upstream after an outage.
#[test]
fn records_expired_during_an_outage_are_retained() {
    let mut state = two_upstreams();
    state.set_store_unreachable(at(5_000));
    state.apply(
        Feed::Upstreams,
        batch(12, vec![(10, removed("x"))]),
        false,
        at(5_100),
    );
    assert_eq!(ids(&state), ["x", "y"]);
    let rewritten = vec![(12, Update::Upstream(record("x", "a")))];
    state.apply(Feed::Upstreams, batch(13, rewritten), false, at(6_000));
    state.settle(at(5_000) + RETENTION_AFTER_OUTAGE);
    assert_eq!(
        ids(&state),
        ["x", "y"],
        "the upstream has renewed its record"
    );
}

/// A record that is not renewed before its retention ends is removed.
#[test]
fn records_not_renewed_after_an_outage_are_removed() {
    let mut state = two_upstreams();
    state.set_store_unreachable(at(5_000));
    state.apply(
        Feed::Upstreams,
        batch(12, vec![(10, removed("x"))]),
        false,
        at(5_100),
    );
    assert_eq!(state.settle(at(5_200)), []);
    assert!(!state.settle(at(5_000) + RETENTION_AFTER_OUTAGE).is_empty());
    assert_eq!(ids(&state), ["y"]);
}

/// Without an outage, an upstream whose record is removed receives no more calls.
#[test]
fn removal_takes_effect_at_once_while_the_store_is_reachable() {
    let mut state = two_upstreams();
    state.apply(
        Feed::Upstreams,
        batch(12, vec![(10, removed("x"))]),
        false,
        at(5_100),
    );
    assert_eq!(ids(&state), ["y"]);
}

/// A replica of the store that lags must not restore a removed upstream, nor one that is
/// draining.
#[test]
fn older_records_are_ignored() {
    let mut state = two_upstreams();
    let draining = Record {
        draining: true,
        ..record("y", "b")
    };
    let changes = vec![(10, removed("x")), (11, Update::Upstream(draining))];
    state.apply(Feed::Upstreams, batch(12, changes), false, at(100));
    assert!(ids(&state).is_empty());
    let old = vec![
        (1, Update::Upstream(record("x", "a"))),
        (2, Update::Upstream(record("y", "b"))),
    ];
    state.apply(Feed::Upstreams, batch(10, old), true, at(200));
    assert!(ids(&state).is_empty());
}

/// A table is never replaced by an older version, whatever its offset or source.
#[test]
fn older_table_versions_are_ignored() {
    let mut state = State::default();
    let content = |version| {
        Update::Table(Arc::new(Content {
            version,
            ..Content::default()
        }))
    };
    state.apply(Feed::Orders, batch(5, vec![(4, content(9))]), true, at(0));
    let events = state.apply(Feed::Orders, batch(5, vec![(3, content(7))]), true, at(1));
    assert_eq!(state.version(), Some(9));
    assert!(events.is_empty());
}

/// Upstreams in a zone out of service receive no calls. The zone also returns to service
/// when its order is missing from a complete list, since the store may no longer retain
/// the record of the removal.
#[test]
fn zones_go_out_of_service_and_return() {
    let mut state = two_upstreams();
    let out = Update::Zone {
        zone: Arc::from("a"),
        out: true,
    };
    state.apply(Feed::Orders, batch(3, vec![(2, out)]), false, at(0));
    assert_eq!(ids(&state), ["y"]);
    assert_eq!(
        state.view(None).ranks["engines"].len(),
        2,
        "an upstream without calls may be a rank"
    );
    let events = state.apply(Feed::Orders, batch(4, Vec::new()), true, at(1));
    assert_eq!(events, [Event::Zone(Arc::from("a"), false)]);
    assert_eq!(ids(&state), ["x", "y"]);
}

/// A long poll at the store missed the order on a zone for 7.7 s, and the zone continued
/// to receive calls. The order is now taken from a peer that has read it.
#[test]
fn regression_zone_order_is_received_from_a_peer() {
    let mut ahead = two_upstreams();
    let out = Update::Zone {
        zone: Arc::from("a"),
        out: true,
    };
    ahead.apply(Feed::Orders, batch(12, vec![(11, out)]), false, at(0));
    let mut behind = two_upstreams();
    behind.apply(Feed::Orders, batch(11, Vec::new()), false, at(0));
    assert!(ahead.position().orders > behind.position().orders);
    behind.merge_snapshot(ahead.snapshot(at(300)), at(300));
    assert_eq!(ids(&behind), ["y"]);
    // The late answer of the store has no further effect.
    let late = Update::Zone {
        zone: Arc::from("a"),
        out: true,
    };
    let events = behind.apply(Feed::Orders, batch(12, vec![(11, late)]), false, at(7_700));
    assert!(events.is_empty());
}

/// The snapshot of a node that has read less must not undo newer records.
#[test]
fn snapshot_of_a_lagging_node_is_ignored() {
    let mut ahead = two_upstreams();
    ahead.apply(
        Feed::Upstreams,
        batch(12, vec![(11, removed("x"))]),
        false,
        at(0),
    );
    let behind = two_upstreams();
    ahead.merge_snapshot(behind.snapshot(at(1)), at(1));
    assert_eq!(ids(&ahead), ["y"]);
}

/// A snapshot of a peer removed an upstream but yielded no event, so the request path
/// kept the upstream. The node's own read then found nothing to change.
#[test]
fn regression_removal_by_a_snapshot_yields_an_event() {
    let mut peer = two_upstreams();
    let removal = batch(11, vec![(10, removed("x"))]);
    peer.apply(Feed::Upstreams, removal.clone(), false, at(100));
    let mut state = two_upstreams();
    let events = state.merge_snapshot(peer.snapshot(at(200)), at(200));
    assert_eq!(events, [Event::UpstreamRemoved(Arc::from("x"))]);
    assert_eq!(ids(&state), ["y"]);
    let events = state.apply(Feed::Upstreams, removal, false, at(300));
    assert_eq!(events, []);
}

/// Removal must yield an event also for a record that is not renewed after an outage, and
/// for one that is absent from a complete list.
#[test]
fn every_removal_of_an_upstream_yields_an_event() {
    let mut state = two_upstreams();
    let events = state.apply(
        Feed::Upstreams,
        batch(20, vec![(1, Update::Upstream(record("x", "a")))]),
        true,
        at(100),
    );
    assert_eq!(events, [Event::UpstreamRemoved(Arc::from("y"))]);
    state.set_store_unreachable(at(200));
    state.apply(
        Feed::Upstreams,
        batch(22, vec![(21, removed("x"))]),
        false,
        at(300),
    );
    let events = state.settle(at(200) + RETENTION_AFTER_OUTAGE);
    assert_eq!(events, [Event::UpstreamRemoved(Arc::from("x"))]);
}

/// A node that has just started is known by its first heartbeat, since the records of nodes are
/// read rarely. A heartbeat of a process that has since restarted changes nothing.
#[test]
fn started_nodes_are_learnt_from_their_heartbeats() {
    let node = |incarnation| node::Record {
        name: "front-1".to_owned(),
        incarnation,
        front: ([10, 0, 0, 1], 80).into(),
        exchange: ([10, 0, 0, 1], 81).into(),
        zone: Arc::from("a"),
    };
    let mut state = State::default();
    assert!(state.learn_node(&node(2)));
    assert!(!state.learn_node(&node(2)));
    assert!(!state.learn_node(&node(1)));
    assert!(state.learn_node(&node(3)));
    let known: Vec<u64> = state.nodes().map(|node| node.incarnation).collect();
    assert_eq!(known, [3]);
}

/// Returns a batch of an era of the store.
fn batch_of(era: u32, next: u64, changes: Vec<(u64, Update)>) -> Batch {
    let mut batch = batch(next, changes);
    batch.next = Offset::new(era, next);
    for change in &mut batch.changes {
        change.offset = Offset::new(era, change.offset.index());
    }
    batch
}

fn zone(name: &str, out: bool) -> Update {
    Update::Zone {
        zone: Arc::from(name),
        out,
    }
}

fn is_out(state: &State, name: &str) -> bool {
    state.view(None).zones_out_of_service.contains(name)
}

/// Returns a state that has read both feeds up to offset 50 before the store was restored, with the
/// upstreams `x` and `y`.
fn before_restore() -> State {
    let mut state = two_upstreams();
    state.apply(Feed::Upstreams, batch(50, vec![]), false, at(0));
    let orders = vec![(40, zone("a", false)), (41, zone("b", true))];
    state.apply(Feed::Orders, batch(50, orders), true, at(0));
    state
}

/// Regression: after the store was restored from a copy, a zone was not taken out of service since
/// the order had a lower offset than one from before (review/9).
#[test]
fn regression_orders_of_a_restored_store_are_newer() {
    let mut state = before_restore();
    let listed = vec![(20, zone("b", true))];
    state.apply(Feed::Orders, batch_of(1, 21, listed), true, at(1_000));
    assert!(!is_out(&state, "a") && is_out(&state, "b"));
    let orders = vec![(21, zone("a", true)), (22, zone("b", false))];
    state.apply(Feed::Orders, batch_of(1, 23, orders), false, at(9_000));
    assert!(is_out(&state, "a") && !is_out(&state, "b"));
    // A second restore soon after, and a late batch of the era before.
    let orders = vec![(21, zone("a", false))];
    state.apply(Feed::Orders, batch_of(2, 22, vec![]), true, at(9_500));
    state.apply(Feed::Orders, batch_of(2, 23, orders), false, at(9_600));
    assert!(!is_out(&state, "a"));
    let late = vec![(60, zone("a", true))];
    state.apply(Feed::Orders, batch_of(1, 61, late), false, at(9_700));
    assert!(!is_out(&state, "a"));
}

/// Regression: the removal of an upstream after a restore was ignored, as was its draining.
#[test]
fn regression_upstreams_leave_after_a_restore() {
    for leaves in [true, false] {
        let mut state = two_upstreams();
        state.apply(Feed::Upstreams, batch(50, vec![]), false, at(0));
        let both = vec![
            (1, Update::Upstream(record("x", "a"))),
            (2, Update::Upstream(record("y", "b"))),
        ];
        state.apply(Feed::Upstreams, batch_of(1, 3, both), true, at(1_000));
        let draining = Record {
            draining: true,
            ..record("x", "a")
        };
        let update = if leaves {
            removed("x")
        } else {
            Update::Upstream(draining)
        };
        let changes = vec![(3, update)];
        state.apply(Feed::Upstreams, batch_of(1, 4, changes), false, at(5_500));
        assert_eq!(ids(&state), ["y"], "leaves: {leaves}");
    }
}

/// A restored store lacks what was written after the copy: sound upstreams and zones out of
/// service stay as they are until they are written again or a time has passed.
#[test]
fn what_a_restored_store_has_lost_is_kept_for_a_time() {
    let mut state = before_restore();
    let only_x = vec![(1, Update::Upstream(record("x", "a")))];
    state.apply(Feed::Upstreams, batch_of(1, 2, only_x), true, at(1_000));
    state.apply(Feed::Orders, batch_of(1, 5, vec![]), true, at(1_000));
    assert!(is_out(&state, "b"));
    assert_eq!(ids(&state), ["x"], "`y` is in zone `b`");
    let back = vec![(5, zone("b", false))];
    state.apply(Feed::Orders, batch_of(1, 6, back), false, at(1_500));
    assert_eq!(ids(&state), ["x", "y"]);
    state.settle(at(1_000) + RETENTION_AFTER_OUTAGE);
    assert_eq!(ids(&state), ["x"]);

    let mut state = before_restore();
    state.apply(Feed::Orders, batch_of(1, 5, vec![]), true, at(1_000));
    let events = state.settle(at(1_000) + DISTRUST_AFTER_RESTORE);
    assert_eq!(events, [Event::Zone(Arc::from("b"), false)]);
    assert!(!is_out(&state, "b"));
}

/// A restored store lists upstreams that have left or begun to drain after the copy was made. They
/// are not used again unless they write another record.
#[test]
fn upstreams_that_left_do_not_come_back_with_a_restored_store() {
    for draining in [true, false] {
        let mut state = two_upstreams();
        let update = if draining {
            Update::Upstream(Record {
                draining,
                ..record("x", "a")
            })
        } else {
            removed("x")
        };
        state.apply(Feed::Upstreams, batch(50, vec![(49, update)]), false, at(0));
        assert_eq!(ids(&state), ["y"]);
        let copied = || {
            vec![
                (1, Update::Upstream(record("x", "a"))),
                (2, Update::Upstream(record("y", "b"))),
            ]
        };
        state.apply(Feed::Upstreams, batch_of(1, 3, copied()), true, at(1_000));
        state.apply(Feed::Upstreams, batch_of(1, 3, copied()), true, at(4_000));
        state.settle(at(8_000));
        assert_eq!(ids(&state), ["y"], "draining: {draining}");
        // The removal is written again.
        let mut gone = state;
        let again = vec![(3, removed("x"))];
        gone.apply(Feed::Upstreams, batch_of(1, 4, again), false, at(8_100));
        gone.settle(at(20_000));
        assert_eq!(ids(&gone), ["y"], "draining: {draining}");

        let mut state = two_upstreams();
        state.apply(
            Feed::Upstreams,
            batch(50, vec![(49, removed("x"))]),
            false,
            at(0),
        );
        state.apply(Feed::Upstreams, batch_of(1, 3, copied()), true, at(1_000));
        let alive = vec![(3, Update::Upstream(record("x", "a")))];
        state.apply(Feed::Upstreams, batch_of(1, 4, alive), false, at(2_000));
        assert_eq!(ids(&state), ["x", "y"]);
    }
}

/// Regression: the state of a gateway from before a restore looked newer than that of one that has
/// read the restored store, since its offsets were higher.
#[test]
fn regression_snapshots_of_an_earlier_era_are_not_merged() {
    let old = before_restore();
    let mut new = State::default();
    let listed = vec![(20, zone("b", false))];
    new.apply(Feed::Orders, batch_of(1, 21, listed), true, at(1_000));
    let listed = vec![(1, Update::Upstream(record("x", "a")))];
    new.apply(Feed::Upstreams, batch_of(1, 2, listed), true, at(1_000));
    new.merge_snapshot(old.snapshot(at(1_000)), at(1_000));
    assert!(!is_out(&new, "b"));
    assert_eq!(ids(&new), ["x"]);
    // The other way round, what the new gateway cannot know is kept for a time.
    let mut old = old;
    old.merge_snapshot(new.snapshot(at(1_200)), at(1_200));
    assert_eq!(old.position(), new.position());
    assert_eq!(ids(&old), ["x", "y"]);
    old.settle(at(1_200) + RETENTION_AFTER_OUTAGE);
    assert_eq!(ids(&old), ["x"]);
}

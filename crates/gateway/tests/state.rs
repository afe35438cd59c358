//! Tests the state of a node while the store is unreachable, lags or has lost records.

use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_gateway::node;
use sesamerock_gateway::state::{Event, State};
use sesamerock_gateway::store::{Batch, Change, Feed, Update};
use sesamerock_gateway::table::Content;
use sesamerock_gateway::upstream::{RETENTION_AFTER_OUTAGE, Record};

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
        next,
        changes: changes
            .map(|(offset, update)| Change { offset, update })
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
    state.drop_expired(at(5_000) + RETENTION_AFTER_OUTAGE);
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
    assert_eq!(state.drop_expired(at(5_200)), []);
    assert!(
        !state
            .drop_expired(at(5_000) + RETENTION_AFTER_OUTAGE)
            .is_empty()
    );
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
    let events = state.drop_expired(at(200) + RETENTION_AFTER_OUTAGE);
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

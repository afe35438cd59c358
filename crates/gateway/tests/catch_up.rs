//! Tests of what a gateway that starts learns from the others after a restore of the store.

use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_gateway::run::catch_up::{CatchUp, MAX_UNHEARD, MAX_WAIT, Situation};
use sesamerock_gateway::state::State;
use sesamerock_gateway::store::contact::Contact;
use sesamerock_gateway::store::{Batch, Change, Feed, Offset, Update};
use sesamerock_gateway::upstream::{DISTRUST_AFTER_RESTORE, Record};

fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

fn record(id: &str, born: u64) -> Record {
    Record {
        id: Arc::from(id),
        born: Some(born),
        service: Arc::from("engines"),
        address: ([10, 0, 0, 1], 80).into(),
        zone: Arc::from("a"),
        slots: 4,
        draining: false,
        cold: Duration::ZERO,
    }
}

fn upstream(record: Record) -> Update {
    Update::Upstream(record)
}

fn zone(out: bool) -> Update {
    let zone = Arc::from("a");
    Update::Zone { zone, out }
}

/// Returns a batch of an era that ends at `next`, with updates from `first` on.
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

fn in_use(state: &State) -> Vec<String> {
    let view = state.view(None);
    let pools = view.pools.values().flat_map(|pool| &pool.candidates);
    let mut ids: Vec<String> = pools.map(|it| it.record.id.to_string()).collect();
    ids.sort_unstable();
    ids
}

/// Returns a node that knew an order about zone `a`, that `left` had left and `drains` was draining,
/// and that has listed a copy which lacks all three.
fn informed() -> State {
    let mut state = State::default();
    let all = || ["drains", "left", "stays"].map(|id| upstream(record(id, 1)));
    state.apply(Feed::Upstreams, batch(0, 1, 9, all().into()), true, at(0));
    state.apply(Feed::Orders, batch(0, 1, 5, Vec::new()), true, at(0));
    let draining = Record {
        draining: true,
        ..record("drains", 1)
    };
    let left = Update::UpstreamRemoved(Arc::from("left"));
    let changes = vec![upstream(draining), left];
    state.apply(Feed::Upstreams, batch(0, 9, 11, changes), false, at(100));
    state.apply(
        Feed::Orders,
        batch(0, 5, 6, vec![zone(true)]),
        false,
        at(100),
    );
    list_copy(&mut state, at(1_000));
    state
}

fn list_copy(state: &mut State, now: Moment) {
    let all = ["drains", "left", "stays"].map(|id| upstream(record(id, 1)));
    state.apply(Feed::Upstreams, batch(1, 1, 9, all.into()), true, now);
    state.apply(Feed::Orders, batch(1, 1, 5, Vec::new()), true, now);
}

/// Regression: a gateway that started after a restore used zones that were out of service, and
/// upstreams that had left or were draining, though the gateways beside it did not. It may hear them
/// before it has listed the store, between its listings, or afterwards, and again and again.
#[test]
fn regression_a_node_that_starts_learns_what_the_copy_lacks() {
    let knowledge = informed().knowledge();
    let until = at(1_000) + DISTRUST_AFTER_RESTORE;
    for heard in 0..8_u32 {
        let mut state = State::default();
        let hear = |state: &mut State, moment: u32| {
            if heard & (1 << moment) != 0 || (moment == 2 && heard == 0) {
                state.learn(&knowledge, until);
            }
        };
        hear(&mut state, 0);
        list_copy(&mut state, at(2_000));
        hear(&mut state, 1);
        list_copy(&mut state, at(2_500));
        hear(&mut state, 2);
        let view = state.view(None);
        assert!(view.zones_out_of_service.contains("a"), "{heard}");
        state.apply(
            Feed::Orders,
            batch(1, 5, 6, vec![zone(true)]),
            false,
            at(3_000),
        );
        state.apply(
            Feed::Orders,
            batch(1, 6, 7, vec![zone(false)]),
            false,
            at(3_500),
        );
        state.learn(&knowledge, until);
        assert!(state.view(None).zones_out_of_service.is_empty(), "{heard}");
        assert_eq!(in_use(&state), ["stays"], "{heard}");
        // A record that is written after the restore is believed.
        let written = vec![upstream(record("left", 1)), upstream(record("drains", 2))];
        state.apply(Feed::Upstreams, batch(1, 9, 11, written), false, at(4_000));
        state.learn(&knowledge, until);
        assert_eq!(in_use(&state), ["drains", "left", "stays"], "{heard}");
    }
}

/// What the others know beyond the store must not stay in force for good: nobody may write it again.
#[test]
fn what_the_copy_lacks_lapses() {
    let knowledge = informed().knowledge();
    let until = at(1_000) + DISTRUST_AFTER_RESTORE;
    let mut state = State::default();
    list_copy(&mut state, at(2_000));
    state.learn(&knowledge, until);
    state.settle(until);
    assert_eq!(in_use(&state), ["drains", "left", "stays"]);
    // A node that still keeps the order does not put it in force again.
    state.learn(&knowledge, until + Duration::from_secs(1));
    assert!(state.view(None).zones_out_of_service.is_empty());
}

/// An upstream that has started again since is another one, whatever is known of its former start.
#[test]
fn a_later_start_of_an_upstream_is_used() {
    let mut knowledge = informed().knowledge();
    knowledge.zones.clear();
    let mut state = State::default();
    let listed = vec![upstream(record("left", 2))];
    state.apply(Feed::Upstreams, batch(1, 1, 9, listed), true, at(2_000));
    state.learn(&knowledge, at(11_000));
    assert_eq!(in_use(&state), ["left"]);
}

/// A node that knows nothing beyond the store states nothing, since heartbeats would carry it to all.
#[test]
fn a_node_states_nothing_once_the_store_has_caught_up() {
    let mut state = informed();
    assert_eq!(state.knowledge().zones.len(), 1);
    assert_eq!(state.knowledge().upstreams.len(), 2);
    state.settle(at(1_000) + DISTRUST_AFTER_RESTORE);
    assert!(state.knowledge().zones.is_empty());
    assert!(state.knowledge().upstreams.is_empty());
}

fn situation() -> Situation {
    Situation {
        era: Some(1),
        unheard: Some(0),
        table: Some(3),
        newest: Some(3),
    }
}

/// Regression: a gateway that started acted on an older table than the others before it had heard
/// them. Nothing may keep it from acting for good.
#[test]
fn regression_a_node_waits_for_the_others_and_not_for_good() {
    let cases = [
        ("all heard", situation(), Some(Duration::ZERO)),
        (
            "no answer of the store",
            Situation {
                era: None,
                ..situation()
            },
            None,
        ),
        (
            "the others are unknown",
            Situation {
                unheard: None,
                ..situation()
            },
            None,
        ),
        (
            "the store was never restored",
            Situation {
                era: Some(0),
                unheard: None,
                table: None,
                ..situation()
            },
            Some(Duration::ZERO),
        ),
        (
            "one is not heard",
            Situation {
                unheard: Some(1),
                ..situation()
            },
            Some(MAX_UNHEARD),
        ),
        (
            "one knows a newer table",
            Situation {
                newest: Some(4),
                ..situation()
            },
            Some(MAX_WAIT),
        ),
        (
            "one knows a table, and none is listed",
            Situation {
                table: None,
                ..situation()
            },
            Some(MAX_WAIT),
        ),
        (
            "nobody knows a table",
            Situation {
                table: None,
                newest: None,
                ..situation()
            },
            Some(MAX_UNHEARD),
        ),
        (
            "the others know an older one",
            Situation {
                newest: Some(2),
                ..situation()
            },
            Some(Duration::ZERO),
        ),
    ];
    for (name, situation, expected) in cases {
        let mut catch_up = CatchUp::default();
        let ends = (0..=200_u64).map(|step| step * 100).find(|millis| {
            catch_up.finish(situation, at(*millis));
            catch_up.is_done()
        });
        assert_eq!(ends.map(Duration::from_millis), expected, "{name}");
    }
}

/// The wait for the others counts from when they are known, which may be long after the start.
#[test]
fn the_wait_counts_from_when_the_others_are_known() {
    let mut catch_up = CatchUp::default();
    let unknown = Situation {
        unheard: None,
        ..situation()
    };
    let unheard = Situation {
        unheard: Some(3),
        ..situation()
    };
    assert_eq!(catch_up.finish(unknown, at(0)), None);
    assert_eq!(catch_up.finish(unheard, at(60_000)), None);
    let end = at(60_000) + MAX_UNHEARD;
    assert_eq!(catch_up.finish(unheard, end), Some(MAX_UNHEARD));
    assert_eq!(catch_up.finish(unheard, end), None, "reported once");
}

/// How long a store is doubted must not count from the start of a gateway where another one knows
/// the restore, nor end early where none does. A store that was never restored is not doubted.
#[test]
fn a_restore_is_dated_by_the_gateway_that_noticed_it_first() {
    let (never, early, late) = (Contact::default(), Contact::default(), Contact::default());
    never.record_era(0, at(0));
    assert_eq!(never.doubted_until(at(1)), None);
    early.record_era(0, at(0));
    early.record_era(1, at(10_000));
    let until = at(10_000) + DISTRUST_AFTER_RESTORE;
    assert_eq!(early.doubted_until(at(10_001)), Some(until));
    late.record_era(1, at(14_000));
    assert_eq!(
        late.doubted_until(at(14_000)),
        Some(at(14_000) + DISTRUST_AFTER_RESTORE)
    );
    late.record_peer(early.state(at(14_500)), at(14_500));
    assert_eq!(late.doubted_until(at(14_500)), Some(until));
    assert_eq!(late.doubted_until(until), None);
    // The one that is behind learns of the restore from the other, but is not told of a former one.
    never.record_peer(late.state(at(15_000)), at(15_000));
    assert_eq!(never.doubted_until(at(15_000)), Some(until));
    late.record_era(2, at(16_000));
    late.record_peer(early.state(at(16_100)), at(16_100));
    let until = at(16_000) + DISTRUST_AFTER_RESTORE;
    assert_eq!(late.doubted_until(at(16_100)), Some(until));
    // Long after a restore, its age is no longer counted.
    let mut aged = late.state(at(90_000));
    assert_eq!(
        aged.era,
        Some((2, DISTRUST_AFTER_RESTORE.as_millis() as u64))
    );
    aged.answer_age_ms = None;
    let fresh = Contact::default();
    fresh.record_peer(aged, at(90_000));
    fresh.record_era(2, at(90_100));
    assert_eq!(fresh.doubted_until(at(90_100)), None);
}

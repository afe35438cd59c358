//! Tests of what a gateway that starts learns from the others after a restore of the store.

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_gateway::run::catch_up::{CatchUp, MAX_UNHEARD, MAX_WAIT, Situation};
use sesamerock_gateway::store::contact::Contact;
use sesamerock_gateway::upstream::DISTRUST_AFTER_RESTORE;

fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
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
            Some(Duration::ZERO),
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

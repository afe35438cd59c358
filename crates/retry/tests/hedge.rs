//! Guards the rules of hedges: when one may be sent, how its latencies are
//! bounded, and which of two attempts answers.

use std::time::Duration;

use quickcheck::quickcheck;
use sesamerock_base::time::Moment;
use sesamerock_retry::budget::{self, Budget, Verdict};
use sesamerock_retry::hedge::latency::{Book, Latency};
use sesamerock_retry::hedge::race::{self, End, Race};
use sesamerock_retry::hedge::{Call, Decision, Settings, Why, decide};

const NOW: Moment = Moment(1_000_000);

const CALL: Call = Call {
    lookup: true,
    sent: NOW,
    deadline: Moment(NOW.0 + 1_000_000),
    hedged: false,
};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn full() -> Budget {
    Budget::new(budget::Settings::default(), NOW)
}

fn ask(call: Call, p95: Option<Duration>, after: u64) -> Decision {
    let now = NOW + millis(after);
    decide(&call, p95, &mut full(), now, &Settings::default())
}

/// Hedges must wait for the 95th percentile, happen once, and only for
/// look-ups.
#[test]
fn hedges_only_slow_lookups() {
    let mut latency = Latency::default();
    assert_eq!(ask(CALL, None, 500), Decision::Never(Why::Unlearned));
    for sample in 1..=100 {
        latency.observe(millis(sample));
    }
    let p95 = latency.p95();
    assert_eq!(p95, Some(millis(92)));
    assert_eq!(ask(CALL, p95, 60), Decision::Wait(millis(32)));
    assert_eq!(ask(CALL, p95, 92), Decision::Now);
    let hedged = Call {
        hedged: true,
        ..CALL
    };
    assert_eq!(ask(hedged, p95, 92), Decision::Never(Why::Hedged));
    let order = Call {
        lookup: false,
        ..CALL
    };
    assert_eq!(ask(order, p95, 92), Decision::Never(Why::Method));
    assert_eq!(ask(CALL, p95, 1_000), Decision::Never(Why::Deadline));
    let urgent = Call {
        deadline: NOW + millis(92),
        ..CALL
    };
    assert_eq!(ask(urgent, p95, 91), Decision::Never(Why::Deadline));
}

/// Guards against hedges within the noise of the path, where each would cost
/// more than it can save.
#[test]
fn a_quick_service_is_hedged_after_the_least_delay() {
    let least = Settings::default().least_delay;
    assert_eq!(ask(CALL, Some(millis(1)), 0), Decision::Wait(least));
    let after = least.as_millis() as u64;
    assert_eq!(ask(CALL, Some(millis(1)), after), Decision::Now);
}

/// Guards against hedges that use up the budget, so that a failed call could no
/// longer be retried, and against hedges beyond the share of successes.
#[test]
fn hedges_leave_the_reserve_to_retries() {
    let settings = Settings::default();
    let bounds = budget::Settings::default();
    let mut budget = full();
    let now = NOW + millis(500);
    let hedges = |budget: &mut Budget| {
        let granted = (0..1_000)
            .filter(|_| decide(&CALL, Some(millis(20)), budget, now, &settings) == Decision::Now);
        granted.count()
    };
    assert_eq!(
        hedges(&mut budget),
        (bounds.most - settings.reserve) as usize
    );
    let refused = decide(&CALL, Some(millis(20)), &mut budget, now, &settings);
    assert_eq!(refused, Decision::Never(Why::Budget));
    for _ in 0..100 {
        budget.success(now);
    }
    let share = (100.0 * bounds.share) as usize;
    assert!((share - 1..=share).contains(&hedges(&mut budget)));
    let retries = (0..1_000).filter(|_| budget.may_retry(now) == Verdict::Granted);
    assert_eq!(retries.count(), settings.reserve as usize);
}

/// Guards against memory that grows with the services an entry has seen, and
/// against a service in use that is forgotten for one that was used once.
#[test]
fn the_latencies_of_services_are_bounded() {
    let mut book = Book::default();
    for service in 0..10_000_u64 {
        let now = NOW + millis(service);
        book.observe(&format!("service-{service}"), millis(1), now);
        book.observe("stock", millis(2), now);
        assert!(book.len() <= 64, "{}", book.len());
    }
    assert_eq!(book.p95("stock"), Some(millis(2)));
    assert_eq!(book.p95("service-0"), None);
}

/// Guards against hedges that go on while every server is slow: the delay must
/// follow the latency of the service.
#[test]
fn the_delay_follows_a_service_that_becomes_slow() {
    let mut latency = Latency::default();
    for _ in 0..1_000 {
        latency.observe(millis(5));
    }
    for _ in 0..64 {
        latency.observe(millis(300));
    }
    assert_eq!(latency.p95(), Some(millis(300)));
}

/// Guards against two answers for one call: the one that is second by any
/// margin must be discarded by its id.
#[test]
fn of_two_whole_responses_the_second_is_discarded() {
    let mut race = Race::new(7);
    race.join(8);
    assert_eq!(race.ended(8, End::Whole), race::Verdict::Deliver);
    assert_eq!(race.ended(7, End::Whole), race::Verdict::Discard);
    assert_eq!(race.ended(9, End::Whole), race::Verdict::Discard);
}

/// Guards against a caller who is told of an error while the other attempt
/// would bring the answer, and one who is told nothing where both end in errors.
#[test]
fn an_error_waits_for_the_other_attempt() {
    for error in [End::Error, End::Failed] {
        let mut race = Race::new(1);
        race.join(2);
        assert_eq!(race.ended(2, error), race::Verdict::Wait);
        assert_eq!(race.ended(1, End::Whole), race::Verdict::Deliver);
    }
    let mut race = Race::new(1);
    race.join(2);
    assert_eq!(race.ended(1, End::Error), race::Verdict::Wait);
    assert_eq!(race.ended(2, End::Failed), race::Verdict::Fallback(1));
    let mut alone = Race::new(1);
    assert_eq!(alone.ended(1, End::Failed), race::Verdict::Fail);
}

quickcheck! {
    /// Guards against a race that delivers twice or never, in any order of ends.
    fn a_race_is_decided_once(first: u8, second: u8, second_first: bool) -> bool {
        let end = |byte: u8| [End::Whole, End::Error, End::Failed][usize::from(byte % 3)];
        let mut race = Race::new(1);
        race.join(2);
        let mut order = [(1, end(first)), (2, end(second))];
        if second_first {
            order.reverse();
        }
        let verdicts = order.map(|(attempt, end)| race.ended(attempt, end));
        let decided = verdicts.iter().filter(|verdict| {
            !matches!(verdict, race::Verdict::Wait | race::Verdict::Discard)
        });
        decided.count() == 1 && race.running().count() == 0
    }
}

//! Tests hedging: when a hedge may be sent, that memory for latencies is bounded,
//! and which of two attempts answers the caller.

use std::time::Duration;

use quickcheck::quickcheck;
use sesamerock_base::time::Moment;
use sesamerock_retry::budget::{self, Budget, Verdict};
use sesamerock_retry::hedge::latency::{LatencyWindow, ServiceLatencies};
use sesamerock_retry::hedge::race::{self, End, Race};
use sesamerock_retry::hedge::{Call, Decision, Reason, Settings, decide};

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

fn full_budget() -> Budget {
    Budget::new(budget::Settings::default(), NOW)
}

fn decide_after(call: Call, p95: Option<Duration>, elapsed_ms: u64) -> Decision {
    let now = NOW + millis(elapsed_ms);
    decide(&call, p95, &mut full_budget(), now, &Settings::default())
}

/// A hedge must not be sent before the 95th percentile of latencies, nor twice
/// for a call, nor for a method that is not a look-up.
#[test]
fn hedges_only_slow_lookups() {
    let mut window = LatencyWindow::default();
    assert_eq!(
        decide_after(CALL, None, 500),
        Decision::Never(Reason::Unlearned)
    );
    for sample in 1..=100 {
        window.observe(millis(sample));
    }
    let p95 = window.p95();
    assert_eq!(p95, Some(millis(92)));
    assert_eq!(decide_after(CALL, p95, 60), Decision::Wait(millis(32)));
    assert_eq!(decide_after(CALL, p95, 92), Decision::Now);
    let hedged = Call {
        hedged: true,
        ..CALL
    };
    assert_eq!(
        decide_after(hedged, p95, 92),
        Decision::Never(Reason::Hedged)
    );
    let other_method = Call {
        lookup: false,
        ..CALL
    };
    assert_eq!(
        decide_after(other_method, p95, 92),
        Decision::Never(Reason::Method)
    );
    assert_eq!(
        decide_after(CALL, p95, 1_000),
        Decision::Never(Reason::Deadline)
    );
    let short_deadline = Call {
        deadline: NOW + millis(92),
        ..CALL
    };
    assert_eq!(
        decide_after(short_deadline, p95, 91),
        Decision::Never(Reason::Deadline)
    );
}

/// A hedge of a very fast service would be triggered by the normal variation of
/// network latency, and would cost more than it can save.
#[test]
fn fast_service_is_hedged_after_the_least_delay() {
    let least_delay = Settings::default().least_delay;
    assert_eq!(
        decide_after(CALL, Some(millis(1)), 0),
        Decision::Wait(least_delay)
    );
    let least_delay_ms = least_delay.as_millis() as u64;
    assert_eq!(
        decide_after(CALL, Some(millis(1)), least_delay_ms),
        Decision::Now
    );
}

/// Hedges must not use up the budget, which would prevent the retry of failed
/// calls, nor exceed the fraction of successful calls that the budget allows.
#[test]
fn hedges_keep_the_reserve_for_retries() {
    let settings = Settings::default();
    let bounds = budget::Settings::default();
    let mut budget = full_budget();
    let now = NOW + millis(500);
    let hedges = |budget: &mut Budget| {
        let granted = (0..1_000)
            .filter(|_| decide(&CALL, Some(millis(20)), budget, now, &settings) == Decision::Now);
        granted.count()
    };
    assert_eq!(
        hedges(&mut budget),
        (bounds.max_balance - settings.reserve) as usize
    );
    let refused = decide(&CALL, Some(millis(20)), &mut budget, now, &settings);
    assert_eq!(refused, Decision::Never(Reason::Budget));
    for _ in 0..100 {
        budget.record_success(now);
    }
    let paid = (100.0 * bounds.retries_per_success) as usize;
    assert!((paid - 1..=paid).contains(&hedges(&mut budget)));
    let retries = (0..1_000).filter(|_| budget.may_retry(now) == Verdict::Granted);
    assert_eq!(retries.count(), settings.reserve as usize);
}

/// Memory must not grow with the number of services that an entry has called, and
/// a service in use must not be evicted in favour of one that was called once.
#[test]
fn number_of_tracked_services_is_bounded() {
    let mut latencies = ServiceLatencies::default();
    for service in 0..10_000_u64 {
        let now = NOW + millis(service);
        latencies.observe(&format!("service-{service}"), millis(1), now);
        latencies.observe("stock", millis(2), now);
        assert!(latencies.len() <= 64, "{}", latencies.len());
    }
    assert_eq!(latencies.p95("stock"), Some(millis(2)));
    assert_eq!(latencies.p95("service-0"), None);
}

/// Hedging must not continue while every server is slow: the hedge delay must
/// follow the latency of the service.
#[test]
fn delay_follows_a_service_that_becomes_slow() {
    let mut window = LatencyWindow::default();
    for _ in 0..1_000 {
        window.observe(millis(5));
    }
    for _ in 0..64 {
        window.observe(millis(300));
    }
    assert_eq!(window.p95(), Some(millis(300)));
}

/// A caller must not receive two answers to one call: the later response is
/// discarded by its attempt id, however small the difference in time.
#[test]
fn second_complete_response_is_discarded() {
    let mut race = Race::new(7);
    race.join(8);
    assert_eq!(race.ended(8, End::Complete), race::Verdict::Deliver);
    assert_eq!(race.ended(7, End::Complete), race::Verdict::Discard);
    assert_eq!(race.ended(9, End::Complete), race::Verdict::Discard);
}

/// An error must not be delivered while the other attempt may still succeed, and
/// must not be lost when both attempts end in errors.
#[test]
fn error_response_waits_for_the_other_attempt() {
    for error in [End::Error, End::Failed] {
        let mut race = Race::new(1);
        race.join(2);
        assert_eq!(race.ended(2, error), race::Verdict::Wait);
        assert_eq!(race.ended(1, End::Complete), race::Verdict::Deliver);
    }
    let mut race = Race::new(1);
    race.join(2);
    assert_eq!(race.ended(1, End::Error), race::Verdict::Wait);
    assert_eq!(race.ended(2, End::Failed), race::Verdict::Fallback(1));
    let mut single = Race::new(1);
    assert_eq!(single.ended(1, End::Failed), race::Verdict::Fail);
}

quickcheck! {
    /// A race must deliver exactly once, whatever way and in whatever order the
    /// two attempts end.
    fn race_is_decided_once(first: u8, second: u8, second_first: bool) -> bool {
        let end = |byte: u8| [End::Complete, End::Error, End::Failed][usize::from(byte % 3)];
        let mut race = Race::new(1);
        race.join(2);
        let mut ends = [(1, end(first)), (2, end(second))];
        if second_first {
            ends.reverse();
        }
        let verdicts = ends.map(|(attempt, end)| race.ended(attempt, end));
        let decided = verdicts.iter().filter(|verdict| {
            !matches!(verdict, race::Verdict::Wait | race::Verdict::Discard)
        });
        decided.count() == 1 && race.running().count() == 0
    }
}

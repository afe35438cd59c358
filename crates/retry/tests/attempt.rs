//! Tests the rules for retries and the retry budget.

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_retry::attempt::{
    Attempt, Decision, Executed, Phase, Reason, Settings, decide, reported_execution,
};
use sesamerock_retry::budget::{self, Budget, Verdict};

const NOW: Moment = Moment::from_millis(5_000);

fn budget() -> Budget {
    Budget::new(budget::Settings::default(), NOW)
}

fn attempt() -> Attempt {
    Attempt {
        phase: Phase::Undelivered,
        executed: Executed::Unknown,
        earlier_executed: Executed::No,
        repeatable: true,
        keyed: false,
        sent: true,
        deadline: NOW + Duration::from_secs(10),
        attempts: 1,
        retry_after: None,
    }
}

fn decision(attempt: Attempt) -> Decision {
    decide(&attempt, &mut budget(), NOW, 12_345, &Settings::default())
}

fn assert_fails(attempt: Attempt, executed: Executed, reason: Reason) {
    assert_eq!(
        decision(attempt),
        Decision::Fail {
            executed,
            why: reason
        },
        "{attempt:?}"
    );
}

/// A call without a key, to a method that must not be repeated, could execute
/// twice if it were sent again.
#[test]
fn unkeyed_non_repeatable_call_is_sent_once() {
    let call = Attempt {
        repeatable: false,
        ..attempt()
    };
    for executed in [Executed::No, Executed::Unknown, Executed::Yes] {
        for retry_after in [None, Some(Duration::ZERO)] {
            assert_fails(
                Attempt {
                    executed,
                    retry_after,
                    ..call
                },
                executed,
                Reason::Unsafe,
            );
        }
    }
    let unsent = Attempt {
        sent: false,
        executed: Executed::No,
        ..call
    };
    assert!(matches!(decision(unsent), Decision::Retry { .. }));
}

/// Covers all combinations: none may send an unkeyed non-repeatable call again,
/// restart a stream for the caller, or report that nothing was executed when an
/// attempt may have been.
#[test]
fn every_combination_is_safe() {
    let executions = [Executed::No, Executed::Unknown, Executed::Yes];
    let phases = [
        Phase::OverCeiling,
        Phase::Undelivered,
        Phase::Streaming { resumable: false },
        Phase::Streaming { resumable: true },
    ];
    let booleans = [false, true];
    let mut combinations = 0;
    for phase in phases {
        for executed in executions {
            for earlier_executed in executions {
                for bits in 0..8 {
                    let flag = |bit: usize| booleans[bits >> bit & 1];
                    let case = Attempt {
                        phase,
                        executed,
                        earlier_executed,
                        repeatable: flag(0),
                        keyed: flag(1),
                        sent: flag(2),
                        ..attempt()
                    };
                    assert_safe(&case);
                    combinations += 1;
                }
            }
        }
    }
    assert_eq!(combinations, 288);
}

fn assert_safe(case: &Attempt) {
    let safe = case.repeatable || case.keyed || !case.sent;
    match decision(*case) {
        Decision::Retry { .. } => {
            let undelivered = matches!(case.phase, Phase::Undelivered | Phase::OverCeiling);
            assert!(safe && undelivered, "{case:?}");
        }
        Decision::Resume => {
            assert!(case.repeatable, "{case:?}");
            assert_eq!(case.phase, Phase::Streaming { resumable: true });
        }
        Decision::Fail { executed, .. } => {
            assert!(executed >= case.earlier_executed, "{case:?}");
            let may_have_run = case.sent && case.phase != Phase::OverCeiling;
            assert!(!may_have_run || executed >= case.executed, "{case:?}");
        }
    }
}

/// A refusal that follows an attempt with an unknown result must not be reported
/// as `executed: no`.
#[test]
fn earlier_attempts_count_for_the_caller() {
    let refused = Attempt {
        executed: Executed::No,
        earlier_executed: Executed::Unknown,
        ..attempt()
    };
    assert_eq!(reported_execution(&refused), Executed::Unknown);
    assert_fails(
        Attempt {
            attempts: 4,
            ..refused
        },
        Executed::Unknown,
        Reason::Attempts,
    );
}

/// The ledger returns the result of a keyed call that already ran, so the call
/// may be sent again.
#[test]
fn keyed_call_is_sent_again() {
    let call = Attempt {
        repeatable: false,
        keyed: true,
        ..attempt()
    };
    assert!(matches!(decision(call), Decision::Retry { .. }));
}

/// Retries that cannot be answered before the deadline, or that exceed the
/// maximum number of attempts or the budget, only add load.
#[test]
fn deadline_attempts_and_budget_end_retries() {
    let close_deadline = Attempt {
        deadline: NOW + Duration::from_millis(11),
        ..attempt()
    };
    assert_fails(close_deadline, Executed::Unknown, Reason::Deadline);
    let long_retry_after = Attempt {
        retry_after: Some(Duration::from_secs(10)),
        ..attempt()
    };
    assert_fails(long_retry_after, Executed::Unknown, Reason::Deadline);
    let mut budget = budget();
    let mut granted = 0;
    while matches!(
        decide(&attempt(), &mut budget, NOW, 0, &Settings::default()),
        Decision::Retry { .. }
    ) {
        granted += 1;
    }
    assert_eq!(granted, 100);
    let stream = Attempt {
        phase: Phase::Streaming { resumable: true },
        ..attempt()
    };
    assert_eq!(
        decide(&stream, &mut budget, NOW, 0, &Settings::default()),
        Decision::Resume
    );
}

/// A refusal because of the load ceiling must not use up retries that failures
/// need, and must not lead to a call running twice.
#[test]
fn refusal_over_the_ceiling_costs_no_retry() {
    let over_ceiling = Attempt {
        phase: Phase::OverCeiling,
        executed: Executed::No,
        attempts: 9,
        ..attempt()
    };
    let mut budget = budget();
    let before = budget.balance();
    let decision = decide(&over_ceiling, &mut budget, NOW, 0, &Settings::default());
    assert_eq!(
        decision,
        Decision::Retry {
            after: Duration::ZERO
        }
    );
    assert!((budget.balance() - before).abs() < 1e-9);
    assert_fails(
        Attempt {
            repeatable: false,
            ..over_ceiling
        },
        Executed::No,
        Reason::Unsafe,
    );
    assert_fails(
        Attempt {
            deadline: NOW,
            ..over_ceiling
        },
        Executed::No,
        Reason::Deadline,
    );
}

/// Without jitter, the retries of many entries would arrive at the same time;
/// without the requested wait, they would arrive before the upstream is ready.
#[test]
fn backoff_grows_and_has_jitter() {
    let backoff_us = |attempts, jitter, retry_after| {
        let settings = Settings {
            max_attempts: 20,
            ..Settings::default()
        };
        let case = Attempt {
            attempts,
            retry_after,
            ..attempt()
        };
        match decide(&case, &mut budget(), NOW, jitter, &settings) {
            Decision::Retry { after } => after.as_micros(),
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(
        (backoff_us(1, 0, None), backoff_us(1, 2_500, None)),
        (2_500, 5_000)
    );
    assert_eq!(
        (backoff_us(3, 0, None), backoff_us(15, 0, None)),
        (10_000, 250_000)
    );
    assert!(backoff_us(1, 7, Some(Duration::from_millis(80))) >= 80_000);
}

/// The budget limits retries to a fraction of the successful calls, plus a
/// constant rate that also serves an entry without traffic.
#[test]
fn budget_follows_successes() {
    let mut budget = budget();
    while budget.may_retry(NOW) == Verdict::Granted {}
    assert!(
        matches!(budget.may_retry(NOW), Verdict::Exhausted(after) if after <= Duration::from_secs(1))
    );
    for _ in 0..100 {
        budget.record_success(NOW);
    }
    let granted = (0..50)
        .filter(|_| budget.may_retry(NOW) == Verdict::Granted)
        .count();
    assert!((9..=10).contains(&granted), "{granted}");
    let later = NOW + Duration::from_secs(3);
    let granted = (0..50)
        .filter(|_| budget.may_retry(later) == Verdict::Granted)
        .count();
    assert!((14..=15).contains(&granted), "{granted}");
}

//! Guards the rules of retries, hedges and their budget.

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_retry::attempt::{Attempt, Decision, Executed, Phase, Settings, Why, decide, told};
use sesamerock_retry::budget::{self, Budget, Verdict};

const NOW: Moment = Moment::from_millis(5_000);

fn budget() -> Budget {
    Budget::new(budget::Settings::default(), NOW)
}

fn attempt() -> Attempt {
    Attempt {
        phase: Phase::Silent,
        executed: Executed::Unknown,
        earlier: Executed::No,
        repeatable: true,
        keyed: false,
        sent: true,
        deadline: NOW + Duration::from_secs(10),
        made: 1,
        retry_after: None,
    }
}

fn decision(attempt: Attempt) -> Decision {
    decide(&attempt, &mut budget(), NOW, 12_345, &Settings::default())
}

fn fails(attempt: Attempt, executed: Executed, why: Why) {
    assert_eq!(
        decision(attempt),
        Decision::Fail { executed, why },
        "{attempt:?}"
    );
}

/// A call without a key to a method that must not be repeated would execute
/// twice if it were sent again.
#[test]
fn unkeyed_order_is_sent_once() {
    let order = Attempt {
        repeatable: false,
        ..attempt()
    };
    for executed in [Executed::No, Executed::Unknown, Executed::Yes] {
        for retry_after in [None, Some(Duration::ZERO)] {
            fails(
                Attempt {
                    executed,
                    retry_after,
                    ..order
                },
                executed,
                Why::Unsafe,
            );
        }
    }
    let unsent = Attempt {
        sent: false,
        executed: Executed::No,
        ..order
    };
    assert!(matches!(decision(unsent), Decision::Retry { .. }));
}

/// The full table: no combination may resend an unkeyed order, begin a stream
/// anew, or tell a caller that nothing ran when something may have.
#[test]
fn every_combination_is_safe() {
    let executions = [Executed::No, Executed::Unknown, Executed::Yes];
    let phases = [
        Phase::Bounced,
        Phase::Silent,
        Phase::Streaming { resumable: false },
        Phase::Streaming { resumable: true },
    ];
    let flags = [false, true];
    let mut seen = 0;
    for phase in phases {
        for executed in executions {
            for earlier in executions {
                for bits in 0..8 {
                    let flag = |bit: usize| flags[bits >> bit & 1];
                    let case = Attempt {
                        phase,
                        executed,
                        earlier,
                        repeatable: flag(0),
                        keyed: flag(1),
                        sent: flag(2),
                        ..attempt()
                    };
                    check(&case);
                    seen += 1;
                }
            }
        }
    }
    assert_eq!(seen, 288);
}

fn check(case: &Attempt) {
    let safe = case.repeatable || case.keyed || !case.sent;
    match decision(*case) {
        Decision::Retry { .. } => {
            let silent = matches!(case.phase, Phase::Silent | Phase::Bounced);
            assert!(safe && silent, "{case:?}");
        }
        Decision::Resume => {
            assert!(case.repeatable, "{case:?}");
            assert_eq!(case.phase, Phase::Streaming { resumable: true });
        }
        Decision::Fail { executed, .. } => {
            assert!(executed >= case.earlier, "{case:?}");
            let counts = case.sent && case.phase != Phase::Bounced;
            assert!(!counts || executed >= case.executed, "{case:?}");
        }
    }
}

/// A refusal after an attempt with an unknown fate must not be reported as
/// `executed: no`.
#[test]
fn earlier_attempts_count_for_the_caller() {
    let refused = Attempt {
        executed: Executed::No,
        earlier: Executed::Unknown,
        ..attempt()
    };
    assert_eq!(told(&refused), Executed::Unknown);
    fails(
        Attempt { made: 4, ..refused },
        Executed::Unknown,
        Why::Attempts,
    );
}

/// A keyed call is answered by the ledger, so it may be sent again.
#[test]
fn keyed_order_is_sent_again() {
    let order = Attempt {
        repeatable: false,
        keyed: true,
        ..attempt()
    };
    assert!(matches!(decision(order), Decision::Retry { .. }));
}

/// Retries past the deadline or the bounds only add load.
#[test]
fn deadline_attempts_and_budget_end_retries() {
    let late = Attempt {
        deadline: NOW + Duration::from_millis(11),
        ..attempt()
    };
    fails(late, Executed::Unknown, Why::Deadline);
    let asked = Attempt {
        retry_after: Some(Duration::from_secs(10)),
        ..attempt()
    };
    fails(asked, Executed::Unknown, Why::Deadline);
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

/// A refusal above the ceiling must not use up the retries of a failure, and
/// must not make a call run twice.
#[test]
fn bounces_are_no_retries() {
    let bounced = Attempt {
        phase: Phase::Bounced,
        executed: Executed::No,
        made: 9,
        ..attempt()
    };
    let mut budget = budget();
    let before = budget.balance();
    let decision = decide(&bounced, &mut budget, NOW, 0, &Settings::default());
    assert_eq!(
        decision,
        Decision::Retry {
            after: Duration::ZERO
        }
    );
    assert!((budget.balance() - before).abs() < 1e-9);
    fails(
        Attempt {
            repeatable: false,
            ..bounced
        },
        Executed::No,
        Why::Unsafe,
    );
    fails(
        Attempt {
            deadline: NOW,
            ..bounced
        },
        Executed::No,
        Why::Deadline,
    );
}

/// Retries at one moment by many entries would arrive together without jitter,
/// and sooner than the upstream asked without its pause.
#[test]
fn pauses_grow_and_vary() {
    let pause = |made, jitter, retry_after| {
        let settings = Settings {
            most: 20,
            ..Settings::default()
        };
        let case = Attempt {
            made,
            retry_after,
            ..attempt()
        };
        match decide(&case, &mut budget(), NOW, jitter, &settings) {
            Decision::Retry { after } => after.as_micros(),
            other => panic!("{other:?}"),
        }
    };
    assert_eq!((pause(1, 0, None), pause(1, 2_500, None)), (2_500, 5_000));
    assert_eq!((pause(3, 0, None), pause(15, 0, None)), (10_000, 250_000));
    assert!(pause(1, 7, Some(Duration::from_millis(80))) >= 80_000);
}

/// The budget bounds retries to a share of successes, with a floor for an entry
/// without traffic.
#[test]
fn budget_follows_successes() {
    let mut budget = budget();
    while budget.may_retry(NOW) == Verdict::Granted {}
    assert!(
        matches!(budget.may_retry(NOW), Verdict::Exhausted(after) if after <= Duration::from_secs(1))
    );
    for _ in 0..100 {
        budget.success(NOW);
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

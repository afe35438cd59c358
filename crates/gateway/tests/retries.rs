//! Guards the division of the retry budget between entries.

use std::sync::Arc;

use sesamerock_base::time::Moment;
use sesamerock_gateway::relay::retries::Retries;
use sesamerock_retry::budget;

/// Length of the window that the budget is stated for, in seconds.
const WINDOW_S: u64 = 10;
/// Repeats in a window beyond the share of calls, in the whole system.
const SLACK: f64 = 90.0;

fn system() -> budget::Settings {
    budget::Settings {
        retries_per_success: 0.2,
        retries_per_second: SLACK / 2.0 / WINDOW_S as f64,
        max_balance: SLACK / 2.0,
        overdraft: 0.0,
    }
}

/// Returns the repeats that `entries` grant in one window in which nothing succeeds and
/// each of them is asked a hundred times a second.
fn granted(entries: usize) -> usize {
    let service = Arc::from("s");
    let start = Moment::from_millis(1_000_000);
    let all: Vec<Retries> = (0..entries).map(|_| Retries::new(system())).collect();
    let mut count = 0;
    for retries in &all {
        retries.divide(entries, start);
        for tick in 0..WINDOW_S * 100 {
            let now = Moment::from_millis(1_000_000 + tick * 10);
            count += usize::from(retries.may_retry(&service, now));
        }
    }
    count
}

/// With a fixed number of four in the division, the entries of a grown site could
/// together use four times the slack.
#[test]
fn regression_any_number_of_entries_stays_within_the_slack_of_the_system() {
    for entries in [1, 4, 17, 970] {
        let count = granted(entries);
        assert!(count as f64 <= SLACK, "{entries} entries granted {count}");
    }
}

/// An entry that has just started does not know the others, which may all have started
/// with it.
#[test]
fn nothing_is_repeated_before_the_number_of_entries_is_known() {
    let service = Arc::from("s");
    let now = Moment::from_millis(1_000_000);
    let retries = Retries::new(system());
    assert!(!retries.may_retry(&service, now));
    retries.divide(1, now);
    assert!(retries.may_retry(&service, now));
}

/// What an entry has saved up alone must not be spent beside others that come.
#[test]
fn savings_shrink_when_entries_come() {
    let service = Arc::from("s");
    let now = Moment::from_millis(1_000_000);
    let retries = Retries::new(system());
    retries.divide(1, now);
    assert!(retries.may_retry(&service, now));
    retries.divide(10, now);
    let left = (0..100)
        .filter(|_| retries.may_retry(&service, now))
        .count();
    assert!(left as f64 <= SLACK / 2.0 / 10.0, "{left} repeats are left");
}

//! Guards the division of the retry budget between gateways.

use std::sync::Arc;

use sesamerock_base::time::Moment;
use sesamerock_gateway::relay::retries::Retries;
use sesamerock_retry::budget;

/// Length of the window that the budget is stated for, in seconds.
const WINDOW_S: u64 = 10;
/// Repeats in a window beyond the share of calls, in the whole system.
const SLACK: f64 = 90.0;

fn total_budget() -> budget::Settings {
    budget::Settings {
        share: 0.2,
        floor: SLACK / 2.0 / WINDOW_S as f64,
        most: SLACK / 2.0,
        overdraft: 0.0,
    }
}

/// Returns the repeats that `gateways` grant in one window in which nothing succeeds and
/// each of them is asked a hundred times a second.
fn granted_repeats(gateways: usize) -> usize {
    let service = Arc::from("s");
    let start = Moment::from_millis(1_000_000);
    let all: Vec<Retries> = (0..gateways)
        .map(|_| Retries::new(total_budget()))
        .collect();
    let mut count = 0;
    for retries in &all {
        retries.set_gateways(gateways, start);
        for tick in 0..WINDOW_S * 100 {
            let now = Moment::from_millis(1_000_000 + tick * 10);
            count += usize::from(retries.may_retry(&service, now));
        }
    }
    count
}

/// With a fixed number of four in the division, the gateways of a grown site could
/// together use four times the slack.
#[test]
fn regression_repeats_of_any_number_of_gateways_stay_within_the_total_slack() {
    for gateways in [1, 4, 17, 970] {
        let count = granted_repeats(gateways);
        assert!(count as f64 <= SLACK, "{gateways} gateways granted {count}");
    }
}

/// An entry that has just started does not know the others, which may all have started
/// with it.
#[test]
fn nothing_is_repeated_before_the_number_of_gateways_is_known() {
    let service = Arc::from("s");
    let now = Moment::from_millis(1_000_000);
    let retries = Retries::new(total_budget());
    assert!(!retries.may_retry(&service, now));
    retries.set_gateways(1, now);
    assert!(retries.may_retry(&service, now));
}

/// What an entry has saved up alone must not be spent beside others that come.
#[test]
fn accumulated_budget_shrinks_when_gateways_are_added() {
    let service = Arc::from("s");
    let now = Moment::from_millis(1_000_000);
    let retries = Retries::new(total_budget());
    retries.set_gateways(1, now);
    assert!(retries.may_retry(&service, now));
    retries.set_gateways(10, now);
    let left = (0..100)
        .filter(|_| retries.may_retry(&service, now))
        .count();
    assert!(left as f64 <= SLACK / 2.0 / 10.0, "{left} repeats are left");
}

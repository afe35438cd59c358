//! Guards the division of the retry budget between gateways.

use std::sync::Arc;

use sesamerock_base::time::Moment;
use sesamerock_gateway::relay::retries::Retries;
use sesamerock_retry::budget;

/// Length of the window to which the budget applies.
const WINDOW_S: u64 = 10;
/// Retries per window that all gateways together may make beyond the proportional part.
const SLACK: f64 = 90.0;

fn total_budget() -> budget::Settings {
    budget::Settings {
        retries_per_success: 0.2,
        retries_per_second: SLACK / 2.0 / WINDOW_S as f64,
        max_balance: SLACK / 2.0,
        overdraft: 0.0,
    }
}

/// Returns how many retries `gateways` grant in one window without calls, with a hundred
/// requests for a retry per second at each of them.
fn granted_retries(gateways: usize) -> usize {
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

/// With the budget divided by a fixed number of four, the gateways of a larger site
/// could together use four times the slack.
#[test]
fn regression_retries_of_any_number_of_gateways_stay_within_the_total_slack() {
    for gateways in [1, 4, 17, 970] {
        let count = granted_retries(gateways);
        assert!(count as f64 <= SLACK, "{gateways} gateways granted {count}");
    }
}

/// A gateway that has just started does not know the others, which may all have started
/// at the same time.
#[test]
fn nothing_is_retried_before_the_number_of_gateways_is_known() {
    let service = Arc::from("s");
    let now = Moment::from_millis(1_000_000);
    let retries = Retries::new(total_budget());
    assert!(!retries.may_retry(&service, now));
    retries.set_gateways(1, now);
    assert!(retries.may_retry(&service, now));
}

/// Budget that a single gateway has accumulated must shrink when others join, or the
/// total would exceed the limit.
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
    assert!(
        left as f64 <= SLACK / 2.0 / 10.0,
        "{left} retries are still granted"
    );
}

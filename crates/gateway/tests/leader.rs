//! Guards the work of the entry that leads the expert maps.

mod support;

use std::sync::Arc;
use std::time::Duration;

use sesamerock_gateway::admit::{self, Board};
use sesamerock_gateway::maps;
use sesamerock_gateway::relay::{self, Shared};
use support::{Engines, Granting, view};
use tokio::time::sleep;

/// Leads some groups for a time.
async fn lead(engines: &Engines, groups: &[&str], time: Duration) {
    let board = Board::new(admit::Settings::default(), Arc::from("a"));
    let shared = Arc::new(Shared::new(relay::Settings::default(), board));
    shared.publish(view(groups));
    let leading = maps::lead(shared, Granting, engines.clone(), "n".to_owned());
    tokio::select! {
        () = leading => {}
        () = sleep(time) => {}
    }
}

/// Observed on scale-1 of a grown site: while one group left its orders unanswered, the
/// demand of the others was not read for five seconds, and no map was planned for them.
#[tokio::test]
async fn regression_a_group_that_does_not_answer_delays_no_other() {
    let engines = Engines::new(Duration::from_millis(1_500), |id, _, _| {
        id.starts_with("mute")
    });
    lead(&engines, &["fast", "mute"], Duration::from_secs(4)).await;
    let fast = engines.story("fast");
    assert!(fast.switches >= 2, "{fast:?}");
    assert_eq!(engines.story("mute").switches, 0);
}

/// A group makes no step while it is held, so an arm that is lost must be repeated long
/// before the hold is felt as a pause: 100 ms is less than any pause that callers are
/// promised.
#[tokio::test]
async fn regression_a_lost_arm_does_not_hold_the_group_for_long() {
    let silent =
        |id: &str, order: &str, before: u32| order == "arm" && id.ends_with('2') && before == 0;
    let engines = Engines::new(Duration::from_mins(1), silent);
    lead(&engines, &["fast"], Duration::from_millis(2_500)).await;
    let story = engines.story("fast");
    assert!(!story.holds.is_empty(), "{story:?}");
    let longest = story.holds.iter().max();
    assert!(longest < Some(&Duration::from_millis(100)), "{story:?}");
}

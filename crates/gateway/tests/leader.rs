//! Guards the work of the entry that leads the expert maps.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sesamerock_gateway::admit::{self, Board};
use sesamerock_gateway::maps;
use sesamerock_gateway::relay::{self, Shared};
use sesamerock_gateway::state::View;
use support::{Engines, Granting, view};
use tokio::time::{sleep, timeout};

fn shared(view: View) -> Arc<Shared> {
    let board = Board::new(admit::Settings::default(), Arc::from("a"));
    let shared = Arc::new(Shared::new(relay::Settings::default(), board));
    shared.publish(view);
    shared
}

fn settings() -> maps::Settings {
    maps::Settings {
        node: "n".to_owned(),
        lease: Duration::from_secs(1),
    }
}

/// Leads some groups for a time.
async fn lead(engines: &Engines, groups: &[&str], time: Duration) {
    let store = Granting::default();
    let leading = maps::run_leader(shared(view(groups)), store, engines.clone(), settings());
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

/// The store deals the lead anew whenever a member comes or goes and each claim is paid
/// for, so that of 970 entries only some may claim it, and first one alone.
#[test]
fn few_entries_claim_a_lead_that_nobody_has() {
    let names: Vec<String> = (0..970).map(|number| format!("front-{number}")).collect();
    let claimants = |unled: u64| {
        let claims = |own: &&String| {
            let others = names.iter().filter(|name| name != own);
            maps::should_claim(
                own,
                others.map(String::as_str),
                Duration::from_millis(unled),
            )
        };
        names.iter().filter(claims).count()
    };
    assert_eq!(claimants(300), 0, "greetings may be late");
    assert_eq!(claimants(900), 1);
    assert_eq!(
        claimants(60_000),
        3,
        "the first ones may not reach the store"
    );
}

/// An entry that is not to claim the lead does not, and one that leaves gives it back: in
/// a roll of all entries no map changed for up to two seconds after the leader's end.
#[tokio::test]
async fn the_lead_is_claimed_by_candidates_and_given_back() {
    let engines = Engines::new(Duration::from_mins(1), |_, _, _| false);
    let store = Granting::default();
    let bystander = shared(View {
        claims: false,
        ..view(&[])
    });
    let leading = maps::run_leader(bystander, store.clone(), engines.clone(), settings());
    tokio::select! {
        () = leading => panic!("it does not leave"),
        () = sleep(Duration::from_millis(600)) => {}
    }
    assert_eq!(store.claims.load(Ordering::Relaxed), 0);
    let leader = shared(view(&["fast"]));
    let leading = maps::run_leader(Arc::clone(&leader), store.clone(), engines, settings());
    let stop = async {
        sleep(Duration::from_millis(900)).await;
        leader.leaving.store(true, Ordering::Relaxed);
    };
    let both = async { tokio::join!(leading, stop) };
    let ended = timeout(Duration::from_secs(3), both).await;
    assert!(ended.is_ok(), "the lead goes on");
    assert!(store.claims.load(Ordering::Relaxed) > 1);
    assert_eq!(store.resigned.load(Ordering::Relaxed), 1);
}

//! Guards the work of the entry that leads the expert maps.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sesamerock_gateway::admit::{self, Board};
use sesamerock_gateway::maps;
use sesamerock_gateway::relay::{self, Shared};
use sesamerock_gateway::state::View;
use support::{Engines, GrantingStore, view};
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
async fn run_leader_for(engines: &Engines, groups: &[&str], duration: Duration) {
    let store = GrantingStore::default();
    let leading = maps::run_leader(shared(view(groups)), store, engines.clone(), settings());
    tokio::select! {
        () = leading => {}
        () = sleep(duration) => {}
    }
}

/// Observed on scale-1 of a grown site: while one group left its orders unanswered, the
/// demand of the others was not read for five seconds, and no map was planned for them.
#[tokio::test]
async fn regression_unresponsive_group_does_not_delay_other_groups() {
    let engines = Engines::new(Duration::from_millis(1_500), |id, _, _| {
        id.starts_with("silent")
    });
    run_leader_for(&engines, &["fast", "silent"], Duration::from_secs(4)).await;
    let fast = engines.history("fast");
    assert!(fast.switches >= 2, "{fast:?}");
    assert_eq!(engines.history("silent").switches, 0);
}

/// A group makes no step while it is held, so an arm that is lost must be repeated long
/// before the hold is felt as a pause: 100 ms is less than any pause that callers are
/// promised.
#[tokio::test]
async fn regression_lost_arm_holds_the_group_for_less_than_100_ms() {
    let leaves_unanswered =
        |id: &str, order: &str, before: u32| order == "arm" && id.ends_with('2') && before == 0;
    let engines = Engines::new(Duration::from_mins(1), leaves_unanswered);
    run_leader_for(&engines, &["fast"], Duration::from_millis(2_500)).await;
    let history = engines.history("fast");
    assert!(!history.holds.is_empty(), "{history:?}");
    let longest = history.holds.iter().max();
    assert!(longest < Some(&Duration::from_millis(100)), "{history:?}");
}

/// The store deals the lead anew whenever a member comes or goes and each claim is paid
/// for, so that of 970 entries only some may claim it, and first one alone.
#[test]
fn few_gateways_claim_a_vacant_leadership() {
    let names: Vec<String> = (0..970).map(|number| format!("front-{number}")).collect();
    let claimants = |leaderless_ms: u64| {
        let claims = |own: &&String| {
            let others = names.iter().filter(|name| name != own);
            maps::should_claim(
                own,
                others.map(String::as_str),
                Duration::from_millis(leaderless_ms),
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
async fn only_candidates_claim_leadership_and_resign_on_shutdown() {
    let engines = Engines::new(Duration::from_mins(1), |_, _, _| false);
    let store = GrantingStore::default();
    let non_candidate = shared(View {
        claims: false,
        ..view(&[])
    });
    let leading = maps::run_leader(non_candidate, store.clone(), engines.clone(), settings());
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

//! Tests of the leader that manages expert maps.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sesamerock_gateway::admit::group::Version;
use sesamerock_gateway::admit::outage::{Broken, Statement};
use sesamerock_gateway::admit::{self, AdmissionController};
use sesamerock_gateway::clock;
use sesamerock_gateway::maps;
use sesamerock_gateway::maps::fence::Tokens;
use sesamerock_gateway::relay::{self, Shared};
use sesamerock_gateway::shutdown::{self, Shutdown};
use sesamerock_gateway::state::View;
use sesamerock_gateway::store::contact::ContactState;
use sesamerock_gateway::suspect::Suspects;
use support::{Engines, FIRST_START, GrantingStore, view, view_of_starts};
use tokio::time::{sleep, timeout};

fn shared(view: View) -> Arc<Shared> {
    let admission = AdmissionController::new(admit::Settings::default(), Arc::from("a"));
    let shared = Arc::new(Shared::new(
        relay::Settings::default(),
        admission,
        Suspects::default(),
    ));
    shared.publish(view);
    shared
}

fn settings() -> maps::Settings {
    maps::Settings {
        node: "n".to_owned(),
        lease: Duration::from_secs(1),
        fencing: true,
    }
}

/// Runs a leader over some groups for a limited time.
async fn run_leader_for(engines: &Engines, groups: &[&str], duration: Duration) {
    let store = GrantingStore::default();
    let leading = maps::run_leader(shared(view(groups)), store, engines.clone(), settings());
    tokio::select! {
        () = leading => {}
        () = sleep(duration) => {}
    }
}

/// Regression: while one group left its commands unanswered, the demand of the other groups
/// was not read for five seconds, and no map was planned for them.
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

/// A group runs no step while it is held, so a lost arm command must be repeated before the
/// hold becomes a noticeable pause: 100 ms is less than any pause limit that callers are
/// given.
#[tokio::test]
async fn regression_lost_arm_holds_the_group_for_less_than_100_ms() {
    let leaves_unanswered =
        |id: &str, command: &str, before: u32| command == "arm" && id.ends_with('2') && before == 0;
    let engines = Engines::new(Duration::from_mins(1), leaves_unanswered);
    run_leader_for(&engines, &["fast"], Duration::from_millis(2_500)).await;
    let history = engines.history("fast");
    assert!(!history.holds.is_empty(), "{history:?}");
    let longest = history.holds.iter().max();
    assert!(longest < Some(&Duration::from_millis(100)), "{history:?}");
}

/// The store reassigns the leadership whenever a claimant joins or leaves, and each claim
/// costs a call, so only a few of 970 gateways may claim it, and at first a single one.
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
    assert_eq!(claimants(300), 0, "heartbeats may be late");
    assert_eq!(claimants(900), 1);
    assert_eq!(
        claimants(60_000),
        3,
        "the first candidates may be unable to reach the store"
    );
}

/// A gateway that is not a candidate makes no claims, and a leader that shuts down resigns.
/// Without the latter, no map changed for up to two seconds after the end of the leader in a
/// rolling restart of all gateways.
#[tokio::test]
async fn only_candidates_claim_leadership_and_resign_on_shutdown() {
    let engines = Engines::new(Duration::from_mins(1), |_, _, _| false);
    let store = GrantingStore::default();
    let non_candidate = shared(View {
        claims_leadership: false,
        ..view(&[])
    });
    let leading = maps::run_leader(non_candidate, store.clone(), engines.clone(), settings());
    tokio::select! {
        () = leading => panic!("the gateway is not shutting down, but the leader loop returned"),
        () = sleep(Duration::from_millis(600)) => {}
    }
    assert_eq!(store.claims.load(Ordering::Relaxed), 0);
    let leader = shared(view(&["fast"]));
    let leading = maps::run_leader(Arc::clone(&leader), store.clone(), engines, settings());
    let stop = async {
        sleep(Duration::from_millis(900)).await;
        leader.begin_shutdown(Shutdown::new(shutdown::Settings::default(), clock::now()));
    };
    let both = async { tokio::join!(leading, stop) };
    let ended = timeout(Duration::from_secs(3), both).await;
    assert!(
        ended.is_ok(),
        "the leader loop did not end within 3 s of the shutdown"
    );
    assert!(store.claims.load(Ordering::Relaxed) > 1);
    assert_eq!(store.resigned.load(Ordering::Relaxed), 1);
}

/// Regression: after a loss of all power, the store still listed the records of the earlier
/// start of each engine. The leader took them for members of the groups, so that no group
/// was complete until those records expired.
#[tokio::test]
async fn regression_records_of_an_earlier_start_do_not_count_as_ranks() {
    let engines = Engines::new(Duration::from_mins(1), |_, _, _| false);
    engines.restart(FIRST_START + 1);
    let both = view_of_starts(&["fast"], &[FIRST_START, FIRST_START + 1]);
    let store = GrantingStore::default();
    let leading = maps::run_leader(shared(both), store, engines.clone(), settings());
    tokio::select! {
        () = leading => {}
        () = sleep(Duration::from_millis(2_500)) => {}
    }
    let history = engines.history("fast");
    assert!(history.switches >= 1, "{history:?}");
}

/// Regression: a leader that had read a group by the records of an earlier start sent its
/// commands to those for as long as it led. Each was refused, and no map changed any more.
#[tokio::test]
async fn regression_restarted_group_is_read_again() {
    let engines = Engines::new(Duration::from_mins(1), |_, _, _| false);
    engines.restart(FIRST_START + 1);
    let gateway = shared(view(&["fast"]));
    let store = GrantingStore::default();
    let leading = maps::run_leader(Arc::clone(&gateway), store, engines.clone(), settings());
    let restart = async {
        sleep(Duration::from_secs(1)).await;
        gateway.publish(view_of_starts(&["fast"], &[FIRST_START + 1]));
        sleep(Duration::from_secs(3)).await;
    };
    tokio::select! {
        () = leading => {}
        () = restart => {}
    }
    let history = engines.history("fast");
    assert!(history.switches >= 1, "{history:?}");
}

/// Runs a leader over a store that falls silent after 600 ms, while the demand shifts at 2 s,
/// and returns how many maps were switched after that. `peer_answered` states whether another
/// gateway goes on getting answers.
async fn switches_while_store_is_silent(settings: maps::Settings, peer_answered: bool) -> u32 {
    let engines = Engines::new(Duration::from_secs(2), |_, _, _| false);
    let store = GrantingStore::default();
    let gateway = shared(view(&["fast"]));
    let leading = maps::run_leader(
        Arc::clone(&gateway),
        store.clone(),
        engines.clone(),
        settings,
    );
    let outage = async {
        sleep(Duration::from_millis(600)).await;
        store.silent.store(true, Ordering::Relaxed);
        for _ in 0..14 {
            sleep(Duration::from_millis(100)).await;
            if peer_answered {
                let answered = ContactState {
                    answer_age_ms: Some(0),
                    failing: false,
                    era: None,
                };
                gateway.store_contact.record_peer(answered, clock::now());
            }
        }
        let before = engines.history("fast").switches;
        sleep(Duration::from_secs(2)).await;
        engines.history("fast").switches - before
    };
    tokio::select! {
        () = leading => panic!("the gateway is not shutting down, but the leader loop returned"),
        switches = outage => switches,
    }
}

/// Regression: with a store that answered nobody for seven seconds, no map followed the demand
/// from one second after its start until it was back, since the lease had expired. Engines that
/// check the fencing token make it safe to go on.
#[tokio::test]
async fn regression_leader_continues_while_the_store_answers_nobody() {
    assert!(switches_while_store_is_silent(settings(), false).await >= 1);
}

/// A leader that the store turns away while it answers others gives up, since one of them takes
/// over; so does one whose engines do not check the fencing token.
#[tokio::test]
async fn a_leader_that_can_be_replaced_stops_when_its_lease_expires() {
    assert_eq!(switches_while_store_is_silent(settings(), true).await, 0);
    let unfenced = maps::Settings {
        fencing: false,
        ..settings()
    };
    assert_eq!(switches_while_store_is_silent(unfenced, false).await, 0);
}

/// Regression: the three gateways that may claim the leadership were among those that the store
/// turned away, and for eight seconds nobody led.
#[test]
fn regression_gateways_that_the_store_turns_away_do_not_compete() {
    let contacts = [("a", true), ("b", false), ("c", true), ("d", false)];
    let contacts = contacts.map(|(name, failing)| (name.to_owned(), failing));
    assert_eq!(maps::competitors(true, &contacts), None);
    assert_eq!(maps::competitors(false, &contacts), Some(vec!["b", "d"]));
    let all_failing = contacts.map(|(name, _)| (name, true));
    let everyone = Some(vec!["a", "b", "c", "d"]);
    assert_eq!(maps::competitors(true, &all_failing), everyone);
    assert_eq!(maps::competitors(false, &all_failing), Some(Vec::new()));
}

/// Runs a leader until `scenario` has ended.
async fn run_leader_beside(gateway: &Arc<Shared>, engines: &Engines, scenario: impl Future) {
    let store = GrantingStore::default();
    let leading = maps::run_leader(Arc::clone(gateway), store, engines.clone(), settings());
    tokio::select! {
        () = leading => panic!("the gateway is not shutting down, but the leader loop returned"),
        _ = scenario => {}
    }
}

/// Waits until the gateways are told that a group is broken, or that none is, and returns how
/// long that took.
async fn time_until_broken(gateway: &Shared, is_broken: bool) -> Duration {
    let start = clock::now();
    while gateway.admission().outages(clock::now()).broken.is_empty() == is_broken {
        assert!(
            clock::now().since(start) < Duration::from_secs(3),
            "not told"
        );
        sleep(Duration::from_millis(5)).await;
    }
    clock::now().since(start)
}

/// Regression: the leader noticed a crash by a check each second and told nobody, so that calls
/// were sent to the other ranks, which held them for 1.5 s before they refused them.
#[tokio::test]
async fn regression_a_crash_is_told_before_the_other_ranks_state_it() {
    let engines = Engines::new(Duration::from_mins(1), |_, _, _| false);
    let gateway = shared(view(&["fast"]));
    let crash = async {
        sleep(Duration::from_millis(1_700)).await;
        engines.crash();
        let told = time_until_broken(&gateway, true).await;
        assert!(told < Duration::from_millis(700), "{told:?}");
        engines.state_crash();
        sleep(Duration::from_millis(1_500)).await;
        let outages = gateway.admission().outages(clock::now());
        assert_eq!(outages.broken.len(), 1, "{outages:?}");
        assert!(outages.broken[0].age >= Duration::from_millis(1_500));
        engines.recover();
        let told = time_until_broken(&gateway, false).await;
        assert!(told < Duration::from_millis(300), "{told:?}");
    };
    run_leader_beside(&gateway, &engines, crash).await;
}

/// A rank that only the leader cannot reach says nothing of its group: the others go on with
/// their steps, and calls are still sent to all.
#[tokio::test]
async fn a_rank_out_of_reach_of_the_leader_does_not_break_its_group() {
    let engines = Engines::new(Duration::from_mins(1), |_, _, _| false);
    let gateway = shared(view(&["fast"]));
    let cut = async {
        sleep(Duration::from_millis(1_200)).await;
        engines.cut_off();
        for _ in 0..40 {
            sleep(Duration::from_millis(50)).await;
            let outages = gateway.admission().outages(clock::now());
            assert!(outages.broken.is_empty(), "{outages:?}");
        }
    };
    run_leader_beside(&gateway, &engines, cut).await;
}

/// A gateway that starts at a restore of the store may become the leader before it knows the table,
/// and with it the groups. It cannot tell that a group has recovered whose outage others know.
#[tokio::test]
async fn a_leader_without_a_table_does_not_end_the_outage_of_a_group() {
    let gateway = shared(View {
        table: None,
        ..view(&["g"])
    });
    gateway.set_outages(&Statement {
        version: Version {
            fence: 0,
            sequence: 9,
        },
        broken: vec![Broken {
            group: Arc::from("g"),
            age: Duration::ZERO,
        }],
    });
    let engines = Engines::new(Duration::from_mins(1), |_, _, _| false);
    engines.crash();
    run_leader_beside(&gateway, &engines, sleep(Duration::from_millis(900))).await;
    let broken = gateway.admission().outages(clock::now()).broken;
    assert_eq!(broken.len(), 1, "{broken:?}");
}

/// A leader that is killed and starts again under its name, before the store has noticed, is granted
/// the same term. The ranks must not refuse its commands for those of the process before.
#[tokio::test]
async fn a_leader_that_starts_again_in_the_same_term_switches_maps() {
    let engines = Engines::new(Duration::from_mins(1), |_, _, _| false);
    let term = GrantingStore::term();
    let former = Tokens::new(term.number(), Arc::default());
    engines.fence((0..100).map(|_| former.next()).max().unwrap_or_default());
    run_leader_for(&engines, &["fast"], Duration::from_secs(4)).await;
    let history = engines.history("fast");
    assert!(history.switches >= 1, "{history:?}");
}

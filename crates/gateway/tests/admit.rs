//! Replays load patterns against the admission controller.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use sesamerock_base::key::Workspace;
use sesamerock_base::time::Moment;
use sesamerock_gateway::admit::cold::Members;
use sesamerock_gateway::admit::estimate::Value;
use sesamerock_gateway::admit::group::{Listing, Pace, Version};
use sesamerock_gateway::admit::leaving::{Departure, Leaving};
use sesamerock_gateway::admit::pace::PassSlowdown;
use sesamerock_gateway::admit::pause::{MAX_PAUSE, Pauses};
use sesamerock_gateway::admit::{
    AdmissionController, Candidate, HealthSignal, LATE_URGENCY, Obstacle, Reason, Refusal,
    Settings, SlotRequest, UpstreamPool, Verdict,
};
use sesamerock_gateway::table::EngineSpec;
use sesamerock_gateway::upstream::Record;

const SLOTS: u32 = 4;

fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

fn record(id: usize) -> Arc<Record> {
    Arc::new(Record {
        id: Arc::from(format!("u{id}")),
        born: None,
        service: Arc::from("s"),
        address: ([10, 0, 0, 1], 80).into(),
        zone: Arc::from("a"),
        slots: SLOTS,
        draining: false,
        cold: Duration::ZERO,
    })
}

fn engine() -> EngineSpec {
    EngineSpec {
        slots: 12,
        memory: 0,
        step_ms: 4.55,
        request_ms: 0.905,
        stride: 4,
        read_rate: 61_400.0,
        prompt: 800.0,
        answer: 97.0,
        experts: None,
    }
}

fn pool(upstreams: usize) -> UpstreamPool {
    UpstreamPool {
        candidates: (0..upstreams)
            .map(|id| Candidate {
                record: record(id),
                cold_until: Moment::default(),
                cold_limit: OnceLock::new(),
            })
            .collect(),
        ..UpstreamPool::default()
    }
}

fn admission(pool: UpstreamPool) -> AdmissionController {
    let mut admission = AdmissionController::new(Settings::default(), Arc::from("a"));
    admission.set_pools(HashMap::from([(Arc::from("s"), pool)]));
    admission
}

fn slot_request(call: u64, workspace: u32, latest_start: Moment) -> SlotRequest {
    SlotRequest {
        call,
        service: Arc::from("s"),
        workspace: Workspace(workspace),
        tokens: 100,
        urgency: 1,
        latest_start,
        pause: None,
        exclude: Vec::new(),
        origin: sesamerock_gateway::admit::demand::Origin::default(),
    }
}

/// Requests slots until a call is not placed at once; returns the chosen upstreams.
fn fill(admission: &mut AdmissionController, now: Moment) -> Vec<Arc<Record>> {
    let placed = (0..).map_while(
        |call| match admission.request(slot_request(call, 0, now), now) {
            Verdict::Place(record) => Some(record),
            Verdict::Wait | Verdict::Refuse(_) => None,
        },
    );
    placed.collect()
}

/// A burst must fill the upstreams evenly, and no further than their slots and the one
/// call ahead.
#[test]
fn burst_fills_slots_evenly_up_to_the_limit() {
    let mut admission = admission(pool(3));
    let placed = fill(&mut admission, at(0));
    let bound = SLOTS + Settings::default().ahead;
    for id in 0..3 {
        let count = placed.iter().filter(|one| one.id == record(id).id).count();
        assert_eq!(count as u32, bound);
    }
}

/// Calls reported by another gateway take slots until the report expires.
#[test]
fn calls_of_other_gateways_take_slots_until_their_report_expires() {
    let mut admission = admission(pool(1));
    let id = Arc::clone(&record(0).id);
    admission.set_peer_loads("other", vec![(id, SLOTS)], at(0));
    assert_eq!(fill(&mut admission, at(0)).len(), 1);
    let ttl = Settings::default().peer_load_ttl;
    admission.set_peer_loads("third", Vec::new(), at(0) + ttl);
    assert_eq!(fill(&mut admission, at(0) + ttl).len() as u32, SLOTS);
}

/// A call that cannot get a slot in time must be refused before it waits, with a
/// `retry-after` that covers the expected wait.
#[test]
fn calls_whose_wait_would_exceed_their_deadline_are_refused_at_once() {
    let mut admission = admission(pool(1));
    fill(&mut admission, at(0));
    // One call ends every 100 ms.
    for turn in 0..16 {
        let now = at(100 * turn);
        admission.end_call(&record(0), HealthSignal::Success, now);
        assert_eq!(fill(&mut admission, now).len(), 1);
    }
    let now = at(1_600);
    assert!(matches!(
        admission.request(slot_request(900, 0, now + Duration::from_millis(250)), now),
        Verdict::Wait
    ));
    assert!(matches!(
        admission.request(slot_request(901, 0, now + Duration::from_millis(250)), now),
        Verdict::Wait
    ));
    let Verdict::Refuse(refusal) =
        admission.request(slot_request(902, 0, now + Duration::from_millis(250)), now)
    else {
        panic!("the third call would wait 300 ms but was not refused");
    };
    assert_eq!(refusal.reason, Reason::Full);
    assert!(refusal.after >= Duration::from_millis(250));
}

/// A workspace with many waiting calls must not delay the calls of others.
#[test]
fn workspace_with_many_calls_does_not_starve_others() {
    let mut admission = admission(pool(1));
    fill(&mut admission, at(0));
    let latest_start = at(60_000);
    for call in 100..160 {
        assert!(matches!(
            admission.request(slot_request(call, 1, latest_start), at(1)),
            Verdict::Wait
        ));
    }
    for call in 200..204 {
        assert!(matches!(
            admission.request(slot_request(call, 2, latest_start), at(2)),
            Verdict::Wait
        ));
    }
    let mut served = Vec::new();
    for turn in 0..40 {
        let now = at(10 + turn);
        admission.end_call(&record(0), HealthSignal::Success, now);
        served.extend(admission.poll(now).placed.into_iter().map(|(call, _)| call));
    }
    let small = served.iter().filter(|call| **call >= 200).count();
    assert_eq!(small, 4, "of {served:?}");
}

/// A cancelled call must not get a slot, and an expired one must be refused.
#[test]
fn cancelled_and_expired_calls_leave_the_queue() {
    let mut admission = admission(pool(1));
    fill(&mut admission, at(0));
    for call in 100..103 {
        assert!(matches!(
            admission.request(slot_request(call, 0, at(500)), at(1)),
            Verdict::Wait
        ));
    }
    assert!(admission.cancel("s", 100));
    admission.end_call(&record(0), HealthSignal::Success, at(2));
    let placed: Vec<u64> = admission
        .poll(at(2))
        .placed
        .iter()
        .map(|(call, _)| *call)
        .collect();
    assert_eq!(placed, [101]);
    let refused = admission.poll(at(600)).refused;
    assert_eq!(refused.len(), 1);
    assert_eq!((refused[0].0, refused[0].1.reason), (102, Reason::Expired));
}

/// Returns the calls that one of some gateways sends to an upstream during a second of its
/// cold start, with 8 calls per second for all of them.
fn calls_to_a_cold_upstream(own: usize, gateways: usize) -> usize {
    let name = |number: usize| format!("front-{number}");
    let others = (0..gateways).filter(|number| *number != own).map(name);
    let others: Vec<String> = others.collect();
    let mut pool = pool(1);
    pool.candidates[0].cold_until = at(10_000);
    pool.cold_rate = 8.0;
    pool.members = Arc::new(Members::new(&name(own), others.iter().map(String::as_str)));
    let mut admission = admission(pool);
    let mut sent = 0;
    for tick in 0..100 {
        let now = at(10 * tick);
        for record in fill(&mut admission, now) {
            sent += 1;
            admission.end_call(&record, HealthSignal::Success, now);
        }
    }
    sent
}

/// Above its cold-start rate, which is that of all gateways together, an upstream fails.
///
/// Regression: each of 59 gateways sent at least one call a second, and upstreams that could
/// take 27 got 33.
#[test]
fn gateways_share_the_rate_of_an_upstream_during_its_cold_start() {
    for gateways in [1, 4, 17, 59, 970] {
        let calls = (0..gateways).map(|own| calls_to_a_cold_upstream(own, gateways));
        let total: usize = calls.sum();
        // The gateways share 8 calls per second and 5 extra ones.
        assert!(
            (8..=13).contains(&total),
            "{gateways} gateways sent {total}"
        );
    }
}

/// A third of the upstreams cannot be reached: after its failed connections, each of
/// them must get no call until a single one has tried it again.
#[test]
fn unreachable_upstreams_are_tried_by_one_call_at_a_time() {
    let mut admission = admission(pool(3));
    let placed = fill(&mut admission, at(0));
    let unreachable = record(0);
    for record in &placed {
        let failed = record.id == unreachable.id;
        let signal = if failed {
            HealthSignal::Unreachable
        } else {
            HealthSignal::Success
        };
        admission.end_call(record, signal, at(1));
    }
    assert!(
        fill(&mut admission, at(2))
            .iter()
            .all(|one| one.id != unreachable.id)
    );
    let later = at(5_000);
    for record in placed.iter().filter(|one| one.id != unreachable.id) {
        admission.end_call(record, HealthSignal::Success, later);
    }
    let tried = fill(&mut admission, later);
    let tried = tried.iter().filter(|one| one.id == unreachable.id).count();
    assert_eq!(tried, 1);
}

/// An upstream that fails half of its calls must get fewer calls than a healthy one.
#[test]
fn failing_upstreams_get_fewer_calls() {
    let mut admission = admission(pool(2));
    let mut to_failing = 0;
    for turn in 0..200 {
        let now = at(20 * turn);
        let Verdict::Place(record) = admission.request(slot_request(turn, 0, now), now) else {
            panic!("no upstream chosen although slots are free");
        };
        let failing = record.id.ends_with('0');
        to_failing += u32::from(failing);
        let signal = if failing && turn % 2 == 0 {
            HealthSignal::Failure
        } else {
            HealthSignal::Success
        };
        admission.end_call(&record, signal, now);
    }
    assert!(to_failing < 60, "{to_failing} of 200");
}

/// Demand for few experts makes the forward passes of a group three times as long; with
/// all slots taken, every stream would then exceed its longest pause.
#[test]
fn slow_passes_lower_the_limit() {
    let engine = engine();
    let pause = Duration::from_millis(120);
    let mut pace = PassSlowdown::default();
    for tick in 0..100 {
        pace.observe(&engine, Duration::from_millis(33), 4.0, at(tick));
    }
    assert!(pace.limit(&engine, pause, 2.0, at(100)) >= 11.0);
    for tick in 0..100 {
        pace.observe(&engine, Duration::from_millis(105), 4.0, at(200 + tick));
    }
    let limit = pace.limit(&engine, pause, 2.0, at(300));
    let pass_ms = 4.0 * (4.55 + 0.905 * limit) * 105.0 / 32.7;
    assert!(
        (2.0..6.0).contains(&limit) && pass_ms <= 120.0,
        "{limit} {pass_ms}"
    );
    assert!(
        pace.limit(&engine, pause, 2.0, at(3_000)) >= 12.0,
        "slowdown still in use after 2.7 s without events"
    );
}

/// Regression: one pass in five took twice as long as the others, as it processed prompts. The
/// limit followed the mean, and a quarter of the streams paused for slightly too long.
#[test]
fn regression_the_limit_keeps_the_longest_passes_within_the_pause() {
    let engine = engine();
    let pause = Duration::from_millis(120);
    let (load, longest_ms) = (8.0, 110.0);
    let mut pace = PassSlowdown::default();
    for tick in 0..200 {
        let gap_ms = if tick % 5 == 0 { longest_ms as u64 } else { 50 };
        pace.observe(&engine, Duration::from_millis(gap_ms), load, at(tick));
    }
    let limit = pace.limit(&engine, pause, 2.0, at(200));
    let longest_at_limit = longest_ms * (4.55 + 0.905 * limit) / (4.55 + 0.905 * load);
    assert!(longest_at_limit <= 120.0, "{limit} {longest_at_limit}");
    assert!(limit >= 6.0, "{limit}");
}

/// Regression: streams waited for a slot until 0.7 of their objective, but processing a prompt
/// took half of it, so that all that waited so long were late.
#[test]
fn regression_streams_wait_no_longer_than_their_first_event_allows() {
    let mut admission = admission(pool(1));
    let service: Arc<str> = Arc::from("s");
    let objective = Duration::from_millis(600);
    let longest = |admission: &AdmissionController, now| {
        admission.longest_wait("s", objective, now).as_millis()
    };
    assert_eq!(longest(&admission, at(0)), 420);
    for tick in 0..100 {
        admission.observe_first_event(&service, Duration::from_millis(300), at(tick));
    }
    assert!((290..=300).contains(&longest(&admission, at(100))));
    for tick in 100..200 {
        admission.observe_first_event(&service, Duration::from_millis(900), at(tick));
    }
    // Some calls have to run, so that the end of the slowness is noticed.
    assert_eq!(longest(&admission, at(200)), 60);
    assert_eq!(longest(&admission, at(5_000)), 420);
}

/// The limit applies to the average load of a pool, since its engines step together.
#[test]
fn streams_wait_when_the_pass_time_reaches_the_pause_limit() {
    let mut pool = pool(2);
    pool.engine = Some(engine());
    let mut admission = admission(pool);
    let stream = |call, now| SlotRequest {
        pause: Some(Duration::from_millis(120)),
        ..slot_request(call, 0, now + Duration::from_secs(1))
    };
    let mut placed = 0;
    for call in 0..10 {
        for _ in 0..20 {
            admission.observe_gap(&record(0), Duration::from_millis(110), at(call));
        }
        match admission.request(stream(call, at(call)), at(call)) {
            Verdict::Place(_) => placed += 1,
            Verdict::Wait => {}
            Verdict::Refuse(refusal) => panic!("{refusal:?}"),
        }
    }
    assert!((4..8).contains(&placed), "{placed} of 10");
}

/// Regression: while one rank made the passes of the only group 4.5 times as long, no stream could
/// be in time. The limit for streams in time applied to late calls too, so that most calls were
/// refused while four in five slots were free.
#[test]
fn regression_late_calls_fill_a_group_whose_streams_are_late_at_any_load() {
    for late_streams in [false, true] {
        let mut pool = pool(4);
        pool.engine = Some(EngineSpec {
            slots: SLOTS,
            ..engine()
        });
        let settings = Settings {
            late_streams,
            ..Settings::default()
        };
        let mut admission = AdmissionController::new(settings, Arc::from("a"));
        admission.set_pools(HashMap::from([(Arc::from("s"), pool)]));
        let pass_ms = 4.0 * (4.55 + 0.905) * 4.5;
        for tick in 0..100 {
            let gap = Duration::from_secs_f64(pass_ms / 1e3);
            admission.observe_gap(&record(0), gap, at(tick));
        }
        let mut place = |urgency| {
            let placed = (0..40).filter(|call| {
                let request = SlotRequest {
                    urgency,
                    pause: Some(Duration::from_millis(80)),
                    ..slot_request(100 * u64::from(urgency) + call, 0, at(100))
                };
                matches!(admission.request(request, at(100)), Verdict::Place(_))
            });
            placed.count() as u32
        };
        // Two in time for each engine, so that the recovery of the group is seen.
        assert_eq!(place(1), 8);
        let late = place(LATE_URGENCY);
        assert_eq!(late > 0, late_streams, "{late} late calls placed");
        assert!(late <= 4 * (SLOTS + Settings::default().ahead), "{late}");
    }
}

/// Returns a controller with three groups of four engines, and the groups' upstreams.
fn groups_of_engines() -> AdmissionController {
    let mut pool = pool(12);
    pool.engine = Some(engine());
    let mut admission = admission(pool);
    let ids = |group: usize| (0..4).map(move |rank| Arc::clone(&record(4 * group + rank).id));
    let groups = (0..3).map(|group| (Arc::from(format!("g{group}")), ids(group).collect()));
    let is_new = admission.set_groups(Listing {
        version: Version {
            fence: 1,
            sequence: 1,
        },
        groups: groups.collect(),
    });
    assert!(is_new);
    admission
}

/// Regression: one slow rank in a group of 64 made its passes twelve times as long. The pace was
/// that of the service, so that all groups were limited to two requests an engine, half of
/// the calls were refused, and the slow group got as many calls as the others.
#[test]
fn regression_a_slow_group_limits_only_its_own_streams() {
    let mut admission = groups_of_engines();
    let pause = Duration::from_millis(120);
    for tick in 0..40 {
        let now = at(25 * tick);
        admission.observe_gap(&record(0), Duration::from_millis(500), now);
        admission.observe_gap(&record(4), Duration::from_millis(35), now);
        admission.observe_gap(&record(8), Duration::from_millis(35), now);
    }
    let now = at(1_000);
    let mut calls_by_group = [0; 3];
    for call in 0.. {
        let request = SlotRequest {
            pause: Some(pause),
            ..slot_request(call, 0, now)
        };
        let Verdict::Place(placed) = admission.request(request, now) else {
            break;
        };
        let group = (0..12).find(|id| record(*id).id == placed.id).unwrap_or(0) / 4;
        calls_by_group[group] += 1;
    }
    // The others fill their slots; the slow one keeps a stream to notice its recovery.
    assert!(calls_by_group[0] <= 2, "{calls_by_group:?}");
    assert!(calls_by_group[1] >= 16, "{calls_by_group:?}");
    assert!(calls_by_group[2] >= 16, "{calls_by_group:?}");
}

/// A stream is bounded by its number of tokens and the passes of the slowest group, and by nothing
/// while the pace of a group is unknown.
#[test]
fn streams_are_bounded_by_their_tokens_and_the_pace_of_the_slowest_group() {
    let mut admission = groups_of_engines();
    let longest = |admission: &AdmissionController, output, now| {
        admission.longest_stream("s", 800, output, now)
    };
    admission.observe_gap(&record(0), Duration::from_millis(35), at(0));
    admission.observe_gap(&record(4), Duration::from_millis(35), at(0));
    assert_eq!(longest(&admission, 96, at(0)), None);
    admission.observe_gap(&record(8), Duration::from_millis(70), at(0));
    let Some(short) = longest(&admission, 96, at(0)) else {
        panic!("the pace is unknown");
    };
    // 24 passes at the pace of the third group are 1.7 s with one request, more with twelve.
    assert!(short >= Duration::from_millis(1_700), "{short:?}");
    assert!(short <= Duration::from_secs(8), "{short:?}");
    let Some(long) = longest(&admission, 960, at(0)) else {
        panic!("the pace is unknown");
    };
    assert!(long > short * 8, "{long:?} {short:?}");
    // Callers may send any number.
    let huge = longest(&admission, u64::MAX, at(0));
    assert!(
        huge.is_none_or(|huge| at(0) + huge > at(1_000_000)),
        "{huge:?}"
    );
    assert_eq!(longest(&admission, 96, at(5_000)), None);
}

/// A gateway without streams in a slow group learns its pace from others, and forgets it once
/// nobody observes it any more.
#[test]
fn pace_of_a_group_is_learnt_from_other_gateways_until_it_expires() {
    let mut admission = groups_of_engines();
    let slow = [Pace {
        group: Arc::from("g0"),
        slowdown: Value {
            mean: 12.0,
            deviation: 0.0,
        },
    }];
    admission.learn_paces(&slow, at(0));
    let mut calls_to_slow_group = |now: Moment| {
        let mut count = 0;
        for call in 0..8 {
            let request = SlotRequest {
                pause: Some(Duration::from_millis(120)),
                ..slot_request(call, 0, now)
            };
            if let Verdict::Place(placed) = admission.request(request, now) {
                count += usize::from((0..4).any(|id| record(id).id == placed.id));
                admission.end_call(&placed, HealthSignal::Success, now);
            }
        }
        count
    };
    assert!(calls_to_slow_group(at(100)) <= 1);
    let later: usize = (0..10)
        .map(|turn| calls_to_slow_group(at(3_000 + turn)))
        .sum();
    assert!(later >= 10, "{later} of 80");
}

/// An older listing of groups does not replace a newer one, whoever tells it.
#[test]
fn older_listings_of_groups_are_ignored() {
    let mut admission = groups_of_engines();
    assert!(!admission.set_groups(Listing::default()));
    assert_eq!(admission.groups().groups.len(), 3);
}

/// While no call completes, callers that get a short `retry-after` are refused again and
/// again: 206 refusals within 1 s. With completions, the time follows their rate.
#[test]
fn regression_retry_after_is_longest_while_a_service_completes_no_calls() {
    let mut admission = admission(pool(1));
    let max_retry_after = Settings::default().max_retry_after;
    assert_eq!(admission.full_refusal("s", at(0)).after, max_retry_after);
    fill(&mut admission, at(0));
    for turn in 0..16 {
        assert!(matches!(
            admission.request(slot_request(900 + turn, 0, at(60_000)), at(0)),
            Verdict::Wait
        ));
        admission.end_call(&record(0), HealthSignal::Success, at(20 * turn));
    }
    let retry_after = admission.full_refusal("s", at(320)).after;
    assert!(retry_after < max_retry_after / 4, "{retry_after:?}");
    assert_eq!(
        admission.full_refusal("s", at(10_000)).after,
        max_retry_after
    );
}

/// Regression: after the loss of all power, the store listed the former ids of 192 upstreams
/// for four seconds. Each of 59 gateways found out by a refused call to each of them, so that
/// callers were refused until the list was right.
#[test]
fn regression_a_replaced_upstream_is_called_once_by_all_gateways_together() {
    let mut first = admission(pool(2));
    let mut second = admission(pool(2));
    let replaced = record(0);
    for placed in fill(&mut first, at(0)) {
        let signal = if placed.id == replaced.id {
            HealthSignal::Misdirected
        } else {
            HealthSignal::Success
        };
        first.end_call(&placed, signal, at(1));
    }
    second.learn_misdirected(&first.recent_misdirected(at(200)), at(201));
    for gateway in [&mut first, &mut second] {
        let placed = fill(gateway, at(300));
        assert!(!placed.is_empty());
        assert!(placed.iter().all(|placed| placed.id != replaced.id));
    }
    // Findings of others are not passed on, so that they end.
    assert!(second.recent_misdirected(at(300)).is_empty());
    // An upstream that has started again under the same id is another one.
    let mut restarted = pool(2);
    let record = Record {
        born: Some(2),
        ..Record::clone(&record(0))
    };
    restarted.candidates[0].record = Arc::new(record);
    second.set_pools(HashMap::from([(Arc::from("s"), restarted)]));
    let placed = fill(&mut second, at(301));
    assert!(placed.iter().any(|placed| placed.id == replaced.id));
}

/// The statement holds for one start of an upstream in each order of events: own answers, what
/// other gateways tell, and records of earlier and later starts.
#[test]
fn only_later_starts_of_an_upstream_that_left_get_calls() {
    let start = |born| Record {
        born,
        ..Record::clone(&record(0))
    };
    let (former, current) = (start(Some(1)), start(Some(2)));
    // Each bit says whether a start is told by another gateway or observed.
    for order in [[&former, &current], [&current, &former]] {
        for told in 0..4_u8 {
            let mut leaving = Leaving::default();
            for (index, record) in order.into_iter().enumerate() {
                let is_newest_yet = index == 0 || record.born == current.born;
                let is_new = if told & (1 << index) == 0 {
                    leaving.observe(record, at(0))
                } else {
                    !leaving.learn(&[Departure::of(record)], at(0)).is_empty()
                };
                assert_eq!(is_new, is_newest_yet, "{order:?} {told}");
                assert!(leaving.contains(record));
            }
            assert!(leaving.contains(&former) && leaving.contains(&current));
            assert!(!leaving.contains(&start(Some(3))));
        }
    }
    let mut leaving = Leaving::default();
    leaving.observe(&former, at(0));
    assert!(!leaving.contains(&current), "a later start is sound");
    assert!(!leaving.contains(&record(1)), "another id is sound");
    assert_eq!(leaving.recent(at(100)), [Departure::of(&former)]);
    assert!(leaving.recent(at(60_000)).is_empty());
}

/// What is remembered of departures is bounded, whatever other gateways tell.
#[test]
fn the_oldest_departures_are_forgotten() {
    let mut leaving = Leaving::default();
    for id in 0..10_000 {
        leaving.observe(&record(id), at(id as u64));
    }
    let is_remembered = |id: &usize| leaving.contains(&record(*id));
    assert_eq!((0..10_000).filter(is_remembered).count(), 4_096);
    assert!((5_904..10_000).all(|id| is_remembered(&id)));
}

/// Calls that wait for upstreams of which the last one begins to leave are refused at once, and
/// later ones too; the time to retry is that in which new upstreams start.
#[test]
fn waiting_calls_are_refused_when_the_last_upstream_leaves() {
    let mut admission = admission(pool(2));
    fill(&mut admission, at(0));
    let latest = at(5_000);
    let wait = admission.request(slot_request(900, 0, latest), at(10));
    assert!(matches!(wait, Verdict::Wait));
    admission.observe_leaving(&record(0), at(20));
    assert!(admission.poll(at(20)).refused.is_empty());
    admission.learn_leaving(&[Departure::of(&record(1))], at(30));
    let poll = admission.poll(at(30));
    let (call, refusal) = poll.refused[0];
    assert_eq!((call, refusal.reason), (900, Reason::Nowhere));
    assert_eq!(refusal.after, Settings::default().max_retry_after);
    let next = admission.request(slot_request(901, 0, latest), at(40));
    let Verdict::Refuse(next) = next else {
        panic!("{next:?}");
    };
    assert_eq!(next, refusal);
    assert_eq!(admission.full_refusal("s", at(40)), refusal);
    let obstacle = admission.obstacle(&record(0), at(40));
    assert_eq!(obstacle, Some(Obstacle::Leaving));
}

/// An upstream that asks each gateway for a pause gets no call until its end and then one of each
/// gateway, and all that fit once that one is answered. Other gateways are not concerned.
#[test]
fn regression_one_call_of_a_gateway_tries_an_upstream_after_its_pause() {
    for gateways in [4, 59] {
        let mut tried = 0;
        for gateway in 0..gateways {
            let mut admission = admission(pool(1));
            for sent in fill(&mut admission, at(gateway)) {
                admission.end_call(&sent, HealthSignal::Full, at(gateway));
            }
            admission.pause(&record(0), Duration::from_secs(2), at(100));
            assert!(fill(&mut admission, at(100)).is_empty());
            assert!(fill(&mut admission, at(2_099)).is_empty());
            let obstacle = admission.obstacle(&record(0), at(2_099));
            assert_eq!(obstacle, Some(Obstacle::Paused));
            // An answer to a call from before the pause does not end it.
            admission.observe_answer(&record(0), at(gateway));
            assert!(fill(&mut admission, at(2_099)).is_empty());
            let first = fill(&mut admission, at(2_100));
            assert_eq!(first.len(), 1);
            assert!(fill(&mut admission, at(2_900)).is_empty());
            tried += first.len();
            if gateway % 2 == 0 {
                admission.observe_answer(&record(0), at(2_100));
                assert!(!fill(&mut admission, at(2_900)).is_empty());
            } else {
                admission.pause(&record(0), Duration::from_millis(500), at(2_900));
                assert!(fill(&mut admission, at(3_399)).is_empty());
                assert_eq!(fill(&mut admission, at(3_400)).len(), 1);
            }
        }
        assert_eq!(tried as u64, gateways);
    }
}

/// Zero is no pause, a long one is bounded, of two the later end counts, and a later start of the
/// upstream is not concerned.
#[test]
fn pauses_are_bounded_and_belong_to_one_start() {
    let mut pauses = Pauses::default();
    pauses.start(&record(0), Duration::ZERO, at(0));
    assert_eq!(pauses.end(&record(0)), None);
    pauses.start(&record(0), Duration::MAX, at(0));
    assert_eq!(pauses.end(&record(0)), Some(at(0) + MAX_PAUSE));
    pauses.start(&record(0), Duration::from_secs(1), at(10));
    assert_eq!(pauses.end(&record(0)), Some(at(0) + MAX_PAUSE));
    let restarted = Record {
        born: Some(2),
        ..Record::clone(&record(0))
    };
    assert!(!pauses.contains(&restarted, at(20)));
}

/// A call that would wait for upstreams that have all asked for a pause is refused at once if the
/// first pause ends after its latest start, with the time until then; the pauses of some upstreams
/// leave the limits of the others as they are. A pause is no failure of its upstream.
#[test]
fn refusals_name_the_earliest_end_of_a_pause() {
    let mut admission = admission(pool(3));
    admission.pause(&record(0), Duration::from_secs(3), at(0));
    admission.pause(&record(1), Duration::from_millis(2_800), at(0));
    let bound = SLOTS + Settings::default().ahead;
    assert_eq!(fill(&mut admission, at(0)).len() as u32, bound);
    let wait = admission.request(slot_request(900, 0, at(2_000)), at(10));
    assert!(matches!(wait, Verdict::Wait));
    let wait = admission.request(slot_request(901, 0, at(4_000)), at(10));
    assert!(matches!(wait, Verdict::Wait));
    admission.pause(&record(2), Duration::from_millis(3_200), at(20));
    let poll = admission.poll(at(20));
    let refusal = Refusal {
        reason: Reason::Paused,
        after: Duration::from_millis(2_780),
    };
    assert_eq!(poll.refused, [(900, refusal)]);
    let next = admission.request(slot_request(902, 0, at(2_000)), at(20));
    let Verdict::Refuse(next) = next else {
        panic!("{next:?}");
    };
    assert_eq!(next, refusal);
    // The first upstream whose pause ends runs the call that still waits.
    let placed = admission.poll(at(2_800)).placed;
    assert_eq!((placed.len(), placed[0].0), (1, 901));
    assert_eq!(placed[0].1.id, record(1).id);
}

/// Gateways with the same counts choose different upstreams.
#[test]
fn gateways_prefer_different_upstreams() {
    let ids: Vec<String> = (0..192).map(|number| format!("i-{number}")).collect();
    let favourite = |gateway: usize| {
        let members = Members::new(&format!("front-{gateway}"), []);
        ids.iter().min_by_key(|id| members.preference(id)).cloned()
    };
    let chosen: HashSet<Option<String>> = (0..59).map(favourite).collect();
    assert!(chosen.len() >= 40, "59 gateways chose {}", chosen.len());
}

/// Regression: gateways that did not know each other yet, after a restart of all, each took the whole
/// rate of a cold upstream.
#[test]
fn regression_gateways_without_members_share_a_cold_upstream() {
    for gateways in [4, 17, 59] {
        let calls = (0..gateways).map(|seed| {
            let mut pool = pool(1);
            pool.candidates[0].cold_until = at(20_000);
            pool.cold_rate = 8.0;
            pool.members = Arc::default();
            let settings = Settings {
                seed,
                ..Settings::default()
            };
            let mut admission = AdmissionController::new(settings, Arc::from("a"));
            admission.set_pools(HashMap::from([(Arc::from("s"), pool)]));
            let mut seconds = [0; 16];
            for tick in 0..1_600 {
                let now = at(10 * tick);
                for record in fill(&mut admission, now) {
                    seconds[tick as usize / 100] += 1;
                    admission.end_call(&record, HealthSignal::Success, now);
                }
            }
            seconds
        });
        let calls: Vec<[u32; 16]> = calls.collect();
        let seconds = (0..16).map(|second| calls.iter().map(|it| it[second]).sum::<u32>());
        let seconds: Vec<u32> = seconds.collect();
        // As many as gateways may send that know each other.
        assert!(
            seconds.iter().all(|it| *it <= 13),
            "{gateways}: {seconds:?}"
        );
        assert!(seconds.iter().any(|it| *it > 0), "{gateways}: {seconds:?}");
    }
}

/// Regression: only a heartbeat removed the calls of other gateways, so that the last gateway counted
/// those of lost ones for good.
#[test]
fn regression_loads_of_lost_gateways_expire_without_a_heartbeat() {
    let mut admission = admission(pool(1));
    let id = Arc::clone(&record(0).id);
    admission.set_peer_loads("other", vec![(id, SLOTS)], at(0));
    assert_eq!(fill(&mut admission, at(0)).len(), 1);
    let ttl = Settings::default().peer_load_ttl;
    admission.drop_silent_loads(at(0) + ttl);
    assert_eq!(fill(&mut admission, at(0) + ttl).len() as u32, SLOTS);
}

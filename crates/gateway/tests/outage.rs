//! Replays outages of groups against the admission controllers of one and of many gateways.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use sesamerock_base::key::Workspace;
use sesamerock_base::time::Moment;
use sesamerock_gateway::admit::cold::Members;
use sesamerock_gateway::admit::group::{Listing, Pace, Version};
use sesamerock_gateway::admit::outage::{Broken, Forecast, Statement, retry_after};
use sesamerock_gateway::admit::{
    AdmissionController, Candidate, HealthSignal, LATE_URGENCY, Settings, SlotRequest,
    UpstreamPool, Verdict, estimate::Value,
};
use sesamerock_gateway::table::EngineSpec;
use sesamerock_gateway::upstream::Record;

const SLOTS: u32 = 12;
const RANKS: usize = 12;

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
        slots: SLOTS,
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

/// Returns a controller of gateway `number` of `gateways` with some groups of [`RANKS`] ranks.
fn controller(number: usize, gateways: usize, groups: usize) -> AdmissionController {
    let names: Vec<String> = (0..gateways).map(|number| format!("g{number}")).collect();
    let others = names.iter().filter(|name| **name != names[number]);
    let candidates = (0..groups * RANKS).map(|id| Candidate {
        record: record(id),
        cold_until: Moment::default(),
        cold_limit: OnceLock::new(),
    });
    let pool = UpstreamPool {
        candidates: candidates.collect(),
        members: Arc::new(Members::new(&names[number], others.map(String::as_str))),
        engine: Some(engine()),
        ..UpstreamPool::default()
    };
    let settings = Settings {
        seed: number as u64,
        ..Settings::default()
    };
    let mut controller = AdmissionController::new(settings, Arc::from("a"));
    controller.set_pools(HashMap::from([(Arc::from("s"), pool)]));
    controller.set_groups(Listing {
        version: version(1),
        groups: (0..groups)
            .map(|group| {
                (
                    name(group),
                    (0..RANKS).map(|rank| id(group, rank)).collect(),
                )
            })
            .collect(),
    });
    controller
}

fn version(sequence: u64) -> Version {
    Version { fence: 1, sequence }
}

fn name(group: usize) -> Arc<str> {
    Arc::from(format!("group-{group}"))
}

fn id(group: usize, rank: usize) -> Arc<str> {
    Arc::from(format!("u{}", group * RANKS + rank))
}

fn statement(sequence: u64, broken: &[usize], age: Duration) -> Statement {
    let broken = broken.iter().map(|group| Broken {
        group: name(*group),
        age,
    });
    Statement {
        version: version(sequence),
        broken: broken.collect(),
    }
}

fn request(call: u64, urgency: u8, latest_start: Moment) -> SlotRequest {
    SlotRequest {
        call,
        service: Arc::from("s"),
        workspace: Workspace(0),
        tokens: 100,
        urgency,
        latest_start,
        pause: None,
        exclude: Vec::new(),
        origin: sesamerock_gateway::admit::demand::Origin::default(),
    }
}

/// Regression: calls were sent to ranks of a group whose other rank had crashed. They were held
/// there for 1.5 s, refused, and used up the attempts of their callers.
#[test]
fn regression_no_call_is_sent_to_a_broken_group() {
    let mut admission = controller(0, 1, 2);
    admission.set_outages(&statement(2, &[0], Duration::ZERO), at(0));
    for call in 0..200 {
        let verdict = admission.request(request(call, 1, at(100)), at(0));
        if let Verdict::Place(record) = verdict {
            let number: usize = record.id[1..].parse().expect("ids end in numbers");
            assert!(
                number >= RANKS,
                "{} is a rank of the broken group",
                record.id
            );
        }
    }
    let placed = admission.totals().0;
    assert!(
        placed >= SLOTS * RANKS as u32,
        "the other group is used: {placed}"
    );
    admission.set_outages(&statement(3, &[], Duration::ZERO), at(1_000));
    assert!(
        !admission.poll(at(1_000)).placed.is_empty() || {
            let late = admission.request(request(999, 1, at(1_100)), at(1_000));
            matches!(late, Verdict::Place(_))
        }
    );
}

/// Regression: a rank that has started again is in no listing before its group has formed, so it
/// counted as an upstream without a group and got all calls.
#[test]
fn regression_a_restarted_rank_of_a_broken_group_gets_no_calls() {
    let mut admission = controller(0, 1, 1);
    let restarted = Listing {
        version: version(2),
        groups: vec![(name(0), (1..RANKS).map(|rank| id(0, rank)).collect())],
    };
    admission.set_groups(restarted);
    admission.set_outages(&statement(3, &[0], Duration::ZERO), at(0));
    let verdict = admission.request(request(1, 1, at(100)), at(0));
    assert!(matches!(verdict, Verdict::Refuse(_)), "{verdict:?}");
}

/// A call waits only if the outage is expected to end before its latest start; otherwise it is
/// refused at once, while its caller can still use the time.
#[test]
fn calls_wait_for_the_end_of_an_outage_or_are_refused_at_once() {
    let mut admission = controller(0, 1, 1);
    let age = Duration::from_secs(3);
    admission.set_outages(&statement(2, &[0], age), at(0));
    let soon = admission.request(request(1, LATE_URGENCY, at(1_500)), at(0));
    assert!(matches!(soon, Verdict::Wait), "{soon:?}");
    let Verdict::Refuse(refusal) = admission.request(request(2, LATE_URGENCY, at(500)), at(0))
    else {
        panic!("the outage is expected to last for another second");
    };
    assert!(refusal.after >= Duration::from_secs(1), "{refusal:?}");
    assert!(refusal.after <= Settings::default().max_retry_after);
    admission.set_outages(&statement(3, &[], age), at(900));
    assert_eq!(admission.poll(at(900)).placed.len(), 1);
}

/// Without a leader, nobody would tell that a group has formed, so calls are tried again.
#[test]
fn an_outage_that_is_no_longer_stated_expires() {
    let mut admission = controller(0, 1, 1);
    admission.set_outages(&statement(2, &[0], Duration::ZERO), at(0));
    let during = admission.request(request(1, 1, at(2_600)), at(2_500));
    assert!(matches!(during, Verdict::Refuse(_)), "{during:?}");
    let after = admission.request(request(2, 1, at(3_100)), at(3_000));
    assert!(matches!(after, Verdict::Place(_)), "{after:?}");
}

/// A statement that arrives after a newer one, by way of another gateway, changes nothing.
#[test]
fn an_older_statement_does_not_break_a_group_again() {
    let mut admission = controller(0, 1, 1);
    let broken = statement(2, &[0], Duration::ZERO);
    assert!(admission.set_outages(&broken, at(0)));
    assert!(admission.set_outages(&statement(3, &[], Duration::ZERO), at(100)));
    assert!(!admission.set_outages(&broken, at(200)));
    let verdict = admission.request(request(1, 1, at(300)), at(200));
    assert!(matches!(verdict, Verdict::Place(_)), "{verdict:?}");
}

/// A gateway that starts during an outage learns of it from any other, with its age.
#[test]
fn an_outage_is_passed_on_with_its_age() {
    let mut first = controller(0, 2, 1);
    first.set_outages(&statement(2, &[0], Duration::from_secs(1)), at(0));
    let mut second = controller(1, 2, 1);
    assert!(second.set_outages(&first.outages(at(500)), at(500)));
    let age = second.outages(at(500)).broken[0].age;
    assert_eq!(age, Duration::from_millis(1_500));
}

/// The forming of a group at the start of the system is no outage to learn from.
#[test]
fn only_groups_that_have_run_teach_the_duration_of_outages() {
    let after = |has_run: bool| {
        let mut admission = controller(0, 1, 1);
        if has_run {
            let slowdown = Value {
                mean: 1.0,
                deviation: 0.0,
            };
            let pace = Pace {
                group: name(0),
                slowdown,
            };
            admission.learn_paces(&[pace], at(0));
        }
        admission.set_outages(&statement(2, &[0], Duration::ZERO), at(0));
        admission.set_outages(&statement(3, &[], Duration::ZERO), at(600));
        admission.set_outages(&statement(4, &[0], Duration::ZERO), at(1_000));
        match admission.request(request(1, LATE_URGENCY, at(3_500)), at(1_000)) {
            Verdict::Wait => true,
            Verdict::Refuse(_) => false,
            Verdict::Place(_) => panic!("the group is broken"),
        }
    };
    assert!(after(true), "2.3 s are expected after 4 s and 0.6 s");
    assert!(!after(false), "4 s are expected");
}

/// The expected end moves on while an outage lasts longer than expected, and callers are never
/// told more than the longest time.
#[test]
fn estimates_of_an_outage_stay_within_their_limits() {
    let forecast = Forecast::default();
    let longest = Settings::default().max_retry_after;
    for elapsed_ms in (0..60_000).step_by(250) {
        let elapsed = Duration::from_millis(elapsed_ms);
        let remaining = forecast.remaining(elapsed);
        assert!(
            remaining >= elapsed.mul_f64(0.099),
            "{elapsed:?} {remaining:?}"
        );
        for position in [0.0, 0.5, 1.0] {
            assert!(retry_after(remaining, longest, position) <= longest);
        }
    }
}

/// What became of the callers that arrived so late in an outage that the longest time that a
/// refusal names leads to its end.
#[derive(Debug, Default)]
struct Outcome {
    arrived: u32,
    served: u32,
    /// Callers by the tenth of a second in which they returned.
    returns: BTreeMap<u64, u32>,
}

/// Duration of the outage in the replay.
const OUTAGE_MS: u64 = 4_200;
/// Time for which callers wait in all.
const DEADLINE_MS: u64 = 8_000;
/// Time for which a gateway holds a call.
const HOLD_MS: u64 = 1_500;
/// Duration of a stream.
const STREAM_MS: u64 = 1_500;

/// Replays callers that return once, after the time that their refusal names or a third of the
/// time that they have left.
fn replay(gateways: usize, calls_per_second: u64) -> Outcome {
    let mut controllers: Vec<AdmissionController> = (0..gateways)
        .map(|number| controller(number, gateways, 1))
        .collect();
    let mut outcome = Outcome::default();
    // By time: the call, its first arrival, and whether it has returned.
    let mut arrivals: BTreeMap<u64, Vec<(u64, u64, bool)>> = BTreeMap::new();
    for call in 0..(OUTAGE_MS + 3_000) * calls_per_second / 1_000 {
        let arrival = call * 1_000 / calls_per_second;
        arrivals
            .entry(arrival)
            .or_default()
            .push((call, arrival, false));
    }
    let mut ends: BTreeMap<u64, Vec<(usize, Arc<Record>)>> = BTreeMap::new();
    let mut held: HashMap<u64, (u64, bool)> = HashMap::new();
    let longest = Settings::default().max_retry_after.as_millis() as u64;
    let is_counted = |first: u64| (OUTAGE_MS - longest..OUTAGE_MS).contains(&first);
    for now in 0..OUTAGE_MS + 6_000 {
        if now % 1_000 == 200 || now == OUTAGE_MS {
            let broken: &[usize] = if now < OUTAGE_MS { &[0] } else { &[] };
            let stated = statement(2 + now, broken, Duration::from_millis(now));
            for controller in &mut controllers {
                controller.set_outages(&stated, at(now));
            }
        }
        if now % 200 == 0 {
            let loads: Vec<_> = controllers.iter().map(AdmissionController::loads).collect();
            for (number, controller) in controllers.iter_mut().enumerate() {
                for (peer, loads) in loads.iter().enumerate().filter(|(it, _)| *it != number) {
                    controller.set_peer_loads(&format!("g{peer}"), loads.clone(), at(now));
                }
            }
        }
        for (gateway, record) in ends.remove(&now).unwrap_or_default() {
            controllers[gateway].end_call(&record, HealthSignal::Success, at(now));
        }
        let mut refused = Vec::new();
        for (call, first, returned) in arrivals.remove(&now).unwrap_or_default() {
            if is_counted(first) && !returned {
                outcome.arrived += 1;
            }
            let gateway = (call * 31 + u64::from(returned) * 7) as usize % gateways;
            let controller = &mut controllers[gateway];
            let latest_start = at(now + HOLD_MS);
            let mut verdict = controller.request(request(call * 2, 1, at(now + 250)), at(now));
            if let Verdict::Refuse(_) = verdict {
                let late = request(call * 2 + 1, LATE_URGENCY, latest_start);
                verdict = controller.request(late, at(now));
            }
            match verdict {
                Verdict::Place(record) => {
                    assert!(
                        !(200..OUTAGE_MS).contains(&now),
                        "sent to {} during the outage",
                        record.id
                    );
                    outcome.served += u32::from(is_counted(first) && now >= OUTAGE_MS);
                    ends.entry(now + STREAM_MS)
                        .or_default()
                        .push((gateway, record));
                }
                Verdict::Wait => {
                    held.insert(call, (first, returned));
                }
                Verdict::Refuse(refusal) => refused.push((call, first, returned, refusal.after)),
            }
        }
        for (gateway, controller) in controllers.iter_mut().enumerate() {
            let poll = controller.poll(at(now));
            for (call, record) in poll.placed {
                let (first, _) = held
                    .remove(&(call / 2))
                    .expect("only held calls are placed");
                outcome.served += u32::from(is_counted(first));
                ends.entry(now + STREAM_MS)
                    .or_default()
                    .push((gateway, record));
            }
            for (call, refusal) in poll.refused {
                let (first, returned) = held.remove(&(call / 2)).expect("it was held");
                refused.push((call / 2, first, returned, refusal.after));
            }
        }
        for (call, first, returned, after) in refused {
            if returned {
                continue;
            }
            let third = (DEADLINE_MS - (now - first)) / 3;
            let back = now + third.min(after.as_millis() as u64).max(1);
            *outcome.returns.entry(back / 100).or_default() += 1;
            arrivals.entry(back).or_default().push((call, first, true));
        }
    }
    outcome
}

/// Share of the callers that return once which must be served, of those to whom a time after the
/// end of the outage can be named. The rest is left for the chance of random times.
const MIN_SERVED_SHARE: f64 = 0.9;

/// Regression: refusals named the longest time whatever was known of the outage, calls were sent
/// to the broken group meanwhile, and callers who returned once were refused again.
#[test]
fn regression_callers_who_return_once_are_served_after_an_outage() {
    let shares = [4, 59].map(|gateways| {
        let outcome = replay(gateways, 57);
        println!("{gateways} gateways: {outcome:?}");
        f64::from(outcome.served) / f64::from(outcome.arrived)
    });
    for share in shares {
        assert!(share >= MIN_SERVED_SHARE, "{shares:?}");
    }
}

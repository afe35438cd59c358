//! Tests the decisions of a planned stop.

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_gateway::shutdown::{Outlook, Settings, Shutdown};

const fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn stop_at_zero() -> Shutdown {
    Shutdown::new(Settings::default(), at(0))
}

/// Calls that wait are refused before the connections are closed, so that refusals arrive.
#[test]
fn waiting_calls_are_refused_before_the_end() {
    let shutdown = stop_at_zero();
    assert!(shutdown.waiting_end() + Duration::from_millis(100) <= shutdown.calls_end());
    assert!(shutdown.waiting_end() >= at(7_000));
}

/// Returns what is known about a call that has a deadline and nothing else.
const fn outlook(arrived: Moment, deadline: Moment) -> Outlook {
    Outlook {
        arrived,
        deadline,
        bound: None,
        longest: None,
        is_repeatable: false,
    }
}

/// A call is accepted as long as its deadline or, at first, the longest recent call with a margin
/// lies within the grace period.
#[test]
fn calls_are_accepted_while_they_can_end_in_time() {
    let shutdown = stop_at_zero();
    let may_accept = |deadline, longest, now| {
        let call = outlook(now, deadline);
        shutdown.may_accept(&Outlook { longest, ..call }, now)
    };
    let longest = Some(Duration::from_secs(4));
    // The calls end at 7.6 s, and 4 s with the margin are 6 s.
    assert!(may_accept(at(9_000), longest, at(1_500)));
    assert!(!may_accept(at(9_700), longest, at(1_700)));
    assert!(may_accept(at(7_600), longest, at(6_600)));
    // Without a recent call, only the deadline is known.
    assert!(!may_accept(at(8_000), None, at(10)));
    assert!(may_accept(at(1_010), None, at(10)));
    assert!(!may_accept(at(7_700), None, at(7_600)));
}

/// Calls that were sent later than 3 s after the request to stop must not be cut, so for them
/// other calls of their route do not count.
#[test]
fn late_calls_are_accepted_by_their_own_bounds_only() {
    let shutdown = stop_at_zero();
    let longest = Some(Duration::from_millis(20));
    let by_others = |now| Outlook {
        longest,
        ..outlook(now, now + Duration::from_secs(8))
    };
    assert!(shutdown.may_accept(&by_others(at(2_700)), at(2_700)));
    assert!(!shutdown.may_accept(&by_others(at(3_000)), at(3_000)));
    let repeatable = Outlook {
        is_repeatable: true,
        ..by_others(at(7_000))
    };
    assert!(shutdown.may_accept(&repeatable, at(7_000)));
    let bound = Some(Duration::from_secs(3));
    let by_bound = |now| Outlook {
        bound,
        ..by_others(now)
    };
    assert!(shutdown.may_accept(&by_bound(at(4_500)), at(4_500)));
    assert!(!shutdown.may_accept(&by_bound(at(4_700)), at(4_700)));
}

/// A call that was accepted and has waited for a slot is sent only if it still ends in time.
#[test]
fn calls_that_have_waited_are_sent_only_if_they_end_in_time() {
    let shutdown = stop_at_zero();
    let waiting = Outlook {
        bound: Some(Duration::from_secs(3)),
        ..outlook(at(1_000), at(9_000))
    };
    assert_eq!(shutdown.latest_start(&waiting), Some(at(4_600)));
    let ends_by_itself = outlook(at(1_000), at(7_000));
    assert_eq!(shutdown.latest_start(&ends_by_itself), Some(at(7_000)));
    let unbounded = outlook(at(1_000), at(9_000));
    assert_eq!(shutdown.latest_start(&unbounded), None);
}

/// What a rule does with the calls of a stop.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// Calls that ended in time.
    served: u32,
    /// Calls that were refused though they would have ended in time.
    refused_in_vain: u32,
    /// Calls that were sent up to 3 s after the request to stop and cut at the end.
    cut_early: u32,
    /// Calls that were sent later and cut at the end.
    cut_late: u32,
}

/// A route of a replay. From four seconds on, every twentieth call of it is a long one.
#[derive(Clone, Copy, Debug)]
struct Mix {
    short: Duration,
    long: Duration,
    timeout: Duration,
    /// Bound of a call as a multiple of its duration, if calls state their length.
    bound: Option<f64>,
}

/// Plays the stop of the last gateway, to which calls come until its end, with a rule that knows
/// the longest of the calls of the last five seconds.
fn replay(mix: Mix, rule: impl Fn(&Outlook, Moment) -> bool) -> Outcome {
    let calls_end = stop_at_zero().calls_end();
    let mut outcome = Outcome::default();
    let mut ended: Vec<(Moment, Duration)> = vec![(at(0), mix.short)];
    for (index, now) in (0..7_600).step_by(10).map(at).enumerate() {
        let is_long = now >= at(4_000) && index % 20 == 19;
        let duration = if is_long { mix.long } else { mix.short };
        let recent = ended
            .iter()
            .filter(|(end, _)| *end <= now && now.since(*end) < Duration::from_secs(5));
        let call = Outlook {
            bound: mix.bound.map(|factor| duration.mul_f64(factor)),
            longest: recent.map(|(_, duration)| *duration).max(),
            ..outlook(now, now + mix.timeout)
        };
        let end = now + duration.min(mix.timeout);
        let is_accepted = rule(&call, now);
        match (is_accepted, end <= calls_end) {
            (true, true) => outcome.served += 1,
            (true, false) if now <= at(3_000) => outcome.cut_early += 1,
            (true, false) => outcome.cut_late += 1,
            (false, true) => outcome.refused_in_vain += 1,
            (false, false) => {}
        }
        if is_accepted {
            ended.push((end, duration));
        }
    }
    outcome
}

/// The rule before: calls of the same route count all the time, and calls state nothing.
fn by_route(call: &Outlook, now: Moment) -> bool {
    let calls_end = stop_at_zero().calls_end();
    let expected = call.longest.map(|longest| now + longest.mul_f64(1.5));
    call.deadline.min(expected.unwrap_or(call.deadline)) <= calls_end
}

/// Regression: a long call among short ones of its route was accepted by these, and cut.
#[test]
fn regression_no_late_call_of_a_mixed_route_is_cut() {
    let millis = Duration::from_millis;
    let mixes = [
        (
            "orders of 20 ms and 3 s, timeout 8 s",
            Mix {
                short: millis(20),
                long: millis(3_000),
                timeout: millis(8_000),
                bound: None,
            },
        ),
        (
            "orders of 20 ms and 800 ms, timeout 1 s",
            Mix {
                short: millis(20),
                long: millis(800),
                timeout: millis(1_000),
                bound: None,
            },
        ),
        (
            "streams of 300 ms and 3 s, timeout 8 s, bound 2 times the duration",
            Mix {
                short: millis(300),
                long: millis(3_000),
                timeout: millis(8_000),
                bound: Some(2.0),
            },
        ),
    ];
    let shutdown = stop_at_zero();
    for (name, mix) in mixes {
        let before = replay(mix, by_route);
        let outcome = replay(mix, |call, now| shutdown.may_accept(call, now));
        println!("{name}: by route {before:?}, now {outcome:?}");
        let is_bounded = mix.timeout <= Duration::from_secs(1);
        assert_eq!(before.cut_late > 0, !is_bounded, "{name}: {before:?}");
        assert_eq!(outcome.cut_late, 0, "{name}: {outcome:?}");
    }
}

/// The gateway listens until callers have forgotten its address, and longer while no other one
/// takes calls.
#[test]
fn the_last_gateway_goes_on_listening() {
    let shutdown = stop_at_zero();
    assert!(!shutdown.may_stop_listening(true, at(2_999)));
    assert!(shutdown.may_stop_listening(true, at(3_000)));
    assert!(!shutdown.may_stop_listening(false, at(6_500)));
    assert!(shutdown.may_stop_listening(false, at(6_600)));
}

/// Four gateways are stopped one second apart and start again 600 ms after their end: one takes
/// calls at each moment, which one that ends without regard to the others does not achieve.
#[test]
fn one_of_four_gateways_stopped_in_turn_takes_calls() {
    const RESTART_MS: u64 = 600;
    let mut listening = [true; 4];
    let mut started_again = [false; 4];
    let mut restarts: Vec<(u64, usize)> = Vec::new();
    for now in (0..20_000).step_by(20) {
        for index in 0..4 {
            let requested_at = 1_000 * index as u64;
            if now < requested_at || !listening[index] || started_again[index] {
                continue;
            }
            let shutdown = Shutdown::new(Settings::default(), at(requested_at));
            let others = (0..4).any(|other| other != index && listening[other]);
            if shutdown.may_stop_listening(others, at(now)) {
                listening[index] = false;
                restarts.push((now + RESTART_MS, index));
            }
        }
        for (restart, index) in &restarts {
            if *restart == now {
                listening[*index] = true;
                started_again[*index] = true;
            }
        }
        assert!(listening.contains(&true), "no gateway at {now} ms");
    }
    assert_eq!(started_again, [true; 4]);
}

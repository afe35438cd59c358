//! Tests of the correction of delayed load reports.

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_route::load::{Credit, Estimate, Load, Report, Settings, Work};

const SETTINGS: Settings = Settings {
    fresh_age: Duration::from_millis(500),
    stale_age: Duration::from_millis(2_500),
    report_delay: Duration::from_millis(2),
    max_probes: 3,
};

const WORK: Work = Work {
    tokens: 100,
    uncached: 80,
};

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn report(calls: u32, credits: u32) -> Report {
    Report {
        calls,
        tokens: u64::from(calls) * 100,
        credits,
        credit_ttl: Duration::from_secs(1),
        ..Report::default()
    }
}

fn estimate(load: &Load, now: Moment) -> Estimate {
    let prior = Estimate {
        calls: 7.0,
        tokens: 700.0,
        ..Estimate::default()
    };
    load.estimate(now, &prior, &SETTINGS)
}

/// Calls sent after a report was made are not included in it. With the report
/// alone, all calls would go to the upstream that was last reported idle.
#[test]
fn own_work_corrects_the_report() {
    let mut load = Load::default();
    load.report(report(10, 5), at(1_000), &SETTINGS);
    load.sent(WORK, None, at(1_010));
    load.sent(WORK, None, at(1_020));
    assert!((estimate(&load, at(1_030)).calls - 12.0).abs() < 1e-9);
    load.finished(100, None, at(1_040));
    let now = estimate(&load, at(1_050));
    assert!((now.calls - 11.0).abs() < 1e-9 && (now.tokens - 1_100.0).abs() < 1e-9);
    // This report was made before the last call but after the others.
    load.sent(WORK, None, at(1_059));
    load.report(report(11, 5), at(1_060), &SETTINGS);
    assert!((estimate(&load, at(1_060)).calls - 12.0).abs() < 1e-9);
}

/// The estimate from an aging report must converge to the prior, and this entry's
/// own calls in flight must remain counted.
#[test]
fn stale_reports_converge_to_the_prior() {
    let mut load = Load::default();
    assert!((estimate(&load, at(0)).calls - 7.0).abs() < 1e-9);
    load.report(report(27, 5), at(1_000), &SETTINGS);
    assert!((estimate(&load, at(1_400)).calls - 27.0).abs() < 1e-9);
    assert!((estimate(&load, at(2_500)).calls - 17.0).abs() < 1e-9);
    assert!((estimate(&load, at(9_000)).calls - 7.0).abs() < 1e-9);
    for _ in 0..9 {
        load.sent(WORK, None, at(9_000));
    }
    assert!((estimate(&load, at(60_000)).calls - 9.0).abs() < 1e-9);
}

/// Credits must be spent and expire, and a few probes must be allowed without a
/// report, so that an upstream without reports still gets calls.
#[test]
fn credits_are_spent_and_expire() {
    let mut load = Load::default();
    assert_eq!(load.credit(at(0), &SETTINGS), Credit::Unknown(3));
    load.report(report(0, 2), at(1_000), &SETTINGS);
    assert_eq!(load.credit(at(1_000), &SETTINGS), Credit::Some(2));
    load.sent(WORK, None, at(1_010));
    load.sent(WORK, None, at(1_020));
    assert_eq!(
        load.credit(at(1_100), &SETTINGS),
        Credit::None(Duration::from_millis(900))
    );
    assert_eq!(load.credit(at(2_000), &SETTINGS), Credit::Unknown(1));
    load.sent(WORK, None, at(2_000));
    assert_eq!(load.credit(at(2_000), &SETTINGS), Credit::Unknown(0));
    // Calls that end without a report, such as refused connections, free probes.
    load.finished(100, None, at(2_100));
    assert_eq!(load.credit(at(2_100), &SETTINGS), Credit::Unknown(1));
}

/// A cancelled call brings no report, so its credit must be returned; otherwise
/// cancelled second attempts make idle upstreams appear full.
#[test]
fn a_cancelled_call_returns_its_credit() {
    let mut load = Load::default();
    load.report(report(0, 2), at(1_000), &SETTINGS);
    for _ in 0..5 {
        load.sent(WORK, None, at(1_010));
        assert_eq!(load.credit(at(1_010), &SETTINGS), Credit::Some(1));
        load.cancelled();
        load.finished(100, None, at(1_020));
    }
    load.cancelled();
    assert_eq!(load.credit(at(1_020), &SETTINGS), Credit::Some(2));
    assert_eq!(load.own_calls(), 0);
}

/// The list of changes since the last report must stay bounded if an upstream
/// sends no further reports, and the estimate must still be correct.
#[test]
fn changes_without_reports_are_bounded() {
    let mut load = Load::default();
    load.report(report(0, 5), at(1_000), &SETTINGS);
    for step in 0..10_000 {
        load.sent(WORK, None, at(1_000 + step / 100));
    }
    assert!((estimate(&load, at(1_100)).calls - 10_000.0).abs() < 1e-9);
    for _ in 0..10_000 {
        load.finished(100, None, at(1_200));
    }
    assert!(estimate(&load, at(1_200)).calls.abs() < 1e-9);
    assert!(size_of::<Load>() < 512);
}

/// The work of a rank must include this entry's tokens and its prompts that wait
/// for prefill.
#[test]
fn rank_work_includes_waiting_prompts() {
    let mut load = Load::default();
    load.sent(WORK, Some(1), at(0));
    assert!((load.rank_work(1, 1.0) - (100.0 + 16.0 * 80.0)).abs() < 1e-9);
    load.prompt_processed(80, Some(1));
    assert!((load.rank_work(1, 1.0) - 100.0).abs() < 1e-9);
    load.finished(100, Some(1), at(0));
    assert!(load.rank_work(1, 1.0).abs() < 1e-9);
    assert!(load.rank_work(0, 1.0).abs() < 1e-9);
}

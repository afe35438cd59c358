//! Tests of keys issued by an agent.

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_ledger::attempt::Finish;
use sesamerock_ledger::batch::AgentId;
use sesamerock_ledger::id::{Incarnation, Request};
use sesamerock_ledger::issued::{Config, Full, KeyDecision, KeyIssuer, Permit, issuer};
use sesamerock_ledger::record::Outcome;

const REQUEST: Request = Request([1; 8]);

fn key_issuer(upstream: &str, incarnation: u64) -> KeyIssuer {
    let config = Config {
        lifetime: Duration::from_secs(10),
        capacity: 3,
    };
    let agent_id = AgentId {
        incarnation: Incarnation(incarnation),
        upstream: upstream.into(),
    };
    KeyIssuer::new(config, agent_id, [incarnation as u8; 32])
}

fn at(secs: u64) -> Moment {
    Moment::from_millis(secs * 1_000)
}

fn run(take: KeyDecision) -> Permit {
    match take {
        KeyDecision::Run(permit) => permit,
        other => panic!("expected a permit, got {other:?}"),
    }
}

/// Guards against a second run of an issued key, and against a lost response.
#[test]
fn a_key_runs_once_and_is_replayed() {
    let mut issuer = key_issuer("tickets.zone-a", 1);
    let key = issuer.issue(at(0)).expect("room");
    let permit = run(issuer.submit(&key, REQUEST, at(1)));
    assert_eq!(issuer.submit(&key, REQUEST, at(1)), KeyDecision::InProgress);
    assert_eq!(
        issuer.submit(&key, Request([2; 8]), at(1)),
        KeyDecision::Conflict
    );
    let outcome = Outcome::new(201, "", b"seat 7", 100);
    issuer.finish(permit, Finish::Done(outcome.clone()));
    assert_eq!(
        issuer.submit(&key, REQUEST, at(2)),
        KeyDecision::Replay(outcome.into())
    );
    assert_eq!(
        issuer.submit(&key, Request([2; 8]), at(2)),
        KeyDecision::Conflict
    );
}

/// Guards against a second run of a call whose connection broke.
#[test]
fn a_broken_call_stays_unknown() {
    let mut issuer = key_issuer("tickets", 1);
    let key = issuer.issue(at(0)).expect("room");
    let permit = run(issuer.submit(&key, REQUEST, at(0)));
    issuer.finish(permit, Finish::Broken);
    assert_eq!(issuer.submit(&key, REQUEST, at(1)), KeyDecision::Unknown);
}

/// Guards against a key that stays blocked although nothing was sent.
#[test]
fn a_declined_key_can_be_used_again() {
    let mut issuer = key_issuer("tickets", 1);
    let key = issuer.issue(at(0)).expect("room");
    let permit = run(issuer.submit(&key, REQUEST, at(0)));
    issuer.decline(permit);
    let _again = run(issuer.submit(&key, REQUEST, at(1)));
}

/// Guards against an expired key that runs, and against memory without bound.
#[test]
fn expired_keys_are_refused_and_dropped() {
    let mut issuer = key_issuer("tickets", 1);
    let keys: Vec<_> = (0..3).map(|i| issuer.issue(at(i)).expect("room")).collect();
    assert_eq!(issuer.issue(at(3)), Err(Full));
    let late = run(issuer.submit(&keys[0], REQUEST, at(9)));
    assert_eq!(
        issuer.submit(&keys[0], REQUEST, at(10)),
        KeyDecision::Expired
    );
    issuer.finish(late, Finish::Broken);
    assert_eq!(
        issuer.submit(&keys[1], REQUEST, at(11)),
        KeyDecision::Expired
    );
    let _kept = run(issuer.submit(&keys[2], REQUEST, at(11)));
    assert_eq!(issuer.len(), 1);
    let _fourth = issuer.issue(at(11)).expect("room again");
}

/// Guards against a key that runs in a process that did not issue it.
#[test]
fn keys_of_other_processes_do_not_run() {
    let mut old = key_issuer("tickets", 1);
    let mut new = key_issuer("tickets", 2);
    let mut other = key_issuer("orders", 3);
    let key = old.issue(at(0)).expect("room");
    assert_eq!(new.submit(&key, REQUEST, at(0)), KeyDecision::Unknown);
    assert_eq!(
        other.submit(&key, REQUEST, at(0)),
        KeyDecision::WrongUpstream("tickets".to_owned())
    );
}

/// Guards against running a key that a caller made up or altered.
#[test]
fn forged_keys_are_invalid() {
    let mut issuer = key_issuer("tickets", 1);
    let key = issuer.issue(at(0)).expect("room");
    let (claim, mac) = key.rsplit_once('.').expect("four fields");
    let (rest, _sequence) = claim.rsplit_once('.').expect("four fields");
    let forged = [
        format!("{rest}.1.{mac}"),
        format!("{rest}.00.{mac}"),
        format!("{claim}.{}", &mac[1..]),
        format!("{claim}."),
        claim.to_owned(),
        String::new(),
        "....".to_owned(),
        "ü.ü.ü.ü".to_owned(),
    ];
    for key in forged {
        let take = issuer.submit(&key, REQUEST, at(0));
        assert!(
            matches!(take, KeyDecision::Invalid | KeyDecision::WrongUpstream(_)),
            "{key}: {take:?}"
        );
    }
    let _genuine = run(issuer.submit(&key, REQUEST, at(0)));
}

/// Guards against routing an issued key to another upstream than its issuer,
/// and against taking a caller's own key for an issued one.
#[test]
fn issuer_returns_the_upstream_of_issued_keys_only() {
    let key = key_issuer("orders.eu-1", 7)
        .issue(Moment(1))
        .expect("there is room");
    assert_eq!(issuer(&key), Some("orders.eu-1"));
    for other in [
        "",
        "order-1",
        "a.b.c.d",
        "2026.12.04.1",
        &key[..key.len() - 1],
    ] {
        assert_eq!(issuer(other), None, "{other}");
    }
}

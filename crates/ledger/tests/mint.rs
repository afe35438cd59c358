//! Keys issued by the system.

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_ledger::attempt::Finish;
use sesamerock_ledger::batch::Author;
use sesamerock_ledger::id::{Incarnation, Request};
use sesamerock_ledger::mint::{Config, Full, Mint, Permit, Take, issuer};
use sesamerock_ledger::record::Outcome;

const REQUEST: Request = Request([1; 8]);

fn mint(upstream: &str, incarnation: u64) -> Mint {
    let config = Config {
        lifetime: Duration::from_secs(10),
        capacity: 3,
    };
    let author = Author {
        incarnation: Incarnation(incarnation),
        upstream: upstream.into(),
    };
    Mint::new(config, author, [incarnation as u8; 32])
}

fn at(secs: u64) -> Moment {
    Moment::from_millis(secs * 1_000)
}

fn run(take: Take) -> Permit {
    match take {
        Take::Run(permit) => permit,
        other => panic!("expected a permit, got {other:?}"),
    }
}

/// Guards against a second run of an issued key, and a lost response.
#[test]
fn a_key_runs_once_and_is_replayed() {
    let mut mint = mint("tickets.zone-a", 1);
    let key = mint.issue(at(0)).expect("room");
    let permit = run(mint.take(&key, REQUEST, at(1)));
    assert_eq!(mint.take(&key, REQUEST, at(1)), Take::InProgress);
    assert_eq!(mint.take(&key, Request([2; 8]), at(1)), Take::Conflict);
    let outcome = Outcome::new(201, "", b"seat 7", 100);
    mint.finish(permit, Finish::Done(outcome.clone()));
    assert_eq!(
        mint.take(&key, REQUEST, at(2)),
        Take::Replay(outcome.into())
    );
    assert_eq!(mint.take(&key, Request([2; 8]), at(2)), Take::Conflict);
}

/// Guards against a retry of a call whose connection broke.
#[test]
fn a_broken_call_stays_unknown() {
    let mut mint = mint("tickets", 1);
    let key = mint.issue(at(0)).expect("room");
    let permit = run(mint.take(&key, REQUEST, at(0)));
    mint.finish(permit, Finish::Broken);
    assert_eq!(mint.take(&key, REQUEST, at(1)), Take::Unknown);
}

/// Guards against a key that is blocked although nothing was sent.
#[test]
fn a_declined_key_can_be_used_again() {
    let mut mint = mint("tickets", 1);
    let key = mint.issue(at(0)).expect("room");
    let permit = run(mint.take(&key, REQUEST, at(0)));
    mint.decline(permit);
    let _again = run(mint.take(&key, REQUEST, at(1)));
}

/// Guards against an expired key that runs, and against memory without bound.
#[test]
fn expired_keys_are_refused_and_forgotten() {
    let mut mint = mint("tickets", 1);
    let keys: Vec<_> = (0..3).map(|i| mint.issue(at(i)).expect("room")).collect();
    assert_eq!(mint.issue(at(3)), Err(Full));
    let late = run(mint.take(&keys[0], REQUEST, at(9)));
    assert_eq!(mint.take(&keys[0], REQUEST, at(10)), Take::Expired);
    mint.finish(late, Finish::Broken);
    assert_eq!(mint.take(&keys[1], REQUEST, at(11)), Take::Expired);
    let _kept = run(mint.take(&keys[2], REQUEST, at(11)));
    assert_eq!(mint.len(), 1);
    let _fourth = mint.issue(at(11)).expect("room again");
}

/// Guards against a key that runs in a process that did not issue it.
#[test]
fn keys_of_other_processes_do_not_run() {
    let mut old = mint("tickets", 1);
    let mut new = mint("tickets", 2);
    let mut other = mint("orders", 3);
    let key = old.issue(at(0)).expect("room");
    assert_eq!(new.take(&key, REQUEST, at(0)), Take::Unknown);
    assert_eq!(
        other.take(&key, REQUEST, at(0)),
        Take::WrongUpstream("tickets".to_owned())
    );
}

/// Guards against a caller that makes up keys or alters one.
#[test]
fn forged_keys_are_invalid() {
    let mut mint = mint("tickets", 1);
    let key = mint.issue(at(0)).expect("room");
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
        let take = mint.take(&key, REQUEST, at(0));
        assert!(
            matches!(take, Take::Invalid | Take::WrongUpstream(_)),
            "{key}: {take:?}"
        );
    }
    let _genuine = run(mint.take(&key, REQUEST, at(0)));
}

/// Guards against entries that send an issued key to another upstream than its
/// issuer, or take a caller's own key for an issued one.
#[test]
fn an_issued_key_names_its_issuer() {
    let key = mint("orders.eu-1", 7)
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

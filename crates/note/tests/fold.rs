//! Verdicts of the fold on single notes.

mod support;

use sesamerock_base::version::Version;
use sesamerock_note::fold::State;
use sesamerock_note::fold::outcome::{Conflict, Item, Kind, Outcome, Verdict};
use sesamerock_note::record::{Record, ServiceState, Skip};
use sesamerock_note::snapshot;
use support::{
    accept, adapter, append, engine, model, note, publish, reject, release, service, small_state,
};

fn item(kind: Kind, name: &str) -> Item {
    Item::new(kind, name)
}

/// Guards against a lost update: two notes written against one version.
#[test]
fn later_note_on_the_same_item_is_rejected() {
    let mut state = small_state();
    let mut first = note("n1", 1);
    first.change.upstreams.push(engine("e1", &[]));
    accept(&mut state, first.clone());
    first.id = "n2".to_owned();
    let conflicts = reject(&mut state, first);
    let conflict = Conflict::Stale {
        item: item(Kind::Upstream, "e1"),
        base: Version(1),
        changed: Version(2),
    };
    assert_eq!(conflicts, [conflict]);
}

/// Guards against needless rejection of concurrent notes on other items.
#[test]
fn concurrent_notes_on_other_items_merge() {
    let mut state = small_state();
    for name in ["e2", "e3"] {
        let mut add = note(name, 1);
        add.add.upstreams.push(engine(name, &["chat"]));
        accept(&mut state, add);
    }
    assert_eq!(state.upstreams().len(), 3);
}

/// Guards against re-adding an entry that another note just withdrew.
#[test]
fn adding_what_was_withdrawn_after_the_base_is_stale() {
    let mut state = small_state();
    let mut withdraw = note("n1", 1);
    withdraw.withdraw.upstreams.push("e1".to_owned());
    accept(&mut state, withdraw);
    let mut add = note("n2", 1);
    add.add.upstreams.push(engine("e1", &["chat"]));
    let conflicts = reject(&mut state, add.clone());
    assert!(matches!(conflicts[..], [Conflict::Stale { .. }]));
    add.id = "n3".to_owned();
    add.base = Some(state.version());
    accept(&mut state, add);
}

/// Guards against a model being withdrawn while an upstream serves it.
#[test]
fn withdrawn_model_in_use_is_an_error() {
    let mut state = small_state();
    let mut withdraw = note("n1", 1);
    withdraw.withdraw.models.push("chat".to_owned());
    let conflicts = reject(&mut state, withdraw);
    let in_use = Conflict::InUse {
        item: item(Kind::Model, "chat"),
        by: item(Kind::Upstream, "e1"),
    };
    assert_eq!(conflicts, [in_use]);
    let mut both = note("n2", state.version().0);
    both.withdraw.models.push("chat".to_owned());
    both.withdraw.upstreams.push("e1".to_owned());
    accept(&mut state, both);
}

/// Guards against versions of models, adapters and upstreams decreasing.
#[test]
fn versions_never_decrease() {
    let mut state = small_state();
    let mut lower = note("n1", 1);
    lower.change.models.push(model("chat", 2));
    let conflicts = reject(&mut state, lower);
    assert!(matches!(conflicts[0], Conflict::VersionBack { .. }));

    let mut raise = note("n2", state.version().0);
    raise.add.versions.push(release("chat", 5));
    raise.change.models.push(model("chat", 5));
    raise.withdraw.versions.push(release("chat", 3));
    raise.add.adapters.push(adapter("poet", "chat", 2));
    accept(&mut state, raise);

    let mut old = note("n3", state.version().0);
    old.change.adapters.push(adapter("poet", "chat", 1));
    let conflicts = reject(&mut state, old);
    assert!(matches!(conflicts[0], Conflict::VersionBack { .. }));

    let mut pin = note("n4", state.version().0);
    pin.add.versions.push(release("chat", 6));
    let mut pinned = engine("e1", &["chat"]);
    pinned.models[0].version = Some(6);
    pin.change.upstreams.push(pinned);
    accept(&mut state, pin);
    let mut unpin = note("n5", state.version().0);
    unpin.change.upstreams.push(engine("e1", &["chat"]));
    let conflicts = reject(&mut state, unpin);
    let back = Conflict::VersionBack {
        item: item(Kind::Upstream, "e1"),
        from: 6,
        to: 5,
    };
    assert_eq!(conflicts, [back]);
}

/// Guards against a withdrawn model returning with an older version.
#[test]
fn readded_model_keeps_its_highest_version() {
    let mut state = State::default();
    let mut add = note("n1", 0);
    add.add.models.push(model("chat", 7));
    accept(&mut state, add);
    let mut withdraw = note("n2", 1);
    withdraw.withdraw.models.push("chat".to_owned());
    accept(&mut state, withdraw);
    let mut back = note("n3", 2);
    back.add.models.push(model("chat", 6));
    let conflicts = reject(&mut state, back);
    assert!(matches!(conflicts[0], Conflict::VersionBack { .. }));
}

/// Guards against references to entries that do not exist.
#[test]
fn unknown_references_are_all_named() {
    let mut state = small_state();
    let mut bad = note("n1", 1);
    let mut upstream = engine("e2", &["absent"]);
    upstream
        .models
        .push(engine("x", &["chat"]).models.remove(0));
    upstream.models[1].adapters.push("nobody".to_owned());
    bad.add.upstreams.push(upstream);
    bad.withdraw.services.push("orders".to_owned());
    bad.change.upstreams.push(engine("e9", &[]));
    let conflicts = reject(&mut state, bad);
    let missing = |conflict: &Conflict| match conflict {
        Conflict::Missing { item, .. } => item.name.clone(),
        other => panic!("expected a missing entry, found {other:?}"),
    };
    let names: Vec<_> = conflicts.iter().map(missing).collect();
    assert_eq!(names, ["e9", "orders", "absent", "nobody"]);
}

/// Guards against two engines acting as one rank of a group.
#[test]
fn rank_of_a_group_has_one_upstream() {
    let mut state = small_state();
    let mut ranked = engine("e2", &["chat"]);
    ranked.group = Some("g".to_owned());
    ranked.rank = Some(0);
    let mut add = note("n1", 1);
    add.add.upstreams.push(ranked.clone());
    accept(&mut state, add);
    ranked.name = "e3".to_owned();
    let mut again = note("n2", 2);
    again.add.upstreams.push(ranked);
    let conflicts = reject(&mut state, again);
    assert!(matches!(
        conflicts[..],
        [Conflict::RankTaken { rank: 0, .. }]
    ));
}

/// Guards against a note taking effect twice because its append was retried.
#[test]
fn retried_note_gets_the_same_verdict() {
    let mut state = small_state();
    let mut add = note("n1", 1);
    add.add.upstreams.push(engine("e2", &["chat"]));
    accept(&mut state, add.clone());
    add.base = Some(state.version());
    let outcome = publish(&mut state, add.clone());
    let duplicate = Outcome::Duplicate {
        version: Version(2),
        verdict: Verdict::Accepted,
    };
    assert_eq!(outcome, duplicate);
    assert_eq!(state.version(), Version(3));
    add.add.upstreams.push(engine("e3", &["chat"]));
    let conflicts = reject(&mut state, add);
    assert_eq!(conflicts, [Conflict::IdReused]);
}

/// Guards against a zone command being rejected or reverted by a note.
#[test]
fn zone_and_vm_commands_always_apply() {
    let mut state = small_state();
    let out = Record::zone("z1", "a", ServiceState::Out, Version(0));
    assert!(matches!(append(&mut state, &out), Outcome::Accepted { .. }));
    let mut change = note("n1", 1);
    change.change.upstreams.push(engine("e1", &["chat"]));
    accept(&mut state, change);
    assert_eq!(state.serving_upstreams().count(), 0);
    let back = Record::zone("z2", "a", ServiceState::In, Version(0));
    append(&mut state, &back);
    assert_eq!(state.serving_upstreams().count(), 1);
    let out = Record::vm("v1", "vm-e1", ServiceState::Out, Version(0));
    append(&mut state, &out);
    assert_eq!(state.serving_upstreams().count(), 0);
}

/// Guards against a service call being repeated.
#[test]
fn not_repeatable_calls_are_found_by_path() {
    let mut state = small_state();
    let mut add = note("n1", 1);
    add.add.services.push(service("orders"));
    let mut server = engine("s1", &[]);
    server.kind = sesamerock_note::note::Kind::Service;
    server.service = Some("orders".to_owned());
    server.not_repeatable = vec!["* /pay".to_owned()];
    add.add.upstreams.push(server);
    accept(&mut state, add);
    let (key, _) = state.upstreams().find("s1").expect("the server");
    assert!(state.not_repeatable(key, "POST", "/orders"));
    assert!(state.not_repeatable(key, "POST", "/orders/7?x=1"));
    assert!(state.not_repeatable(key, "PUT", "/pay/1"));
    assert!(!state.not_repeatable(key, "GET", "/orders"));
    assert!(!state.not_repeatable(key, "POST", "/orders-archive"));
}

/// Guards against notes without base, with a base above the current version, or
/// with invalid values.
#[test]
fn bad_base_and_values_are_rejected() {
    let mut state = small_state();
    let mut no_base = note("n1", 0);
    no_base.base = None;
    assert_eq!(reject(&mut state, no_base), [Conflict::NoBase]);
    let ahead = reject(&mut state, note("n2", 9));
    assert!(matches!(ahead[..], [Conflict::Ahead { .. }]));
    let mut bad = note("n3", 1);
    bad.add.models.push(model("two words", 1));
    let conflicts = reject(&mut state, bad);
    assert!(
        matches!(&*conflicts, [Conflict::Invalid { path, .. }] if path == "add.models[0].name")
    );
}

/// Guards against old programs stopping at records written by newer programs.
#[test]
fn unknown_kinds_and_newer_formats_are_skipped() {
    let mut state = small_state();
    let unknown = br#"{"format":1,"id":"x","body":{"quota":{"a":1}}}"#;
    let outcome = state.apply(1, unknown);
    let kind = "quota".to_owned();
    assert_eq!(outcome, Outcome::Skipped(Skip::Unknown { kind }));
    let newer = br#"{"format":2,"id":"x","extra":[],"body":{"note":{}}}"#;
    let outcome = state.apply(2, newer);
    assert_eq!(outcome, Outcome::Skipped(Skip::Newer { format: 2 }));
    let forged = br#"{"format":1,"id":"a b\nc","body":{"zone":{"name":"a","to":"out"}}}"#;
    assert!(matches!(
        state.apply(3, forged),
        Outcome::Skipped(Skip::Malformed { .. })
    ));
    assert_eq!(state.version(), Version(4));
}

/// Guards against folding past a missing record.
#[test]
fn gap_and_unknown_earlier_record_change_nothing() {
    let mut state = small_state();
    let record = Record::note(note("n1", 1)).encode();
    accept(&mut state, note("n0", 1));
    let hash = state.hash();
    assert_eq!(state.apply(5, &record), Outcome::Gap { expected: 2 });
    assert_eq!(state.apply(0, &record), Outcome::Behind { expected: 2 });
    assert_eq!(state.apply(1, &record), Outcome::Rewritten);
    assert_eq!(state.hash(), hash);
}

/// Guards against errors being reported only after the append.
#[test]
fn review_gives_the_verdict_of_the_fold() {
    let mut state = small_state();
    let mut bad = note("n1", 1);
    bad.withdraw.models.push("chat".to_owned());
    let before = state.hash();
    let reviewed = state.review(&bad).expect_err("a conflict");
    assert_eq!(state.hash(), before);
    assert_eq!(reviewed, reject(&mut state, bad));
}

/// Guards against changes whose cost grows with the number of entries: two
/// states may differ only in the entries that a record changed.
#[test]
fn states_differ_only_in_entries_that_a_record_changed() {
    let mut state = small_state();
    let mut add = note("many", 1);
    add.add.upstreams = (2..500)
        .map(|number| engine(&format!("e{number}"), &["chat"]))
        .collect();
    accept(&mut state, add);
    let before = state.clone();
    assert_eq!(state.upstreams().differing(before.upstreams()).count(), 0);
    let mut change = note("n1", state.version().0);
    change.change.upstreams.push(engine("e7", &[]));
    change.withdraw.upstreams.push("e8".to_owned());
    accept(&mut state, change);
    let names = |now: &State, other: &State| -> Vec<String> {
        let entries = now.upstreams().differing(other.upstreams());
        let mut names: Vec<_> = entries
            .map(|(key, _)| now.upstreams().name(key).to_owned())
            .collect();
        names.sort();
        names
    };
    assert_eq!(names(&state, &before), ["e7"]);
    assert_eq!(names(&before, &state), ["e7", "e8"]);
    let parts = snapshot::parts(snapshot::encode(&state));
    let restored = snapshot::restore(&parts).expect("the snapshot is whole");
    let all = state.upstreams().len();
    assert_eq!(names(&restored, &state).len(), all, "nothing is shared");
}

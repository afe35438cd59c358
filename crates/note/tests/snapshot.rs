//! Snapshot parts, the snapshot schedule, and states adopted from peers.

mod support;

use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamerock_base::time::Moment;
use sesamerock_base::version::Version;
use sesamerock_note::bound;
use sesamerock_note::control::{Control, Relation};
use sesamerock_note::fold::State;
use sesamerock_note::fold::outcome::{Conflict, Outcome};
use sesamerock_note::record::Record;
use sesamerock_note::snapshot::{
    self, Fault, LogStatus, PART_BYTES, PENDING_SPAN_RECORDS, Part, Reason, Schedule,
};
use support::{accept, append, engine, model, note, publish, reject, small_state};

/// A state whose snapshot needs several parts.
fn large_state() -> State {
    let mut state = small_state();
    for batch in 0..6 {
        let mut add = note(&format!("batch-{batch}"), state.version().0);
        for index in 0..400 {
            let name = format!("engine-{batch}-{index}");
            add.add.upstreams.push(engine(&name, &["chat"]));
        }
        accept(&mut state, add);
    }
    state
}

fn parts(state: &State) -> Vec<Arc<Part>> {
    snapshot::parts(snapshot::encode(state))
}

/// Guards against parts that the log does not accept.
#[test]
fn parts_are_bounded_and_their_order_does_not_matter() {
    let state = large_state();
    let records = snapshot::encode(&state);
    assert!(records.len() > 2);
    for record in &records {
        assert!(record.encode().len() < PART_BYTES + 1_024);
    }
    let mut parts = parts(&state);
    parts.reverse();
    parts.push(Arc::clone(&parts[0]));
    let restored = snapshot::restore(&parts).expect("a whole snapshot");
    assert_eq!(restored.hash(), state.hash());
    assert_eq!(restored.position(), state.position());
}

/// Guards against a state built from missing, mixed or damaged parts.
#[test]
fn damaged_snapshots_are_rejected() {
    let state = large_state();
    let whole = parts(&state);
    let missing = snapshot::restore(&whole[1..]).expect_err("a part is missing");
    assert_eq!(missing, Fault::Incomplete { missing: 1 });
    let none = snapshot::restore(&[]).expect_err("no part");
    assert_eq!(none, Fault::Incomplete { missing: 1 });
    let mut mixed = whole.clone();
    mixed[0] = Arc::clone(&parts(&small_state())[0]);
    assert_eq!(snapshot::restore(&mixed).expect_err("mixed"), Fault::Mixed);
    let mut damaged = whole;
    let mut part = Part::clone(&damaged[1]);
    part.rows.pop();
    damaged[1] = Arc::new(part);
    assert_eq!(
        snapshot::restore(&damaged).expect_err("damaged"),
        Fault::Hash
    );
}

/// Guards against entries with a version above the snapshot's own, which would
/// win over every later change.
#[test]
fn entries_above_the_snapshot_version_are_rejected() {
    let mut state = State::starting_at(5);
    let mut add = note("n1", 4);
    add.add.models.push(model("chat", 1));
    accept(&mut state, add);
    let mut part = Part::clone(&parts(&state)[0]);
    part.next = 1;
    let fault = snapshot::restore(&[Arc::new(part)]).expect_err("too new");
    assert_eq!(fault, Fault::Version);
}

/// Guards against a forged part that makes the fold wait for, or allocate, more
/// than a snapshot can have, and against versions that overflow.
#[test]
fn out_of_range_parts_are_skipped() {
    let mut state = small_state();
    let before = state.clone();
    let forged = |change: &dyn Fn(&mut Part)| {
        let mut record = snapshot::encode(&before).remove(0);
        if let sesamerock_note::record::Body::Snapshot(part) = &mut record.body {
            change(part);
        }
        record
    };
    let records = [
        forged(&|part| part.count = u32::MAX),
        forged(&|part| part.count = 0),
        forged(&|part| part.next = u64::MAX),
        forged(&|part| part.shift = u64::MAX),
        forged(&|part| part.floor = Version(u64::MAX)),
    ];
    for record in &records {
        let outcome = append(&mut state, record);
        assert!(matches!(outcome, Outcome::Skipped(_)), "{outcome}");
    }
    assert_eq!(state.version(), Version(6));
}

/// Guards against parts staying in memory after their writer crashed.
#[test]
fn incomplete_snapshot_is_discarded() {
    let mut state = large_state();
    let first = snapshot::encode(&state).remove(0);
    assert!(matches!(append(&mut state, &first), Outcome::Part { .. }));
    assert!(state.snapshot_in_progress());
    for _ in 0..PENDING_SPAN_RECORDS {
        state.apply(state.position(), b"{}");
    }
    let mut other = snapshot::encode(&state).into_iter();
    append(&mut state, &other.next().expect("a part"));
    for record in other {
        append(&mut state, &record);
    }
    assert!(!state.snapshot_in_progress());
}

/// Guards against unbounded storage of withdrawn entries, and against an old
/// note that re-adds one of them after its withdrawal was evicted.
#[test]
fn evicted_withdrawals_still_reject_old_notes() {
    let mut state = small_state();
    let base = state.version().0;
    let rounds = bound::MAX_WITHDRAWN / 4_000 + 1;
    for round in 0..rounds {
        let names = |index| format!("{round}-{index}");
        let mut add = note(&format!("add-{round}"), state.version().0);
        add.add.models = (0..4_000).map(|index| model(&names(index), 1)).collect();
        accept(&mut state, add);
        let mut withdraw = note(&format!("withdraw-{round}"), state.version().0);
        withdraw.withdraw.models = (0..4_000).map(names).collect();
        accept(&mut state, withdraw);
    }
    assert!(state.floor() > Version(base));
    assert!(state.models().withdrawn().count() <= bound::MAX_WITHDRAWN);
    let mut late = note("late", base);
    late.add.models.push(model("0-0", 1));
    let conflicts = reject(&mut state, late);
    assert!(matches!(conflicts[0], Conflict::Stale { .. }));
    let restored = snapshot::restore(&parts(&state)).expect("a whole snapshot");
    assert_eq!(restored.hash(), state.hash());
}

/// Guards against a late snapshot that restores entries whose withdrawal was
/// evicted.
#[test]
fn late_snapshot_does_not_restore_evicted_withdrawals() {
    let mut state = small_state();
    let rounds = bound::MAX_WITHDRAWN / 4_000 + 1;
    let name = |round: usize, index: usize| format!("{round}-{index}");
    for round in 0..rounds {
        let mut add = note(&format!("add-{round}"), state.version().0);
        add.add.models = (0..4_000).map(|i| model(&name(round, i), 1)).collect();
        accept(&mut state, add);
    }
    let late = snapshot::encode(&state);
    for round in 0..rounds {
        let mut withdraw = note(&format!("withdraw-{round}"), state.version().0);
        withdraw.withdraw.models = (0..4_000).map(|i| name(round, i)).collect();
        accept(&mut state, withdraw);
    }
    for record in &late {
        append(&mut state, record);
    }
    assert!(!state.snapshot_in_progress());
    assert_eq!(state.models().len(), 1);
}

/// Appends all parts of a snapshot and returns the outcome of the last one.
fn append_all(state: &mut State, records: &[Record]) -> Outcome {
    let outcomes = records.iter().map(|record| append(state, record));
    outcomes.last().expect("a part")
}

/// Guards against a node that starts while a snapshot is half written and then
/// misses the entries that the snapshot restores.
#[test]
fn half_written_snapshot_is_completed_after_a_restore() {
    let mut state = large_state();
    let mut survivor = state.clone();
    let mut lost = note("lost", survivor.version().0);
    lost.add.upstreams.push(engine("lost", &["chat"]));
    accept(&mut survivor, lost);
    let snapshot_records = snapshot::encode(&survivor);
    let first = state.position();
    append(&mut state, &snapshot_records[0]);
    let between = Record::note(note("between", state.version().0));
    append(&mut state, &between);
    let mut started = snapshot::restore(&parts(&state)).expect("a whole snapshot");
    assert_eq!(started.position(), first);
    append(&mut started, &snapshot_records[0]);
    append(&mut started, &between);
    append_all(&mut state, &snapshot_records[1..]);
    append_all(&mut started, &snapshot_records[1..]);
    assert!(state.upstreams().find("lost").is_some());
    assert_eq!(started.hash(), state.hash());
}

/// Guards against a version that falls below the one of a merged snapshot.
#[test]
fn merged_version_exceeds_both() {
    let mut ahead = small_state();
    for serial in 0..50 {
        accept(&mut ahead, note(&format!("n{serial}"), 1));
    }
    let mut state = State::default();
    append_all(&mut state, &snapshot::encode(&ahead));
    assert!(state.version() > ahead.version());
    assert!(state.verdict("n49").is_some());
}

/// Guards against dangling references when one history withdrew a model and
/// the other began to use it, and against two holders of one rank.
#[test]
fn merge_of_two_histories_has_no_dangling_references() {
    let mut base = small_state();
    let mut group = note("group", base.version().0);
    group.add.adapters.push(support::adapter("poet", "chat", 1));
    accept(&mut base, group);
    let mut lost = base.clone();
    let mut withdraw = note("withdraw", lost.version().0);
    withdraw.withdraw.upstreams.push("e1".to_owned());
    withdraw.withdraw.adapters.push("poet".to_owned());
    withdraw.withdraw.models.push("chat".to_owned());
    let mut ranked = engine("r1", &[]);
    ranked.group = Some("g".to_owned());
    ranked.rank = Some(0);
    withdraw.add.upstreams.push(ranked.clone());
    accept(&mut lost, withdraw);

    let mut state = base;
    accept(&mut state, note("pad", 2));
    let mut add = note("add", state.version().0);
    let mut user = engine("e2", &["chat"]);
    user.models[0].adapters.push("poet".to_owned());
    add.add.upstreams.push(user);
    ranked.name = "r2".to_owned();
    add.add.upstreams.push(ranked);
    accept(&mut state, add);

    let other = snapshot::encode(&lost);
    let outcome = append_all(&mut state, &other);
    assert!(
        matches!(outcome, Outcome::Merged(merge) if merge.taken > 0),
        "{outcome}"
    );
    assert!(state.upstreams().find("e2").is_some());
    assert!(state.models().find("chat").is_some());
    assert!(state.adapters().find("poet").is_some());
    assert!(state.upstreams().find("r1").is_none() && state.upstreams().find("r2").is_some());
    let again = append_all(&mut state, &other);
    assert!(
        matches!(again, Outcome::Merged(merge) if merge.taken == 0),
        "{again}"
    );
}

/// Guards against a change that copies the whole state or alters a published
/// clone.
#[test]
fn published_clone_keeps_its_content() {
    let mut state = large_state();
    let published = state.clone();
    let (key, _) = state.upstreams().find("e1").expect("the engine");
    let other = state.upstreams().find("engine-0-0").expect("an engine").0;
    let mut change = note("change", state.version().0);
    change.change.upstreams.push(engine("e1", &[]));
    accept(&mut state, change);
    let models = |state: &State| state.upstreams().get(key).map(|e| e.models.len());
    assert_eq!(models(&published), Some(1));
    assert_eq!(models(&state), Some(0));
    let entry = |state: &State| std::ptr::from_ref(state.upstreams().get(other).expect("it"));
    assert_eq!(
        entry(&published),
        entry(&state),
        "an untouched entry was copied"
    );
}

/// Guards against a lagging node that serves a peer's state wrongly or adopts
/// an older one.
#[test]
fn newer_state_of_a_peer_is_adopted() {
    let old = small_state();
    let newer = large_state();
    let mut control = Control::new(old.clone());
    assert_eq!(
        control.compare(newer.version(), newer.hash()),
        Relation::Behind
    );
    assert!(control.install(Moment(0), newer.clone()));
    assert_eq!(control.unlogged(), None);
    assert_eq!(
        control.compare(newer.version(), newer.hash()),
        Relation::Same
    );
    assert!(!control.install(Moment(0), old.clone()));
    assert_eq!(control.compare(old.version(), old.hash()), Relation::Ahead);

    let mut fork = small_state();
    for serial in 0..6 {
        publish(&mut fork, note(&format!("fork-{serial}"), 1));
    }
    assert_eq!(
        control.compare(fork.version(), fork.hash()),
        Relation::Diverged
    );
}

fn log_status(node: u64) -> LogStatus {
    LogStatus {
        node,
        oldest: 0,
        head: 100,
        covered: Some(50),
        since: Moment(0),
        unlogged: None,
        snapshot_in_progress: false,
    }
}

/// Guards against a log whose retention ends without a snapshot in it.
#[test]
fn snapshot_is_due_before_retention_ends() {
    let schedule = Schedule::default();
    let day = Moment(0) + schedule.retention;
    for node in [0, u64::MAX / 3, u64::MAX] {
        let first = Moment(0) + schedule.retention / 2;
        let last = day - schedule.retention / 4;
        let status = log_status(node);
        assert_eq!(schedule.due(first - Duration::from_secs(1), &status), None);
        assert_eq!(schedule.due(last, &status), Some(Reason::Age));
        let busy = LogStatus {
            snapshot_in_progress: true,
            ..status
        };
        assert_eq!(schedule.due(last, &busy), None);
        let long = LogStatus {
            head: 20_050,
            ..status
        };
        assert_eq!(schedule.due(Moment(0), &long), Some(Reason::Records));
        let trimmed = LogStatus {
            oldest: 60,
            ..status
        };
        let soon = Moment(0) + schedule.recovery;
        assert_eq!(schedule.due(soon, &trimmed), Some(Reason::Lost));
        let unlogged = LogStatus {
            unlogged: Some(Moment(0)),
            snapshot_in_progress: true,
            ..status
        };
        assert_eq!(schedule.due(soon, &unlogged), Some(Reason::Unlogged));
    }
    let empty = LogStatus {
        head: 0,
        covered: None,
        ..log_status(0)
    };
    assert_eq!(schedule.due(day, &empty), None, "nothing to write");
}

/// Guards against many nodes writing the same snapshot: with 100 readers of the
/// log, and a first part that reaches the others within 2 s, one or two write.
#[test]
fn jitter_limits_concurrent_writers() {
    let schedule = Schedule::default();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut writers = 0;
    for _ in 0..100 {
        let mut times: Vec<_> = (0..100)
            .map(|_| {
                let node = rng.random();
                let jitter = schedule.retention / 4;
                let (mut early, mut late) = (schedule.retention / 2, jitter * 3);
                for _ in 0..40 {
                    let middle = (early + late) / 2;
                    match schedule.due(Moment(0) + middle, &log_status(node)) {
                        Some(_) => late = middle,
                        None => early = middle,
                    }
                }
                late
            })
            .collect();
        times.sort_unstable();
        let first = times[0];
        let visible = first + Duration::from_secs(2);
        writers += times.iter().filter(|time| **time <= visible).count();
    }
    assert!(writers <= 110, "{writers} writers in 100 rounds");
}

/// Guards against operators who cannot tell the outcome of a note from the log.
#[test]
fn outcomes_format_as_log_lines() {
    let mut state = small_state();
    let mut bad = note("bad", 1);
    bad.withdraw.models.push("chat".to_owned());
    let outcome = publish(&mut state, bad);
    let line = "outcome=rejected version=2 conflicts=\"model chat is still in use by upstream e1\"";
    assert_eq!(outcome.to_string(), line);
    let skipped = state.apply(state.position(), b"{}");
    assert!(
        skipped
            .to_string()
            .starts_with("outcome=skipped reason=\"malformed record")
    );
    let again = append(&mut state, &Record::note(note("first", 0)));
    assert!(again.to_string().starts_with("outcome=rejected"), "{again}");
}

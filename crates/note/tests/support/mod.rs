//! Builders of notes and records for tests.

#![allow(dead_code, reason = "each test program uses its own share")]

use rand::{Rng, RngExt};
use sesamerock_base::version::Version;
use sesamerock_note::fold::State;
use sesamerock_note::fold::outcome::{Conflict, Outcome};
use sesamerock_note::note::{Adapter, Kind, Model, Note, Release, Role, Served, Service, Upstream};
use sesamerock_note::record::{Record, ServiceState};
use sesamerock_note::snapshot;

/// A note without entries.
pub fn note(id: &str, base: u64) -> Note {
    Note {
        id: id.to_owned(),
        base: Some(Version(base)),
        ..Note::default()
    }
}

/// An engine in zone `a` that serves the models.
pub fn engine(name: &str, models: &[&str]) -> Upstream {
    let served = |name: &&str| Served {
        name: (*name).to_owned(),
        version: None,
        adapters: Vec::new(),
    };
    Upstream {
        name: name.to_owned(),
        kind: Kind::Engine,
        agent: "10.0.0.1:7000".parse().expect("an address"),
        zone: "a".to_owned(),
        vm: format!("vm-{name}"),
        models: models.iter().map(served).collect(),
        role: Role::Mixed,
        group: None,
        rank: None,
        service: None,
        checks_fencing: false,
        checks_sender: false,
        not_repeatable: Vec::new(),
    }
}

/// A model.
pub fn model(name: &str, version: u32) -> Model {
    Model {
        name: name.to_owned(),
        version,
    }
}

/// A version of a model.
pub fn release(model: &str, version: u32) -> Release {
    Release {
        model: model.to_owned(),
        version,
    }
}

/// An adapter of a model.
pub fn adapter(name: &str, model: &str, version: u32) -> Adapter {
    Adapter {
        name: name.to_owned(),
        model: model.to_owned(),
        version,
    }
}

/// A service whose orders must not be repeated.
pub fn service(name: &str) -> Service {
    Service {
        name: name.to_owned(),
        not_repeatable: vec!["POST /orders".to_owned()],
    }
}

/// Appends a record to a log and folds it.
pub fn append(state: &mut State, record: &Record) -> Outcome {
    let offset = state.position();
    state.apply(offset, &record.encode())
}

/// Appends a note to a log and folds it.
pub fn publish(state: &mut State, note: Note) -> Outcome {
    append(state, &Record::note(note))
}

/// Appends a note that must be accepted.
pub fn accept(state: &mut State, note: Note) {
    let outcome = publish(state, note);
    assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
}

/// Appends a note that must be rejected and returns the conflicts.
pub fn reject(state: &mut State, note: Note) -> Vec<Conflict> {
    let before = state.rows_text();
    let outcome = publish(state, note);
    assert_eq!(before, state.rows_text(), "a bad note changed the state");
    match outcome {
        Outcome::Rejected { conflicts, .. } => conflicts,
        other => panic!("expected a rejection, found {other:?}"),
    }
}

/// Text form of the entries of a state.
pub trait Rows {
    /// Returns the entries without verdicts, one per line.
    fn rows_text(&self) -> String;
}

impl Rows for State {
    fn rows_text(&self) -> String {
        let parts = snapshot::parts(snapshot::encode(self));
        let rows = parts.iter().flat_map(|part| part.rows.clone());
        let rows = rows.filter(|row| row.item().is_some());
        let lines: Vec<_> = rows.map(|row| format!("{row:?}")).collect();
        lines.join("\n")
    }
}

/// A state with model `chat` version 3 and engine `e1`.
pub fn small_state() -> State {
    let mut state = State::default();
    let mut first = note("first", 0);
    first.add.models.push(model("chat", 3));
    first.add.upstreams.push(engine("e1", &["chat"]));
    accept(&mut state, first);
    state
}

/// A random record over few names, so that conflicts are frequent.
pub fn random_record(rng: &mut impl Rng, serial: usize, version: u64) -> Record {
    let pick = |rng: &mut dyn Rng, kind: &str| format!("{kind}{}", rng.random_range(0..4));
    if rng.random_range(0..8) == 0 {
        let to = if rng.random() {
            ServiceState::Out
        } else {
            ServiceState::In
        };
        let name = pick(rng, "z");
        return Record::zone(format!("r{serial}"), &name, to, Version(0));
    }
    let versions_behind = rng.random_range(0..6);
    let mut note = note(
        &format!("r{serial}"),
        version.saturating_sub(versions_behind),
    );
    for _ in 0..rng.random_range(1..4) {
        let name = pick(rng, "m");
        let version = rng.random_range(1..6);
        match rng.random_range(0..9) {
            0 => note.add.models.push(model(&name, version)),
            1 => note.change.models.push(model(&name, version)),
            2 => note.withdraw.models.push(name),
            3 => note.add.versions.push(release(&name, version)),
            4 => note.withdraw.versions.push(release(&name, version)),
            5 => note
                .add
                .adapters
                .push(adapter(&pick(rng, "a"), &name, version)),
            6 => note.withdraw.adapters.push(pick(rng, "a")),
            7 => note.withdraw.upstreams.push(pick(rng, "u")),
            _ => {
                let upstream = engine(&pick(rng, "u"), &[&name]);
                note.add.upstreams.push(upstream);
            }
        }
    }
    Record::note(note)
}

//! Tests the encoding of the snapshots that peers send each other.

use std::io::Write as _;
use std::net::SocketAddr;

use flate2::Compression;
use flate2::write::DeflateEncoder;
use sesamerock::control::pack::{former, pack, unpack};
use sesamerock_base::version::Version;
use sesamerock_note::fold::State;
use sesamerock_note::fold::outcome::{Outcome, Verdict};
use sesamerock_note::fold::row::{NamedAvailability, Row, StampedEntry};
use sesamerock_note::note::{Adapter, Kind, Model, Note, Role, Served, Service, Upstream};
use sesamerock_note::record::{Body, Record, ServiceState};
use sesamerock_note::snapshot::{self, Part};

fn upstream(number: u32) -> Upstream {
    let served = |model: &str| Served {
        name: model.to_owned(),
        version: number.is_multiple_of(3).then_some(1),
        adapters: vec!["school-a".to_owned()],
    };
    Upstream {
        name: format!("engine-{number}"),
        kind: Kind::Engine,
        agent: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_001)),
        zone: format!("zone-{}", number % 32),
        vm: format!("vm-{number}"),
        models: vec![served("chalk")],
        role: [Role::Mixed, Role::Prefill][number as usize % 2],
        group: number
            .is_multiple_of(2)
            .then(|| format!("group-{}", number / 64)),
        rank: number.is_multiple_of(2).then_some(number % 64),
        service: None,
        checks_fencing: number.is_multiple_of(5),
        checks_sender: false,
        not_repeatable: Vec::new(),
    }
}

/// Returns a state with rows of every kind, withdrawn ones too, and with accepted and rejected
/// notes.
fn state(upstreams: u32) -> State {
    let mut state = State::default();
    let mut offset = 0;
    let mut fold = |record: Record| {
        state.apply(offset, &record.encode());
        offset += 1;
    };
    let note = |id: &str, base: u64| Note {
        id: id.to_owned(),
        base: Some(Version(base)),
        ..Note::default()
    };
    let mut first = note("first", 0);
    first.add.models.push(Model {
        name: "chalk".to_owned(),
        version: 1,
    });
    first.add.adapters.push(Adapter {
        name: "school-a".to_owned(),
        model: "chalk".to_owned(),
        version: 1,
    });
    first.add.services.push(Service {
        name: "orders".to_owned(),
        not_repeatable: vec!["POST /orders".to_owned()],
    });
    first.add.upstreams = (0..upstreams).map(upstream).collect();
    fold(Record::note(first));
    fold(Record::zone("z", "zone-1", ServiceState::Out, Version(1)));
    fold(Record::vm("v", "vm-1", ServiceState::In, Version(1)));
    let mut withdraw = note("withdraw", 3);
    withdraw.withdraw.upstreams.push("engine-0".to_owned());
    fold(Record::note(withdraw.clone()));
    let rejected = Note {
        id: "rejected".to_owned(),
        ..withdraw
    };
    fold(Record::note(rejected));
    state
}

fn parts(state: &State) -> Vec<Part> {
    let records = snapshot::encode(state).into_iter();
    let parts = records.filter_map(|record| match record.body {
        Body::Snapshot(part) => Some(part),
        Body::Note(_) | Body::Zone(_) | Body::Vm(_) => None,
    });
    parts.collect()
}

/// Encodes parts as deflated JSON, as earlier builds send them.
fn deflated(parts: &[Part]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let text = serde_json::to_vec(parts).expect("parts are encodable");
    encoder
        .write_all(&text)
        .expect("writing to memory does not fail");
    encoder.finish().expect("writing to memory does not fail")
}

/// Guards against a field, a withdrawn entry or a verdict that the encoding loses.
#[test]
fn a_packed_snapshot_restores_the_same_state() {
    for upstreams in [1, 3, 2_000] {
        let state = state(upstreams);
        let verdicts = state.verdicts().map(|past| &past.verdict);
        let accepted = verdicts.filter(|verdict| **verdict == Verdict::Accepted);
        assert_eq!(
            accepted.count(),
            4,
            "{:?}",
            state.verdicts().collect::<Vec<_>>()
        );
        let bytes = pack(&parts(&state));
        let restored = unpack(&bytes).expect("the snapshot can be unpacked");
        let restored = snapshot::restore(&restored).expect("the snapshot is complete");
        assert_eq!(restored.hash(), state.hash());
        assert_eq!(restored.version(), state.version());
        assert_eq!(restored.upstreams().len(), state.upstreams().len());
    }
}

/// Guards against a joining node that cannot read the snapshot of a peer of an earlier build.
#[test]
fn earlier_encodings_can_still_be_read() {
    let state = state(500);
    let restored = unpack(&deflated(&parts(&state))).expect("the snapshot can be unpacked");
    let restored = snapshot::restore(&restored).expect("the snapshot is complete");
    assert_eq!(restored.hash(), state.hash());
    let restored = unpack(&former::pack(&parts(&state))).expect("the snapshot can be unpacked");
    let restored = snapshot::restore(&restored).expect("the snapshot is complete");
    assert_eq!(restored.hash(), state.hash());
}

/// Guards against texts that change because the templates of the encoding cannot express them:
/// leading zeros, long numbers, IPv4 and IPv6 addresses, and the characters that mark a
/// template's variables.
#[test]
fn unusual_texts_are_kept() {
    let texts = [
        "0",
        "00",
        "007",
        "7",
        "18446744073709551615",
        "18446744073709551616",
        "000000000000000000000000000001",
        "10.0.0.1:7000",
        "010.0.0.1",
        "1.2.3",
        "1.2.3.4.5",
        "256.1.1.1",
        "[2001:db8::1]:7000",
        "\u{0}",
        "a\u{1}1",
        "\u{2}A5",
        "\u{3}",
        "",
        "é٣x",
    ];
    let turn = |(at, text): (usize, &&str)| {
        Row::Vm(StampedEntry {
            changed: Version(at as u64 % 5),
            gone: false,
            entry: NamedAvailability {
                name: (*text).to_owned(),
                out: at % 2 == 0,
            },
        })
    };
    let mut part = parts(&state(1)).remove(0);
    part.rows.extend(texts.iter().enumerate().map(turn));
    let unpacked = unpack(&pack(&[part.clone()])).expect("the snapshot can be unpacked");
    let mut rows = unpacked[0].rows.clone();
    assert_eq!(
        rows.split_off(rows.len() - texts.len()),
        part.rows.split_off(part.rows.len() - texts.len())
    );
}

/// Guards against a node that gives a record another outcome than its peers do because it
/// started from their snapshot. Snapshots contain all verdicts, so a repeated note, a reused id
/// and a note based on a version before the last change of its entry get the same outcome.
#[test]
fn a_restored_state_gives_the_same_outcomes_as_a_folded_one() {
    let mut folded = state(200);
    let mut restored: Vec<State> = [pack, former::pack, deflated]
        .iter()
        .map(|encode| unpack(&encode(&parts(&folded))).expect("the snapshot can be unpacked"))
        .map(|parts| snapshot::restore(&parts).expect("the snapshot is complete"))
        .collect();
    let stale = |id: &str, base, comment: &str| {
        let mut note = Note {
            id: id.to_owned(),
            base: Some(Version(base)),
            comment: comment.to_owned(),
            ..Note::default()
        };
        note.withdraw.upstreams.push("engine-0".to_owned());
        Record::note(note).encode()
    };
    let records = [
        stale("withdraw", 3, ""),
        stale("withdraw", 3, "other content"),
        stale("rejected", 3, ""),
        stale("late", 1, ""),
        Record::zone("z", "zone-1", ServiceState::Out, Version(1)).encode(),
        Record::zone("z2", "zone-1", ServiceState::In, Version(1)).encode(),
    ];
    let mut outcomes = Vec::new();
    for record in &records {
        let offset = folded.position();
        let outcome = folded.apply(offset, record);
        for state in &mut restored {
            assert_eq!(state.apply(offset, record), outcome);
            assert_eq!(state.hash(), folded.hash());
        }
        outcomes.push(outcome);
    }
    assert!(matches!(
        outcomes[0],
        Outcome::Duplicate {
            verdict: Verdict::Accepted,
            ..
        }
    ));
    assert!(matches!(outcomes[1], Outcome::Rejected { .. }));
    assert!(matches!(
        outcomes[2],
        Outcome::Duplicate {
            verdict: Verdict::Rejected(_),
            ..
        }
    ));
    assert!(matches!(outcomes[3], Outcome::Rejected { .. }));
    assert!(matches!(outcomes[4], Outcome::Duplicate { .. }));
    assert!(matches!(outcomes[5], Outcome::Accepted { .. }));
}

/// Guards against an encoding that takes half the bytes of the earlier column encoding or more,
/// or two thirds of the deflated JSON or more, which was the bound of the column encoding.
#[test]
fn packing_takes_less_than_half_of_the_columns() {
    let parts = parts(&state(2_000));
    let (packed, columns) = (pack(&parts).len(), former::pack(&parts).len());
    let deflated = deflated(&parts).len();
    println!("packed={packed} columns={columns} deflated={deflated}");
    assert!(packed * 2 < columns, "{packed} of {columns}");
    assert!(packed * 3 < deflated * 2, "{packed} of {deflated}");
}

/// Guards against damaged bytes that cause a panic or are accepted as another snapshot.
#[test]
fn damaged_bytes_are_refused() {
    let state = state(20);
    let bytes = pack(&parts(&state));
    for length in 0..bytes.len() {
        let truncated = unpack(&bytes[..length]).ok();
        assert_eq!(truncated, None, "{length} bytes");
    }
    for at in 0..bytes.len() {
        for bit in [1, 16, 128] {
            let mut damaged = bytes.clone();
            damaged[at] ^= bit;
            let restored = unpack(&damaged).map(|parts| snapshot::restore(&parts));
            let hash = |state: State| state.hash();
            if let Ok(Ok(restored)) = restored {
                assert_eq!(hash(restored), state.hash(), "byte {at}, bit {bit}");
            }
        }
    }
}

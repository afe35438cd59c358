//! The form in which snapshots travel between peers.

use std::io::Write as _;
use std::net::SocketAddr;

use flate2::Compression;
use flate2::write::DeflateEncoder;
use sesamerock::control::pack::{pack, unpack};
use sesamerock_base::version::Version;
use sesamerock_note::fold::State;
use sesamerock_note::fold::outcome::Verdict;
use sesamerock_note::note::{Adapter, Kind, Model, Note, Role, Served, Service, Upstream};
use sesamerock_note::record::{Body, Record, Service as Turned};
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

/// A state with rows of every kind, live and withdrawn, and verdicts of both
/// outcomes.
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
    fold(Record::zone("z", "zone-1", Turned::Out, Version(1)));
    fold(Record::vm("v", "vm-1", Turned::In, Version(1)));
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

/// The form that earlier builds send.
fn deflated(parts: &[Part]) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let text = serde_json::to_vec(parts).expect("parts are encodable");
    encoder.write_all(&text).expect("memory takes it");
    encoder.finish().expect("memory takes it")
}

/// Guards against a field, a withdrawn entry or a verdict lost on the way.
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
        let restored = unpack(&bytes).expect("it can be unpacked");
        let restored = snapshot::restore(&restored).expect("it is whole");
        assert_eq!(restored.hash(), state.hash());
        assert_eq!(restored.version(), state.version());
        assert_eq!(restored.upstreams().len(), state.upstreams().len());
    }
}

/// Guards against a joining node that a peer of an earlier build cannot serve.
#[test]
fn the_former_form_can_still_be_read() {
    let state = state(500);
    let restored = unpack(&deflated(&parts(&state))).expect("it can be read");
    let restored = snapshot::restore(&restored).expect("it is whole");
    assert_eq!(restored.hash(), state.hash());
}

/// Guards against a form that no longer saves what it is for.
#[test]
fn packing_takes_less_than_two_thirds_of_the_former_form() {
    let parts = parts(&state(2_000));
    let (packed, former) = (pack(&parts).len(), deflated(&parts).len());
    println!("packed={packed} former={former}");
    assert!(packed * 3 < former * 2, "{packed} of {former}");
}

/// Guards against damaged bytes that stop the process or pass for a snapshot.
#[test]
fn damaged_bytes_are_refused() {
    let state = state(20);
    let bytes = pack(&parts(&state));
    for length in 0..bytes.len() {
        let cut = unpack(&bytes[..length]).ok();
        assert_eq!(cut, None, "{length} bytes");
    }
    for at in 0..bytes.len() {
        for bit in [1, 16, 128] {
            let mut damaged = bytes.clone();
            damaged[at] ^= bit;
            let restored = unpack(&damaged).map(|parts| snapshot::restore(&parts));
            let same = |state: State| state.hash();
            if let Ok(Ok(restored)) = restored {
                assert_eq!(same(restored), state.hash(), "byte {at}, bit {bit}");
            }
        }
    }
}

//! Tests of the JSON form of entries: round trip, size and damaged bytes.

use std::sync::Arc;

use quickcheck::{Arbitrary, Gen, quickcheck};
use sesamerock_ledger::id::{Attempt, Incarnation, Key, Request};
use sesamerock_ledger::record::{
    Age, Body, Entry, ExecutionState, Intent, Outcome, OwnAttempt, Part, Record, RecordedOutcome,
    SavedKey, SkipReason, StreamState, WriterState,
};

#[derive(Clone, Debug)]
struct Any(Entry);

fn key(g: &mut Gen) -> Key {
    Key(std::array::from_fn(|_| u8::arbitrary(g)))
}

fn outcome(g: &mut Gen) -> Arc<Outcome> {
    let limit = *g.choose(&[0, 5, 1_000]).expect("not empty");
    let body = Vec::arbitrary(g);
    let text = String::arbitrary(g);
    let body = if bool::arbitrary(g) {
        body
    } else {
        text.into_bytes()
    };
    Arc::new(Outcome::new(
        u16::arbitrary(g),
        &String::arbitrary(g),
        &body,
        limit,
    ))
}

fn saved(g: &mut Gen) -> SavedKey {
    let incarnation = Incarnation(u64::arbitrary(g));
    let sequence = u64::arbitrary(g);
    SavedKey {
        key: key(g),
        request: Request([u8::arbitrary(g); 8]),
        winner: Attempt {
            incarnation,
            sequence,
        },
        state: match u8::arbitrary(g) % 3 {
            0 => ExecutionState::Running,
            1 => ExecutionState::Broken,
            _ => ExecutionState::Done(outcome(g), u64::arbitrary(g)),
        },
    }
}

fn part(g: &mut Gen) -> Part {
    let writer = WriterState {
        incarnation: Incarnation(u64::arbitrary(g)),
        upstream: String::arbitrary(g).into(),
        number: u64::arbitrary(g),
        last: u64::arbitrary(g),
        superseded: bool::arbitrary(g),
    };
    let stream = StreamState {
        expired: u64::arbitrary(g),
        generation: u64::arbitrary(g),
        through: u64::arbitrary(g),
        ages: Vec::arbitrary(g),
        writers: vec![writer],
    };
    Part {
        number: u64::arbitrary(g),
        index: 1,
        count: 4,
        base: u64::arbitrary(g),
        repair: bool::arbitrary(g),
        stream: bool::arbitrary(g).then_some(stream),
        keys: vec![saved(g), saved(g)],
    }
}

fn record(g: &mut Gen) -> Record {
    let key = key(g);
    let sequence = u64::arbitrary(g);
    match u8::arbitrary(g) % 6 {
        0 => Record::Intent(Intent {
            key,
            request: Request([3; 8]),
            sequence,
        }),
        1 => Record::Outcome(RecordedOutcome {
            key,
            sequence,
            outcome: outcome(g),
        }),
        2 => Record::Void(OwnAttempt { key, sequence }),
        3 => Record::Broken(OwnAttempt { key, sequence }),
        4 => Record::Age(Age {
            offset: sequence,
            seconds: 5,
            generation: 1,
        }),
        _ => Record::Part(Arc::new(part(g))),
    }
}

impl Arbitrary for Any {
    fn arbitrary(g: &mut Gen) -> Self {
        let records = (0..u8::arbitrary(g) % 5).map(|_| record(g)).collect();
        Self(Entry {
            writer: Incarnation(u64::arbitrary(g)),
            upstream: String::arbitrary(g).into(),
            number: u64::arbitrary(g),
            records,
        })
    }
}

quickcheck! {
    /// Guards against a record that is decoded differently than it was encoded.
    fn entries_round_trip(any: Any) -> bool {
        let decoded = Entry::decode(&any.0.encode()).expect("own entry");
        decoded.skipped == 0 && decoded.entry == any.0
    }

    /// Guards against a decoder that panics on a damaged entry, or returns an
    /// entry that does not survive another round trip.
    fn a_damaged_entry_fails_or_round_trips(any: Any, at: usize, byte: u8) -> bool {
        let mut bytes = any.0.encode();
        let at = at % bytes.len();
        bytes[at] = byte;
        Entry::decode(&bytes).is_ok_and(|decoded| {
            let again = Entry::decode(&decoded.entry.encode()).expect("own entry");
            again.entry == decoded.entry
        }) || Entry::decode(&bytes).is_err()
    }
}

fn entry(records: Vec<Record>) -> Entry {
    Entry {
        writer: Incarnation(0x1234_5678_9abc_def0),
        upstream: "orders-1".into(),
        number: 1_000,
        records,
    }
}

fn intent() -> Record {
    Record::Intent(Intent {
        key: Key::new("derwent", "orders", "k-1"),
        request: Request::new("POST", "/orders", b"{}"),
        sequence: 123_456,
    })
}

/// Guards against a new field that makes the most frequent records large.
#[test]
fn an_intent_is_small() {
    let alone = entry(vec![intent()]).encode().len();
    let ten = entry(vec![intent(); 10]).encode().len();
    let each = (ten - alone) / 9;
    assert!(alone <= 120, "{alone} bytes alone");
    assert!(each <= 60, "{each} bytes for each further one");
    assert!(
        each <= intent().estimated_bytes(),
        "the estimate is too low"
    );
}

/// Guards against an old binary that fails on entries of a newer one.
#[test]
fn unknown_kinds_and_newer_formats_are_skipped() {
    let text = String::from_utf8(entry(vec![intent()]).encode()).expect("JSON is UTF-8");
    let mixed = text.replace("\"r\":[", "\"r\":[{\"z\":[1,2]},{\"v\":\"no key\"},");
    let decoded = Entry::decode(mixed.as_bytes()).expect("a known format");
    assert_eq!((decoded.skipped, decoded.entry.records.len()), (2, 1));
    let newer = text.replace("\"v\":1", "\"v\":9");
    assert_eq!(Entry::decode(newer.as_bytes()), Err(SkipReason::Newer(9)));
    let shapeless = br#"{"v":9,"other":true}"#;
    assert_eq!(Entry::decode(shapeless), Err(SkipReason::Newer(9)));
    assert_eq!(Entry::decode(b"[]"), Err(SkipReason::Malformed));
}

/// Guards against a body that grows the log without bound.
#[test]
fn a_long_body_is_stored_as_its_digest() {
    let long = Outcome::new(201, "application/json", &[b'x'; 5_000], 4_096);
    assert!(matches!(long.body, Body::Digest(_, 5_000)));
    let short = Outcome::new(201, "application/json", &[b'x'; 4_096], 4_096);
    assert!(matches!(short.body, Body::Text(_)));
}

/// Guards against equal hashes for different lists of fields whose
/// concatenations are equal.
#[test]
fn keys_of_different_workspaces_differ() {
    assert_ne!(Key::new("a", "bc", "d"), Key::new("ab", "c", "d"));
    assert_ne!(Key::new("a", "b", "c"), Key::new("a", "b", "d"));
    assert_ne!(
        Request::new("POST", "/a", b"1"),
        Request::new("POST", "/a", b"2")
    );
}

//! Faults of notes and settings: all at once, with path, line and expected
//! value.

mod support;

use std::fmt::Write;

use quickcheck::QuickCheck;
use sesamerock_base::version::Version;
use sesamerock_note::check::{self, SCHEMA};
use sesamerock_note::fold::State;
use sesamerock_note::note::Note;
use sesamerock_note::schema::{self, Field, Kind, Need, Schema, Unique};
use support::{accept, small_state};

const EXAMPLE: &str = include_str!("../../../docs/examples/note.yaml");

fn faults(text: &str) -> Vec<String> {
    let faults = check::note(text).expect_err("faults");
    faults.iter().map(ToString::to_string).collect()
}

/// Guards against an example in the guide that does not work.
#[test]
fn example_note_is_accepted() {
    let note = check::note(EXAMPLE).expect("no faults");
    assert_eq!(note.add.upstreams.len(), 4);
    let mut state = State::default();
    let note = check::against(EXAMPLE, &state).map_or(note, |note| note);
    assert_eq!(note.base, None, "the publisher fills in the base");
    let base = Some(state.version());
    accept(&mut state, Note { base, ..note });
    assert_eq!(state.serving_upstreams().count(), 4);
}

/// Guards against faults that are reported one at a time.
#[test]
fn all_faults_are_reported_with_their_lines() {
    let text = "\
id: n1
base: minus one
authr: me
add:
  models:
    - name: chat
  upstreams:
    - name: e1
      kind: engine
      agent: 10.0.0.1
      zone: a b
      models: chat
    - name: e1
      kind: engine
      agent: 10.0.0.2:7000
      zone: a
      vm: v1
      rank: 3
      not_repeatable: [POST orders]
change:
  versions: []
  upstreams:
    - { name: s1, kind: service, agent: '10.0.0.2:7000', zone: a, vm: v }
withdraw:
  models: [chat]
id: n2
";
    let expected = [
        "base:2: expected a whole number from 0 to 9223372036854775807, found \"minus one\"",
        "authr:3: expected one of id, base, author, comment, add, change, withdraw, found an unknown key",
        "add.models[0].version:6: expected a whole number from 0 to 4294967295, found nothing",
        "add.upstreams[0].vm:8: expected a name of 1 to 128 letters, digits or characters of `._-/:@+`, found nothing",
        "add.upstreams[0].agent:10: expected an address such as 10.0.0.1:7000, found \"10.0.0.1\"",
        "add.upstreams[0].zone:11: expected a name of 1 to 128 letters, digits or characters of `._-/:@+`, found \"a b\"",
        "add.upstreams[0].models:12: expected a list of at most 64, found \"chat\"",
        "add.upstreams[1].name:13: expected each value once, found \"e1\" again after line 8",
        "add.upstreams[1].rank:18: expected given together with group, found the number 3",
        "add.upstreams[1].not_repeatable[0]:19: expected a method and a path, such as `POST /orders`, found \"POST orders\"",
        "change.versions:21: expected one of upstreams, models, adapters, services, found an unknown key",
        "change.upstreams[0].service:23: expected given for kind service and for no other, found nothing",
        "withdraw.models[0]:25: expected each model in one list, found \"chat\" also as add.models[0] on line 6",
        "id:26: expected the key once, found it again after line 1",
    ];
    assert_eq!(faults(text), expected);
}

/// Guards against syntax that hides a huge or ambiguous value.
#[test]
fn syntax_aliases_tags_and_depth_are_faults() {
    let line = |text: &str| faults(text).join("; ");
    assert!(
        line("id: [").contains(":2: expected valid YAML")
            || line("id: [").contains(":1: expected valid YAML")
    );
    let alias = "id: &a n1\nauthor: *a\n";
    assert_eq!(
        line(alias),
        "document:2: expected a plain value, found an alias"
    );
    let tag = "id: !x n1\n";
    assert_eq!(line(tag), "document:1: expected a plain value, found a tag");
    let two = "id: a\n---\nid: b\n";
    assert_eq!(
        line(two),
        "document:2: expected one document, found another one"
    );
    let deep = format!("{}{}", "[".repeat(20), "]".repeat(20));
    assert!(line(&deep).contains("levels of nesting"));
    let deeper = "[".repeat(100_000);
    assert_eq!(faults(&deeper).len(), 1);
    let two_lines = "id: \"a\\nb\"\n";
    assert!(line(two_lines).starts_with("id:1: expected an id of 1 to 128 printable"));
    let control = "id: a\u{7f}\n";
    assert_eq!(
        line(control),
        "document:1: expected printable text, found the control character '\\u{7f}'"
    );
    assert_eq!(
        line(""),
        "document:1: expected a mapping, found an empty text"
    );
    assert_eq!(
        line("- a"),
        "document:1: expected a mapping (release note), found a list of 1"
    );
    assert_eq!(
        line(&" ".repeat(schema::MAX_TEXT_BYTES + 1)),
        "document:1: expected at most 4194304 bytes, found 4194305 bytes"
    );
}

/// Guards against a note that exceeds the record size of the log.
#[test]
fn oversized_note_is_a_fault() {
    let mut text = "id: big\nadd:\n  services:\n".to_owned();
    let call = format!("POST /{}", "x".repeat(200));
    for index in 0..100 {
        writeln!(text, "    - name: s{index}\n      not_repeatable:").expect("a string");
        for number in 0..60 {
            writeln!(text, "        - {call}{number}").expect("a string");
        }
    }
    let found = faults(&text);
    assert_eq!(found.len(), 1, "{}", found[0]);
    assert!(found[0].starts_with("document:1: expected a note of at most 1048576 bytes as JSON"));
}

/// Guards against a conflict reported without its place in the note.
#[test]
fn conflicts_with_the_state_have_path_and_line() {
    let text = "\
id: n1
base: 1
change:
  models:
    - { name: chat, version: 2 }
withdraw:
  upstreams: [e7]
add:
  upstreams:
    - name: e2
      kind: engine
      agent: 10.0.0.2:7000
      zone: a
      vm: v
      models:
        - name: chat
          version: 9
";
    let state = small_state();
    let faults = check::against(text, &state).expect_err("conflicts");
    let places: Vec<_> = faults.iter().map(|f| (f.path.as_str(), f.line)).collect();
    let expected = [
        ("change.models[0]", 5),
        ("change.models[0]", 5),
        ("withdraw.upstreams[0]", 7),
        ("add.upstreams[0].models[0].version", 17),
    ];
    assert_eq!(places, expected);
    let old = text.replace("base: 1", "base: 0");
    let faults = check::against(&old, &state).expect_err("conflicts");
    let changed = "model chat was changed by version 1, after base version 0";
    assert!(
        faults
            .iter()
            .any(|fault| fault.line == 5 && fault.found == changed)
    );
    assert_eq!(state.version(), Version(1));
}

/// Guards against a checker that accepts text that the note type rejects.
#[test]
fn accepted_text_always_parses() {
    fn holds(cuts: Vec<(usize, u8)>) -> bool {
        let mut text = EXAMPLE.as_bytes().to_vec();
        for (at, byte) in cuts {
            let at = at % text.len();
            text[at] = byte % 128;
        }
        let text = String::from_utf8_lossy(&text).into_owned();
        let clean = schema::check(&text, SCHEMA).is_empty();
        !clean || serde_yaml_ng::from_str::<Note>(&text).is_ok()
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(holds as fn(Vec<(usize, u8)>) -> bool);
}

/// Guards against a checker that panics on some text.
#[test]
fn any_text_is_checked_without_panic() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes values")]
    fn holds(text: String) -> bool {
        schema::check(&text, SCHEMA).len() <= schema::MAX_FAULTS
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(holds as fn(String) -> bool);
}

static PEER: Schema = Schema {
    name: "peer",
    about: "A peer.",
    fields: &[Field {
        name: "address",
        kind: Kind::Address,
        need: Need::Required,
        about: "Where it listens.",
    }],
    rules: &[],
};

static SETTINGS: Schema = Schema {
    name: "entry settings",
    about: "Settings of an entry.",
    fields: &[
        Field {
            name: "idle",
            kind: Kind::Span {
                min: std::time::Duration::from_millis(10),
                max: std::time::Duration::from_mins(1),
            },
            need: Need::Default("3s"),
            about: "Idle time of a connection.",
        },
        Field {
            name: "buffer",
            kind: Kind::Bytes {
                min: 1_000,
                max: 1_000_000,
            },
            need: Need::Default("64KB"),
            about: "Buffer of a response.",
        },
        Field {
            name: "share",
            kind: Kind::Number { min: 0.0, max: 1.0 },
            need: Need::Optional,
            about: "Share of retries; absent means none.",
        },
        Field {
            name: "peers",
            kind: Kind::Map {
                of: &Kind::Record(&PEER),
                max: 2,
            },
            need: Need::Optional,
            about: "Peers by name.",
        },
        Field {
            name: "zones",
            kind: Kind::List {
                of: &Kind::Text { min: 1, max: 8 },
                min: 1,
                max: 4,
                unique: Unique::Items,
            },
            need: Need::Required,
            about: "Zones.",
        },
    ],
    rules: &[],
};

/// Guards against a checker that only works for notes: units, maps and lists of
/// the daemon's settings.
#[test]
fn settings_are_checked_by_the_same_code() {
    let good = "idle: 250ms\nbuffer: 32KB\nshare: 0.1\npeers: { a: { address: '10.0.0.1:1' } }\nzones: [a, b]\n";
    assert_eq!(schema::check(good, &SETTINGS), []);
    let bad = "idle: 250\nbuffer: 2GB\nshare: 2\npeers:\n  a: { address: 10.0.0.1:0 }\n  a: {}\nzones: [a, a, '']\n";
    let faults = schema::check(bad, &SETTINGS);
    let places: Vec<_> = faults.iter().map(|f| (f.path.as_str(), f.line)).collect();
    let expected = [
        ("idle", 1),
        ("buffer", 2),
        ("share", 3),
        ("peers.a.address", 5),
        ("peers.a", 6),
        ("peers.a.address", 6),
        ("zones[2]", 7),
        ("zones[1]", 7),
    ];
    assert_eq!(places, expected);
}

/// Guards against a reference that leaves out keys, bounds or nested mappings.
#[test]
fn reference_names_every_key() {
    let text = schema::markdown(SCHEMA);
    let page = include_str!("../../../docs/release-note.md");
    assert!(
        page.ends_with(&text),
        "run `cargo run -p sesamerock-note --example reference > docs/release-note.md`"
    );
    for key in [
        "`id`",
        "`not_repeatable`",
        "`checks_fencing`",
        "### `upstream`",
        "### `served model`",
    ] {
        assert!(text.contains(key), "{key} is missing");
    }
    assert_eq!(text.matches("### `upstream`\n").count(), 1);
    assert!(text.contains("| `role` | one of mixed, prefill, decode | `mixed` |"));
}

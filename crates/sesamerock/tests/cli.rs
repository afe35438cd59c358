//! The command line of the built program: what it prints and how it exits.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A faulty settings file of an entry, with faults on lines 2, 4, 5 and 6.
const FAULTY: &str = "node: {nam: entry-1, zone: a, vm: v, region: r, peer: 1.2.3.4:5, platform: 1.2.3.4:6}\n\
     operator: 1.2.3.4:7\ncaller: nowhere\nattempts: 0\nbody_byte: 5\n";

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sesamerock"))
        .args(arguments)
        .env_remove("SESAMEROCK_OPERATOR")
        .output()
        .expect("the program can be started")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("the program prints UTF-8")
}

/// Writes a file into a directory of this test run.
fn file(name: &str, content: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("cli-{name}.yaml"));
    fs::write(&path, content).expect("the file can be written");
    path
}

fn check(name: &str, content: &str) -> Output {
    let path = file(name, content);
    run(&["check", path.to_str().expect("the path is UTF-8")])
}

fn reference() -> String {
    let printed = run(&["check", "--reference"]);
    assert!(printed.status.success(), "{printed:?}");
    text(&printed.stdout)
}

/// A key of the reference with a value that it allows.
struct Key {
    section: String,
    name: String,
    value: String,
}

/// Reads the keys of one role from the reference: a table row is
/// `| key | value | when absent | meaning |`.
fn keys(role: &str) -> Vec<Key> {
    let reference = reference();
    let start = reference
        .find(&format!("## `{role}`\n"))
        .expect("the role is documented");
    let part = &reference[start..];
    let end = part[3..].find("\n## `").map_or(part.len(), |end| end + 3);
    let mut section = String::new();
    let mut found = Vec::new();
    for line in part[..end].lines() {
        if line.starts_with('#') {
            line.trim_matches(['#', ' ', '`']).clone_into(&mut section);
        }
        let cells: Vec<_> = line
            .split('|')
            .map(|cell| cell.trim().trim_matches('`'))
            .collect();
        if !line.starts_with("| `") || cells[2].starts_with("mapping") {
            continue;
        }
        let value = match (cells[2], cells[3]) {
            (kind, "allowed") if kind.starts_with("a list") => "[127.0.0.1:7000]",
            // The default, port 0, stands for one that is not set.
            (kind, _) if kind.starts_with("an address") => "127.0.0.1:7000",
            (kind, "allowed") if kind.starts_with("a whole number") => "1000",
            (_, default) => default,
        };
        found.push(Key {
            section: section.clone(),
            name: cells[1].to_owned(),
            value: value.to_owned(),
        });
    }
    found
}

/// Renders a settings file with the keys at their places.
fn render(role: &str, keys: &[Key]) -> String {
    let lines = |section: &str, indent: &str| -> Vec<String> {
        keys.iter()
            .filter(|key| key.section == section)
            .map(|key| format!("{indent}{}: {}", key.name, key.value))
            .collect()
    };
    let mut file = lines(role, "");
    let sections: BTreeSet<_> = keys.iter().map(|key| key.section.as_str()).collect();
    for section in sections.into_iter().filter(|section| *section != role) {
        file.push(format!("{section}:"));
        file.extend(lines(section, "  "));
    }
    file.join("\n")
}

/// Guards against a check that stops at the first fault, so that an operator
/// would need one run per fault.
#[test]
fn check_names_every_fault_with_path_and_line() {
    let output = check("faulty", FAULTY);
    assert_eq!(output.status.code(), Some(2));
    let faults = text(&output.stderr);
    for place in [
        "node.nam:1:",
        "node.name:1:",
        "caller:3:",
        "attempts:4:",
        "body_byte:5:",
    ] {
        assert!(faults.contains(place), "{place} is not in {faults}");
    }
    assert_eq!(faults.lines().count(), 5, "{faults}");
}

/// Guards against a reference that differs from the page, and against a key
/// that the check refuses though the reference names it, or accepts misspelt.
#[test]
fn every_key_of_the_reference_is_accepted_and_none_misspelt() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings.md");
    let page = fs::read_to_string(page).expect("the page can be read");
    assert_eq!(reference(), page, "docs/settings.md is out of date");
    for (role, least) in [("entry", 18), ("agent", 30)] {
        let mut keys = keys(role);
        assert!(keys.len() >= least, "only {} keys of {role}", keys.len());
        let output = check(role, &render(role, &keys));
        assert!(output.status.success(), "{output:?}");
        for index in 0..keys.len() {
            keys[index].name.push('x');
            let path = match keys[index].section.as_str() {
                section if section == role => keys[index].name.clone(),
                section => format!("{section}.{}", keys[index].name),
            };
            let output = check(role, &render(role, &keys));
            assert_eq!(output.status.code(), Some(2), "{path} is accepted");
            let faults = text(&output.stderr);
            assert!(
                faults.contains(&format!("{path}:")),
                "{path} is not in {faults}"
            );
            keys[index].name.pop();
        }
    }
}

/// Guards against a settings key that the roles read but the check refuses.
#[test]
fn every_key_that_a_role_reads_is_in_the_reference() {
    let entry = serde_yaml_ng::to_value(sesamerock::settings::Entry::default());
    let agent = serde_yaml_ng::to_value(sesamerock::settings::Agent::default());
    for (role, read) in [("entry", entry), ("agent", agent)] {
        let known = keys(role);
        let mut open = vec![(role.to_owned(), read.expect("settings can be written"))];
        while let Some((section, value)) = open.pop() {
            for (key, value) in value.as_mapping().expect("a section is a mapping") {
                let key = key.as_str().expect("a key is a text");
                if value.is_mapping() {
                    open.push((key.to_owned(), value.clone()));
                    continue;
                }
                let documented = known
                    .iter()
                    .any(|known| known.section == section && known.name == key);
                assert!(documented, "{role}: {section}.{key} is not documented");
            }
        }
    }
}

/// Guards against wrong use that looks like success, and against a command
/// without help.
#[test]
fn wrong_use_fails_with_help_and_each_command_explains_itself() {
    let help = "pass `--help`";
    let zone: &[&str] = &["zone", "--operator", "127.0.0.1:1", "sideways", "a"];
    let cases: [(&[&str], &str); 6] = [
        (&[], help),
        (&["serve"], "`serve`"),
        (&["entry"], help),
        (&["check"], help),
        (zone, "`sideways`"),
        (&["status", "--operator", "x"], "`x`"),
    ];
    for (wrong, told) in cases {
        let output = run(wrong);
        assert_eq!(output.status.code(), Some(2), "{wrong:?}: {output:?}");
        assert!(text(&output.stderr).contains(told), "{wrong:?}: {output:?}");
    }
    for command in [
        "dev", "entry", "agent", "check", "note", "zone", "vm", "status",
    ] {
        let output = run(&[command, "--help"]);
        assert!(output.status.success(), "{output:?}");
        assert!(text(&output.stdout).contains("Usage:"), "{output:?}");
    }
}

/// Guards against an operator command that takes silence for success or for an
/// unknown outcome: nothing was sent.
#[test]
fn operator_commands_fail_at_a_dead_address() {
    // No service uses port 1, and the system never chooses it.
    let dead = "127.0.0.1:1";
    let note = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/examples/note.yaml");
    let commands: [&[&str]; 5] = [
        &["status"],
        &["note", "show"],
        &["note", "publish", note],
        &["zone", "out", "a"],
        &["vm", "in", "vm-1"],
    ];
    for command in commands {
        let at = if command[0] == "note" { 2 } else { 1 };
        let mut arguments = command.to_vec();
        arguments.splice(at..at, ["--operator", dead]);
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(1), "{output:?}");
        assert!(text(&output.stderr).contains(dead), "{output:?}");
    }
}

/// Guards against a role that starts with part of its settings.
#[test]
fn a_role_with_a_faulty_file_starts_nothing() {
    let path = file("start", FAULTY);
    let output = run(&[
        "entry",
        "--settings",
        path.to_str().expect("the path is UTF-8"),
    ]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(
        !text(&output.stderr).contains("event=entry_started"),
        "{output:?}"
    );
}

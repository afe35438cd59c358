//! Tests the output and exit codes of the program's command line.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Settings file of an entry with two faults on line 1 and one each on lines 3, 4 and 5.
const FAULTY_SETTINGS: &str = "node: {nam: entry-1, zone: a, vm: v, region: r, peer: 1.2.3.4:5, platform: 1.2.3.4:6}\n\
     operator: 1.2.3.4:7\ncaller: nowhere\nattempts: 0\nbody_byte: 5\n";

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sesamerock"))
        .args(arguments)
        .env_remove("SESAMEROCK_OPERATOR")
        .output()
        .expect("the program can be started")
}

fn utf8(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("the program prints UTF-8")
}

/// Writes a settings file into Cargo's directory for temporary test files.
fn write_settings(name: &str, content: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("cli-{name}.yaml"));
    fs::write(&path, content).expect("the file can be written");
    path
}

fn check(name: &str, content: &str) -> Output {
    let path = write_settings(name, content);
    run(&["check", path.to_str().expect("the path is UTF-8")])
}

fn reference() -> String {
    let printed = run(&["check", "--reference"]);
    assert!(printed.status.success(), "{printed:?}");
    utf8(&printed.stdout)
}

/// A settings key of the reference, with a valid value.
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
            // The default, port 0, means that the address is not set, which the check refuses.
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

/// Renders a settings file with each key in its section.
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
    let output = check("faulty", FAULTY_SETTINGS);
    assert_eq!(output.status.code(), Some(2));
    let faults = utf8(&output.stderr);
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

/// Guards against a reference that differs from docs/settings.md, against a key of the
/// reference that the check refuses, and against a misspelt key that the check accepts.
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
            let faults = utf8(&output.stderr);
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
        let mut pending = vec![(role.to_owned(), read.expect("settings can be written"))];
        while let Some((section, value)) = pending.pop() {
            for (key, value) in value.as_mapping().expect("a section is a mapping") {
                let key = key.as_str().expect("a key is a text");
                if value.is_mapping() {
                    pending.push((key.to_owned(), value.clone()));
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

/// Guards against invalid arguments that do not give exit code 2 and a hint, and against a
/// command without help.
#[test]
fn invalid_arguments_fail_with_a_hint_and_every_command_has_help() {
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
    for (arguments, expected) in cases {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {output:?}");
        assert!(
            utf8(&output.stderr).contains(expected),
            "{arguments:?}: {output:?}"
        );
    }
    for command in [
        "dev", "entry", "agent", "check", "note", "zone", "vm", "status",
    ] {
        let output = run(&[command, "--help"]);
        assert!(output.status.success(), "{output:?}");
        assert!(utf8(&output.stdout).contains("Usage:"), "{output:?}");
    }
}

/// Guards against an operator command that reports success or an unknown outcome although
/// the connection was refused and nothing was sent.
#[test]
fn operator_commands_fail_at_an_address_that_refuses_connections() {
    // No service listens on port 1, and the operating system never assigns it.
    let refusing = "127.0.0.1:1";
    let note = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/examples/note.yaml");
    let commands: [&[&str]; 5] = [
        &["status"],
        &["note", "show"],
        &["note", "publish", note],
        &["zone", "out", "a"],
        &["vm", "in", "vm-1"],
    ];
    for command in commands {
        let position = if command[0] == "note" { 2 } else { 1 };
        let mut arguments = command.to_vec();
        arguments.splice(position..position, ["--operator", refusing]);
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(1), "{output:?}");
        assert!(utf8(&output.stderr).contains(refusing), "{output:?}");
    }
}

/// Guards against a role that starts although its settings file has faults.
#[test]
fn a_role_does_not_start_with_a_faulty_settings_file() {
    let path = write_settings("start", FAULTY_SETTINGS);
    let output = run(&[
        "entry",
        "--settings",
        path.to_str().expect("the path is UTF-8"),
    ]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(
        !utf8(&output.stderr).contains("event=entry_started"),
        "{output:?}"
    );
}

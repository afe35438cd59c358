//! Checks of settings files and release notes: every fault at once, with path,
//! line and what was expected.
//!
//! The tables here are also the reference for operators, `docs/settings.md`.

mod tables;

use sesamerock_note::check;
use sesamerock_note::schema::{self, Schema};

pub use tables::{AGENT, ENTRY};

/// Kind of a file, guessed from its keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum File {
    Entry,
    Agent,
    Note,
}

/// Returns the faults of a settings file or a release note.
pub fn faults(text: &str) -> Vec<String> {
    match kind(text) {
        File::Entry => check_schema(text, &ENTRY),
        File::Agent => check_schema(text, &AGENT),
        File::Note => note_faults(text),
    }
}

/// Returns the faults of the settings file of an entry.
pub fn entry_faults(text: &str) -> Vec<String> {
    check_schema(text, &ENTRY)
}

/// Returns the faults of the settings file of an agent.
pub fn agent_faults(text: &str) -> Vec<String> {
    check_schema(text, &AGENT)
}

/// Returns the faults of a release note.
pub fn note_faults(text: &str) -> Vec<String> {
    match check::note(text) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    }
}

/// Returns the reference of all settings in Markdown.
pub fn reference() -> String {
    format!(
        "# Settings\n\nThis page is printed by `sesamerock check --reference`.\n\n{}\n{}",
        schema::markdown(&ENTRY),
        schema::markdown(&AGENT)
    )
}

fn check_schema(text: &str, schema: &'static Schema) -> Vec<String> {
    schema::check(text, schema)
        .iter()
        .map(ToString::to_string)
        .collect()
}

/// Guesses from the top-level keys what a file is, so that even a faulty one is
/// checked against the right table.
fn kind(text: &str) -> File {
    let has = |key: &str| text.lines().any(|line| line.starts_with(key));
    if has("upstream:") || has("relay:") {
        File::Agent
    } else if has("node:") || has("caller:") {
        File::Entry
    } else {
        File::Note
    }
}

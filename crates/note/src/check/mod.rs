//! Check of release notes before they are published.
//!
//! [`note`] needs the text alone; [`against`] also checks the note against a
//! state, so that conflicts are reported with path and line too.

mod fields;

use std::collections::BTreeMap;

use sesamerock_base::version::Version;

pub use crate::schema::Fault;

use crate::bound;
use crate::fold::State;
use crate::fold::outcome::{Conflict, Item, Kind};
use crate::note::{Entries, Note};
use crate::record::Record;
use crate::schema::tree::Node;
use crate::schema::{self, Schema};

/// Schema of a release note.
pub const SCHEMA: &Schema = &fields::NOTE;

/// Lists of a note that name entries, with the key that holds the name.
const LISTS: [(&str, &str, Kind); 4] = [
    ("upstreams", "name", Kind::Upstream),
    ("models", "name", Kind::Model),
    ("adapters", "name", Kind::Adapter),
    ("services", "name", Kind::Service),
];

/// Reads a note.
///
/// # Errors
///
/// Returns every fault of the text, in the order of lines.
pub fn note(text: &str) -> Result<Note, Vec<Fault>> {
    read(text).map(|(note, _)| note)
}

/// Reads a note and checks it against a state.
///
/// # Errors
///
/// Returns every fault of the text, or else every conflict with the state.
pub fn against(text: &str, state: &State) -> Result<Note, Vec<Fault>> {
    let (note, root) = read(text)?;
    let Err(conflicts) = state.review(&note) else {
        return Ok(note);
    };
    let fault = |conflict: &Conflict| {
        let path = path_of(&note, conflict);
        Fault {
            line: line(&root, &path),
            path,
            expected: expected_instead(conflict, state.version()),
            found: conflict.to_string(),
        }
    };
    let mut faults: Vec<_> = conflicts.iter().map(fault).collect();
    faults.sort_by_key(|fault| fault.line);
    Err(faults)
}

fn read(text: &str) -> Result<(Note, Node), Vec<Fault>> {
    let root = schema::read(text)?;
    let mut faults = schema::check_tree(&root, SCHEMA);
    faults.append(&mut repeated(&root));
    faults.sort_by_key(|fault| fault.line);
    if !faults.is_empty() {
        return Err(faults);
    }
    let note: Note = serde_yaml_ng::from_str(text).map_err(|error| {
        let line = error.location().map_or(1, |location| location.line());
        vec![fault("", line, "a release note", error.to_string())]
    })?;
    let bytes = Record::note(note.clone()).encode().len();
    if bytes > bound::MAX_RECORD_BYTES {
        let expected = format!(
            "a note of at most {} bytes as JSON",
            bound::MAX_RECORD_BYTES
        );
        return Err(vec![fault("", 1, &expected, format!("{bytes} bytes"))]);
    }
    Ok((note, root))
}

fn fault(path: &str, line: usize, expected: &str, found: String) -> Fault {
    Fault {
        path: path.to_owned(),
        line,
        expected: expected.to_owned(),
        found,
    }
}

/// Finds entries that are named in two lists; the schema finds those named
/// twice in one list.
fn repeated(root: &Node) -> Vec<Fault> {
    let mut first: BTreeMap<(Kind, &str), (String, usize)> = BTreeMap::new();
    let mut faults = Vec::new();
    for list in ["add", "change", "withdraw"] {
        for (key, name, kind) in LISTS {
            let items = root.get(list).and_then(|node| node.get(key));
            let items = items.map_or(&[][..], Node::items);
            for (index, item) in items.iter().enumerate() {
                let path = format!("{list}.{key}[{index}]");
                let Some(name) = item.text(name).or_else(|| item.as_text()) else {
                    continue;
                };
                match first.get(&(kind, name)) {
                    Some((other, line)) if !other.starts_with(list) => {
                        let found = format!("{name:?} also as {other} on line {line}");
                        let expected = format!("each {kind} in one list");
                        faults.push(fault(&path, item.line, &expected, found));
                    }
                    Some(_) => {}
                    None => {
                        first.insert((kind, name), (path, item.line));
                    }
                }
            }
        }
    }
    faults
}

/// Returns the line of a path or of the closest mapping around it.
fn line(root: &Node, path: &str) -> usize {
    let mut path = path;
    loop {
        if let Some(node) = root.at(path) {
            return node.line;
        }
        match path.rfind(['.', '[']) {
            Some(end) => path = &path[..end],
            None => return root.line,
        }
    }
}

/// Describes what would have been accepted.
fn expected_instead(conflict: &Conflict, current: Version) -> String {
    match conflict {
        Conflict::NoBase | Conflict::Ahead { .. } => {
            format!("a base version of at most {}", current.0)
        }
        Conflict::Stale { .. } => format!(
            "a note written against version {} with the change in mind",
            current.0
        ),
        Conflict::Exists { .. } => "a new name, or the entry under change".to_owned(),
        Conflict::Missing { by: None, .. } => "an entry that exists".to_owned(),
        Conflict::Missing { .. } => "a reference to an entry that exists".to_owned(),
        Conflict::InUse { .. } | Conflict::VersionInUse { .. } => {
            "an entry that nothing uses".to_owned()
        }
        Conflict::NoVersion { .. } => "a version of the model".to_owned(),
        Conflict::VersionBack { from, .. } => format!("a version of at least {from}"),
        Conflict::Repeated { .. } => "each entry once".to_owned(),
        Conflict::RankTaken { .. } => "a free rank".to_owned(),
        Conflict::IdReused => "an id of its own".to_owned(),
        Conflict::Full { kind } => format!("at most {} entries of kind {kind}", bound::MAX_ITEMS),
        Conflict::Invalid { expected, .. } => expected.clone(),
    }
}

/// Returns the path in a note that a conflict is about.
fn path_of(note: &Note, conflict: &Conflict) -> String {
    match conflict {
        Conflict::NoBase | Conflict::Ahead { .. } => "base".to_owned(),
        Conflict::IdReused => "id".to_owned(),
        Conflict::Full { kind } => format!("add.{kind}s"),
        Conflict::Invalid { path, .. } => path.clone(),
        Conflict::Missing { item, by: None }
        | Conflict::Stale { item, .. }
        | Conflict::Exists { item }
        | Conflict::InUse { item, .. }
        | Conflict::VersionBack { item, .. }
        | Conflict::Repeated { item } => find(note, item),
        Conflict::Missing { by: Some(by), .. } => find(note, by),
        Conflict::VersionInUse { item, version, .. } => {
            let versions = note.withdraw.versions.iter();
            let mut versions = versions.enumerate();
            let at = versions.find(|(_, r)| r.model == item.name && r.version == *version);
            at.map_or_else(
                || find(note, item),
                |(i, _)| format!("withdraw.versions[{i}]"),
            )
        }
        Conflict::NoVersion { item, version } => find_version(note, &item.name, *version),
        Conflict::RankTaken { item, rank, .. } => find_rank(note, &item.name, *rank),
    }
}

fn find(note: &Note, item: &Item) -> String {
    let lists = [("add", &note.add), ("change", &note.change)];
    for (list, entries) in lists {
        if let Some((key, index)) = find_entry(entries, item) {
            return format!("{list}.{key}[{index}]");
        }
    }
    let withdraw = &note.withdraw;
    let (key, names) = match item.kind {
        Kind::Upstream => ("upstreams", &withdraw.upstreams),
        Kind::Model => ("models", &withdraw.models),
        Kind::Adapter => ("adapters", &withdraw.adapters),
        Kind::Service => ("services", &withdraw.services),
        Kind::Zone | Kind::Vm | Kind::Group => return String::new(),
    };
    if let Some(index) = names.iter().position(|name| *name == item.name) {
        return format!("withdraw.{key}[{index}]");
    }
    let releases = [
        ("add", &note.add.versions),
        ("withdraw", &note.withdraw.versions),
    ];
    for (list, releases) in releases {
        let at = releases.iter().position(|r| r.model == item.name);
        if let Some(index) = at.filter(|_| item.kind == Kind::Model) {
            return format!("{list}.versions[{index}]");
        }
    }
    String::new()
}

fn find_entry(entries: &Entries, item: &Item) -> Option<(&'static str, usize)> {
    let name = item.name.as_str();
    let (key, index) = match item.kind {
        Kind::Upstream => (
            "upstreams",
            entries.upstreams.iter().position(|e| e.name == name),
        ),
        Kind::Model => ("models", entries.models.iter().position(|e| e.name == name)),
        Kind::Adapter => (
            "adapters",
            entries.adapters.iter().position(|e| e.name == name),
        ),
        Kind::Service => (
            "services",
            entries.services.iter().position(|e| e.name == name),
        ),
        Kind::Zone | Kind::Vm | Kind::Group => ("", None),
    };
    Some((key, index?))
}

fn find_version(note: &Note, model: &str, version: u32) -> String {
    for (list, entries) in [("add", &note.add), ("change", &note.change)] {
        for (index, entry) in entries.upstreams.iter().enumerate() {
            let served = entry.models.iter();
            let at = served
                .clone()
                .position(|served| served.name == model && served.version == Some(version));
            if let Some(at) = at {
                return format!("{list}.upstreams[{index}].models[{at}].version");
            }
        }
    }
    find(note, &Item::new(Kind::Model, model))
}

fn find_rank(note: &Note, group: &str, rank: u32) -> String {
    for (list, entries) in [("add", &note.add), ("change", &note.change)] {
        let at = entries
            .upstreams
            .iter()
            .position(|entry| entry.group.as_deref() == Some(group) && entry.rank == Some(rank));
        if let Some(index) = at {
            return format!("{list}.upstreams[{index}].rank");
        }
    }
    String::new()
}

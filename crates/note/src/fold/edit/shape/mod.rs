//! Rules for the values of one note, whatever the state is.
//!
//! [`crate::check`] reports the same faults with lines before a note is
//! published; the fold repeats them because a record may come from another
//! program.

use crate::bound;
use crate::call;
use crate::fold::outcome::Conflict;
use crate::note::{Entries, Kind, Note, Role, Served, Upstream};

/// Description of a valid name, for error messages.
pub(crate) const NAME_RULE: &str = "a name of 1 to 128 letters, digits or characters of `._-/:@+`";

/// Description of a valid call rule, for error messages.
pub(crate) const CALL_RULE: &str = "a method and a path, such as `POST /orders`";

/// Returns whether a text can be a name.
pub(crate) fn is_name(text: &str) -> bool {
    let fits = (1..=bound::MAX_NAME_BYTES).contains(&text.len());
    fits && text
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"._-/:@+".contains(&byte))
}

/// Collects the faults of a note's values.
pub(crate) fn check(note: &Note) -> Vec<Conflict> {
    let mut faults = Faults::default();
    faults.length(
        "author",
        note.author.len(),
        bound::MAX_AUTHOR_BYTES,
        "bytes",
    );
    faults.length(
        "comment",
        note.comment.len(),
        bound::MAX_COMMENT_BYTES,
        "bytes",
    );
    faults.entries("add", &note.add);
    faults.entries("change", &note.change);
    if !note.change.versions.is_empty() {
        faults.push("change.versions", "no entries; change the model instead");
    }
    let withdraw = &note.withdraw;
    faults.names("withdraw.upstreams", &withdraw.upstreams);
    faults.names("withdraw.models", &withdraw.models);
    faults.names("withdraw.adapters", &withdraw.adapters);
    faults.names("withdraw.services", &withdraw.services);
    let count = withdraw.versions.len();
    faults.length(
        "withdraw.versions",
        count,
        bound::MAX_NOTE_ENTRIES,
        "entries",
    );
    faults.list
}

#[derive(Default)]
struct Faults {
    list: Vec<Conflict>,
}

impl Faults {
    fn push(&mut self, path: impl Into<String>, expected: impl Into<String>) {
        if self.list.len() < bound::MAX_CONFLICTS {
            let path = path.into();
            let expected = expected.into();
            self.list.push(Conflict::Invalid { path, expected });
        }
    }

    fn length(&mut self, path: &str, len: usize, max: usize, unit: &str) {
        if len > max {
            self.push(path, format!("at most {max} {unit}"));
        }
    }

    fn name(&mut self, path: impl FnOnce() -> String, name: &str) {
        if !is_name(name) {
            self.push(path(), NAME_RULE);
        }
    }

    fn names(&mut self, path: &str, names: &[String]) {
        self.length(path, names.len(), bound::MAX_NOTE_ENTRIES, "entries");
        for (index, name) in names.iter().enumerate() {
            self.name(|| format!("{path}[{index}]"), name);
        }
    }

    fn entries(&mut self, list: &str, entries: &Entries) {
        let counts = [
            ("upstreams", entries.upstreams.len()),
            ("models", entries.models.len()),
            ("adapters", entries.adapters.len()),
            ("versions", entries.versions.len()),
            ("services", entries.services.len()),
        ];
        for (kind, count) in counts {
            self.length(
                &format!("{list}.{kind}"),
                count,
                bound::MAX_NOTE_ENTRIES,
                "entries",
            );
        }
        for (index, entry) in entries.upstreams.iter().enumerate() {
            self.upstream(&format!("{list}.upstreams[{index}]"), entry);
        }
        for (index, entry) in entries.models.iter().enumerate() {
            self.name(|| format!("{list}.models[{index}].name"), &entry.name);
        }
        for (index, entry) in entries.adapters.iter().enumerate() {
            self.name(|| format!("{list}.adapters[{index}].name"), &entry.name);
            self.name(|| format!("{list}.adapters[{index}].model"), &entry.model);
        }
        for (index, entry) in entries.services.iter().enumerate() {
            let path = format!("{list}.services[{index}]");
            self.name(|| format!("{path}.name"), &entry.name);
            self.calls(&path, &entry.not_repeatable);
        }
    }

    fn upstream(&mut self, path: &str, entry: &Upstream) {
        self.name(|| format!("{path}.name"), &entry.name);
        self.name(|| format!("{path}.zone"), &entry.zone);
        self.name(|| format!("{path}.vm"), &entry.vm);
        self.calls(path, &entry.not_repeatable);
        match entry.kind {
            Kind::Engine => self.engine(path, entry),
            Kind::Service => self.server(path, entry),
        }
    }

    fn engine(&mut self, path: &str, entry: &Upstream) {
        if entry.service.is_some() {
            self.push(format!("{path}.service"), "no service for an engine");
        }
        if entry.group.is_some() != entry.rank.is_some() {
            self.push(format!("{path}.rank"), "group and rank together or neither");
        }
        if entry.rank.is_some_and(|rank| rank >= bound::MAX_RANKS) {
            let expected = format!("a rank below {}", bound::MAX_RANKS);
            self.push(format!("{path}.rank"), expected);
        }
        if let Some(group) = &entry.group {
            self.name(|| format!("{path}.group"), group);
        }
        let models = &entry.models;
        self.length(
            &format!("{path}.models"),
            models.len(),
            bound::MAX_SERVED_MODELS,
            "models",
        );
        for (index, served) in models.iter().enumerate() {
            self.served(&format!("{path}.models[{index}]"), served);
            if models[..index]
                .iter()
                .any(|other| other.name == served.name)
            {
                self.push(format!("{path}.models[{index}].name"), "each model once");
            }
        }
    }

    fn served(&mut self, path: &str, served: &Served) {
        self.name(|| format!("{path}.name"), &served.name);
        let adapters = &served.adapters;
        let adapters_path = format!("{path}.adapters");
        self.length(
            &adapters_path,
            adapters.len(),
            bound::MAX_ADAPTERS,
            "adapters",
        );
        for (index, name) in adapters.iter().enumerate() {
            self.name(|| format!("{adapters_path}[{index}]"), name);
        }
    }

    fn server(&mut self, path: &str, entry: &Upstream) {
        match &entry.service {
            Some(service) => self.name(|| format!("{path}.service"), service),
            None => self.push(format!("{path}.service"), "the service it belongs to"),
        }
        if !entry.models.is_empty() {
            self.push(format!("{path}.models"), "no models for a service");
        }
        if entry.group.is_some() || entry.rank.is_some() {
            self.push(format!("{path}.group"), "no group or rank for a service");
        }
        if entry.role != Role::Mixed {
            self.push(format!("{path}.role"), "no role for a service");
        }
    }

    fn calls(&mut self, path: &str, calls: &[String]) {
        let path = format!("{path}.not_repeatable");
        self.length(&path, calls.len(), bound::MAX_CALL_RULES, "calls");
        for (index, rule) in calls.iter().enumerate() {
            if call::parse(rule).is_none() {
                self.push(format!("{path}[{index}]"), CALL_RULE);
            }
        }
    }
}

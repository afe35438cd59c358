//! Timeline of one request or upstream, from the logs of any number of processes.
//!
//! Contains the log lines that name the identity, ordered by time. Before each
//! attempt come the lines that show the state of its process at that time: the
//! active table, the record of the upstream, the state of the store. Information
//! that the logs lack is marked as missing.

use std::collections::BTreeMap;
use std::fmt::Write as _;

/// A line of a log, as key=value pairs.
#[derive(Clone, Debug)]
pub struct Line {
    /// Time of the line, in seconds since the Unix epoch.
    pub time: f64,
    /// Process that wrote the line: the name of its log file.
    pub source: String,
    text: String,
    fields: Vec<(String, String)>,
}

impl Line {
    /// Parses a line; returns `None` if it has no time or no event, as a truncated
    /// line or one from another program.
    pub fn parse(source: &str, text: &str) -> Option<Self> {
        let fields = fields(text);
        let time = fields.iter().find(|(name, _)| name == "time")?;
        let time = time.1.parse().ok()?;
        let found = fields.iter().any(|(name, _)| name == "event");
        found.then(|| Self {
            time,
            source: source.to_owned(),
            text: text.trim_end().to_owned(),
            fields,
        })
    }

    fn get(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    fn event(&self) -> &str {
        self.get("event").unwrap_or_default()
    }
}

/// Splits a line into key=value pairs; values may be quoted.
fn fields(text: &str) -> Vec<(String, String)> {
    let mut fields = Vec::new();
    let mut rest = text.trim();
    while let Some((name, after)) = rest.split_once('=') {
        let (value, next) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        let name = name.rsplit(' ').next().unwrap_or_default();
        fields.push((name.to_owned(), value.to_owned()));
        rest = next.trim_start();
    }
    fields
}

/// Returns the timeline of a request, upstream, peer, zone or group. `lines` may
/// have any order; `skipped` is the number of lines that could not be parsed.
pub fn timeline(identity: &str, mut lines: Vec<Line>, skipped: usize) -> String {
    lines.sort_by(|a, b| a.time.total_cmp(&b.time));
    let mut text = String::new();
    let mentions = |line: &Line| {
        ["id", "upstream", "peer", "zone", "group"]
            .iter()
            .any(|name| line.get(name) == Some(identity))
    };
    let mut known_state: BTreeMap<(String, String), Line> = BTreeMap::new();
    let mut matched = 0;
    let mut ended = false;
    for line in &lines {
        if let Some(subject) = subject(line) {
            known_state.insert((line.source.clone(), subject), line.clone());
        }
        if !mentions(line) {
            continue;
        }
        matched += 1;
        if line.event() == "attempt" {
            write_known_state(&mut text, &known_state, line);
        }
        ended |= matches!(
            line.event(),
            "call_end" | "stream_end" | "call_rejected" | "caller_left"
        );
        write_line(&mut text, &format!("{}: {}", line.source, line.text));
    }
    if matched == 0 {
        write_line(&mut text, &format!("missing: no line names {identity}"));
    } else if !ended && lines.iter().any(|line| line.get("id") == Some(identity)) {
        write_line(
            &mut text,
            "missing: the end of the request; its process may have ended, or the log is cut",
        );
    }
    let dropped = lines
        .iter()
        .filter(|line| line.event() == "log_lines_dropped");
    for line in dropped {
        let count = line.get("lines").unwrap_or("some");
        let source = &line.source;
        write_line(
            &mut text,
            &format!("missing: {source} dropped {count} lines"),
        );
    }
    if skipped > 0 {
        write_line(
            &mut text,
            &format!("missing: {skipped} lines could not be read"),
        );
    }
    text
}

/// Returns which part of the known state of its process a line updates, if any.
fn subject(line: &Line) -> Option<String> {
    match line.event() {
        "table_in_force" => Some("table".to_owned()),
        "store_lost" | "store_regained" => {
            Some(format!("store {}", line.get("feed").unwrap_or_default()))
        }
        "upstream" | "upstream_gone" => Some(format!("upstream {}", line.get("id")?)),
        "zone" => Some(format!("zone {}", line.get("zone")?)),
        "map_switch" => Some(format!("map {}", line.get("group")?)),
        _ => None,
    }
}

/// Writes the state that the process of an attempt knew, with the age of each part.
fn write_known_state(
    text: &mut String,
    known_state: &BTreeMap<(String, String), Line>,
    line: &Line,
) {
    let upstream = line.get("upstream").unwrap_or("-");
    let own_subject = format!("upstream {upstream}");
    let mut known = false;
    for ((source, subject), update) in known_state {
        let about_other = subject.starts_with("upstream ") && *subject != own_subject;
        if *source != line.source || about_other {
            continue;
        }
        known |= *subject == own_subject;
        let age = line.time - update.time;
        let event = update
            .text
            .split_once("event=")
            .map_or("", |(_, event)| event);
        write_line(text, &format!("  believed for {age:.3} s: event={event}"));
    }
    if !known {
        let note = format!("  missing: what {} knew of {upstream}", line.source);
        write_line(text, &note);
    }
}

fn write_line(text: &mut String, line: &str) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{line}");
}

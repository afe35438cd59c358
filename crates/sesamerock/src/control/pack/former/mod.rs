//! Snapshot formats of earlier builds: deflated parts and deflated columns.
//!
//! The column format is still written by tests and by `measure` for comparison,
//! and for snapshots that are too large for the current format. It consists of
//! `MAGIC` and a deflated text. The first line of the text is a `Head`; then, for
//! each kind of row and each column, one line follows per row: the value in JSON,
//! or an empty line if the row has no such field.

use std::io::{Read as _, Write as _};
use std::iter;
use std::sync::Arc;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use sesamerock_note::snapshot::Part;

/// First byte of the column format. No deflated stream begins with this value,
/// since it selects the reserved block type, so it distinguishes columns from
/// deflated parts.
const MAGIC: u8 = 0x07;

/// Largest inflated snapshot that is accepted from a peer; longer ones are
/// truncated and then rejected.
const MAX_INFLATED_BYTES: u64 = 64 << 20;

/// First line of the text: the layout of the columns.
#[derive(Debug, Serialize, Deserialize)]
struct Head {
    /// The first part without its rows; replaces the heads of all parts.
    part: Part,
    tables: Vec<Table>,
}

/// Columns of the rows of one kind.
#[derive(Debug, Serialize, Deserialize)]
struct Table {
    kind: String,
    rows: usize,
    /// Paths of the fields within a row.
    columns: Vec<Vec<String>>,
    /// Lines of each column; not serialized.
    #[serde(skip)]
    lines: Vec<Lines>,
}

#[derive(Debug, Default)]
struct Lines {
    count: usize,
    text: String,
}

/// Packs the parts of a snapshot in the column format; returns no bytes if there
/// are no parts.
pub fn pack(parts: &[Part]) -> Vec<u8> {
    let Some(first) = parts.first() else {
        return Vec::new();
    };
    let mut head = Head {
        part: Part {
            index: 0,
            count: 1,
            rows: Vec::new(),
            ..first.clone()
        },
        tables: Vec::new(),
    };
    for row in parts.iter().flat_map(|part| &part.rows) {
        if let Ok(Value::Object(row)) = serde_json::to_value(row) {
            row.into_iter().for_each(|(kind, value)| {
                head.table(kind).add(value);
            });
        }
    }
    deflate(&head).unwrap_or_default()
}

fn deflate(head: &Head) -> std::io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(vec![MAGIC], Compression::default());
    serde_json::to_writer(&mut encoder, head)?;
    encoder.write_all(b"\n")?;
    for table in &head.tables {
        for lines in &table.lines {
            encoder.write_all(lines.text.as_bytes())?;
            for _ in lines.count..table.rows {
                encoder.write_all(b"\n")?;
            }
        }
    }
    encoder.finish()
}

impl Head {
    fn table(&mut self, kind: String) -> &mut Table {
        let position = self.tables.iter().position(|table| table.kind == kind);
        let index = position.unwrap_or_else(|| {
            self.tables.push(Table {
                kind,
                rows: 0,
                columns: Vec::new(),
                lines: Vec::new(),
            });
            self.tables.len() - 1
        });
        &mut self.tables[index]
    }
}

impl Table {
    fn add(&mut self, row: Value) {
        self.add_fields(&mut Vec::new(), row);
        self.rows += 1;
    }

    /// Adds a value to its column. Objects are split into their fields; a null is
    /// stored like an absent field, since only optional fields are null.
    fn add_fields(&mut self, path: &mut Vec<String>, value: Value) {
        match value {
            Value::Null => {}
            Value::Object(fields) if !fields.is_empty() => {
                for (name, value) in fields {
                    path.push(name);
                    self.add_fields(path, value);
                    path.pop();
                }
            }
            leaf => {
                let row = self.rows;
                let lines = self.column(path);
                let missing = row - lines.count;
                lines.text.extend(iter::repeat_n('\n', missing));
                lines.text.push_str(&leaf.to_string());
                lines.text.push('\n');
                lines.count = row + 1;
            }
        }
    }

    fn column(&mut self, path: &[String]) -> &mut Lines {
        let position = self.columns.iter().position(|column| column == path);
        let index = position.unwrap_or_else(|| {
            self.columns.push(path.to_vec());
            self.lines.push(Lines::default());
            self.columns.len() - 1
        });
        &mut self.lines[index]
    }
}

/// Unpacks a snapshot of either format.
///
/// # Errors
/// Returns a description of the damage if the bytes are truncated or malformed.
pub fn unpack(bytes: &[u8]) -> Result<Vec<Arc<Part>>, String> {
    let Some(columns) = bytes.strip_prefix(&[MAGIC]) else {
        // Deflated parts, from a peer with a build that predates the columns.
        let parts: Vec<Part> = parse(&inflate(bytes)?)?;
        return Ok(parts.into_iter().map(Arc::new).collect());
    };
    let text = inflate(columns)?;
    let mut lines = text.split('\n');
    let head: Head = parse(lines.next().unwrap_or_default())?;
    let mut part = head.part;
    for table in head.tables {
        let columns: Vec<Vec<&str>> = table
            .columns
            .iter()
            .map(|_| lines.by_ref().take(table.rows).collect())
            .collect();
        if columns.iter().any(|column| column.len() < table.rows) {
            return Err("a column is truncated".to_owned());
        }
        for row in 0..table.rows {
            let mut fields = Value::Object(Map::new());
            for (path, column) in table.columns.iter().zip(&columns) {
                if !column[row].is_empty() {
                    insert(&mut fields, path, parse(column[row])?)?;
                }
            }
            let named = Value::Object(Map::from_iter([(table.kind.clone(), fields)]));
            let row = serde_json::from_value(named).map_err(|error| error.to_string())?;
            part.rows.push(row);
        }
    }
    Ok(vec![Arc::new(part)])
}

/// Sets the field at a path and creates the missing objects along it.
fn insert(fields: &mut Value, path: &[String], value: Value) -> Result<(), String> {
    let mut place = fields;
    for name in path {
        if place.is_null() {
            *place = Value::Object(Map::new());
        }
        let object = place
            .as_object_mut()
            .ok_or("a column has the path of an object")?;
        place = object.entry(name).or_insert(Value::Null);
    }
    *place = value;
    Ok(())
}

fn parse<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, String> {
    serde_json::from_str(text).map_err(|error| error.to_string())
}

fn inflate(bytes: &[u8]) -> Result<String, String> {
    let mut text = String::new();
    let mut decoder = DeflateDecoder::new(bytes).take(MAX_INFLATED_BYTES);
    decoder
        .read_to_string(&mut text)
        .map_err(|error| error.to_string())?;
    Ok(text)
}

//! Compact encoding of the snapshots that peers send to each other.
//!
//! The rows of a snapshot repeat their field names and most of their values,
//! while names and addresses count upwards. The encoding therefore splits rows
//! into columns, splits texts into a dictionary of templates and the numbers in
//! them, and writes numbers as differences to a neighbouring value. It is
//! lossless: a restored state has the same hash as the packed one. The format is
//! described in `docs/notes/snapshots.md`. The log keeps plain records, which
//! any build can read.
//!
//! A packed snapshot is `MAGIC` and deflated blocks: the head, which is a part
//! without rows in JSON, and one `tree::Tree` of all rows.

mod cursor;
pub mod former;
mod number;
mod text;
mod tree;

use std::io::Read as _;
use std::sync::Arc;

use flate2::read::DeflateDecoder;
use sesamerock_note::snapshot::Part;

use cursor::{Blocks, Cursor};
use tree::Tree;

/// First byte of the encoding. No deflated stream begins with this value, since
/// it selects the reserved block type, and the format of [`former`] begins with
/// another one.
const MAGIC: u8 = 0x0f;

/// Largest inflated snapshot that is accepted from a peer; longer ones are
/// truncated and then rejected.
const MAX_INFLATED_BYTES: u64 = 64 << 20;

/// Packs the parts of a snapshot; returns no bytes if there are no parts. Uses
/// [`former`] if a column has more values than [`unpack`] accepts.
pub fn pack(parts: &[Part]) -> Vec<u8> {
    let Some(first) = parts.first() else {
        return Vec::new();
    };
    let head = Part {
        index: 0,
        count: 1,
        rows: Vec::new(),
        ..first.clone()
    };
    let mut tree = Tree::default();
    for row in parts.iter().flat_map(|part| &part.rows) {
        tree.push(serde_json::to_value(row).unwrap_or_default());
    }
    if tree.longest_column() as u64 > cursor::MAX_COLUMN_VALUES {
        return former::pack(parts);
    }
    let mut blocks = Blocks::new(MAGIC);
    blocks.text(&serde_json::to_string(&head).unwrap_or_default());
    blocks.number(tree.rows() as u64);
    blocks.end_block();
    tree.write(&mut blocks);
    blocks.finish()
}

/// Unpacks a snapshot into parts for [`sesamerock_note::snapshot::restore`],
/// which validates them. Also reads the formats of earlier builds.
///
/// # Errors
/// Returns a description of the damage if the bytes are truncated or malformed.
pub fn unpack(bytes: &[u8]) -> Result<Vec<Arc<Part>>, String> {
    let Some(blocks) = bytes.strip_prefix(&[MAGIC]) else {
        return former::unpack(bytes);
    };
    let inflated = inflate(blocks)?;
    let mut cursor = Cursor::new(&inflated);
    let head: Part = serde_json::from_str(cursor.text()?).map_err(|error| error.to_string())?;
    let rows = cursor.count()?;
    let mut tree = Tree::read(&mut cursor, rows)?;
    if !cursor.is_empty() {
        return Err("unexpected bytes after the rows".to_owned());
    }
    let mut part = head;
    for _ in 0..rows {
        let row = tree.next_row()?;
        let row = serde_json::from_value(row).map_err(|error| error.to_string())?;
        part.rows.push(row);
    }
    Ok(vec![Arc::new(part)])
}

fn inflate(bytes: &[u8]) -> Result<Vec<u8>, String> {
    let mut inflated = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(MAX_INFLATED_BYTES);
    decoder
        .read_to_end(&mut inflated)
        .map_err(|error| error.to_string())?;
    Ok(inflated)
}

//! Snapshots of the control state, in parts of bounded size.
//!
//! Nodes with the same state encode the same bytes. A new process restores a
//! state from the parts and folds the log from [`State::position`] on. In the
//! fold a snapshot is merged into the state: usually this changes nothing, but
//! after the log lost its tail it restores the entries that the log lost.

mod due;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sesamerock_base::version::Version;

use crate::fold::row::Row;
use crate::fold::{State, content_hash};
use crate::record::{Body, Record, to_json};

pub use due::{LogStatus, Reason, Schedule};

/// Maximum bytes of rows in one part. Small enough for every append, and large
/// enough that 10,000 upstreams need a few dozen parts.
pub const PART_BYTES: usize = 128 * 1024;

/// Maximum parts of one snapshot; [`crate::bound::MAX_ITEMS`] upstreams fit.
pub const MAX_PARTS: u32 = 4_096;

/// Number of records after which an incomplete snapshot is discarded. Its
/// writer stopped, or appends so slowly that another node writes one.
pub const PENDING_SPAN_RECORDS: u64 = 8_192;

/// One part of a snapshot. The parts differ only in `index` and `rows`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Identifies the snapshot: version and hash of the state.
    pub snapshot: String,
    /// Position of this part, from 0.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// Offset of the record that the state folds next.
    pub next: u64,
    /// Offset from which a restored state needs the log.
    pub from: u64,
    /// Version minus offset.
    pub shift: u64,
    /// Highest version of an evicted withdrawal, see [`State::floor`].
    pub floor: Version,
    /// Entries and verdicts in a fixed order.
    pub rows: Vec<Row>,
}

impl Part {
    /// Returns the version of the state.
    pub fn version(&self) -> Version {
        Version(self.next.saturating_add(self.shift).saturating_sub(1))
    }

    /// Returns whether two parts belong to one snapshot.
    fn joins(&self, other: &Self) -> bool {
        let header = |part: &Self| (part.count, part.next, part.from, part.shift, part.floor);
        self.snapshot == other.snapshot && header(self) == header(other)
    }
}

/// Why a state could not be restored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Some parts are missing.
    Incomplete {
        /// Number of missing parts.
        missing: usize,
    },
    /// The parts belong to different snapshots.
    Mixed,
    /// The content does not match the hash in the snapshot's id.
    Hash,
    /// An entry claims a version above the snapshot's own.
    Version,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Incomplete { missing } => write!(f, "{missing} parts of the snapshot missing"),
            Self::Mixed => write!(f, "parts of different snapshots"),
            Self::Version => write!(f, "an entry is newer than the snapshot"),
            Self::Hash => write!(f, "the content does not match the snapshot's hash"),
        }
    }
}

impl std::error::Error for Fault {}

/// Encodes a state as the records of a snapshot.
pub fn encode(state: &State) -> Vec<Record> {
    let snapshot = name(state);
    let chunks = chunk(state.rows());
    let count = chunks.len() as u32;
    let record = |(index, rows)| Record {
        id: format!("{snapshot}/{index}"),
        body: Body::Snapshot(Part {
            snapshot: snapshot.clone(),
            index,
            count,
            next: state.next_offset(),
            from: state.replay_from(),
            shift: state.shift(),
            floor: state.floor(),
            rows,
        }),
    };
    (0..).zip(chunks).map(record).collect()
}

/// Returns the parts among records, for [`restore`].
pub fn parts(records: impl IntoIterator<Item = Record>) -> Vec<Arc<Part>> {
    let part = |record: Record| match record.body {
        Body::Snapshot(part) => Some(Arc::new(part)),
        Body::Note(_) | Body::Zone(_) | Body::Vm(_) => None,
    };
    records.into_iter().filter_map(part).collect()
}

/// Returns the id of a state's snapshot.
pub fn name(state: &State) -> String {
    name_of(state.version(), state.hash())
}

fn name_of(version: Version, hash: [u8; 32]) -> String {
    let hash = blake3::Hash::from_bytes(hash).to_hex();
    format!("snapshot-{}-{hash}", version.0)
}

/// Restores a state from all parts of one snapshot, in any order.
///
/// # Errors
///
/// Returns a [`Fault`] if the parts are not all parts of one undamaged
/// snapshot.
pub fn restore(parts: &[Arc<Part>]) -> Result<State, Fault> {
    let Some(first) = parts.first() else {
        return Err(Fault::Incomplete { missing: 1 });
    };
    if parts.iter().any(|part| !part.joins(first)) {
        return Err(Fault::Mixed);
    }
    let known: BTreeSet<_> = parts.iter().map(|part| part.index).collect();
    let missing = (0..first.count).filter(|index| !known.contains(index));
    let missing = missing.count();
    if missing > 0 || first.count == 0 {
        return Err(Fault::Incomplete { missing });
    }
    let mut sorted: Vec<_> = parts.iter().collect();
    sorted.sort_by_key(|part| part.index);
    sorted.dedup_by_key(|part| part.index);
    let rows = sorted.iter().flat_map(|part| &part.rows);
    let newest = rows
        .clone()
        .filter_map(Row::item)
        .map(|(_, changed)| changed);
    if newest.max().unwrap_or_default().max(first.floor) > first.version() {
        return Err(Fault::Version);
    }
    let state = State::restore(first, rows);
    if name(&state) != first.snapshot {
        return Err(Fault::Hash);
    }
    Ok(state)
}

fn chunk(rows: Vec<Row>) -> Vec<Vec<Row>> {
    let mut chunks = vec![Vec::new()];
    let mut bytes = 0;
    for row in rows {
        let size = to_json(&row).len() + ",".len();
        if bytes + size > PART_BYTES && bytes > 0 {
            chunks.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(last) = chunks.last_mut() {
            last.push(row);
        }
    }
    chunks
}

/// A snapshot whose parts the fold collects.
///
/// Rows are kept encoded, which takes less than half the memory, and decoded
/// one part at a time.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    /// Offset of its first part.
    pub(crate) first: u64,
    /// The first part without its rows.
    pub(crate) head: Part,
    rows: BTreeMap<u32, Arc<[u8]>>,
}

impl Pending {
    /// Starts collecting the snapshot that a first part belongs to.
    pub(crate) fn open(first: u64, part: &Part) -> Self {
        let head = Part {
            rows: Vec::new(),
            ..part.clone()
        };
        Self {
            first,
            head,
            rows: BTreeMap::new(),
        }
    }

    /// Returns whether a part belongs to this snapshot.
    pub(crate) fn takes(&self, part: &Part) -> bool {
        self.head.joins(part)
    }

    /// Stores a part unless it is stored already, and returns the number of
    /// missing parts.
    pub(crate) fn keep(&mut self, part: &Part) -> usize {
        if part.index < part.count {
            let rows = || to_json(&part.rows).into();
            self.rows.entry(part.index).or_insert_with(rows);
        }
        part.count as usize - self.rows.len().min(part.count as usize)
    }

    /// Yields all rows in their order.
    pub(crate) fn rows(&self) -> impl Iterator<Item = Row> {
        // `keep` encoded these bytes, so decoding cannot fail.
        let decode = |rows: &Arc<[u8]>| serde_json::from_slice::<Vec<Row>>(rows);
        self.rows
            .values()
            .flat_map(move |rows| decode(rows).unwrap_or_default())
    }

    /// Returns the digest of the rows.
    ///
    /// # Errors
    ///
    /// Fails if the content does not match the snapshot's id.
    pub(crate) fn verify(&self) -> Result<u128, Fault> {
        let version = self.head.version();
        let floor = self.head.floor;
        let mut digest = 0_u128;
        let mut newest = floor;
        for row in self.rows() {
            digest = digest.wrapping_add(row.hash());
            newest = newest.max(row.item().map_or(newest, |(_, changed)| changed));
        }
        if newest > version {
            return Err(Fault::Version);
        }
        if name_of(version, content_hash(version, floor, digest)) != self.head.snapshot {
            return Err(Fault::Hash);
        }
        Ok(digest)
    }
}

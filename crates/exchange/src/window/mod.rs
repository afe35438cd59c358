//! Recent records kept for peers that lag behind.

use std::collections::VecDeque;

use sesamerock_base::version::Version;

use crate::message::Record;

/// Consecutive records up to the node's version.
///
/// Both the number of records and their bytes are bounded, which bounds the
/// memory; the oldest records are evicted. A peer whose version precedes the
/// window needs a snapshot.
#[derive(Clone, Debug)]
pub struct Window {
    base: Version,
    records: VecDeque<Record>,
    bytes: usize,
    max_records: usize,
    max_bytes: usize,
}

impl Window {
    /// Creates an empty window at version zero; `max_bytes` counts payload.
    pub fn new(max_records: usize, max_bytes: usize) -> Self {
        Self {
            base: Version(0),
            records: VecDeque::new(),
            bytes: 0,
            max_records,
            max_bytes,
        }
    }

    /// Returns the version of the last record.
    pub fn version(&self) -> Version {
        Version(self.base.0 + self.records.len() as u64)
    }

    /// Returns the version that precedes the first record held.
    pub fn base(&self) -> Version {
        self.base
    }

    /// Returns the payload of all records held, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Appends a record if it directly follows the window's version, and returns
    /// whether it did.
    pub fn push(&mut self, record: Record) -> bool {
        if record.version != self.version().next() {
            return false;
        }
        self.bytes += record.bytes.len();
        self.records.push_back(record);
        while self.records.len() > self.max_records || self.bytes > self.max_bytes {
            self.evict();
        }
        true
    }

    /// Removes all records and sets the version, after a snapshot was restored.
    pub fn reset(&mut self, version: Version) {
        self.base = version;
        self.records.clear();
        self.bytes = 0;
    }

    /// Yields the records after a version, or returns `None` if some of them have
    /// been evicted.
    pub fn after(&self, version: Version) -> Option<impl Iterator<Item = &Record>> {
        let skip = version.0.checked_sub(self.base.0)?;
        Some(self.records.iter().skip(skip as usize))
    }

    fn evict(&mut self) {
        if let Some(record) = self.records.pop_front() {
            self.base = record.version;
            self.bytes -= record.bytes.len();
        }
    }
}

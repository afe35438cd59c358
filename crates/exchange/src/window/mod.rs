//! The bounded window of recent records.

use std::collections::VecDeque;

use sesamerock_base::version::Version;

use crate::message::Record;

/// Consecutive records up to the node's version.
///
/// It is bounded by count and by bytes, so that its memory is known; a peer
/// that lags behind it needs a snapshot.
#[derive(Clone, Debug)]
pub struct Window {
    base: Version,
    records: VecDeque<Record>,
    bytes: usize,
    max_records: usize,
    max_bytes: usize,
}

impl Window {
    /// Makes an empty window at version zero.
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

    /// Returns the version before the first record held.
    pub fn base(&self) -> Version {
        self.base
    }

    /// Returns the number of payload bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Appends the next record and returns whether it was the next one.
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

    /// Empties the window and sets its version, after a snapshot.
    pub fn reset(&mut self, version: Version) {
        self.base = version;
        self.records.clear();
        self.bytes = 0;
    }

    /// Yields the records after a version, or `None` if the window starts
    /// later than that.
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

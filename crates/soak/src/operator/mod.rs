//! The operators and upstreams as writers of records, with copies of the store.
//!
//! While the store is away, writes wait. After it was restored from a copy, what it lost is written
//! again.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use sesamerock_standin::topics;

/// How far back copies of the store reach.
const COPY_RETENTION: Duration = Duration::from_secs(8);

/// A record to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// A version of the table.
    Table(u64),
    /// A zone is taken out of service, or returned to service.
    Zone(&'static str, bool),
    /// The registration of an upstream, by number, with a state; empty if it has left.
    Upstream(usize, &'static str),
}

impl Write {
    /// Returns whether two records have the same key.
    fn replaces(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Table(_), Self::Table(_)) => true,
            (Self::Zone(zone, _), Self::Zone(other, _)) => zone == other,
            (Self::Upstream(number, _), Self::Upstream(other, _)) => number == other,
            _ => false,
        }
    }
}

/// What has been written, and copies of the store.
#[derive(Debug, Default)]
pub struct Operator {
    /// Newest version of the table, written or waiting.
    pub version: u64,
    /// Number of drills during which no new versions are written.
    pub pauses: u32,
    away: u32,
    waiting: Vec<Write>,
    /// Writes that the store has confirmed, in order.
    confirmed: Vec<(Instant, Write)>,
    /// Newest record of each key, written or waiting.
    newest: Vec<Write>,
    copies: VecDeque<(Instant, topics::Copy)>,
}

impl Operator {
    /// Notes a record to be written. Returns whether it can be written now.
    pub fn submit(&mut self, write: &Write) -> bool {
        self.newest.retain(|other| !write.replaces(other));
        self.newest.push(write.clone());
        self.submit_again(write)
    }

    fn submit_again(&mut self, write: &Write) -> bool {
        if self.away > 0 {
            self.waiting.push(write.clone());
        }
        self.away == 0
    }

    /// Records that the store holds a record.
    pub fn record_confirmed(&mut self, write: Write) {
        self.confirmed.push((Instant::now(), write));
    }

    /// Keeps a copy of the store and drops copies that are too old.
    pub fn keep_copy(&mut self, copy: topics::Copy) {
        let now = Instant::now();
        self.copies.push_back((now, copy));
        while self
            .copies
            .front()
            .is_some_and(|(at, _)| *at + COPY_RETENTION < now)
        {
            self.copies.pop_front();
        }
    }

    /// Returns the newest copy that is at least as old as `age`, or else the oldest one.
    pub fn copy(&self, age: Duration) -> Option<(Instant, topics::Copy)> {
        let now = Instant::now();
        let old = self.copies.iter().rev();
        let mut old = old.filter(|(at, _)| *at + age <= now);
        old.next().or(self.copies.front()).cloned()
    }

    /// Lets writes wait from now on.
    pub fn leave(&mut self) {
        self.away += 1;
    }

    /// Ends an absence. Returns the writes that have waited, unless the store is still away.
    pub fn end_absence(&mut self) -> Vec<Write> {
        self.away = self.away.saturating_sub(1);
        if self.away > 0 {
            return Vec::new();
        }
        std::mem::take(&mut self.waiting)
    }

    /// Returns what the store has lost by a restore from a copy made at `copied_at`, in the order in
    /// which it was written.
    pub fn lost(&self, copied_at: Instant) -> Vec<Write> {
        let lost = self.confirmed.iter().filter(|(at, _)| *at > copied_at);
        let mut writes: Vec<Write> = Vec::new();
        for (_, write) in lost {
            if !writes.contains(write) {
                writes.push(write.clone());
            }
        }
        writes
    }

    /// Returns what to write in place of a lost record: a table as it was, and the newest record of
    /// another key.
    pub fn renewed(&self, lost: &Write) -> Write {
        if matches!(lost, Write::Table(_)) {
            return lost.clone();
        }
        let mut newest = self.newest.iter();
        let newest = newest.find(|write| write.replaces(lost));
        newest.unwrap_or(lost).clone()
    }

    /// Returns the newest version of the table, if it is a later one than the last of these records.
    /// The operators write it after them, so that the store lists it.
    pub fn later_table(&self, renewed: &[Write]) -> Option<Write> {
        let mut tables = renewed.iter();
        let latest = tables.rfind(|write| matches!(write, Write::Table(_)))?;
        let newest = Write::Table(self.version);
        (*latest != newest).then_some(newest)
    }

    /// Notes that a lost record is written again. Returns whether it can be written now.
    pub fn renew(&mut self, write: &Write) -> bool {
        self.submit_again(write)
    }
}

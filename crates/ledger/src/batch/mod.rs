//! Group commit: when to append, and what is not yet known to be in the log.
//!
//! One entry is under way at a time, and it counts as appended only when the
//! writer reads it in the stream. An answer to the append is therefore only a
//! hint: when it is lost, or claims a failure after the append took effect, the
//! same entry is sent again and readers drop the duplicate by its number.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::id::Incarnation;
use crate::record::{Entry, Record};

/// Largest wait for others to show themselves. When 300 idle agents started at
/// once, the first of them saw nobody else yet, sent a second entry within
/// milliseconds, and all together exceeded the limit by up to 5 appends.
const MAX_DISCOVERY_WAIT: Duration = Duration::from_millis(100);

/// Settings of a batch.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Appends per second that all writers of the shard may use together. The
    /// settings divide the platform's limit among shards and other uses.
    pub appends_per_second: f64,
    /// Time over which other writers are counted.
    pub writer_window: Duration,
    /// Time that a record nobody waits for may wait for company.
    pub lazy_delay: Duration,
    /// Time after which an entry that was not read back is sent again.
    pub resend_after: Duration,
    /// Largest wait after repeated failures.
    pub max_backoff: Duration,
    /// Largest estimated size of an entry in bytes, but for a single record
    /// that is larger.
    pub max_bytes: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            appends_per_second: 200.0,
            writer_window: Duration::from_secs(2),
            lazy_delay: Duration::from_millis(200),
            resend_after: Duration::from_millis(500),
            max_backoff: Duration::from_secs(10),
            max_bytes: 256 * 1024,
        }
    }
}

/// The writer's identity, as in the entries' headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentId {
    /// This process.
    pub incarnation: Incarnation,
    /// Name of its upstream.
    pub upstream: Arc<str>,
}

/// How soon a record must be appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// A call waits for it.
    Now,
    /// It may wait for [`Config::lazy_delay`].
    Lazy,
}

#[derive(Clone, Debug)]
struct Queued {
    record: Record,
    due: Moment,
}

#[derive(Clone, Debug)]
struct InFlightEntry {
    entry: Arc<Entry>,
    /// When it may be sent again.
    resend_at: Moment,
    backoff: Duration,
}

/// The records of one writer on their way into the log.
#[derive(Clone, Debug)]
pub struct Batch {
    config: Config,
    agent_id: AgentId,
    queue: VecDeque<Queued>,
    in_flight: Option<InFlightEntry>,
    last_number: u64,
    /// Attempts whose intent or void is queued or under way.
    pending_attempts: BTreeSet<u64>,
    /// When the last append was sent.
    last_append: Option<Moment>,
    /// Other writers of the stream and when their last entry was read.
    other_writers: BTreeMap<Incarnation, Moment>,
    /// Number of writers that may start at any time, including this one.
    known_writers: usize,
}

impl Batch {
    /// Makes an empty batch.
    pub fn new(config: Config, agent_id: AgentId) -> Self {
        Self {
            config,
            agent_id,
            queue: VecDeque::new(),
            in_flight: None,
            last_number: 0,
            pending_attempts: BTreeSet::new(),
            last_append: None,
            other_writers: BTreeMap::new(),
            known_writers: 1,
        }
    }

    /// Adds a record.
    pub fn push(&mut self, record: Record, urgency: Urgency, now: Moment) {
        let due = match urgency {
            Urgency::Now => now,
            Urgency::Lazy => now + self.config.lazy_delay,
        };
        self.pending_attempts.extend(pending_sequence(&record));
        self.queue.push_back(Queued { record, due });
    }

    /// Returns whether an intent or a void of an attempt is not yet known to be
    /// in the log.
    pub fn is_pending(&self, sequence: u64) -> bool {
        self.pending_attempts.contains(&sequence)
    }

    /// Returns whether a snapshot part is not yet known to be in the log.
    pub fn has_pending_part(&self) -> bool {
        self.any_pending(|record| matches!(record, Record::Part(_)))
    }

    /// Returns whether an age statement is not yet known to be in the log.
    pub fn has_pending_age(&self) -> bool {
        self.any_pending(|record| matches!(record, Record::Age(_)))
    }

    fn any_pending(&self, test: impl Fn(&Record) -> bool) -> bool {
        let mut in_flight_records = self
            .in_flight
            .iter()
            .flat_map(|in_flight| &in_flight.entry.records);
        in_flight_records.any(&test) || self.queue.iter().any(|queued| test(&queued.record))
    }

    /// Removes an intent that no append has carried yet; returns false if it may
    /// be in the log.
    pub fn cancel(&mut self, sequence: u64) -> bool {
        let before = self.queue.len();
        self.queue.retain(|queued| {
            !matches!(&queued.record, Record::Intent(intent) if intent.sequence == sequence)
        });
        let cancelled = self.queue.len() < before;
        if cancelled {
            self.pending_attempts.remove(&sequence);
        }
        cancelled
    }

    /// Returns the entry to append now, if any; the same one again when it was
    /// not read back in time.
    pub fn poll(&mut self, now: Moment) -> Option<Arc<Entry>> {
        if self.wake_at()? > now {
            return None;
        }
        self.last_append = Some(now);
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.backoff = (in_flight.backoff * 2).min(self.config.max_backoff);
            in_flight.resend_at = now + in_flight.backoff;
            return Some(Arc::clone(&in_flight.entry));
        }
        let entry = Arc::new(self.collect());
        self.in_flight = Some(InFlightEntry {
            entry: Arc::clone(&entry),
            resend_at: now + self.config.resend_after,
            backoff: self.config.resend_after,
        });
        Some(entry)
    }

    /// Returns when [`Self::poll`] has something to append, if ever.
    pub fn wake_at(&self) -> Option<Moment> {
        let due = match &self.in_flight {
            Some(in_flight) => in_flight.resend_at,
            None => self.queue.iter().map(|queued| queued.due).min()?,
        };
        let earliest = self.last_append.map(|last| last + self.interval());
        Some(earliest.map_or(due, |earliest| due.max(earliest)))
    }

    /// Takes note that an append of the current entry failed or is unanswered;
    /// `retry_after` is what the log asked for.
    pub fn append_failed(&mut self, number: u64, retry_after: Option<Duration>, now: Moment) {
        if let Some(in_flight) = &mut self.in_flight
            && in_flight.entry.number == number
        {
            let wait = retry_after.unwrap_or(in_flight.backoff);
            in_flight.resend_at = in_flight.resend_at.max(now + wait);
        }
    }

    /// Takes note of an entry read in the stream.
    pub fn observe(&mut self, entry: &Entry, now: Moment) {
        if entry.writer != self.agent_id.incarnation {
            self.other_writers.insert(entry.writer, now);
            return;
        }
        let is_read_back = |in_flight: &mut InFlightEntry| in_flight.entry.number == entry.number;
        if let Some(in_flight) = self.in_flight.take_if(is_read_back) {
            for record in &in_flight.entry.records {
                if let Some(sequence) = pending_sequence(record) {
                    self.pending_attempts.remove(&sequence);
                }
            }
        }
    }

    /// Forgets writers that were not seen for the window.
    pub fn tick(&mut self, now: Moment) {
        let window = self.config.writer_window.max(self.interval() * 2);
        self.other_writers
            .retain(|_, seen| now.since(*seen) <= window);
    }

    /// Says how many agents, including this one, may write to the stream.
    pub const fn set_known_writers(&mut self, agents: usize) {
        self.known_writers = agents;
    }

    /// Returns the time between two appends of this writer: with `n` writers,
    /// each takes an `n`-th of the allowed rate. Idle writers that are known
    /// count only up to the time in which they would show themselves.
    pub fn interval(&self) -> Duration {
        let spacing = Duration::from_secs_f64(1.0 / self.config.appends_per_second);
        let active = spacing * (self.other_writers.len() as u32 + 1);
        let known = spacing * self.known_writers as u32;
        active.max(known.min(MAX_DISCOVERY_WAIT))
    }

    /// Returns whether nothing waits to be read back.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// Returns the number of records that no append has carried yet.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the writer's identity.
    pub const fn agent_id(&self) -> &AgentId {
        &self.agent_id
    }

    /// Takes queued records up to the size limit, at least one.
    fn collect(&mut self) -> Entry {
        let mut bytes = 0;
        let mut records = Vec::new();
        while let Some(queued) = self.queue.front() {
            bytes += queued.record.estimated_bytes();
            if !records.is_empty() && bytes > self.config.max_bytes {
                break;
            }
            records.extend(self.queue.pop_front().map(|queued| queued.record));
        }
        self.last_number += 1;
        Entry {
            writer: self.agent_id.incarnation,
            upstream: Arc::clone(&self.agent_id.upstream),
            number: self.last_number,
            records,
        }
    }
}

/// Returns the attempt that waits for a record to be read back.
const fn pending_sequence(record: &Record) -> Option<u64> {
    match record {
        Record::Intent(intent) => Some(intent.sequence),
        Record::Void(own) => Some(own.sequence),
        _ => None,
    }
}

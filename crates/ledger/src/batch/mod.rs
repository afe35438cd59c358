//! Group commit of the records of one writer: decides when to append, and
//! tracks which records are not yet known to be in the log.
//!
//! One entry is in flight at a time, and it counts as appended only when the
//! writer reads it from the stream. The response to the append does not decide:
//! if it is lost, or reports a failure although the append took effect, the
//! same entry is sent again, and readers drop the duplicate by its number.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::id::Incarnation;
use crate::record::{Entry, Record};

/// Maximum time between two appends that is kept for known writers that have
/// not written yet. Without it, 300 idle agents that start at once exceed the
/// rate limit by up to 5 appends, since the first of them see no other writer and
/// send a second entry within milliseconds.
const MAX_DISCOVERY_WAIT: Duration = Duration::from_millis(100);

/// Settings of the group commit.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Appends per second that all writers of the shard may use together. The
    /// platform's limit must be divided among shards and other uses of the log.
    pub appends_per_second: f64,
    /// Time for which another writer counts after its last entry.
    pub writer_window: Duration,
    /// Time for which a [`Urgency::Lazy`] record may wait for others to share
    /// its entry.
    pub lazy_delay: Duration,
    /// Time after which an entry is first sent again if it was not read back;
    /// doubled for each further time.
    pub resend_after: Duration,
    /// Maximum time between two sends of the same entry.
    pub max_backoff: Duration,
    /// Maximum estimated size of an entry in bytes, except for an entry with a
    /// single larger record.
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

/// Identity of an agent process, as in the headers of its entries and in the
/// keys that it issues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentId {
    /// The run of the process.
    pub incarnation: Incarnation,
    /// Name of the upstream that the agent serves.
    pub upstream: Arc<str>,
}

/// How soon a record must be appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// At the next append, since a call waits for the record.
    Now,
    /// Within [`Config::lazy_delay`].
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
    /// When the entry is sent again if it was not read back.
    resend_at: Moment,
    backoff: Duration,
}

/// The records of one writer that are not yet known to be in the log.
#[derive(Clone, Debug)]
pub struct Batch {
    config: Config,
    agent_id: AgentId,
    queue: VecDeque<Queued>,
    in_flight: Option<InFlightEntry>,
    last_number: u64,
    /// Sequences of the attempts whose intent or void is queued or in flight.
    pending_attempts: BTreeSet<u64>,
    /// When the last append was sent.
    last_append: Option<Moment>,
    /// Other writers of the stream and when their last entry was read.
    other_writers: BTreeMap<Incarnation, Moment>,
    /// Number of agents that may write at any time, including this one.
    known_writers: usize,
}

impl Batch {
    /// Creates an empty batch.
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

    /// Queues a record.
    pub fn push(&mut self, record: Record, urgency: Urgency, now: Moment) {
        let due = match urgency {
            Urgency::Now => now,
            Urgency::Lazy => now + self.config.lazy_delay,
        };
        self.pending_attempts.extend(pending_sequence(&record));
        self.queue.push_back(Queued { record, due });
    }

    /// Returns whether an intent or a void of an attempt is queued or in
    /// flight, and so not yet known to be in the log.
    pub fn is_pending(&self, sequence: u64) -> bool {
        self.pending_attempts.contains(&sequence)
    }

    /// Returns whether a snapshot part is queued or in flight.
    pub fn has_pending_part(&self) -> bool {
        self.any_pending(|record| matches!(record, Record::Part(_)))
    }

    /// Returns whether an age record is queued or in flight.
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

    /// Removes an intent that is still queued. Returns false if there is none,
    /// because it was sent and may be in the log, or was never queued.
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

    /// Takes the entry to append now, if any, and counts it as sent at `now`. This
    /// is the last entry again, with a doubled backoff, if that was not read back
    /// in time.
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

    /// Returns when [`Self::poll`] will return an entry, or `None` if there is
    /// no record to append.
    pub fn wake_at(&self) -> Option<Moment> {
        let due = match &self.in_flight {
            Some(in_flight) => in_flight.resend_at,
            None => self.queue.iter().map(|queued| queued.due).min()?,
        };
        let earliest = self.last_append.map(|last| last + self.interval());
        Some(earliest.map_or(due, |earliest| due.max(earliest)))
    }

    /// Must be called when an append failed or was not answered. The entry is
    /// sent again after `retry_after` if the log gave one, otherwise after the
    /// backoff, but not before the time already set for that. Has no effect if `number` is not the entry in flight.
    pub fn append_failed(&mut self, number: u64, retry_after: Option<Duration>, now: Moment) {
        if let Some(in_flight) = &mut self.in_flight
            && in_flight.entry.number == number
        {
            let wait = retry_after.unwrap_or(in_flight.backoff);
            in_flight.resend_at = in_flight.resend_at.max(now + wait);
        }
    }

    /// Must be called with each entry that is read from the stream, also those
    /// of other writers.
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

    /// Drops other writers that have written nothing for
    /// [`Config::writer_window`], or for two intervals if that is longer.
    pub fn tick(&mut self, now: Moment) {
        let window = self.config.writer_window.max(self.interval() * 2);
        self.other_writers
            .retain(|_, seen| now.since(*seen) <= window);
    }

    /// Sets how many agents, including this one, may write to the stream.
    pub const fn set_known_writers(&mut self, agents: usize) {
        self.known_writers = agents;
    }

    /// Returns the time between two appends of this writer. With `n` active
    /// writers, each uses an `n`-th of the allowed rate. Known writers that are
    /// idle count too, but only up to an interval of 100 ms, in which their
    /// first entries would be read.
    pub fn interval(&self) -> Duration {
        let spacing = Duration::from_secs_f64(1.0 / self.config.appends_per_second);
        let active = spacing * (self.other_writers.len() as u32 + 1);
        let known = spacing * self.known_writers as u32;
        active.max(known.min(MAX_DISCOVERY_WAIT))
    }

    /// Returns whether all records were read back.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// Returns the number of records that are queued and not part of the entry
    /// in flight.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the identity that entries are written with.
    pub const fn agent_id(&self) -> &AgentId {
        &self.agent_id
    }

    /// Builds the next entry from queued records up to the size limit, at least
    /// one.
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

/// Returns the sequence of the attempt whose intent or void this is.
const fn pending_sequence(record: &Record) -> Option<u64> {
    match record {
        Record::Intent(intent) => Some(intent.sequence),
        Record::Void(attempt) => Some(attempt.sequence),
        _ => None,
    }
}

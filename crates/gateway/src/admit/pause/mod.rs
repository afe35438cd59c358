//! Upstreams that have asked this gateway for a pause.
//!
//! An upstream may refuse a call and state for how long it wants no further ones from the
//! gateway that sent it. That is no failure: it says when the upstream can be used again. When
//! the time is over, one call tries it before others follow.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::upstream::Record;

/// Longest pause that is observed, so that a faulty value does not exclude an upstream for good.
pub const MAX_PAUSE: Duration = Duration::from_mins(1);
/// Time for the answer to the call that tries an upstream, after which another one tries it, so
/// that a lost call does not keep the upstream from being used.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the end of a pause in which it is remembered without a call that tries the upstream.
const RETENTION: Duration = Duration::from_mins(1);

#[derive(Clone, Copy, Debug)]
struct Entry {
    born: Option<u64>,
    until: Moment,
    /// When a call was last sent to try the upstream.
    tried_at: Option<Moment>,
}

/// The pauses that upstreams have asked this gateway for.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    entries: HashMap<Arc<str>, Entry>,
}

impl Pauses {
    /// Starts a pause of at most [`MAX_PAUSE`], or extends one.
    pub fn start(&mut self, record: &Record, length: Duration, now: Moment) {
        self.entries
            .retain(|_, entry| now.since(entry.until) < RETENTION);
        if length.is_zero() {
            return;
        }
        let until = now + length.min(MAX_PAUSE);
        // Of two requests, each holds to its own end.
        let until = self.end(record).map_or(until, |known| known.max(until));
        let entry = Entry {
            born: record.born,
            until,
            tried_at: None,
        };
        self.entries.insert(Arc::clone(&record.id), entry);
    }

    /// Returns when the pause of an upstream ends or has ended, until a call has tried it.
    pub fn end(&self, record: &Record) -> Option<Moment> {
        self.get(record).map(|entry| entry.until)
    }

    /// Returns whether an upstream wants no calls now.
    pub fn contains(&self, record: &Record, now: Moment) -> bool {
        self.end(record).is_some_and(|until| now < until)
    }

    /// Returns whether a call that tries an upstream after its pause has not been answered yet.
    pub fn is_being_tried(&self, record: &Record, now: Moment) -> bool {
        let tried_at = self.get(record).and_then(|entry| entry.tried_at);
        tried_at.is_some_and(|at| now.since(at) < TRIAL_TIMEOUT)
    }

    /// Records that a call is sent, which tries the upstream if its pause has ended.
    pub fn record_call(&mut self, record: &Record, now: Moment) {
        let entry = self.entries.get_mut(&record.id);
        if let Some(entry) = entry.filter(|entry| entry.born == record.born && now >= entry.until) {
            entry.tried_at = Some(now);
        }
    }

    /// Records that an upstream has answered a call that was sent at `sent_at`. The answer to a
    /// call from before the end of the pause says nothing about the time after it.
    pub fn record_answer(&mut self, record: &Record, sent_at: Moment) {
        if self.end(record).is_some_and(|until| sent_at >= until) {
            self.entries.remove(&record.id);
        }
    }

    fn get(&self, record: &Record) -> Option<&Entry> {
        let entry = self.entries.get(&record.id);
        entry.filter(|entry| entry.born == record.born)
    }
}

//! Heartbeats on the wire: what has changed since a heartbeat that the receiver has acknowledged.
//!
//! The receiver restores each heartbeat in full, so the encoding does not affect what it learns or
//! when. Each connection starts with a full state, which also covers a restart of either side. A
//! receiver that lacks the base of a message acknowledges nothing, and the next message is in
//! full. See `docs/notes/traffic.md`.

mod fields;
mod patch;

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;

use self::patch::Edit;
use super::Heartbeat;

/// Interval at which all fields and counts are sent whole, so that a receiver with a wrong state
/// keeps it for no longer.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// Most states that either side keeps until one of them is acknowledged. With one message on its
/// way, two are needed.
const MAX_STATES: usize = 4;
/// Number of announced ids without calls at which the indexes are assigned anew. It bounds the
/// memory that upstreams take that have left.
const MAX_UNUSED_IDS: usize = 256;
/// Most ids that a receiver keeps for one connection: several times the upstreams of the largest
/// deployment for which the design is computed.
const MAX_IDS: usize = 1 << 16;

/// A heartbeat relative to an earlier one of the same connection and direction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Number of this message on its connection, from 1.
    sequence: u32,
    /// Difference to the number of the message that is the base; 0 if there is none.
    back: u32,
    /// Number of the latest message of the other side that was decoded; 0 if its next one is to be
    /// in full.
    acknowledged: u32,
    /// Whether fields and counts do not depend on the base, only the indexes of ids do.
    refreshes: bool,
    /// Changes of fields, each with its index.
    fields: Vec<(u8, Vec<Edit>)>,
    /// Ids of upstreams that follow those of the base; an id is known by its index from then on.
    ids: Vec<Arc<str>>,
    /// Changed counts by list: how many indexes lie between it and the one before, and the count.
    counts: Vec<Vec<(u32, u32)>>,
}

/// Why a message was not decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is older than one that was decoded.
    Late,
    /// Its base is not known, so the next message is requested in full.
    BaseLost,
    /// It is not what a gateway of this version sends.
    Malformed(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Late => f.write_str("older than the last one"),
            Self::BaseLost => f.write_str("its base is not known"),
            Self::Malformed(reason) => write!(f, "malformed: {reason}"),
        }
    }
}

impl std::error::Error for Fault {}

/// The content of a heartbeat.
#[derive(Clone, Debug, Default)]
struct State {
    sequence: u32,
    fields: Vec<Vec<u8>>,
    /// Number of ids that had been announced.
    ids: usize,
    /// Counts by list and index of the id. Counts at the end that are missing are 0.
    counts: Vec<Vec<u32>>,
}

/// One side of a connection: encodes its heartbeats and decodes those of the other side.
#[derive(Debug, Default)]
pub struct Link {
    sequence: u32,
    /// Indexes of the ids that this side has announced.
    indexes: HashMap<Arc<str>, usize>,
    ids: Vec<Arc<str>>,
    /// States that were sent; the first one is the base if it was acknowledged.
    sent: VecDeque<State>,
    acknowledged: Option<u32>,
    refreshed_at: Moment,
    /// Ids that the other side has announced.
    peer_ids: Vec<Arc<str>>,
    /// States that were received, the latest last.
    received: VecDeque<State>,
    last_received: u32,
    needs_full: bool,
}

impl Link {
    /// Encodes the present heartbeat.
    pub fn encode(&mut self, heartbeat: &Heartbeat, now: Moment) -> Message {
        let (fields, lists) = fields::split(heartbeat);
        let loaded: usize = lists.iter().map(|list| list.len()).sum();
        if self.ids.len() > loaded + MAX_UNUSED_IDS {
            self.ids.clear();
            self.indexes.clear();
            self.sent.clear();
            self.acknowledged = None;
        }
        let counts = lists.into_iter().map(|list| self.index(list)).collect();
        self.sequence += 1;
        let state = State {
            sequence: self.sequence,
            fields,
            ids: self.ids.len(),
            counts,
        };
        let base = self.sent.front();
        let base = base.filter(|base| self.acknowledged == Some(base.sequence));
        let refreshes = now.since(self.refreshed_at) >= REFRESH_INTERVAL;
        if refreshes || base.is_none() {
            self.refreshed_at = now;
        }
        let empty = State::default();
        let compared = base.filter(|_| !refreshes).unwrap_or(&empty);
        let changes = fields::pairs(&compared.fields, &state.fields);
        let counts = fields::pairs(&compared.counts, &state.counts);
        let message = Message {
            sequence: self.sequence,
            back: base.map_or(0, |base| self.sequence - base.sequence),
            acknowledged: if self.needs_full {
                0
            } else {
                self.last_received
            },
            refreshes,
            fields: changes
                .filter(|(_, old, new)| old != new)
                .map(|(index, old, new)| (index as u8, patch::diff(old, new)))
                .collect(),
            ids: self.ids[base.map_or(0, |base| base.ids)..].to_vec(),
            counts: counts.map(|(_, old, new)| changed(old, new)).collect(),
        };
        if self.sent.len() >= MAX_STATES {
            // The acknowledged one stays.
            self.sent.remove(usize::from(self.acknowledged.is_some()));
        }
        self.sent.push_back(state);
        message
    }

    /// Returns the counts of a list by index, and announces ids that are new.
    fn index(&mut self, list: &[(Arc<str>, u32)]) -> Vec<u32> {
        let mut counts = vec![0; self.ids.len()];
        for (id, count) in list {
            let index = self.indexes.get(id).copied().unwrap_or_else(|| {
                self.indexes.insert(Arc::clone(id), self.ids.len());
                self.ids.push(Arc::clone(id));
                self.ids.len() - 1
            });
            if counts.len() <= index {
                counts.resize(index + 1, 0);
            }
            counts[index] = *count;
        }
        counts
    }

    /// Restores a heartbeat of the other side.
    ///
    /// # Errors
    /// Fails if the message is late, lacks its base or is malformed. After the last two, the next
    /// message of the other side will be in full.
    pub fn decode(&mut self, message: Message) -> Result<Heartbeat, Fault> {
        if message.sequence <= self.last_received {
            return Err(Fault::Late);
        }
        self.acknowledge(message.acknowledged);
        self.last_received = message.sequence;
        let restored = self.restore(message);
        self.needs_full = restored.is_err();
        if self.needs_full {
            self.received.clear();
        }
        restored
    }

    /// Uses the latest state that the other side has as the base of what follows.
    fn acknowledge(&mut self, sequence: u32) {
        if sequence == 0 {
            self.acknowledged = None;
        } else if self.sent.iter().any(|state| state.sequence == sequence) {
            self.sent.retain(|state| state.sequence >= sequence);
            self.acknowledged = Some(sequence);
        }
    }

    fn restore(&mut self, message: Message) -> Result<Heartbeat, Fault> {
        let base = if message.back == 0 {
            self.peer_ids.clear();
            State::default()
        } else {
            let sequence = message.sequence.wrapping_sub(message.back);
            let base = self.received.iter();
            let mut base = base.filter(|state| state.sequence == sequence);
            let base = base.next().cloned().ok_or(Fault::BaseLost)?;
            self.received.retain(|state| state.sequence >= sequence);
            base
        };
        let ids = base.ids + message.ids.len();
        if ids > MAX_IDS {
            return Err(Fault::Malformed(format!("{ids} ids")));
        }
        // Ids after those of the base may be known from a message whose acknowledgement is late.
        self.peer_ids.truncate(base.ids);
        self.peer_ids.extend(message.ids);
        let mut state = State {
            ids,
            sequence: message.sequence,
            ..if message.refreshes {
                State::default()
            } else {
                base
            }
        };
        for (index, edits) in &message.fields {
            let field = fields::entry(&mut state.fields, usize::from(*index));
            let patched = patch::apply(field, edits);
            *field = patched.ok_or_else(|| Fault::Malformed("a change of a field".to_owned()))?;
        }
        for (list, changes) in message.counts.iter().enumerate().take(fields::LISTS) {
            let counts = fields::entry(&mut state.counts, list);
            counts.resize(ids, 0);
            let mut next = 0;
            for (gap, count) in changes {
                let index = next + *gap as usize;
                let slot = counts.get_mut(index);
                *slot.ok_or_else(|| Fault::Malformed("an unknown id".to_owned()))? = *count;
                next = index + 1;
            }
        }
        let lists = state.counts.iter().map(|counts| {
            let counts = self.peer_ids.iter().zip(counts);
            let loaded = counts.filter(|(_, count)| **count > 0);
            loaded.map(|(id, count)| (Arc::clone(id), *count)).collect()
        });
        let heartbeat = fields::join(&state.fields, lists.collect())
            .map_err(|error| Fault::Malformed(error.to_string()))?;
        if self.received.len() >= MAX_STATES {
            self.received.remove(1);
        }
        self.received.push_back(state);
        Ok(heartbeat)
    }
}

/// Returns the counts that differ, each after the number of indexes between it and the one before.
fn changed(old: &[u32], new: &[u32]) -> Vec<(u32, u32)> {
    let at = |counts: &[u32], index| counts.get(index).copied().unwrap_or_default();
    let mut next = 0;
    let indexes = 0..old.len().max(new.len());
    let differing = indexes.filter(|index| at(old, *index) != at(new, *index));
    differing
        .map(|index| {
            let gap = index - next;
            next = index + 1;
            (gap as u32, at(new, index))
        })
        .collect()
}

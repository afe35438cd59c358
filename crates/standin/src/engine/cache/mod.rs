//! Prefix cache of the stand-in engine, and the cache events that it publishes.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use sesamerock_client::engine::cache::{Action, Event, Events};
use sesamerock_client::engine::prompt;

/// Number of events retained; a reader that is further behind sees a gap.
const MAX_RETAINED_EVENTS: usize = 1_024;

/// LRU cache of prompt blocks. A use touches the blocks of a prompt from last to
/// first, so that a block is evicted after the blocks that follow it.
#[derive(Debug, Default)]
pub(super) struct Cache {
    uses: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
    journal: Journal,
}

/// Retained cache events, with injected losses and malformed events.
#[derive(Debug, Default)]
struct Journal {
    last: u64,
    kept: VecDeque<(Instant, Event)>,
    /// Number of next events to drop, and to publish malformed.
    pending_losses: u64,
    pending_malformed: u64,
    malformed_sequences: Vec<u64>,
}

impl Cache {
    /// Returns how many leading blocks are cached, and marks them as used.
    pub(super) fn matched(&mut self, blocks: &[u64]) -> usize {
        let held = |block: &&u64| self.uses.contains_key(block);
        let matched = blocks.iter().take_while(held).count();
        self.touch(&blocks[..matched]);
        matched
    }

    /// Caches the blocks of a prompt, then evicts down to `capacity` blocks.
    pub(super) fn store(&mut self, blocks: &[u64], capacity: usize) {
        let depth = self.matched(blocks);
        self.touch(blocks);
        if depth < blocks.len() {
            self.journal.add(Action::Stored {
                depth: depth as u32,
                blocks: blocks[depth..].to_vec(),
            });
        }
        let mut evicted = Vec::new();
        while self.uses.len() > capacity {
            let Some((_, block)) = self.order.pop_first() else {
                break;
            };
            self.uses.remove(&block);
            evicted.push(block);
        }
        if !evicted.is_empty() {
            self.journal.add(Action::Evicted { blocks: evicted });
        }
    }

    /// Drops all blocks and publishes an event for it.
    pub(super) fn drop_all(&mut self) {
        self.uses.clear();
        self.order.clear();
        self.journal.add(Action::Cleared);
    }

    /// Clears the blocks and the events, as a crash of the engine does.
    pub(super) fn restart(&mut self) {
        *self = Self::default();
    }

    pub(super) fn len(&self) -> usize {
        self.uses.len()
    }

    pub(super) fn lose(&mut self, events: u64) {
        self.journal.pending_losses = events;
    }

    pub(super) fn break_events(&mut self, events: u64) {
        self.journal.pending_malformed = events;
    }

    /// Returns the events after a sequence number that are at least `lag` old.
    pub(super) fn events(&self, after: u64, lag: Duration, incarnation: u64) -> Events {
        let kept = self.journal.kept.iter();
        let events = kept
            .take_while(|(at, _)| at.elapsed() >= lag)
            .filter(|(_, event)| event.sequence > after)
            .map(|(_, event)| self.journal.publish(event));
        Events {
            scheme: prompt::SCHEME.to_owned(),
            incarnation,
            events: events.collect(),
        }
    }

    fn touch(&mut self, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            self.clock += 1;
            if let Some(before) = self.uses.insert(*block, self.clock) {
                self.order.remove(&before);
            }
            self.order.insert(self.clock, *block);
        }
    }
}

impl Journal {
    fn add(&mut self, action: Action) {
        self.last += 1;
        if self.pending_losses > 0 {
            self.pending_losses -= 1;
            return;
        }
        if self.pending_malformed > 0 {
            self.pending_malformed -= 1;
            self.malformed_sequences.push(self.last);
        }
        if self.kept.len() == MAX_RETAINED_EVENTS {
            self.kept.pop_front();
        }
        let sequence = self.last;
        self.kept
            .push_back((Instant::now(), Event { sequence, action }));
    }

    fn publish(&self, event: &Event) -> serde_json::Value {
        if self.malformed_sequences.contains(&event.sequence) {
            return serde_json::json!({ "sequence": event.sequence, "kind": "stored", "blocks": "none" });
        }
        serde_json::to_value(event).unwrap_or_default()
    }
}

//! A message queue in virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use sesamerock_base::time::Moment;
use sesamerock_exchange::message::{Message, Ticket};

/// Something that happens at a node.
#[derive(Debug)]
pub enum Event {
    /// The node's next deadline.
    Tick(u32),
    /// A request arrives from another node.
    Request(u32, u32, Ticket, Box<Message>),
    /// A reply arrives from another node.
    Reply(u32, u32, Ticket, Box<Message>),
    /// A request of the node timed out.
    Failed(u32, Ticket),
    /// The log's records up to a version reach a node that reads it.
    Log(u32, u64),
    /// A change is appended to the log.
    Append,
    /// The node's VM stops.
    Stop(u32),
    /// The node's VM starts anew.
    Start(u32),
}

#[derive(Debug)]
struct Entry {
    at: Moment,
    number: u64,
    event: Event,
}

/// Events by time; those of the same moment keep their order.
#[derive(Debug, Default)]
pub struct Queue {
    heap: BinaryHeap<Entry>,
    number: u64,
}

impl Queue {
    /// Adds an event.
    pub fn push(&mut self, at: Moment, event: Event) {
        self.number += 1;
        let number = self.number;
        self.heap.push(Entry { at, number, event });
    }

    /// Takes the next event unless it is after the end.
    pub fn pop(&mut self, end: Moment) -> Option<(Moment, Event)> {
        if self.heap.peek()?.at > end {
            return None;
        }
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    /// Reversed, since the heap yields the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

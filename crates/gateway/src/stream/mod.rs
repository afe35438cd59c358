//! Cuts a stream into whole events, so that another upstream can go on.

use bytes::{Bytes, BytesMut};

/// Largest event; a longer one ends the stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A stream cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// An event exceeds the bound.
    Oversized,
}

/// The events of one answer, from all its upstreams.
#[derive(Debug, Default)]
pub struct Events {
    buffer: BytesMut,
    last: Option<u64>,
    delivered: u64,
}

impl Events {
    /// Starts after an event that the caller has, if it has one.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Takes in bytes and returns the whole events among them, without those that
    /// the caller has.
    ///
    /// # Errors
    /// Fails if an event exceeds the bound.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes, StreamError> {
        self.buffer.extend_from_slice(bytes);
        let mut events = BytesMut::new();
        while let Some(length) = event_length(&self.buffer) {
            let event = self.buffer.split_to(length);
            let id = event_id(&event);
            if let (Some(id), Some(last)) = (id, self.last)
                && id <= last
            {
                continue;
            }
            self.last = id.or(self.last);
            self.delivered += 1;
            if events.is_empty() {
                events = event;
            } else {
                events.unsplit(event);
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(StreamError::Oversized);
        }
        Ok(events.freeze())
    }

    /// Drops a half event, as its upstream is gone.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Returns whether the stream may end here.
    pub fn at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the identifier of the last event that the caller has.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of events that went to the caller.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }
}

/// Returns the length of the first event with its closing empty line.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(at) = memchr::memchr(b'\n', &bytes[start..]) {
        let next = start + at + 1;
        match bytes.get(next) {
            Some(b'\n') => return Some(next + 1),
            Some(b'\r') if bytes.get(next + 1) == Some(&b'\n') => return Some(next + 2),
            _ => start = next,
        }
    }
    None
}

/// Returns the identifier of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}

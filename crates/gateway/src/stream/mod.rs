//! Splits a stream into complete server-sent events, so that another upstream can
//! continue it after any of them.

use bytes::{Bytes, BytesMut};

/// Size limit of an event, above which the stream fails.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why the events of an upstream cannot be forwarded any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// An event is larger than 1 MiB.
    Oversized,
}

/// Event splitter for one response, across all upstreams that contribute to it.
#[derive(Debug, Default)]
pub struct Events {
    buffer: BytesMut,
    last: Option<u64>,
    delivered: u64,
}

impl Events {
    /// Creates a splitter that drops the events up to identifier `last`, which the caller
    /// already has.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Adds bytes from the upstream and returns the events that are now complete, without
    /// those that the caller already has.
    ///
    /// # Errors
    /// Fails if an incomplete event exceeds 1 MiB.
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

    /// Discards a partial event, whose upstream will not complete it.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
    }

    /// Returns the memory that a partial event takes, in bytes.
    pub fn buffered(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns whether there is no partial event, so that the stream may end here.
    pub fn at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the identifier of the last event that was forwarded to the caller.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of events that were forwarded to the caller.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }
}

/// Returns the length of the first complete event in bytes, including the empty line
/// that ends it.
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

/// Returns the numeric `id` field of an event, if it has one.
fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}

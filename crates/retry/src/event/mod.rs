//! Finds the boundaries of server-sent events in a byte stream.
//!
//! The scanner examines only line ends and the first bytes of each line; it does
//! not decode the data. Lines end with LF or CRLF. The format also allows a lone
//! CR, which engines do not send and the scanner does not support.

use std::borrow::Cow;

use memchr::memchr;

/// Where a complete event ends, and what kind of event it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventEnd {
    /// Offset in bytes just past the blank line that ends the event.
    pub offset: usize,
    /// Whether the event has a data line; comments and blank lines have none.
    pub has_data: bool,
    /// Whether the data is `[DONE]`, which ends the stream.
    pub is_done: bool,
}

/// Scanning position in a buffer to which received bytes are appended and from
/// whose front complete events are removed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scanner {
    /// Bytes already scanned, so that a long event is not scanned again for each
    /// chunk received.
    scanned: usize,
    /// Offset of the start of the current line.
    line_start: usize,
    has_data: bool,
    is_done: bool,
}

impl Scanner {
    /// Returns the end of the next complete event, or `None` if more bytes are
    /// needed. Offsets count from the start of `buffer`.
    pub fn next(&mut self, buffer: &[u8]) -> Option<EventEnd> {
        while let Some(length) = memchr(b'\n', &buffer[self.scanned..]) {
            let end = self.scanned + length;
            let line = buffer[self.line_start..end]
                .strip_suffix(b"\r")
                .unwrap_or(&buffer[self.line_start..end]);
            self.scanned = end + 1;
            self.line_start = end + 1;
            if line.is_empty() {
                return Some(self.finish_event());
            }
            if let Some(data) = line_data(line) {
                self.has_data = true;
                self.is_done = data == b"[DONE]";
            }
        }
        self.scanned = buffer.len();
        None
    }

    /// Adjusts the position after the caller has removed `count` bytes from the
    /// front of the buffer. `count` must be an offset that [`Scanner::next`]
    /// returned.
    pub fn discard(&mut self, count: usize) {
        self.scanned -= count;
        self.line_start -= count;
    }

    fn finish_event(&mut self) -> EventEnd {
        let end = EventEnd {
            offset: self.line_start,
            has_data: self.has_data,
            is_done: self.is_done,
        };
        self.has_data = false;
        self.is_done = false;
        end
    }
}

/// Returns the value of a `data:` line, or `None` for any other line.
fn line_data(line: &[u8]) -> Option<&[u8]> {
    let value = line.strip_prefix(b"data:")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// Returns the data of one event. Several data lines are joined by LF.
pub fn payload(event: &[u8]) -> Cow<'_, [u8]> {
    let mut lines = Lines(event).filter_map(line_data);
    let first = lines.next().unwrap_or_default();
    let Some(second) = lines.next() else {
        return Cow::Borrowed(first);
    };
    let mut joined = first.to_vec();
    for line in std::iter::once(second).chain(lines) {
        joined.push(b'\n');
        joined.extend_from_slice(line);
    }
    Cow::Owned(joined)
}

/// Iterator over the lines of an event, without their line ends.
struct Lines<'a>(&'a [u8]);

impl<'a> Iterator for Lines<'a> {
    type Item = &'a [u8];

    fn next(&mut self) -> Option<&'a [u8]> {
        let end = memchr(b'\n', self.0)?;
        let (line, rest) = self.0.split_at(end);
        self.0 = &rest[1..];
        Some(line.strip_suffix(b"\r").unwrap_or(line))
    }
}

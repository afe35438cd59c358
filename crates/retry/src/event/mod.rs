//! Boundaries of server-sent events in a byte stream.
//!
//! The scanner looks at line ends and the first bytes of each line only; it
//! does not decode the data. Lines end with LF or CRLF; engines do not send the
//! lone CR that the format allows too.

use std::borrow::Cow;

use memchr::memchr;

/// The end of a complete event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventEnd {
    /// Offset of the byte after the event's blank line.
    pub offset: usize,
    /// Whether the event has data; comments and blank lines have none.
    pub has_data: bool,
    /// Whether the data is the closing mark `[DONE]`.
    pub is_done: bool,
}

/// Position in a buffer that grows at its end and is cut at event ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scanner {
    /// Bytes looked at, so that a long event is not looked at again with each
    /// chunk.
    scanned: usize,
    /// Start of the current line.
    line_start: usize,
    has_data: bool,
    is_done: bool,
}

impl Scanner {
    /// Returns the next complete event, or `None` if more bytes are needed.
    /// Offsets count from the start of `buffer`.
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

    /// Takes in that `count` bytes were cut from the start of the buffer, up to
    /// an event end that [`Scanner::next`] returned.
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

/// Returns the data of a line, if it is a data line.
fn line_data(line: &[u8]) -> Option<&[u8]> {
    let value = line.strip_prefix(b"data:")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// Returns the data of one event; several data lines are joined by LF.
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

/// The lines of an event, without their ends.
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

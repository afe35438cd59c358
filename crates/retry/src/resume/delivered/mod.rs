//! Keeps the part of a stream that was delivered, as a resumption needs it.

use super::{Reason, ResumePoint, Settings};
use crate::chunk::Chunk;
use crate::event::{self, Scanner};

/// The delivered part of a stream: recent events undecoded, older ones as text.
#[derive(Clone, Debug, Default)]
pub(super) struct Delivered {
    /// Delivered events that have not been decoded yet.
    raw: Vec<u8>,
    /// The decoded text; empty if the stream is unresumable.
    pub(super) point: ResumePoint,
    /// Identifier of the response, from the first chunk that has one.
    pub(super) id: Option<String>,
    /// Whether a chunk with a finish reason was delivered.
    pub(super) finished: bool,
    /// Why the stream cannot be continued, if it cannot.
    pub(super) unresumable: Option<Reason>,
}

impl Delivered {
    /// Appends delivered events, and decodes all undecoded ones when they exceed
    /// the bound.
    pub(super) fn record(&mut self, events: &[u8], settings: &Settings) {
        if self.unresumable.is_some() {
            return;
        }
        self.raw.extend_from_slice(events);
        if self.raw.len() > settings.max_raw_bytes {
            self.decode(settings);
        }
    }

    /// Decodes the undecoded events and appends their text. Frees the text and
    /// marks the stream as unresumable if it cannot be continued.
    pub(super) fn decode(&mut self, settings: &Settings) {
        let raw = std::mem::take(&mut self.raw);
        let mut scanner = Scanner::default();
        let mut start = 0;
        while let Some(end) = scanner.next(&raw) {
            if end.has_data && !end.is_done && self.unresumable.is_none() {
                self.append_chunk(&event::payload(&raw[start..end.offset]));
            }
            start = end.offset;
        }
        if self.unresumable.is_none() && self.point.text.len() > settings.max_text_bytes {
            self.unresumable = Some(Reason::Long);
        }
        if self.unresumable.is_some() {
            self.point = ResumePoint::default();
        }
    }

    fn append_chunk(&mut self, data: &[u8]) {
        let chunk = Chunk::decode(data).filter(Chunk::is_plain);
        let Some(chunk) = chunk else {
            self.unresumable = Some(Reason::Structure);
            return;
        };
        self.point.tokens += u64::from(!chunk.text().is_empty());
        self.point.text.push_str(chunk.text());
        self.finished |= chunk.finishes();
        if self.id.is_none() {
            self.id = chunk.id().map(str::to_owned);
        }
    }
}

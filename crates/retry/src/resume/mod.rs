//! Streamed responses that another upstream can continue.
//!
//! On the way to the caller the stream is only split into events. Delivered
//! events are kept undecoded, and are decoded in batches when their bytes exceed
//! a bound or when a resumption needs the text. The memory of a stream is bounded
//! by one event, the undecoded bytes and the text. A stream whose text exceeds
//! its bound keeps nothing from then on and cannot be resumed.

mod delivered;

use bytes::{Bytes, BytesMut};
use smallvec::SmallVec;

use crate::chunk::{self, Chunk};
use crate::event::{self, EventEnd, Scanner};
use delivered::Delivered;

/// Memory bounds of one stream.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Maximum size of delivered events that are kept undecoded.
    pub max_raw_bytes: usize,
    /// Maximum size of the delivered text that is kept. The default holds about
    /// 60,000 tokens.
    pub max_text_bytes: usize,
    /// Maximum size of one event; a larger one is a fault.
    pub max_event_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_raw_bytes: 16 << 10,
            max_text_bytes: 256 << 10,
            max_event_bytes: 1 << 20,
        }
    }
}

/// Where the response of a new attempt starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// At the token after the last one that was delivered.
    Continues,
    /// At the beginning. The part that was delivered already is compared with the
    /// new response and dropped from it.
    Restarts,
}

/// Bytes to deliver to the caller, in order.
pub type Pieces = SmallVec<[Bytes; 2]>;

/// Result of passing received bytes to a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PushResult {
    /// Deliver these bytes to the caller; empty while an event is incomplete.
    Deliver(Pieces),
    /// Deliver these bytes to the caller; the response is then complete.
    Done(Pieces),
    /// The bytes were dropped: they belong to a superseded attempt, or follow the
    /// end of the response.
    Superseded,
    /// The attempt cannot be used; its remaining bytes will be dropped.
    Fault(Fault),
}

/// Why the response of an attempt cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An event exceeds [`Settings::max_event_bytes`].
    Oversized,
    /// A later attempt sent data that is not a chunk, or a restarted response
    /// differs from the text that was delivered.
    Diverged,
}

/// What to do after an attempt was interrupted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The caller has received the whole text. Only these bytes are missing.
    Complete(Bytes),
    /// Another attempt can continue the stream from this point.
    Resume(ResumePoint),
    /// The stream cannot be continued.
    Unresumable(Reason),
    /// A newer attempt has taken over the stream; nothing needs to be done.
    Superseded,
}

/// Point from which another attempt continues a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResumePoint {
    /// Number of events with text that were delivered to the caller. Engines send
    /// one event per token.
    pub tokens: u64,
    /// The text delivered to the caller.
    pub text: String,
}

/// Why a stream cannot be continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The text exceeds [`Settings::max_text_bytes`].
    Long,
    /// An event is not a chunk of a response with a single choice and no tool
    /// calls.
    Structure,
}

/// The final event of a stream, sent to a caller that has received all other
/// events.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// How the events of the current attempt are processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Events are delivered unchanged.
    Pass,
    /// Events continue the stream. Leading chunks whose choice has neither text
    /// nor a finish reason are dropped; the first other chunk switches to
    /// [`Mode::ReplaceId`].
    SkipEmpty,
    /// Events continue the stream, with their identifier replaced by that of the
    /// first attempt.
    ReplaceId,
    /// Events repeat the delivered text, of which this many bytes have matched.
    Replay(usize),
}

/// The streamed response of one call, assembled from one or more attempts.
#[derive(Clone, Debug)]
pub struct Stream {
    settings: Settings,
    /// The attempt whose bytes are delivered; `None` after it was interrupted.
    current: Option<u64>,
    /// The greatest attempt number so far.
    newest: u64,
    buffer: BytesMut,
    scanner: Scanner,
    mode: Mode,
    events: u64,
    done: bool,
    delivered: Delivered,
}

impl Stream {
    /// Creates the stream with its first attempt.
    pub fn new(attempt: u64, settings: Settings) -> Self {
        Self {
            settings,
            current: Some(attempt),
            newest: attempt,
            buffer: BytesMut::new(),
            scanner: Scanner::default(),
            mode: Mode::Pass,
            events: 0,
            done: false,
            delivered: Delivered::default(),
        }
    }

    /// Processes bytes that were received for an attempt.
    pub fn push(&mut self, attempt: u64, bytes: &Bytes) -> PushResult {
        if self.current != Some(attempt) || self.done {
            return PushResult::Superseded;
        }
        let step = if self.mode == Mode::Pass {
            self.pass(bytes)
        } else {
            self.transform(bytes)
        };
        if matches!(step, PushResult::Fault(_)) {
            self.current = None;
        } else if self.buffer.len() > self.settings.max_event_bytes {
            self.current = None;
            return PushResult::Fault(Fault::Oversized);
        }
        step
    }

    /// Handles the interruption of an attempt. An incomplete event is dropped.
    pub fn interrupt(&mut self, attempt: u64) -> Interruption {
        if self.current.is_some_and(|current| current != attempt) {
            return Interruption::Superseded;
        }
        self.current = None;
        self.buffer.clear();
        self.scanner = Scanner::default();
        self.delivered.decode(&self.settings);
        if self.done {
            return Interruption::Complete(Bytes::new());
        }
        if self.delivered.finished {
            return Interruption::Complete(Bytes::from_static(DONE));
        }
        match self.delivered.unresumable {
            Some(reason) => Interruption::Unresumable(reason),
            None => Interruption::Resume(self.delivered.point.clone()),
        }
    }

    /// Makes another attempt the current one. Returns false if its number does
    /// not exceed all earlier ones, the response is complete, or the stream
    /// cannot be resumed.
    pub fn begin(&mut self, attempt: u64, origin: Origin) -> bool {
        if attempt <= self.newest || self.done {
            return false;
        }
        self.delivered.decode(&self.settings);
        if self.delivered.unresumable.is_some() {
            return false;
        }
        self.newest = attempt;
        self.current = Some(attempt);
        self.buffer.clear();
        self.scanner = Scanner::default();
        self.mode = match origin {
            _ if self.events == 0 => Mode::Pass,
            Origin::Continues => Mode::SkipEmpty,
            Origin::Restarts => Mode::Replay(0),
        };
        true
    }

    /// Number of events with data that were delivered to the caller, not counting
    /// `[DONE]`.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Whether the final `[DONE]` event was delivered.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Delivers complete events unchanged. Copies them only if an event is split
    /// over several pushes.
    fn pass(&mut self, bytes: &Bytes) -> PushResult {
        if self.buffer.is_empty() {
            let complete_len = self.scan(bytes);
            self.buffer.extend_from_slice(&bytes[complete_len..]);
            return self.deliver(bytes.slice(..complete_len));
        }
        self.buffer.extend_from_slice(bytes);
        let buffer = std::mem::take(&mut self.buffer);
        let complete_len = self.scan(&buffer);
        self.buffer = buffer;
        let piece = self.buffer.split_to(complete_len).freeze();
        self.deliver(piece)
    }

    /// Counts the complete events at the start of a buffer, up to and including
    /// `[DONE]`, and returns their length in bytes.
    fn scan(&mut self, buffer: &[u8]) -> usize {
        let mut complete_len = 0;
        while let Some(end) = self.scanner.next(buffer) {
            complete_len = end.offset;
            self.events += u64::from(end.has_data && !end.is_done);
            if end.is_done {
                self.done = true;
                break;
            }
        }
        self.scanner.discard(complete_len);
        complete_len
    }

    /// Records bytes as delivered and returns the step that delivers them.
    fn deliver(&mut self, piece: Bytes) -> PushResult {
        self.delivered.record(&piece, &self.settings);
        let pieces: Pieces = Some(piece)
            .into_iter()
            .filter(|piece| !piece.is_empty())
            .collect();
        if self.done {
            PushResult::Done(pieces)
        } else {
            PushResult::Deliver(pieces)
        }
    }

    /// Processes the events of a later attempt, one at a time.
    fn transform(&mut self, bytes: &Bytes) -> PushResult {
        self.buffer.extend_from_slice(bytes);
        let mut out = Vec::new();
        loop {
            let buffer = std::mem::take(&mut self.buffer);
            let end = self.scanner.next(&buffer);
            self.buffer = buffer;
            let Some(end) = end else {
                break;
            };
            self.scanner.discard(end.offset);
            let event = self.buffer.split_to(end.offset).freeze();
            if let Err(fault) = self.transform_event(&event, end, &mut out) {
                return PushResult::Fault(fault);
            }
            if self.done {
                break;
            }
        }
        self.deliver(Bytes::from(out))
    }

    /// Appends to `out` the part of a later attempt's event that the caller has
    /// not received yet.
    fn transform_event(
        &mut self,
        event: &Bytes,
        end: EventEnd,
        out: &mut Vec<u8>,
    ) -> Result<(), Fault> {
        if !end.has_data {
            out.extend_from_slice(event);
            return Ok(());
        }
        let replay_incomplete =
            matches!(self.mode, Mode::Replay(matched) if matched < self.delivered.point.text.len());
        if end.is_done {
            if replay_incomplete {
                return Err(Fault::Diverged);
            }
            self.done = true;
            out.extend_from_slice(event);
            return Ok(());
        }
        let data = event::payload(event);
        let Some(chunk) = Chunk::decode(&data) else {
            return Err(Fault::Diverged);
        };
        let Some(text) = self.remainder(&chunk)? else {
            return Ok(());
        };
        let id = self
            .delivered
            .id
            .as_deref()
            .filter(|id| chunk.id() != Some(*id));
        let changed = (text.len() != chunk.text().len()).then_some(text.as_str());
        if id.is_none() && changed.is_none() {
            out.extend_from_slice(event);
        } else {
            let id = id.filter(|_| chunk.id().is_some());
            out.extend(chunk::rewrite(&data, id, changed).ok_or(Fault::Diverged)?);
        }
        self.events += 1;
        Ok(())
    }

    /// Returns the text of a chunk that the caller has not received yet, or `None`
    /// if the chunk must not be delivered.
    fn remainder(&mut self, chunk: &Chunk<'_>) -> Result<Option<String>, Fault> {
        let text = chunk.text();
        let empty = text.is_empty() && chunk.has_choice() && !chunk.finishes();
        match self.mode {
            Mode::Pass | Mode::ReplaceId => Ok(Some(text.to_owned())),
            Mode::SkipEmpty if empty => Ok(None),
            Mode::SkipEmpty => {
                self.mode = Mode::ReplaceId;
                Ok(Some(text.to_owned()))
            }
            Mode::Replay(matched) => self.replay(chunk, matched),
        }
    }

    /// Compares a chunk of a restarted response with the delivered text, of which
    /// `matched` bytes have matched, and returns the text beyond it.
    fn replay(&mut self, chunk: &Chunk<'_>, matched: usize) -> Result<Option<String>, Fault> {
        let text = chunk.text();
        let expected = &self.delivered.point.text[matched..];
        if let Some(new) = text.strip_prefix(expected) {
            self.mode = if new.is_empty() {
                Mode::SkipEmpty
            } else {
                Mode::ReplaceId
            };
            let has_undelivered = !new.is_empty() || chunk.finishes();
            return Ok(has_undelivered.then(|| new.to_owned()));
        }
        if !expected.starts_with(text) || chunk.finishes() {
            return Err(Fault::Diverged);
        }
        self.mode = Mode::Replay(matched + text.len());
        Ok(None)
    }
}

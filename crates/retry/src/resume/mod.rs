//! A streamed response that may be continued by another upstream.
//!
//! On the way to the caller the stream is only cut into events. Delivered
//! events are kept as they are and decoded in batches, when the kept bytes
//! exceed a bound or when a resumption needs the text. Memory per stream is at
//! most one event, the kept bytes and the text; a stream whose text exceeds its
//! bound keeps nothing from then on and cannot be resumed.

mod delivered;

use bytes::{Bytes, BytesMut};
use smallvec::SmallVec;

use crate::chunk::{self, Chunk};
use crate::event::{self, EventEnd, Scanner};
use delivered::Delivered;

/// Bounds of one stream.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Most bytes of delivered events kept before they are decoded.
    pub max_raw_bytes: usize,
    /// Most bytes of text kept. About 60,000 tokens fit into the default.
    pub max_text_bytes: usize,
    /// Largest event.
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

/// How a new attempt continues a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// With the token after the last delivered one.
    Continues,
    /// From the start; what was delivered is compared and dropped.
    Restarts,
}

/// Bytes for the caller.
pub type Pieces = SmallVec<[Bytes; 2]>;

/// What became of received bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// These bytes go to the caller, possibly none yet.
    Deliver(Pieces),
    /// As before, and the response is complete.
    Done(Pieces),
    /// The bytes belong to a superseded attempt and were dropped.
    Superseded,
    /// The attempt is of no use; its remaining bytes are dropped.
    Fault(Fault),
}

/// Why an attempt is of no use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An event exceeds the bound.
    Oversized,
    /// A restarted response differs from what was delivered.
    Diverged,
}

/// What remains after an attempt broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cut {
    /// The caller has the whole text; what is missing are these bytes.
    Complete(Bytes),
    /// Another attempt can continue here.
    Resume(ResumePoint),
    /// The stream cannot be continued.
    Unresumable(Reason),
    /// A newer attempt goes on; nothing is to be done.
    Superseded,
}

/// Where a stream is continued.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResumePoint {
    /// Events with text delivered to the caller; engines send one per token.
    pub tokens: u64,
    /// The text delivered to the caller.
    pub text: String,
}

/// Why a stream cannot be continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The text exceeds its bound.
    Long,
    /// An event is not a chunk of one plain text.
    Structure,
}

/// The closing mark, for a caller that has everything else.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// How the events of the current attempt are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// They go to the caller as they are.
    Pass,
    /// They continue the stream; leading ones without text are dropped.
    SkipEmpty,
    /// They continue the stream and get its identifier.
    ReplaceId,
    /// They repeat the text, of which this many bytes have come.
    Replay(usize),
}

/// One response on its way to one caller.
#[derive(Clone, Debug)]
pub struct Stream {
    settings: Settings,
    /// The attempt whose bytes are delivered, and the newest one so far.
    current: Option<u64>,
    newest: u64,
    buffer: BytesMut,
    scanner: Scanner,
    mode: Mode,
    events: u64,
    done: bool,
    delivered: Delivered,
}

impl Stream {
    /// Makes the stream of a first attempt.
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

    /// Takes in bytes that an attempt received.
    pub fn push(&mut self, attempt: u64, bytes: &Bytes) -> Step {
        if self.current != Some(attempt) || self.done {
            return Step::Superseded;
        }
        let step = if self.mode == Mode::Pass {
            self.pass(bytes)
        } else {
            self.transform(bytes)
        };
        if matches!(step, Step::Fault(_)) {
            self.current = None;
        } else if self.buffer.len() > self.settings.max_event_bytes {
            self.current = None;
            return Step::Fault(Fault::Oversized);
        }
        step
    }

    /// Takes in that an attempt broke off; a half event of it is dropped.
    pub fn cut(&mut self, attempt: u64) -> Cut {
        if self.current.is_some_and(|current| current != attempt) {
            return Cut::Superseded;
        }
        self.current = None;
        self.buffer.clear();
        self.scanner = Scanner::default();
        self.delivered.decode(&self.settings);
        if self.done {
            return Cut::Complete(Bytes::new());
        }
        if self.delivered.finished {
            return Cut::Complete(Bytes::from_static(DONE));
        }
        match self.delivered.unresumable {
            Some(reason) => Cut::Unresumable(reason),
            None => Cut::Resume(self.delivered.point.clone()),
        }
    }

    /// Begins another attempt, whose number must exceed all earlier ones.
    /// Returns whether it became the current one.
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

    /// Returns the number of events with data delivered to the caller.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether the closing mark was delivered.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Passes complete events on unchanged, without a copy where the chunk
    /// holds whole events.
    fn pass(&mut self, bytes: &Bytes) -> Step {
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

    /// Counts the complete events at the start of a buffer, up to the closing
    /// mark, and returns their length in bytes.
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

    fn deliver(&mut self, piece: Bytes) -> Step {
        self.delivered.record(&piece, &self.settings);
        let pieces: Pieces = Some(piece)
            .into_iter()
            .filter(|piece| !piece.is_empty())
            .collect();
        if self.done {
            Step::Done(pieces)
        } else {
            Step::Deliver(pieces)
        }
    }

    /// Passes the events of a later attempt on, one at a time.
    fn transform(&mut self, bytes: &Bytes) -> Step {
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
                return Step::Fault(fault);
            }
            if self.done {
                break;
            }
        }
        self.deliver(Bytes::from(out))
    }

    /// Appends what the caller gets of one event of a later attempt.
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

    /// Returns the new text of a chunk, or `None` if the caller has all of it.
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

    /// Compares a chunk of a restarted response with what was delivered.
    fn replay(&mut self, chunk: &Chunk<'_>, matched: usize) -> Result<Option<String>, Fault> {
        let text = chunk.text();
        let expected = &self.delivered.point.text[matched..];
        if let Some(new) = text.strip_prefix(expected) {
            self.mode = if new.is_empty() {
                Mode::SkipEmpty
            } else {
                Mode::ReplaceId
            };
            let deliver = !new.is_empty() || chunk.finishes();
            return Ok(deliver.then(|| new.to_owned()));
        }
        if !expected.starts_with(text) || chunk.finishes() {
            return Err(Fault::Diverged);
        }
        self.mode = Mode::Replay(matched + text.len());
        Ok(None)
    }
}

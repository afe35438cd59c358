//! The running batch and the queue inside the engine.

use std::collections::VecDeque;

use bytes::Bytes;
use sesamerock_platform::http::body::Chunk;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

use super::{event, token};

/// One call in the engine.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) sender: mpsc::Sender<Chunk>,
    pub(super) tag: String,
    pub(super) next: u64,
    pub(super) end: u64,
    pub(super) streamed: bool,
    pub(super) poisoned: bool,
    pub(super) text: String,
}

/// What one step did.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Step {
    pub(super) tokens: u64,
    pub(super) poisoned: bool,
}

/// Calls that run and calls that wait.
#[derive(Debug, Default)]
pub(super) struct Batch {
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
}

impl Batch {
    pub(super) fn push(&mut self, sequence: Sequence) {
        self.waiting.push_back(sequence);
    }

    pub(super) fn running(&self) -> usize {
        self.running.len()
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Moves waiting calls into the batch up to the capacity.
    pub(super) fn admit(&mut self, capacity: usize) {
        while self.running.len() < capacity {
            let Some(sequence) = self.waiting.pop_front() else {
                break;
            };
            self.running.push(sequence);
        }
    }

    /// Breaks off every call.
    pub(super) fn abort(&mut self) {
        for sequence in self.running.drain(..).chain(self.waiting.drain(..)) {
            // A full channel means that the reader is slow: closing it without
            // the abort would look like a complete answer, so wait for room.
            if let Err(TrySendError::Full(chunk)) = sequence.sender.try_send(Chunk::Abort) {
                tokio::spawn(async move { sequence.sender.send(chunk).await });
            }
        }
    }

    /// Gives each running call its next token.
    pub(super) fn step(&mut self) -> Step {
        let mut step = Step::default();
        self.running.retain_mut(|sequence| {
            step.poisoned |= sequence.poisoned && sequence.next > 0;
            let outcome = sequence.advance();
            step.tokens += u64::from(outcome.generated);
            !outcome.ended
        });
        step
    }
}

struct Outcome {
    generated: bool,
    ended: bool,
}

impl Sequence {
    fn advance(&mut self) -> Outcome {
        if self.sender.is_closed() {
            return Outcome {
                generated: false,
                ended: true,
            };
        }
        if self.next >= self.end {
            return Outcome {
                generated: false,
                ended: self.finish(),
            };
        }
        let text = token(&self.tag, self.next);
        if !self.streamed {
            self.text.push_str(&text);
            self.next += 1;
            return Outcome {
                generated: true,
                ended: false,
            };
        }
        match self.sender.try_send(event(&text)) {
            Ok(()) => {
                self.next += 1;
                Outcome {
                    generated: true,
                    ended: false,
                }
            }
            Err(TrySendError::Full(_)) => Outcome {
                generated: false,
                ended: false,
            },
            Err(TrySendError::Closed(_)) => Outcome {
                generated: false,
                ended: true,
            },
        }
    }

    /// Sends the end of the answer; returns false while the channel is full.
    fn finish(&mut self) -> bool {
        let content = if self.streamed {
            "data: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n".to_owned()
        } else {
            serde_json::json!({
                "object": "chat.completion",
                "choices": [{
                    "index": 0,
                    "message": { "role": "assistant", "content": self.text },
                    "finish_reason": "stop",
                }],
                "usage": { "completion_tokens": self.end },
            })
            .to_string()
        };
        !matches!(
            self.sender.try_send(Chunk::Data(Bytes::from(content))),
            Err(TrySendError::Full(_))
        )
    }
}

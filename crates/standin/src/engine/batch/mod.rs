//! Continuous batching: the running batch and the engine's internal queue.

use std::collections::VecDeque;

use bytes::Bytes;
use sesamerock_client::http::body::Chunk;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

use super::text::{event, token};

/// A completion call that runs or waits in the engine.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) sender: mpsc::Sender<Chunk>,
    pub(super) tag: String,
    pub(super) next: u64,
    pub(super) end: u64,
    pub(super) streamed: bool,
    pub(super) poisoned: bool,
    pub(super) text: String,
    /// Hashes of the prompt's blocks; the first `computed` of them are prefilled.
    pub(super) blocks: Vec<u64>,
    pub(super) computed: usize,
}

/// Tokens generated in a step, and whether a poisoned call ran in it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Step {
    pub(super) tokens: u64,
    pub(super) poisoned: bool,
}

/// Running calls, and calls queued in order of arrival.
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

    /// Moves waiting calls into the batch up to the capacity; `matched`
    /// returns how many leading blocks of a prompt are cached.
    pub(super) fn admit(&mut self, capacity: usize, mut matched: impl FnMut(&[u64]) -> usize) {
        while self.running.len() < capacity {
            let Some(mut sequence) = self.waiting.pop_front() else {
                break;
            };
            sequence.computed = matched(&sequence.blocks);
            self.running.push(sequence);
        }
    }

    /// Returns the number of prompt blocks that the next step computes, at most `limit`.
    pub(super) fn prefill(&self, limit: usize) -> usize {
        let uncomputed = self.running.iter().map(Sequence::uncomputed);
        uncomputed.sum::<usize>().min(limit)
    }

    /// Computes up to `limit` prompt blocks, earliest calls first; `store` receives
    /// the blocks of each prompt whose prefill completes.
    pub(super) fn compute(&mut self, limit: usize, mut store: impl FnMut(&[u64])) {
        let mut remaining = limit;
        for sequence in &mut self.running {
            let missing = sequence.uncomputed();
            let now = missing.min(remaining);
            remaining -= now;
            sequence.computed += now;
            if now > 0 && now == missing {
                store(&sequence.blocks);
            }
        }
    }

    /// Aborts every call, running or queued.
    pub(super) fn abort(&mut self) {
        for sequence in self.running.drain(..).chain(self.waiting.drain(..)) {
            // A full channel means that the reader is slow. Closing it without
            // the abort would look like a complete response, so wait for room.
            if let Err(TrySendError::Full(chunk)) = sequence.sender.try_send(Chunk::Abort) {
                tokio::spawn(async move { sequence.sender.send(chunk).await });
            }
        }
    }

    /// Generates up to `burst` tokens for each running call.
    pub(super) fn step(&mut self, burst: u64) -> Step {
        let mut step = Step::default();
        self.running.retain_mut(|sequence| {
            step.poisoned |= sequence.poisoned && sequence.next > 0;
            let outcome = sequence.advance(burst);
            step.tokens += outcome.generated;
            !outcome.ended
        });
        step
    }
}

struct Outcome {
    generated: u64,
    ended: bool,
}

impl Sequence {
    fn uncomputed(&self) -> usize {
        self.blocks.len() - self.computed
    }

    fn advance(&mut self, burst: u64) -> Outcome {
        let idle = |ended| Outcome {
            generated: 0,
            ended,
        };
        if self.sender.is_closed() {
            return idle(true);
        }
        if self.uncomputed() > 0 {
            return idle(false);
        }
        if self.next >= self.end {
            return idle(self.finish());
        }
        let end = self.end.min(self.next + burst);
        let generated = end - self.next;
        let texts = (self.next..end).map(|position| token(&self.tag, position));
        if self.streamed {
            let events: String = texts.map(|text| event(&text)).collect();
            match self.sender.try_send(Chunk::Data(Bytes::from(events))) {
                Ok(()) => {}
                Err(TrySendError::Full(_)) => return idle(false),
                Err(TrySendError::Closed(_)) => return idle(true),
            }
        } else {
            self.text.extend(texts);
        }
        self.next = end;
        // The end of the response is sent with the last token, so that a call takes
        // as many steps as it has tokens. A poisoned call stays in the batch, since it
        // crashes the engine only in the step after its first tokens.
        Outcome {
            generated,
            ended: end == self.end && !self.poisoned && self.finish(),
        }
    }

    /// Sends the end of the response; returns false while the channel is full.
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

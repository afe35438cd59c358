//! Completion requests: parsing, checks and admission to the engine's queue.

use std::time::Instant;

use http::{Response, StatusCode};
use serde::Deserialize;
use sesamerock_client::http::body::Body;

use super::batch::Sequence;
use super::text::{tag, token};
use super::{Engine, POISON};
use crate::reply;

#[derive(Debug, Deserialize)]
pub(super) struct Completion {
    #[serde(default)]
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    stream: bool,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
    #[serde(default)]
    resume: Option<Resume>,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

#[derive(Debug, Deserialize)]
struct Resume {
    tokens: u64,
    text: String,
}

const fn default_tokens() -> u64 {
    16
}

impl Engine {
    /// Queues a completion call and returns the response that streams its tokens.
    /// The engine crashes if the calls present exceed its collapse limit.
    pub(super) fn complete(&self, request: &Completion, blocks: Vec<u64>) -> Response<Body> {
        let prompt = request
            .messages
            .iter()
            .map(|message| message.content.as_str())
            .chain([request.prompt.as_str()])
            .collect::<String>();
        let tag = tag(&prompt);
        let start = request.resume.as_ref().map_or(0, |resume| resume.tokens);
        if let Some(resume) = &request.resume {
            let expected: String = (0..resume.tokens).map(|n| token(&tag, n)).collect();
            if resume.text != expected {
                return reply::text(
                    StatusCode::BAD_REQUEST,
                    "the text to resume from is not ours",
                );
            }
        }
        let (sender, body) = Body::stream();
        let sequence = Sequence {
            sender,
            tag,
            next: start,
            end: request.max_tokens,
            streamed: request.stream,
            poisoned: prompt.contains(POISON),
            text: String::new(),
            blocks,
            computed: 0,
        };
        let mut state = self.lock();
        if !state.holds(&request.model) {
            return reply::text(StatusCode::NOT_FOUND, "the model is not loaded");
        }
        state.record.calls += 1;
        state.record.last_call = Some(Instant::now());
        state.batch.push(sequence);
        let present = state.batch.running() + state.batch.waiting();
        state.record.peak = state.record.peak.max(present);
        if present > state.capacity() {
            state.record.over_capacity += 1;
        }
        if present > state.capacity() * state.settings.collapse {
            state.crash();
        }
        drop(state);
        self.arrived.notify_one();
        let kind = if request.stream {
            "text/event-stream"
        } else {
            "application/json"
        };
        reply::with_type(StatusCode::OK, kind, body)
    }
}

//! Partial decoding of streamed completion chunks: only the fields that resuming
//! a stream needs.

use std::borrow::Cow;

use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::Value;
use smallvec::SmallVec;

/// A chunk of a streamed chat completion or text completion. Fields that are not
/// listed here are skipped.
#[derive(Debug, Default, Deserialize)]
pub struct Chunk<'a> {
    #[serde(default, borrow)]
    id: Option<Text<'a>>,
    #[serde(default, borrow)]
    choices: SmallVec<[Choice<'a>; 1]>,
}

#[derive(Debug, Default, Deserialize)]
struct Choice<'a> {
    #[serde(default)]
    index: u32,
    #[serde(default, borrow)]
    delta: Option<Delta<'a>>,
    #[serde(default, borrow)]
    text: Option<Text<'a>>,
    #[serde(default)]
    finish_reason: Option<IgnoredAny>,
}

#[derive(Debug, Default, Deserialize)]
struct Delta<'a> {
    #[serde(default, borrow)]
    content: Option<Text<'a>>,
    #[serde(default)]
    tool_calls: Option<IgnoredAny>,
}

/// A string that borrows from the input unless it has escape sequences.
#[derive(Debug, Default, Deserialize)]
struct Text<'a>(#[serde(borrow)] Cow<'a, str>);

impl<'a> Chunk<'a> {
    /// Decodes the data of an event. Returns `None` if the data is not a chunk.
    pub fn decode(data: &'a [u8]) -> Option<Self> {
        serde_json::from_slice(data).ok()
    }

    /// Returns the identifier of the response, which all its chunks share.
    pub fn id(&self) -> Option<&str> {
        self.id.as_ref().map(|id| id.0.as_ref())
    }

    /// Returns the text of the first choice, or an empty string if there is none.
    pub fn text(&self) -> &str {
        let choice = self.choices.first();
        let text = choice.and_then(|choice| {
            let content = choice
                .delta
                .as_ref()
                .and_then(|delta| delta.content.as_ref());
            content.or(choice.text.as_ref())
        });
        text.map_or("", |text| text.0.as_ref())
    }

    /// Whether a choice has a finish reason, which ends the text.
    pub fn finishes(&self) -> bool {
        self.choices
            .iter()
            .any(|choice| choice.finish_reason.is_some())
    }

    /// Whether the chunk has a choice. A chunk that has only usage counts has
    /// none.
    pub fn has_choice(&self) -> bool {
        !self.choices.is_empty()
    }

    /// Whether the chunk belongs to a response with a single choice and no tool
    /// calls. Parallel choices and tool calls cannot be continued from the text
    /// that was delivered.
    pub fn is_plain(&self) -> bool {
        let is_plain = |choice: &Choice| {
            let has_tool_calls = choice
                .delta
                .as_ref()
                .is_some_and(|delta| delta.tool_calls.is_some());
            choice.index == 0 && !has_tool_calls
        };
        self.choices.len() <= 1 && self.choices.iter().all(is_plain)
    }
}

/// Encodes a complete event from the `data` of another one, with the identifier
/// and the text replaced where they are given.
///
/// Returns `None` if the data is not JSON or has no field to replace.
pub fn rewrite(data: &[u8], id: Option<&str>, text: Option<&str>) -> Option<Vec<u8>> {
    let mut value: Value = serde_json::from_slice(data).ok()?;
    if let Some(id) = id {
        *value.get_mut("id")? = Value::from(id);
    }
    if let Some(text) = text {
        let choice = value.get_mut("choices")?.get_mut(0)?;
        let target = match choice.get_mut("delta") {
            Some(delta) => delta.get_mut("content"),
            None => choice.get_mut("text"),
        };
        *target? = Value::from(text);
    }
    let mut event = b"data: ".to_vec();
    serde_json::to_writer(&mut event, &value).ok()?;
    event.extend_from_slice(b"\n\n");
    Some(event)
}

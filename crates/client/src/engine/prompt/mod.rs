//! The blocks of a prompt, as entries and engines name them alike.
//!
//! A prompt is put into one text, in which each message is its role, the byte
//! `1f`, its content and the byte `1e`; a plain prompt is its own text. The next
//! turn of a conversation thus begins with the text of the turn before. The
//! text is cut into blocks of [`BLOCK_BYTES`], and a block's hash is the first
//! eight bytes, little-endian, of BLAKE3 over the hash before it and the block.
//! The first block follows the hash of the model's name, since the caches of two
//! models have nothing in common. A final partial block has no hash.
//!
//! Blocks are of text and not of tokens because an entry has no tokenizer. See
//! `docs/notes/prefix.md`.

use serde::Deserialize;
use serde::de::IgnoredAny;

/// Name of this scheme, part of every answer with events.
pub const SCHEME: &str = "text-256";
/// Bytes of text in a block.
pub const BLOCK_BYTES: usize = 256;

/// Byte between the role and the content of a message.
const UNIT: char = '\u{1f}';
/// Byte after a message.
const RECORD: char = '\u{1e}';

/// The parts of a completion request that make its prompt.
#[derive(Debug, Default, Deserialize)]
pub struct Prompt {
    #[serde(default)]
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default, rename = "prompt")]
    plain: Option<Content>,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    role: String,
    #[serde(default)]
    content: Option<Content>,
}

/// Content of a message; of any other form than a text nothing is known.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Other(IgnoredAny),
}

impl Prompt {
    /// Reads the prompt of a completion request in JSON, if it has the usual
    /// form.
    pub fn parse(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }

    /// Returns the text of the prompt, up to the first part that is no text.
    fn text(&self) -> String {
        let mut text = String::new();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push(UNIT);
            match &message.content {
                Some(Content::Text(content)) => text.push_str(content),
                Some(Content::Other(_)) => return text,
                None => {}
            }
            text.push(RECORD);
        }
        if let Some(Content::Text(plain)) = &self.plain {
            text.push_str(plain);
        }
        text
    }

    /// Returns the hashes of the first blocks of the prompt, at most `most`.
    pub fn block_hashes(&self, most: usize) -> Vec<u64> {
        chain(&self.model, self.text().as_bytes(), most)
    }
}

/// Returns the hashes of the first complete blocks of a text for a model.
fn chain(model: &str, text: &[u8], most: usize) -> Vec<u64> {
    let mut previous = first_bytes(&blake3::hash(model.as_bytes()));
    text.chunks_exact(BLOCK_BYTES)
        .take(most)
        .map(|block| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(&previous.to_le_bytes());
            hasher.update(block);
            previous = first_bytes(&hasher.finalize());
            previous
        })
        .collect()
}

fn first_bytes(digest: &blake3::Hash) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

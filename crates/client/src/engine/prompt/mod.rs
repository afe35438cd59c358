//! Hashes of the blocks of a prompt, which entries and engines compute alike.
//!
//! A prompt is serialized into one text, in which each message is its role, the
//! byte `1f`, its content and the byte `1e`; a plain prompt is used as it is. The
//! next turn of a conversation thus starts with the text of the previous turn. The
//! text is split into blocks of [`BLOCK_BYTES`], and a block's hash is the first
//! eight bytes, little-endian, of BLAKE3 over the previous hash and the block.
//! The chain starts with the hash of the model's name, since two models never
//! share cached blocks. A final partial block has no hash.
//!
//! Blocks consist of text rather than tokens because an entry has no tokenizer. See
//! `docs/notes/prefix.md`.

use serde::Deserialize;
use serde::de::IgnoredAny;

/// Name of this hashing scheme, which engines send with their cache events.
pub const SCHEME: &str = "text-256";
/// Length of a block, in bytes of text.
pub const BLOCK_BYTES: usize = 256;

/// Separator between the role and the content of a message.
const UNIT_SEPARATOR: char = '\u{1f}';
/// Terminator of a message.
const RECORD_SEPARATOR: char = '\u{1e}';

/// The fields of a completion request that form its prompt.
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

/// Content of a message; content other than text is not interpreted.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Other(IgnoredAny),
}

impl Prompt {
    /// Parses the prompt of a completion request in JSON. Returns `None` if the
    /// body is not JSON of the expected form.
    pub fn parse(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }

    /// Returns the text of the prompt, up to the first content that is not text.
    fn text(&self) -> String {
        let mut text = String::new();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push(UNIT_SEPARATOR);
            match &message.content {
                Some(Content::Text(content)) => text.push_str(content),
                Some(Content::Other(_)) => return text,
                None => {}
            }
            text.push(RECORD_SEPARATOR);
        }
        if let Some(Content::Text(plain)) = &self.plain {
            text.push_str(plain);
        }
        text
    }

    /// Returns the hashes of the first blocks of the prompt, at most `limit`.
    pub fn block_hashes(&self, limit: usize) -> Vec<u64> {
        hash_chain(&self.model, self.text().as_bytes(), limit)
    }
}

/// Returns the hashes of the first complete blocks of a text for a model, at most
/// `limit`.
fn hash_chain(model: &str, text: &[u8], limit: usize) -> Vec<u64> {
    let mut previous = first_eight_bytes(&blake3::hash(model.as_bytes()));
    text.chunks_exact(BLOCK_BYTES)
        .take(limit)
        .map(|block| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(&previous.to_le_bytes());
            hasher.update(block);
            previous = first_eight_bytes(&hasher.finalize());
            previous
        })
        .collect()
}

fn first_eight_bytes(digest: &blake3::Hash) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

//! Size of messages on the wire.

use std::hint::black_box;

use bincode::Options;
use sesamerock_exchange::message::Message;

use super::meter::Size;

/// Bytes a message costs besides its bincode encoding: 40 for TCP and IP
/// headers, 40 for the acknowledgement, 40 for the call's envelope.
const FRAME: u64 = 120;

/// Encodes and decodes a message, so that the measured CPU time contains it,
/// and returns its size. The original is delivered, which shares record
/// contents among the nodes and keeps the run within memory.
pub fn coded(message: &Message, joining: bool) -> Size {
    let options = bincode::DefaultOptions::new();
    let bytes = options.serialize(message).unwrap_or_default();
    let decoded: Result<Message, _> = options.deserialize(&bytes);
    black_box(decoded.is_ok());
    sized(message, bytes.len() as u64, joining)
}

/// Returns the size of a message.
pub fn size(message: &Message, joining: bool) -> Size {
    let size = bincode::DefaultOptions::new().serialized_size(message);
    sized(message, size.unwrap_or_default(), joining)
}

fn sized(message: &Message, encoded: u64, joining: bool) -> Size {
    let chunk = message.chunk.as_ref().map_or(0, |chunk| chunk.bytes.len());
    let records = message.records.iter().map(|r| r.bytes.len());
    let records: usize = if joining { records.sum() } else { 0 };
    let all_records: usize = message.records.iter().map(|r| r.bytes.len()).sum();
    Size {
        bytes: encoded + FRAME,
        transfer: (chunk + records) as u64,
        chunk: chunk as u64,
        records: all_records as u64,
    }
}

//! Token streams that engines send as server-sent events.

use memchr::memmem;

/// Substrings that identify events without tokens: the end of a stream or its usage.
const END_MARKERS: [&[u8]; 3] = [b"[DONE]", br#""delta":{}"#, br#""choices":[]"#];

/// Counts the events with tokens in a chunk of a stream; a chunk without a
/// complete event counts as one. The events that end a stream follow its last token
/// at once. If they were counted as steps of the engine, concurrent calls would
/// appear late; see `docs/notes/limits.md`.
pub fn count_tokens(data: &[u8]) -> u64 {
    let mut complete = 0_u64;
    let mut ends = 0;
    let mut begin = 0;
    for end in memmem::find_iter(data, b"\n\n") {
        complete += 1;
        ends += u64::from(is_end(&data[begin..end]));
        begin = end + 2;
    }
    if complete == 0 { 1 } else { complete - ends }
}

fn is_end(event: &[u8]) -> bool {
    END_MARKERS
        .iter()
        .any(|marker| memmem::find(event, marker).is_some())
}

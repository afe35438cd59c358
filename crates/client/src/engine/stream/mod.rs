//! Streams of tokens as engines send them: server-sent events.

use memchr::memmem;

/// Events that only tell the end of a stream or its usage, by a part of each.
const ENDS: [&[u8]; 3] = [b"[DONE]", br#""delta":{}"#, br#""choices":[]"#];

/// Counts the events with tokens in a piece of a stream; a piece without a whole
/// event counts as one. What ends a stream follows its last token at once, and
/// counted as steps of the engine it makes the calls beside it look late; see
/// `docs/notes/limits.md`.
pub fn count_tokens(data: &[u8]) -> u64 {
    let mut whole = 0_u64;
    let mut ends = 0;
    let mut begin = 0;
    for end in memmem::find_iter(data, b"\n\n") {
        whole += 1;
        ends += u64::from(is_end(&data[begin..end]));
        begin = end + 2;
    }
    if whole == 0 { 1 } else { whole - ends }
}

fn is_end(event: &[u8]) -> bool {
    ENDS.iter().any(|part| memmem::find(event, part).is_some())
}

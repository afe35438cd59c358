//! Generated tokens; each names its prompt and position, so that tests can verify
//! responses.

/// Returns the tag that marks every token of a prompt (FNV-1a, 32 bits).
pub fn tag(prompt: &str) -> String {
    let hash = prompt.bytes().fold(0x811c_9dc5_u32, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    });
    format!("{hash:08x}")
}

/// Returns the text of one token.
pub fn token(tag: &str, position: u64) -> String {
    format!("{tag}-{position} ")
}

/// Returns the complete response to a prompt, to compare with a received one.
pub fn answer(prompt: &str, tokens: u64) -> String {
    let tag = tag(prompt);
    (0..tokens).map(|position| token(&tag, position)).collect()
}

pub(super) fn event(text: &str) -> String {
    format!(
        "data: {{\"object\":\"chat.completion.chunk\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":null}}]}}\n\n"
    )
}

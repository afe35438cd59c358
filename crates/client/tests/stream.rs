//! Counts of tokens in streams.

use sesamerock_client::engine::stream::count_tokens;

fn token(text: &str) -> String {
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n")
}

const FINISH: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n";
const USAGE: &str = "data: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n\n";
const DONE: &str = "data: [DONE]\n\n";

/// Guards against the end of a stream taken for steps of the engine: calls
/// beside it seemed late, and limits fell below what the engine bears.
#[test]
fn ends_of_streams_are_no_tokens() {
    let last = format!("{}{FINISH}{USAGE}{DONE}", token("b"));
    assert_eq!(count_tokens(last.as_bytes()), 1);
    assert_eq!(count_tokens(format!("{FINISH}{DONE}").as_bytes()), 0);
    assert_eq!(count_tokens(DONE.as_bytes()), 0);
}

/// Guards against bursts counted as one token, and pieces that end within an
/// event counted as none.
#[test]
fn each_event_counts_and_parts_count_as_one() {
    let burst = format!("{}{}{}", token("a"), token("b"), token("c"));
    assert_eq!(count_tokens(burst.as_bytes()), 3);
    assert_eq!(count_tokens(&token("a").as_bytes()[..20]), 1);
    assert_eq!(count_tokens(b""), 1);
}

//! Token counting in streams of server-sent events.

use sesamerock_client::engine::stream::count_tokens;

fn token(text: &str) -> String {
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n")
}

const FINISH: &str =
    "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n";
const USAGE: &str = "data: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n\n";
const DONE: &str = "data: [DONE]\n\n";

/// Guards against counting the events that end a stream as steps of the engine:
/// concurrent calls then appeared late, and limits fell below the engine's capacity.
#[test]
fn end_events_are_not_counted() {
    let last = format!("{}{FINISH}{USAGE}{DONE}", token("b"));
    assert_eq!(count_tokens(last.as_bytes()), 1);
    assert_eq!(count_tokens(format!("{FINISH}{DONE}").as_bytes()), 0);
    assert_eq!(count_tokens(DONE.as_bytes()), 0);
}

/// Guards against counting a burst of events as one token, and against counting a
/// chunk that ends within an event as none.
#[test]
fn each_event_and_each_partial_chunk_counts() {
    let burst = format!("{}{}{}", token("a"), token("b"), token("c"));
    assert_eq!(count_tokens(burst.as_bytes()), 3);
    assert_eq!(count_tokens(&token("a").as_bytes()[..20]), 1);
    assert_eq!(count_tokens(b""), 1);
}

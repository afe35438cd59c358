//! Tests the splitting of streams that may continue at another upstream.

use bytes::Bytes;
use sesamerock_gateway::stream::{Events, StreamError};

fn push(events: &mut Events, text: &str) -> String {
    let complete = events.push(&Bytes::copy_from_slice(text.as_bytes()));
    String::from_utf8(complete.unwrap_or_default().to_vec()).unwrap_or_default()
}

/// Only complete events must go to the caller, wherever the bytes are split.
#[test]
fn only_complete_events_are_forwarded() {
    let text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    for cut in 0..text.len() {
        let mut events = Events::default();
        let (first, second) = text.split_at(cut);
        let forwarded = push(&mut events, first);
        assert!(forwarded.is_empty() || forwarded.ends_with("\n\n"));
        assert_eq!(forwarded + &push(&mut events, second), text);
        assert!(events.at_boundary());
        assert_eq!((events.delivered(), events.last()), (2, Some(2)));
    }
}

/// A partial event of a failed upstream must not be joined with an event of the next
/// one.
#[test]
fn partial_events_are_not_joined_with_events_of_the_next_upstream() {
    let mut events = Events::default();
    push(&mut events, "id: 1\ndata: a\n\nid: 2\nda");
    assert!(!events.at_boundary());
    events.discard_partial();
    let rest = push(&mut events, "id: 2\ndata: b\n\n");
    assert_eq!(rest, "id: 2\ndata: b\n\n");
}

/// An upstream that starts the stream again must not repeat events to the caller.
#[test]
fn events_that_the_caller_already_has_are_dropped() {
    let mut events = Events::after(Some(1));
    let forwarded = push(&mut events, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert_eq!(forwarded, "id: 2\ndata: b\n\n");
    assert_eq!(events.delivered(), 1);
}

/// Lines may end in CR LF.
#[test]
fn crlf_line_endings_are_accepted() {
    let mut events = Events::default();
    let text = "id: 7\r\ndata: a\r\n\r\n";
    assert_eq!(push(&mut events, text), text);
    assert_eq!(events.last(), Some(7));
}

/// An event that never ends must not use up the memory.
#[test]
fn events_above_the_size_limit_are_refused() {
    let mut events = Events::default();
    let outcome = events.push(&Bytes::from(vec![b'x'; 2 << 20]));
    assert_eq!(outcome, Err(StreamError::Oversized));
}

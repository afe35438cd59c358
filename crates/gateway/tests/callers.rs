//! Replays the decisions on callers that are closed.

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_gateway::callers::Settings;
use sesamerock_gateway::callers::rule::{Connection, Holder, Phase, first_to_close, first_to_end};

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn holder(key: u32, bytes: usize, progressed_at: u64) -> Holder<u32> {
    Holder {
        key,
        bytes,
        waits_for_caller: true,
        progressed_at: at(progressed_at),
    }
}

fn connection(phase: Phase, unread: usize, progressed_at: u64) -> Connection {
    Connection {
        phase,
        unread,
        progressed_at: at(progressed_at),
        call_end: Moment(u64::MAX),
    }
}

/// Guards against the end of large answers that are being read while others stand still.
#[test]
fn memory_is_taken_from_those_without_progress_for_longest() {
    let now = at(10_000);
    let end = |holders: &[Holder<u32>]| first_to_end(holders.iter().copied(), now).map(|it| it.key);
    let (large, still, longest) = (
        holder(1, 900, 9_990),
        holder(2, 10, 9_000),
        holder(3, 5, 8_000),
    );
    assert_eq!(end(&[large, still, longest]), Some(3));
    assert_eq!(end(&[large, still]), Some(2));
    assert_eq!(end(&[large, holder(4, 800, 9_600)]), Some(1));
    // What waits for an upstream or for nothing is not stalled, however long.
    let idle = Holder {
        waits_for_caller: false,
        ..longest
    };
    assert_eq!(end(&[idle, still, large]), Some(2));
    assert_eq!(end(&[idle, large]), Some(1));
    assert_eq!(end(&[]), None);
}

/// Guards against closing callers that wait for an upstream, or that are idle within their timeout.
#[test]
fn only_callers_that_could_go_on_are_stalled() {
    let (longest, now) = (Settings::default().stall, at(60_000));
    let stalled = |it: Connection| it.is_stalled(longest, now);
    assert!(stalled(connection(Phase::Sending, 1, 0)));
    assert!(stalled(connection(Phase::Receiving, 0, 0)));
    // The end of a response that was written but not read.
    assert!(stalled(connection(Phase::Idle, 1, 0)));
    assert!(!stalled(connection(Phase::Idle, 0, 0)));
    assert!(!stalled(connection(Phase::Working, 0, 0)));
    // A stream whose upstream pauses.
    assert!(!stalled(connection(Phase::Sending, 0, 0)));
    assert!(!stalled(connection(Phase::Sending, 1, 51_000)));
    assert!(longest > Duration::from_secs(8), "the deadline of streams");
}

/// Guards against callers that hold an answer for ever by reading a little of it now and then.
#[test]
fn callers_are_overdue_after_the_end_of_their_call() {
    let longest = Settings::default().stall;
    let overdue = |phase, unread, now| {
        let connection = Connection {
            call_end: at(1_000),
            ..connection(phase, unread, now)
        };
        connection.is_overdue(longest, at(now))
    };
    assert!(overdue(Phase::Sending, 1, 11_000));
    assert!(overdue(Phase::Idle, 1, 11_000));
    assert!(!overdue(Phase::Sending, 1, 10_999));
    // All is read, or the next call has begun.
    assert!(!overdue(Phase::Idle, 0, 60_000));
    assert!(!overdue(Phase::Sending, 0, 60_000));
    assert!(!overdue(Phase::Working, 1, 60_000));
    assert!(!overdue(Phase::Receiving, 1, 60_000));
    assert!(!connection(Phase::Sending, 1, 0).is_overdue(longest, at(60_000)));
}

/// Guards against closing calls, or busy callers, for the descriptors of idle ones.
#[test]
fn the_connection_that_is_idle_for_longest_gives_its_descriptor() {
    let working = (1, connection(Phase::Working, 0, 1));
    let idle = (2, connection(Phase::Idle, 0, 50));
    let idle_longer = (3, connection(Phase::Idle, 0, 40));
    let unread = (4, connection(Phase::Sending, 9, 2));
    let close = |all: &[(u32, Connection)]| first_to_close(all.iter().copied());
    assert_eq!(close(&[working, idle, idle_longer, unread]), Some(3));
    assert_eq!(close(&[working, unread]), Some(4));
    assert_eq!(close(&[working]), None);
}

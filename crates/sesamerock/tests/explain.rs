//! Tests that the timeline of a request, found by its identifier, shows why it failed and which
//! lines of the log are missing.

use sesamerock::explain::{Line, timeline};

const LOG: &str = r#"time=10.000 level=info event=start node=front-1
time=11.000 level=info event=table_in_force version=7 source=store next=3
time=11.500 level=info event=upstream id=u1 service=s address=10.0.0.1:80 zone=a draining=false cold_ms=0
time=12.000 level=warn event=store_lost feed=upstreams reason="no answer: timed out"
time=14.250 level=info event=attempt id=call-9 service=s upstream=u1 address=10.0.0.1:80 outcome=silent wait_ms=0 head_ms=2000
time=14.251 level=info event=call_end id=call-9 route=r status=504 sent=1 upstream=u1 total_ms=2001 table=7
time=14.300 level=info event=call_end id=call-10 route=r status=200 sent=1 upstream=u1 total_ms=3 table=7"#;

fn lines(log: &str) -> (Vec<Line>, usize) {
    let parsed = log.lines().map(|text| Line::parse("front-1", text));
    let (read, skipped): (Vec<_>, Vec<_>) = parsed.partition(Option::is_some);
    (read.into_iter().flatten().collect(), skipped.len())
}

/// The timeline of a request contains the state that the process had at the attempt, and how
/// old that state was.
#[test]
fn a_timeout_is_traced_to_a_lost_store_and_a_silent_upstream() {
    let (lines, skipped) = lines(LOG);
    let timeline = timeline("call-9", lines, skipped);
    for part in [
        "believed for 3.250 s: event=table_in_force version=7",
        "believed for 2.250 s: event=store_lost feed=upstreams",
        "believed for 2.750 s: event=upstream id=u1",
        "outcome=silent",
        "status=504",
    ] {
        assert!(timeline.contains(part), "{part} in\n{timeline}");
    }
    assert!(
        !timeline.contains("call-10") && !timeline.contains("missing"),
        "{timeline}"
    );
}

/// The timeline from a truncated log with a broken line names what is missing.
#[test]
fn missing_lines_are_reported() {
    let truncated: String = LOG.lines().rev().skip(2).collect::<Vec<_>>().join("\n");
    let (lines, skipped) = lines(&(truncated + "\nl=info event=call_e"));
    let timeline = timeline("call-9", lines, skipped);
    assert!(
        timeline.contains("missing: the end of the request"),
        "{timeline}"
    );
    assert!(
        timeline.contains("missing: 1 lines could not be read"),
        "{timeline}"
    );
    let (lines, _) = self::lines(LOG);
    let unknown = sesamerock::explain::timeline("call-8", lines, 0);
    assert!(
        unknown.contains("missing: no line names call-8"),
        "{unknown}"
    );
}

/// The timeline states how many lines a process dropped because its log is bounded.
#[test]
fn dropped_lines_are_reported() {
    let log = format!("{LOG}\ntime=15.000 level=warn event=log_lines_dropped lines=12");
    let (lines, skipped) = lines(&log);
    let timeline = timeline("call-9", lines, skipped);
    assert!(
        timeline.contains("missing: front-1 dropped 12 lines"),
        "{timeline}"
    );
}

//! Tests that logging does not block its callers.

use std::time::{Duration, Instant};

use sesamerock_gateway::sink::Sink;

/// Logging must not block a request while nobody reads standard output. Dropped lines
/// are counted, and their number is logged once the output is read again.
#[test]
fn writes_do_not_block_on_a_full_pipe() -> std::io::Result<()> {
    let (mut reader, writer) = std::io::pipe()?;
    let sink = Sink::start_on(writer)?;
    let started = Instant::now();
    for line in 0..20_000 {
        sink.write(format!("event=test line={line} {}", "x".repeat(100)));
    }
    assert!(started.elapsed() < Duration::from_secs(1));
    let mut text = String::new();
    let mut buffer = vec![0; 65_536];
    let mut sent = 20_000;
    let deadline = Instant::now() + Duration::from_secs(10);
    // The writer may count the lines dropped so far while this test still writes, and the
    // rest in a later line.
    while dropped_lines(&text) <= 10_000 && Instant::now() < deadline {
        let read = std::io::Read::read(&mut reader, &mut buffer)?;
        text.push_str(&String::from_utf8_lossy(&buffer[..read]));
        sink.write("event=test again".to_owned());
        sent += 1;
    }
    let dropped = dropped_lines(&text);
    assert!(dropped > 10_000, "{dropped}");
    let written = text.matches("event=test line=").count() as u64;
    assert!(
        written + dropped <= sent,
        "{written} and {dropped} of {sent}"
    );
    assert!(text.starts_with("event=test line=0 "));
    Ok(())
}

/// Returns the sum of the dropped lines that the log reports.
fn dropped_lines(text: &str) -> u64 {
    let reports = text
        .lines()
        .filter(|line| line.contains("event=log_lines_dropped"));
    let counts = reports.filter_map(|line| line.split("lines=").nth(1)?.trim().parse::<u64>().ok());
    counts.sum()
}

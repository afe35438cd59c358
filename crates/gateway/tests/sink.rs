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
    while !text.contains("event=log_lines_dropped") {
        let read = std::io::Read::read(&mut reader, &mut buffer)?;
        text.push_str(&String::from_utf8_lossy(&buffer[..read]));
        sink.write("event=test again".to_owned());
    }
    let dropped = text
        .split("lines=")
        .nth(1)
        .and_then(|it| it.split_whitespace().next());
    let dropped: u32 = dropped.and_then(|it| it.parse().ok()).unwrap_or_default();
    assert!(dropped > 10_000, "{dropped}");
    assert!(text.starts_with("event=test line=0 "));
    Ok(())
}

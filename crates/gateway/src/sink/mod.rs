//! Log output that never blocks a request.
//!
//! Lines go through a bounded channel to a writer thread. While standard output is not
//! read, lines that do not fit are dropped and counted; the count is logged once
//! writing continues.

use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

/// Capacity of the channel in lines: about two seconds of the gateway with the highest
/// load.
const QUEUE_LINES: usize = 4_096;

/// Sending half of the channel to the writer thread.
#[derive(Clone, Debug)]
pub struct Sink {
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl Sink {
    /// Starts the thread that writes lines to standard output.
    ///
    /// # Errors
    /// Fails if the thread cannot be started.
    pub fn start() -> std::io::Result<Self> {
        Self::start_on(std::io::stdout())
    }

    /// Starts the thread that writes lines to `out`.
    ///
    /// # Errors
    /// Fails if the thread cannot be started.
    pub fn start_on(out: impl std::io::Write + Send + 'static) -> std::io::Result<Self> {
        let (lines, reader) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let thread_dropped = Arc::clone(&dropped);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write(&reader, &thread_dropped, out))?;
        Ok(Self { lines, dropped })
    }

    /// Queues a line without blocking; if the channel is full, drops and counts it.
    pub fn write(&self, line: String) {
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write(lines: &Receiver<String>, dropped: &AtomicU64, mut out: impl std::io::Write) {
    while let Ok(first) = lines.recv() {
        let mut text = first;
        text.push('\n');
        for line in lines.try_iter().take(QUEUE_LINES) {
            text.push_str(&line);
            text.push('\n');
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "level=warn event=log_lines_dropped lines={count}");
        }
        if out.write_all(text.as_bytes()).is_err() {
            // The output is closed, and there is no other place to report it.
            return;
        }
    }
}

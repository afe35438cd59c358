//! What a process has used, from `/proc`.

use std::fs;

/// Ticks of `/proc/PID/stat` in a second.
const TICKS_PER_S: f64 = 100.0;
/// Bytes of a page in `/proc/PID/statm`.
const PAGE_BYTES: f64 = 4_096.0;

/// Returns the processor time of a process, `self` or a process id, in seconds.
pub fn seconds(process: &str) -> f64 {
    let stat = read(process, "stat");
    // User and system time are the 14th and 15th fields of all, after the
    // command's name, which may hold blanks.
    let fields: Vec<_> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |at: usize| {
        fields
            .get(at)
            .and_then(|t| t.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_S
}

/// Returns the resident memory of a process in bytes.
pub fn bytes(process: &str) -> f64 {
    let pages = read(process, "statm");
    let resident = pages
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    resident.unwrap_or(0.0) * PAGE_BYTES
}

fn read(process: &str, name: &str) -> String {
    fs::read_to_string(format!("/proc/{process}/{name}")).unwrap_or_default()
}

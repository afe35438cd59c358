//! Parsing of settings values with a unit. Both functions return `None` if the
//! text has no known unit or the number is out of range.

use std::time::Duration;

/// Parses a span such as `250ms`, `3s`, `5m` or `2h`.
pub fn duration(text: &str) -> Option<Duration> {
    let (count, unit) = split(text)?;
    match unit {
        "us" => Some(Duration::from_micros(count)),
        "ms" => Some(Duration::from_millis(count)),
        "s" => Some(Duration::from_secs(count)),
        "m" => Some(Duration::from_secs(count.checked_mul(60)?)),
        "h" => Some(Duration::from_secs(count.checked_mul(3_600)?)),
        _ => None,
    }
}

/// Parses a number of bytes such as `512B`, `64KB`, `32MB` or `2GB`, with
/// decimal units.
pub fn bytes(text: &str) -> Option<u64> {
    let (count, unit) = split(text)?;
    let factor: u64 = match unit {
        "B" => 1,
        "KB" => 1_000,
        "MB" => 1_000_000,
        "GB" => 1_000_000_000,
        _ => return None,
    };
    count.checked_mul(factor)
}

fn split(text: &str) -> Option<(u64, &str)> {
    let at = text.find(|c: char| !c.is_ascii_digit())?;
    let (count, unit) = text.split_at(at);
    Some((count.parse().ok()?, unit))
}

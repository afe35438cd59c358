//! Counters and latency histograms of a gateway in the Prometheus text format.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Upper bounds of the histogram buckets, in milliseconds.
const BOUNDS_MS: [u64; 10] = [5, 20, 50, 100, 200, 500, 1_000, 2_000, 4_000, 8_000];

/// A histogram of durations with fixed buckets from 5 ms to 8 s.
#[derive(Debug, Default)]
pub struct Histogram {
    buckets: [AtomicU64; BOUNDS_MS.len() + 1],
    sum_us: AtomicU64,
}

impl Histogram {
    /// Adds one observation.
    pub fn record(&self, time: Duration) {
        let millis = time.as_millis() as u64;
        let index = BOUNDS_MS.partition_point(|bound| *bound < millis);
        self.buckets[index].fetch_add(1, Ordering::Relaxed);
        let micros = time.as_micros() as u64;
        self.sum_us.fetch_add(micros, Ordering::Relaxed);
    }

    fn render(&self, name: &str, text: &mut String) {
        let mut total = 0;
        for (index, bucket) in self.buckets.iter().enumerate() {
            total += bucket.load(Ordering::Relaxed);
            let bound = BOUNDS_MS
                .get(index)
                .map_or_else(|| "+Inf".to_owned(), |ms| format!("{}", *ms as f64 / 1e3));
            append_line(
                text,
                format_args!("{name}_bucket{{le=\"{bound}\"}} {total}"),
            );
        }
        let sum = self.sum_us.load(Ordering::Relaxed) as f64 / 1e6;
        append_line(text, format_args!("{name}_sum {sum}"));
        append_line(text, format_args!("{name}_count {total}"));
    }
}

/// Appends one line to a metrics exposition.
pub fn append_line(text: &mut String, content: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    let _ = writeln!(text, "{content}");
}

type CountsByLabel = Mutex<BTreeMap<&'static str, u64>>;

/// Counters and histograms of one gateway.
#[derive(Debug, Default)]
pub struct Counters {
    answered: Mutex<BTreeMap<u16, u64>>,
    refused: CountsByLabel,
    attempts: CountsByLabel,
    withheld: CountsByLabel,
    broken: CountsByLabel,
    /// Time to the first event of a stream; other answers are not included.
    pub first_byte: Histogram,
    /// Time to the last byte of an answer.
    pub last_byte: Histogram,
    /// Number of streams that were resumed at another upstream.
    pub resumed: AtomicU64,
    /// Number of upstreams that have stated that they are leaving, to this gateway or others.
    pub leaving: AtomicU64,
    /// Number of refusals with which upstreams have asked for a pause.
    pub pauses: AtomicU64,
    /// Limits of upstreams that have begun, changed or ended.
    pub limits: AtomicU64,
}

impl Counters {
    /// Counts an answer by status.
    pub fn answered(&self, status: u16) {
        let mut counts = self.answered.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(status).or_default() += 1;
    }

    /// Counts a request that was rejected before admission or refused there, by reason.
    pub fn refused(&self, reason: &'static str) {
        count(&self.refused, reason);
    }

    /// Counts an attempt by outcome.
    pub fn attempt(&self, outcome: &'static str) {
        count(&self.attempts, outcome);
    }

    /// Counts a call that was not sent to the upstream chosen for it, by reason.
    pub fn withheld(&self, reason: &'static str) {
        count(&self.withheld, reason);
    }

    /// Counts an answer that broke off, by what the address of its upstream does then.
    pub fn broken(&self, address: &'static str) {
        count(&self.broken, address);
    }

    /// Renders all counters and histograms in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let answered = self.answered.lock().unwrap_or_else(PoisonError::into_inner);
        for (status, count) in &*answered {
            let name = "sesamerock_answers_total";
            append_line(
                &mut text,
                format_args!("{name}{{status=\"{status}\"}} {count}"),
            );
        }
        for (name, label, counts) in [
            ("sesamerock_refusals_total", "reason", &self.refused),
            ("sesamerock_attempts_total", "outcome", &self.attempts),
            ("sesamerock_withheld_total", "reason", &self.withheld),
            ("sesamerock_broken_answers_total", "address", &self.broken),
        ] {
            let counts = counts.lock().unwrap_or_else(PoisonError::into_inner);
            for (value, count) in &*counts {
                append_line(
                    &mut text,
                    format_args!("{name}{{{label}=\"{value}\"}} {count}"),
                );
            }
        }
        let resumed = self.resumed.load(Ordering::Relaxed);
        append_line(
            &mut text,
            format_args!("sesamerock_streams_resumed_total {resumed}"),
        );
        let leaving = self.leaving.load(Ordering::Relaxed);
        append_line(
            &mut text,
            format_args!("sesamerock_upstreams_leaving_total {leaving}"),
        );
        let limits = self.limits.load(Ordering::Relaxed);
        append_line(
            &mut text,
            format_args!("sesamerock_upstream_limits_total {limits}"),
        );
        let pauses = self.pauses.load(Ordering::Relaxed);
        append_line(
            &mut text,
            format_args!("sesamerock_upstream_pauses_total {pauses}"),
        );
        self.first_byte
            .render("sesamerock_first_byte_seconds", &mut text);
        self.last_byte
            .render("sesamerock_answer_seconds", &mut text);
        text
    }
}

fn count(counts: &CountsByLabel, label: &'static str) {
    let mut counts = counts.lock().unwrap_or_else(PoisonError::into_inner);
    *counts.entry(label).or_default() += 1;
}

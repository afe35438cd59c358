//! `orders`: what at-most-once execution of keyed calls costs.
//!
//! Agents drive the real state machines against a log in virtual time that
//! takes 10 ms per append and 300 appends a second. Baselines of the same run:
//! an append for each record, and a lease on the keys instead of the log's
//! order. The latter is judged by the calls it runs twice when holders pause.

mod baseline;
mod model;

use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use sesamerock_base::time::Moment;
use sesamerock_ledger::fold::{Config, Ledger, Page};
use sesamerock_ledger::id::{Incarnation, Key, Request};
use sesamerock_ledger::record::{Entry, Intent, Outcome, Record, RecordedOutcome};

use crate::report::Report;
use model::{Load, Model};

/// Appends a second that the log accepts for all uses together.
const LIMIT: f64 = 300.0;
/// Body of a recorded outcome in bytes: an order's confirmation.
const BODY_BYTES: usize = 200;
/// Virtual length of a run.
const LENGTH: Duration = Duration::from_secs(5);
const APPENDERS: [usize; 2] = [3, 300];
const RATES: [u64; 4] = [10, 100, 500, 2_000];

/// Runs the measure.
pub fn run(seed: u64, report: &mut Report) {
    memory(report);
    latency(seed, report);
    pauses(seed, report);
}

/// Latency and appends by arrival rate and number of appenders.
fn latency(seed: u64, report: &mut Report) {
    let mut most = 0.0_f64;
    let mut least_done = 1.0_f64;
    for appenders in APPENDERS {
        for rate in RATES {
            let load = Load {
                appenders,
                rate,
                length: LENGTH,
                pauses: false,
                seed,
            };
            let start = Instant::now();
            let result = Model::new(load).run();
            let single = baseline::single(load);
            let done = result.latency.len() as f64 / result.calls.max(1) as f64;
            most = most.max(result.peak_appends);
            least_done = least_done.min(done);
            report.line(&[
                ("appenders", &appenders),
                ("rate", &rate),
                ("calls", &result.calls),
                ("run_share", &format!("{done:.4}")),
                ("added_p50_ms", &millis(&result.latency, 0.5)),
                ("added_p99_ms", &millis(&result.latency, 0.99)),
                ("appends_mean", &format!("{:.1}", result.mean_appends)),
                ("appends_peak", &format!("{:.0}", result.peak_appends)),
                ("log_bytes_per_key", &result.bytes_per_key),
                ("single_p50_ms", &millis(&single.latency, 0.5)),
                ("single_p99_ms", &millis(&single.latency, 0.99)),
                ("single_appends_wanted", &single.wanted),
                ("took_ms", &start.elapsed().as_millis()),
            ]);
        }
    }
    report.at_most("appends_per_second", LIMIT, most);
    report.at_least("run_share", 0.99, least_done);
}

/// Runs of one key under paused agents and retrying callers.
fn pauses(seed: u64, report: &mut Report) {
    let mut doubled = 0;
    for appenders in APPENDERS {
        let load = Load {
            appenders,
            rate: 1_000,
            length: 2 * LENGTH,
            pauses: true,
            seed,
        };
        let result = Model::new(load).run();
        let lease = baseline::lease(load);
        doubled += result.doubled;
        report.line(&[
            ("pauses", &result.pauses),
            ("appenders", &appenders),
            ("calls", &result.calls),
            ("retries", &result.retries),
            ("runs", &result.runs),
            ("doubled", &result.doubled),
            ("lease_runs", &lease.runs),
            ("lease_doubled", &lease.doubled),
        ]);
    }
    report.at_most("doubled_runs", 0.0, doubled as f64);
}

/// Memory and snapshot bytes of a key with its outcome.
fn memory(report: &Report) {
    const KEYS: u64 = 200_000;
    // Kept to the end, so that no memory is used twice.
    let mut ledgers = Vec::new();
    for body in [0, BODY_BYTES] {
        let before = resident_bytes();
        let mut ledger = Ledger::new(Config::default());
        let start = Instant::now();
        for offset in 0..KEYS {
            ledger.apply_page(&one(offset, body), Moment(0));
        }
        let fold = start.elapsed();
        let held = resident_bytes().saturating_sub(before);
        let mut snapshot = ledger.snapshot(1);
        let mut bytes = 0;
        let mut parts = 0;
        let start = Instant::now();
        while let Some(part) = ledger.next_part(&mut snapshot) {
            bytes += entry(1, vec![Record::Part(Arc::new(part))]).encode().len();
            parts += 1;
        }
        report.line(&[
            ("keys", &ledger.len()),
            ("body_bytes", &body),
            ("memory_per_key", &(held / KEYS)),
            ("fold_us_per_key", &per_key(fold, KEYS)),
            ("snapshot_parts", &parts),
            ("snapshot_bytes_per_key", &(bytes as u64 / KEYS)),
            ("snapshot_us_per_key", &per_key(start.elapsed(), KEYS)),
        ]);
        ledgers.push(ledger);
    }
}

fn per_key(time: Duration, keys: u64) -> String {
    format!("{:.2}", time.as_secs_f64() * 1e6 / keys as f64)
}

/// One entry with an intent and its outcome.
fn one(offset: u64, body: usize) -> Page {
    let key = Key::new("workspace", "orders", &offset.to_string());
    let intent = Intent {
        key,
        request: Request([0; 8]),
        sequence: offset,
    };
    let settled = RecordedOutcome {
        key,
        sequence: offset,
        outcome: Arc::new(outcome(body)),
    };
    let records = vec![Record::Intent(intent), Record::Outcome(settled)];
    Page {
        first: 0,
        head: offset + 1,
        entries: vec![(offset, Some(Arc::new(entry(offset + 1, records))))],
    }
}

fn entry(number: u64, records: Vec<Record>) -> Entry {
    Entry {
        writer: Incarnation(1),
        upstream: "orders-1".into(),
        number,
        records,
    }
}

fn outcome(body: usize) -> Outcome {
    Outcome::new(201, "application/json", &vec![b'x'; body], 4_096)
}

/// Makes a histogram for microseconds up to a minute.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(60_000_000, 3).expect("the bounds are valid")
}

fn millis(latency: &Histogram<u64>, quantile: f64) -> String {
    format!("{:.1}", latency.value_at_quantile(quantile) as f64 / 1e3)
}

/// Returns the resident size of this process, or 0 where it is not known.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

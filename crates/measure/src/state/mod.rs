//! Memory and CPU of the control state by its size.
//!
//! The baseline is what a node would do without shared tables: keep the notes'
//! own entries in a vector and copy it for every published change.

pub mod fleet;
mod table;

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sesamerock_base::time::Moment;
use sesamerock_note::bound;
use sesamerock_note::fold::State;
use sesamerock_note::fold::outcome::Outcome;
use sesamerock_note::note::Upstream;
use sesamerock_note::record::Record;
use sesamerock_note::rollout::{Input, Plan, Settings};
use sesamerock_note::snapshot;

use crate::alloc::measured;
use crate::report::Report;
use crate::scale::{CHANGES_PER_DAY, SECONDS_PER_DAY};
use fleet::Fleet;

/// Numbers of upstreams; the last is the target size.
const SIZES: [usize; 3] = [100, 1_000, 10_000];

/// Models in steady use at the target size.
const MODELS: usize = 17;

/// Notes that each change one upstream, folded to measure one.
const CHANGES: usize = 2_000;

/// Memory of the control plane per node, in bytes.
const MEMORY: f64 = 32e6;

/// CPU of the control plane per node, in percent of a core.
const CPU_PERCENT: f64 = 1.7;

/// Figures of one size.
struct Figures {
    upstreams: usize,
    bytes: usize,
    /// Most bytes in use while a process starts from a snapshot or merges one.
    peak: usize,
    per_change: Duration,
    copied: Duration,
}

/// Runs the measure.
pub fn run(seed: u64, report: &mut Report) {
    let figures: Vec<_> = SIZES.iter().map(|size| one(seed, *size, report)).collect();
    entries(seed, report);
    table::run(seed, report);
    for pair in figures.windows(2) {
        slope(&pair[0], &pair[1], report);
    }
    targets(&figures, report);
}

fn slope(small: &Figures, large: &Figures, report: &Report) {
    let factor = (large.upstreams as f64 / small.upstreams as f64).ln();
    let exponent = |small: f64, large: f64| (large / small).ln() / factor;
    let bytes = (large.bytes - small.bytes) as f64 / (large.upstreams - small.upstreams) as f64;
    let cpu = exponent(
        small.per_change.as_secs_f64(),
        large.per_change.as_secs_f64(),
    );
    let copied = exponent(small.copied.as_secs_f64(), large.copied.as_secs_f64());
    report.line(&[
        ("slope_from", &small.upstreams),
        ("slope_to", &large.upstreams),
        ("bytes_per_upstream", &format!("{bytes:.0}")),
        ("change_cpu_exponent", &format!("{cpu:.2}")),
        ("baseline_copy_exponent", &format!("{copied:.2}")),
    ]);
}

fn targets(figures: &[Figures], report: &mut Report) {
    let Some(large) = figures.last() else {
        return;
    };
    report.at_most("bytes_at_10000_upstreams", MEMORY, large.bytes as f64);
    report.at_most("peak_bytes_at_10000_upstreams", MEMORY, large.peak as f64);
    let percent = large.per_change.as_secs_f64() * CHANGES_PER_DAY / SECONDS_PER_DAY * 100.0;
    report.at_most("fold_cpu_percent", CPU_PERCENT, percent);
}

/// Measures a state with one number of upstreams and full histories.
fn one(seed: u64, upstreams: usize, report: &mut Report) -> Figures {
    let mut fleet = Fleet::new(seed, upstreams, MODELS);
    let log = fleet.log();
    let records = log.len();
    let started = Instant::now();
    let (mut state, bytes_fresh, _) = measured(|| fold(&log));
    let fold_time = started.elapsed();
    drop(log);

    // Fill the bounded histories: withdrawn entries, and verdicts.
    let withdrawn = fleet.replacements(
        bound::MAX_WITHDRAWN + bound::MAX_WITHDRAWN / 4,
        state.version().0,
    );
    let ((), bytes_withdrawn, _) = measured(|| apply(&mut state, &withdrawn));
    drop(withdrawn);
    let history: Vec<_> = (0..bound::MAX_PAST_VERDICTS + bound::MAX_PAST_VERDICTS / 4)
        .map(|serial| fleet.change(serial, state.version().0 + serial as u64))
        .collect();
    let started = Instant::now();
    let ((), bytes_history, _) = measured(|| apply(&mut state, &history));
    let replay = started.elapsed();
    let changes = history.len();
    drop(history);
    let bytes = bytes_fresh + bytes_withdrawn + bytes_history;

    let per_change = change_time(&mut fleet, &mut state);
    let entries = fleet.entries();
    let copied = time(20, || {
        black_box(entries.to_vec());
    });
    let baseline_bytes = baseline_bytes(entries);
    report.line(&[
        ("upstreams", &upstreams),
        ("records", &records),
        ("bytes", &bytes),
        ("bytes_without_history", &bytes_fresh),
        ("bytes_of_withdrawn", &bytes_withdrawn),
        ("bytes_baseline_vector", &baseline_bytes),
        ("fold_upstreams_per_s", &rate(upstreams, fold_time)),
        ("fold_records_per_s", &rate(changes, replay)),
        ("change_us", &micros(per_change)),
        ("baseline_copy_us", &micros(copied)),
    ]);
    let (merge_peak, start_peak) = snapshots(&state, upstreams, report);
    let peak = start_peak.max(bytes + merge_peak);
    queries(&state, upstreams, report);
    Figures {
        upstreams,
        bytes,
        peak,
        per_change,
        copied,
    }
}

fn fold(log: &[Vec<u8>]) -> State {
    let mut state = State::default();
    apply(&mut state, log);
    state
}

fn apply(state: &mut State, log: &[Vec<u8>]) {
    for bytes in log {
        let outcome = state.apply(state.position(), bytes);
        let accepted = matches!(outcome, Outcome::Accepted { .. });
        assert!(accepted, "the measure's notes are valid: {outcome:?}");
    }
}

/// Folds single changes while the former state stays published, as the control
/// thread does.
fn change_time(fleet: &mut Fleet, state: &mut State) -> Duration {
    let log: Vec<_> = (0..CHANGES)
        .map(|serial| fleet.change(1_000_000 + serial, state.version().0 + serial as u64))
        .collect();
    let started = Instant::now();
    let mut published = Arc::new(state.clone());
    for bytes in &log {
        let outcome = state.apply(state.position(), bytes);
        assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
        published = Arc::new(state.clone());
    }
    black_box(&published);
    started.elapsed() / CHANGES as u32
}

fn baseline_bytes(entries: &[Upstream]) -> usize {
    let (copy, bytes, _) = measured(|| entries.to_vec());
    drop(copy);
    bytes
}

/// Returns the most bytes that merging a snapshot takes beyond the state, and
/// the most that a start from a snapshot takes in all.
fn snapshots(state: &State, upstreams: usize, report: &Report) -> (usize, usize) {
    let encode = time(5, || {
        black_box(snapshot::encode(state));
    });
    let records = snapshot::encode(state);
    let encoded: Vec<_> = records.iter().map(Record::encode).collect();
    let bytes: usize = encoded.iter().map(Vec::len).sum();
    let largest = encoded.iter().map(Vec::len).max().unwrap_or_default();
    let parts = snapshot::parts(records);
    let restored = snapshot::restore(&parts);
    assert!(restored.is_ok_and(|restored| restored.hash() == state.hash()));
    let restore = time(5, || {
        black_box(snapshot::restore(&parts).is_ok());
    });
    drop(parts);
    let ((), _, start_peak) = measured(|| {
        let records = encoded.iter().map(|bytes| Record::decode(bytes));
        let parts = snapshot::parts(records.filter_map(Result::ok));
        black_box(snapshot::restore(&parts).is_ok());
    });

    // What every node does with a snapshot that it reads in the log.
    let mut merging = state.clone();
    let started = Instant::now();
    let ((), _, peak) = measured(|| {
        for bytes in &encoded {
            merging.apply(merging.position(), bytes);
        }
    });
    let merge = started.elapsed();
    report.line(&[
        ("upstreams", &upstreams),
        ("snapshot_bytes", &bytes),
        ("snapshot_parts", &encoded.len()),
        ("largest_part", &largest),
        ("encode_ms", &millis(encode)),
        ("restore_ms", &millis(restore)),
        ("decode_and_merge_ms", &millis(merge)),
        ("merge_peak_bytes", &peak),
        ("start_peak_bytes", &start_peak),
    ]);
    (peak, start_peak)
}

fn queries(state: &State, upstreams: usize, report: &Report) {
    let scan = time(20, || {
        black_box(state.serving_upstreams().count());
    });
    let clone = time(1_000, || {
        black_box(state.clone());
    });
    let hash = time(1_000, || {
        black_box(state.hash());
    });
    let reports = Fleet::reports(state);
    let planning = time(5, || {
        black_box(Plan::new(&Input {
            state,
            reports: &reports,
            settings: Settings::default(),
            now: Moment(0),
            store_refused_until: None,
        }));
    });
    report.line(&[
        ("upstreams", &upstreams),
        ("scan_serving_us", &micros(scan)),
        ("clone_us", &micros(clone)),
        ("hash_us", &micros(hash)),
        ("plan_ms", &millis(planning)),
    ]);
}

/// Measures the bytes of the other kinds of entries. Workspaces are not part of
/// the control state.
fn entries(seed: u64, report: &Report) {
    for (few, many) in [(10, 100), (100, 1_000), (1_000, 10_000)] {
        let model = per_entry(few, many, |count| Fleet::models(seed, count));
        let adapter = per_entry(few, many, |count| Fleet::adapters(seed, count));
        report.line(&[
            ("entries_from", &few),
            ("entries_to", &many),
            ("bytes_per_model", &format!("{model:.0}")),
            ("bytes_per_adapter", &format!("{adapter:.0}")),
            ("bytes_per_workspace", &0),
        ]);
    }
    let verdict = per_entry(
        bound::MAX_PAST_VERDICTS / 16,
        bound::MAX_PAST_VERDICTS,
        Fleet::notes,
    );
    let withdrawn = per_entry(
        bound::MAX_WITHDRAWN / 8,
        bound::MAX_WITHDRAWN,
        Fleet::replaced,
    );
    let forgotten = per_entry(
        2 * bound::MAX_WITHDRAWN,
        4 * bound::MAX_WITHDRAWN,
        Fleet::replaced,
    );
    report.line(&[
        ("bytes_per_remembered_note", &format!("{verdict:.0}")),
        ("bytes_per_withdrawn_upstream", &format!("{withdrawn:.0}")),
        ("bytes_per_forgotten_upstream", &format!("{forgotten:.0}")),
    ]);
}

fn per_entry(few: usize, many: usize, log: impl Fn(usize) -> Vec<Vec<u8>>) -> f64 {
    let bytes = |count| {
        let log = log(count);
        let (state, bytes, _) = measured(|| fold(&log));
        drop(state);
        bytes as f64
    };
    (bytes(many) - bytes(few)) / (many - few) as f64
}

/// Returns the median time of a call.
fn time(runs: usize, mut call: impl FnMut()) -> Duration {
    let mut times: Vec<_> = (0..runs)
        .map(|_| {
            let started = Instant::now();
            call();
            started.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[runs / 2]
}

fn micros(span: Duration) -> String {
    format!("{:.2}", span.as_secs_f64() * 1e6)
}

fn millis(span: Duration) -> String {
    format!("{:.2}", span.as_secs_f64() * 1e3)
}

fn rate(count: usize, span: Duration) -> String {
    format!("{:.0}", count as f64 / span.as_secs_f64())
}

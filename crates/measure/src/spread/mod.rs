//! `spread`: how fast and at what cost control records reach all nodes.
//!
//! The real state machines of `sesamerock-exchange` run over a message queue
//! with delay, loss and churn at three sizes up to the target size. Baselines
//! are the same machines with settings that switch a part off. The targets
//! are in `docs/design.md`, sections 3 and 11.

mod queue;
mod tally;
mod world;

use std::sync::Mutex;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamerock_base::time::Moment;
use sesamerock_exchange::node::{Fanout, Settings};
use sesamerock_exchange::pace::Windows;

use crate::report::Report;
use tally::Tally;
use world::{Cut, Origin, Scenario};

/// Scenarios run at the same time. More would need more memory and disturb
/// other users of the machine.
const THREADS: usize = 4;

/// Never, as far as a run is concerned.
const NEVER: Duration = Duration::from_hours(24);

const SIZES: [usize; 3] = [100, 1_000, 11_000];

/// Runs all scenarios and prints figures and targets.
pub fn run(seed: u64, report: &mut Report) {
    let scenarios = scenarios(seed);
    let tallies = run_all(&scenarios, seed);
    for (scenario, tally) in scenarios.iter().zip(&tallies) {
        print(report, scenario, tally);
    }
    let find = |name: &str, nodes: usize| {
        let pairs = scenarios.iter().zip(&tallies);
        let mut found = pairs
            .filter(|(s, _)| s.name == name && s.nodes == nodes)
            .map(|(_, tally)| tally);
        found.next_back().expect("every scenario was run")
    };
    let cut = scenarios.iter().zip(&tallies);
    for (cut, tally) in cut.filter_map(|(s, tally)| Some((s.cut?, tally))) {
        let seconds = tally.settled_after(cut.to);
        report.line(&[("cut_hour_settled_after_s", &format!("{seconds:.3}"))]);
        report.at_most("cut_settled_after_s", 7.0, seconds);
    }
    targets(report, find);
}

fn targets<'a>(report: &mut Report, find: impl Fn(&str, usize) -> &'a Tally) {
    let [_, middle, full] = SIZES;
    for name in ["day", "burst", "one_origin"] {
        let tally = find(name, full);
        report.at_most(&format!("{name}_last_p99_s"), 7.0, tally.last(0.99));
        let (average, busiest) = tally.bytes();
        report.at_most(&format!("{name}_bytes_average"), 6_000.0, average);
        report.at_most(&format!("{name}_bytes_busiest"), 6_000.0, busiest);
    }
    let day = find("day", full);
    report.at_least("day_reached_share", 1.0, 1.0 - day.unreached());
    report.at_most("day_cpu_percent", 1.7, day.cpu * 100.0);
    let growth = (full as f64).ln() / (middle as f64).ln() * 1.2;
    for name in ["day", "burst"] {
        let ratio = find(name, full).last(0.5) / find(name, middle).last(0.5);
        report.at_most(&format!("{name}_growth_p50"), growth, ratio);
        let ratio = find(name, full).last(0.99) / find(name, middle).last(0.99);
        report.at_most(&format!("{name}_growth_p99"), growth, ratio);
    }
}

fn scenarios(seed: u64) -> Vec<Scenario> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let ours = Settings::default();
    let mut list = Vec::new();
    for nodes in SIZES.into_iter().rev() {
        list.push(day("day", nodes, &ours, &mut rng));
        list.push(burst("burst", nodes, &ours, &mut rng));
    }
    let one = day("one_origin", 11_000, &ours, &mut rng);
    list.push(Scenario {
        origin: Origin::One,
        ..one
    });
    for nodes in [11_000, 1_000] {
        list.push(day("push_only", nodes, &push_only(), &mut rng));
        list.push(day("pull_only", nodes, &pull_only(), &mut rng));
    }
    list.push(day("eager_push", 1_000, &eager(), &mut rng));
    list.push(burst("eager_push_burst", 1_000, &eager(), &mut rng));
    for (day_name, burst_name, windows) in [
        ("no_coalescing", "no_coalescing_burst", Windows::OFF),
        ("trailing_only", "trailing_only_burst", trailing()),
    ] {
        let settings = Settings { windows, ..ours };
        list.push(day(day_name, 1_000, &settings, &mut rng));
        list.push(burst(burst_name, 1_000, &settings, &mut rng));
    }
    list.push(cut(&ours, &mut rng));
    list
}

/// Pushes alone: no periodic exchange, so nothing repairs what they miss but
/// the next push.
fn push_only() -> Settings {
    let fanout = Fanout {
        eager: true,
        ..Fanout::default()
    };
    Settings {
        round: NEVER,
        contact_retry: NEVER,
        isolation: NEVER,
        fanout,
        ..Settings::default()
    }
}

/// Periodic exchanges alone.
fn pull_only() -> Settings {
    let fanout = Fanout {
        zone: 0,
        region: 0,
        world: 0.0,
        eager: false,
    };
    Settings {
        fanout,
        ..Settings::default()
    }
}

/// Pushes within the region carry the records.
fn eager() -> Settings {
    let fanout = Fanout {
        eager: true,
        ..Fanout::default()
    };
    Settings {
        fanout,
        ..Settings::default()
    }
}

/// Coalescing that also delays the first news after a quiet time.
fn trailing() -> Windows {
    Windows {
        leading: false,
        ..Windows::default()
    }
}

/// 17,000 changes a day for two minutes, with a rack failing halfway.
fn day(name: &'static str, nodes: usize, settings: &Settings, rng: &mut ChaCha8Rng) -> Scenario {
    let seconds = 120;
    let mut scenario = Scenario {
        name,
        nodes,
        settings: *settings,
        origin: Origin::Readers,
        changes: Vec::new(),
        end: Moment::from_millis(1_000 * (seconds + 20)),
        counted: (
            Moment::from_millis(10_000),
            Moment::from_millis(1_000 * (seconds + 10)),
        ),
        rack: Some(Moment::from_millis(60_000)),
        cut: None,
    };
    scenario.changes = poisson(scenario.counted, 17_000.0 / 86_400.0, rng);
    scenario
}

/// 200 changes in 10 s.
fn burst(name: &'static str, nodes: usize, settings: &Settings, rng: &mut ChaCha8Rng) -> Scenario {
    let span = (Moment::from_millis(10_000), Moment::from_millis(20_000));
    Scenario {
        changes: poisson(span, 20.0, rng),
        end: Moment::from_millis(32_000),
        counted: (span.0, Moment::from_millis(22_000)),
        rack: Some(Moment::from_millis(15_000)),
        ..day(name, nodes, settings, rng)
    }
}

/// A region cut off for an hour under the day's changes; the time to the last
/// node counts from each change, so it is about an hour at most, and the time
/// after the cut is what matters.
fn cut(settings: &Settings, rng: &mut ChaCha8Rng) -> Scenario {
    let cut = Cut {
        region: 9,
        from: Moment::from_millis(30_000),
        to: Moment::from_millis(3_630_000),
    };
    let span = (Moment::from_millis(10_000), cut.to);
    Scenario {
        changes: poisson(span, 17_000.0 / 86_400.0, rng),
        end: Moment::from_millis(3_690_000),
        counted: span,
        rack: None,
        cut: Some(cut),
        ..day("region_cut", 320, settings, rng)
    }
}

/// Random moments of a rate per second within a span.
fn poisson(span: (Moment, Moment), rate: f64, rng: &mut ChaCha8Rng) -> Vec<Moment> {
    let mut at = span.0;
    let mut moments = Vec::new();
    loop {
        let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
        at = at + Duration::from_secs_f64(gap);
        if at >= span.1 {
            return moments;
        }
        moments.push(at);
    }
}

/// Runs the scenarios on a few threads; each is deterministic by itself.
fn run_all(scenarios: &[Scenario], seed: u64) -> Vec<Tally> {
    let results: Mutex<Vec<(usize, Tally)>> = Mutex::default();
    let queue = Mutex::new(scenarios.iter().enumerate());
    let work = || {
        loop {
            let next = queue.lock().ok().and_then(|mut queue| queue.next());
            let Some((index, scenario)) = next else {
                return;
            };
            let before = cpu_seconds();
            let mut tally = world::run(scenario, seed);
            let virtual_seconds = scenario.end.since(Moment::default()).as_secs_f64();
            tally.cpu = (cpu_seconds() - before) / virtual_seconds / scenario.nodes as f64;
            if let Ok(mut results) = results.lock() {
                results.push((index, tally));
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(work);
        }
    });
    let mut results = results.into_inner().unwrap_or_default();
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, tally)| tally).collect()
}

/// CPU time of the current thread; zero where the kernel does not tell.
fn cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|n| n.parse::<f64>().ok());
    nanos.unwrap_or_default() / 1e9
}

fn print(report: &Report, scenario: &Scenario, tally: &Tally) {
    let (average, busiest) = tally.bytes();
    report.line(&[
        ("scenario", &scenario.name),
        ("nodes", &scenario.nodes),
        ("changes", &tally.changes()),
        ("last_p50_s", &format!("{:.3}", tally.last(0.5))),
        ("last_p99_s", &format!("{:.3}", tally.last(0.99))),
        ("last_max_s", &format!("{:.3}", tally.last(1.0))),
        ("node_p50_s", &format!("{:.3}", tally.any(0.5))),
        ("node_p99_s", &format!("{:.3}", tally.any(0.99))),
        ("unreached", &format!("{:.6}", tally.unreached())),
        ("bytes_average", &format!("{average:.0}")),
        ("bytes_busiest", &format!("{busiest:.0}")),
        ("messages", &format!("{:.2}", tally.messages())),
        ("cpu_percent", &format!("{:.4}", tally.cpu * 100.0)),
        ("out_of_contact", &format!("{:.6}", tally.out_of_contact())),
        ("readers", &tally.readers),
        ("slowest_join_s", &format!("{:.1}", tally.slowest_join())),
    ]);
}

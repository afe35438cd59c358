//! `spread`: how fast and at what cost control records reach all nodes.
//!
//! The real state machines of `sesamerock-exchange` run over a message queue
//! with delay, loss and churn at three sizes up to the target size. Baselines
//! are the same machines with settings that switch a part off. The targets
//! are in `docs/design.md`, sections 3 and 11.

mod meter;
mod queue;
mod scenario;
mod state;
mod tally;
mod topology;
mod variant;
mod wire;
mod world;

use std::sync::Mutex;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sesamerock_base::time::Moment;
use sesamerock_exchange::fact::Fact;
use sesamerock_exchange::message::Record;
use sesamerock_exchange::node::{Node, Settings};
use sesamerock_exchange::peer::Peer;

use crate::report::Report;
use crate::scale::{CHANGES_PER_DAY, SECONDS_PER_DAY};
use meter::Span;
use scenario::{Cut, Origin, Scenario};
use tally::Tally;
use variant::{eager, no_coalescing, no_leading, pull_only, push_only, unspaced, windows_only};

/// Scenarios run at the same time. More would need more memory and disturb
/// other users of the machine.
const THREADS: usize = 5;

/// Spans in which changes are appended.
const DAY: Span = (Moment::from_millis(10_000), Moment::from_millis(110_000));
const BURST: Span = (Moment::from_millis(10_000), Moment::from_millis(20_000));
const HOUR: Span = (Moment::from_millis(10_000), Moment::from_millis(3_610_000));

const SIZES: [usize; 3] = [100, 1_000, 11_000];

/// Runs all scenarios and prints figures and targets.
pub fn run(seed: u64, report: &mut Report) {
    let sizes = state::sizes(seed);
    report.line(&[
        ("snapshot_upstreams", &state::UPSTREAMS),
        ("snapshot_json_bytes", &sizes.json),
        ("snapshot_deflated_bytes", &sizes.deflated),
        ("snapshot_columns_bytes", &sizes.columns),
        ("snapshot_packed_bytes", &sizes.packed),
        ("snapshot_irregular_bytes", &sizes.irregular),
    ]);
    let scenarios = scenarios(seed, sizes);
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
    let memory = memory(&Settings::default());
    report.line(&[("memory_bound_bytes", &memory)]);
    targets(report, find);
}

/// Estimates the most memory of one node's exchange, snapshots aside: records,
/// facts and peers at their bounds with the sizes of their types and 64 bytes
/// per allocation. Up to three snapshots of the owner's state come on top.
fn memory(settings: &Settings) -> usize {
    const ALLOCATION: usize = 64;
    let view = settings.view;
    let peers = view.zone + view.region + view.world + 6 * view.seeds;
    let records = settings.window_records * (size_of::<Record>() + ALLOCATION);
    let facts = settings.facts.max_facts
        * (size_of::<Fact>() + settings.facts.max_value_bytes + ALLOCATION);
    let entries = peers * (size_of::<Peer>() + ALLOCATION);
    size_of::<Node>() + settings.window_bytes + records + facts + entries
}

fn targets<'a>(report: &mut Report, find: impl Fn(&str, usize) -> &'a Tally) {
    let [_, middle, full] = SIZES;
    for name in ["day", "burst", "one_origin"] {
        let tally = find(name, full);
        report.at_most(&format!("{name}_last_p99_s"), 7.0, tally.last(0.99));
        let bytes = tally.traffic.bytes();
        report.at_most(&format!("{name}_bytes_average"), 6_000.0, bytes.average);
        // The budget is that of a node, so a node that joins is not left out.
        report.at_most(&format!("{name}_bytes_busiest"), 6_000.0, bytes.joining);
    }
    // Invariant 3: no new work within 3 s of the order.
    let order = find("zone_order", full).slowest_order();
    report.at_most(
        "zone_order_in_burst_last_s",
        3.0,
        order.unwrap_or(f64::INFINITY),
    );
    let day = find("day", full);
    report.at_least("day_reached_share", 1.0, 1.0 - day.unreached());
    report.at_most("day_cpu_percent", 1.7, day.cpu * 100.0);
    let growth = (full as f64).ln() / (middle as f64).ln() * 1.2;
    for name in ["day", "paced", "burst"] {
        let ratio = |quantile| find(name, full).last(quantile) / find(name, middle).last(quantile);
        report.at_most(&format!("{name}_growth_p50"), growth, ratio(0.5));
        report.at_most(&format!("{name}_growth_p99"), growth, ratio(0.99));
    }
}

fn scenarios(seed: u64, sizes: state::Sizes) -> Vec<Scenario> {
    let plan = Plan::new(seed, sizes.packed);
    let ours = Settings::default();
    let [small, middle, full] = SIZES;
    let one = Scenario {
        origin: Origin::One,
        ..plan.paced("one_origin", full, 20, &ours)
    };
    let mut list = vec![one];
    for nodes in [full, middle, small] {
        list.push(plan.day("day", nodes, &ours));
        list.push(plan.burst("burst", nodes, &ours));
    }
    list.push(plan.paced("paced", full, 50, &ours));
    list.push(plan.paced("paced", middle, 300, &ours));
    for nodes in [full, middle] {
        list.push(plan.paced("push_only", nodes, 20, &push_only()));
        list.push(plan.paced("pull_only", nodes, 20, &pull_only()));
    }
    list.push(plan.orders("zone_order", full, true));
    list.push(plan.orders("zone_order_in_turn", full, false));
    list.push(Scenario {
        state: sizes.deflated,
        ..plan.day("deflated_rows", middle, &ours)
    });
    list.push(plan.day("snapshots_unspaced", full, &unspaced()));
    list.push(plan.cut("region_cut", &ours));
    list.push(plan.day("eager_push", middle, &eager()));
    list.push(plan.burst("eager_push_burst", middle, &eager()));
    for (day, burst, windows) in [
        ("no_coalescing", "no_coalescing_burst", no_coalescing()),
        ("windows_only", "windows_only_burst", windows_only()),
        ("no_leading", "no_leading_burst", no_leading()),
    ] {
        let settings = Settings { windows, ..ours };
        list.push(plan.day(day, middle, &settings));
        list.push(plan.burst(burst, middle, &settings));
    }
    list
}

/// The moments of changes, the same for all scenarios of a kind.
#[derive(Debug)]
struct Plan {
    state: usize,
    day: Vec<Moment>,
    burst: Vec<Moment>,
    cut: Vec<Moment>,
}

impl Plan {
    fn new(seed: u64, state: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
        Self {
            state,
            day: moments(DAY, CHANGES_PER_DAY / SECONDS_PER_DAY, &mut rng),
            burst: moments(BURST, 20.0, &mut rng),
            cut: moments(HOUR, CHANGES_PER_DAY / SECONDS_PER_DAY, &mut rng),
        }
    }

    /// 17,000 changes a day for 100 s, with a rack failing halfway.
    fn day(&self, name: &'static str, nodes: usize, settings: &Settings) -> Scenario {
        Scenario {
            name,
            nodes,
            settings: *settings,
            state: self.state,
            origin: Origin::Readers,
            changes: self.day.clone(),
            end: DAY.1 + Duration::from_secs(8),
            counted: DAY,
            busy: DAY,
            rack: Some(Moment::from_millis(60_000)),
            cut: None,
            orders: Vec::new(),
            ahead: true,
        }
    }

    /// One change every two seconds, so that each is on its own and the median
    /// of the times to the last node rests on many; 300 at a small size are
    /// cheap.
    fn paced(&self, name: &'static str, nodes: usize, count: u64, settings: &Settings) -> Scenario {
        let changes = (0..count).map(|i| DAY.0 + Duration::from_millis(2_000 * i));
        let end = DAY.0 + Duration::from_secs(2 * count);
        Scenario {
            changes: changes.collect(),
            end: end + Duration::from_secs(8),
            counted: (DAY.0, end),
            busy: (DAY.0, end),
            rack: Some(Moment::from_millis(35_000)),
            ..self.day(name, nodes, settings)
        }
    }

    /// 200 changes in 10 s.
    ///
    /// 200 records of 300 bytes in 10 s are 6 KB/s for the receiver alone, so
    /// no method can keep 6 KB/s within these 10 s. The budget is therefore
    /// counted over the minute that starts with the burst, and the 10 s are
    /// printed too.
    fn burst(&self, name: &'static str, nodes: usize, settings: &Settings) -> Scenario {
        let end = BURST.0 + Duration::from_mins(1);
        Scenario {
            changes: self.burst.clone(),
            end,
            counted: (BURST.0, end),
            busy: BURST,
            rack: Some(Moment::from_millis(15_000)),
            ..self.day(name, nodes, settings)
        }
    }

    /// A burst in which five changes, two seconds apart, take a zone out of
    /// service, announced ahead of their records or not.
    fn orders(&self, name: &'static str, nodes: usize, ahead: bool) -> Scenario {
        Scenario {
            orders: vec![20, 60, 100, 140, 180],
            ahead,
            ..self.burst(name, nodes, &Settings::default())
        }
    }

    /// A region cut off for an hour under the day's changes. The time to the
    /// last node counts from each change, so it is up to an hour; what matters
    /// is the time after the cut.
    fn cut(&self, name: &'static str, settings: &Settings) -> Scenario {
        let cut = Cut {
            region: 9,
            from: HOUR.0,
            to: HOUR.1,
        };
        Scenario {
            changes: self.cut.clone(),
            end: HOUR.1 + Duration::from_mins(1),
            counted: HOUR,
            busy: HOUR,
            rack: None,
            cut: Some(cut),
            ..self.day(name, 320, settings)
        }
    }
}

/// As many random moments within a span as a rate per second gives.
fn moments(span: Span, rate: f64, rng: &mut ChaCha8Rng) -> Vec<Moment> {
    let count = span.1.since(span.0).as_secs_f64() * rate;
    let random = |_| Moment(rng.random_range(span.0.0..span.1.0));
    let mut moments: Vec<_> = (0..count.round() as usize).map(random).collect();
    moments.sort_unstable();
    moments
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
    let bytes = tally.traffic.bytes();
    let busy = tally.busy.bytes();
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
        ("bytes_average", &format!("{:.0}", bytes.average)),
        ("bytes_busiest", &format!("{:.0}", bytes.busiest)),
        ("bytes_joining", &format!("{:.0}", bytes.joining)),
        ("busy_average", &format!("{:.0}", busy.average)),
        ("busy_busiest", &format!("{:.0}", busy.busiest)),
        ("messages", &format!("{:.2}", tally.traffic.messages())),
        ("cpu_percent", &format!("{:.4}", tally.cpu * 100.0)),
        ("out_of_contact", &format!("{:.6}", tally.out_of_contact())),
        ("readers", &tally.readers),
        ("slowest_join_s", &format!("{:.1}", tally.slowest_join())),
    ]);
    if let Some(slowest) = tally.slowest_order() {
        report.line(&[
            ("zone_order_in_burst", &scenario.name),
            ("orders", &scenario.orders.len()),
            ("ahead", &scenario.ahead),
            ("slowest_last_s", &format!("{slowest:.3}")),
        ]);
    }
    for (name, kinds) in ["all", "joined"].iter().zip(tally.traffic.busiest()) {
        report.line(&[
            ("busiest_of", name),
            ("scenario", &scenario.name),
            ("nodes", &scenario.nodes),
            ("chunks_sent", &kinds.chunks_sent),
            ("chunks_received", &kinds.chunks_received),
            ("records_sent", &kinds.records_sent),
            ("records_received", &kinds.records_received),
            ("rest", &kinds.rest),
        ]);
    }
}

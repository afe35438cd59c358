//! Look-ups with and without hedging, on two systems of the same shape that
//! take turns in one run: calm, with one server that pauses now and then, with
//! one that stalls for seconds, and with all servers slow.
//!
//! Orders go along with the look-ups, to show that none has two attempts.

mod load;

use std::collections::HashSet;
use std::time::Duration;

use sesamerock::dev::{Cluster, Settings};
use sesamerock::settings::{Entry, hedge::Hedge};
use sesamerock_retry::budget;
use sesamerock_standin::service::Service;
use tokio_util::sync::CancellationToken;

use crate::report::Report;
use crate::traffic::quantile;
use load::{Outcome, Plan};

/// Turns of each system in each phase.
const TURNS: usize = 3;
/// Time of one turn.
const TURN: Duration = Duration::from_secs(3);
/// Usual time of a call at a server.
const USUAL: Duration = Duration::from_millis(1);
/// Time of a call while all servers are slow.
const SLOW: Duration = Duration::from_millis(100);
/// Time from which a look-up counts as late.
const LATE: Duration = Duration::from_millis(100);
/// Extra load that hedging may cause while all servers are slow, in percent.
const EXTRA_PERCENT: f64 = 10.0;

/// What disturbs the servers during a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing.
    Calm,
    /// The server that got most calls pauses for 150 ms, twice a second. In a
    /// trial that paused a fixed one, 2 of 1,080 look-ups were late.
    Pauses,
    /// The server that got most calls stalls for the second and third of four
    /// quarters.
    Stall,
    /// All servers take long.
    Slow,
}

const PHASES: [(Phase, &str); 4] = [
    (Phase::Calm, "calm"),
    (Phase::Pauses, "pauses"),
    (Phase::Stall, "stall"),
    (Phase::Slow, "slow"),
];

/// Runs the measure.
pub fn run(seed: u64, report: &mut Report) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(measure(seed, report));
}

/// One of the two systems.
struct System {
    cluster: Cluster,
    hedged: bool,
    sent: u64,
}

impl System {
    async fn start(hedged: bool, stop: &CancellationToken) -> Self {
        let settings = Settings {
            engines_per_zone: 0,
            entries: 1,
            entry: Entry {
                hedge: Hedge {
                    enabled: hedged,
                    ..Hedge::default()
                },
                ..Entry::default()
            },
            ..Settings::default()
        };
        let cluster = Cluster::start(settings, stop).await;
        let cluster = cluster.expect("the cluster starts");
        cluster.publish().await.expect("the note is accepted");
        cluster.wait_ready().await.expect("the entry is ready");
        Self {
            cluster,
            hedged,
            sent: 0,
        }
    }

    fn services(&self) -> impl Iterator<Item = &Service> {
        self.cluster.services.iter().map(|(_, service)| service)
    }

    fn received(&self) -> u64 {
        self.services().map(Service::received).sum()
    }

    /// Runs one turn; returns its outcome and the calls that servers received
    /// beyond one per call.
    async fn turn(&mut self, phase: Phase, first: u64) -> (Outcome, u64) {
        let before = self.received();
        if phase == Phase::Slow {
            self.delay(SLOW);
        }
        let plan = Plan {
            entry: self.cluster.callers[0],
            length: TURN,
            first,
        };
        let (outcome, ()) = tokio::join!(load::run(plan), self.disturb(phase));
        self.delay(USUAL);
        self.sent += outcome.calls;
        let extra = (self.received() - before).saturating_sub(outcome.calls);
        (outcome, extra)
    }

    fn delay(&self, delay: Duration) {
        for service in self.services() {
            service.configure(|settings| settings.delay = delay);
        }
    }

    async fn disturb(&self, phase: Phase) {
        let (times, rest, pause) = match phase {
            Phase::Calm | Phase::Slow => return,
            Phase::Pauses => (6, Duration::from_millis(350), Duration::from_millis(150)),
            Phase::Stall => (1, TURN / 4, TURN / 2),
        };
        for _ in 0..times {
            let before: Vec<_> = self.services().map(Service::received).collect();
            tokio::time::sleep(rest).await;
            let gains = self.services().zip(before);
            let busiest = gains.max_by_key(|(service, before)| service.received() - before);
            let (server, _) = busiest.expect("there are servers");
            server.pause(true);
            tokio::time::sleep(pause).await;
            server.pause(false);
        }
    }

    /// Returns the executions beyond one per order.
    fn doubled(&self) -> usize {
        let mut seen = HashSet::new();
        let executions: Vec<_> = self.services().flat_map(Service::executions).collect();
        executions
            .iter()
            .filter(|execution| !seen.insert(execution.body.clone()))
            .count()
    }
}

async fn measure(seed: u64, report: &mut Report) {
    let stop = CancellationToken::new();
    let mut systems = [
        System::start(false, &stop).await,
        System::start(true, &stop).await,
    ];
    let mut number = seed << 32;
    // The first turns warm limits and connections up and do not count.
    for system in &mut systems {
        system.turn(Phase::Calm, number).await;
        number += 1 << 16;
    }
    for (phase, name) in PHASES {
        let mut sums = [Outcome::default(), Outcome::default()];
        let mut extras = [0, 0];
        for _ in 0..TURNS {
            for (index, system) in systems.iter_mut().enumerate() {
                let (outcome, extra) = system.turn(phase, number).await;
                number += 1 << 16;
                sums[index].add(outcome);
                extras[index] += extra;
            }
        }
        let quantiles = sums.each_mut().map(|sum| {
            (
                quantile(&mut sum.lookups, 0.5),
                quantile(&mut sum.lookups, 0.99),
            )
        });
        for index in 0..2 {
            let percent = 100.0 * extras[index] as f64 / sums[index].calls as f64;
            let late = late(&sums[index].lookups);
            let longest = quantile(&mut sums[index].lookups, 1.0);
            report.line(&[
                ("phase", &name),
                ("hedged", &systems[index].hedged),
                ("lookups", &sums[index].lookups.len()),
                ("orders", &sums[index].orders),
                ("failed", &sums[index].failed),
                ("p50_ms", &format!("{:.2}", quantiles[index].0)),
                ("p99_ms", &format!("{:.2}", quantiles[index].1)),
                ("late", &late),
                ("max_ms", &format!("{longest:.0}")),
                ("extra_calls", &extras[index]),
                ("extra_percent", &format!("{percent:.1}")),
            ]);
            if phase == Phase::Slow && systems[index].hedged {
                report.at_most("slow_extra_percent", EXTRA_PERCENT, percent);
            }
        }
        let allowed = allowed(sums[1].calls);
        report.at_most(&format!("{name}_extra_calls"), allowed, extras[1] as f64);
        let failed = sums[0].failed + sums[1].failed;
        report.at_most(&format!("{name}_failed"), 0.0, failed as f64);
        if matches!(phase, Phase::Pauses | Phase::Stall) {
            // Hedging that does not help costs load for nothing.
            let ratio = quantiles[1].1 / quantiles[0].1;
            report.at_most(&format!("{name}_p99_ratio"), 1.0, ratio);
        }
    }
    let doubled: usize = systems.iter().map(System::doubled).sum();
    report.at_most("orders_doubled", 0.0, doubled as f64);
    stop.cancel();
}

/// Counts the look-ups that took longer than most of a pause.
fn late(lookups: &[Duration]) -> usize {
    lookups.iter().filter(|latency| **latency >= LATE).count()
}

/// Returns the extra calls that the budget's settings allow over the turns of a
/// phase.
fn allowed(calls: u64) -> f64 {
    let budget = budget::Settings::default();
    let seconds = TURN.as_secs_f64() * TURNS as f64;
    let saved = budget.max_balance - f64::from(Hedge::default().reserve);
    budget.retries_per_success * calls as f64 + budget.retries_per_second * seconds + saved
}

//! Replays load beyond the capacity of many gateways, with unlike workspaces and priorities.

mod support;

use std::time::Duration;

use support::fleet::mix::{Mix, Served, Surge};
use support::fleet::{Fleet, Load};

const DURATION: Duration = Duration::from_millis(1_850);
/// Part of the slots that calls can use at once.
const FLEETS: [(usize, usize, u32); 2] = [(4, 12, 12), (59, 192, 6)];
/// Offered load, in multiples of the capacity.
const OVERLOAD: f64 = 1.5;
/// Most that the ratio of the other workspaces may fall by in a surge of one.
const MAX_LOSS: f64 = 0.05;
/// Least ratio of a workspace or a priority, relative to that of all calls.
const MIN_RELATIVE: f64 = 0.25;
const COUNTED: (Duration, Duration) = (Duration::from_secs(15), Duration::from_secs(30));

/// Two large workspaces, six medium ones and sixteen small ones.
fn workspaces() -> Vec<f64> {
    let sizes = (0..24).map(|index| match index {
        0 | 1 => 0.15,
        2..8 => 0.06,
        _ => 0.0213,
    });
    sizes.collect()
}

fn capacity(upstreams: usize, slots: u32) -> f64 {
    upstreams as f64 * f64::from(slots) / DURATION.as_secs_f64()
}

/// Whether calls are admitted by shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rule {
    Former,
    Shares,
}

fn play(fleet: &mut Fleet, rule: Rule, capacity: f64, surge: Option<(usize, f64)>) -> Served {
    let span = (Duration::from_secs(12), COUNTED.1);
    if rule == Rule::Shares {
        fleet.set_priorities();
    }
    fleet.set_mix(Mix {
        workspaces: workspaces(),
        surge: surge.map(|(workspace, factor)| Surge {
            workspace,
            factor,
            span,
        }),
        quiet: (0.5, Duration::from_secs(8)),
        counted: COUNTED,
        has_repeats: true,
    });
    fleet.play(Load {
        calls_per_second: capacity * OVERLOAD,
        mean_duration: DURATION,
        length: COUNTED.1 + Duration::from_secs(4),
    });
    fleet.served()
}

fn print(label: &str, served: &Served, capacity: f64, surging: Option<usize>) {
    let priorities = [0, 1, 2].map(|one| served.sum(|_, priority| priority == one).ratio());
    let others = served
        .sum(|workspace, _| Some(workspace) != surging)
        .ratio();
    let own = served
        .sum(|workspace, _| Some(workspace) == surging)
        .ratio();
    let best = served.best_value(capacity * COUNTED.1.saturating_sub(COUNTED.0).as_secs_f64());
    println!(
        "{label}: by priority {:.3} {:.3} {:.3}, others {others:.3}, surging {own:.3}, \
         value {:.3} of the best",
        priorities[0],
        priorities[1],
        priorities[2],
        served.value() / best,
    );
}

/// Regression: calls with a short objective were refused at once, and those with a longer one
/// waited and got each slot that became free, so that the least urgent calls were served best.
#[test]
fn regression_more_urgent_calls_are_served_no_worse_in_overload() {
    let mut failures = Vec::new();
    for (gateways, upstreams, slots) in FLEETS {
        let capacity = capacity(upstreams, slots);
        for seed in 0..2 {
            let mut served = Served::default();
            for rule in [Rule::Former, Rule::Shares] {
                let mut fleet = Fleet::new(gateways, upstreams, slots, seed);
                served = play(&mut fleet, rule, capacity, None);
                let label = format!("{gateways} gateways, seed {seed}, {rule:?}");
                print(&label, &served, capacity, None);
            }
            let ratio = |one| served.sum(|_, priority| priority == one).ratio();
            let all = served.sum(|_, _| true).ratio();
            let is_ordered = ratio(0) >= ratio(1) && ratio(1) >= ratio(2);
            if !is_ordered || ratio(2) < MIN_RELATIVE * all {
                failures.push((gateways, seed, [ratio(0), ratio(1), ratio(2), all]));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:?}");
}

/// Regression: a workspace that sent a multiple of its usual calls took the slots of the others.
#[test]
fn regression_a_surge_of_one_workspace_does_not_harm_the_others() {
    let mut failures = Vec::new();
    for (gateways, upstreams, slots) in FLEETS {
        let capacity = capacity(upstreams, slots);
        let mut fleet = Fleet::new(gateways, upstreams, slots, 0);
        let usual = play(&mut fleet, Rule::Shares, capacity, None);
        for (workspace, factor) in [(0, 10.0), (2, 12.0), (8, 30.0)] {
            let mut served = Served::default();
            for rule in [Rule::Former, Rule::Shares] {
                let mut fleet = Fleet::new(gateways, upstreams, slots, 0);
                served = play(&mut fleet, rule, capacity, Some((workspace, factor)));
                let label =
                    format!("{gateways} gateways, workspace {workspace} x {factor}, {rule:?}");
                print(&label, &served, capacity, Some(workspace));
            }
            let others = |served: &Served| served.sum(|one, _| one != workspace).ratio();
            let (before, during) = (others(&usual), others(&served));
            let own = served.sum(|one, _| one == workspace).ratio();
            let all = served.sum(|_, _| true).ratio();
            if during < before - MAX_LOSS || own < MIN_RELATIVE * all {
                failures.push((gateways, workspace, [before, during, own, all]));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:?}");
}

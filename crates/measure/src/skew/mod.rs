//! Skew of the step time across ranks, and what rebalancing costs.
//!
//! A few layers stand for a model of [`MODEL_LAYERS`] layers that behave
//! alike. Popularity is sampled anew for each report and each step; reports are
//! late and some are lost. All policies see the same samples.

pub mod policy;
pub mod trace;

use std::collections::VecDeque;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sesamerock_place::cost::Model;
use sesamerock_place::map::Map;

use crate::clock::percentile;
use crate::report::Report;
use policy::{News, Policy, place, times};
use trace::{Kind, Trace};

/// Layers that are simulated.
const LAYERS: usize = 2;
/// Layers of the model they stand for.
const MODEL_LAYERS: usize = 60;
/// Tokens per rank and layer in one step.
const RANK_TOKENS: f64 = 512.0;
/// Steps per second.
const STEPS: u32 = 20;
/// Delay of the reports in seconds.
const DELAY_S: u32 = 2;
/// Part of the reports that are lost.
const LOST: f64 = 0.05;
/// A gap in all reports, in seconds, in the middle of a trace.
const GAP_S: u32 = 60;
/// Slots per rank beyond one replica of each expert.
const SPARE: u16 = 1;
/// Period of the full greedy: 3,000 steps.
const PERIOD_S: u32 = 150;
/// A longer period of the full greedy, for comparison.
const LONG_PERIOD_S: u32 = 600;

const SIZES: [(usize, usize); 3] = [(8, 64), (32, 256), (64, 256)];
const TRACES: [(Kind, &str, u32); 4] = [
    (Kind::Drift, "drift", 14_400),
    (Kind::Swap, "swap", 1_800),
    (Kind::Slow, "slow", 1_800),
    (Kind::Noise, "noise", 3_600),
];

/// The result of one policy on one trace.
#[derive(Debug, Default)]
struct Figures {
    policy: String,
    skews: Vec<f64>,
    moved: usize,
    /// Sum of the expert time of the sampled steps in seconds.
    time: f64,
}

/// Runs the measure.
pub fn run(seed: u64, report: &mut Report) {
    let cases: Vec<_> = SIZES
        .iter()
        .flat_map(|size| TRACES.iter().map(move |trace| (*size, *trace)))
        .collect();
    let results: Vec<_> = std::thread::scope(|scope| {
        let start = |case: &((usize, usize), (Kind, &str, u32))| {
            let ((ranks, experts), (kind, _, seconds)) = *case;
            scope.spawn(move || simulate(kind, ranks, experts, seconds, seed))
        };
        let threads: Vec<_> = cases.iter().map(start).collect();
        let join = |thread: std::thread::ScopedJoinHandle<'_, _>| thread.join();
        threads.into_iter().map(join).collect()
    });
    for (((ranks, experts), (kind, name, seconds)), result) in cases.iter().zip(results) {
        let figures: Vec<Figures> = result.expect("a simulation does not panic");
        let size = format!("{ranks}x{experts}");
        compare(&size, *kind, name, *seconds, figures, report);
    }
}

fn model() -> Model {
    let layer = Duration::from_micros(500);
    Model {
        // The rest of a step of 50 ms, including the layers that are not
        // simulated.
        fixed: Duration::from_millis(50).saturating_sub(layer * LAYERS as u32),
        token_time: layer.as_secs_f64() / RANK_TOKENS,
        ..Model::default()
    }
}

fn simulate(kind: Kind, ranks: usize, experts: usize, seconds: u32, seed: u64) -> Vec<Figures> {
    let mut trace = Trace::new(kind, ranks, experts, LAYERS, seconds, seed);
    let slots = vec![(experts / ranks) as u16 + SPARE; ranks];
    let empty = Map {
        slots,
        layers: Vec::new(),
    };
    let first = place(&empty, &trace.shares(0), &trace.speeds(0));
    let greedy = |period| Policy::Greedy {
        map: first.clone(),
        period,
        window: VecDeque::new(),
        speeds: vec![1.0; ranks],
    };
    let mut policies = [
        Policy::Static(first.clone()),
        greedy(PERIOD_S),
        greedy(LONG_PERIOD_S),
        Policy::Oracle {
            map: first.clone(),
            speeds: vec![1.0; ranks],
        },
        Policy::Choices {
            map: first.clone(),
            window: VecDeque::new(),
            rng: Box::new(ChaCha8Rng::seed_from_u64(seed)),
        },
        Policy::ours(first.clone(), model()),
    ];
    let mut figures: Vec<_> = policies
        .iter()
        .map(|policy| Figures {
            policy: policy.name(),
            ..Figures::default()
        })
        .collect();
    let tokens = RANK_TOKENS * ranks as f64;
    let mut late = VecDeque::new();
    for second in 0..seconds {
        trace.step(second);
        let shares = trace.shares(second);
        let speeds = trace.speeds(second);
        let counts = trace.sample(&shares, tokens * f64::from(STEPS));
        let gap = (seconds / 2..seconds / 2 + GAP_S).contains(&second);
        if !trace.chance(LOST) && !gap {
            late.push_back((second, counts));
        }
        let due = late
            .iter()
            .take_while(|(at, _)| at + DELAY_S <= second)
            .count();
        let reports: Vec<_> = late.drain(..due).collect();
        let measured: Vec<_> = speeds.iter().map(|speed| trace.measured(*speed)).collect();
        let news = News {
            second,
            reports: &reports,
            steps: STEPS,
            speeds: &measured,
            true_shares: &shares,
            true_speeds: &speeds,
        };
        let step = trace.sample(&shares, tokens);
        let step: Vec<Vec<f64>> = step
            .iter()
            .map(|counts| counts.iter().map(|count| f64::from(*count)).collect())
            .collect();
        for (policy, figures) in policies.iter_mut().zip(&mut figures) {
            figures.moved += policy.round(&news);
            let (max, mean) = step_times(policy, &step, &speeds);
            figures.skews.push(max / mean);
            figures.time += max * model().token_time;
        }
    }
    figures
}

/// Returns the sums over layers of the maximum and of the mean of the ranks'
/// times in one step, in tokens.
fn step_times(policy: &Policy, step: &[Vec<f64>], speeds: &[f64]) -> (f64, f64) {
    let mut max = 0.0;
    let mut mean = 0.0;
    for (layer, counts) in step.iter().enumerate() {
        let mut ranks = vec![0.0; speeds.len()];
        times(
            policy.map(),
            layer,
            counts,
            policy.routing(),
            speeds,
            &mut ranks,
        );
        max += ranks.iter().copied().fold(0.0, f64::max);
        mean += ranks.iter().sum::<f64>() / ranks.len() as f64;
    }
    (max, mean)
}

fn compare(
    size: &str,
    kind: Kind,
    name: &str,
    seconds: u32,
    mut figures: Vec<Figures>,
    report: &mut Report,
) {
    let scale = (MODEL_LAYERS / LAYERS) as f64;
    let fixed = 0.02;
    // Time of all steps and stalls of the whole model.
    let total = |figures: &Figures| {
        let steps = f64::from(STEPS) * (figures.time * scale + fixed * figures.skews.len() as f64);
        steps + stall(figures) * scale
    };
    let base = total(&figures[0]);
    let bytes = |moved: usize| moved as f64 * model().expert_bytes as f64;
    let mut p95 = Vec::new();
    for figures in &mut figures {
        let free = figures.policy == "oracle";
        let gain = 1.0 - total(figures) / base;
        let stall = if free { 0.0 } else { stall(figures) };
        let tail = percentile(&mut figures.skews, 0.95);
        p95.push(tail);
        report.line(&[
            ("size", &size),
            ("trace", &name),
            ("seconds", &seconds),
            ("policy", &figures.policy),
            (
                "skew_p50",
                &format!("{:.4}", percentile(&mut figures.skews, 0.50)),
            ),
            ("skew_p95", &format!("{tail:.4}")),
            ("moved", &figures.moved),
            (
                "gib",
                &format!("{:.1}", bytes(figures.moved) / f64::from(1 << 30)),
            ),
            ("stall_s", &format!("{stall:.2}")),
            ("net_gain", &format!("{gain:.4}")),
        ]);
    }
    let [_, greedy, _, _, _, ours] = &*figures else {
        return;
    };
    match kind {
        Kind::Drift => {
            report.at_most(
                &format!("{size}-drift-p95-over-oracle"),
                1.03,
                p95[5] / p95[3],
            );
            let ratio = ours.moved as f64 / greedy.moved.max(1) as f64;
            report.at_most(&format!("{size}-drift-bytes-over-greedy"), 0.1, ratio);
        }
        Kind::Noise => report.at_most(&format!("{size}-noise-moves"), 0.0, ours.moved as f64),
        Kind::Swap | Kind::Slow => {}
    }
}

/// Returns the time lost to transfers in seconds; the oracle's are free.
fn stall(figures: &Figures) -> f64 {
    if figures.policy == "oracle" {
        return 0.0;
    }
    figures.moved as f64 * model().transfer_cost()
}

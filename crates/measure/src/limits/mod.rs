//! Measures learned limits against baselines and an oracle.
//!
//! Open-loop load from four entries on twelve engines with hidden, different
//! and drifting capacities, all cold at first and one turning cold later
//! without notice. The policies see the same engines and the same arrivals.
//! `docs/notes/limits.md` explains the figures.

mod engine;
mod outcome;
mod policy;
mod rival;
mod traffic;
mod world;

use engine::Kind;
use outcome::Outcomes;
use policy::Policy;
use world::World;

use crate::report::Report;

/// Bounds of `docs/design.md`, section 11.
const BEYOND_FIRST_PROBE: f64 = 0.0;
const GOODPUT_OF_ORACLE: f64 = 0.95;

/// Runs all policies on one seed.
pub fn run(seed: u64, report: &mut Report) {
    let runs: Vec<_> = Policy::ALL
        .iter()
        .map(|policy| (*policy, World::new(seed, *policy).run()))
        .collect();
    let of = |wanted| runs.iter().find(|(policy, _)| *policy == wanted);
    let good = |out: &Outcomes| out.in_time as f64 / out.offered as f64;
    let oracle = of(Policy::Oracle).map_or(1.0, |(_, out)| good(out));
    for (policy, out) in &runs {
        print(report, *policy, out, good(out) / oracle);
    }
    let Some((_, learned)) = of(Policy::Learned) else {
        return;
    };
    let beyond = learned.excess(None).beyond_first;
    report.at_most(
        "over_capacity_calls_beyond_first_probe",
        BEYOND_FIRST_PROBE,
        f64::from(beyond),
    );
    report.at_least(
        "goodput_of_oracle",
        GOODPUT_OF_ORACLE,
        good(learned) / oracle,
    );
}

fn print(report: &Report, policy: Policy, out: &Outcomes, of_oracle: f64) {
    let excess = out.excess(None);
    let of_kind = |kind| out.excess(Some(kind)).beyond_first;
    let seconds = |quantile| out.latency.value_at_quantile(quantile) as f64 / 1e6;
    report.line(&[
        ("policy", &policy.name()),
        ("offered", &out.offered),
        ("in_time", &out.in_time),
        ("goodput_of_oracle", &format!("{of_oracle:.4}")),
        ("p50_s", &format!("{:.2}", seconds(0.5))),
        ("p99_s", &format!("{:.2}", seconds(0.99))),
        ("over_capacity_calls", &excess.all),
        ("beyond_first_probe", &excess.beyond_first),
        ("of_slowing", &of_kind(Kind::Slowing)),
        ("of_pressed", &of_kind(Kind::Pressed)),
        ("of_silent", &of_kind(Kind::Silent)),
        ("while_already_over", &excess.repeated),
        ("engine_falls", &out.falls()),
        ("crashed_calls", &out.crashed),
        ("refused_calls", &out.refused),
        ("refusals", &out.refusals),
        ("expired_calls", &out.expired),
        ("limit_resets", &out.resets),
    ]);
}

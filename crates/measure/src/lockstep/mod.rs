//! What a switch in lock-step costs: stalls, messages, time to resume.
//!
//! The state machines of `sesamerock-group` run in virtual time. Bounds come
//! from the design's control-plane budget and from the settings of the group.

use std::time::Duration;

use sesamerock_group::leader::Settings;
use sesamerock_group::sizing;
use sesamerock_standin::lockstep::{Faults, Group, STAGING};

use crate::report::Report;

/// Ranks of the group at the target size.
const RANKS: u32 = 64;
/// Control-plane budget of a node, in bytes a second.
const BUDGET: f64 = 6_000.0;
/// Time for a group to get under way.
const WARM_UP: Duration = Duration::from_secs(20);
/// Time measured.
const TIME: Duration = Duration::from_mins(1);
/// Seeds of the schedules with faults.
const SEEDS: u64 = 100;

/// Runs the measure.
pub fn run(seed: u64, report: &mut Report) {
    let settings = Settings::of(0, RANKS);
    for switch in [300, 1_000, 3_000].map(Duration::from_millis) {
        let pace = sizing::Settings {
            switch_time: switch,
            ..settings.sizing
        };
        quiet(
            Settings {
                sizing: pace,
                ..settings
            },
            seed,
            report,
        );
    }
    let quiet = quiet(settings, seed, report);
    report.at_most("leader_bytes_per_s", BUDGET, quiet.leader);
    report.at_most("stalled_ms", 0.0, quiet.stalled_ms);
    // A switch begins when the leader hears that the last rank has staged.
    let bound = settings.sizing.switch_time + settings.heartbeat + STAGING;
    report.at_most("switch_ms", millis(bound), quiet.switch_ms);
    faults(seed, report);
}

struct Quiet {
    leader: f64,
    stalled_ms: f64,
    switch_ms: f64,
}

/// Measures a group without faults that switches maps every few seconds.
fn quiet(settings: Settings, seed: u64, report: &Report) -> Quiet {
    let mut group = Group::with(settings, seed, Faults::NONE);
    group.run(WARM_UP);
    let (before, stalled) = (group.sent().to_vec(), group.stalled());
    let switches = group.switch_delays().len();
    let steps = group.steps();
    group.run(TIME);
    let after = group.sent().iter().zip(before);
    let bytes: Vec<_> = after.map(|(after, before)| after - before).collect();
    let rate = |bytes: Option<&u64>| bytes.copied().unwrap_or(0) as f64 / TIME.as_secs_f64();
    let quiet = Quiet {
        leader: rate(bytes.iter().max()),
        stalled_ms: millis(group.stalled().saturating_sub(stalled)),
        switch_ms: group.switch_delays()[switches..]
            .iter()
            .max()
            .map_or(f64::INFINITY, |longest| millis(*longest)),
    };
    report.line(&[
        ("ranks", &settings.ranks),
        ("switch_target_ms", &settings.sizing.switch_time.as_millis()),
        ("steps", &(group.steps() - steps)),
        ("stalled_ms", &quiet.stalled_ms),
        ("leader_bytes_per_s", &quiet.leader),
        ("member_bytes_per_s", &rate(bytes.iter().min())),
        ("switches", &(group.switch_delays().len() - switches)),
        ("longest_switch_ms", &quiet.switch_ms),
    ]);
    quiet
}

/// Measures the time to resume after faults, and looks for mixed steps.
fn faults(seed: u64, report: &mut Report) {
    let mut violations = 0;
    let mut steps = 0;
    let mut longest = Duration::ZERO;
    let settings = Settings::of(0, 8);
    // One silence, two turns of every rank, and the staging of maps on an
    // engine that joins.
    let turns = settings.stagger * settings.ranks * 2;
    let bound = settings.leader_timeout + turns + STAGING;
    for seed in seed..seed + SEEDS {
        let mut group = Group::with(settings, seed, Faults::ALL);
        group.run(Duration::from_secs(8));
        group.restart_leaders_and_crash_engine();
        group.clear_faults();
        steps += group.steps();
        longest = longest.max(group.run_until_step(bound * 10).unwrap_or(bound * 10));
        violations += u32::from(group.violation().is_some());
    }
    report.line(&[
        ("ranks", &settings.ranks),
        ("seeds", &SEEDS),
        ("steps_under_faults", &steps),
    ]);
    report.at_most("violations", 0.0, f64::from(violations));
    report.at_most("resume_ms", millis(bound), millis(longest));
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

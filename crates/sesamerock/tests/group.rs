//! A group of four agents over real connections, with stand-in engines that step in lockstep and
//! record the expert map of every step.

mod lockstep;

use std::time::{Duration, Instant};

use lockstep::Lockstep;
use sesamerock::settings::placement::Placement;
use sesamerock_client::engine;
use sesamerock_standin::engine::group::Traffic;
use sesamerock_standin::proxy::Fault;

const RANKS: usize = 4;
/// Steps between two faults or switches.
const STEPS_BETWEEN_FAULTS: usize = 30;
/// Longest time until the group resumes after the agent of a stopped leader has started again:
/// the agent reads the control state, and the group may have to wait for one leader timeout
/// until the next rank takes over.
const RESUME_TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against steps with different maps on different ranks and against lost steps while maps
/// are switched and the leader is stopped and started.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn maps_switch_in_lockstep_while_the_leader_restarts() {
    let mut group = Lockstep::start(RANKS).await;
    group.wait_steps(STEPS_BETWEEN_FAULTS).await;
    let mut map = 0;
    for _ in 0..3 {
        for _ in 0..2 {
            map += 1;
            group.switch(map).await;
            group.wait_steps(STEPS_BETWEEN_FAULTS).await;
        }
        let leader = group.leader().await;
        group.stop_agent(leader).await;
        let before = group.group.steps().len();
        // The next leader receives the switch while a rank is missing.
        map += 1;
        group.map.send_replace(Some(map));
        let start = Instant::now();
        group.start_agent(leader).await;
        group.wait_map(map).await;
        let elapsed = start.elapsed();
        let steps = group.group.steps().len() - before;
        println!("leader={leader} resumed_with_the_new_map={elapsed:?} steps={steps}");
        assert!(elapsed < RESUME_TIMEOUT, "{elapsed:?}");
        group.wait_steps(STEPS_BETWEEN_FAULTS).await;
    }
    group.check();
    println!("steps={} switches={map}", group.group.steps().len());
}

/// Guards against a restarted engine that joins at a wrong step or with a map that it has not
/// loaded.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_crashed_engine_joins_at_the_current_step() {
    let group = Lockstep::start(RANKS).await;
    group.switch(1).await;
    for engine in &group.engines {
        group.wait_steps(STEPS_BETWEEN_FAULTS).await;
        engine.crash();
    }
    group.wait_steps(STEPS_BETWEEN_FAULTS).await;
    group.wait_map(1).await;
    group.check();
}

/// Guards against steps with different maps on different ranks when a rank executes the leader's
/// requests but its replies are lost, so that leaders replace each other, and when no request
/// reaches the rank.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_unreachable_rank_deposes_the_leader_and_no_step_is_mixed() {
    let group = Lockstep::start(RANKS).await;
    group.switch(1).await;
    for (map, fault) in [(2, Fault::DropAnswers), (3, Fault::Cut)] {
        group.wait_steps(STEPS_BETWEEN_FAULTS).await;
        let leader = group.leader().await;
        let rank = (leader + 1) % RANKS;
        group.proxies[rank].set(fault);
        group.map.send_replace(Some(map));
        // The rank can still reach the others, so it may become their leader.
        group.wait_deposed(leader).await;
        let start = Instant::now();
        group.proxies[rank].set(Fault::Pass);
        group.wait_map(map).await;
        println!("fault={fault:?} resumed={:?}", start.elapsed());
        assert!(start.elapsed() < RESUME_TIMEOUT, "{:?}", start.elapsed());
    }
    group.wait_steps(STEPS_BETWEEN_FAULTS).await;
    group.check();
}

/// Guards against a map switch that cannot complete while the log is down.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn maps_switch_while_the_log_is_down() {
    let group = Lockstep::start(RANKS).await;
    group.wait_steps(STEPS_BETWEEN_FAULTS).await;
    group.set_platform_down(true);
    group.switch(1).await;
    group.switch(2).await;
    group.wait_steps(STEPS_BETWEEN_FAULTS).await;
    group.check();
}

const LAYERS: usize = 2;
const EXPERTS: u16 = 16;
/// Steps without a change of expert popularity; enough for about ten rounds of a planner.
const NOISE_STEPS: usize = 500;
/// Number of steps over which skew is averaged.
const SKEW_STEPS: usize = 50;

/// Returns traffic in which all experts are equally popular.
fn even_traffic() -> Traffic {
    let hosts = (0..EXPERTS).map(|expert| vec![expert % RANKS as u16]);
    Traffic {
        first: engine::Placement {
            slots: vec![EXPERTS / RANKS as u16 + 2; RANKS],
            layers: vec![hosts.collect(); LAYERS],
        },
        tokens: 4_000.0,
        token_time: 4e-7,
        shares: vec![vec![1.0 / f64::from(EXPERTS); usize::from(EXPERTS)]; LAYERS],
        ..Traffic::default()
    }
}

/// Returns shares of tokens by which each expert that the first map places on `rank` gets four
/// times the tokens of any other expert.
fn shifted_shares(rank: u16) -> Vec<Vec<f64>> {
    let weight = |expert| {
        if expert % RANKS as u16 == rank {
            4.0
        } else {
            1.0
        }
    };
    let total: f64 = (0..EXPERTS).map(weight).sum();
    vec![(0..EXPERTS).map(|expert| weight(expert) / total).collect(); LAYERS]
}

fn placement() -> Placement {
    Placement {
        collect: Some(Duration::from_millis(200)),
        expert_bytes: 1 << 20,
        token_ns: 400,
        fixed_step: Duration::from_millis(2),
        memory: Duration::from_secs(2),
        straggler_hold: Duration::from_millis(500),
        ..Placement::default()
    }
}

/// Guards against a planner that is never run or that reacts to noise, and against a map number
/// for which ranks have different placements.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn placement_follows_popularity_and_a_slow_rank_but_not_noise() {
    let group = Lockstep::start_with(RANKS, even_traffic(), placement()).await;
    group.wait_steps(NOISE_STEPS).await;
    let mut steps = group.group.steps();
    steps.retain(|step| step.maps != vec![0; RANKS]);
    assert_eq!(steps, [], "the map changed on noise");

    group
        .group
        .with_traffic(|traffic| traffic.shares = shifted_shares(0));
    group.wait_steps(SKEW_STEPS).await;
    let shifted = group.skew(SKEW_STEPS);
    let relieved = wait_skew(&group, shifted).await;
    println!("popularity: skew={shifted:.3} then={relieved:.3}");

    // A restarted engine must receive the placement of the planned map.
    group.engines[1].crash();
    group.wait_steps(SKEW_STEPS).await;
    assert_ne!(group.last_map(), 0);

    group
        .group
        .with_traffic(|traffic| traffic.speeds = vec![1.0, 1.0, 0.5, 1.0]);
    group.wait_steps(SKEW_STEPS).await;
    let slowed = group.skew(SKEW_STEPS);
    let map = group.last_map();
    let relieved = wait_skew(&group, slowed).await;
    println!("slow rank: skew={slowed:.3} then={relieved:.3}");
    assert_ne!(group.last_map(), map);
    group.check();
    group.check_contents();
}

/// Guards against a group that stops, mixes maps or uses one map number for two placements when
/// the leader that planned a map stops before the map is in use.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_leader_stopped_between_planning_and_switching_is_replaced() {
    let mut group = Lockstep::start_with(RANKS, even_traffic(), placement()).await;
    group.wait_steps(STEPS_BETWEEN_FAULTS).await;
    // Staging takes longer than it takes to stop the leader.
    for engine in &group.engines {
        engine.configure(|settings| settings.staging = Duration::from_secs(2));
    }
    group
        .group
        .with_traffic(|traffic| traffic.shares = shifted_shares(0));
    let planned = group.wait_staging().await;
    group.wait_steps(SKEW_STEPS).await;
    assert_eq!(group.last_map(), 0);
    let shifted = group.skew(SKEW_STEPS);
    let leader = group.leader().await;
    group.stop_agent(leader).await;
    // The next leader must plan a different placement.
    group
        .group
        .with_traffic(|traffic| traffic.shares = shifted_shares(1));
    group.start_agent(leader).await;
    let relieved = wait_skew(&group, shifted).await;
    let used = group.last_map();
    println!("leader={leader} planned={planned} used={used} skew={shifted:.3} then={relieved:.3}");
    assert_ne!(used, 0);
    assert_ne!(used, planned);
    group.check();
    group.check_contents();
}

/// Guards against a switch whose transfers the weight store has not permitted, and against a
/// group that does not back off after a refusal.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn transfers_wait_for_the_weight_store() {
    let group = Lockstep::start_with(RANKS, even_traffic(), placement()).await;
    group.wait_steps(STEPS_BETWEEN_FAULTS).await;
    group.set_platform_down(true);
    group
        .group
        .with_traffic(|traffic| traffic.shares = shifted_shares(0));
    group.wait_steps(NOISE_STEPS).await;
    assert_eq!(
        group.last_map(),
        0,
        "the map changed without a permitted transfer"
    );
    let shifted = group.skew(SKEW_STEPS);
    // One sixty-fourth of the store's limit in the settings.
    group.set_weight_rate(4 << 20);
    group.set_platform_down(false);
    let relieved = wait_skew(&group, shifted).await;
    let refused = group.weights_refused();
    println!("refused={refused} skew={shifted:.3} then={relieved:.3}");
    assert!(refused > 0, "the weight store refused no transfer");
    group.check();
}

/// Waits until the excess of the skew over 1 is at most half of that of `before`, and returns the
/// skew.
async fn wait_skew(group: &Lockstep, before: f64) -> f64 {
    let bound = 1.0 + (before - 1.0) / 2.0;
    let low = |steps: &[sesamerock_standin::engine::group::Step]| {
        let last = &steps[steps.len().saturating_sub(SKEW_STEPS)..];
        let mean = last.iter().map(|step| step.skew).sum::<f64>() / last.len() as f64;
        mean <= bound
    };
    group.wait("lower skew", low).await;
    group.skew(SKEW_STEPS)
}

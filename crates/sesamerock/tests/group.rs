//! A group of four agents over real connections, with engines that step
//! together and record the map of every step.

mod lockstep;

use std::time::{Duration, Instant};

use lockstep::Lockstep;
use sesamerock_standin::proxy::Fault;

const RANKS: usize = 4;
/// Steps between two faults or switches.
const STEPS: usize = 30;
/// Time to resume after the agent of a stopped leader is back: it reads the
/// control state, and one silence and turn of the next rank may have to pass.
const RESUME: Duration = Duration::from_secs(5);

/// Guards against mixed steps and lost steps while maps are switched and the
/// leader is stopped and started.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn maps_switch_in_lockstep_while_the_leader_restarts() {
    let mut group = Lockstep::start(RANKS).await;
    group.wait_steps(STEPS).await;
    let mut map = 0;
    for _ in 0..3 {
        for _ in 0..2 {
            map += 1;
            group.switch(map).await;
            group.wait_steps(STEPS).await;
        }
        let leader = group.leader().await;
        group.stop_agent(leader).await;
        let before = group.group.steps().len();
        // The next leader learns of the switch while a rank is missing.
        map += 1;
        group.map.send_replace(Some(map));
        let start = Instant::now();
        group.start_agent(leader).await;
        group.wait_map(map).await;
        let took = start.elapsed();
        let ran = group.group.steps().len() - before;
        println!("leader={leader} resumed_with_the_new_map={took:?} steps={ran}");
        assert!(took < RESUME, "{took:?}");
        group.wait_steps(STEPS).await;
    }
    group.check();
    println!("steps={} switches={map}", group.group.steps().len());
}

/// Guards against an engine that joins at a wrong step or with a map it lacks.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_engine_that_crashes_joins_at_the_present_step() {
    let group = Lockstep::start(RANKS).await;
    group.switch(1).await;
    for engine in &group.engines {
        group.wait_steps(STEPS).await;
        engine.crash();
    }
    group.wait_steps(STEPS).await;
    group.wait_map(1).await;
    group.check();
}

/// Guards against mixed steps when a rank does what a leader asks and no reply
/// gets back, so that leaders replace each other, and when it is cut off.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_rank_out_of_reach_ends_its_leader_and_no_step_is_mixed() {
    let group = Lockstep::start(RANKS).await;
    group.switch(1).await;
    for (map, fault) in [(2, Fault::DropAnswers), (3, Fault::Cut)] {
        group.wait_steps(STEPS).await;
        let leader = group.leader().await;
        let rank = (leader + 1) % RANKS;
        group.proxies[rank].set(fault);
        group.map.send_replace(Some(map));
        // The rank still reaches the others, so that it may lead them itself.
        group.wait_deposed(leader).await;
        let start = Instant::now();
        group.proxies[rank].set(Fault::Pass);
        group.wait_map(map).await;
        println!("fault={fault:?} resumed={:?}", start.elapsed());
        assert!(start.elapsed() < RESUME, "{:?}", start.elapsed());
    }
    group.wait_steps(STEPS).await;
    group.check();
}

/// Guards against a switch that needs the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn maps_switch_while_the_log_is_down() {
    let group = Lockstep::start(RANKS).await;
    group.wait_steps(STEPS).await;
    group.set_platform_down(true);
    group.switch(1).await;
    group.switch(2).await;
    group.wait_steps(STEPS).await;
    group.check();
}

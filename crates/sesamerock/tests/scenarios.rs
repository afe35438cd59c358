//! Runs each scenario in `tests/scenarios` against a system of real processes.

mod chaos;
mod support;

use sesamerock_scenario::run::run;
use sesamerock_scenario::script::Script;
use support::world::{ProcessWorld, Size};
use tokio::sync::Mutex;

/// Serializes the tests. Each system has a dozen processes; two systems at once would
/// compete for the cores and distort the timing that the scenarios check.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

async fn run_scenario(name: &str, text: &str) {
    let _guard = ONE_AT_A_TIME.lock().await;
    let script = Script::parse(text).unwrap_or_else(|faults| panic!("{name}: {faults:?}"));
    let mut world = ProcessWorld::start(name, Size::default()).await;
    if let Err(failure) = run(&script, &mut world).await {
        panic!("{name}.scenario, {failure}\n{}", world.explain());
    }
}

macro_rules! scenarios {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
        async fn $name() {
            let text = include_str!(concat!("scenarios/", stringify!($name), ".scenario"));
            run_scenario(stringify!($name), text).await;
        }
    )+};
}

scenarios! {
    /// Guards against lost, mixed-up or duplicate answers when no fault is injected.
    calm,
    /// Guards against a stream that breaks off at the caller when the agent that relays it is
    /// killed.
    agent_killed,
    /// Guards against orders that are executed twice when an entry is killed.
    entry_killed,
    /// Guards against new calls in a zone that is out of service.
    zone_out,
    /// Guards against requests that fail because the platform is down.
    platform_down,
    /// Guards against orders that are executed twice when the log stores an append and its
    /// response is lost.
    log_answers_lost,
    /// Guards against an agent that holds a key, is paused beyond its time-outs and continues
    /// with state that has expired.
    holder_paused,
    /// Guards against two executions of one key that arrives at several entries at once.
    same_key_everywhere,
    /// Guards against one request that crashes engine after engine because it is retried.
    poison,
    /// Guards against calls beyond the capacity of an engine that returns to its cold start.
    engine_cools,
    /// Guards against a planned stop that interrupts requests.
    planned_stop,
    /// Guards against new calls at an isolated node that may have missed an operator's
    /// command.
    node_isolated,
    /// Guards against two conflicting notes of two operators that are both accepted.
    operators_race,
    /// Guards against state lost when every process is replaced.
    all_replaced,
    /// Guards against errors that only appear when two faults overlap.
    two_faults,
    /// Guards against all engines of a model loading a version at once.
    rollout,
    /// Guards against a rollout that never ends where only one version fits into an engine's
    /// memory, and against a rollout that unloads the last warm engine.
    rollout_no_room,
    /// Guards against transfers beyond the limit of the weight store, and against a rollout
    /// that does not continue after the store has refused transfers.
    rollout_store_refuses,
    /// Guards against a rollout that counts a killed agent as finished and continues.
    rollout_agent_killed,
    /// Guards against agents that change version while another agent is paused in its change,
    /// and against a resumed agent that acts on state from before its pause.
    rollout_agent_paused,
}

//! The scenarios in `tests/scenarios`, each against a system of real processes.

mod chaos;
mod support;

use sesamerock_scenario::run::run;
use sesamerock_scenario::script::Script;
use support::world::{ProcessWorld, Size};
use tokio::sync::Mutex;

/// Each system has a dozen processes; two at once would compete for the cores
/// and blur what the scenarios observe.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

async fn play(name: &str, text: &str) {
    let _turn = ONE_AT_A_TIME.lock().await;
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
            play(stringify!($name), text).await;
        }
    )+};
}

scenarios! {
    /// Guards against lost, mixed or doubled answers without any fault.
    calm,
    /// Guards against a caller's cut-off when an agent dies under its stream.
    agent_killed,
    /// Guards against doubled orders when an entry dies.
    entry_killed,
    /// Guards against new work in a zone that is out of service.
    zone_out,
    /// Guards against outages of the platform reaching the request path.
    platform_down,
    /// Guards against doubled orders when answers of the log are lost.
    log_answers_lost,
    /// Guards against a paused holder of a key that goes on as if nothing was.
    holder_paused,
    /// Guards against one key run through several entries at once.
    same_key_everywhere,
    /// Guards against one request that kills engine after engine.
    poison,
    /// Guards against work over the capacity of an engine that turns cold.
    engine_cools,
    /// Guards against a planned stop that cuts off requests.
    planned_stop,
    /// Guards against work taken by a node that may have missed an order.
    node_isolated,
    /// Guards against two operators whose conflicting notes both win.
    operators_race,
    /// Guards against state lost when every process is replaced.
    all_replaced,
    /// Guards against two faults at once.
    two_faults,
    /// Guards against all engines of a model loading a version at once.
    rollout,
    /// Guards against a rollout that never ends where only one version fits, and
    /// against one that gives up the last warm engine.
    rollout_no_room,
    /// Guards against transfers beyond the limit of the weight store, and a
    /// rollout that does not come back from its refusals.
    rollout_store_refuses,
    /// Guards against a rollout that goes on as if a dead agent were done.
    rollout_agent_killed,
    /// Guards against agents that change beside one that is paused, and against
    /// one that acts on what it knew before a pause.
    rollout_agent_paused,
}

//! Carries the release notes out on this agent's engine.
//!
//! The agent compares what the control state wants loaded with what the engine
//! reports, and gives one command at a time. What is new is loaded before what
//! is no longer wanted is dropped.

use std::time::Duration;

use sesamerock_note::fold::State;
use sesamerock_platform::engine::{Command, Engine, Load, Order};

use super::Context;
use super::probe::Sight;

/// Pause after a command that the engine refused.
const PAUSE: Duration = Duration::from_secs(1);

/// Gives commands until the task is dropped.
pub(super) async fn run<E: Engine>(context: &Context<E>) {
    let mut sight = context.probe.subscribe();
    while sight.changed().await.is_ok() {
        let seen = sight.borrow_and_update().1.clone();
        let Sight::Alive(load) = seen else { continue };
        let view = context.control.view().clone();
        if !view.ready() {
            continue;
        }
        let name = &context.settings.upstream.name;
        let Some(command) = next(&view.state, name, &load) else {
            continue;
        };
        let order = Order {
            // The engine may hold a token of its group, which is higher.
            fence: view.version().0.max(load.fence),
            sender: context.settings.node.name.clone(),
            command,
        };
        match context.engine.command(&order).await {
            Ok(()) => log::info!(
                "event=command_given upstream={name} fence={} command={:?}",
                order.fence,
                order.command
            ),
            Err(error) => {
                log::warn!(
                    "event=command_failed upstream={name} fence={} command={:?} error={error}",
                    order.fence,
                    order.command
                );
                tokio::time::sleep(PAUSE).await;
            }
        }
        context.probe.wake();
    }
}

/// Returns the next command that brings the engine to what the state wants.
fn next(state: &State, upstream: &str, load: &Load) -> Option<Command> {
    let wanted = wanted(state, upstream)?;
    let missing = wanted.iter().find(|(model, version)| {
        let name = format!("{model}@{version}");
        !load.models.contains(&name)
    });
    if let Some((model, version)) = missing {
        return Some(Command::LoadModel {
            model: model.clone(),
            version: *version,
        });
    }
    let surplus = load.models.iter().find_map(|loaded| {
        let (model, version) = loaded.split_once('@')?;
        let version = version.parse().ok()?;
        let keep = wanted
            .iter()
            .any(|(name, other)| name == model && *other == version);
        (!keep).then(|| (model.to_owned(), version))
    });
    surplus.map(|(model, version)| Command::DropModel { model, version })
}

/// Returns the models and versions that an upstream is to serve.
fn wanted(state: &State, upstream: &str) -> Option<Vec<(String, u64)>> {
    let (key, entry) = state.upstreams().find(upstream)?;
    let models = entry.models.iter().filter_map(|served| {
        let version = state.serving(key, served.model)?;
        Some((
            state.models().name(served.model).to_owned(),
            u64::from(version),
        ))
    });
    Some(models.collect())
}

//! Execution of control-plane commands by the stand-in engine.

use http::{Response, StatusCode};
use sesamerock_client::engine::{Command, FencedCommand, Window};
use sesamerock_client::http::body::Body;

use super::{Engine, State};
use crate::reply;

impl Engine {
    /// Executes a command, unless its fencing token is lower than one seen before.
    pub(super) fn execute(&self, fenced: FencedCommand) -> Response<Body> {
        let mut state = self.lock();
        if state.settings.checks_fencing && fenced.fence < state.highest_fence {
            return reply::text(StatusCode::CONFLICT, "the fencing token is old");
        }
        state.highest_fence = state.highest_fence.max(fenced.fence);
        match &fenced.command {
            Command::LoadModel { model, version } => {
                let name = format!("{model}@{version}");
                let held = state.settings.models.contains(&name) || state.loading.contains(&name);
                if !held && state.room() == 0 {
                    return reply::text(StatusCode::INSUFFICIENT_STORAGE, "no room for the model");
                }
                if !held {
                    self.fetch(&mut state, name);
                }
            }
            Command::DropModel { model, version } => {
                let name = format!("{model}@{version}");
                state.settings.models.retain(|loaded| *loaded != name);
                // Block hashes do not include the version, so blocks of the dropped version
                // would match prompts for another one.
                state.cache.drop_all();
                if state.settings.models.is_empty() {
                    let present = state.batch.running() + state.batch.waiting();
                    state.record.cut += present as u64;
                    state.batch.abort();
                }
            }
            Command::StageMap { map, placement } => {
                let placement = placement.as_ref();
                let bound = state.rank.as_mut().map(|rank| rank.bind(*map, placement));
                if let Some(Err(reason)) = bound {
                    return reply::text(StatusCode::CONFLICT, reason);
                }
                self.stage(*map, state.incarnation, state.settings.staging);
            }
            Command::DropMap { map } => {
                if let Some(rank) = &mut state.rank {
                    rank.staged.retain(|staged| staged != map);
                }
            }
            Command::RunSteps { from, to, map } => {
                let window = Window {
                    from: *from,
                    to: *to,
                    map: *map,
                };
                let granted = state.rank.as_mut().map(|rank| rank.grant(window));
                if let Some(Err(reason)) = granted {
                    return reply::text(StatusCode::CONFLICT, reason);
                }
                self.granted.notify_one();
            }
            Command::LoadAdapter { adapter } => {
                if !state.adapters.contains(adapter) {
                    state.adapters.push(adapter.clone());
                }
            }
            Command::DropAdapter { adapter } => state.adapters.retain(|other| other != adapter),
            Command::Fence => {}
        }
        state.commands.push(fenced);
        reply::json(StatusCode::OK, &serde_json::json!({}))
    }

    /// Loads a model after the configured load time; a crash meanwhile cancels the load.
    fn fetch(&self, state: &mut State, name: String) {
        let time = state.settings.load_time;
        if time.is_zero() {
            state.settings.models.push(name);
            return;
        }
        state.loading.push(name.clone());
        let incarnation = state.incarnation;
        let engine = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            let mut state = engine.lock();
            if state.incarnation == incarnation {
                state.loading.retain(|other| *other != name);
                state.settings.models.push(name);
            }
            drop(state);
            engine.arrived.notify_one();
        });
    }
}

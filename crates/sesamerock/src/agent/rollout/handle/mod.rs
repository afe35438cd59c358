//! State that the rollout task shares with calls and reports to other agents.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sesamerock_base::version::Version;
use sesamerock_wire::relay::{HeldReply, Stall};

use crate::agent::probe::Observation;

/// A version of a model or adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::agent) struct Release {
    pub(in crate::agent) model: String,
    pub(in crate::agent) version: u32,
}

impl std::fmt::Display for Release {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}@{}", self.model, self.version)
    }
}

impl Release {
    /// Parses `name@version`; `None` if the text has another form.
    pub(in crate::agent) fn parse(text: &str) -> Option<Self> {
        let (model, version) = text.rsplit_once('@')?;
        Some(Self {
            model: model.to_owned(),
            version: version.parse().ok()?,
        })
    }
}

/// Marks a call as running in the agent, until it is dropped.
pub(in crate::agent) type CallGuard = Arc<()>;

/// State of the rollout task that calls and other agents read.
#[derive(Debug, Default)]
pub(in crate::agent) struct Handle(Mutex<Shared>);

#[derive(Debug, Default)]
struct Shared {
    /// Version of the control state that the rollout task acts on.
    version: Version,
    /// The version that is being unloaded.
    unloading: Option<Unloading>,
    /// Cloned by the calls that began since the last unload began.
    epoch: CallGuard,
    /// Earlier epochs of which calls are still running. A decision to unload may
    /// be cancelled or changed while they run.
    earlier_epochs: Vec<CallGuard>,
    stalls: Vec<Stall>,
}

#[derive(Debug)]
struct Unloading {
    release: Release,
    /// Whether new calls for the model are refused.
    closes: bool,
}

impl Handle {
    /// Counts a call as running until the returned guard is dropped.
    pub(in crate::agent) fn start_call(&self) -> CallGuard {
        Arc::clone(&self.lock().epoch)
    }

    /// Returns whether new calls for a model are refused, since its last version
    /// here is being unloaded.
    pub(in crate::agent) fn refuses_calls(&self, model: &str) -> bool {
        let shared = self.lock();
        let unloading = shared.unloading.as_ref();
        unloading.is_some_and(|unloading| unloading.closes && unloading.release.model == model)
    }

    /// Begins or continues to unload a version, and returns whether the calls
    /// that began before this unload have ended.
    pub(super) fn drain_for_unload(&self, release: &Release, closes: bool) -> bool {
        let mut shared = self.lock();
        let current = shared.unloading.as_ref();
        if current.is_none_or(|current| current.release != *release || current.closes != closes) {
            let epoch = std::mem::take(&mut shared.epoch);
            shared.earlier_epochs.push(epoch);
            shared.unloading = Some(Unloading {
                release: release.clone(),
                closes,
            });
        }
        shared
            .earlier_epochs
            .retain(|epoch| Arc::strong_count(epoch) > 1);
        shared.earlier_epochs.is_empty()
    }

    /// Publishes what the rollout task does from now on. Other agents see a
    /// version only once it is acted on, so none relies on a decision that was
    /// made from an older version.
    pub(super) fn publish(&self, version: Version, stalls: Vec<Stall>, unloads: bool) {
        let mut shared = self.lock();
        shared.version = version;
        shared.stalls = stalls;
        if !unloads {
            shared.unloading = None;
        }
    }

    /// Returns what the engine holds, for other agents; the default, with an empty
    /// name, if the engine does not answer.
    pub(in crate::agent) fn held_reply(
        &self,
        upstream: &str,
        observation: &Observation,
    ) -> HeldReply {
        let Observation::Alive(load) = observation else {
            return HeldReply::default();
        };
        let shared = self.lock();
        let unloading = shared.unloading.as_ref();
        let unloading = unloading.map(|unloading| unloading.release.to_string());
        let stays_loaded = |release: &&String| unloading.as_ref() != Some(*release);
        HeldReply {
            upstream: upstream.to_owned(),
            version: shared.version.0,
            warm: load.models.iter().filter(stays_loaded).cloned().collect(),
            loading: load.loading.clone(),
            leaving: unloading.clone().into_iter().collect(),
            adapters: load.adapters.clone(),
            // An engine that does not report its room is assumed to have room for
            // one more model.
            room: load.room.unwrap_or(1),
            stalls: shared.stalls.clone(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

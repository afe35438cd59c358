//! What the carrier shares with the calls and with other agents.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sesamerock_base::version::Version;
use sesamerock_wire::relay::{HeldReply, Stall};

use crate::agent::probe::Observation;

/// A version of a model.
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
    /// Reads `name@version`.
    pub(in crate::agent) fn parse(text: &str) -> Option<Self> {
        let (model, version) = text.rsplit_once('@')?;
        Some(Self {
            model: model.to_owned(),
            version: version.parse().ok()?,
        })
    }
}

/// A call that is present in the agent.
pub(in crate::agent) type CallGuard = Arc<()>;

/// State of the carrier that others read.
#[derive(Debug, Default)]
pub(in crate::agent) struct Handle(Mutex<Shared>);

#[derive(Debug, Default)]
struct Shared {
    /// Control version that the carrier acts on.
    version: Version,
    /// What is being given up.
    unloading: Option<Unloading>,
    /// Cloned by the calls that began since something was last given up.
    epoch: CallGuard,
    /// Epochs before, as long as calls of them are present. A decision to give
    /// something up may be taken back or change while they run.
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
    /// Counts a call as present until the value is dropped.
    pub(in crate::agent) fn start_call(&self) -> CallGuard {
        Arc::clone(&self.lock().epoch)
    }

    /// Returns whether new calls for a model are refused.
    pub(in crate::agent) fn refuses_calls(&self, model: &str) -> bool {
        let shared = self.lock();
        let unloading = shared.unloading.as_ref();
        unloading.is_some_and(|unloading| unloading.closes && unloading.release.model == model)
    }

    /// Begins to give a version up, or goes on with it, and returns whether
    /// the calls that began before have ended.
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

    /// Takes in what the carrier does from now on. Only after this do others
    /// see the version, so that none relies on what an older one decided.
    pub(super) fn publish(&self, version: Version, stalls: Vec<Stall>, unloads: bool) {
        let mut shared = self.lock();
        shared.version = version;
        shared.stalls = stalls;
        if !unloads {
            shared.unloading = None;
        }
    }

    /// Returns what the engine holds, for other nodes.
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
            // An engine that does not say is asked to load beside what it has.
            room: load.room.unwrap_or(1),
            stalls: shared.stalls.clone(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

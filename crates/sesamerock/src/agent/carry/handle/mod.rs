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
pub(in crate::agent) type Stay = Arc<()>;

/// State of the carrier that others read.
#[derive(Debug, Default)]
pub(in crate::agent) struct Handle(Mutex<Shared>);

#[derive(Debug, Default)]
struct Shared {
    /// Control version that the carrier acts on.
    version: Version,
    /// What is being given up.
    leaving: Option<Leaving>,
    /// Cloned by the calls that began since something was last given up.
    epoch: Stay,
    /// Epochs before, as long as calls of them are present. A decision to give
    /// something up may be taken back or change while they run.
    older: Vec<Stay>,
    stalls: Vec<Stall>,
}

#[derive(Debug)]
struct Leaving {
    release: Release,
    /// Whether new calls for the model are refused.
    closes: bool,
}

impl Handle {
    /// Counts a call as present until the value is dropped.
    pub(in crate::agent) fn enter(&self) -> Stay {
        Arc::clone(&self.lock().epoch)
    }

    /// Returns whether new calls for a model are refused.
    pub(in crate::agent) fn closed(&self, model: &str) -> bool {
        let shared = self.lock();
        let leaving = shared.leaving.as_ref();
        leaving.is_some_and(|leaving| leaving.closes && leaving.release.model == model)
    }

    /// Begins to give a version up, or goes on with it, and returns whether
    /// the calls that began before have ended.
    pub(super) fn give_up(&self, release: &Release, closes: bool) -> bool {
        let mut shared = self.lock();
        let known = shared.leaving.as_ref();
        if known.is_none_or(|known| known.release != *release || known.closes != closes) {
            let epoch = std::mem::take(&mut shared.epoch);
            shared.older.push(epoch);
            shared.leaving = Some(Leaving {
                release: release.clone(),
                closes,
            });
        }
        shared.older.retain(|epoch| Arc::strong_count(epoch) > 1);
        shared.older.is_empty()
    }

    /// Takes in what the carrier does from now on. Only after this do others
    /// see the version, so that none relies on what an older one decided.
    pub(super) fn acts_on(&self, version: Version, stalls: Vec<Stall>, gives_up: bool) {
        let mut shared = self.lock();
        shared.version = version;
        shared.stalls = stalls;
        if !gives_up {
            shared.leaving = None;
        }
    }

    /// Returns what the engine holds, for other nodes.
    pub(in crate::agent) fn held(&self, upstream: &str, sight: &Observation) -> HeldReply {
        let Observation::Alive(load) = sight else {
            return HeldReply::default();
        };
        let shared = self.lock();
        let leaving = shared.leaving.as_ref();
        let leaving = leaving.map(|leaving| leaving.release.to_string());
        let leaves = |release: &&String| leaving.as_ref() != Some(*release);
        HeldReply {
            upstream: upstream.to_owned(),
            version: shared.version.0,
            warm: load.models.iter().filter(leaves).cloned().collect(),
            loading: load.loading.clone(),
            leaving: leaving.clone().into_iter().collect(),
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

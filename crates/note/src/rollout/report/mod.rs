//! What agents report about their engines.

use sesamerock_base::arena::Arena;
use sesamerock_base::key;
use sesamerock_base::version::Version;

use crate::key::Adapter;
use crate::note::Role;

/// Stage of a loaded model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Weights are being fetched or the engine warms up.
    Loading,
    /// The model is served at the full rate.
    Warm,
    /// The model is loaded, but the engine is in its cold start.
    Cold,
}

/// A model in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loaded {
    /// Model that is loaded or loading.
    pub model: key::Model,
    /// Loaded version of the model.
    pub version: u32,
    /// Stage of this version.
    pub phase: Phase,
    /// Adapters with their versions.
    pub adapters: Vec<(Adapter, u32)>,
}

/// The latest report of one upstream's agent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Version of the control state that the agent acted on when it reported.
    pub version: Version,
    /// Models in the engine's memory.
    pub loaded: Vec<Loaded>,
    /// Role of the engine.
    pub role: Role,
    /// Number of further models that fit into memory.
    pub room: usize,
    /// Whether the agent is reachable and its VM is not known to have failed.
    pub live: bool,
}

impl Report {
    /// Returns a version of a model in memory.
    pub fn find(&self, model: key::Model, version: u32) -> Option<&Loaded> {
        self.loaded
            .iter()
            .find(|loaded| loaded.model == model && loaded.version == version)
    }

    /// Returns whether some version of a model is warm.
    pub fn warm(&self, model: key::Model) -> bool {
        self.loaded
            .iter()
            .any(|loaded| loaded.model == model && loaded.phase == Phase::Warm)
    }
}

/// Latest reports by upstream.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    reports: Arena<key::Upstream, Option<Report>>,
}

impl Reports {
    /// Stores a report unless a newer one is stored already.
    pub fn set(&mut self, upstream: key::Upstream, report: Report) {
        let slot = self.reports.entry(upstream);
        if slot
            .as_ref()
            .is_none_or(|old| old.version <= report.version)
        {
            *slot = Some(report);
        }
    }

    /// Removes an upstream's report.
    pub fn remove(&mut self, upstream: key::Upstream) {
        *self.reports.entry(upstream) = None;
    }

    /// Returns an upstream's report.
    pub fn get(&self, upstream: key::Upstream) -> Option<&Report> {
        self.reports.get(upstream)?.as_ref()
    }
}

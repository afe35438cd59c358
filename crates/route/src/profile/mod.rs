//! What an upstream serves and where it is.

use sesamerock_base::key::{Model, Upstream, Zone};

/// A low-rank adapter of a model, interned by the embedding program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Adapter(pub u32);

/// The part of a request that an upstream runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Role {
    /// Prompt and generation.
    #[default]
    Whole,
    /// The prompt only; the KV cache is then exported.
    Prefill,
    /// Generation from an imported KV cache.
    Decode,
}

/// One model at one version that an upstream has loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Offer {
    /// The model.
    pub model: Model,
    /// The version of its weights.
    pub version: u32,
    /// The adapters loaded beside it.
    pub adapters: Vec<Adapter>,
}

/// What the control state and the VM list say about an upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Profile {
    /// [`crate::hash::name`] of the upstream's name.
    pub name: u64,
    /// The zone of its VM.
    pub zone: Zone,
    /// Whether the VM is leaving; the upstream then gets no new work.
    pub leaving: bool,
    /// Whether operators took the zone or the VM out of service.
    pub out: bool,
    /// The role of the engine.
    pub role: Role,
    /// Number of ranks in its group; 0 or 1 if it has no group.
    pub ranks: u16,
    /// What it has loaded.
    pub offers: Vec<Offer>,
}

/// What a request needs an upstream to have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// The model.
    pub model: Model,
    /// The version of its weights, if the request or the release note pins one.
    pub version: Option<u32>,
    /// The adapter, if the request names one.
    pub adapter: Option<Adapter>,
    /// The part of the request to run.
    pub role: Role,
}

impl Profile {
    /// Returns whether the upstream has what a request needs.
    pub fn serves(&self, need: &Need) -> bool {
        let role = self.role == need.role || self.role == Role::Whole;
        role && self.offers.iter().any(|offer| offer.matches(need))
    }
}

impl Offer {
    fn matches(&self, need: &Need) -> bool {
        let version = need.version.is_none_or(|version| version == self.version);
        let adapter = need
            .adapter
            .is_none_or(|adapter| self.adapters.contains(&adapter));
        self.model == need.model && version && adapter
    }
}

/// An upstream as a member of a pool, for [`crate::subset`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Member {
    /// The upstream.
    pub upstream: Upstream,
    /// [`crate::hash::name`] of its name.
    pub name: u64,
    /// Its zone.
    pub zone: Zone,
}

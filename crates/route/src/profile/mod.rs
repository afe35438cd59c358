//! What an upstream serves and where it is.

use sesamerock_base::key::{Group, Model, Upstream, Zone};

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

/// Place of an upstream in a group whose ranks step together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// The group.
    pub group: Group,
    /// Rank within the group, from 0.
    pub rank: u16,
    /// Why the group cannot step, as far as the control state and the VM list
    /// tell.
    pub unable: Option<Unable>,
}

/// Why a group cannot step; it waits for all of its ranks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unable {
    /// The agent of a rank does not answer.
    Silent,
    /// A rank reports that the group has work and does not step.
    Stalled,
    /// A rank is leaving.
    Leaving,
    /// A rank is out of service.
    Out,
    /// The control state lacks a rank.
    Missing,
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
    /// Number of ranks behind its agent; 0 or 1 if there is but one engine.
    pub ranks: u16,
    /// Its place in a group whose ranks are upstreams of their own.
    pub place: Option<Place>,
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
    /// [`crate::hash::name`] of its group's name, if it is a rank of one.
    pub group: Option<u64>,
}

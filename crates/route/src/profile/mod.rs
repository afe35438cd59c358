//! Describes which models an upstream serves and where it runs.

use sesamerock_base::key::{Group, Model, Upstream, Zone};

/// A low-rank adapter of a model, as a number that the embedding program assigns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Adapter(pub u32);

/// The part of a request that an upstream runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Whole,
    /// Prefill only; the KV cache is then exported.
    Prefill,
    /// Decode only, from an imported KV cache.
    Decode,
}

/// One model at one version that an upstream has loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadedModel {
    /// Model that the weights belong to.
    pub model: Model,
    /// Version of the weights.
    pub version: u32,
    /// Adapters that are loaded for this model.
    pub adapters: Vec<Adapter>,
}

/// Position of an upstream in a group whose ranks run in lockstep.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// Group that the upstream is a rank of.
    pub group: Group,
    /// Rank within the group, from 0.
    pub rank: u16,
    /// Why the group cannot step, according to the control state and the VM
    /// list; `None` if they show no reason.
    pub blocker: Option<StepBlocker>,
}

/// Why a group cannot step. A step needs all ranks, so one rank blocks the
/// whole group. If several reasons apply, the greatest is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StepBlocker {
    /// The agent of a rank does not respond.
    Silent,
    /// A rank reports that the group has work but runs no steps.
    Stalled,
    /// A rank is draining before it leaves.
    Leaving,
    /// A rank is out of service.
    Out,
    /// The control state does not contain all ranks.
    Missing,
}

/// Properties of an upstream according to the control state and the VM list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Profile {
    /// [`crate::hash::name`] of the upstream's name.
    pub name: u64,
    /// Zone of the upstream's VM.
    pub zone: Zone,
    /// Whether the VM is leaving; the upstream then gets no new work.
    pub leaving: bool,
    /// Whether operators have taken the zone or the VM out of service.
    pub out: bool,
    /// Part of a request that the engine can run.
    pub role: Role,
    /// Number of ranks behind the agent; 0 or 1 if there is only one engine.
    pub ranks: u16,
    /// Position in a group whose ranks are upstreams of their own.
    pub place: Option<Place>,
    /// Models that are loaded.
    pub models: Vec<LoadedModel>,
}

/// What a request needs an upstream to have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Requested model.
    pub model: Model,
    /// Version of the weights, if the request or the release note pins one.
    pub version: Option<u32>,
    /// Adapter, if the request names one.
    pub adapter: Option<Adapter>,
    /// Part of the request to run.
    pub role: Role,
}

impl Profile {
    /// Returns whether the upstream has what a request needs.
    pub fn serves(&self, need: &Need) -> bool {
        let role = self.role == need.role || self.role == Role::Whole;
        role && self.models.iter().any(|model| model.matches(need))
    }
}

impl LoadedModel {
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
    /// Key of the upstream in this process.
    pub upstream: Upstream,
    /// [`crate::hash::name`] of the upstream's name.
    pub name: u64,
    /// Zone of the upstream's VM.
    pub zone: Zone,
    /// [`crate::hash::name`] of the group's name, if the upstream is a rank of a
    /// group.
    pub group: Option<u64>,
}

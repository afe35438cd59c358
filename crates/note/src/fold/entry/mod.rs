//! Entries of the control state in compact form: keys in place of names.

use std::net::SocketAddr;

use sesamerock_base::key;
use sesamerock_base::version::Version;

use crate::key::{Adapter as AdapterKey, Service as ServiceKey};
use crate::note::{Kind, Role};

/// An entry that records the version that changed it last.
pub trait Stamped: Clone {
    /// Returns the version of the record that changed the entry last.
    fn changed(&self) -> Version;
    /// Returns a copy of the entry with this version as the last change.
    #[must_use]
    fn stamped(&self, changed: Version) -> Self;
}

macro_rules! stamped {
    ($($name:ident),+) => {$(
        impl Stamped for $name {
            fn changed(&self) -> Version {
                self.changed
            }

            fn stamped(&self, changed: Version) -> Self {
                Self { changed, ..self.clone() }
            }
        }
    )+};
}

stamped!(Upstream, Model, Adapter, Service);

/// One engine or server of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// What runs behind the agent.
    pub kind: Kind,
    /// Role of an engine.
    pub role: Role,
    /// Whether the engine refuses commands with a stale fencing token.
    pub checks_fencing: bool,
    /// Whether the engine verifies the sender of a command.
    pub checks_sender: bool,
    /// Address at which gateways reach the agent.
    pub agent: SocketAddr,
    /// Availability zone.
    pub zone: key::Zone,
    /// Virtual machine.
    pub vm: key::Vm,
    /// Group and rank, if the engine is part of one.
    pub rank: Option<Rank>,
    /// Service that a server belongs to.
    pub service: Option<ServiceKey>,
    /// Models to serve.
    pub models: Box<[Served]>,
    /// Calls that must not be repeated, beside those of the service.
    pub not_repeatable: Box<[Box<str>]>,
    /// Version that changed the entry last.
    pub changed: Version,
}

impl Upstream {
    /// Returns how the upstream serves a model, or `None` if it does not.
    pub fn serves(&self, model: key::Model) -> Option<&Served> {
        self.models.iter().find(|served| served.model == model)
    }
}

/// Group and rank of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// Group whose engines run forward passes together.
    pub group: key::Group,
    /// Index within the group, from 0.
    pub index: u32,
}

/// A model on an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Served {
    /// Model that the upstream serves.
    pub model: key::Model,
    /// Version to serve; `None` follows the model's version.
    pub version: Option<u32>,
    /// Adapters to keep loaded.
    pub adapters: Box<[AdapterKey]>,
}

/// A model with the versions that may be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Version that upstreams serve unless they name another one.
    pub version: u32,
    /// Highest version ever declared; a new one must be higher.
    pub highest: u32,
    /// Versions that upstreams may serve, ascending.
    pub versions: Box<[u32]>,
    /// Version that changed the entry last.
    pub changed: Version,
}

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adapter {
    /// Model that the adapter applies to.
    pub model: key::Model,
    /// Version of the adapter itself.
    pub version: u32,
    /// Version that changed the entry last.
    pub changed: Version,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Calls that must not be repeated.
    pub not_repeatable: Box<[Box<str>]>,
    /// Version that changed the entry last.
    pub changed: Version,
}

/// Service state of a zone or VM that an operator has taken out of service at
/// least once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Availability {
    /// Whether the zone or VM is out of service.
    pub out: bool,
    /// Version that changed the entry last.
    pub changed: Version,
}

/// Upstreams of a group by rank, ascending.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Group {
    /// Pairs of rank and upstream.
    pub ranks: Vec<(u32, key::Upstream)>,
}

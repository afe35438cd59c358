//! The release note: what operators add, change and withdraw.
//!
//! A note is YAML when operators write it and JSON inside a record. An entry of
//! `change` replaces the whole former entry, so that the effect of a note does
//! not depend on which fields earlier notes set.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sesamerock_base::version::Version;

/// One release note.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// Identifies the note; publishing the same id again changes nothing.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub id: String,
    /// Control-state version the note was written against. The publisher fills
    /// in the current version if it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Version>,
    /// Person or program that wrote the note, for the audit trail.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub author: String,
    /// Why it was written.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub comment: String,
    /// Entries that must not exist yet.
    #[serde(default, skip_serializing_if = "Entries::is_empty")]
    pub add: Entries,
    /// Entries that exist and are replaced.
    #[serde(default, skip_serializing_if = "Entries::is_empty")]
    pub change: Entries,
    /// Entries that exist and are removed.
    #[serde(default, skip_serializing_if = "Withdrawal::is_empty")]
    pub withdraw: Withdrawal,
}

/// Entries that a note adds or changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Entries {
    /// Engines and servers of plain services.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub upstreams: Vec<Upstream>,
    /// Models that callers can name.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Model>,
    /// Adapters of models.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<Adapter>,
    /// Versions of models beside the one that is followed. Only in `add`.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<Release>,
    /// Plain services.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<Service>,
}

impl Entries {
    /// Returns whether no list has an entry.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
            && self.models.is_empty()
            && self.adapters.is_empty()
            && self.versions.is_empty()
            && self.services.is_empty()
    }
}

/// Names of entries that a note withdraws.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Withdrawal {
    /// Upstreams by name.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub upstreams: Vec<String>,
    /// Models by name.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<String>,
    /// Adapters by name.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<String>,
    /// Versions of models that no upstream uses any more.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<Release>,
    /// Services by name.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<String>,
}

impl Withdrawal {
    /// Returns whether no list has an entry.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
            && self.models.is_empty()
            && self.adapters.is_empty()
            && self.versions.is_empty()
            && self.services.is_empty()
    }
}

/// What runs behind an upstream's agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model engine.
    #[default]
    Engine,
    /// A server of a plain service.
    Service,
}

/// Which phases of generation an engine performs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only; KV cache is exported to a decode engine.
    Prefill,
    /// Decode only.
    Decode,
}

impl Role {
    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "serde passes fields by reference"
    )]
    fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

/// One engine or server of a service, with the agent in front of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name, unique among upstreams.
    pub name: String,
    /// What runs behind the agent.
    pub kind: Kind,
    /// Address at which gateways reach the agent.
    pub agent: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Virtual machine.
    pub vm: String,
    /// Models that an engine serves.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Served>,
    /// Role of an engine.
    #[serde(default, skip_serializing_if = "Role::is_default")]
    pub role: Role,
    /// Group of ranks that step together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub group: Option<String>,
    /// Rank within the group, from 0.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u32>,
    /// Service that a server of kind `service` belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Whether the engine refuses commands with a stale fencing token.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub checks_fencing: bool,
    /// Whether the engine verifies the sender of a command.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub checks_sender: bool,
    /// Calls that must not be repeated, such as `POST /orders`, beside those
    /// of the service.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub not_repeatable: Vec<String>,
}

/// A model on an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Served {
    /// Name of the model.
    pub name: String,
    /// Version to serve; absent follows the model's version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u32>,
    /// Adapters to keep loaded.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub adapters: Vec<String>,
}

/// A model and the version that its upstreams follow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name, unique among models.
    pub name: String,
    /// Version that upstreams serve unless they name another one.
    pub version: u32,
}

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name, unique among adapters.
    pub name: String,
    /// Model that the adapter applies to.
    pub model: String,
    /// Version of the adapter itself.
    pub version: u32,
}

/// One version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// Name of the model.
    pub model: String,
    /// Version of the model.
    pub version: u32,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name, unique among services.
    pub name: String,
    /// Calls that must not be repeated, such as `POST /orders`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub not_repeatable: Vec<String>,
}

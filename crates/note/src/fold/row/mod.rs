//! Entries of the control state by name, as stored in snapshots and hashed.
//!
//! Keys differ between processes, because they follow the order in which names
//! were interned. Entries therefore leave the process only as [`Row`]s.

use serde::{Deserialize, Serialize};
use sesamerock_base::key;
use sesamerock_base::version::Version;

use super::State;
use super::entry::{Adapter, Availability, Model, Rank, Served, Service, Stamped, Upstream};
use super::outcome::{Item, Kind};
use super::past::PastVerdict;
use crate::key::{Adapter as AdapterKey, Service as ServiceKey};
use crate::note;
use crate::record::to_json;
use crate::table::{Slot, Table};

/// One entry or verdict of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Row {
    /// An upstream, live or withdrawn.
    Upstream(Box<StampedEntry<note::Upstream>>),
    /// A model with its versions.
    Model(StampedEntry<Versions>),
    /// An adapter, live or withdrawn.
    Adapter(StampedEntry<note::Adapter>),
    /// A plain service, live or withdrawn.
    Service(StampedEntry<note::Service>),
    /// A zone whose service state an operator has changed.
    Zone(StampedEntry<NamedAvailability>),
    /// A VM whose service state an operator has changed.
    Vm(StampedEntry<NamedAvailability>),
    /// A recent verdict.
    Past(PastVerdict),
}

/// An entry with the version that changed it last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StampedEntry<T> {
    /// Version that changed the entry last.
    pub changed: Version,
    /// Whether that change withdrew the entry.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub gone: bool,
    /// Content of the entry.
    pub entry: T,
}

/// A model with its versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Versions {
    /// Name of the model.
    pub name: String,
    /// Version that upstreams follow.
    pub version: u32,
    /// Highest version ever declared.
    pub highest: u32,
    /// Versions that upstreams may serve.
    pub versions: Vec<u32>,
}

/// Service state of a zone or VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NamedAvailability {
    /// Name of the zone or VM.
    pub name: String,
    /// Whether the zone or VM is out of service.
    pub out: bool,
}

impl Row {
    /// Returns the item and stamp of an entry, or `None` for a verdict.
    pub fn item(&self) -> Option<(Item, Version)> {
        let (kind, name, changed) = match self {
            Self::Upstream(kept) => (Kind::Upstream, &kept.entry.name, kept.changed),
            Self::Model(kept) => (Kind::Model, &kept.entry.name, kept.changed),
            Self::Adapter(kept) => (Kind::Adapter, &kept.entry.name, kept.changed),
            Self::Service(kept) => (Kind::Service, &kept.entry.name, kept.changed),
            Self::Zone(kept) => (Kind::Zone, &kept.entry.name, kept.changed),
            Self::Vm(kept) => (Kind::Vm, &kept.entry.name, kept.changed),
            Self::Past(_) => return None,
        };
        Some((Item::new(kind, name.as_str()), changed))
    }

    /// Returns the hash of the row, which is the same on every node.
    pub fn hash(&self) -> u128 {
        let hash = blake3::hash(&to_json(self));
        let (head, _) = hash.as_bytes().split_at(size_of::<u128>());
        u128::from_le_bytes(head.try_into().unwrap_or_default())
    }
}

/// An entry type of the state with its table and its row.
pub(crate) trait Entry: Stamped + Clone {
    /// Key of the entry.
    type Key: sesamerock_base::key::Key;
    /// Kind of the entry.
    const KIND: Kind;
    /// Returns the table of such entries.
    fn table(state: &State) -> &Table<Self::Key, Self>;
    /// Returns the mutable table of such entries.
    fn table_mut(state: &mut State) -> &mut Table<Self::Key, Self>;
    /// Makes the row of an entry.
    fn row(&self, key: Self::Key, gone: bool, state: &State) -> Row;
}

macro_rules! tables {
    ($($entry:ident, $key:ty, $field:ident, $kind:ident;)+) => {$(
        impl Entry for $entry {
            type Key = $key;
            const KIND: Kind = Kind::$kind;

            fn table(state: &State) -> &Table<Self::Key, Self> {
                &state.$field
            }

            fn table_mut(state: &mut State) -> &mut Table<Self::Key, Self> {
                &mut state.$field
            }

            fn row(&self, key: Self::Key, gone: bool, state: &State) -> Row {
                let name = state.$field.name(key).to_owned();
                self.to_row(name, gone, state)
            }
        }
    )+};
}

tables! {
    Upstream, key::Upstream, upstreams, Upstream;
    Model, key::Model, models, Model;
    Adapter, AdapterKey, adapters, Adapter;
    Service, ServiceKey, services, Service;
}

impl Upstream {
    fn to_row(&self, name: String, gone: bool, state: &State) -> Row {
        let models = self.models.iter().map(|served| note::Served {
            name: state.models.name(served.model).to_owned(),
            version: served.version,
            adapters: served
                .adapters
                .iter()
                .map(|adapter| state.adapters.name(*adapter).to_owned())
                .collect(),
        });
        let group = self.rank.map(|rank| state.groups.name(rank.group));
        let entry = note::Upstream {
            name,
            kind: self.kind,
            agent: self.agent,
            zone: state.zones.name(self.zone).to_owned(),
            vm: state.vms.name(self.vm).to_owned(),
            models: models.collect(),
            role: self.role,
            group: group.map(str::to_owned),
            rank: self.rank.map(|rank| rank.index),
            service: self.service.map(|key| state.services.name(key).to_owned()),
            checks_fencing: self.checks_fencing,
            checks_sender: self.checks_sender,
            not_repeatable: owned(&self.not_repeatable),
        };
        let changed = self.changed;
        Row::Upstream(Box::new(StampedEntry {
            changed,
            gone,
            entry,
        }))
    }

    /// Makes the entry of an upstream in a note. Names that it refers to get
    /// keys even if no such entry exists; the caller checks that.
    pub(crate) fn intern(entry: &note::Upstream, changed: Version, state: &mut State) -> Self {
        let models = entry.models.iter().map(|served| Served {
            model: state.models.intern(&served.name),
            version: served.version,
            adapters: served
                .adapters
                .iter()
                .map(|name| state.adapters.intern(name))
                .collect(),
        });
        let models = models.collect();
        let rank = entry.group.as_deref().map(|group| Rank {
            group: state.groups.intern(group),
            index: entry.rank.unwrap_or_default(),
        });
        Self {
            kind: entry.kind,
            role: entry.role,
            checks_fencing: entry.checks_fencing,
            checks_sender: entry.checks_sender,
            agent: entry.agent,
            zone: state.zones.intern(&entry.zone),
            vm: state.vms.intern(&entry.vm),
            rank,
            service: entry
                .service
                .as_deref()
                .map(|name| state.services.intern(name)),
            models,
            not_repeatable: boxed(&entry.not_repeatable),
            changed,
        }
    }
}

impl Model {
    fn to_row(&self, name: String, gone: bool, _state: &State) -> Row {
        Row::Model(StampedEntry {
            changed: self.changed,
            gone,
            entry: Versions {
                name,
                version: self.version,
                highest: self.highest,
                versions: self.versions.to_vec(),
            },
        })
    }
}

impl Adapter {
    fn to_row(&self, name: String, gone: bool, state: &State) -> Row {
        Row::Adapter(StampedEntry {
            changed: self.changed,
            gone,
            entry: note::Adapter {
                name,
                model: state.models.name(self.model).to_owned(),
                version: self.version,
            },
        })
    }
}

impl Service {
    fn to_row(&self, name: String, gone: bool, _state: &State) -> Row {
        Row::Service(StampedEntry {
            changed: self.changed,
            gone,
            entry: note::Service {
                name,
                not_repeatable: owned(&self.not_repeatable),
            },
        })
    }
}

impl Availability {
    pub(crate) fn to_row(self, kind: Kind, name: &str) -> Row {
        let kept = StampedEntry {
            changed: self.changed,
            gone: false,
            entry: NamedAvailability {
                name: name.to_owned(),
                out: self.out,
            },
        };
        if kind == Kind::Zone {
            Row::Zone(kept)
        } else {
            Row::Vm(kept)
        }
    }
}

/// Returns the row of a slot, or `None` if it is vacant.
pub(crate) fn of_slot<E: Entry>(slot: &Slot<E>, key: E::Key, state: &State) -> Option<Row> {
    match slot {
        Slot::Vacant => None,
        Slot::Live(entry) => Some(entry.row(key, false, state)),
        Slot::Withdrawn(entry) => Some(entry.row(key, true, state)),
    }
}

pub(crate) fn boxed(texts: &[String]) -> Box<[Box<str>]> {
    texts.iter().map(|text| text.as_str().into()).collect()
}

fn owned(texts: &[Box<str>]) -> Vec<String> {
    texts.iter().map(ToString::to_string).collect()
}

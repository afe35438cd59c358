//! Orders that stop work before their records can be folded.
//!
//! Records are folded in order, so in a burst of notes an order that takes a
//! zone or VM out of service would wait for all notes before it. A node that
//! learns of such an order ahead of its turn keeps it here and sends the zone
//! or VM no new work. The order neither enters the fold nor raises the version:
//! [`crate::fold::State`] stays a function of the log alone. Once the fold has
//! reached the order's version, the fold decides and the order is dropped.
//!
//! Orders that bring a zone or VM back wait for the fold, since new work may
//! only start on what is folded.

use std::collections::BTreeMap;

use sesamerock_base::version::Version;

use crate::fold::{HIGHEST, is_name};
use crate::record::{Body, Record, ServiceChange, ServiceState};

/// Largest record in bytes that counts as an order. Id and name have bounds far
/// below it, and a note is not decoded for nothing.
const MAX_COMMAND_BYTES: usize = 1_024;

/// Orders kept; a fold that is so far behind needs a snapshot, which has them.
const MAX_COMMANDS: usize = 256;

/// What an order takes out of service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopCommand {
    /// A zone of this name.
    Zone(String),
    /// A VM of this name.
    Vm(String),
}

impl StopCommand {
    /// Returns the order that the bytes of a record give, or `None` if the
    /// record does not take anything out of service.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() > MAX_COMMAND_BYTES {
            return None;
        }
        let out = |turn: &ServiceChange| turn.to == ServiceState::Out && is_name(&turn.name);
        match Record::decode(bytes).ok()?.body {
            Body::Zone(turn) if out(&turn) => Some(Self::Zone(turn.name)),
            Body::Vm(turn) if out(&turn) => Some(Self::Vm(turn.name)),
            _ => None,
        }
    }
}

/// Orders whose records this node has not folded yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExpeditedCommands {
    commands: BTreeMap<Version, StopCommand>,
}

impl ExpeditedCommands {
    /// Adds the order of a record that was folded elsewhere as accepted, and
    /// returns whether it is new and ahead of the fold.
    pub fn add(&mut self, folded: Version, version: Version, order: StopCommand) -> bool {
        let ahead = version > folded && version < HIGHEST;
        if !ahead || self.commands.len() >= MAX_COMMANDS {
            return false;
        }
        self.commands.insert(version, order).is_none()
    }

    /// Drops the orders that the fold has reached and returns whether there
    /// were any.
    pub fn settle(&mut self, folded: Version) -> bool {
        let before = self.commands.len();
        self.commands.retain(|version, _| *version > folded);
        self.commands.len() != before
    }

    /// Returns whether an order takes a zone out.
    pub fn zone_out(&self, name: &str) -> bool {
        self.zones().any(|zone| zone == name)
    }

    /// Returns whether an order takes a VM out.
    pub fn vm_out(&self, name: &str) -> bool {
        self.vms().any(|vm| vm == name)
    }

    /// Yields the zones that orders take out.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.commands.values().filter_map(|order| match order {
            StopCommand::Zone(name) => Some(name.as_str()),
            StopCommand::Vm(_) => None,
        })
    }

    /// Yields the VMs that orders take out.
    pub fn vms(&self) -> impl Iterator<Item = &str> {
        self.commands.values().filter_map(|order| match order {
            StopCommand::Vm(name) => Some(name.as_str()),
            StopCommand::Zone(_) => None,
        })
    }

    /// Returns whether no order is ahead of the fold.
    pub fn is_empty(&self) -> bool {
        self.commands.is_empty()
    }
}

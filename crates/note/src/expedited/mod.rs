//! Commands that stop new work before their records can be folded.
//!
//! Records are folded in order, so in a burst of notes a command that takes
//! a zone or VM out of service would wait for all notes before it. A node that
//! receives such a command early keeps it here and sends the zone or VM no new
//! work. The command neither enters the fold nor raises the version:
//! [`crate::fold::State`] stays a function of the log alone. Once the fold has
//! reached the command's version, the folded state applies and the command is
//! dropped.
//!
//! Commands that bring a zone or VM back into service wait for the fold, since
//! new work may only start on folded state.

use std::collections::BTreeMap;

use sesamerock_base::version::Version;

use crate::fold::{VERSION_LIMIT, is_name};
use crate::record::{Body, Record, ServiceChange, ServiceState};

/// Maximum size in bytes of a record that is decoded as a command. Ids and
/// names are far smaller, and larger records such as notes are not decoded
/// needlessly.
const MAX_COMMAND_BYTES: usize = 1_024;

/// Maximum number of commands kept. A fold that lags further behind needs a
/// snapshot, which contains them.
const MAX_COMMANDS: usize = 256;

/// A command that takes a zone or VM out of service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopCommand {
    /// A zone of this name.
    Zone(String),
    /// A VM of this name.
    Vm(String),
}

impl StopCommand {
    /// Decodes the command in a record, or returns `None` if the record does
    /// not take anything out of service.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() > MAX_COMMAND_BYTES {
            return None;
        }
        let out = |change: &ServiceChange| change.to == ServiceState::Out && is_name(&change.name);
        match Record::decode(bytes).ok()?.body {
            Body::Zone(change) if out(&change) => Some(Self::Zone(change.name)),
            Body::Vm(change) if out(&change) => Some(Self::Vm(change.name)),
            _ => None,
        }
    }
}

/// Commands whose records this node has not folded yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExpeditedCommands {
    commands: BTreeMap<Version, StopCommand>,
}

impl ExpeditedCommands {
    /// Adds the command of a record that another node folded as accepted, and
    /// returns whether it is new and ahead of the fold.
    pub fn add(&mut self, folded: Version, version: Version, command: StopCommand) -> bool {
        let ahead = version > folded && version < VERSION_LIMIT;
        if !ahead || self.commands.len() >= MAX_COMMANDS {
            return false;
        }
        self.commands.insert(version, command).is_none()
    }

    /// Drops the commands that the fold has reached and returns whether there
    /// were any.
    pub fn drop_folded(&mut self, folded: Version) -> bool {
        let before = self.commands.len();
        self.commands.retain(|version, _| *version > folded);
        self.commands.len() != before
    }

    /// Returns whether a command takes a zone out of service.
    pub fn zone_out(&self, name: &str) -> bool {
        self.zones().any(|zone| zone == name)
    }

    /// Returns whether a command takes a VM out of service.
    pub fn vm_out(&self, name: &str) -> bool {
        self.vms().any(|vm| vm == name)
    }

    /// Yields the zones that commands take out of service.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.commands.values().filter_map(|command| match command {
            StopCommand::Zone(name) => Some(name.as_str()),
            StopCommand::Vm(_) => None,
        })
    }

    /// Yields the VMs that commands take out of service.
    pub fn vms(&self) -> impl Iterator<Item = &str> {
        self.commands.values().filter_map(|command| match command {
            StopCommand::Vm(name) => Some(name.as_str()),
            StopCommand::Zone(_) => None,
        })
    }

    /// Returns whether no command is ahead of the fold.
    pub fn is_empty(&self) -> bool {
        self.commands.is_empty()
    }
}

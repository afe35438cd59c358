//! Read access to the state for routing and the command line.

use sesamerock_base::key;
use sesamerock_base::version::Version;

use super::entry::{Adapter, Availability, Group, Model, Service, Upstream};
use super::outcome::Conflict;
use super::past::PastVerdict;
use super::{State, edit};
use crate::call;
use crate::key::{Adapter as AdapterKey, Service as ServiceKey};
use crate::note::Note;
use crate::table::Table;

impl State {
    /// Returns the upstreams that exist, in service or not.
    pub fn upstreams(&self) -> &Table<key::Upstream, Upstream> {
        &self.upstreams
    }

    /// Returns the models.
    pub fn models(&self) -> &Table<key::Model, Model> {
        &self.models
    }

    /// Returns the adapters.
    pub fn adapters(&self) -> &Table<AdapterKey, Adapter> {
        &self.adapters
    }

    /// Returns the plain services.
    pub fn services(&self) -> &Table<ServiceKey, Service> {
        &self.services
    }

    /// Returns the zones; only those taken out of service at least once have a
    /// live entry.
    pub fn zones(&self) -> &Table<key::Zone, Availability> {
        &self.zones
    }

    /// Returns the VMs; only those taken out of service at least once have a
    /// live entry.
    pub fn vms(&self) -> &Table<key::Vm, Availability> {
        &self.vms
    }

    /// Returns the groups with their ranks.
    pub fn groups(&self) -> &Table<key::Group, Group> {
        &self.groups
    }

    /// Returns whether operators took a zone out of service.
    pub fn zone_out(&self, zone: key::Zone) -> bool {
        self.zones.get(zone).is_some_and(|place| place.out)
    }

    /// Returns whether operators took a VM out of service.
    pub fn vm_out(&self, vm: key::Vm) -> bool {
        self.vms.get(vm).is_some_and(|place| place.out)
    }

    /// Returns whether zone and VM of an upstream are both in service.
    pub fn in_service(&self, upstream: &Upstream) -> bool {
        !self.zone_out(upstream.zone) && !self.vm_out(upstream.vm)
    }

    /// Yields the upstreams whose zone and VM are in service.
    pub fn serving_upstreams(&self) -> impl Iterator<Item = (key::Upstream, &Upstream)> {
        self.upstreams
            .iter()
            .filter(|(_, upstream)| self.in_service(upstream))
    }

    /// Returns the version of a model that an upstream is to serve, or `None`
    /// if it is not to serve the model.
    pub fn serving(&self, upstream: key::Upstream, model: key::Model) -> Option<u32> {
        let served = self.upstreams.get(upstream)?.serves(model)?;
        let followed = self.models.get(model).map(|model| model.version);
        served.version.or(followed)
    }

    /// Returns whether a call to an upstream must not be repeated.
    pub fn not_repeatable(&self, upstream: key::Upstream, method: &str, path: &str) -> bool {
        let Some(entry) = self.upstreams.get(upstream) else {
            return false;
        };
        let service = entry.service.and_then(|key| self.services.get(key));
        let shared = service.map_or(&[][..], |service| &service.not_repeatable);
        entry
            .not_repeatable
            .iter()
            .chain(shared)
            .any(|rule| call::covers(rule, method, path))
    }

    /// Returns the verdict on a recent note, zone or VM record.
    pub fn verdict(&self, id: &str) -> Option<&PastVerdict> {
        self.recent.find(id).map(AsRef::as_ref)
    }

    /// Yields the recent verdicts, oldest first.
    pub fn verdicts(&self) -> impl Iterator<Item = &PastVerdict> {
        self.recent.iter().map(AsRef::as_ref)
    }

    /// Checks a note as if it were appended now, so that errors are reported
    /// before the note reaches the log. A note without base version is checked
    /// against the current one.
    ///
    /// # Errors
    ///
    /// Returns the conflicts with which the fold would reject the note.
    pub fn review(&self, note: &Note) -> Result<(), Vec<Conflict>> {
        edit::review(self, note)
    }

    /// Returns the highest version at which an entry was withdrawn and then
    /// evicted. Notes based on older versions cannot add entries, since the
    /// state can no longer tell whether they conflict with a withdrawal.
    pub fn floor(&self) -> Version {
        self.floor
    }
}

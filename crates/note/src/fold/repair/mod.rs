//! Repair of references after a merge.

use std::sync::Arc;

use sesamerock_base::key;

use super::entry::{Adapter, Model, Service, Stamped, Upstream};
use super::row::Entry;
use super::{Slot, State};

impl State {
    /// Restores the references between entries after a join: two histories may
    /// each be valid while their union is not. Repaired entries get the version
    /// of the merge, so that a later join with either history keeps the repair.
    pub(super) fn repair(&mut self) {
        let mut upstreams: Vec<_> = self.upstreams.iter().map(|(key, _)| key).collect();
        upstreams.sort_by(|a, b| self.upstreams.name(*a).cmp(self.upstreams.name(*b)));
        for key in upstreams {
            self.repair_upstream(key);
        }
        let adapters: Vec<_> = self.adapters.iter().map(|(_, entry)| entry.model).collect();
        for model in adapters {
            self.restore_entry::<Model>(model);
        }
    }

    fn repair_upstream(&mut self, key: key::Upstream) {
        let Some(upstream) = self.upstreams.get(key).cloned() else {
            return;
        };
        if let Some(service) = upstream.service {
            self.restore_entry::<Service>(service);
        }
        for served in &upstream.models {
            self.restore_entry::<Model>(served.model);
            for adapter in &served.adapters {
                self.restore_entry::<Adapter>(*adapter);
            }
            let pinned = served.version;
            let model = self.models.get(served.model).cloned();
            if let (Some(version), Some(mut model)) = (pinned, model)
                && !model.versions.contains(&version)
            {
                let mut versions = model.versions.to_vec();
                versions.push(version);
                versions.sort_unstable();
                model.highest = model.highest.max(version);
                model.versions = versions.into();
                model.changed = self.version();
                self.put(served.model, &Slot::Live(Arc::new(model)));
            }
        }
        self.repair_rank(key, &upstream);
    }

    /// Withdraws an upstream whose rank is also held by one that changed later.
    fn repair_rank(&mut self, key: key::Upstream, upstream: &Upstream) {
        let Some(rank) = upstream.rank else {
            return;
        };
        let Some(group) = self.groups.get(rank.group) else {
            return;
        };
        let order = |key| {
            let changed = self.upstreams.get(key).map(Stamped::changed);
            (changed, self.upstreams.name(key))
        };
        let holders = group.ranks.iter().filter(|(index, _)| *index == rank.index);
        let last = holders.map(|(_, holder)| *holder).max_by_key(|k| order(*k));
        if last != Some(key) {
            let mut entry = upstream.clone();
            entry.changed = self.version();
            self.put_upstream(key, &Slot::Withdrawn(Arc::new(entry)));
        }
    }

    /// Restores a withdrawn entry that another entry refers to.
    fn restore_entry<E: Entry>(&mut self, key: E::Key) {
        if let Slot::Withdrawn(entry) = E::table(self).slot(key) {
            let entry = entry.stamped(self.version());
            self.put(key, &Slot::Live(Arc::new(entry)));
        }
    }
}

//! Groups of ranks in the control state, and whether a group can execute steps.

use sesamerock_base::key::Group;
use sesamerock_note::fold::State;
use sesamerock_note::fold::entry;
use sesamerock_route::profile::StepBlocker;

use super::rows::Source;

impl Source<'_> {
    /// Returns the reason why a group cannot execute steps, according to the
    /// control state and the VM list; `None` if it can. Of several reasons, the
    /// most severe.
    pub(super) fn unable(&self, group: Group) -> Option<StepBlocker> {
        let ranks = &self.state.groups().get(group)?.ranks;
        if !(0..).zip(ranks).all(|(index, (rank, _))| index == *rank) {
            return Some(StepBlocker::Missing);
        }
        let reason = |entry: &entry::Upstream| {
            if self.state.in_service(entry) {
                (!self.serving(entry)).then_some(StepBlocker::Leaving)
            } else {
                Some(StepBlocker::Out)
            }
        };
        let of_rank = |(_, key): &(u32, _)| {
            let entry = self.state.upstreams().get(*key);
            entry.map_or(Some(StepBlocker::Missing), reason)
        };
        ranks.iter().filter_map(of_rank).max()
    }
}

/// Returns the groups of the new state whose ranks differ from the former
/// state.
pub(super) fn changed(before: &State, now: &State) -> Vec<Group> {
    let groups = now.groups().differing(before.groups());
    groups.map(|(group, _)| group).collect()
}

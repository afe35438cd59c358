//! Cohorts: bounded sets of units that each plan the rollout of a model.
//!
//! A model may be served by hundreds of upstreams, and the cost of an agent
//! that received the reports of all of them would grow with their number. The
//! units of a model are therefore divided, in the order that all nodes share,
//! into cohorts of a few. Each is
//! planned on its own: a bounded share of each cohort changes at once, hence of
//! the model, and the cost per agent does not grow with the number of nodes.

use std::collections::BTreeMap;

use sesamerock_base::key;

use super::unit::{fnv, order_key};
use crate::fold::State;
use crate::note::Kind;

/// Maximum units of a cohort. A share of a quarter lets two of eight change at
/// once, and each agent requests reports from at most seven others.
pub const MAX_UNITS: usize = 8;

/// Returns the upstreams of the cohort to which an upstream belongs for a
/// model, including the upstream itself even if it should no longer serve the
/// model. A cohort has at most `max_units` units, usually [`MAX_UNITS`].
///
/// Nodes with different versions of the control state may form different
/// cohorts. The shares that change at once then add up over both divisions
/// until all nodes have the same version.
pub fn members(
    state: &State,
    model: key::Model,
    upstream: key::Upstream,
    max_units: usize,
) -> Vec<key::Upstream> {
    let name = state.models().name(model);
    let mut units: BTreeMap<(u64, u64), Vec<key::Upstream>> = BTreeMap::new();
    for (key, entry) in state.upstreams().iter() {
        if entry.kind == Kind::Engine && entry.serves(model).is_some() {
            let unit = hash(state, key);
            let members = units.entry((order_key(unit, name), unit)).or_default();
            members.push(key);
        }
    }
    let unit = hash(state, upstream);
    let own = (order_key(unit, name), unit);
    let index = units
        .range(..own)
        .count()
        .min(units.len().saturating_sub(1));
    let cohorts = units.len().div_ceil(max_units.max(1)).max(1);
    // Balanced, so that no cohort has a single unit while others are full.
    let cohort_of = |index: usize| index * cohorts / units.len().max(1);
    let cohort = cohort_of(index);
    let units = units.values().enumerate();
    let same_cohort = units.filter(|(index, _)| cohort_of(*index) == cohort);
    let mut members: Vec<_> = same_cohort
        .flat_map(|(_, members)| members.clone())
        .collect();
    if !members.contains(&upstream) {
        members.push(upstream);
    }
    members
}

/// Returns the hash of the unit of an upstream.
fn hash(state: &State, key: key::Upstream) -> u64 {
    let entry = state.upstreams().get(key);
    match entry.and_then(|upstream| upstream.rank) {
        Some(rank) => fnv(&[state.groups().name(rank.group), "/group"]),
        None => fnv(&[state.upstreams().name(key)]),
    }
}

//! Stores the contents of expert maps by number.
//!
//! The number of a planned map is a hash of its content. Two concurrent leaders,
//! or a leader and its successor, can therefore not assign the same number to two
//! contents, and no process has to store which numbers are in use.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use sesamerock_client::engine::Placement;
use sesamerock_place::map::{Layer, Map};

/// Bit that is set in the numbers of planned maps, and not in those of maps that
/// engines have from the start.
const PLANNED_BIT: u64 = 1 << 63;
/// Most contents kept. A member keeps four maps staged beside those in use.
const MAX_CONTENTS: usize = 8;

/// Returns whether a number is that of a map from the planner.
pub(super) const fn is_planned(map: u64) -> bool {
    map & PLANNED_BIT != 0
}

/// Returns the number of a content: 63 bits of its hash.
///
/// The encoding is part of the number, so the fields of [`Placement`] and
/// their order must not change.
pub(super) fn number_of(placement: &Placement) -> u64 {
    let encoded = bincode::serialize(placement).unwrap_or_default();
    let hash = blake3::hash(&encoded);
    let first = hash.as_bytes().iter().take(8);
    first.fold(0, |number, byte| number << 8 | u64::from(*byte)) | PLANNED_BIT
}

/// Converts the content of a map for the planner, which validates it.
pub(super) fn to_map(placement: &Placement) -> Map {
    let layers = placement.layers.iter();
    Map {
        slots: placement.slots.clone(),
        layers: layers
            .map(|layer| Layer::new(layer.iter().cloned()))
            .collect(),
    }
}

/// Converts a map of the planner to the form that engines take.
pub(super) fn from_map(map: &Map) -> Placement {
    let layers = map.layers.iter().map(|layer| {
        let experts = 0..layer.experts();
        experts.map(|expert| layer.hosts(expert).to_vec()).collect()
    });
    Placement {
        slots: map.slots.clone(),
        layers: layers.collect(),
    }
}

/// A content as the difference to that of another map. For a map of the planner
/// this takes about a hundredth of the bytes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Difference {
    /// Number of the other map, to which the difference applies.
    base: u64,
    /// Layer, expert and new hosts of each expert whose hosts differ.
    hosts: Vec<(u16, u16, Vec<u16>)>,
}

impl Difference {
    /// Returns the difference of `placement` to `base`, the map with this number,
    /// or `None` if the maps differ in slots, layers or experts.
    fn of(placement: &Placement, number: u64, base: &Placement) -> Option<Self> {
        let shape = |of: &Placement| of.layers.iter().map(Vec::len).collect::<Vec<_>>();
        if placement.slots != base.slots || shape(placement) != shape(base) {
            return None;
        }
        let mut hosts = Vec::new();
        for (layer, (new, old)) in (0..).zip(placement.layers.iter().zip(&base.layers)) {
            for (expert, (new, old)) in (0..).zip(new.iter().zip(old)) {
                if new != old {
                    hosts.push((layer, expert, new.clone()));
                }
            }
        }
        Some(Self {
            base: number,
            hosts,
        })
    }

    fn apply(self, base: &Placement) -> Option<Placement> {
        let mut placement = base.clone();
        for (layer, expert, hosts) in self.hosts {
            let layer = placement.layers.get_mut(usize::from(layer))?;
            *layer.get_mut(usize::from(expert))? = hosts;
        }
        Some(placement)
    }
}

/// The contents that this agent knows, most recently used last.
#[derive(Debug, Default)]
pub(super) struct Contents(Mutex<VecDeque<(u64, Arc<Placement>)>>);

impl Contents {
    /// Returns the content of a map and marks it as used.
    pub(super) fn get(&self, map: u64) -> Option<Arc<Placement>> {
        let mut known = self.lock();
        let index = known.iter().position(|(number, _)| *number == map)?;
        let found = known.remove(index)?;
        let placement = Arc::clone(&found.1);
        known.push_back(found);
        Some(placement)
    }

    /// Stores a content and returns true, or returns false if the number is that
    /// of a planned map and does not match the content.
    pub(super) fn insert(&self, map: u64, placement: Placement) -> bool {
        if is_planned(map) && number_of(&placement) != map {
            return false;
        }
        let mut known = self.lock();
        if known.iter().all(|(number, _)| *number != map) {
            known.push_back((map, Arc::new(placement)));
            if known.len() > MAX_CONTENTS {
                known.pop_front();
            }
        }
        true
    }

    /// Returns the numbers of the maps whose contents are known.
    pub(super) fn numbers(&self) -> Vec<u64> {
        self.lock().iter().map(|(number, _)| *number).collect()
    }

    /// Returns a content as the difference to the last of the `known` maps whose
    /// content is also stored here; `None` if there is none or the maps differ in
    /// shape.
    pub(super) fn difference(&self, placement: &Placement, known: &[u64]) -> Option<Difference> {
        let common = known.iter().rev().find_map(|number| {
            let base = self.get(*number)?;
            Some((*number, base))
        });
        let (number, base) = common?;
        Difference::of(placement, number, &base)
    }

    /// Stores the content of a planned map that arrived as a difference. Returns
    /// false if the base is not stored here, or if the result does not match the
    /// number.
    pub(super) fn insert_difference(&self, map: u64, difference: Difference) -> bool {
        let base = self.get(difference.base);
        let placement = base.and_then(|base| difference.apply(&base));
        placement.is_some_and(|placement| is_planned(map) && self.insert(map, placement))
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<(u64, Arc<Placement>)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

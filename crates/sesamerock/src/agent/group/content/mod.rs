//! Contents of expert maps by number.
//!
//! The number of a planned map is a hash of its content. Two leaders at once,
//! or a leader and its successor, can therefore never give one number to two
//! contents, and no process has to remember which numbers were used.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use sesamerock_client::engine::Placement;
use sesamerock_place::map::{Layer, Map};

/// Marks the numbers of planned maps, apart from maps that engines know.
const PLANNED_BIT: u64 = 1 << 63;
/// Contents kept; a member keeps four maps staged beside those in use.
const MAX_CONTENTS: usize = 8;

/// Returns whether a number is that of a planned map.
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

/// Converts the content of a map for the planner; the planner checks it.
pub(super) fn to_map(placement: &Placement) -> Map {
    let layers = placement.layers.iter();
    Map {
        slots: placement.slots.clone(),
        layers: layers
            .map(|layer| Layer::new(layer.iter().cloned()))
            .collect(),
    }
}

/// Converts a map of the planner for engines.
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

/// A content as the difference to another one, which is a hundredth of it for
/// a map of the planner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Difference {
    /// Number of the other map.
    base: u64,
    /// Hosts that differ, with their layer and expert.
    hosts: Vec<(u16, u16, Vec<u16>)>,
}

impl Difference {
    /// Returns the hosts of `placement` that differ from `base`, or `None` if
    /// the maps differ in shape.
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

/// Contents that this agent knows, those used last at the end.
#[derive(Debug, Default)]
pub(super) struct Contents(Mutex<VecDeque<(u64, Arc<Placement>)>>);

impl Contents {
    /// Returns the content of a map.
    pub(super) fn get(&self, map: u64) -> Option<Arc<Placement>> {
        let mut known = self.lock();
        let index = known.iter().position(|(number, _)| *number == map)?;
        let found = known.remove(index)?;
        let placement = Arc::clone(&found.1);
        known.push_back(found);
        Some(placement)
    }

    /// Keeps a content, unless it is not that of the number.
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

    /// Returns a content as the difference to the last of the `known` maps that
    /// is known here too.
    pub(super) fn difference(&self, placement: &Placement, known: &[u64]) -> Option<Difference> {
        let common = known.iter().rev().find_map(|number| {
            let base = self.get(*number)?;
            Some((*number, base))
        });
        let (number, base) = common?;
        Difference::of(placement, number, &base)
    }

    /// Keeps the content of a planned map that arrived as a difference, unless
    /// it is not that of the number.
    pub(super) fn insert_difference(&self, map: u64, difference: Difference) -> bool {
        let base = self.get(difference.base);
        let placement = base.and_then(|base| difference.apply(&base));
        placement.is_some_and(|placement| is_planned(map) && self.insert(map, placement))
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<(u64, Arc<Placement>)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Contents of expert maps by number.
//!
//! The number of a planned map is a hash of its content. Two leaders at once,
//! or a leader and its successor, can therefore never give one number to two
//! contents, and no process has to remember which numbers were used.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sesamerock_place::map::{Layer, Map};
use sesamerock_platform::engine::Placement;

/// Marks the numbers of planned maps, apart from maps that engines know.
const PLANNED: u64 = 1 << 63;
/// Contents kept; a member keeps four maps staged beside those in use.
const KEPT: usize = 8;

/// Returns whether a number is that of a planned map.
pub(super) const fn planned(map: u64) -> bool {
    map & PLANNED != 0
}

/// Returns the number of a content: 63 bits of its hash.
///
/// The encoding is part of the number, so the fields of [`Placement`] and
/// their order must not change.
pub(super) fn number_of(placement: &Placement) -> u64 {
    let encoded = bincode::serialize(placement).unwrap_or_default();
    let hash = blake3::hash(&encoded);
    let first = hash.as_bytes().iter().take(8);
    first.fold(0, |number, byte| number << 8 | u64::from(*byte)) | PLANNED
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
pub(super) fn of_map(map: &Map) -> Placement {
    let layers = map.layers.iter().map(|layer| {
        let experts = 0..layer.experts();
        experts.map(|expert| layer.hosts(expert).to_vec()).collect()
    });
    Placement {
        slots: map.slots.clone(),
        layers: layers.collect(),
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
        if planned(map) && number_of(&placement) != map {
            return false;
        }
        let mut known = self.lock();
        if known.iter().all(|(number, _)| *number != map) {
            known.push_back((map, Arc::new(placement)));
            if known.len() > KEPT {
                known.pop_front();
            }
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<(u64, Arc<Placement>)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Whose turn it is: an order of units that all nodes share.
//!
//! During a rollout the units that are not done only become fewer. A node whose
//! reports are late therefore sees at least the true units before its own, and
//! waits rather than starting too early.

use std::collections::{BTreeMap, BTreeSet};

use sesamerock_base::key;

use super::unit::{Target, Unit, place};
use super::{Input, Settings};

/// Turns of all units for their models.
#[derive(Debug, Default)]
pub(super) struct Turns {
    places: BTreeMap<(key::Model, usize), Place>,
    rosters: BTreeMap<key::Model, Roster>,
}

/// Place of a unit in the order of a model.
#[derive(Clone, Copy, Debug, Default)]
struct Place {
    /// Live units that serve something and are before it, or load already.
    serving: usize,
    /// Units in service that are before it, or load already. One that does not
    /// report counts too: it is lost capacity, or acts unseen.
    open: usize,
    /// Loads before it in the order of the weight store, over all models.
    store: usize,
}

impl Place {
    fn count(&mut self, target: &Target) {
        self.open += usize::from(target.in_service);
        self.serving += usize::from(target.live && target.serving);
    }

    fn discount(&mut self, target: &Target) {
        self.open -= usize::from(target.in_service);
        self.serving -= usize::from(target.live && target.serving);
    }
}

/// What the units of a model hold.
#[derive(Clone, Debug, Default)]
pub(super) struct Roster {
    /// Units that are to serve it.
    wanted: usize,
    /// Units that are ready and reliable.
    ready: BTreeSet<usize>,
    /// Reliable units with another version warm.
    former: BTreeSet<usize>,
}

/// Why a unit must wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Wait {
    /// Other units are before it.
    Turn(usize),
    /// Other loads are before it at the weight store.
    Store(usize),
    /// It may hold the last warm copy.
    LastWarm,
}

impl Turns {
    pub(super) fn new(input: &Input<'_>, units: &[Unit], targets: &[Target]) -> Self {
        let mut turns = Self::default();
        let mut by_model: BTreeMap<key::Model, Vec<&Target>> = BTreeMap::new();
        for target in targets {
            by_model.entry(target.model).or_default().push(target);
            turns.enrol(target);
        }
        for (model, mut list) in by_model {
            let name = input.state.models().name(model);
            list.sort_by_key(|target| place(units[target.unit].hash, name));
            turns.line_up(&list);
        }
        turns.queue_loads(input, units, targets);
        turns
    }

    fn enrol(&mut self, target: &Target) {
        let roster = self.rosters.entry(target.model).or_default();
        roster.wanted += 1;
        if target.ready && target.reliable {
            roster.ready.insert(target.unit);
        } else if target.warm && target.reliable {
            roster.former.insert(target.unit);
        }
    }

    /// Numbers the units of one model that are not done.
    fn line_up(&mut self, list: &[&Target]) {
        let open: Vec<_> = list.iter().filter(|target| !target.ready).collect();
        let mut before = Place::default();
        // Units that load although they are later in the order count as well.
        let mut after = Place::default();
        for target in open.iter().filter(|target| target.loading) {
            after.count(target);
        }
        for target in open {
            if target.loading {
                after.discount(target);
            }
            let place = self.places.entry((target.model, target.unit)).or_default();
            place.open = before.open + after.open;
            place.serving = before.serving + after.serving;
            before.count(target);
        }
    }

    /// Numbers the loads of all models for the weight store.
    fn queue_loads(&mut self, input: &Input<'_>, units: &[Unit], targets: &[Target]) {
        let open = targets.iter().filter(|target| target.live);
        let mut open: Vec<_> = open.filter(|t| t.missing || t.loading).collect();
        open.sort_by_key(|target| {
            let name = input.state.models().name(target.model);
            // Running loads go first, whatever their hash.
            (!target.loading, place(units[target.unit].hash, name))
        });
        for (index, target) in open.iter().enumerate() {
            let place = self.places.entry((target.model, target.unit)).or_default();
            place.store = index;
        }
    }

    /// Returns whether a unit may fetch a model beside what it holds.
    pub(super) fn may_load(&self, target: &Target, settings: &Settings) -> Result<(), Wait> {
        let place = self.place(target);
        if target.serving && place.serving >= self.limit(target.model, settings) {
            return Err(Wait::Turn(place.serving));
        }
        if place.store >= settings.store_loads.max(1) {
            return Err(Wait::Store(place.store));
        }
        Ok(())
    }

    /// Returns whether a unit may give up what it serves of a model before it
    /// is ready for the version it is to serve.
    pub(super) fn may_interrupt(&self, target: &Target, settings: &Settings) -> Result<(), Wait> {
        if !target.warm {
            return Ok(());
        }
        let limit = self.limit(target.model, settings);
        let ahead = self.place(target).open;
        if ahead >= limit {
            return Err(Wait::Turn(ahead));
        }
        if self.kept_elsewhere(target.model, target.unit) {
            return Ok(());
        }
        // Up to `limit - 1` of the units that hold another version may be
        // giving it up at this moment too.
        let roster = self.rosters.get(&target.model);
        let former = roster.map_or(0, |roster| {
            roster
                .former
                .iter()
                .filter(|unit| **unit != target.unit)
                .count()
        });
        if former < limit {
            return Err(Wait::LastWarm);
        }
        Ok(())
    }

    /// Returns whether another unit is ready for a model and will keep it.
    pub(super) fn kept_elsewhere(&self, model: key::Model, unit: usize) -> bool {
        let roster = self.rosters.get(&model);
        roster.is_some_and(|roster| roster.ready.iter().any(|other| *other != unit))
    }

    /// Returns the units that are ready for a model and will keep it.
    pub(super) fn ready(&self, model: key::Model) -> impl Iterator<Item = usize> {
        let roster = self.rosters.get(&model);
        roster
            .into_iter()
            .flat_map(|roster| roster.ready.iter().copied())
    }

    fn place(&self, target: &Target) -> Place {
        let place = self.places.get(&(target.model, target.unit));
        place.copied().unwrap_or_default()
    }

    /// Returns how many units of a model may load at once, at least one.
    fn limit(&self, model: key::Model, settings: &Settings) -> usize {
        let wanted = self.rosters.get(&model).map_or(0, |roster| roster.wanted);
        ((wanted as f64 * settings.share) as usize).max(1)
    }
}

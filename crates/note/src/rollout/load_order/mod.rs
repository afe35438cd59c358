//! Order in which units may load, which all nodes compute alike.
//!
//! During a rollout the set of unfinished units only shrinks. A node with late
//! reports therefore sees at least the units that are really before its own,
//! and waits rather than starting too early.

use std::collections::{BTreeMap, BTreeSet};

use sesamerock_base::key;

use super::unit::{Target, Unit, order_key};
use super::{Input, Settings};

/// Positions of all units in the load order of their models.
#[derive(Debug, Default)]
pub(super) struct LoadOrder {
    positions: BTreeMap<(key::Model, usize), Position>,
    models: BTreeMap<key::Model, ModelUnits>,
}

/// Position of a unit in the order of a model.
#[derive(Clone, Copy, Debug, Default)]
struct Position {
    /// Reachable units that serve something and are before this one or already
    /// loading.
    serving: usize,
    /// Units in service that are before this one or already loading. A unit
    /// that does not report counts too: it is lost capacity, or it acts
    /// unobserved.
    open: usize,
    /// Loads before this one in the order of the weight store, over all models.
    store: usize,
}

impl Position {
    fn count(&mut self, target: &Target) {
        self.open += usize::from(target.in_service);
        self.serving += usize::from(target.live && target.serving);
    }

    fn discount(&mut self, target: &Target) {
        self.open -= usize::from(target.in_service);
        self.serving -= usize::from(target.live && target.serving);
    }
}

/// State of the units that should serve a model.
#[derive(Clone, Debug, Default)]
pub(super) struct ModelUnits {
    /// Number of units that should serve the model.
    desired: usize,
    /// Units that are ready and reliable.
    ready: BTreeSet<usize>,
    /// Reliable units with another version warm.
    former: BTreeSet<usize>,
}

/// Why a unit must wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Wait {
    /// This many other units are before the unit.
    Turn(usize),
    /// This many other loads are before the unit at the weight store.
    Store(usize),
    /// The unit may hold the last warm copy.
    LastWarm,
}

impl LoadOrder {
    pub(super) fn new(input: &Input<'_>, units: &[Unit], targets: &[Target]) -> Self {
        let mut order = Self::default();
        let mut by_model: BTreeMap<key::Model, Vec<&Target>> = BTreeMap::new();
        for target in targets {
            by_model.entry(target.model).or_default().push(target);
            order.add_target(target);
        }
        for (model, mut list) in by_model {
            let name = input.state.models().name(model);
            list.sort_by_key(|target| order_key(units[target.unit].hash, name));
            order.order_units(&list);
        }
        order.order_loads(input, units, targets);
        order
    }

    fn add_target(&mut self, target: &Target) {
        let units_of_model = self.models.entry(target.model).or_default();
        units_of_model.desired += 1;
        if target.ready && target.reliable {
            units_of_model.ready.insert(target.unit);
        } else if target.warm && target.reliable {
            units_of_model.former.insert(target.unit);
        }
    }

    /// Assigns positions to the unfinished units of one model.
    fn order_units(&mut self, list: &[&Target]) {
        let open: Vec<_> = list.iter().filter(|target| !target.ready).collect();
        let mut before = Position::default();
        // Units that load although they are later in the order count as well.
        let mut after = Position::default();
        for target in open.iter().filter(|target| target.loading) {
            after.count(target);
        }
        for target in open {
            if target.loading {
                after.discount(target);
            }
            let position = self
                .positions
                .entry((target.model, target.unit))
                .or_default();
            position.open = before.open + after.open;
            position.serving = before.serving + after.serving;
            before.count(target);
        }
    }

    /// Assigns positions at the weight store to the loads of all models.
    fn order_loads(&mut self, input: &Input<'_>, units: &[Unit], targets: &[Target]) {
        let open = targets.iter().filter(|target| target.live);
        let mut open: Vec<_> = open.filter(|t| t.missing || t.loading).collect();
        open.sort_by_key(|target| {
            let name = input.state.models().name(target.model);
            // Running loads go first, whatever their hash.
            (!target.loading, order_key(units[target.unit].hash, name))
        });
        for (index, target) in open.iter().enumerate() {
            let position = self
                .positions
                .entry((target.model, target.unit))
                .or_default();
            position.store = index;
        }
    }

    /// Returns whether a unit may load a model in addition to those it holds.
    pub(super) fn may_load(&self, target: &Target, settings: &Settings) -> Result<(), Wait> {
        let position = self.position(target);
        if target.serving && position.serving >= self.limit(target.model, settings) {
            return Err(Wait::Turn(position.serving));
        }
        if position.store >= settings.store_loads.max(1) {
            return Err(Wait::Store(position.store));
        }
        Ok(())
    }

    /// Returns whether a unit may stop serving a model before it is ready for
    /// the version it should serve.
    pub(super) fn may_interrupt(&self, target: &Target, settings: &Settings) -> Result<(), Wait> {
        if !target.warm {
            return Ok(());
        }
        let limit = self.limit(target.model, settings);
        let ahead = self.position(target).open;
        if ahead >= limit {
            return Err(Wait::Turn(ahead));
        }
        if self.ready_elsewhere(target.model, target.unit) {
            return Ok(());
        }
        // Up to `limit - 1` of the units that hold another version may be
        // unloading it at the same time.
        let units_of_model = self.models.get(&target.model);
        let former = units_of_model.map_or(0, |units_of_model| {
            units_of_model
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
    pub(super) fn ready_elsewhere(&self, model: key::Model, unit: usize) -> bool {
        let units_of_model = self.models.get(&model);
        units_of_model
            .is_some_and(|units_of_model| units_of_model.ready.iter().any(|other| *other != unit))
    }

    /// Returns the units that are ready for a model and will keep it.
    pub(super) fn ready(&self, model: key::Model) -> impl Iterator<Item = usize> {
        let units_of_model = self.models.get(&model);
        units_of_model
            .into_iter()
            .flat_map(|units_of_model| units_of_model.ready.iter().copied())
    }

    fn position(&self, target: &Target) -> Position {
        let position = self.positions.get(&(target.model, target.unit));
        position.copied().unwrap_or_default()
    }

    /// Returns how many units of a model may load at once, at least one.
    fn limit(&self, model: key::Model, settings: &Settings) -> usize {
        let desired = self
            .models
            .get(&model)
            .map_or(0, |units_of_model| units_of_model.desired);
        ((desired as f64 * settings.share) as usize).max(1)
    }
}

//! Planning of steps, stalls and holds for all units and upstreams.

use std::collections::BTreeMap;

use sesamerock_base::key;

use super::load_order::LoadOrder;
use super::report::{Phase, Report};
use super::unit::{self, Target, Unit};
use super::{Command, Hold, Input, Plan, Reason, Stall, Step};
use crate::fold::entry::Upstream;
use crate::key::Adapter;
use crate::note::Role;

/// Builds a [`Plan`] from units, their targets and the load order.
pub(super) struct Planner<'a> {
    input: &'a Input<'a>,
    units: &'a [Unit],
    targets: &'a [Target],
    load_order: &'a LoadOrder,
    /// Loads that this plan starts, by upstream.
    started: BTreeMap<key::Upstream, usize>,
    plan: Plan,
}

impl<'a> Planner<'a> {
    /// Plans every model of every upstream.
    pub(super) fn plan(
        input: &'a Input<'a>,
        units: &'a [Unit],
        targets: &'a [Target],
        load_order: &'a LoadOrder,
    ) -> Plan {
        let mut planner = Self {
            input,
            units,
            targets,
            load_order,
            started: BTreeMap::new(),
            plan: Plan::default(),
        };
        planner.run();
        planner.plan
    }

    fn run(&mut self) {
        for target in self.targets {
            self.plan.progress.desired += 1;
            self.plan.progress.ready += usize::from(target.ready);
            self.plan.progress.loading += usize::from(target.loading);
            for member in &self.units[target.unit].members {
                self.plan_member(target, *member);
            }
        }
        for (index, unit) in self.units.iter().enumerate() {
            for member in &unit.members {
                self.unload_leftovers(index, *member);
            }
        }
    }

    /// Plans one model of one upstream.
    fn plan_member(&mut self, target: &Target, key: key::Upstream) {
        if !target.live {
            return self.stall(key, target.model, Reason::Unreachable);
        }
        let state = self.input.state;
        let reports = self.input.reports;
        let (Some(upstream), Some(report)) = (state.upstreams().get(key), reports.get(key)) else {
            return;
        };
        let loaded = report.find(target.model, target.version);
        match loaded.map(|loaded| loaded.phase) {
            None => self.load(target, key, report),
            Some(Phase::Loading | Phase::Cold) => {}
            Some(Phase::Warm) => self.finish(target, key, upstream, report),
        }
    }

    /// Loads the target version, or first unloads another version of the model
    /// if the engine has no room.
    fn load(&mut self, target: &Target, key: key::Upstream, report: &Report) {
        let refused = self.input.store_refused_until;
        if refused.is_some_and(|until| self.input.now < until) {
            return self.stall(key, target.model, Reason::StoreRefused);
        }
        if let Err(wait) = self.load_order.may_load(target, &self.input.settings) {
            return self.stall(key, target.model, wait.into());
        }
        let Target { model, version, .. } = *target;
        let started = self.started.entry(key).or_default();
        if *started < report.room {
            *started += 1;
            return self.step(key, Command::Load { model, version });
        }
        let older = report
            .loaded
            .iter()
            .find(|loaded| loaded.model == model && loaded.version != version);
        let Some(older) = older else {
            return self.stall(key, model, Reason::Room);
        };
        match self.load_order.may_interrupt(target, &self.input.settings) {
            Ok(()) => self.step(
                key,
                Command::Unload {
                    model,
                    version: older.version,
                },
            ),
            Err(wait) => self.stall(key, model, wait.into()),
        }
    }

    /// Loads the adapters and sets the role of a warm version, and unloads
    /// other versions of the model once the whole unit is ready.
    fn finish(
        &mut self,
        target: &Target,
        key: key::Upstream,
        upstream: &Upstream,
        report: &Report,
    ) {
        let Target { model, version, .. } = *target;
        for (adapter, version) in
            unit::missing_adapters(self.input, upstream, report, model, version)
        {
            let command = Command::LoadAdapter {
                model,
                adapter,
                version,
            };
            self.step(key, command);
        }
        if report.role != upstream.role {
            match self.load_order.may_interrupt(target, &self.input.settings) {
                Ok(()) => self.change_role(target.unit, key, upstream.role),
                Err(wait) => self.stall(key, model, wait.into()),
            }
        }
        if !target.ready {
            return;
        }
        let older = report
            .loaded
            .iter()
            .filter(|loaded| loaded.model == model && loaded.version != version);
        for loaded in older {
            let version = loaded.version;
            self.plan.progress.leftover += 1;
            self.step(key, Command::Unload { model, version });
        }
        self.drop_adapters(target, key, upstream, report);
    }

    /// Changes the role of an upstream. The role applies to all models of the
    /// unit, so it changes only if every one of them may be interrupted.
    fn change_role(&mut self, unit: usize, key: key::Upstream, role: Role) {
        let command = Command::Turn { role };
        let settings = &self.input.settings;
        // The targets are in the order of units.
        let first = self.targets.partition_point(|target| target.unit < unit);
        let own = self.targets[first..].iter();
        let own = own.take_while(|target| target.unit == unit);
        let mut permissions = own.map(|target| self.load_order.may_interrupt(target, settings));
        let step = Step {
            upstream: key,
            command,
        };
        if permissions.all(|wait| wait.is_ok()) && !self.plan.steps.contains(&step) {
            self.plan.steps.push(step);
        }
    }

    /// Unloads adapters that the upstream should no longer serve, once another
    /// unit that should serve them is ready or if no unit should.
    fn drop_adapters(
        &mut self,
        target: &Target,
        key: key::Upstream,
        upstream: &Upstream,
        report: &Report,
    ) {
        let Target { model, version, .. } = *target;
        let loaded = report.find(model, version);
        let desired = upstream
            .serves(model)
            .map_or(&[][..], |served| &served.adapters);
        let present = loaded.map_or(&[][..], |loaded| &loaded.adapters);
        for (adapter, _) in present.iter().filter(|(key, _)| !desired.contains(key)) {
            self.plan.progress.leftover += 1;
            if self.may_unload_adapter(model, *adapter) {
                let adapter = *adapter;
                self.step(key, Command::UnloadAdapter { model, adapter });
            } else {
                self.stall(key, model, Reason::LastWarm);
            }
        }
    }

    fn may_unload_adapter(&self, model: key::Model, adapter: Adapter) -> bool {
        let serves = |unit: &usize| {
            let members = self.units[*unit].members.iter();
            let mut members = members.filter_map(|key| self.input.state.upstreams().get(*key));
            members.any(|upstream| {
                let served = upstream.serves(model);
                served.is_some_and(|served| served.adapters.contains(&adapter))
            })
        };
        let desired = self.targets.iter().filter(|target| target.model == model);
        let desired = desired.map(|target| target.unit).any(|unit| serves(&unit));
        !desired || self.load_order.ready(model).any(|unit| serves(&unit))
    }

    /// Unloads models that an upstream should no longer serve, unless a model
    /// is still in use and no other unit is ready for it.
    fn unload_leftovers(&mut self, index: usize, key: key::Upstream) {
        let Some(report) = self.input.reports.get(key) else {
            return;
        };
        let leaving = self.units[index].leaving;
        let upstream = self.input.state.upstreams().get(key).filter(|_| !leaving);
        for loaded in &report.loaded {
            let (model, version) = (loaded.model, loaded.version);
            if upstream.is_some_and(|upstream| upstream.serves(model).is_some()) {
                continue;
            }
            self.plan.progress.leftover += 1;
            let in_use = self.input.state.models().get(model).is_some();
            let needed = in_use && loaded.phase == Phase::Warm;
            if needed && !self.load_order.ready_elsewhere(model, index) {
                let upstream = key;
                self.plan.holds.push(Hold {
                    upstream,
                    model,
                    version,
                });
                self.stall(key, model, Reason::LastWarm);
            } else {
                self.step(key, Command::Unload { model, version });
            }
        }
    }

    fn step(&mut self, upstream: key::Upstream, command: Command) {
        self.plan.steps.push(Step { upstream, command });
    }

    fn stall(&mut self, upstream: key::Upstream, model: key::Model, reason: Reason) {
        self.plan.stalls.push(Stall {
            upstream,
            model,
            reason,
        });
    }
}

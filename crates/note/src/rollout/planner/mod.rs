//! The walk over units and upstreams that yields steps, stalls and holds.

use std::collections::BTreeMap;

use sesamerock_base::key;

use super::report::{Phase, Report};
use super::turn::Turns;
use super::unit::{self, Target, Unit};
use super::{Command, Hold, Input, Plan, Reason, Stall, Step};
use crate::fold::entry::Upstream;
use crate::key::Adapter;
use crate::note::Role;

/// A plan in the making.
pub(super) struct Planner<'a> {
    input: &'a Input<'a>,
    units: &'a [Unit],
    targets: &'a [Target],
    turns: &'a Turns,
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
        turns: &'a Turns,
    ) -> Plan {
        let mut planner = Self {
            input,
            units,
            targets,
            turns,
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
                self.member(target, *member);
            }
        }
        for (index, unit) in self.units.iter().enumerate() {
            for member in &unit.members {
                self.leftovers(index, *member);
            }
        }
    }

    /// Plans one model of one upstream.
    fn member(&mut self, target: &Target, key: key::Upstream) {
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

    /// Fetches the wanted version, making room first if there is none.
    fn load(&mut self, target: &Target, key: key::Upstream, report: &Report) {
        let refused = self.input.store_refused_until;
        if refused.is_some_and(|until| self.input.now < until) {
            return self.stall(key, target.model, Reason::StoreRefused);
        }
        if let Err(wait) = self.turns.may_load(target, &self.input.settings) {
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
        match self.turns.may_interrupt(target, &self.input.settings) {
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

    /// Brings adapters and role to a warm version and drops other versions of
    /// the model once the whole unit is ready.
    fn finish(
        &mut self,
        target: &Target,
        key: key::Upstream,
        upstream: &Upstream,
        report: &Report,
    ) {
        let Target { model, version, .. } = *target;
        for (adapter, version) in unit::lacking(self.input, upstream, report, model, version) {
            let command = Command::LoadAdapter {
                model,
                adapter,
                version,
            };
            self.step(key, command);
        }
        if report.role != upstream.role {
            match self.turns.may_interrupt(target, &self.input.settings) {
                Ok(()) => self.turn(target.unit, key, upstream.role),
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

    /// The role serves all models, so one refusal among them keeps it.
    fn turn(&mut self, unit: usize, key: key::Upstream, role: Role) {
        let command = Command::Turn { role };
        let settings = &self.input.settings;
        // The targets are in the order of units.
        let first = self.targets.partition_point(|target| target.unit < unit);
        let mine = self.targets[first..].iter();
        let mine = mine.take_while(|target| target.unit == unit);
        let mut waits = mine.map(|target| self.turns.may_interrupt(target, settings));
        let step = Step {
            upstream: key,
            command,
        };
        if waits.all(|wait| wait.is_ok()) && !self.plan.steps.contains(&step) {
            self.plan.steps.push(step);
        }
    }

    /// Drops adapters that are no longer to be served here once a unit that is
    /// to serve them is ready, or none is.
    fn drop_adapters(
        &mut self,
        target: &Target,
        key: key::Upstream,
        upstream: &Upstream,
        report: &Report,
    ) {
        let Target { model, version, .. } = *target;
        let loaded = report.find(model, version);
        let wanted = upstream
            .serves(model)
            .map_or(&[][..], |served| &served.adapters);
        let present = loaded.map_or(&[][..], |loaded| &loaded.adapters);
        for (adapter, _) in present.iter().filter(|(key, _)| !wanted.contains(key)) {
            self.plan.progress.leftover += 1;
            if self.adapter_kept(model, *adapter) {
                let adapter = *adapter;
                self.step(key, Command::UnloadAdapter { model, adapter });
            } else {
                self.stall(key, model, Reason::LastWarm);
            }
        }
    }

    fn adapter_kept(&self, model: key::Model, adapter: Adapter) -> bool {
        let serves = |unit: &usize| {
            let members = self.units[*unit].members.iter();
            let mut members = members.filter_map(|key| self.input.state.upstreams().get(*key));
            members.any(|upstream| {
                let served = upstream.serves(model);
                served.is_some_and(|served| served.adapters.contains(&adapter))
            })
        };
        let wanted = self.targets.iter().filter(|target| target.model == model);
        let wanted = wanted.map(|target| target.unit).any(|unit| serves(&unit));
        !wanted || self.turns.ready(model).any(|unit| serves(&unit))
    }

    /// Drops models that an upstream is no longer to serve, unless they are in
    /// use and no other unit is ready.
    fn leftovers(&mut self, index: usize, key: key::Upstream) {
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
            if needed && !self.turns.kept_elsewhere(model, index) {
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

//! State of the groups whose ranks are upstreams of their own, for one selection.
//!
//! The ranks of a group run in lockstep, so the report of any rank contains the
//! step time of the group, and a rank's own step time shows whether the others
//! wait for it. The two values differ in age: a rank without work sends no
//! reports, while every response from the group contains the step time. See
//! `docs/notes/ranks.md`.

use std::time::Duration;

use sesamerock_base::key::{Group, Upstream};
use sesamerock_base::time::Moment;
use smallvec::SmallVec;

use super::{Picker, State};
use crate::choice::Request;
use crate::load;
use crate::profile::StepBlocker;
use crate::rank::FIXED_TOKENS;
use crate::score::Prior;

/// Ratio of a rank's own step time to the group's step time from which the rank
/// counts as one that the others wait for. It is below 1 because both are means
/// over the same steps, in which ranks of equal work take turns as the slowest.
const STRAGGLER_RATIO: f64 = 0.9;

/// State of one group of the pool.
#[derive(Debug)]
pub(super) struct GroupView {
    pub(super) group: Group,
    /// Why the group cannot step, if it cannot.
    pub(super) blocker: Option<StepBlocker>,
    /// Step time of the newest report in seconds, with the weight of the report.
    step: Option<(f64, f64)>,
    reported_at: Moment,
    /// Median own step time of the ranks in seconds, from reports of any age.
    pub(super) median_own_step: Option<f64>,
    /// Tokens that cost as much time as the fixed part of a step.
    fixed_tokens: f64,
    /// Median of the ranks' seconds per token.
    rate: f64,
    /// Whether the own step time of some rank with a report that is not stale
    /// accounts for the step time of the group.
    straggler_known: bool,
    /// Projected step time of the slowest rank in seconds.
    slowest_time: f64,
}

/// The groups of a pool.
#[derive(Debug, Default)]
pub(super) struct GroupViews(SmallVec<[GroupView; 4]>);

impl GroupViews {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn of(&self, state: &State) -> Option<&GroupView> {
        let place = state.profile.place?;
        self.0.iter().find(|view| view.group == place.group)
    }
}

impl GroupView {
    fn new(group: Group) -> Self {
        Self {
            group,
            blocker: None,
            step: None,
            reported_at: Moment::default(),
            median_own_step: None,
            fixed_tokens: FIXED_TOKENS,
            rate: 1.0,
            straggler_known: false,
            slowest_time: f64::EPSILON,
        }
    }

    /// Returns the step time in seconds with the weight of its report, if a rank
    /// reported one.
    pub(super) fn step(&self) -> Option<(f64, f64)> {
        self.step
    }

    /// Returns the seconds per token of a rank.
    ///
    /// A report loses weight with its age, so that a straggler without reports is
    /// tried again. It keeps its weight while the group's steps are long and no
    /// other rank with a recent report accounts for them, since the straggler has
    /// then not recovered.
    fn rank_rate(&self, state: &State, report_weight: f64) -> f64 {
        let Some(report) = state
            .load
            .last_report()
            .filter(|report| !report.own_step.is_zero())
        else {
            return self.rate;
        };
        let own = report.own_step.as_secs_f64();
        let tokens = report.tokens as f64 + self.fixed_tokens;
        let slowest = own >= STRAGGLER_RATIO * report.step.as_secs_f64();
        let (step, fresh) = self.step.unwrap_or((own, 0.0));
        let weight = if slowest && !self.straggler_known {
            report_weight.max(fresh)
        } else {
            report_weight
        };
        // A rank's own step time cannot exceed the step time of its group.
        weight * own.min(step) / tokens + (1.0 - weight) * self.rate
    }

    fn time(&self, state: &State, report_weight: f64, tokens: f64) -> f64 {
        (tokens + self.fixed_tokens) * self.rank_rate(state, report_weight)
    }
}

impl Picker {
    /// Returns the groups of the ranks in a pool, with the reason why a group
    /// cannot step.
    pub(super) fn groups(
        &self,
        request: &Request<'_>,
        pool: &[Upstream],
        now: Moment,
    ) -> GroupViews {
        let mut views = GroupViews::default();
        for (upstream, state, place) in self.ranks(pool) {
            let at = views.0.iter().position(|view| view.group == place.group);
            let at = at.unwrap_or_else(|| {
                views.0.push(GroupView::new(place.group));
                views.0.len() - 1
            });
            let view = &mut views.0[at];
            let unreachable = request.unreachable.contains(&upstream);
            let reported = self.reported_blocker(state, now);
            let blockers = [
                place.blocker,
                reported,
                unreachable.then_some(StepBlocker::Silent),
            ];
            view.blocker = view.blocker.max(blockers.into_iter().flatten().max());
            self.update_group_step(view, state, now);
        }
        views
    }

    /// Sets the step times of the groups and the rates of their ranks.
    pub(super) fn estimate_group_steps(
        &self,
        views: &mut GroupViews,
        pool: &[Upstream],
        prior: &Prior,
        now: Moment,
    ) {
        for view in &mut views.0 {
            let ranks = || {
                let ranks = self.ranks(pool);
                let of_group = ranks.filter(|(_, _, place)| place.group == view.group);
                of_group.map(|(_, state, _)| state)
            };
            let reports = || {
                let reports = ranks().filter_map(|state| state.load.last_report());
                reports.filter(|report| !report.own_step.is_zero())
            };
            let count = reports().count();
            if count == 0 {
                continue;
            }
            let tokens: f64 = reports().map(|report| report.tokens as f64).sum();
            let fixed = (tokens / count as f64).max(FIXED_TOKENS);
            let own = median(reports().map(|report| report.own_step.as_secs_f64()));
            let rate = |report: &load::Report| {
                report.own_step.as_secs_f64() / (report.tokens as f64 + fixed)
            };
            let rate = median(reports().map(rate));
            let step = view.step().map_or(0.0, |(step, _)| step);
            let straggler_known = ranks().any(|state| {
                let own = state
                    .load
                    .last_report()
                    .map_or(Duration::ZERO, |report| report.own_step);
                state.load.report_weight(now, &self.settings.load) > 0.0
                    && own.as_secs_f64() >= STRAGGLER_RATIO * step
            });
            let mut estimated = GroupView {
                median_own_step: Some(own),
                fixed_tokens: fixed,
                rate,
                straggler_known,
                ..GroupView::new(view.group)
            };
            (estimated.blocker, estimated.step, estimated.reported_at) =
                (view.blocker, view.step, view.reported_at);
            estimated.slowest_time = ranks()
                .map(|state| {
                    let report_weight = self.own_step_weight(state, now);
                    estimated.time(
                        state,
                        report_weight,
                        self.estimated_tokens(state, prior, now),
                    )
                })
                .fold(f64::EPSILON, f64::max);
            *view = estimated;
        }
    }

    /// Returns the fraction by which a request lengthens the steps of a rank's
    /// group.
    pub(super) fn growth(
        &self,
        view: &GroupView,
        state: &State,
        request: &Request<'_>,
        prior: &Prior,
        now: Moment,
    ) -> f64 {
        if view.median_own_step.is_none() {
            return 0.0;
        }
        let report_weight = self.own_step_weight(state, now);
        let tokens = self.estimated_tokens(state, prior, now) + request.tokens as f64;
        (view.time(state, report_weight, tokens) / view.slowest_time - 1.0).max(0.0)
    }

    /// Returns the own step time above which the slowest rank should refuse a
    /// call.
    pub(super) fn max_own_step(&self, view: &GroupView) -> Option<Duration> {
        view.median_own_step
            .map(|own| Duration::from_secs_f64(own * self.settings.max_own_step_ratio))
    }

    /// Returns the weight of a rank's reported own step time.
    fn own_step_weight(&self, state: &State, now: Moment) -> f64 {
        let settings = load::Settings {
            stale_age: self.settings.own_step_ttl,
            ..self.settings.load
        };
        state.load.report_weight(now, &settings)
    }

    fn estimated_tokens(&self, state: &State, prior: &Prior, now: Moment) -> f64 {
        let assumed = prior.estimate(&state.load);
        let estimate = state.load.estimate(now, &assumed, &self.settings.load);
        estimate.tokens
    }

    fn ranks<'a>(
        &'a self,
        pool: &'a [Upstream],
    ) -> impl Iterator<Item = (Upstream, &'a State, crate::profile::Place)> {
        pool.iter().filter_map(|upstream| {
            let state = self.state(*upstream)?;
            Some((*upstream, state, state.profile.place?))
        })
    }

    /// Returns why a group cannot step according to the profile and the last
    /// report of one rank. A stale report is ignored, so that a call finds out
    /// whether the group steps again.
    fn reported_blocker(&self, state: &State, now: Moment) -> Option<StepBlocker> {
        if state.profile.out {
            return Some(StepBlocker::Out);
        }
        if state.profile.leaving {
            return Some(StepBlocker::Leaving);
        }
        let report = state.load.last_report()?;
        let report_valid = state.load.report_weight(now, &self.settings.load) > 0.0;
        if report_valid && report.leaving {
            Some(StepBlocker::Leaving)
        } else {
            (report_valid && report.stalled).then_some(StepBlocker::Stalled)
        }
    }

    /// Takes over the step time of a rank's report if it is the newest so far.
    fn update_group_step(&self, view: &mut GroupView, state: &State, now: Moment) {
        let (Some(report), Some(at)) = (state.load.last_report(), state.load.last_report_at())
        else {
            return;
        };
        if !report.step.is_zero() && (view.step.is_none() || at > view.reported_at) {
            let report_weight = state.load.report_weight(now, &self.settings.load);
            view.step = Some((report.step.as_secs_f64(), report_weight));
            view.reported_at = at;
        }
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: SmallVec<[f64; 64]> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

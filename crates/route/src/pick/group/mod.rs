//! Groups whose ranks are upstreams of their own, as one choice sees them.
//!
//! All ranks step together, so any rank's report tells the step time of the
//! group, and a rank's own time tells whether it is the one that the others wait
//! for. Both ages differ: a rank without work sends no reports, while the step
//! time comes with every answer of the group. See `docs/notes/ranks.md`.

use std::time::Duration;

use sesamerock_base::key::{Group, Upstream};
use sesamerock_base::time::Moment;
use smallvec::SmallVec;

use super::{Picker, State};
use crate::choice::Request;
use crate::load;
use crate::profile::Unable;
use crate::rank::FIXED_TOKENS;
use crate::score::Prior;

/// Own time over the group's step time from which a rank counts as one that the
/// others wait for. Both are means over the same steps, in which ranks of equal
/// work take turns as the slowest.
const SLOWEST: f64 = 0.9;

/// One group of the pool.
#[derive(Debug)]
pub(super) struct View {
    pub(super) group: Group,
    /// Why it cannot step.
    pub(super) unable: Option<Unable>,
    /// Step time of the freshest report in seconds, with its weight.
    step: Option<(f64, f64)>,
    heard: Moment,
    /// Median own time of the ranks in seconds, from reports of any age.
    pub(super) own: Option<f64>,
    /// Tokens that cost as much time as the fixed part of a step.
    fixed: f64,
    /// Median seconds per token.
    rate: f64,
    /// Whether a rank heard of lately needs about all of the step time.
    explained: bool,
    /// Projected time of the slowest rank in seconds.
    slowest: f64,
}

/// The groups of a pool.
#[derive(Debug, Default)]
pub(super) struct Views(SmallVec<[View; 4]>);

impl Views {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn of(&self, state: &State) -> Option<&View> {
        let place = state.profile.place?;
        self.0.iter().find(|view| view.group == place.group)
    }
}

impl View {
    fn new(group: Group) -> Self {
        Self {
            group,
            unable: None,
            step: None,
            heard: Moment::default(),
            own: None,
            fixed: FIXED_TOKENS,
            rate: 1.0,
            explained: false,
            slowest: f64::EPSILON,
        }
    }

    /// Returns the step time in seconds, if a rank reported one.
    pub(super) fn step(&self) -> Option<f64> {
        self.step.map(|(step, _)| step)
    }

    /// Returns seconds per token of a rank.
    ///
    /// A report loses weight with its age, so that a silent straggler is tried
    /// again. It keeps its weight while the group's steps are long and no rank
    /// that was heard of explains it: the straggler has not recovered then.
    fn rate_of(&self, state: &State, known: f64) -> f64 {
        let Some(report) = state.load.last().filter(|report| !report.own.is_zero()) else {
            return self.rate;
        };
        let own = report.own.as_secs_f64();
        let held = report.tokens as f64 + self.fixed;
        let slowest = own >= SLOWEST * report.step.as_secs_f64();
        let (step, fresh) = self.step.unwrap_or((own, 0.0));
        let weight = if slowest && !self.explained {
            known.max(fresh)
        } else {
            known
        };
        // A rank cannot need more than the steps of its group take.
        weight * own.min(step) / held + (1.0 - weight) * self.rate
    }

    fn time(&self, state: &State, known: f64, tokens: f64) -> f64 {
        (tokens + self.fixed) * self.rate_of(state, known)
    }
}

impl Picker {
    /// Returns the groups that ranks in a pool belong to, with what hinders them.
    pub(super) fn groups(&self, request: &Request<'_>, pool: &[Upstream], now: Moment) -> Views {
        let mut views = Views::default();
        for (upstream, state, place) in self.ranks(pool) {
            let at = views.0.iter().position(|view| view.group == place.group);
            let at = at.unwrap_or_else(|| {
                views.0.push(View::new(place.group));
                views.0.len() - 1
            });
            let view = &mut views.0[at];
            let silent = request.silent.contains(&upstream);
            let told = self.told(state, now);
            let unable = [place.unable, told, silent.then_some(Unable::Silent)];
            view.unable = view.unable.max(unable.into_iter().flatten().max());
            self.hear(view, state, now);
        }
        views
    }

    /// Takes in how fast the groups step and their ranks are.
    pub(super) fn pace_groups(
        &self,
        views: &mut Views,
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
                let reports = ranks().filter_map(|state| state.load.last());
                reports.filter(|report| !report.own.is_zero())
            };
            let count = reports().count();
            if count == 0 {
                continue;
            }
            let tokens: f64 = reports().map(|report| report.tokens as f64).sum();
            let fixed = (tokens / count as f64).max(FIXED_TOKENS);
            let own = median(reports().map(|report| report.own.as_secs_f64()));
            let rate =
                |report: &load::Report| report.own.as_secs_f64() / (report.tokens as f64 + fixed);
            let rate = median(reports().map(rate));
            let step = view.step().unwrap_or(0.0);
            let explained = ranks().any(|state| {
                let own = state
                    .load
                    .last()
                    .map_or(Duration::ZERO, |report| report.own);
                state.load.known(now, &self.settings.load) > 0.0
                    && own.as_secs_f64() >= SLOWEST * step
            });
            let mut paced = View {
                own: Some(own),
                fixed,
                rate,
                explained,
                ..View::new(view.group)
            };
            (paced.unable, paced.step, paced.heard) = (view.unable, view.step, view.heard);
            paced.slowest = ranks()
                .map(|state| {
                    let known = self.paced(state, now);
                    paced.time(state, known, self.held(state, prior, now))
                })
                .fold(f64::EPSILON, f64::max);
            *view = paced;
        }
    }

    /// Returns by which share the steps of a rank's group become longer with a
    /// request.
    pub(super) fn growth(
        &self,
        view: &View,
        state: &State,
        request: &Request<'_>,
        prior: &Prior,
        now: Moment,
    ) -> f64 {
        if view.own.is_none() {
            return 0.0;
        }
        let known = self.paced(state, now);
        let held = self.held(state, prior, now) + request.tokens as f64;
        (view.time(state, known, held) / view.slowest - 1.0).max(0.0)
    }

    /// Returns the own step time above which the slowest rank should refuse.
    pub(super) fn slowest(&self, view: &View) -> Option<Duration> {
        view.own
            .map(|own| Duration::from_secs_f64(own * self.settings.slowest))
    }

    /// Returns the weight of a rank's reported own step time.
    fn paced(&self, state: &State, now: Moment) -> f64 {
        let settings = load::Settings {
            stale: self.settings.probe,
            ..self.settings.load
        };
        state.load.known(now, &settings)
    }

    fn held(&self, state: &State, prior: &Prior, now: Moment) -> f64 {
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

    /// Returns what a rank's own report says against its group, as long as it is
    /// believed; after that a call finds out whether the group steps again.
    fn told(&self, state: &State, now: Moment) -> Option<Unable> {
        if state.profile.out {
            return Some(Unable::Out);
        }
        if state.profile.leaving {
            return Some(Unable::Leaving);
        }
        let report = state.load.last()?;
        let believed = state.load.known(now, &self.settings.load) > 0.0;
        if believed && report.leaving {
            Some(Unable::Leaving)
        } else {
            (believed && report.stalled).then_some(Unable::Stalled)
        }
    }

    /// Takes the step time of the freshest report.
    fn hear(&self, view: &mut View, state: &State, now: Moment) {
        let (Some(report), Some(at)) = (state.load.last(), state.load.heard()) else {
            return;
        };
        if !report.step.is_zero() && (view.step.is_none() || at > view.heard) {
            let known = state.load.known(now, &self.settings.load);
            view.step = Some((report.step.as_secs_f64(), known));
            view.heard = at;
        }
    }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: SmallVec<[f64; 64]> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

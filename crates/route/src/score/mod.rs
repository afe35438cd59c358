//! Computes the expected cost of sending a request to an upstream.
//!
//! The unit is seconds of time to first token, so that queueing, prefill,
//! distance and slowness are comparable. The effect on the other calls of the
//! same group is added as the time by which their steps become longer.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::choice::Request;
use crate::load::{Estimate, Load};

/// Weights of the cost.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Prefill time of one uncached prompt token.
    pub prefill_per_token: Duration,
    /// Step time assumed if no candidate has reported one.
    pub default_step: Duration,
    /// Call limit assumed if no candidate has reported one.
    pub default_call_limit: f64,
    /// Number of steps that a call waits when the upstream is at its limit.
    pub wait_steps: f64,
    /// Number of steps for which the increase of the step time is charged to the
    /// request.
    pub growth_steps: f64,
    /// Like `growth_steps`, for a rank that is an upstream of its own. The steps
    /// of all calls of the group become longer, so this is a multiple of
    /// `growth_steps`.
    pub group_growth_steps: f64,
    /// Fraction of the prefill time that is credited to an affinity upstream
    /// while nothing shows that it has the prefix cached.
    pub affinity_share: f64,
    /// Load relative to the mean at which a cached prefix no longer reduces the
    /// cost.
    pub max_excess: f64,
    /// Time in which half of an observed slowness decays.
    pub half_life: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            prefill_per_token: Duration::from_micros(100),
            default_step: Duration::from_millis(30),
            default_call_limit: 32.0,
            wait_steps: 20.0,
            growth_steps: 32.0,
            group_growth_steps: 256.0,
            affinity_share: 0.25,
            max_excess: 1.6,
            half_life: Duration::from_secs(5),
        }
    }
}

/// Values assumed for an upstream without a fresh report: the means over the
/// candidates that have reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prior {
    /// Mean number of tokens in flight.
    pub tokens: f64,
    /// Mean number of calls queued at the agent.
    pub queued: f64,
    /// Mean call limit.
    pub call_limit: f64,
    /// Token limit assumed for an upstream that has reported none: infinite.
    pub token_limit: f64,
    /// Step time in seconds of one candidate, drawn at random; see [`prior`].
    pub step: f64,
    /// Mean fraction of the call limit in use.
    pub utilisation: f64,
    /// Mean slowness, see [`crate::slowness::Slowness`].
    pub slowness: f64,
}

impl Prior {
    /// Returns the load to assume for an upstream whose report is old: the mean
    /// utilisation, applied to its own limit. With the mean number of calls, an
    /// upstream with a smaller limit would appear overloaded and get no new calls.
    pub fn estimate(&self, load: &Load) -> Estimate {
        let limit = call_limit(load, self);
        let scale = limit / self.call_limit;
        Estimate {
            calls: self.utilisation * limit,
            tokens: self.tokens * scale,
            queued: self.queued * scale,
            report_weight: 0.0,
        }
    }
}

/// Least weight of an old report in the means, relative to a fresh one. It is low
/// because an upstream that was full when its last report was made must not raise
/// the load that is assumed for it; it is not zero because, if nearly all reports
/// are old, the mean of many of them is more accurate than a single fresh one.
const MIN_REPORT_WEIGHT: f64 = 0.1;

/// Returns the values to assume for candidates without a fresh report. `loads`
/// holds each candidate's load with the weight of its report from
/// [`Load::report_weight`]; `slownesses` holds the slowness of each candidate.
///
/// The step time is drawn from the candidates and not their mean: a candidate with
/// the mean is never cheaper than the fastest one, so an entry that compares all
/// candidates would not send the call that brings a new report.
pub fn prior<'a>(
    loads: impl Iterator<Item = (&'a Load, f64)>,
    slownesses: impl Iterator<Item = f64>,
    settings: &Settings,
    rng: &mut impl Rng,
) -> Prior {
    let mut mean = Means::default();
    let mut step = Drawn::default();
    for (load, report_weight) in loads {
        let Some(report) = load.last_report() else {
            continue;
        };
        let weight = report_weight.max(MIN_REPORT_WEIGHT);
        mean.tokens.add(report.tokens as f64, weight);
        mean.queued.add(f64::from(report.queued), weight);
        if report.call_limit > 0 {
            let limit = f64::from(report.call_limit);
            mean.limit.add(limit, weight);
            mean.used.add(f64::from(report.calls) / limit, weight);
        }
        if report.step > Duration::ZERO {
            step.add(report.step.as_secs_f64(), weight, rng);
        }
    }
    slownesses.for_each(|slowness| mean.slowness.add(slowness, 1.0));
    Prior {
        tokens: mean.tokens.value_or(0.0),
        queued: mean.queued.value_or(0.0),
        call_limit: mean.limit.value_or(settings.default_call_limit),
        token_limit: f64::INFINITY,
        step: step.value.unwrap_or(settings.default_step.as_secs_f64()),
        utilisation: mean.used.value_or(0.0),
        slowness: mean.slowness.value_or(1.0),
    }
}

/// Weighted means of the values that the candidates reported.
#[derive(Clone, Copy, Debug, Default)]
struct Means {
    tokens: Mean,
    queued: Mean,
    limit: Mean,
    used: Mean,
    slowness: Mean,
}

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    sum: f64,
    weight: f64,
}

impl Mean {
    fn add(&mut self, value: f64, weight: f64) {
        self.sum += weight * value;
        self.weight += weight;
    }

    fn value_or(self, default: f64) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            default
        }
    }
}

/// A value drawn at random from weighted ones.
#[derive(Clone, Copy, Debug, Default)]
struct Drawn {
    value: Option<f64>,
    weight: f64,
}

impl Drawn {
    fn add(&mut self, value: f64, weight: f64, rng: &mut impl Rng) {
        self.weight += weight;
        if rng.random::<f64>() * self.weight < weight {
            self.value = Some(value);
        }
    }
}

/// Cost parts of one candidate, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Expected time to first token.
    pub first_token: f64,
    /// Total cost, by which candidates are compared.
    pub total: f64,
    /// Part of `total` for the longer steps of the group.
    pub growth: f64,
}

/// What is known about one candidate for one request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Load of the candidate.
    pub load: &'a Load,
    /// Load estimated for the present moment.
    pub estimate: Estimate,
    /// Prompt tokens expected in the candidate's cache.
    pub matched: u64,
    /// Whether the candidate is an affinity upstream of the workspace and prefix.
    pub has_affinity: bool,
    /// Fraction by which the step grows, see [`crate::rank::RankChoice`].
    pub growth: f64,
    /// Step time of the candidate's group in seconds with the weight of its report,
    /// if the candidate is a rank of a group and a rank has reported it.
    pub step: Option<(f64, f64)>,
    /// Whether the candidate is a rank of a group of upstreams.
    pub grouped: bool,
    /// Recent slowness, see [`crate::slowness::Slowness`].
    pub slowness: f64,
    /// One-way network delay to the candidate.
    pub distance: Duration,
}

/// Returns the cost of sending a request to a candidate.
pub fn cost(
    candidate: &Candidate<'_>,
    request: &Request<'_>,
    prior: &Prior,
    settings: &Settings,
) -> Cost {
    let step = step(candidate, prior);
    let used = utilisation(candidate, request, prior);
    let relative_load = used / mean_utilisation(prior);
    let prefill = settings.prefill_per_token.as_secs_f64();
    let urgency = f64::from(request.urgency.min(7) + 1) / 4.0;
    let wait = step * settings.wait_steps * used * relative_load * urgency;
    let saved = candidate.matched.min(request.prompt) as f64 * prefill;
    let full = step + wait + request.prompt as f64 * prefill;
    let round_trip = 2.0 * candidate.distance.as_secs_f64();
    let cache_credit = if candidate.has_affinity && candidate.matched == 0 {
        settings.affinity_share * request.prompt as f64 * prefill
    } else {
        saved
    };
    // A cached prefix must not attract calls to an upstream whose load is far
    // above the mean, since all entries receive the same cache events.
    let excess = used / (mean_utilisation(prior) + SLACK_CALLS / prior.call_limit);
    let credit_weight =
        ((settings.max_excess - excess) / (settings.max_excess - 1.0)).clamp(0.0, 1.0);
    let horizon = if candidate.grouped {
        settings.group_growth_steps
    } else {
        settings.growth_steps
    };
    let growth_cost = candidate.growth * step * horizon;
    Cost {
        first_token: full - saved + round_trip,
        total: slowness_factor(candidate.slowness, prior) * full + round_trip + growth_cost
            - cache_credit * credit_weight,
        growth: growth_cost,
    }
}

/// Calls above the mean that do not count as excess, since small numbers of calls
/// vary widely.
pub const SLACK_CALLS: f64 = 2.0;

/// Returns the fraction of its limit that an upstream uses at the mean load plus
/// one call.
pub fn mean_utilisation(prior: &Prior) -> f64 {
    prior.utilisation + 1.0 / prior.call_limit
}

/// Returns the cost factor for recent slowness. A difference from the mean within
/// the tolerance is noise or an error that all expectations share.
fn slowness_factor(slowness: f64, prior: &Prior) -> f64 {
    (slowness / (prior.slowness.max(f64::EPSILON) * SLOWNESS_TOLERANCE)).max(1.0)
}

/// Slowness relative to the mean that is tolerated: differences in prompt length
/// alone make single times to first token vary by half.
const SLOWNESS_TOLERANCE: f64 = 1.5;

/// Returns the step time of the last report as far as it has kept its weight, and
/// that of the prior for the rest: an upstream without calls makes no reports, so one
/// that was slow in its last report would never be tried again.
fn step(candidate: &Candidate<'_>, prior: &Prior) -> f64 {
    let own_report = || {
        let report = candidate.load.last_report()?;
        Some((report.step.as_secs_f64(), candidate.estimate.report_weight))
    };
    candidate
        .step
        .or_else(own_report)
        .filter(|(step, _)| *step > 0.0)
        .map_or(prior.step, |(step, weight)| {
            weight * step + (1.0 - weight) * prior.step
        })
}

/// Returns the utilisation of the scarcer limit, including the request.
fn utilisation(candidate: &Candidate<'_>, request: &Request<'_>, prior: &Prior) -> f64 {
    let own_limit = call_limit(candidate.load, prior);
    let tokens = candidate
        .load
        .last_report()
        .map(|report| report.token_limit as f64)
        .filter(|limit| *limit > 0.0)
        .unwrap_or(prior.token_limit);
    // An upstream learns its limit from calls. Without calls the limit is as old
    // as the report, so the request is charged by the mean limit of the others.
    let report_weight = candidate.estimate.report_weight;
    let limit = report_weight * own_limit + (1.0 - report_weight) * prior.call_limit;
    let by_calls = (candidate.estimate.calls + candidate.estimate.queued) / own_limit + 1.0 / limit;
    let by_tokens = (candidate.estimate.tokens + request.tokens as f64) / tokens;
    // The limit of tokens is as old as the report as well, and others may not know one.
    by_calls + report_weight * (by_tokens - by_calls).max(0.0)
}

/// Returns the call limit of the last report, or the mean of the other candidates
/// if none was reported.
fn call_limit(load: &Load, prior: &Prior) -> f64 {
    load.last_report()
        .map(|report| f64::from(report.call_limit))
        .filter(|limit| *limit > 0.0)
        .unwrap_or(prior.call_limit)
}

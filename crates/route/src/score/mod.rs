//! Expected cost of sending a request to an upstream, as a time.
//!
//! The unit is the second of time to first token, so that queueing, prefill,
//! distance and slowness can be compared; the effect on the others in the same
//! group is added as the time that their steps become longer.

use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::choice::Request;
use crate::load::{Estimate, Load};

/// Weights of the cost.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Prefill time of a prompt token that is not cached.
    pub prefill: Duration,
    /// Step time of an upstream that has not reported one.
    pub step: Duration,
    /// Call limit of an upstream when no candidate has reported one.
    pub calls: f64,
    /// Steps that a call waits for when the upstream is at its limit.
    pub hold: f64,
    /// Steps over which a longer step is charged to the request.
    pub horizon: f64,
    /// Share of the prefill time credited to the place of a workspace and
    /// prefix without evidence that the prefix is cached there.
    pub affinity: f64,
    /// Time in which half of an observed slowness is forgotten.
    pub half_life: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            prefill: Duration::from_micros(100),
            step: Duration::from_millis(30),
            calls: 32.0,
            hold: 20.0,
            horizon: 32.0,
            affinity: 0.25,
            half_life: Duration::from_secs(5),
        }
    }
}

/// What is assumed where an upstream has not reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prior {
    /// Mean load of the candidates with a report.
    pub load: Estimate,
    /// Mean limit of calls.
    pub calls: f64,
    /// Mean limit of tokens; infinite if none is known.
    pub tokens: f64,
    /// Mean step time in seconds.
    pub step: f64,
}

/// Returns what to assume from the candidates that have reported.
pub fn prior<'a>(loads: impl Iterator<Item = &'a Load>, settings: &Settings) -> Prior {
    let mut sum = Prior::default();
    let (mut reports, mut limits, mut steps) = (0.0, 0.0, 0.0);
    for report in loads.filter_map(Load::last) {
        reports += 1.0;
        sum.load.calls += f64::from(report.calls);
        sum.load.tokens += report.tokens as f64;
        sum.load.queued += f64::from(report.queued);
        if report.call_limit > 0 {
            limits += 1.0;
            sum.calls += f64::from(report.call_limit);
        }
        if report.step > Duration::ZERO {
            steps += 1.0;
            sum.step += report.step.as_secs_f64();
        }
    }
    let mean = |sum: f64, count: f64, default: f64| if count > 0.0 { sum / count } else { default };
    Prior {
        load: Estimate {
            calls: mean(sum.load.calls, reports, 0.0),
            tokens: mean(sum.load.tokens, reports, 0.0),
            queued: mean(sum.load.queued, reports, 0.0),
            known: 0.0,
        },
        calls: mean(sum.calls, limits, settings.calls),
        tokens: f64::INFINITY,
        step: mean(sum.step, steps, settings.step.as_secs_f64()),
    }
}

/// Cost parts of one candidate, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Expected time to first token.
    pub first: f64,
    /// All of the cost.
    pub total: f64,
}

/// What is known about one candidate for one request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its load.
    pub load: &'a Load,
    /// Its load now.
    pub estimate: Estimate,
    /// Prompt tokens expected in its cache.
    pub matched: u64,
    /// Whether it is the place of the workspace and prefix.
    pub home: bool,
    /// Share by which the step grows, see [`crate::rank::Placement`].
    pub growth: f64,
    /// Recent slowness, see [`crate::pace::Pace`].
    pub slowness: f64,
    /// One-way distance.
    pub distance: Duration,
}

/// Returns the cost of sending a request to a candidate.
pub fn cost(of: &Candidate<'_>, request: &Request<'_>, prior: &Prior, settings: &Settings) -> Cost {
    let step = step(of.load, prior);
    let used = utilisation(of, request, prior);
    let prefill = settings.prefill.as_secs_f64();
    let urgency = f64::from(request.urgency.min(7) + 1) / 4.0;
    let wait = step * settings.hold * congestion(used) * urgency;
    let fresh = request.prompt.saturating_sub(of.matched) as f64 * prefill;
    let first = of.slowness * (step + wait + fresh) + 2.0 * of.distance.as_secs_f64();
    let drawn = if of.home && of.matched == 0 {
        settings.affinity * request.prompt as f64 * prefill
    } else {
        0.0
    };
    let effect = of.growth * step * settings.horizon;
    Cost {
        first,
        total: first + effect - drawn,
    }
}

fn step(load: &Load, prior: &Prior) -> f64 {
    load.last()
        .map(|report| report.step.as_secs_f64())
        .filter(|step| *step > 0.0)
        .unwrap_or(prior.step)
}

/// Returns the used share of the scarcer limit, the request included.
fn utilisation(of: &Candidate<'_>, request: &Request<'_>, prior: &Prior) -> f64 {
    let report = of.load.last();
    let calls = report
        .map(|report| f64::from(report.call_limit))
        .filter(|limit| *limit > 0.0)
        .unwrap_or(prior.calls);
    let tokens = report
        .map(|report| report.token_limit as f64)
        .filter(|limit| *limit > 0.0)
        .unwrap_or(prior.tokens);
    let by_calls = (of.estimate.calls + of.estimate.queued + 1.0) / calls;
    let by_tokens = (of.estimate.tokens + request.tokens as f64) / tokens;
    by_calls.max(by_tokens)
}

/// Returns the wait relative to that at the limit: quadratic, so that balance
/// matters little while there is room and much near the limit.
fn congestion(used: f64) -> f64 {
    used * used
}

/// Returns the slowness of an upstream now.
pub fn slowness(pace: &crate::pace::Pace, now: Moment, settings: &Settings) -> f64 {
    pace.ratio(now, settings.half_life)
}

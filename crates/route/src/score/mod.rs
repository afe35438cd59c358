//! Expected cost of sending a request to an upstream, as a time.
//!
//! The unit is the second of time to first token, so that queueing, prefill,
//! distance and slowness can be compared; the effect on the others in the same
//! group is added as the time that their steps become longer.

use std::time::Duration;

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
    /// The same for a rank of a group that is an upstream of its own. The steps
    /// of all calls of the group become longer, so it is a multiple of the
    /// other.
    pub group_horizon: f64,
    /// Share of the prefill time credited to the place of a workspace and
    /// prefix without evidence that the prefix is cached there.
    pub affinity: f64,
    /// Load relative to the mean at which a cached prefix no longer counts.
    pub excess: f64,
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
            group_horizon: 256.0,
            affinity: 0.25,
            excess: 1.6,
            half_life: Duration::from_secs(5),
        }
    }
}

/// What is assumed where an upstream has not reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prior {
    /// Mean tokens in flight of the candidates with a report.
    pub held: f64,
    /// Mean number of calls queued.
    pub queued: f64,
    /// Mean limit of calls.
    pub calls: f64,
    /// Mean limit of tokens; infinite if none is known.
    pub tokens: f64,
    /// Mean step time in seconds.
    pub step: f64,
    /// Mean share of the call limit in use.
    pub used: f64,
    /// Mean slowness.
    pub pace: f64,
}

impl Prior {
    /// Returns the load to assume of an upstream whose report is old: the mean
    /// share of its own limit, since the mean number of calls would overload an
    /// upstream with a smaller limit on paper and keep all new calls away.
    pub fn estimate(&self, load: &Load) -> Estimate {
        let limit = call_limit(load, self);
        let scale = limit / self.calls;
        Estimate {
            calls: self.used * limit,
            tokens: self.held * scale,
            queued: self.queued * scale,
            known: 0.0,
        }
    }
}

/// Weight of an old report in the means, relative to a fresh one. An upstream
/// that was full when it fell silent must not raise the load assumed of itself;
/// where nearly all reports are old, many of them say more than one fresh one.
const OLD_WEIGHT: f64 = 0.1;

/// Returns what to assume from the candidates that have reported, each with the
/// weight of its report from [`Load::known`]; `paces` are the slownesses of all.
pub fn prior<'a>(
    loads: impl Iterator<Item = (&'a Load, f64)>,
    paces: impl Iterator<Item = f64>,
    settings: &Settings,
) -> Prior {
    let mut mean = Means::default();
    for (load, known) in loads {
        let Some(report) = load.last() else {
            continue;
        };
        let weight = known.max(OLD_WEIGHT);
        mean.tokens.add(report.tokens as f64, weight);
        mean.queued.add(f64::from(report.queued), weight);
        if report.call_limit > 0 {
            let limit = f64::from(report.call_limit);
            mean.limit.add(limit, weight);
            mean.used.add(f64::from(report.calls) / limit, weight);
        }
        if report.step > Duration::ZERO {
            mean.step.add(report.step.as_secs_f64(), weight);
        }
    }
    paces.for_each(|pace| mean.pace.add(pace, 1.0));
    Prior {
        held: mean.tokens.or(0.0),
        queued: mean.queued.or(0.0),
        calls: mean.limit.or(settings.calls),
        tokens: f64::INFINITY,
        step: mean.step.or(settings.step.as_secs_f64()),
        used: mean.used.or(0.0),
        pace: mean.pace.or(1.0),
    }
}

/// Sums of what the candidates reported.
#[derive(Clone, Copy, Debug, Default)]
struct Means {
    tokens: Mean,
    queued: Mean,
    limit: Mean,
    used: Mean,
    step: Mean,
    pace: Mean,
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

    fn or(self, default: f64) -> f64 {
        if self.weight > 0.0 {
            self.sum / self.weight
        } else {
            default
        }
    }
}

/// Cost parts of one candidate, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Expected time to first token.
    pub first: f64,
    /// All of the cost.
    pub total: f64,
    /// The part of it for longer steps of the group.
    pub growth: f64,
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
    /// Step time of its group in seconds, if it is one rank of several upstreams.
    pub step: Option<f64>,
    /// Whether it is one rank of several upstreams.
    pub grouped: bool,
    /// Recent slowness, see [`crate::pace::Pace`].
    pub slowness: f64,
    /// One-way distance.
    pub distance: Duration,
}

/// Returns the cost of sending a request to a candidate.
pub fn cost(of: &Candidate<'_>, request: &Request<'_>, prior: &Prior, settings: &Settings) -> Cost {
    let step = of.step.unwrap_or_else(|| step(of.load, prior));
    let used = utilisation(of, request, prior);
    let over = used / fair(prior);
    let prefill = settings.prefill.as_secs_f64();
    let urgency = f64::from(request.urgency.min(7) + 1) / 4.0;
    let wait = step * settings.hold * used * over * urgency;
    let saved = of.matched.min(request.prompt) as f64 * prefill;
    let full = step + wait + request.prompt as f64 * prefill;
    let way = 2.0 * of.distance.as_secs_f64();
    let drawn = if of.home && of.matched == 0 {
        settings.affinity * request.prompt as f64 * prefill
    } else {
        saved
    };
    // A cached prefix must not draw more than a share above the mean load to
    // one upstream: its entries all see the same events.
    let excess = used / (fair(prior) + SLACK / prior.calls);
    let fade = ((settings.excess - excess) / (settings.excess - 1.0)).clamp(0.0, 1.0);
    let horizon = if of.grouped {
        settings.group_horizon
    } else {
        settings.horizon
    };
    let effect = of.growth * step * horizon;
    Cost {
        first: full - saved + way,
        total: slower(of.slowness, prior) * full + way + effect - drawn * fade,
        growth: effect,
    }
}

/// Calls above the mean that are no excess, since few calls vary much.
pub const SLACK: f64 = 2.0;

/// Returns the share of its limit that an upstream uses at the mean load, with
/// one call more.
pub fn fair(prior: &Prior) -> f64 {
    prior.used + 1.0 / prior.calls
}

/// Returns the factor for recent slowness. A difference within the tolerance
/// is noise, or a common error of the expectation.
fn slower(slowness: f64, prior: &Prior) -> f64 {
    (slowness / (prior.pace.max(f64::EPSILON) * TOLERANCE)).max(1.0)
}

/// Slowness relative to the mean that does not count yet: prompts of different
/// length make single times to first token differ by half.
const TOLERANCE: f64 = 1.5;

fn step(load: &Load, prior: &Prior) -> f64 {
    load.last()
        .map(|report| report.step.as_secs_f64())
        .filter(|step| *step > 0.0)
        .unwrap_or(prior.step)
}

/// Returns the used share of the scarcer limit, the request included.
fn utilisation(of: &Candidate<'_>, request: &Request<'_>, prior: &Prior) -> f64 {
    let own = call_limit(of.load, prior);
    let tokens = of
        .load
        .last()
        .map(|report| report.token_limit as f64)
        .filter(|limit| *limit > 0.0)
        .unwrap_or(prior.tokens);
    // A limit is learnt from calls. That of an upstream without calls is as old
    // as its report, so the request is charged by the mean of the others.
    let known = of.estimate.known;
    let limit = known * own + (1.0 - known) * prior.calls;
    let by_calls = (of.estimate.calls + of.estimate.queued) / own + 1.0 / limit;
    let by_tokens = (of.estimate.tokens + request.tokens as f64) / tokens;
    by_calls.max(by_tokens)
}

/// Returns the call limit of the last report, or the mean of the others.
fn call_limit(load: &Load, prior: &Prior) -> f64 {
    load.last()
        .map(|report| f64::from(report.call_limit))
        .filter(|limit| *limit > 0.0)
        .unwrap_or(prior.calls)
}

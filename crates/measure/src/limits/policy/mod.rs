//! The policies that are compared: how an entry chooses an upstream, and what
//! stands before the engine.

use std::time::Duration;

use sesamerock_base::key::Vm;
use sesamerock_base::time::Moment;
use sesamerock_limit::gate::{Gate, Settings};
use sesamerock_limit::learn::{self, Bounds, Load};

use super::rival::Rule;

/// Age from which a report says nothing; without it an upstream that looked
/// full in its last report would get no call again.
const STALE: Duration = Duration::from_secs(2);
/// Score of an upstream of which nothing is known.
const UNKNOWN: f64 = 0.5;

/// A policy of the comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Upstreams in turn, no limit.
    RoundRobin,
    /// The upstream with the fewest calls of this entry, no limit.
    LeastOutstanding,
    /// The mean capacity of all upstreams as limit of each.
    Static,
    /// A well-known algorithm for each upstream.
    Rival(Rule),
    /// The true capacity at any moment as limit, with the views of entries as
    /// late as those of the learned limit.
    Known,
    /// The true capacity at any moment as limit, and entries that see the true
    /// state of every upstream without delay.
    Oracle,
    /// The learned limit.
    Learned,
}

impl Policy {
    pub const ALL: [Self; 9] = [
        Self::RoundRobin,
        Self::LeastOutstanding,
        Self::Static,
        Self::Rival(Rule::Aimd),
        Self::Rival(Rule::Gradient),
        Self::Rival(Rule::Vegas),
        Self::Known,
        Self::Oracle,
        Self::Learned,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round_robin",
            Self::LeastOutstanding => "least_outstanding",
            Self::Static => "static_mean",
            Self::Rival(Rule::Aimd) => "aimd",
            Self::Rival(Rule::Gradient) => "gradient",
            Self::Rival(Rule::Vegas) => "vegas",
            Self::Known => "known_limits",
            Self::Oracle => "oracle",
            Self::Learned => "learned",
        }
    }

    pub fn informed(self) -> bool {
        matches!(self, Self::Known | Self::Oracle)
    }

    /// Returns the algorithm of a rival.
    pub fn rule(self) -> Option<Rule> {
        match self {
            Self::Rival(rule) => Some(rule),
            _ => None,
        }
    }

    pub fn gated(self) -> bool {
        !matches!(self, Self::RoundRobin | Self::LeastOutstanding)
    }

    /// Makes the gate of an upstream; `mean` is the mean capacity.
    pub fn gate(self, mean: Load) -> Gate {
        let mut settings = Settings::default();
        if self != Self::Learned {
            settings.learn = learn::Settings {
                initial: mean,
                bounds: pinned(mean),
            };
        }
        Gate::new(settings)
    }
}

/// Returns bounds that leave nothing to learn.
pub fn pinned(load: Load) -> Bounds {
    Bounds {
        min: load,
        max: load,
    }
}

/// What an entry knows of an upstream: the last report and what it sent since.
#[derive(Clone, Copy, Debug, Default)]
pub struct View {
    used: Load,
    limit: Load,
    credits: u32,
    until: Moment,
    at: Moment,
    /// Own calls without an end.
    pub outstanding: u32,
    known: bool,
}

impl View {
    /// Takes a report of the gate and the grant that comes with it.
    pub fn update(&mut self, now: Moment, gate: &mut Gate, entry: Vm) {
        let grant = gate.credits(now, entry);
        let report = gate.snapshot();
        self.credits = grant.calls;
        self.until = grant.until;
        self.limit = report.limit;
        self.used = Load {
            calls: report.in_flight.calls + report.queued.calls,
            tokens: report.in_flight.tokens + report.queued.tokens,
        };
        self.at = now;
        self.known = true;
    }

    /// Counts a call sent since the last report.
    pub fn sent(&mut self, tokens: u64) {
        self.used.calls += 1;
        self.used.tokens += tokens;
        self.credits = self.credits.saturating_sub(1);
    }

    /// Returns how full the upstream would be with one more call; upstreams
    /// with credits go first.
    pub fn score(&self, now: Moment, tokens: u64) -> f64 {
        if !self.known || now.since(self.at) > STALE {
            return UNKNOWN;
        }
        let calls = f64::from(self.used.calls + 1) / f64::from(self.limit.calls.max(1));
        let tokens = (self.used.tokens + tokens) as f64 / self.limit.tokens.max(1) as f64;
        let credit = self.credits > 0 && self.until > now;
        let penalty = if credit { 0.0 } else { 1.0 };
        calls.max(tokens) + penalty
    }
}

//! Estimates the load of an upstream from delayed reports.
//!
//! Reports arrive with responses, so they are out of date on arrival, and an
//! entry that sends few requests receives few of them. [`Load`] adds the calls
//! that this entry has sent since the last report and subtracts those that have
//! finished. The weight of a report falls with its age, to zero once it is
//! stale; from then on the load counts as unknown.

use std::collections::VecDeque;
use std::time::Duration;

use sesamerock_base::time::Moment;

/// How the age of a report affects its weight.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Age up to which a report has full weight.
    pub fresh_age: Duration,
    /// Age from which a report has no weight.
    pub stale_age: Duration,
    /// Assumed age of a report on arrival: half a round trip plus the time
    /// between creating the report and sending it.
    pub report_delay: Duration,
    /// Most calls that may be sent without a new report from the upstream while
    /// no valid credits are known.
    pub max_probes: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            fresh_age: Duration::from_millis(500),
            stale_age: Duration::from_secs(5),
            report_delay: Duration::from_millis(1),
            max_probes: 8,
        }
    }
}

/// Load of one rank in a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rank {
    /// Tokens in flight at the rank.
    pub tokens: u64,
    /// Time that the rank itself needs for a step, without waiting for the other
    /// ranks. This is the mean over about a second, since prefill makes single
    /// steps long.
    pub step: Duration,
}

/// Load report of an agent about its upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Calls in flight.
    pub calls: u32,
    /// Tokens in flight.
    pub tokens: u64,
    /// Learned limit of calls; 0 if unknown.
    pub call_limit: u32,
    /// Learned limit of tokens; 0 if unknown.
    pub token_limit: u64,
    /// Calls queued at the agent.
    pub queued: u32,
    /// Calls that this entry may send within `credit_ttl`.
    pub credits: u32,
    /// Time from the arrival of the report until its credits expire.
    pub credit_ttl: Duration,
    /// Whether the upstream is in cold start.
    pub cold: bool,
    /// Whether the upstream is draining before it leaves; it then gets no new
    /// calls.
    pub leaving: bool,
    /// Duration of a recent step of the group; zero if unknown.
    pub step: Duration,
    /// Time that a rank itself needs for a step, without waiting for the other
    /// ranks of its group; zero if unknown. A mean over the same steps as `step`.
    pub own_step: Duration,
    /// Whether the group has work but runs no steps.
    pub stalled: bool,
    /// Load of each rank, in rank order; empty if the engine does not report it.
    pub ranks: Vec<Rank>,
}

/// Credits that this entry holds for an upstream at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credit {
    /// The agent is expected to admit this many calls.
    Some(u32),
    /// No credits are left. The next report may bring more; otherwise they expire
    /// after this time and calls may be tried without credits.
    None(Duration),
    /// No valid credits are known, and this many calls may be sent as probes.
    Unknown(u32),
}

/// Estimated load of an upstream at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Calls in flight.
    pub calls: f64,
    /// Tokens in flight.
    pub tokens: f64,
    /// Calls queued at the agent.
    pub queued: f64,
    /// Weight of the report from 1 (fresh) to 0 (unknown).
    pub report_weight: f64,
}

/// A change of this entry's calls in flight at an upstream.
#[derive(Clone, Copy, Debug)]
struct Delta {
    at: Moment,
    calls: i64,
    tokens: i64,
}

/// Most changes kept between two reports. Further changes are merged into the
/// newest one, so they may still be counted after a report includes them, but
/// are never dropped too early.
const MAX_DELTAS: usize = 64;

/// Load of one upstream: its last report, corrected by this entry's own calls.
#[derive(Clone, Debug, Default)]
pub struct Load {
    report: Option<(Report, Moment)>,
    deltas: VecDeque<Delta>,
    own_calls: u32,
    own_tokens: u64,
    own_ranks: Vec<RankWork>,
    calls_since_report: u32,
    credits_spent: u32,
}

/// Tokens of one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Tokens that the call occupies: prompt and expected generation.
    pub tokens: u64,
    /// Prompt tokens that are not cached and must be processed before the first
    /// token is generated.
    pub uncached: u64,
}

/// Work of a prompt token that waits for prefill, relative to a token in flight.
/// A rank processes a prompt token in about 20 microseconds; a call of about a
/// thousand tokens makes a step about a millisecond longer, or one microsecond per
/// token. The ratio of the two is about 20; the weight is slightly below it.
const PROMPT_TOKEN_WEIGHT: f64 = 16.0;

/// Work that this entry has sent to one rank.
#[derive(Clone, Copy, Debug, Default)]
struct RankWork {
    /// Tokens in flight.
    tokens: u64,
    /// Tokens sent minus tokens finished since the last report.
    since_report: i64,
    /// Uncached prompt tokens sent and not yet processed.
    waiting_prompt: u64,
}

impl Load {
    /// Replaces the last report by one that arrived now.
    pub fn report(&mut self, report: Report, now: Moment, settings: &Settings) {
        let created_at = now - settings.report_delay;
        self.deltas.retain(|delta| delta.at > created_at);
        self.credits_spent = self
            .deltas
            .iter()
            .map(|delta| delta.calls.max(0) as u32)
            .sum();
        self.calls_since_report = 0;
        for rank in &mut self.own_ranks {
            rank.since_report = 0;
        }
        self.report = Some((report, now));
    }

    /// Discards the report after the upstream restarted or its connection broke.
    /// This entry's calls in flight remain counted until they finish.
    pub fn clear_report(&mut self) {
        self.report = None;
        self.deltas.clear();
    }

    /// Counts a call that this entry sends.
    pub fn sent(&mut self, work: Work, rank: Option<u16>, now: Moment) {
        let tokens = work.tokens;
        self.own_calls += 1;
        self.own_tokens += tokens;
        self.calls_since_report += 1;
        self.credits_spent += 1;
        if let Some(rank) = rank {
            let own = self.rank_mut(rank);
            own.tokens += tokens;
            own.since_report += tokens.cast_signed();
            own.waiting_prompt += work.uncached;
        }
        self.record_delta(1, tokens.cast_signed(), now);
    }

    /// Records that the uncached prompt tokens of a call were processed or never
    /// will be.
    pub fn prompt_processed(&mut self, uncached: u64, rank: Option<u16>) {
        if let Some(rank) = rank {
            let own = self.rank_mut(rank);
            own.waiting_prompt = own.waiting_prompt.saturating_sub(uncached);
        }
    }

    /// Counts a call of this entry that has finished, whatever its outcome.
    pub fn finished(&mut self, tokens: u64, rank: Option<u16>, now: Moment) {
        self.own_calls = self.own_calls.saturating_sub(1);
        self.own_tokens = self.own_tokens.saturating_sub(tokens);
        self.calls_since_report = self.calls_since_report.saturating_sub(1);
        if let Some(rank) = rank {
            let work = self.rank_mut(rank);
            work.tokens = work.tokens.saturating_sub(tokens);
            work.since_report -= tokens.cast_signed();
        }
        self.record_delta(-1, -tokens.cast_signed(), now);
    }

    /// Returns the credit of a call that was cancelled before its upstream
    /// responded: such a call brings no report that would renew the credits, and
    /// its slot is free. If a report has arrived since the call was sent, this
    /// yields one credit too many until the next report; the agent's gate still
    /// decides whether to admit a call.
    pub fn cancelled(&mut self) {
        self.credits_spent = self.credits_spent.saturating_sub(1);
    }

    /// Returns the last report, whatever its age.
    pub fn last_report(&self) -> Option<&Report> {
        self.report.as_ref().map(|(report, _)| report)
    }

    /// Returns when the last report arrived.
    pub fn last_report_at(&self) -> Option<Moment> {
        self.report.as_ref().map(|(_, at)| *at)
    }

    /// Returns the number of this entry's calls in flight.
    pub fn own_calls(&self) -> u32 {
        self.own_calls
    }

    /// Returns the estimated load at a moment. `prior` is the load assumed as far
    /// as the report has lost its weight, such as the mean of the other upstreams.
    pub fn estimate(&self, now: Moment, prior: &Estimate, settings: &Settings) -> Estimate {
        let weight = self.report_weight(now, settings);
        let calls: i64 = self.deltas.iter().map(|delta| delta.calls).sum();
        let tokens: i64 = self.deltas.iter().map(|delta| delta.tokens).sum();
        let (reported_calls, reported_tokens, reported_queue) =
            self.last_report().map_or((0.0, 0.0, 0.0), |report| {
                (
                    f64::from(report.calls) + calls as f64,
                    report.tokens as f64 + tokens as f64,
                    f64::from(report.queued),
                )
            });
        let blend = |reported: f64, prior: f64| weight * reported + (1.0 - weight) * prior;
        Estimate {
            calls: blend(reported_calls, prior.calls).max(f64::from(self.own_calls)),
            tokens: blend(reported_tokens, prior.tokens).max(self.own_tokens as f64),
            queued: blend(reported_queue, prior.queued),
            report_weight: weight,
        }
    }

    /// Returns the work of a rank, in tokens in flight: the reported tokens
    /// corrected by this entry's calls since the report, but at least this
    /// entry's own tokens there, plus this entry's prompts that wait for prefill.
    /// `weight` is the weight of the report, see [`Load::report_weight`].
    pub fn rank_work(&self, rank: u16, weight: f64) -> f64 {
        let own = self
            .own_ranks
            .get(usize::from(rank))
            .copied()
            .unwrap_or_default();
        let reported = self.rank(rank).map_or(0.0, |reported| {
            weight * (reported.tokens as f64 + own.since_report as f64)
        });
        reported.max(own.tokens as f64) + PROMPT_TOKEN_WEIGHT * own.waiting_prompt as f64
    }

    /// Returns the load of a rank in the last report.
    pub fn rank(&self, rank: u16) -> Option<&Rank> {
        self.last_report()
            .and_then(|report| report.ranks.get(usize::from(rank)))
    }

    /// Returns the credits that are left at a moment.
    pub fn credit(&self, now: Moment, settings: &Settings) -> Credit {
        let unknown = Credit::Unknown(settings.max_probes.saturating_sub(self.calls_since_report));
        let Some((report, at)) = &self.report else {
            return unknown;
        };
        let age = now.since(*at);
        if age >= report.credit_ttl {
            return unknown;
        }
        match report.credits.saturating_sub(self.credits_spent) {
            0 => Credit::None(report.credit_ttl.saturating_sub(age)),
            left => Credit::Some(left),
        }
    }

    /// Returns the weight of the last report, from 1 (fresh) to 0 (unknown).
    pub fn report_weight(&self, now: Moment, settings: &Settings) -> f64 {
        let Some((_, at)) = &self.report else {
            return 0.0;
        };
        let age = now
            .since(*at)
            .saturating_sub(settings.fresh_age)
            .as_secs_f64();
        let span = settings
            .stale_age
            .saturating_sub(settings.fresh_age)
            .as_secs_f64();
        (1.0 - age / span.max(f64::EPSILON)).clamp(0.0, 1.0)
    }

    fn rank_mut(&mut self, rank: u16) -> &mut RankWork {
        let index = usize::from(rank);
        if index >= self.own_ranks.len() {
            self.own_ranks.resize(index + 1, RankWork::default());
        }
        &mut self.own_ranks[index]
    }

    fn record_delta(&mut self, calls: i64, tokens: i64, at: Moment) {
        if self.deltas.len() >= MAX_DELTAS
            && let Some(newest) = self.deltas.back_mut()
        {
            newest.at = at;
            newest.calls += calls;
            newest.tokens += tokens;
            return;
        }
        self.deltas.push_back(Delta { at, calls, tokens });
    }
}

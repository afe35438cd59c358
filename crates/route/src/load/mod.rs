//! The load of an upstream as one entry can know it.
//!
//! Reports arrive with responses, so they are late, and an entry that sends
//! little sees few of them. [`Load`] adds what this entry sent since the last
//! report and takes off what has finished. A report that grows old counts for
//! less and less, until the load is unknown again.

use std::collections::VecDeque;
use std::time::Duration;

use sesamerock_base::time::Moment;

/// How far reports are believed.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Age up to which a report counts in full.
    pub fresh: Duration,
    /// Age from which a report counts for nothing.
    pub stale: Duration,
    /// Assumed age of a report on arrival: half a round trip and the time from
    /// its making to its sending.
    pub lag: Duration,
    /// Calls sent without a word from the upstream, where no credits are known.
    pub probes: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            fresh: Duration::from_millis(500),
            stale: Duration::from_secs(5),
            lag: Duration::from_millis(1),
            probes: 8,
        }
    }
}

/// One rank in a report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rank {
    /// Tokens that the rank holds.
    pub tokens: u64,
    /// Its own time for a step, before it waited for the others; the mean over
    /// about a second, since prompts make single steps long.
    pub step: Duration,
}

/// What an agent reports about its upstream.
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
    /// Calls that wait at the agent.
    pub queued: u32,
    /// Calls that this entry may send before the credits expire.
    pub credits: u32,
    /// How long the credits last.
    pub credits_for: Duration,
    /// Whether the upstream is in cold start.
    pub cold: bool,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Time of a recent step of the group; zero if unknown.
    pub step: Duration,
    /// Own time of a rank for a step, before it waited for the other ranks of
    /// its group; zero if unknown. A mean over the same steps as `step`.
    pub own: Duration,
    /// Whether the group has work and does not step.
    pub stalled: bool,
    /// The ranks, in order; empty if the engine does not tell.
    pub ranks: Vec<Rank>,
}

/// Credits of an upstream at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credit {
    /// This many calls are expected to be admitted.
    Some(u32),
    /// None are left; more may come with the next report or after this time.
    None(Duration),
    /// No valid credits are known, and this many calls may be tried.
    Unknown(u32),
}

/// Load at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Estimate {
    /// Calls in flight.
    pub calls: f64,
    /// Tokens in flight.
    pub tokens: f64,
    /// Calls queued at the agent.
    pub queued: f64,
    /// Weight of the report from 1 (fresh) to 0 (unknown).
    pub known: f64,
}

/// A change of this entry's work at an upstream.
#[derive(Clone, Copy, Debug)]
struct Delta {
    at: Moment,
    calls: i64,
    tokens: i64,
}

/// Most changes kept between two reports. Further ones join the newest, and so
/// count for longer than they should, never for shorter.
const DELTAS: usize = 64;

/// Load of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Load {
    report: Option<(Report, Moment)>,
    deltas: VecDeque<Delta>,
    own_calls: u32,
    own_tokens: u64,
    own_ranks: Vec<RankWork>,
    unheard: u32,
    spent: u32,
}

/// Size of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Tokens that it holds.
    pub tokens: u64,
    /// Prompt tokens to be processed before its first token.
    pub fresh: u64,
}

/// Work of a prompt token to be processed, relative to a token that is held. A
/// rank processes a prompt token in some 20 microseconds; a call of some
/// thousand tokens makes a step about a millisecond longer.
const FRESH_WEIGHT: f64 = 16.0;

/// This entry's work on one rank.
#[derive(Clone, Copy, Debug, Default)]
struct RankWork {
    /// Tokens in flight.
    tokens: u64,
    /// Tokens sent less tokens finished since the last report.
    since: i64,
    /// Prompt tokens sent and not yet processed.
    fresh: u64,
}

impl Load {
    /// Takes in a report that arrived now.
    pub fn report(&mut self, report: Report, now: Moment, settings: &Settings) {
        let made = now - settings.lag;
        self.deltas.retain(|delta| delta.at > made);
        self.spent = self
            .deltas
            .iter()
            .map(|delta| delta.calls.max(0) as u32)
            .sum();
        self.unheard = 0;
        for rank in &mut self.own_ranks {
            rank.since = 0;
        }
        self.report = Some((report, now));
    }

    /// Forgets the report, because the upstream restarted or its connection
    /// broke; work of this entry in flight is counted on until it finishes.
    pub fn forget(&mut self) {
        self.report = None;
        self.deltas.clear();
    }

    /// Counts a call that this entry sends.
    pub fn sent(&mut self, work: Work, rank: Option<u16>, now: Moment) {
        let tokens = work.tokens;
        self.own_calls += 1;
        self.own_tokens += tokens;
        self.unheard += 1;
        self.spent += 1;
        if let Some(rank) = rank {
            let own = self.rank_mut(rank);
            own.tokens += tokens;
            own.since += tokens.cast_signed();
            own.fresh += work.fresh;
        }
        self.change(1, tokens.cast_signed(), now);
    }

    /// Takes in that the prompt of a call was processed, or never will be.
    pub fn begun(&mut self, fresh: u64, rank: Option<u16>) {
        if let Some(rank) = rank {
            let own = self.rank_mut(rank);
            own.fresh = own.fresh.saturating_sub(fresh);
        }
    }

    /// Counts a call of this entry that has finished, whatever its outcome.
    pub fn finished(&mut self, tokens: u64, rank: Option<u16>, now: Moment) {
        self.own_calls = self.own_calls.saturating_sub(1);
        self.own_tokens = self.own_tokens.saturating_sub(tokens);
        self.unheard = self.unheard.saturating_sub(1);
        if let Some(rank) = rank {
            let work = self.rank_mut(rank);
            work.tokens = work.tokens.saturating_sub(tokens);
            work.since -= tokens.cast_signed();
        }
        self.change(-1, -tokens.cast_signed(), now);
    }

    /// Takes back the credit of a call that was cancelled before its upstream
    /// answered: such a call brings no report that would renew the credits, and
    /// its place is free. If a report came since it was sent, this gives one
    /// credit too many until the next report; the agent's gate decides anyway.
    pub fn cancelled(&mut self) {
        self.spent = self.spent.saturating_sub(1);
    }

    /// Returns the last report, however old.
    pub fn last(&self) -> Option<&Report> {
        self.report.as_ref().map(|(report, _)| report)
    }

    /// Returns when the last report arrived.
    pub fn heard(&self) -> Option<Moment> {
        self.report.as_ref().map(|(_, at)| *at)
    }

    /// Returns this entry's calls in flight.
    pub fn own_calls(&self) -> u32 {
        self.own_calls
    }

    /// Returns the load at a moment. What no report tells is `prior`, for
    /// example the mean of the other upstreams.
    pub fn estimate(&self, now: Moment, prior: &Estimate, settings: &Settings) -> Estimate {
        let known = self.known(now, settings);
        let calls: i64 = self.deltas.iter().map(|delta| delta.calls).sum();
        let tokens: i64 = self.deltas.iter().map(|delta| delta.tokens).sum();
        let (told_calls, told_tokens, told_queue) = self.last().map_or((0.0, 0.0, 0.0), |report| {
            (
                f64::from(report.calls) + calls as f64,
                report.tokens as f64 + tokens as f64,
                f64::from(report.queued),
            )
        });
        let blend = |told: f64, prior: f64| known * told + (1.0 - known) * prior;
        Estimate {
            calls: blend(told_calls, prior.calls).max(f64::from(self.own_calls)),
            tokens: blend(told_tokens, prior.tokens).max(self.own_tokens as f64),
            queued: blend(told_queue, prior.queued),
            known,
        }
    }

    /// Returns the work of a rank in tokens held: the reported ones corrected by
    /// this entry's work since, but no fewer than this entry has there itself,
    /// and the prompts of this entry that wait there. `known` is the weight of
    /// the report, see [`Load::known`].
    pub fn rank_work(&self, rank: u16, known: f64) -> f64 {
        let own = self
            .own_ranks
            .get(usize::from(rank))
            .copied()
            .unwrap_or_default();
        let told = self
            .rank(rank)
            .map_or(0.0, |told| known * (told.tokens as f64 + own.since as f64));
        told.max(own.tokens as f64) + FRESH_WEIGHT * own.fresh as f64
    }

    /// Returns a rank of the last report.
    pub fn rank(&self, rank: u16) -> Option<&Rank> {
        self.last()
            .and_then(|report| report.ranks.get(usize::from(rank)))
    }

    /// Returns the credits at a moment.
    pub fn credit(&self, now: Moment, settings: &Settings) -> Credit {
        let unknown = Credit::Unknown(settings.probes.saturating_sub(self.unheard));
        let Some((report, at)) = &self.report else {
            return unknown;
        };
        let age = now.since(*at);
        if age >= report.credits_for {
            return unknown;
        }
        match report.credits.saturating_sub(self.spent) {
            0 => Credit::None(report.credits_for.saturating_sub(age)),
            left => Credit::Some(left),
        }
    }

    /// Returns the weight of the last report, from 1 (fresh) to 0 (unknown).
    pub fn known(&self, now: Moment, settings: &Settings) -> f64 {
        let Some((_, at)) = &self.report else {
            return 0.0;
        };
        let age = now.since(*at).saturating_sub(settings.fresh).as_secs_f64();
        let span = settings.stale.saturating_sub(settings.fresh).as_secs_f64();
        (1.0 - age / span.max(f64::EPSILON)).clamp(0.0, 1.0)
    }

    fn rank_mut(&mut self, rank: u16) -> &mut RankWork {
        let index = usize::from(rank);
        if index >= self.own_ranks.len() {
            self.own_ranks.resize(index + 1, RankWork::default());
        }
        &mut self.own_ranks[index]
    }

    fn change(&mut self, calls: i64, tokens: i64, at: Moment) {
        if self.deltas.len() >= DELTAS
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

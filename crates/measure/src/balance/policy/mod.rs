//! The choice of one entry: ours and the baselines.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use sesamerock_base::key::{Model, Upstream, Zone};
use sesamerock_base::time::Moment;
use sesamerock_route::choice::{Choice, Reason, Request};
use sesamerock_route::hash;
use sesamerock_route::load::Report;
use sesamerock_route::pick::{Outcome, Picker, Settings};
use sesamerock_route::prefix;
use sesamerock_route::profile::{LoadedModel, Member, Need, Profile};
use sesamerock_route::subset::{self, Subset};

use super::world::{self, Setup};

/// A policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Each upstream and rank in turn.
    RoundRobin,
    /// The fewest calls and tokens in the last report, however old, or none.
    LeastOutstanding,
    /// Any upstream and rank.
    Random,
    /// The picker without prompt prefixes.
    OursWithoutAffinity,
    /// The picker without ceilings, so that agents refuse nothing.
    OursWithoutCeiling,
    /// The picker.
    Ours,
}

impl Display for Kind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::RoundRobin => "round-robin",
            Self::LeastOutstanding => "least-outstanding",
            Self::Random => "random",
            Self::OursWithoutAffinity => "ours-without-affinity",
            Self::OursWithoutCeiling => "ours-without-ceiling",
            Self::Ours => "ours",
        })
    }
}

impl Kind {
    fn is_ours(self) -> bool {
        matches!(
            self,
            Self::Ours | Self::OursWithoutAffinity | Self::OursWithoutCeiling
        )
    }
}

/// One entry.
#[derive(Debug)]
pub struct Entry {
    kind: Kind,
    ranks: usize,
    turn: usize,
    reports: Vec<Option<Report>>,
    picker: Picker,
    subset: Subset,
}

/// Blocks of the prefix in a prompt.
pub fn blocks(prefix: u64) -> Vec<u64> {
    (0..world::PREFIX_BLOCKS)
        .map(|block| hash::mix(prefix + 1, block))
        .collect()
}

impl Entry {
    /// Makes an entry.
    pub fn new(index: usize, kind: Kind, setup: &Setup, rng: &mut ChaCha8Rng) -> Self {
        let defaults = Settings::default();
        let mut picker = Picker::new(Settings {
            max_refusals: if kind == Kind::OursWithoutCeiling {
                0
            } else {
                defaults.max_refusals
            },
            zone: Zone(index as u32 % world::ZONES),
            prefix: prefix::Settings {
                block_tokens: world::PREFIX_TOKENS as u32 / world::PREFIX_BLOCKS as u32,
                ..prefix::Settings::default()
            },
            ..defaults
        });
        let mut subset = Subset::default();
        let members: Vec<_> = (0..setup.upstreams as u32).map(member).collect();
        if kind.is_ours() {
            let seat = hash::mix(index as u64, 1);
            subset.update(seat, &members, setup.entries, subset::Settings::default());
            for member in &members {
                picker.upsert(member.upstream, profile(member));
            }
        }
        Self {
            kind,
            ranks: world::RANKS,
            turn: rng.random_range(0..setup.upstreams * world::RANKS),
            reports: vec![None; setup.upstreams],
            picker,
            subset,
        }
    }

    /// Returns whether the entry follows an upstream's cache events.
    pub fn follows(&self, upstream: Upstream) -> bool {
        self.kind.is_ours() && self.subset.members().binary_search(&upstream).is_ok()
    }

    /// Chooses an upstream and rank, or says how long to wait.
    pub fn choose(
        &mut self,
        request: &Request<'_>,
        now: Moment,
        rng: &mut ChaCha8Rng,
    ) -> Result<Choice, Duration> {
        let (upstream, rank) = match self.kind {
            Kind::RoundRobin => self.next(),
            Kind::Random => (
                rng.random_range(0..self.reports.len()),
                rng.random_range(0..self.ranks),
            ),
            Kind::LeastOutstanding => self.least(rng),
            Kind::Ours | Kind::OursWithoutCeiling => return self.pick(request, now, rng),
            Kind::OursWithoutAffinity => {
                let plain = Request {
                    prefix: &[],
                    ..*request
                };
                return self.pick(&plain, now, rng);
            }
        };
        Ok(Choice {
            upstream: Upstream(upstream as u32),
            rank: Some(rank as u16),
            place: None,
            elsewhere: false,
            max_own_step: None,
            reason: Reason::Least,
            ceiling: None,
            expected: Duration::ZERO,
            matched: 0,
            uncached: 0,
            tokens: request.tokens,
            isolated: false,
            losers: Vec::new(),
        })
    }

    /// Takes in a report.
    pub fn report(&mut self, upstream: Upstream, report: Report, now: Moment) {
        self.picker.report(upstream, report.clone(), now);
        self.reports[upstream.0 as usize] = Some(report);
    }

    /// Takes in a cache event.
    pub fn cached(&mut self, upstream: Upstream, event: prefix::Event) {
        self.picker.cache_event(upstream, event);
    }

    /// Takes in a first token.
    pub fn first(&mut self, choice: &Choice, seen: Duration, now: Moment) {
        self.picker.observed(choice, Outcome::First(seen), now);
    }

    /// Takes in that an agent refused a call above the ceiling.
    pub fn bounced(&mut self, choice: &Choice, now: Moment) {
        self.picker.observed(choice, Outcome::Neutral, now);
        self.picker.finished(choice, now);
    }

    /// Takes in the end of a call.
    pub fn finished(&mut self, choice: &Choice, now: Moment) {
        self.picker.finished(choice, now);
    }

    fn pick(
        &mut self,
        request: &Request<'_>,
        now: Moment,
        rng: &mut ChaCha8Rng,
    ) -> Result<Choice, Duration> {
        let choice = self
            .picker
            .pick(request, self.subset.members(), now, rng)
            .map_err(|refusal| refusal.retry_after.unwrap_or(Duration::from_millis(100)))?;
        self.picker.sent(&choice, request.prefix, now);
        Ok(choice)
    }

    fn next(&mut self) -> (usize, usize) {
        self.turn += 1;
        let count = self.reports.len();
        (self.turn % count, self.turn / count % self.ranks)
    }

    /// Returns the least loaded upstream and rank of the last reports; equal
    /// ones at random, and those without a report first.
    fn least(&self, rng: &mut ChaCha8Rng) -> (usize, usize) {
        let calls = |index: &usize| {
            self.reports[*index]
                .as_ref()
                .map_or(0, |report| report.calls)
        };
        let start = rng.random_range(0..self.reports.len());
        let order = (0..self.reports.len()).map(|step| (start + step) % self.reports.len());
        let upstream = order.min_by_key(calls).unwrap_or(0);
        let ranks = self.reports[upstream]
            .as_ref()
            .map_or(&[][..], |report| &report.ranks);
        let start = rng.random_range(0..self.ranks);
        let order = (0..self.ranks).map(|step| (start + step) % self.ranks);
        let rank = order.min_by_key(|rank| ranks.get(*rank).map_or(0, |rank| rank.tokens));
        (upstream, rank.unwrap_or(0))
    }
}

fn member(index: u32) -> Member {
    Member {
        group: None,
        upstream: Upstream(index),
        name: hash::name(format!("upstream-{index}")),
        zone: Zone(index % world::ZONES),
    }
}

fn profile(member: &Member) -> Profile {
    Profile {
        name: member.name,
        zone: member.zone,
        ranks: world::RANKS as u16,
        models: vec![LoadedModel::default()],
        ..Profile::default()
    }
}

/// Returns what all requests need.
pub fn need() -> Need {
    Need {
        model: Model::default(),
        ..Need::default()
    }
}

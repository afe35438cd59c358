//! An engine: a group of ranks that step together, with a prefix cache.

use std::collections::VecDeque;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use sesamerock_base::time::Moment;
use sesamerock_route::load::{self, Load, Rank, Report};
use sesamerock_route::rank;

/// Calls that a rank runs at a time; more wait.
pub const RANK_CALLS: usize = 12;
/// Prompt tokens that a rank processes in one step.
const CHUNK: u64 = 512;
/// Fixed time of a step, time of a running call and of a prompt token.
const FIXED_US: f64 = 8_000.0;
const CALL_US: f64 = 1_000.0;
const PROMPT_US: f64 = 25.0;
/// Weight of a step in the published mean, which is over about 20 steps.
const SMOOTHING: f64 = 0.05;
/// Prefixes that the cache holds.
const CACHED: usize = 48;
/// Calls that the agent admits, relative to those that run.
const ADMITTED: f64 = 1.5;

/// A call in the engine.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Number of the call.
    pub id: u64,
    /// Prompt tokens to process.
    pub prefill: u64,
    /// Tokens to generate.
    pub decode: u64,
    /// Tokens held while it runs.
    pub tokens: u64,
    /// Prompt tokens to process, as the entry expects and tells the agent.
    pub fresh: u64,
}

/// What a step brought.
#[derive(Debug, Default)]
pub struct Progress {
    /// Calls whose first token was generated.
    pub first: Vec<u64>,
    /// Calls that ended.
    pub ended: Vec<u64>,
}

#[derive(Debug, Default)]
struct Lane {
    speed: f64,
    running: Vec<Work>,
    waiting: VecDeque<Work>,
    step: Duration,
    /// Moving mean of the step times.
    mean: f64,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    lanes: Vec<Lane>,
    /// Prefixes in the cache, the least recently used first.
    cache: VecDeque<u64>,
    /// Ranks and step time as last published.
    published: (Vec<Rank>, Duration),
    step: Duration,
    /// What the agent knows of the ranks, for calls whose rank it chooses.
    board: Load,
    /// Whether a step is under way.
    pub stepping: bool,
    /// Sequence number of the last cache event.
    pub sequence: u64,
}

/// Change of the cache by a call.
#[derive(Debug)]
pub struct Change {
    /// Whether the prefix was there.
    pub hit: bool,
    /// The prefix that was evicted.
    pub evicted: Option<u64>,
}

impl Engine {
    /// Makes an engine from the speeds of its ranks; 1 is normal, 2 needs twice
    /// the time.
    pub fn new(speeds: impl Iterator<Item = f64>) -> Self {
        Self {
            lanes: speeds
                .map(|speed| Lane {
                    speed,
                    ..Lane::default()
                })
                .collect(),
            cache: VecDeque::new(),
            published: (Vec::new(), Duration::ZERO),
            step: Duration::ZERO,
            board: Load::default(),
            stepping: false,
            sequence: 0,
        }
    }

    /// Looks a prefix up and stores it.
    pub fn cache(&mut self, prefix: u64) -> Change {
        let place = self.cache.iter().position(|held| *held == prefix);
        if let Some(place) = place {
            self.cache.remove(place);
        }
        self.cache.push_back(prefix);
        let full = self.cache.len() > CACHED;
        let evicted = if full { self.cache.pop_front() } else { None };
        Change {
            hit: place.is_some(),
            evicted,
        }
    }

    /// Adds a call to a rank, which the agent chooses if the entry did not.
    pub fn add(&mut self, rank: Option<u16>, work: Work, now: Moment, rng: &mut ChaCha8Rng) {
        let settings = load::Settings::default();
        let ranks = self.lanes.len() as u16;
        let place = || rank::place(&self.board, ranks, work.tokens, 1.0, now, &settings, rng).rank;
        let rank = rank.or_else(place);
        let size = load::Work {
            tokens: work.tokens,
            uncached: work.fresh,
        };
        self.board.sent(size, rank, now);
        self.lanes[usize::from(rank.unwrap_or(0))]
            .waiting
            .push_back(work);
    }

    /// Begins a step and returns its time, or `None` without work. All ranks
    /// wait for the slowest.
    pub fn begin(&mut self) -> Option<Duration> {
        let mut slowest = Duration::ZERO;
        let mut work = false;
        for lane in &mut self.lanes {
            lane.admit();
            work |= !lane.running.is_empty();
            lane.step = lane.time();
            lane.mean += (lane.step.as_secs_f64() - lane.mean) * SMOOTHING;
            slowest = slowest.max(lane.step);
        }
        self.stepping = work;
        self.step = slowest;
        work.then_some(slowest)
    }

    /// Ends a step.
    pub fn end(&mut self, now: Moment) -> Progress {
        let mut progress = Progress::default();
        for (rank, lane) in self.lanes.iter_mut().enumerate() {
            lane.advance(Some(rank as u16), &mut self.board, now, &mut progress);
        }
        progress
    }

    /// Returns the slowest rank's time over the mean of all, in this step.
    pub fn skew(&self) -> f64 {
        let sum: Duration = self.lanes.iter().map(|lane| lane.step).sum();
        let mean = sum.as_secs_f64() / self.lanes.len() as f64;
        self.step.as_secs_f64() / mean
    }

    /// Returns the share of the agent's limit that is in use, with one more.
    pub fn used(&self) -> f64 {
        (self.calls() + 1) as f64 / self.limit()
    }

    fn limit(&self) -> f64 {
        self.lanes.len() as f64 * RANK_CALLS as f64 * ADMITTED
    }

    /// Returns whether the first rank is slower than the others.
    pub fn straggles(&self) -> bool {
        self.lanes[0].speed > self.lanes[1].speed
    }

    /// Returns the calls of a rank, running or waiting.
    pub fn rank_calls(&self, rank: usize) -> usize {
        self.lanes[rank].running.len() + self.lanes[rank].waiting.len()
    }

    /// Returns the calls in the engine, running or waiting.
    pub fn calls(&self) -> usize {
        (0..self.lanes.len())
            .map(|rank| self.rank_calls(rank))
            .sum()
    }

    /// Publishes the load of the ranks.
    pub fn publish(&mut self, now: Moment) {
        let ranks = self.lanes.iter().map(|lane| Rank {
            tokens: lane.tokens(),
            step: Duration::from_secs_f64(lane.mean),
        });
        self.published = (ranks.collect(), self.step);
        let report = Report {
            ranks: self.published.0.clone(),
            ..Report::default()
        };
        self.board.report(report, now, &load::Settings::default());
    }

    /// Returns the agent's report: the calls as it counts them, the rest as the
    /// engine last published it.
    pub fn report(&self, entries: u32) -> Report {
        let calls = self.calls() as u32;
        let limit = self.limit() as u32;
        let running: usize = self.lanes.iter().map(|lane| lane.running.len()).sum();
        Report {
            calls,
            tokens: self.lanes.iter().map(Lane::tokens).sum(),
            call_limit: limit,
            token_limit: 0,
            queued: calls - running as u32,
            credits: limit.saturating_sub(calls).div_ceil(entries),
            credit_ttl: Duration::from_secs(1),
            cold: false,
            leaving: false,
            step: self.published.1,
            own_step: Duration::ZERO,
            stalled: false,
            ranks: self.published.0.clone(),
        }
    }
}

impl Lane {
    fn admit(&mut self) {
        while self.running.len() < RANK_CALLS
            && let Some(work) = self.waiting.pop_front()
        {
            self.running.push(work);
        }
    }

    fn time(&self) -> Duration {
        let prompt: u64 = self.running.iter().map(|work| work.prefill).sum();
        let micros =
            FIXED_US + self.running.len() as f64 * CALL_US + prompt.min(CHUNK) as f64 * PROMPT_US;
        Duration::from_micros((micros * self.speed) as u64)
    }

    fn advance(
        &mut self,
        rank: Option<u16>,
        board: &mut Load,
        now: Moment,
        progress: &mut Progress,
    ) {
        let mut budget = CHUNK;
        for work in &mut self.running {
            if work.prefill > 0 {
                let done = work.prefill.min(budget);
                work.prefill -= done;
                budget -= done;
                if work.prefill == 0 {
                    progress.first.push(work.id);
                    board.prompt_processed(work.fresh, rank);
                }
            } else {
                work.decode -= 1;
            }
        }
        for work in self.running.extract_if(.., |work| work.decode == 0) {
            progress.ended.push(work.id);
            board.finished(work.tokens, rank, now);
        }
    }

    fn tokens(&self) -> u64 {
        self.running
            .iter()
            .chain(&self.waiting)
            .map(|work| work.tokens)
            .sum()
    }
}

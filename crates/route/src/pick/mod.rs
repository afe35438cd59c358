//! The picker: state about upstreams, and the choice of one for a request.
//!
//! The cost of each candidate is compared over a random sample of the subset,
//! since many entries that all took the least loaded upstream of a stale report
//! would overload it together. The sample grows with this entry's share of the
//! known work. See `docs/notes/routing.md`.

mod answer;
mod choose;
mod eligible;
mod group;

use std::collections::HashMap;
use std::time::Duration;

use sesamerock_base::arena::Arena;
use sesamerock_base::key::{Upstream, Zone};
use sesamerock_base::time::Moment;

use crate::choice::Choice;
use crate::digest::{Cursor, Digest};
use crate::load::{self, Load, Report, Work};
use crate::pace::Pace;
use crate::prefix;
use crate::profile::Profile;
use crate::score;

/// Settings of a picker.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Zone of the entry.
    pub zone: Zone,
    /// One-way distance to another zone that `distances` does not name.
    pub away: Duration,
    /// One-way distances to other zones.
    pub distances: HashMap<Zone, Duration>,
    /// How far load reports are believed.
    pub load: load::Settings,
    /// Bounds of the prefix index.
    pub prefix: prefix::Settings,
    /// Weights of the cost.
    pub score: score::Settings,
    /// Share of an upstream's known work below which this entry leaves the
    /// choice of the rank to the agent, which knows the work of all entries.
    pub rank_share: f64,
    /// Load relative to the mean above which an agent should refuse a call that
    /// has other upstreams to go to.
    pub ceiling: f64,
    /// Own step time of a rank over the median of its group above which its
    /// agent should refuse a call that other ranks can take. Means over some
    /// steps vary by about a tenth with the calls that come and go.
    pub slowest: f64,
    /// Age from which a rank's own step time is no longer believed, so that a
    /// rank that was slow is offered a call again. Its agent refuses the call if
    /// the group still waits for it, at the price of a round trip.
    pub probe: Duration,
    /// Most upstreams that may refuse a request for this reason.
    pub bounces: usize,
    /// Time after which a request that no upstream can take may be sent again,
    /// where nothing else says so.
    pub retry_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zone: Zone::default(),
            away: Duration::from_micros(500),
            distances: HashMap::new(),
            load: load::Settings::default(),
            prefix: prefix::Settings::default(),
            score: score::Settings::default(),
            rank_share: 0.5,
            ceiling: 1.15,
            slowest: 1.1,
            probe: Duration::from_secs(2),
            bounces: 3,
            retry_after: Duration::from_millis(100),
        }
    }
}

/// How a call ended, as far as it tells about the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The first token came after this time.
    First(Duration),
    /// The call failed in the upstream or on the way to it.
    Failed,
    /// The call tells nothing: it was refused.
    Neutral,
    /// The call tells nothing: this entry cancelled it before an answer began,
    /// since its caller went away or another attempt answered.
    Cancelled,
}

/// What is known about one upstream.
#[derive(Clone, Debug, Default)]
struct State {
    profile: Profile,
    load: Load,
    pace: Pace,
    suspects: u32,
}

/// Chooses upstreams for the requests of one entry.
#[derive(Clone, Debug, Default)]
pub struct Picker {
    settings: Settings,
    states: Arena<Upstream, Option<State>>,
    index: prefix::Index,
}

impl Picker {
    /// Makes a picker that knows no upstream.
    pub fn new(settings: Settings) -> Self {
        Self {
            index: prefix::Index::new(settings.prefix),
            settings,
            states: Arena::default(),
        }
    }

    /// Adds an upstream, or takes in a change of its profile.
    pub fn upsert(&mut self, upstream: Upstream, profile: Profile) {
        self.states.entry(upstream).get_or_insert_default().profile = profile;
    }

    /// Forgets an upstream.
    pub fn remove(&mut self, upstream: Upstream) {
        *self.states.entry(upstream) = None;
        self.index.forget(upstream);
    }

    /// Takes in a load report.
    pub fn report(&mut self, upstream: Upstream, report: Report, now: Moment) {
        if let Some(Some(state)) = self.states.get_mut(upstream) {
            state.load.report(report, now, &self.settings.load);
        }
    }

    /// Takes in that the engine of an upstream restarted or crashed: its load,
    /// cache and pace are unknown.
    pub fn restarted(&mut self, upstream: Upstream) {
        if let Some(Some(state)) = self.states.get_mut(upstream) {
            state.load.forget();
            state.pace = Pace::default();
        }
        self.index.forget(upstream);
    }

    /// Takes in a cache event.
    pub fn cached(&mut self, upstream: Upstream, event: prefix::Event) -> prefix::Outcome {
        self.index.event(upstream, event)
    }

    /// Returns how far the cache of an upstream is known from digests.
    pub fn cursor(&self, upstream: Upstream) -> Cursor {
        self.index.cursor(upstream)
    }

    /// Takes in a digest of a cache, unless the upstream is not known.
    pub fn learn(&mut self, upstream: Upstream, digest: &Digest, now: Moment) -> prefix::Learned {
        if self.state(upstream).is_none() {
            return prefix::Learned::Ignored;
        }
        self.index.learn(upstream, digest, now)
    }

    /// Counts a request as sent to its choice.
    pub fn sent(&mut self, choice: &Choice, prefix: &[u64], now: Moment) {
        if let Some(Some(state)) = self.states.get_mut(choice.upstream) {
            let work = Work {
                tokens: choice.tokens,
                fresh: choice.fresh,
            };
            state.load.sent(work, choice.rank, now);
            state.suspects += u32::from(choice.isolated);
        }
        if !prefix.is_empty() {
            self.index.expect(choice.upstream, prefix);
        }
    }

    /// Takes in the first token of a sent request, or that there will be none;
    /// each choice that was sent must be observed exactly once.
    pub fn observed(&mut self, choice: &Choice, outcome: Outcome, now: Moment) {
        let half_life = self.settings.score.half_life;
        if let Some(Some(state)) = self.states.get_mut(choice.upstream) {
            state.load.begun(choice.fresh, choice.rank);
            match outcome {
                Outcome::First(seen) => state.pace.observe(seen, choice.expected, now, half_life),
                Outcome::Failed => state.pace.failed(now, half_life),
                Outcome::Neutral => (),
                Outcome::Cancelled => state.load.cancelled(),
            }
        }
    }

    /// Counts a sent request as finished; each choice that was sent must be
    /// finished exactly once.
    pub fn finished(&mut self, choice: &Choice, now: Moment) {
        if let Some(Some(state)) = self.states.get_mut(choice.upstream) {
            state.load.finished(choice.tokens, choice.rank, now);
            state.suspects = state.suspects.saturating_sub(u32::from(choice.isolated));
        }
    }

    /// Returns the load of an upstream, for logs and metrics.
    pub fn load(&self, upstream: Upstream) -> Option<&Load> {
        self.state(upstream).map(|state| &state.load)
    }

    fn state(&self, upstream: Upstream) -> Option<&State> {
        self.states.get(upstream).and_then(Option::as_ref)
    }
}

//! The picker: keeps state about upstreams and selects one for each request.
//!
//! Costs are compared over a random sample of the subset, since many entries that
//! all selected the upstream with the lowest load in a stale report would
//! overload it together. The sample grows with this entry's share of the known
//! work. See `docs/notes/routing.md`.

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
use crate::prefix;
use crate::profile::Profile;
use crate::score;
use crate::slowness::Slowness;

/// Settings of a picker.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Zone that the entry runs in.
    pub zone: Zone,
    /// One-way network delay to a zone that `distances` does not contain.
    pub default_distance: Duration,
    /// One-way network delays to other zones.
    pub distances: HashMap<Zone, Duration>,
    /// Weight of load reports by their age.
    pub load: load::Settings,
    /// Bounds of the prefix index.
    pub prefix: prefix::Settings,
    /// Weights of the cost.
    pub score: score::Settings,
    /// Fraction of an upstream's known work that this entry must have sent to
    /// select the rank itself. Below this fraction the agent selects the rank,
    /// since the agent receives the work of all entries.
    pub rank_share: f64,
    /// Load relative to the mean above which an agent should refuse a call that
    /// other upstreams can take.
    pub ceiling: f64,
    /// Own step time of a rank, relative to the median of its group, above which
    /// its agent should refuse a call that other ranks can take. Means over
    /// several steps vary by about a tenth as calls start and end.
    pub max_own_step_ratio: f64,
    /// Age from which a rank's own step time has no weight, so that a rank that
    /// was slow gets a call again. If the group still waits for that rank, its
    /// agent refuses the call, which costs a round trip.
    pub own_step_ttl: Duration,
    /// Most upstreams that may refuse a request because of the ceiling or the own
    /// step time. A request that excludes this many upstreams gets neither bound.
    pub max_refusals: usize,
    /// Time after which a request that no upstream can take may be retried, if no
    /// credits determine it.
    pub retry_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zone: Zone::default(),
            default_distance: Duration::from_micros(500),
            distances: HashMap::new(),
            load: load::Settings::default(),
            prefix: prefix::Settings::default(),
            score: score::Settings::default(),
            rank_share: 0.5,
            ceiling: 1.15,
            max_own_step_ratio: 1.1,
            own_step_ttl: Duration::from_secs(2),
            max_refusals: 3,
            retry_after: Duration::from_millis(100),
        }
    }
}

/// How a call ended, as far as it bears on the state of the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The first token arrived after this time.
    First(Duration),
    /// The call failed in the upstream or on the way to it.
    Failed,
    /// The call was refused, which does not affect the observed slowness
    /// of the upstream.
    Neutral,
    /// This entry cancelled the call before a response began, because its caller
    /// disconnected or another attempt responded first.
    Cancelled,
}

/// State of one upstream as known to this entry.
#[derive(Clone, Debug, Default)]
struct State {
    profile: Profile,
    load: Load,
    slowness: Slowness,
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
    /// Makes a picker without upstreams.
    pub fn new(settings: Settings) -> Self {
        Self {
            index: prefix::Index::new(settings.prefix),
            settings,
            states: Arena::default(),
        }
    }

    /// Adds an upstream or replaces its profile.
    pub fn upsert(&mut self, upstream: Upstream, profile: Profile) {
        self.states.entry(upstream).get_or_insert_default().profile = profile;
    }

    /// Removes an upstream with its load and cache state.
    pub fn remove(&mut self, upstream: Upstream) {
        *self.states.entry(upstream) = None;
        self.index.remove(upstream);
    }

    /// Records a load report; ignored if the upstream is not known.
    pub fn report(&mut self, upstream: Upstream, report: Report, now: Moment) {
        if let Some(Some(state)) = self.states.get_mut(upstream) {
            state.load.report(report, now, &self.settings.load);
        }
    }

    /// Resets the load report, cache state and slowness of an upstream whose
    /// engine restarted or crashed.
    pub fn restarted(&mut self, upstream: Upstream) {
        if let Some(Some(state)) = self.states.get_mut(upstream) {
            state.load.clear_report();
            state.slowness = Slowness::default();
        }
        self.index.remove(upstream);
    }

    /// Applies a cache event of an upstream.
    pub fn cache_event(
        &mut self,
        upstream: Upstream,
        event: prefix::Event,
    ) -> prefix::EventOutcome {
        self.index.apply_event(upstream, event)
    }

    /// Returns the last change of an upstream's cache that a digest has covered.
    pub fn cursor(&self, upstream: Upstream) -> Cursor {
        self.index.cursor(upstream)
    }

    /// Applies a digest of an upstream's cache; ignored if the upstream is not
    /// known.
    pub fn apply_digest(
        &mut self,
        upstream: Upstream,
        digest: &Digest,
        now: Moment,
    ) -> prefix::DigestOutcome {
        if self.state(upstream).is_none() {
            return prefix::DigestOutcome::Ignored;
        }
        self.index.apply_digest(upstream, digest, now)
    }

    /// Records that a request was sent to the selected upstream; `prefix` is that
    /// of the request.
    pub fn sent(&mut self, choice: &Choice, prefix: &[u64], now: Moment) {
        if let Some(Some(state)) = self.states.get_mut(choice.upstream) {
            let work = Work {
                tokens: choice.tokens,
                uncached: choice.uncached,
            };
            state.load.sent(work, choice.rank, now);
            state.suspects += u32::from(choice.isolated);
        }
        if !prefix.is_empty() {
            self.index.assume_cached(choice.upstream, prefix);
        }
    }

    /// Records the first token of a sent request, or that there will be none. Must
    /// be called exactly once for each choice that was sent.
    pub fn observed(&mut self, choice: &Choice, outcome: Outcome, now: Moment) {
        let half_life = self.settings.score.half_life;
        if let Some(Some(state)) = self.states.get_mut(choice.upstream) {
            state.load.prompt_processed(choice.uncached, choice.rank);
            match outcome {
                Outcome::First(seen) => state.slowness.add(seen, choice.expected, now, half_life),
                Outcome::Failed => state.slowness.failed(now, half_life),
                Outcome::Neutral => (),
                Outcome::Cancelled => state.load.cancelled(),
            }
        }
    }

    /// Records that a sent request has finished. Must be called exactly once for
    /// each choice that was sent.
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

//! Requests to the picker and its answers, made for one log line each.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use sesamerock_base::key::Upstream;

use crate::profile::{Need, Place, Unable};

/// A request that needs an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request<'a> {
    /// What the upstream must have.
    pub need: Need,
    /// [`crate::hash::name`] of the workspace's name; requests of one workspace
    /// with one prefix are drawn to the same upstreams.
    pub workspace: u64,
    /// Tokens that the call will hold, prompt and expected generation.
    pub tokens: u64,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Hashes of the prompt's complete blocks, see [`crate::hash::chain`].
    pub prefix: &'a [u64],
    /// RFC 9218 urgency, 0 (highest) to 7.
    pub urgency: u8,
    /// Upstreams that must not be chosen, such as those of failed attempts.
    pub excluded: &'a [Upstream],
    /// Upstreams whose agents do not answer now; their groups cannot step.
    pub silent: &'a [Upstream],
    /// Whether the request is a crash suspect, of which an upstream runs at
    /// most one at a time.
    pub isolated: bool,
    /// Whether the request may wait in an agent's queue, so that upstreams in
    /// cold start at their limit and without credits are candidates as well.
    pub queues: bool,
    /// Whether the call must not be sent to a second upstream, as it is neither
    /// repeatable nor keyed; it then gets no ceiling.
    pub once: bool,
}

/// The upstream chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub upstream: Upstream,
    /// Rank behind its agent, if it has more than one.
    pub rank: Option<u16>,
    /// Its place in a group whose ranks are upstreams of their own.
    pub place: Option<Place>,
    /// Whether an upstream outside of its group could take the request, so that
    /// an agent should refuse it if the group does not step.
    pub elsewhere: bool,
    /// Own step time above which the agent should refuse the call if its rank is
    /// the slowest, because the others of its group need less.
    pub slowest: Option<Duration>,
    /// Why it was chosen.
    pub reason: Reason,
    /// Share of its call limit above which the agent should refuse the call,
    /// because this entry knows other upstreams that are probably less loaded.
    pub ceiling: Option<f64>,
    /// Expected time to first token.
    pub expected: Duration,
    /// Prompt tokens expected in its cache.
    pub matched: u64,
    /// Prompt tokens not expected in its cache.
    pub fresh: u64,
    /// Tokens of the request, to be handed back when it finishes.
    pub tokens: u64,
    /// Whether the request is isolated.
    pub isolated: bool,
    /// The candidates not chosen; at most [`LOSERS`].
    pub losers: Vec<Loser>,
}

/// Most candidates not chosen that an answer lists. Log lines stay readable,
/// and the whole subset can be found by the reason's counts over several lines.
pub const LOSERS: usize = 16;

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It was the only candidate left.
    Only,
    /// It had the least expected cost, and no cached prefix.
    Least,
    /// It had the least expected cost, with a cached prefix.
    Prefix,
    /// It had the least expected cost, as the place for this workspace and
    /// prefix.
    Affinity,
    /// Another rank was cheaper by itself, but would have made the steps of its
    /// group longer.
    Balance,
    /// The key belongs to it.
    Keyed,
}

/// A candidate that was not chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Loser {
    /// The upstream.
    pub upstream: Upstream,
    /// Why it was not chosen.
    pub why: Why,
}

/// Why a candidate was not chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Why {
    /// The picker was not told about it.
    Unknown,
    /// It does not serve the model, adapter, version or role.
    Unfit,
    /// It is leaving.
    Leaving,
    /// Operators took it or its zone out of service.
    Out,
    /// The request excludes it.
    Excluded,
    /// It has no credits for this long.
    Credits(Duration),
    /// It is in cold start and at its limit.
    Cold,
    /// It runs another crash suspect.
    Suspect,
    /// Its group cannot step, and another upstream can serve.
    Group(Unable),
    /// Its expected cost was higher by this much.
    Cost(Duration),
    /// It was cheaper by itself, but the steps of its group would become longer,
    /// which made its cost higher by this much.
    Growth(Duration),
    /// It was not among the sampled candidates.
    Unsampled,
}

/// No upstream can take the request now; nothing was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// The nearest reason: what would have to change first.
    pub cause: Cause,
    /// When a new attempt may succeed, if waiting helps.
    pub retry_after: Option<Duration>,
    /// All candidates with the reason against each; at most [`LOSERS`].
    pub losers: Vec<Loser>,
}

/// Why no upstream can take a request. Where candidates fail for several
/// reasons, the one that is nearest to service is named.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// No known upstream serves what is needed.
    Unserved,
    /// All that serve it are leaving.
    Leaving,
    /// All that serve it are out of service, or leaving.
    Out,
    /// All that serve it are excluded by the request.
    Excluded,
    /// All that could serve it are in cold start and at their limit.
    Cold,
    /// All that could serve it run a crash suspect now.
    Suspect,
    /// All that could serve it have no credits now.
    Credits,
}

impl Why {
    /// Returns the cause that this reason stands for.
    pub(crate) const fn cause(self) -> Cause {
        match self {
            // The last four are reasons against a candidate beside a better one.
            Self::Unknown
            | Self::Unfit
            | Self::Group(_)
            | Self::Cost(_)
            | Self::Growth(_)
            | Self::Unsampled => Cause::Unserved,
            Self::Leaving => Cause::Leaving,
            Self::Out => Cause::Out,
            Self::Excluded => Cause::Excluded,
            Self::Cold => Cause::Cold,
            Self::Suspect => Cause::Suspect,
            Self::Credits(_) => Cause::Credits,
        }
    }
}

impl Choice {
    /// Returns the fields of the log line; `name` returns an upstream's name.
    pub fn line<'a>(&self, name: impl Fn(Upstream) -> &'a str) -> String {
        let rank = self
            .rank
            .map_or_else(|| "any".to_owned(), |rank| rank.to_string());
        format!(
            "upstream={} rank={rank} reason={} expected_ms={} cached_tokens={} losers={}",
            name(self.upstream),
            self.reason,
            self.expected.as_millis(),
            self.matched,
            losers(&self.losers, name),
        )
    }
}

impl Refusal {
    /// Returns the fields of the log line; `name` returns an upstream's name.
    pub fn line<'a>(&self, name: impl Fn(Upstream) -> &'a str) -> String {
        let after = self.retry_after.map_or(0, |after| after.as_millis());
        let losers = losers(&self.losers, name);
        format!(
            "upstream=none reason={} retry_after_ms={after} losers={losers}",
            self.cause
        )
    }
}

fn losers<'a>(losers: &[Loser], name: impl Fn(Upstream) -> &'a str) -> String {
    let one = |loser: &Loser| format!("{}:{}", name(loser.upstream), loser.why);
    losers.iter().map(one).collect::<Vec<_>>().join(",")
}

impl Display for Reason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Only => "only-candidate",
            Self::Least => "least-cost",
            Self::Prefix => "cached-prefix",
            Self::Affinity => "affinity",
            Self::Balance => "rank-balance",
            Self::Keyed => "keyed",
        })
    }
}

impl Display for Why {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => f.write_str("unknown"),
            Self::Unfit => f.write_str("unfit"),
            Self::Leaving => f.write_str("leaving"),
            Self::Out => f.write_str("out"),
            Self::Excluded => f.write_str("excluded"),
            Self::Credits(left) => write!(f, "no-credits/{}ms", left.as_millis()),
            Self::Cold => f.write_str("cold"),
            Self::Suspect => f.write_str("suspect-aboard"),
            Self::Group(unable) => write!(f, "group-{unable}"),
            Self::Cost(more) => write!(f, "cost+{}us", more.as_micros()),
            Self::Growth(more) => write!(f, "step+{}us", more.as_micros()),
            Self::Unsampled => f.write_str("unsampled"),
        }
    }
}

impl Display for Unable {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Silent => "silent",
            Self::Stalled => "stalled",
            Self::Leaving => "leaving",
            Self::Out => "out",
            Self::Missing => "missing",
        })
    }
}

impl Display for Cause {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unserved => "unserved",
            Self::Leaving => "all-leaving",
            Self::Out => "all-out",
            Self::Excluded => "all-excluded",
            Self::Cold => "all-cold",
            Self::Suspect => "all-run-suspects",
            Self::Credits => "no-credits",
        })
    }
}

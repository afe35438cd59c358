//! Input and results of the picker. Each result can be written as one log line.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use sesamerock_base::key::Upstream;

use crate::profile::{Need, Place, StepBlocker};

/// A request for which an upstream is to be selected.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request<'a> {
    /// Model, adapter, version and role that the upstream must serve.
    pub need: Need,
    /// [`crate::hash::name`] of the workspace's name; requests of one workspace
    /// with the same prefix prefer the same upstreams.
    pub workspace: u64,
    /// Tokens that the call will occupy: prompt and expected generation.
    pub tokens: u64,
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Hashes of the prompt's complete blocks, see [`crate::hash::chain`].
    pub prefix: &'a [u64],
    /// RFC 9218 urgency, 0 (highest) to 7.
    pub urgency: u8,
    /// Upstreams that must not be selected, such as those of failed attempts.
    pub excluded: &'a [Upstream],
    /// Upstreams whose agents do not respond at present; their groups cannot
    /// step.
    pub unreachable: &'a [Upstream],
    /// Whether the request is a crash suspect. An upstream runs at most one
    /// suspect at a time.
    pub isolated: bool,
    /// Whether the request may wait in an agent's queue. Upstreams that are at
    /// their limit during a cold start, or have no credits, are then candidates
    /// as well.
    pub may_queue: bool,
    /// Whether the call must not be sent to a second upstream, because it is
    /// neither repeatable nor keyed. Such a call gets no ceiling, since a refusal
    /// would fail it.
    pub send_once: bool,
}

/// The upstream selected for a request, with limits for its agent.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Selected upstream.
    pub upstream: Upstream,
    /// Rank behind the upstream's agent; `None` if there is only one or if the
    /// agent is to select it.
    pub rank: Option<u16>,
    /// Position of the upstream in a group whose ranks are upstreams of their own.
    pub place: Option<Place>,
    /// Whether an upstream outside of this group could take the request; the
    /// agent should then refuse it if the group does not step.
    pub elsewhere: bool,
    /// Own step time above which the agent should refuse the call if its rank is
    /// the slowest of the group, because the other ranks need less.
    pub max_own_step: Option<Duration>,
    /// Why this upstream was selected.
    pub reason: Reason,
    /// Fraction of its call limit above which the agent should refuse the call,
    /// because this entry knows other upstreams that are probably less loaded.
    pub ceiling: Option<f64>,
    /// Expected time to first token.
    pub expected: Duration,
    /// Prompt tokens expected in the upstream's cache.
    pub matched: u64,
    /// Prompt tokens not expected in the upstream's cache.
    pub uncached: u64,
    /// Tokens of the request, which are subtracted from the upstream's load when
    /// it finishes.
    pub tokens: u64,
    /// Whether the request is a crash suspect, see [`Request::isolated`].
    pub isolated: bool,
    /// Candidates that were not selected; at most [`MAX_LOSERS`].
    pub losers: Vec<Loser>,
}

/// Most unselected candidates listed in a result, which keeps log lines readable.
/// Counts of the reasons over several lines still cover the whole subset.
pub const MAX_LOSERS: usize = 16;

/// Why an upstream was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No other candidate was left.
    Only,
    /// Least expected cost, without a cached prefix.
    Least,
    /// Least expected cost, with a cached prefix.
    Prefix,
    /// Least expected cost, as the affinity upstream of this workspace and
    /// prefix.
    Affinity,
    /// Another rank was cheaper by itself, but would have lengthened the steps of
    /// its group.
    Balance,
    /// Rendezvous hashing assigns the key to this upstream.
    Keyed,
}

/// A candidate that was not selected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Loser {
    /// Upstream that was considered.
    pub upstream: Upstream,
    /// Why the upstream was not selected.
    pub reason: LossReason,
}

/// Why a candidate was not selected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LossReason {
    /// The picker has no state of the upstream.
    Unknown,
    /// The upstream does not serve the model, adapter, version or role.
    Unfit,
    /// The upstream is draining before it leaves.
    Leaving,
    /// Operators have taken the upstream or its zone out of service.
    Out,
    /// The request excludes the upstream, or its agent does not respond.
    Excluded,
    /// This entry has no credits for the upstream for this long.
    Credits(Duration),
    /// The upstream is at its limit during a cold start.
    Cold,
    /// The upstream runs another crash suspect.
    Suspect,
    /// The upstream's group cannot step, and another upstream can serve.
    Group(StepBlocker),
    /// The expected cost was higher by this much.
    Cost(Duration),
    /// The upstream was cheaper by itself, but the call would lengthen the steps
    /// of its group, which made its total cost higher by this much.
    Growth(Duration),
    /// The upstream was not among the sampled candidates.
    Unsampled,
}

/// No upstream can take the request now; nothing was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// What would have to change first, see [`Cause`].
    pub cause: Cause,
    /// Time after which a new attempt may succeed; `None` if waiting does not
    /// help.
    pub retry_after: Option<Duration>,
    /// All candidates with the reason against each; at most [`MAX_LOSERS`].
    pub losers: Vec<Loser>,
}

/// Why no upstream can take a request. If candidates are rejected for several
/// reasons, the greatest in this order is reported, since its candidate came
/// closest to taking the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// No known upstream serves the model, adapter, version and role.
    Unserved,
    /// All upstreams that serve the request are draining before they leave.
    Leaving,
    /// All upstreams that serve the request are out of service or leaving.
    Out,
    /// The request excludes all upstreams that serve it, or their agents do not
    /// respond.
    Excluded,
    /// All remaining upstreams are at their limit during a cold start.
    Cold,
    /// All remaining upstreams run a crash suspect at present.
    Suspect,
    /// This entry has no credits for any remaining upstream at present.
    Credits,
}

impl LossReason {
    /// Returns the cause of a refusal to which this reason contributes.
    pub(crate) const fn cause(self) -> Cause {
        match self {
            // `Group`, `Cost`, `Growth` and `Unsampled` occur only if there is a
            // better candidate.
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
    /// Returns the fields of the log line; `name` returns an upstream's name. A
    /// `retry_after_ms` of 0 means that waiting does not help.
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
    let format_loser = |loser: &Loser| format!("{}:{}", name(loser.upstream), loser.reason);
    losers
        .iter()
        .map(format_loser)
        .collect::<Vec<_>>()
        .join(",")
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

impl Display for LossReason {
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
            Self::Group(blocker) => write!(f, "group-{blocker}"),
            Self::Cost(more) => write!(f, "cost+{}us", more.as_micros()),
            Self::Growth(more) => write!(f, "step+{}us", more.as_micros()),
            Self::Unsampled => f.write_str("unsampled"),
        }
    }
}

impl Display for StepBlocker {
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

//! Decides what to do after an attempt that returned no complete response.
//!
//! The rules, in order:
//!
//! 1. A call that is neither repeatable nor keyed is sent once. As soon as one
//!    byte of the call may have left this process, the call is never sent again,
//!    whatever the upstream answers.
//! 2. A stream of which the caller has received a part is resumed or fails; it
//!    is never restarted for the caller.
//! 3. No attempt is sent that could not be answered before the deadline, nor
//!    one that exceeds the maximum number of attempts or the retry budget.
//!    Another upstream after [`Phase::OverCeiling`] does not count as an attempt.
//! 4. Otherwise the call is sent again. This is safe, because the call did not
//!    run, or is allowed to run twice, or has a key by which the ledger, the
//!    store of results of keyed calls, returns the result of the first run.

use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::budget::{Budget, Verdict};

/// Whether an upstream has begun to execute a call.
///
/// The variants are ordered by what a caller must assume: the result of several
/// attempts is the greatest of their values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Executed {
    /// No upstream has begun to execute the call, and none will.
    #[default]
    No,
    /// An upstream may have begun, for example when the connection was lost.
    Unknown,
    /// An upstream has begun to execute the call.
    Yes,
}

/// How much of the response the caller had received when the attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The agent refused the call only because its load is above the ceiling
    /// that the entry sent, see `sesamerock_route::choice::Choice`. The call
    /// goes to another upstream immediately. This does not count as a retry: no
    /// upstream has done any work, and the selection of upstreams bounds the
    /// number of such refusals.
    OverCeiling,
    /// The caller has received no part of the response.
    Undelivered,
    /// The caller has received part of a stream.
    Streaming {
        /// Whether [`crate::resume::Stream::interrupt`] returned a point from which
        /// another upstream can continue.
        resumable: bool,
    },
}

/// A failed attempt and the call it belongs to.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// How much of the response the caller has received.
    pub phase: Phase,
    /// Whether the upstream of this attempt began to execute the call.
    pub executed: Executed,
    /// The greatest [`Executed`] of the earlier attempts.
    pub earlier_executed: Executed,
    /// Whether the call is allowed to run more than once.
    pub repeatable: bool,
    /// Whether the call has an idempotency key.
    pub keyed: bool,
    /// Whether a byte of the call may have left this process in any attempt.
    pub sent: bool,
    /// When the caller needs the response.
    pub deadline: Moment,
    /// Number of attempts made so far, including this one.
    pub attempts: u32,
    /// Minimum wait before a retry, if the upstream's answer specifies one.
    pub retry_after: Option<Duration>,
}

/// Limits for the attempts of one call.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Maximum number of attempts, including the first.
    pub max_attempts: u32,
    /// Backoff before the second attempt, before jitter; doubles with each
    /// further attempt.
    pub initial_backoff: Duration,
    /// Upper bound of the exponential backoff. A wait that an upstream requests
    /// is added and is not bounded by this value.
    pub max_backoff: Duration,
    /// An attempt is sent only if more than this time remains between the end of
    /// its backoff and the deadline.
    pub deadline_margin: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_attempts: 4,
            initial_backoff: Duration::from_millis(5),
            max_backoff: Duration::from_millis(500),
            deadline_margin: Duration::from_millis(10),
        }
    }
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the call again, with the same key if it has one.
    Retry {
        /// Time to wait before sending.
        after: Duration,
    },
    /// Continue the stream on another upstream.
    Resume,
    /// Answer the caller with a failure.
    Fail {
        /// What the answer to the caller reports about the execution.
        executed: Executed,
        /// Why there is no further attempt; written to the log.
        why: Reason,
    },
}

/// Why a call fails instead of being attempted again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Another attempt could execute a call twice that must run only once.
    Unsafe,
    /// Part of the response was delivered, and the stream cannot be continued.
    Unresumable,
    /// Another attempt could not be answered before the deadline.
    Deadline,
    /// The maximum number of attempts was made.
    Attempts,
    /// The retry budget is exhausted.
    Budget,
}

/// Decides what to do after a failed attempt, and takes a granted retry or
/// resumption from the budget. `jitter` is a random number from the full range.
pub fn decide(
    attempt: &Attempt,
    budget: &mut Budget,
    now: Moment,
    jitter: u64,
    settings: &Settings,
) -> Decision {
    let executed = reported_execution(attempt);
    let fail = |why| Decision::Fail { executed, why };
    if !attempt.repeatable && !attempt.keyed && attempt.sent {
        return fail(Reason::Unsafe);
    }
    let after = match attempt.phase {
        Phase::OverCeiling if now < attempt.deadline => {
            return Decision::Retry {
                after: Duration::ZERO,
            };
        }
        Phase::OverCeiling => return fail(Reason::Deadline),
        Phase::Undelivered => backoff(attempt, jitter, settings),
        Phase::Streaming { resumable: true } if attempt.repeatable => Duration::ZERO,
        Phase::Streaming { .. } => return fail(Reason::Unresumable),
    };
    if attempt.attempts >= settings.max_attempts {
        return fail(Reason::Attempts);
    }
    if now + after + settings.deadline_margin >= attempt.deadline {
        return fail(Reason::Deadline);
    }
    let (verdict, decision) = match attempt.phase {
        Phase::OverCeiling | Phase::Undelivered => {
            (budget.may_retry(now), Decision::Retry { after })
        }
        Phase::Streaming { .. } => (budget.may_resume(now), Decision::Resume),
    };
    match verdict {
        Verdict::Granted => decision,
        Verdict::Exhausted(_) => fail(Reason::Budget),
    }
}

/// Returns what an answer to the caller may state about the execution of the
/// call, over all attempts so far.
pub fn reported_execution(attempt: &Attempt) -> Executed {
    let this_attempt = match attempt.phase {
        Phase::Streaming { .. } => Executed::Yes,
        Phase::Undelivered if attempt.sent => attempt.executed,
        Phase::Undelivered | Phase::OverCeiling => Executed::No,
    };
    this_attempt.max(attempt.earlier_executed)
}

/// Returns the time to wait before the next attempt: a random time between half
/// of the exponential backoff and all of it, added to the wait that the upstream
/// requested, if any.
fn backoff(attempt: &Attempt, jitter: u64, settings: &Settings) -> Duration {
    let doublings = attempt.attempts.saturating_sub(1).min(16);
    let full = settings
        .initial_backoff
        .saturating_mul(1 << doublings)
        .min(settings.max_backoff);
    let half = full.as_micros() as u64 / 2;
    let jittered = Duration::from_micros(half + jitter % (half + 1));
    attempt
        .retry_after
        .map_or(jittered, |requested| requested + jittered)
}

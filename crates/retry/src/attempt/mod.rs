//! What follows an attempt that did not bring the complete response.
//!
//! The rules, in order:
//!
//! 1. A call that is neither repeatable nor keyed is sent once. After a byte of
//!    it may have left, it is never sent again, whatever the upstream says.
//! 2. A stream that has begun is resumed, or fails; it is never begun anew.
//! 3. Nothing is sent that cannot answer before the deadline, beyond the most
//!    attempts, or beyond the budget.
//! 4. Otherwise the call is sent again: it did not run, or may run twice, or
//!    its key makes the ledger answer for what already ran.

use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::budget::{Budget, Verdict};

/// Whether an upstream has begun to execute a call.
///
/// The order is that of what a caller must assume: over several attempts the
/// greatest counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Executed {
    /// No upstream did, and none will.
    #[default]
    No,
    /// It cannot be known.
    Unknown,
    /// One did.
    Yes,
}

/// How far the response of the failed attempt came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The agent refused the call only because its load is above the ceiling
    /// that the entry gave, see `sesamerock_route::choice::Choice`. The call
    /// then goes to another upstream at once, which is no retry: it costs no
    /// work, and the picker bounds how often it happens.
    OverCeiling,
    /// The caller has received nothing.
    Undelivered,
    /// The caller has received part of a stream.
    Streaming {
        /// Whether [`crate::resume::Stream::cut`] returned a point to resume.
        resumable: bool,
    },
}

/// A failed attempt and the call it belongs to.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// How far the response came.
    pub phase: Phase,
    /// What is known of this attempt's execution.
    pub executed: Executed,
    /// The greatest of the earlier attempts' [`Executed`].
    pub earlier_executed: Executed,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Whether an idempotency key accompanies the call.
    pub keyed: bool,
    /// Whether a byte of any attempt may have left this process.
    pub sent: bool,
    /// When the caller needs the response.
    pub deadline: Moment,
    /// Attempts made so far, this one included.
    pub attempts: u32,
    /// How long the upstream asked to wait.
    pub retry_after: Option<Duration>,
}

/// Bounds of the attempts of one call.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Most attempts, the first included.
    pub max_attempts: u32,
    /// Pause before the second attempt; it doubles with each further one.
    pub initial_backoff: Duration,
    /// Longest pause that is not asked for by an upstream.
    pub max_backoff: Duration,
    /// Time before the deadline in which nothing is sent any more.
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

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the call again, with the same key if it has one.
    Retry {
        /// Pause before it is sent.
        after: Duration,
    },
    /// Continue the stream on another upstream.
    Resume,
    /// Answer the caller with a failure.
    Fail {
        /// What the caller is told.
        executed: Executed,
        /// Why there is no further attempt, for the log line.
        why: Reason,
    },
}

/// Why a call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Repeating it could execute it twice.
    Unsafe,
    /// Part of the response was delivered and cannot be continued.
    Unresumable,
    /// The deadline does not allow another attempt.
    Deadline,
    /// All attempts were made.
    Attempts,
    /// The retry budget is exhausted.
    Budget,
}

/// Decides what follows a failed attempt. `jitter` is a random number.
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

/// Returns what a caller may be told of all attempts so far.
pub fn reported_execution(attempt: &Attempt) -> Executed {
    let this = match attempt.phase {
        Phase::Streaming { .. } => Executed::Yes,
        Phase::Undelivered if attempt.sent => attempt.executed,
        Phase::Undelivered | Phase::OverCeiling => Executed::No,
    };
    this.max(attempt.earlier_executed)
}

/// Returns the pause before the next attempt: between half and all of an
/// exponential one, but no less than the upstream asked for.
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
        .map_or(jittered, |asked| asked + jittered)
}

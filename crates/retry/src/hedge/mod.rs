//! Hedging: sending a look-up to a second upstream when the first is slow.
//!
//! [`latency`] learns when a look-up is slow, [`due`] and [`decide`] tell
//! whether a second attempt may be sent, and [`race`] which one answers. See
//! `docs/notes/hedging.md`.

pub mod latency;
pub mod race;

use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::budget::{Budget, Verdict};

/// Bounds of hedging.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Least time before a second attempt.
    pub least_delay: Duration,
    /// Retries of the budget that hedges leave for retries, since a retry saves
    /// a call and a hedge only time.
    pub reserve: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            least_delay: Duration::from_millis(10),
            reserve: 50.0,
        }
    }
}

/// Whether to send a second attempt beside the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it now.
    Now,
    /// Ask again after this time, unless the response has come.
    Wait(Duration),
    /// Do not hedge this call.
    Never(Reason),
}

/// Why a call is not hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is no look-up.
    Method,
    /// It was hedged already.
    Hedged,
    /// Too few latencies of the service are known.
    Unlearned,
    /// The second attempt would be due after the deadline.
    Deadline,
    /// The budget does not allow it.
    Budget,
}

/// A look-up in flight.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Whether the method is an idempotent look-up.
    pub lookup: bool,
    /// When the first attempt was sent.
    pub sent: Moment,
    /// When the caller needs the response.
    pub deadline: Moment,
    /// Whether it was hedged already.
    pub hedged: bool,
}

/// Returns when a second attempt is due, or why there is none.
///
/// # Errors
/// Returns why the call is not hedged.
pub fn due(call: &Call, p95: Option<Duration>, settings: &Settings) -> Result<Moment, Reason> {
    if !call.lookup {
        return Err(Reason::Method);
    }
    if call.hedged {
        return Err(Reason::Hedged);
    }
    let p95 = p95.ok_or(Reason::Unlearned)?;
    let due = call.sent + p95.max(settings.least_delay);
    if due >= call.deadline {
        return Err(Reason::Deadline);
    }
    Ok(due)
}

/// Decides whether to hedge a call, and takes the hedge from the budget.
pub fn decide(
    call: &Call,
    p95: Option<Duration>,
    budget: &mut Budget,
    now: Moment,
    settings: &Settings,
) -> Decision {
    let due = match due(call, p95, settings) {
        Ok(due) => due,
        Err(reason) => return Decision::Never(reason),
    };
    if now >= call.deadline {
        return Decision::Never(Reason::Deadline);
    }
    if now < due {
        return Decision::Wait(due.since(now));
    }
    match budget.may_hedge(now, settings.reserve) {
        Verdict::Granted => Decision::Now,
        Verdict::Exhausted(_) => Decision::Never(Reason::Budget),
    }
}

//! Hedging: sending a look-up to a second upstream when the first is slow.
//!
//! [`latency`] tracks the 95th percentile of look-up latencies, [`due`] and
//! [`decide`] determine when a second attempt may be sent, and [`race`] selects
//! the response that is delivered. See `docs/notes/hedging.md`.

pub mod latency;
pub mod race;

use std::time::Duration;

use sesamerock_base::time::Moment;

use crate::budget::{Budget, Verdict};

/// Limits for hedging.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Minimum time between the first attempt and the second.
    pub least_delay: Duration,
    /// Balance of the retry budget that hedges must leave for retries, since a
    /// retry saves a call and a hedge saves only time.
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

/// Whether to send a second attempt while the first is still running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the second attempt now; it has been deducted from the budget.
    Now,
    /// Decide again after this time, unless the response has arrived by then.
    Wait(Duration),
    /// Do not hedge this call.
    Never(Reason),
}

/// Why a call is not hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The method is not a look-up.
    Method,
    /// The call has already been hedged.
    Hedged,
    /// Too few latencies of the service are known to compute a percentile.
    Unlearned,
    /// The second attempt would be due after the deadline.
    Deadline,
    /// The retry budget does not allow a hedge.
    Budget,
}

/// A call in flight that may be hedged.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Whether the method is an idempotent look-up.
    pub lookup: bool,
    /// When the first attempt was sent.
    pub sent: Moment,
    /// When the caller needs the response.
    pub deadline: Moment,
    /// Whether a second attempt has already been sent.
    pub hedged: bool,
}

/// Returns when a second attempt is due: after the 95th percentile of the
/// service's latencies, and no earlier than [`Settings::least_delay`].
///
/// # Errors
/// Returns the reason if the call must not be hedged.
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

/// Decides whether to hedge a call, and deducts the hedge from the budget if it
/// is to be sent now.
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

//! The planned stop of a gateway: until when it takes calls, and when the process may end.
//!
//! Callers keep the addresses of gateways for a while, so a gateway that stops goes on serving
//! until no caller should know it any more. Then it stops listening, closes idle connections,
//! and ends when the last connection has. See docs/notes/platform.md.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// Multiple of the longest recent call of a route that must remain for a call without a nearer
/// deadline. The next call may be longer than all of them.
const DURATION_MARGIN: f64 = 1.5;
/// Time before the end in which no gateway goes on listening, even if it is the only one.
const LAST_CALLS: Duration = Duration::from_secs(1);

/// Time before the end in which waiting calls are refused: it suffices to write the refusals.
const REFUSAL_TIME: Duration = Duration::from_millis(200);
/// Time before the end in which calls that still run are answered: it suffices to write the
/// answers. Waiting calls have been refused by then.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Limits of a [`Shutdown`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time from the request to stop until the process is killed.
    pub grace: Duration,
    /// Part of the grace period that is left for closing connections.
    pub margin: Duration,
    /// How long callers may use the addresses that they have been given.
    pub address_retention: Duration,
    /// Time from the request to stop in which an estimate suffices to accept a call. Callers
    /// expect that a call of this time may be cut at the end, and no later one. It is shorter than
    /// theirs by the time that a request needs to arrive.
    pub estimate_period: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(8),
            margin: Duration::from_millis(400),
            address_retention: Duration::from_secs(3),
            estimate_period: Duration::from_millis(2_800),
        }
    }
}

/// What is known about the duration of a call before it is sent.
#[derive(Clone, Copy, Debug)]
pub struct Outlook {
    /// When the call arrived.
    pub arrived: Moment,
    /// When the call has ended, whatever its upstream does.
    pub deadline: Moment,
    /// Longest time from the start at an upstream to the end, as follows from what the call itself
    /// states; `None` if it states nothing.
    pub bound: Option<Duration>,
    /// Longest time that a call of the same route took recently; `None` if there was none. Other
    /// calls do not bound this one, which may have a longer prompt or a slower upstream.
    pub longest: Option<Duration>,
    /// Whether an answer that the result is unknown does no harm, since the caller may repeat the
    /// call.
    pub is_repeatable: bool,
}

/// The stop of a gateway, from the moment at which it was requested.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    retention_end: Moment,
    estimates_until: Moment,
    calls_end: Moment,
}

impl Shutdown {
    /// Starts a stop that is requested at `now`.
    pub fn new(settings: Settings, now: Moment) -> Self {
        Self {
            retention_end: now + settings.address_retention,
            estimates_until: now + settings.estimate_period,
            calls_end: now + settings.grace.saturating_sub(settings.margin),
        }
    }

    /// Returns the latest time at which a call may be sent to an upstream, so that it ends before
    /// the process does; `None` if it may not be sent at all.
    ///
    /// After [`Settings::estimate_period`], only what the call itself bounds counts, unless the call
    /// is repeatable: if it takes longer than others, its caller has an answer and may repeat it.
    /// See docs/incidents/unlike-calls.md.
    pub fn latest_start(&self, outlook: &Outlook) -> Option<Moment> {
        if outlook.deadline <= self.calls_end {
            return Some(outlook.deadline);
        }
        let may_estimate = outlook.is_repeatable || outlook.arrived <= self.estimates_until;
        let estimate = outlook.longest.filter(|_| may_estimate);
        let estimate = estimate.map(|time| time.mul_f64(DURATION_MARGIN));
        let duration = outlook.bound.into_iter().chain(estimate).min()?;
        Some(self.calls_end - duration)
    }

    /// Returns whether a call can be sent early enough to end before the process does.
    pub fn may_accept(&self, outlook: &Outlook, now: Moment) -> bool {
        let latest_start = self.latest_start(outlook);
        now < self.calls_end && latest_start.is_some_and(|latest| now <= latest)
    }

    /// Returns whether the gateway may stop listening. If no other gateway takes calls, it goes
    /// on as long as a call could still end.
    pub fn may_stop_listening(&self, another_accepts: bool, now: Moment) -> bool {
        now >= self.retention_end && (another_accepts || now + LAST_CALLS >= self.calls_end)
    }

    /// Returns when calls that still wait are refused, so that their callers have an answer before
    /// the connections are closed. Another gateway can run them.
    pub fn waiting_end(&self) -> Moment {
        self.calls_end - REFUSAL_TIME
    }

    /// Returns when calls that still run are answered that their result is unknown, which their
    /// callers could not tell from a closed connection, and when streams are ended.
    pub fn answers_end(&self) -> Moment {
        self.calls_end - ANSWER_TIME
    }

    /// Returns when all connections are closed, whether or not their calls have ended.
    pub fn calls_end(&self) -> Moment {
        self.calls_end
    }
}

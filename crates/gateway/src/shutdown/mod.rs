//! The planned stop of a gateway: until when it takes calls, and when the process may end.
//!
//! Callers keep the addresses of gateways for a while, so a gateway that stops goes on serving
//! until no caller should know it any more. Then it stops listening, closes idle connections,
//! and ends when the last connection has. See docs/notes/platform.md.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// Multiple of the longest recent call of a route that must remain for a call without a nearer
/// deadline. Passes can become longer while it runs.
const DURATION_MARGIN: f64 = 1.5;
/// Time before the end in which no gateway goes on listening, even if it is the only one.
const LAST_CALLS: Duration = Duration::from_secs(1);

/// Time before the end in which waiting calls are refused: it suffices to write the refusals.
const REFUSAL_TIME: Duration = Duration::from_millis(200);

/// Limits of a [`Shutdown`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time from the request to stop until the process is killed.
    pub grace: Duration,
    /// Part of the grace period that is left for closing connections.
    pub margin: Duration,
    /// How long callers may use the addresses that they have been given.
    pub address_retention: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            grace: Duration::from_secs(8),
            margin: Duration::from_millis(400),
            address_retention: Duration::from_secs(3),
        }
    }
}

/// The stop of a gateway, from the moment at which it was requested.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    retention_end: Moment,
    calls_end: Moment,
}

impl Shutdown {
    /// Starts a stop that is requested at `now`.
    pub fn new(settings: Settings, now: Moment) -> Self {
        Self {
            retention_end: now + settings.address_retention,
            calls_end: now + settings.grace.saturating_sub(settings.margin),
        }
    }

    /// Returns whether a call can be expected to end before the process does. `deadline` is the
    /// latest end of the call, `longest` the longest time that a call of its route took
    /// recently; `None` if there was none.
    pub fn may_accept(&self, deadline: Moment, longest: Option<Duration>, now: Moment) -> bool {
        let expected_end = longest.map_or(deadline, |time| now + time.mul_f64(DURATION_MARGIN));
        now < self.calls_end && deadline.min(expected_end) <= self.calls_end
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

    /// Returns when all connections are closed, whether or not their calls have ended.
    pub fn calls_end(&self) -> Moment {
        self.calls_end
    }
}

//! Coalescing and rate limit of pushes.
//!
//! The first update after an idle period is pushed at once. Updates that arrive
//! soon after a push are debounced, so that a burst needs few messages; a maximum
//! delay applies while updates keep arriving. During a long burst, a rate limit
//! also bounds the bytes spent on announcements whatever the rate of changes.
//!
//! The last push of a series is repeated once to other random peers. The repeat
//! reaches most of the nodes that no push happened to select, long before their
//! next periodic exchange.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// Settings of a [`Pacer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Windows {
    /// Time without a further update after which a push is sent.
    pub debounce: Duration,
    /// Longest time from the first update to its push, rate limit aside.
    pub max_delay: Duration,
    /// Whether the first update is pushed at once if the last push was at least
    /// `max_delay` ago.
    pub leading_edge: bool,
    /// Mean time between pushes once the rate limit applies.
    pub interval: Duration,
    /// Number of pushes that may be sent before the rate limit applies.
    pub burst: u32,
    /// Time from the last push to its repeat; zero turns repeats off.
    pub repeat_after: Duration,
}

impl Default for Windows {
    fn default() -> Self {
        Self {
            debounce: Duration::from_millis(50),
            max_delay: Duration::from_millis(200),
            leading_edge: true,
            interval: Duration::from_secs(1),
            burst: 3,
            repeat_after: Duration::from_millis(300),
        }
    }
}

/// Kind of a push.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Push {
    /// Announces updates that have not been pushed.
    Update,
    /// Repeats the last push to a few more peers.
    Repeat,
}

/// Decides when the next push is sent.
#[derive(Clone, Debug)]
pub struct Pacer {
    windows: Windows,
    first_update: Option<Moment>,
    due: Option<(Moment, Push)>,
    last_push: Option<Moment>,
    /// When the burst quota of the rate limit is full again without further
    /// pushes.
    allowance_full_at: Moment,
}

impl Pacer {
    /// Creates a pacer without a push due and with a full burst quota.
    pub fn new(windows: Windows) -> Self {
        Self {
            windows,
            first_update: None,
            due: None,
            last_push: None,
            allowance_full_at: Moment::default(),
        }
    }

    /// Schedules the push of an update, or postpones the push that is due within
    /// the limits of the settings.
    pub fn schedule_push(&mut self, now: Moment) {
        let first_update = *self.first_update.get_or_insert(now);
        let idle = self
            .last_push
            .is_none_or(|at| now.since(at) >= self.windows.max_delay);
        let at = if self.windows.leading_edge && idle && first_update == now {
            now
        } else {
            (now + self.windows.debounce).min(first_update + self.windows.max_delay)
        };
        self.due = Some((at.max(self.earliest_push()), Push::Update));
    }

    /// Returns when the next push or repeat is due, if any.
    pub fn due(&self) -> Option<Moment> {
        self.due.map(|(at, _)| at)
    }

    /// Returns the kind of push that is due, if any, and counts it as sent.
    pub fn take(&mut self, now: Moment) -> Option<Push> {
        let (_, push) = self.due.take_if(|(at, _)| *at <= now)?;
        if push == Push::Repeat {
            return Some(push);
        }
        self.first_update = None;
        self.last_push = Some(now);
        // Repeats don't count against the allowance, since there is at most one
        // per push.
        self.allowance_full_at = self.allowance_full_at.max(now) + self.windows.interval;
        if !self.windows.repeat_after.is_zero() {
            self.due = Some((now + self.windows.repeat_after, Push::Repeat));
        }
        Some(push)
    }

    /// Returns the earliest time at which the rate limit permits a push.
    fn earliest_push(&self) -> Moment {
        let burst_credit = self.windows.interval * self.windows.burst.saturating_sub(1);
        self.allowance_full_at - burst_credit
    }
}

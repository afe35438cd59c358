//! Coalescing and rate of pushes.
//!
//! A push that follows a quiet period leaves at once; news that arrive soon
//! after another push wait for a quiet window, so that a burst travels in few
//! messages. A maximum window bounds the wait while news keep arriving. A long
//! burst is slowed further by an allowance of pushes per time, which bounds
//! the bytes spent on announcements whatever the rate of changes.
//!
//! After the last push of a series an echo follows: it reaches most of the
//! nodes that the pushes missed by chance, long before a periodic exchange.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// Settings of the windows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Windows {
    /// A push leaves once no news arrived for this long.
    pub debounce: Duration,
    /// A push leaves at the latest this long after the first news in it.
    pub max_delay: Duration,
    /// Whether the first news after a push-free `longest` leave at once.
    pub leading_edge: bool,
    /// Mean time between pushes in a long burst.
    pub interval: Duration,
    /// Pushes that may leave before `interval` applies.
    pub burst: u32,
    /// Time from the last push to the echo; zero for none.
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

/// What a push is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Push {
    /// There is something new.
    Update,
    /// What was new is told to a few more peers.
    Repeat,
}

/// Decides when the next push leaves.
#[derive(Clone, Debug)]
pub struct Pacer {
    windows: Windows,
    first_update: Option<Moment>,
    due: Option<(Moment, Push)>,
    last_push: Option<Moment>,
    /// When the allowance would be full again.
    allowance_full_at: Moment,
}

impl Pacer {
    /// Makes a pace with nothing to push.
    pub fn new(windows: Windows) -> Self {
        Self {
            windows,
            first_update: None,
            due: None,
            last_push: None,
            allowance_full_at: Moment::default(),
        }
    }

    /// Notes that there is something new to push.
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

    /// Returns when the next push is due.
    pub fn due(&self) -> Option<Moment> {
        self.due.map(|(at, _)| at)
    }

    /// Returns the push that is due, if any, and counts it as made.
    pub fn take(&mut self, now: Moment) -> Option<Push> {
        let (_, push) = self.due.take_if(|(at, _)| *at <= now)?;
        if push == Push::Repeat {
            return Some(push);
        }
        self.first_update = None;
        self.last_push = Some(now);
        // An echo takes no allowance, since there is at most one per push.
        self.allowance_full_at = self.allowance_full_at.max(now) + self.windows.interval;
        if !self.windows.repeat_after.is_zero() {
            self.due = Some((now + self.windows.repeat_after, Push::Repeat));
        }
        Some(push)
    }

    /// Returns the earliest moment the allowance lets a push leave.
    fn earliest_push(&self) -> Moment {
        let burst_credit = self.windows.interval * self.windows.burst.saturating_sub(1);
        self.allowance_full_at - burst_credit
    }
}

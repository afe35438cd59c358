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
    pub quiet: Duration,
    /// A push leaves at the latest this long after the first news in it.
    pub longest: Duration,
    /// Whether the first news after a push-free `longest` leave at once.
    pub leading: bool,
    /// Mean time between pushes in a long burst.
    pub interval: Duration,
    /// Pushes that may leave before `interval` applies.
    pub burst: u32,
    /// Time from the last push to the echo; zero for none.
    pub echo: Duration,
}

impl Default for Windows {
    fn default() -> Self {
        Self {
            quiet: Duration::from_millis(50),
            longest: Duration::from_millis(200),
            leading: true,
            interval: Duration::from_secs(1),
            burst: 3,
            echo: Duration::from_millis(300),
        }
    }
}

/// What a push is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Push {
    /// There is something new.
    News,
    /// What was new is told to a few more peers.
    Echo,
}

/// Decides when the next push leaves.
#[derive(Clone, Debug)]
pub struct Pace {
    windows: Windows,
    first: Option<Moment>,
    due: Option<(Moment, Push)>,
    pushed: Option<Moment>,
    /// When the allowance would be full again.
    full: Moment,
}

impl Pace {
    /// Makes a pace with nothing to push.
    pub fn new(windows: Windows) -> Self {
        Self {
            windows,
            first: None,
            due: None,
            pushed: None,
            full: Moment::default(),
        }
    }

    /// Notes that there is something new to push.
    pub fn news(&mut self, now: Moment) {
        let first = *self.first.get_or_insert(now);
        let idle = self
            .pushed
            .is_none_or(|at| now.since(at) >= self.windows.longest);
        let at = if self.windows.leading && idle && first == now {
            now
        } else {
            (now + self.windows.quiet).min(first + self.windows.longest)
        };
        self.due = Some((at.max(self.allowed()), Push::News));
    }

    /// Returns when the next push is due.
    pub fn due(&self) -> Option<Moment> {
        self.due.map(|(at, _)| at)
    }

    /// Returns the push that is due, if any, and counts it as made.
    pub fn take(&mut self, now: Moment) -> Option<Push> {
        let (_, push) = self.due.take_if(|(at, _)| *at <= now)?;
        if push == Push::Echo {
            return Some(push);
        }
        self.first = None;
        self.pushed = Some(now);
        // An echo takes no allowance, since there is at most one per push.
        self.full = self.full.max(now) + self.windows.interval;
        if !self.windows.echo.is_zero() {
            self.due = Some((now + self.windows.echo, Push::Echo));
        }
        Some(push)
    }

    /// Returns the earliest moment the allowance lets a push leave.
    fn allowed(&self) -> Moment {
        let saved = self.windows.interval * self.windows.burst.saturating_sub(1);
        self.full - saved
    }
}

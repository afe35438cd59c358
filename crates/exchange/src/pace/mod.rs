//! Coalescing of pushes.
//!
//! A push that follows a quiet period leaves at once; news that arrive soon
//! after another push wait for a quiet window, so that a burst travels in few
//! messages. A maximum window bounds the wait while news keep arriving.

use std::time::Duration;

use sesamerock_base::time::Moment;

/// Settings of the windows; both zero switch coalescing off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Windows {
    /// A push leaves once no news arrived for this long.
    pub quiet: Duration,
    /// A push leaves at the latest this long after the first news in it.
    pub longest: Duration,
    /// Whether the first news after a push-free `longest` leave at once.
    pub leading: bool,
}

impl Default for Windows {
    fn default() -> Self {
        Self {
            quiet: Duration::from_millis(50),
            longest: Duration::from_millis(200),
            leading: true,
        }
    }
}

impl Windows {
    /// No coalescing: every piece of news is pushed at once.
    pub const OFF: Self = Self {
        quiet: Duration::ZERO,
        longest: Duration::ZERO,
        leading: true,
    };
}

/// Decides when the next push leaves.
#[derive(Clone, Debug)]
pub struct Pace {
    windows: Windows,
    first: Option<Moment>,
    due: Option<Moment>,
    pushed: Option<Moment>,
}

impl Pace {
    /// Makes a pace with nothing to push.
    pub fn new(windows: Windows) -> Self {
        Self {
            windows,
            first: None,
            due: None,
            pushed: None,
        }
    }

    /// Notes that there is something new to push.
    pub fn news(&mut self, now: Moment) {
        let first = *self.first.get_or_insert(now);
        let idle = self
            .pushed
            .is_none_or(|at| now.since(at) >= self.windows.longest);
        self.due = Some(if self.windows.leading && idle && first == now {
            now
        } else {
            (now + self.windows.quiet).min(first + self.windows.longest)
        });
    }

    /// Returns when the next push is due.
    pub fn due(&self) -> Option<Moment> {
        self.due
    }

    /// Returns whether a push is due, and if so counts it as made.
    pub fn take(&mut self, now: Moment) -> bool {
        let due = self.due.is_some_and(|due| due <= now);
        if due {
            self.first = None;
            self.due = None;
            self.pushed = Some(now);
        }
        due
    }
}

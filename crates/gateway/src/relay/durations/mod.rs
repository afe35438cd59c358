//! How long calls of each route took recently, which tells whether a call can end before the
//! process does. Routes of one service may differ by far.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sesamerock_base::time::Moment;

/// Length of a window. A value counts for at least one and at most two windows.
const WINDOW: Duration = Duration::from_secs(5);

/// Longest time from the arrival of a call to the end of its answer, by route.
#[derive(Debug, Default)]
pub struct Durations {
    routes: Mutex<HashMap<String, Longest>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Longest {
    started: Moment,
    current: Duration,
    previous: Duration,
}

impl Longest {
    fn advance(&mut self, now: Moment) {
        let age = now.since(self.started);
        if age < WINDOW {
            return;
        }
        self.previous = if age < WINDOW * 2 {
            self.current
        } else {
            Duration::ZERO
        };
        self.current = Duration::ZERO;
        self.started = now;
    }
}

impl Durations {
    fn routes(&self) -> MutexGuard<'_, HashMap<String, Longest>> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a call whose answer was complete.
    pub fn record(&self, route: &str, duration: Duration, now: Moment) {
        let mut routes = self.routes();
        let longest = match routes.get_mut(route) {
            Some(longest) => longest,
            None => routes.entry(route.to_owned()).or_default(),
        };
        longest.advance(now);
        longest.current = longest.current.max(duration);
    }

    /// Returns the longest recent call of a route; `None` if none has ended recently.
    pub fn longest(&self, route: &str, now: Moment) -> Option<Duration> {
        let mut routes = self.routes();
        let longest = routes.get_mut(route)?;
        longest.advance(now);
        let longest = longest.current.max(longest.previous);
        (longest > Duration::ZERO).then_some(longest)
    }
}

//! How long calls of each service took recently, which tells whether a call can end before the
//! process does.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sesamerock_base::time::Moment;

/// Length of a window. A value counts for at least one and at most two windows.
const WINDOW: Duration = Duration::from_secs(5);

/// Longest time from the arrival of a call to the end of its answer, by service.
#[derive(Debug, Default)]
pub struct Durations {
    services: Mutex<HashMap<Arc<str>, Longest>>,
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
    fn services(&self) -> MutexGuard<'_, HashMap<Arc<str>, Longest>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a call whose answer was complete.
    pub fn record(&self, service: &Arc<str>, duration: Duration, now: Moment) {
        let mut services = self.services();
        let longest = services.entry(Arc::clone(service)).or_default();
        longest.advance(now);
        longest.current = longest.current.max(duration);
    }

    /// Returns the longest recent call of a service; `None` if none has ended recently.
    pub fn longest(&self, service: &Arc<str>, now: Moment) -> Option<Duration> {
        let mut services = self.services();
        let longest = services.get_mut(service)?;
        longest.advance(now);
        let longest = longest.current.max(longest.previous);
        (longest > Duration::ZERO).then_some(longest)
    }
}

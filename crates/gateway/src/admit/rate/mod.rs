//! Sliding windows of call starts and completions, for the limit on calls during a cold
//! start and for the expected wait of queued calls.

use std::collections::VecDeque;
use std::time::Duration;

use sesamerock_base::time::Moment;

/// Length of the window in which the starts at an upstream in its cold start are limited.
const WINDOW: Duration = Duration::from_secs(1);
/// Most starts kept; higher than any configured cold-start rate.
const MAX_STARTS: usize = 256;

/// Starts of calls within the last second.
#[derive(Clone, Debug, Default)]
pub struct StartWindow {
    starts: VecDeque<Moment>,
}

impl StartWindow {
    /// Adds a start, and removes those that have left the window.
    pub fn push(&mut self, now: Moment) {
        while self.starts.len() >= MAX_STARTS
            || self
                .starts
                .front()
                .is_some_and(|at| now.since(*at) > WINDOW)
        {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    /// Returns the number of starts within the last second.
    pub fn count(&self, now: Moment) -> u32 {
        let recent = self.starts.iter().rev();
        recent.take_while(|at| now.since(**at) <= WINDOW).count() as u32
    }
}

/// Rate at which the calls of a service complete, over its latest completions.
#[derive(Clone, Debug, Default)]
pub struct CompletionRate {
    completions: VecDeque<Moment>,
}

/// Completions that the rate is computed from.
const MAX_COMPLETIONS: usize = 16;
/// Age after which a completion no longer counts for the current rate.
const MAX_AGE: Duration = Duration::from_secs(3);

impl CompletionRate {
    /// Adds a completion.
    pub fn record(&mut self, now: Moment) {
        if self.completions.len() >= MAX_COMPLETIONS {
            self.completions.pop_front();
        }
        self.completions.push_back(now);
    }

    /// Returns the expected time until the given number of further completions, or
    /// `None` with fewer than eight completions in the last three seconds.
    pub fn expected_time(&self, completions: usize, now: Moment) -> Option<Duration> {
        let recent = self
            .completions
            .iter()
            .filter(|at| now.since(**at) < MAX_AGE);
        let oldest = *recent.clone().next()?;
        let count = recent.count();
        if count < MAX_COMPLETIONS / 2 {
            return None;
        }
        let interval = now.since(oldest).as_secs_f64() / count as f64;
        Some(Duration::from_secs_f64(interval * completions as f64))
    }
}

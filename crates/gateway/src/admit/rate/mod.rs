//! Counts over the recent past.

use std::collections::VecDeque;
use std::time::Duration;

use sesamerock_base::time::Moment;

/// Span over which the bound of a cold upstream is counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Most starts remembered; above any bound of a cold upstream in use.
const MAX_STARTS: usize = 256;

/// The starts of calls within one second.
#[derive(Clone, Debug, Default)]
pub struct Window {
    starts: VecDeque<Moment>,
}

impl Window {
    /// Adds a start.
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

    /// Returns the starts within the last second.
    pub fn count(&self, now: Moment) -> u32 {
        let recent = self.starts.iter().rev();
        recent.take_while(|at| now.since(**at) <= WINDOW).count() as u32
    }
}

/// The rate at which calls end, over a time that is long against one call.
#[derive(Clone, Debug, Default)]
pub struct CompletionRate {
    completions: VecDeque<Moment>,
}

/// Ends that the rate is taken over.
const MAX_COMPLETIONS: usize = 16;
/// Ends older than this say nothing of the present rate.
const MAX_AGE: Duration = Duration::from_secs(3);

impl CompletionRate {
    /// Adds an end.
    pub fn record(&mut self, now: Moment) {
        if self.completions.len() >= MAX_COMPLETIONS {
            self.completions.pop_front();
        }
        self.completions.push_back(now);
    }

    /// Returns how long a number of ends takes, if the rate is known.
    pub fn time_for(&self, completions: usize, now: Moment) -> Option<Duration> {
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

//! When steps end, so that timers do not make the engine slower than set.

use std::time::Duration;

use tokio::time::Instant;

/// Lateness of a timer that later steps make up for. Tokio's timers resolve a
/// millisecond and round up; a longer delay is one of the machine and stays.
const TIMER: Duration = Duration::from_millis(2);

/// The ends of steps that follow each other.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    due: Option<Instant>,
}

impl Pace {
    /// Returns when a step that begins now is due to end.
    pub fn next(&mut self, now: Instant, step: Duration) -> Instant {
        let begin = match self.due {
            Some(due) if now.saturating_duration_since(due) <= TIMER => due,
            _ => now,
        };
        let due = begin + step;
        self.due = Some(due);
        due
    }

    /// Forgets the last step, as the engine was idle since.
    pub fn idle(&mut self) {
        self.due = None;
    }
}

//! Step deadlines that compensate for late timers, which would otherwise make the
//! engine slower than its settings.

use std::time::Duration;

use tokio::time::Instant;

/// Longest timer lateness that later steps compensate for. Tokio's timers have a
/// resolution of 1 ms and round up; a longer delay comes from the machine and is
/// not compensated.
const MAX_TIMER_LATENESS: Duration = Duration::from_millis(2);

/// Computes the deadlines of consecutive steps.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    due: Option<Instant>,
}

impl Pace {
    /// Returns when a step that begins now is due to end.
    pub fn next(&mut self, now: Instant, step: Duration) -> Instant {
        let begin = match self.due {
            Some(due) if now.saturating_duration_since(due) <= MAX_TIMER_LATENESS => due,
            _ => now,
        };
        let due = begin + step;
        self.due = Some(due);
        due
    }

    /// Resets the schedule after the engine was idle, which is not compensated.
    pub fn idle(&mut self) {
        self.due = None;
    }
}

//! Waits of calls that were refused for want of room.

use std::sync::Arc;
use std::time::Duration;

use super::Run;
use super::failure::Failure;

/// Pause of a call that waits for room; it doubles with each refusal.
const INITIAL_PAUSE: Duration = Duration::from_millis(5);
/// Most doublings of the pause.
const MAX_DOUBLINGS: u32 = 6;
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_millis(250);
/// Time before the deadline in which a call no longer waits.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);

/// How a wait for room ended.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Wait {
    /// The call may ask again.
    Elapsed,
    /// Too many calls wait.
    TooManyWaiting,
    /// The deadline is too near.
    DeadlineTooClose,
}

impl Run {
    /// Waits until a call that was refused for want of room may ask again.
    ///
    /// Asking again costs the upstreams nothing, so it is bounded by the
    /// deadline and by the number of calls that wait, and not by the retry
    /// budget: at a cold system nothing would refill it.
    pub(super) async fn wait(&mut self, failure: &Failure) -> Wait {
        let Ok(_slot) = Arc::clone(&self.context.waiting_slots).try_acquire_owned() else {
            return Wait::TooManyWaiting;
        };
        self.refusals += 1;
        let doublings = self.refusals.min(MAX_DOUBLINGS);
        let backoff = (INITIAL_PAUSE * (1 << doublings)).min(MAX_PAUSE);
        let requested = failure.retry_after.unwrap_or_default().min(MAX_PAUSE);
        let pause = requested.max(backoff.mul_f64(rand::random_range(0.5..1.0)));
        if self.request.remaining() <= pause + DEADLINE_MARGIN {
            return Wait::DeadlineTooClose;
        }
        log::info!(
            "event=call_waits request={} refusals={} pause_us={} kind={} detail={:?}",
            self.request.id,
            self.refusals,
            pause.as_micros(),
            failure.kind,
            failure.detail
        );
        self.excluded.clear();
        self.redirected.clear();
        tokio::time::sleep(pause).await;
        // It was no attempt: no upstream began it.
        self.attempts -= 1;
        Wait::Elapsed
    }
}

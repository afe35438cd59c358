//! Pauses of calls that were refused for lack of capacity.

use std::sync::Arc;
use std::time::Duration;

use super::Run;
use super::failure::Failure;

/// Pause of a call that waits for capacity, before the first doubling. The pause
/// doubles with each refusal, also the first, and is shortened by a random factor
/// from 0.5 to 1: the first one lasts 5 to 10 ms.
const INITIAL_PAUSE: Duration = Duration::from_millis(5);
/// Maximum number of times that the pause doubles. After six doublings it would
/// be 320 ms, above [`MAX_PAUSE`], so this only keeps the shift in range.
const MAX_DOUBLINGS: u32 = 6;
/// Upper bound of the pause, also for one that an agent requested.
const MAX_PAUSE: Duration = Duration::from_millis(250);
/// Time before the deadline within which a call no longer waits.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);

/// Result of a wait for capacity.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Wait {
    /// The pause has passed; the call may be sent again.
    Elapsed,
    /// Too many calls of this entry are waiting already.
    TooManyWaiting,
    /// The deadline would pass during the pause.
    DeadlineTooClose,
}

impl Run {
    /// Waits until a call that was refused for lack of capacity may be sent
    /// again.
    ///
    /// Sending a refused call again costs the upstreams nothing, so it is
    /// bounded by the deadline and the number of waiting calls and not by the
    /// retry budget, which nothing would refill while all upstreams are in
    /// their cold start.
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
        // No upstream began the call, so it does not count as an attempt.
        self.attempts -= 1;
        Wait::Elapsed
    }
}

//! Detects whether the group of this agent's engine is stalled.
//!
//! The agent of a rank does not know the state of the other ranks, but a group
//! that waits for one of them can be seen at each rank: there is work, and the
//! number of the last step does not change. See `docs/notes/ranks.md`.

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_client::engine::Load;
use tokio::sync::watch;

use super::probe::Observation;

/// Shortest time without a step that counts as a stall. A switch to another
/// expert map and one void step take less.
const MIN_STALL: Duration = Duration::from_millis(500);
/// Shortest time without a step that counts as a stall, in step times of the
/// group; the longer of the two limits applies.
const MIN_STALL_STEP_TIMES: u32 = 10;

/// Tracks the steps of one engine.
#[derive(Debug)]
pub struct StallDetector {
    step: u64,
    /// When the step last changed, or when the rank last had no work.
    since: Moment,
}

impl StallDetector {
    /// Creates a detector that counts the time without a step from `now`.
    pub fn new(now: Moment) -> Self {
        Self {
            step: 0,
            since: now,
        }
    }

    /// Takes an observation of a rank's engine and returns whether its group is
    /// stalled.
    pub fn observe(&mut self, observation: &Observation, now: Moment) -> bool {
        let Observation::Alive(load) = observation else {
            // A group cannot step without this rank's engine.
            return *observation == Observation::Unreachable;
        };
        let awaits_grant = load.granted_to <= load.step;
        let idle = load.running == 0 && load.waiting == 0 && !awaits_grant;
        if load.step != self.step || idle {
            self.step = load.step;
            self.since = now;
        }
        now.since(self.since) > max_step_gap(load)
    }
}

fn max_step_gap(load: &Load) -> Duration {
    MIN_STALL.max(Duration::from_micros(u64::from(load.step_us)) * MIN_STALL_STEP_TIMES)
}

/// Whether the group is stalled, for calls that wait in this agent.
#[derive(Debug)]
pub struct StallSignal(watch::Sender<bool>);

impl Default for StallSignal {
    fn default() -> Self {
        Self(watch::Sender::new(false))
    }
}

impl StallSignal {
    /// Sets whether the group is stalled; returns whether that changed.
    pub fn set(&self, stalled: bool) -> bool {
        self.0
            .send_if_modified(|last| std::mem::replace(last, stalled) != stalled)
    }

    /// Returns whether the group is stalled.
    pub fn get(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until the group is stalled.
    pub async fn wait_until_stalled(&self) {
        let mut changes = self.0.subscribe();
        // The wait cannot fail, since `self` holds the sender.
        let _ = changes.wait_for(|stalled| *stalled).await;
    }
}

//! Detects whether the group of this agent's engine steps.
//!
//! The agent of a rank knows nothing of the other ranks, but a group that waits
//! for one of them shows at each: there is work, and the number of the last step
//! does not change. See `docs/notes/ranks.md`.

use std::time::Duration;

use sesamerock_base::time::Moment;
use sesamerock_client::engine::Load;
use tokio::sync::watch;

use super::probe::Observation;

/// Shortest time without a step that counts as a stall. The switch to another
/// expert map and one void step take less.
const MIN_STALL: Duration = Duration::from_millis(500);
/// The same in step times of the group.
const MIN_STALL_STEP_TIMES: u32 = 10;

/// What is known of the steps.
#[derive(Debug)]
pub struct StallDetector {
    step: u64,
    /// When the step changed, or the rank last had nothing to step for.
    since: Moment,
}

impl StallDetector {
    /// Begins to watch.
    pub fn new(now: Moment) -> Self {
        Self {
            step: 0,
            since: now,
        }
    }

    /// Takes in what was seen of a rank's engine and returns whether its group
    /// is stalled.
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

/// Whether the group is stalled, for the calls of this agent.
#[derive(Debug)]
pub struct StallSignal(watch::Sender<bool>);

impl Default for StallSignal {
    fn default() -> Self {
        Self(watch::Sender::new(false))
    }
}

impl StallSignal {
    /// States it; returns whether it changed.
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
        // The sender lives as long as the agent.
        let _ = changes.wait_for(|stalled| *stalled).await;
    }
}

//! Outages of groups: when one is expected to end, which calls wait for that, and when the
//! callers of the others may retry.
//!
//! A group whose rank has crashed runs nothing until the rank is back and the group has formed
//! again. Calls sent to its other ranks meanwhile are held until the ranks notice, and then
//! refused. See docs/notes/recovery.md.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamerock_base::time::Moment;
use std::sync::Arc;

use super::group::Version;

/// Expected duration of an outage before one has been observed: the start of a rank, and the
/// forming of its group, take two to four seconds.
const INITIAL_DURATION: Duration = Duration::from_secs(4);
/// Weight of the latest outage in the expected duration. Causes differ, so it counts as much as
/// all before it.
const LATEST_WEIGHT: f64 = 0.5;
/// Remaining part of an outage that lasts longer than expected, relative to its duration so far.
const OVERDUE_SHARE: f64 = 0.1;
/// Time after which a statement of the leader is no longer used: three statements. Calls are
/// then tried again, since a group may have formed while nobody leads.
const STATEMENT_EXPIRY: Duration = Duration::from_secs(3);
/// Time over which callers return after an outage. The calls that waited take most slots at
/// first, and free them within the duration of a stream.
const RETURN_SPREAD: Duration = Duration::from_secs(2);
/// Time after the expected end of an outage at which the first callers return, since it may last
/// longer, and few of those who return before its end can wait for it.
const RETURN_MARGIN: Duration = Duration::from_millis(500);
/// Shortest time over which callers return. Those who return before the end of the outage wait
/// in the queue.
const MIN_RETURN_SPREAD: Duration = Duration::from_millis(500);

/// A group that runs nothing, as one gateway tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Broken {
    /// Name of the group.
    pub group: Arc<str>,
    /// Time since its last step.
    pub age: Duration,
}

/// All groups that a leader has found broken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Of two statements, the one with the higher version is newer.
    pub version: Version,
    /// The broken groups; those not named here run calls.
    pub broken: Vec<Broken>,
}

/// Outage of one group.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// When the last step of the group was seen.
    pub since: Moment,
    /// When the latest statement of it was received.
    pub stated: Moment,
}

impl Outage {
    /// Returns whether the statement is recent enough to be relied on.
    pub fn is_current(&self, now: Moment) -> bool {
        now.since(self.stated) < STATEMENT_EXPIRY
    }
}

/// Expected duration of an outage, learnt from earlier ones.
#[derive(Clone, Copy, Debug)]
pub struct Forecast(Duration);

impl Default for Forecast {
    fn default() -> Self {
        Self(INITIAL_DURATION)
    }
}

impl Forecast {
    /// Records the duration of an outage that has ended.
    pub fn observe(&mut self, duration: Duration) {
        self.0 = self.0.mul_f64(1.0 - LATEST_WEIGHT) + duration.mul_f64(LATEST_WEIGHT);
    }

    /// Returns the expected time to the end of an outage that has lasted for `elapsed`.
    pub fn remaining(&self, elapsed: Duration) -> Duration {
        let overdue = elapsed.mul_f64(OVERDUE_SHARE);
        self.0.saturating_sub(elapsed).max(overdue)
    }
}

/// Returns the time after which a caller may retry while an outage is expected to last for
/// another `remaining`; at most `longest`. `position` from 0 to 1 spreads the callers.
pub fn retry_after(remaining: Duration, longest: Duration, position: f64) -> Duration {
    let latest = (remaining + RETURN_SPREAD).min(longest);
    let earliest = (remaining + RETURN_MARGIN).min(latest.saturating_sub(MIN_RETURN_SPREAD));
    earliest + latest.saturating_sub(earliest).mul_f64(position)
}

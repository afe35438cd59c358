//! Timeouts and intervals of a leader, derived from the size of its group.

use std::time::Duration;

use crate::message::Map;
use crate::sizing;

/// Position of a rank in its group, and its timeouts and intervals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Rank of this process.
    pub rank: u32,
    /// Number of ranks in the group.
    pub ranks: u32,
    /// Time after which a message without a reply is sent again.
    pub retry: Duration,
    /// Time between messages to a rank that is up to date. Well below
    /// `leader_timeout`, since these messages keep other ranks from proposing
    /// themselves.
    pub heartbeat: Duration,
    /// Time without a message from a leader after which rank 0 proposes itself.
    pub leader_timeout: Duration,
    /// Additional time for each further rank. Longer than a round trip, so that a
    /// rank receives a proposal before it makes its own.
    pub stagger: Duration,
    /// Time without a reply from some rank after which a leader steps down, since
    /// another leader may be able to reach that rank.
    pub reply_timeout: Duration,
    /// Map of a group that has not run a step and has no map to switch to.
    pub initial_map: Map,
    /// Bounds on the length of windows.
    pub sizing: sizing::Settings,
}

/// Time between messages to a rank that is up to date, in small groups.
const MIN_HEARTBEAT: Duration = Duration::from_millis(250);
/// Least mean time between two messages of a leader, counted over all ranks. At
/// 150 bytes a message this keeps the leader of a group of any size within the
/// control-plane budget of 6 KB/s.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(32);

impl Settings {
    /// Makes the settings of one rank. In larger groups heartbeats are less
    /// frequent and windows are longer.
    pub fn of(rank: u32, ranks: u32) -> Self {
        let heartbeat = MIN_HEARTBEAT.max(MESSAGE_INTERVAL * ranks);
        let leader_timeout = heartbeat * 4;
        let default = sizing::Settings::default();
        Self {
            rank,
            ranks,
            heartbeat,
            leader_timeout,
            reply_timeout: leader_timeout * 4,
            sizing: sizing::Settings {
                switch_time: default.switch_time.max(heartbeat * 3),
                ..default
            },
            ..Self::default()
        }
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rank: 0,
            ranks: 1,
            retry: Duration::from_millis(20),
            heartbeat: MIN_HEARTBEAT,
            leader_timeout: MIN_HEARTBEAT * 4,
            stagger: Duration::from_millis(20),
            reply_timeout: MIN_HEARTBEAT * 16,
            initial_map: 0,
            sizing: sizing::Settings::default(),
        }
    }
}

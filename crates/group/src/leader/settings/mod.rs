//! Settings of a leader.

use std::time::Duration;

use crate::message::Map;
use crate::pace;

/// Place of a rank in its group, and times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Rank of this process.
    pub rank: u32,
    /// Ranks of the group.
    pub ranks: u32,
    /// Time after which an unanswered message is sent again.
    pub retry: Duration,
    /// Time between messages to a rank that has all it needs; well below
    /// `silence`, since they keep the others from proposing themselves.
    pub heartbeat: Duration,
    /// Time without a message of a leader after which rank 0 proposes itself.
    pub silence: Duration,
    /// Additional time for each rank after the first. Longer than a round
    /// trip, so that a rank hears of a proposal before it makes its own.
    pub stagger: Duration,
    /// Time without a reply of some rank after which a leader steps back, since
    /// another rank may reach it.
    pub patience: Duration,
    /// Map of a group that never ran a step and is to switch to none.
    pub first: Map,
    /// Bounds of the windows.
    pub pace: pace::Settings,
}

/// Shortest time between messages to a rank that has all it needs.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Time per rank between two messages of a leader, on average. At 150 bytes a
/// message it keeps a leader of any size within the control-plane budget of
/// 6 KB/s.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(32);

impl Settings {
    /// Makes the settings of one rank. Larger groups hear of their leader less
    /// often and get longer windows.
    pub fn of(rank: u32, ranks: u32) -> Self {
        let heartbeat = HEARTBEAT.max(MESSAGE_INTERVAL * ranks);
        let silence = heartbeat * 4;
        let default = pace::Settings::default();
        Self {
            rank,
            ranks,
            heartbeat,
            silence,
            patience: silence * 4,
            pace: pace::Settings {
                switch: default.switch.max(heartbeat * 3),
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
            heartbeat: HEARTBEAT,
            silence: HEARTBEAT * 4,
            stagger: Duration::from_millis(20),
            patience: HEARTBEAT * 16,
            first: 0,
            pace: pace::Settings::default(),
        }
    }
}
